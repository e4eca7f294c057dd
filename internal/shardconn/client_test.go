package shardconn

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"oxbowspan/balancer"
	"oxbowspan/internal/frame"
)

// harness is a peer whose connections are pipes, a clock set by hand, and what the peer tells.
type harness struct {
	t      *testing.T
	client *Client
	at     atomic.Int64
	ends   chan AttemptEnded
	probes chan balancer.HealthCheckEnded
	dials  chan net.Conn // the server's ends
	refuse atomic.Bool
	held   atomic.Int64 // descriptors
	mu     sync.Mutex
	next   uint64
}

func (r *harness) AttemptEnded(e AttemptEnded)                  { r.ends <- e }
func (r *harness) HealthCheckEnded(p balancer.HealthCheckEnded) { r.probes <- p }
func (r *harness) Acquire() bool                                { return r.held.Add(1) <= 4 || r.held.Add(-1) < 0 }
func (r *harness) Release()                                     { r.held.Add(-1) }
func (r *harness) now() balancer.Time                           { return balancer.Time(r.at.Load()) }
func (r *harness) advance(d balancer.Time)                      { r.at.Add(int64(d)) }

func newHarness(t *testing.T) *harness {
	r := &harness{t: t, ends: make(chan AttemptEnded, 100), probes: make(chan balancer.HealthCheckEnded, 100), dials: make(chan net.Conn, 100)}
	r.at.Store(1e9)
	r.client = start(1, "s-a", "a:1", Config{ConnectTimeout: 2500, IdleTimeout: 300000, StreamsPerConn: 4, CallsPerFrame: 2, LoadReports: true},
		r.now, r, r, func(string, time.Duration) (net.Conn, error) {
			if r.refuse.Load() {
				return nil, io.ErrClosedPipe
			}
			ours, theirs := net.Pipe()
			r.dials <- theirs
			return ours, nil
		})
	t.Cleanup(r.client.Stop)
	return r
}

const wait = 10 * time.Second

func receive[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(wait):
		t.Fatal("what was waited for never came")
		panic("unreachable")
	}
}

// attempts sends parts with these wire ids, with a time limit of a second by the rig's clock.
func (r *harness) attempts(wires ...string) []Attempt {
	var parts []Attempt
	for _, w := range wires {
		r.next++
		parts = append(parts, Attempt{ID: balancer.ShardCallID(r.next), WireID: w, Text: []byte("text"), SentAt: r.now(), Deadline: r.now() + 10000})
	}
	if !r.client.TrySubmit(Dispatch{parts}) {
		r.t.Fatal("the mailbox is full")
	}
	return parts
}

func (r *harness) cancel(p Attempt) { r.client.TrySubmit(Cancel{p.ID, p.Number}) }

// frame reads one frame as the server.
func (r *harness) frame(c net.Conn) string {
	r.t.Helper()
	c.SetReadDeadline(time.Now().Add(wait))
	letter, rest, _, err := frame.Read(c, nil)
	if err != nil {
		r.t.Fatal(err)
	}
	return string(letter) + string(rest)
}

func (r *harness) expectOutcome(id balancer.ShardCallID, o balancer.Outcome) AttemptEnded {
	r.t.Helper()
	e := receive(r.t, r.ends)
	if e.ID != id || e.Outcome != o {
		r.t.Errorf("part %d ended with %d, want part %d with %d", e.ID, e.Outcome, id, o)
	}
	return e
}

func TestAttemptsOfOneDispatchShareAFrame(t *testing.T) {
	r := newHarness(t)
	parts := r.attempts("a.0", "a.1", "a.2")
	c := receive(t, r.dials)
	if got := r.frame(c); got != "qa.0 0 d=1000 4\ntexta.1 0 d=1000 4\ntext" {
		t.Errorf("got %q", got)
	}
	if got := r.frame(c); got != "qa.2 0 d=1000 4\ntext" {
		t.Errorf("got %q", got)
	}
	r.advance(50)
	c.Write(frame.New(frame.AnswerFrame, "a.1 served 5 queue=3,util=0.5\nthe value"))
	if e := r.expectOutcome(parts[1].ID, balancer.Answered); e.Value != "the value" || e.Elapsed != 50 || *e.Report != (balancer.LoadReport{Queued: 3, InFlight: -1}) {
		t.Errorf("got %+v, %+v", e, e.Report)
	}
	c.Write(frame.New(frame.AnswerFrame, "a.0 skipped 0 -\n"))
	if e := r.expectOutcome(parts[0].ID, balancer.Rejected); e.Report != nil {
		t.Errorf("got the report %+v", e.Report)
	}
}

