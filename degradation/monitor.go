package degradation

import "math"

// Monitor measures the signals from what a gatherer observes: the number of ready servers compared with the usual number, and
// the requests that end late. Its memory is proportional to the number of configured cells and query types.
type Monitor struct {
	replicaCells     int               // number of consecutive cells that hold the replicas of a segment
	baseline         []float64         // usual number of ready servers by cell; the last element is for all cells
	readyByCell      []float64         // ready servers by cell at the last Measure
	lateness         []latenessCounter // by query type
	listFailingSince Time              // when the discovery service began to fail; 0 = its last request succeeded
	measuredAt       Time              // time of the last Measure; 0 = none yet
}

// latenessCounter counts the late requests and all requests of one query type, with exponential decay.
type latenessCounter struct{ late, total float64 }

// Server is the state of one server of the endpoint list.
type Server struct {
	Cell         int
	Ready        bool // not draining
	WarmingUp    bool // in slow start
	EjectedUntil Time // end of its last ejection as an outlier; 0 = never ejected
}

const (
	baselineDecay = 600 * Second // time constant with which the baseline adapts to a permanent loss of capacity
	latenessDecay = 2 * Second   // time constant of the latenessCounters
	minRequests   = 5.0          // decayed number of requests below which a query type's lateness is not significant
	// recoveryDelay is how long a server still counts as lost after the end of its ejection: a failed server that is probed
	// from time to time has not recovered. Successful requests are not required for it to count again, as at a reduced level
	// a server may receive no requests at all.
	recoveryDelay = 3 * Second
)

// NewMonitor returns a monitor for a cluster with a number of cells, in which the replicas of a segment are in replicaCells
// consecutive cells.
func NewMonitor(cells, replicaCells, queryTypes int) *Monitor {
	return &Monitor{replicaCells: replicaCells, baseline: make([]float64, cells+1), readyByCell: make([]float64, cells),
		lateness: make([]latenessCounter, queryTypes)}
}

// RecordRequest counts a request that has ended. It is late if it was not answered or took longer than latencyTarget; a
// target of 0 means that any latency is in time.
func (m *Monitor) RecordRequest(queryType int, answered bool, latency, latencyTarget Time) {
	c := &m.lateness[queryType]
	c.total++
	if !answered || latencyTarget > 0 && latency > latencyTarget {
		c.late++
	}
}

// RecordListResult records whether the discovery service returned the server list.
func (m *Monitor) RecordListResult(now Time, ok bool) {
	if ok {
		m.listFailingSince = 0
	} else if m.listFailingSince == 0 {
		m.listFailingSince = max(now, 1)
	}
}

// Measure returns the signals of the whole cluster. load is the value of LoadRatio and store the reading of StoreUnavailable;
// the monitor does not measure these two itself.
func (m *Monitor) Measure(now Time, servers []Server, load float64, store Reading) (r Readings) {
	elapsed := max(now-m.measuredAt, 0)
	if m.measuredAt == 0 {
		elapsed = 0
	}
	m.measuredAt = now
	ready, warmingUp := m.countReady(now, servers)
	m.updateBaseline(elapsed, ready)
	if usual := m.baseline[len(m.readyByCell)]; usual > 0 {
		r[LostCapacity] = Reading{1 - ready/usual, true}
	}
	if ready > 0 {
		r[WarmingUp] = Reading{warmingUp / ready, true}
	}
	r[LoadRatio] = Reading{load, true}
	r[LateRatio] = Reading{m.worstLateness(elapsed), true}
	r[ServerListAge] = Reading{m.listAge(now), true}
	r[StoreUnavailable] = store
	return r
}

// countReady counts the ready servers and those of them that are warming up, and updates readyByCell.
func (m *Monitor) countReady(now Time, servers []Server) (ready, warmingUp float64) {
	clear(m.readyByCell)
	for _, s := range servers {
		if !s.Ready || s.EjectedUntil > 0 && now < s.EjectedUntil+recoveryDelay {
			continue
		}
		ready++
		if s.Cell >= 0 && s.Cell < len(m.readyByCell) {
			m.readyByCell[s.Cell]++
		}
		if s.WarmingUp {
			warmingUp++
		}
	}
	return ready, warmingUp
}

// updateBaseline raises the usual number of servers to the current number at once, and lowers it slowly.
func (m *Monitor) updateBaseline(elapsed Time, ready float64) {
	decay, total := math.Exp(-float64(elapsed)/float64(baselineDecay)), len(m.readyByCell)
	for i, n := range m.readyByCell {
		m.baseline[i] = max(m.baseline[i]*decay, n)
	}
	m.baseline[total] = max(m.baseline[total]*decay, ready)
}

// worstLateness decays the counters and returns the highest share of late requests among the query types.
func (m *Monitor) worstLateness(elapsed Time) (worst float64) {
	decay := math.Exp(-float64(elapsed) / float64(latenessDecay))
	for i := range m.lateness {
		c := &m.lateness[i]
		c.late *= decay
		c.total *= decay
		if c.total >= minRequests {
			worst = max(worst, c.late/c.total)
		}
	}
	return worst
}

// listAge returns the number of seconds for which the discovery service has been failing.
func (m *Monitor) listAge(now Time) float64 {
	if m.listFailingSince == 0 {
		return 0
	}
	return float64(now-m.listFailingSince) / float64(Second)
}

// MeasureSegment returns SegmentLostCapacity of the segment of one shard as of the last Measure; all other signals are unknown.
func (m *Monitor) MeasureSegment(shard int) (r Readings) {
	usual, ready := 0.0, 0.0
	for j := range m.replicaCells {
		cell := (shard + j) % len(m.readyByCell)
		usual += m.baseline[cell]
		ready += m.readyByCell[cell]
	}
	if usual > 0 {
		r[SegmentLostCapacity] = Reading{1 - ready/usual, true}
	}
	return r
}
