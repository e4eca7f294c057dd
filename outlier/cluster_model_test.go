package outlier

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"oxbowspan/rendezvous"
)

// This file holds a simulation of a cluster. Gateways in zones call the replicas of some shards, observe the outcomes and forward
// observations to their subscribers. Servers respond, respond slowly, refuse connections or do not respond, to all gateways or to some.

// condition determines how a server behaves towards a gateway.
type condition int

const (
	conditionHealthy condition = iota
	conditionSlow
	conditionRefusing     // refuses connections
	conditionUnresponsive // accepts requests and never responds
)

// defect is a defect injected into the model, which the checks must detect.
type defect int

const (
	noDefect               defect = iota
	agesIgnored                   // a received observation is treated as if it had just been made
	recoveryNotForwarded          // observations of healthy servers are not forwarded
	allGatewaysProbe              // all gateways probe an ejected server, not only its lease holder
	impairmentIgnored             // a gateway without network records failures of the servers
	singleObserverSuffices        // one observation of slowness counts as three
	forwardingDisabled            // no observation is forwarded
)

const (
	modelStep       = 50 * time.Millisecond
	stepsPerAdvance = 5                      // model steps between two advances of a gateway's detector
	overdueAfter    = 150 * time.Millisecond // age at which a call without response is recorded as failed
	callRate        = 45                     // calls per second of each gateway
	slowFactor      = 10                     // factor by which slow servers take longer
)

// modelGateway is a gateway of the simulated cluster.
type modelGateway struct {
	name         rendezvous.Name
	zone         int
	detector     *Detector
	unitTimes    map[Instance]float64       // smoothed time per unit of work
	pendingSince map[Instance]time.Duration // start of the oldest call without response
	frozenUntil  time.Duration
	slowdown     float64       // factor by which all responses take longer on this gateway; 0 = none
	isolated     bool          // the gateway reaches no server
	partition    int           // observations are exchanged within a partition only
	unsent       []Observation // observations made before the gateway was frozen
}

// cluster is the simulated cluster.
type cluster struct {
	rng          *rand.Rand
	defect       defect
	now          time.Duration
	gateways     []*modelGateway
	subscribers  map[int][]int // by index of a gateway, the gateways that receive its observations
	servers      []Instance
	shard        map[Instance]Shard
	conditions   map[Instance]condition
	conditionFor func(g *modelGateway, server Instance) condition // overrides conditions if set
	pauses       bool                                             // servers pause occasionally
	probes       map[Instance]int
	faultyCalls  map[Instance]int // calls to a server while it was not healthy
	observations int              // number of observations sent
	changes      int              // transitions between healthy and any other state, over all gateways
	previous     map[string]State
}

func newCluster(seed uint64, gateways, zones, shards, replicas int) *cluster {
	c := &cluster{
		rng:         rand.New(rand.NewPCG(seed, 9)),
		now:         time.Second,
		subscribers: map[int][]int{},
		shard:       map[Instance]Shard{},
		conditions:  map[Instance]condition{},
		probes:      map[Instance]int{},
		faultyCalls: map[Instance]int{},
		previous:    map[string]State{},
	}
	for i := range gateways {
		c.gateways = append(c.gateways, &modelGateway{
			name:         rendezvous.Name(fmt.Sprint("g", i)),
			zone:         i % zones,
			detector:     NewDetector(Observer(i + 1)),
			unitTimes:    map[Instance]float64{},
			pendingSince: map[Instance]time.Duration{},
		})
	}
	c.subscribe()
	for shard := range shards {
		for replica := range replicas {
			server := Instance(fmt.Sprint("s", shard, "-", replica))
			c.servers = append(c.servers, server)
			c.shard[server] = Shard(fmt.Sprint("s", shard))
		}
	}
	for _, g := range c.gateways {
		g.detector.SetServers(c.shard, gateways-1)
	}
	return c
}

