package peer

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

// rig is a peer whose connections are pipes, a clock set by hand, and what the peer tells.
type rig struct {
	t      *testing.T
	p      *Peer
	at     atomic.Int64
	ends   chan Ended
	probes chan balancer.HealthCheckEnded
	dials  chan net.Conn // the server's ends
	refuse atomic.Bool
	held   atomic.Int64 // descriptors
	mu     sync.Mutex
	next   uint64
}

func (r *rig) Ended(e Ended)                      { r.ends <- e }
func (r *rig) Probed(p balancer.HealthCheckEnded) { r.probes <- p }
func (r *rig) Take() bool                         { return r.held.Add(1) <= 4 || r.held.Add(-1) < 0 }
func (r *rig) Give()                              { r.held.Add(-1) }
func (r *rig) now() balancer.Time                 { return balancer.Time(r.at.Load()) }
func (r *rig) pass(d balancer.Time)               { r.at.Add(int64(d)) }

func newRig(t *testing.T) *rig {
	r := &rig{t: t, ends: make(chan Ended, 100), probes: make(chan balancer.HealthCheckEnded, 100), dials: make(chan net.Conn, 100)}
	r.at.Store(1e9)
	r.p = start(1, "s-a", "a:1", Figures{ConnectTimeout: 2500, IdleClose: 300000, Streams: 4, PartsPerCall: 2, Reports: true},
		r.now, r, r, func(string, time.Duration) (net.Conn, error) {
			if r.refuse.Load() {
				return nil, io.ErrClosedPipe
			}
			ours, theirs := net.Pipe()
			r.dials <- theirs
			return ours, nil
		})
	t.Cleanup(r.p.Stop)
	return r
}

const wait = 10 * time.Second

func take[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(wait):
		t.Fatal("what was waited for never came")
		panic("unreachable")
	}
}

// call sends parts with these wire ids, with a time limit of a second by the rig's clock.
func (r *rig) call(wires ...string) []Part {
	var parts []Part
	for _, w := range wires {
		r.next++
		parts = append(parts, Part{ID: balancer.ShardCallID(r.next), Wire: w, Text: []byte("text"), SentAt: r.now(), Until: r.now() + 10000})
	}
	if !r.p.Offer(Call{parts}) {
		r.t.Fatal("the mailbox is full")
	}
	return parts
}

func (r *rig) cancel(p Part) { r.p.Offer(Cancel{p.ID, p.Send}) }

// frame reads one frame as the server.
func (r *rig) frame(c net.Conn) string {
	r.t.Helper()
	c.SetReadDeadline(time.Now().Add(wait))
	letter, rest, _, err := frame.Read(c, nil)
	if err != nil {
		r.t.Fatal(err)
	}
	return string(letter) + string(rest)
}

func (r *rig) want(id balancer.ShardCallID, o balancer.Outcome) Ended {
	r.t.Helper()
	e := take(r.t, r.ends)
	if e.ID != id || e.Outcome != o {
		r.t.Errorf("part %d ended with %d, want part %d with %d", e.ID, e.Outcome, id, o)
	}
	return e
}

func TestPartsOfOneCallShareAFrame(t *testing.T) {
	r := newRig(t)
	parts := r.call("a.0", "a.1", "a.2")
	c := take(t, r.dials)
	if got := r.frame(c); got != "qa.0 0 d=1000 4\ntexta.1 0 d=1000 4\ntext" {
		t.Errorf("got %q", got)
	}
	if got := r.frame(c); got != "qa.2 0 d=1000 4\ntext" {
		t.Errorf("got %q", got)
	}
	r.pass(50)
	c.Write(frame.Whole(frame.Answer, "a.1 served 5 queue=3,util=0.5\nthe value"))
	if e := r.want(parts[1].ID, balancer.Answered); e.Value != "the value" || e.Elapsed != 50 || *e.Report != (balancer.LoadReport{Queued: 3, InFlight: -1}) {
		t.Errorf("got %+v, %+v", e, e.Report)
	}
	c.Write(frame.Whole(frame.Answer, "a.0 skipped 0 -\n"))
	if e := r.want(parts[0].ID, balancer.Rejected); e.Report != nil {
		t.Errorf("got the report %+v", e.Report)
	}
}

