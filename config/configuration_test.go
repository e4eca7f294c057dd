package config

import (
	"encoding/json"
	"errors"
	"reflect"
	"slices"
	"testing"
)

func TestParseRejectsIncompleteJSON(t *testing.T) {
	for _, text := range []string{"", "{", `{"version":1`, `{"version":1}{}`, `[]x`} {
		if _, err := Parse([]byte(text)); !errors.Is(err, ErrIncompleteJSON) {
			t.Errorf("%q: got %v, want ErrIncompleteJSON", text, err)
		}
	}
	if _, err := Parse([]byte(`{"version":"x"}`)); err == nil || errors.Is(err, ErrIncompleteJSON) {
		t.Errorf("a field of another type: got %v, want another error than ErrIncompleteJSON", err)
	}
}

func TestParseIgnoresUnknownFields(t *testing.T) {
	c, err := Parse([]byte(`{"version":5,"later":{"a":[1]},"routes":[{"name":"r","unknown":true}]}`))
	if err != nil || c.Version != 5 || len(c.Routes) != 1 {
		t.Errorf("%+v, %v", c, err)
	}
}

func TestValidateReportsAllProblems(t *testing.T) {
	c := &Configuration{
		Version:  0,
		Services: []Service{{Name: "s"}, {Name: "s"}, {}},
		Routes: []Route{
			{Name: "one", Hostname: "h", PathPrefix: "/a", RouteKind: Retryable, TimeoutMS: 1, Service: "s"},
			{Name: "two", Hostname: "h", PathPrefix: "/b/", RouteKind: "sometimes", TimeoutMS: 0, Service: "t"},
			{Name: "three", Hostname: "H", PathPrefix: "/b/", RouteKind: Retryable, TimeoutMS: 1,
				WeightedServices: []WeightedService{{Service: "s", Weight: -1}}},
			{Hostname: "h", PathPrefix: "/c/", RouteKind: Retryable, TimeoutMS: 1},
			{Name: "five", Hostname: "h", PathPrefix: "/d/", RouteKind: Retryable, TimeoutMS: 1,
				WeightedServices: []WeightedService{{Service: "s", Weight: 0}}},
		},
	}
	want := []string{
		"the version is 0 or missing",
		`service "s" is listed twice`,
		"a service has no name",
		`route one: prefix "/a" does not begin and end with a slash`,
		`route two: kind "sometimes" is neither retryable nor non_retryable`,
		"route two: the timeout is not above 0",
		`route two names the unknown service "t"`,
		"routes two and three have the same host and prefix",
		`route three: the weight of service "s" is below 0`,
		"route three: the weights add up to 0",
		"route number 4 names no service",
		"route five: the weights add up to 0",
	}
	checkProblems(t, c.Validate(), want)
}

// checkProblems compares validation problems, which must also have the same order.
func checkProblems(t *testing.T, got, want []string) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("got\n%q\nwant\n%q", got, want)
	}
}

func TestValidateTenantsReportsAllProblems(t *testing.T) {
	negative := -1
	d := &TenantDocument{Tenants: []Tenant{
		{Name: "a/b", Routes: []TenantRoute{{Hostname: "h", PathPrefix: "/p/"}, {Hostname: "h", PathPrefix: "q"}}},
		{Weight: -1, MaxBorrowed: &negative},
		{Name: "c", Routes: []TenantRoute{{Hostname: "H", PathPrefix: "/p/"}}, ReservedConnections: 3, MaxConnections: 2},
		{Name: "c", Routes: []TenantRoute{{Hostname: "h", PathPrefix: "/r/"}}},
	}}
	want := []string{
		"tenant a/b: names with a slash are reserved for routes without a tenant",
		`tenant a/b: prefix "q" does not begin and end with a slash`,
		"tenant number 2 has no name",
		"tenant number 2 has no routes",
		"tenant number 2: the weight is below 0",
		"tenant number 2: a number of connections is below 0",
		"tenant c: the floor 3 is above the most 2",
		"tenants a/b and c both have h/p/",
		"tenant c is listed twice",
	}
	checkProblems(t, d.Validate(), want)
}

func TestValidatePinsReportsAllProblems(t *testing.T) {
	d := &PinDocument{Pins: []Pin{
		{Instance: "i-1", State: PinAvoided, DurationSeconds: 60},
		{Instance: "i-1", State: "sideways", DurationSeconds: 0},
		{State: PinEjected, DurationSeconds: 86401},
	}}
	want := []string{
		"instance i-1 is pinned twice",
		`instance i-1: the state "sideways" is neither in, avoided nor out`,
		"instance i-1: a pin lasts 1 to 86400 seconds",
		"pin number 3 names no instance",
		"instance : a pin lasts 1 to 86400 seconds",
	}
	checkProblems(t, d.Validate(), want)
}

