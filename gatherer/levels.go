package gatherer

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"strings"
	"time"

	"oxbowspan/brain"
	"oxbowspan/internal/admin"
	"oxbowspan/internal/operator"
	"oxbowspan/level"
)

// levels is reduced service as the module's actor keeps it: it measures the signals, turns the machines, and asks the gate
// before brain is told of a search. It is the actor's alone.
type levels struct {
	m        *module
	f        level.Figures
	whole    *level.Machine
	segments []*level.Machine // by shard
	gate     *level.Gate
	turnAt   brain.Time

	usual, cells []float64 // ready servers: of each cell usually, and now. usual[len(cells)] is of all
	late         []lateness
	listedAt     level.Time // since when the list service has not been heard; 0 = it was the last time
	served, shed [][]int64  // by query type and customer, since the start
	changes      []level.Change
	watchers     []chan<- []byte // emptied as they leave, or do not read
}

// lateness counts the searches of one query type, the older ones for less.
type lateness struct{ bad, all float64 }

// Times of the levels' actor's part.
const (
	turnEvery   = 100 * brain.Millisecond
	usualFades  = 10 * time.Minute // capacity that has gone for good is forgotten so slowly
	lateFades   = 2 * time.Second
	unproven    = 3000 * brain.Millisecond // a server that was out is taken to be there after so long without failing anew
	fewest      = 5.0                      // searches without which lateness says nothing
	keptChanges = 50
)

func newLevels(m *module, o *operator.Levels) (*levels, error) {
	f, err := o.For(m.d.QueryTypes)
	if err != nil {
		return nil, err
	}
	l := &levels{m: m, usual: make([]float64, m.d.Facts.Cells+1), cells: make([]float64, m.d.Facts.Cells)}
	l.late = make([]lateness, len(m.d.QueryTypes))
	for range m.d.QueryTypes {
		l.served = append(l.served, make([]int64, len(m.d.Customers)+1))
		l.shed = append(l.shed, make([]int64, len(m.d.Customers)+1))
	}
	l.use(f)
	return l, nil
}

// use puts figures in force, at the start and at a reload.
func (l *levels) use(f level.Figures) {
	now := l.now()
	l.f = f
	if l.whole == nil {
		l.whole = level.New(f, now)
		for range l.m.d.Facts.Shards {
			l.segments = append(l.segments, level.New(f, now))
		}
	} else {
		l.whole.Replace(f)
		for _, s := range l.segments {
			s.Replace(f)
		}
	}
	l.gate = level.NewGate(l.whole, len(l.m.d.QueryTypes), len(l.m.d.Customers))
	if l.m.limitMerges != nil {
		l.m.limitMerges(l.whole.Level().Terms.Merge)
	}
}

func (l *levels) now() level.Time { return level.Time(l.m.clock.now() / brain.Millisecond) }

// admits says whether the present level serves a search; if not it has been shed, before anything of it was sent.
func (l *levels) admits(s *search) bool {
	worst := level.Rank(0)
	for _, a := range s.asked {
		worst = max(worst, l.segments[a.shard].Rank())
	}
	customer := int(s.customer)
	if len(l.m.d.Customers) == 0 {
		customer = -1
	}
	ok, after := l.gate.Admit(l.now(), worst, int(s.typ), customer)
	place := customer
	if customer < 0 || customer >= len(l.m.d.Customers) {
		place = len(l.m.d.Customers)
	}
	if ok {
		l.served[s.typ][place]++
		s.cameFor = l.m.clock.now()
		return true
	}
	l.shed[s.typ][place]++
	s.over = true
	advice := brain.Time(0)
	if l.m.d.Facts.AdviseRetry > 0 { // clients follow no longer advice than that
		advice = min(brain.Time(after)*brain.Millisecond, l.m.d.Facts.AdviseRetry)
	}
	s.reply <- reply{kind: replyShed, retryAfter: advice}
	return false
}

// ended notes how a search that was served ended.
func (l *levels) ended(s *search, kind replyKind) {
	if s.cameFor == 0 {
		return
	}
	c := &l.late[s.typ]
	c.all++
	target := l.m.d.Facts.QueryTypes[s.typ].LatencyTarget
	if kind == replyFail || kind == replyShed || target > 0 && l.m.clock.now()-s.cameFor > target {
		c.bad++
	}
}

// heard notes news of the list service, or that it does not answer.
func (l *levels) heard(well bool) {
	if well {
		l.listedAt = 0
	} else if l.listedAt == 0 {
		l.listedAt = l.now()
	}
}

