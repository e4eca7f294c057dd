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
	searchCame struct{ s *search }
	clientLeft struct{ s *search }
	listCame   struct{ l discovery.ServerList }
	listFailed struct{}
	ended      struct{ e shardconn.AttemptEnded }
	probed     struct{ p balancer.HealthCheckEnded }
	// levelsReplaced puts other figures of reduced service in force.
	levelsReplaced struct{ f degradation.Figures }
)

// mailbox is the module's, seen from outside. It is what peers and the list tell their news to.
type mailbox struct {
	c    chan any
	done chan struct{} // closed when the actor is gone
}

// put hands a message over; false = the actor is gone.
func (m mailbox) put(msg any) bool {
	select {
	case m.c <- msg:
		return true
	case <-m.done:
		return false
	}
}

func (m mailbox) AttemptEnded(e shardconn.AttemptEnded)        { m.put(ended{e}) }
func (m mailbox) HealthCheckEnded(p balancer.HealthCheckEnded) { m.put(probed{p}) }
func (m mailbox) ListReceived(l discovery.ServerList)          { m.put(listCame{l}) }
func (m mailbox) WatchFailed()                                 { m.put(listFailed{}) }
