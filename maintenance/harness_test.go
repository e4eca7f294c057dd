package maintenance

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

// harness is a state to which a test applies commands one by one.
type harness struct {
	*State
	t *testing.T
	n Epoch // log index of the last command
}

func newHarness(t *testing.T, l Limits) *harness {
	if l.LeaseDuration == 0 {
		l.LeaseDuration = 3000
	}
	return &harness{State: New(l), t: t}
}

// apply encodes, decodes and applies a command.
func (h *harness) apply(c Command) (Result, error) {
	h.n++
	b, err := c.Encode()
	if err != nil {
		h.t.Fatal(err)
	}
	decoded, err := Decode(b)
	if err != nil {
		h.t.Fatal(err)
	}
	return h.Apply(h.n, decoded)
}

// must applies a command that must succeed.
func (h *harness) must(c Command) Result {
	h.t.Helper()
	got, err := h.apply(c)
	if err != nil {
		h.t.Fatal(err)
	}
	return got
}

// mustFail applies a command that must return an error containing want.
func (h *harness) mustFail(c Command, want string) {
	h.t.Helper()
	if _, err := h.apply(c); err == nil || !strings.Contains(err.Error(), want) {
		h.t.Errorf("got %v, want an error with %q", err, want)
	}
}

// startGatherers starts n ready gatherers with version v1, distributed over the zones in turn.
func (h *harness) startGatherers(n int, zones ...Zone) {
	for i := range n {
		z := Zone("a")
		if len(zones) > 0 {
			z = zones[i%len(zones)]
		}
		h.start(i, 1, z, "v1")
	}
}

func memberName(i int) MemberName { return MemberName(fmt.Sprintf("n%02d", i)) }

// start starts an incarnation of a gatherer and makes it ready.
func (h *harness) start(i int, incarnation Incarnation, z Zone, v Version) {
	h.must(Command{At: h.Now, Join: &Join{Name: memberName(i), Zone: z, Version: v, Incarnation: incarnation}})
	h.renew(i, incarnation, RequestCounts{})
}

// renew renews the lease of a ready gatherer.
func (h *harness) renew(i int, incarnation Incarnation, counts RequestCounts, suspects ...MemberName) {
	h.must(Command{At: h.Now, Renew: &Renew{Name: memberName(i), Incarnation: incarnation, Status: Ready, Counts: counts, Suspects: suspects}})
}

// advance advances the time of the state.
func (h *harness) advance(d Duration) {
	h.must(Command{At: h.Now + Time(d), AdvanceTime: &AdvanceTime{}})
}

func permitRequest(i int, incarnation Incarnation) Command {
	return Command{RequestPermit: &RequestPermit{Name: memberName(i), Incarnation: incarnation, Reason: "shutdown requested"}}
}

func testPlan(steps ...float64) Plan {
	return Plan{ID: "r", Kind: Gatherer, From: "v1", To: "v2", Steps: steps, Dwell: 1000, ChangeTimeout: 5000, MaxLoss: 0.02, MinRequests: 10}
}

// runHooks carries out all orders as a working hook does: each member restarts with the ordered version. Then all live
// gatherers report 100 further requests, all of which succeed if healthy returns true for their version, and half of
// which fail otherwise.
func (h *harness) runHooks(healthy func(Version) bool) {
	for _, o := range h.Orders() {
		var i int
		fmt.Sscanf(string(o.Name), "n%d", &i)
		h.advance(1)
		h.start(i, h.Members[o.Name].Incarnation+1, h.Members[o.Name].Zone, o.Version)
	}
	h.advance(500)
	for _, m := range h.sortedMembers(Gatherer) {
		counts := m.Counts
		if healthy(m.Version) {
			counts.Answered += 100
		} else {
			counts.Answered, counts.Errored = counts.Answered+50, counts.Errored+50
		}
		if m.LeaseEnd > h.Now {
			h.must(Command{At: h.Now, Renew: &Renew{Name: m.Name, Incarnation: m.Incarnation, Status: Ready, Counts: counts}})
		}
	}
}

// awaitOrders runs hooks until the release gives n orders.
func (h *harness) awaitOrders(n int) []Order {
	h.t.Helper()
	for range 10 {
		if len(h.Orders()) == n {
			break
		}
		h.runHooks(allSucceed)
	}
	orders := h.Orders()
	if len(orders) != n {
		h.t.Fatalf("orders %v, want %d", orders, n)
	}
	return orders
}

// awaitPhase runs hooks until the release is in the given phase, and checks that no more than Limits.MaxGatherers
// changes are in progress.
func (h *harness) awaitPhase(phase Phase, healthy func(Version) bool) *Release {
	h.t.Helper()
	for range 200 {
		if rel := h.Release("r"); rel.Phase == phase {
			return rel
		}
		h.runHooks(healthy)
		if n := len(h.Orders()); h.Limits.MaxGatherers > 0 && n > h.Limits.MaxGatherers {
			h.t.Fatalf("%d changes in progress, at most %d gatherers may be out", n, h.Limits.MaxGatherers)
		}
	}
	b, _ := json.Marshal(h.Release("r"))
	h.t.Fatalf("the release has not reached phase %s: %s", phase, b)
	return nil
}

// allSucceed reports every version as healthy.
func allSucceed(Version) bool { return true }
