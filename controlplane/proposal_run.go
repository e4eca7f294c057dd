package controlplane

import (
	"context"
	"time"

	"oxbowspan/consensus"
	"oxbowspan/rpc"
)

// peerCallTimeout limits a call to another controller.
const peerCallTimeout = 800 * time.Millisecond

// replyBacklog is the number of acceptors' replies that may be queued for a proposal.
const replyBacklog = 32

// proposalRun exchanges the messages of one proposal with the acceptors.
type proposalRun struct {
	proposer    *proposer
	proposal    *consensus.Proposal
	replies     chan *rpc.Frame
	knownBodies map[consensus.AcceptorID][]string // digests of the bodies that each acceptor reported to have
}

func newProposalRun(p *proposer, proposal *consensus.Proposal) *proposalRun {
	return &proposalRun{proposer: p, proposal: proposal, replies: make(chan *rpc.Frame, replyBacklog),
		knownBodies: map[consensus.AcceptorID][]string{}}
}

// run executes the proposal. It returns the decided value, or errNoQuorum.
func (r *proposalRun) run(ctx context.Context) (*consensus.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	r.sendPrepares(ctx)
	for {
		select {
		case reply := <-r.replies:
			if decided := r.handleReply(ctx, reply); decided {
				return r.proposal.Value(), nil
			}
			if ballot, preempted := r.proposal.Preempted(); preempted {
				r.proposer.loop.post(func() { r.proposer.observeBallot(ballot.Number) })
				return nil, errNoQuorum
			}
		case <-ctx.Done():
			return nil, errNoQuorum
		case <-r.proposer.loop.stopped:
			return nil, errNoQuorum
		}
	}
}

func (r *proposalRun) handleReply(ctx context.Context, reply *rpc.Frame) (decided bool) {
	switch b := reply.Body.(type) {
	case *rpc.Frame_PrepareReply:
		r.handlePrepareReply(ctx, b.PrepareReply)
	case *rpc.Frame_AcceptReply:
		return r.proposal.HandleAcceptReply(consensus.AcceptReply{
			From:     consensus.AcceptorID(b.AcceptReply.Acceptor),
			OK:       b.AcceptReply.Ok,
			Promised: rpc.BallotFromProto(b.AcceptReply.Promised),
		})
	}
	return false
}

func (r *proposalRun) handlePrepareReply(ctx context.Context, reply *rpc.PrepareReply) {
	value := rpc.ValueFromProto(reply.Value, r.proposal.Base())
	if reply.Value != nil && value == nil {
		return // an accepted value that can't be decoded must not be treated as no accepted value
	}
	id := consensus.AcceptorID(reply.Acceptor)
	r.knownBodies[id] = rpc.DigestsFromProto(reply.KnownBodies)
	acceptors := r.proposal.HandlePrepareReply(consensus.PrepareReply{
		From:     id,
		OK:       reply.Ok,
		Promised: rpc.BallotFromProto(reply.Promised),
		Accepted: rpc.BallotFromProto(reply.Accepted),
		Value:    value,
	})
	if acceptors == nil {
		r.sendPrepares(ctx)
	}
	for _, m := range acceptors {
		r.sendAccept(ctx, m)
	}
}

func (r *proposalRun) sendPrepares(ctx context.Context) {
	base := r.proposal.Base()
	for _, m := range r.proposal.NextPrepares() {
		r.send(ctx, m, &rpc.Frame{Body: &rpc.Frame_Prepare{Prepare: &rpc.Prepare{
			Acceptor:    uint64(m.ID),
			Ballot:      rpc.BallotToProto(r.proposal.Ballot()),
			KnownDigest: []byte(base.Digest),
			KnownBodies: rpc.DigestsToProto(rpc.BodyDigests(base)),
		}}})
	}
}

func (r *proposalRun) sendAccept(ctx context.Context, to consensus.Member) {
	r.send(ctx, to, &rpc.Frame{Body: &rpc.Frame_Accept{Accept: &rpc.Accept{
		Acceptor: uint64(to.ID),
		Ballot:   rpc.BallotToProto(r.proposal.Ballot()),
		Value:    rpc.ValueToProto(r.proposal.Value(), r.knownBodies[to.ID]...),
	}}})
}

// send sends a message to an acceptor without waiting for the reply, which is put into replies.
func (r *proposalRun) send(ctx context.Context, to consensus.Member, f *rpc.Frame) {
	if to.ID == r.proposer.acceptor.id {
		r.sendToSelf(f)
		return
	}
	p, _ := query(r.proposer.loop, func() *peer { return r.proposer.peers.add(to.Address) })
	if p == nil {
		return
	}
	cancel := func() {}
	if f.GetAccept() != nil { // not canceled when the value is decided, so that slower members also store it
		ctx, cancel = context.WithTimeout(context.Background(), peerCallTimeout)
	}
	go func() {
		defer cancel()
		if reply, err := p.client.Call(ctx, f); err == nil {
			r.replies <- reply
		}
	}()
}

func (r *proposalRun) sendToSelf(f *rpc.Frame) {
	switch b := f.Body.(type) {
	case *rpc.Frame_Prepare:
		r.proposer.acceptor.handlePrepare(b.Prepare, func(reply *rpc.PrepareReply) { r.replies <- prepareReplyFrame(reply) })
	case *rpc.Frame_Accept:
		r.proposer.acceptor.handleAccept(b.Accept, func(reply *rpc.AcceptReply) { r.replies <- acceptReplyFrame(reply) })
	}
}

func prepareReplyFrame(reply *rpc.PrepareReply) *rpc.Frame {
	return &rpc.Frame{Body: &rpc.Frame_PrepareReply{PrepareReply: reply}}
}

func acceptReplyFrame(reply *rpc.AcceptReply) *rpc.Frame {
	return &rpc.Frame{Body: &rpc.Frame_AcceptReply{AcceptReply: reply}}
}
