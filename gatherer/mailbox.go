package gatherer

import (
	"oxbowspan/balancer"
	"oxbowspan/degradation"
	"oxbowspan/internal/admin"
	"oxbowspan/internal/discovery"
	"oxbowspan/internal/shardconn"
)

// mailboxSize is how many messages may wait for the dispatcher. Whoever sends one more blocks: a client's request, the
// client of a server. The dispatcher itself never blocks on another goroutine.
const mailboxSize = 1024

// message is what the dispatcher receives.
type message interface{ message() }

// The messages.
type (
	requestArrived   struct{ request *clientRequest }
	clientGone       struct{ request *clientRequest }
	listReceived     struct{ list discovery.ServerList }
	watchFailed      struct{}
	attemptEnded     struct{ event shardconn.AttemptEnded }
	healthCheckEnded struct{ event balancer.HealthCheckEnded }
	// levelsReplaced carries a new configuration of degradation.
	levelsReplaced struct{ config degradation.Config }
	// operatorRequest carries a request of the admin socket.
	operatorRequest struct{ request admin.Request }
	// intentWritten says that the intent of a request is durable, or why it could not be written.
	intentWritten struct {
		request *clientRequest
		err     error
	}
	// intentTimeout says that the intent of a request is not written in time.
	intentTimeout struct{ request *clientRequest }
)

func (requestArrived) message()   {}
func (clientGone) message()       {}
func (listReceived) message()     {}
func (watchFailed) message()      {}
func (attemptEnded) message()     {}
func (healthCheckEnded) message() {}
func (levelsReplaced) message()   {}
func (operatorRequest) message()  {}
func (intentWritten) message()    {}
func (intentTimeout) message()    {}

// mailbox is the dispatcher as other goroutines see it. It implements shardconn.EventHandler and discovery.Handler.
type mailbox struct {
	messages chan message
	done     chan struct{} // closed when the dispatcher has ended
}

var (
	_ shardconn.EventHandler = mailbox{}
	_ discovery.Handler      = mailbox{}
)

func newMailbox() mailbox {
	return mailbox{messages: make(chan message, mailboxSize), done: make(chan struct{})}
}

// send sends a message. It reports false if the dispatcher has ended.
func (m mailbox) send(msg message) bool {
	select {
	case m.messages <- msg:
		return true
	case <-m.done:
		return false
	}
}

// AttemptEnded implements shardconn.EventHandler.
func (m mailbox) AttemptEnded(e shardconn.AttemptEnded) { m.send(attemptEnded{e}) }

// HealthCheckEnded implements shardconn.EventHandler.
func (m mailbox) HealthCheckEnded(e balancer.HealthCheckEnded) { m.send(healthCheckEnded{e}) }

// ListReceived implements discovery.Handler.
func (m mailbox) ListReceived(l discovery.ServerList) { m.send(listReceived{l}) }

// WatchFailed implements discovery.Handler.
func (m mailbox) WatchFailed() { m.send(watchFailed{}) }
