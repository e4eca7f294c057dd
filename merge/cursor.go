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
// last row of the page, even if that row belongs to another segment. The position of a missing segment does not change, so
// that none of its rows is skipped; rows that it returns later and that sort before the furthest position are reported as
// late. Most segments have the same position, so a cursor holds the distinct positions and one index per segment.
type pagination struct {
	positions        []position // distinct positions; the first one is the start of the list
	segmentPositions []int      // by index in Query.segments: index into positions
	versions         []*Version // by index in Query.segments: version of the last included response; nil = none
	rowsBefore       int        // number of rows on all previous pages
	changed          bool       // a segment's version has changed between two pages
}

// furthestKey returns the sort key of the furthest position of any segment.
func (p *pagination) furthestKey() string {
	furthest := ""
	for _, pos := range p.positions {
		furthest = max(furthest, pos.sortKey)
	}
	return furthest
}

// finishPage sets the fields of result that only pages have: the number of late rows, whether versions have changed, and
// the cursor of the next page. more states whether included segments have, or may have, rows after the page.
func (m *Merge) finishPage(result *Result, more bool) {
	q, current := m.query, &m.query.pagination
	furthest := current.furthestKey()
	for result.LateCount < len(result.Rows) && result.Rows[result.LateCount].key <= furthest {
		result.LateCount++
	}
	result.Preceding, result.Changed = current.rowsBefore, current.changed
	for _, s := range result.Segments {
		result.Changed = result.Changed || s.Changed
	}
	next := pagination{positions: []position{{}}, segmentPositions: make([]int, len(current.segmentPositions)),
		versions: make([]*Version, len(current.versions)), rowsBefore: current.rowsBefore + len(result.Rows), changed: result.Changed}
	var last position
	if n := len(result.Rows); n > 0 {
		last = q.policy.Schema.positionAfter(q.order, result.Rows[n-1])
	}
	unfinished := more
	for i, response := range m.responses {
		position := current.positions[current.segmentPositions[i]]
		next.versions[i] = current.versions[i]
		if response != nil {
			if position.sortKey < last.sortKey {
				position = last
			}
			next.versions[i] = &response.version
		} else {
			unfinished = true
		}
		next.segmentPositions[i] = next.positionIndex(position)
	}
	if result.Changed {
		result.Complete = false // pages of different versions do not form one consistent list
	}
	if !unfinished {
		result.End = true
		return
	}
	result.NextCursor = q.encodeCursor(&next)
	if len(result.NextCursor) > q.binding.maxLength {
		result.NextCursor, result.CursorTooLong = "", true // decodeCursor would reject a cursor of this length
		result.Complete = false
	}
}

// positionIndex returns the index of a position in positions, to which it adds the position if it is new.
func (p *pagination) positionIndex(pos position) int {
	for i := range p.positions {
		if p.positions[i].sortKey == pos.sortKey {
			return i
		}
	}
	p.positions = append(p.positions, pos)
	return len(p.positions) - 1
}

// cursorBinding identifies the list that a cursor belongs to, by a hash of schema, query type, customer, statement, order and
// segments. maxLength is the largest length of a cursor in bytes.
type cursorBinding struct {
	hash      [16]byte
	maxLength int
}

