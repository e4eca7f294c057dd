package experiment

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"oxbowspan/config"
	"oxbowspan/internal/network"
	"oxbowspan/rpc"
)

// Times of the hollow nodes, those of the programs whose place they take.
const (
	pollHoldTime      = 1000 * time.Millisecond // a control machine may hold a question so long
	pollGrace         = 700 * time.Millisecond  // and is left after so much more; for a whole list it has this alone
	pollPause         = 120 * time.Millisecond  // before the next control machine is asked
	heartbeatTimeout  = time.Second             // for an acknowledgement
	heartbeatAttempts = 4
	stateReady        = "ready"
)

// byteCounter counts what crosses the connections of hollow nodes.
type byteCounter struct{ in, out atomic.Int64 }

func (c *byteCounter) total() int64 { return c.in.Load() + c.out.Load() }

// countedNetwork dials through another network and counts the bytes.
type countedNetwork struct {
	network.Network
	counter *byteCounter
}

func (n countedNetwork) Dial(address string, limit time.Duration) (net.Conn, error) {
	c, err := n.Network.Dial(address, limit)
	if err != nil {
		return nil, err
	}
	return &countedConn{c, n.counter}, nil
}

type countedConn struct {
	net.Conn
	counter *byteCounter
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.in.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.out.Add(int64(n))
	return n, err
}

// updateWaiter waits until a piece of news has come to every hollow gatherer.
type updateWaiter struct {
	matches    func(*rpc.Update) bool
	mu         sync.Mutex
	receivedAt []time.Time // by gatherer
	remaining  int
	done       chan struct{}
}

func newUpdateWaiter(gatherers int, is func(*rpc.Update) bool) *updateWaiter {
	return &updateWaiter{matches: is, receivedAt: make([]time.Time, gatherers), remaining: gatherers, done: make(chan struct{})}
}

func (a *updateWaiter) observe(gatherer int, n *rpc.Update) {
	if !a.matches(n) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.receivedAt[gatherer].IsZero() {
		a.receivedAt[gatherer] = time.Now()
		if a.remaining--; a.remaining == 0 {
			close(a.done)
		}
	}
}

// since returns how long after a moment the news came to each gatherer, the shortest first, and to how many it did not.
func (a *updateWaiter) since(from time.Time) (took []time.Duration, missing int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, at := range a.receivedAt {
		if !at.IsZero() {
			took = append(took, max(at.Sub(from), 0))
		}
	}
	slices.Sort(took)
	return took, a.remaining
}

// hollowFleet is many gatherers and servers in one process that do nothing but speak to the control machines: gatherers ask
// for news as real ones do, servers send heartbeats.
type hollowFleet struct {
	net               network.Network
	controlAddresses  []string // where servers call the control machines
	internalAddresses []string // where gatherers ask them
	heartbeatInterval time.Duration
	service           func(server int) string
	gateways          []*hollowGateway
	servers           []*hollowServer
	connections       []*sharedConnection
	awaited           atomic.Pointer[updateWaiter]

	ackLatency       *LatencyRecorder // of heartbeats
	acknowledged     atomic.Int64     // heartbeats acknowledged,
	unacknowledged   atomic.Int64     // and tries that were not
	pollsTimedOut    atomic.Int64     // questions of gatherers that got no answer in time
	serverListBytes  atomic.Int64     // of the longest whole list of servers that came
	serverListLength atomic.Int64     // servers in it
	gatewayListBytes atomic.Int64     // of the longest list of gatherers that came

	stop context.CancelFunc
	wg   sync.WaitGroup
	ctx  context.Context
}

func newHollowFleet(ctx context.Context, on network.Network, control, inner []string, beat time.Duration) *hollowFleet {
	f := &hollowFleet{net: on, controlAddresses: control, internalAddresses: inner, heartbeatInterval: beat, ackLatency: NewLatencyRecorder(),
		service: func(server int) string { return "service-" + strconv.Itoa(server/8) }}
	f.ctx, f.stop = context.WithCancel(ctx)
	return f
}

// close stops all nodes and waits for them.
func (f *hollowFleet) close() {
	f.stop()
	f.wg.Wait()
	for _, l := range f.connections {
		l.close()
	}
}

