package gatherer

import (
	"cmp"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"oxbowspan/connadmission"
	"oxbowspan/internal/idleconn"
	"oxbowspan/internal/operatorconfig"
	"oxbowspan/internal/timerwheel"
	"oxbowspan/memorybudget"
)

// Limits of client connections.
const (
	// minIdleTime is how long the protocol guarantees clients a connection without an open request.
	minIdleTime = 2 * time.Second
	// headerTimeout is the age from which a new connection without a complete request head is evicted before others.
	headerTimeout = readTimeout / 2
	// parkDelay is how long an idle connection keeps its goroutine, so that a request soon after another is not delayed
	// by resuming the connection.
	parkDelay = 250 * time.Millisecond
	// minIdleConns is the lower bound for the number of idle connections that may keep their goroutines.
	minIdleConns = 128
	// idleOneShotDivisor is the divisor of the descriptors for the number of idle connections from which on connections
	// with a single request are closed after the response. An eighth is less than a quarter of the third of all
	// descriptors that the protocol grants clients.
	idleOneShotDivisor = 8
	// reserveDivisor is the divisor of the descriptors for connections above the limit, whose requests are shed.
	reserveDivisor = 8
	// keepAliveProbes is the number of unanswered TCP keep-alive probes after which a connection fails.
	keepAliveProbes = 3
	// resumedBacklog is the capacity of the channel of resumed connections that wait for net/http.
	resumedBacklog = 64
)

// listener accepts client connections within their share of the descriptors. Idle connections are parked: they wait for
// the next request without a goroutine. Package connadmission decides which connections are admitted, parked and
// evicted. If none can be evicted, a new connection is accepted nevertheless and its request is shed, because a client
// in the backlog is already connected from its own point of view. Once the reserve for such connections is used up,
// Accept blocks.
//
// Lock order: the lock of the listener is taken before that of a connection.
type listener struct {
	net.Listener
	reserve      int // the number of connections accepted above the limit
	startedAt    time.Time
	shedResponse []byte           // sent to a request on a parked connection that cannot be resumed
	resumed      *resumedListener // serves connections that are resumed
	minRates     [phaseCount]connadmission.MinRate
	keepAlive    time.Duration // interval of TCP keep-alive probes; 0 = the default of package net
	sendBuffer   int           // bytes of the socket's send buffer; 0 = the default of the system

	mu                 sync.Mutex
	capacity           sync.Cond // signaled when a connection has ended or the listener is closed
	admission          *connadmission.Controller
	memory             *memorybudget.Budget
	conns              []connSlot    // by connadmission.ID
	idleSet            *idleconn.Set // nil = parking is disabled
	closed             bool
	idleTimeout        time.Duration     // of parked connections; 0 = none
	wheel              *timerwheel.Wheel // idle timeouts and rate checks, in wheelTicks since startedAt; nil = there are none
	timer              *time.Timer       // fires at the next entry of the wheel
	parkedSinceRelease int               // connections parked since memory was last returned to the system
	releaseTimer       *time.Timer
}

// listenerConfig configures a listener.
type listenerConfig struct {
	descriptors    int       // for client connections
	quotas         []float64 // of the customers, in requests per second
	maxActiveConns int       // the number of open requests up to which parked connections are resumed; 0 = no limit
	memory         *memorybudget.Budget
	connections    operatorconfig.Connections
}

// newListener returns a listener that accepts from nl. Parking is disabled until enableParking is called.
func newListener(nl net.Listener, config listenerConfig) *listener {
	reserve := max(config.descriptors/reserveDivisor, 1)
	l := &listener{
		Listener: nl, reserve: reserve, startedAt: time.Now(), memory: config.memory,
		keepAlive: config.connections.KeepAlive, sendBuffer: config.connections.SendBuffer,
		admission: connadmission.New(connadmission.Options{
			MaxConns:              max(config.descriptors-reserve, 1),
			MinIdle:               millis(minIdleTime),
			HeaderTimeout:         millis(headerTimeout),
			CustomerShares:        config.quotas,
			MaxActive:             config.maxActiveConns,
			OneShotCloseThreshold: cmp.Or(config.connections.OneShotCloseThreshold, max(config.descriptors/idleOneShotDivisor, 1)),
			ParkDelay:             millis(parkDelay),
			MaxIdleGoroutines:     max(config.maxActiveConns, minIdleConns),
		}),
		resumed: &resumedListener{Listener: nl, conns: make(chan net.Conn, resumedBacklog), done: make(chan struct{})},
	}
	l.capacity.L = &l.mu
	if l.memory == nil {
		l.memory = memorybudget.New(memorybudget.Options{}, nil)
	}
	grace := millis(config.connections.RateGrace)
	l.minRates = [phaseCount]connadmission.MinRate{
		readingHead:   {BytesPerSecond: config.connections.MinHeaderRate, Grace: grace},
		readingBody:   {BytesPerSecond: config.connections.MinBodyRate, Grace: grace},
		writingAnswer: {BytesPerSecond: config.connections.MinResponseRate, Grace: grace},
	}
	if l.enforcesMinRate() {
		l.startWheel()
	}
	return l
}

