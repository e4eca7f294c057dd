package outlier

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	observationTTL = 3 * time.Second

	// Slow servers are avoided from the enter ratio and, once that slow, until below the exit ratio. It takes some observers, and in large
	// clusters a portion of all gateways: those that see nothing unusual report nothing.
	slowEnterRatio      = 3.0
	slowExitRatio       = 1.5
	slowDwell           = 400 * time.Millisecond // how long a server must be slow
	minSlowResponses    = 3                      // in an observation
	minSlowObservers    = 3                      // or all, where there are fewer
	slowObserverDivisor = 8                      // one observer for each so many gateways
	initialAvoidance    = 4 * time.Second        // doubled each time, unless several observers find the server as fast as its peers
	maxAvoidance        = 16 * time.Second

	minUnresponsiveObservers = 2                      // or all, where there are fewer
	initialEjection          = 500 * time.Millisecond // until probation; doubled after each failed probe
	maxEjection              = 4 * time.Second
	flapWindow               = 30 * time.Second // within which another ejection continues the previous backoff

	slowStartDuration = 2 * time.Second // how long a server that is used again is predicted to be slower
	slowStartFactor   = 3.0             // at the beginning
	slowStartSteps    = 4               // of the factor, for each whole unit
)

// evaluate updates the status of a server. The rules depend on the observations and their times alone, except that a gateway's own record
// scales the factor of an avoided server.
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

// evidence is what the unexpired observations of a server say together. Times are of the newest; -1 = none.
type evidence struct {
	refusedAt    time.Duration
	failedAt     time.Duration // refused or unresponsive
	healthyAt    time.Duration
	unresponsive int           // observers that receive no responses
	responsive   int           // observers that do
	backoff      time.Duration // the longest of failed probes
	ratios       []Observation // those with a measured ratio
}

// evidence drops expired observations and summarizes the others.
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

// ejectionReason returns why a server is to be ejected; "" = it is not. One observer that is refused suffices: a server without a listener
// can't serve anyone. A server that does not respond may do so to others, so that this takes several observers.
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

// canRemove reports whether one more server of a shard may be avoided or ejected: the others take over its load, so at least half of the
// shard's servers stay. Servers that refuse connections take no load in any case, and are not subject to this.
func (d *Detector) canRemove(shard Shard) bool {
	healthy := 0
	for _, instance := range d.shards[shard] {
		if d.servers[instance].status.State == Healthy {
			healthy++
		}
	}
	return 2*(healthy-1) >= len(d.shards[shard])
}

func (s *serverRecord) setState(state State, factor float64, reason string, now time.Duration) {
	if s.status.State != state {
		s.status.Since, s.status.Reason = now, reason
	}
	s.status.State, s.status.Factor = state, factor
}

// eject counts the backoff from the newest failure, on which all gateways with the same observations agree.
func (s *serverRecord) eject(reason string, failedAt, now time.Duration) {
	if now-s.ejectedAt > flapWindow || s.ejectedAt == 0 {
		s.backoff = initialEjection
	}
	s.setState(Ejected, 1, reason, now)
	s.status.ProbationAt = max(failedAt, 0) + s.backoff
	s.backoff = min(2*s.backoff, maxEjection)
}

// updateEjected ends an ejection when the server responded, extends it when a probe failed, and begins probation when it is due.
func (s *serverRecord) updateEjected(e evidence, now time.Duration) {
	responded := e.healthyAt > s.status.Since && e.healthyAt > e.failedAt
	probeFailed := e.backoff > 0 && e.failedAt > s.status.Since && e.failedAt+e.backoff > s.status.ProbationAt
	switch {
	case responded:
		s.ejectedAt, s.backoff = now, max(s.backoff, initialEjection)
		s.setState(Healthy, slowStartFactor, reasonRecovered, now)
	case probeFailed:
		s.backoff = min(2*e.backoff, maxEjection)
		s.status.ProbationAt = e.failedAt + e.backoff
		s.status.State = Ejected
	case e.failedAt < 0 && now-s.status.ProbationAt > observationTTL:
		// No gateway probes the server any more: each gateway's own records decide again.
		s.setState(Healthy, slowStartFactor, reasonUnobserved, now)
	case now >= s.status.ProbationAt && s.status.State == Ejected:
		s.status.State = Probation
	}
}

// updateAvoided uses a server again that is fast or was avoided for long enough.
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

// updateHealthy avoids a server that has been slow for long enough. Otherwise it advances the slow start, which follows from the time of the
// last change and is thus the same at all gateways.
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

// ratio returns the slowness that this gateway measured itself. The balancer's record contains it already, so that it must not count twice.
func (l *localStats) ratio() float64 {
	if l.responses == 0 {
		return 1
	}
	return math.Exp(l.logRatio)
}

// medianRatio returns the median of what observers measured, weighted by their responses, and their number. By the median a single faulty
// observer has little effect. The ratio is at least 1; 0 = no observers.
func medianRatio(observations []Observation) (ratio float64, observers int) {
	if len(observations) == 0 {
		return 0, 0
	}
	slices.SortFunc(observations, func(a, b Observation) int {
		return cmp.Or(cmp.Compare(a.Ratio, b.Ratio), cmp.Compare(a.Observer, b.Observer))
	})
	total := 0
	for _, observation := range observations {
		total += max(observation.Responses, 1)
	}
	sum := 0
	for _, observation := range observations {
		sum += max(observation.Responses, 1)
		if 2*sum >= total {
			return max(observation.Ratio, 1), len(observations)
		}
	}
	return 1, len(observations)
}
