package merge

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

// scalar is one value of a row.
type scalar struct {
	raw  string // JSON as received
	text string // without quotation marks and escapes; "" for null
	kind byte   // 's' = string, 'i' = integer, '0' = null
}

// isNull reports whether the value is null.
func (s scalar) isNull() bool { return s.kind == '0' }

// scanRow parses a JSON array of strings, integers and nulls without white space into at most cap(out) scalars. All other
// JSON is rejected, because rows are forwarded to clients as received.
func scanRow(line string, out []scalar) ([]scalar, error) {
	if len(line) < 2 || line[0] != '[' || line[len(line)-1] != ']' {
		return out, fmt.Errorf("row %.60q is not a JSON array", line)
	}
	rest := line[1 : len(line)-1]
	for first := true; rest != "" || !first; first = false {
		if !first {
			if rest == "" {
				return out, nil
			}
			if rest[0] != ',' || len(rest) == 1 {
				return out, fmt.Errorf("row %.60q lacks a comma", line)
			}
			rest = rest[1:]
		}
		if len(out) == cap(out) {
			return out, fmt.Errorf("row %.60q has too many values", line)
		}
		s, n, err := scanScalar(rest)
		if err != nil {
			return out, fmt.Errorf("row %.60q: %w", line, err)
		}
		out, rest = append(out, s), rest[n:]
	}
	return out, nil
}

// scanScalar parses the value at the beginning of rest and returns its length in bytes.
func scanScalar(rest string) (s scalar, n int, err error) {
	switch {
	case rest == "":
		return s, 0, fmt.Errorf("a value is missing")
	case strings.HasPrefix(rest, "null"):
		return scalar{raw: rest[:4], kind: '0'}, 4, nil
	case rest[0] == '"':
		escaped := false
		for n = 1; n < len(rest) && rest[n] != '"'; n++ {
			switch {
			case rest[n] == '\\':
				escaped = true
				n++
			case rest[n] < ' ':
				return s, 0, fmt.Errorf("a string holds a control character")
			}
		}
		if n >= len(rest) {
			return s, 0, fmt.Errorf("a string does not end")
		}
		n++
		s = scalar{raw: rest[:n], text: rest[1 : n-1], kind: 's'}
		if escaped {
			text, err := unescape(s.raw)
			if err != nil {
				return s, 0, err
			}
			s.text = text
		}
		if !utf8.ValidString(s.text) {
			return s, 0, fmt.Errorf("a string is not UTF-8")
		}
		return s, n, nil
	}
	for n < len(rest) && (rest[n] == '-' && n == 0 || '0' <= rest[n] && rest[n] <= '9') {
		n++
	}
	digits := strings.TrimPrefix(rest[:n], "-")
	if digits == "" || len(digits) > 1 && digits[0] == '0' || rest[:n] == "-0" {
		return s, 0, fmt.Errorf("a value is not a string, an integer or null")
	}
	return scalar{raw: rest[:n], text: rest[:n], kind: 'i'}, n, nil
}

// unescape returns the text of a JSON string. It is a separate function so that its variable, which escapes to the heap, is
// allocated only for strings with escapes.
func unescape(raw string) (text string, err error) {
	if json.Unmarshal([]byte(raw), &text) != nil {
		return "", fmt.Errorf("a string is not JSON")
	}
	return text, nil
}

// check returns an error if a value is not valid for the column. digits is the schema's limit of decimal digits.
func (c Column) check(s scalar, digits int) error {
	if s.isNull() {
		return nil
	}
	invalid := false
	switch c.Kind {
	case Text:
		invalid = s.kind != 's'
	case Date:
		_, err := time.Parse(time.DateOnly, s.text)
		invalid = s.kind != 's' || err != nil
	case Int:
		v, err := strconv.ParseInt(s.text, 10, 64)
		invalid = s.kind != 'i' || err != nil || c.Unsigned && v < 0
	case Money:
		negative, _, _, ok := splitDecimal(s.text, digits, c.Scale)
		invalid = s.kind != 's' || !ok || c.Unsigned && negative
	}
	if invalid {
		return fmt.Errorf("%.40s is not a valid value of column %s, which is %s", s.raw, c.Name, c.Kind)
	}
	return nil
}

// splitDecimal splits a decimal into its sign and the digits before and after the decimal point. ok is false if the text is
// not in plain notation, as with an exponent or a leading zero, has more than digits-scale digits before the point, or more
// than scale digits after it. negative is false for zero.
func splitDecimal(text string, digits, scale int) (negative bool, integer, fraction string, ok bool) {
	text, negative = strings.CutPrefix(text, "-")
	integer, fraction, point := strings.Cut(text, ".")
	switch {
	case integer == "" || len(integer) > 1 && integer[0] == '0' || len(integer) > digits-scale:
		return false, "", "", false
	case point && fraction == "" || len(fraction) > scale:
		return false, "", "", false
	}
	zero := true
	for _, s := range [2]string{integer, fraction} {
		for i := range len(s) {
			if s[i] < '0' || s[i] > '9' {
				return false, "", "", false
			}
			zero = zero && s[i] == '0'
		}
	}
	return negative && !zero, integer, fraction, true
}