// The reserved connections of a tenant with several routes to a service must be counted once.
func TestTenantConflicts(t *testing.T) {
	c := &Configuration{
		Services: []Service{{Name: "s", ConnectionLimit: 5}, {Name: "unlimited"}},
		Routes: []Route{
			{Hostname: "h", PathPrefix: "/a/", Service: "s"},
			{Hostname: "h", PathPrefix: "/a/x/", Service: "s", GatheredServices: []string{"unlimited"}},
			{Hostname: "h", PathPrefix: "/b/", Service: "s"},
			{Hostname: "h", PathPrefix: "/c/", Service: "s"}, // belongs to no tenant
		},
	}
	tenants := func(reserved int) *TenantDocument {
		return &TenantDocument{Tenants: []Tenant{
			{Name: "a", Routes: []TenantRoute{{Hostname: "h", PathPrefix: "/a/"}}, ReservedConnections: 3},
			{Name: "b", Routes: []TenantRoute{{Hostname: "h", PathPrefix: "/b/"}}, ReservedConnections: reserved},
		}}
	}
	checkProblems(t, tenants(2).Conflicts(c), nil)
	checkProblems(t, tenants(3).Conflicts(c), []string{"service s: floors of 6 connections in sum, and each server takes 5"})
}

// The JSON forms are stored and exchanged with programs of other releases, so they must not change. The texts were written by the
// program as of commit 2ada19f.
func TestCompatJSON(t *testing.T) {
	borrowed := 3
	for name, c := range map[string]struct {
		value any
		empty any // value into which the text is parsed
		text  string
	}{
		"configuration": {
			value: &Configuration{
				Version: 7,
				Routes: []Route{{
					Name:             "r",
					Hostname:         "h.example",
					PathPrefix:       "/p/",
					RouteKind:        Retryable,
					TimeoutMS:        1500.5,
					TargetMS:         300,
					Priority:         2,
					Service:          "s",
					WeightedServices: []WeightedService{{Service: "w", Weight: 0.25}},
					GatheredServices: []string{"g"},
					Attempts:         3,
					TopRecords:       10,
					MinimumShare:     0.5,
				}, {}},
				Services: []Service{{Name: "s", HealthPath: "/health", ConnectionLimit: 280, Protocol: "h1", TransportSecurity: true}},
				Limits:   Limits{HeaderBytes: 16384, BodyBytes: 262144, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
			},
			empty: &Configuration{},
			text: `{"version":7,"routes":[{"name":"r","hostname":"h.example","path_prefix":"/p/","route_kind":"retryable",` +
				`"timeout_ms":1500.5,"target_ms":300,"priority":2,"service":"s","weighted_services":[{"service":"w","weight":0.25}],` +
				`"gathered_services":["g"],"attempts":3,"top_records":10,"minimum_share":0.5},{"name":"","hostname":"",` +
				`"path_prefix":"","route_kind":"","timeout_ms":0,"target_ms":0,"priority":0,"attempts":0}],"services":[{"name":"s",` +
				`"health_path":"/health","connection_limit":280,"protocol":"h1","transport_security":true}],"limits":` +
				`{"header_bytes":16384,"body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		},
		"heartbeat": {
			value: &Heartbeat{Service: "s", Address: "10.1.0.1:8080", Zone: "zone-1", Version: "v1", CapacitySlots: 3,
				State: StateDraining, SlowStartRemainingMS: 1.5, Sequence: 9},
			empty: &Heartbeat{},
			text: `{"service":"s","address":"10.1.0.1:8080","zone":"zone-1","version":"v1","capacity_slots":3,` +
				`"state":"draining","cold_remaining_ms":1.5,"call_sequence":9}`,
		},
		"tenants": {
			value: &TenantDocument{Tenants: []Tenant{{Name: "t", Routes: []TenantRoute{{Hostname: "h.example", PathPrefix: "/p/"}},
				Weight: 2, ReservedConnections: 1, MaxConnections: 5, MaxBorrowed: &borrowed}, {}}},
			empty: &TenantDocument{},
			text: `{"tenants":[{"name":"t","routes":[{"hostname":"h.example","path_prefix":"/p/"}],"weight":2,"floor":1,"most":5,` +
				`"borrow":3},{"name":"","routes":null,"weight":0}]}`,
		},
		"pins": {
			value: &PinDocument{Pins: []Pin{{Instance: "i-1", State: PinEjected, DurationSeconds: 60, Reason: "test"}, {}}},
			empty: &PinDocument{},
			text: `{"pins":[{"instance":"i-1","stance":"out","for_s":60,"why":"test"},{"instance":"","stance":"","for_s":0,` +
				`"why":""}]}`,
		},
	} {
		t.Run(name, func(t *testing.T) {
			text, err := json.Marshal(c.value)
			if err != nil || string(text) != c.text {
				t.Errorf("encoded as\n%s\nwant\n%s (%v)", text, c.text, err)
			}
			if err := json.Unmarshal([]byte(c.text), c.empty); err != nil || !reflect.DeepEqual(c.empty, c.value) {
				t.Errorf("decoded as\n%+v\nwant\n%+v (%v)", c.empty, c.value, err)
			}
		})
	}
}
