package gatherer

import (
	"bytes"
	"cmp"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"strconv"
	"sync"
	"syscall"
	"time"

	"oxbowspan/balancer"
	"oxbowspan/connadmission"
	"oxbowspan/internal/idleconn"
	"oxbowspan/internal/operatorconfig"
	"oxbowspan/internal/timerwheel"
	"oxbowspan/memorybudget"
)

// listener keeps the clients' share of the descriptors, and what of them is idle without a goroutine. Who makes room, wakes or
// is turned away is decided by package admit. Where nobody can make room the newcomer is accepted all the same and its
// request shed, since one that waits in the backlog counts as taken. A little beyond that it waits for one to end.
type listener struct {
	net.Listener
	reserve      int
	startedAt    time.Time
	shedResponse []byte           // the answer to who cannot be woken
	resumed      *resumedListener // where what wakes is served from

	mu        sync.Mutex
	capacity  sync.Cond
	admission *connadmission.Controller
	memory    *memorybudget.Budget
	conns     []connSlot    // by admit.ID, as many as there were at once; a place is empty once its connection has ended
	idleSet   *idleconn.Set // nil = idle connections keep their goroutines
	closed    bool          // closed

	parkedSinceRelease int               // connections parked since memory was last given back
	releaseTimer       *time.Timer       // gives it back
	idleTimeout        time.Duration     // that a connection may be parked; 0 = any
	wheel              *timerwheel.Wheel // idle limits of the parked, least rates of the others; in ticks since began. nil = there are none
	timer              *time.Timer       // for the first of them

	minRates   [phaseCount]connadmission.MinRate
	keepAlive  time.Duration // a silent peer is asked after so long; 0 = the system's way
	sendBuffer int           // 0 = the system's way
}

// listenerConfig are what a listener is told.
type listenerConfig struct {
	descriptors    int       // descriptors for clients
	quotas         []float64 // shares of the customers
	maxActiveConns int       // open requests up to which a parked connection may wake; 0 = no limit
	memory         *memorybudget.Budget
	connections    operatorconfig.Connections
}

// connSlot is one client's connection: served by net/http, or parked. 40 bytes.
type connSlot struct {
	conn          *clientConn       // nil = parked, or nobody
	startedMillis int64             // parked: Unix milliseconds
	fd            int32             // parked: its descriptor; 0 = it is not
	requests      int32             // parked: none so far = it has never spoken
	timeout       timerwheel.Handle // parked: its idle limit, else its least rate's; 0 = none
	ip            [4]byte           // parked: its client's, as a socket that broke does not know it any more
	port          uint16            // 0 = not of IPv4
}

// remoteAddr is a parked connection's other side, for the log.
func (h connSlot) remoteAddr() string {
	if h.port == 0 {
		return idleconn.RemoteAddr(int(h.fd))
	}
	return netip.AddrPortFrom(netip.AddrFrom4(h.ip), h.port).String()
}

// crowdDivisor of the clients' descriptors idle is a crowd, see admit.Releases: clients hold a third of all descriptors
// for requests, says the protocol's later page, and this is under a quarter of that.
const crowdDivisor = 8

// linger is how long an idle connection keeps its goroutine: who asks again within it pays nothing for parking.
const linger = 250 * time.Millisecond

// Limits of a client's connection that admission goes by.
const (
	// idleGrace is how long a connection may be kept without an open request before it may be closed, says the protocol's
	// later page.
	idleGrace     = 2 * time.Second
	slowHeadAfter = readTimeout / 2
)

