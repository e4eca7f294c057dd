package quota

import (
	"testing"
	"time"
)

// Services come and go with every new cut of the index: nothing of one that is gone may stay, in whatever order its servers leave,
// its connections come back and its waiting parts give up.
func TestStateOfRemovedServiceIsPruned(t *testing.T) {
	for order := range 6 {
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
		steps := []func(){
			func() { limiter.RemoveServer(1); limiter.RemoveServer(2) },
			func() {
				for _, tenant := range tenants {
					limiter.Release(1, tenant, time.Millisecond, time.Second)
				}
			},
			func() {
				for _, tenant := range tenants {
					limiter.AddWaiting("old", tenant, -1)
				}
			},
		}
		for _, i := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}}[order] {
			steps[i]()
		}
		limiter.EstimatedWait("old", tenants[0], 2*time.Second)
		if len(limiter.services) != 1 || len(limiter.servers) != 1 || len(limiter.queues) != len(tenants) {
			t.Errorf("order %d: %d services, %d servers, %d queues are left", order, len(limiter.services), len(limiter.servers), len(limiter.queues))
		}
	}
}
