package pollen

import "time"

// How much of the in-flight limit tenants may fill while others are there too: whoever has less than its part is let in when whoever has
// more is not.
const (
	pressUnder = 1.25
	pressOver  = 0.9
)

// Press is how much of the gatherer's in-flight limit a tenant's requests may fill.
func (n *Node) Press(t Tenant, now time.Duration) float64 {
	held, weights, mine, others := 0, n.terms[t].Weight, 0, false
	for o, a := range n.active {
		switch {
		case o == t:
			mine = a.held
		case a.held == 0 && now-a.used >= presence:
			delete(n.active, o)
			continue
		default:
			others = true
			weights += n.terms[o].Weight
		}
		held += a.held
	}
	switch {
	case !others:
		return 1
	case float64(mine) <= float64(held)*n.terms[t].Weight/weights:
		return pressUnder
	}
	return pressOver
}

// Wait is how long a part that finds no room at a service is likely to wait for it: those that wait before it, held one after the
// other in the tenant's own part.
func (n *Node) Wait(at Service, t Tenant, now time.Duration) time.Duration {
	hold, waiting := firstHold, 0
	if q := n.queues[queueKey{at, t}]; q != nil {
		hold, waiting = q.hold, q.waiting
	}
	slots := 0.0
	for _, p := range n.plots {
		if p.service == at && !p.left {
			slots += max(n.own(p, p.entry(t, now), now), 1)
		}
	}
	if slots == 0 {
		return 0
	}
	return time.Duration(float64(hold) * float64(waiting+1) / slots)
}

// Holding is what a tenant has at a server.
type Holding struct {
	Server       Server
	Tenant       string
	Held, Lent   int
	Part         int // of the gatherer's; 0 = no limit
	Own          float64
	WantsAnother bool
}

// Holdings lists who holds or wants connections, at all servers.
func (n *Node) Holdings(now time.Duration) (out []Holding) {
	for s, p := range n.plots {
		for _, e := range p.here {
			if wants := n.wants(p, e, now); e.held > 0 || wants {
				out = append(out, Holding{s, n.terms[e.t].Name, e.held, e.lent, p.part, n.own(p, e, now), wants})
			}
		}
	}
	return out
}

// Waiting is how many parts of a tenant wait at a service.
func (n *Node) Waiting(at Service, t Tenant) int {
	if q := n.queues[queueKey{at, t}]; q != nil {
		return q.waiting
	}
	return 0
}
