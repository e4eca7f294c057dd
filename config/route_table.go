package config

import "strings"

// RouteTable looks up the routes of requests. It is immutable and safe for concurrent use.
type RouteTable struct {
	Limits Limits
	routes prefixTable[*Route]
}

// NewRouteTable returns the route table of a valid configuration. The table refers to the configuration's routes, so the
// configuration must not be changed afterwards.
func NewRouteTable(c *Configuration) *RouteTable {
	t := &RouteTable{Limits: c.Limits, routes: prefixTable[*Route]{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.routes.add(r.Hostname, r.PathPrefix, r)
	}
	return t
}

// Find returns the route of a host with the longest prefix that matches a path, or nil if no route matches. The host may include
// a port. The path must not include a query.
func (t *RouteTable) Find(host, path string) *Route {
	byPrefix := t.routes[host] // most requests have the host in its normalized form
	if byPrefix == nil {
		byPrefix = t.routes[hostKey(withoutPort(host))]
	}
	route, _ := longestPrefix(byPrefix, path)
	return route
}

// withoutPort removes the port from a host. A colon within brackets is part of an IPv6 address.
func withoutPort(host string) string {
	i := strings.LastIndexByte(host, ':')
	if i < 0 || strings.HasSuffix(host, "]") {
		return host
	}
	return host[:i]
}
