package gatherer

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"time"

	"oxbowspan/balancer"
	"oxbowspan/idempotency"
	"oxbowspan/internal/discovery"
	"oxbowspan/internal/operatorconfig"
	"oxbowspan/store"
)

// Tables of the store.
const (
	// TableSearches holds searches that must not run twice: package recovery's values, by key.
	TableSearches store.Table = 1
	// TableList holds the list of servers as last told: entries as JSON, by host; the number of the list under "".
	TableList store.Table = 2
	// TableLearned holds what had been learned of servers, as JSON, by host.
	TableLearned store.Table = 3
)

// remembered is what the module's actor keeps across restarts. It is the actor's alone; the store calls back into its mailbox.
type remembered struct {
	store   *store.Store
	table   *idempotency.Table
	disk    idempotency.Disk
	refused bool // the store was unwell the last time: said once
}

// The store's news to the module's actor.
type (
	// intentWritten says that a search's intent is on the disk, or why it is not.
	intentWritten struct {
		s   *search
		err error
	}
	// intentLate says that it takes too long.
	intentLate struct{ s *search }
)

// openStore opens the store that the operator's file names, and says what it found.
func openStore(o *operatorconfig.Store) (*remembered, error) {
	disk, err := store.OpenDisk(o.Path)
	if err != nil {
		return nil, fmt.Errorf("store %s: %w", o.Path, err)
	}
	s, report, err := store.Open(disk, store.Options{Most: o.Size, Linger: o.Linger})
	for _, what := range report.Damage {
		slog.Warn("store_damage", "path", o.Path, "what", what, "mended", report.Mended)
	}
	if err != nil {
		return nil, fmt.Errorf("store %s: %w", o.Path, err)
	}
	r := &remembered{store: s, disk: idempotency.Disk{Slow: idempotency.Time(o.Slow.Milliseconds())},
		table: idempotency.New(idempotency.Figures{Keep: idempotency.Time(o.Keep.Milliseconds()), Most: o.Searches, MostBytes: int(o.Answers)})}
	bad := 0
	for key, value := range s.All(TableSearches) {
		if r.table.Load(idempotency.Key(key), value) != nil {
			bad++
		}
	}
	slog.Info("store_open", "path", o.Path, "records", report.Records, "searches", r.table.Len(), "unreadable", bad, "mended", report.Mended)
	return r, nil
}

func (r *remembered) close() {
	if err := r.store.Close(); err != nil {
		slog.Error("store_close", "error", err)
	}
}

func unixNow() idempotency.Time { return idempotency.Time(time.Now().UnixMilli()) }

// write writes changes that nothing waits for.
func (r *remembered) write(changes []idempotency.Change) {
	if len(changes) > 0 {
		r.store.Begin(func(err error) {
			if err != nil && !errors.Is(err, store.ErrClosed) {
				slog.Warn("store_not_written", "error", err) // the search stays doubtful, which is honest
			}
		}, ops(changes)...)
	}
}

func ops(changes []idempotency.Change) (out []store.Op) {
	for _, c := range changes {
		out = append(out, store.Op{Table: TableSearches, Key: string(c.Key), Value: c.Value, Delete: c.Value == nil})
	}
	return out
}

// remember deals with a search that must not run twice before anything else is done with it. It guards against a payment post
// that goes out again because a crash wiped out that it had gone out before: nothing of it leaves until its intent is on the
// disk. false = it has been answered, or waits.
func (m *module) remember(s *search) bool {
	r := m.remembers
	if r == nil || s.key == "" || s.cleared {
		return true
	}
	now := unixNow()
	if !r.disk.Takes(now) {
		m.refuse(s, errors.New("the disk is slow"))
		return false
	}
	patience := idempotency.Time(s.patience / balancer.Millisecond)
	verdict, answer, changes := r.table.Arrive(now, s.key, s.digest, patience)
	switch verdict {
	case idempotency.Write:
		s.waiting, s.cameAt = true, m.clock.now()
		r.disk.Begins(now)
		s.late = time.AfterFunc(time.Duration(r.disk.Wait(patience))*time.Millisecond, func() { m.put(intentLate{s}) })
		// Not in the store's goroutine alone: it must not wait for this actor.
		r.store.Begin(func(err error) { m.put(intentWritten{s, err}) }, ops(changes)...)
		return false
	case idempotency.Doubtful:
		r.write(changes)
		s.cleared, s.sentBefore = true, true // brain says what becomes of it
		return true
	}
	r.write(changes)
	s.over = true
	switch verdict {
	case idempotency.Replay:
		s.reply <- reply{kind: replyStored, text: answer}
	case idempotency.Open:
		s.reply <- reply{kind: replyOpen}
	case idempotency.Other:
		s.reply <- reply{kind: replyOther}
	default:
		s.reply <- reply{kind: replyShed, retryAfter: m.d.Balancer.MaxRetryAfter}
	}
	return false
}

// refuse sheds a search whose intent cannot be written: nothing of it has been sent.
func (m *module) refuse(s *search, why error) {
	if r := m.remembers; !r.refused {
		r.refused = true
		slog.Warn("store_refuses", "error", why)
	}
	s.over = true
	s.reply <- reply{kind: replyShed, retryAfter: m.d.Balancer.MaxRetryAfter}
}

