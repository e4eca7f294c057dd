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
	// evaluationInterval is the interval at which the signals are measured.
	evaluationInterval = 100 * balancer.Millisecond
	// publishEvery is the number of evaluations per state that is published to watching operators.
	publishEvery = 5
	// maxChanges is the number of the most recent level changes that are kept for operators.
	maxChanges = 50
)

// scopeAll is the scope, in logs, of the level of the entire gatherer. Other scopes are single segments.
const scopeAll = "all"

// degradationState controls degraded service: it measures the signals, changes the degradation levels, and admits or
// sheds requests before they reach the balancer. It is accessed only by the dispatcher's goroutine.
type degradationState struct {
	dispatcher  *dispatcher
	config      degradation.Config
	machine     *degradation.Machine
	segments    []*degradation.Machine // by shard
	gate        *degradation.Gate
	monitor     *degradation.Monitor
	evaluatedAt balancer.Time

	served, shed [][]int64            // requests by query type and customer; the last index counts unknown customers
	changes      []degradation.Change // the most recent ones, at most maxChanges, oldest first
	watchers     []chan<- []byte      // of operators, for states encoded as JSON
}

// newDegradation returns the state of degradation for a dispatcher. It returns an error if the levels do not match the
// query types of the deployment.
func newDegradation(d *dispatcher, levels *operatorconfig.Levels) (*degradationState, error) {
	config, err := levels.ConfigFor(d.deployment.QueryTypes)
	if err != nil {
		return nil, err
	}
	types, customers := len(d.deployment.QueryTypes), len(d.deployment.Customers)
	s := &degradationState{
		dispatcher: d,
		monitor:    degradation.NewMonitor(d.deployment.Balancer.Cells, d.deployment.Balancer.ReplicationFactor, types),
	}
	for range types {
		s.served = append(s.served, make([]int64, customers+1))
		s.shed = append(s.shed, make([]int64, customers+1))
	}
	s.applyConfig(config)
	return s, nil
}

// applyConfig applies a configuration. It is called at the start and on reload.
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

// applyMergeLimits applies the share of the merge limits that a level allows.
func (s *degradationState) applyMergeLimits(level degradation.Level) {
	if s.dispatcher.setMergeLimits != nil {
		s.dispatcher.setMergeLimits(level.Policy.MergeShare)
	}
}

// now returns the dispatcher's clock time in milliseconds.
func (s *degradationState) now() degradation.Time {
	return degradation.Time(s.dispatcher.clock.now() / balancer.Millisecond)
}

// admit reports whether the current level, and those of the segments of its calls, allow a request to be served. If not,
// it sheds the request.
func (s *degradationState) admit(req *clientRequest) bool {
	segmentRank := degradation.Rank(0)
	for _, spec := range req.callSpecs {
		segmentRank = max(segmentRank, s.segments[spec.shard].Rank())
	}
	customers := len(s.dispatcher.deployment.Customers)
	customer := int(req.customer)
	if customers == 0 {
		customer = -1
	}
	admitted, retryAfter := s.gate.Admit(s.now(), segmentRank, int(req.queryType), customer)
	countIndex := customer
	if customer < 0 || customer >= customers {
		countIndex = customers
	}
	if admitted {
		s.served[req.queryType][countIndex]++
		req.admittedAt = s.dispatcher.clock.now()
		return true
	}
	s.shed[req.queryType][countIndex]++
	req.finished = true
	r := result{kind: resultShed}
	if maximum := s.dispatcher.deployment.Balancer.MaxRetryAfter; maximum > 0 {
		r.retryAfter = min(balancer.Time(retryAfter)*balancer.Millisecond, maximum)
	}
	req.result <- r
	return false
}

// requestEnded records the result and latency of a request that degradation has admitted, as input of the signals.
func (s *degradationState) requestEnded(req *clientRequest, kind resultKind) {
	if req.admittedAt == 0 {
		return
	}
	answered := kind == resultAnswer || kind == resultMerged
	latency := s.dispatcher.clock.now() - req.admittedAt
	target := s.dispatcher.deployment.Balancer.QueryTypes[req.queryType].LatencyTarget
	s.monitor.RecordRequest(int(req.queryType), answered, degradation.Time(latency/balancer.Millisecond),
		degradation.Time(target/balancer.Millisecond))
}

// evaluate measures the signals, changes the levels accordingly and publishes the state.
func (s *degradationState) evaluate() {
	s.evaluatedAt = s.dispatcher.clock.now()
	now := s.now()
	s.machine.Observe(now, s.measureSignals(now))
	if change, changed := s.machine.Evaluate(now); changed {
		s.gate.RecordChange(change)
		s.levelChanged(scopeAll, change)
	}
	if s.config.UsesSignal(degradation.SegmentLostCapacity) { // skipped otherwise, as it is costly with thousands of segments
		for shard, segment := range s.segments {
			segment.Observe(now, s.monitor.MeasureSegment(shard))
			if change, changed := segment.Evaluate(now); changed {
				s.levelChanged(fmt.Sprint("segment-", shard), change)
			}
		}
	}
	s.publishState()
}

// measureSignals measures the signals from the listed servers, the balancer's utilization and the state of the store.
func (s *degradationState) measureSignals(now degradation.Time) degradation.Readings {
	ejectedUntil := map[balancer.ServerID]balancer.Time{}
	for _, record := range s.dispatcher.balancer.ServerRecords() {
		ejectedUntil[record.ID] = record.EjectedUntil
	}
	var servers []degradation.Server
	for _, server := range s.dispatcher.servers {
		if server.listed {
			servers = append(servers, degradation.Server{Cell: server.cell, Ready: !server.draining,
				WarmingUp: s.isWarmingUp(server), EjectedUntil: degradation.Time(ejectedUntil[server.id] / balancer.Millisecond)})
		}
	}
	store := degradation.Reading{Known: s.dispatcher.persistence != nil}
	if store.Known && s.dispatcher.persistence.failing {
		store.Value = 1
	}
	return s.monitor.Measure(now, servers, s.dispatcher.balancer.Utilization(), store)
}

// isWarmingUp reports whether a server was started less than the slow start duration ago.
func (s *degradationState) isWarmingUp(server *server) bool {
	slowStart := s.dispatcher.deployment.Balancer.SlowStartDuration
	return slowStart > 0 && server.startedAt > 0 && s.dispatcher.clock.now()-server.startedAt < slowStart
}

// levelName returns the name of a level. The rank may stem from an earlier configuration with more levels: beyond the
// last level it returns the name of that one.
func (s *degradationState) levelName(rank degradation.Rank) string {
	return s.config.Levels[min(int(rank), len(s.config.Levels)-1)].Name
}

// levelChanged logs a change of level. Unless it is the level of a segment, the change is also kept for operators and the
// merge limits of the new level are applied.
func (s *degradationState) levelChanged(scope string, change degradation.Change) {
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

// handleRequest handles a request from the admin socket and sends the response if the request has a reply channel.
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

// explain returns lines for operators that explain why the current levels apply.
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

// pin pins the level for the requested number of seconds, at most admin.MaxPinDuration.
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
