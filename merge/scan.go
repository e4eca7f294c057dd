package merge

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

// scalar is one value of a row: its JSON as received, and its text without quotes and escapes.
type scalar struct {
	raw  string
	text string
	kind byte // 's' a string, 'i' an integer, '0' null
}

// isNull reports whether the value is null.
func (s scalar) isNull() bool { return s.kind == '0' }

// scanRow parses a compact JSON array of strings, integers and nulls into at most cap(out) scalars. All other JSON is
// rejected: rows are forwarded to clients as received.
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
				return out, fmt.Errorf("row %.60q has no comma where one is due", line)
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

// scanScalar parses the value at the beginning of a text and returns its length.
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

// unescape is a separate function so that strings without escapes are not moved to the heap.
func unescape(raw string) (text string, err error) {
	if json.Unmarshal([]byte(raw), &text) != nil {
		return "", fmt.Errorf("a string is not JSON")
	}
	return text, nil
}

// check returns an error if a value is not valid for the column.
func (c Column) check(s scalar, digits int) error {
	if s.isNull() {
		return nil
	}
	bad := false
	switch c.Kind {
	case Text:
		bad = s.kind != 's'
	case Date:
		_, err := time.Parse(time.DateOnly, s.text)
		bad = s.kind != 's' || err != nil
	case Int:
		v, err := strconv.ParseInt(s.text, 10, 64)
		bad = s.kind != 'i' || err != nil || c.Unsigned && v < 0
	case Money:
		negative, _, _, ok := splitDecimal(s.text, digits, c.Scale)
		bad = s.kind != 's' || !ok || c.Unsigned && negative
	}
	if bad {
		return fmt.Errorf("%.40s is no value of column %s, which is %s", s.raw, c.Name, c.Kind)
	}
	return nil
}

// splitDecimal splits a decimal into its sign and the digits before and after the point. ok is false if it is not in plain
// notation or exceeds the digits or the scale.
func splitDecimal(text string, digits, scale int) (negative bool, whole, part string, ok bool) {
	text, negative = strings.CutPrefix(text, "-")
	whole, part, point := strings.Cut(text, ".")
	switch {
	case whole == "" || len(whole) > 1 && whole[0] == '0' || len(whole) > digits-scale:
		return false, "", "", false
	case point && part == "" || len(part) > scale:
		return false, "", "", false
	}
	zero := true
	for _, s := range [2]string{whole, part} {
		for i := range len(s) {
			if s[i] < '0' || s[i] > '9' {
				return false, "", "", false
			}
			zero = zero && s[i] == '0'
		}
	}
	return negative && !zero, whole, part, true
}
