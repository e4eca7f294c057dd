package outlier

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	observationTTL = 3 * time.Second // age at which an observation expires

	// A server counts as slow from the enter ratio on, and then until its ratio falls below the exit ratio (hysteresis). Avoiding it requires
	// a minimum number of observers, and in large clusters a fraction of all gateways. Gateways that observe nothing unusual report nothing.
	slowEnterRatio      = 3.0
	slowExitRatio       = 1.5
	slowDwell           = 400 * time.Millisecond // how long a server must be slow before it is avoided
	minSlowResponses    = 3                      // responses that a gateway needs before it reports a server as slow
	minSlowObservers    = 3                      // minimum number of observers; all gateways if there are fewer
	slowObserverDivisor = 8                      // the minimum is at least the number of gateways divided by this
	initialAvoidance    = 4 * time.Second        // doubled each time, unless several observers find the server as fast as its peers
	maxAvoidance        = 16 * time.Second

	minUnresponsiveObservers = 2                      // minimum number of observers; all gateways if there are fewer
	initialEjection          = 500 * time.Millisecond // delay until probation; doubled after each failed probe
	maxEjection              = 4 * time.Second
	flapWindow               = 30 * time.Second // an ejection within this time after a recovery continues the previous backoff

	slowStartDuration = 2 * time.Second // how long a server is predicted to be slower after it returns to service
	slowStartFactor   = 3.0             // factor at the beginning of slow start
	slowStartSteps    = 4               // the factor is rounded up to a multiple of 1/slowStartSteps
)

// evaluate updates the status of a server and records whether it changed. Pinned servers are left as they are. The rules depend only on the
// observations and their times, except that the factor of an avoided server is scaled by the gateway's own measurements.
func (d *Detector) evaluate(instance Instance, server *serverRecord, now time.Duration) {
	if server.status.Pinned {
		return
	}
	previous := server.status
	d.updateStatus(server, now)
	if server.status.State != previous.State || server.status.Factor != previous.Factor {
		d.changed = append(d.changed, instance)
	}
}

// updateStatus applies the rules for the server's current state.
func (d *Detector) updateStatus(server *serverRecord, now time.Duration) {
	evidence := server.evidence(now)
	switch server.status.State {
	case Ejected, Probation:
		server.updateEjected(evidence, now)
		return
	}
	if reason := d.ejectionReason(server, evidence); reason != "" {
		server.eject(reason, evidence.failedAt, now)
		return
	}
	ratio, observers := medianRatio(evidence.ratios)
	if server.status.State == Avoided {
		fast := observers >= min(minSlowObservers, d.peers+1) && evidence.healthyAt > server.status.Since && ratio < slowExitRatio
		server.updateAvoided(fast, now)
		return
	}
	required := min(max(minSlowObservers, (d.peers+1)/slowObserverDivisor), d.peers+1)
	isSlow := observers >= required && ratio >= slowEnterRatio && d.canRemove(server.shard)
	server.updateHealthy(isSlow, ratio, now)
}

// evidence summarizes the unexpired observations of a server. Times are those of the newest observation of a kind; -1 = none.
type evidence struct {
	refusedAt    time.Duration
	failedAt     time.Duration // refused or unresponsive
	healthyAt    time.Duration
	unresponsive int           // number of observers that receive no responses
	responsive   int           // number of observers that receive responses
	backoff      time.Duration // longest backoff reported with a failed probe; 0 = no probe failed
	ratios       []Observation // observations with a measured ratio
}

// evidence removes expired observations and summarizes the others.
func (s *serverRecord) evidence(now time.Duration) evidence {
	e := evidence{refusedAt: -1, failedAt: -1, healthyAt: -1}
	for observer, observation := range s.observations {
		if now-observation.ObservedAt >= observationTTL {
			delete(s.observations, observer)
			continue
		}
		switch observation.Kind {
		case ObservedRefused:
			e.refusedAt = max(e.refusedAt, observation.ObservedAt)
			e.failedAt = max(e.failedAt, observation.ObservedAt)
			e.backoff = max(e.backoff, observation.Backoff)
		case ObservedUnresponsive:
			e.failedAt = max(e.failedAt, observation.ObservedAt)
			e.backoff = max(e.backoff, observation.Backoff)
			e.unresponsive++
		case ObservedSlow:
			e.ratios = append(e.ratios, *observation)
			e.responsive++
		case ObservedHealthy:
			e.healthyAt = max(e.healthyAt, observation.ObservedAt)
			e.responsive++
			if observation.Ratio > 0 {
				e.ratios = append(e.ratios, *observation)
			}
		}
	}
	return e
}

// ejectionReason returns the reason for which a server must be ejected, or "". A single refused connection suffices, as a server without
// a listener can't serve any gateway. A server that does not respond to one gateway may respond to others, so several observers must
// agree, and more than two thirds of those that observe the server.
func (d *Detector) ejectionReason(server *serverRecord, e evidence) string {
	if e.refusedAt >= 0 && e.refusedAt > e.healthyAt {
		return reasonRefused
	}
	sufficient := e.unresponsive >= min(minUnresponsiveObservers, d.peers+1) && e.unresponsive > 2*e.responsive
	if sufficient && e.failedAt > e.healthyAt && d.canRemove(server.shard) {
		return reasonUnresponsive
	}
	return ""
}

