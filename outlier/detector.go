package outlier

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	repeatInterval   = time.Second // after which an observation that still holds is sent again
	maxResponses     = 20          // counted in an observation; bounds the weight of one observer
	smoothingSamples = 6           // responses over which the local ratio is smoothed
	maxBatch         = 64          // observations sent at once
	maxOutbox        = 4 * maxBatch
)

// serverRecord is what a detector knows of one server.
type serverRecord struct {
	shard        Shard
	observations map[Observer]*Observation // dropped as they expire
	status       Status
	backoff      time.Duration // until probation, the next time that it is ejected
	ejectedAt    time.Duration // last, or when it recovered from that
	slowSince    time.Duration // 0 = it is not slow
	avoidance    time.Duration // how long it is avoided the next time
	local        localStats
}

// localStats is what this gateway measured of a server.
type localStats struct {
	lastObservation Observation   // last sent
	reportedAt      time.Duration // when it was sent
	responses       int
	logRatio        float64 // smoothed logarithm of its time relative to its peers
}

// Detector holds one gateway's view of all servers.
type Detector struct {
	self     Observer
	sequence uint32 // of the last own observation
	servers  map[Instance]*serverRecord
	shards   map[Shard][]Instance       // sorted
	outbox   []Observation              // to forward
	active   map[Instance]*serverRecord // with observations, or not healthy at factor 1
	changed  []Instance                 // whose status changed
	peers    int                        // other gateways
	impaired bool                       // this gateway itself has a fault
}

// NewDetector returns a detector without servers, for a gateway.
func NewDetector(self Observer) *Detector {
	return &Detector{self: self, servers: map[Instance]*serverRecord{}, shards: map[Shard][]Instance{}, active: map[Instance]*serverRecord{}}
}

// SetServers sets all servers with their shards, and the number of other gateways. Servers that are not listed, or that changed shard,
// lose their state.
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

// RecordSuccess records that a server responded to this gateway, in a time per unit of work. peerUnitTime is that of its peers in
// the same unit, 0 = not known: only their ratio matters.
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

// RecordFailure records that a server did not respond to this gateway: the kind is [ObservedUnresponsive] or [ObservedRefused]. It is
// ignored while the gateway is impaired.
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

// SetImpaired sets whether this gateway itself has a fault, such as a broken network: its observations then say little about servers.
func (d *Detector) SetImpaired(impaired bool) { d.impaired = impaired }

// report records an observation of this gateway's own.
func (d *Detector) report(server *serverRecord, instance Instance, observation Observation, now time.Duration) {
	d.sequence++
	observation.Server = instance
	observation.Observer = d.self
	observation.Sequence = d.sequence
	observation.ObservedAt = now
	server.local.lastObservation, server.local.reportedAt = observation, now
	d.apply(server, observation, now)
}

// Receive records an observation of another gateway. It reports whether it was new.
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

// apply records an observation and queues it for forwarding if it is significant.
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
		d.outbox = slices.Delete(d.outbox, 0, max(len(d.outbox)-maxOutbox, 0)) // the oldest are dropped
	}
}

// isSignificant reports whether an observation may change a status at other gateways. Many observe the same at once, and an observation that
// changes nothing here changes nothing there.
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

// DrainOutbox returns the observations to send to other gateways, each once and a bounded number at a time.
func (d *Detector) DrainOutbox() []Observation {
	count := min(len(d.outbox), maxBatch)
	batch := slices.Clone(d.outbox[:count])
	d.outbox = slices.Delete(d.outbox, 0, count)
	for i := range batch {
		batch[i].Hops++
	}
	return batch
}

// Advance updates all statuses to a time: observations expire, probation and slow start begin and end.
func (d *Detector) Advance(now time.Duration) {
	for instance, server := range d.active {
		d.evaluate(instance, server, now)
		if len(server.observations) == 0 && server.status.State == Healthy && server.status.Factor == 1 {
			delete(d.active, instance)
		}
	}
}

// Pin holds a server in a state whatever is observed; nil ends that.
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

// Status returns the status of a server. One that is not known is healthy.
func (d *Detector) Status(instance Instance) Status {
	if server := d.servers[instance]; server != nil {
		return server.status
	}
	return Status{Factor: 1}
}

// Observations returns the observations of a server that have not expired, by observer.
func (d *Detector) Observations(instance Instance) (observations []Observation) {
	if server := d.servers[instance]; server != nil {
		for _, observation := range server.observations {
			observations = append(observations, *observation)
		}
	}
	slices.SortFunc(observations, func(a, b Observation) int { return cmp.Compare(a.Observer, b.Observer) })
	return observations
}

// TakeChanged returns the servers whose status changed since the last call; one may be listed more than once.
func (d *Detector) TakeChanged() []Instance {
	changed := d.changed
	d.changed = nil
	return changed
}
