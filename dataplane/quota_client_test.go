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

const testConnectionLimit = 40 // connections that one server takes from all gateways

// withTenants gives components an active configuration, a document of tenants and three gateways.
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
		t.Fatal("the document of tenants is not active")
	}
	return c
}

// baseConnections are those to one server that each gateway has without a grant.
func baseConnections(c *components) int {
	base, _ := quota.SplitCapacity(rendezvous.ConnectionSlots(testConnectionLimit), c.members.size())
	return base
}

func TestQuotaIsDisabledWithoutTenants(t *testing.T) {
	c := newComponents(t)
	if !c.quota.CanAcquire(1, 0, 0) || c.quota.LimitShare(0, 0) != 1 || c.quota.ExpectedWait(0, 0, 0) != balancer.Never {
		t.Error("connections are limited without a document of tenants")
	}
	if _, ok := c.quota.allocate("s", 1, nil, 0, 0); ok {
		t.Error("a grant is given without a document of tenants")
	}
}

func TestQuotaGrant(t *testing.T) {
	const granted = 3
	for _, test := range []struct {
		name     string
		travel   time.Duration // from the request to the grant's arrival
		after    time.Duration // from the arrival
		expected int           // beyond the base
	}{
		{"in time", 100 * time.Millisecond, 0, granted},
		{"until the lease ends", 100 * time.Millisecond, quota.LeaseDuration - 200*time.Millisecond, granted},
		{"after the lease", 100 * time.Millisecond, quota.LeaseDuration, 0},
		{"arrived too late", quota.LeaseDuration, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := withTenants(t)
			requestedAt := c.loop.time
			c.loop.time += ticks(test.travel)
			c.quota.applyGrant("s", granted, requestedAt)
			c.loop.time += ticks(test.after)
			c.quota.maintain(c.loop.time)
			if got, want := c.quota.maxConnections("s"), baseConnections(c)+test.expected; got != want {
				t.Errorf("maxConnections() = %d, want %d", got, want)
			}
		})
	}
}

// Once a service is no longer configured, nothing is kept of it.
func TestQuotaForgetsUnknownServices(t *testing.T) {
	c := withTenants(t)
	c.quota.maintain(c.loop.time)
	c.quota.applyGrant("s", 2, c.loop.time)
	if len(c.quota.demands) != 1 {
		t.Fatalf("demands of %d services, want 1", len(c.quota.demands))
	}
	c.configs.activate(&config.Configuration{Version: 2, Services: []config.Service{{Name: "o", ConnectionLimit: testConnectionLimit}}}, nil, 2)
	if len(c.quota.demands) != 0 || len(c.quota.grants) != 0 {
		t.Errorf("%d demands and %d grants are kept", len(c.quota.demands), len(c.quota.grants))
	}
}

// A route without a tenant in the document is a tenant of its own.
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
			t.Error("the route has no tenant")
		}
	}
}

func TestDemandsAreEncodedInThousandths(t *testing.T) {
	demands := []quota.Demand{{Tenant: "a", Connections: 1.5, Weight: 2}, {Tenant: "b", Connections: 0.25, Weight: 0.5}}
	decoded := decodeDemands(encodeDemands(demands))
	for i, demand := range demands {
		if decoded[i] != demand {
			t.Errorf("%+v is decoded as %+v", demand, decoded[i])
		}
	}
}
