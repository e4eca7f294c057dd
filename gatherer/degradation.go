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

// degradationState is reduced service as the module's actor keeps it: it measures the signals, turns the machines, and asks the gate
// before brain is told of a search. It is the actor's alone.
type degradationState struct {
	dispatcher  *dispatcher
	config      degradation.Figures
	machine     *degradation.Machine
	segments    []*degradation.Machine // by shard
	gate        *degradation.Gate
	evaluatedAt balancer.Time

	gauge        *degradation.Gauge
	served, shed [][]int64 // by query type and customer, since the start
	changes      []degradation.Change
	watchers     []chan<- []byte // emptied as they leave, or do not read
}

// Times of the levels' actor's part.
const (
	evaluationInterval = 100 * balancer.Millisecond
	maxChanges         = 50
)

func newDegradation(m *dispatcher, o *operatorconfig.Levels) (*degradationState, error) {
	f, err := o.For(m.deployment.QueryTypes)
	if err != nil {
		return nil, err
	}
	l := &degradationState{dispatcher: m, gauge: degradation.NewGauge(m.deployment.Balancer.Cells, m.deployment.Balancer.ReplicationFactor, len(m.deployment.QueryTypes))}
	for range m.deployment.QueryTypes {
		l.served = append(l.served, make([]int64, len(m.deployment.Customers)+1))
		l.shed = append(l.shed, make([]int64, len(m.deployment.Customers)+1))
	}
	l.applyConfig(f)
	return l, nil
}

// applyConfig puts figures in force, at the start and at a reload.
func (l *degradationState) applyConfig(f degradation.Figures) {
	now := l.now()
	l.config = f
	if l.machine == nil {
		l.machine = degradation.New(f, now)
		l.segments = make([]*degradation.Machine, l.dispatcher.deployment.Balancer.Shards)
		for i := range l.segments {
			l.segments[i] = degradation.New(f, now)
		}
	} else {
		l.machine.Replace(f)
		for _, s := range l.segments {
			s.Replace(f)
		}
	}
	l.gate = degradation.NewGate(l.machine, len(l.dispatcher.deployment.QueryTypes), len(l.dispatcher.deployment.Customers))
	if l.dispatcher.setMergeLimits != nil {
		l.dispatcher.setMergeLimits(l.machine.Level().Terms.Merge)
	}
}

func (l *degradationState) now() degradation.Time {
	return degradation.Time(l.dispatcher.clock.now() / balancer.Millisecond)
}

// admit says whether the present level serves a search; if not it has been shed, before anything of it was sent.
func (l *degradationState) admit(s *clientRequest) bool {
	worst := degradation.Rank(0)
	for _, a := range s.callSpecs {
		worst = max(worst, l.segments[a.shard].Rank())
	}
	customer := int(s.customer)
	if len(l.dispatcher.deployment.Customers) == 0 {
		customer = -1
	}
	ok, after := l.gate.Admit(l.now(), worst, int(s.queryType), customer)
	place := customer
	if customer < 0 || customer >= len(l.dispatcher.deployment.Customers) {
		place = len(l.dispatcher.deployment.Customers)
	}
	if ok {
		l.served[s.queryType][place]++
		s.admittedAt = l.dispatcher.clock.now()
		return true
	}
	l.shed[s.queryType][place]++
	s.finished = true
	advice := balancer.Time(0)
	if l.dispatcher.deployment.Balancer.MaxRetryAfter > 0 { // clients follow no longer advice than that
		advice = min(balancer.Time(after)*balancer.Millisecond, l.dispatcher.deployment.Balancer.MaxRetryAfter)
	}
	s.result <- result{kind: resultShed, retryAfter: advice}
	return false
}

