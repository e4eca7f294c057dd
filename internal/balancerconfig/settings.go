package balancerconfig

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"oxbowspan/balancer"
)

// SettingError reports a setting that is missing or invalid.
type SettingError struct {
	Path    string // for example limits.maxStreams
	Problem string // completes the sentence "setting PATH ..."
}

func (e *SettingError) Error() string { return fmt.Sprintf("setting %s %s", e.Path, e.Problem) }

// settings holds the values of a deployment's settings by path. Its methods record the first invalid setting in err.
type settings struct {
	values map[string]string
	err    error
}

// parsePairs parses lines of the form path=value and ignores all others.
func parsePairs(text string) *settings {
	s := &settings{values: map[string]string{}}
	for _, line := range strings.Split(text, "\n") {
		if path, value, ok := strings.Cut(strings.TrimRight(line, "\r"), "="); ok {
			s.values[path] = value
		}
	}
	return s
}

// flatten adds a JSON value in the form of path=value pairs. Each field of an object is added below the object's path. Of a
// list, the elements that are no objects are joined with commas, with commas in them replaced by underscores; each object
// is added below its index, and the length of the list as count. A null that is not in a list adds nothing.
func (s *settings) flatten(path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for name, field := range value {
			if path != "" {
				name = path + "." + name
			}
			s.flatten(name, field)
		}
	case []any:
		var scalars []string
		for i, element := range value {
			if _, nested := element.(map[string]any); nested {
				s.flatten(fmt.Sprintf("%s.%d", path, i), element)
			} else {
				scalars = append(scalars, strings.ReplaceAll(formatScalar(element), ",", "_"))
			}
		}
		s.values[path], s.values[path+".count"] = strings.Join(scalars, ","), strconv.Itoa(len(value))
	case nil:
	default:
		s.values[path] = formatScalar(value)
	}
}

// formatScalar formats a JSON value that is no object as text; null is empty.
func formatScalar(value any) string {
	if value == nil {
		return ""
	}
	return fmt.Sprint(value)
}

// fail records an invalid setting, unless one is recorded already.
func (s *settings) fail(path, format string, args ...any) {
	if s.err == nil {
		s.err = &SettingError{path, fmt.Sprintf(format, args...)}
	}
}

// number returns a number, or the default if it is absent or invalid.
func (s *settings) number(path string, defaultValue float64) float64 {
	text := s.values[path]
	if text == "" {
		return defaultValue
	}
	v, ok := parseFinite(text)
	if !ok {
		s.fail(path, "is not a number: %.40q", text)
		return defaultValue
	}
	return v
}

// required returns a number that must be present.
func (s *settings) required(path string) float64 {
	if s.values[path] == "" {
		s.fail(path, "is missing")
	}
	return s.number(path, 0)
}

// count returns an integer from 0 to a maximum, or 0 if it is absent or invalid. A fraction is cut off.
func (s *settings) count(path string, maximum int) int {
	v := s.number(path, 0)
	if v < 0 || v > float64(maximum) {
		s.fail(path, "is out of range: %v", v)
		return 0
	}
	return int(v)
}

// duration returns a duration that the settings state in milliseconds, or 0 if it is absent or invalid.
func (s *settings) duration(path string) balancer.Time { return TimeFromMillis(s.number(path, 0)) }

// flag reports whether a setting is "true" or "1".
func (s *settings) flag(path string) bool {
	v := s.values[path]
	return v == "true" || v == "1"
}

// list returns the elements of a list, or nil if it is absent or empty.
func (s *settings) list(path string) []string {
	if s.values[path] == "" {
		return nil
	}
	return strings.Split(s.values[path], ",")
}

// listItem returns the number at index n of a list, or the default if it is absent or invalid.
func (s *settings) listItem(path string, n int, defaultValue float64) float64 {
	list := strings.Split(s.values[path], ",")
	if n >= len(list) || list[n] == "" {
		return defaultValue
	}
	v, ok := parseFinite(list[n])
	if !ok {
		s.fail(path, "has no number at index %d: %.40q", n, list[n])
		return defaultValue
	}
	return v
}

// parseFinite parses a number and reports whether it is valid and finite.
func parseFinite(text string) (float64, bool) {
	v, err := strconv.ParseFloat(text, 64)
	return v, err == nil && !math.IsNaN(v) && !math.IsInf(v, 0)
}
