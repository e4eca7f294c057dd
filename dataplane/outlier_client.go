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
	urgentDelay          = 40 * time.Millisecond // a change of state is sent to peers this soon,
	minUrgentInterval    = 80 * time.Millisecond // but not sooner after the last report
	minUnresponsive      = 2                     // more unresponsive servers than this may mean that the gateway itself is impaired
	maxShownObservations = 8                     // of one server, for operators
	maxReportedRatio     = 1e6                   // keeps thousandths of ratios within 32 bits
)

// latencyModel is what the balancer has learned of the servers.
type latencyModel interface {
	CompareLatency(id balancer.ServerID) (unit, peers float64)
	Unresponsive(id balancer.ServerID) bool
}

// outlierLoop is what outlier detection uses of the loop.
type outlierLoop interface {
	clock
	// expedite moves the next periodic work, and with it the next report to peers, forward to the given time.
	expedite(at balancer.Time)
}

// outlierClient detects outliers among the servers together with the other gateways (package outlier decides): it records what
// this gateway observes, exchanges observations with peers, and reports the resulting verdicts to the balancer. It is owned by the loop.
type outlierClient struct {
	process   *process
	loop      outlierLoop
	members   *membership
	endpoints *endpointTable
	latency   latencyModel
	balancer  eventSink

	detector *outlier.Detector
	reported map[balancer.ServerID]balancer.OutlierVerdict // the balancer's view; servers without an entry are healthy
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

// disabled reports whether this gateway balances by its own records alone.
func (o *outlierClient) disabled() bool { return o.process.settings.LocalDetectionOnly }

func (o *outlierClient) status(e *endpoint) outlier.Status {
	return o.detector.Status(outlier.Instance(e.instance))
}

// syncServers updates the detector's list of servers.
func (o *outlierClient) syncServers() {
	servers := map[outlier.Instance]outlier.Shard{}
	for instance, e := range o.endpoints.byInstance {
		if e.listed {
			servers[outlier.Instance(instance)] = outlier.Shard(e.service)
		}
	}
	o.detector.SetServers(servers, o.members.size()-1)
}

// removeServer forgets a server that is gone.
func (o *outlierClient) removeServer(e *endpoint) { delete(o.reported, e.id) }

// recordSuccess records that a server responded.
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

// recordConnectFailure records that no connection to a server could be made. Only a refused one shows that no process listens there.
func (o *outlierClient) recordConnectFailure(e *endpoint, err error) {
	if o.disabled() || !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	now := duration(o.loop.now())
	before := o.status(e).State
	o.detector.RecordFailure(outlier.Instance(e.instance), outlier.ObservedRefused, now)
	o.stateChanged(e, before)
}

// stateChanged informs peers and the balancer without delay if a server's state has changed from before.
func (o *outlierClient) stateChanged(e *endpoint, before outlier.State) {
	if o.status(e).State != before {
		o.expediteReport(o.loop.now())
		o.updateBalancer(o.loop.now())
	}
}

// expediteReport makes the next report to peers come soon.
func (o *outlierClient) expediteReport(now balancer.Time) {
	o.loop.expedite(max(now+ticks(urgentDelay), o.sentAt+ticks(minUrgentInterval)))
}

// evaluate records unresponsive servers, advances the detector to now, and reports to the balancer what changed.
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
	o.detector.SetImpaired(len(unresponsive) > minUnresponsive && 2*len(unresponsive) > busy)
	for _, e := range unresponsive {
		o.detector.RecordFailure(outlier.Instance(e.instance), outlier.ObservedUnresponsive, duration(now))
	}
	o.detector.Advance(duration(now))
	o.enforcePins(now)
	o.updateBalancer(now)
}

// updateBalancer reports to the balancer the verdicts that differ from those reported before.
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

// changedServers lists the servers whose verdict may have changed: by the detector, or, for those that are not healthy, because the
// role to probe them moved with the membership.
func (o *outlierClient) changedServers() []outlier.Instance {
	changed := o.detector.TakeChanged()
	for id := range o.reported {
		if e := o.endpoints.byID[id]; e != nil {
			changed = append(changed, outlier.Instance(e.instance))
		}
	}
	return changed
}

// updateVerdict returns a server's verdict for the balancer. It reports false where that is as before.
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
		kept := verdict
		kept.Recovered = false // reported once
		o.reported[e.id] = kept
	}
	o.logState(e, status, now)
	return verdict, true
}

// logState logs a server's state if it has changed since last logged: as information at the one gateway that probes the server,
// for debugging at all others.
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

// probes reports whether it is this gateway that sends a server on probation its first requests. One gateway of the server's zone
// has that role. The string is hashed by all gateways.
func (o *outlierClient) probes(e *endpoint, now balancer.Time) bool {
	return o.members.holdsZoneRole(e.zone, rendezvous.Name("judgement "+e.instance), duration(now))
}

// takeObservations returns the observations to send to peers now. Each is returned once, also when there are no peers.
func (o *outlierClient) takeObservations(now balancer.Time) (observations []*rpc.Observation) {
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

// receiveObservations takes the observations of a peer.
func (o *outlierClient) receiveObservations(observations []*rpc.Observation) {
	if o.disabled() {
		return
	}
	now, changed := o.loop.now(), false
	for _, message := range observations {
		if message.Kind > uint32(outlier.ObservedRefused) {
			continue // a kind of a later version
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

// verdicts returns the servers that are not simply healthy, for operators.
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

// shownObservations returns some observations from which a server's state follows, for operators.
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

// ageMillis returns the milliseconds from a moment until now.
func ageMillis(at time.Duration, now balancer.Time) uint32 {
	return uint32((duration(now) - at) / time.Millisecond)
}
