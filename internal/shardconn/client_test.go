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
	h := newHarness(t)
	attempts := h.dispatch("a.0", "a.1", "a.2")
	c := receive(t, h.dials)
	if got := h.readFrame(c); got != "qa.0 0 d=1000 4\ntexta.1 0 d=1000 4\ntext" {
		t.Errorf("got %q", got)
	}
	if got := h.readFrame(c); got != "qa.2 0 d=1000 4\ntext" {
		t.Errorf("got %q", got)
	}
	h.advance(50)
	c.Write(frame.New(frame.ResponseFrame, "a.1 served 5 queue=3,util=0.5\nthe value"))
	if e := h.expectOutcome(attempts[1].ID, balancer.Answered); e.Value != "the value" || e.Elapsed != 50 ||
		*e.Report != (balancer.LoadReport{Queued: 3, InFlight: -1}) {
		t.Errorf("got %+v, %+v", e, e.Report)
	}
	c.Write(frame.New(frame.ResponseFrame, "a.0 skipped 0 -\n"))
	if e := h.expectOutcome(attempts[0].ID, balancer.Rejected); e.Report != nil {
		t.Errorf("got report %+v", e.Report)
	}
}

// The attempts of a partly written frame never ran; those of a completely written frame may have run.
func TestOutcomeWhenConnectionBreaksDuringWrite(t *testing.T) {
	h := newHarness(t)
	written := h.dispatch("a.0")
	c := receive(t, h.dials)
	h.readFrame(c)
	partial := h.dispatch("a.1")
	if _, err := io.ReadFull(c, make([]byte, 7)); err != nil { // not the whole frame
		t.Fatal(err)
	}
	queued := h.dispatch("a.2")
	for len(h.client.mailbox) > 0 { // until the client has queued the last frame behind the partly written one
	}
	c.Close()
	got := map[balancer.ShardCallID]balancer.Outcome{}
	for range 3 {
		e := receive(t, h.ends)
		got[e.ID] = e.Outcome
	}
	if got[written[0].ID] != balancer.Reset || got[partial[0].ID] != balancer.ConnectFailed ||
		got[queued[0].ID] != balancer.ConnectFailed {
		t.Errorf("got %v", got)
	}
}

func TestConnectFailure(t *testing.T) {
	h := newHarness(t)
	h.refuse.Store(true)
	attempts := h.dispatch("a.0", "a.1")
	h.expectOutcome(attempts[0].ID, balancer.ConnectFailed)
	h.expectOutcome(attempts[1].ID, balancer.ConnectFailed)
	if n := h.descriptors.Load(); n != 0 {
		t.Errorf("%d descriptors are still in use", n)
	}
}

// Deadlines are enforced although the server reads nothing, and the attempts of a frame that is withdrawn before it is
// written never ran.
func TestDeadlineWhileServerDoesNotRead(t *testing.T) {
	h := newHarness(t)
	partial := h.dispatch("a.0")
	if _, err := io.ReadFull(receive(t, h.dials), make([]byte, 7)); err != nil { // not the whole frame
		t.Fatal(err)
	}
	queued := h.dispatch("a.1")
	h.advance(10000)
	h.wakeUp()
	got := map[balancer.ShardCallID]balancer.Outcome{}
	for range 2 {
		e := receive(t, h.ends)
		got[e.ID] = e.Outcome
	}
	if got[partial[0].ID] != balancer.TimedOut || got[queued[0].ID] != balancer.ConnectFailed {
		t.Errorf("got %v", got)
	}
}

func TestSilentConnectionGetsNoNewAttempts(t *testing.T) {
	h := newHarness(t)
	first := h.dispatch("a.0", "a.1")
	c := receive(t, h.dials)
	h.readFrame(c)
	h.advance(100)
	h.cancel(first[0])
	if got := h.readFrame(c); got != "ca.0" {
		t.Errorf("got %q", got)
	}
	h.expectOutcome(first[0].ID, balancer.Cancelled)
	second := h.dispatch("b.0")
	d := receive(t, h.dials) // a new connection
	h.readFrame(d)
	// An answer on the old connection makes it available again; the answer to the cancelled call itself is ignored.
	h.advance(100)
	c.Write(frame.New(frame.ResponseFrame, "a.0 served 5 -\nlate"))
	c.Write(frame.New(frame.ResponseFrame, "a.1 served 5 -\nv"))
	h.expectOutcome(first[1].ID, balancer.Answered)
	third := h.dispatch("c.0")
	h.readFrame(c)
	// One of the two connections has enough capacity now; the other would use a descriptor until its idle timeout.
	d.Write(frame.New(frame.ResponseFrame, "b.0 served 5 -\nv"))
	h.expectOutcome(second[0].ID, balancer.Answered)
	c.Write(frame.New(frame.ResponseFrame, "c.0 served 5 -\nv"))
	h.expectOutcome(third[0].ID, balancer.Answered)
	h.expectClosed(d)
	h.dispatch("d.0")
	h.readFrame(c)
}

