// Package outlier is one judgement of replicas for a whole hive: what each gatherer saw of a server, merged from the words that
// gatherers tell each other, and the stance that follows from it by one rule, so that all who heard the same come to the same
// without a leader. It owns what is worth telling, how far a word goes, and each server's stance. It has no I/O, no clock and no
// goroutine; times are the caller's steady clock, and ages pass between gatherers, never moments.
//
// A judgement feeds brain's prediction and takes out what is dead; which server a part goes to stays brain's.
package outlier

import (
	"cmp"
	"math"
	"slices"
	"time"
)

type (
	Observer uint64 // one life of a gatherer
	Instance string // one life of a server
	Shard    string // the servers that answer equally well
)

// Kind is what an observer says of a server.
type Kind uint8

const (
	ObservedHealthy      Kind = iota // it answers, as fast as its fellows
	ObservedSlow                     // it answers, so many times slower than its fellows
	ObservedUnresponsive             // what it was sent is overdue, and no word came
	ObservedRefused                  // nobody listens at its address
)

func (k Kind) String() string {
	return [...]string{"well", "slow", "silent", "refused"}[min(k, ObservedRefused)]
}

// Observation is what one observer says of one server. Of two words of an observer the one with the higher number is newer.
type Observation struct {
	Server     Instance
	Observer   Observer
	Sequence   uint32
	Kind       Kind
	Ratio      float64       // of Slow: its time per unit of size over its fellows'
	Responses  int           // that stand behind it
	Backoff    time.Duration // of a word that a server on trial failed: it is tried again after so long
	ObservedAt time.Duration // when it was seen, by the holder's clock
	Hops       int
}

const (
	MaxHops                  = 5                      // a word goes so far: four hear each, so that this is enough for some hundreds
	observationTTL           = 3 * time.Second        // a word counts for so long,
	repeatInterval           = time.Second            // and is said again after so long while it holds
	slowEnterRatio           = 3.0                    // the merged ratio from which a server is avoided,
	slowExitRatio            = 1.5                    // and below which no more
	minSlowResponses         = 3                      // answers in a word of slowness
	minSlowObservers         = 3                      // observers of slowness, where there are so many,
	slowObserverDivisor      = 8                      // and one in so many of all gatherers: those that see nothing odd say nothing
	minUnresponsiveObservers = 2                      // observers of silence
	slowDwell                = 400 * time.Millisecond // slowness must last so long
	initialAvoidance         = 4 * time.Second        // then it is avoided for so long, unless several find it as fast as its fellows,
	maxAvoidance             = 16 * time.Second       // doubling up to this
	initialEjection          = 500 * time.Millisecond // a server that is out is tried after so long,
	maxEjection              = 4 * time.Second        // doubling up to this
	slowStartDuration        = 2 * time.Second        // one that is back takes its full part only after so long
	slowStartFactor          = 3.0                    // so many times slower it is predicted at first
	flapWindow               = 30 * time.Second       // one that is out again so soon begins with the pause it had
	maxBatch                 = 64                     // told at once
)

// Status is what all are to do about a server.
type Status struct {
	State       State
	Factor      float64 // so many times slower than this gatherer's record it is to be predicted; 1 = as it is
	Reason      string  // for operators
	Since       time.Duration
	ProbationAt time.Duration // of Out: when its holder may try it
	Pinned      bool
	changed     time.Duration
}

// State is a stance's.
type State uint8

const (
	Healthy State = iota
	Avoided
	Ejected
	Probation // out, and due to be tried by its holder
)

func (s State) String() string { return [...]string{"in", "avoided", "out", "on trial"}[s] }

// serverRecord is one as it is judged.
type serverRecord struct {
	shard        Shard
	observations map[Observer]*Observation // emptied by age
	status       Status
	backoff      time.Duration // the next time out
	ejectedAt    time.Duration // when it last went out
	slowSince    time.Duration // since when it is slow; 0 = it is not
	avoidance    time.Duration // the next time that it is avoided
	local        localStats
}

// localStats is what this gatherer saw of a server lately.
type localStats struct {
	lastObservation Observation
	reportedAt      time.Duration // when that was last said
	responses       int
	logRatio        float64 // smoothed logarithm of its time over its fellows'
	respondedAt     time.Duration
}

