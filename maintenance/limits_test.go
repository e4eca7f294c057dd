package maintenance

import (
	"errors"
	"testing"
)

func TestEveryOutReasonCounts(t *testing.T) {
	for name, takeOut := range map[string]func(*harness){
		"lease expired": func(r *harness) {
			r.advance(2900)
			r.renew(1, 1, RequestCounts{})
			r.renew(2, 1, RequestCounts{})
			r.advance(200)
		},
		"left": func(r *harness) { r.must(Command{Leave: &Leave{Name: memberName(0), Incarnation: 1}}) },
		"warming up": func(r *harness) {
			r.must(Command{Join: &Join{Name: memberName(0), Zone: "a", Version: "v1", Incarnation: 2}})
		},
		"suspected": func(r *harness) {
			r.renew(1, 1, RequestCounts{}, memberName(0))
			r.renew(2, 1, RequestCounts{}, memberName(0))
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, Limits{MaxGatherers: 1, MaxGathererShare: 0.9})
			r.startGatherers(3)
			takeOut(r)
			if _, err := r.apply(permitRequest(1, 1)); !errors.Is(err, ErrRefused) {
				t.Errorf("got %v, want ErrRefused", err)
			}
		})
	}
}

func TestSuspectingMostMembersIsIgnored(t *testing.T) {
	r := newHarness(t, Limits{MaxGatherers: 1, SuspicionShare: 0.1})
	r.startGatherers(5)
	r.renew(4, 1, RequestCounts{}, memberName(0), memberName(1), memberName(2))
	r.must(permitRequest(3, 1))
}

func TestLimitsByZoneShareAndSegment(t *testing.T) {
	r := newHarness(t, Limits{MaxGatherersPerZone: 1})
	r.startGatherers(4, "a", "b")
	r.must(permitRequest(0, 1))
	r.mustFail(permitRequest(2, 1), "gatherers of zone a")
	r.must(permitRequest(1, 1))
	r = newHarness(t, Limits{MaxGathererShare: 0.2})
	r.startGatherers(4)
	r.mustFail(permitRequest(0, 1), "less than one")
	r = newHarness(t, Limits{MinReplicas: 1, MaxServers: 9})
	list := func(status Status) *UpdateServers {
		return &UpdateServers{[]ListedServer{{"s1", "a", "v1", 5, Ready, []Segment{0, 1}}, {"s2", "b", "v1", 5, status, []Segment{1, 2}},
			{"s3", "b", "v1", 5, Ready, []Segment{2, 0}}}}
	}
	r.must(Command{UpdateServers: list(WarmingUp)})
	r.mustFail(Command{RequestPermit: &RequestPermit{Name: "s1", Reason: "disk"}}, "segment 1 would have 0 ready replicas of at least 1")
	r.must(Command{UpdateServers: list(Ready)})
	r.must(Command{RequestPermit: &RequestPermit{Name: "s1", Reason: "disk"}})
	r.mustFail(Command{RequestPermit: &RequestPermit{Name: "s3", Reason: "disk"}}, "segment 0")
	// It leaves the list and returns with a later incarnation: its permit ends when it is ready.
	l := list(Ready)
	l.Servers = l.Servers[1:]
	r.advance(10)
	r.must(Command{At: r.Now, UpdateServers: l})
	r.mustFail(Command{RequestPermit: &RequestPermit{Name: "s3", Reason: "disk"}}, "segment 0")
	r.advance(10)
	l = list(Ready)
	l.Servers[0].Incarnation = 6
	r.must(Command{At: r.Now, UpdateServers: l})
	r.must(Command{RequestPermit: &RequestPermit{Name: "s3", Reason: "disk"}})
}
