package gatherer

import (
	"oxbowspan/balancer"
	"oxbowspan/degradation"
	"oxbowspan/internal/admin"
	"oxbowspan/internal/discovery"
	"oxbowspan/internal/shardconn"
)

// mailboxSize is the capacity of the dispatcher's mailbox. If it is full, senders block: the goroutines of client
// requests and the clients of servers. The dispatcher itself never blocks on another goroutine.
const mailboxSize = 1024

// message is a message to the dispatcher.
type message interface{ message() }

// Messages to the dispatcher.
type (
	requestArrived     struct{ request *clientRequest }
	clientDisconnected struct{ request *clientRequest } // the client has disconnected
	listReceived       struct{ list discovery.ServerList }
	watchFailed        struct{}
	attemptEnded       struct{ event shardconn.AttemptEnded }
	healthCheckEnded   struct{ event balancer.HealthCheckEnded }
	// levelsReplaced replaces the configuration of degradation.
	levelsReplaced struct{ config degradation.Config }
	// operatorRequest is a request on the admin socket.
	operatorRequest struct{ request admin.Request }
	// intentWritten reports that the intent of a request is durable, or the error of writing it.
	intentWritten struct {
		request *clientRequest
		err     error
	}
	// intentTimeout reports that the intent of a request was not written in time.
	intentTimeout struct{ request *clientRequest }
)

func (requestArrived) message()     {}
func (clientDisconnected) message() {}
func (listReceived) message()       {}
func (watchFailed) message()        {}
func (attemptEnded) message()       {}
func (healthCheckEnded) message()   {}
func (levelsReplaced) message()     {}
func (operatorRequest) message()    {}
func (intentWritten) message()      {}
func (intentTimeout) message()      {}

// mailbox is the dispatcher's queue of messages from other goroutines. It implements shardconn.EventHandler and
// discovery.Handler.
type mailbox struct {
	messages chan message
	done     chan struct{} // closed when the dispatcher stops
}

var (
	_ shardconn.EventHandler = mailbox{}
	_ discovery.Handler      = mailbox{}
)

func newMailbox() mailbox {
	return mailbox{messages: make(chan message, mailboxSize), done: make(chan struct{})}
}

// send sends a message, and blocks while the mailbox is full. It reports false if the dispatcher has stopped.
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
