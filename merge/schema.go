package merge

import (
	"fmt"
	"strconv"
	"strings"
)

// Segment is the number of a shard, as searches name it.
type Segment int

// Version says as of when a segment's data stood: a version or a moment, as the segment counts them. Equal stamps mean
// equal data.
type Version uint64

// Kind is the kind of a column's values.
type Kind uint8

// The kinds of values and their form in JSON.
const (
	Text  Kind = iota // a JSON string
	Date              // a JSON string, YYYY-MM-DD
	Int               // a JSON integer of 64 bits
	Money             // a JSON string, an exact decimal such as "-12.50"
)

var kindNames = [...]string{"text", "date", "int", "money"}

func (k Kind) String() string { return kindNames[k] }

// MaxDigits is the most decimal digits that an amount of money may be given, before and after the point together.
const MaxDigits = 38

// Column is one column of a schema. Any value may be missing (null), save an account's and a row's id.
type Column struct {
	Name     string
	Kind     Kind
	Scale    int  // Money: digits after the point, at most
	Unsigned bool // never below 0: a sum that lacks a segment is then a lower bound
}

// Schema is the form that all segments give their rows in.
type Schema struct {
	Name    string // what parts name it by
	Columns []Column
	Account int // place of the account's column, which settles ties
	Row     int // place of the column that tells an account's rows apart; -1 = one row an account
	Digits  int // the most digits of an amount or a sum
}

// ColumnIndex finds a column by name; -1 = there is none.
func (s *Schema) ColumnIndex(name string) int {
	for i, c := range s.Columns {
		if c.Name == name {
			return i
		}
	}
	return -1
}

// ParseColumn reads a column as the operator writes it: NAME:KIND, with KIND one of text, date, int, money or
// money(SCALE), and a + after it for values that are never below 0.
func ParseColumn(text string) (Column, error) {
	name, kind, ok := strings.Cut(text, ":")
	if !ok || !plainName(name) {
		return Column{}, fmt.Errorf("column %.60q is not NAME:KIND", text)
	}
	c := Column{Name: name, Scale: 2}
	kind, c.Unsigned = strings.CutSuffix(kind, "+")
	if scale, is := strings.CutPrefix(kind, "money("); is {
		n, err := strconv.Atoi(strings.TrimSuffix(scale, ")"))
		if err != nil || !strings.HasSuffix(scale, ")") || n < 0 || n > 12 {
			return Column{}, fmt.Errorf("the scale of column %q is not a number from 0 to 12", name)
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

// Check says what is wrong with a schema.
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

// maxColumns bounds what a row costs to read.
const maxColumns = 64

func plainName(s string) bool {
	for _, c := range []byte(s) {
		if !('a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || c == '_' || c == '-') {
			return false
		}
	}
	return 0 < len(s) && len(s) <= 60
}
