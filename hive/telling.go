package hive

import "oxbowspan/dance"

// tellValue is the newest agreed value for a peer that is behind. Most peers have voted for it and lack only the word that it
// is decided: the bodies are left out, unless the peer has said that it lacks one.
func (h *Hive) tellValue(p *peer) *dance.Value {
	if p.putsIn && !p.lacks {
		return dance.FromValue(h.known, dance.Digests(h.known)...)
	}
	p.lacks = false
	return dance.FromValue(h.known)
}

// takeValue learns a value that a peer told. It tells whether a body was left out that this hive does not hold.
func (h *Hive) takeValue(m *dance.Value) (lacks bool) {
	if m == nil || h.confirmed && m.Turn <= uint64(h.known.Slot) {
		return false
	}
	v := dance.ToValue(m, h.known, h.vote.Load())
	h.learn(v)
	return v == nil
}

// toldBack takes the value in the answer to a pulse. Where either side lacks a body, the next pulse goes at once.
func (h *Hive) toldBack(p *peer, m *dance.PulseBack) {
	p.asks = h.takeValue(m.Value)
	p.lacks = p.lacks || m.LacksBody
	if p.asks || p.lacks {
		p.hurry()
	}
}

// hurry has the peer told what is new now.
func (p *peer) hurry() {
	select {
	case p.kick <- struct{}{}:
	default:
	}
}