// turn measures the signals and moves the machines on.
func (l *levels) turn() {
	at := l.m.clock.now()
	since := time.Duration(turnEvery) * tick
	if l.turnAt > 0 {
		since = duration(at - l.turnAt)
	}
	l.turnAt = at
	r := l.readings(at, since)
	now := l.now()
	l.whole.Feed(now, r)
	if c, changed := l.whole.Turn(now); changed {
		l.gate.Changed(c)
		l.changed("all", c)
	}
	for shard, machine := range l.segments {
		machine.Feed(now, l.segment(shard))
		if c, changed := machine.Turn(now); changed {
			l.changed(fmt.Sprint("segment-", shard), c)
		}
	}
	l.tell()
}

// readings measures the signals of the whole.
func (l *levels) readings(at brain.Time, since time.Duration) (r level.Readings) {
	out := map[brain.ServerID]bool{}
	for _, k := range l.m.brain.Learned() {
		// Also for a while after: a dead server that brain tries again every so often has not come back. But not until it has
		// proved sound: where little is asked, as at a level, brain may not try it at all.
		out[k.ID] = k.OutUntil > 0 && k.OutUntil+unproven > at
	}
	clear(l.cells)
	ready, cold := 0.0, 0.0
	for _, s := range l.m.servers {
		if !s.listed || s.draining || out[s.id] {
			continue
		}
		ready++
		if s.cell >= 0 && s.cell < len(l.cells) {
			l.cells[s.cell]++
		}
		if f := l.m.d.Facts; f.ColdFor > 0 && s.since > 0 && at-s.since < f.ColdFor {
			cold++
		}
	}
	fade := math.Exp(-float64(since) / float64(usualFades))
	all := len(l.cells)
	for i, n := range l.cells {
		l.usual[i] = max(l.usual[i]*fade, n)
	}
	l.usual[all] = max(l.usual[all]*fade, ready)
	if l.usual[all] > 0 {
		r[level.Lost] = level.Reading{Value: 1 - ready/l.usual[all], Known: true}
	}
	if ready > 0 {
		r[level.Cold] = level.Reading{Value: cold / ready, Known: true}
	}
	r[level.Load] = level.Reading{Value: l.m.brain.Load(), Known: true}
	worst, keep := 0.0, math.Exp(-float64(since)/float64(lateFades))
	for i := range l.late {
		c := &l.late[i]
		if c.bad, c.all = c.bad*keep, c.all*keep; c.all >= fewest {
			worst = max(worst, c.bad/c.all)
		}
	}
	r[level.Late] = level.Reading{Value: worst, Known: true}
	r[level.ListAge] = level.Reading{Known: true}
	if l.listedAt > 0 {
		r[level.ListAge].Value = float64(l.now()-l.listedAt) / 1000
	}
	r[level.Store] = level.Reading{Known: l.m.remembers != nil}
	if l.m.remembers != nil && l.m.remembers.refused {
		r[level.Store].Value = 1
	}
	return r
}

// segment measures the signal of one segment.
func (l *levels) segment(shard int) (r level.Readings) {
	usual, there := 0.0, 0.0
	for j := range l.m.d.Facts.Reach {
		cell := (shard + j) % len(l.cells)
		usual, there = usual+l.usual[cell], there+l.cells[cell]
	}
	if usual > 0 {
		r[level.SegmentLost] = level.Reading{Value: 1 - there/usual, Known: true}
	}
	return r
}

// changed logs a change, and puts what it says of merges in force.
func (l *levels) changed(scope string, c level.Change) {
	words := []any{"scope", scope, "from", l.f.Levels[min(int(c.From), len(l.f.Levels)-1)].Name, "to", l.f.Levels[c.To].Name, "why", c.Why}
	for s := range level.Signals {
		if c.Readings[s].Known {
			words = append(words, s.String(), math.Round(c.Readings[s].Value*1000)/1000)
		}
	}
	slog.Warn("level", words...)
	if scope != "all" {
		return
	}
	if l.changes = append(l.changes, c); len(l.changes) > keptChanges {
		l.changes = slices.Delete(l.changes, 0, len(l.changes)-keptChanges)
	}
	if l.m.limitMerges != nil {
		l.m.limitMerges(l.f.Levels[c.To].Terms.Merge)
	}
}

