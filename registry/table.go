package registry

import (
	"cmp"
	"slices"
	"time"
)

// Table holds the records of one controller. Expire keeps it bounded.
type Table struct {
	heartbeatInterval time.Duration
	records           map[InstanceID]*Record
	cursor            Cursor
	lastHeartbeat     time.Duration // when any was received
}

// minHeartbeatInterval keeps times derived from the interval above zero.
const minHeartbeatInterval = time.Millisecond

// NewTable returns an empty table of servers that send a heartbeat once in an interval.
func NewTable(heartbeatInterval time.Duration) *Table {
	return &Table{
		heartbeatInterval: max(heartbeatInterval, minHeartbeatInterval),
		records:           map[InstanceID]*Record{},
	}
}

// Cursor returns the position of the last update.
func (t *Table) Cursor() Cursor { return t.cursor }

// Get returns the record of a server, nil if there is none.
func (t *Table) Get(id InstanceID) *Record { return t.records[id] }

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// LastChange returns the position of a server's last change, 0 if there is no record of it.
func (t *Table) LastChange(id InstanceID) Cursor {
	if r := t.records[id]; r != nil {
		return r.lastChange
	}
	return 0
}

// ChangesAfter returns the records with a change after a cursor, in the order of the changes.
func (t *Table) ChangesAfter(after Cursor) []*Record {
	return t.recordsAfter(func(r *Record) Cursor { return r.lastChange }, after, "")
}

// UpdatesFor returns the records with an update after a cursor that another controller must be sent, in the order of the
// updates: those of servers that sent their heartbeat here, those that changed, and those of third controllers that it
// can't reach itself, as unreachable reports.
func (t *Table) UpdatesFor(after Cursor, to string, unreachable func(source string) bool) []*Record {
	all := t.recordsAfter(func(r *Record) Cursor { return r.lastUpdate }, after, to)
	return slices.DeleteFunc(all, func(r *Record) bool {
		return r.source != "" && r.lastChange <= after && !unreachable(r.source)
	})
}

// recordsAfter returns the records whose position is after a cursor, in the order of the positions, without those that came
// from a source; "" = from none.
func (t *Table) recordsAfter(position func(*Record) Cursor, after Cursor, exceptSource string) []*Record {
	if after >= t.cursor {
		return nil
	}
	var records []*Record
	for _, r := range t.records {
		if position(r) > after && (exceptSource == "" || r.source != exceptSource) {
			records = append(records, r)
		}
	}
	slices.SortFunc(records, func(a, b *Record) int { return cmp.Compare(position(a), position(b)) })
	return records
}

// markChanged records a change of a record that came from a source.
func (t *Table) markChanged(r *Record, source string) {
	t.markUpdated(r, source)
	r.lastChange = t.cursor
}

// markUpdated records an update of a record, which may be no change, that came from a source.
func (t *Table) markUpdated(r *Record, source string) {
	t.cursor++
	r.lastUpdate = t.cursor
	r.source = source
}
