package brain

// Health: who failed, who is silent, and how one comes back.

// survey is what the ready servers show together: their speed, the load of the warm ones, what is stuck.
func (g *Gatherer) survey() {
	speed, heard, load, warm := 0.0, 0.0, 0.0, 0.0
	g.stuck = 0
	for _, s := range g.ready {
		if g.silence(s.out...) > 1 {
			g.stuck += len(s.out)
		}
		if s.rate > 0 {
			speed, heard = speed+1/s.rate, heard+1
		}
		if g.gates && s.trial && s.outUntil <= g.now && s.probedAt < s.outUntil && !s.probing {
			s.probing = true
			g.do(Probe{s.id})
		}
		if g.coldFor > 0 && g.warmth(s) >= 1 {
			load, warm = load+s.sent.least(g.now), warm+1
		}
	}
	if heard > 0 { // of speeds, not of times: a few slow servers must not make the unheard look slow
		g.average = heard / speed
	}
	if warm > 0 {
		g.borne += (load/warm - g.borne) * slowWeight
	}
}

// told takes what other gatherers have unfinished: the design's reported queue, where servers report none.
func (g *Gatherer) told(e Told) {
	g.judged(e.Judged)
	for _, l := range e.Loads {
		if s := g.servers[l.Server]; s != nil {
			s.queue, s.toldAt = max(l.Parts, 0), g.now
			g.queued += (s.queue - g.queued) * slowWeight
		}
	}
}

// probed takes a probe's end. One that fails spares a search the loss of the trial's part: it guards against
// servers that stay dead, cut off or silent. What hangs may answer it, so a trial follows.
func (g *Gatherer) probed(e Probed) {
	s := g.servers[e.Server]
	if s == nil {
		return
	}
	switch s.probing = false; e.Outcome {
	case Moot:
	case Answered, TurnedAway:
		s.probedAt = g.now
	default:
		s.outUntil = g.now + s.pause
		s.pause = min(2*s.pause, longestOut*g.pause)
	}
}

// failed counts a failure against a server and takes it out when they are many. It guards against crashes,
// fast errors, silence and lost connections alike. Harm: chance errors may idle a sound server for a pause.
func (g *Gatherer) failed(s *server, weight float64) {
	s.failing += (1 - s.failing) * weight
	if s.outUntil <= g.now && (s.failing > failLimit || s.trial) {
		s.outUntil, s.trial = g.now+s.pause, true
		s.pause = min(2*s.pause, longestOut*g.pause)
	}
}

// reaps tells whether rested connections are found dead, as when something between drops them unseen.
func (g *Gatherer) reaps() bool { return g.reaped*g.fresh(g.reapedAt, 6*rateAge) > reapLimit }

// silence is how long the first of some sub-requests has been out with no word from its server, in due ages:
// past 1 it is overdue and the server has said nothing.
func (g *Gatherer) silence(out ...*subRequest) float64 {
	if len(out) == 0 {
		return 0
	}
	return float64(g.now-max(out[0].sentAt, out[0].s.heardAt)) / float64(max(out[0].due, 1))
}

// recalled takes in what still counts. A record of a moment to come is of a clock that went back.
func (g *Gatherer) recalled(e Recalled) {
	for _, r := range e.Servers {
		s, old := g.servers[r.ID], r.TaughtAt > g.now || g.fresh(r.TaughtAt, rateAge) == 0
		if s == nil || s.upSince != r.UpSince || s.rate > 0 || s.heardAt > 0 || old || r.Took <= 0 || r.Size <= 0 {
			continue
		}
		s.took, s.size, s.rate, s.taughtAt = r.Took, r.Size, r.Took/r.Size, r.TaughtAt
		s.failing = max(0, min(r.Failing, 1))
		s.outUntil, s.trial = min(r.OutUntil, g.now+longestOut*g.pause), r.OutUntil > g.now
	}
}