func newListener(l net.Listener, t listenerConfig) *listener {
	spare := max(t.descriptors/8, 1)
	k := &listener{Listener: l, reserve: spare, startedAt: time.Now(), memory: t.memory, admission: connadmission.New(connadmission.Options{MaxConns: max(t.descriptors-spare, 1),
		MinIdle: connadmission.Millis(idleGrace.Milliseconds()), HeaderTimeout: connadmission.Millis(slowHeadAfter.Milliseconds()), CustomerShares: t.quotas, MaxActive: t.maxActiveConns,
		MaxIdleOneShot: cmp.Or(t.connections.IdleThreshold, max(t.descriptors/crowdDivisor, 1)), ParkDelay: connadmission.Millis(linger.Milliseconds()), MaxIdleGoroutines: max(t.maxActiveConns, minIdleConns)})}
	k.capacity.L = &k.mu
	if k.memory == nil {
		k.memory = memorybudget.New(memorybudget.Options{}, nil)
	}
	grace := connadmission.Millis(t.connections.Grace.Milliseconds())
	k.minRates = [phaseCount]connadmission.MinRate{readingHead: {BytesPerSecond: t.connections.HeadRate, Grace: grace}, readingBody: {BytesPerSecond: t.connections.BodyRate, Grace: grace},
		writingAnswer: {BytesPerSecond: t.connections.AnswerRate, Grace: grace}}
	k.keepAlive, k.sendBuffer = t.connections.KeepAlive, t.connections.SendBuffer
	if k.enforcesMinRate() {
		k.startWheel()
	}
	k.resumed = &resumedListener{Listener: l, conns: make(chan net.Conn, 64), done: make(chan struct{})}
	return k
}

// minIdleConns is how many idle connections may keep their goroutines at least; see admit.Linger.
const minIdleConns = 128

// startWheel makes the wheel and its timer.
func (l *listener) startWheel() {
	if l.wheel == nil {
		l.wheel = timerwheel.New(0)
		l.timer = time.AfterFunc(time.Hour, l.advanceWheel)
	}
}

// lingerDuration is how long a connection that is idle now keeps its goroutine.
func (l *listener) lingerDuration() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.admission.ParkDelay(l.underPressure())) * time.Millisecond
}

func (l *listener) underPressure() bool { return l.memory.Pressure() >= memorybudget.PressureHigh }

// enableParking lets idle connections wait without a goroutine from now on, where the system can.
// A parked one is closed after idle, unless that is 0.
func (l *listener) enableParking(advice balancer.Time, idle time.Duration) {
	set, err := idleconn.New(l.parkedReadable)
	if err != nil {
		slog.Warn("parking_off", "error", err)
		return
	}
	body := "too many clients ask at once, asking again is harmless\n"
	head := http.Header{"Connection": {"close"}, "Content-Type": {"text/plain; charset=utf-8"}, "Content-Length": {strconv.Itoa(len(body))}}
	setRetryAfter(head, advice)
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 503 Service Unavailable\r\n")
	head.Write(&b)
	b.WriteString("\r\n" + body)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shedResponse, l.idleSet, l.idleTimeout = b.Bytes(), set, idle
	l.startWheel()
}

// wheelTick is how exactly an idle limit is kept.
const wheelTick = 100 * time.Millisecond

// tick is the first one that begins after so long from now.
func (l *listener) tick(after time.Duration) int64 {
	return int64((time.Since(l.startedAt)+after)/wheelTick) + 1
}

// advanceWheel ends what has been parked for too long, save what a request waits on already, and who is too slow.
func (l *listener) advanceWheel() {
	l.mu.Lock()
	slow := l.expireUntil(int64(time.Since(l.startedAt) / wheelTick))
	l.mu.Unlock()
	for _, c := range slow {
		c.Close()
	}
}

// expireUntil turns the limits to a moment, and lists what is to be closed. The listener's lock is held.
func (l *listener) expireUntil(tick int64) (slow []*clientConn) {
	l.wheel.Turn(tick, func(value uint32) {
		h := &l.conns[value]
		h.timeout = 0
		switch {
		case h.conn != nil:
			if l.isTooSlow(h.conn) {
				slow = append(slow, h.conn)
			}
		case h.requests == 0: // it never spoke, and whoever has not within the read limit is owed a close
			l.closeUnlessReadable(connadmission.ID(value), endReadLimit)
		default:
			l.closeUnlessReadable(connadmission.ID(value), endIdleLimit)
		}
	})
	l.resetTimer()
	return slow
}

