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
	p := newClient(id, host, addr, config, now, handler, budget, dial)
	go p.run()
	return p
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
func (p *Client) TrySubmit(c Command) bool {
	select {
	case p.mailbox <- c:
		return true
	default:
		return false
	}
}

// Stop lets the client end once nothing is in flight. No command may follow.
func (p *Client) Stop() { close(p.mailbox) }

// Done is closed once the client has ended and its connections are closed.
func (p *Client) Done() <-chan struct{} { return p.done }

func (p *Client) run() {
	defer close(p.done)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	mailbox := p.mailbox
	for {
		timer.Reset(p.untilNext())
		select {
		case c, ok := <-mailbox:
			if !ok {
				mailbox = nil
			} else {
				p.execute(c)
			}
		case e := <-p.events:
			p.handleEvent(e)
		case <-timer.C:
		}
		p.expire()
		if mailbox == nil && len(p.pending) == 0 {
			for _, c := range p.conns {
				c.close(endUnlisted)
			}
			if p.openConns+p.dialing == 0 {
				p.finishHealthCheck(balancer.HealthCheckEnded{Outcome: balancer.NotDispatched})
				return
			}
		}
	}
}

// untilNext returns the time until the next deadline or idle timeout.
func (p *Client) untilNext() time.Duration {
	next := p.now() + balancer.Time(time.Hour/tick)
	if first, ok := p.deadlines.First(); ok {
		next = first.Deadline
	}
	if p.checkDeadline != 0 {
		next = min(next, p.checkDeadline)
	}
	for _, c := range p.conns {
		// A closed connection stays until its goroutines have ended. If it counted here the client would spin until
		// then, and on a single core keep those goroutines from running.
		if c.closed {
			continue
		}
		if c.inFlight == 0 {
			next = min(next, c.usedAt+p.idleTimeout())
		}
		if c.partialSince > 0 {
			next = min(next, c.partialSince+p.config.ConnectTimeout)
		}
	}
	return max(0, time.Duration(next-p.now())*tick)
}

// idleTimeout returns how long a connection may be idle: a quarter less than the server allows, for the time that
// our last bytes were on their way.
func (p *Client) idleTimeout() balancer.Time {
	if p.config.IdleTimeout <= 0 {
		return balancer.Time(time.Hour / tick)
	}
	return p.config.IdleTimeout * 3 / 4
}

// expire ends attempts past their deadline, an overdue health check, and connections past a timeout.
func (p *Client) expire() {
	now := p.now()
	for first, ok := p.deadlines.First(); ok && first.Deadline <= now; first, ok = p.deadlines.First() {
		p.abandon(first, balancer.TimedOut)
	}
	if p.checkDeadline != 0 && now >= p.checkDeadline {
		for _, c := range p.healthChecks {
			p.markSilent(c) // the next attempt opens a new connection, which shows whether the machine is reachable
		}
		p.finishHealthCheck(balancer.HealthCheckEnded{Outcome: balancer.TimedOut})
	}
	for _, c := range p.conns {
		if c.inFlight == 0 && now >= c.usedAt+p.idleTimeout() {
			c.close(endIdle)
		}
		if c.partialSince > 0 && !c.closed && now >= c.partialSince+p.config.ConnectTimeout {
			p.handleMalformed(c, "", errIncompleteFrame, true)
		}
	}
}

func (p *Client) execute(command Command) {
	switch c := command.(type) {
	case Dispatch:
		p.dispatch(c.Attempts)
	case Cancel:
		if a := p.pending[attemptKey{c.ID, c.Number}]; a != nil {
			p.abandon(a, balancer.Cancelled)
		}
	case HealthCheck:
		p.startHealthCheck()
	case CloseIdle:
		for _, c := range p.conns {
			if c.inFlight == 0 && !slices.Contains(p.healthChecks, c) {
				c.close(endIdleUnsafe)
			}
		}
	case CloseAll:
		for _, c := range p.conns {
			c.close(endStopped)
		}
		p.failQueued()
	case Drain:
		p.drain()
	case AddressChanged:
		p.changeAddress(c)
	}
}

// drain closes connections as they become idle. During a rolling restart they would otherwise hold descriptors
// that the connections to the new servers need. Batches that wait for a connection never ran and may go elsewhere.
func (p *Client) drain() {
	p.failQueued()
	for _, c := range p.conns {
		c.drainReason = endDraining
		c.closeIfDone()
	}
}

// changeAddress adopts a new address or incarnation of the server. Connections opened before its start lead to a
// process that is gone. Those to an old address finish what is in flight.
func (p *Client) changeAddress(command AddressChanged) {
	for _, c := range p.conns {
		if command.StartedAt > c.openedAt {
			c.close(endRestarted)
		} else if command.Addr != p.addr {
			c.drainReason = endMoved
			c.closeIfDone()
		}
	}
	p.addr = command.Addr
}