// What was written only in part never ran; what was written whole may have.
func TestConnectionBreaksBeforeAndAfterTheLastByte(t *testing.T) {
	r := newRig(t)
	whole := r.call("a.0")
	c := take(t, r.dials)
	r.frame(c)
	cut := r.call("a.1")
	if _, err := io.ReadFull(c, make([]byte, 7)); err != nil { // of more
		t.Fatal(err)
	}
	queued := r.call("a.2")
	for len(r.p.mailbox) > 0 { // until the last one stands behind the half-written
	}
	c.Close()
	got := map[balancer.ShardCallID]balancer.Outcome{}
	for range 3 {
		e := take(t, r.ends)
		got[e.ID] = e.Outcome
	}
	if got[whole[0].ID] != balancer.Reset || got[cut[0].ID] != balancer.ConnectFailed || got[queued[0].ID] != balancer.ConnectFailed {
		t.Errorf("got %v", got)
	}
}

func TestConnectFailsAndNothingRan(t *testing.T) {
	r := newRig(t)
	r.refuse.Store(true)
	parts := r.call("a.0", "a.1")
	r.want(parts[0].ID, balancer.ConnectFailed)
	r.want(parts[1].ID, balancer.ConnectFailed)
	if n := r.held.Load(); n != 0 {
		t.Errorf("%d descriptors are still taken", n)
	}
}

// A time limit gives its outcome on time though the server reads nothing, and what is taken back unwritten
// never ran.
func TestTimeLimitWhileTheServerReadsNothing(t *testing.T) {
	r := newRig(t)
	stuck := r.call("a.0")
	if _, err := io.ReadFull(take(t, r.dials), make([]byte, 7)); err != nil { // of more
		t.Fatal(err)
	}
	behind := r.call("a.1")
	r.pass(10000)
	r.cancel(Part{}) // wakes the actor
	got := map[balancer.ShardCallID]balancer.Outcome{}
	for range 2 {
		e := take(t, r.ends)
		got[e.ID] = e.Outcome
	}
	if got[stuck[0].ID] != balancer.TimedOut || got[behind[0].ID] != balancer.ConnectFailed {
		t.Errorf("got %v", got)
	}
}

func TestASilentConnectionGetsNoNewParts(t *testing.T) {
	r := newRig(t)
	first := r.call("a.0", "a.1")
	c := take(t, r.dials)
	r.frame(c)
	r.pass(100)
	r.cancel(first[0])
	if got := r.frame(c); got != "ca.0" {
		t.Errorf("got %q", got)
	}
	r.want(first[0].ID, balancer.Cancelled)
	second := r.call("b.0")
	d := take(t, r.dials) // a new connection
	r.frame(d)
	// A word on the old one, and it is as good as any; the answer to what was given up is dropped.
	r.pass(100)
	c.Write(frame.Whole(frame.Answer, "a.0 served 5 -\nlate"))
	c.Write(frame.Whole(frame.Answer, "a.1 served 5 -\nv"))
	r.want(first[1].ID, balancer.Answered)
	third := r.call("c.0")
	r.frame(c)
	// Of the two one carries all there is. The other would hold a descriptor until it has been idle for long.
	d.Write(frame.Whole(frame.Answer, "b.0 served 5 -\nv"))
	r.want(second[0].ID, balancer.Answered)
	c.Write(frame.Whole(frame.Answer, "c.0 served 5 -\nv"))
	r.want(third[0].ID, balancer.Answered)
	r.closed(d)
	r.call("d.0")
	r.frame(c)
}

// closed waits until the peer has closed a connection.
func (r *rig) closed(c net.Conn) {
	r.t.Helper()
	c.SetReadDeadline(time.Now().Add(wait))
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		r.t.Errorf("a connection that should be closed gives %v", err)
	}
}

// Through a release a gatherer held connections to the servers that drained, for as long as these ran, and had none left
// for the servers in their place.
func TestADrainingServersConnectionsEndWithWhatIsOut(t *testing.T) {
	r := newRig(t)
	parts := r.call("a.0")
	c := take(t, r.dials)
	r.frame(c)
	r.p.Offer(Drain{})
	r.refuse.Store(true)
	late := r.call("b.0") // was on its way already: not sent, as it would be sent on a new connection
	r.want(late[0].ID, balancer.ConnectFailed)
	c.Write(frame.Whole(frame.Answer, "a.0 served 5 -\nv"))
	r.want(parts[0].ID, balancer.Answered)
	r.closed(c)
}