// closeUnlessReadable closes a parked connection, or wakes it if a request waits on it already.
func (l *listener) closeUnlessReadable(id connadmission.ID, why string) {
	if waiting, _ := idleconn.Peek(int(l.conns[id].fd)); waiting {
		l.resume(id)
		return
	}
	l.closeParked(id, why)
}

// resetTimer sets the one timer to the first idle limit.
func (l *listener) resetTimer() {
	if next, any := l.wheel.Next(); any && !l.closed {
		l.timer.Reset(max(time.Until(l.startedAt.Add(time.Duration(next)*wheelTick)), 0))
	}
}

func (l *listener) now() connadmission.Millis {
	return connadmission.Millis(time.Since(l.startedAt).Milliseconds())
}

func (l *listener) Accept() (net.Conn, error) {
	l.mu.Lock()
	for l.admission.Len() >= l.admission.Limit()+l.reserve && !l.closed {
		l.capacity.Wait()
	}
	l.mu.Unlock()
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			if isDescriptorExhausted(err) && idleconn.Acceptable(l.Listener) && l.evictOne() {
				continue
			}
			return nil, err
		}
		if c := l.admit(raw); c != nil {
			return c, nil
		}
	}
}

// isDescriptorExhausted tells whether an accept failed as there is no descriptor left, or no memory of the system's for one.
func isDescriptorExhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

// evictOne closes who can best be spared when no descriptor is left although the limits say that there should be: the machine
// grants less than it says, or something else in the process holds them. Who waits in the backlog would else wait until
// somebody leaves by himself. false = nobody can be spared.
func (l *listener) evictOne() bool {
	l.mu.Lock()
	id := l.admission.Victim(l.now())
	if l.closed || id == connadmission.NoConn {
		l.mu.Unlock()
		return false
	}
	c := l.conns[id].conn
	slog.Warn("accept_no_descriptor", "connections", l.admission.Len(), "limit", l.admission.Limit())
	if c == nil {
		l.closeUnlessReadable(id, endMadeRoom)
	}
	l.mu.Unlock()
	if c != nil {
		c.setEndReason(endMadeRoom)
		c.Close()
	}
	return true
}

// admit takes a new connection in; nil = it waits for its first byte without a goroutine.
func (l *listener) admit(raw net.Conn) *clientConn {
	if tcp, ok := raw.(*net.TCPConn); ok {
		if l.keepAlive > 0 {
			tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: l.keepAlive, Interval: l.keepAlive, Count: 3})
		}
		if l.sendBuffer > 0 {
			tcp.SetWriteBuffer(l.sendBuffer)
		}
	}
	c := &clientConn{Conn: raw, listener: l, startedAt: time.Now()}
	l.mu.Lock()
	var other *clientConn
	other, c.overLimit = l.makeRoom()
	granted := l.memory.Reserve(memorybudget.ActiveConns, activeConnMemory)
	if !granted {
		l.memory.ForceReserve(memorybudget.ActiveConns, activeConnMemory) // until it is parked or shed
	}
	door := l.admission.Decide(granted, l.underPressure())
	c.id = l.admission.Open(l.now())
	l.track(c)
	waits := door == connadmission.DecisionPark && !c.overLimit && l.parkLocked(c, readTimeout)
	if door == connadmission.DecisionPark && !waits {
		c.overLimit = c.overLimit || l.admission.DecideUnparkable(granted) == connadmission.DecisionReject
	}
	l.mu.Unlock()
	if other != nil {
		other.setEndReason(endMadeRoom)
		other.Close()
	}
	if waits {
		return nil
	}
	return c
}

// track puts a connection into its place.
func (l *listener) track(c *clientConn) {
	for int(c.id) >= len(l.conns) {
		l.conns = append(l.conns, connSlot{})
	}
	l.conns[c.id] = connSlot{conn: c}
}

