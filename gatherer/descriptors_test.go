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

// exhaustDescriptors prevents this process from opening descriptors until restore is called.
//
// RLIMIT_NOFILE limits the number of a new descriptor, not how many are open. The limit is therefore set just above the
// highest open descriptor, and all free ones below it are taken: whichever is closed then allows another to be opened.
func exhaustDescriptors(t *testing.T) (restore func()) {
	t.Helper()
	var previous unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &previous); err != nil {
		t.Fatal(err)
	}
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: uint64(highestDescriptor(t)) + 1, Max: previous.Max}); err != nil {
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
		if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &previous); err != nil {
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

// exhaustedListener fails a number of accepts with EMFILE while a connection waits in the backlog.
type exhaustedListener struct {
	*net.TCPListener
	failures atomic.Int32 // accepts that are still to fail
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

// If another goroutine briefly takes the descriptor that an eviction has freed, accept fails once more. No second
// connection must be evicted for the same client.
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
	for range 2 { // the pending accept serves the first client; accepts fail for the second
		c := r.dial()
		c.send(post("/new", "x"))
		c.expect("/new x")
	}
	if _, _, err := oldest.readResponse(); err == nil {
		t.Error("the longest idle connection was not evicted")
	}
	for _, c := range []*harnessClient{second, third} {
		c.send(post("/still", "x"))
		c.expect("/still x")
	}
}

// If descriptors are exhausted when a parked connection receives a request, the request is shed with a Retry-After.
func TestWakeupWithoutDescriptorIsAnswered(t *testing.T) {
	r := startHarness(t, 200, 0, 0)
	c, later := r.dial(), r.dial()
	for _, c := range []*harnessClient{c, later} {
		c.send(post("/", ""))
		c.expect("/ ")
	}
	r.awaitParked(2)
	restore := exhaustDescriptors(t)
	defer restore()
	c.send(post("/now", "x"))
	c.SetReadDeadline(time.Now().Add(testTimeout))
	res, err := http.ReadResponse(c.r, nil)
	restore()
	if err != nil || res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") != "0.5" {
		t.Errorf("got %v, %v", res, err)
	}
	later.send(post("/later", "x"))
	later.expect("/later x")
}

// If accept fails for lack of descriptors, the longest idle connection is evicted, parked or not, so that clients in
// the backlog are served.
func TestAcceptWithoutDescriptorEvicts(t *testing.T) {
	for _, parking := range []bool{true, false} {
		t.Run(fmt.Sprintf("parked=%t", parking), func(t *testing.T) {
			r := startHarness(t, 200, 0, 0)
			if !parking {
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
			if parking {
				r.awaitParked(2)
			}
			raw := rawDial(t, r.addr) // dialed before, as it needs a descriptor itself
			defer unix.Close(raw)
			restore := exhaustDescriptors(t)
			defer restore()
			unix.Write(raw, []byte(post("/new", "x")))
			answer := make([]byte, 1024)
			unix.SetsockoptTimeval(raw, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &unix.Timeval{Sec: int64(testTimeout / time.Second)})
			k, err := unix.Read(raw, answer)
			restore()
			if err != nil || !strings.HasSuffix(string(answer[:max(k, 0)]), "/new x") {
				t.Errorf("the new client got %q, %v", answer[:max(k, 0)], err)
			}
			if _, _, err := oldest.readResponse(); err == nil {
				t.Error("the longest idle connection was not evicted")
			}
			other.send(post("/still", "x"))
			other.expect("/still x")
		})
	}
}

// The machine has fewer descriptors than configured and clients use all of them, so that connections to servers fail.
// Each request must be shed or fail by its timeout. Once descriptors are available again, requests are served.
func TestDescriptorExhaustion(t *testing.T) {
	a := startShard(t, "s-a", nil)
	p := startProgram(t, startDiscovery(t, a), nil)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: testTimeout}
	ask := func(id string) (int, time.Duration) {
		t.Helper()
		s := standin.Request{ID: id, QueryType: "lookup", Customer: "acme",
			Timeout: 1500 * time.Millisecond, Shards: []int{1}, Statement: "c41e77d0"}
		r, err := s.Send(t.Context(), client, p.addr)
		if err != nil { // its connection was evicted: the protocol makes the client retry once on a new one
			r, err = s.Send(t.Context(), client, p.addr)
		}
		if err != nil {
			t.Fatal(err)
		}
		return r.Status, r.Elapsed
	}
	if status, _ := ask("a1"); status != http.StatusOK {
		t.Fatalf("before the limit is lowered: got status %d, want 200", status)
	}
	pid := p.cmd.Process.Pid
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		t.Skip(err)
	}
	var previous unix.Rlimit
	reduced := unix.Rlimit{Cur: uint64(len(entries) + 4), Max: 4096}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &previous); err != nil {
		t.Fatal(err)
	}
	reduced.Max = previous.Max
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &reduced, nil); err != nil {
		t.Fatal(err)
	}
	var idleConns []net.Conn // connections without requests that use up all descriptors
	for range 12 {
		c, err := net.Dial("tcp", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		idleConns = append(idleConns, c)
	}
	p.awaitLogLine("event=accept_no_descriptor")
	a.ResetConnections() // the gatherer now needs a new connection to the server
	for i := range 4 {
		status, took := ask(fmt.Sprintf("b%d", i))
		if status != http.StatusOK && status != http.StatusServiceUnavailable && status != http.StatusGatewayTimeout {
			t.Errorf("without descriptors: got status %d, want 200, 503 or 504", status)
		}
		if took > 1600*time.Millisecond {
			t.Errorf("the result took %s, want at most the client's timeout", took)
		}
	}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &previous, nil); err != nil {
		t.Fatal(err)
	}
	for _, c := range idleConns {
		c.Close()
	}
	n := 0
	for end := time.Now().Add(testTimeout); ; n++ {
		if status, _ := ask(fmt.Sprintf("c%d", n)); status == http.StatusOK {
			break
		}
		if time.Now().After(end) {
			t.Fatal("timeout: descriptors are available again, but no request is answered")
		}
	}
}