// subscribe subscribes each gateway to the observations of some gateways in its zone and of one in another zone.
func (c *cluster) subscribe() {
	byZone := map[int][]rendezvous.Name{}
	index := map[rendezvous.Name]int{}
	for i, g := range c.gateways {
		byZone[g.zone] = append(byZone[g.zone], g.name)
		index[g.name] = i
	}
	for i, g := range c.gateways {
		var remote []rendezvous.Name
		for zone, names := range byZone {
			if zone != g.zone {
				remote = append(remote, names...)
			}
		}
		inZone := rendezvous.Peers(g.name, byZone[g.zone], rendezvous.PeerCount)
		for _, name := range append(inZone, rendezvous.Peers(g.name, remote, 1)...) {
			c.subscribers[index[name]] = append(c.subscribers[index[name]], i)
		}
	}
}

func (c *cluster) condition(g *modelGateway, server Instance) condition {
	if g.isolated {
		return conditionUnresponsive
	}
	if c.conditionFor != nil {
		return c.conditionFor(g, server)
	}
	return c.conditions[server]
}

// leaseHolder returns the gateway that probes a server while it is ejected.
func (c *cluster) leaseHolder(server Instance) *modelGateway {
	var names []rendezvous.Name
	for _, g := range c.gateways {
		names = append(names, g.name)
	}
	return c.gateways[slices.Index(names, rendezvous.Owner(rendezvous.Name(server), names))]
}

// call makes one call and records its outcome. A call to an unresponsive server stays pending.
func (c *cluster) call(g *modelGateway, server Instance) {
	condition := c.condition(g, server)
	if condition != conditionHealthy {
		c.faultyCalls[server]++
	}
	switch condition {
	case conditionRefusing:
		g.detector.RecordFailure(server, ObservedRefused, c.now)
	case conditionUnresponsive:
		if g.pendingSince[server] == 0 {
			g.pendingSince[server] = c.now
		}
	default:
		delete(g.pendingSince, server)
		g.recordUnitTime(server, c.unitTime(g, condition))
		g.detector.RecordSuccess(server, g.unitTimes[server], g.peerUnitTime(server, c.shard[server]), c.now)
	}
}

// unitTime draws the time per unit of work of one call.
func (c *cluster) unitTime(g *modelGateway, condition condition) float64 {
	unit := math.Exp(c.rng.NormFloat64() * 0.4)
	if condition == conditionSlow {
		unit *= slowFactor
	}
	if c.pauses && c.rng.IntN(100) == 0 {
		unit += 4
	}
	if g.slowdown > 0 {
		unit *= g.slowdown
	}
	return unit
}

// recordUnitTime adds a sample to the gateway's moving average for a server.
func (g *modelGateway) recordUnitTime(server Instance, unit float64) {
	if g.unitTimes[server] == 0 {
		g.unitTimes[server] = 1 // averages start at the typical value
	}
	g.unitTimes[server] += (unit - g.unitTimes[server]) * 0.2
}

// peerUnitTime returns the harmonic mean of the unit times of the server's peers, or 0 if none is known.
func (g *modelGateway) peerUnitTime(server Instance, shard Shard) float64 {
	speed, count := 0.0, 0.0
	for _, peer := range g.detector.shards[shard] {
		if peer != server && g.unitTimes[peer] > 0 {
			speed, count = speed+1/g.unitTimes[peer], count+1
		}
	}
	if count == 0 {
		return 0
	}
	return count / speed
}

// advance runs the simulation for a duration.
func (c *cluster) advance(duration time.Duration) {
	for end := c.now + duration; c.now < end; c.now += modelStep {
		for i, g := range c.gateways {
			if c.now < g.frozenUntil {
				continue
			}
			c.makeCalls(g)
			if (c.now/modelStep+time.Duration(i))%stepsPerAdvance > 0 {
				continue
			}
			c.recordOverdue(g)
			g.detector.Advance(c.now)
			c.forward(i)
		}
		c.countChanges()
	}
}