// requestEnded notes how a search that was served ended.
func (l *degradationState) requestEnded(s *clientRequest, kind resultKind) {
	if s.admittedAt > 0 {
		l.gauge.Ended(int(s.queryType), kind == resultAnswer || kind == resultMerged, degradation.Time((l.dispatcher.clock.now()-s.admittedAt)/balancer.Millisecond),
			degradation.Time(l.dispatcher.deployment.Balancer.QueryTypes[s.queryType].LatencyTarget/balancer.Millisecond))
	}
}

// evaluate measures the signals and moves the machines on.
func (l *degradationState) evaluate() {
	l.evaluatedAt = l.dispatcher.clock.now()
	now := l.now()
	l.machine.Feed(now, l.readings(now))
	if c, changed := l.machine.Turn(now); changed {
		l.gate.Changed(c)
		l.logChange("all", c)
	}
	for shard, machine := range l.segments {
		if !l.config.GoesBy(degradation.SegmentLost) {
			break // at thousands of segments it would cost much for nothing
		}
		machine.Feed(now, l.gauge.Segment(shard))
		if c, changed := machine.Turn(now); changed {
			l.logChange(fmt.Sprint("segment-", shard), c)
		}
	}
	l.publishState()
}

// readings gathers what the gauge goes by.
func (l *degradationState) readings(now degradation.Time) degradation.Readings {
	out := map[balancer.ServerID]balancer.Time{}
	for _, k := range l.dispatcher.balancer.ServerRecords() {
		out[k.ID] = k.EjectedUntil
	}
	var seen []degradation.Seen
	for _, s := range l.dispatcher.servers {
		if s.listed {
			seen = append(seen, degradation.Seen{Cell: s.cell, Ready: !s.draining, Cold: l.isWarmingUp(s), OutUntil: degradation.Time(out[s.id] / balancer.Millisecond)})
		}
	}
	store := degradation.Reading{Known: l.dispatcher.persistence != nil}
	if store.Known && l.dispatcher.persistence.failing {
		store.Value = 1
	}
	return l.gauge.Read(now, seen, l.dispatcher.balancer.Utilization(), store)
}

// isWarmingUp tells whether a server has just started.
func (l *degradationState) isWarmingUp(s *server) bool {
	f := l.dispatcher.deployment.Balancer
	return f.SlowStartDuration > 0 && s.startedAt > 0 && l.dispatcher.clock.now()-s.startedAt < f.SlowStartDuration
}

// logChange logs a change, and puts what it says of merges in force.
func (l *degradationState) logChange(scope string, c degradation.Change) {
	words := []any{"scope", scope, "from", l.config.Levels[min(int(c.From), len(l.config.Levels)-1)].Name, "to", l.config.Levels[c.To].Name, "why", c.Why}
	for s := range degradation.Signals {
		if c.Readings[s].Known {
			words = append(words, s.String(), math.Round(c.Readings[s].Value*1000)/1000)
		}
	}
	slog.Warn("level", words...)
	if scope != "all" {
		return
	}
	if l.changes = append(l.changes, c); len(l.changes) > maxChanges {
		l.changes = slices.Delete(l.changes, 0, len(l.changes)-maxChanges)
	}
	if l.dispatcher.setMergeLimits != nil {
		l.dispatcher.setMergeLimits(l.config.Levels[c.To].Terms.Merge)
	}
}

