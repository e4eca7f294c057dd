package shardconn

import (
	"net"
	"slices"
	"time"

	"oxbowspan/balancer"
	"oxbowspan/internal/deadlineheap"
)

// mailboxSize is how many commands, and how many events of connections, may wait.
const mailboxSize = 256

// tick is the time.Duration of one balancer.Time.
const tick = time.Millisecond / time.Duration(balancer.Millisecond)

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
	events  chan event // of its own connections
	done    chan struct{}

	// The rest belongs to the client's goroutine.
	addr          string
	conns         []*conn  // in order of opening
	openConns     int      // connections whose goroutines have not ended
	dialing       int      // connections being opened
	queued        []*batch // batches that wait for a connection
	pending       map[attemptKey]*pendingAttempt
	deadlines     deadlineheap.Indexed[*pendingAttempt] // the same, by deadline
	healthChecks  []*conn                               // connections with a health check in flight, in order
	checkDeadline balancer.Time                         // of the requested health check; 0 = none is requested
	checkQueued   bool                                  // it waits for a connection
}

type dialFunc func(addr string, timeout time.Duration) (net.Conn, error)

// Start returns a running client of a server. Its outcomes go to the handler. After Stop it ends once nothing is
// in flight.
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
	config.StreamsPerConn = max(config.StreamsPerConn, 1)
	config.CallsPerFrame = max(config.CallsPerFrame, 1)
	if config.Memory == nil {
		config.Memory = noopMemory{}
	}
	return &Client{id: id, host: host, addr: addr, config: config, now: now, handler: handler, budget: budget,
		connect: dial, mailbox: make(chan Command, mailboxSize), events: make(chan event, mailboxSize),
		done: make(chan struct{}), pending: map[attemptKey]*pendingAttempt{}}
}

// TrySubmit hands over a command without blocking. It reports false if the mailbox is full.
func (cl *Client) TrySubmit(c Command) bool {
	select {
	case cl.mailbox <- c:
		return true
	default:
		return false
	}
}

// Stop lets the client end once nothing is in flight. No command may follow.
func (cl *Client) Stop() { close(cl.mailbox) }

// Done is closed once the client has ended and its connections are closed.
func (cl *Client) Done() <-chan struct{} { return cl.done }

func (cl *Client) run() {
	defer close(cl.done)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	mailbox := cl.mailbox
	for {
		timer.Reset(cl.untilNext())
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

// untilNext returns the time until the next deadline or idle timeout.
func (cl *Client) untilNext() time.Duration {
	next := cl.now() + balancer.Time(time.Hour/tick)
	if first, ok := cl.deadlines.First(); ok {
		next = first.Deadline
	}
	if cl.checkDeadline != 0 {
		next = min(next, cl.checkDeadline)
	}
	for _, c := range cl.conns {
		// A closed connection stays until its goroutines have ended. If it counted here the client would spin until
		// then, and on a single core keep those goroutines from running.
		if c.closed {
			continue
		}
		if c.inFlight == 0 {
			next = min(next, c.usedAt+cl.idleTimeout())
		}
		if c.partialSince > 0 {
			next = min(next, c.partialSince+cl.config.ConnectTimeout)
		}
	}
	return max(0, time.Duration(next-cl.now())*tick)
}

// idleTimeout returns how long a connection may be idle: a quarter less than the server allows, for the time that
// our last bytes were on their way.
func (cl *Client) idleTimeout() balancer.Time {
	if cl.config.IdleTimeout <= 0 {
		return balancer.Time(time.Hour / tick)
	}
	return cl.config.IdleTimeout * 3 / 4
}

// expire ends attempts past their deadline, an overdue health check, and connections past a timeout.
func (cl *Client) expire() {
	now := cl.now()
	for first, ok := cl.deadlines.First(); ok && first.Deadline <= now; first, ok = cl.deadlines.First() {
		cl.abandon(first, balancer.TimedOut)
	}
	if cl.checkDeadline != 0 && now >= cl.checkDeadline {
		for _, c := range cl.healthChecks {
			cl.markSilent(c) // the next attempt opens a new connection, which shows whether the machine is reachable
		}
		cl.finishHealthCheck(balancer.HealthCheckEnded{Outcome: balancer.TimedOut})
	}
	for _, c := range cl.conns {
		if c.inFlight == 0 && now >= c.usedAt+cl.idleTimeout() {
			c.close(endIdle)
		}
		if c.partialSince > 0 && !c.closed && now >= c.partialSince+cl.config.ConnectTimeout {
			cl.handleMalformed(c, "", errIncompleteFrame, true)
		}
	}
}

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

// drain closes connections as they become idle. During a rolling restart they would otherwise hold descriptors
// that the connections to the new servers need. Batches that wait for a connection never ran and may go elsewhere.
func (cl *Client) drain() {
	cl.failQueued()
	for _, c := range cl.conns {
		c.drainReason = endDraining
		c.closeIfDone()
	}
}

// changeAddress adopts a new address or incarnation of the server. Connections opened before its start lead to a
// process that is gone. Those to an old address finish what is in flight.
func (cl *Client) changeAddress(command AddressChanged) {
	for _, c := range cl.conns {
		if command.StartedAt > c.openedAt {
			c.close(endRestarted)
		} else if command.Addr != cl.addr {
			c.drainReason = endMoved
			c.closeIfDone()
		}
	}
	cl.addr = command.Addr
}
