package dataplane

import (
	"net"
	"time"

	"oxbowspan/internal/settings"
)

// Timing of the graceful shutdown. The platform stops sending new connections only after two failed readiness checks, so the gateway
// still accepts them for minDrain.
const (
	idleCloseDelay     = 2200 * time.Millisecond // from SIGTERM until idle connections are closed
	minDrain           = 2500 * time.Millisecond // minimum time from SIGTERM until the listener is closed
	shutdownReserve    = 700 * time.Millisecond  // part of the grace period reserved for the steps after draining
	drainCheckInterval = 50 * time.Millisecond

	// maxRequestRead is the maximum time for which a gateway without open requests waits, after the listener was closed, for requests
	// of which only a part has arrived.
	maxRequestRead = 500 * time.Millisecond

	finalResponseTimeout = 300 * time.Millisecond // part of the reserve, for writing responses to requests that are still open
	finalCheckInterval   = 5 * time.Millisecond   // between two checks after the listener was closed
)

// drain keeps serving until the open requests are answered and the platform has had time to send clients to other gateways, but not beyond
// the grace period. Then it closes the listener and all connections, each only while no request is read or open on it. Requests that are
// still open at the end of the grace period are answered without a result.
func (g *Gateway) drain(front net.Listener) {
	g.process.log.Info().Msg("gateway: draining")
	g.process.draining.Store(true)
	startedAt := time.Now()
	end := startedAt.Add(max(settings.Seconds(g.process.settings.Bounds.GracePeriodS)-shutdownReserve, minDrain))
	g.serveUntilIdle(startedAt, end)
	front.Close()
	if !g.closeConnsBy(end) {
		g.answerOpenRequests()
	}
}

// serveUntilIdle keeps serving for minDrain and then until no request is open, but not beyond a time.
func (g *Gateway) serveUntilIdle(startedAt, end time.Time) {
	ticker := time.NewTicker(drainCheckInterval)
	defer ticker.Stop()
	for range ticker.C {
		now := time.Now()
		elapsed := now.Sub(startedAt)
		if elapsed > idleCloseDelay {
			g.front.conns.closeIdle()
		}
		if elapsed > minDrain && g.front.openRequests.Load() == 0 || now.After(end) {
			return
		}
	}
}

// closeConnsBy closes idle connections until none is open or only such on which a part of a request has arrived and not been completed for
// maxRequestRead. It reports false if requests are still open at the given time.
func (g *Gateway) closeConnsBy(end time.Time) bool {
	readBy := time.Now().Add(maxRequestRead)
	for {
		g.front.conns.closeIdle()
		now, open := time.Now(), g.front.openRequests.Load()
		switch {
		case g.front.conns.count() == 0 || open == 0 && now.After(readBy):
			return true
		case now.After(end):
			return false
		}
		time.Sleep(finalCheckInterval)
	}
}

// answerOpenRequests answers the requests that are still open at the end of the grace period instead of just closing their connections.
// The response states whether the request was not executed or may have been. It waits up to finalResponseTimeout until the responses are
// written; requests that are read meanwhile are answered in the same way.
func (g *Gateway) answerOpenRequests() {
	for end := time.Now().Add(finalResponseTimeout); time.Now().Before(end) && g.front.conns.count() > 0; {
		g.front.conns.closeIdle()
		g.loop.post(g.dispatcher.failOpenRequests)
		time.Sleep(finalCheckInterval)
	}
}
