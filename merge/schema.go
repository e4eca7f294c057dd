package merge

import (
	"fmt"
	"strconv"
	"strings"
)

// Segment is the number of an index segment, that is, of a shard.
type Segment int

// Version is the version number that a segment assigns to its data. Equal versions of a segment mean equal data.
type Version uint64

// Kind is the type of a column's values.
type Kind uint8

// Kinds of values and their JSON representations.
const (
	Text  Kind = iota // a JSON string
	Date              // a JSON string, YYYY-MM-DD
	Int               // a JSON integer, signed 64-bit
	Money             // a JSON string, an exact decimal such as "-12.50"
)

// kindNames are the names of kinds in the operator's file.
var kindNames = [...]string{"text", "date", "int", "money"}

// String returns the kind's name in the operator's file.
func (k Kind) String() string { return kindNames[k] }

// MaxDigits is the largest number of decimal digits of an amount, before and after the decimal point together.
const MaxDigits = 38

// maxScale is the largest number of digits of an amount after the decimal point.
const maxScale = 12

// Column is one column of a schema. Values may be null except in the account and row columns.
type Column struct {
	Name     string
	Kind     Kind
	Scale    int  // Money: largest number of digits after the decimal point
	Unsigned bool // values are never negative, so a sum over some of the segments is a lower bound
}

// Schema describes the rows of all segments.
type Schema struct {
	Name    string // name in requests to segments and in their responses
	Columns []Column
	Account int // index of the account column, which breaks ties
	Row     int // index of the column with the row id, which is unique within an account; -1 = one row per account
	Digits  int // largest number of digits of an amount or a sum
}

// ColumnIndex returns the index of the column with a name, or -1 if there is none.
func (s *Schema) ColumnIndex(name string) int {
	for i, c := range s.Columns {
		if c.Name == name {
			return i
		}
	}
	return -1
}

// ParseColumn parses the definition of a column in the operator's file: NAME:KIND, where KIND is text, date, int, money or
// money(SCALE). The scale is 2 by default. A trailing + marks numbers that are never negative.
func ParseColumn(text string) (Column, error) {
	name, kind, ok := strings.Cut(text, ":")
	if !ok || !isValidName(name) {
		return Column{}, fmt.Errorf("column %.60q is not NAME:KIND", text)
	}
	c := Column{Name: name, Scale: 2}
	kind, c.Unsigned = strings.CutSuffix(kind, "+")
	if scale, isMoney := strings.CutPrefix(kind, "money("); isMoney {
		n, err := strconv.Atoi(strings.TrimSuffix(scale, ")"))
		if err != nil || !strings.HasSuffix(scale, ")") || n < 0 || n > maxScale {
			return Column{}, fmt.Errorf("the scale of column %q is not a number from 0 to %d", name, maxScale)
		}
		c.Scale, kind = n, "money"
	}
	for k, known := range kindNames {
		if kind == known {
			c.Kind = Kind(k)
			if c.Unsigned && c.Kind != Int && c.Kind != Money {
				return Column{}, fmt.Errorf("column %q is %s, which has no sign to rule out", name, kind)
			}
			return c, nil
		}
	}
	return Column{}, fmt.Errorf("column %q is of unknown kind %.40q: text, date, int, money or money(SCALE) are known", name, kind)
}

// Check returns an error if the schema is not valid.
func (s *Schema) Check() error {
	seen := map[string]bool{}
	for _, c := range s.Columns {
		if seen[c.Name] {
			return fmt.Errorf("column %q is named twice", c.Name)
		}
		seen[c.Name] = true
	}
	switch {
	case len(s.Columns) == 0 || len(s.Columns) > maxColumns:
		return fmt.Errorf("a schema has 1 to %d columns, not %d", maxColumns, len(s.Columns))
	case s.Account < 0 || s.Account >= len(s.Columns) || s.Columns[s.Account].Kind != Text:
		return fmt.Errorf("the account's column must be one of the schema's and text")
	case s.Row >= len(s.Columns) || s.Row == s.Account:
		return fmt.Errorf("the row's column must be another one of the schema's")
	case s.Digits < 1 || s.Digits > MaxDigits:
		return fmt.Errorf("digits must be from 1 to %d", MaxDigits)
	}
	for _, c := range s.Columns {
		if c.Kind == Money && c.Scale >= s.Digits {
			return fmt.Errorf("column %q leaves no digit before the point", c.Name)
		}
	}
	return nil
}

// maxColumns is the largest number of columns of a schema. It bounds the cost of parsing a row.
const maxColumns = 64

// isValidName reports whether a name consists of 1 to 60 letters, digits, underscores and hyphens.
func isValidName(s string) bool {
	for _, c := range []byte(s) {
		if !('a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || c == '_' || c == '-') {
			return false
		}
	}
	return 0 < len(s) && len(s) <= 60
}