func TestIdleConnectionsAreClosedBeforeTheServerMust(t *testing.T) {
	r := newRig(t)
	parts := r.call("a.0")
	c := take(t, r.dials)
	r.frame(c)
	r.pass(299999)
	c.Write(frame.Whole(frame.Answer, "a.0 served 5 -\nv"))
	r.want(parts[0].ID, balancer.Answered)
	r.pass(225000)
	r.cancel(Part{}) // wakes the actor
	r.closed(c)
}

func TestServerThatStartedAnew(t *testing.T) {
	r := newRig(t)
	parts := r.call("a.0")
	c := take(t, r.dials)
	r.frame(c)
	r.p.Offer(Moved{Addr: "a:2", Since: r.now() - 10}) // before this connection: it leads to the new process
	c.Write(frame.Whole(frame.Answer, "a.0 served 5 -\nv"))
	r.want(parts[0].ID, balancer.Answered)
	parts = r.call("b.0")
	d := take(t, r.dials)
	r.frame(d)
	r.pass(100)
	r.p.Offer(Moved{Addr: "a:2", Since: r.now()})
	r.want(parts[0].ID, balancer.Reset)
}

func TestDescriptorsAreBounded(t *testing.T) {
	r := newRig(t)
	for i := range 10 {
		r.call("a."+string(rune('0'+i)), "b."+string(rune('0'+i)))
	}
	for range 4 { // five connections would be needed, four are granted
		if e := take(t, r.ends); e.Outcome != balancer.ConnectFailed {
			t.Fatalf("part %d ended with %d", e.ID, e.Outcome)
		}
	}
	if n := r.held.Load(); n > 4 {
		t.Errorf("%d descriptors are taken", n)
	}
}

func TestProbe(t *testing.T) {
	r := newRig(t)
	parts := r.call("a.0")
	c := take(t, r.dials)
	r.frame(c)
	r.p.Offer(Probe{})
	if got := r.frame(c); got != "p" {
		t.Errorf("got %q", got)
	}
	c.Write(frame.Whole(frame.Probe, "broke"))
	if p := take(t, r.probes); p.Outcome != balancer.Errored {
		t.Errorf("got %+v", p)
	}
	r.p.Offer(Probe{})
	r.frame(c)
	c.Close()
	if p := take(t, r.probes); p.Outcome != balancer.Reset {
		t.Errorf("got %+v", p)
	}
	r.want(parts[0].ID, balancer.Reset)
}

// What cannot be an answer fails the part it was for, and says nothing against the server by the parts beside it.
func TestSpoiltAnswerFailsItsPartAlone(t *testing.T) {
	for text, hit := range map[string]int{
		string(frame.Whole(frame.Answer, "b.0 served? 5 -\nv")): 1, // names its part
		string(frame.Whole(frame.Answer, "b.0 served")):         1,
		string(frame.Whole(frame.Answer, "ff.0 served 5 -\nv")): 0, // asked of nobody: the oldest waits for it
		string(frame.Whole('z', "b.0 served 5 -\nv")):           0,
		"\xb2\xd0\x5e\x00a":          0, // 3 GB
		"\xff\xff\xff\xfca.0 served": 0,
	} {
		r := newRig(t)
		parts := r.call("a.0")
		r.pass(1)
		parts = append(parts, r.call("b.0")...)
		c := take(t, r.dials)
		for range 2 {
			r.frame(c)
		}
		c.Write([]byte(text))
		r.want(parts[hit].ID, balancer.Errored)
		r.want(parts[1-hit].ID, balancer.Cancelled)
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("%q leaves a connection that gives %v", text, err)
		}
	}
}

// A good answer is used whatever follows it at once, and nothing new goes out on its connection.
func TestMoreThanBelongsToAnAnswerEndsItsConnectionOnly(t *testing.T) {
	answer := "a.0 served 5 queue=zz,inflight=1e300\nv"
	for _, more := range []string{string(frame.Whole(frame.Answer, answer)), "\xde\xad", "\x00\x00\x00\x05zzzzz"} {
		r := newRig(t)
		parts := r.call("a.0")
		c := take(t, r.dials)
		r.frame(c)
		c.Write(append(frame.Whole(frame.Answer, answer), more...))
		if e := r.want(parts[0].ID, balancer.Answered); e.Value != "v" || e.Report != nil {
			t.Errorf("got %+v", e)
		}
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("after %q the connection gives %v", more, err)
		}
		next := r.call("b.0")
		d := take(t, r.dials)
		r.frame(d)
		d.Write(frame.Whole(frame.Answer, "b.0 served 5 -\nv"))
		r.want(next[0].ID, balancer.Answered)
	}
}

