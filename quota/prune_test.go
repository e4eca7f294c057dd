package quota

import (
	"fmt"
	"testing"
	"time"
)

// Each repartition of the index adds and removes services. No state of a removed service may remain, regardless of the
// order in which its servers are removed, its connections are released and its waiting calls are cancelled.
func TestStateOfRemovedServiceIsPruned(t *testing.T) {
	for _, order := range [][3]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		t.Run(fmt.Sprint(order), func(t *testing.T) {
			limiter := NewLimiter(1)
			tenants := limiter.SetPolicies([]TenantPolicy{{Name: "a", Weight: 1}, {Name: "b", Weight: 2}})
			limiter.SetServer(1, "old", 4, 8)
			limiter.SetServer(2, "old", 4, 8)
			limiter.SetServer(3, "new", 4, 8)
			for _, tenant := range tenants {
				limiter.AddWaiting("old", tenant, 1)
				limiter.Acquire(1, tenant, 0)
				limiter.Acquire(3, tenant, 0)
			}
			removeServers := func() {
				limiter.RemoveServer(1)
				limiter.RemoveServer(2)
			}
			releaseConnections := func() {
				for _, tenant := range tenants {
					limiter.Release(1, tenant, time.Millisecond, time.Second)
				}
			}
			stopWaiting := func() {
				for _, tenant := range tenants {
					limiter.AddWaiting("old", tenant, -1)
				}
			}
			steps := [3]func(){removeServers, releaseConnections, stopWaiting}
			for _, step := range order {
				steps[step]()
			}
			limiter.EstimatedWait("old", tenants[0], 2*time.Second) // must not create state
			if len(limiter.services) != 1 || len(limiter.servers) != 1 || len(limiter.queues) != len(tenants) {
				t.Errorf("%d services, %d servers and %d queues remain, want 1, 1 and %d",
					len(limiter.services), len(limiter.servers), len(limiter.queues), len(tenants))
			}
		})
	}
}
