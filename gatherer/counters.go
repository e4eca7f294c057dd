package gatherer

import "sync/atomic"

// Counts holds the numbers of requests since the gatherer was created, by result.
type Counts struct{ Answered, Shed, Errored uint64 }

// counters counts requests by result. Only the dispatcher increments it; any goroutine may read it.
type counters struct{ answered, shed, errored atomic.Uint64 }

// add counts one request with a result of the given kind. Results of other kinds are not counted.
func (c *counters) add(kind resultKind) {
	switch kind {
	case resultAnswer, resultMerged, resultStored:
		c.answered.Add(1)
	case resultShed:
		c.shed.Add(1)
	case resultFailed:
		c.errored.Add(1)
	}
}

// Counts returns the numbers of requests so far, by result.
func (g *Gatherer) Counts() Counts {
	return Counts{g.counters.answered.Load(), g.counters.shed.Load(), g.counters.errored.Load()}
}

// Ready reports whether the gatherer can serve requests, which it can once it has received a server list with at least
// one server.
func (g *Gatherer) Ready() bool { return g.frontend.hasServers.Load() }
