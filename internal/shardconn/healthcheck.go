package shardconn

import (
	"time"

	"oxbowspan/balancer"
	"oxbowspan/internal/frame"
)

// startHealthCheck requests a health check, unless one is requested already. The check times out after the connect
// timeout; a later answer is ignored.
func (cl *Client) startHealthCheck() {
	if cl.checkDeadline == 0 {
		timeout := cl.config.ConnectTimeout
		if timeout <= 0 {
			timeout = balancer.Time(time.Hour / timeUnit) // unlimited: the check ends with the connection
		}
		cl.checkDeadline, cl.checkQueued = cl.now()+timeout, true
	}
	cl.assignQueued()
}

// sendHealthCheck sends the queued health check, if any, on a connection with capacity, or opens a connection.
func (cl *Client) sendHealthCheck() {
	c := cl.availableConn(0)
	if !cl.checkQueued || c == nil && (cl.dialing > 0 || cl.dial()) {
		return
	}
	if c == nil { // no descriptor is available
		cl.finishHealthCheck(balancer.HealthCheckEnded{Outcome: balancer.NotDispatched})
		return
	}
	letter := byte(frame.HealthCheckFrame)
	if cl.config.LoadHealthChecks {
		letter = frame.LoadCheckFrame
	}
	c.enqueue(frame.New(letter, ""))
	c.lastUsedAt = cl.now()
	cl.healthChecks = append(cl.healthChecks, c)
	cl.checkQueued = false
}

// finishHealthCheck reports the end of the requested health check. If none is requested, the end is that of an earlier
// check and is ignored.
func (cl *Client) finishHealthCheck(e balancer.HealthCheckEnded) {
	if cl.checkDeadline != 0 {
		cl.checkDeadline, cl.checkQueued = 0, false
		e.Server = cl.id
		cl.handler.HealthCheckEnded(e)
	}
}
