package balancer

// capacityShare is the share of its capacity that a server has at least, by its age.
func (b *Balancer) capacityShare(s *server) float64 {
	if s.startedAt == 0 || b.slowStartDuration <= 0 {
		return 1
	}
	return max(0.01, min(1, b.slowStartShare+(1-b.slowStartShare)*float64(b.now-s.startedAt)/float64(b.slowStartDuration)))
}

// slowStartAllows tells whether a cold server may be sent one more part. Its allowance is its warmth's share of what
// this gatherer sends warm servers, or sent before all were cold: all gatherers together send it that share.
// Where that is below a part, a lot drawn once a window lets one through with half that share for its chance;
// unused it is lost, or many would save up. Guards against a rush on a server just started, and a dead fleet.
func (b *Balancer) slowStartAllows(s *server, size float64) bool {
	warmth := b.capacityShare(s)
	if warmth < 1 && b.now >= s.lotteryUntil {
		s.lottery, s.lotteryUntil = float64(b.rand.intN(1<<16))/(1<<16), b.now+b.overloadWindow
	}
	sent, share := s.sentWork.upper(b.now)+b.plannedWork[s], b.slowStartMultiple*warmth
	return warmth >= 1 || sent+size <= share*b.warmWork || sent == 0 && s.lottery < share/2
}
