package controlplane

import "oxbowspan/rpc"

// valueForPeer is the newest agreed value for a peer that is behind. Most peers have voted for it and lack only the word that it
// is decided: the bodies are left out, unless the peer has said that it lacks one.
func (h *Controller) valueForPeer(p *peer) *rpc.Value {
	if p.restoresBodies && !p.missingBody {
		return rpc.ValueToProto(h.known, rpc.BodyDigests(h.known)...)
	}
	p.missingBody = false
	return rpc.ValueToProto(h.known)
}

// receiveValue learns a value that a peer told. It tells whether a body was left out that this hive does not hold.
func (h *Controller) receiveValue(m *rpc.Value) (lacks bool) {
	if m == nil || h.confirmed && m.Slot <= uint64(h.known.Slot) {
		return false
	}
	v := rpc.ValueFromProto(m, h.known, h.acceptedValue.Load())
	h.learnCommitted(v)
	return v == nil
}

// receiveValueReply takes the value in the answer to a pulse. Where either side lacks a body, the next pulse goes at once.
func (h *Controller) receiveValueReply(p *peer, m *rpc.GossipReply) {
	p.requestFullValue = h.receiveValue(m.Value)
	p.missingBody = p.missingBody || m.MissingBody
	if p.requestFullValue || p.missingBody {
		p.gossipNow()
	}
}

// gossipNow has the peer told what is new now.
func (p *peer) gossipNow() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}
