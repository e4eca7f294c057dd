package outlier

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	repeatInterval   = time.Second  // interval at which an observation that still holds is sent again
	maxResponses     = 20           // upper limit of Observation.Responses; bounds the weight of one observer in the median
	smoothingSamples = 6            // number of responses over which the local ratio is smoothed
	maxBatch         = 64           // maximum number of observations that DrainOutbox returns
	maxOutbox        = 4 * maxBatch // capacity of the outbox; the oldest observations beyond it are dropped
)

// serverRecord holds a detector's state for one server.
type serverRecord struct {
	shard        Shard
	observations map[Observer]*Observation // latest of each observer; expired ones are removed by evidence
	status       Status
	backoff      time.Duration // delay from the next ejection to probation
	recoveredAt  time.Duration // when the server last responded after an ejection; 0 = never
	slowSince    time.Duration // start of the current slow period; 0 = not slow
	avoidance    time.Duration // duration of the next avoidance
	local        localStats
}

// localStats holds this gateway's own measurements of a server.
type localStats struct {
	lastObservation Observation   // most recent observation of this gateway
	reportedAt      time.Duration // when lastObservation was made
	responses       int           // number of responses in logRatio
	logRatio        float64       // smoothed natural logarithm of the server's time per unit of work relative to its peers
}

// Detector derives the status of all servers from the observations of one gateway and of its peers.
type Detector struct {
	self     Observer
	sequence uint32 // sequence number of this gateway's last observation
	servers  map[Instance]*serverRecord
	shards   map[Shard][]Instance       // servers of each shard, sorted
	outbox   []Observation              // observations to forward, oldest first
	active   map[Instance]*serverRecord // servers that have observations, or are not healthy with a factor of 1
	changed  []Instance                 // servers whose status changed since DrainChanged was called
	peers    int                        // number of other gateways
	impaired bool                       // this gateway itself has a fault
}

// NewDetector returns a detector without servers for the gateway self.
func NewDetector(self Observer) *Detector {
	return &Detector{self: self, servers: map[Instance]*serverRecord{}, shards: map[Shard][]Instance{}, active: map[Instance]*serverRecord{}}
}

// SetServers replaces the set of servers, each with its shard, and sets the number of other gateways. The state of servers that are
// not listed, or that changed shard, is discarded.
func (d *Detector) SetServers(servers map[Instance]Shard, peers int) {
	d.peers = peers
	for instance, server := range d.servers {
		if shard, listed := servers[instance]; !listed || shard != server.shard {
			delete(d.servers, instance)
			delete(d.active, instance)
		}
	}
	d.shards = map[Shard][]Instance{}
	for instance, shard := range servers {
		if d.servers[instance] == nil {
			d.servers[instance] = &serverRecord{shard: shard, status: Status{Factor: 1}, backoff: initialEjection, avoidance: initialAvoidance}
		}
		d.shards[shard] = append(d.shards[shard], instance)
	}
	for _, instances := range d.shards {
		slices.Sort(instances)
	}
}

// RecordSuccess records that a server responded to this gateway. unitTime is the server's time per unit of work and peerUnitTime that of
// its peers in the same unit, 0 if unknown. Only their ratio matters.
func (d *Detector) RecordSuccess(instance Instance, unitTime, peerUnitTime float64, now time.Duration) {
	server := d.servers[instance]
	if server == nil {
		return
	}
	local := &server.local
	if peerUnitTime > 0 && unitTime > 0 {
		local.responses++
		local.logRatio += (math.Log(unitTime/peerUnitTime) - local.logRatio) / float64(min(local.responses, smoothingSamples))
	}
	ratio := math.Exp(local.logRatio)
	previous := local.lastObservation.Kind
	sufficient := local.responses >= minSlowResponses
	repeat := now-local.reportedAt >= repeatInterval
	isSlow := sufficient && (ratio >= slowEnterRatio || previous == ObservedSlow && ratio >= slowExitRatio)
	switch {
	case previous >= ObservedUnresponsive || server.status.State >= Ejected:
		local.responses, local.logRatio = 0, 0
		d.report(server, instance, Observation{Kind: ObservedHealthy, Responses: 1}, now)
	case isSlow:
		if (previous != ObservedSlow || repeat) && server.status.State == Healthy {
			d.report(server, instance, Observation{Kind: ObservedSlow, Ratio: ratio, Responses: min(local.responses, maxResponses)}, now)
		}
	case previous == ObservedSlow || server.status.State == Avoided && sufficient && repeat:
		d.report(server, instance, Observation{Kind: ObservedHealthy, Ratio: ratio, Responses: min(local.responses, maxResponses)}, now)
	}
}

