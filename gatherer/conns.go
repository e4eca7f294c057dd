package gatherer

import (
	"bytes"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"oxbowspan/admit"
	"oxbowspan/brain"
	"oxbowspan/internal/park"
	"oxbowspan/internal/wheel"
)

// Why a client's connection ended: the reason codes of its log line.
const (
	endClient     = "client_closed" // the client closed it between requests, or after its answer
	endLeft       = "client_left"   // the client closed it while its search was open
	endReset      = "client_reset"  // it broke
	endReadLimit  = "read_limit"    // ours: a request did not come whole in time
	endWriteLimit = "write_limit"   // ours: the client did not read its answer
	endToldClose  = "told_close"    // ours: the answer said Connection: close
	endBadRequest = "bad_request"   // ours: what came is not HTTP
	endMadeRoom   = "made_room"     // ours: idle longest when another client came at the limit
	endOverLimit  = "over_limit"    // ours: it came past the limit and was shed
	endIdleLimit  = "idle_limit"    // ours: parked for longer than the operator's file allows
	endStopped    = "stopped"       // ours: the program ends
)

// clientConn is a client's connection; it remembers why it ended.
type clientConn struct {
	net.Conn
	l     *listener
	id    admit.ID
	over  bool // it came past the limit
	began time.Time
	begun atomic.Bool // a byte has come

	mu       sync.Mutex
	framing  framing
	why      string // set by whoever ends it here
	readErr  error
	aborted  bool // net/http breaks off its own reading by a limit long past
	closed   bool
	parked   bool // its socket has been taken over: this connection is over, the client's is not
	requests int
	resting  bool // it waits for a request
}

func (c *clientConn) Read(b []byte) (int, error) {
	if c.l.set != nil && c.restful() {
		// Between requests: after a while it waits without this goroutine.
		c.Conn.SetReadDeadline(time.Now().Add(c.l.linger))
		n, err := c.Conn.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			c.Conn.SetReadDeadline(time.Time{})
			return c.came(b, n, err)
		}
		if c.l.park(c) {
			return 0, io.EOF // net/http lets go of it, and Close does nothing
		}
		c.Conn.SetReadDeadline(time.Time{})
	}
	n, err := c.Conn.Read(b)
	return c.came(b, n, err)
}

// came notes what a read brought.
func (c *clientConn) came(b []byte, n int, err error) (int, error) {
	if n > 0 && !c.begun.Load() {
		c.begun.Store(true)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.framing.take(b[:n])
	if err != nil {
		c.readErr = err
	}
	return n, err
}

// restful tells whether it is between requests, with no byte of the next one read.
func (c *clientConn) restful() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.resting && !c.over && c.framing.between()
}

// doubtful tells whether the present request, or one before it, can be read in two ways.
func (c *clientConn) doubtful() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framing.doubt > 0 && c.requests >= c.framing.doubt
}

// readBy is when the present request must have come whole. The first counts from the connection's beginning.
func (c *clientConn) readBy() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests <= 1 {
		return c.began.Add(readLimit)
	}
	return time.Now().Add(readLimit)
}

func (c *clientConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.because(endWriteLimit)
	}
	return n, err
}

func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.aborted = !t.IsZero() && time.Until(t) < -time.Hour
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// because notes why the connection is about to end. The first reason stands.
func (c *clientConn) because(why string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.why == "" {
		c.why = why
	}
}

func (c *clientConn) Close() error {
	c.mu.Lock()
	parked := c.parked
	c.mu.Unlock()
	if parked {
		return nil
	}
	err := c.Conn.Close()
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	why, requests := c.reason(), c.requests
	c.mu.Unlock()
	// Not under its own lock: the listener's is taken before a connection's everywhere else.
	if first && c.l.gone(c) {
		logClientEnd(c.RemoteAddr().String(), why, requests, c.began)
	}
	return err
}

func (c *clientConn) reason() string {
	switch {
	case c.why != "":
		return c.why
	case errors.Is(c.readErr, io.EOF):
		return endClient
	case errors.Is(c.readErr, os.ErrDeadlineExceeded) && !c.aborted:
		return endReadLimit
	case c.readErr != nil && !errors.Is(c.readErr, net.ErrClosed) && !errors.Is(c.readErr, os.ErrDeadlineExceeded):
		return endReset
	}
	return endBadRequest
}

