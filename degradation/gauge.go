package degradation

import "math"

// Gauge makes the signals of what a gatherer sees: which servers are there beside those that usually are, which searches end late.
// Its tables are as long as the settings' lists of cells and query types.
type Gauge struct {
	reach    int
	usual    []float64 // ready servers of each cell, usually; the last is of all
	cells    []float64 // and at the last Read
	late     []lateness
	silentAt Time // since when the list service does not answer; 0 = it did the last time
	readAt   Time
}

// lateness counts the searches of one query type, the older ones for less.
type lateness struct{ bad, all float64 }

// Seen is one listed server as it stands.
type Seen struct {
	Cell     int
	Ready    bool // not draining
	Cold     bool // it has just started
	OutUntil Time // it was taken out for failing until then; 0 = never
}

// Times of a gauge.
const (
	usualFades = 600 * Second // capacity that has gone for good is forgotten so slowly
	lateFades  = 2 * Second
	fewest     = 5.0 // searches without which lateness says nothing
	// unproven is how long after its time out a server counts as gone: a dead one that is tried again every so often has not
	// come back. But not until it has proved sound: where little is asked, as at a level, it may not be tried at all.
	unproven = 3 * Second
)

// NewGauge makes one for a layout.
func NewGauge(cells, reach, queryTypes int) *Gauge {
	return &Gauge{reach: reach, usual: make([]float64, cells+1), cells: make([]float64, cells), late: make([]lateness, queryTypes)}
}

// Ended takes in how a search ended: whether it was answered, after how long, and by when it should have been (0 = any time).
func (g *Gauge) Ended(queryType int, answered bool, took, target Time) {
	c := &g.late[queryType]
	c.all++
	if !answered || target > 0 && took > target {
		c.bad++
	}
}

// List takes in whether the list service answered.
func (g *Gauge) List(now Time, well bool) {
	if well {
		g.silentAt = 0
	} else if g.silentAt == 0 {
		g.silentAt = max(now, 1)
	}
}

// Read makes the signals of the whole. Load and store come from where they are known.
func (g *Gauge) Read(now Time, servers []Seen, load float64, store Reading) (r Readings) {
	since := max(now-g.readAt, 0)
	if g.readAt == 0 {
		since = 0
	}
	g.readAt = now
	clear(g.cells)
	ready, cold := 0.0, 0.0
	for _, s := range servers {
		if !s.Ready || s.OutUntil > 0 && now < s.OutUntil+unproven {
			continue
		}
		ready++
		if s.Cell >= 0 && s.Cell < len(g.cells) {
			g.cells[s.Cell]++
		}
		if s.Cold {
			cold++
		}
	}
	fade, all := math.Exp(-float64(since)/float64(usualFades)), len(g.cells)
	for i, n := range g.cells {
		g.usual[i] = max(g.usual[i]*fade, n)
	}
	g.usual[all] = max(g.usual[all]*fade, ready)
	if g.usual[all] > 0 {
		r[Lost] = Reading{1 - ready/g.usual[all], true}
	}
	if ready > 0 {
		r[Cold] = Reading{cold / ready, true}
	}
	worst, keep := 0.0, math.Exp(-float64(since)/float64(lateFades))
	for i := range g.late {
		c := &g.late[i]
		if c.bad, c.all = c.bad*keep, c.all*keep; c.all >= fewest {
			worst = max(worst, c.bad/c.all)
		}
	}
	r[Load], r[Late], r[ListAge], r[Store] = Reading{load, true}, Reading{worst, true}, Reading{0, true}, store
	if g.silentAt > 0 {
		r[ListAge].Value = float64(now-g.silentAt) / float64(Second)
	}
	return r
}

// Segment makes the signal of one segment, as of the last Read.
func (g *Gauge) Segment(shard int) (r Readings) {
	usual, there := 0.0, 0.0
	for j := range g.reach {
		cell := (shard + j) % len(g.cells)
		usual, there = usual+g.usual[cell], there+g.cells[cell]
	}
	if usual > 0 {
		r[SegmentLost] = Reading{1 - there/usual, true}
	}
	return r
}
