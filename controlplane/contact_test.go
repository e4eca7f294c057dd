package controlplane

import (
	"testing"
	"time"

	"oxbowspan/consensus"
	"oxbowspan/quorum"
	"oxbowspan/registry"
)

// newTestMember returns a controller that has not been started. It is one of three members; its peers have the identifiers 2 and 3.
func newTestMember(t *testing.T) *Controller {
	t.Helper()
	c := newTestController(t)
	c.clock.setBack(-time.Minute)
	members := []consensus.Member{{ID: c.self.id, Address: c.self.address}, {ID: 2, Address: "b"}, {ID: 3, Address: "c"}}
	c.learner.value, c.learner.confirmed = &consensus.Value{Slot: 4, Members: members, PriorMembers: members}, true
	for _, m := range members[1:] {
		c.peers.byAddress[m.Address] = &peer{address: m.Address, id: m.ID, wake: make(chan struct{}, 1)}
	}
	return c
}

// observeReply records a reply of a peer's acceptor to a request that was sent at a time.
func (c *Controller) observeReply(id consensus.AcceptorID, sentAt time.Duration, slot consensus.Slot) {
	c.contact.observeReply(id, quorum.Reply{Incarnation: 1, SentAt: sentAt, Slot: slot})
}

func TestContactMonitor(t *testing.T) {
	c, now := newTestMember(t), time.Minute
	if c.contact.hasQuorum(now) {
		t.Error("in contact with a majority without any reply")
	}
	c.observeReply(2, now, 4)
	if lost, next := c.contact.check(now + time.Second); lost || next != now+contactLifetime {
		t.Errorf("after a reply: contact lost %v, next check at %v", lost, next)
	}
	if lost, _ := c.contact.check(now + contactLifetime); !lost {
		t.Error("the loss of contact is not reported")
	}
	if lost, _ := c.contact.check(now + contactLifetime); lost {
		t.Error("the loss of contact is reported twice")
	}
	c.observeReply(3, now+3*time.Second, 5)
	if c.contact.hasQuorum(now + 3*time.Second) {
		t.Error("a reply that reports a later slot counts as contact")
	}
}

func TestContactVerifier(t *testing.T) {
	c, now := newTestMember(t), time.Minute
	results := map[string]bool{}
	verify := func(name string, at time.Duration) {
		c.verifier.verify(at, func(verified bool) { results[name] = verified })
	}
	c.observeReply(2, now-time.Second, 4)
	verify("first", now)
	if next := c.verifier.check(now); len(c.peers.byAddress["b"].wake) != 1 || next != now+housekeepingInterval {
		t.Errorf("%d wake-ups of peer b, next check at %v", len(c.peers.byAddress["b"].wake), next)
	}
	verify("second", now+10*time.Millisecond)
	if next := c.verifier.check(now + 10*time.Millisecond); next != now+verifyInterval {
		t.Errorf("next check for the second verification at %v", next)
	}
	c.observeReply(2, now+time.Millisecond, 4)
	c.verifier.finish(now + 15*time.Millisecond)
	if verified, finished := results["first"]; !verified || !finished || len(results) != 1 {
		t.Errorf("results after a reply for the first verification: %v", results)
	}
	c.verifier.check(now + 10*time.Millisecond + verifyTimeout)
	if verified, finished := results["second"]; verified || !finished {
		t.Errorf("results after the timeout: %v", results)
	}
}

// A report that takes a server out of service is acknowledged only when a majority has it on their disks, also if it is sent again.
func TestHeartbeatWaitsForReplication(t *testing.T) {
	c := newTestMember(t)
	report := func(state registry.State, sequence registry.Sequence) reportOutcome {
		return c.heartbeats.apply("i-1", func(now time.Duration) {
			c.table.Merge(registry.Record{Instance: "i-1", Service: "s", Address: "a", State: state, Sequence: sequence, HeartbeatAt: now}, "")
		})
	}
	if outcome := report(registry.Ready, 1); outcome.wait != nil || !outcome.isolated {
		t.Fatalf("outcome of a heartbeat without contact to a majority: %+v", outcome)
	}
	c.observeReply(2, c.clock.now(), 4)
	first, again := report(registry.Draining, 2), report(registry.Draining, 2)
	if first.wait == nil || again.wait == nil || first.isolated {
		t.Fatalf("outcome of draining: %+v, of the repeated report: %+v", first, again)
	}
	b := c.peers.byAddress["b"]
	b.storesDepartures = true
	b.ackedCursor = c.table.Cursor()
	c.heartbeats.completeWaits()
	if len(c.heartbeats.waits) != 2 {
		t.Fatal("a wait is completed before any disk has the report")
	}
	b.observeStored(uint64(c.table.Cursor()))
	c.heartbeats.completeWaits()
	if len(c.heartbeats.waits) != 2 {
		t.Fatal("a wait is completed before the disks of a majority have the report")
	}
	(<-c.loop.commands)() // this controller's disk has it
	for _, outcome := range []reportOutcome{first, again} {
		select {
		case <-outcome.wait.done:
		default:
			t.Error("a wait is not completed although a majority has the report")
		}
	}
	if outcome := report(registry.Draining, 2); outcome.wait != nil {
		t.Error("a report that is already replicated has to wait")
	}
}

// A majority in which a peer's release can't store departures counts by what that peer has received, so that servers can leave while
// releases are mixed. A restarted peer counts again only once it has confirmed the report anew.
func TestReplicationByMixedReleases(t *testing.T) {
	c := newTestMember(t)
	b := c.peers.byAddress["b"]
	members := c.learner.value.Members
	b.ackedCursor = 7
	if !c.peers.replicated(members, 7, true) || c.peers.replicated(members, 8, true) || c.peers.replicated(members, 7, false) {
		t.Error("a peer of a release that can't store departures does not count by what it has received")
	}
	b.storesDepartures = true
	if c.peers.replicated(members, 7, true) {
		t.Error("a peer counts that has not stored the report")
	}
	b.observeStored(7)
	if !c.peers.replicated(members, 7, true) {
		t.Error("a peer that has stored the report does not count")
	}
	b.forgetReplicas()
	if c.peers.replicated(members, 7, true) {
		t.Error("a restarted peer counts that has not confirmed the report")
	}
}

func TestReplicationWaitExpires(t *testing.T) {
	c := newTestMember(t)
	c.heartbeats.apply("i-1", func(now time.Duration) {
		c.table.Merge(registry.Record{Instance: "i-1", Service: "s", Address: "a", State: registry.Draining, Sequence: 1, HeartbeatAt: now}, "")
	})
	deadline := c.heartbeats.waits[0].deadline
	if c.heartbeats.expireWaits(deadline - 1); len(c.heartbeats.waits) != 1 {
		t.Error("a wait is removed before its deadline")
	}
	if c.heartbeats.expireWaits(deadline); len(c.heartbeats.waits) != 0 {
		t.Error("a wait is not removed at its deadline")
	}
}