// What was written only in part never ran; what was written whole may have.
func TestOutcomeWhenConnectionBreaksDuringWrite(t *testing.T) {
	r := newHarness(t)
	whole := r.attempts("a.0")
	c := receive(t, r.dials)
	r.frame(c)
	cut := r.attempts("a.1")
	if _, err := io.ReadFull(c, make([]byte, 7)); err != nil { // of more
		t.Fatal(err)
	}
	queued := r.attempts("a.2")
	for len(r.client.mailbox) > 0 { // until the last one stands behind the half-written
	}
	c.Close()
	got := map[balancer.ShardCallID]balancer.Outcome{}
	for range 3 {
		e := receive(t, r.ends)
		got[e.ID] = e.Outcome
	}
	if got[whole[0].ID] != balancer.Reset || got[cut[0].ID] != balancer.ConnectFailed || got[queued[0].ID] != balancer.ConnectFailed {
		t.Errorf("got %v", got)
	}
}

func TestConnectFailure(t *testing.T) {
	r := newHarness(t)
	r.refuse.Store(true)
	parts := r.attempts("a.0", "a.1")
	r.expectOutcome(parts[0].ID, balancer.ConnectFailed)
	r.expectOutcome(parts[1].ID, balancer.ConnectFailed)
	if n := r.held.Load(); n != 0 {
		t.Errorf("%d descriptors are still taken", n)
	}
}

// A time limit gives its outcome on time though the server reads nothing, and what is taken back unwritten
// never ran.
func TestDeadlineWhileServerDoesNotRead(t *testing.T) {
	r := newHarness(t)
	stuck := r.attempts("a.0")
	if _, err := io.ReadFull(receive(t, r.dials), make([]byte, 7)); err != nil { // of more
		t.Fatal(err)
	}
	behind := r.attempts("a.1")
	r.advance(10000)
	r.cancel(Attempt{}) // wakes the actor
	got := map[balancer.ShardCallID]balancer.Outcome{}
	for range 2 {
		e := receive(t, r.ends)
		got[e.ID] = e.Outcome
	}
	if got[stuck[0].ID] != balancer.TimedOut || got[behind[0].ID] != balancer.ConnectFailed {
		t.Errorf("got %v", got)
	}
}

func TestSilentConnectionGetsNoNewAttempts(t *testing.T) {
	r := newHarness(t)
	first := r.attempts("a.0", "a.1")
	c := receive(t, r.dials)
	r.frame(c)
	r.advance(100)
	r.cancel(first[0])
	if got := r.frame(c); got != "ca.0" {
		t.Errorf("got %q", got)
	}
	r.expectOutcome(first[0].ID, balancer.Cancelled)
	second := r.attempts("b.0")
	d := receive(t, r.dials) // a new connection
	r.frame(d)
	// A word on the old one, and it is as good as any; the answer to what was given up is dropped.
	r.advance(100)
	c.Write(frame.New(frame.AnswerFrame, "a.0 served 5 -\nlate"))
	c.Write(frame.New(frame.AnswerFrame, "a.1 served 5 -\nv"))
	r.expectOutcome(first[1].ID, balancer.Answered)
	third := r.attempts("c.0")
	r.frame(c)
	// Of the two one carries all there is. The other would hold a descriptor until it has been idle for long.
	d.Write(frame.New(frame.AnswerFrame, "b.0 served 5 -\nv"))
	r.expectOutcome(second[0].ID, balancer.Answered)
	c.Write(frame.New(frame.AnswerFrame, "c.0 served 5 -\nv"))
	r.expectOutcome(third[0].ID, balancer.Answered)
	r.expectClosed(d)
	r.attempts("d.0")
	r.frame(c)
}

// expectClosed waits until the peer has closed a connection.
func (r *harness) expectClosed(c net.Conn) {
	r.t.Helper()
	c.SetReadDeadline(time.Now().Add(wait))
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		r.t.Errorf("a connection that should be closed gives %v", err)
	}
}

// Through a release a gatherer held connections to the servers that drained, for as long as these ran, and had none left
// for the servers in their place.
func TestDrainClosesConnectionsAfterPendingAttempts(t *testing.T) {
	r := newHarness(t)
	parts := r.attempts("a.0")
	c := receive(t, r.dials)
	r.frame(c)
	r.client.TrySubmit(Drain{})
	r.refuse.Store(true)
	late := r.attempts("b.0") // was on its way already: not sent, as it would be sent on a new connection
	r.expectOutcome(late[0].ID, balancer.ConnectFailed)
	c.Write(frame.New(frame.AnswerFrame, "a.0 served 5 -\nv"))
	r.expectOutcome(parts[0].ID, balancer.Answered)
	r.expectClosed(c)
}

