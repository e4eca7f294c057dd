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

// persistence is what the module's actor keeps across restarts. It is the actor's alone; the store calls back into its mailbox.
type persistence struct {
	store   *store.Store
	table   *idempotency.Table
	disk    idempotency.Disk
	failing bool // the store was unwell the last time: said once
}

// The store's news to the module's actor.
type (
	// intentWritten says that a search's intent is on the disk, or why it is not.
	intentWritten struct {
		request *clientRequest
		err     error
	}
	// intentTimeout says that it takes too long.
	intentTimeout struct{ request *clientRequest }
)

// openPersistence opens the store that the operator's file names, and says what it found.
func openPersistence(o *operatorconfig.Store) (*persistence, error) {
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
	r := &persistence{store: s, disk: idempotency.Disk{Slow: idempotency.Time(o.Slow.Milliseconds())},
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

func (r *persistence) close() {
	if err := r.store.Close(); err != nil {
		slog.Error("store_close", "error", err)
	}
}

func unixNow() idempotency.Time { return idempotency.Time(time.Now().UnixMilli()) }

// write writes changes that nothing waits for.
func (r *persistence) write(changes []idempotency.Change) {
	if len(changes) > 0 {
		r.store.Begin(func(err error) {
			if err != nil && !errors.Is(err, store.ErrClosed) {
				slog.Warn("store_not_written", "error", err) // the search stays doubtful, which is honest
			}
		}, storeOps(changes)...)
	}
}

func storeOps(changes []idempotency.Change) (out []store.Op) {
	for _, c := range changes {
		out = append(out, store.Op{Table: TableSearches, Key: string(c.Key), Value: c.Value, Delete: c.Value == nil})
	}
	return out
}

// checkIntent deals with a search that must not run twice before anything else is done with it. It guards against a payment post
// that goes out again because a crash wiped out that it had gone out before: nothing of it leaves until its intent is on the
// disk. false = it has been answered, or waits.
func (m *dispatcher) checkIntent(s *clientRequest) bool {
	r := m.persistence
	if r == nil || s.key == "" || s.intentDurable {
		return true
	}
	now := unixNow()
	if !r.disk.Takes(now) {
		m.rejectRequest(s, errors.New("the disk is slow"))
		return false
	}
	patience := idempotency.Time(s.timeout / balancer.Millisecond)
	verdict, answer, changes := r.table.Arrive(now, s.key, s.digest, patience)
	switch verdict {
	case idempotency.Write:
		s.intentPending, s.intentAt = true, m.clock.now()
		r.disk.Begins(now)
		s.intentTimer = time.AfterFunc(time.Duration(r.disk.Wait(patience))*time.Millisecond, func() { m.send(intentTimeout{s}) })
		// Not in the store's goroutine alone: it must not wait for this actor.
		r.store.Begin(func(err error) { m.send(intentWritten{s, err}) }, storeOps(changes)...)
		return false
	case idempotency.Doubtful:
		r.write(changes)
		s.intentDurable, s.mayHaveRun = true, true // brain says what becomes of it
		return true
	}
	r.write(changes)
	s.finished = true
	switch verdict {
	case idempotency.Replay:
		s.result <- result{kind: resultStored, text: answer}
	case idempotency.Open:
		s.result <- result{kind: resultKeyOpen}
	case idempotency.Other:
		s.result <- result{kind: resultKeyMismatch}
	default:
		s.result <- result{kind: resultShed, retryAfter: m.deployment.Balancer.MaxRetryAfter}
	}
	return false
}

// rejectRequest sheds a search whose intent cannot be written: nothing of it has been sent.
func (m *dispatcher) rejectRequest(s *clientRequest, why error) {
	if r := m.persistence; !r.failing {
		r.failing = true
		slog.Warn("store_refuses", "error", why)
	}
	s.finished = true
	s.result <- result{kind: resultShed, retryAfter: m.deployment.Balancer.MaxRetryAfter}
}

// intentWritten goes on with a search whose intent is on the disk.
func (m *dispatcher) intentWritten(e intentWritten) {
	r, s := m.persistence, e.request
	r.disk.Ends()
	s.intentTimer.Stop()
	wanted := s.intentPending && !s.clientGone
	s.intentPending = false
	switch {
	case e.err != nil:
		r.table.NeverRan(s.key)
		if wanted {
			m.rejectRequest(s, e.err)
		}
		return
	case !wanted: // its client has left, or it has been shed meanwhile: nothing of it was sent, nor will be
		r.write(r.table.NeverRan(s.key))
		return
	}
	if r.failing {
		r.failing = false
		slog.Info("store_takes_again")
	}
	if !r.table.Durable(s.key) {
		m.rejectRequest(s, errors.New("its intent is not expected any more"))
		return
	}
	s.intentDurable = true
	s.timeout -= m.clock.now() - s.intentAt
	m.requestArrived(s)
}

// intentTimedOut sheds a search whose intent takes too long to be written, while its client still waits.
func (m *dispatcher) intentTimedOut(s *clientRequest) {
	if s.intentPending && !s.clientGone {
		s.intentPending = false
		m.rejectRequest(s, errors.New("the disk is slow"))
	}
}

// intentUnused frees the key of a search of which nothing was sent.
func (m *dispatcher) intentUnused(s *clientRequest) {
	if m.persistence != nil && s.intentDurable && !s.mayHaveRun {
		m.persistence.write(m.persistence.table.NeverRan(s.key))
	}
}

// recordOutcome notes what became of a search that must not run twice, and gives its answer the text that repeats will get.
func (m *dispatcher) recordOutcome(s *clientRequest, r *result) {
	if m.persistence == nil || !s.intentDurable || s.mayHaveRun {
		return
	}
	t := m.persistence.table
	switch r.kind {
	case resultAnswer:
		r.text = encodeAnswer(r.complete, r.values)
		m.persistence.write(t.Answered(s.key, r.text))
	case resultShed: // brain sheds it only where all its sub-requests are known not to have run
		m.persistence.write(t.NeverRan(s.key))
	default:
		m.persistence.write(t.Unknown(s.key))
	}
}

// recordAbandoned notes that a search's client has left.
func (m *dispatcher) recordAbandoned(s *clientRequest) {
	if m.persistence == nil || !s.intentDurable || s.mayHaveRun {
		return
	}
	for _, p := range s.calls {
		if len(p.attempts) > 0 {
			m.persistence.write(m.persistence.table.Unknown(s.key))
			return
		}
	}
	m.persistence.write(m.persistence.table.NeverRan(s.key))
}

// saveServerList writes what the list service has told.
func (r *persistence) saveServerList(l discovery.ServerList) {
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

// loadServerList is the list as last told, if it is not older than the one that the configuration holds. What does not fit is dropped.
func (r *persistence) loadServerList(known discovery.ServerList, fits func(discovery.Server) error) discovery.ServerList {
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

// saveInterval is how often what is learned of servers is written. It counts for ten seconds; a loss of one does no harm.
const saveInterval = 1000 * balancer.Millisecond

// saveServerRecords writes what has been learned of servers since it was last written.
func (m *dispatcher) saveServerRecords(now balancer.Time) {
	since := m.recordsSavedAt
	m.recordsSavedAt = now
	var changes []store.Op
	for _, l := range m.balancer.ServerRecords() {
		s := m.servers[l.ID]
		if s == nil || l.MeasuredAt < since {
			continue
		}
		if raw, err := json.Marshal(l); err == nil {
			changes = append(changes, store.Op{Table: TableLearned, Key: s.host, Value: raw})
		}
	}
	for host := range m.persistence.store.All(TableLearned) {
		if s := m.servers[m.serverIDs[host]]; s == nil || !s.listed {
			changes = append(changes, store.Op{Table: TableLearned, Key: host, Delete: true})
		}
	}
	if len(changes) > 0 {
		m.persistence.store.Begin(func(error) {}, changes...) // it is learned anew soon enough
	}
}

// restoreServerRecords tells brain what an earlier run had learned of the servers that are listed.
func (m *dispatcher) restoreServerRecords() {
	var e balancer.RecordsRestored
	for host, raw := range m.persistence.store.All(TableLearned) {
		var l balancer.ServerRecord
		if id, known := m.serverIDs[host]; known && json.Unmarshal(raw, &l) == nil {
			l.ID = id
			e.Servers = append(e.Servers, l)
		}
	}
	slog.Info("learned_recalled", "servers", len(e.Servers))
	m.recordsSavedAt = m.clock.now()
	m.handle(e)
}
