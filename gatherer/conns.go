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
	spare  int
	began  time.Time
	refuse []byte         // the answer to who cannot be woken
	woken  *wokenListener // where what wakes is served from

	mu    sync.Mutex
	room  sync.Cond
	who   *connadmission.Admission
	held  *memorybudget.Ledger
	conns []held        // by admit.ID, as many as there were at once; a place is empty once its connection has ended
	set   *idleconn.Set // nil = idle connections keep their goroutines
	over  bool          // closed

	gaveUp int               // connections parked since memory was last given back
	back   *time.Timer       // gives it back
	idle   time.Duration     // that a connection may be parked; 0 = any
	limits *timerwheel.Wheel // idle limits of the parked, least rates of the others; in ticks since began. nil = there are none
	timer  *time.Timer       // for the first of them

	pace       [phases]connadmission.Pace
	keepAlive  time.Duration // a silent peer is asked after so long; 0 = the system's way
	sendBuffer int           // 0 = the system's way
}

// terms are what a listener is told.
type terms struct {
	share     int       // descriptors for clients
	customers []float64 // shares of the customers
	awake     int       // open requests up to which a parked connection may wake; 0 = no limit
	held      *memorybudget.Ledger
	doors     operatorconfig.Connections
}

// held is one client's connection: served by net/http, or parked. 40 bytes.
type held struct {
	c        *clientConn       // nil = parked, or nobody
	began    int64             // parked: Unix milliseconds
	fd       int32             // parked: its descriptor; 0 = it is not
	requests int32             // parked: none so far = it has never spoken
	limit    timerwheel.Handle // parked: its idle limit, else its least rate's; 0 = none
	ip       [4]byte           // parked: its client's, as a socket that broke does not know it any more
	port     uint16            // 0 = not of IPv4
}

// client is a parked connection's other side, for the log.
func (h held) client() string {
	if h.port == 0 {
		return idleconn.RemoteAddr(int(h.fd))
	}
	return netip.AddrPortFrom(netip.AddrFrom4(h.ip), h.port).String()
}

// crowdedPart of the clients' descriptors idle is a crowd, see admit.Releases: clients hold a third of all descriptors
// for requests, says the protocol's later page, and this is under a quarter of that.
const crowdedPart = 8

// linger is how long an idle connection keeps its goroutine: who asks again within it pays nothing for parking.
const linger = 250 * time.Millisecond

// Limits of a client's connection that admission goes by.
const (
	// idleLong is how long a connection may be kept without an open request before it may be closed, says the protocol's
	// later page.
	idleLong = 2 * time.Second
	headLate = readLimit / 2
)

func newListener(l net.Listener, t terms) *listener {
	spare := max(t.share/8, 1)
	k := &listener{Listener: l, spare: spare, began: time.Now(), held: t.held, who: connadmission.New(connadmission.Figures{Limit: max(t.share-spare, 1),
		IdleLong: connadmission.Time(idleLong.Milliseconds()), HeadLate: connadmission.Time(headLate.Milliseconds()), Shares: t.customers, MostOpen: t.awake,
		Crowded: cmp.Or(t.doors.Crowd, max(t.share/crowdedPart, 1)), Linger: connadmission.Time(linger.Milliseconds()), MostIdle: max(t.awake, mostIdle)})}
	k.room.L = &k.mu
	if k.held == nil {
		k.held = memorybudget.New(memorybudget.Figures{}, nil)
	}
	grace := connadmission.Time(t.doors.Grace.Milliseconds())
	k.pace = [phases]connadmission.Pace{readsHead: {Rate: t.doors.HeadRate, Grace: grace}, readsBody: {Rate: t.doors.BodyRate, Grace: grace},
		writes: {Rate: t.doors.AnswerRate, Grace: grace}}
	k.keepAlive, k.sendBuffer = t.doors.KeepAlive, t.doors.SendBuffer
	if k.paces() {
		k.limit()
	}
	k.woken = &wokenListener{Listener: l, c: make(chan net.Conn, 64), done: make(chan struct{})}
	return k
}

// mostIdle is how many idle connections may keep their goroutines at least; see admit.Linger.
const mostIdle = 128

// limit makes the wheel and its timer.
func (l *listener) limit() {
	if l.limits == nil {
		l.limits = timerwheel.New(0)
		l.timer = time.AfterFunc(time.Hour, l.turn)
	}
}

// lingers is how long a connection that is idle now keeps its goroutine.
func (l *listener) lingers() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.who.Linger(l.tight())) * time.Millisecond
}

func (l *listener) tight() bool { return l.held.Pressure() >= memorybudget.Tight }

