package shardconn

import (
	"time"

	"oxbowspan/balancer"
	"oxbowspan/internal/frame"
)

// startHealthCheck requests a health check. If the server does not answer in time it has timed out; an answer that
// comes later is ignored.
func (cl *Client) startHealthCheck() {
	if cl.checkDeadline == 0 {
		timeout := cl.config.ConnectTimeout
		if timeout <= 0 {
			timeout = balancer.Time(time.Hour / tick) // not limited: the end of the connection decides
		}
		cl.checkDeadline, cl.checkQueued = cl.now()+timeout, true
	}
	cl.assignQueued()
}

// sendHealthCheck sends a queued health check on a connection with capacity, or opens one.
func (cl *Client) sendHealthCheck() {
	c := cl.availableConn(0)
	if !cl.checkQueued || c == nil && (cl.dialing > 0 || cl.dial()) {
		return
	}
	if c == nil { // out of descriptors
		cl.finishHealthCheck(balancer.HealthCheckEnded{Outcome: balancer.NotDispatched})
		return
	}
	letter := byte(frame.HealthCheckFrame)
	if cl.config.LoadHealthChecks {
		letter = frame.LoadCheckFrame
	}
	c.enqueue(frame.New(letter, ""))
	c.usedAt = cl.now()
	cl.healthChecks = append(cl.healthChecks, c)
	cl.checkQueued = false
}

// finishHealthCheck reports the end of the requested health check. Ends of earlier ones are ignored.
func (cl *Client) finishHealthCheck(e balancer.HealthCheckEnded) {
	if cl.checkDeadline != 0 {
		cl.checkDeadline, cl.checkQueued = 0, false
		e.Server = cl.id
		cl.handler.HealthCheckEnded(e)
	}
}
