package shardconn

import (
	"time"

	"oxbowspan/balancer"
	"oxbowspan/internal/frame"
)

// startHealthCheck requests a health check. If the server does not answer in time it has timed out; an answer that
// comes later is ignored.
func (p *Client) startHealthCheck() {
	if p.checkDeadline == 0 {
		timeout := p.config.ConnectTimeout
		if timeout <= 0 {
			timeout = balancer.Time(time.Hour / tick) // not limited: the end of the connection decides
		}
		p.checkDeadline, p.checkQueued = p.now()+timeout, true
	}
	p.assignQueued()
}

// sendHealthCheck sends a queued health check on a connection with capacity, or opens one.
func (p *Client) sendHealthCheck() {
	c := p.availableConn(0)
	if !p.checkQueued || c == nil && (p.dialing > 0 || p.dial()) {
		return
	}
	if c == nil { // out of descriptors
		p.finishHealthCheck(balancer.HealthCheckEnded{Outcome: balancer.NotDispatched})
		return
	}
	letter := byte(frame.HealthCheckFrame)
	if p.config.LoadHealthChecks {
		letter = frame.LoadCheckFrame
	}
	c.enqueue(frame.New(letter, ""))
	c.usedAt = p.now()
	p.healthChecks = append(p.healthChecks, c)
	p.checkQueued = false
}

// finishHealthCheck reports the end of the requested health check. Ends of earlier ones are ignored.
func (p *Client) finishHealthCheck(e balancer.HealthCheckEnded) {
	if p.checkDeadline != 0 {
		p.checkDeadline, p.checkQueued = 0, false
		e.Server = p.id
		p.handler.HealthCheckEnded(e)
	}
}
