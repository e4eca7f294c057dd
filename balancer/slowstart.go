package balancer

// capacityShare returns the minimum share of its full capacity that a server has at its age.
func (b *Balancer) capacityShare(s *server) float64 {
	if s.startedAt == 0 || b.slowStartDuration <= 0 {
		return 1
	}
	age := float64(b.now - s.startedAt)
	return max(minCapacity, min(1, b.slowStartShare+(1-b.slowStartShare)*age/float64(b.slowStartDuration)))
}

// slowStartAllows reports whether a server may be sent a call: up to its capacity share of what this instance
// sends a warm server, or last sent one. If that is less than one call, a random draw in each window admits
// one, with half the share as its probability. Unused admissions expire: they could add up to a burst.
func (b *Balancer) slowStartAllows(s *server, size float64) bool {
	capacity := b.capacityShare(s)
	if capacity < 1 && b.now >= s.redrawAt {
		s.draw, s.redrawAt = float64(b.rand.intN(1<<16))/(1<<16), b.now+b.overloadWindow
	}
	sent, share := s.sentWork.upper(b.now)+b.plannedWork[s], b.slowStartMultiple*capacity
	return capacity >= 1 || sent+size <= share*b.warmWork || sent == 0 && s.draw < share/2
}
