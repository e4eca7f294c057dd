package config

import (
	"strings"
	"testing"
)

// FuzzParse checks that a configuration that can be parsed can also be validated and searched, even if it is not valid.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"version":1,"routes":[{"name":"r","weighted_services":[{"service":"s","weight":1e308}]}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if c, err := Parse(text); err == nil {
			c.Validate()
			NewRouteTable(c).Find("h", "/x/")
		}
	})
}

// FuzzDocuments checks that any text is either rejected or parsed, and that valid configurations and documents can be used.
func FuzzDocuments(f *testing.F) {
	f.Add(`{"version":7,"routes":[{"name":"r","hostname":"A.example","path_prefix":"/x/","route_kind":"retryable","timeout_ms":5,"gathered_services":["s","s"]}],"services":[{"name":"s"}],"limits":{}}`, "a.EXAMPLE:80", "/x/../x/y")
	f.Add(`{"tenants":[{"name":"t","weight":-0.0,"borrow":0,"routes":[{"hostname":"","path_prefix":"/"}]}]}`, "", "")
	f.Add(`{"pins":[{"instance":"i","stance":"out","for_s":1}]}`, "[::1]", "//")
	f.Add(`{"version":1e400}`, "h", "/")
	f.Fuzz(func(t *testing.T, text, host, path string) {
		c, err := Parse([]byte(text))
		if err != nil {
			c = nil
		} else if len(c.Validate()) == 0 {
			checkRoutes(t, c, host, path)
		}
		if d, err := ParseTenants([]byte(text)); err == nil && len(d.Validate()) == 0 {
			tenant, found := d.NewTenantTable().Lookup(&Route{Hostname: host, PathPrefix: path})
			if found && (tenant < 0 || tenant >= len(d.Tenants)) {
				t.Fatalf("the index %d of a tenant is not among those of %d tenants", tenant, len(d.Tenants))
			}
			if c != nil {
				d.Conflicts(c)
			}
		}
		if d, err := ParsePins([]byte(text)); err == nil {
			d.Validate()
		}
	})
}

// checkRoutes checks that the routes of a valid configuration are found by their own host and prefix, and that the route found for
// a path has a prefix that matches the path.
func checkRoutes(t *testing.T, c *Configuration, host, path string) {
	t.Helper()
	table := NewRouteTable(c)
	if r := table.Find(host, path); r != nil && !strings.HasPrefix(path, r.PathPrefix) {
		t.Fatalf("path %q has the route of prefix %q", path, r.PathPrefix)
	}
	for _, r := range c.Routes {
		if found := table.Find(r.Hostname, r.PathPrefix); found == nil && !strings.Contains(r.Hostname, ":") {
			t.Fatalf("the route of %q%q is not found", r.Hostname, r.PathPrefix)
		}
	}
}
