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
	n Epoch
}

func newHarness(t *testing.T, l Limits) *harness {
	if l.LeaseDuration == 0 {
		l.LeaseDuration = 3000
	}
	return &harness{State: New(l), t: t}
}

func (r *harness) apply(c Command) (Result, error) {
	r.n++
	b, err := c.Encode()
	if err != nil {
		r.t.Fatal(err)
	}
	back, err := Decode(b)
	if err != nil {
		r.t.Fatal(err)
	}
	return r.Apply(r.n, back)
}

func (r *harness) must(c Command) Result {
	r.t.Helper()
	got, err := r.apply(c)
	if err != nil {
		r.t.Fatal(err)
	}
	return got
}

func (r *harness) mustFail(c Command, want string) {
	r.t.Helper()
	if _, err := r.apply(c); err == nil || !strings.Contains(err.Error(), want) {
		r.t.Errorf("got %v, want an error with %q", err, want)
	}
}

// startGatherers starts n ready gatherers with version v1, in the zones in turn.
func (r *harness) startGatherers(n int, zones ...Zone) {
	for i := range n {
		z := Zone("a")
		if len(zones) > 0 {
			z = zones[i%len(zones)]
		}
		r.start(i, 1, z, "v1")
	}
}

func memberName(i int) MemberName { return MemberName(fmt.Sprintf("n%02d", i)) }

func (r *harness) start(i int, inc Incarnation, z Zone, v Version) {
	r.must(Command{At: r.Now, Join: &Join{Name: memberName(i), Zone: z, Version: v, Incarnation: inc}})
	r.renew(i, inc, RequestCounts{})
}

func (r *harness) renew(i int, inc Incarnation, f RequestCounts, suspects ...MemberName) {
	r.must(Command{At: r.Now, Renew: &Renew{Name: memberName(i), Incarnation: inc, Status: Ready, Counts: f, Suspects: suspects}})
}

func (r *harness) advance(d Duration) {
	r.must(Command{At: r.Now + Time(d), AdvanceTime: &AdvanceTime{}})
}

func permitRequest(i int, inc Incarnation) Command {
	return Command{RequestPermit: &RequestPermit{Name: memberName(i), Incarnation: inc, Reason: "shutdown requested"}}
}

func testPlan(steps ...float64) Plan {
	return Plan{ID: "r", Kind: Gatherer, From: "v1", To: "v2", Steps: steps, Dwell: 1000, ChangeTimeout: 5000, MaxLoss: 0.02, MinRequests: 10}
}

// runHooks carries out all orders, as a working hook does: each member restarts with the ordered version. Then all gatherers report
// requests, which succeed where healthy reports so for their version.
func (r *harness) runHooks(healthy func(Version) bool) {
	for _, o := range r.Orders() {
		var i int
		fmt.Sscanf(string(o.Name), "n%d", &i)
		r.advance(1)
		r.start(i, r.Members[o.Name].Incarnation+1, r.Members[o.Name].Zone, o.Version)
	}
	r.advance(500)
	for _, m := range r.sortedMembers(Gatherer) {
		f := m.Counts
		if healthy(m.Version) {
			f.Answered += 100
		} else {
			f.Answered, f.Errored = f.Answered+50, f.Errored+50
		}
		if m.LeaseEnd > r.Now {
			r.must(Command{At: r.Now, Renew: &Renew{Name: m.Name, Incarnation: m.Incarnation, Status: Ready, Counts: f}})
		}
	}
}

// awaitOrders runs hooks until the release gives n orders.
func (r *harness) awaitOrders(n int) []Order {
	r.t.Helper()
	for range 10 {
		if len(r.Orders()) == n {
			break
		}
		r.runHooks(allSucceed)
	}
	orders := r.Orders()
	if len(orders) != n {
		r.t.Fatalf("orders %v, want %d", orders, n)
	}
	return orders
}

// awaitPhase runs hooks until the release is in a phase.
func (r *harness) awaitPhase(phase Phase, healthy func(Version) bool) *Release {
	r.t.Helper()
	for range 200 {
		if rel := r.Release("r"); rel.Phase == phase {
			return rel
		}
		r.runHooks(healthy)
		if n := len(r.Orders()); r.Limits.MaxGatherers > 0 && n > r.Limits.MaxGatherers {
			r.t.Fatalf("%d changes at the same time, at most %d gatherers may be out", n, r.Limits.MaxGatherers)
		}
	}
	b, _ := json.Marshal(r.Release("r"))
	r.t.Fatalf("the release does not become %s: %s", phase, b)
	return nil
}

func allSucceed(Version) bool { return true }
