package controlplane

import (
	"testing"

	"github.com/rs/zerolog"

	"oxbowspan/consensus"
	"oxbowspan/internal/settings"
	"oxbowspan/internal/testing/simnet"
	"oxbowspan/rpc"
)

// newTestController returns a controller that was not started, so that the test may call what belongs to its event loop.
func newTestController(t *testing.T) *Controller {
	t.Helper()
	s := &settings.Settings{IPAddress: "10.0.1.1", InternalPorts: []int{7100, 7109}, SeedAddresses: []string{"10.0.1.1:8700"}, FirstStart: true,
		DataDirectory: t.TempDir(), HeartbeatIntervalMS: 1000}
	s.Listen.Control = "10.0.1.1:8700"
	c, err := New(s, simnet.New(nil).Host("10.0.1.1"), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.loop.stop(); c.store.Close() })
	return c
}

func (c *Controller) sendPrepare(number uint64, knownBodies ...string) *rpc.PrepareReply {
	replies := make(chan *rpc.PrepareReply, 1)
	c.acceptor.handlePrepare(&rpc.Prepare{Acceptor: uint64(c.self.id), Ballot: &rpc.Ballot{Number: number}, KnownBodies: rpc.DigestsToProto(knownBodies)},
		func(reply *rpc.PrepareReply) { replies <- reply })
	return <-replies
}

func (c *Controller) sendAccept(number uint64, v *rpc.Value) *rpc.AcceptReply {
	replies := make(chan *rpc.AcceptReply, 1)
	c.acceptor.handleAccept(&rpc.Accept{Acceptor: uint64(c.self.id), Ballot: &rpc.Ballot{Number: number}, Value: v},
		func(reply *rpc.AcceptReply) { replies <- reply })
	return <-replies
}

// learnMessage has a controller learn a value that another one sent. It reports whether a body is missing.
func (c *Controller) learnMessage(m *rpc.Value) (missing bool) {
	return c.learner.learnMessage(m, c.acceptor.acceptedValue.Load())
}

// An acceptor restores the bodies that an Accept omits, where it holds them, and accepts no value that lacks one.
func TestAcceptorFillsOmittedBodies(t *testing.T) {
	c := newTestController(t)
	members := []consensus.Member{{ID: c.self.id, Address: c.self.address}}
	first := &consensus.Value{Slot: 1, Members: members, PriorMembers: members, Version: 1, Digest: "d1", Body: []byte("one"),
		Documents: []consensus.Document{{Name: "x", Version: 1, Digest: "dx", Body: []byte("document")}}}
	if p := c.sendPrepare(1); !p.Ok || p.Value != nil || len(p.KnownBodies) != 0 {
		t.Fatalf("an empty acceptor promises %v", p)
	}
	if !c.sendAccept(1, rpc.ValueToProto(first)).Ok {
		t.Fatal("a complete value is not accepted")
	}
	p := c.sendPrepare(2, "d1", "dx")
	if len(p.KnownBodies) != 2 || !p.Value.BodyOmitted || !p.Value.Documents[0].BodyOmitted {
		t.Fatalf("it promises %v", p)
	}
	later := *first
	later.Slot = 2
	if !c.sendAccept(2, rpc.ValueToProto(&later, rpc.DigestsFromProto(p.KnownBodies)...)).Ok {
		t.Fatal("a value whose bodies it holds is not accepted")
	}
	p = c.sendPrepare(3)
	if got := rpc.ValueFromProto(p.Value); got == nil || got.Slot != 2 || string(got.Body) != "one" || string(got.Document("x").Body) != "document" {
		t.Fatalf("it accepted %v", p.Value)
	}
	unknown := later
	unknown.Digest, unknown.Body = "d2", []byte("two")
	if a := c.sendAccept(3, rpc.ValueToProto(&unknown, "d2")); a.Ok {
		t.Error("it accepted a value that lacks its body")
	}
	if got := rpc.ValueFromProto(c.sendPrepare(4).Value); got.Digest != "d1" || string(got.Body) != "one" {
		t.Errorf("afterwards it holds %v", got)
	}
}

// A proposer of the release before names only the configuration's digest: documents are sent in full.
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
		t.Errorf("it is sent %v", p.Value)
	}
}

// A peer that restores bodies is sent the value without them, and in full after it has reported that it lacks one; a peer of the
// release before is sent it in full. A value that lacks a body is not learned.
func TestCompleteValueSentAfterMissingBody(t *testing.T) {
	c := newTestController(t)
	members := []consensus.Member{{ID: c.self.id, Address: c.self.address}}
	v := &consensus.Value{Slot: 3, Members: members, PriorMembers: members, Version: 1, Digest: "d1", Body: []byte("one")}
	c.learner.value, c.learner.confirmed = v, true
	restoring, old := &peer{restoresBodies: true, wake: make(chan struct{}, 1)}, &peer{}
	bare := c.gossip.valueFor(restoring)
	if !bare.BodyOmitted || c.gossip.valueFor(old).BodyOmitted {
		t.Fatalf("one that restores bodies is sent %v", bare)
	}
	reader := newTestController(t)
	if !reader.learnMessage(bare) || reader.learner.confirmed {
		t.Fatal("a value that lacks its body is learned")
	}
	c.gossip.receiveValueReply(restoring, &rpc.GossipReply{MissingBody: true})
	if len(restoring.wake) != 1 {
		t.Error("the next gossip is not sent at once")
	}
	if full := c.gossip.valueFor(restoring); full.BodyOmitted || reader.learnMessage(full) || string(reader.learner.value.Body) != "one" {
		t.Errorf("it is sent %v", full)
	}
	voter := newTestController(t)
	voter.acceptor.acceptedValue.Store(v)
	if voter.learnMessage(bare) || voter.learner.value.Version != 1 || string(voter.learner.value.Body) != "one" {
		t.Error("one that has accepted it does not restore its body")
	}
	if voter.learnMessage(rpc.ValueToProto(&consensus.Value{Slot: 2, Digest: "d0"}, "d0")) {
		t.Error("the body of a value older than its own is requested")
	}
}
