package shardconn

import (
	"net"
	"slices"
	"time"

	"oxbowspan/balancer"
	"oxbowspan/internal/deadlineheap"
)

// mailboxSize is the capacity of the queue of commands and of the queue of connection events.
const mailboxSize = 256

// timeUnit is the duration of one unit of balancer.Time.
const timeUnit = time.Millisecond / time.Duration(balancer.Millisecond)

// Client is the client of one shard server. Its exported methods may be called from any goroutine.
type Client struct {
	id      balancer.ServerID
	host    string
	config  Config
	now     func() balancer.Time
	handler EventHandler
	budget  DescriptorBudget
	connect dialFunc

	mailbox chan Command
	events  chan event // from the goroutines of its connections
	done    chan struct{}

	// The following fields belong to the client's goroutine.
	addr          string
	conns         []*conn  // in the order of opening
	openConns     int      // number of connections whose goroutines have not ended
	dialing       int      // number of connections being opened
	queued        []*batch // batches that wait for a connection
	pending       map[attemptKey]*pendingAttempt
	deadlines     deadlineheap.Indexed[*pendingAttempt] // the pending attempts, by deadline
	healthChecks  []*conn                               // connections with a health check in flight, in the order of sending
	checkDeadline balancer.Time                         // deadline of the requested health check; 0 if none is requested
	checkQueued   bool                                  // the requested health check waits for a connection
}

type dialFunc func(addr string, timeout time.Duration) (net.Conn, error)

// Start starts a client of a server, which reports outcomes to the handler. After Stop it ends as soon as no attempt is
// pending.
func Start(id balancer.ServerID, host, addr string, config Config, now func() balancer.Time,
	handler EventHandler, budget DescriptorBudget) *Client {
	return start(id, host, addr, config, now, handler, budget, connect)
}

func start(id balancer.ServerID, host, addr string, config Config, now func() balancer.Time,
	handler EventHandler, budget DescriptorBudget, dial dialFunc) *Client {
	cl := newClient(id, host, addr, config, now, handler, budget, dial)
	go cl.run()
	return cl
}

func newClient(id balancer.ServerID, host, addr string, config Config, now func() balancer.Time,
	handler EventHandler, budget DescriptorBudget, dial dialFunc) *Client {
	config.MaxStreamsPerConn = max(config.MaxStreamsPerConn, 1)
	config.MaxCallsPerFrame = max(config.MaxCallsPerFrame, 1)
	if config.Memory == nil {
		config.Memory = noopMemory{}
	}
	return &Client{id: id, host: host, addr: addr, config: config, now: now, handler: handler, budget: budget,
		connect: dial, mailbox: make(chan Command, mailboxSize), events: make(chan event, mailboxSize),
		done: make(chan struct{}), pending: map[attemptKey]*pendingAttempt{}}
}

// TrySubmit submits a command without blocking. It returns false if the mailbox is full.
func (cl *Client) TrySubmit(c Command) bool {
	select {
	case cl.mailbox <- c:
		return true
	default:
		return false
	}
}

// Stop makes the client end as soon as no attempt is pending. No command may be submitted after it.
func (cl *Client) Stop() { close(cl.mailbox) }

// Done returns a channel that is closed when the client has ended and its connections are closed.
func (cl *Client) Done() <-chan struct{} { return cl.done }

// run executes commands, processes connection events and enforces timeouts until the client has been stopped.
func (cl *Client) run() {
	defer close(cl.done)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	mailbox := cl.mailbox
	for {
		timer.Reset(cl.untilNextTimeout())
		select {
		case c, ok := <-mailbox:
			if !ok {
				mailbox = nil
			} else {
				cl.execute(c)
			}
		case e := <-cl.events:
			cl.handleEvent(e)
		case <-timer.C:
		}
		cl.expire()
		if mailbox == nil && len(cl.pending) == 0 {
			for _, c := range cl.conns {
				c.close(endUnlisted)
			}
			if cl.openConns+cl.dialing == 0 {
				cl.finishHealthCheck(balancer.HealthCheckEnded{Outcome: balancer.NotDispatched})
				return
			}
		}
	}
}