// A frame that never ends costs its part a connect timeout, and nothing new is sent behind it.
func TestFrameThatDoesNotEnd(t *testing.T) {
	r := newRig(t)
	parts := r.call("a.0", "a.1")
	c := take(t, r.dials)
	r.frame(c)
	c.Write(append(frame.Whole(frame.Answer, "a.0 served 5 -\nv"), "\x00\x00\x10\x00aa.1 served 5 -\nv"...))
	r.want(parts[0].ID, balancer.Answered)
	next := r.call("b.0")
	r.frame(take(t, r.dials)) // on another connection
	r.pass(2500)
	r.cancel(Part{}) // wakes the actor
	r.want(parts[1].ID, balancer.Errored)
	r.cancel(next[0])
	r.want(next[0].ID, balancer.Cancelled)
}

// stuckConn is a connection whose goroutines do not end yet although it is closed.
type stuckConn struct{ net.Conn }

func (stuckConn) Close() error { return nil }

// What is left of a closed connection waits for its goroutines. Its actor must wait with it: one that is due at once, for
// as long as that takes, leaves them no time on a single core.
func TestClosedIdleConnectionIsNotDue(t *testing.T) {
	ours, theirs := net.Pipe()
	defer theirs.Close()
	defer ours.Close()
	var at balancer.Time = 1e9
	p := newPeer(1, "s-a", "a:1", Figures{ConnectTimeout: 2500, IdleClose: 300000, Streams: 4}, func() balancer.Time { return at }, nil, nil, nil)
	p.conns = append(p.conns, newConn(p, dialed{c: stuckConn{ours}, addr: p.addr}))
	if got, want := p.untilNext(), 22500*time.Millisecond; got != want {
		t.Errorf("a new connection is due after %v, want %v", got, want)
	}
	at += 225000
	p.expire()
	if c := p.conns[0]; !c.closed || c.why != endIdle {
		t.Fatalf("an idle connection is not closed: %+v", c.why)
	}
	if got := p.untilNext(); got <= 0 {
		t.Errorf("the actor is due after %v while a closed connection's goroutines end", got)
	}
}

// A probe opens a connection where none has room, and one that nobody answers is told of in time.
func TestProbeOpensAConnectionAndTimesOut(t *testing.T) {
	r := newRig(t)
	r.p.Offer(Probe{})
	c := take(t, r.dials)
	if got := r.frame(c); got != "p" {
		t.Errorf("got %q", got)
	}
	r.pass(2500)
	r.p.Offer(CloseIdle{}) // wakes the actor, and must leave a connection that owes a probe's answer
	if p := take(t, r.probes); p.Outcome != balancer.TimedOut {
		t.Errorf("got %+v", p)
	}
	// The next goes on a new connection, as the silent one proves nothing; late words on the old one are no fault.
	r.p.Offer(Probe{})
	d := take(t, r.dials)
	r.frame(d)
	go c.Write(frame.Whole(frame.Probe, "served"))
	d.Write(frame.Whole(frame.Probe, "served"))
	if p := take(t, r.probes); p.Outcome != balancer.Answered {
		t.Errorf("got %+v", p)
	}
	r.refuse.Store(true)
	r.p.Offer(Quit{})
	r.p.Offer(Probe{})
	if p := take(t, r.probes); p.Outcome != balancer.ConnectFailed && p.Outcome != balancer.Reset {
		t.Errorf("got %+v", p)
	}
}

// What is sent after CloseIdle goes on a new connection; what is out on another is left alone.
func TestCloseIdle(t *testing.T) {
	r := newRig(t)
	parts := r.call("a.0")
	c := take(t, r.dials)
	r.frame(c)
	r.p.Offer(CloseIdle{})
	c.Write(frame.Whole(frame.Answer, "a.0 served 1 -\nv"))
	r.want(parts[0].ID, balancer.Answered)
	r.p.Offer(CloseIdle{})
	r.call("b.0")
	d := take(t, r.dials)
	if got := r.frame(d); got != "qb.0 0 d=1000 4\ntext" {
		t.Errorf("got %q", got)
	}
	c.SetReadDeadline(time.Now().Add(wait))
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the rested connection is still open: %v", err)
	}
}
