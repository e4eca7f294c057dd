package config

import (
	"strings"
	"testing"
)

// FuzzDocuments: whatever an operator sends is refused or understood, and what is understood can be followed.
func FuzzDocuments(f *testing.F) {
	f.Add(`{"version":7,"routes":[{"name":"r","hostname":"A.example","path_prefix":"/x/","route_kind":"retryable","timeout_ms":5,"gathered_services":["s","s"]}],"services":[{"name":"s"}],"limits":{}}`, "a.EXAMPLE:80", "/x/../x/y")
	f.Add(`{"tenants":[{"name":"t","weight":-0.0,"borrow":0,"routes":[{"hostname":"","path_prefix":"/"}]}]}`, "", "")
	f.Add(`{"pins":[{"instance":"i","stance":"out","for_s":1}]}`, "[::1]", "//")
	f.Add(`{"version":1e400}`, "h", "/")
	f.Fuzz(func(t *testing.T, text, host, path string) {
		c, err := Parse([]byte(text))
		if err == nil && len(c.Validate()) == 0 {
			table := NewRouteTable(c)
			if r := table.Find(host, path); r != nil && !strings.HasPrefix(path, r.PathPrefix) {
				t.Fatalf("path %q takes the route of %q", path, r.PathPrefix)
			}
			for _, r := range c.Routes {
				if found := table.Find(r.Hostname, r.PathPrefix); found == nil && !strings.Contains(r.Hostname, ":") {
					t.Fatalf("the route of %q%q is not found by them", r.Hostname, r.PathPrefix)
				}
			}
		}
		if d, err := ParseTenants([]byte(text)); err == nil && len(d.Validate()) == 0 {
			of := d.NewTenantTable()
			if at, named := of.Lookup(&Route{Hostname: host, PathPrefix: path}); named && (at < 0 || at >= len(d.Tenants)) {
				t.Fatalf("tenant %d of %d", at, len(d.Tenants))
			}
			if c != nil {
				d.Conflicts(c)
			}
		}
		if p, err := ParsePins([]byte(text)); err == nil {
			p.Validate()
		}
	})
}
