package quota

import (
	"testing"
	"time"
)

// requester sends the requests of gateways, each with its last grant as the connections in use.
type requester struct {
	allocator *Allocator
	pool      int
	inUse     map[uint64]int
	now       time.Duration
}

func newRequester(pool int) *requester {
	return &requester{allocator: NewAllocator(), pool: pool, inUse: map[uint64]int{}, now: time.Second}
}

func (r *requester) request(incarnation uint64, demand Demand) int {
	connections := r.allocator.RequestGrant(incarnation, []Demand{demand}, r.inUse[incarnation], r.pool, r.now)
	r.inUse[incarnation] = connections
	return connections
}

// settle repeats the requests until the connections of larger earlier grants have been returned.
func (r *requester) settle(requests func()) {
	for range 4 {
		r.now += 500 * time.Millisecond
		requests()
	}
}

// A tenant with excessive demand at one gateway is granted the free connections, but none of another tenant's share at
// other gateways.
func TestGrantsFollowDemand(t *testing.T) {
	const pool = 60
	r := newRequester(pool)
	flood := Demand{Tenant: "letters", Connections: 500, Weight: 1}
	if got := r.request(1, flood); got != pool {
		t.Errorf("the only tenant was granted %d of %d connections, want all", got, pool)
	}

	small := Demand{Tenant: "counter", Connections: 20, Weight: 1}
	r.settle(func() {
		r.request(1, flood)
		r.request(2, small)
	})
	if a, b := r.request(1, flood), r.request(2, small); a != 40 || b != 20 {
		t.Errorf("demands of 500 and 20 were granted %d and %d, want 40 and 20", a, b)
	}

	heavy := Demand{Tenant: "counter", Connections: 80, Weight: 2}
	light := Demand{Tenant: "counter", Connections: 20, Weight: 2}
	r.settle(func() {
		r.request(1, flood)
		r.request(2, heavy)
		r.request(3, light)
	})
	if a, b, c := r.request(1, flood), r.request(2, heavy), r.request(3, light); a != 20 || b != 32 || c != 8 {
		t.Errorf("weights of 1 and 2, the latter split 80:20, were granted %d, %d and %d, want 20, 32 and 8", a, b, c)
	}
}

func TestSplitCapacity(t *testing.T) {
	for _, c := range []struct {
		name            string
		total, gateways int
		base, pool      int
	}{
		{"no limit", 0, 3, 0, 0},
		{"no gateway counts as one", 8, 0, 6, 2},
		{"fewer connections than gateways", 2, 5, 1, 0},
		{"fewer than two for each gateway", 9, 5, 1, 0},
		{"three quarters are bases", 80, 10, 6, 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			if base, pool := SplitCapacity(c.total, c.gateways); base != c.base || pool != c.pool {
				t.Errorf("SplitCapacity(%d, %d) = %d, %d, want %d, %d", c.total, c.gateways, base, pool, c.base, c.pool)
			}
		})
	}
}
