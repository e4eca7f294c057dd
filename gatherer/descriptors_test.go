//go:build linux

package gatherer

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"oxbowspan/internal/idleconn"
	"oxbowspan/internal/testing/standin"
)

// noDescriptors lets this process open no more descriptors until give is called.
//
// The limit is on the number of a new descriptor, not on their count. So it is set above all that are open, and those that are
// free below it are taken: then whichever is closed makes room for another.
func noDescriptors(t *testing.T) (give func()) {
	t.Helper()
	var was unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &was); err != nil {
		t.Fatal(err)
	}
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: uint64(highestDescriptor(t)) + 1, Max: was.Max}); err != nil {
		t.Fatal(err)
	}
	var fill []int
	for {
		fd, err := unix.FcntlInt(0, unix.F_DUPFD_CLOEXEC, 3)
		if err != nil {
			break
		}
		fill = append(fill, fd)
	}
	return func() {
		for _, fd := range fill {
			unix.Close(fd)
		}
		fill = nil
		if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &was); err != nil {
			t.Fatal(err)
		}
	}
}

// highestDescriptor returns the highest number of an open descriptor of this process.
func highestDescriptor(t *testing.T) (highest int) {
	t.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		fd, err := strconv.Atoi(e.Name())
		if err != nil {
			t.Fatal(err)
		}
		highest = max(highest, fd)
	}
	return highest
}

// exhaustedListener fails a number of accepts for want of a descriptor while a connection waits.
type exhaustedListener struct {
	*net.TCPListener
	failures atomic.Int32 // still to come
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	for l.failures.Load() > 0 {
		if !idleconn.HasPendingConn(l.TCPListener) {
			time.Sleep(time.Millisecond)
			continue
		}
		l.failures.Add(-1)
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.TCPListener.Accept()
}

// If another goroutine holds the descriptor of an evicted connection for a moment, accept fails once more. No second connection
// is evicted for the same client.
func TestAcceptEvictsOneConnectionForOneClient(t *testing.T) {
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	exhausted := &exhaustedListener{TCPListener: nl.(*net.TCPListener)}
	r := startHarnessOn(t, exhausted, listenerConfig{descriptors: 200}, 0)
	oldest, second, third := r.dial(), r.dial(), r.dial()
	for _, c := range []*harnessClient{oldest, second, third} {
		c.send(post("/", ""))
		c.expect("/ ")
	}
	r.awaitParked(3)
	exhausted.failures.Store(2)
	for range 2 { // an accept of before the failures waits for the first of these; that of the second fails
		c := r.dial()
		c.send(post("/new", "x"))
		c.expect("/new x")
	}
	if _, _, err := oldest.answer(); err == nil {
		t.Error("the connection that is idle longest was not evicted")
	}
	for _, c := range []*harnessClient{second, third} {
		c.send(post("/still", "x"))
		c.expect("/still x")
	}
}

// If descriptors run out when a parked connection has a request, the request is shed with a Retry-After.
func TestWakeupWithoutDescriptorIsAnswered(t *testing.T) {
	r := startHarness(t, 200, 0, 0)
	c, later := r.dial(), r.dial()
	for _, c := range []*harnessClient{c, later} {
		c.send(post("/", ""))
		c.expect("/ ")
	}
	r.awaitParked(2)
	give := noDescriptors(t)
	defer give()
	c.send(post("/now", "x"))
	c.SetReadDeadline(time.Now().Add(testTimeout))
	res, err := http.ReadResponse(c.r, nil)
	give()
	if err != nil || res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") != "0.5" {
		t.Errorf("got %v, %v", res, err)
	}
	later.send(post("/later", "x"))
	later.expect("/later x")
}

