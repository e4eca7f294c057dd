package operatorconfig

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Problem is one validation error of a file.
type Problem struct {
	Line int // counted from 1; 0 = not known
	Text string
}

// ConfigError holds all problems of a file, in the order of their lines.
type ConfigError struct {
	Path     string
	Problems []Problem
}

// Error returns one line PATH:LINE: TEXT for each problem.
func (e *ConfigError) Error() string {
	var b strings.Builder
	for i, p := range e.Problems {
		if i > 0 {
			b.WriteByte('\n')
		}
		fmt.Fprintf(&b, "%s:%d: %s", e.Path, p.Line, p.Text)
	}
	return b.String()
}

func (e *ConfigError) add(line int, format string, args ...any) {
	e.Problems = append(e.Problems, Problem{line, fmt.Sprintf(format, args...)})
}

func (e *ConfigError) sort() {
	slices.SortStableFunc(e.Problems, func(a, b Problem) int { return a.Line - b.Line })
}

// JoinErrors merges several ConfigErrors into one, ordered by line. If any of the errors is not a ConfigError, it returns errors.Join of
// all of them.
func JoinErrors(errs ...error) error {
	var all *ConfigError
	for _, err := range errs {
		var e *ConfigError
		switch {
		case err == nil:
		case !errors.As(err, &e):
			return errors.Join(errs...)
		case all == nil:
			all = &ConfigError{e.Path, slices.Clone(e.Problems)}
		default:
			all.Problems = append(all.Problems, e.Problems...)
		}
	}
	if all == nil {
		return nil
	}
	all.sort()
	return all
}

// QueryTypeError returns an error at the line of a query type's section [merge NAME], for problems that can be detected only with the
// platform's configuration.
func (f *File) QueryTypeError(name, text string) error {
	line := 0
	if f.Merging != nil {
		line = f.Merging.SectionLines[name]
	}
	return &ConfigError{f.Path, []Problem{{line, fmt.Sprintf("[merge %s]: %s", name, text)}}}
}

// FleetError returns an error at the line of the section [fleet], for problems that can be detected only with the platform's
// configuration.
func (f *File) FleetError(text string) error {
	return &ConfigError{f.Path, []Problem{{f.fleetLine, "[fleet]: " + text}}}
}
