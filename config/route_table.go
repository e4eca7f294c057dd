package config

import "strings"

// RouteTable finds routes. It is read by many at once and never changed.
type RouteTable struct {
	Limits Limits
	hosts  map[string]map[string]*Route // by host and prefix
}

// NewRouteTable makes the table of a valid configuration.
func NewRouteTable(c *Configuration) *RouteTable {
	t := &RouteTable{Limits: c.Limits, hosts: map[string]map[string]*Route{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Hostname)
		if t.hosts[host] == nil {
			t.hosts[host] = map[string]*Route{}
		}
		t.hosts[host][r.PathPrefix] = r
	}
	return t
}

// Find is the route of a host, with or without a port, that has the longest prefix of a path; nil = none. The path has
// no query.
func (t *RouteTable) Find(host, path string) *Route {
	prefixes := t.hosts[host]
	if prefixes == nil {
		host = strings.ToLower(host)
		if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
			host = host[:i]
		}
		if prefixes = t.hosts[host]; prefixes == nil {
			return nil
		}
	}
	for end := len(path); end > 0; {
		end = strings.LastIndexByte(path[:end], '/')
		if end < 0 {
			return nil
		}
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}
