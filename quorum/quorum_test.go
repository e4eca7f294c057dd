package quorum

import (
	"testing"
	"time"

	"oxbowspan/consensus"
)

func TestNoUnknownDecisionBeforeContact(t *testing.T) {
	contactSteps := 0
	const runs, steps = 1000, 600
	for seed := range uint64(runs) {
		violation, n := runModel(seed, steps, noFault)
		if violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
		contactSteps += n
	}
	if contactSteps < runs*steps/5 {
		t.Errorf("in contact after %d of %d steps: too few to be conclusive", contactSteps, runs*steps)
	}
}

func TestModelDetectsInjectedFaults(t *testing.T) {
	for name, fault := range map[string]injectedFault{
		"unsolicited messages count as contact":       acceptUnsolicited,
		"replies count from when they are read":       useReceiveTime,
		"replies of an ended process count":           mixIncarnations,
		"a majority of the first members":             useFirstMembers,
		"replies confirm whatever slot they report":   ignoreSlots,
		"the observer's own acceptor always confirms": ignoreOwnAccept,
		"accepted values are reported late":           reportAcceptLate,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3000) {
				if violation, _ := runModel(seed, 600, fault); violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			t.Error("no check detected the injected fault in 3000 runs")
		})
	}
}

// A reply to a request older than that of the newest reply must be ignored, whatever its incarnation.
func TestStaleRepliesAreIgnored(t *testing.T) {
	tracker, members := NewContactTracker(), []consensus.Member{{ID: 1}}
	expect := func(want time.Duration, ok bool) {
		t.Helper()
		if got, gotOK := tracker.ContactSince(members, 5); got != want || gotOK != ok {
			t.Errorf("contact since %v, %v; want %v, %v", got, gotOK, want, ok)
		}
	}
	expect(0, false)
	tracker.ObserveReply(1, Reply{1, 10, 5}, 5)
	tracker.ObserveReply(1, Reply{1, 5, 4}, 5)
	tracker.ObserveReply(1, Reply{2, 5, 4}, 5)
	expect(10, true)
	tracker.ObserveReply(1, Reply{1, 20, 6}, 5) // a value was accepted in a later slot: only the earlier reply counts
	tracker.ObserveReply(1, Reply{1, 30, 6}, 5)
	expect(10, true)
	tracker.ObserveIncarnation(1, 1)
	expect(10, true)
	tracker.Prune(30)
	expect(10, true)
	tracker.Prune(31)
	expect(0, false)
	tracker.ObserveReply(1, Reply{1, 40, 5}, 5)
	tracker.ObserveIncarnation(1, 2)
	expect(0, false)
	if _, ok := tracker.ContactSince(nil, 5); ok {
		t.Error("an empty set of members is in contact, want no contact")
	}
}
