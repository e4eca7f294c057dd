package pollen

import (
	"testing"
	"time"
)

// Services come and go with every new cut of the index: nothing of one that is gone may stay, in whatever order its servers leave,
// its connections come back and its waiting parts give up.
func TestTablesOfAServiceThatIsGoneAreEmptied(t *testing.T) {
	for order := range 6 {
		n := NewNode(1)
		tenants := n.Put([]Terms{{Name: "a", Weight: 1}, {Name: "b", Weight: 2}})
		n.Serve(1, "old", 4, 8)
		n.Serve(2, "old", 4, 8)
		n.Serve(3, "new", 4, 8)
		for _, tenant := range tenants {
			n.Waits("old", tenant, 1)
			n.Took(1, tenant, 0)
			n.Took(3, tenant, 0)
		}
		steps := []func(){
			func() { n.Leave(1); n.Leave(2) },
			func() {
				for _, tenant := range tenants {
					n.Back(1, tenant, time.Millisecond, time.Second)
				}
			},
			func() {
				for _, tenant := range tenants {
					n.Waits("old", tenant, -1)
				}
			},
		}
		for _, i := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}}[order] {
			steps[i]()
		}
		n.Wait("old", tenants[0], 2*time.Second)
		if len(n.fields) != 1 || len(n.plots) != 1 || len(n.queues) != len(tenants) {
			t.Errorf("order %d: %d services, %d servers, %d queues are left", order, len(n.fields), len(n.plots), len(n.queues))
		}
	}
}
