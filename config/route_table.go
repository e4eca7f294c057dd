package config

import "strings"

// RouteTable finds the routes of requests. It is immutable, and safe for concurrent use.
type RouteTable struct {
	Limits Limits
	routes prefixTable[*Route]
}

// NewRouteTable returns the table of a valid configuration, which must not change afterwards.
func NewRouteTable(c *Configuration) *RouteTable {
	t := &RouteTable{Limits: c.Limits, routes: prefixTable[*Route]{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.routes.add(r.Hostname, r.PathPrefix, r)
	}
	return t
}

// Find returns the route of a host, with or without a port, that has the longest prefix of a path; nil if there is none. The
// path is without a query.
func (t *RouteTable) Find(host, path string) *Route {
	byPrefix := t.routes[host] // most hosts come as they are listed
	if byPrefix == nil {
		byPrefix = t.routes[hostKey(withoutPort(host))]
	}
	route, _ := longestPrefix(byPrefix, path)
	return route
}

// withoutPort cuts the port off a host. A colon within brackets belongs to an IPv6 address.
func withoutPort(host string) string {
	i := strings.LastIndexByte(host, ':')
	if i < 0 || strings.HasSuffix(host, "]") {
		return host
	}
	return host[:i]
}
