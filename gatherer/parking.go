package gatherer

import (
	"bytes"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"strconv"
	"time"

	"oxbowspan/balancer"
	"oxbowspan/connadmission"
	"oxbowspan/internal/idleconn"
	"oxbowspan/internal/timerwheel"
	"oxbowspan/memorybudget"
)

// Once releaseMemoryThreshold connections were parked, the memory of their goroutines is returned to the operating
// system after releaseMemoryDelay, and at most once in that time. The runtime alone would keep the pages of a peak for
// minutes.
const (
	releaseMemoryThreshold = 512
	releaseMemoryDelay     = 2 * time.Second
)

// parkedShedText is the body of the response to a request on a parked connection that cannot be resumed.
const parkedShedText = "too many clients ask at once, asking again is harmless\n"

// connSlot is the table entry of a client connection, parked or not. It is kept small, 40 bytes, because there is one
// for each connection.
type connSlot struct {
	conn *clientConn // nil = the connection is parked or the slot is free

	// State of a parked connection.
	startedMillis int64   // when it was opened, Unix time in milliseconds
	fd            int32   // 0 = not parked
	requests      int32   // requests so far; 0 = it has never sent one
	ip            [4]byte // address of the client, which can no longer be queried once the socket has failed
	port          uint16  // 0 = the client has no IPv4 address

	timeout timerwheel.Handle // idle timeout if parked, or else the rate check; 0 = none
}

// remoteAddr returns the address of the client of a parked connection.
func (s connSlot) remoteAddr() string {
	if s.port == 0 {
		return idleconn.RemoteAddr(int(s.fd))
	}
	return netip.AddrPortFrom(netip.AddrFrom4(s.ip), s.port).String()
}

// enableParking enables the parking of idle connections, if the system supports it. A parked connection is closed after
// the idle timeout; 0 = never. retryAfter is for requests on parked connections that are shed.
func (l *listener) enableParking(retryAfter balancer.Time, idleTimeout time.Duration) {
	set, err := idleconn.New(l.onParkedReadable)
	if err != nil {
		slog.Warn("parking_off", "error", err)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shedResponse, l.idleSet, l.idleTimeout = parkedShedResponse(retryAfter), set, idleTimeout
	l.startWheel()
}

// parkedShedResponse encodes the response to a request on a parked connection that cannot be resumed.
func parkedShedResponse(retryAfter balancer.Time) []byte {
	header := http.Header{"Connection": {"close"}, "Content-Type": {contentText},
		"Content-Length": {strconv.Itoa(len(parkedShedText))}}
	setRetryAfter(header, retryAfter)
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 503 Service Unavailable\r\n")
	header.Write(&b)
	b.WriteString("\r\n" + parkedShedText)
	return b.Bytes()
}

// currentParkDelay returns how long a connection that becomes idle now keeps its goroutine.
func (l *listener) currentParkDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.admission.ParkDelay(l.underPressure())) * time.Millisecond
}

// park parks an idle connection. It reports false if the connection could not be parked and so keeps its goroutine.
func (l *listener) park(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.parkLocked(c, l.idleTimeout) {
		return false
	}
	if l.parkedSinceRelease++; l.parkedSinceRelease == releaseMemoryThreshold {
		l.releaseTimer = time.AfterFunc(releaseMemoryDelay, l.releaseMemory)
	}
	return true
}

// parkLocked moves the socket of a connection to the idle set, to be closed after a timeout; 0 = never. It reports
// false if the connection could not be parked. The caller holds l.mu.
func (l *listener) parkLocked(c *clientConn, timeout time.Duration) bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || l.closed || l.idleSet == nil || !l.tracks(c) {
		return false
	}
	remote, _ := tcp.RemoteAddr().(*net.TCPAddr)
	fd, err := l.idleSet.Park(tcp, uint32(c.id))
	if err != nil {
		return false // probably out of descriptors: parking briefly needs an additional one
	}
	l.cancelTimeout(c.id)
	c.mu.Lock()
	c.parked, c.phase = true, noPhase
	requests := c.requests
	c.mu.Unlock()
	slot := connSlot{startedMillis: c.startedAt.UnixMilli(), fd: int32(fd), requests: int32(requests)}
	if addr := remote.AddrPort(); addr.Addr().Unmap().Is4() {
		slot.ip, slot.port = addr.Addr().Unmap().As4(), addr.Port()
	}
	if timeout > 0 {
		slot.timeout = l.wheel.Add(l.tick(timeout), uint32(c.id))
		l.resetTimer()
	}
	l.conns[c.id] = slot
	l.admission.Park(c.id)
	l.memory.Release(memorybudget.ActiveConns, activeConnMemory)
	l.memory.ForceReserve(memorybudget.ParkedConns, idleConnMemory)
	return true
}

