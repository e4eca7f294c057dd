package brain

// warmth is the share of its capacity that a server has at least, by its age.
func (g *Gatherer) warmth(s *server) float64 {
	if s.upSince == 0 || g.coldFor <= 0 {
		return 1
	}
	return max(0.01, min(1, g.coldShare+(1-g.coldShare)*float64(g.now-s.upSince)/float64(g.coldFor)))
}

// room tells whether a cold server may be sent one more part. Its allowance is its warmth's share of what
// this gatherer sends warm servers, or sent before all were cold: all gatherers together send it that share.
// Where that is below a part, a lot drawn once a window lets one through with half that share for its chance;
// unused it is lost, or many would save up. Guards against a rush on a server just started, and a dead fleet.
func (g *Gatherer) room(s *server, size float64) bool {
	warmth := g.warmth(s)
	if warmth < 1 && g.now >= s.lotUntil {
		s.lot, s.lotUntil = float64(g.rand.below(1<<16))/(1<<16), g.now+g.fallWithin
	}
	sent, share := s.sent.most(g.now)+g.planned[s], g.coldMultiple*warmth
	return warmth >= 1 || sent+size <= share*g.borne || sent == 0 && s.lot < share/2
}
