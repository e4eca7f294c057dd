package operatorconfig

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// section reads the values of one section. The arguments of its reader methods are the key, the default value, and the bounds, inclusive,
// of a value that the file sets. An invalid value is recorded as a problem, and the default is returned. Keys that are not in knownKeys
// when rejectUnknownKeys is called are reported as unknown.
type section struct {
	*parser
	ini       *ini.Section
	knownKeys []string // keys that a reader method was called for
}

// line returns the line of a key, or that of the section if the key is absent.
func (s *section) line(key string) int {
	if n := s.lines[keyLabel(s.ini.Name(), key)]; n > 0 {
		return n
	}
	return s.lines[sectionLabel(s.ini.Name())]
}

func (s *section) addKeyProblem(key, format string, args ...any) {
	s.problems.add(s.line(key), "[%s] %s: %s", s.ini.Name(), key, fmt.Sprintf(format, args...))
}

// rejectUnknownKeys reports the keys that no reader method was called for. It must be called after all keys of the section were read.
func (s *section) rejectUnknownKeys() {
	for _, k := range s.ini.Keys() {
		if !slices.Contains(s.knownKeys, k.Name()) {
			s.addKeyProblem(k.Name(), "is not known here: %s are", strings.Join(s.knownKeys, ", "))
		}
	}
}

// text returns the value of a key, without surrounding space, and whether the file sets the key.
func (s *section) text(key string) (string, bool) {
	s.knownKeys = append(s.knownKeys, key)
	if !s.ini.HasKey(key) {
		return "", false
	}
	return strings.TrimSpace(s.ini.Key(key).String()), true
}

// fields reads words separated by white space; it returns none if the key is absent.
func (s *section) fields(key string) []string {
	text, _ := s.text(key)
	return strings.Fields(text)
}

// count reads a whole number; the suffix KiB, MiB or GiB multiplies it by that unit.
func (s *section) count(key string, defaultValue, minimum, maximum int64) int64 {
	text, ok := s.text(key)
	if !ok {
		return defaultValue
	}
	unit, number := int64(1), text
	for i, suffix := range []string{"KiB", "MiB", "GiB"} {
		if n, found := strings.CutSuffix(text, suffix); found {
			unit, number = 1<<(10*(i+1)), strings.TrimSpace(n)
		}
	}
	v, err := strconv.ParseInt(number, 10, 64)
	switch {
	case err != nil:
		s.addKeyProblem(key, "%.40q is not a whole number", text)
	case v < 0 || v > maximum/unit || v*unit < minimum:
		s.addKeyProblem(key, "%s is not from %d to %d", text, minimum, maximum)
	default:
		return v * unit
	}
	return defaultValue
}

// duration reads a duration such as 90s or 15m, as time.ParseDuration does.
func (s *section) duration(key string, defaultValue, minimum, maximum time.Duration) time.Duration {
	text, ok := s.text(key)
	if !ok {
		return defaultValue
	}
	v, err := time.ParseDuration(text)
	switch {
	case err != nil:
		s.addKeyProblem(key, "%.40q is not a time such as 90s or 15m", text)
	case v < minimum || v > maximum:
		s.addKeyProblem(key, "%s is not from %s to %s", text, minimum, maximum)
	default:
		return v
	}
	return defaultValue
}

// boolean reads yes or no.
func (s *section) boolean(key string, defaultValue bool) bool {
	switch text, ok := s.text(key); {
	case !ok:
	case text == "yes", text == "no":
		return text == "yes"
	default:
		s.addKeyProblem(key, "%.40q is neither yes nor no", text)
	}
	return defaultValue
}

// share reads a share greater than 0 and up to 1; it returns 0 if the key is absent or its value invalid.
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

// namedNumber is a pair NAME NUMBER in the value of a key.
type namedNumber struct {
	name  string
	value float64
}

// namedNumbers reads a list of pairs, NAME NUMBER NAME NUMBER and so on. Numbers must not be negative.
func (s *section) namedNumbers(key string) (pairs []namedNumber) {
	fields := s.fields(key)
	if len(fields)%2 != 0 {
		s.addKeyProblem(key, "is not NAME NUMBER, repeated as often as needed")
		return nil
	}
	for i := 0; i < len(fields); i += 2 {
		v, err := strconv.ParseFloat(fields[i+1], 64)
		if err != nil || v < 0 {
			s.addKeyProblem(key, "%.40q after %s is not a number from 0 up", fields[i+1], fields[i])
			continue
		}
		pairs = append(pairs, namedNumber{fields[i], v})
	}
	return pairs
}