// Detector is one gatherer's judgement of all servers.
type Detector struct {
	self     Observer
	sequence uint32
	servers  map[Instance]*serverRecord // as many as are listed
	shards   map[Shard][]Instance       // the same
	outbox   []Observation              // to be told to others; emptied by telling
	active   map[Instance]*serverRecord // with words, or not in as they are; emptied by time
	changed  []Instance                 // whose stance changed; emptied by asking
	peers    int                        // gatherers beside this one
	impaired bool
}

// NewDetector makes a board that knows no server.
func NewDetector(self Observer) *Detector {
	return &Detector{self: self, servers: map[Instance]*serverRecord{}, shards: map[Shard][]Instance{}, active: map[Instance]*serverRecord{}}
}

// SetServers says which servers there are and how many other gatherers. Servers not named are forgotten.
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

// RecordSuccess says that a server answered this gatherer, in so long per unit of size; fellow is what its fellows take, 0 = not known.
func (d *Detector) RecordSuccess(instance Instance, unitTime, peerUnitTime float64, now time.Duration) {
	server := d.servers[instance]
	if server == nil {
		return
	}
	server.local.respondedAt = now
	if peerUnitTime > 0 && unitTime > 0 {
		server.local.responses++
		server.local.logRatio += (math.Log(unitTime/peerUnitTime) - server.local.logRatio) / float64(min(server.local.responses, 6))
	}
	ratio := math.Exp(server.local.logRatio)
	switch previous := server.local.lastObservation.Kind; {
	case previous >= ObservedUnresponsive || server.status.State >= Ejected:
		server.local.responses, server.local.logRatio = 0, 0
		d.report(server, instance, Observation{Kind: ObservedHealthy, Responses: 1}, now)
	case server.local.responses >= minSlowResponses && (ratio >= slowEnterRatio || previous == ObservedSlow && ratio >= slowExitRatio):
		if (previous != ObservedSlow || now-server.local.reportedAt >= repeatInterval) && server.status.State == Healthy {
			d.report(server, instance, Observation{Kind: ObservedSlow, Ratio: ratio, Responses: min(server.local.responses, 20)}, now)
		}
	case previous == ObservedSlow || server.status.State == Avoided && server.local.responses >= minSlowResponses && now-server.local.reportedAt >= repeatInterval:
		d.report(server, instance, Observation{Kind: ObservedHealthy, Ratio: ratio, Responses: min(server.local.responses, 20)}, now)
	}
}

// RecordFailure says that a server did not answer this gatherer: nobody listens there, or it is silent.
func (d *Detector) RecordFailure(instance Instance, kind Kind, now time.Duration) {
	server := d.servers[instance]
	if server == nil || d.impaired {
		return
	}
	if server.local.lastObservation.Kind == kind && now-server.local.reportedAt < repeatInterval && server.status.State != Probation || server.status.State == Ejected {
		return
	}
	observation := Observation{Kind: kind, Responses: 1}
	if server.status.State >= Ejected {
		observation.Backoff = server.backoff
	}
	d.report(server, instance, observation, now)
}

// SetImpaired says whether this gatherer is itself in trouble: what it sees of servers then says more of its own way than of them.
func (d *Detector) SetImpaired(impaired bool) { d.impaired = impaired }

// report puts a word of this gatherer's own on the board.
func (d *Detector) report(server *serverRecord, instance Instance, observation Observation, now time.Duration) {
	d.sequence++
	observation.Server, observation.Observer, observation.Sequence, observation.ObservedAt = instance, d.self, d.sequence, now
	server.local.lastObservation, server.local.reportedAt = observation, now
	d.apply(server, observation, now)
}

// Receive takes a word of another. It tells whether it was news.
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