// releaseMemory returns free memory to the operating system.
func (l *listener) releaseMemory() {
	debug.FreeOSMemory()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.parkedSinceRelease = 0
}

// onParkedReadable is called by the idle set when a parked connection may be readable. value is the id of the
// connection. A request that cannot be served is shed here, before a goroutine and buffers are allocated for it.
func (l *listener) onParkedReadable(value uint32, fd int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := connadmission.ID(value)
	if int(value) >= len(l.conns) || l.conns[value].fd != int32(fd) {
		return // stale: the connection was closed or resumed meanwhile
	}
	switch readable, err := idleconn.Peek(fd); {
	case errors.Is(err, io.EOF):
		l.closeParked(id, endClientClosed)
	case err != nil:
		l.closeParked(id, endClientReset)
	case readable:
		if !l.memory.Reserve(memorybudget.ActiveConns, activeConnMemory) {
			l.rejectParked(id)
		} else if !l.admission.Wake(id) {
			l.memory.Release(memorybudget.ActiveConns, activeConnMemory)
			l.rejectParked(id)
		} else {
			l.resumeReserved(id)
		}
	default:
		if l.idleSet.Rearm(fd, value) != nil {
			l.closeParked(id, endClientReset)
		}
	}
}

// closeUnlessReadable closes a parked connection, or resumes it if it has unread bytes, which are taken for a request.
func (l *listener) closeUnlessReadable(id connadmission.ID, reason endReason) {
	if readable, _ := idleconn.Peek(int(l.conns[id].fd)); readable {
		l.resume(id)
		return
	}
	l.closeParked(id, reason)
}

// resume hands a parked connection to net/http. Its memory is reserved regardless of the limit, because the connection
// has a request and must not be closed.
func (l *listener) resume(id connadmission.ID) {
	l.memory.ForceReserve(memorybudget.ActiveConns, activeConnMemory)
	l.resumeReserved(id)
}

// resumeReserved hands a parked connection to net/http after its memory was reserved. Resuming briefly needs an
// additional descriptor; if none is available, the request is shed, because a connection with a request is never closed
// without a response.
func (l *listener) resumeReserved(id connadmission.ID) {
	slot := l.conns[id]
	raw, err := l.idleSet.Unpark(int(slot.fd))
	if err != nil {
		slog.Warn("client_not_woken", "error", err)
		l.memory.Release(memorybudget.ActiveConns, activeConnMemory)
		l.rejectParked(id)
		return
	}
	l.cancelTimeout(id)
	c := &clientConn{Conn: raw, listener: l, id: id, startedAt: time.UnixMilli(slot.startedMillis),
		requests: int(slot.requests), resumed: true}
	c.hasRead.Store(true)
	l.conns[id] = connSlot{conn: c}
	l.memory.Release(memorybudget.ParkedConns, idleConnMemory)
	l.admission.BeginRequest(id) // protects it from eviction
	l.resumed.enqueue(c)
}

// closeParked closes a parked connection.
func (l *listener) closeParked(id connadmission.ID, reason endReason) {
	l.endParked(id, reason, func() { l.idleSet.Close(int(l.conns[id].fd)) })
}

// rejectParked sheds the request of a parked connection and closes the connection.
func (l *listener) rejectParked(id connadmission.ID) {
	l.endParked(id, endOverLimit, func() { l.idleSet.Reject(int(l.conns[id].fd), l.shedResponse) })
}

// endParked ends a parked connection: it calls closeSocket, releases the slot and logs the end.
func (l *listener) endParked(id connadmission.ID, reason endReason, closeSocket func()) {
	slot := l.conns[id]
	client := slot.remoteAddr()
	closeSocket()
	l.release(id)
	logClientEnd(client, reason, int(slot.requests), time.UnixMilli(slot.startedMillis))
}
