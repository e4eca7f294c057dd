package shardconn

import (
	"io"
	"testing"

	"oxbowspan/balancer"
	"oxbowspan/internal/frame"
)

// A malformed answer fails only its own attempt. The other attempts on the connection count as cancelled, not as
// failures of the server.
func TestMalformedAnswerFailsOnlyItsAttempt(t *testing.T) {
	for text, failed := range map[string]int{
		string(frame.New(frame.ResponseFrame, "b.0 served? 5 -\nv")): 1, // has the id of its call
		string(frame.New(frame.ResponseFrame, "b.0 served")):         1,
		string(frame.New(frame.ResponseFrame, "ff.0 served 5 -\nv")): 0, // unknown id: the oldest attempt fails
		string(frame.New('z', "b.0 served 5 -\nv")):                  0,
		"\xb2\xd0\x5e\x00a":          0, // 3 GB
		"\xff\xff\xff\xfca.0 served": 0,
	} {
		h := newHarness(t)
		attempts := h.dispatch("a.0")
		h.advance(1)
		attempts = append(attempts, h.dispatch("b.0")...)
		c := receive(t, h.dials)
		for range 2 {
			h.readFrame(c)
		}
		c.Write([]byte(text))
		h.expectOutcome(attempts[failed].ID, balancer.Errored)
		h.expectOutcome(attempts[1-failed].ID, balancer.Cancelled)
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("after %q reading the connection returned %v, want EOF", text, err)
		}
	}
}

// A valid answer is used whatever bytes follow it, but nothing new is sent on its connection.
func TestTrailingBytesEndOnlyTheConnection(t *testing.T) {
	answer := "a.0 served 5 queue=zz,inflight=1e300\nv"
	for _, trailing := range []string{string(frame.New(frame.ResponseFrame, answer)), "\xde\xad", "\x00\x00\x00\x05zzzzz"} {
		h := newHarness(t)
		attempts := h.dispatch("a.0")
		c := receive(t, h.dials)
		h.readFrame(c)
		c.Write(append(frame.New(frame.ResponseFrame, answer), trailing...))
		if e := h.expectOutcome(attempts[0].ID, balancer.Answered); e.Value != "v" || e.Report != nil {
			t.Errorf("got %+v", e)
		}
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("after %q reading the connection returned %v, want EOF", trailing, err)
		}
		next := h.dispatch("b.0")
		d := receive(t, h.dials)
		h.readFrame(d)
		d.Write(frame.New(frame.ResponseFrame, "b.0 served 5 -\nv"))
		h.expectOutcome(next[0].ID, balancer.Answered)
	}
}

// An incomplete frame fails its attempt after the connect timeout, and nothing new is sent on its connection meanwhile.
func TestIncompleteFrameTimesOut(t *testing.T) {
	h := newHarness(t)
	attempts := h.dispatch("a.0", "a.1")
	c := receive(t, h.dials)
	h.readFrame(c)
	c.Write(append(frame.New(frame.ResponseFrame, "a.0 served 5 -\nv"), "\x00\x00\x10\x00aa.1 served 5 -\nv"...))
	h.expectOutcome(attempts[0].ID, balancer.Answered)
	next := h.dispatch("b.0")
	h.readFrame(receive(t, h.dials)) // on another connection
	h.advance(2500)
	h.wakeUp()
	h.expectOutcome(attempts[1].ID, balancer.Errored)
	h.cancel(next[0])
	h.expectOutcome(next[0].ID, balancer.Cancelled)
}
