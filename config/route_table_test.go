package config

import "testing"

func TestRouteTableFindsLongestPrefix(t *testing.T) {
	table := NewRouteTable(&Configuration{Routes: []Route{
		{Name: "root", Hostname: "A.example", PathPrefix: "/"},
		{Name: "x", Hostname: "a.example", PathPrefix: "/x/"},
		{Name: "xy", Hostname: "a.example", PathPrefix: "/x/y/"},
		{Name: "b", Hostname: "b.example", PathPrefix: "/x/"},
		{Name: "v6", Hostname: "[::1]", PathPrefix: "/"},
	}})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "xy"},
		{"a.example", "/x/y/", "xy"},
		{"a.example", "/x/y", "x"},
		{"a.example", "/x", "root"},
		{"A.EXAMPLE:8080", "/x/yy/", "x"},
		{"a.example", "/", "root"},
		{"a.example", "", ""},
		{"b.example", "/", ""},
		{"b.example", "/x", ""},
		{"b.example", "/x/", "b"},
		{"c.example", "/x/", ""},
		{"[::1]", "/x", "v6"},
		{"[::1]:8080", "/x", "v6"},
	} {
		t.Run(c.host+c.path, func(t *testing.T) {
			got := ""
			if r := table.Find(c.host, c.path); r != nil {
				got = r.Name
			}
			if got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

func TestTenantTableFindsLongestPrefix(t *testing.T) {
	d := &TenantDocument{Tenants: []Tenant{
		{Name: "a", Routes: []TenantRoute{{Hostname: "h", PathPrefix: "/x/"}}},
		{Name: "b", Routes: []TenantRoute{{Hostname: "H", PathPrefix: "/x/y/"}, {Hostname: "i", PathPrefix: "/"}}},
	}}
	table := d.NewTenantTable()
	for _, c := range []struct{ hostname, prefix, want string }{
		{"h", "/x/", "a"},
		{"h", "/x/z/", "a"},
		{"h", "/x/y/", "b"},
		{"H", "/x/y/z/", "b"},
		{"h", "/", ""},
		{"i", "/anything/", "b"},
		{"j", "/x/", ""},
	} {
		t.Run(c.hostname+c.prefix, func(t *testing.T) {
			got := ""
			if tenant, found := table.Lookup(&Route{Hostname: c.hostname, PathPrefix: c.prefix}); found {
				got = d.Tenants[tenant].Name
			}
			if got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}