// parks lets idle connections wait without a goroutine from now on, where the system can.
// A parked one is closed after idle, unless that is 0.
func (l *listener) parks(advice balancer.Time, idle time.Duration) {
	set, err := idleconn.New(l.wakes)
	if err != nil {
		slog.Warn("parking_off", "error", err)
		return
	}
	body := "too many clients ask at once, asking again is harmless\n"
	head := http.Header{"Connection": {"close"}, "Content-Type": {"text/plain; charset=utf-8"}, "Content-Length": {strconv.Itoa(len(body))}}
	advise(head, advice)
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 503 Service Unavailable\r\n")
	head.Write(&b)
	b.WriteString("\r\n" + body)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuse, l.set, l.idle = b.Bytes(), set, idle
	l.limit()
}

// limitTick is how exactly an idle limit is kept.
const limitTick = 100 * time.Millisecond

// tick is the first one that begins after so long from now.
func (l *listener) tick(after time.Duration) int64 {
	return int64((time.Since(l.began)+after)/limitTick) + 1
}

// turn ends what has been parked for too long, save what a request waits on already, and who is too slow.
func (l *listener) turn() {
	l.mu.Lock()
	slow := l.turnTo(int64(time.Since(l.began) / limitTick))
	l.mu.Unlock()
	for _, c := range slow {
		c.Close()
	}
}

// turnTo turns the limits to a moment, and lists what is to be closed. The listener's lock is held.
func (l *listener) turnTo(tick int64) (slow []*clientConn) {
	l.limits.Turn(tick, func(value uint32) {
		h := &l.conns[value]
		h.limit = 0
		switch {
		case h.c != nil:
			if l.late(h.c) {
				slow = append(slow, h.c)
			}
		case h.requests == 0: // it never spoke, and whoever has not within the read limit is owed a close
			l.endUnlessAsked(connadmission.ID(value), endReadLimit)
		default:
			l.endUnlessAsked(connadmission.ID(value), endIdleLimit)
		}
	})
	l.await()
	return slow
}

// endUnlessAsked closes a parked connection, or wakes it if a request waits on it already.
func (l *listener) endUnlessAsked(id connadmission.ID, why string) {
	if waiting, _ := idleconn.Peek(int(l.conns[id].fd)); waiting {
		l.wake(id)
		return
	}
	l.endParked(id, why)
}

// await sets the one timer to the first idle limit.
func (l *listener) await() {
	if next, any := l.limits.Next(); any && !l.over {
		l.timer.Reset(max(time.Until(l.began.Add(time.Duration(next)*limitTick)), 0))
	}
}

func (l *listener) now() connadmission.Time {
	return connadmission.Time(time.Since(l.began).Milliseconds())
}

func (l *listener) Accept() (net.Conn, error) {
	l.mu.Lock()
	for l.who.Len() >= l.who.Limit()+l.spare && !l.over {
		l.room.Wait()
	}
	l.mu.Unlock()
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			if noDescriptor(err) && idleconn.Acceptable(l.Listener) && l.spareOne() {
				continue
			}
			return nil, err
		}
		if c := l.take(raw); c != nil {
			return c, nil
		}
	}
}

// noDescriptor tells whether an accept failed as there is no descriptor left, or no memory of the system's for one.
func noDescriptor(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

// spareOne closes who can best be spared when no descriptor is left although the limits say that there should be: the machine
// grants less than it says, or something else in the process holds them. Who waits in the backlog would else wait until
// somebody leaves by himself. false = nobody can be spared.
func (l *listener) spareOne() bool {
	l.mu.Lock()
	id := l.who.Victim(l.now())
	if l.over || id == connadmission.None {
		l.mu.Unlock()
		return false
	}
	c := l.conns[id].c
	slog.Warn("accept_no_descriptor", "connections", l.who.Len(), "limit", l.who.Limit())
	if c == nil {
		l.endUnlessAsked(id, endMadeRoom)
	}
	l.mu.Unlock()
	if c != nil {
		c.because(endMadeRoom)
		c.Close()
	}
	return true
}

// take takes a new connection in; nil = it waits for its first byte without a goroutine.
func (l *listener) take(raw net.Conn) *clientConn {
	if tcp, ok := raw.(*net.TCPConn); ok {
		if l.keepAlive > 0 {
			tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: l.keepAlive, Interval: l.keepAlive, Count: 3})
		}
		if l.sendBuffer > 0 {
			tcp.SetWriteBuffer(l.sendBuffer)
		}
	}
	c := &clientConn{Conn: raw, l: l, began: time.Now()}
	l.mu.Lock()
	var other *clientConn
	other, c.over = l.makeRoom()
	granted := l.held.Take(memorybudget.Awake, awakeHolds)
	if !granted {
		l.held.Force(memorybudget.Awake, awakeHolds) // until it is parked or shed
	}
	door := l.who.Arrives(granted, l.tight())
	c.id = l.who.Came(l.now())
	l.hold(c)
	waits := door == connadmission.Wait && !c.over && l.parkLocked(c, readLimit)
	if door == connadmission.Wait && !waits {
		c.over = c.over || l.who.IfNot(granted) == connadmission.Shed
	}
	l.mu.Unlock()
	if other != nil {
		other.because(endMadeRoom)
		other.Close()
	}
	if waits {
		return nil
	}
	return c
}