func newCursorBinding(p Paging, q *Query) cursorBinding {
	var b []byte
	for _, s := range append([]string{q.policy.Schema.Name, p.QueryType, p.Customer, string(p.Statement)}, q.orderNames...) {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	for _, segment := range q.segments {
		b = binary.AppendUvarint(b, uint64(segment.Segment))
	}
	sum := blake3.Sum256(b)
	return cursorBinding{[16]byte(sum[:16]), p.MaxLength}
}

// cursorVersion is the version of the cursor format. A cursor is unpadded base64 for URLs of: the version, the length and
// id of the signing key, the hash of the cursorBinding, the expiry in Unix milliseconds, the pagination state, and a keyed
// BLAKE3 MAC over all of these. It is signed but not encrypted, because it holds only values of rows that the client has
// already received.
const cursorVersion = 1

// encodeCursor returns the signed cursor of a pagination state.
func (q *Query) encodeCursor(state *pagination) string {
	key := q.keys.Primary()
	b := append([]byte{cursorVersion, byte(len(key.ID))}, key.ID...)
	b = append(b, q.binding.hash[:]...)
	b = binary.AppendUvarint(b, uint64(max(q.now+q.cursorLifetime, 0)))
	b = binary.AppendUvarint(b, uint64(state.rowsBefore))
	b = append(b, boolByte(state.changed))
	b = binary.AppendUvarint(b, uint64(len(state.positions)-1))
	for _, pos := range state.positions[1:] {
		for _, v := range pos.keys {
			b = appendText(b, v.raw)
		}
		b = appendText(b, pos.account.raw)
		b = binary.AppendUvarint(b, uint64(pos.segment))
		if q.policy.Schema.Row >= 0 {
			b = appendText(b, pos.row.raw)
		}
	}
	for i, positionIndex := range state.segmentPositions {
		b = binary.AppendUvarint(b, uint64(positionIndex))
		if version := state.versions[i]; version == nil {
			b = append(b, 0)
		} else {
			b = binary.AppendUvarint(append(b, 1), uint64(*version))
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

// Errors of decodeCursor. Clients see their texts.
var (
	errCursorTooLong   = errors.New("the cursor is longer than any that is given out")
	errCursorMalformed = errors.New("the cursor was not given out here, or has been changed")
	errCursorKey       = errors.New("the cursor's key is no longer in use: begin the list again")
	errCursorMismatch  = errors.New("the cursor is for another search: query type, customer, statement, order and tablets must be the same")
	errCursorExpired   = errors.New("the cursor has expired: begin the list again")
)

// decodeCursor verifies a cursor and sets the query's pagination state from it.
func (q *Query) decodeCursor(text string, p Paging) error {
	if len(text) > q.binding.maxLength {
		return errCursorTooLong
	}
	cursor, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(cursor) < 2+keyring.MACSize || cursor[0] != cursorVersion || len(cursor) < 2+int(cursor[1])+keyring.MACSize {
		return errCursorMalformed
	}
	key := q.keys.Find(string(cursor[2 : 2+int(cursor[1])]))
	if key == nil {
		return errCursorKey
	}
	b, mac := cursor[:len(cursor)-keyring.MACSize], cursor[len(cursor)-keyring.MACSize:]
	if !key.Valid(b, mac) {
		return errCursorMalformed
	}
	r := cursorReader{b: b[2+len(key.ID):]}
	if !bytes.Equal(r.next(len(q.binding.hash)), q.binding.hash[:]) {
		return errCursorMismatch
	}
	if expiry := r.uvarint(math.MaxInt64); !r.invalid && p.Now >= int64(expiry) {
		return errCursorExpired
	}
	state := pagination{positions: []position{{}}, rowsBefore: int(r.uvarint(math.MaxInt32)), changed: r.uvarint(1) == 1}
	schema := q.policy.Schema
	for range r.uvarint(uint64(len(q.segments))) {
		var pos position
		for range q.order {
			pos.keys = append(pos.keys, r.scalar())
		}
		pos.account = r.scalar()
		pos.segment = Segment(r.uvarint(math.MaxUint32))
		if schema.Row >= 0 {
			pos.row = r.scalar()
		}
		if r.invalid || schema.restorePosition(q.order, &pos) != nil {
			return errCursorMalformed
		}
		state.positions = append(state.positions, pos)
	}
	for range q.segments {
		state.segmentPositions = append(state.segmentPositions, int(r.uvarint(uint64(len(state.positions)-1))))
		var version *Version
		if r.uvarint(1) == 1 {
			v := Version(r.uvarint(math.MaxUint64))
			version = &v
		}
		state.versions = append(state.versions, version)
	}
	if r.invalid || len(r.b) > 0 {
		return errCursorMalformed
	}
	q.pagination = state
	return nil
}

// cursorReader decodes the fields of a cursor. After an error invalid is set and all further fields are zero.
type cursorReader struct {
	b       []byte
	invalid bool
}

// next returns the next n bytes.
func (r *cursorReader) next(n int) []byte {
	if r.invalid || n > len(r.b) {
		r.invalid = true
		return nil
	}
	field := r.b[:n]
	r.b = r.b[n:]
	return field
}

// uvarint returns the next unsigned varint. A value above limit is an error.
func (r *cursorReader) uvarint(limit uint64) uint64 {
	v, n := binary.Uvarint(r.b)
	if r.invalid || n <= 0 || v > limit {
		r.invalid = true
		return 0
	}
	r.b = r.b[n:]
	return v
}

// scalar returns the next value of a row.
func (r *cursorReader) scalar() scalar {
	text := string(r.next(int(r.uvarint(math.MaxInt32))))
	s, n, err := scanScalar(text)
	if err != nil || n != len(text) {
		r.invalid = true
	}
	return s
}