func millis(d time.Duration) connadmission.Millis { return connadmission.Millis(d.Milliseconds()) }

func (l *listener) now() connadmission.Millis { return millis(time.Since(l.startedAt)) }

func (l *listener) underPressure() bool { return l.memory.Pressure() >= memorybudget.PressureHigh }

// Accept implements net.Listener. It does not return connections that are parked until their first byte.
func (l *listener) Accept() (net.Conn, error) {
	l.mu.Lock()
	for l.admission.Len() >= l.admission.Limit()+l.reserve && !l.closed {
		l.capacity.Wait()
	}
	l.mu.Unlock()
	var reclaimer descriptorReclaimer
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			if isDescriptorExhausted(err) && idleconn.HasPendingConn(l.Listener) && reclaimer.reclaim(l.evictOne) {
				continue
			}
			return nil, err
		}
		reclaimer = descriptorReclaimer{}
		if c := l.admit(raw); c != nil {
			return c, nil
		}
	}
}

const (
	// acceptRetries is the number of further attempts to accept after an eviction before another connection is evicted.
	acceptRetries = 5

	// acceptRetryDelay is the delay before each of these attempts. Parking or resuming a connection uses an additional
	// descriptor for microseconds.
	acceptRetryDelay = time.Millisecond
)

// descriptorReclaimer frees a descriptor for one connection to be accepted while descriptors are exhausted. Another
// goroutine may take the freed descriptor at once but briefly, so accepting is retried before a second connection is
// evicted.
type descriptorReclaimer struct {
	evicted bool
	retries int // since the eviction
}

// reclaim evicts a connection, or waits for the descriptor of the connection evicted before. It reports false if no
// connection can be evicted.
func (d *descriptorReclaimer) reclaim(evict func() bool) bool {
	if d.evicted && d.retries < acceptRetries {
		d.retries++
		time.Sleep(acceptRetryDelay)
		return true
	}
	d.evicted, d.retries = evict(), 0
	return d.evicted
}

// isDescriptorExhausted reports whether accept failed because descriptors, or the kernel's memory for them, are
// exhausted.
func isDescriptorExhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) ||
		errors.Is(err, syscall.ENOMEM)
}

// evictOne evicts the connection that is first in the eviction order. It is called if descriptors are exhausted below
// the connection limit, because something else in the process uses them or the machine has fewer than configured:
// clients in the backlog would otherwise wait until another client disconnects. It reports false if no connection can
// be evicted.
func (l *listener) evictOne() bool {
	l.mu.Lock()
	id := l.admission.Victim(l.now())
	if l.closed || id == connadmission.NoConn {
		l.mu.Unlock()
		return false
	}
	victim := l.conns[id].conn
	slog.Warn("accept_no_descriptor", "connections", l.admission.Len(), "limit", l.admission.Limit())
	if victim == nil {
		l.closeUnlessReadable(id, endEvicted)
	}
	l.mu.Unlock()
	l.evict(victim)
	return true
}

// evict closes a connection that is not parked; nil = there is none. The caller must not hold l.mu.
func (l *listener) evict(victim *clientConn) {
	if victim != nil {
		victim.setEndReason(endEvicted)
		victim.Close()
	}
}

// admit registers a new connection, and evicts another if the limit is reached. It returns nil if the new connection is
// parked until its first byte.
func (l *listener) admit(raw net.Conn) *clientConn {
	l.setSocketOptions(raw)
	c := &clientConn{Conn: raw, listener: l, startedAt: time.Now()}
	l.mu.Lock()
	var victim *clientConn
	victim, c.overLimit = l.ensureCapacity()
	granted := l.memory.Reserve(memorybudget.ActiveConns, activeConnMemory)
	if !granted {
		l.memory.ForceReserve(memorybudget.ActiveConns, activeConnMemory) // released when it is parked or closed
	}
	decision := l.admission.Decide(granted, l.underPressure())
	c.id = l.admission.Open(l.now())
	l.track(c)
	parked := decision == connadmission.DecisionPark && !c.overLimit && l.parkLocked(c, readTimeout)
	if decision == connadmission.DecisionPark && !parked {
		c.overLimit = c.overLimit || l.admission.DecideUnparkable(granted) == connadmission.DecisionReject
	}
	l.mu.Unlock()
	l.evict(victim)
	if parked {
		return nil
	}
	return c
}

