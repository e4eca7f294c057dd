package dataplane

import (
	"bufio"
	"net"
	"net/http"
	"time"

	"oxbowspan/balancer"
	"oxbowspan/internal/network"
	"oxbowspan/registry"
	"oxbowspan/rendezvous"
	"oxbowspan/rpc"
)

// Timing of health checks.
const (
	healthCheckTimeout     = 400 * time.Millisecond // of one check: for dialling, and again for the request and its response
	healthCheckInterval    = time.Second            // between two checks of a healthy server
	maxHealthCheckInterval = 8 * time.Second        // to which the interval doubles while the server is not healthy
	maxHealthReportAge     = 2 * time.Second        // of a successful check that is reported to the controllers
	healthResponseBuffer   = 1024                   // buffer for reading a response, in bytes
)

// defaultHealthPath is the path of the health checks of services that configure none.
const defaultHealthPath = "/health"

// healthCheckState is the state of this gateway's health checks of one server.
type healthCheckState struct {
	healthyAt balancer.Time // when it last passed a check by this gateway, 0 = never
	nextCheck balancer.Time
	interval  balancer.Time // from the next check to the one after it; 0 = no check since its heartbeats were lost
}

// healthPaths returns the URL paths for health checks, by service.
type healthPaths interface {
	healthPath(service string) string
}

// healthChecker checks the health of the servers whose heartbeats reach no controller: only their heartbeats may be lost while they still
// serve requests. For each such server one gateway holds the singleton role of checking it. It reports the server as healthy to the
// controllers under its lease. Servers whose heartbeats arrive are never checked, as heartbeats and traffic are better evidence. It is
// owned by the loop.
type healthChecker struct {
	process   *process
	loop      commandLoop
	members   *membership
	endpoints *endpointTable
	paths     healthPaths
}

func newHealthChecker(p *process, loop commandLoop, members *membership, endpoints *endpointTable, paths healthPaths) *healthChecker {
	return &healthChecker{process: p, loop: loop, members: members, endpoints: endpoints, paths: paths}
}

// run starts the checks that are due.
func (h *healthChecker) run(now balancer.Time) {
	if h.process.draining.Load() {
		return // a check could outlast the shutdown
	}
	for _, e := range h.endpoints.byInstance {
		if !e.heartbeatMissed {
			e.health.interval = 0
			continue
		}
		if e.state == registry.Ready && !e.replaced && now >= e.health.nextCheck && h.holdsRole(e.instance, now) {
			h.check(e, now)
		}
	}
}

// holdsRole reports whether this gateway holds the singleton role of checking a server.
func (h *healthChecker) holdsRole(instance string, now balancer.Time) bool {
	return h.members.holdsRole(rendezvous.Name(instance), duration(now))
}

// check starts a health check on its own goroutine and schedules the next one.
func (h *healthChecker) check(e *endpoint, now balancer.Time) {
	if e.health.interval == 0 {
		e.health.interval = ticks(healthCheckInterval)
	}
	e.health.nextCheck = now + e.health.interval
	e.health.interval = min(2*e.health.interval, ticks(maxHealthCheckInterval))
	path, address, instance := h.paths.healthPath(e.service), e.address, e.instance
	h.process.goroutines.Go(func() {
		healthy := checkHealth(h.process.network, address, instance, path)
		h.loop.post(func() { h.checkDone(instance, healthy) })
	})
}

// checkDone records a successful check, unless the role has moved to another gateway since the check began.
func (h *healthChecker) checkDone(instance string, healthy bool) {
	e := h.endpoints.byInstance[instance]
	now := h.loop.now()
	if e == nil || !healthy || !h.holdsRole(instance, now) {
		return
	}
	e.lease = e.lease.ForHolder(h.process.incarnation)
	if e.health.healthyAt == 0 || e.unresponsive {
		h.process.log.Info().Str("instance", instance).Uint64("fencing_token", e.lease.FencingToken).
			Msg("health check: server without heartbeats is healthy")
	}
	e.health = healthCheckState{
		healthyAt: now,
		nextCheck: now + ticks(healthCheckInterval),
		interval:  ticks(healthCheckInterval),
	}
}

// reports returns the recent successful checks of servers whose heartbeats reach no controller, for the next poll.
func (h *healthChecker) reports(now balancer.Time) (reports []*rpc.ServerReport) {
	for _, e := range h.endpoints.byInstance {
		age := now - e.health.healthyAt
		if e.health.healthyAt == 0 || age >= ticks(maxHealthReportAge) || e.lease.Holder != h.process.incarnation || !e.heartbeatMissed {
			continue
		}
		reports = append(reports, &rpc.ServerReport{
			Instance:         e.instance,
			HealthCheckAgeMs: uint32(duration(age) / time.Millisecond),
			FencingToken:     e.lease.FencingToken,
			LeaseHolder:      e.lease.Holder,
		})
	}
	return reports
}

// checkHealth requests a server's health path and reports whether it is healthy: it must respond with status 200 and its own instance id.
// Another instance at the address, or one that is draining, is not healthy.
func checkHealth(transport network.Network, address, instance, path string) bool {
	conn, err := transport.Dial(address, healthCheckTimeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(healthCheckTimeout))
	host, _, _ := net.SplitHostPort(address)
	if _, err := conn.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\nConnection: close\r\n\r\n")); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, healthResponseBuffer), nil)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK && resp.Header.Get("X-Instance-Id") == instance
}
