package brain

// The ordinary path: two plans, the prediction, and what takes a part off its plan.

import (
	"cmp"
	"math"
	"slices"
)

// fanOut is the ordinary path of a search: two plans are drawn, each part predicted in both, and the plan
// whose slowest part ends first is sent.
func (g *Gatherer) fanOut(q *search, parts []Part) {
	brief := q.rules.target // the shortest target among those that share its shards
	for _, p := range parts {
		brief = min(brief, g.budget(p.Shard).took(q.rules.target, g.now, g.now+rateAge))
		size := cmp.Or(max(p.Size, 0), q.rules.size, 1) + g.callCost
		g.size += (size - g.size) * slowWeight
		q.parts = append(q.parts, &part{q: q, id: p.ID, shard: p.Shard, weight: p.Weight, size: size})
	}
	var best []placing
	slowest := Time(math.MaxInt64)
	for range 2 {
		offset := g.rand.below(1 << 16)
		clear(g.planned)
		plan := make([]placing, 0, len(q.parts))
		for _, p := range q.parts {
			b := placing{p: p, finish: g.waitFor(p)}
			if b.s, b.tried = g.replica(p, offset); b.s != nil {
				b.finish = g.predict(b.s, p)
				g.planned[b.s] += p.size
			}
			if b.tried != nil {
				g.planned[b.tried] += p.size
			}
			plan = append(plan, b)
		}
		slices.SortStableFunc(plan, func(a, b placing) int { return cmp.Compare(a.finish, b.finish) })
		if end := plan[len(plan)-1].finish; end < slowest {
			best, slowest = plan, end
		}
	}
	late := q.end // but while places are short its target counts: the sooner, the longer answers take
	falling := min(1, limitSlack*cmp.Or(g.short, 1)/cmp.Or(g.present, 1))
	if float64(len(g.out)) >= pressed*g.limit*math.Pow(falling, longPower) {
		if late = q.target; g.freeAll > 0 { // a longer queue refuses the brief ones alone, and serves no more
			late = min(late, g.now+brief-g.margin)
		}
	}
	// A part far behind the fastest, or too late for its search, moves once, to its earliest replica.
	slowest, idle := Time(0), false // idle: the slowest part would have its server to itself
	clear(g.planned)
	for _, b := range best {
		g.planned[b.s] += b.p.size
	}
	for i := range best {
		b := &best[i]
		if b.finish > best[0].finish+gap || g.now+b.finish > late {
			g.planned[b.s] -= b.p.size
			if s, usable := g.pick(b.p); usable && g.predict(s, b.p) < b.finish {
				b.s, b.finish = s, g.predict(s, b.p)
			}
			g.planned[b.s] += b.p.size
		}
		if b.finish > slowest {
			slowest, idle = b.finish, b.s != nil && b.s.backlog+g.queue(b.s)+g.planned[b.s] <= b.p.size
		}
	}
	slowest = g.nearer(q, best, slowest)
	// What cannot end in time even so is better not begun, unless it waits for nothing there: only asking tells
	// whether a server is still slow. Guards against a fleet that stands idle while searches are shed.
	if clear(g.planned); q.rules.square {
		slowest, idle = g.enough(q, best), idle && slowest < never
	}
	if !q.second && slowest < never && (!idle && g.now+slowest > late || g.now >= q.end) {
		g.giveUp(q)
		return
	}
	spare := g.spare(q, func(p *part) bool { return g.hopeless(p, q.target-g.now) })
	for _, b := range best {
		b.p.skip = spare && g.hopeless(b.p, q.target-g.now)
		if b.s != nil && !b.p.skip && g.allowed(b.s, b.p) {
			g.send(b.p, b.s)
		}
	}
	for _, b := range best {
		if n := len(b.p.tries); b.tried != nil && (b.tried != b.s || n == 0) && g.allowed(b.tried, b.p) &&
			(n == 0 && b.p.skip || n == 1 && g.affords(b.p, trialPart)) {
			g.send(b.p, b.tried)
			b.p.tries[n].trial = n > 0
		}
	}
	g.review(q)
}

// replica names a part's replica at an offset, or the next one that can be used. On a ring the offset marks
// every reach-th cell and a part goes to its replica there; in sets they are counted by offset plus shard.
// Where the one named is due for a trial it is told too.
func (g *Gatherer) replica(p *part, offset int) (s, tried *server) {
	all := g.holders[p.shard]
	start, nearest := (offset+int(p.shard))%max(len(all), 1), g.reach
	for i, s := range all {
		if far := ((int(s.cell)-offset)%g.reach + g.reach) % g.reach; g.reach > 1 && far < nearest {
			start, nearest = i, far
		}
	}
	for i := range all {
		if s = all[(start+i)%len(all)]; g.usable(s, p) {
			return s, tried
		}
		if i == 0 && g.besides && s.trial && p.q.rules.effect == Idempotent && s.outUntil <= g.now &&
			len(s.out) == 0 && g.planned[s] == 0 {
			tried = s
		}
	}
	s, _ = g.pick(p)
	return s, tried
}

// pick is the usable replica predicted to end a part first. When none is usable it is the least bad one
// that the rules allow: one that fails seldom and ends soon.
func (g *Gatherer) pick(p *part) (best *server, usable bool) {
	least := math.Inf(1)
	for _, s := range g.holders[p.shard] {
		good := g.usable(s, p)
		if usable && !good || !g.allowed(s, p) {
			continue
		}
		figure := float64(g.predict(s, p))
		if g.nears && !s.near {
			figure /= nearShare
		}
		if good && !usable || figure < least {
			best, least, usable = s, figure, good
		}
	}
	return best, usable
}

