package degradation

import "math"

// Monitor measures the signals from what a gatherer sees: which servers are ready compared with those that usually are, and which
// requests end late. Its memory is proportional to the configured cells and query types.
type Monitor struct {
	reach            int       // consecutive cells that hold a segment's replicas
	baseline         []float64 // usual number of ready servers by cell; the last is of all cells
	readyByCell      []float64 // at the last Measure
	lateness         []latenessCounter
	listFailingSince Time // when the discovery service began to fail; 0 = it answered last time
	measuredAt       Time
}

// latenessCounter counts the requests of one query type, with exponential decay.
type latenessCounter struct{ late, total float64 }

// Server is the state of one server of the endpoint list.
type Server struct {
	Cell         int
	Ready        bool // not draining
	WarmingUp    bool // in its slow start
	EjectedUntil Time // end of its last ejection as an outlier; 0 = never ejected
}

const (
	baselineDecay = 600 * Second // capacity that is gone for good is forgotten with this time constant
	latenessDecay = 2 * Second
	minRequests   = 5.0 // decayed requests below which a query type's lateness says nothing
	// recoveryDelay is how long after its ejection a server still counts as lost: a dead one that is probed every now and then has not
	// recovered. It is not awaited until a server has proved healthy, as at a reduced level it may get no request at all.
	recoveryDelay = 3 * Second
)

// NewMonitor returns a monitor for a cluster of so many cells in which a segment's replicas lie in reach consecutive cells.
func NewMonitor(cells, reach, queryTypes int) *Monitor {
	return &Monitor{reach: reach, baseline: make([]float64, cells+1), readyByCell: make([]float64, cells),
		lateness: make([]latenessCounter, queryTypes)}
}

// RecordRequest counts a request that has ended. latencyTarget 0 = any latency is in time.
func (m *Monitor) RecordRequest(queryType int, answered bool, latency, latencyTarget Time) {
	c := &m.lateness[queryType]
	c.total++
	if !answered || latencyTarget > 0 && latency > latencyTarget {
		c.late++
	}
}

// RecordListResult records whether the discovery service answered.
func (m *Monitor) RecordListResult(now Time, ok bool) {
	if ok {
		m.listFailingSince = 0
	} else if m.listFailingSince == 0 {
		m.listFailingSince = max(now, 1)
	}
}

// Measure returns the signals of the whole cluster. load is the load ratio and store the reading of StoreUnavailable, which the
// monitor does not know of itself.
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

// countReady counts the ready servers, in all and by cell.
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

// updateBaseline raises the usual number of servers to the present one, and lowers it slowly.
func (m *Monitor) updateBaseline(elapsed Time, ready float64) {
	decay, all := math.Exp(-float64(elapsed)/float64(baselineDecay)), len(m.readyByCell)
	for i, n := range m.readyByCell {
		m.baseline[i] = max(m.baseline[i]*decay, n)
	}
	m.baseline[all] = max(m.baseline[all]*decay, ready)
}

// worstLateness decays the counters and returns the largest share of late requests of any query type.
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

// listAge returns for how many seconds the discovery service has been failing.
func (m *Monitor) listAge(now Time) float64 {
	if m.listFailingSince == 0 {
		return 0
	}
	return float64(now-m.listFailingSince) / float64(Second)
}

// MeasureSegment returns the signal of one segment, as of the last Measure.
func (m *Monitor) MeasureSegment(shard int) (r Readings) {
	usual, ready := 0.0, 0.0
	for j := range m.reach {
		cell := (shard + j) % len(m.readyByCell)
		usual += m.baseline[cell]
		ready += m.readyByCell[cell]
	}
	if usual > 0 {
		r[SegmentLostCapacity] = Reading{1 - ready/usual, true}
	}
	return r
}