// written goes on with a search whose intent is on the disk.
func (m *module) written(e intentWritten) {
	r, s := m.remembers, e.s
	r.disk.Ends()
	s.late.Stop()
	wanted := s.waiting && !s.left
	s.waiting = false
	switch {
	case e.err != nil:
		r.table.NeverRan(s.key)
		if wanted {
			m.refuse(s, e.err)
		}
		return
	case !wanted: // its client has left, or it has been shed meanwhile: nothing of it was sent, nor will be
		r.write(r.table.NeverRan(s.key))
		return
	}
	if r.refused {
		r.refused = false
		slog.Info("store_takes_again")
	}
	if !r.table.Durable(s.key) {
		m.refuse(s, errors.New("its intent is not expected any more"))
		return
	}
	s.cleared = true
	s.patience -= m.clock.now() - s.cameAt
	m.arrived(s)
}

// lateIntent sheds a search whose intent takes too long to be written, while its client still waits.
func (m *module) lateIntent(s *search) {
	if s.waiting && !s.left {
		s.waiting = false
		m.refuse(s, errors.New("the disk is slow"))
	}
}

// unsent frees the key of a search of which nothing was sent.
func (m *module) unsent(s *search) {
	if m.remembers != nil && s.cleared && !s.sentBefore {
		m.remembers.write(m.remembers.table.NeverRan(s.key))
	}
}

// outcome notes what became of a search that must not run twice, and gives its answer the text that repeats will get.
func (m *module) outcome(s *search, r *reply) {
	if m.remembers == nil || !s.cleared || s.sentBefore {
		return
	}
	t := m.remembers.table
	switch r.kind {
	case replyAnswer:
		r.text = answerText(r.whole, r.values)
		m.remembers.write(t.Answered(s.key, r.text))
	case replyShed: // brain sheds it only where all its sub-requests are known not to have run
		m.remembers.write(t.NeverRan(s.key))
	default:
		m.remembers.write(t.Unknown(s.key))
	}
}

// abandoned notes that a search's client has left.
func (m *module) abandoned(s *search) {
	if m.remembers == nil || !s.cleared || s.sentBefore {
		return
	}
	for _, p := range s.parts {
		if len(p.sends) > 0 {
			m.remembers.write(m.remembers.table.Unknown(s.key))
			return
		}
	}
	m.remembers.write(m.remembers.table.NeverRan(s.key))
}

// keepList writes what the list service has told.
func (r *remembered) keepList(l discovery.ServerList) {
	var changes []store.Op
	if l.Complete {
		named := map[string]bool{"": true}
		for _, e := range l.Servers {
			named[e.Host] = true
		}
		for host := range r.store.All(TableList) {
			if !named[host] {
				changes = append(changes, store.Op{Table: TableList, Key: host, Delete: true})
			}
		}
	}
	for _, e := range l.Servers {
		raw, err := json.Marshal(e)
		if err != nil || e.Host == "" {
			continue
		}
		changes = append(changes, store.Op{Table: TableList, Key: e.Host, Value: raw, Delete: e.Health == discovery.Removed})
	}
	changes = append(changes, store.Op{Table: TableList, Key: "", Value: strconv.AppendUint(nil, l.Version, 10)})
	r.store.Begin(func(error) {}, changes...) // an old list is better than none, and the service will tell anew
}

// list is the list as last told, if it is not older than the one that the configuration holds. What does not fit is dropped.
func (r *remembered) list(known discovery.ServerList, fits func(discovery.Server) error) discovery.ServerList {
	held := r.store.All(TableList)
	seq, err := strconv.ParseUint(string(held[""]), 10, 64)
	switch {
	case len(held) == 0:
		return known
	case err != nil || seq < known.Version:
		slog.Info("stored_list_dropped", "seq", seq, "known", known.Version)
		return known
	}
	var hosts []json.RawMessage
	for host, raw := range held {
		if host != "" {
			hosts = append(hosts, raw)
		}
	}
	raw, err := json.Marshal(map[string]any{"seq": seq, "whole": true, "hosts": hosts})
	if err == nil {
		var l discovery.ServerList
		if l, err = discovery.Parse(raw, fits); err == nil && len(l.Servers) > 0 {
			slog.Info("stored_list", "seq", seq, "hosts", len(l.Servers))
			return l
		}
	}
	slog.Info("stored_list_dropped", "seq", seq, "error", err)
	return known
}

// keepEvery is how often what is learned of servers is written. It counts for ten seconds; a loss of one does no harm.
const keepEvery = 1000 * balancer.Millisecond

// keepLearned writes what has been learned of servers since it was last written.
func (m *module) keepLearned(now balancer.Time) {
	since := m.keptAt
	m.keptAt = now
	var changes []store.Op
	for _, l := range m.brain.ServerRecords() {
		s := m.servers[l.ID]
		if s == nil || l.TaughtAt < since {
			continue
		}
		if raw, err := json.Marshal(l); err == nil {
			changes = append(changes, store.Op{Table: TableLearned, Key: s.host, Value: raw})
		}
	}
	for host := range m.remembers.store.All(TableLearned) {
		if s := m.servers[m.ids[host]]; s == nil || !s.listed {
			changes = append(changes, store.Op{Table: TableLearned, Key: host, Delete: true})
		}
	}
	if len(changes) > 0 {
		m.remembers.store.Begin(func(error) {}, changes...) // it is learned anew soon enough
	}
}

// recall tells brain what an earlier run had learned of the servers that are listed.
func (m *module) recall() {
	var e balancer.RecordsRestored
	for host, raw := range m.remembers.store.All(TableLearned) {
		var l balancer.ServerRecord
		if id, known := m.ids[host]; known && json.Unmarshal(raw, &l) == nil {
			l.ID = id
			e.Servers = append(e.Servers, l)
		}
	}
	slog.Info("learned_recalled", "servers", len(e.Servers))
	m.keptAt = m.clock.now()
	m.handle(e)
}
