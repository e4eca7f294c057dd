package dataplane

import (
	"oxbowspan/balancer"
	"oxbowspan/lease"
	"oxbowspan/registry"
)

// endpoint is this gateway's state of one server. It is owned by the event loop.
type endpoint struct {
	id       balancer.ServerID
	instance string
	address  string
	service  string
	zone     string
	version  string // of the server program

	// As reported by the controllers.
	state           registry.State
	sequence        uint64 // of the newest report applied
	unresponsive    bool   // not usable: no controller receives its heartbeats, and no health check has succeeded
	heartbeatMissed bool   // no controller receives its heartbeats; the gateway that holds the role checks its health
	lease           lease.Lease

	replaced    bool   // a response showed that another server now has its address
	selectable  bool   // the balancer may send attempts to it
	loggedState string // outlier state that was logged last
	health      healthCheckState
	load        endpointLoad
	respondedAt balancer.Time // time of its last response during a rollout of its service

	idle        []*serverConn // ordered by last use, the most recent last
	connections int           // open connections and dials in progress
}

// closeIdle closes the idle connections.
func (e *endpoint) closeIdle() {
	for _, conn := range e.idle {
		conn.close()
	}
	e.idle = nil
}

// trimIdle closes idle connections, least recently used first, until at most limit connections are open or none is idle;
// 0 = no limit.
func (e *endpoint) trimIdle(limit int) {
	for limit > 0 && e.connections > limit && len(e.idle) > 0 {
		e.idle[0].close()
		e.idle = e.idle[1:]
	}
}

// retired reports whether the server is deregistered and has no attempts in flight and no connections.
func (e *endpoint) retired() bool {
	return e.state == registry.Deregistered && e.load.inFlight == 0 && e.connections == 0
}

// balancerState returns the server's state for the balancer's server list.
func (e *endpoint) balancerState() balancer.ServerState {
	if e.unresponsive || e.replaced {
		return balancer.Removed
	}
	switch e.state {
	case registry.Ready:
		return balancer.Ready
	case registry.Draining:
		return balancer.Draining
	}
	return balancer.Removed
}

// endpointLoad counts the attempts in flight at a server and integrates their number over time.
type endpointLoad struct {
	inFlight     int           // attempts that have not ended
	integral     float64       // of inFlight since the last sample, in attempts × ticks
	sampledAt    balancer.Time // time of the last call of sample
	integratedAt balancer.Time // time up to which integral is computed
}

// add changes the number of attempts in flight by delta.
func (l *endpointLoad) add(now balancer.Time, delta int) {
	l.integral += float64(l.inFlight) * float64(now-l.integratedAt)
	l.integratedAt = now
	l.inFlight += delta
}

// sample returns the mean number of attempts in flight since the last sample, in thousandths, and starts the next sample.
// It reports false if there were no attempts.
func (l *endpointLoad) sample(now balancer.Time) (meanMilli uint32, ok bool) {
	l.add(now, 0)
	if elapsed := now - l.sampledAt; elapsed > 0 && l.integral > 0 {
		meanMilli, ok = uint32(1000*l.integral/float64(elapsed)), true
	}
	l.integral, l.sampledAt = 0, now
	return meanMilli, ok
}