// state is what operators see.
func (l *degradationState) state() admin.State {
	s := admin.State{At: time.Now(), Level: l.machine.Level().Name, Rank: int(l.machine.Rank()),
		For: (time.Duration(l.now()-l.machine.Since()) * time.Millisecond).Seconds(), Searches: len(l.dispatcher.requests)}
	for _, x := range l.config.Levels {
		s.Levels = append(s.Levels, x.Name)
	}
	if p, pinned := l.machine.Pinned(); pinned {
		s.Pinned = (time.Duration(p.Until-l.now()) * time.Millisecond).Seconds()
	}
	r := l.machine.Readings()
	for sig := range degradation.Signals {
		s.Signals = append(s.Signals, admin.Signal{Name: sig.String(), Value: r[sig].Value, Known: r[sig].Known})
	}
	for shard, m := range l.segments {
		if m.Rank() > 0 {
			s.Segments = append(s.Segments, admin.Segment{Segment: shard, Level: m.Level().Name})
		}
	}
	for t, name := range l.dispatcher.deployment.QueryTypes {
		x := admin.QueryType{Name: name, Share: l.gate.Share(l.now(), t)}
		for c := range l.served[t] {
			customer := "unknown"
			if c < len(l.dispatcher.deployment.Customers) {
				customer = l.dispatcher.deployment.Customers[c]
			}
			if l.served[t][c]+l.shed[t][c] > 0 {
				x.Customers = append(x.Customers, admin.Customer{Name: customer, Served: l.served[t][c], Shed: l.shed[t][c]})
			}
		}
		s.Types = append(s.Types, x)
	}
	learned := map[balancer.ServerID]balancer.ServerRecord{}
	for _, k := range l.dispatcher.balancer.ServerRecords() {
		learned[k.ID] = k
	}
	at := l.dispatcher.clock.now()
	for _, x := range l.dispatcher.servers {
		if !x.listed {
			continue
		}
		k := learned[x.id]
		one := admin.Server{Host: x.host, Zone: x.zone, Cell: x.cell, Out: x.inFlight, Failing: k.FailureRate, State: "ready"}
		if k.Work > 0 {
			one.Millis = k.Latency / k.Work / float64(balancer.Millisecond)
		}
		switch {
		case x.draining:
			one.State = "draining"
		case k.EjectedUntil > at:
			one.State = "out"
		case l.isWarmingUp(x):
			one.State = "cold"
		}
		s.Servers = append(s.Servers, one)
	}
	slices.SortFunc(s.Servers, func(a, b admin.Server) int { return strings.Compare(a.Zone+a.Host, b.Zone+b.Host) })
	for _, c := range l.changes {
		s.Changes = append(s.Changes, admin.Change{At: time.UnixMilli(int64(c.At)), From: l.config.Levels[min(int(c.From), len(l.config.Levels)-1)].Name,
			To: l.config.Levels[min(int(c.To), len(l.config.Levels)-1)].Name, Why: c.Why})
	}
	return s
}

// publishState gives the state to those who watch. Who does not read misses some, and is not waited for.
func (l *degradationState) publishState() {
	if len(l.watchers) == 0 || int64(l.evaluatedAt/evaluationInterval)%5 != 0 {
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

// handleQuestion answers operators, in the module's actor.
func (l *degradationState) handleQuestion(q admin.Question) {
	a := admin.Answer{}
	switch q.Verb {
	case admin.Show:
		s := l.state()
		a.State = &s
	case admin.Explain:
		a.Lines = append([]string{fmt.Sprintf("level %s for %.1f s", l.machine.Level().Name, float64(l.now()-l.machine.Since())/1000)}, l.machine.Explain()...)
		for shard, m := range l.segments {
			if m.Rank() > 0 {
				a.Lines = append(a.Lines, fmt.Sprintf("segment %d: level %s", shard, m.Level().Name))
			}
		}
	case admin.Pin:
		at := slices.IndexFunc(l.config.Levels, func(x degradation.Level) bool { return x.Name == q.Level })
		switch {
		case at < 0:
			a.Error = fmt.Sprintf("there is no level %.40q", q.Level)
		case q.Seconds <= 0 || q.Seconds > admin.LongestPin.Seconds():
			a.Error = fmt.Sprintf("a pin is for 0 to %s", admin.LongestPin)
		default:
			l.machine.PinTo(degradation.Rank(at), l.now()+degradation.Time(q.Seconds*1000))
			slog.Warn("level_pinned", "level", q.Level, "seconds", q.Seconds)
			a.Lines = []string{fmt.Sprintf("pinned to %s for %g s", q.Level, q.Seconds)}
		}
	case admin.Unpin:
		l.machine.Unpin()
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