// If descriptors run out in accept the connection that is idle longest is evicted, parked or not, so that clients in the
// backlog are served.
func TestAcceptWithoutDescriptorEvicts(t *testing.T) {
	for _, parks := range []bool{true, false} {
		t.Run(fmt.Sprintf("parked=%t", parks), func(t *testing.T) {
			r := startHarness(t, 200, 0, 0)
			if !parks {
				r.listener.admission.SetParkDelay(3600_000)
			}
			oldest, other := r.dial(), r.dial()
			for i, c := range []*harnessClient{oldest, other} {
				c.send(post("/", ""))
				c.expect("/ ")
				r.until("parked or idle", func() bool {
					r.listener.mu.Lock()
					defer r.listener.mu.Unlock()
					_, visiting, _, _ := r.listener.admission.Counts()
					return visiting == i+1
				})
			}
			if parks {
				r.awaitParked(2)
			}
			raw := rawDial(t, r.addr) // before, as it needs a descriptor itself
			defer unix.Close(raw)
			give := noDescriptors(t)
			defer give()
			unix.Write(raw, []byte(post("/new", "x")))
			answer := make([]byte, 1024)
			unix.SetsockoptTimeval(raw, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &unix.Timeval{Sec: int64(testTimeout / time.Second)})
			k, err := unix.Read(raw, answer)
			give()
			if err != nil || !strings.HasSuffix(string(answer[:max(k, 0)]), "/new x") {
				t.Errorf("the new client got %q, %v", answer[:max(k, 0)], err)
			}
			if _, _, err := oldest.answer(); err == nil {
				t.Error("the connection that is idle longest was not evicted")
			}
			other.send(post("/still", "x"))
			other.expect("/still x")
		})
	}
}

// The machine has fewer descriptors than the configuration says, and clients use all of them: connections to servers fail.
// Every request gets a result, shed or failed, by its timeout; once descriptors are available again requests are served.
func TestDescriptorExhaustion(t *testing.T) {
	a := startShard(t, "s-a", nil)
	p := start(t, startList(t, a), nil)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: testTimeout}
	ask := func(id string) (int, time.Duration) {
		t.Helper()
		s := standin.Request{ID: id, QueryType: "lookup", Customer: "acme",
			Timeout: 1500 * time.Millisecond, Shards: []int{1}, Statement: "c41e77d0"}
		r, err := s.Send(t.Context(), client, p.addr)
		if err != nil { // its connection was evicted: by the protocol the client retries once on a new one
			r, err = s.Send(t.Context(), client, p.addr)
		}
		if err != nil {
			t.Fatal(err)
		}
		return r.Status, r.Elapsed
	}
	if status, _ := ask("a1"); status != http.StatusOK {
		t.Fatalf("at the start: %d", status)
	}
	pid := p.cmd.Process.Pid
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		t.Skip(err)
	}
	var was unix.Rlimit
	few := unix.Rlimit{Cur: uint64(len(entries) + 4), Max: 4096}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &was); err != nil {
		t.Fatal(err)
	}
	few.Max = was.Max
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &few, nil); err != nil {
		t.Fatal(err)
	}
	var crowd []net.Conn // connections without requests, which take all descriptors
	for range 12 {
		c, err := net.Dial("tcp", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		crowd = append(crowd, c)
	}
	p.line("event=accept_no_descriptor")
	a.ResetConnections() // now the server needs a new connection
	for i := range 4 {
		status, took := ask(fmt.Sprintf("b%d", i))
		if status != http.StatusOK && status != http.StatusServiceUnavailable && status != http.StatusGatewayTimeout {
			t.Errorf("without descriptors: %d", status)
		}
		if took > 1600*time.Millisecond {
			t.Errorf("the result took %s, longer than the client's timeout", took)
		}
	}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &was, nil); err != nil {
		t.Fatal(err)
	}
	for _, c := range crowd {
		c.Close()
	}
	n := 0
	for end := time.Now().Add(testTimeout); ; n++ {
		if status, _ := ask(fmt.Sprintf("c%d", n)); status == http.StatusOK {
			break
		}
		if time.Now().After(end) {
			t.Fatal("timeout: descriptors are available again, but nothing is answered")
		}
	}
}
