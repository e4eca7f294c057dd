package controlplane

import (
	"testing"

	"github.com/rs/zerolog"

	"oxbowspan/consensus"
	"oxbowspan/internal/settings"
	"oxbowspan/internal/testing/simnet"
	"oxbowspan/rpc"
)

// newTestController returns a controller that has not been started, so that the test may access state of its event loop.
func newTestController(t *testing.T) *Controller {
	t.Helper()
	s := &settings.Settings{IPAddress: "10.0.1.1", InternalPorts: []int{7100, 7109}, SeedAddresses: []string{"10.0.1.1:8700"}, FirstStart: true,
		DataDirectory: t.TempDir(), HeartbeatIntervalMS: 1000}
	s.Listen.Control = "10.0.1.1:8700"
	c, err := New(t.Context(), s, simnet.New(nil).Host("10.0.1.1"), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.loop.stop(); c.store.Close() })
	return c
}

// sendPrepare sends a Prepare to the controller's acceptor and returns the reply.
func (c *Controller) sendPrepare(number uint64, knownBodies ...string) *rpc.PrepareReply {
	replies := make(chan *rpc.PrepareReply, 1)
	c.acceptor.handlePrepare(&rpc.Prepare{Acceptor: uint64(c.self.id), Ballot: &rpc.Ballot{Number: number}, KnownBodies: rpc.DigestsToProto(knownBodies)},
		func(reply *rpc.PrepareReply) { replies <- reply })
	return <-replies
}

// sendAccept sends an Accept to the controller's acceptor and returns the reply.
func (c *Controller) sendAccept(number uint64, v *rpc.Value) *rpc.AcceptReply {
	replies := make(chan *rpc.AcceptReply, 1)
	c.acceptor.handleAccept(&rpc.Accept{Acceptor: uint64(c.self.id), Ballot: &rpc.Ballot{Number: number}, Value: v},
		func(reply *rpc.AcceptReply) { replies <- reply })
	return <-replies
}

// learnMessage passes a value to the controller as if another controller had sent it. It reports whether a body is missing.
func (c *Controller) learnMessage(m *rpc.Value) (missing bool) {
	return c.learner.learnMessage(m, c.acceptor.acceptedValue.Load())
}

// An acceptor restores bodies that an Accept omits if it holds them, and refuses a value if it can't restore a body.
func TestAcceptorRestoresOmittedBodies(t *testing.T) {
	c := newTestController(t)
	members := []consensus.Member{{ID: c.self.id, Address: c.self.address}}
	first := &consensus.Value{Slot: 1, Members: members, PriorMembers: members, Version: 1, Digest: "d1", Body: []byte("one"),
		Documents: []consensus.Document{{Name: "x", Version: 1, Digest: "dx", Body: []byte("document")}}}
	if p := c.sendPrepare(1); !p.Ok || p.Value != nil || len(p.KnownBodies) != 0 {
		t.Fatalf("an empty acceptor answered the Prepare with %v", p)
	}
	if !c.sendAccept(1, rpc.ValueToProto(first)).Ok {
		t.Fatal("a complete value was not accepted")
	}
	p := c.sendPrepare(2, "d1", "dx")
	if len(p.KnownBodies) != 2 || !p.Value.BodyOmitted || !p.Value.Documents[0].BodyOmitted {
		t.Fatalf("the acceptor answered a Prepare with both digests with %v", p)
	}
	later := *first
	later.Slot = 2
	if !c.sendAccept(2, rpc.ValueToProto(&later, rpc.DigestsFromProto(p.KnownBodies)...)).Ok {
		t.Fatal("a value with omitted bodies that the acceptor holds was not accepted")
	}
	p = c.sendPrepare(3)
	if got := rpc.ValueFromProto(p.Value); got == nil || got.Slot != 2 || string(got.Body) != "one" || string(got.Document("x").Body) != "document" {
		t.Fatalf("the accepted value is %v", p.Value)
	}
	unknown := later
	unknown.Digest, unknown.Body = "d2", []byte("two")
	if a := c.sendAccept(3, rpc.ValueToProto(&unknown, "d2")); a.Ok {
		t.Error("a value with an omitted body that the acceptor doesn't hold was accepted")
	}
	if got := rpc.ValueFromProto(c.sendPrepare(4).Value); got.Digest != "d1" || string(got.Body) != "one" {
		t.Errorf("the accepted value after the refusal is %v", got)
	}
}

// A proposer of the previous release sends only the configuration's digest. It receives documents in full.
func TestPrepareNamingOnlyConfigurationDigest(t *testing.T) {
	c := newTestController(t)
	members := []consensus.Member{{ID: c.self.id, Address: c.self.address}}
	v := &consensus.Value{Slot: 1, Members: members, PriorMembers: members, Version: 1, Digest: "d1", Body: []byte("one"),
		Documents: []consensus.Document{{Name: "x", Version: 1, Digest: "dx", Body: []byte("document")}}}
	c.sendAccept(1, rpc.ValueToProto(v))
	replies := make(chan *rpc.PrepareReply, 1)
	c.acceptor.handlePrepare(&rpc.Prepare{Acceptor: uint64(c.self.id), Ballot: &rpc.Ballot{Number: 2}, KnownDigest: []byte("d1")},
		func(reply *rpc.PrepareReply) { replies <- reply })
	if p := <-replies; !p.Value.BodyOmitted || string(p.Value.Documents[0].Body) != "document" {
		t.Errorf("the reply contains %v", p.Value)
	}
}

// A peer that restores bodies receives the value without bodies, and in full after it has reported a missing body. A peer of the
// previous release receives the value in full. A value with a body that can't be restored is not learned.
func TestCompleteValueSentAfterMissingBody(t *testing.T) {
	c := newTestController(t)
	members := []consensus.Member{{ID: c.self.id, Address: c.self.address}}
	v := &consensus.Value{Slot: 3, Members: members, PriorMembers: members, Version: 1, Digest: "d1", Body: []byte("one")}
	c.learner.value, c.learner.confirmed = v, true
	restoring, old := &peer{restoresBodies: true, wake: make(chan struct{}, 1)}, &peer{}
	withoutBody := c.gossip.valueFor(restoring)
	if !withoutBody.BodyOmitted || c.gossip.valueFor(old).BodyOmitted {
		t.Fatalf("the value for a peer that restores bodies is %v, or bodies are omitted for one that doesn't", withoutBody)
	}
	receiver := newTestController(t)
	if !receiver.learnMessage(withoutBody) || receiver.learner.confirmed {
		t.Fatal("a value with a missing body was learned")
	}
	c.gossip.receiveValueReply(restoring, &rpc.GossipReply{MissingBody: true})
	if len(restoring.wake) != 1 {
		t.Error("the next message is not sent immediately")
	}
	if full := c.gossip.valueFor(restoring); full.BodyOmitted || receiver.learnMessage(full) || string(receiver.learner.value.Body) != "one" {
		t.Errorf("the value after a missing body was reported is %v", full)
	}
	acceptor := newTestController(t)
	acceptor.acceptor.acceptedValue.Store(v)
	if acceptor.learnMessage(withoutBody) || acceptor.learner.value.Version != 1 || string(acceptor.learner.value.Body) != "one" {
		t.Error("a controller that has accepted the value did not restore its body")
	}
	if acceptor.learnMessage(rpc.ValueToProto(&consensus.Value{Slot: 2, Digest: "d0"}, "d0")) {
		t.Error("the body of a value older than the learned one was requested")
	}
}
