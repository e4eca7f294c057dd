package gatherer

import (
	"fmt"
	"log/slog"
	"math"
	"slices"

	"oxbowspan/balancer"
	"oxbowspan/degradation"
	"oxbowspan/internal/admin"
	"oxbowspan/internal/operatorconfig"
)

const (
	// evaluationInterval is how often the signals are measured.
	evaluationInterval = 100 * balancer.Millisecond
	// publishEvery is the number of evaluations between two states that operators watch.
	publishEvery = 5
	// maxChanges is how many changes of level operators see.
	maxChanges = 50
)

// scopeAll is the scope of the level that is not of one segment.
const scopeAll = "all"

// degradationState is degraded service as the dispatcher runs it: it measures the signals, moves the levels, and admits
// or sheds requests before the balancer sees them. It belongs to the dispatcher's goroutine.
type degradationState struct {
	dispatcher  *dispatcher
	config      degradation.Config
	machine     *degradation.Machine
	segments    []*degradation.Machine // by shard
	gate        *degradation.Gate
	gauge       *degradation.Monitor
	evaluatedAt balancer.Time

	served, shed [][]int64 // by query type and customer; the last customer stands for unknown ones
	changes      []degradation.Change
	watchers     []chan<- []byte
}

func newDegradation(d *dispatcher, levels *operatorconfig.Levels) (*degradationState, error) {
	config, err := levels.ConfigFor(d.deployment.QueryTypes)
	if err != nil {
		return nil, err
	}
	types, customers := len(d.deployment.QueryTypes), len(d.deployment.Customers)
	s := &degradationState{
		dispatcher: d,
		gauge:      degradation.NewMonitor(d.deployment.Balancer.Cells, d.deployment.Balancer.ReplicationFactor, types),
	}
	for range types {
		s.served = append(s.served, make([]int64, customers+1))
		s.shed = append(s.shed, make([]int64, customers+1))
	}
	s.applyConfig(config)
	return s, nil
}

// applyConfig applies a configuration, at the start and on reload.
func (s *degradationState) applyConfig(config degradation.Config) {
	now, deployment := s.now(), s.dispatcher.deployment
	s.config = config
	if s.machine == nil {
		s.machine = degradation.New(config, now)
		s.segments = make([]*degradation.Machine, deployment.Balancer.Shards)
		for i := range s.segments {
			s.segments[i] = degradation.New(config, now)
		}
	} else {
		s.machine.Reconfigure(config)
		for _, segment := range s.segments {
			segment.Reconfigure(config)
		}
	}
	s.gate = degradation.NewGate(s.machine, len(deployment.QueryTypes), len(deployment.Customers))
	s.applyMergeLimits(s.machine.Level())
}

func (s *degradationState) applyMergeLimits(level degradation.Level) {
	if s.dispatcher.setMergeLimits != nil {
		s.dispatcher.setMergeLimits(level.Policy.MergeShare)
	}
}

func (s *degradationState) now() degradation.Time {
	return degradation.Time(s.dispatcher.clock.now() / balancer.Millisecond)
}

// admit reports whether the present level serves a request. If not the request is shed.
func (s *degradationState) admit(req *clientRequest) bool {
	worst := degradation.Rank(0)
	for _, spec := range req.callSpecs {
		worst = max(worst, s.segments[spec.shard].Rank())
	}
	customers := len(s.dispatcher.deployment.Customers)
	customer := int(req.customer)
	if customers == 0 {
		customer = -1
	}
	ok, retryAfter := s.gate.Admit(s.now(), worst, int(req.queryType), customer)
	counter := customer
	if customer < 0 || customer >= customers {
		counter = customers
	}
	if ok {
		s.served[req.queryType][counter]++
		req.admittedAt = s.dispatcher.clock.now()
		return true
	}
	s.shed[req.queryType][counter]++
	req.finished = true
	r := result{kind: resultShed}
	if maximum := s.dispatcher.deployment.Balancer.MaxRetryAfter; maximum > 0 {
		r.retryAfter = min(balancer.Time(retryAfter)*balancer.Millisecond, maximum)
	}
	req.result <- r
	return false
}

// requestEnded measures the result of an admitted request.
func (s *degradationState) requestEnded(req *clientRequest, kind resultKind) {
	if req.admittedAt == 0 {
		return
	}
	answered := kind == resultAnswer || kind == resultMerged
	latency := s.dispatcher.clock.now() - req.admittedAt
	target := s.dispatcher.deployment.Balancer.QueryTypes[req.queryType].LatencyTarget
	s.gauge.RecordRequest(int(req.queryType), answered, degradation.Time(latency/balancer.Millisecond),
		degradation.Time(target/balancer.Millisecond))
}

