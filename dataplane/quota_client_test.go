package dataplane

import (
	"fmt"
	"testing"
	"time"

	"oxbowspan/balancer"
	"oxbowspan/config"
	"oxbowspan/quota"
	"oxbowspan/rendezvous"
	"oxbowspan/rpc"
)

const testConnectionLimit = 40 // connections that one server accepts from all gateways together

// withTenants returns the components of one of three gateways, with an active configuration and a tenant document.
func withTenants(t *testing.T) *components {
	t.Helper()
	c := newComponents(t)
	c.members.update([]*rpc.Gateway{{Address: "10.0.0.2:7001", Zone: "a"}, {Address: "10.0.0.3:7001", Zone: "b"}}, 0)
	c.report(readyServers("i", "j")...)
	c.configs.activate(&config.Configuration{
		Version:  1,
		Services: []config.Service{{Name: "s", ConnectionLimit: testConnectionLimit}},
		Routes:   []config.Route{{Hostname: "h", PathPrefix: "/", Service: "s", Attempts: 1}},
	}, nil, 1)
	c.quota.applyDocument(&rpc.Document{Name: config.TenantsDocumentName, Version: 1, Body: []byte(`{"tenants":[]}`)})
	if !c.quota.enabled() {
		t.Fatal("the tenant document is not active")
	}
	return c
}

// baseConnections returns the number of connections to one server that each gateway may use without a grant.
func baseConnections(c *components) int {
	base, _ := quota.SplitCapacity(rendezvous.ConnectionSlots(testConnectionLimit), c.members.size())
	return base
}

func TestQuotaIsDisabledWithoutTenants(t *testing.T) {
	c := newComponents(t)
	if !c.quota.CanAcquire(1, 0, 0) || c.quota.LimitShare(0, 0) != 1 || c.quota.ExpectedWait(0, 0, 0) != balancer.Never {
		t.Error("connections are limited without a tenant document")
	}
	if _, ok := c.quota.allocate("s", 1, nil, 0, 0); ok {
		t.Error("allocate() allocates a grant without a tenant document")
	}
}

// A grant is in use until its lease, which starts at the request, has expired.
func TestQuotaGrant(t *testing.T) {
	const granted = 3
	for _, test := range []struct {
		name     string
		latency  time.Duration // from the request to the arrival of the grant
		after    time.Duration // from the arrival of the grant to the check
		expected int           // connections in addition to the base
	}{
		{"in time", 100 * time.Millisecond, 0, granted},
		{"until the lease ends", 100 * time.Millisecond, quota.LeaseDuration - 200*time.Millisecond, granted},
		{"after the lease", 100 * time.Millisecond, quota.LeaseDuration, 0},
		{"arrived too late", quota.LeaseDuration, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := withTenants(t)
			requestedAt := c.loop.time
			c.loop.time += ticks(test.latency)
			c.quota.applyGrant("s", granted, requestedAt)
			c.loop.time += ticks(test.after)
			c.quota.maintain(c.loop.time)
			if got, want := c.quota.maxConnections("s"), baseConnections(c)+test.expected; got != want {
				t.Errorf("maxConnections() = %d, want %d", got, want)
			}
		})
	}
}

// The demands and grants of a service are deleted once it is no longer configured.
func TestQuotaDropsUnknownServices(t *testing.T) {
	c := withTenants(t)
	c.quota.maintain(c.loop.time)
	c.quota.applyGrant("s", 2, c.loop.time)
	if len(c.quota.demands) != 1 {
		t.Fatalf("demands of %d services, want 1", len(c.quota.demands))
	}
	c.configs.activate(&config.Configuration{Version: 2, Services: []config.Service{{Name: "o", ConnectionLimit: testConnectionLimit}}}, nil, 2)
	if len(c.quota.demands) != 0 || len(c.quota.grants) != 0 {
		t.Errorf("%d demands and %d grants remain, want none", len(c.quota.demands), len(c.quota.grants))
	}
}

// A route that no tenant of the document lists is a tenant of its own.
func TestRouteWithoutTenant(t *testing.T) {
	c := withTenants(t)
	var names []string
	for _, tenant := range c.quota.tenants {
		names = append(names, tenant.Name)
	}
	if got, want := fmt.Sprint(names), "[h/]"; got != want {
		t.Errorf("tenants %s, want %s", got, want)
	}
	for _, r := range c.configs.load().routes {
		if !r.hasTenant {
			t.Errorf("route %s%s has no tenant", r.Hostname, r.PathPrefix)
		}
	}
}

func TestDemandsAreEncodedInThousandths(t *testing.T) {
	demands := []quota.Demand{{Tenant: "a", Connections: 1.5, Weight: 2}, {Tenant: "b", Connections: 0.25, Weight: 0.5}}
	decoded := decodeDemands(encodeDemands(demands))
	for i, demand := range demands {
		if decoded[i] != demand {
			t.Errorf("decoded %+v, want %+v", decoded[i], demand)
		}
	}
}
