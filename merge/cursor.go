package merge

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"math"

	"github.com/zeebo/blake3"

	"oxbowspan/internal/keyring"
)

// pagination is where the reading of a paged list stands, between two pages.
//
// Each segment has a place: the row behind which it goes on. A segment that was in on a page goes on behind the page's
// last row, whether or not that row was its own. One that was missing stays where it was, so that nothing of it is
// skipped; what it then gives from before the furthest place comes late, and is said to. Most segments share a place,
// so a cursor holds the few places there are, and for each segment which one is its.
type pagination struct {
	positions        []position // the places; the first is before all rows
	segmentPositions []int      // of each segment asked, among marks
	versions         []*Version
	rowsBefore       int  // rows given
	changed          bool // data has moved on between two pages of this walk
}

// furthestKey is the furthest place that any segment has come to.
func (w *pagination) furthestKey() string {
	far := ""
	for _, m := range w.positions {
		far = max(far, m.sortKey)
	}
	return far
}

// finishPage ends a page: what came late, how the data moved, and the cursor of the next page.
func (m *Merge) finishPage(a *Result, after bool) {
	q, w := m.query, &m.query.pagination
	far := w.furthestKey()
	for a.LateCount < len(a.Rows) && a.Rows[a.LateCount].key <= far {
		a.LateCount++
	}
	a.Preceding, a.Changed = w.rowsBefore, w.changed
	for _, s := range a.Segments {
		a.Changed = a.Changed || s.Changed
	}
	next := pagination{positions: []position{{}}, segmentPositions: make([]int, len(w.segmentPositions)), versions: make([]*Version, len(w.versions)),
		rowsBefore: w.rowsBefore + len(a.Rows), changed: a.Changed}
	var last position
	if n := len(a.Rows); n > 0 {
		last = q.policy.Schema.positionAfter(q.order, a.Rows[n-1])
	}
	behind := after
	for i, p := range m.responses {
		at := w.positions[w.segmentPositions[i]]
		next.versions[i] = w.versions[i]
		if p != nil {
			if at.sortKey < last.sortKey {
				at = last
			}
			next.versions[i] = &p.version
		} else {
			behind = true
		}
		next.segmentPositions[i] = next.positionIndex(at)
	}
	if a.Changed {
		a.Complete = false // pages of different data do not make one list
	}
	if !behind {
		a.End = true
		return
	}
	a.NextCursor = q.encodeCursor(&next)
	if len(a.NextCursor) > q.binding.maxLength {
		a.NextCursor, a.CursorTooLong = "", true // never a cursor that would be refused
		a.Complete = false
	}
}

// positionIndex finds a place among the marks, adding it where it is new.
func (w *pagination) positionIndex(m position) int {
	for i := range w.positions {
		if w.positions[i].sortKey == m.sortKey {
			return i
		}
	}
	w.positions = append(w.positions, m)
	return len(w.positions) - 1
}

// cursorBinding is what a cursor is good for, and nothing else: query type, customer, statement, order, schema, segments.
type cursorBinding struct {
	sum       [16]byte
	maxLength int
}