// makeRoom ends a connection for one that comes, or names one to be closed; over = none can be spared. A parked one on
// which a request waits already is not closed but woken.
func (l *listener) makeRoom() (other *clientConn, over bool) {
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

// park takes an idle connection's socket over; false = it keeps its goroutine.
func (l *listener) park(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.parkLocked(c, l.idleTimeout) {
		return false
	}
	if l.parkedSinceRelease++; l.parkedSinceRelease == releaseMemoryAfter {
		l.releaseTimer = time.AfterFunc(releaseMemoryDelay, l.releaseMemory)
	}
	return true
}

// parkLocked takes a connection's socket over, to be closed after so long, or ever if that is 0. The listener's lock is held.
func (l *listener) parkLocked(c *clientConn, limit time.Duration) bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || l.closed || l.idleSet == nil || int(c.id) >= len(l.conns) || l.conns[c.id].conn != c {
		return false
	}
	from, _ := tcp.RemoteAddr().(*net.TCPAddr)
	fd, err := l.idleSet.Park(tcp, uint32(c.id))
	if err != nil {
		return false // no descriptor is left for the moment that it takes one more
	}
	l.cancelTimeout(c.id)
	c.mu.Lock()
	c.parked, c.phase = true, noPhase
	requests := c.requests
	c.mu.Unlock()
	h := connSlot{startedMillis: c.startedAt.UnixMilli(), fd: int32(fd), requests: int32(requests)}
	if at := from.AddrPort(); at.Addr().Unmap().Is4() {
		h.ip, h.port = at.Addr().Unmap().As4(), at.Port()
	}
	if limit > 0 {
		h.timeout = l.wheel.Add(l.tick(limit), uint32(c.id))
		l.resetTimer()
	}
	l.conns[c.id] = h
	l.admission.Park(c.id)
	l.memory.Release(memorybudget.ActiveConns, activeConnMemory)
	l.memory.ForceReserve(memorybudget.ParkedConns, idleConnMemory)
	return true
}

// Once many connections have been parked, what their goroutines held goes back to the system: the runtime by itself keeps
// the pages of a ramp's peak for minutes. A collection a releaseMemoryDelay at most, and none while nobody is parked anew.
const (
	releaseMemoryAfter = 512
	releaseMemoryDelay = 2 * time.Second
)

func (l *listener) releaseMemory() {
	debug.FreeOSMemory()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.parkedSinceRelease = 0
}

// parkedReadable is told that something may have come on a parked connection.
func (l *listener) parkedReadable(value uint32, fd int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := connadmission.ID(value)
	if int(value) >= len(l.conns) || l.conns[value].fd != int32(fd) {
		return // it has been ended or woken meanwhile
	}
	switch waiting, over := idleconn.Peek(fd); {
	case errors.Is(over, io.EOF):
		l.closeParked(id, endClient)
	case over != nil:
		l.closeParked(id, endReset)
	case waiting:
		// Turned away here, before it costs a goroutine and buffers: given up, so answered at once.
		if !l.memory.Reserve(memorybudget.ActiveConns, activeConnMemory) {
			l.rejectParked(id)
		} else if !l.admission.Wake(id) {
			l.memory.Release(memorybudget.ActiveConns, activeConnMemory)
			l.rejectParked(id)
		} else {
			l.resumeAccounted(id)
		}
	default:
		if l.idleSet.Watch(fd, value) != nil {
			l.closeParked(id, endReset)
		}
	}
}

// resume hands a parked connection to net/http again, whatever memory is held: a request waits on it that is not to be closed
// upon.
func (l *listener) resume(id connadmission.ID) {
	l.memory.ForceReserve(memorybudget.ActiveConns, activeConnMemory)
	l.resumeAccounted(id)
}

// resumeAccounted does so once its memory is accounted for. Where no descriptor is left for the moment that this takes more, its
// request is shed at once: a request in hand is never closed upon without an answer.
func (l *listener) resumeAccounted(id connadmission.ID) {
	h := l.conns[id]
	raw, err := l.idleSet.Unpark(int(h.fd))
	if err != nil {
		slog.Warn("client_not_woken", "error", err)
		l.memory.Release(memorybudget.ActiveConns, activeConnMemory)
		l.rejectParked(id)
		return
	}
	l.cancelTimeout(id)
	c := &clientConn{Conn: raw, listener: l, id: id, startedAt: time.UnixMilli(h.startedMillis), requests: int(h.requests), resumed: true}
	c.hasRead.Store(true)
	l.conns[id] = connSlot{conn: c}
	l.memory.Release(memorybudget.ParkedConns, idleConnMemory)
	l.admission.BeginRequest(id) // a request is on its way: it is not closed to make room
	l.resumed.enqueue(c)
}

