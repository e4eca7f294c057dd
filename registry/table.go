package registry

import (
	"cmp"
	"slices"
	"time"
)

// Table holds the records of one controller. Expire bounds its size.
type Table struct {
	heartbeatInterval time.Duration
	records           map[InstanceID]*Record
	cursor            Cursor
	lastHeartbeat     time.Duration // when the last heartbeat of any server was received
}

// minHeartbeatInterval keeps times derived from the interval above zero.
const minHeartbeatInterval = time.Millisecond

// NewTable returns an empty table of servers that send one heartbeat per interval.
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

// LastChange returns the position of the last change of a server's record, 0 if there is none.
func (t *Table) LastChange(id InstanceID) Cursor {
	if r := t.records[id]; r != nil {
		return r.lastChange
	}
	return 0
}

// ChangesAfter returns the records that changed after a cursor, in the order of their last changes.
func (t *Table) ChangesAfter(after Cursor) []*Record {
	return t.recordsAfter(func(r *Record) Cursor { return r.lastChange }, after, "")
}

// UpdatesFor returns the records updated after a cursor that must be sent to another controller, in the order of their last
// updates: those whose heartbeat was received here, those that changed, and those received from a third controller that the
// other one cannot reach itself, as reported by unreachable. Records received from the other controller are left out, unless after is
// 0: that controller is new or has restarted, and may have lost them.
func (t *Table) UpdatesFor(after Cursor, to string, unreachable func(source string) bool) []*Record {
	exceptSource := to
	if after == 0 {
		exceptSource = ""
	}
	all := t.recordsAfter(func(r *Record) Cursor { return r.lastUpdate }, after, exceptSource)
	return slices.DeleteFunc(all, func(r *Record) bool {
		return r.source != "" && r.lastChange <= after && !unreachable(r.source)
	})
}

// recordsAfter returns the records whose position is after a cursor, sorted by position, except those whose last update came
// from exceptSource; "" = no exception.
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

// markChanged assigns the next cursor to a change of a record, and stores the source of the change.
func (t *Table) markChanged(r *Record, source string) {
	t.markUpdated(r, source)
	r.lastChange = t.cursor
}

// markUpdated assigns the next cursor to an update of a record, which need not be a change, and stores its source.
func (t *Table) markUpdated(r *Record, source string) {
	t.cursor++
	r.lastUpdate = t.cursor
	r.source = source
}
