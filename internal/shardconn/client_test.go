package shardconn

import (
	"io"
	"net"
	"testing"
	"time"

	"oxbowspan/balancer"
	"oxbowspan/internal/frame"
)

func TestAttemptsOfOneDispatchShareAFrame(t *testing.T) {
	r := newHarness(t)
	attempts := r.dispatch("a.0", "a.1", "a.2")
	c := receive(t, r.dials)
	if got := r.readFrame(c); got != "qa.0 0 d=1000 4\ntexta.1 0 d=1000 4\ntext" {
		t.Errorf("got %q", got)
	}
	if got := r.readFrame(c); got != "qa.2 0 d=1000 4\ntext" {
		t.Errorf("got %q", got)
	}
	r.advance(50)
	c.Write(frame.New(frame.AnswerFrame, "a.1 served 5 queue=3,util=0.5\nthe value"))
	if e := r.expectOutcome(attempts[1].ID, balancer.Answered); e.Value != "the value" || e.Elapsed != 50 ||
		*e.Report != (balancer.LoadReport{Queued: 3, InFlight: -1}) {
		t.Errorf("got %+v, %+v", e, e.Report)
	}
	c.Write(frame.New(frame.AnswerFrame, "a.0 skipped 0 -\n"))
	if e := r.expectOutcome(attempts[0].ID, balancer.Rejected); e.Report != nil {
		t.Errorf("got report %+v", e.Report)
	}
}

// A frame that was written partly never ran; one that was written completely may have.
func TestOutcomeWhenConnectionBreaksDuringWrite(t *testing.T) {
	r := newHarness(t)
	written := r.dispatch("a.0")
	c := receive(t, r.dials)
	r.readFrame(c)
	partial := r.dispatch("a.1")
	if _, err := io.ReadFull(c, make([]byte, 7)); err != nil { // not the whole frame
		t.Fatal(err)
	}
	queued := r.dispatch("a.2")
	for len(r.client.mailbox) > 0 { // until the last one is queued behind the partly written one
	}
	c.Close()
	got := map[balancer.ShardCallID]balancer.Outcome{}
	for range 3 {
		e := receive(t, r.ends)
		got[e.ID] = e.Outcome
	}
	if got[written[0].ID] != balancer.Reset || got[partial[0].ID] != balancer.ConnectFailed ||
		got[queued[0].ID] != balancer.ConnectFailed {
		t.Errorf("got %v", got)
	}
}

func TestConnectFailure(t *testing.T) {
	r := newHarness(t)
	r.refuse.Store(true)
	attempts := r.dispatch("a.0", "a.1")
	r.expectOutcome(attempts[0].ID, balancer.ConnectFailed)
	r.expectOutcome(attempts[1].ID, balancer.ConnectFailed)
	if n := r.descriptors.Load(); n != 0 {
		t.Errorf("%d descriptors are still in use", n)
	}
}

// Deadlines are kept though the server reads nothing, and a frame that is withdrawn before it is written never ran.
func TestDeadlineWhileServerDoesNotRead(t *testing.T) {
	r := newHarness(t)
	stuck := r.dispatch("a.0")
	if _, err := io.ReadFull(receive(t, r.dials), make([]byte, 7)); err != nil { // not the whole frame
		t.Fatal(err)
	}
	behind := r.dispatch("a.1")
	r.advance(10000)
	r.wakeUp()
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
	first := r.dispatch("a.0", "a.1")
	c := receive(t, r.dials)
	r.readFrame(c)
	r.advance(100)
	r.cancel(first[0])
	if got := r.readFrame(c); got != "ca.0" {
		t.Errorf("got %q", got)
	}
	r.expectOutcome(first[0].ID, balancer.Cancelled)
	second := r.dispatch("b.0")
	d := receive(t, r.dials) // a new connection
	r.readFrame(d)
	// A response on the old connection makes it available again; the answer to the cancelled call is ignored.
	r.advance(100)
	c.Write(frame.New(frame.AnswerFrame, "a.0 served 5 -\nlate"))
	c.Write(frame.New(frame.AnswerFrame, "a.1 served 5 -\nv"))
	r.expectOutcome(first[1].ID, balancer.Answered)
	third := r.dispatch("c.0")
	r.readFrame(c)
	// One of the two suffices now; the other would hold a descriptor until its idle timeout.
	d.Write(frame.New(frame.AnswerFrame, "b.0 served 5 -\nv"))
	r.expectOutcome(second[0].ID, balancer.Answered)
	c.Write(frame.New(frame.AnswerFrame, "c.0 served 5 -\nv"))
	r.expectOutcome(third[0].ID, balancer.Answered)
	r.expectClosed(d)
	r.dispatch("d.0")
	r.readFrame(c)
}