// allowed tells whether the rules let a part go to a ready server; usable, that it also looks sound and has
// not had the part. On trial it takes one idempotent part at a time, beside the part's own sub-request where
// that may be: while a third of a fleet is cut off every search of twenty parts would else depend on some
// trial. One that is long in coming is made with any part.
func (g *Gatherer) allowed(s *server, p *part) bool {
	out := slices.ContainsFunc(p.tries, func(r *subRequest) bool { return r.s == s && !r.ended })
	return !out && g.vacant(s, p) && g.room(s, p.size)
}

func (g *Gatherer) usable(s *server, p *part) bool {
	had := slices.ContainsFunc(p.tries, func(r *subRequest) bool { return r.s == s })
	if had || !g.allowed(s, p) || s.outUntil > g.now || s.held || g.silence(s.out...) > 1 ||
		g.gates && s.trial && s.probedAt < s.outUntil && g.now < s.outUntil+rateAge {
		return false
	}
	fit := p.q.rules.effect == Idempotent && !g.besides || g.now > s.outUntil+max(longestOut*g.pause, rateAge)
	return !s.trial || fit && len(s.out) == 0 && g.planned[s] == 0
}

// predict is when a part would end at a server, from now: its size after the unfinished ones there.
func (g *Gatherer) predict(s *server, p *part) Time {
	rate := g.average
	if rate == 0 {
		rate = float64(p.q.rules.target) / firstShare / p.size
	}
	rate /= g.warmth(s)
	if s.rate > 0 {
		rate += (s.rate - rate) * g.fresh(s.taughtAt, rateAge)
	}
	// A slowdown of seconds, before smoothing catches up: the longer something is out without a word, the slower
	// the server is held to be. A stall shows likewise. Harm: one odd part makes a sound server look slow.
	failing := s.failing
	if s.heardAt <= s.zone.failedAt { // nothing says that it is better than its zone
		failing = max(failing, s.zone.failing*g.fresh(s.zone.failedAt, rateAge))
	}
	rate *= max(s.factor, 1) * (1 + silenceWeight*g.silence(s.out...)) / (1 - min(failing, 0.99))
	ahead := s.backlog + g.queue(s)*g.size + g.planned[s]
	return Time(min(rate*(ahead+p.size), float64(never-1)))
}

// queue is what a server reported, or the mean report as that grows old.
func (g *Gatherer) queue(s *server) float64 {
	return g.queued + (s.queue-g.queued)*g.fresh(s.toldAt, queueAge)
}

// fresh is how much news of a moment still counts: all at once, nothing when it is so old.
func (g *Gatherer) fresh(at, age Time) float64 { return max(0, 1-float64(g.now-at)/float64(age)) }

// nearer moves parts of the plan to servers of this gatherer's zone, each to one an offset names or a next
// one, if neither the part nor the plan ends later, or soon enough. Between zones it is dear.
func (g *Gatherer) nearer(q *search, best []placing, slowest Time) Time {
	if !g.nears {
		return slowest
	}
	offset := g.rand.below(1 << 16)
	for i := range best {
		b := &best[i]
		if b.s == nil || b.s.near {
			continue
		}
		near := slices.DeleteFunc(slices.Clone(g.holders[b.p.shard]), func(s *server) bool {
			return !s.near || !g.usable(s, b.p)
		})
		g.planned[b.s] -= b.p.size
		enough := max(slowest, b.finish, Time(nearShare*float64(q.rules.target)))
		for k := 0; k < len(near) && !b.s.near; k++ {
			s := near[(offset+int(b.p.shard)+k)%len(near)]
			if end := g.predict(s, b.p); end <= enough {
				b.s, b.finish = s, end
			}
		}
		g.planned[b.s] += b.p.size
	}
	return slowest
}

// enough is when the parts that make a short answer worth having end, from now.
func (g *Gatherer) enough(q *search, best []placing) (end Time) {
	in := 0.0
	slices.SortStableFunc(best, func(a, b placing) int { return cmp.Compare(a.finish, b.finish) })
	for _, b := range best {
		if in >= q.rules.shortAt-weightSlack {
			break
		}
		in, end = in+b.p.weight, b.finish
	}
	return end
}

// hopeless tells whether no sound replica of a part would end it in a time, nor stands idle: all of a shard
// may be down, or the few that are back would be overrun.
func (g *Gatherer) hopeless(p *part, within Time) bool {
	return p.q.rules.square && !slices.ContainsFunc(g.holders[p.shard], func(s *server) bool {
		return s.outUntil <= g.now && !s.trial && g.silence(s.out...) <= 1 &&
			(within == never || g.predict(s, p) <= within || s.backlog+g.queue(s)+g.planned[s] == 0)
	})
}

// spare tells whether a search's other parts make an answer worth having without those that are given up.
func (g *Gatherer) spare(q *search, gone func(*part) bool) bool {
	in := 0.0
	for _, p := range q.parts {
		if p.done || !gone(p) {
			in += p.weight
		}
	}
	return q.rules.square && in < 1-weightSlack && in >= q.rules.shortAt-weightSlack
}