func logClientEnd(client, why string, requests int, began time.Time) {
	slog.Info("client_conn_end", "client", client, "reason", why, "requests", requests, "age_ms", time.Since(began).Milliseconds())
}

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
	who   *admit.Admission
	conns []held    // by admit.ID, as many as there were at once; a place is empty once its connection has ended
	set   *park.Set // nil = idle connections keep their goroutines
	over  bool      // closed

	linger time.Duration
	gaveUp int           // connections parked since memory was last given back
	back   *time.Timer   // gives it back
	idle   time.Duration // that a connection may be parked; 0 = any
	limits *wheel.Wheel  // their limits, in ticks since began
	timer  *time.Timer   // for the first of them
}

// held is one client's connection: served by net/http, or parked. 40 bytes.
type held struct {
	c        *clientConn // nil = parked, or nobody
	began    int64       // parked: Unix milliseconds
	fd       int32       // parked: its descriptor; 0 = it is not
	requests int32
	limit    wheel.Handle // parked: its idle limit; 0 = none
}

// crowdedPart of the clients' descriptors idle is a crowd, see admit.Releases: clients hold a third of all descriptors
// for requests, says the protocol's later page, and this is under a quarter of that.
const crowdedPart = 12

// linger is how long an idle connection keeps its goroutine: who asks again within it pays nothing for parking.
const linger = 250 * time.Millisecond

// Limits of a client's connection that admission goes by.
const (
	// idleLong is how long a connection may be kept without an open request before it may be closed, says the protocol's
	// later page.
	idleLong = 2 * time.Second
	headLate = readLimit / 2
)

func newListener(l net.Listener, share int, customers []float64, mostOpen int) *listener {
	spare := max(share/8, 1)
	k := &listener{Listener: l, spare: spare, began: time.Now(), who: admit.New(admit.Figures{Limit: max(share-spare, 1),
		IdleLong: admit.Time(idleLong.Milliseconds()), HeadLate: admit.Time(headLate.Milliseconds()), Shares: customers, MostOpen: mostOpen,
		Crowded: max(share/crowdedPart, 1)})}
	k.room.L, k.linger = &k.mu, linger
	k.woken = &wokenListener{Listener: l, c: make(chan net.Conn, 64), done: make(chan struct{})}
	return k
}

// parks lets idle connections wait without a goroutine from now on, where the system can.
// A parked one is closed after idle, unless that is 0.
func (l *listener) parks(advice brain.Time, idle time.Duration) {
	set, err := park.New(l.wakes)
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
	l.refuse, l.set = b.Bytes(), set
	if l.idle = idle; idle > 0 {
		l.limits = wheel.New(0)
		l.timer = time.AfterFunc(time.Hour, l.turn)
	}
}

// limitTick is how exactly an idle limit is kept.
const limitTick = 100 * time.Millisecond

// limitAt is the tick at which a connection parked now is idle too long.
func (l *listener) limitAt() int64 { return int64((time.Since(l.began)+l.idle)/limitTick) + 1 }

// turn closes what has been parked for too long, save what a request waits on already.
func (l *listener) turn() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turnTo(int64(time.Since(l.began) / limitTick))
}

// turnTo turns the idle limits to a moment. The listener's lock is held.
func (l *listener) turnTo(tick int64) {
	l.limits.Turn(tick, func(value uint32) {
		l.conns[value].limit = 0
		l.endUnlessAsked(admit.ID(value), endIdleLimit)
	})
	l.await()
}