// makeCalls makes the calls of one gateway in one step. Ejected servers on probation are called by their lease holder only.
func (c *cluster) makeCalls(g *modelGateway) {
	for n := callRate * modelStep.Seconds(); n > c.rng.Float64(); n-- {
		shard := c.shard[c.servers[c.rng.IntN(len(c.servers))]]
		replicas := g.detector.shards[shard]
		server := replicas[c.rng.IntN(len(replicas))]
		switch g.detector.Status(server).State {
		case Avoided, Ejected:
			continue
		case Probation:
			if c.leaseHolder(server) != g && c.defect != allGatewaysProbe {
				continue
			}
			c.probes[server]++
		}
		c.call(g, server)
	}
}

// recordOverdue records overdue calls as failed. A gateway that receives no responses from many servers is impaired.
func (c *cluster) recordOverdue(g *modelGateway) {
	overdue := 0
	for _, since := range g.pendingSince {
		if c.now-since > overdueAfter {
			overdue++
		}
	}
	g.detector.SetImpaired(c.defect != impairmentIgnored && overdue > 2 && 2*overdue > len(c.servers)/4)
	for server, since := range g.pendingSince {
		if c.now-since <= overdueAfter {
			continue
		}
		g.detector.RecordFailure(server, ObservedUnresponsive, c.now)
		if g.detector.Status(server).State >= Ejected {
			delete(g.pendingSince, server)
		}
	}
}

// forward sends a gateway's observations to its subscribers.
func (c *cluster) forward(index int) {
	g := c.gateways[index]
	batch := append(g.unsent, g.detector.DrainOutbox()...)
	g.unsent = nil
	for _, observation := range batch {
		c.observations++
		if c.defect == forwardingDisabled || c.defect == recoveryNotForwarded && observation.Kind == ObservedHealthy {
			continue
		}
		for _, subscriber := range c.subscribers[index] {
			to := c.gateways[subscriber]
			if c.now >= to.frozenUntil && to.partition == g.partition {
				c.deliver(to, observation)
			}
		}
	}
}

// deliver hands an observation to a gateway.
func (c *cluster) deliver(to *modelGateway, observation Observation) {
	if c.defect == agesIgnored {
		observation.ObservedAt = c.now
	}
	to.detector.Receive(observation, c.now)
	if c.defect == singleObserverSuffices && observation.Kind == ObservedSlow {
		for i := range 3 {
			observation.Observer += Observer(1000 * (i + 1))
			to.detector.Receive(observation, c.now)
		}
	}
}

// countChanges counts the servers that became healthy, or ceased to be, at each gateway in this step.
func (c *cluster) countChanges() {
	for _, g := range c.gateways {
		for _, server := range c.servers {
			key := string(g.name) + string(server)
			if state := g.detector.Status(server).State; (state == Healthy) != (c.previous[key] == Healthy) {
				c.previous[key] = state
				c.changes++
			}
		}
	}
}

// avoiding counts the gateways that don't use a server.
func (c *cluster) avoiding(server Instance) (gateways int) {
	for _, g := range c.gateways {
		if g.detector.Status(server).State != Healthy {
			gateways++
		}
	}
	return gateways
}

// avoidances counts the pairs of a gateway and a server that it does not use.
func (c *cluster) avoidances() (pairs int) {
	for _, server := range c.servers {
		pairs += c.avoiding(server)
	}
	return pairs
}

// advanceUntil advances until a predicate holds or the limit is reached, and returns the time that passed.
func (c *cluster) advanceUntil(limit time.Duration, holds func() bool) time.Duration {
	began := c.now
	for !holds() && c.now-began < limit {
		c.advance(modelStep)
	}
	return c.now - began
}

// freeze suspends a gateway for a duration. When it resumes it sends observations, made at observedAt, that some servers refuse
// connections.
func (c *cluster) freeze(g *modelGateway, duration time.Duration, refusing []Instance, observedAt time.Duration) {
	for _, server := range refusing {
		g.detector.sequence++
		g.unsent = append(g.unsent, Observation{
			Server:     server,
			Observer:   g.detector.self,
			Sequence:   g.detector.sequence,
			Kind:       ObservedRefused,
			ObservedAt: observedAt,
		})
	}
	g.frozenUntil = c.now + duration
}