// untilNextTimeout returns the time until the earliest deadline or connection timeout, at least 0.
func (cl *Client) untilNextTimeout() time.Duration {
	next := cl.now() + balancer.Time(time.Hour/timeUnit)
	if first, ok := cl.deadlines.First(); ok {
		next = first.Deadline
	}
	if cl.checkDeadline != 0 {
		next = min(next, cl.checkDeadline)
	}
	for _, c := range cl.conns {
		// A closed connection stays in the list until its goroutines have ended. If its timeouts were considered, the
		// client would spin until then and, on a single core, prevent those goroutines from running.
		if c.closed {
			continue
		}
		if c.inFlight == 0 {
			next = min(next, c.lastUsedAt+cl.idleTimeout())
		}
		if c.partialSince > 0 {
			next = min(next, c.partialSince+cl.config.ConnectTimeout)
		}
	}
	return max(0, time.Duration(next-cl.now())*timeUnit)
}

// idleTimeout returns how long a connection may be idle: three quarters of the server's idle timeout, so that the
// connection is closed before the server closes it. The margin allows for the transit time of the last bytes sent.
func (cl *Client) idleTimeout() balancer.Time {
	if cl.config.IdleTimeout <= 0 {
		return balancer.Time(time.Hour / timeUnit)
	}
	return cl.config.IdleTimeout * 3 / 4
}

// expire ends the attempts and the health check whose deadlines have passed, and closes connections past a timeout.
func (cl *Client) expire() {
	now := cl.now()
	for first, ok := cl.deadlines.First(); ok && first.Deadline <= now; first, ok = cl.deadlines.First() {
		cl.abandon(first, balancer.TimedOut)
	}
	if cl.checkDeadline != 0 && now >= cl.checkDeadline {
		for _, c := range cl.healthChecks {
			cl.markSilent(c) // the next attempt opens a new connection, which shows whether the host is reachable
		}
		cl.finishHealthCheck(balancer.HealthCheckEnded{Outcome: balancer.TimedOut})
	}
	for _, c := range cl.conns {
		if c.inFlight == 0 && now >= c.lastUsedAt+cl.idleTimeout() {
			c.close(endIdle)
		}
		if c.partialSince > 0 && !c.closed && now >= c.partialSince+cl.config.ConnectTimeout {
			cl.handleMalformed(c, "", errIncompleteFrame, true)
		}
	}
}

// execute executes a command.
func (cl *Client) execute(command Command) {
	switch c := command.(type) {
	case Dispatch:
		cl.dispatch(c.Attempts)
	case Cancel:
		if a := cl.pending[attemptKey{c.ID, c.Number}]; a != nil {
			cl.abandon(a, balancer.Cancelled)
		}
	case HealthCheck:
		cl.startHealthCheck()
	case CloseIdle:
		for _, c := range cl.conns {
			if c.inFlight == 0 && !slices.Contains(cl.healthChecks, c) {
				c.close(endIdleUnsafe)
			}
		}
	case CloseAll:
		for _, c := range cl.conns {
			c.close(endStopped)
		}
		cl.failQueued()
	case Drain:
		cl.drain()
	case AddressChanged:
		cl.changeAddress(c)
	}
}

// drain closes each connection as soon as it is idle. During a rolling restart idle connections to draining servers would
// otherwise use descriptors that the connections to the new servers need. Batches that wait for a connection fail: their
// attempts never ran and may be sent to other servers.
func (cl *Client) drain() {
	cl.failQueued()
	for _, c := range cl.conns {
		c.drainReason = endDraining
		c.closeIfDrained()
	}
}

// changeAddress sets a new address or start time of the server. Connections opened before the server's start belong to
// an earlier process, which has ended, and are closed. Connections to an old address are closed once nothing is in
// flight.
func (cl *Client) changeAddress(command AddressChanged) {
	for _, c := range cl.conns {
		if command.StartedAt > c.openedAt {
			c.close(endRestarted)
		} else if command.Addr != cl.addr {
			c.drainReason = endMoved
			c.closeIfDrained()
		}
	}
	cl.addr = command.Addr
}
