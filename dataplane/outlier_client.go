package dataplane

import (
	"errors"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"oxbowspan/balancer"
	"oxbowspan/outlier"
	"oxbowspan/rendezvous"
	"oxbowspan/rpc"
)

// Timing and bounds of outlier detection.
const (
	urgentDelay          = 40 * time.Millisecond // after a change of state, until the next report to peers
	minUrgentInterval    = 80 * time.Millisecond // between the last report to peers and an expedited one
	maxUnresponsive      = 2                     // more unresponsive servers than this may mean that the gateway itself is impaired
	maxShownObservations = 8                     // per server, in the statistics for operators
	maxReportedRatio     = 1e6                   // so that a ratio in thousandths fits into 32 bits
)

// latencyModel is the balancer's latency model of the servers.
type latencyModel interface {
	CompareLatency(id balancer.ServerID) (unit, peers float64)
	Unresponsive(id balancer.ServerID) bool
}

// outlierLoop is the part of the loop that outlier detection uses.
type outlierLoop interface {
	clock
	// expedite moves the next periodic work, and with it the next report to peers, to the given time if that is earlier.
	expedite(at balancer.Time)
}

// outlierClient detects outliers among the servers together with the other gateways, by the rules of package outlier. It records the
// observations of this gateway, exchanges observations with peers, and passes the resulting verdicts to the balancer. It is owned by the
// loop.
type outlierClient struct {
	process   *process
	loop      outlierLoop
	members   *membership
	endpoints *endpointTable
	latency   latencyModel
	balancer  eventSink

	detector *outlier.Detector
	reported map[balancer.ServerID]balancer.OutlierVerdict // verdicts last passed to the balancer; servers without an entry are healthy
	sentAt   balancer.Time                                 // when observations were last sent to peers
	pins     pinSet
}

func newOutlierClient(p *process, loop outlierLoop, members *membership, endpoints *endpointTable, latency latencyModel) *outlierClient {
	return &outlierClient{
		process:   p,
		loop:      loop,
		members:   members,
		endpoints: endpoints,
		latency:   latency,
		detector:  outlier.NewDetector(outlier.Observer(p.incarnation)),
		reported:  map[balancer.ServerID]balancer.OutlierVerdict{},
	}
}

// disabled reports whether detection together with other gateways is disabled: the balancer then uses only its own measurements.
func (o *outlierClient) disabled() bool { return o.process.settings.LocalDetectionOnly }

// status returns a server's outlier status.
func (o *outlierClient) status(e *endpoint) outlier.Status {
	return o.detector.Status(outlier.Instance(e.instance))
}

// syncServers updates the detector's list of servers and its number of other gateways.
func (o *outlierClient) syncServers() {
	servers := map[outlier.Instance]outlier.Shard{}
	for instance, e := range o.endpoints.byInstance {
		if e.selectable {
			servers[outlier.Instance(instance)] = outlier.Shard(e.service)
		}
	}
	o.detector.SetServers(servers, o.members.size()-1)
}

// removeServer deletes the state of a server that was removed.
func (o *outlierClient) removeServer(e *endpoint) { delete(o.reported, e.id) }

// recordSuccess records that a server responded, with its latency compared to other servers.
func (o *outlierClient) recordSuccess(e *endpoint) {
	if o.disabled() {
		return
	}
	now := duration(o.loop.now())
	before := o.status(e).State
	unitTime, peerUnitTime := o.latency.CompareLatency(e.id)
	o.detector.RecordSuccess(outlier.Instance(e.instance), unitTime, peerUnitTime, now)
	o.stateChanged(e, before)
}

// recordConnectFailure records that a connection to a server was refused, which shows that no process listens there. Other errors are
// ignored, as they may be faults of the network.
func (o *outlierClient) recordConnectFailure(e *endpoint, err error) {
	if o.disabled() || !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	now := duration(o.loop.now())
	before := o.status(e).State
	o.detector.RecordFailure(outlier.Instance(e.instance), outlier.ObservedRefused, now)
	o.stateChanged(e, before)
}

