package gatherer

import "sync/atomic"

// Counts is the number of requests since the start by result.
type Counts struct{ Answered, Shed, Errored uint64 }

// counters count results. The dispatcher adds, any goroutine reads.
type counters struct{ answered, shed, errored atomic.Uint64 }

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

// Counts returns the number of requests so far by result.
func (g *Gatherer) Counts() Counts {
	return Counts{g.counters.answered.Load(), g.counters.shed.Load(), g.counters.errored.Load()}
}

// Ready reports whether the gatherer can serve requests: the server list has a server.
func (g *Gatherer) Ready() bool { return g.frontend.hasServers.Load() }
