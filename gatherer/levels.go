package gatherer

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"strings"
	"time"

	"oxbowspan/balancer"
	"oxbowspan/degradation"
	"oxbowspan/internal/admin"
	"oxbowspan/internal/operatorconfig"
)

// levels is reduced service as the module's actor keeps it: it measures the signals, turns the machines, and asks the gate
// before brain is told of a search. It is the actor's alone.
type levels struct {
	m        *module
	f        degradation.Figures
	whole    *degradation.Machine
	segments []*degradation.Machine // by shard
	gate     *degradation.Gate
	turnAt   balancer.Time

	gauge        *degradation.Gauge
	served, shed [][]int64 // by query type and customer, since the start
	changes      []degradation.Change
	watchers     []chan<- []byte // emptied as they leave, or do not read
}

// Times of the levels' actor's part.
const (
	turnEvery   = 100 * balancer.Millisecond
	keptChanges = 50
)

func newLevels(m *module, o *operatorconfig.Levels) (*levels, error) {
	f, err := o.For(m.d.QueryTypes)
	if err != nil {
		return nil, err
	}
	l := &levels{m: m, gauge: degradation.NewGauge(m.d.Balancer.Cells, m.d.Balancer.ReplicationFactor, len(m.d.QueryTypes))}
	for range m.d.QueryTypes {
		l.served = append(l.served, make([]int64, len(m.d.Customers)+1))
		l.shed = append(l.shed, make([]int64, len(m.d.Customers)+1))
	}
	l.use(f)
	return l, nil
}

// use puts figures in force, at the start and at a reload.
func (l *levels) use(f degradation.Figures) {
	now := l.now()
	l.f = f
	if l.whole == nil {
		l.whole = degradation.New(f, now)
		l.segments = make([]*degradation.Machine, l.m.d.Balancer.Shards)
		for i := range l.segments {
			l.segments[i] = degradation.New(f, now)
		}
	} else {
		l.whole.Replace(f)
		for _, s := range l.segments {
			s.Replace(f)
		}
	}
	l.gate = degradation.NewGate(l.whole, len(l.m.d.QueryTypes), len(l.m.d.Customers))
	if l.m.limitMerges != nil {
		l.m.limitMerges(l.whole.Level().Terms.Merge)
	}
}

func (l *levels) now() degradation.Time {
	return degradation.Time(l.m.clock.now() / balancer.Millisecond)
}

// admits says whether the present level serves a search; if not it has been shed, before anything of it was sent.
func (l *levels) admits(s *search) bool {
	worst := degradation.Rank(0)
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
	advice := balancer.Time(0)
	if l.m.d.Balancer.MaxRetryAfter > 0 { // clients follow no longer advice than that
		advice = min(balancer.Time(after)*balancer.Millisecond, l.m.d.Balancer.MaxRetryAfter)
	}
	s.reply <- reply{kind: replyShed, retryAfter: advice}
	return false
}

// ended notes how a search that was served ended.
func (l *levels) ended(s *search, kind replyKind) {
	if s.cameFor > 0 {
		l.gauge.Ended(int(s.typ), kind == replyAnswer || kind == replyMerged, degradation.Time((l.m.clock.now()-s.cameFor)/balancer.Millisecond),
			degradation.Time(l.m.d.Balancer.QueryTypes[s.typ].LatencyTarget/balancer.Millisecond))
	}
}

// turn measures the signals and moves the machines on.
func (l *levels) turn() {
	l.turnAt = l.m.clock.now()
	now := l.now()
	l.whole.Feed(now, l.readings(now))
	if c, changed := l.whole.Turn(now); changed {
		l.gate.Changed(c)
		l.changed("all", c)
	}
	for shard, machine := range l.segments {
		if !l.f.GoesBy(degradation.SegmentLost) {
			break // at thousands of segments it would cost much for nothing
		}
		machine.Feed(now, l.gauge.Segment(shard))
		if c, changed := machine.Turn(now); changed {
			l.changed(fmt.Sprint("segment-", shard), c)
		}
	}
	l.tell()
}

// readings gathers what the gauge goes by.
func (l *levels) readings(now degradation.Time) degradation.Readings {
	out := map[balancer.ServerID]balancer.Time{}
	for _, k := range l.m.brain.ServerRecords() {
		out[k.ID] = k.OutUntil
	}
	var seen []degradation.Seen
	for _, s := range l.m.servers {
		if s.listed {
			seen = append(seen, degradation.Seen{Cell: s.cell, Ready: !s.draining, Cold: l.cold(s), OutUntil: degradation.Time(out[s.id] / balancer.Millisecond)})
		}
	}
	store := degradation.Reading{Known: l.m.remembers != nil}
	if store.Known && l.m.remembers.refused {
		store.Value = 1
	}
	return l.gauge.Read(now, seen, l.m.brain.Utilization(), store)
}

// cold tells whether a server has just started.
func (l *levels) cold(s *server) bool {
	f := l.m.d.Balancer
	return f.SlowStartDuration > 0 && s.since > 0 && l.m.clock.now()-s.since < f.SlowStartDuration
}

// changed logs a change, and puts what it says of merges in force.
func (l *levels) changed(scope string, c degradation.Change) {
	words := []any{"scope", scope, "from", l.f.Levels[min(int(c.From), len(l.f.Levels)-1)].Name, "to", l.f.Levels[c.To].Name, "why", c.Why}
	for s := range degradation.Signals {
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
	for sig := range degradation.Signals {
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
	learned := map[balancer.ServerID]balancer.ServerRecord{}
	for _, k := range l.m.brain.ServerRecords() {
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
			one.Millis = k.Took / k.Size / float64(balancer.Millisecond)
		}
		switch {
		case x.draining:
			one.State = "draining"
		case k.OutUntil > at:
			one.State = "out"
		case l.cold(x):
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
		at := slices.IndexFunc(l.f.Levels, func(x degradation.Level) bool { return x.Name == q.Level })
		switch {
		case at < 0:
			a.Error = fmt.Sprintf("there is no level %.40q", q.Level)
		case q.Seconds <= 0 || q.Seconds > admin.LongestPin.Seconds():
			a.Error = fmt.Sprintf("a pin is for 0 to %s", admin.LongestPin)
		default:
			l.whole.PinTo(degradation.Rank(at), l.now()+degradation.Time(q.Seconds*1000))
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
