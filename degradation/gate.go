package degradation

import "math"

// Gate admits single requests according to the policy of a machine's current level. For a given query type the same share of
// every customer's requests is served, however many a customer sends. Its memory is proportional to the number of query types
// times the number of customers.
type Gate struct {
	machine   *Machine
	customers int
	credit    [][]float64 // by query type and customer: 1 admits a request; the last customer stands for all unknown ones
	previous  Policy      // in force before the last change of level
	jitter    float64     // position of the last Retry-After between its minimum and its maximum, from 0 to 1
}

// NewGate returns a gate for a machine and for given numbers of query types and customers.
func NewGate(m *Machine, queryTypes, customers int) *Gate {
	g := &Gate{machine: m, customers: customers}
	for range queryTypes {
		credit := make([]float64, customers+1)
		for i := range credit {
			credit[i] = 1 // each customer's first request is served at any level that serves its query type at all
		}
		g.credit = append(g.credit, credit)
	}
	return g
}

// RecordChange records a change of the machine's level. It must be called for each change.
func (g *Gate) RecordChange(c Change) { g.previous = g.level(c.From).Policy }

// level returns the level with a rank, or the last level if a reload has reduced their number.
func (g *Gate) level(rank Rank) Level {
	levels := g.machine.config.Levels
	return levels[min(rank, Rank(len(levels)-1))]
}

// Share returns the share of a query type's requests that is served, from 0 to 1. After an upgrade it grows over
// Config.RampUp, so that clients do not all return at the same time, to servers that have just started.
func (g *Gate) Share(now Time, queryType int) float64 {
	return g.shareAt(now, g.machine.rank, queryType)
}

// shareAt returns Share for the machine's level or for rank, the level of a segment, whichever is worse.
func (g *Gate) shareAt(now Time, rank Rank, queryType int) float64 {
	target := g.level(max(rank, g.machine.rank)).Policy.servedShare(queryType)
	start := g.previous.servedShare(queryType)
	rampUp := g.machine.config.RampUp
	if start >= target || rampUp <= 0 {
		return target
	}
	progress := float64(now-g.machine.since) / float64(rampUp)
	return start + (target-start)*math.Min(1, math.Max(0, progress))
}

// Admit decides whether a request is served. worstRank is the highest rank among the segments that the request needs. The
// caller must reject a request that is not served immediately, with retryAfter.
func (g *Gate) Admit(now Time, worstRank Rank, queryType, customer int) (served bool, retryAfter Time) {
	share := g.shareAt(now, worstRank, queryType)
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
	return false, g.retryAfter(max(worstRank, g.machine.rank))
}

// retryAfter returns the Retry-After of the next rejected request. The values are spread evenly between the level's minimum and
// twice that, so that clients rejected at the same time do not return at the same time.
func (g *Gate) retryAfter(rank Rank) Time {
	minimum := g.level(rank).Policy.RetryAfter
	const goldenRatio = 0.6180339887498949 // fractional part; steps of this size fill an interval evenly, however many there are
	g.jitter = math.Mod(g.jitter+goldenRatio, 1)
	return minimum + Time(g.jitter*float64(minimum))
}
