package pollen

import (
	"math"
	"slices"
	"time"
)

// reserved is how many connections of a server are kept for tenants that were at its service a moment ago and are expected back: for each
// what it mostly holds and one more, less what it holds. A part may go to any server of the service, so that few keep one.
func (n *Node) reserved(p *plot, asks Tenant, now time.Duration) int {
	f := n.field(p.service)
	if f.parts < 2 {
		return 0
	}
	me, need := n.queue(p.service, asks), 0
	for _, q := range f.users {
		if q == me || now-q.used >= presence {
			continue
		}
		if !slices.ContainsFunc(p.here, func(e *entry) bool { return e.t == q.t && n.wants(p, e, now) }) { // else its claim stands already
			need += max(int(math.Ceil(q.mean))+1-q.held, 0)
		}
	}
	need = min(need, max(f.parts/reserveIn, 1))
	return min((need+f.servers-1-p.rank)/f.servers, p.part-1)
}

// wants tells whether a tenant was refused a connection of late and waits yet.
func (n *Node) wants(p *plot, e *entry, now time.Duration) bool {
	return now-e.wanted < wantFor && n.Waiting(p.service, e.t) > 0
}

// pass carries the credits on to a moment, and drops those that have nothing there any more.
func (n *Node) pass(p *plot, now time.Duration) {
	if now == p.at {
		return
	}
	span := min(now-p.at, presence).Seconds()
	p.at = now
	if p.part > 0 && len(p.here) > 1 {
		var wanting []*entry
		there := float64(p.part)
		for _, e := range p.here {
			if n.wants(p, e, now) {
				wanting = append(wanting, e)
			} else { // what it has it has lent or is glad of: that counts neither way
				there -= float64(e.held)
			}
			e.credit -= e.credit * min(span/creditFor.Seconds(), 1)
		}
		if len(wanting) > 1 {
			for i, due := range n.fill(p, there, wanting, true) {
				e := wanting[i]
				e.credit = max(min(e.credit+span*(due-float64(e.held)), float64(p.part)), -float64(p.part))
			}
		}
	}
	p.here = slices.DeleteFunc(p.here, func(e *entry) bool {
		return e.held == 0 && now-e.used >= presence && now-e.wanted >= presence
	})
}

// scaled is a number of connections of all gatherers, in this one's part.
func (p *plot) scaled(connections float64) float64 {
	if p.whole <= 0 {
		return connections
	}
	return connections * float64(p.part) / float64(p.whole)
}

// own is a tenant's part of a server's connections beside those that are there too, whatever they hold.
func (n *Node) own(p *plot, of *entry, now time.Duration) float64 {
	if p.part == 0 {
		return math.Inf(1)
	}
	all := []*entry{of}
	for _, e := range p.here {
		if e != of && (e.held > 0 || now-e.used < presence || now-e.wanted < wantFor) {
			all = append(all, e)
		}
	}
	return n.fill(p, float64(p.part), all, false)[0]
}

// within tells whether a tenant that holds what it does may take another without keeping those from theirs who want it, and without
// the reserve of those who are expected.
func (n *Node) within(p *plot, asks *entry, now time.Duration) bool {
	free := float64(p.part)
	wanting := []*entry{asks}
	floors := 0.0
	for _, e := range p.here {
		if e == asks {
			continue
		}
		if n.wants(p, e, now) {
			wanting = append(wanting, e)
			continue
		}
		free -= float64(e.held)
	}
	for _, t := range n.floors[p.service] {
		if t == asks.t || slices.ContainsFunc(wanting, func(e *entry) bool { return e.t == t }) {
			continue
		}
		held := 0
		for _, e := range p.here {
			if e.t == t {
				held = e.held
			}
		}
		floors += max(math.Ceil(p.scaled(n.terms[t].Floor))-float64(held), 0)
	}
	own, held := n.own(p, asks, now), float64(asks.held)
	kept := min(floors, float64(p.part-1))
	if held+1 > own { // the reserve is kept from what is lent, not from anybody's own
		kept = max(kept, float64(n.reserved(p, asks.t, now)))
	}
	free -= kept
	dues := n.fill(p, free, wanting, true)
	due := dues[0]
	if bound := n.terms[asks.t].Borrow; bound >= 0 {
		due = min(due, own+p.scaled(bound))
	}
	if held+1 <= p.scaled(n.terms[asks.t].Floor) {
		return true
	}
	if held >= due-1e-9 {
		// Nobody else wants it, nothing is kept back and its own bounds allow it: a part below one would else be none.
		return asks.held == 0 && len(wanting) == 1 && free > 0
	}
	claims, before := 0, false // whole connections that others are short of; somebody has had less of its part so far
	for i, e := range wanting[1:] {
		short := int(dues[i+1]+1e-9) - e.held
		claims += max(short, 0)
		switch {
		case held+1 > due+1e-9: // a fraction is left for this one
			before = before || float64(e.held) < dues[i+1]-1e-9 && e.credit > asks.credit
		case short > 0:
			before = before || float64(e.held+1)/n.terms[e.t].Weight < (held+1)/n.terms[asks.t].Weight
		}
	}
	enough := p.total+claims < p.part
	if held+1 > due+1e-9 {
		return enough && !before
	}
	return enough || !before
}

// Parts is what each of some tenants has of a server's connections while all of them want all.
func Parts(whole int, terms []Terms) []float64 {
	n, p := &Node{terms: terms}, &plot{part: whole, whole: whole}
	all := make([]*entry, len(terms))
	for i := range terms {
		all[i] = &entry{t: Tenant(i)}
	}
	return n.fill(p, float64(whole), all, false)
}

// fill divides what is there by weighted max-min: nobody gets more than its most, and by demand no more than it holds and waits for,
// nobody less than its floor, the rest goes by weights. It returns a part for each, in their order.
func (n *Node) fill(p *plot, there float64, all []*entry, demand bool) []float64 {
	parts := make([]float64, len(all))
	fixed := make([]bool, len(all))
	for {
		left, sum := max(there, 0), 0.0
		for i, e := range all {
			if fixed[i] {
				left -= parts[i]
			} else {
				sum += n.terms[e.t].Weight
			}
		}
		if left = max(left, 0); sum <= 0 {
			return parts
		}
		// Floors first: they lower the level for the rest; then the bounds above, which raise it.
		moved := false
		for pass := 0; pass < 2 && !moved; pass++ {
			for i, e := range all {
				if fixed[i] {
					continue
				}
				t := n.terms[e.t]
				level := left * t.Weight / sum
				if floor := p.scaled(t.Floor); pass == 0 && t.Floor > 0 && level < floor {
					parts[i], fixed[i], moved = floor, true, true
				}
				most := math.Inf(1)
				if t.Most > 0 {
					most = max(p.scaled(t.Most), 1)
				}
				if demand {
					most = min(most, float64(e.held+max(n.Waiting(p.service, e.t), 1)))
				}
				if pass == 1 && level > most {
					parts[i], fixed[i], moved = most, true, true
				}
			}
		}
		if moved {
			continue
		}
		for i, e := range all {
			if !fixed[i] {
				parts[i] = left * n.terms[e.t].Weight / sum
			}
		}
		return parts
	}
}
