package controlplane

import "oxbowspan/rpc"

// valueForPeer is the newest agreed value for a peer that is behind. Most peers have voted for it and lack only the word that it
// is decided: the bodies are left out, unless the peer has said that it lacks one.
func (h *Controller) valueForPeer(p *peer) *rpc.Value {
	if p.restoresBodies && !p.missingBody {
		return rpc.ValueToProto(h.learner.value, rpc.BodyDigests(h.learner.value)...)
	}
	p.missingBody = false
	return rpc.ValueToProto(h.learner.value)
}

// receiveValueReply takes the value in the answer to a pulse. Where either side lacks a body, the next pulse goes at once.
func (h *Controller) receiveValueReply(p *peer, m *rpc.GossipReply) {
	p.requestFullValue = h.learner.learnMessage(m.Value, h.acceptor.acceptedValue.Load())
	p.missingBody = p.missingBody || m.MissingBody
	if p.requestFullValue || p.missingBody {
		p.gossipNow()
	}
}
