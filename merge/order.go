package merge

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
)

// OrderKey is one column of a sort order and its direction. Null values sort last in both directions.
type OrderKey struct {
	Column     int
	Descending bool
}

// Each row has a sort key: a byte string whose lexicographic order is the order of the list. It is the concatenation of the
// values of the order's columns, the account, the segment and, if the schema has a row column, the row id. The last three
// break ties, so that no two rows have equal sort keys. Two rows are compared by one byte comparison, whatever the types of
// the columns.
//
// Each value starts with a prefix byte that sorts null values last. Text is followed by 0 0, and each zero byte within it
// is encoded as 0 255. Integers are big-endian with an inverted sign bit. Amounts are a sign byte and digits of fixed
// width, which are inverted if the amount is negative. In a descending order all bytes of a value except the prefix are
// inverted.

// appendSortKey appends the sort key of a row to b.
func (s *Schema) appendSortKey(b []byte, order []OrderKey, row []scalar, segment Segment) []byte {
	for _, k := range order {
		b = s.appendValue(b, k.Column, row[k.Column], k.Descending)
	}
	b = s.appendValue(b, s.Account, row[s.Account], false)
	b = binary.BigEndian.AppendUint32(b, uint32(segment))
	if s.Row >= 0 {
		b = s.appendValue(b, s.Row, row[s.Row], false)
	}
	return b
}

// Prefix bytes of values in sort keys: null values sort last.
const (
	prefixNotNull = 0x00
	prefixNull    = 0xff
)

// appendValue appends the encoding of a column's value to the sort key b.
func (s *Schema) appendValue(b []byte, column int, v scalar, descending bool) []byte {
	if v.isNull() {
		return append(b, prefixNull)
	}
	b = append(b, prefixNotNull)
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
		negative, integer, fraction, _ := splitDecimal(v.text, s.Digits, c.Scale)
		b = append(b, 1)
		for range s.Digits - c.Scale - len(integer) {
			b = append(b, '0')
		}
		b = append(append(b, integer...), fraction...)
		for range c.Scale - len(fraction) {
			b = append(b, '0')
		}
		if negative {
			b[start] = 0 // negative amounts sort before the others, and the larger their absolute value the earlier
			invert(b[start+1:])
		}
	}
	if descending {
		invert(b[start:])
	}
	return b
}

// invert inverts all bits of b in place.
func invert(b []byte) {
	for i := range b {
		b[i] = ^b[i]
	}
}

// position is a place in a list, directly after one row. It holds the values of that row as received, for the requests to
// segments, and the row's sort key.
type position struct {
	keys    []scalar // values of the order's keys
	account scalar
	segment Segment
	row     scalar // row id; only if the schema has a row column
	sortKey string // "" = the start of the list
}

// positionAfter returns the position directly after a row.
func (s *Schema) positionAfter(order []OrderKey, r Row) position {
	values, _ := scanRow(r.raw, make([]scalar, 0, len(s.Columns))) // cannot fail: readRows has validated the row
	pos := position{account: values[s.Account], segment: r.segment, sortKey: r.key}
	for _, k := range order {
		pos.keys = append(pos.keys, values[k.Column])
	}
	if s.Row >= 0 {
		pos.row = values[s.Row]
	}
	return pos
}

// restorePosition validates the values of a position decoded from a cursor and sets its sort key.
func (s *Schema) restorePosition(order []OrderKey, pos *position) error {
	if len(pos.keys) != len(order) {
		return fmt.Errorf("a position has %d keys, the order has %d", len(pos.keys), len(order))
	}
	row := make([]scalar, len(s.Columns))
	for i, k := range order {
		if err := s.Columns[k.Column].check(pos.keys[i], s.Digits); err != nil {
			return err
		}
		row[k.Column] = pos.keys[i]
	}
	row[s.Account] = pos.account
	if s.Row >= 0 {
		row[s.Row] = pos.row
	}
	pos.sortKey = string(s.appendSortKey(nil, order, row, pos.segment))
	return nil
}

// parseOrder parses a list of columns such as "due" and "-amount", where "-" means descending. Only the allowed columns are
// accepted, each once. Clients see the texts of its errors.
func (s *Schema) parseOrder(names []string, allowed []string) ([]OrderKey, error) {
	if len(names) == 0 || len(names) > maxKeys {
		return nil, fmt.Errorf("order names 1 to %d columns", maxKeys)
	}
	var order []OrderKey
	seen := map[int]bool{}
	for _, name := range names {
		columnName, descending := strings.CutPrefix(name, "-")
		column := s.ColumnIndex(columnName)
		switch {
		case column < 0 || !contains(allowed, columnName):
			return nil, fmt.Errorf("order by %.60q is not allowed", columnName)
		case seen[column]:
			return nil, fmt.Errorf("order names %q twice", columnName)
		}
		seen[column] = true
		order = append(order, OrderKey{column, descending})
	}
	return order, nil
}

// maxKeys is the largest number of columns in an order and in a group. It bounds the length of a cursor.
const maxKeys = 8

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
