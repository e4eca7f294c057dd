package dataplane

import (
	"bufio"
	"net"
	"net/http"
	"time"

	"oxbowspan/balancer"
	"oxbowspan/registry"
	"oxbowspan/rendezvous"
	"oxbowspan/rpc"
)

// Looking after a server that the core does not hear. Its calls may not come through while it serves as before: one gatherer,
// the holder of that server's duty, asks for its health and tells the core under its claim. Servers that are heard are never
// probed: their calls and the traffic tell more.
const (
	healthCheckTimeout     = 400 * time.Millisecond  // for the whole probe
	healthCheckInterval    = 1000 * time.Millisecond // between two probes of a server that is well,
	maxHealthCheckInterval = 8000 * time.Millisecond // doubling up to this between those of one that is not
	healthReportAge        = 2 * time.Second         // what was seen is told so long
)

const defaultHealthPath = "/health"

// healthCheckState is a server's health as this gateway checked it.
type healthCheckState struct {
	healthyAt balancer.Time // when it last responded to a check by this gateway, 0 = never
	nextCheck balancer.Time
	interval  balancer.Time // to the check after the next; 0 = none was made
}

// runHealthChecks probes the servers whose duty this gatherer holds.
func (f *Gateway) runHealthChecks(now balancer.Time) {
	if f.process.draining.Load() {
		return // what it begins must end with it
	}
	for _, s := range f.endpoints.byInstance {
		if !s.noHeartbeats {
			s.health.interval = 0
			continue
		}
		if s.state != registry.Ready || s.replaced || now < s.health.nextCheck || !f.members.holdsRole(rendezvous.Name(s.instance), duration(now)) {
			continue
		}
		if s.health.interval == 0 {
			s.health.interval = ticks(healthCheckInterval)
		}
		s.health.nextCheck = now + s.health.interval
		s.health.interval = min(2*s.health.interval, ticks(maxHealthCheckInterval))
		path, address, instance := f.configs.healthPath(s.service), s.address, s.instance
		f.process.goroutines.Go(func() {
			well := f.checkHealth(address, instance, path)
			f.loop.post(func() { f.healthCheckDone(instance, well) })
		})
	}
}

// healthCheckDone takes the end of a probe. The duty may have changed hands since.
func (f *Gateway) healthCheckDone(instance string, well bool) {
	s := f.endpoints.byInstance[instance]
	now := f.loop.now()
	if s == nil || !well || !f.members.holdsRole(rendezvous.Name(instance), duration(now)) {
		return
	}
	if s.lease = s.lease.Acquire(f.process.incarnation); s.health.healthyAt == 0 || s.overdue {
		f.process.log.Info().Str("instance", instance).Uint64("fence", s.lease.FencingToken).Msg("duties: the core does not hear a server that is well")
	}
	s.health.healthyAt, s.health.nextCheck, s.health.interval = now, now+ticks(healthCheckInterval), ticks(healthCheckInterval)
}

// pollStatus is what a question to the hives tells the core.
type pollStatus struct {
	healthChecks []*rpc.ServerReport
	stats        *rpc.GatewayStats
}

// fillPoll puts into a question what the core is to be told: servers that it does not hear, and what operators ask for. The
// owner's answer travels through a channel, so that a caller that the stop releases shares no variable with the owner.
func (f *Gateway) fillPoll(a *rpc.Poll) {
	answers := make(chan pollStatus, 1)
	if !f.loop.post(func() { answers <- f.pollStatus(f.loop.now()) }) {
		return
	}
	select {
	case o := <-answers:
		a.HealthChecks, a.Stats = o.healthChecks, o.stats
	case <-f.loop.stopped:
	}
}

// pollStatus gathers what the core is to be told. It is the owner's.
func (f *Gateway) pollStatus(now balancer.Time) pollStatus {
	o := pollStatus{stats: f.stats(now)}
	for _, s := range f.endpoints.byInstance {
		if s.health.healthyAt > 0 && now-s.health.healthyAt < ticks(healthReportAge) && s.lease.Holder == f.process.incarnation && s.noHeartbeats {
			o.healthChecks = append(o.healthChecks, &rpc.ServerReport{Instance: s.instance, HealthCheckAgeMs: uint32(duration(now-s.health.healthyAt) / time.Millisecond),
				FencingToken: s.lease.FencingToken, LeaseHolder: s.lease.Holder})
		}
	}
	return o
}

// checkHealth asks a server for its health. Another server at its address, or one that is leaving, is not it.
func (f *Gateway) checkHealth(address, instance, path string) bool {
	c, err := f.process.network.Dial(address, healthCheckTimeout)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(healthCheckTimeout))
	host, _, _ := net.SplitHostPort(address)
	if _, err := c.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\nConnection: close\r\n\r\n")); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 1024), nil)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK && resp.Header.Get("X-Instance-Id") == instance
}
