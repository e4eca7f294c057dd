package controlplane

import (
	"testing"
	"time"

	"oxbowspan/consensus"
	"oxbowspan/quorum"
	"oxbowspan/registry"
)

// newTestMember returns a controller that was not started and is one of three members; its two peers have identifiers 2 and 3.
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

// reply has the acceptor of a peer reply to a request that was sent at a time.
func (c *Controller) reply(id consensus.AcceptorID, sentAt time.Duration, slot consensus.Slot) {
	c.contact.observeReply(id, quorum.Reply{Incarnation: 1, SentAt: sentAt, Slot: slot})
}

func TestContactMonitor(t *testing.T) {
	c, now := newTestMember(t), time.Minute
	if c.contact.hasQuorum(now) {
		t.Error("in contact without a reply")
	}
	c.reply(2, now, 4)
	if lost, next := c.contact.check(now + time.Second); lost || next != now+contactLifetime {
		t.Errorf("with a majority lost: %v, next at %v", lost, next)
	}
	if lost, _ := c.contact.check(now + contactLifetime); !lost {
		t.Error("the loss is not reported")
	}
	if lost, _ := c.contact.check(now + contactLifetime); lost {
		t.Error("the loss is reported twice")
	}
	c.reply(3, now+3*time.Second, 5)
	if c.contact.hasQuorum(now + 3*time.Second) {
		t.Error("in contact by a reply that reports a later slot")
	}
}

func TestContactVerifier(t *testing.T) {
	c, now := newTestMember(t), time.Minute
	results := map[string]bool{}
	verify := func(name string, at time.Duration) {
		c.verifier.verify(at, func(verified bool) { results[name] = verified })
	}
	c.reply(2, now-time.Second, 4)
	verify("first", now)
	if next := c.verifier.check(now); len(c.peers.byAddress["b"].wake) != 1 || next != now+housekeepingInterval {
		t.Errorf("gossip is sent to %d peers, next check at %v", len(c.peers.byAddress["b"].wake), next)
	}
	verify("second", now+10*time.Millisecond)
	if next := c.verifier.check(now + 10*time.Millisecond); next != now+verifyInterval {
		t.Errorf("gossip for the second at %v", next)
	}
	c.reply(2, now+time.Millisecond, 4)
	c.verifier.finish(now + 15*time.Millisecond)
	if verified, finished := results["first"]; !verified || !finished || len(results) != 1 {
		t.Errorf("after a reply to the first: %v", results)
	}
	c.verifier.check(now + 10*time.Millisecond + verifyTimeout)
	if verified, finished := results["second"]; verified || !finished {
		t.Errorf("after the time-out: %v", results)
	}
}

// A report that takes a server out of service waits until a majority has it, also when it is sent again.
func TestHeartbeatWaitsForReplication(t *testing.T) {
	c := newTestMember(t)
	report := func(state registry.State, sequence registry.Sequence) reportOutcome {
		return c.heartbeats.apply("i-1", func(now time.Duration) {
			c.table.Merge(registry.Record{Instance: "i-1", Service: "s", Address: "a", State: state, Sequence: sequence, HeartbeatAt: now}, "")
		})
	}
	if outcome := report(registry.Ready, 1); outcome.wait != nil || !outcome.isolated {
		t.Fatalf("a heartbeat without contact: %+v", outcome)
	}
	c.reply(2, c.clock.now(), 4)
	first, again := report(registry.Draining, 2), report(registry.Draining, 2)
	if first.wait == nil || again.wait == nil || first.isolated {
		t.Fatalf("draining: %+v, again %+v", first, again)
	}
	c.heartbeats.completeWaits()
	if len(c.heartbeats.waits) != 2 {
		t.Fatal("a wait ends before a majority has the report")
	}
	c.peers.byAddress["b"].ackedCursor = c.table.Cursor()
	c.heartbeats.completeWaits()
	for _, outcome := range []reportOutcome{first, again} {
		select {
		case <-outcome.wait.done:
		default:
			t.Error("a wait lasts though a majority has the report")
		}
	}
	if outcome := report(registry.Draining, 2); outcome.wait != nil {
		t.Error("a replicated report waits")
	}
}

func TestReplicationWaitExpires(t *testing.T) {
	c := newTestMember(t)
	c.heartbeats.apply("i-1", func(now time.Duration) {
		c.table.Merge(registry.Record{Instance: "i-1", Service: "s", Address: "a", State: registry.Draining, Sequence: 1, HeartbeatAt: now}, "")
	})
	deadline := c.heartbeats.waits[0].deadline
	if c.heartbeats.expireWaits(deadline - 1); len(c.heartbeats.waits) != 1 {
		t.Error("a wait is dropped before its deadline")
	}
	if c.heartbeats.expireWaits(deadline); len(c.heartbeats.waits) != 0 {
		t.Error("a wait is kept after its deadline")
	}
}
