package maintenance

import (
	"errors"
	"testing"
)

func TestEveryUnavailableReasonCountsTowardsLimit(t *testing.T) {
	for name, takeOut := range map[string]func(*harness){
		"lease expired": func(h *harness) {
			h.advance(2900)
			h.renew(1, 1, RequestCounts{})
			h.renew(2, 1, RequestCounts{})
			h.advance(200)
		},
		"left": func(h *harness) { h.must(Command{Leave: &Leave{Name: memberName(0), Incarnation: 1}}) },
		"warming up": func(h *harness) {
			h.must(Command{Join: &Join{Name: memberName(0), Zone: "a", Version: "v1", Incarnation: 2}})
		},
		"suspected": func(h *harness) {
			h.renew(1, 1, RequestCounts{}, memberName(0))
			h.renew(2, 1, RequestCounts{}, memberName(0))
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, Limits{MaxGatherers: 1, MaxGathererShare: 0.9})
			h.startGatherers(3)
			takeOut(h)
			if _, err := h.apply(permitRequest(1, 1)); !errors.Is(err, ErrRefused) {
				t.Errorf("got %v, want ErrRefused", err)
			}
		})
	}
}

func TestSuspicionsOfMostMembersAreIgnored(t *testing.T) {
	h := newHarness(t, Limits{MaxGatherers: 1, SuspicionShare: 0.1})
	h.startGatherers(5)
	h.renew(4, 1, RequestCounts{}, memberName(0), memberName(1), memberName(2))
	h.must(permitRequest(3, 1))
}

func TestLimitsByZoneShareAndSegment(t *testing.T) {
	h := newHarness(t, Limits{MaxGatherersPerZone: 1})
	h.startGatherers(4, "a", "b")
	h.must(permitRequest(0, 1))
	h.mustFail(permitRequest(2, 1), "gatherers of zone a")
	h.must(permitRequest(1, 1))
	h = newHarness(t, Limits{MaxGathererShare: 0.2})
	h.startGatherers(4)
	h.mustFail(permitRequest(0, 1), "less than one")
	h = newHarness(t, Limits{MinReplicas: 1, MaxServers: 9})
	list := func(status Status) *UpdateServers {
		return &UpdateServers{[]ListedServer{{"s1", "a", "v1", 5, Ready, []Segment{0, 1}}, {"s2", "b", "v1", 5, status, []Segment{1, 2}},
			{"s3", "b", "v1", 5, Ready, []Segment{2, 0}}}}
	}
	h.must(Command{UpdateServers: list(WarmingUp)})
	h.mustFail(Command{RequestPermit: &RequestPermit{Name: "s1", Reason: "disk"}}, "segment 1 would have 0 ready replicas of at least 1")
	h.must(Command{UpdateServers: list(Ready)})
	h.must(Command{RequestPermit: &RequestPermit{Name: "s1", Reason: "disk"}})
	h.mustFail(Command{RequestPermit: &RequestPermit{Name: "s3", Reason: "disk"}}, "segment 0")
	// s1 disappears from the list and returns with a later incarnation: its permit ends when it is ready.
	l := list(Ready)
	l.Servers = l.Servers[1:]
	h.advance(10)
	h.must(Command{At: h.Now, UpdateServers: l})
	h.mustFail(Command{RequestPermit: &RequestPermit{Name: "s3", Reason: "disk"}}, "segment 0")
	h.advance(10)
	l = list(Ready)
	l.Servers[0].Incarnation = 6
	h.must(Command{At: h.Now, UpdateServers: l})
	h.must(Command{RequestPermit: &RequestPermit{Name: "s3", Reason: "disk"}})
}
