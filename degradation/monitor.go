package degradation

import "math"

// Monitor makes the signals of what a gatherer sees: which servers are there beside those that usually are, which searches end late.
// Its tables are as long as the settings' lists of cells and query types.
type Monitor struct {
	reach            int
	baseline         []float64 // ready servers of each cell, usually; the last is of all
	readyByCell      []float64 // and at the last Read
	lateness         []latenessCounter
	listFailingSince Time // since when the list service does not answer; 0 = it did the last time
	measuredAt       Time
}

// latenessCounter counts the searches of one query type, the older ones for less.
type latenessCounter struct{ late, total float64 }

// Server is one listed server as it stands.
type Server struct {
	Cell         int
	Ready        bool // not draining
	WarmingUp    bool // it has just started
	EjectedUntil Time // it was taken out for failing until then; 0 = never
}

// Times of a gauge.
const (
	baselineDecay = 600 * Second // capacity that has gone for good is forgotten so slowly
	latenessDecay = 2 * Second
	minRequests   = 5.0 // searches without which lateness says nothing
	// recoveryDelay is how long after its time out a server counts as gone: a dead one that is tried again every so often has not
	// come back. But not until it has proved sound: where little is asked, as at a level, it may not be tried at all.
	recoveryDelay = 3 * Second
)

// NewMonitor makes one for a layout.
func NewMonitor(cells, reach, queryTypes int) *Monitor {
	return &Monitor{reach: reach, baseline: make([]float64, cells+1), readyByCell: make([]float64, cells), lateness: make([]latenessCounter, queryTypes)}
}

// RecordRequest takes in how a search ended: whether it was answered, after how long, and by when it should have been (0 = any time).
func (g *Monitor) RecordRequest(queryType int, answered bool, took, target Time) {
	c := &g.lateness[queryType]
	c.total++
	if !answered || target > 0 && took > target {
		c.late++
	}
}

// RecordListResult takes in whether the list service answered.
func (g *Monitor) RecordListResult(now Time, well bool) {
	if well {
		g.listFailingSince = 0
	} else if g.listFailingSince == 0 {
		g.listFailingSince = max(now, 1)
	}
}

// Measure makes the signals of the whole. Load and store come from where they are known.
func (g *Monitor) Measure(now Time, servers []Server, load float64, store Reading) (r Readings) {
	since := max(now-g.measuredAt, 0)
	if g.measuredAt == 0 {
		since = 0
	}
	g.measuredAt = now
	clear(g.readyByCell)
	ready, cold := 0.0, 0.0
	for _, s := range servers {
		if !s.Ready || s.EjectedUntil > 0 && now < s.EjectedUntil+recoveryDelay {
			continue
		}
		ready++
		if s.Cell >= 0 && s.Cell < len(g.readyByCell) {
			g.readyByCell[s.Cell]++
		}
		if s.WarmingUp {
			cold++
		}
	}
	fade, all := math.Exp(-float64(since)/float64(baselineDecay)), len(g.readyByCell)
	for i, n := range g.readyByCell {
		g.baseline[i] = max(g.baseline[i]*fade, n)
	}
	g.baseline[all] = max(g.baseline[all]*fade, ready)
	if g.baseline[all] > 0 {
		r[LostCapacity] = Reading{1 - ready/g.baseline[all], true}
	}
	if ready > 0 {
		r[WarmingUp] = Reading{cold / ready, true}
	}
	worst, keep := 0.0, math.Exp(-float64(since)/float64(latenessDecay))
	for i := range g.lateness {
		c := &g.lateness[i]
		if c.late, c.total = c.late*keep, c.total*keep; c.total >= minRequests {
			worst = max(worst, c.late/c.total)
		}
	}
	r[LoadRatio], r[LateRatio], r[ServerListAge], r[StoreUnavailable] = Reading{load, true}, Reading{worst, true}, Reading{0, true}, store
	if g.listFailingSince > 0 {
		r[ServerListAge].Value = float64(now-g.listFailingSince) / float64(Second)
	}
	return r
}

// MeasureSegment makes the signal of one segment, as of the last Read.
func (g *Monitor) MeasureSegment(shard int) (r Readings) {
	usual, there := 0.0, 0.0
	for j := range g.reach {
		cell := (shard + j) % len(g.readyByCell)
		usual, there = usual+g.baseline[cell], there+g.readyByCell[cell]
	}
	if usual > 0 {
		r[SegmentLostCapacity] = Reading{1 - there/usual, true}
	}
	return r
}