func newCursorBinding(p Paging, q *Query) cursorBinding {
	var b []byte
	for _, s := range append([]string{q.policy.Schema.Name, p.QueryType, p.Customer, string(p.Statement)}, q.orderNames...) {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	for _, a := range q.segments {
		b = binary.AppendUvarint(b, uint64(a.Segment))
	}
	sum := blake3.Sum256(b)
	return cursorBinding{[16]byte(sum[:16]), p.MaxLength}
}

// A cursor, in base64 for URLs: a version, the key's id and its length before, the binding, when it ends, the walk, and
// a keyed BLAKE3 over all of that. It is signed, not hidden: it holds values of a row that its owner has been given.
const cursorVersion = 1

func (q *Query) encodeCursor(w *pagination) string {
	key := q.keys.Primary()
	b := append([]byte{cursorVersion, byte(len(key.ID))}, key.ID...)
	b = append(b, q.binding.sum[:]...)
	b = binary.AppendUvarint(b, uint64(max(q.now+q.cursorLifetime, 0)))
	b = binary.AppendUvarint(b, uint64(w.rowsBefore))
	b = append(b, boolByte(w.changed))
	b = binary.AppendUvarint(b, uint64(len(w.positions)-1))
	for _, m := range w.positions[1:] {
		for _, v := range m.keys {
			b = appendText(b, v.raw)
		}
		b = appendText(b, m.account.raw)
		b = binary.AppendUvarint(b, uint64(m.segment))
		if q.policy.Schema.Row >= 0 {
			b = appendText(b, m.row.raw)
		}
	}
	for i, at := range w.segmentPositions {
		b = binary.AppendUvarint(b, uint64(at))
		if s := w.versions[i]; s == nil {
			b = append(b, 0)
		} else {
			b = binary.AppendUvarint(append(b, 1), uint64(*s))
		}
	}
	return base64.RawURLEncoding.EncodeToString(append(b, key.MAC(b)...))
}

func boolByte(v bool) byte {
	if v {
		return 1
	}
	return 0
}

func appendText(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// The faults of cursors, as a client is told them.
var (
	errCursorTooLong   = errors.New("the cursor is longer than any that is given out")
	errCursorMalformed = errors.New("the cursor was not given out here, or has been changed")
	errCursorKey       = errors.New("the cursor's key is no longer in use: begin the list again")
	errCursorMismatch  = errors.New("the cursor is for another search: query type, customer, statement, order and tablets must be the same")
	errCursorExpired   = errors.New("the cursor has expired: begin the list again")
)

// decodeCursor takes up a walk from a cursor.
func (q *Query) decodeCursor(text string, p Paging) error {
	if len(text) > q.binding.maxLength {
		return errCursorTooLong
	}
	all, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(all) < 2+keyring.MACSize || all[0] != cursorVersion || len(all) < 2+int(all[1])+keyring.MACSize {
		return errCursorMalformed
	}
	key := q.keys.Find(string(all[2 : 2+int(all[1])]))
	if key == nil {
		return errCursorKey
	}
	b, mac := all[:len(all)-keyring.MACSize], all[len(all)-keyring.MACSize:]
	if !key.Valid(b, mac) {
		return errCursorMalformed
	}
	r := cursorReader{b: b[2+len(key.ID):]}
	if !bytes.Equal(r.take(len(q.binding.sum)), q.binding.sum[:]) {
		return errCursorMismatch
	}
	if ends := r.uvarint(math.MaxInt64); !r.invalid && p.Now >= int64(ends) {
		return errCursorExpired
	}
	w := pagination{positions: []position{{}}, rowsBefore: int(r.uvarint(math.MaxInt32)), changed: r.uvarint(1) == 1}
	schema := q.policy.Schema
	for range r.uvarint(uint64(len(q.segments))) {
		var m position
		for range q.order {
			m.keys = append(m.keys, r.scalar())
		}
		m.account = r.scalar()
		m.segment = Segment(r.uvarint(math.MaxUint32))
		if schema.Row >= 0 {
			m.row = r.scalar()
		}
		if r.invalid || schema.restorePosition(q.order, &m) != nil {
			return errCursorMalformed
		}
		w.positions = append(w.positions, m)
	}
	for range q.segments {
		w.segmentPositions = append(w.segmentPositions, int(r.uvarint(uint64(len(w.positions)-1))))
		var s *Version
		if r.uvarint(1) == 1 {
			v := Version(r.uvarint(math.MaxUint64))
			s = &v
		}
		w.versions = append(w.versions, s)
	}
	if r.invalid || len(r.b) > 0 {
		return errCursorMalformed
	}
	q.pagination = w
	return nil
}

// cursorReader takes a cursor apart. A fault sticks.
type cursorReader struct {
	b       []byte
	invalid bool
}

func (r *cursorReader) take(n int) []byte {
	if r.invalid || n > len(r.b) {
		r.invalid = true
		return nil
	}
	out := r.b[:n]
	r.b = r.b[n:]
	return out
}

func (r *cursorReader) uvarint(most uint64) uint64 {
	v, n := binary.Uvarint(r.b)
	if r.invalid || n <= 0 || v > most {
		r.invalid = true
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *cursorReader) scalar() scalar {
	text := string(r.take(int(r.uvarint(math.MaxInt32))))
	s, n, err := scanScalar(text)
	if err != nil || n != len(text) {
		r.invalid = true
	}
	return s
}
