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

// After releaseMemoryAfter parked connections the memory of their goroutines is returned to the system, once within
// releaseMemoryDelay: the runtime alone would keep the pages of a peak for minutes.
const (
	releaseMemoryAfter = 512
	releaseMemoryDelay = 2 * time.Second
)

// parkedShedText is the body of the response to a request on a parked connection that cannot be resumed.
const parkedShedText = "too many clients ask at once, asking again is harmless\n"

// connSlot is a connection of a client, with a goroutine or parked. As there is one for each connection it is kept small:
// 40 bytes.
type connSlot struct {
	conn *clientConn // nil = it is parked, or the slot is free

	// Of a parked connection.
	startedMillis int64   // Unix time
	fd            int32   // 0 = it is not parked
	requests      int32   // 0 = it never had one
	ip            [4]byte // of the client, as a broken socket does not know it any more
	port          uint16  // 0 = the client has no IPv4 address

	timeout timerwheel.Handle // idle timeout if parked, else minimum rate; 0 = none
}

// remoteAddr returns the address of the client of a parked connection.
func (s connSlot) remoteAddr() string {
	if s.port == 0 {
		return idleconn.RemoteAddr(int(s.fd))
	}
	return netip.AddrPortFrom(netip.AddrFrom4(s.ip), s.port).String()
}

// enableParking lets idle connections be parked from now on, if the system supports that. A parked one is closed after
// the idle timeout; 0 = never.
func (l *listener) enableParking(retryAfter balancer.Time, idleTimeout time.Duration) {
	set, err := idleconn.New(l.parkedReadable)
	if err != nil {
		slog.Warn("parking_off", "error", err)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shedResponse, l.idleSet, l.idleTimeout = parkedShedResponse(retryAfter), set, idleTimeout
	l.startWheel()
}

// parkedShedResponse returns the response to a request on a parked connection that cannot be resumed.
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

// lingerDuration returns how long a connection that is idle now keeps its goroutine.
func (l *listener) lingerDuration() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.admission.ParkDelay(l.underPressure())) * time.Millisecond
}

// park takes over the socket of an idle connection. It reports false if that keeps its goroutine.
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

// parkLocked takes over the socket of a connection, to be closed after a timeout; 0 = never. The listener's lock is held.
func (l *listener) parkLocked(c *clientConn, timeout time.Duration) bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || l.closed || l.idleSet == nil || !l.tracks(c) {
		return false
	}
	remote, _ := tcp.RemoteAddr().(*net.TCPAddr)
	fd, err := l.idleSet.Park(tcp, uint32(c.id))
	if err != nil {
		return false // out of descriptors: for a moment it takes one more
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

func (l *listener) releaseMemory() {
	debug.FreeOSMemory()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.parkedSinceRelease = 0
}

// parkedReadable is called when a parked connection may be readable. A request that cannot be served is shed here, before
// it costs a goroutine and buffers.
func (l *listener) parkedReadable(value uint32, fd int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := connadmission.ID(value)
	if int(value) >= len(l.conns) || l.conns[value].fd != int32(fd) {
		return // it was closed or resumed meanwhile
	}
	switch readable, err := idleconn.Peek(fd); {
	case errors.Is(err, io.EOF):
		l.closeParked(id, endClient)
	case err != nil:
		l.closeParked(id, endReset)
	case readable:
		if !l.memory.Reserve(memorybudget.ActiveConns, activeConnMemory) {
			l.rejectParked(id)
		} else if !l.admission.Wake(id) {
			l.memory.Release(memorybudget.ActiveConns, activeConnMemory)
			l.rejectParked(id)
		} else {
			l.resumeAccounted(id)
		}
	default:
		if l.idleSet.Rearm(fd, value) != nil {
			l.closeParked(id, endReset)
		}
	}
}

// closeUnlessReadable closes a parked connection, or resumes it if it has a request.
func (l *listener) closeUnlessReadable(id connadmission.ID, reason endReason) {
	if readable, _ := idleconn.Peek(int(l.conns[id].fd)); readable {
		l.resume(id)
		return
	}
	l.closeParked(id, reason)
}

// resume hands a parked connection to net/http, whatever memory is in use: it has a request that must not be closed.
func (l *listener) resume(id connadmission.ID) {
	l.memory.ForceReserve(memorybudget.ActiveConns, activeConnMemory)
	l.resumeAccounted(id)
}

// resumeAccounted hands a parked connection to net/http once its memory is reserved. If descriptors have run out, as for
// a moment it takes one more, its request is shed: a request is never closed without a response.
func (l *listener) resumeAccounted(id connadmission.ID) {
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
	l.admission.BeginRequest(id) // so that it is not evicted
	l.resumed.enqueue(c)
}

// closeParked closes a parked connection.
func (l *listener) closeParked(id connadmission.ID, reason endReason) {
	l.dropParked(id, reason, func() { l.idleSet.Close(int(l.conns[id].fd)) })
}

// rejectParked sheds the request of a parked connection and closes it.
func (l *listener) rejectParked(id connadmission.ID) {
	l.dropParked(id, endOverLimit, func() { l.idleSet.Reject(int(l.conns[id].fd), l.shedResponse) })
}

// dropParked ends a parked connection by a function and releases its slot.
func (l *listener) dropParked(id connadmission.ID, reason endReason, end func()) {
	slot := l.conns[id]
	client := slot.remoteAddr()
	end()
	l.release(id)
	logClientEnd(client, reason, int(slot.requests), time.UnixMilli(slot.startedMillis))
}
