package config

import (
	"fmt"
	"strings"
)

// problems collects the problems of a document, one sentence for each, in the order in which they are found.
type problems []string

// addf adds a formatted problem.
func (p *problems) addf(format string, args ...any) {
	*p = append(*p, fmt.Sprintf(format, args...))
}

// isPathPrefix reports whether a path prefix begins and ends with a slash.
func isPathPrefix(prefix string) bool {
	return strings.HasPrefix(prefix, "/") && strings.HasSuffix(prefix, "/")
}

// hostKey returns the normalized form of a hostname, in which hostnames are compared.
func hostKey(hostname string) string { return strings.ToLower(hostname) }
