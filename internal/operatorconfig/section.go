package operatorconfig

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// section reads the values of one section. Each reader takes the value of an absent key and the bounds of a given one; a problem of the
// value is recorded, and the absent key's value returned. Keys that no reader has asked for are unknown.
type section struct {
	*parser
	ini   *ini.Section
	known []string
}

// line returns the line of a key, or of the section where the key is absent.
func (s *section) line(key string) int {
	if n := s.lines[keyPosition(s.ini.Name(), key)]; n > 0 {
		return n
	}
	return s.lines[sectionPosition(s.ini.Name())]
}

func (s *section) addKeyProblem(key, format string, args ...any) {
	s.problems.add(s.line(key), "[%s] %s: %s", s.ini.Name(), key, fmt.Sprintf(format, args...))
}

// rejectUnknownKeys must be called after all keys of the section were read.
func (s *section) rejectUnknownKeys() {
	for _, k := range s.ini.Keys() {
		if !slices.Contains(s.known, k.Name()) {
			s.addKeyProblem(k.Name(), "is not known here: %s are", strings.Join(s.known, ", "))
		}
	}
}

// text reads a text, and whether it is given.
func (s *section) text(key string) (string, bool) {
	s.known = append(s.known, key)
	if !s.ini.HasKey(key) {
		return "", false
	}
	return strings.TrimSpace(s.ini.Key(key).String()), true
}

// fields reads words separated by spaces.
func (s *section) fields(key string) []string {
	text, _ := s.text(key)
	return strings.Fields(text)
}

// count reads a whole number; KiB, MiB or GiB behind it multiplies it by that unit.
func (s *section) count(key string, absent, least, most int64) int64 {
	text, ok := s.text(key)
	if !ok {
		return absent
	}
	unit, number := int64(1), text
	for i, suffix := range []string{"KiB", "MiB", "GiB"} {
		if n, is := strings.CutSuffix(text, suffix); is {
			unit, number = 1<<(10*(i+1)), strings.TrimSpace(n)
		}
	}
	v, err := strconv.ParseInt(number, 10, 64)
	switch {
	case err != nil:
		s.addKeyProblem(key, "%.40q is not a whole number", text)
	case v < 0 || v > most/unit || v*unit < least:
		s.addKeyProblem(key, "%s is not from %d to %d", text, least, most)
	default:
		return v * unit
	}
	return absent
}

// duration reads a time such as 90s or 15m.
func (s *section) duration(key string, absent, least, most time.Duration) time.Duration {
	text, ok := s.text(key)
	if !ok {
		return absent
	}
	v, err := time.ParseDuration(text)
	switch {
	case err != nil:
		s.addKeyProblem(key, "%.40q is not a time such as 90s or 15m", text)
	case v < least || v > most:
		s.addKeyProblem(key, "%s is not from %s to %s", text, least, most)
	default:
		return v
	}
	return absent
}

// boolean reads yes or no.
func (s *section) boolean(key string, absent bool) bool {
	switch text, ok := s.text(key); {
	case !ok:
	case text == "yes", text == "no":
		return text == "yes"
	default:
		s.addKeyProblem(key, "%.40q is neither yes nor no", text)
	}
	return absent
}

// share reads a share above 0 and up to 1; 0 = the key is absent.
func (s *section) share(key string) float64 {
	text, ok := s.text(key)
	if !ok {
		return 0
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v > 0 && v <= 1) {
		s.addKeyProblem(key, "%.40q is no share above 0 and up to 1", text)
		return 0
	}
	return v
}

// namedNumber is a pair NAME NUMBER.
type namedNumber struct {
	name  string
	value float64
}

// namedNumbers reads pairs NAME NUMBER NAME NUMBER.
func (s *section) namedNumbers(key string) (pairs []namedNumber) {
	fields := s.fields(key)
	if len(fields)%2 != 0 {
		s.addKeyProblem(key, "is not NAME NUMBER, as often as wanted")
		return nil
	}
	for i := 0; i < len(fields); i += 2 {
		v, err := strconv.ParseFloat(fields[i+1], 64)
		if err != nil || v < 0 {
			s.addKeyProblem(key, "%.40q behind %s is not a number from 0 up", fields[i+1], fields[i])
			continue
		}
		pairs = append(pairs, namedNumber{fields[i], v})
	}
	return pairs
}
