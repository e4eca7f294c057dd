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

// Limits of clients' connections.
const (
	// idleGrace is how long the protocol lets clients keep a connection without an open request.
	idleGrace = 2 * time.Second
	// slowHeadAfter is when a connection with an incomplete head is the first to be evicted.
	slowHeadAfter = readTimeout / 2
	// linger is how long an idle connection keeps its goroutine, so that a request soon after another is not delayed.
	linger = 250 * time.Millisecond
	// minIdleConns is how many idle connections may keep their goroutines at least.
	minIdleConns = 128
	// crowdDivisor gives the share of descriptors of idle connections above which those that asked once are closed. It
	// is less than a quarter of the third of all descriptors that the protocol gives clients.
	crowdDivisor = 8
	// reserveDivisor gives the share of descriptors for connections above the limit, whose requests are shed.
	reserveDivisor = 8
	// keepAliveProbes is how many unanswered keep-alive probes end a connection.
	keepAliveProbes = 3
	// resumedBacklog is how many resumed connections may wait for net/http in a channel.
	resumedBacklog = 64
)

// listener accepts the connections of clients within their share of the descriptors, and parks idle ones: those wait
// without a goroutine. Package connadmission decides which connections are admitted, parked and evicted. If none can be
// evicted a new one is accepted all the same and its request shed, as a client in the backlog believes to be connected.
// Above the reserve for these, accepting waits.
//
// The lock of the listener is taken before that of a connection.
type listener struct {
	net.Listener
	reserve      int // connections above the limit
	startedAt    time.Time
	shedResponse []byte           // to a request on a parked connection that cannot be resumed
	resumed      *resumedListener // serves connections that are resumed
	minRates     [phaseCount]connadmission.MinRate
	keepAlive    time.Duration // interval of keep-alive probes; 0 = as the system has it
	sendBuffer   int           // bytes; 0 = as the system has it

	mu                 sync.Mutex
	capacity           sync.Cond // a connection has ended, or the listener is closed
	admission          *connadmission.Controller
	memory             *memorybudget.Budget
	conns              []connSlot    // by connadmission.ID
	idleSet            *idleconn.Set // nil = idle connections are not parked
	closed             bool
	idleTimeout        time.Duration     // of parked connections; 0 = none
	wheel              *timerwheel.Wheel // idle timeouts and minimum rates, in ticks since startedAt; nil = there are none
	timer              *time.Timer       // for the next of them
	parkedSinceRelease int               // connections parked since memory was last released
	releaseTimer       *time.Timer
}

// listenerConfig configures a listener.
type listenerConfig struct {
	descriptors    int       // for clients
	quotas         []float64 // of the customers
	maxActiveConns int       // up to which a parked connection is resumed; 0 = no limit
	memory         *memorybudget.Budget
	connections    operatorconfig.Connections
}

func newListener(nl net.Listener, config listenerConfig) *listener {
	reserve := max(config.descriptors/reserveDivisor, 1)
	l := &listener{
		Listener: nl, reserve: reserve, startedAt: time.Now(), memory: config.memory,
		keepAlive: config.connections.KeepAlive, sendBuffer: config.connections.SendBuffer,
		admission: connadmission.New(connadmission.Options{
			MaxConns:          max(config.descriptors-reserve, 1),
			MinIdle:           millis(idleGrace),
			HeaderTimeout:     millis(slowHeadAfter),
			CustomerShares:    config.quotas,
			MaxActive:         config.maxActiveConns,
			MaxIdleOneShot:    cmp.Or(config.connections.IdleThreshold, max(config.descriptors/crowdDivisor, 1)),
			ParkDelay:         millis(linger),
			MaxIdleGoroutines: max(config.maxActiveConns, minIdleConns),
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

// Accept implements net.Listener. It returns only connections with a goroutine: others are parked until their first byte.
func (l *listener) Accept() (net.Conn, error) {
	l.mu.Lock()
	for l.admission.Len() >= l.admission.Limit()+l.reserve && !l.closed {
		l.capacity.Wait()
	}
	l.mu.Unlock()
	var room acceptRoom
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			if isDescriptorExhausted(err) && idleconn.HasPendingConn(l.Listener) && room.make(l.evictOne) {
				continue
			}
			return nil, err
		}
		room = acceptRoom{}
		if c := l.admit(raw); c != nil {
			return c, nil
		}
	}
}

const (
	// acceptRetries is how often a connection is accepted again after an eviction before another connection is evicted.
	acceptRetries = 5

	// acceptRetryDelay is waited before each of these. Parking and resuming hold a further descriptor for microseconds.
	acceptRetryDelay = time.Millisecond
)

// acceptRoom makes room for one connection to be accepted while descriptors are exhausted. The descriptor that an eviction
// frees may be taken at once by another goroutine that needs it for a moment only: it is waited for before a second
// connection is evicted.
type acceptRoom struct {
	evicted bool
	retries int // since the eviction
}

// make evicts a connection, or waits for the descriptor of the one that it evicted. It reports false if there is none to evict.
func (r *acceptRoom) make(evict func() bool) bool {
	if r.evicted && r.retries < acceptRetries {
		r.retries++
		time.Sleep(acceptRetryDelay)
		return true
	}
	r.evicted, r.retries = evict(), 0
	return r.evicted
}

// isDescriptorExhausted reports whether accepting failed because descriptors, or the kernel's memory for them, have run
// out.
func isDescriptorExhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) ||
		errors.Is(err, syscall.ENOMEM)
}