// apply puts a word on the board, and has it told on where it tells others something: many see the same at once, and a word that changes
// nothing here changes nothing there.
func (d *Detector) apply(server *serverRecord, observation Observation, now time.Duration) {
	if server.observations == nil {
		server.observations = map[Observer]*Observation{}
	}
	server.observations[observation.Observer] = &observation
	d.active[observation.Server] = server
	before := server.status.State
	d.evaluate(observation.Server, server, now)
	after := server.status.State
	significant := after != before || observation.Backoff > 0 || observation.Kind == ObservedHealthy && before >= Avoided || (observation.Kind == ObservedSlow || observation.Kind == ObservedUnresponsive) && after == Healthy
	if observation.Hops < MaxHops && significant {
		d.outbox = append(d.outbox, observation)
		d.outbox = slices.Delete(d.outbox, 0, max(len(d.outbox)-4*maxBatch, 0)) // the oldest go where there are too many
	}
}

// DrainOutbox returns what is to be told to others, each word once.
func (d *Detector) DrainOutbox() (out []Observation) {
	n := min(len(d.outbox), maxBatch)
	out = slices.Clone(d.outbox[:n])
	d.outbox = slices.Delete(d.outbox, 0, n)
	for i := range out {
		out[i].Hops++
	}
	return out
}

// Advance carries stances on to a moment: words grow old, trials fall due, ramps end.
func (d *Detector) Advance(now time.Duration) {
	for instance, server := range d.active {
		if d.evaluate(instance, server, now); len(server.observations) == 0 && server.status.State == Healthy && server.status.Factor == 1 {
			delete(d.active, instance)
		}
	}
}

// Pin holds a server at a stance, whatever is seen of it; unpin with nil.
func (d *Detector) Pin(instance Instance, state *State, now time.Duration) {
	server := d.servers[instance]
	if server == nil {
		return
	}
	d.changed = append(d.changed, instance)
	d.active[instance] = server
	if server.status.Pinned = state != nil; state == nil {
		d.setState(server, Healthy, 1, "the pin has ended", now)
		return
	}
	factor := 1.0
	if *state == Avoided {
		factor = slowEnterRatio
	}
	d.setState(server, *state, factor, "pinned by an operator", now)
}

// Status is a server's; the zero Stance's State is In.
func (d *Detector) Status(instance Instance) Status {
	if server := d.servers[instance]; server != nil {
		return server.status
	}
	return Status{Factor: 1}
}

// Observations are those that stand on a server, by observer.
func (d *Detector) Observations(instance Instance) (out []Observation) {
	if server := d.servers[instance]; server != nil {
		for _, observation := range server.observations {
			out = append(out, *observation)
		}
	}
	slices.SortFunc(out, func(a, d Observation) int { return cmp.Compare(a.Observer, d.Observer) })
	return out
}

func (d *Detector) setState(server *serverRecord, state State, factor float64, reason string, now time.Duration) {
	if server.status.State != state {
		server.status.Since, server.status.Reason = now, reason
	}
	server.status.State, server.status.Factor = state, factor
}

// TakeChanged returns the servers whose stance changed since it was last asked for.
func (d *Detector) TakeChanged() []Instance {
	out := d.changed
	d.changed = nil
	return out
}

// evaluate is the one rule. It goes by the words alone and by when they were seen.
func (d *Detector) evaluate(instance Instance, server *serverRecord, now time.Duration) {
	previous := server.status
	d.updateState(server, now)
	if server.status.State != previous.State || server.status.Factor != previous.Factor {
		d.changed = append(d.changed, instance)
	}
}