// setSocketOptions sets the configured keep-alive and send buffer of a TCP connection.
func (l *listener) setSocketOptions(raw net.Conn) {
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		return
	}
	if l.keepAlive > 0 {
		tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: l.keepAlive, Interval: l.keepAlive,
			Count: keepAliveProbes})
	}
	if l.sendBuffer > 0 {
		tcp.SetWriteBuffer(l.sendBuffer)
	}
}

// ensureCapacity evicts connections until a new one is within the limit. It closes parked connections itself, but
// resumes those that have received a request; a connection that is not parked is returned for the caller to close. It
// reports overLimit if no connection can be evicted. The caller holds l.mu.
func (l *listener) ensureCapacity() (victim *clientConn, overLimit bool) {
	for l.admission.Full() {
		id := l.admission.Victim(l.now())
		if id == connadmission.NoConn {
			return nil, true
		}
		if c := l.conns[id].conn; c != nil {
			return c, false
		}
		l.closeUnlessReadable(id, endEvicted)
	}
	return nil, false
}

// track stores a connection in the slot of its id.
func (l *listener) track(c *clientConn) {
	for int(c.id) >= len(l.conns) {
		l.conns = append(l.conns, connSlot{})
	}
	l.conns[c.id] = connSlot{conn: c}
}

// tracks reports whether the slot of its id holds a connection, which is so until the connection ends or is parked.
func (l *listener) tracks(c *clientConn) bool {
	return int(c.id) < len(l.conns) && l.conns[c.id].conn == c
}

// release frees the slot and the memory reservation of a connection that has ended.
func (l *listener) release(id connadmission.ID) {
	l.cancelTimeout(id)
	l.admission.Close(id)
	if l.conns[id].fd != 0 {
		l.memory.Release(memorybudget.ParkedConns, idleConnMemory)
	} else {
		l.memory.Release(memorybudget.ActiveConns, activeConnMemory)
	}
	l.conns[id] = connSlot{}
	l.capacity.Signal()
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.capacity.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

// connClosed releases a connection that has ended. It reports false if the connection is parked instead.
func (l *listener) connClosed(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	tracked := l.tracks(c)
	if tracked {
		l.release(c.id)
	}
	return tracked
}

// shouldClose reports whether a connection is to be closed after the current response.
func (l *listener) shouldClose(c *clientConn) bool {
	c.mu.Lock()
	requests := c.requests
	c.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracks(c) &&
		l.admission.ShouldCloseAfterResponse(c.id, requests, l.idleSet == nil && l.underPressure())
}

// requestStarted records the customer of the current request of a connection.
func (l *listener) requestStarted(c *clientConn, customer connadmission.CustomerIndex) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.tracks(c) {
		l.admission.IdentifyRequest(c.id, customer)
	}
}

// connStateChanged implements http.Server's ConnState hook. It counts requests and reports their begin and end to the
// admission controller.
func (l *listener) connStateChanged(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*clientConn)
	if !ok {
		return
	}
	c.mu.Lock()
	if c.idle = state == http.StateIdle; state == http.StateActive {
		c.requests++
		c.remainingGrace, c.resumed = 0, false
	}
	partialHead := state == http.StateIdle && c.hasPartialHead() // the next request was partly read with the last one
	c.mu.Unlock()
	if partialHead && l.enforcesMinRate() {
		defer l.enterPhase(c, readingHead)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.tracks(c) {
		return
	}
	switch state {
	case http.StateActive:
		l.admission.BeginRequest(c.id)
	case http.StateIdle:
		l.admission.EndRequest(c.id, l.now())
	}
}

// stop closes the connections that have not sent a byte, for which net/http's Shutdown would wait, and the parked
// connections without a request. It records the end reason of idle connections, which net/http closes.
func (l *listener) stop() {
	l.mu.Lock()
	unused := l.closeAll()
	set := l.idleSet
	for _, t := range []*time.Timer{l.timer, l.releaseTimer} {
		if t != nil {
			t.Stop()
		}
	}
	l.mu.Unlock()
	for _, c := range unused {
		c.Close()
	}
	if set != nil {
		l.resumed.wait()
		set.Stop()
	}
}

// closeAll marks the listener as closed, so that nothing is parked any more, and closes the parked connections without
// a request. It returns the other connections that have not sent a byte for the caller to close. The caller holds l.mu.
func (l *listener) closeAll() (unused []*clientConn) {
	l.closed = true
	for i := range l.conns {
		switch slot := l.conns[i]; {
		case slot.fd != 0:
			l.closeUnlessReadable(connadmission.ID(i), endStopped)
		case slot.conn != nil:
			hasRead := slot.conn.hasRead.Load()
			if !hasRead {
				unused = append(unused, slot.conn)
			}
			if !hasRead || slot.conn.isMarkedIdle() {
				slot.conn.setEndReason(endStopped)
			}
		}
	}
	return unused
}