// During a rolling restart the connections to draining servers must not use up the descriptors for the new ones.
func TestDrainClosesConnectionsAfterPendingAttempts(t *testing.T) {
	h := newHarness(t)
	attempts := h.dispatch("a.0")
	c := receive(t, h.dials)
	h.readFrame(c)
	h.client.TrySubmit(Drain{})
	h.refuse.Store(true)
	late := h.dispatch("b.0") // a dispatch that was decided before the drain: fails, as it would need a new connection
	h.expectOutcome(late[0].ID, balancer.ConnectFailed)
	c.Write(frame.New(frame.ResponseFrame, "a.0 served 5 -\nv"))
	h.expectOutcome(attempts[0].ID, balancer.Answered)
	h.expectClosed(c)
}

func TestIdleTimeoutPrecedesServerTimeout(t *testing.T) {
	h := newHarness(t)
	attempts := h.dispatch("a.0")
	c := receive(t, h.dials)
	h.readFrame(c)
	h.advance(299999)
	c.Write(frame.New(frame.ResponseFrame, "a.0 served 5 -\nv"))
	h.expectOutcome(attempts[0].ID, balancer.Answered)
	h.advance(225000)
	h.wakeUp()
	h.expectClosed(c)
}

func TestServerRestartClosesConnections(t *testing.T) {
	h := newHarness(t)
	attempts := h.dispatch("a.0")
	c := receive(t, h.dials)
	h.readFrame(c)
	// This start time is before the connection was opened, so the connection belongs to the new process.
	h.client.TrySubmit(AddressChanged{Addr: "a:2", StartedAt: h.now() - 10})
	c.Write(frame.New(frame.ResponseFrame, "a.0 served 5 -\nv"))
	h.expectOutcome(attempts[0].ID, balancer.Answered)
	attempts = h.dispatch("b.0")
	d := receive(t, h.dials)
	h.readFrame(d)
	h.advance(100)
	h.client.TrySubmit(AddressChanged{Addr: "a:2", StartedAt: h.now()})
	h.expectOutcome(attempts[0].ID, balancer.Reset)
}

func TestDescriptorBudget(t *testing.T) {
	h := newHarness(t)
	for i := range 10 {
		h.dispatch("a."+string(rune('0'+i)), "b."+string(rune('0'+i)))
	}
	for range 4 { // five connections are needed, maxDescriptors allows four
		if e := receive(t, h.ends); e.Outcome != balancer.ConnectFailed {
			t.Fatalf("call %d ended with outcome %d", e.ID, e.Outcome)
		}
	}
	if n := h.descriptors.Load(); n > 4 {
		t.Errorf("%d descriptors are in use", n)
	}
}

// stuckConn is a connection whose goroutines do not end when it is closed.
type stuckConn struct{ net.Conn }

func (stuckConn) Close() error { return nil }

// The client must not spin while the goroutines of a closed connection end: on a single core it would prevent them from
// running.
func TestClosedIdleConnectionIsNotScheduled(t *testing.T) {
	clientEnd, serverEnd := net.Pipe()
	defer serverEnd.Close()
	defer clientEnd.Close()
	var at balancer.Time = 1e9
	cl := newClient(1, "s-a", "a:1", Config{ConnectTimeout: 2500, IdleTimeout: 300000, MaxStreamsPerConn: 4}, func() balancer.Time { return at }, nil, nil, nil)
	cl.conns = append(cl.conns, newConn(cl, dialResult{netConn: stuckConn{clientEnd}, addr: cl.addr}))
	if got, want := cl.untilNextTimeout(), 22500*time.Millisecond; got != want {
		t.Errorf("a new connection times out in %v, want %v", got, want)
	}
	at += 225000
	cl.expire()
	if c := cl.conns[0]; !c.closed || c.endReason != endIdle {
		t.Fatalf("an idle connection was not closed after its timeout: reason %q", c.endReason)
	}
	if got := cl.untilNextTimeout(); got <= 0 {
		t.Errorf("the next timeout is in %v while the goroutines of a closed connection end, want more than 0", got)
	}
}

// CloseIdle closes idle connections, so that the next attempt opens a new one, but not connections with attempts in
// flight.
func TestCloseIdle(t *testing.T) {
	h := newHarness(t)
	attempts := h.dispatch("a.0")
	c := receive(t, h.dials)
	h.readFrame(c)
	h.client.TrySubmit(CloseIdle{})
	c.Write(frame.New(frame.ResponseFrame, "a.0 served 1 -\nv"))
	h.expectOutcome(attempts[0].ID, balancer.Answered)
	h.client.TrySubmit(CloseIdle{})
	h.dispatch("b.0")
	d := receive(t, h.dials)
	if got := h.readFrame(d); got != "qb.0 0 d=1000 4\ntext" {
		t.Errorf("got %q", got)
	}
	c.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the idle connection is still open: %v", err)
	}
}
