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
		t.Errorf("in contact after %d of %d steps: too few to tell", contactSteps, runs*steps)
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
			t.Error("no check detects it")
		})
	}
}

// A reply older than one that was observed changes nothing, of whatever incarnation it is.
func TestStaleRepliesAreIgnored(t *testing.T) {
	tracker, members := NewContactTracker(), []consensus.Member{{ID: 1}}
	expect := func(want time.Duration, ok bool) {
		t.Helper()
		if got, is := tracker.Since(members, 5); got != want || is != ok {
			t.Errorf("contact since %v, %v; want %v, %v", got, is, want, ok)
		}
	}
	expect(0, false)
	tracker.ObserveReply(1, Reply{1, 10, 5}, 5)
	tracker.ObserveReply(1, Reply{1, 5, 4}, 5)
	tracker.ObserveReply(1, Reply{2, 5, 4}, 5)
	expect(10, true)
	tracker.ObserveReply(1, Reply{1, 20, 6}, 5) // it accepted a value in a later slot: only its reply before counts
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
	if _, ok := tracker.Since(nil, 5); ok {
		t.Error("no members have a majority")
	}
}