// stateChanged updates the balancer at once and expedites the next report to peers if a server's state differs from before.
func (o *outlierClient) stateChanged(e *endpoint, before outlier.State) {
	if o.status(e).State != before {
		o.expediteReport(o.loop.now())
		o.updateBalancer(o.loop.now())
	}
}

// expediteReport schedules the next report to peers in urgentDelay, but no sooner than minUrgentInterval after the last one.
func (o *outlierClient) expediteReport(now balancer.Time) {
	o.loop.expedite(max(now+ticks(urgentDelay), o.sentAt+ticks(minUrgentInterval)))
}

// evaluate records unresponsive servers, advances the detector to now, and passes changed verdicts to the balancer. If more than half of
// the servers with attempts in flight, and more than maxUnresponsive, are unresponsive, this gateway itself counts as impaired.
func (o *outlierClient) evaluate(now balancer.Time) {
	if o.disabled() {
		return
	}
	busy, unresponsive := 0, []*endpoint(nil)
	for _, e := range o.endpoints.byInstance {
		if e.load.inFlight == 0 {
			continue
		}
		busy++
		if o.latency.Unresponsive(e.id) {
			unresponsive = append(unresponsive, e)
		}
	}
	o.detector.SetImpaired(len(unresponsive) > maxUnresponsive && 2*len(unresponsive) > busy)
	for _, e := range unresponsive {
		o.detector.RecordFailure(outlier.Instance(e.instance), outlier.ObservedUnresponsive, duration(now))
	}
	o.detector.Advance(duration(now))
	o.enforcePins(now)
	o.updateBalancer(now)
}

// updateBalancer passes to the balancer the verdicts that differ from those passed before.
func (o *outlierClient) updateBalancer(now balancer.Time) {
	var verdicts []balancer.OutlierVerdict
	for _, instance := range o.changedServers() {
		e := o.endpoints.byInstance[string(instance)]
		if e == nil {
			continue
		}
		if verdict, changed := o.updateVerdict(e, now); changed {
			verdicts = append(verdicts, verdict)
		}
	}
	if len(verdicts) > 0 {
		o.balancer.handleEvent(balancer.PeerUpdate{Verdicts: verdicts})
	}
}

// changedServers returns the servers whose verdict may have changed: those whose status the detector changed, and all that are not healthy,
// as a change of membership may move the role of probing them.
func (o *outlierClient) changedServers() []outlier.Instance {
	changed := o.detector.DrainChanged()
	for id := range o.reported {
		if e := o.endpoints.byID[id]; e != nil {
			changed = append(changed, outlier.Instance(e.instance))
		}
	}
	return changed
}

// updateVerdict returns a server's verdict for the balancer. It reports false if the verdict has not changed.
func (o *outlierClient) updateVerdict(e *endpoint, now balancer.Time) (verdict balancer.OutlierVerdict, changed bool) {
	status := o.status(e)
	healthy := status.State == outlier.Healthy && status.Factor == 1
	previous, known := o.reported[e.id]
	if healthy && !known {
		return verdict, false
	}
	verdict = balancer.OutlierVerdict{
		ID:             e.id,
		SlowdownFactor: status.Factor,
		Ejected:        status.State == outlier.Ejected || status.State == outlier.Probation && !o.probes(e, now),
	}
	verdict.Recovered = known && previous.Ejected && status.State == outlier.Healthy
	if verdict == previous {
		return verdict, false
	}
	if healthy {
		delete(o.reported, e.id)
	} else {
		stored := verdict
		stored.Recovered = false // passed only once
		o.reported[e.id] = stored
	}
	o.logState(e, status, now)
	return verdict, true
}

// logState logs a server's state if it has changed since it was last logged: at info level at the gateway that probes the server, at debug
// level at all others.
func (o *outlierClient) logState(e *endpoint, status outlier.Status, now balancer.Time) {
	state := status.State.String()
	if e.loggedState == state {
		return
	}
	e.loggedState = state
	level := zerolog.DebugLevel
	if o.probes(e, now) {
		level = zerolog.InfoLevel
	}
	o.process.log.WithLevel(level).Str("instance", e.instance).Str("service", e.service).Str("state", state).Str("reason", status.Reason).
		Msg("outlier: server changed state")
}