// evaluate measures the signals and moves the levels.
func (s *degradationState) evaluate() {
	s.evaluatedAt = s.dispatcher.clock.now()
	now := s.now()
	s.machine.Observe(now, s.readings(now))
	if change, changed := s.machine.Evaluate(now); changed {
		s.gate.HandleChange(change)
		s.logChange(scopeAll, change)
	}
	if s.config.UsesSignal(degradation.SegmentLostCapacity) { // costly with thousands of segments
		for shard, segment := range s.segments {
			segment.Observe(now, s.gauge.MeasureSegment(shard))
			if change, changed := segment.Evaluate(now); changed {
				s.logChange(fmt.Sprint("segment-", shard), change)
			}
		}
	}
	s.publishState()
}

// readings measures the signals.
func (s *degradationState) readings(now degradation.Time) degradation.Readings {
	ejectedUntil := map[balancer.ServerID]balancer.Time{}
	for _, record := range s.dispatcher.balancer.ServerRecords() {
		ejectedUntil[record.ID] = record.EjectedUntil
	}
	var seen []degradation.Server
	for _, server := range s.dispatcher.servers {
		if server.listed {
			seen = append(seen, degradation.Server{Cell: server.cell, Ready: !server.draining,
				WarmingUp: s.isWarmingUp(server), EjectedUntil: degradation.Time(ejectedUntil[server.id] / balancer.Millisecond)})
		}
	}
	store := degradation.Reading{Known: s.dispatcher.persistence != nil}
	if store.Known && s.dispatcher.persistence.failing {
		store.Value = 1
	}
	return s.gauge.Measure(now, seen, s.dispatcher.balancer.Utilization(), store)
}

// isWarmingUp reports whether a server was started recently.
func (s *degradationState) isWarmingUp(server *server) bool {
	slowStart := s.dispatcher.deployment.Balancer.SlowStartDuration
	return slowStart > 0 && server.startedAt > 0 && s.dispatcher.clock.now()-server.startedAt < slowStart
}

// levelName returns the name of a level. Its rank may be of a configuration with more levels.
func (s *degradationState) levelName(rank degradation.Rank) string {
	return s.config.Levels[min(int(rank), len(s.config.Levels)-1)].Name
}

// logChange logs a change of level and, if it is not of a segment, applies its limits of merges.
func (s *degradationState) logChange(scope string, change degradation.Change) {
	fields := []any{"scope", scope, "from", s.levelName(change.From), "to", s.levelName(change.To), "why", change.Reason}
	for signal := range degradation.NumSignals {
		if reading := change.Readings[signal]; reading.Known {
			fields = append(fields, signal.String(), math.Round(reading.Value*1000)/1000)
		}
	}
	slog.Warn("level", fields...)
	if scope != scopeAll {
		return
	}
	if s.changes = append(s.changes, change); len(s.changes) > maxChanges {
		s.changes = slices.Delete(s.changes, 0, len(s.changes)-maxChanges)
	}
	s.applyMergeLimits(s.config.Levels[change.To])
}

// handleRequest answers a request of the admin socket.
func (s *degradationState) handleRequest(request admin.Request) {
	response := admin.Response{}
	switch request.Verb {
	case admin.Show:
		state := s.state()
		response.State = &state
	case admin.Explain:
		response.Lines = s.explain()
	case admin.Pin:
		response = s.pin(request)
	case admin.Unpin:
		s.machine.Unpin()
		slog.Warn("level_unpinned")
		response.Lines = []string{"the signals decide again"}
	case admin.Watch:
		s.watchers = append(s.watchers, request.Stream)
	case admin.Unwatch:
		s.watchers = slices.DeleteFunc(s.watchers, func(w chan<- []byte) bool { return w == request.Stream })
	}
	if request.Reply != nil {
		request.Reply <- response
	}
}

// explain returns why the present levels apply, in lines for operators.
func (s *degradationState) explain() []string {
	seconds := float64(s.now()-s.machine.Since()) / 1000
	lines := append([]string{fmt.Sprintf("level %s for %.1f s", s.machine.Level().Name, seconds)}, s.machine.Explain()...)
	for shard, segment := range s.segments {
		if segment.Rank() > 0 {
			lines = append(lines, fmt.Sprintf("segment %d: level %s", shard, segment.Level().Name))
		}
	}
	return lines
}

// pin pins the level for a time.
func (s *degradationState) pin(request admin.Request) admin.Response {
	rank := slices.IndexFunc(s.config.Levels, func(l degradation.Level) bool { return l.Name == request.Level })
	switch {
	case rank < 0:
		return admin.Response{Error: fmt.Sprintf("there is no level %.40q", request.Level)}
	case request.Seconds <= 0 || request.Seconds > admin.MaxPinDuration.Seconds():
		return admin.Response{Error: fmt.Sprintf("a pin is for 0 to %s", admin.MaxPinDuration)}
	}
	s.machine.Pin(degradation.Rank(rank), s.now()+degradation.Time(request.Seconds*1000))
	slog.Warn("level_pinned", "level", request.Level, "seconds", request.Seconds)
	return admin.Response{Lines: []string{fmt.Sprintf("pinned to %s for %g s", request.Level, request.Seconds)}}
}