func TestIdleTimeoutPrecedesServerTimeout(t *testing.T) {
	r := newHarness(t)
	parts := r.attempts("a.0")
	c := receive(t, r.dials)
	r.frame(c)
	r.advance(299999)
	c.Write(frame.New(frame.AnswerFrame, "a.0 served 5 -\nv"))
	r.expectOutcome(parts[0].ID, balancer.Answered)
	r.advance(225000)
	r.cancel(Attempt{}) // wakes the actor
	r.expectClosed(c)
}

func TestServerRestartClosesConnections(t *testing.T) {
	r := newHarness(t)
	parts := r.attempts("a.0")
	c := receive(t, r.dials)
	r.frame(c)
	r.client.TrySubmit(AddressChanged{Addr: "a:2", StartedAt: r.now() - 10}) // before this connection: it leads to the new process
	c.Write(frame.New(frame.AnswerFrame, "a.0 served 5 -\nv"))
	r.expectOutcome(parts[0].ID, balancer.Answered)
	parts = r.attempts("b.0")
	d := receive(t, r.dials)
	r.frame(d)
	r.advance(100)
	r.client.TrySubmit(AddressChanged{Addr: "a:2", StartedAt: r.now()})
	r.expectOutcome(parts[0].ID, balancer.Reset)
}

func TestDescriptorBudget(t *testing.T) {
	r := newHarness(t)
	for i := range 10 {
		r.attempts("a."+string(rune('0'+i)), "b."+string(rune('0'+i)))
	}
	for range 4 { // five connections would be needed, four are granted
		if e := receive(t, r.ends); e.Outcome != balancer.ConnectFailed {
			t.Fatalf("part %d ended with %d", e.ID, e.Outcome)
		}
	}
	if n := r.held.Load(); n > 4 {
		t.Errorf("%d descriptors are taken", n)
	}
}

func TestHealthCheck(t *testing.T) {
	r := newHarness(t)
	parts := r.attempts("a.0")
	c := receive(t, r.dials)
	r.frame(c)
	r.client.TrySubmit(HealthCheck{})
	if got := r.frame(c); got != "p" {
		t.Errorf("got %q", got)
	}
	c.Write(frame.New(frame.HealthCheckFrame, "broke"))
	if p := receive(t, r.probes); p.Outcome != balancer.Errored {
		t.Errorf("got %+v", p)
	}
	r.client.TrySubmit(HealthCheck{})
	r.frame(c)
	c.Close()
	if p := receive(t, r.probes); p.Outcome != balancer.Reset {
		t.Errorf("got %+v", p)
	}
	r.expectOutcome(parts[0].ID, balancer.Reset)
}

// What cannot be an answer fails the part it was for, and says nothing against the server by the parts beside it.
func TestMalformedAnswerFailsOnlyItsAttempt(t *testing.T) {
	for text, hit := range map[string]int{
		string(frame.New(frame.AnswerFrame, "b.0 served? 5 -\nv")): 1, // names its part
		string(frame.New(frame.AnswerFrame, "b.0 served")):         1,
		string(frame.New(frame.AnswerFrame, "ff.0 served 5 -\nv")): 0, // asked of nobody: the oldest waits for it
		string(frame.New('z', "b.0 served 5 -\nv")):                0,
		"\xb2\xd0\x5e\x00a":          0, // 3 GB
		"\xff\xff\xff\xfca.0 served": 0,
	} {
		r := newHarness(t)
		parts := r.attempts("a.0")
		r.advance(1)
		parts = append(parts, r.attempts("b.0")...)
		c := receive(t, r.dials)
		for range 2 {
			r.frame(c)
		}
		c.Write([]byte(text))
		r.expectOutcome(parts[hit].ID, balancer.Errored)
		r.expectOutcome(parts[1-hit].ID, balancer.Cancelled)
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("%q leaves a connection that gives %v", text, err)
		}
	}
}

// A good answer is used whatever follows it at once, and nothing new goes out on its connection.
func TestTrailingBytesEndOnlyTheConnection(t *testing.T) {
	answer := "a.0 served 5 queue=zz,inflight=1e300\nv"
	for _, more := range []string{string(frame.New(frame.AnswerFrame, answer)), "\xde\xad", "\x00\x00\x00\x05zzzzz"} {
		r := newHarness(t)
		parts := r.attempts("a.0")
		c := receive(t, r.dials)
		r.frame(c)
		c.Write(append(frame.New(frame.AnswerFrame, answer), more...))
		if e := r.expectOutcome(parts[0].ID, balancer.Answered); e.Value != "v" || e.Report != nil {
			t.Errorf("got %+v", e)
		}
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("after %q the connection gives %v", more, err)
		}
		next := r.attempts("b.0")
		d := receive(t, r.dials)
		r.frame(d)
		d.Write(frame.New(frame.AnswerFrame, "b.0 served 5 -\nv"))
		r.expectOutcome(next[0].ID, balancer.Answered)
	}
}

