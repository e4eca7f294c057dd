package merge

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
)

// OrderKey is one key of an order. Null values come last in either direction.
type OrderKey struct {
	Column     int
	Descending bool
}

// Each row has a sort key: bytes whose lexicographic order is the order of the list. It consists of the order's keys and then of
// account, segment and row, which break ties. So rows are compared at once, whatever the keys are, and no two rows are equal.
//
// Each value begins with a byte that puts null values last. Text ends in 0 0, and its own zeros become 0 255; integers are
// big-endian with an inverted sign bit; amounts are a sign and digits of fixed width, inverted if the sign is minus. In a
// descending order the bytes of a value, except the first, are inverted.

// sortKey appends the sort key of a row to b.
func (s *Schema) sortKey(b []byte, order []OrderKey, row []scalar, at Segment) []byte {
	for _, k := range order {
		b = s.appendValue(b, k.Column, row[k.Column], k.Descending)
	}
	b = s.appendValue(b, s.Account, row[s.Account], false)
	b = binary.BigEndian.AppendUint32(b, uint32(at))
	if s.Row >= 0 {
		b = s.appendValue(b, s.Row, row[s.Row], false)
	}
	return b
}

const (
	present = 0x00
	absent  = 0xff
)

// appendValue appends a value to a sort key.
func (s *Schema) appendValue(b []byte, column int, v scalar, down bool) []byte {
	if v.isNull() {
		return append(b, absent)
	}
	b = append(b, present)
	start, c := len(b), s.Columns[column]
	switch c.Kind {
	case Text, Date:
		for i := range len(v.text) {
			if b = append(b, v.text[i]); v.text[i] == 0 {
				b = append(b, 0xff)
			}
		}
		b = append(b, 0, 0)
	case Int:
		n, _ := strconv.ParseInt(v.text, 10, 64)
		b = binary.BigEndian.AppendUint64(b, uint64(n)^1<<63)
	case Money:
		negative, whole, part, _ := splitDecimal(v.text, s.Digits, c.Scale)
		b = append(b, 1)
		for range s.Digits - c.Scale - len(whole) {
			b = append(b, '0')
		}
		b = append(append(b, whole...), part...)
		for range c.Scale - len(part) {
			b = append(b, '0')
		}
		if negative {
			b[start] = 0 // negative amounts come first, the largest of them before the others
			invert(b[start+1:])
		}
	}
	if down {
		invert(b[start:])
	}
	return b
}

// invert inverts all bits.
func invert(b []byte) {
	for i := range b {
		b[i] = ^b[i]
	}
}

// position is a place in a list: after one row. It has that row's values as received, for the requests to segments, and
// its sort key.
type position struct {
	keys    []scalar // values of the order's keys
	account scalar
	segment Segment
	row     scalar // only if the schema has a row column
	sortKey string // "" = before the first row
}

// positionAfter returns the position after a row.
func (s *Schema) positionAfter(order []OrderKey, r Row) position {
	vals, _ := scanRow(r.raw, make([]scalar, 0, len(s.Columns))) // cannot fail: the row has been checked by readRows
	m := position{account: vals[s.Account], segment: r.segment, sortKey: r.key}
	for _, k := range order {
		m.keys = append(m.keys, vals[k.Column])
	}
	if s.Row >= 0 {
		m.row = vals[s.Row]
	}
	return m
}

// restorePosition checks a position of a cursor and computes its sort key.
func (s *Schema) restorePosition(order []OrderKey, m *position) error {
	if len(m.keys) != len(order) {
		return fmt.Errorf("a place has %d keys, the order %d", len(m.keys), len(order))
	}
	row := make([]scalar, len(s.Columns))
	for i, k := range order {
		if err := s.Columns[k.Column].check(m.keys[i], s.Digits); err != nil {
			return err
		}
		row[k.Column] = m.keys[i]
	}
	row[s.Account] = m.account
	if s.Row >= 0 {
		row[s.Row] = m.row
	}
	m.sortKey = string(s.sortKey(nil, order, row, m.segment))
	return nil
}

// parseOrder parses keys such as "due" and "-amount".
func (s *Schema) parseOrder(names []string, allowed []string) ([]OrderKey, error) {
	if len(names) == 0 || len(names) > maxKeys {
		return nil, fmt.Errorf("order names 1 to %d columns", maxKeys)
	}
	var order []OrderKey
	seen := map[int]bool{}
	for _, name := range names {
		bare, down := strings.CutPrefix(name, "-")
		at := s.ColumnIndex(bare)
		switch {
		case at < 0 || !contains(allowed, bare):
			return nil, fmt.Errorf("order by %.60q is not allowed", bare)
		case seen[at]:
			return nil, fmt.Errorf("order names %q twice", bare)
		}
		seen[at] = true
		order = append(order, OrderKey{at, down})
	}
	return order, nil
}

// maxKeys is the largest number of keys of an order and of columns of a group. It bounds the length of a cursor.
const maxKeys = 8

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
