package config

import (
	"strings"
	"testing"
)

func TestRouteTableFindsLongestPrefix(t *testing.T) {
	c := &Configuration{Routes: []Route{{Name: "root", Hostname: "A.example", PathPrefix: "/"}, {Name: "x", Hostname: "a.example", PathPrefix: "/x/"},
		{Name: "xy", Hostname: "a.example", PathPrefix: "/x/y/"}, {Name: "b", Hostname: "b.example", PathPrefix: "/x/"}}}
	table := NewRouteTable(c)
	for _, k := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "xy"}, {"a.example", "/x/y/", "xy"}, {"a.example", "/x/y", "x"}, {"a.example", "/x", "root"},
		{"A.EXAMPLE:8080", "/x/yy/", "x"}, {"a.example", "/", "root"}, {"b.example", "/", ""}, {"b.example", "/x", ""},
		{"b.example", "/x/", "b"}, {"c.example", "/x/", ""}, {"a.example", "", ""},
	} {
		got := ""
		if r := table.Find(k.host, k.path); r != nil {
			got = r.Name
		}
		if got != k.want {
			t.Errorf("%s%s leads to %q, want %q", k.host, k.path, got, k.want)
		}
	}
}

func TestValidateReportsAllProblems(t *testing.T) {
	c := &Configuration{Version: 0, Services: []Service{{Name: "s"}, {Name: "s"}}, Routes: []Route{
		{Name: "one", Hostname: "h", PathPrefix: "/a", RouteKind: Retryable, TimeoutMS: 1, Service: "s"},
		{Name: "two", Hostname: "h", PathPrefix: "/b/", RouteKind: "sometimes", TimeoutMS: 0, Service: "t"},
		{Name: "three", Hostname: "H", PathPrefix: "/b/", RouteKind: Retryable, TimeoutMS: 1, WeightedServices: []WeightedService{{"s", 0}}},
		{Name: "four", Hostname: "h", PathPrefix: "/c/", RouteKind: Retryable, TimeoutMS: 1}}}
	all := strings.Join(c.Validate(), "\n")
	for _, want := range []string{"version is 0", "stands twice", "begin and end with a slash", "neither", "time-out", "unknown",
		"share host and prefix", "add up to 0", "names no service"} {
		if !strings.Contains(all, want) {
			t.Errorf("no fault says %q in:\n%s", want, all)
		}
	}
}

func TestParseRejectsIncompleteJSON(t *testing.T) {
	for _, text := range []string{"", "{", `{"version":1`, `{"version":1}{}`, `{"version":"x"}`, `[]x`} {
		if _, err := Parse([]byte(text)); err == nil {
			t.Errorf("%q was read", text)
		}
	}
	if c, err := Parse([]byte(`{"version":5,"later":{"a":[1]},"routes":[{"name":"r","unknown":true}]}`)); err != nil || c.Version != 5 || len(c.Routes) != 1 {
		t.Errorf("unknown fields are not ignored: %v", err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"version":1,"routes":[{"name":"r","weighted_services":[{"service":"s","weight":1e308}]}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if c, err := Parse(text); err == nil {
			c.Validate()
			NewRouteTable(c).Find("h", "/x/")
		}
	})
}