// RecordFailure records that a server did not respond to this gateway. The kind is [ObservedUnresponsive] or [ObservedRefused]. Failures
// are ignored while the gateway is impaired.
func (d *Detector) RecordFailure(instance Instance, kind Kind, now time.Duration) {
	server := d.servers[instance]
	if server == nil || d.impaired || server.status.State == Ejected {
		return
	}
	recent := server.local.lastObservation.Kind == kind && now-server.local.reportedAt < repeatInterval
	if recent && server.status.State != Probation {
		return
	}
	observation := Observation{Kind: kind, Responses: 1}
	if server.status.State >= Ejected {
		observation.Backoff = server.backoff
	}
	d.report(server, instance, observation, now)
}

// SetImpaired sets whether this gateway itself has a fault, such as a broken network connection. Failures that it observes are then no
// evidence against the servers.
func (d *Detector) SetImpaired(impaired bool) { d.impaired = impaired }

// report completes and records an observation made by this gateway.
func (d *Detector) report(server *serverRecord, instance Instance, observation Observation, now time.Duration) {
	d.sequence++
	observation.Server = instance
	observation.Observer = d.self
	observation.Sequence = d.sequence
	observation.ObservedAt = now
	server.local.lastObservation, server.local.reportedAt = observation, now
	d.apply(server, observation, now)
}

// Receive records an observation made by another gateway. It reports whether the observation was recorded: those of unknown servers, of
// this gateway, expired ones and those that are not newer than the observer's last one are ignored.
func (d *Detector) Receive(observation Observation, now time.Duration) bool {
	server := d.servers[observation.Server]
	if server == nil || observation.Observer == d.self || now-observation.ObservedAt >= observationTTL {
		return false
	}
	if previous := server.observations[observation.Observer]; previous != nil && previous.Sequence >= observation.Sequence {
		return false
	}
	d.apply(server, observation, now)
	return true
}

// apply records an observation, updates the server's status, and queues the observation for forwarding if it is significant.
func (d *Detector) apply(server *serverRecord, observation Observation, now time.Duration) {
	if server.observations == nil {
		server.observations = map[Observer]*Observation{}
	}
	server.observations[observation.Observer] = &observation
	d.active[observation.Server] = server
	before := server.status.State
	d.evaluate(observation.Server, server, now)
	if observation.Hops < MaxHops && isSignificant(observation, before, server.status.State) {
		d.outbox = append(d.outbox, observation)
		d.outbox = slices.Delete(d.outbox, 0, max(len(d.outbox)-maxOutbox, 0)) // drops the oldest beyond the capacity
	}
}

// isSignificant reports whether an observation may change a server's status at other gateways. before and after are the server's states
// around its evaluation. Many gateways observe the same event at once, and an observation that changes nothing at this gateway changes
// nothing at the others.
func isSignificant(observation Observation, before, after State) bool {
	switch observation.Kind {
	case ObservedHealthy:
		if before >= Avoided {
			return true
		}
	case ObservedSlow, ObservedUnresponsive:
		if after == Healthy {
			return true
		}
	}
	return after != before || observation.Backoff > 0
}

// DrainOutbox removes up to maxBatch of the oldest observations from the outbox and returns them for sending to other gateways, with
// their hop count incremented.
func (d *Detector) DrainOutbox() []Observation {
	count := min(len(d.outbox), maxBatch)
	batch := slices.Clone(d.outbox[:count])
	d.outbox = slices.Delete(d.outbox, 0, count)
	for i := range batch {
		batch[i].Hops++
	}
	return batch
}

// Advance updates the status of all active servers to the time now: observations expire, probation and slow start begin and end.
func (d *Detector) Advance(now time.Duration) {
	for instance, server := range d.active {
		d.evaluate(instance, server, now)
		if len(server.observations) == 0 && server.status.State == Healthy && server.status.Factor == 1 {
			delete(d.active, instance)
		}
	}
}

// Pin fixes a server in a state regardless of observations. A nil state removes the pin. Unknown servers are ignored.
func (d *Detector) Pin(instance Instance, state *State, now time.Duration) {
	server := d.servers[instance]
	if server == nil {
		return
	}
	d.changed = append(d.changed, instance)
	d.active[instance] = server
	server.status.Pinned = state != nil
	if state == nil {
		server.setState(Healthy, 1, reasonUnpinned, now)
		return
	}
	factor := 1.0
	if *state == Avoided {
		factor = slowEnterRatio
	}
	server.setState(*state, factor, reasonPinned, now)
}

// Status returns the status of a server. An unknown server is healthy with a factor of 1.
func (d *Detector) Status(instance Instance) Status {
	if server := d.servers[instance]; server != nil {
		return server.status
	}
	return Status{Factor: 1}
}

// Observations returns the recorded observations of a server, sorted by observer.
func (d *Detector) Observations(instance Instance) (observations []Observation) {
	if server := d.servers[instance]; server != nil {
		for _, observation := range server.observations {
			observations = append(observations, *observation)
		}
	}
	slices.SortFunc(observations, func(a, b Observation) int { return cmp.Compare(a.Observer, b.Observer) })
	return observations
}

// DrainChanged returns the servers whose status changed since the last call. A server may be listed more than once.
func (d *Detector) DrainChanged() []Instance {
	changed := d.changed
	d.changed = nil
	return changed
}