// state is what operators see.
func (l *levels) state() admin.State {
	s := admin.State{At: time.Now(), Level: l.whole.Level().Name, Rank: int(l.whole.Rank()),
		For: (time.Duration(l.now()-l.whole.Since()) * time.Millisecond).Seconds(), Searches: len(l.m.searches)}
	for _, x := range l.f.Levels {
		s.Levels = append(s.Levels, x.Name)
	}
	if p, pinned := l.whole.Pinned(); pinned {
		s.Pinned = (time.Duration(p.Until-l.now()) * time.Millisecond).Seconds()
	}
	r := l.whole.Readings()
	for sig := range level.Signals {
		s.Signals = append(s.Signals, admin.Signal{Name: sig.String(), Value: r[sig].Value, Known: r[sig].Known})
	}
	for shard, m := range l.segments {
		if m.Rank() > 0 {
			s.Segments = append(s.Segments, admin.Segment{Segment: shard, Level: m.Level().Name})
		}
	}
	for t, name := range l.m.d.QueryTypes {
		x := admin.QueryType{Name: name, Share: l.gate.Share(l.now(), t)}
		for c := range l.served[t] {
			customer := "unknown"
			if c < len(l.m.d.Customers) {
				customer = l.m.d.Customers[c]
			}
			if l.served[t][c]+l.shed[t][c] > 0 {
				x.Customers = append(x.Customers, admin.Customer{Name: customer, Served: l.served[t][c], Shed: l.shed[t][c]})
			}
		}
		s.Types = append(s.Types, x)
	}
	learned := map[brain.ServerID]brain.Learned{}
	for _, k := range l.m.brain.Learned() {
		learned[k.ID] = k
	}
	at := l.m.clock.now()
	for _, x := range l.m.servers {
		if !x.listed {
			continue
		}
		k := learned[x.id]
		one := admin.Server{Host: x.host, Zone: x.zone, Cell: x.cell, Out: x.out, Failing: k.Failing, State: "ready"}
		if k.Size > 0 {
			one.Millis = k.Took / k.Size / float64(brain.Millisecond)
		}
		switch {
		case x.draining:
			one.State = "draining"
		case k.OutUntil > at:
			one.State = "out"
		case l.m.d.Facts.ColdFor > 0 && x.since > 0 && at-x.since < l.m.d.Facts.ColdFor:
			one.State = "cold"
		}
		s.Servers = append(s.Servers, one)
	}
	slices.SortFunc(s.Servers, func(a, b admin.Server) int { return strings.Compare(a.Zone+a.Host, b.Zone+b.Host) })
	for _, c := range l.changes {
		s.Changes = append(s.Changes, admin.Change{At: time.UnixMilli(int64(c.At)), From: l.f.Levels[min(int(c.From), len(l.f.Levels)-1)].Name,
			To: l.f.Levels[min(int(c.To), len(l.f.Levels)-1)].Name, Why: c.Why})
	}
	return s
}

// tell gives the state to those who watch. Who does not read misses some, and is not waited for.
func (l *levels) tell() {
	if len(l.watchers) == 0 || int64(l.turnAt/turnEvery)%5 != 0 {
		return
	}
	b, err := json.Marshal(l.state())
	if err != nil {
		return
	}
	for _, w := range l.watchers {
		select {
		case w <- b:
		default:
		}
	}
}

// asked answers operators, in the module's actor.
func (l *levels) asked(q admin.Question) {
	a := admin.Answer{}
	switch q.Verb {
	case admin.Show:
		s := l.state()
		a.State = &s
	case admin.Explain:
		a.Lines = append([]string{fmt.Sprintf("level %s for %.1f s", l.whole.Level().Name, float64(l.now()-l.whole.Since())/1000)}, l.whole.Explain()...)
		for shard, m := range l.segments {
			if m.Rank() > 0 {
				a.Lines = append(a.Lines, fmt.Sprintf("segment %d: level %s", shard, m.Level().Name))
			}
		}
	case admin.Pin:
		at := slices.IndexFunc(l.f.Levels, func(x level.Level) bool { return x.Name == q.Level })
		switch {
		case at < 0:
			a.Error = fmt.Sprintf("there is no level %.40q", q.Level)
		case q.Seconds <= 0 || q.Seconds > admin.LongestPin.Seconds():
			a.Error = fmt.Sprintf("a pin is for 0 to %s", admin.LongestPin)
		default:
			l.whole.PinTo(level.Rank(at), l.now()+level.Time(q.Seconds*1000))
			slog.Warn("level_pinned", "level", q.Level, "seconds", q.Seconds)
			a.Lines = []string{fmt.Sprintf("pinned to %s for %g s", q.Level, q.Seconds)}
		}
	case admin.Unpin:
		l.whole.Unpin()
		slog.Warn("level_unpinned")
		a.Lines = []string{"the signals decide again"}
	case admin.Watch:
		l.watchers = append(l.watchers, q.Stream)
	case admin.Leave:
		l.watchers = slices.DeleteFunc(l.watchers, func(w chan<- []byte) bool { return w == q.Stream })
	}
	if q.Reply != nil {
		q.Reply <- a
	}
}