// During a rolling restart the connections to draining servers must not use up the descriptors for the new ones.
func TestDrainClosesConnectionsAfterPendingAttempts(t *testing.T) {
	r := newHarness(t)
	attempts := r.dispatch("a.0")
	c := receive(t, r.dials)
	r.readFrame(c)
	r.client.TrySubmit(Drain{})
	r.refuse.Store(true)
	late := r.dispatch("b.0") // dispatched before the drain was known: fails, as it would need a new connection
	r.expectOutcome(late[0].ID, balancer.ConnectFailed)
	c.Write(frame.New(frame.AnswerFrame, "a.0 served 5 -\nv"))
	r.expectOutcome(attempts[0].ID, balancer.Answered)
	r.expectClosed(c)
}

func TestIdleTimeoutPrecedesServerTimeout(t *testing.T) {
	r := newHarness(t)
	attempts := r.dispatch("a.0")
	c := receive(t, r.dials)
	r.readFrame(c)
	r.advance(299999)
	c.Write(frame.New(frame.AnswerFrame, "a.0 served 5 -\nv"))
	r.expectOutcome(attempts[0].ID, balancer.Answered)
	r.advance(225000)
	r.wakeUp()
	r.expectClosed(c)
}

func TestServerRestartClosesConnections(t *testing.T) {
	r := newHarness(t)
	attempts := r.dispatch("a.0")
	c := receive(t, r.dials)
	r.readFrame(c)
	r.client.TrySubmit(AddressChanged{Addr: "a:2", StartedAt: r.now() - 10}) // before the connection was opened: it leads to the new process
	c.Write(frame.New(frame.AnswerFrame, "a.0 served 5 -\nv"))
	r.expectOutcome(attempts[0].ID, balancer.Answered)
	attempts = r.dispatch("b.0")
	d := receive(t, r.dials)
	r.readFrame(d)
	r.advance(100)
	r.client.TrySubmit(AddressChanged{Addr: "a:2", StartedAt: r.now()})
	r.expectOutcome(attempts[0].ID, balancer.Reset)
}

func TestDescriptorBudget(t *testing.T) {
	r := newHarness(t)
	for i := range 10 {
		r.dispatch("a."+string(rune('0'+i)), "b."+string(rune('0'+i)))
	}
	for range 4 { // five connections would be needed, four are allowed
		if e := receive(t, r.ends); e.Outcome != balancer.ConnectFailed {
			t.Fatalf("call %d ended with outcome %d", e.ID, e.Outcome)
		}
	}
	if n := r.descriptors.Load(); n > 4 {
		t.Errorf("%d descriptors are in use", n)
	}
}

// stuckConn is a connection whose goroutines do not end when it is closed.
type stuckConn struct{ net.Conn }

func (stuckConn) Close() error { return nil }

// The client must not spin while the goroutines of a closed connection end: on a single core they would not run.
func TestClosedIdleConnectionIsNotScheduled(t *testing.T) {
	ours, theirs := net.Pipe()
	defer theirs.Close()
	defer ours.Close()
	var at balancer.Time = 1e9
	p := newClient(1, "s-a", "a:1", Config{ConnectTimeout: 2500, IdleTimeout: 300000, StreamsPerConn: 4}, func() balancer.Time { return at }, nil, nil, nil)
	p.conns = append(p.conns, newConn(p, dialResult{netConn: stuckConn{ours}, addr: p.addr}))
	if got, want := p.untilNext(), 22500*time.Millisecond; got != want {
		t.Errorf("idle timeout of a new connection in %v, want %v", got, want)
	}
	at += 225000
	p.expire()
	if c := p.conns[0]; !c.closed || c.endReason != endIdle {
		t.Fatalf("an idle connection is not closed: reason %q", c.endReason)
	}
	if got := p.untilNext(); got <= 0 {
		t.Errorf("the client wakes up after %v while the goroutines of a closed connection end", got)
	}
}

// Attempts after CloseIdle open a new connection; connections with attempts in flight stay.
func TestCloseIdle(t *testing.T) {
	r := newHarness(t)
	attempts := r.dispatch("a.0")
	c := receive(t, r.dials)
	r.readFrame(c)
	r.client.TrySubmit(CloseIdle{})
	c.Write(frame.New(frame.AnswerFrame, "a.0 served 1 -\nv"))
	r.expectOutcome(attempts[0].ID, balancer.Answered)
	r.client.TrySubmit(CloseIdle{})
	r.dispatch("b.0")
	d := receive(t, r.dials)
	if got := r.readFrame(d); got != "qb.0 0 d=1000 4\ntext" {
		t.Errorf("got %q", got)
	}
	c.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the idle connection is still open: %v", err)
	}
}
