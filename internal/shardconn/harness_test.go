package shardconn

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"oxbowspan/balancer"
	"oxbowspan/internal/frame"
)

// harness is a client whose connections are pipes, with a manual clock. It records what the client reports.
type harness struct {
	t           *testing.T
	client      *Client
	at          atomic.Int64
	ends        chan AttemptEnded
	checks      chan balancer.HealthCheckEnded
	dials       chan net.Conn // the server's ends of the pipes
	refuse      atomic.Bool
	descriptors atomic.Int64 // in use
	next        uint64
}

func (r *harness) AttemptEnded(e AttemptEnded) { r.ends <- e }

func (r *harness) HealthCheckEnded(e balancer.HealthCheckEnded) { r.checks <- e }

func (r *harness) Acquire() bool {
	return r.descriptors.Add(1) <= maxDescriptors || r.descriptors.Add(-1) < 0
}

func (r *harness) Release() { r.descriptors.Add(-1) }

func (r *harness) now() balancer.Time { return balancer.Time(r.at.Load()) }

func (r *harness) advance(d balancer.Time) { r.at.Add(int64(d)) }

func newHarness(t *testing.T) *harness {
	r := &harness{t: t, ends: make(chan AttemptEnded, 100), checks: make(chan balancer.HealthCheckEnded, 100), dials: make(chan net.Conn, 100)}
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

// maxDescriptors is how many connections the harness allows.
const maxDescriptors = 4

// testTimeout is for whatever should happen by itself.
const testTimeout = 10 * time.Second

func receive[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatal("timeout")
		panic("unreachable")
	}
}

// dispatch sends attempts with these wire ids and a time limit of a second.
func (r *harness) dispatch(wireIDs ...string) []Attempt {
	r.t.Helper()
	var attempts []Attempt
	for _, id := range wireIDs {
		r.next++
		attempts = append(attempts, Attempt{ID: balancer.ShardCallID(r.next), WireID: id, Text: []byte("text"), SentAt: r.now(), Deadline: r.now() + 10000})
	}
	if !r.client.TrySubmit(Dispatch{attempts}) {
		r.t.Fatal("the mailbox is full")
	}
	return attempts
}

func (r *harness) cancel(a Attempt) { r.client.TrySubmit(Cancel{a.ID, a.Number}) }

// wakeUp makes the client look at its clock.
func (r *harness) wakeUp() { r.cancel(Attempt{}) }

// readFrame reads one frame as the server.
func (r *harness) readFrame(c net.Conn) string {
	r.t.Helper()
	c.SetReadDeadline(time.Now().Add(testTimeout))
	letter, content, _, err := frame.Read(c, nil)
	if err != nil {
		r.t.Fatal(err)
	}
	return string(letter) + string(content)
}

func (r *harness) expectOutcome(id balancer.ShardCallID, want balancer.Outcome) AttemptEnded {
	r.t.Helper()
	e := receive(r.t, r.ends)
	if e.ID != id || e.Outcome != want {
		r.t.Errorf("call %d ended with outcome %d, want call %d with %d", e.ID, e.Outcome, id, want)
	}
	return e
}

// expectClosed waits until the client has closed a connection.
func (r *harness) expectClosed(c net.Conn) {
	r.t.Helper()
	c.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		r.t.Errorf("reading a connection that should be closed: %v", err)
	}
}
