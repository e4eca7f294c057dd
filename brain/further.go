package brain

// Further sub-requests: what may go again, and the budget.

import (
	"cmp"
	"slices"
)

func (g *Gatherer) send(p *part, s *server) {
	r := &subRequest{p: p, s: s, sentAt: g.now, ahead: s.backlog + g.queue(s)*g.size,
		predicted: max(g.predict(s, p), 1), further: len(p.tries) > 0}
	// Overdue at half the time left to its target, or to its end past that: a copy has as long as it had.
	r.due = max(cmp.Or(max(p.q.target-g.now, 0), p.q.end-g.now)/2, r.predicted)
	if r.rested = len(s.out) == 0 && g.now-s.heardAt > restAfter; r.rested && g.reaps() {
		r.rested = false
		g.do(CloseIdle{s.id})
	}
	g.out[p.id] = p
	p.tries = append(p.tries, r)
	p.flying++
	s.out = append(s.out, r)
	s.backlog += p.size
	s.sent.add(g.now, p.size)
	if r.further {
		g.budget(p.shard).extra.add(g.now, 1)
	}
	g.do(Send{p.id, s.id, p.q.end - g.now})
}

// ended takes a sub-request's outcome, also of parts and searches that are over.
func (g *Gatherer) ended(e SubRequestEnded) {
	p := g.out[e.Part]
	if p == nil || int(e.Send) >= len(p.tries) || p.tries[e.Send].ended {
		return
	}
	r, s := p.tries[e.Send], p.tries[e.Send].s
	r.ended, r.neverRan = true, e.Outcome.NeverRan()
	if p.flying--; p.flying == 0 {
		delete(g.out, p.id)
	}
	s.out = slices.DeleteFunc(s.out, func(o *subRequest) bool { return o == r })
	if s.backlog -= p.size; len(s.out) == 0 {
		s.backlog = 0 // no rounding is left over
	}
	if e.Report != nil {
		s.queue, s.toldAt = max(e.Report.Queue, 0), g.now
		if e.Report.Queue < 0 {
			s.queue = max(e.Report.InFlight, 0)
		}
		g.queued += (s.queue - g.queued) * slowWeight
	}
	won := e.Outcome == Answered && !p.done && g.open[p.q.id] == p.q
	if r.further && !r.trial && e.Outcome != Moot {
		g.success -= g.success * slowWeight
		if won {
			g.success += slowWeight
		}
	}
	waited := e.Outcome == TimedOut || e.Outcome == Cancelled
	lost := e.Outcome == Reset || waited && g.silence(r) > 1
	if e.Outcome == Answered || e.Elapsed > r.predicted && waited && !lost {
		// A time-out would have taken longer still; without it only the quick ones would be on record.
		took, size := float64(max(e.Elapsed, 1)), p.size+r.ahead
		if s.rate == 0 {
			s.took, s.size = cmp.Or(g.average*size, took), size
		}
		s.took += (took - s.took) * rateWeight
		s.size += (size - s.size) * rateWeight
		s.rate, s.taughtAt = s.took/s.size, g.now
	}
	if e.Outcome == Answered && p.q.rules.size > 0 && r.ahead < p.size {
		p.q.rules.size += (float64(e.Elapsed)*g.learns - p.q.rules.size) * sizeWeight
	}
	switch {
	case lost && r.rested:
		s.lostAt = r.sentAt
	case e.Outcome == Answered && s.lostAt > 0 && r.sentAt > s.lostAt:
		if g.now-s.lostAt < rateAge { // it was the connection that was dead, not the server
			g.reaped, g.reapedAt = g.reaped+(1-g.reaped)*slowWeight, g.now
		}
		s.lostAt = 0
	case e.Outcome == Answered && r.rested:
		g.reaped -= g.reaped * slowWeight
	}
	switch e.Outcome {
	case Answered:
		g.answered(float64(max(e.Elapsed, 1)) / p.size)
		s.failing -= s.failing * goodWeight
		s.zone.failing -= s.zone.failing * zoneWeight
		s.trial = s.trial && r.sentAt < s.outUntil
		if s.failing < goodWeight {
			s.pause = g.pause
		}
	case TurnedAway: // full or draining; no fault, but others are asked first
		s.outUntil = max(s.outUntil, g.now+g.pause)
	case Errored: // an error comes fast: its time is no latency and must not make the server look quick
		g.failed(s, softFailure)
	case ConnectFailed, Reset, TimedOut, Cancelled:
		if e.Outcome == ConnectFailed || e.Outcome == Reset || g.silence(r) > 1 {
			g.failed(s, hardFailure)
			s.zone.failing += (1 - s.zone.failing) * zoneWeight
			s.zone.failedAt = g.now
		}
	}
	if e.Outcome <= TurnedAway {
		s.heardAt = g.now
	}
	if g.open[p.q.id] != p.q {
		return
	}
	if won {
		p.done = true
		g.cancel(p)
	}
	g.review(p.q)
}

// mayRepeat tells whether the effect of a part's type and the limit per part let it go out, again or first.
func (g *Gatherer) mayRepeat(p *part) bool {
	for _, r := range p.tries {
		inWindow := p.q.rules.effect == Tokened && g.now+g.margin <= r.sentAt+p.q.rules.window
		if !r.neverRan && p.q.rules.effect != Idempotent && !inWindow {
			return false
		}
	}
	return len(p.tries) < p.q.rules.most
}

func (g *Gatherer) affords(p *part, share float64) bool {
	b, free := g.budget(p.shard), g.free
	if g.freeAll > 0 {
		if free = 0; g.now >= g.waits {
			free = g.freeAll * fleetSafety / g.fleetMost
		}
		if g.now >= g.shrinkAt {
			g.fleetMost = g.gatherers
		}
	}
	return b.extra.most(g.now)+1 <= share*(free+g.perItem*b.taken.least(g.now))
}

// fleet takes the size of the fleet. Fewer share the budget only once what those gone had used is past.
func (g *Gatherer) fleet(e FleetChanged) {
	if g.waits == never {
		g.waits = g.now + g.span
	}
	if g.gatherers = float64(max(e.Gatherers, 1)); g.gatherers >= g.fleetMost {
		g.fleetMost = g.gatherers
	} else {
		g.shrinkAt = g.now + 2*g.span
	}
	for g.reach == 1 && len(g.holders) < e.Shards {
		g.holders = append(g.holders, nil)
		g.cells = len(g.holders)
		if g.freeAll > 0 {
			g.budgets = append(g.budgets, g.newBudget())
		}
	}
}