// A frame that never ends costs its part a connect timeout, and nothing new is sent behind it.
func TestIncompleteFrameTimesOut(t *testing.T) {
	r := newHarness(t)
	parts := r.attempts("a.0", "a.1")
	c := receive(t, r.dials)
	r.frame(c)
	c.Write(append(frame.New(frame.AnswerFrame, "a.0 served 5 -\nv"), "\x00\x00\x10\x00aa.1 served 5 -\nv"...))
	r.expectOutcome(parts[0].ID, balancer.Answered)
	next := r.attempts("b.0")
	r.frame(receive(t, r.dials)) // on another connection
	r.advance(2500)
	r.cancel(Attempt{}) // wakes the actor
	r.expectOutcome(parts[1].ID, balancer.Errored)
	r.cancel(next[0])
	r.expectOutcome(next[0].ID, balancer.Cancelled)
}

// stuckConn is a connection whose goroutines do not end yet although it is closed.
type stuckConn struct{ net.Conn }

func (stuckConn) Close() error { return nil }

// What is left of a closed connection waits for its goroutines. Its actor must wait with it: one that is due at once, for
// as long as that takes, leaves them no time on a single core.
func TestClosedIdleConnectionIsNotScheduled(t *testing.T) {
	ours, theirs := net.Pipe()
	defer theirs.Close()
	defer ours.Close()
	var at balancer.Time = 1e9
	p := newClient(1, "s-a", "a:1", Config{ConnectTimeout: 2500, IdleTimeout: 300000, StreamsPerConn: 4}, func() balancer.Time { return at }, nil, nil, nil)
	p.conns = append(p.conns, newConn(p, dialResult{c: stuckConn{ours}, addr: p.addr}))
	if got, want := p.untilNext(), 22500*time.Millisecond; got != want {
		t.Errorf("a new connection is due after %v, want %v", got, want)
	}
	at += 225000
	p.expire()
	if c := p.conns[0]; !c.closed || c.endReason != endIdle {
		t.Fatalf("an idle connection is not closed: %+v", c.endReason)
	}
	if got := p.untilNext(); got <= 0 {
		t.Errorf("the actor is due after %v while a closed connection's goroutines end", got)
	}
}

// A probe opens a connection where none has room, and one that nobody answers is told of in time.
func TestHealthCheckOpensConnectionAndTimesOut(t *testing.T) {
	r := newHarness(t)
	r.client.TrySubmit(HealthCheck{})
	c := receive(t, r.dials)
	if got := r.frame(c); got != "p" {
		t.Errorf("got %q", got)
	}
	r.advance(2500)
	r.client.TrySubmit(CloseIdle{}) // wakes the actor, and must leave a connection that owes a probe's answer
	if p := receive(t, r.probes); p.Outcome != balancer.TimedOut {
		t.Errorf("got %+v", p)
	}
	// The next goes on a new connection, as the silent one proves nothing; late words on the old one are no fault.
	r.client.TrySubmit(HealthCheck{})
	d := receive(t, r.dials)
	r.frame(d)
	go c.Write(frame.New(frame.HealthCheckFrame, "served"))
	d.Write(frame.New(frame.HealthCheckFrame, "served"))
	if p := receive(t, r.probes); p.Outcome != balancer.Answered {
		t.Errorf("got %+v", p)
	}
	r.refuse.Store(true)
	r.client.TrySubmit(CloseAll{})
	r.client.TrySubmit(HealthCheck{})
	if p := receive(t, r.probes); p.Outcome != balancer.ConnectFailed && p.Outcome != balancer.Reset {
		t.Errorf("got %+v", p)
	}
}

// What is sent after CloseIdle goes on a new connection; what is out on another is left alone.
func TestCloseIdle(t *testing.T) {
	r := newHarness(t)
	parts := r.attempts("a.0")
	c := receive(t, r.dials)
	r.frame(c)
	r.client.TrySubmit(CloseIdle{})
	c.Write(frame.New(frame.AnswerFrame, "a.0 served 1 -\nv"))
	r.expectOutcome(parts[0].ID, balancer.Answered)
	r.client.TrySubmit(CloseIdle{})
	r.attempts("b.0")
	d := receive(t, r.dials)
	if got := r.frame(d); got != "qb.0 0 d=1000 4\ntext" {
		t.Errorf("got %q", got)
	}
	c.SetReadDeadline(time.Now().Add(wait))
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the rested connection is still open: %v", err)
	}
}