// hold puts a connection into its place.
func (l *listener) hold(c *clientConn) {
	for int(c.id) >= len(l.conns) {
		l.conns = append(l.conns, held{})
	}
	l.conns[c.id] = held{c: c}
}

// makeRoom ends a connection for one that comes, or names one to be closed; over = none can be spared. A parked one on
// which a request waits already is not closed but woken.
func (l *listener) makeRoom() (other *clientConn, over bool) {
	for l.who.Full() {
		id := l.who.Victim(l.now())
		if id == connadmission.None {
			return nil, true
		}
		if c := l.conns[id].c; c != nil {
			return c, false
		}
		l.endUnlessAsked(id, endMadeRoom)
	}
	return nil, false
}

// park takes an idle connection's socket over; false = it keeps its goroutine.
func (l *listener) park(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.parkLocked(c, l.idle) {
		return false
	}
	if l.gaveUp++; l.gaveUp == giveBackAfter {
		l.back = time.AfterFunc(giveBackWait, l.giveBack)
	}
	return true
}

// parkLocked takes a connection's socket over, to be closed after so long, or ever if that is 0. The listener's lock is held.
func (l *listener) parkLocked(c *clientConn, limit time.Duration) bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || l.over || l.set == nil || int(c.id) >= len(l.conns) || l.conns[c.id].c != c {
		return false
	}
	from, _ := tcp.RemoteAddr().(*net.TCPAddr)
	fd, err := l.set.Park(tcp, uint32(c.id))
	if err != nil {
		return false // no descriptor is left for the moment that it takes one more
	}
	l.unlimit(c.id)
	c.mu.Lock()
	c.parked, c.phase = true, noPhase
	requests := c.requests
	c.mu.Unlock()
	h := held{began: c.began.UnixMilli(), fd: int32(fd), requests: int32(requests)}
	if at := from.AddrPort(); at.Addr().Unmap().Is4() {
		h.ip, h.port = at.Addr().Unmap().As4(), at.Port()
	}
	if limit > 0 {
		h.limit = l.limits.Add(l.tick(limit), uint32(c.id))
		l.await()
	}
	l.conns[c.id] = h
	l.who.Parks(c.id)
	l.held.Give(memorybudget.Awake, awakeHolds)
	l.held.Force(memorybudget.Parked, parkedHolds)
	return true
}

// Once many connections have been parked, what their goroutines held goes back to the system: the runtime by itself keeps
// the pages of a ramp's peak for minutes. A collection a giveBackWait at most, and none while nobody is parked anew.
const (
	giveBackAfter = 512
	giveBackWait  = 2 * time.Second
)

func (l *listener) giveBack() {
	debug.FreeOSMemory()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gaveUp = 0
}

// wakes is told that something may have come on a parked connection.
func (l *listener) wakes(value uint32, fd int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := connadmission.ID(value)
	if int(value) >= len(l.conns) || l.conns[value].fd != int32(fd) {
		return // it has been ended or woken meanwhile
	}
	switch waiting, over := idleconn.Peek(fd); {
	case errors.Is(over, io.EOF):
		l.endParked(id, endClient)
	case over != nil:
		l.endParked(id, endReset)
	case waiting:
		// Turned away here, before it costs a goroutine and buffers: given up, so answered at once.
		if !l.held.Take(memorybudget.Awake, awakeHolds) {
			l.refuses(id)
		} else if !l.who.Wake(id) {
			l.held.Give(memorybudget.Awake, awakeHolds)
			l.refuses(id)
		} else {
			l.wakeHeld(id)
		}
	default:
		if l.set.Watch(fd, value) != nil {
			l.endParked(id, endReset)
		}
	}
}

// wake hands a parked connection to net/http again, whatever memory is held: a request waits on it that is not to be closed
// upon.
func (l *listener) wake(id connadmission.ID) {
	l.held.Force(memorybudget.Awake, awakeHolds)
	l.wakeHeld(id)
}

