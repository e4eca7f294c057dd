package config

import "strings"

// prefixTable maps a host and a path prefix to a value. Prefixes end with a slash.
type prefixTable[T any] map[string]map[string]T // by lower-case host, then prefix

// add sets the value of a host and a prefix.
func (t prefixTable[T]) add(hostname, prefix string, value T) {
	host := hostKey(hostname)
	if t[host] == nil {
		t[host] = map[string]T{}
	}
	t[host][prefix] = value
}

// longestPrefix returns the value of the longest prefix in byPrefix that matches a path. found is false if none matches.
func longestPrefix[T any](byPrefix map[string]T, path string) (value T, found bool) {
	// Prefixes end with a slash, so only the parts of the path that end with a slash are looked up, from the longest to the shortest.
	for end := len(path); end > 0; {
		end = strings.LastIndexByte(path[:end], '/')
		if end < 0 {
			break
		}
		if value, found = byPrefix[path[:end+1]]; found {
			return value, true
		}
	}
	return value, false
}