// endUnlessAsked closes a parked connection, or wakes it if a request waits on it already.
func (l *listener) endUnlessAsked(id admit.ID, why string) {
	if waiting, _ := park.Peek(int(l.conns[id].fd)); waiting {
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

func (l *listener) now() admit.Time { return admit.Time(time.Since(l.began).Milliseconds()) }

func (l *listener) Accept() (net.Conn, error) {
	l.mu.Lock()
	for l.who.Len() >= l.who.Limit()+l.spare && !l.over {
		l.room.Wait()
	}
	l.mu.Unlock()
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &clientConn{Conn: raw, l: l, began: time.Now()}
	l.mu.Lock()
	var other *clientConn
	other, c.over = l.makeRoom()
	c.id = l.who.Came(l.now())
	l.hold(c)
	l.mu.Unlock()
	if other != nil {
		other.because(endMadeRoom)
		other.Close()
	}
	return c, nil
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
		if id == admit.None {
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
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over || l.set == nil || int(c.id) >= len(l.conns) || l.conns[c.id].c != c {
		return false
	}
	fd, err := l.set.Park(tcp, uint32(c.id))
	if err != nil {
		return false // no descriptor is left for the moment that it takes one more
	}
	c.mu.Lock()
	c.parked = true
	requests := c.requests
	c.mu.Unlock()
	h := held{began: c.began.UnixMilli(), fd: int32(fd), requests: int32(requests)}
	if l.idle > 0 {
		h.limit = l.limits.Add(l.limitAt(), uint32(c.id))
		if l.limits.Len() == 1 {
			l.await()
		}
	}
	l.conns[c.id] = h
	if l.gaveUp++; l.gaveUp == giveBackAfter {
		l.back = time.AfterFunc(giveBackWait, l.giveBack)
	}
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
	id := admit.ID(value)
	if int(value) >= len(l.conns) || l.conns[value].fd != int32(fd) {
		return // it has been ended or woken meanwhile
	}
	switch waiting, over := park.Peek(fd); {
	case errors.Is(over, io.EOF):
		l.endParked(id, endClient)
	case over != nil:
		l.endParked(id, endReset)
	case waiting && !l.who.Wake(id):
		// Turned away here, before it costs a goroutine and buffers: given up, so answered at once.
		l.refuses(id)
	case waiting:
		l.wake(id)
	default:
		if l.set.Watch(fd, value) != nil {
			l.endParked(id, endReset)
		}
	}
}

// wake hands a parked connection to net/http again. Where no descriptor is left for the moment that this takes more, its
// request is shed at once: a request in hand is never closed upon without an answer.
func (l *listener) wake(id admit.ID) {
	h := l.conns[id]
	raw, err := l.set.Unpark(int(h.fd))
	if err != nil {
		slog.Warn("client_not_woken", "error", err)
		l.refuses(id)
		return
	}
	l.unlimit(id)
	c := &clientConn{Conn: raw, l: l, id: id, began: time.UnixMilli(h.began), requests: int(h.requests)}
	c.begun.Store(true)
	l.conns[id] = held{c: c}
	l.who.Asks(id) // a request is on its way: it is not closed to make room
	l.woken.put(c)
}

// endParked closes a parked connection.
func (l *listener) endParked(id admit.ID, why string) {
	l.lost(id, why, func() { l.set.Close(int(l.conns[id].fd)) })
}

// refuses answers a parked connection's request 503, and closes it.
func (l *listener) refuses(id admit.ID) {
	l.lost(id, endOverLimit, func() { l.set.Refuse(int(l.conns[id].fd), l.refuse) })
}

// lost forgets a parked connection, which end ends.
func (l *listener) lost(id admit.ID, why string, end func()) {
	h := l.conns[id]
	client := park.RemoteAddr(int(h.fd))
	end()
	l.forget(id)
	logClientEnd(client, why, int(h.requests), time.UnixMilli(h.began))
}

// unlimit takes away a parked connection's idle limit.
func (l *listener) unlimit(id admit.ID) {
	if h := &l.conns[id]; h.limit != 0 {
		l.limits.Cancel(h.limit)
		h.limit = 0
	}
}

// forget empties a connection's place.
func (l *listener) forget(id admit.ID) {
	l.unlimit(id)
	l.who.Gone(id)
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
	return int(c.id) < len(l.conns) && l.conns[c.id].c == c && l.who.Releases(c.id, requests)
}

// searches notes that a connection asks a search, and whose.
func (l *listener) searches(c *clientConn, of admit.Customer) {
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
			l.endUnlessAsked(admit.ID(i), endStopped)
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
	}
	c.mu.Unlock()
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

// wokenListener is where net/http takes connections that were parked. It never waits for net/http: what does not fit the
// channel waits in a list.
type wokenListener struct {
	net.Listener // for its address
	c            chan net.Conn
	done         chan struct{}
	once         sync.Once

	mu     sync.Mutex
	queue  []net.Conn // emptied by feed
	on     bool       // feed runs
	served sync.WaitGroup
}

// put hands a connection over without waiting.
func (w *wokenListener) put(c net.Conn) {
	w.served.Add(1)
	select {
	case w.c <- c:
		return
	default:
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.queue = append(w.queue, c); !w.on {
		w.on = true
		go w.feed()
	}
}

func (w *wokenListener) feed() {
	for {
		w.mu.Lock()
		if len(w.queue) == 0 {
			w.on, w.queue = false, nil
			w.mu.Unlock()
			return
		}
		c := w.queue[0]
		w.queue = w.queue[1:]
		w.mu.Unlock()
		select {
		case w.c <- c:
		case <-w.done:
			c.Close()
			w.served.Done()
		}
	}
}

// settle waits until all that was handed over has been taken.
func (w *wokenListener) settle() { w.served.Wait() }

func (w *wokenListener) Accept() (net.Conn, error) {
	select {
	case c := <-w.c:
		w.served.Done()
		return c, nil
	case <-w.done:
		return nil, net.ErrClosed
	}
}

func (w *wokenListener) Close() error {
	w.once.Do(func() { close(w.done) })
	return nil
}
