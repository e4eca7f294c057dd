package gatherer

import "sync/atomic"

// Counts is how many searches had which final answer since the start.
type Counts struct{ Answered, Shed, Errored uint64 }

// counters are written by the module's actor and read by anybody.
type counters struct{ answered, shed, errored atomic.Uint64 }

func (c *counters) add(k resultKind) {
	switch k {
	case resultAnswer, resultMerged, resultStored:
		c.answered.Add(1)
	case resultShed:
		c.shed.Add(1)
	case resultFailed:
		c.errored.Add(1)
	}
}

// Counts tells how many searches had which final answer so far.
func (g *Gatherer) Counts() Counts {
	return Counts{g.counters.answered.Load(), g.counters.shed.Load(), g.counters.errored.Load()}
}

// Ready tells whether the gatherer takes searches: it holds a list with a server.
func (g *Gatherer) Ready() bool { return g.frontend.hasServers.Load() }
