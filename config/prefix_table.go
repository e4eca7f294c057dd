package config

import "strings"

// prefixTable maps a host and a path prefix, which ends with a slash, to a value.
type prefixTable[T any] map[string]map[string]T // by lower-case host, then prefix

func (t prefixTable[T]) add(hostname, prefix string, value T) {
	host := hostKey(hostname)
	if t[host] == nil {
		t[host] = map[string]T{}
	}
	t[host][prefix] = value
}

// longestPrefix returns the value of the longest prefix of a path.
func longestPrefix[T any](byPrefix map[string]T, path string) (value T, found bool) {
	// Prefixes end with a slash, so that only the path up to each of its slashes is looked up, the longest first.
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
