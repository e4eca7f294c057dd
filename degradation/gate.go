package degradation

import "math"

// Gate admits single requests by the policy of a machine's current level. Of each query type every customer gets the same share of
// its own requests, however many it sends. Its memory is proportional to query types times customers.
type Gate struct {
	machine   *Machine
	customers int
	credit    [][]float64 // by query type and customer; the last customer stands for all unknown ones
	previous  Policy      // in force before the last change
	jitter    float64     // position of the next Retry-After between its least and its most, from 0 to 1
}

// NewGate returns a gate for a machine.
func NewGate(m *Machine, queryTypes, customers int) *Gate {
	g := &Gate{machine: m, customers: customers}
	for range queryTypes {
		credit := make([]float64, customers+1)
		for i := range credit {
			credit[i] = 1 // the first request of each is served at any level that serves its type at all
		}
		g.credit = append(g.credit, credit)
	}
	return g
}

// HandleChange must be called for each change of the machine's level.
func (g *Gate) HandleChange(c Change) { g.previous = g.level(c.From).Policy }

// level returns the level of a rank, or the last one where a reload has left fewer.
func (g *Gate) level(rank Rank) Level {
	levels := g.machine.config.Levels
	return levels[min(rank, Rank(len(levels)-1))]
}

// Share returns the share of a query type's requests that is served, from 0 to 1. After a change to a better level it grows over
// Config.RampUp, so that clients do not return all at once, to servers that have just started.
func (g *Gate) Share(now Time, queryType int) float64 {
	return g.shareAt(now, g.machine.rank, queryType)
}

// shareAt is Share at the machine's level or at the worse level of a segment.
func (g *Gate) shareAt(now Time, rank Rank, queryType int) float64 {
	to := g.level(max(rank, g.machine.rank)).Policy.servedShare(queryType)
	from := g.previous.servedShare(queryType)
	rampUp := g.machine.config.RampUp
	if from >= to || rampUp <= 0 {
		return to
	}
	progress := float64(now-g.machine.since) / float64(rampUp)
	return from + (to-from)*math.Min(1, math.Max(0, progress))
}

// Admit decides whether a request is served. worst is the worst rank among the segments that the request needs. A request that is
// not served is to be rejected at once with retryAfter.
func (g *Gate) Admit(now Time, worst Rank, queryType, customer int) (served bool, retryAfter Time) {
	share := g.shareAt(now, worst, queryType)
	if share >= 1 || queryType < 0 || queryType >= len(g.credit) {
		return true, 0
	}
	if customer < 0 || customer >= g.customers {
		customer = g.customers
	}
	credit := &g.credit[queryType][customer]
	*credit = min(*credit+share, 1+share)
	if *credit >= 1 && share > 0 {
		*credit--
		return true, 0
	}
	return false, g.retryAfter(max(worst, g.machine.rank))
}

// retryAfter returns the next Retry-After, spread evenly between the level's least and twice that, so that clients rejected together
// do not return together.
func (g *Gate) retryAfter(rank Rank) Time {
	least := g.level(rank).Policy.RetryAfter
	const golden = 0.6180339887498949 // steps of this size fill an interval evenly, however many there are
	g.jitter = math.Mod(g.jitter+golden, 1)
	return least + Time(g.jitter*float64(least))
}
