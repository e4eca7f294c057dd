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

// walk is where the reading of a paged list stands, between two pages.
//
// Each segment has a place: the row behind which it goes on. A segment that was in on a page goes on behind the page's
// last row, whether or not that row was its own. One that was missing stays where it was, so that nothing of it is
// skipped; what it then gives from before the furthest place comes late, and is said to. Most segments share a place,
// so a cursor holds the few places there are, and for each segment which one is its.
type walk struct {
	marks  []mark // the places; the first is before all rows
	places []int  // of each segment asked, among marks
	stamps []*Stamp
	before int  // rows given
	moved  bool // data has moved on between two pages of this walk
}

// furthest is the furthest place that any segment has come to.
func (w *walk) furthest() string {
	far := ""
	for _, m := range w.marks {
		far = max(far, m.at)
	}
	return far
}

// turn ends a page: what came late, how the data moved, and the cursor of the next page.
func (m *Merge) turn(a *Answer, after bool) {
	q, w := m.q, &m.q.walk
	far := w.furthest()
	for a.Late < len(a.Rows) && a.Rows[a.Late].key <= far {
		a.Late++
	}
	a.Before, a.Moved = w.before, w.moved
	for _, s := range a.Segments {
		a.Moved = a.Moved || s.Moved
	}
	next := walk{marks: []mark{{}}, places: make([]int, len(w.places)), stamps: make([]*Stamp, len(w.stamps)),
		before: w.before + len(a.Rows), moved: a.Moved}
	var last mark
	if n := len(a.Rows); n > 0 {
		last = q.allowed.Schema.markOf(q.order, a.Rows[n-1])
	}
	behind := after
	for i, p := range m.parts {
		at := w.marks[w.places[i]]
		next.stamps[i] = w.stamps[i]
		if p != nil {
			if at.at < last.at {
				at = last
			}
			next.stamps[i] = &p.stamp
		} else {
			behind = true
		}
		next.places[i] = next.place(at)
	}
	if a.Moved {
		a.Whole = false // pages of different data do not make one list
	}
	if !behind {
		a.Last = true
		return
	}
	a.Next = q.seal(&next)
	if len(a.Next) > q.bind.most {
		a.Next, a.Stuck = "", true // never a cursor that would be refused
		a.Whole = false
	}
}

// place finds a place among the marks, adding it where it is new.
func (w *walk) place(m mark) int {
	for i := range w.marks {
		if w.marks[i].at == m.at {
			return i
		}
	}
	w.marks = append(w.marks, m)
	return len(w.marks) - 1
}

// binding is what a cursor is good for, and nothing else: query type, customer, statement, order, schema, segments.
type binding struct {
	sum  [16]byte
	most int
}

func bindingOf(p Paging, q *Query) binding {
	var b []byte
	for _, s := range append([]string{q.allowed.Schema.Name, p.Type, p.Customer, string(p.Statement)}, q.names...) {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	for _, a := range q.asked {
		b = binary.AppendUvarint(b, uint64(a.Segment))
	}
	sum := blake3.Sum256(b)
	return binding{[16]byte(sum[:16]), p.Most}
}

// A cursor, in base64 for URLs: a version, the key's id and its length before, the binding, when it ends, the walk, and
// a keyed BLAKE3 over all of that. It is signed, not hidden: it holds values of a row that its owner has been given.
const cursorVersion = 1

func (q *Query) seal(w *walk) string {
	key := q.keys.Primary()
	b := append([]byte{cursorVersion, byte(len(key.ID))}, key.ID...)
	b = append(b, q.bind.sum[:]...)
	b = binary.AppendUvarint(b, uint64(max(q.now+q.life, 0)))
	b = binary.AppendUvarint(b, uint64(w.before))
	b = append(b, flag(w.moved))
	b = binary.AppendUvarint(b, uint64(len(w.marks)-1))
	for _, m := range w.marks[1:] {
		for _, v := range m.keys {
			b = appendText(b, v.raw)
		}
		b = appendText(b, m.account.raw)
		b = binary.AppendUvarint(b, uint64(m.segment))
		if q.allowed.Schema.Row >= 0 {
			b = appendText(b, m.row.raw)
		}
	}
	for i, at := range w.places {
		b = binary.AppendUvarint(b, uint64(at))
		if s := w.stamps[i]; s == nil {
			b = append(b, 0)
		} else {
			b = binary.AppendUvarint(append(b, 1), uint64(*s))
		}
	}
	return base64.RawURLEncoding.EncodeToString(append(b, key.MAC(b)...))
}

func flag(v bool) byte {
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
	errCursorLong    = errors.New("the cursor is longer than any that is given out")
	errCursorForm    = errors.New("the cursor was not given out here, or has been changed")
	errCursorKey     = errors.New("the cursor's key is no longer in use: begin the list again")
	errCursorForeign = errors.New("the cursor is for another search: query type, customer, statement, order and tablets must be the same")
	errCursorOld     = errors.New("the cursor has expired: begin the list again")
)

// open takes up a walk from a cursor.
func (q *Query) open(text string, p Paging) error {
	if len(text) > q.bind.most {
		return errCursorLong
	}
	all, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(all) < 2+keyring.MACSize || all[0] != cursorVersion || len(all) < 2+int(all[1])+keyring.MACSize {
		return errCursorForm
	}
	key := q.keys.Find(string(all[2 : 2+int(all[1])]))
	if key == nil {
		return errCursorKey
	}
	b, mac := all[:len(all)-keyring.MACSize], all[len(all)-keyring.MACSize:]
	if !key.Valid(b, mac) {
		return errCursorForm
	}
	r := reader{b: b[2+len(key.ID):]}
	if !bytes.Equal(r.take(len(q.bind.sum)), q.bind.sum[:]) {
		return errCursorForeign
	}
	if ends := r.number(math.MaxInt64); !r.bad && p.Now >= int64(ends) {
		return errCursorOld
	}
	w := walk{marks: []mark{{}}, before: int(r.number(math.MaxInt32)), moved: r.number(1) == 1}
	schema := q.allowed.Schema
	for range r.number(uint64(len(q.asked))) {
		var m mark
		for range q.order {
			m.keys = append(m.keys, r.scalar())
		}
		m.account = r.scalar()
		m.segment = Segment(r.number(math.MaxUint32))
		if schema.Row >= 0 {
			m.row = r.scalar()
		}
		if r.bad || schema.restore(q.order, &m) != nil {
			return errCursorForm
		}
		w.marks = append(w.marks, m)
	}
	for range q.asked {
		w.places = append(w.places, int(r.number(uint64(len(w.marks)-1))))
		var s *Stamp
		if r.number(1) == 1 {
			v := Stamp(r.number(math.MaxUint64))
			s = &v
		}
		w.stamps = append(w.stamps, s)
	}
	if r.bad || len(r.b) > 0 {
		return errCursorForm
	}
	q.walk = w
	return nil
}

// reader takes a cursor apart. A fault sticks.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) take(n int) []byte {
	if r.bad || n > len(r.b) {
		r.bad = true
		return nil
	}
	out := r.b[:n]
	r.b = r.b[n:]
	return out
}

func (r *reader) number(most uint64) uint64 {
	v, n := binary.Uvarint(r.b)
	if r.bad || n <= 0 || v > most {
		r.bad = true
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) scalar() scalar {
	text := string(r.take(int(r.number(math.MaxInt32))))
	s, n, err := scanScalar(text)
	if err != nil || n != len(text) {
		r.bad = true
	}
	return s
}