// evictOne closes the connection that can be evicted first. It is for descriptors that run out below the limit, as
// something else in the process uses them or the machine has fewer than it says: clients in the backlog would otherwise
// wait until one leaves. It reports false if no connection can be evicted.
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
		l.closeUnlessReadable(id, endMadeRoom)
	}
	l.mu.Unlock()
	l.evict(victim)
	return true
}

// evict closes a connection with a goroutine; nil = there is none. The listener's lock must not be held.
func (l *listener) evict(victim *clientConn) {
	if victim != nil {
		victim.setEndReason(endMadeRoom)
		victim.Close()
	}
}

// admit admits a new connection. It returns nil if the connection is parked until its first byte.
func (l *listener) admit(raw net.Conn) *clientConn {
	l.setSocketOptions(raw)
	c := &clientConn{Conn: raw, listener: l, startedAt: time.Now()}
	l.mu.Lock()
	var victim *clientConn
	victim, c.overLimit = l.makeRoom()
	granted := l.memory.Reserve(memorybudget.ActiveConns, activeConnMemory)
	if !granted {
		l.memory.ForceReserve(memorybudget.ActiveConns, activeConnMemory) // until it is parked or shed
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

// makeRoom makes room for a new connection: it closes parked ones, or returns one with a goroutine for the caller to
// close. A parked one with a request is resumed instead. It reports overLimit if none can be evicted.
func (l *listener) makeRoom() (victim *clientConn, overLimit bool) {
	for l.admission.Full() {
		id := l.admission.Victim(l.now())
		if id == connadmission.NoConn {
			return nil, true
		}
		if c := l.conns[id].conn; c != nil {
			return c, false
		}
		l.closeUnlessReadable(id, endMadeRoom)
	}
	return nil, false
}

// track stores a connection under its id.
func (l *listener) track(c *clientConn) {
	for int(c.id) >= len(l.conns) {
		l.conns = append(l.conns, connSlot{})
	}
	l.conns[c.id] = connSlot{conn: c}
}

// tracks reports whether a connection is stored under its id: it has not ended and is not parked.
func (l *listener) tracks(c *clientConn) bool {
	return int(c.id) < len(l.conns) && l.conns[c.id].conn == c
}

// release frees the slot of a connection that has ended.
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

// shouldClose reports whether a connection is to be closed after the present response.
func (l *listener) shouldClose(c *clientConn) bool {
	c.mu.Lock()
	requests := c.requests
	c.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracks(c) &&
		l.admission.ShouldCloseAfterResponse(c.id, requests, l.idleSet == nil && l.underPressure())
}

// requestStarted records the customer of the present request of a connection.
func (l *listener) requestStarted(c *clientConn, customer connadmission.CustomerIndex) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.tracks(c) {
		l.admission.IdentifyRequest(c.id, customer)
	}
}

// connStateChanged follows the states of connections in net/http.
func (l *listener) connStateChanged(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*clientConn)
	if !ok {
		return
	}
	c.mu.Lock()
	if c.idle = state == http.StateIdle; state == http.StateActive {
		c.requests++
		c.graceLeft, c.resumed = 0, false
	}
	partialHead := state == http.StateIdle && c.hasPartialHead() // of the next request, read with the last one
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

// stop closes the connections that net/http's shutdown would wait for without a request, and parked ones without one. It
// records the reason of idle ones that net/http is going to close.
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

// closeAll closes the parked connections without a request, and returns those that have never had one for the caller to
// close. Nothing is parked after it.
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
