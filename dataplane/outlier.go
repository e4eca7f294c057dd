package dataplane

import (
	"errors"
	"syscall"
	"time"

	"oxbowspan/balancer"
	"oxbowspan/config"
	"oxbowspan/outlier"
	"oxbowspan/rendezvous"
	"oxbowspan/rpc"
)

// One judgement of replicas (package scout decides): what this gatherer saw of servers goes to those that watch it, what they saw
// comes the same way, and the stance that follows goes to brain.

// Rhythm of words.
const (
	urgentDelay          = 40 * time.Millisecond // a server that is dead, or back, is told of so soon
	minUrgentInterval    = 80 * time.Millisecond // after the time before
	maxShownObservations = 8                     // words on a server, to operators
)

// outlierClient is what the owner keeps of it.
type outlierClient struct {
	detector *outlier.Detector
	reported map[balancer.ServerID]balancer.OutlierVerdict // what brain was told; emptied of servers that are in as they are
	sentAt   balancer.Time

	pinsVersion uint64                   // the version of the document of pins that is in force
	pins        map[string]outlier.State // by instance, as that says
	pinEnds     map[string]balancer.Time // of those that stand
}

// applyPins takes a document of pins. Each holds from now for as long as it says.
func (f *Gateway) applyPins(n *rpc.Document) {
	j := &f.outliers
	doc, err := config.ParsePins(n.Body)
	if err != nil {
		f.process.log.Error().Err(err).Uint64("version", n.Version).Msg("judgement: an agreed document of pins can't be read, the last one stays")
		return
	}
	j.pinsVersion = n.Version
	before := j.pins
	ends := j.pinEnds
	j.pins, j.pinEnds = map[string]outlier.State{}, map[string]balancer.Time{}
	for _, p := range doc.Pins {
		state := map[string]outlier.State{"in": outlier.Healthy, "avoided": outlier.Avoided, "out": outlier.Ejected}[p.State]
		j.pins[p.Instance], j.pinEnds[p.Instance] = state, f.loop.now()+ticks(time.Duration(p.DurationSeconds)*time.Second-time.Duration(n.AgeMs)*time.Millisecond)
		if was, stood := before[p.Instance]; stood && was == state && ends[p.Instance] > 0 {
			j.pinEnds[p.Instance] = min(ends[p.Instance], j.pinEnds[p.Instance]) // sent again it lasts no longer
		}
	}
	for i := range before {
		if _, stands := j.pins[i]; !stands {
			j.detector.Pin(outlier.Instance(i), nil, duration(f.loop.now()))
		}
	}
	f.process.log.Info().Uint64("version", n.Version).Int("pins", len(doc.Pins)).Msg("judgement: pins in force")
	f.enforcePins(f.loop.now())
}

// enforcePins holds what is pinned, and ends what is over.
func (f *Gateway) enforcePins(now balancer.Time) {
	j := &f.outliers
	for i, state := range j.pins {
		switch st := j.detector.Status(outlier.Instance(i)); {
		case now >= j.pinEnds[i]:
			delete(j.pins, i)
			delete(j.pinEnds, i)
			j.detector.Pin(outlier.Instance(i), nil, duration(now))
			f.process.log.Info().Str("instance", i).Msg("judgement: a pin has ended")
		case !st.Pinned || st.State != state:
			j.detector.Pin(outlier.Instance(i), &state, duration(now))
		}
	}
}

// verdicts are what operators are told of servers that are not simply in.
func (f *Gateway) verdicts(now balancer.Time) (out []*rpc.OutlierVerdict) {
	j := &f.outliers
	for id := range j.reported {
		s := f.endpointsByID[id]
		if s == nil {
			continue
		}
		st := j.detector.Status(outlier.Instance(s.instance))
		m := &rpc.OutlierVerdict{Instance: s.instance, Service: s.service, State: st.State.String(), Reason: st.Reason, SinceMs: uint32((duration(now) - st.Since) / time.Millisecond),
			FactorMilli: uint32(1000 * st.Factor), Pinned: st.Pinned}
		for _, w := range j.detector.Observations(outlier.Instance(s.instance)) {
			if len(m.Observations) < maxShownObservations {
				m.Observations = append(m.Observations, &rpc.Observation{Observer: uint64(w.Observer), Text: w.Kind.String(), RatioMilli: uint32(1000 * w.Ratio), AgeMs: uint32((duration(now) - w.ObservedAt) / time.Millisecond)})
			}
		}
		out = append(out, m)
	}
	return out
}

// recordOutcome notes how a sub-request ended.
func (f *Gateway) recordOutcome(s *endpoint, outcome balancer.Outcome, err error) {
	if f.process.settings.LocalDetectionOnly {
		return
	}
	now := duration(f.loop.now())
	was := f.outliers.detector.Status(outlier.Instance(s.instance)).State
	switch outcome {
	case balancer.Answered:
		unit, fellows := f.balancer.CompareLatency(s.id)
		f.outliers.detector.RecordSuccess(outlier.Instance(s.instance), unit, fellows, now)
	case balancer.ConnectFailed:
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		f.outliers.detector.RecordFailure(outlier.Instance(s.instance), outlier.ObservedRefused, now)
	default:
		return
	}
	if is := f.outliers.detector.Status(outlier.Instance(s.instance)).State; is != was {
		f.expediteExchange(f.loop.now())
		f.updateBalancer(f.loop.now())
	}
}