// wakeHeld does so once its memory is accounted for. Where no descriptor is left for the moment that this takes more, its
// request is shed at once: a request in hand is never closed upon without an answer.
func (l *listener) wakeHeld(id connadmission.ID) {
	h := l.conns[id]
	raw, err := l.set.Unpark(int(h.fd))
	if err != nil {
		slog.Warn("client_not_woken", "error", err)
		l.held.Give(memorybudget.Awake, awakeHolds)
		l.refuses(id)
		return
	}
	l.unlimit(id)
	c := &clientConn{Conn: raw, l: l, id: id, began: time.UnixMilli(h.began), requests: int(h.requests), woken: true}
	c.begun.Store(true)
	l.conns[id] = held{c: c}
	l.held.Give(memorybudget.Parked, parkedHolds)
	l.who.Asks(id) // a request is on its way: it is not closed to make room
	l.woken.put(c)
}

// endParked closes a parked connection.
func (l *listener) endParked(id connadmission.ID, why string) {
	l.lost(id, why, func() { l.set.Close(int(l.conns[id].fd)) })
}

// refuses answers a parked connection's request 503, and closes it.
func (l *listener) refuses(id connadmission.ID) {
	l.lost(id, endOverLimit, func() { l.set.Refuse(int(l.conns[id].fd), l.refuse) })
}

// lost forgets a parked connection, which end ends.
func (l *listener) lost(id connadmission.ID, why string, end func()) {
	h := l.conns[id]
	client := h.client()
	end()
	l.forget(id)
	logClientEnd(client, why, int(h.requests), time.UnixMilli(h.began))
}

// unlimit takes away a connection's limit.
func (l *listener) unlimit(id connadmission.ID) {
	if h := &l.conns[id]; h.limit != 0 {
		l.limits.Cancel(h.limit)
		h.limit = 0
	}
}

// forget empties a connection's place.
func (l *listener) forget(id connadmission.ID) {
	l.unlimit(id)
	l.who.Gone(id)
	if l.conns[id].fd != 0 {
		l.held.Give(memorybudget.Parked, parkedHolds)
	} else {
		l.held.Give(memorybudget.Awake, awakeHolds)
	}
	l.conns[id] = held{}
	l.room.Signal()
}

func (l *listener) Close() error {
	l.mu.Lock()
	l.over = true
	l.room.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

// gone forgets a connection that has ended; false = it is not held, as it has been parked meanwhile.
func (l *listener) gone(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := int(c.id) < len(l.conns) && l.conns[c.id].c == c
	if held {
		l.forget(c.id)
	}
	return held
}

// releases tells whether a connection's answer is to say that it is closed behind it.
func (l *listener) releases(c *clientConn) bool {
	c.mu.Lock()
	requests := c.requests
	c.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(c.id) < len(l.conns) && l.conns[c.id].c == c && l.who.Releases(c.id, requests, l.set == nil && l.tight())
}

// searches notes that a connection asks a search, and whose.
func (l *listener) searches(c *clientConn, of connadmission.Customer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if int(c.id) < len(l.conns) && l.conns[c.id].c == c {
		l.who.Searches(c.id, of)
	}
}

func (c *clientConn) rests() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.resting
}

// stop closes what waits for a first request in vain, which net/http's shutdown would wait for, and what is parked with
// nothing to read; it names the reason for the idle ones that net/http will close.
func (l *listener) stop() {
	l.mu.Lock()
	unused := l.endAll()
	set := l.set
	for _, t := range []*time.Timer{l.timer, l.back} {
		if t != nil {
			t.Stop()
		}
	}
	l.mu.Unlock()
	for _, c := range unused {
		c.Close()
	}
	if set != nil {
		l.woken.settle()
		set.Stop()
	}
}

// endAll ends what is parked with nothing to read, and lists what is to be closed. The listener's lock is held.
func (l *listener) endAll() []*clientConn {
	var unused []*clientConn
	l.over = true // nothing is parked any more
	for i := range l.conns {
		switch h := l.conns[i]; {
		case h.fd != 0:
			l.endUnlessAsked(connadmission.ID(i), endStopped)
		case h.c != nil:
			if !h.c.begun.Load() {
				unused = append(unused, h.c)
			}
			if !h.c.begun.Load() || h.c.rests() {
				h.c.because(endStopped)
			}
		}
	}
	return unused
}

// state follows a connection through net/http's states.
func (l *listener) state(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*clientConn)
	if !ok {
		return
	}
	c.mu.Lock()
	if c.resting = s == http.StateIdle; s == http.StateActive {
		c.requests++
		c.left, c.woken = 0, false
	}
	head := s == http.StateIdle && c.headOpen() // of the next request, which came with the last one
	c.mu.Unlock()
	if head && l.paces() {
		defer l.enter(c, readsHead)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if int(c.id) >= len(l.conns) || l.conns[c.id].c != c {
		return
	}
	switch s {
	case http.StateActive:
		l.who.Asks(c.id)
	case http.StateIdle:
		l.who.Rests(c.id, l.now())
	}
}