// canRemove reports whether one more server of a shard may be avoided or ejected. The remaining servers take over its load, so at least
// half of the shard's servers must stay in use. The limit does not apply to servers that refuse connections, as they can't serve any load.
func (d *Detector) canRemove(shard Shard) bool {
	healthy := 0
	for _, instance := range d.shards[shard] {
		if d.servers[instance].status.State == Healthy {
			healthy++
		}
	}
	return 2*(healthy-1) >= len(d.shards[shard])
}

// setState sets the state and the factor. The reason and the time of entry are updated only if the state changes.
func (s *serverRecord) setState(state State, factor float64, reason string, now time.Duration) {
	if s.status.State != state {
		s.status.Since, s.status.Reason = now, reason
	}
	s.status.State, s.status.Factor = state, factor
}

// eject ejects the server and doubles its backoff for the next time. The backoff runs from the newest failure, which is the same at all
// gateways that have the same observations.
func (s *serverRecord) eject(reason string, failedAt, now time.Duration) {
	if now-s.recoveredAt > flapWindow || s.recoveredAt == 0 {
		s.backoff = initialEjection
	}
	s.setState(Ejected, 1, reason, now)
	s.status.ProbationAt = max(failedAt, 0) + s.backoff
	s.backoff = min(2*s.backoff, maxEjection)
}

// updateEjected ends an ejection if the server responded or is no longer probed, extends it if a probe failed, and begins probation when
// the backoff has elapsed.
func (s *serverRecord) updateEjected(e evidence, now time.Duration) {
	responded := e.healthyAt > s.status.Since && e.healthyAt > e.failedAt
	probeFailed := e.backoff > 0 && e.failedAt > s.status.Since && e.failedAt+e.backoff > s.status.ProbationAt
	switch {
	case responded:
		s.recoveredAt, s.backoff = now, max(s.backoff, initialEjection)
		s.setState(Healthy, slowStartFactor, reasonRecovered, now)
	case probeFailed:
		s.backoff = min(2*e.backoff, maxEjection)
		s.status.ProbationAt = e.failedAt + e.backoff
		s.status.State = Ejected
	case e.failedAt < 0 && now-s.status.ProbationAt > observationTTL:
		// No gateway probes the server any more, so each gateway relies on its own measurements again.
		s.setState(Healthy, slowStartFactor, reasonUnobserved, now)
	case now >= s.status.ProbationAt && s.status.State == Ejected:
		s.status.State = Probation
	}
}

// updateAvoided returns a server to service if it is fast or its avoidance has elapsed. The avoidance doubles unless the server is fast.
func (s *serverRecord) updateAvoided(fast bool, now time.Duration) {
	if !fast && now-s.status.Since < s.avoidance {
		return
	}
	s.avoidance = min(2*s.avoidance, maxAvoidance)
	if fast {
		s.avoidance = initialAvoidance
	}
	clear(s.observations)
	s.setState(Healthy, slowStartFactor, reasonRetried, now)
}

// updateHealthy avoids a server that has been slow for slowDwell. Otherwise it advances slow start, whose factor depends only on the time of
// the last state change and is thus the same at all gateways.
func (s *serverRecord) updateHealthy(isSlow bool, ratio float64, now time.Duration) {
	switch {
	case !isSlow:
		s.slowSince = 0
	case s.slowSince == 0:
		s.slowSince = max(now, 1)
	case now-s.slowSince >= slowDwell:
		s.slowSince = 0
		clear(s.observations)
		s.setState(Avoided, max(ratio/max(s.local.ratio(), 1), 1), reasonSlow, now)
		return
	}
	s.status.Factor = 1
	remaining := 1 - float64(now-s.status.Since)/float64(slowStartDuration)
	if s.status.Since > 0 && remaining > 0 {
		s.status.Factor = 1 + math.Ceil((slowStartFactor-1)*remaining*slowStartSteps)/slowStartSteps
	}
}

// ratio returns the server's time relative to its peers as measured by this gateway, 1 if there are no measurements. The balancer's own
// prediction already includes this ratio, so callers divide by it to avoid counting it twice.
func (l *localStats) ratio() float64 {
	if l.responses == 0 {
		return 1
	}
	return math.Exp(l.logRatio)
}

// medianRatio returns the median of the observed ratios, weighted by the number of responses, and the number of observers. The median
// limits the effect of a single faulty observer. The ratio is at least 1, or 0 if there are no observers.
func medianRatio(observations []Observation) (ratio float64, observers int) {
	if len(observations) == 0 {
		return 0, 0
	}
	slices.SortFunc(observations, func(a, b Observation) int {
		return cmp.Or(cmp.Compare(a.Ratio, b.Ratio), cmp.Compare(a.Observer, b.Observer))
	})
	totalWeight := 0
	for _, observation := range observations {
		totalWeight += max(observation.Responses, 1)
	}
	weight := 0
	for _, observation := range observations {
		weight += max(observation.Responses, 1)
		if 2*weight >= totalWeight {
			return max(observation.Ratio, 1), len(observations)
		}
	}
	return 1, len(observations)
}
