package brain

import "slices"

// review answers a search, sends what is due or gives it up, and sets the timer for the next look.
func (g *Gatherer) review(q *search) {
	least, whole := q.rules.least-weightSlack, q.rules.whole-weightSlack
	if q.second && least >= whole {
		least, whole = 1-weightSlack, 1-weightSlack
	} else if q.second {
		whole = 1 - weightSlack
	}
	got, reach := 0.0, 0.0 // weights: in, and still to be had
	if q.second && len(q.parts) == 0 {
		reach = 1 // its parts are still to come
	}
	gone := func(p *part) bool { return p.skip || g.hopeless(p, never) }
	spare := g.spare(q, gone)
	for _, p := range q.parts {
		if p.done {
			got += p.weight
		}
		if p.done || (p.flying > 0 || g.mayRepeat(p)) && !(spare && gone(p)) {
			reach += p.weight
		}
	}
	short := q.rules.shortCounts && g.now >= q.target && got >= q.rules.shortAt-weightSlack
	ripe := g.now >= q.end || reach <= got || short
	switch {
	case got >= whole || got >= least && ripe:
		g.answer(q, got >= whole && (!q.second || q.whole))
		return
	case g.now >= q.end || reach < least:
		g.giveUp(q)
		return
	}
	next := q.end
	if q.target > g.now {
		next = min(next, q.target)
	}
	for _, p := range q.parts {
		if p.done || spare && gone(p) {
			continue
		}
		due, last, wait, flying, trial, oldest := never, Time(0), Time(0), 0, -1, -1
		for no, r := range p.tries {
			if r.trial && !r.ended {
				trial = no
			} else if !r.ended {
				due, last, flying = min(due, r.sentAt+r.due), max(last, r.sentAt+r.due), flying+1
				if flying == 1 {
					oldest = no
				}
			}
			// Without a sound replica the last tries are spread over the time: erring servers use them up at once.
			wait = r.sentAt + (q.end-r.sentAt)/4
		}
		if due > g.now && flying > 0 {
			next = min(next, due)
			continue
		}
		// Unsent, ended without an answer, or overdue: its server may have failed, be slow, stalled or silent.
		next = min(next, g.now+g.pause/lookShare)
		s, usable := g.pick(p)
		switch {
		case s == nil || !g.mayRepeat(p) || flying == 0 && !usable && g.now < wait:
		case flying == 0 && (len(p.tries) == 0 || g.affords(p, 1)):
			g.send(p, s)
		case flying == 1 && trial >= 0: // it makes room for a copy: no more than two may be out
			g.do(Cancel{p.id, SendNo(trial)})
		case flying == 0 || !usable || g.now+g.predict(s, p) >= q.target ||
			!g.affords(p, max(copyFloor, g.success)):
		case flying == 1 && g.mayCopy:
			g.send(p, s)
		case !g.mayCopy && g.mayCancel: // the next one goes once this one's end is known
			g.do(Cancel{p.id, SendNo(oldest)})
		case last <= g.now && g.silence(p.tries[oldest]) > 1 && g.mayCancel: // both may have met what is cut off
			g.do(Cancel{p.id, SendNo(oldest)})
		}
	}
	g.look(q, next)
}

func (g *Gatherer) answer(q *search, whole bool) {
	g.do(Answer{q.id, whole})
	if q.second || !q.rules.second {
		g.close(q)
		return
	}
	g.cancel(q.parts...)
	q.second, q.whole, q.parts = true, whole, nil
	g.look(q, q.end)
}

// giveUp ends a search without an answer: shed where asking again is sure to be harmless, else errored.
func (g *Gatherer) giveUp(q *search) {
	harmless := !q.second || q.rules.effect == Idempotent // a first step has run
	for _, p := range q.parts {
		for _, r := range p.tries {
			harmless = harmless && (r.neverRan || q.rules.effect == Idempotent)
		}
	}
	q.rules.gaveUpAt = g.now
	if harmless {
		g.do(Shed{q.id, g.advice(q)})
	} else {
		g.do(Fail{q.id})
	}
	g.close(q)
}

func (g *Gatherer) cancel(parts ...*part) {
	for _, p := range parts {
		for no, r := range p.tries {
			if g.mayCancel && !r.ended && !r.trial { // a trial is seen to its end, or it would tell nothing
				g.do(Cancel{p.id, SendNo(no)})
			}
		}
	}
}

// advice is when a shed client should come back: soon enough for its target, where that counts at the client.
func (g *Gatherer) advice(q *search) Time {
	bare := slices.ContainsFunc(q.parts, func(p *part) bool { return len(g.holders[p.shard]) == 0 })
	if g.travel == 0 || bare { // nobody to ask: it takes a while until one is known
		return g.advise
	}
	return min(g.advise, max(q.rules.target/adviseShare, g.travel))
}
