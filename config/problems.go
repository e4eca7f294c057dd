package config

import (
	"fmt"
	"strings"
)

// problems collects what is wrong with a document, a sentence each, in the order in which it is found.
type problems []string

func (p *problems) addf(format string, args ...any) {
	*p = append(*p, fmt.Sprintf(format, args...))
}

// isPathPrefix reports whether a path prefix begins and ends with a slash.
func isPathPrefix(prefix string) bool {
	return strings.HasPrefix(prefix, "/") && strings.HasSuffix(prefix, "/")
}

// hostKey returns a hostname in the form in which it is compared.
func hostKey(hostname string) string { return strings.ToLower(hostname) }