// sleep waits, or returns false where the fleet ends first.
func (f *hollowFleet) sleep(d time.Duration) bool {
	select {
	case <-f.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// expectUpdate has the next news watched for what is given.
func (f *hollowFleet) expectUpdate(is func(*rpc.Update) bool) *updateWaiter {
	a := newUpdateWaiter(len(f.gateways), is)
	f.awaited.Store(a)
	return a
}

// addGateways starts gatherers, spread over a time.
func (f *hollowFleet) addGateways(n int, over time.Duration) {
	for i := range n {
		f.gateways = append(f.gateways, newHollowGateway(f, i))
	}
	for i, g := range f.gateways {
		f.wg.Go(func() {
			if f.sleep(over * time.Duration(i) / time.Duration(n)) {
				g.run()
			}
		})
	}
}

// addServers starts servers whose heartbeats are spread over their interval. Those of one lane share a connection.
func (f *hollowFleet) addServers(n, lanes int) {
	lanes = min(lanes, n)
	for i := range lanes {
		f.connections = append(f.connections, &sharedConnection{fleet: f, lock: newChannelLock(), next: i % len(f.controlAddresses), net: countedNetwork{f.net, &byteCounter{}}})
	}
	for i := range n {
		s := &hollowServer{fleet: f, lock: newChannelLock(), connection: f.connections[i%lanes], id: newInstanceID(), service: f.service(i),
			address: fmt.Sprintf("127.%d.%d.%d:8080", 250+i>>16, i>>8&255, i&255), zone: "zone-" + strconv.Itoa(i%3)}
		f.servers = append(f.servers, s)
		f.wg.Go(func() {
			if f.sleep(f.heartbeatInterval * time.Duration(i) / time.Duration(n)) {
				s.run()
			}
		})
	}
}

// hollowGateway follows the control machines' news and keeps nothing of it.
type hollowGateway struct {
	fleet                                                *hollowFleet
	index                                                int
	self                                                 *rpc.Gateway
	counter                                              byteCounter
	slot, controllerIncarnation, cursor, membershipEpoch uint64
	replace                                              chan struct{}
}

func newHollowGateway(f *hollowFleet, no int) *hollowGateway {
	return &hollowGateway{fleet: f, index: no, self: newHollowIdentity(no), replace: make(chan struct{}, 1)}
}

// newHollowIdentity draws a new life at a gatherer's address.
func newHollowIdentity(no int) *rpc.Gateway {
	return &rpc.Gateway{Incarnation: rand.Uint64() | 1, Address: fmt.Sprintf("127.249.%d.%d:7101", no>>8, no&255), Zone: "zone-" + strconv.Itoa(no%3)}
}

// run asks for news until the fleet ends.
func (g *hollowGateway) run() {
	network := countedNetwork{g.fleet.net, &g.counter}
	for at := g.index; g.fleet.ctx.Err() == nil; at++ {
		c := &rpc.Client{Address: g.fleet.internalAddresses[at%len(g.fleet.internalAddresses)], Network: network}
		g.follow(c)
		c.Close()
		g.controllerIncarnation = 0
		g.fleet.sleep(pollPause)
	}
}

// follow asks one control machine until it does not answer.
func (g *hollowGateway) follow(c *rpc.Client) {
	for g.fleet.ctx.Err() == nil {
		select {
		case <-g.replace: // the old life leaves, another begins
			g.poll(c, &rpc.Gateway{Incarnation: g.self.Incarnation, Address: g.self.Address, Zone: g.self.Zone, Left: true}, 0)
			g.self, g.controllerIncarnation, g.slot, g.cursor, g.membershipEpoch = newHollowIdentity(g.index), 0, 0, 0, 0
		default:
		}
		if err := g.poll(c, g.self, pollHoldTime); err != nil {
			if g.fleet.ctx.Err() == nil {
				g.fleet.pollsTimedOut.Add(1)
			}
			return
		}
	}
}

func (g *hollowGateway) poll(c *rpc.Client, from *rpc.Gateway, hold time.Duration) error {
	patience := hold + pollGrace
	if g.controllerIncarnation == 0 {
		patience = pollGrace
	}
	limit, cancel := context.WithTimeout(g.fleet.ctx, patience)
	defer cancel()
	answer, err := c.Call(limit, &rpc.Frame{Body: &rpc.Frame_Poll{Poll: &rpc.Poll{From: from, Slot: g.slot, ControllerIncarnation: g.controllerIncarnation, Cursor: g.cursor,
		MembershipEpoch: g.membershipEpoch, WaitMs: uint32(hold / time.Millisecond)}}})
	if err != nil {
		return err
	}
	n := answer.GetUpdate()
	if n == nil {
		return errors.New("the answer is no news")
	}
	g.receive(n)
	return nil
}

func (g *hollowGateway) receive(n *rpc.Update) {
	f := g.fleet
	if a := f.awaited.Load(); a != nil {
		a.observe(g.index, n)
	}
	if n.Full {
		if len(n.Reports) > int(f.serverListLength.Load()) {
			f.serverListLength.Store(int64(len(n.Reports)))
			f.serverListBytes.Store(int64(proto.Size(&rpc.Update{Reports: n.Reports})))
		}
	}
	if n.HasGateways && len(n.Gateways) >= len(f.gateways) {
		f.gatewayListBytes.Store(int64(proto.Size(&rpc.Update{Gateways: n.Gateways})))
	}
	g.slot = max(g.slot, n.Slot)
	g.controllerIncarnation, g.cursor = n.ControllerIncarnation, n.Cursor
	if n.HasGateways {
		g.membershipEpoch = n.MembershipEpoch
	}
}

// channelLock is held by one goroutine at a time. Unlike a mutex it may be held over waits in simulated time.
type channelLock chan struct{}

func newChannelLock() channelLock { return make(channelLock, 1) }

func (t channelLock) Lock()   { t <- struct{}{} }
func (t channelLock) Unlock() { <-t }

// sharedConnection is a connection to a control machine that some hollow servers share.
type sharedConnection struct {
	fleet  *hollowFleet
	net    countedNetwork
	lock   channelLock
	next   int
	conn   net.Conn
	reader *bufio.Reader
}

// post sends one call and tells whether it was acknowledged and how long that took; if not, the next call goes to another
// control machine.
func (l *sharedConnection) post(path string, body []byte) (took time.Duration, ok bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	began := time.Now()
	status, err := l.exchange(path, body)
	if ok = err == nil && status == http.StatusOK; !ok {
		l.close()
		l.next++
	}
	return time.Since(began), ok
}

func (l *sharedConnection) exchange(path string, body []byte) (int, error) {
	to := l.fleet.controlAddresses[l.next%len(l.fleet.controlAddresses)]
	if l.conn == nil {
		c, err := l.net.Dial(to, heartbeatTimeout)
		if err != nil {
			return 0, err
		}
		l.conn, l.reader = c, bufio.NewReaderSize(c, 512)
	}
	l.conn.SetDeadline(time.Now().Add(heartbeatTimeout))
	var text bytes.Buffer
	fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", path, to, len(body))
	text.Write(body)
	if _, err := l.conn.Write(text.Bytes()); err != nil {
		return 0, err
	}
	answer, err := http.ReadResponse(l.reader, nil)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, err
}

func (l *sharedConnection) close() {
	if l.conn != nil {
		l.conn.Close()
		l.conn = nil
	}
}

// hollowServer sends heartbeats and serves nothing.
type hollowServer struct {
	fleet                      *hollowFleet
	connection                 *sharedConnection
	id, service, address, zone string
	lock                       channelLock // over what follows
	sequence                   uint64
	draining, unresponsive     bool
	acknowledgedAt             time.Time
}

func (s *hollowServer) run() {
	tick := time.NewTicker(s.fleet.heartbeatInterval)
	defer tick.Stop()
	for {
		s.heartbeat()
		select {
		case <-tick.C:
		case <-s.fleet.ctx.Done():
			return
		}
	}
}

// heartbeat sends one call, to another control machine after each that is not acknowledged. It tells when it was.
func (s *hollowServer) heartbeat() (at time.Time, ok bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.unresponsive {
		return at, false
	}
	s.sequence++
	b := config.Heartbeat{Service: s.service, Address: s.address, Zone: s.zone, Version: "v1", CapacitySlots: 3, State: stateReady, Sequence: s.sequence}
	if s.draining {
		b.State = config.StateDraining
	}
	text, err := json.Marshal(b)
	if err != nil {
		return at, false
	}
	for range heartbeatAttempts {
		if took, ok := s.connection.post("/-/instances/"+s.id+"/heartbeat", text); ok {
			s.acknowledgedAt = time.Now()
			s.fleet.ackLatency.Add(took)
			s.fleet.acknowledged.Add(1)
			return s.acknowledgedAt, true
		}
		if s.fleet.ctx.Err() != nil {
			return at, false
		}
		s.fleet.unacknowledged.Add(1)
	}
	return at, false
}

// drain says that the server leaves and returns when that was acknowledged.
func (s *hollowServer) drain() (time.Time, bool) {
	s.lock.Lock()
	s.draining = true
	s.lock.Unlock()
	return s.heartbeat()
}

// restart signs the server's life off and begins another at its address. It tells whether both were acknowledged.
func (s *hollowServer) restart() bool {
	s.lock.Lock()
	_, ok := s.connection.post("/-/instances/"+s.id+"/sign-off", []byte("{}"))
	s.id, s.sequence, s.draining, s.unresponsive = newInstanceID(), 0, false, false
	s.lock.Unlock()
	_, acked := s.heartbeat()
	return ok && acked
}

func newInstanceID() string { return fmt.Sprintf("i-%08x", rand.Uint32()) }

// stopHeartbeats ends the heartbeats and returns when the last one was acknowledged.
func (s *hollowServer) stopHeartbeats() time.Time {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.unresponsive = true
	return s.acknowledgedAt
}
