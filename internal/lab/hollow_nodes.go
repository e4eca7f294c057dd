package lab

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
	pollHold       = 1000 * time.Millisecond // a control machine may hold a question so long
	pollLate       = 700 * time.Millisecond  // and is left after so much more; for a whole list it has this alone
	pollPause      = 120 * time.Millisecond  // before the next control machine is asked
	heartbeatLimit = time.Second             // for an acknowledgement
	heartbeatTries = 4
	stateReady     = "ready"
)

// counter counts what crosses the connections of hollow nodes.
type counter struct{ in, out atomic.Int64 }

func (c *counter) total() int64 { return c.in.Load() + c.out.Load() }

// countedNetwork dials through another network and counts the bytes.
type countedNetwork struct {
	network.Network
	counter *counter
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
	counter *counter
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

// arrival waits until a piece of news has come to every hollow gatherer.
type arrival struct {
	is   func(*rpc.Update) bool
	mu   sync.Mutex
	seen []time.Time // by gatherer
	left int
	done chan struct{}
}

func newArrival(gatherers int, is func(*rpc.Update) bool) *arrival {
	return &arrival{is: is, seen: make([]time.Time, gatherers), left: gatherers, done: make(chan struct{})}
}

func (a *arrival) take(gatherer int, n *rpc.Update) {
	if !a.is(n) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.seen[gatherer].IsZero() {
		a.seen[gatherer] = time.Now()
		if a.left--; a.left == 0 {
			close(a.done)
		}
	}
}

// since returns how long after a moment the news came to each gatherer, the shortest first, and to how many it did not.
func (a *arrival) since(from time.Time) (took []time.Duration, missing int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, at := range a.seen {
		if !at.IsZero() {
			took = append(took, max(at.Sub(from), 0))
		}
	}
	slices.Sort(took)
	return took, a.left
}

// hollowFleet is many gatherers and servers in one process that do nothing but speak to the control machines: gatherers ask
// for news as real ones do, servers send heartbeats.
type hollowFleet struct {
	net       network.Network
	control   []string // where servers call the control machines
	inner     []string // where gatherers ask them
	beat      time.Duration
	service   func(server int) string
	gatherers []*hollowGatherer
	servers   []*hollowServer
	lanes     []*lane
	awaited   atomic.Pointer[arrival]

	acks       *Latency     // of heartbeats
	acked      atomic.Int64 // heartbeats acknowledged,
	unacked    atomic.Int64 // and tries that were not
	abandoned  atomic.Int64 // questions of gatherers that got no answer in time
	listBytes  atomic.Int64 // of the longest whole list of servers that came
	listLength atomic.Int64 // servers in it
	crowdBytes atomic.Int64 // of the longest list of gatherers that came

	stop context.CancelFunc
	wg   sync.WaitGroup
	ctx  context.Context
}

func newHollowFleet(ctx context.Context, on network.Network, control, inner []string, beat time.Duration) *hollowFleet {
	f := &hollowFleet{net: on, control: control, inner: inner, beat: beat, acks: NewLatency(),
		service: func(server int) string { return "service-" + strconv.Itoa(server/8) }}
	f.ctx, f.stop = context.WithCancel(ctx)
	return f
}

// end stops all nodes and waits for them.
func (f *hollowFleet) end() {
	f.stop()
	f.wg.Wait()
	for _, l := range f.lanes {
		l.drop()
	}
}

// pause waits, or returns false where the fleet ends first.
func (f *hollowFleet) pause(d time.Duration) bool {
	select {
	case <-f.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// await has the next news watched for what is given.
func (f *hollowFleet) await(is func(*rpc.Update) bool) *arrival {
	a := newArrival(len(f.gatherers), is)
	f.awaited.Store(a)
	return a
}

// addGatherers starts gatherers, spread over a time.
func (f *hollowFleet) addGatherers(n int, over time.Duration) {
	for i := range n {
		f.gatherers = append(f.gatherers, newHollowGatherer(f, i))
	}
	for i, g := range f.gatherers {
		f.wg.Go(func() {
			if f.pause(over * time.Duration(i) / time.Duration(n)) {
				g.run()
			}
		})
	}
}

// addServers starts servers whose heartbeats are spread over their interval. Those of one lane share a connection.
func (f *hollowFleet) addServers(n, lanes int) {
	lanes = min(lanes, n)
	for i := range lanes {
		f.lanes = append(f.lanes, &lane{f: f, turn: newToken(), at: i % len(f.control), net: countedNetwork{f.net, &counter{}}})
	}
	for i := range n {
		s := &hollowServer{f: f, turn: newToken(), lane: f.lanes[i%lanes], id: instanceID(), service: f.service(i),
			address: fmt.Sprintf("127.%d.%d.%d:8080", 250+i>>16, i>>8&255, i&255), zone: "zone-" + strconv.Itoa(i%3)}
		f.servers = append(f.servers, s)
		f.wg.Go(func() {
			if f.pause(f.beat * time.Duration(i) / time.Duration(n)) {
				s.run()
			}
		})
	}
}

// hollowGatherer follows the control machines' news and keeps nothing of it.
type hollowGatherer struct {
	f                         *hollowFleet
	no                        int
	self                      *rpc.Gateway
	counter                   counter
	turn, life, cursor, crowd uint64
	replace                   chan struct{}
}

func newHollowGatherer(f *hollowFleet, no int) *hollowGatherer {
	return &hollowGatherer{f: f, no: no, self: hollowSelf(no), replace: make(chan struct{}, 1)}
}

// hollowSelf draws a new life at a gatherer's address.
func hollowSelf(no int) *rpc.Gateway {
	return &rpc.Gateway{Incarnation: rand.Uint64() | 1, Address: fmt.Sprintf("127.249.%d.%d:7101", no>>8, no&255), Zone: "zone-" + strconv.Itoa(no%3)}
}

// run asks for news until the fleet ends.
func (g *hollowGatherer) run() {
	network := countedNetwork{g.f.net, &g.counter}
	for at := g.no; g.f.ctx.Err() == nil; at++ {
		c := &rpc.Client{Address: g.f.inner[at%len(g.f.inner)], Network: network}
		g.follow(c)
		c.Close()
		g.life = 0
		g.f.pause(pollPause)
	}
}

// follow asks one control machine until it does not answer.
func (g *hollowGatherer) follow(c *rpc.Client) {
	for g.f.ctx.Err() == nil {
		select {
		case <-g.replace: // the old life leaves, another begins
			g.poll(c, &rpc.Gateway{Incarnation: g.self.Incarnation, Address: g.self.Address, Zone: g.self.Zone, Left: true}, 0)
			g.self, g.life, g.turn, g.cursor, g.crowd = hollowSelf(g.no), 0, 0, 0, 0
		default:
		}
		if err := g.poll(c, g.self, pollHold); err != nil {
			if g.f.ctx.Err() == nil {
				g.f.abandoned.Add(1)
			}
			return
		}
	}
}

func (g *hollowGatherer) poll(c *rpc.Client, from *rpc.Gateway, hold time.Duration) error {
	patience := hold + pollLate
	if g.life == 0 {
		patience = pollLate
	}
	limit, cancel := context.WithTimeout(g.f.ctx, patience)
	defer cancel()
	answer, err := c.Call(limit, &rpc.Frame{Body: &rpc.Frame_Poll{Poll: &rpc.Poll{From: from, Slot: g.turn, ControllerIncarnation: g.life, Cursor: g.cursor,
		MembershipEpoch: g.crowd, WaitMs: uint32(hold / time.Millisecond)}}})
	if err != nil {
		return err
	}
	n := answer.GetUpdate()
	if n == nil {
		return errors.New("the answer is no news")
	}
	g.take(n)
	return nil
}

func (g *hollowGatherer) take(n *rpc.Update) {
	f := g.f
	if a := f.awaited.Load(); a != nil {
		a.take(g.no, n)
	}
	if n.Full {
		if len(n.Reports) > int(f.listLength.Load()) {
			f.listLength.Store(int64(len(n.Reports)))
			f.listBytes.Store(int64(proto.Size(&rpc.Update{Reports: n.Reports})))
		}
	}
	if n.HasGateways && len(n.Gateways) >= len(f.gatherers) {
		f.crowdBytes.Store(int64(proto.Size(&rpc.Update{Gateways: n.Gateways})))
	}
	g.turn = max(g.turn, n.Slot)
	g.life, g.cursor = n.ControllerIncarnation, n.Cursor
	if n.HasGateways {
		g.crowd = n.MembershipEpoch
	}
}

// token is held by one goroutine at a time. Unlike a mutex it may be held over waits in simulated time.
type token chan struct{}

func newToken() token { return make(token, 1) }

func (t token) take() { t <- struct{}{} }
func (t token) give() { <-t }

// lane is a connection to a control machine that some hollow servers share.
type lane struct {
	f    *hollowFleet
	net  countedNetwork
	turn token
	at   int
	conn net.Conn
	in   *bufio.Reader
}

// post sends one call and tells whether it was acknowledged and how long that took; if not, the next call goes to another
// control machine.
func (l *lane) post(path string, body []byte) (took time.Duration, ok bool) {
	l.turn.take()
	defer l.turn.give()
	began := time.Now()
	status, err := l.exchange(path, body)
	if ok = err == nil && status == http.StatusOK; !ok {
		l.drop()
		l.at++
	}
	return time.Since(began), ok
}

func (l *lane) exchange(path string, body []byte) (int, error) {
	to := l.f.control[l.at%len(l.f.control)]
	if l.conn == nil {
		c, err := l.net.Dial(to, heartbeatLimit)
		if err != nil {
			return 0, err
		}
		l.conn, l.in = c, bufio.NewReaderSize(c, 512)
	}
	l.conn.SetDeadline(time.Now().Add(heartbeatLimit))
	var text bytes.Buffer
	fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", path, to, len(body))
	text.Write(body)
	if _, err := l.conn.Write(text.Bytes()); err != nil {
		return 0, err
	}
	answer, err := http.ReadResponse(l.in, nil)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, err
}

func (l *lane) drop() {
	if l.conn != nil {
		l.conn.Close()
		l.conn = nil
	}
}

// hollowServer sends heartbeats and serves nothing.
type hollowServer struct {
	f                          *hollowFleet
	lane                       *lane
	id, service, address, zone string
	turn                       token // over what follows
	sequence                   uint64
	draining, silent           bool
	ackedAt                    time.Time
}

func (s *hollowServer) run() {
	tick := time.NewTicker(s.f.beat)
	defer tick.Stop()
	for {
		s.heartbeat()
		select {
		case <-tick.C:
		case <-s.f.ctx.Done():
			return
		}
	}
}

// heartbeat sends one call, to another control machine after each that is not acknowledged. It tells when it was.
func (s *hollowServer) heartbeat() (at time.Time, ok bool) {
	s.turn.take()
	defer s.turn.give()
	if s.silent {
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
	for range heartbeatTries {
		if took, ok := s.lane.post("/-/instances/"+s.id+"/heartbeat", text); ok {
			s.ackedAt = time.Now()
			s.f.acks.Add(took)
			s.f.acked.Add(1)
			return s.ackedAt, true
		}
		if s.f.ctx.Err() != nil {
			return at, false
		}
		s.f.unacked.Add(1)
	}
	return at, false
}

// drain says that the server leaves and returns when that was acknowledged.
func (s *hollowServer) drain() (time.Time, bool) {
	s.turn.take()
	s.draining = true
	s.turn.give()
	return s.heartbeat()
}

// restart signs the server's life off and begins another at its address. It tells whether both were acknowledged.
func (s *hollowServer) restart() bool {
	s.turn.take()
	_, ok := s.lane.post("/-/instances/"+s.id+"/sign-off", []byte("{}"))
	s.id, s.sequence, s.draining, s.silent = instanceID(), 0, false, false
	s.turn.give()
	_, acked := s.heartbeat()
	return ok && acked
}

func instanceID() string { return fmt.Sprintf("i-%08x", rand.Uint32()) }

// fallSilent ends the heartbeats and returns when the last one was acknowledged.
func (s *hollowServer) fallSilent() time.Time {
	s.turn.take()
	defer s.turn.give()
	s.silent = true
	return s.ackedAt
}
