package balancer

// capacityShare returns the share of its full capacity that a server has at least, by its age.
func (b *Balancer) capacityShare(s *server) float64 {
	if s.startedAt == 0 || b.slowStartDuration <= 0 {
		return 1
	}
	age := float64(b.now - s.startedAt)
	return max(minCapacity, min(1, b.slowStartShare+(1-b.slowStartShare)*age/float64(b.slowStartDuration)))
}

// slowStartAllows reports whether a server may be sent a call of a size: within its capacity share of what
// this instance sends a warm one, or sent before all were cold. Where that is below one call, a lottery each
// window admits one with half the share as its chance. An unused win expires: many could be saved up.
func (b *Balancer) slowStartAllows(s *server, size float64) bool {
	capacity := b.capacityShare(s)
	if capacity < 1 && b.now >= s.lotteryUntil {
		s.lottery, s.lotteryUntil = float64(b.rand.intN(1<<16))/(1<<16), b.now+b.overloadWindow
	}
	sent, share := s.sentWork.upper(b.now)+b.plannedWork[s], b.slowStartMultiple*capacity
	return capacity >= 1 || sent+size <= share*b.warmWork || sent == 0 && s.lottery < share/2
}
