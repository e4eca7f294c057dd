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

// harness is a client with a manual clock whose connections are pipes. It records the events that the client reports.
type harness struct {
	t           *testing.T
	client      *Client
	at          atomic.Int64
	ends        chan AttemptEnded
	checks      chan balancer.HealthCheckEnded
	dials       chan net.Conn // the server's ends of the pipes
	refuse      atomic.Bool   // dials fail
	descriptors atomic.Int64  // number in use
	lastID      uint64        // ID of the last attempt
}

func (h *harness) AttemptEnded(e AttemptEnded) { h.ends <- e }

func (h *harness) HealthCheckEnded(e balancer.HealthCheckEnded) { h.checks <- e }

func (h *harness) Acquire() bool {
	return h.descriptors.Add(1) <= maxDescriptors || h.descriptors.Add(-1) < 0
}

func (h *harness) Release() { h.descriptors.Add(-1) }

func (h *harness) now() balancer.Time { return balancer.Time(h.at.Load()) }

func (h *harness) advance(d balancer.Time) { h.at.Add(int64(d)) }

func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{t: t, ends: make(chan AttemptEnded, 100), checks: make(chan balancer.HealthCheckEnded, 100),
		dials: make(chan net.Conn, 100)}
	h.at.Store(1e9)
	config := Config{ConnectTimeout: 2500, IdleTimeout: 300000, MaxStreamsPerConn: 4, MaxCallsPerFrame: 2, LoadReports: true}
	h.client = start(1, "s-a", "a:1", config, h.now, h, h, h.dial)
	t.Cleanup(h.client.Stop)
	return h
}

func (h *harness) dial(string, time.Duration) (net.Conn, error) {
	if h.refuse.Load() {
		return nil, io.ErrClosedPipe
	}
	clientEnd, serverEnd := net.Pipe()
	h.dials <- serverEnd
	return clientEnd, nil
}

// maxDescriptors is the number of connections that the harness allows at once.
const maxDescriptors = 4

// testTimeout limits how long a test waits for an event.
const testTimeout = 10 * time.Second

// receive returns the next value of a channel, or fails the test after testTimeout.
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

// dispatch submits attempts with these wire ids and a time limit of one second.
func (h *harness) dispatch(wireIDs ...string) []Attempt {
	h.t.Helper()
	var attempts []Attempt
	for _, id := range wireIDs {
		h.lastID++
		attempts = append(attempts, Attempt{ID: balancer.ShardCallID(h.lastID), WireID: id, Text: []byte("text"), SentAt: h.now(), Deadline: h.now() + 10000})
	}
	if !h.client.TrySubmit(Dispatch{attempts}) {
		h.t.Fatal("the mailbox is full")
	}
	return attempts
}

func (h *harness) cancel(a Attempt) { h.client.TrySubmit(Cancel{a.ID, a.Number}) }

// wakeUp makes the client process its timeouts after a change of the manual clock, by cancelling an unknown attempt.
func (h *harness) wakeUp() { h.cancel(Attempt{}) }

// readFrame reads one frame from the server's end of a connection.
func (h *harness) readFrame(c net.Conn) string {
	h.t.Helper()
	c.SetReadDeadline(time.Now().Add(testTimeout))
	letter, content, _, err := frame.Read(c, nil)
	if err != nil {
		h.t.Fatal(err)
	}
	return string(letter) + string(content)
}

// expectOutcome waits for the next end of an attempt and checks its id and outcome.
func (h *harness) expectOutcome(id balancer.ShardCallID, want balancer.Outcome) AttemptEnded {
	h.t.Helper()
	e := receive(h.t, h.ends)
	if e.ID != id || e.Outcome != want {
		h.t.Errorf("call %d ended with outcome %d, want call %d with %d", e.ID, e.Outcome, id, want)
	}
	return e
}

// expectClosed waits until the client has closed a connection.
func (h *harness) expectClosed(c net.Conn) {
	h.t.Helper()
	c.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		h.t.Errorf("reading a connection that should be closed returned %v, want EOF", err)
	}
}