func (d *Detector) updateState(server *serverRecord, now time.Duration) {
	if server.status.Pinned {
		return
	}
	var refusedAt, healthyAt, failedAt time.Duration = -1, -1, -1
	unresponsive, responsive := 0, 0
	var backoff time.Duration
	var slow []Observation
	for observer, observation := range server.observations {
		if now-observation.ObservedAt >= observationTTL {
			delete(server.observations, observer)
			continue
		}
		switch observation.Kind {
		case ObservedRefused:
			refusedAt, failedAt, backoff = max(refusedAt, observation.ObservedAt), max(failedAt, observation.ObservedAt), max(backoff, observation.Backoff)
		case ObservedUnresponsive:
			failedAt, backoff = max(failedAt, observation.ObservedAt), max(backoff, observation.Backoff)
			unresponsive++
		case ObservedSlow:
			slow = append(slow, *observation)
			responsive++
		case ObservedHealthy:
			healthyAt = max(healthyAt, observation.ObservedAt)
			responsive++
			if observation.Ratio > 0 {
				slow = append(slow, *observation)
			}
		}
	}
	dead := refusedAt >= 0 && refusedAt > healthyAt
	timedOut := unresponsive >= min(minUnresponsiveObservers, d.peers+1) && unresponsive > 2*responsive && failedAt > healthyAt && d.canRemove(server.shard)
	switch server.status.State {
	case Ejected, Probation:
		switch {
		case healthyAt > server.status.Since && healthyAt > failedAt:
			server.ejectedAt, server.backoff = now, max(server.backoff, initialEjection)
			d.setState(server, Healthy, slowStartFactor, "it answered a trial", now)
		case backoff > 0 && failedAt > server.status.Since && failedAt+backoff > server.status.ProbationAt: // its trial failed
			server.backoff = min(2*backoff, maxEjection)
			server.status.ProbationAt = failedAt + backoff
			server.status.State = Ejected
		case failedAt < 0 && now-server.status.ProbationAt > observationTTL:
			// Nobody says anything of it any more: each gatherer's own records decide again.
			d.setState(server, Healthy, slowStartFactor, "no word of it any more", now)
		case now >= server.status.ProbationAt && server.status.State == Ejected:
			server.status.State = Probation
		}
		return
	case Healthy, Avoided:
		if dead || timedOut {
			reason := "nobody listens at its address"
			if !dead {
				reason = "it is silent to several"
			}
			if now-server.ejectedAt > flapWindow || server.ejectedAt == 0 {
				server.backoff = initialEjection
			}
			d.setState(server, Ejected, 1, reason, now)
			server.status.ProbationAt = max(failedAt, 0) + server.backoff
			server.backoff = min(2*server.backoff, maxEjection)
			return
		}
	}
	ratio, observers := medianRatio(slow)
	enough := observers >= min(max(minSlowObservers, (d.peers+1)/slowObserverDivisor), d.peers+1)
	if server.status.State == Avoided {
		fast := observers >= min(minSlowObservers, d.peers+1) && healthyAt > server.status.Since && ratio < slowExitRatio
		if fast || now-server.status.Since >= server.avoidance {
			if server.avoidance = min(2*server.avoidance, maxAvoidance); fast {
				server.avoidance = initialAvoidance
			}
			clear(server.observations)
			d.setState(server, Healthy, slowStartFactor, "it is tried again", now)
		}
		return
	}
	if !enough || ratio < slowEnterRatio || !d.canRemove(server.shard) {
		server.slowSince = 0
	} else if server.slowSince == 0 {
		server.slowSince = max(now, 1)
	} else if now-server.slowSince >= slowDwell {
		server.slowSince = 0
		clear(server.observations)
		localRatio := 1.0 // what this gatherer's own record says of it already does not count twice
		if server.local.responses > 0 {
			localRatio = math.Exp(server.local.logRatio)
		}
		d.setState(server, Avoided, max(ratio/max(localRatio, 1), 1), "several find it slower than its fellows", now)
		return
	}
	// The ramp, which all share as it follows from when the stance changed.
	remaining := 1 - float64(now-server.status.Since)/float64(slowStartDuration)
	if server.status.Factor = 1; server.status.Since > 0 && remaining > 0 {
		server.status.Factor = 1 + math.Ceil((slowStartFactor-1)*remaining*4)/4
	}
}

// canRemove tells whether one more of a shard's servers may be avoided or out for what it does: the rest must bear the load, and the last one
// stays in any case. Where nobody listens there is nothing to bear it with.
func (d *Detector) canRemove(shard Shard) bool {
	healthy := 0
	for _, instance := range d.shards[shard] {
		if server := d.servers[instance]; server.status.State == Healthy {
			healthy++
		}
	}
	return 2*(healthy-1) >= len(d.shards[shard])
}

// medianRatio is the weighted median of what observers say of a server's slowness, each by the answers that stand behind it: one sick
// observer moves it little. By is how many there are.
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
		if sum += max(observation.Responses, 1); 2*sum >= total {
			return max(observation.Ratio, 1), len(observations)
		}
	}
	return 1, len(observations)
}