// probes reports whether this gateway holds the role of sending a server on probation its first requests. The role is assigned to one
// gateway of the server's zone. All gateways hash the same name of the role, so it must not change.
func (o *outlierClient) probes(e *endpoint, now balancer.Time) bool {
	return o.members.holdsZoneRole(e.zone, rendezvous.Name("judgement "+e.instance), duration(now))
}

// drainObservations returns the observations to send to peers now. Each is returned once, even if there are no peers.
func (o *outlierClient) drainObservations(now balancer.Time) (observations []*rpc.Observation) {
	o.sentAt = now
	for _, observation := range o.detector.DrainOutbox() {
		observations = append(observations, &rpc.Observation{
			Instance:   string(observation.Server),
			Observer:   uint64(observation.Observer),
			Sequence:   observation.Sequence,
			Kind:       uint32(observation.Kind),
			RatioMilli: uint32(1000 * min(observation.Ratio, maxReportedRatio)),
			Responses:  uint32(observation.Responses),
			BackoffMs:  uint32(observation.Backoff / time.Millisecond),
			AgeMs:      ageMillis(observation.ObservedAt, now),
			Hops:       uint32(observation.Hops),
		})
	}
	return observations
}

// receiveObservations records the observations of a peer.
func (o *outlierClient) receiveObservations(observations []*rpc.Observation) {
	if o.disabled() {
		return
	}
	now, changed := o.loop.now(), false
	for _, message := range observations {
		if message.Kind > uint32(outlier.ObservedRefused) {
			continue // a kind that only later versions define
		}
		observation := decodeObservation(message, duration(now))
		before := o.detector.Status(observation.Server).State
		isNew := o.detector.Receive(observation, duration(now))
		changed = changed || isNew && o.detector.Status(observation.Server).State != before
	}
	if changed {
		o.expediteReport(now)
		o.updateBalancer(now)
	}
}

// decodeObservation returns the observation in a message that was received at now.
func decodeObservation(message *rpc.Observation, now time.Duration) outlier.Observation {
	return outlier.Observation{
		Server:     outlier.Instance(message.Instance),
		Observer:   outlier.Observer(message.Observer),
		Sequence:   message.Sequence,
		Kind:       outlier.Kind(message.Kind),
		Ratio:      float64(message.RatioMilli) / 1000,
		Responses:  int(message.Responses),
		Backoff:    time.Duration(message.BackoffMs) * time.Millisecond,
		ObservedAt: now - time.Duration(message.AgeMs)*time.Millisecond,
		Hops:       int(message.Hops),
	}
}

// verdicts returns the status of the servers that are not healthy, for operators.
func (o *outlierClient) verdicts(now balancer.Time) (verdicts []*rpc.OutlierVerdict) {
	for id := range o.reported {
		e := o.endpoints.byID[id]
		if e == nil {
			continue
		}
		status := o.status(e)
		verdicts = append(verdicts, &rpc.OutlierVerdict{
			Instance:     e.instance,
			Service:      e.service,
			State:        status.State.String(),
			Reason:       status.Reason,
			SinceMs:      ageMillis(status.Since, now),
			FactorMilli:  uint32(1000 * status.Factor),
			Pinned:       status.Pinned,
			Observations: o.shownObservations(e, now),
		})
	}
	return verdicts
}

// shownObservations returns up to maxShownObservations of the observations that determine a server's state, for operators.
func (o *outlierClient) shownObservations(e *endpoint, now balancer.Time) (shown []*rpc.Observation) {
	for _, observation := range o.detector.Observations(outlier.Instance(e.instance)) {
		if len(shown) == maxShownObservations {
			break
		}
		shown = append(shown, &rpc.Observation{
			Observer:   uint64(observation.Observer),
			Text:       observation.Kind.String(),
			RatioMilli: uint32(1000 * observation.Ratio),
			AgeMs:      ageMillis(observation.ObservedAt, now),
		})
	}
	return shown
}

// ageMillis returns the milliseconds from a point in time until now.
func ageMillis(at time.Duration, now balancer.Time) uint32 {
	return uint32((duration(now) - at) / time.Millisecond)
}
