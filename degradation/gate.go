package degradation

import "math"

// Gate says of each search whether the present level serves it, so that of each query type's searches each customer gets the
// same share of its own, however few or many it sends. Its table is as long as query types times customers of the settings.
type Gate struct {
	machine   *Machine
	customers int
	credit    [][]float64 // by query type and customer; the last customer stands for those that are not known
	previous  Policy      // in force before the last change
	jitter    float64     // where the next advice lies between the least and the most
}

// NewGate makes one for a machine.
func NewGate(m *Machine, queryTypes, customers int) *Gate {
	g := &Gate{machine: m, customers: customers}
	for range queryTypes {
		credit := make([]float64, customers+1)
		for i := range credit {
			credit[i] = 1 // the first search of each is served at any level that serves its type at all
		}
		g.credit = append(g.credit, credit)
	}
	return g
}

// HandleChange is told of each change of the machine's level.
func (g *Gate) HandleChange(c Change) {
	g.previous = g.machine.config.Levels[min(int(c.From), len(g.machine.config.Levels)-1)].Policy
}

// Share is what part of a query type's searches is served at a moment. After a step up it widens over Figures.Ramp, so that
// those who come back do not come all at once, on servers that have just started.
func (g *Gate) Share(now Time, queryType int) float64 {
	return g.shareAt(now, g.machine.rank, queryType)
}

// shareAt is that at the machine's level, or at a worse one that holds for a segment.
func (g *Gate) shareAt(now Time, rank Rank, queryType int) float64 {
	to := g.machine.config.Levels[min(max(rank, g.machine.rank), Rank(len(g.machine.config.Levels)-1))].Policy.servedShare(queryType)
	from := g.previous.servedShare(queryType)
	if from >= to || g.machine.config.RampUp <= 0 {
		return to
	}
	return from + (to-from)*math.Min(1, math.Max(0, float64(now-g.machine.since)/float64(g.machine.config.RampUp)))
}

// Admit says whether a search is served; worst is the worst level of the segments that it asks. If it is not served it is to be
// shed at once, with the advice to come back after so long.
func (g *Gate) Admit(now Time, worst Rank, queryType, customer int) (served bool, after Time) {
	share := g.shareAt(now, worst, queryType)
	if share >= 1 || queryType < 0 || queryType >= len(g.credit) {
		return true, 0
	}
	if customer < 0 || customer >= g.customers {
		customer = g.customers
	}
	c := &g.credit[queryType][customer]
	*c = min(*c+share, 1+share)
	if *c >= 1 && share > 0 {
		*c--
		return true, 0
	}
	return false, g.retryAfter(max(worst, g.machine.rank))
}

// retryAfter is when to come back: spread evenly between the level's least and twice that, so that those who are shed together do
// not come back together.
func (g *Gate) retryAfter(rank Rank) Time {
	least := g.machine.config.Levels[min(rank, Rank(len(g.machine.config.Levels)-1))].Policy.RetryAfter
	const golden = 0.6180339887498949 // steps of this fill an interval evenly, however many there are
	g.jitter = math.Mod(g.jitter+golden, 1)
	return least + Time(g.jitter*float64(least))
}
