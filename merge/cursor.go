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

// pagination is the state of a paged list between two pages.
//
// Each segment has a position: the row after which it continues. A segment that was included in a page continues after the
// last row of the page, whether or not that row is its own. A missing segment keeps its position, so that none of its rows
// is skipped; rows that it later returns from before the furthest position are reported as late. Most segments have the
// same position, so a cursor holds the few different ones and an index for each segment.
type pagination struct {
	positions        []position // different positions; the first is the beginning of the list
	segmentPositions []int      // by index in Query.segments: index in positions
	versions         []*Version // by index in Query.segments: version last included; nil = none
	rowsBefore       int        // rows on all pages so far
	changed          bool       // a segment's version has changed between two pages
}

// furthestKey returns the sort key of the furthest position of any segment.
func (w *pagination) furthestKey() string {
	far := ""
	for _, m := range w.positions {
		far = max(far, m.sortKey)
	}
	return far
}

// finishPage counts late rows, detects changed versions, and encodes the cursor of the next page.
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
		a.Complete = false // pages of different versions are not one list
	}
	if !behind {
		a.End = true
		return
	}
	a.NextCursor = q.encodeCursor(&next)
	if len(a.NextCursor) > q.binding.maxLength {
		a.NextCursor, a.CursorTooLong = "", true // a cursor of this length would not be accepted
		a.Complete = false
	}
}

// positionIndex returns the index of a position, which is added if it is new.
func (w *pagination) positionIndex(m position) int {
	for i := range w.positions {
		if w.positions[i].sortKey == m.sortKey {
			return i
		}
	}
	w.positions = append(w.positions, m)
	return len(w.positions) - 1
}

// cursorBinding identifies the list that a cursor belongs to: query type, customer, statement, order, schema, and
// segments.
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

// encodeCursor returns a signed cursor.
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

// Errors of cursors. Clients see their texts.
var (
	errCursorTooLong   = errors.New("the cursor is longer than any that is given out")
	errCursorMalformed = errors.New("the cursor was not given out here, or has been changed")
	errCursorKey       = errors.New("the cursor's key is no longer in use: begin the list again")
	errCursorMismatch  = errors.New("the cursor is for another search: query type, customer, statement, order and tablets must be the same")
	errCursorExpired   = errors.New("the cursor has expired: begin the list again")
)

// decodeCursor verifies a cursor and continues its list.
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

// cursorReader decodes the fields of a cursor. After an error all further fields are zero.
type cursorReader struct {
	b       []byte
	invalid bool
}

// take returns the next n bytes.
func (r *cursorReader) take(n int) []byte {
	if r.invalid || n > len(r.b) {
		r.invalid = true
		return nil
	}
	out := r.b[:n]
	r.b = r.b[n:]
	return out
}

// uvarint returns the next integer, which must not exceed a limit.
func (r *cursorReader) uvarint(most uint64) uint64 {
	v, n := binary.Uvarint(r.b)
	if r.invalid || n <= 0 || v > most {
		r.invalid = true
		return 0
	}
	r.b = r.b[n:]
	return v
}

// scalar returns the next value of a row.
func (r *cursorReader) scalar() scalar {
	text := string(r.take(int(r.uvarint(math.MaxInt32))))
	s, n, err := scanScalar(text)
	if err != nil || n != len(text) {
		r.invalid = true
	}
	return s
}
