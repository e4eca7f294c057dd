package controlplane

import (
	"testing"

	"github.com/rs/zerolog"

	"oxbowspan/consensus"
	"oxbowspan/internal/settings"
	"oxbowspan/internal/testing/simnet"
	"oxbowspan/rpc"
)

// newTestController is a control machine that is asked for promises and votes alone.
func newTestController(t *testing.T) *Controller {
	t.Helper()
	set := &settings.Settings{IPAddress: "10.0.1.1", InternalPorts: []int{7100, 7109}, SeedAddresses: []string{"10.0.1.1:8700"}, FirstStart: true,
		DataDirectory: t.TempDir(), HeartbeatIntervalMS: 1000}
	set.Listen.Control = "10.0.1.1:8700"
	h, err := New(set, simnet.New(nil).Host("10.0.1.1"), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { h.loop.stop(); h.store.Close() })
	return h
}

func (h *Controller) sendPrepare(number uint64, has ...string) *rpc.PrepareReply {
	told := make(chan *rpc.PrepareReply, 1)
	h.acceptor.handlePrepare(&rpc.Prepare{Acceptor: uint64(h.self.id), Ballot: &rpc.Ballot{Number: number}, KnownBodies: rpc.DigestsToProto(has)},
		func(p *rpc.PrepareReply) { told <- p })
	return <-told
}

func (h *Controller) sendAccept(number uint64, v *rpc.Value) *rpc.AcceptReply {
	told := make(chan *rpc.AcceptReply, 1)
	h.acceptor.handleAccept(&rpc.Accept{Acceptor: uint64(h.self.id), Ballot: &rpc.Ballot{Number: number}, Value: v}, func(a *rpc.AcceptReply) { told <- a })
	return <-told
}

// An acceptor puts in the bodies that an Accept leaves out, where it holds them, and votes for nothing that lacks one.
func TestAcceptorFillsOmittedBodies(t *testing.T) {
	h := newTestController(t)
	members := []consensus.Member{{ID: h.self.id, Address: h.self.address}}
	first := &consensus.Value{Slot: 1, Members: members, PriorMembers: members, Version: 1, Digest: "d1", Body: []byte("one"),
		Documents: []consensus.Document{{Name: "x", Version: 1, Digest: "dx", Body: []byte("note")}}}
	if p := h.sendPrepare(1); !p.Ok || p.Value != nil || len(p.KnownBodies) != 0 {
		t.Fatalf("an empty acceptor promises %v", p)
	}
	if !h.sendAccept(1, rpc.ValueToProto(first)).Ok {
		t.Fatal("a whole value is not voted for")
	}
	p := h.sendPrepare(2, "d1", "dx")
	if len(p.KnownBodies) != 2 || !p.Value.BodyOmitted || !p.Value.Documents[0].BodyOmitted {
		t.Fatalf("it promises %v", p)
	}
	later := *first
	later.Slot = 2
	if !h.sendAccept(2, rpc.ValueToProto(&later, rpc.DigestsFromProto(p.KnownBodies)...)).Ok {
		t.Fatal("a value whose bodies it holds is not voted for")
	}
	p = h.sendPrepare(3)
	if got := rpc.ValueFromProto(p.Value); got == nil || got.Slot != 2 || string(got.Body) != "one" || string(got.Document("x").Body) != "note" {
		t.Fatalf("it voted for %v", p.Value)
	}
	strange := later
	strange.Digest, strange.Body = "d2", []byte("two")
	if a := h.sendAccept(3, rpc.ValueToProto(&strange, "d2")); a.Ok {
		t.Error("it voted for a value that lacks its body")
	}
	if got := rpc.ValueFromProto(h.sendPrepare(4).Value); got.Digest != "d1" || string(got.Body) != "one" {
		t.Errorf("afterwards it holds %v", got)
	}
}

// A proposer of the program before names the configuration alone: notes come whole.
func TestPrepareNamingOnlyConfigurationDigest(t *testing.T) {
	h := newTestController(t)
	members := []consensus.Member{{ID: h.self.id, Address: h.self.address}}
	v := &consensus.Value{Slot: 1, Members: members, PriorMembers: members, Version: 1, Digest: "d1", Body: []byte("one"),
		Documents: []consensus.Document{{Name: "x", Version: 1, Digest: "dx", Body: []byte("note")}}}
	h.sendAccept(1, rpc.ValueToProto(v))
	told := make(chan *rpc.PrepareReply, 1)
	h.acceptor.handlePrepare(&rpc.Prepare{Acceptor: uint64(h.self.id), Ballot: &rpc.Ballot{Number: 2}, KnownDigest: []byte("d1")}, func(p *rpc.PrepareReply) { told <- p })
	if p := <-told; !p.Value.BodyOmitted || string(p.Value.Documents[0].Body) != "note" {
		t.Errorf("it is told %v", p.Value)
	}
}

// A peer that puts bodies in is told the value without them, and whole after it has said that it lacks one; a peer of the
// program before is told it whole. What lacks a body is not learned.
func TestCompleteValueSentAfterMissingBody(t *testing.T) {
	h := newTestController(t)
	members := []consensus.Member{{ID: h.self.id, Address: h.self.address}}
	v := &consensus.Value{Slot: 3, Members: members, PriorMembers: members, Version: 1, Digest: "d1", Body: []byte("one")}
	h.learner.value, h.learner.confirmed = v, true
	able, old := &peer{restoresBodies: true, wake: make(chan struct{}, 1)}, &peer{}
	bare := h.gossip.valueFor(able)
	if !bare.BodyOmitted || h.gossip.valueFor(old).BodyOmitted {
		t.Fatalf("one that puts bodies in is told %v", bare)
	}
	reader := newTestController(t)
	if !reader.learner.learnMessage(bare, reader.acceptor.acceptedValue.Load()) || reader.learner.confirmed {
		t.Fatal("a value that lacks its body is learned")
	}
	h.gossip.receiveValueReply(able, &rpc.GossipReply{MissingBody: true})
	if len(able.wake) != 1 {
		t.Error("the next pulse does not go at once")
	}
	if whole := h.gossip.valueFor(able); whole.BodyOmitted || reader.learner.learnMessage(whole, reader.acceptor.acceptedValue.Load()) || string(reader.learner.value.Body) != "one" {
		t.Errorf("it is told %v", whole)
	}
	voter := newTestController(t)
	voter.acceptor.acceptedValue.Store(v)
	if voter.learner.learnMessage(bare, voter.acceptor.acceptedValue.Load()) || voter.learner.value.Version != 1 || string(voter.learner.value.Body) != "one" {
		t.Error("who has voted for it does not know its body")
	}
	if voter.learner.learnMessage(rpc.ValueToProto(&consensus.Value{Slot: 2, Digest: "d0"}, "d0"), voter.acceptor.acceptedValue.Load()) {
		t.Error("the body of a value older than its own is asked for")
	}
}
