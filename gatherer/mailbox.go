package gatherer

import (
	"oxbowspan/balancer"
	"oxbowspan/degradation"
	"oxbowspan/internal/discovery"
	"oxbowspan/internal/shardconn"
)

// mailboxSize is how many messages may wait for the module. Whoever sends one more waits: a client's request,
// a server's answer. The module's actor itself never waits for another.
const mailboxSize = 1024

// The messages to the module's actor.
type (
	requestArrived   struct{ request *clientRequest }
	clientGone       struct{ request *clientRequest }
	listReceived     struct{ list discovery.ServerList }
	watchFailed      struct{}
	attemptEnded     struct{ event shardconn.AttemptEnded }
	healthCheckEnded struct{ event balancer.HealthCheckEnded }
	// levelsReplaced puts other figures of reduced service in force.
	levelsReplaced struct{ config degradation.Figures }
)

// mailbox is the module's, seen from outside. It is what peers and the list tell their news to.
type mailbox struct {
	messages chan any
	done     chan struct{} // closed when the actor is gone
}

// send hands a message over; false = the actor is gone.
func (m mailbox) send(msg any) bool {
	select {
	case m.messages <- msg:
		return true
	case <-m.done:
		return false
	}
}

func (m mailbox) AttemptEnded(e shardconn.AttemptEnded)        { m.send(attemptEnded{e}) }
func (m mailbox) HealthCheckEnded(p balancer.HealthCheckEnded) { m.send(healthCheckEnded{p}) }
func (m mailbox) ListReceived(l discovery.ServerList)          { m.send(listReceived{l}) }
func (m mailbox) WatchFailed()                                 { m.send(watchFailed{}) }