// expediteExchange has words told soon.
func (f *Gateway) expediteExchange(now balancer.Time) {
	f.loop.expedite(max(now+ticks(urgentDelay), f.outliers.sentAt+ticks(minUrgentInterval)))
}

// evaluateOutliers looks at servers that are silent, carries the judgement on and tells brain what changed.
func (f *Gateway) evaluateOutliers(now balancer.Time) {
	if f.process.settings.LocalDetectionOnly {
		return
	}
	j := &f.outliers
	asked, mute := 0, []*endpoint(nil)
	for _, s := range f.endpoints {
		if s.inFlight > 0 {
			if asked++; f.balancer.Unresponsive(s.id) {
				mute = append(mute, s)
			}
		}
	}
	j.detector.SetImpaired(len(mute) > 2 && 2*len(mute) > asked)
	for _, s := range mute {
		j.detector.RecordFailure(outlier.Instance(s.instance), outlier.ObservedUnresponsive, duration(now))
	}
	j.detector.Advance(duration(now))
	f.enforcePins(now)
	f.updateBalancer(now)
}

// updateBalancer tells brain the stances that are other than it was told.
func (f *Gateway) updateBalancer(now balancer.Time) {
	j := &f.outliers
	var all []balancer.OutlierVerdict
	changed := j.detector.TakeChanged()
	for id := range j.reported { // who tries one that is out follows from the fleet too
		if s := f.endpointsByID[id]; s != nil {
			changed = append(changed, outlier.Instance(s.instance))
		}
	}
	for _, i := range changed {
		s := f.endpoints[string(i)]
		st := j.detector.Status(i)
		if s == nil {
			continue
		}
		was, known := j.reported[s.id]
		if st.State == outlier.Healthy && st.Factor == 1 && !known {
			continue
		}
		is := balancer.OutlierVerdict{ID: s.id, SlowdownFactor: st.Factor, Ejected: st.State == outlier.Ejected || st.State == outlier.Probation && !f.ownsProbation(s, now)}
		is.Recovered = known && was.Ejected && st.State == outlier.Healthy
		if is == was {
			continue
		}
		if all = append(all, is); st.State == outlier.Healthy && st.Factor == 1 {
			delete(j.reported, s.id)
		} else {
			is.Recovered = false
			j.reported[s.id] = is
		}
		if stance := st.State.String(); s.loggedState != stance {
			line := f.process.log.Debug()
			if f.ownsProbation(s, now) { // one line in the whole fleet
				line = f.process.log.Info()
			}
			line.Str("instance", s.instance).Str("service", s.service).Str("stance", stance).Str("why", st.Reason).Msg("judgement: a server's stance")
			s.loggedState = stance
		}
	}
	if len(all) > 0 {
		f.handleEvent(balancer.PeerUpdate{Verdicts: all})
	}
}

// ownsProbation tells whether this gatherer is to try a server that is out: the holder of its duty among the gatherers of its zone.
func (f *Gateway) ownsProbation(s *endpoint, now balancer.Time) bool {
	return f.members.holdsZoneRole(s.zone, rendezvous.Name("judgement "+s.instance), duration(now))
}

// syncDetector tells the board which servers there are.
func (f *Gateway) syncDetector() {
	all := map[outlier.Instance]outlier.Shard{}
	for i, s := range f.endpoints {
		if s.listed {
			all[outlier.Instance(i)] = outlier.Shard(s.service)
		}
	}
	f.outliers.detector.SetServers(all, f.members.size()-1)
}

// outgoingObservations are what is to be told now.
func (f *Gateway) outgoingObservations(now balancer.Time) (out []*rpc.Observation) {
	for _, w := range f.outliers.detector.DrainOutbox() {
		out = append(out, &rpc.Observation{Instance: string(w.Server), Observer: uint64(w.Observer), Sequence: w.Sequence, Kind: uint32(w.Kind), RatioMilli: uint32(1000 * min(w.Ratio, 1e6)),
			Responses: uint32(w.Responses), BackoffMs: uint32(w.Backoff / time.Millisecond), AgeMs: uint32((duration(now) - w.ObservedAt) / time.Millisecond), Hops: uint32(w.Hops)})
	}
	return out
}

// receiveObservations takes the words of another gatherer.
func (f *Gateway) receiveObservations(all []*rpc.Observation) {
	if f.process.settings.LocalDetectionOnly {
		return
	}
	now, news := f.loop.now(), false
	for _, w := range all {
		if w.Kind > uint32(outlier.ObservedRefused) {
			continue // of a version to come
		}
		i := outlier.Instance(w.Instance)
		was := f.outliers.detector.Status(i).State
		took := f.outliers.detector.Receive(outlier.Observation{Server: i, Observer: outlier.Observer(w.Observer), Sequence: w.Sequence, Kind: outlier.Kind(w.Kind),
			Ratio: float64(w.RatioMilli) / 1000, Responses: int(w.Responses), Backoff: time.Duration(w.BackoffMs) * time.Millisecond,
			ObservedAt: duration(now) - time.Duration(w.AgeMs)*time.Millisecond, Hops: int(w.Hops)}, duration(now))
		news = news || took && f.outliers.detector.Status(i).State != was
	}
	if news {
		f.expediteExchange(now)
		f.updateBalancer(now)
	}
}