// closeParked closes a parked connection.
func (l *listener) closeParked(id connadmission.ID, why string) {
	l.dropParked(id, why, func() { l.idleSet.Close(int(l.conns[id].fd)) })
}

// rejectParked answers a parked connection's request 503, and closes it.
func (l *listener) rejectParked(id connadmission.ID) {
	l.dropParked(id, endOverLimit, func() { l.idleSet.Refuse(int(l.conns[id].fd), l.shedResponse) })
}

// dropParked forgets a parked connection, which end ends.
func (l *listener) dropParked(id connadmission.ID, why string, end func()) {
	h := l.conns[id]
	client := h.remoteAddr()
	end()
	l.release(id)
	logClientEnd(client, why, int(h.requests), time.UnixMilli(h.startedMillis))
}

// cancelTimeout takes away a connection's limit.
func (l *listener) cancelTimeout(id connadmission.ID) {
	if h := &l.conns[id]; h.timeout != 0 {
		l.wheel.Cancel(h.timeout)
		h.timeout = 0
	}
}

// release empties a connection's place.
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

func (l *listener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.capacity.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

// connClosed forgets a connection that has ended; false = it is not held, as it has been parked meanwhile.
func (l *listener) connClosed(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := int(c.id) < len(l.conns) && l.conns[c.id].conn == c
	if held {
		l.release(c.id)
	}
	return held
}

// shouldClose tells whether a connection's answer is to say that it is closed behind it.
func (l *listener) shouldClose(c *clientConn) bool {
	c.mu.Lock()
	requests := c.requests
	c.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(c.id) < len(l.conns) && l.conns[c.id].conn == c && l.admission.ShouldCloseAfterResponse(c.id, requests, l.idleSet == nil && l.underPressure())
}

// requestStarted notes that a connection asks a search, and whose.
func (l *listener) requestStarted(c *clientConn, of connadmission.CustomerIndex) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if int(c.id) < len(l.conns) && l.conns[c.id].conn == c {
		l.admission.IdentifyRequest(c.id, of)
	}
}

func (c *clientConn) isMarkedIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle
}

// stop closes what waits for a first request in vain, which net/http's shutdown would wait for, and what is parked with
// nothing to read; it names the reason for the idle ones that net/http will close.
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

// closeAll ends what is parked with nothing to read, and lists what is to be closed. The listener's lock is held.
func (l *listener) closeAll() []*clientConn {
	var unused []*clientConn
	l.closed = true // nothing is parked any more
	for i := range l.conns {
		switch h := l.conns[i]; {
		case h.fd != 0:
			l.closeUnlessReadable(connadmission.ID(i), endStopped)
		case h.conn != nil:
			if !h.conn.hasRead.Load() {
				unused = append(unused, h.conn)
			}
			if !h.conn.hasRead.Load() || h.conn.isMarkedIdle() {
				h.conn.setEndReason(endStopped)
			}
		}
	}
	return unused
}

// connStateChanged follows a connection through net/http's states.
func (l *listener) connStateChanged(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*clientConn)
	if !ok {
		return
	}
	c.mu.Lock()
	if c.idle = s == http.StateIdle; s == http.StateActive {
		c.requests++
		c.graceLeft, c.resumed = 0, false
	}
	head := s == http.StateIdle && c.hasPartialHead() // of the next request, which came with the last one
	c.mu.Unlock()
	if head && l.enforcesMinRate() {
		defer l.enterPhase(c, readingHead)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if int(c.id) >= len(l.conns) || l.conns[c.id].conn != c {
		return
	}
	switch s {
	case http.StateActive:
		l.admission.BeginRequest(c.id)
	case http.StateIdle:
		l.admission.EndRequest(c.id, l.now())
	}
}
