package brain

// The in-flight limit, and who is let in.

import (
	"cmp"
	"math"
)

// arrived sets a search's moments and sheds what is past the in-flight limit.
func (g *Gatherer) arrived(e SearchArrived) {
	r := g.types[e.Type]
	if e.Sent && r.effect != Idempotent {
		g.do(Fail{e.Search}) // sent again it might run twice; shed it would be called harmless
		return
	}
	q := &search{id: e.Search, number: e.Number, typ: e.Type, rules: r}
	q.end = g.now + max(min(e.Patience-g.travel/2, r.timeout)-g.margin, 0)
	q.target = g.now + r.target - g.margin
	r.patience = max(r.patience-r.patience/patienceFades, e.Patience)
	full := r.timeout
	if g.timeoutSeen {
		full = r.patience
	}
	if waited := full - e.Patience; e.Patience < r.patience-g.margin &&
		(e.Repeat || !g.marked && (g.timeoutSeen || r.gaveUpAt >= g.now-waited)) {
		// What earlier tries left: a retry storm must not be served as if new. Harm: a client merely less patient
		// when it repeats is taken to have waited.
		q.target -= waited
	}
	q.target = min(q.target, q.end)
	if !r.lateCounts && g.marked {
		q.end = q.target // a repeat is known for one and shed; else what is missing costs less than a repeat
	}
	g.open[q.id], g.numbers[q.number] = q, q
	if len(e.Among) > 0 && len(e.Parts) == 1 {
		e.Parts[0].Shard = g.choose(e.Among)
	}
	if g.freeAll == 0 {
		g.budget(0).taken.add(g.now, 1)
	}
	g.widest = max(g.widest, len(e.Parts))
	g.limit = max(g.limit, max(limitFloor*float64(len(g.ready))/g.gatherers, float64(widestFloor*g.widest)))
	g.survey()
	allowed := g.limit
	last := len(g.customers) - 1
	c, all := &g.customers[min(int(e.Customer), last)], &g.customers[last]
	took := c.took.least(g.now)
	if c.perSpan > 0 && took >= c.perSpan && took*all.perSpan > all.took.least(g.now)*c.perSpan {
		allowed *= pressed // over its share of the quota, and of this gatherer's own searches
	}
	if len(e.Parts) == 0 || g.busy() >= allowed*g.press(q) {
		g.giveUp(q)
		return
	}
	c.took.add(g.now, 1)
	all.took.add(g.now, 1)
	g.fanOut(q, e.Parts)
}

// busy is the parts in flight less those stuck at silent servers: these press, but must not keep all searches
// from the sound ones. Guards against a limit filled by servers that take parts and answer none.
func (g *Gatherer) busy() float64 { return float64(len(g.out) - g.stuck) }

// answered moves the in-flight limit, which follows the shortest over the present (median) latency.
func (g *Gatherer) answered(unit float64) {
	if g.learned++; g.learned <= learnFirst { // the mean, to start from
		g.present += (unit - g.present) / float64(g.learned)
		g.short = g.present
	}
	g.present *= 1 + math.Copysign(medianStep, unit-g.present)
	g.short = min(g.short*(1+shortestUp), g.present)
	falling := min(1, max(0.5, limitSlack*g.short/g.present))
	if falling < 1 || g.busy() > g.limit/2 {
		g.limit += (g.limit*falling + math.Sqrt(g.limit) - g.limit) * limitWeight
	}
}

// choose draws a shard by weight among those that have a ready server, or among all.
func (g *Gatherer) choose(among []Weighted) (at ShardNo) {
	sum, held := 0.0, 0.0
	for _, w := range among {
		if sum += w.Weight; len(g.holders[w.Shard]) > 0 {
			held += w.Weight
		}
	}
	left := cmp.Or(held, sum) * float64(g.rand.below(1<<20)) / (1 << 20)
	for _, w := range among {
		if w.Weight > 0 && left >= 0 && (held == 0 || len(g.holders[w.Shard]) > 0) {
			at, left = w.Shard, left-w.Weight
		}
	}
	return at
}
