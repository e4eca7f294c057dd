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
	// TableRequests holds the requests that must not run twice, encoded by package idempotency, by idempotency key.
	TableRequests store.Table = 1
	// TableServerList holds the last server list: its entries as JSON, by host, and its version in decimal under
	// listVersionKey.
	TableServerList store.Table = 2
	// TableServerRecords holds the balancer's records of servers as JSON, by host.
	TableServerRecords store.Table = 3
)

// listVersionKey is the key of the list's version in TableServerList. No host has this name.
const listVersionKey = ""

// saveInterval is the interval at which the records of servers are saved. A record is used for ten seconds, so losing
// those since the last save does no harm.
const saveInterval = 1000 * balancer.Millisecond

// persistence is the state that survives restarts. It is accessed only by the dispatcher's goroutine.
type persistence struct {
	store     *store.Store
	table     *idempotency.Table
	diskGuard idempotency.DiskGuard
	failing   bool // the last intent could not be written; logged once until one is written again
}

// openPersistence opens the store that is configured in the operator's file, restores the idempotency table from it, and
// logs what it contains and any damage.
func openPersistence(o *operatorconfig.Store) (*persistence, error) {
	disk, err := store.OpenDisk(o.Directory)
	if err != nil {
		return nil, fmt.Errorf("store %s: %w", o.Directory, err)
	}
	s, report, err := store.Open(disk, store.Options{MaxBytes: o.MaxMirrorBytes, CommitDelay: o.CommitDelay})
	for _, damage := range report.Damage {
		slog.Warn("store_damage", "path", o.Directory, "what", damage, "mended", report.Repaired)
	}
	if err != nil {
		return nil, fmt.Errorf("store %s: %w", o.Directory, err)
	}
	p := &persistence{
		store:     s,
		diskGuard: idempotency.DiskGuard{WriteTimeout: idempotency.Time(o.WriteTimeout.Milliseconds())},
		table: idempotency.New(idempotency.Config{Retention: idempotency.Time(o.Retention.Milliseconds()), MaxRequests: o.MaxOutcomes,
			MaxAnswerBytes: int(o.MaxAnswerBytes)}),
	}
	unreadable := 0
	for key, value := range s.All(TableRequests) {
		if p.table.Restore(idempotency.Key(key), value) != nil {
			unreadable++
		}
	}
	slog.Info("store_open", "path", o.Directory, "records", report.LastRecord, "searches", p.table.Len(),
		"unreadable", unreadable, "mended", report.Repaired)
	return p, nil
}

// close closes the store and logs an error.
func (p *persistence) close() {
	if err := p.store.Close(); err != nil {
		slog.Error("store_close", "error", err)
	}
}

// unixNow returns the Unix time in milliseconds.
func unixNow() idempotency.Time { return idempotency.Time(time.Now().UnixMilli()) }

// write writes changes without waiting for them. If that fails the outcome of their requests stays unknown, which is safe.
func (p *persistence) write(changes []idempotency.Change) {
	if len(changes) == 0 {
		return
	}
	p.store.CommitAsync(func(err error) {
		if err != nil && !errors.Is(err, store.ErrClosed) {
			slog.Warn("store_not_written", "error", err)
		}
	}, storeOps(changes)...)
}

// storeOps converts changes of the idempotency table into operations of the store.
func storeOps(changes []idempotency.Change) (ops []store.Op) {
	for _, c := range changes {
		ops = append(ops, store.Op{Table: TableRequests, Key: string(c.Key), Value: c.Value, Delete: c.Value == nil})
	}
	return ops
}

// saveServerList saves an update of the server list. An error is ignored: an old list is better than none, and the
// discovery service will send a new one.
func (p *persistence) saveServerList(list discovery.ServerList) {
	var changes []store.Op
	if list.Complete {
		listed := map[string]bool{listVersionKey: true}
		for _, s := range list.Servers {
			listed[s.Host] = true
		}
		for host := range p.store.All(TableServerList) {
			if !listed[host] {
				changes = append(changes, store.Op{Table: TableServerList, Key: host, Delete: true})
			}
		}
	}
	for _, s := range list.Servers {
		raw, err := json.Marshal(s)
		if err != nil || s.Host == listVersionKey {
			continue
		}
		changes = append(changes, store.Op{Table: TableServerList, Key: s.Host, Value: raw,
			Delete: s.Health == discovery.Removed})
	}
	changes = append(changes, store.Op{Table: TableServerList, Key: listVersionKey,
		Value: strconv.AppendUint(nil, list.Version, 10)})
	p.store.CommitAsync(func(error) {}, changes...)
}

// loadServerList returns the stored server list, or the known one if that is newer or the stored one is missing, empty or
// invalid. Entries that are not accepted are skipped.
func (p *persistence) loadServerList(known discovery.ServerList, accept func(discovery.Server) error) discovery.ServerList {
	stored := p.store.All(TableServerList)
	if len(stored) == 0 {
		return known
	}
	version, err := strconv.ParseUint(string(stored[listVersionKey]), 10, 64)
	if err != nil || version < known.Version {
		slog.Info("stored_list_dropped", "seq", version, "known", known.Version)
		return known
	}
	var hosts []json.RawMessage
	for host, raw := range stored {
		if host != listVersionKey {
			hosts = append(hosts, raw)
		}
	}
	raw, err := json.Marshal(map[string]any{"seq": version, "whole": true, "hosts": hosts})
	if err == nil {
		var list discovery.ServerList
		if list, err = discovery.Parse(raw, accept); err == nil && len(list.Servers) > 0 {
			slog.Info("stored_list", "seq", version, "hosts", len(list.Servers))
			return list
		}
	}
	slog.Info("stored_list_dropped", "seq", version, "error", err)
	return known
}

// saveServerRecords saves the records of servers that were measured since the last save, and deletes those of servers that
// are no longer listed. An error is ignored, as the servers are soon measured again.
func (d *dispatcher) saveServerRecords(now balancer.Time) {
	since := d.recordsSavedAt
	d.recordsSavedAt = now
	var changes []store.Op
	for _, record := range d.balancer.ServerRecords() {
		s := d.servers[record.ID]
		if s == nil || record.MeasuredAt < since {
			continue
		}
		if raw, err := json.Marshal(record); err == nil {
			changes = append(changes, store.Op{Table: TableServerRecords, Key: s.host, Value: raw})
		}
	}
	for host := range d.persistence.store.All(TableServerRecords) {
		if s := d.servers[d.serverIDs[host]]; s == nil || !s.listed {
			changes = append(changes, store.Op{Table: TableServerRecords, Key: host, Delete: true})
		}
	}
	if len(changes) > 0 {
		d.persistence.store.CommitAsync(func(error) {}, changes...)
	}
}

// restoreServerRecords passes the stored records of servers in the list to the balancer.
func (d *dispatcher) restoreServerRecords() {
	var event balancer.RecordsRestored
	for host, raw := range d.persistence.store.All(TableServerRecords) {
		var record balancer.ServerRecord
		if id, known := d.serverIDs[host]; known && json.Unmarshal(raw, &record) == nil {
			record.ID = id
			event.Servers = append(event.Servers, record)
		}
	}
	slog.Info("learned_recalled", "servers", len(event.Servers))
	d.recordsSavedAt = d.clock.now()
	d.handle(event)
}
