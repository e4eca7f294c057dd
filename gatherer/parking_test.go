//go:build linux

package gatherer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

func TestRequestHeadSplitAcrossParking(t *testing.T) {
	r := startHarness(t, 100, 0, 0)
	c := r.dial()
	c.send(post("/0", "first"))
	c.expect("/0 first")
	text := post("/some/path", "the body")
	for cut := range len(text) {
		r.awaitParked(1)
		c.send(text[:cut])
		if cut > 0 {
			r.awaitParked(0)
		}
		c.send(text[cut:])
		c.expect("/some/path the body")
	}
}

func TestPipelinedRequestsAreNotLost(t *testing.T) {
	r := startHarness(t, 100, 0, 0)
	c := r.dial()
	third := post("/3", "c")
	c.send(post("/1", "a") + post("/2", "b") + third[:3])
	c.expect("/1 a")
	c.expect("/2 b")
	// net/http has read three bytes of the next request and waits for more, so the connection must not be parked.
	r.listener.mu.Lock()
	conn := r.listener.conns[0].conn
	r.listener.mu.Unlock()
	r.until("idle", func() bool { return conn != nil && conn.isMarkedIdle() })
	if conn.isIdle() || r.listener.admission.Len() != 1 {
		t.Error("a connection with a partly read request would be parked")
	}
	c.send(third[3:])
	c.expect("/3 c")
	r.awaitParked(1)
	c.send(post("/4", "") + post("/5", "x"))
	c.expect("/4 ")
	c.expect("/5 x")
}

func TestParkedConnectionClose(t *testing.T) {
	r := startHarness(t, 100, 0, 0)
	closed, halfClosed, requesting, reset := r.dial(), r.dial(), r.dial(), r.dial()
	for _, c := range []*harnessClient{closed, halfClosed, requesting, reset} {
		c.send(post("/", ""))
		c.expect("/ ")
	}
	r.awaitParked(4)
	closed.Close()
	halfClosed.Conn.(*net.TCPConn).CloseWrite()
	reset.Conn.(*net.TCPConn).SetLinger(0)
	reset.Close()
	r.awaitParked(1)
	if _, _, err := halfClosed.readResponse(); !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("a half-closed connection got %v", err)
	}
	// A request sent before the half-close is answered.
	requesting.send(post("/last", "x"))
	requesting.Conn.(*net.TCPConn).CloseWrite()
	requesting.expect("/last x")
	r.until("all closed", func() bool {
		r.listener.mu.Lock()
		defer r.listener.mu.Unlock()
		return r.listener.admission.Len() == 0
	})
}

func TestSpuriousWakeupIsIgnored(t *testing.T) {
	r := startHarness(t, 100, 0, 0)
	c := r.dial()
	c.send(post("/1", ""))
	c.expect("/1 ")
	r.awaitParked(1)
	r.listener.mu.Lock()
	fd := int(r.listener.conns[0].fd)
	r.listener.mu.Unlock()
	r.listener.onParkedReadable(0, fd)      // nothing to read
	r.listener.onParkedReadable(0, fd+1000) // a different descriptor
	r.listener.onParkedReadable(77, fd)     // no connection has this id
	if r.parked() != 1 {
		t.Fatal("the connection is no longer parked")
	}
	c.send(post("/2", "x"))
	c.expect("/2 x")
}

func TestConcurrentWakeups(t *testing.T) {
	const n, active = 120, 16
	r := startHarness(t, 400, active, 0)
	var all []*harnessClient
	for range n {
		c := r.dial()
		c.send(post("/", ""))
		c.expect("/ ")
		all = append(all, c)
	}
	r.awaitParked(n)
	var wg sync.WaitGroup
	var mu sync.Mutex
	got := map[int]int{}
	for _, c := range all {
		wg.Add(1)
		go func() {
			defer wg.Done()
			io.WriteString(c, post("/wait", "x"))
			c.SetReadDeadline(time.Now().Add(testTimeout))
			res, err := http.ReadResponse(c.r, nil)
			if err != nil {
				t.Errorf("a request got no response: %v", err)
				return
			}
			if res.StatusCode == http.StatusServiceUnavailable && (res.Header.Get("Retry-After") != "0.5" || !res.Close) {
				t.Errorf("shed with headers %v", res.Header)
			}
			mu.Lock()
			got[res.StatusCode]++
			mu.Unlock()
		}()
	}
	// Shed requests get their responses while the others still wait.
	r.until("requests are shed", func() bool { mu.Lock(); defer mu.Unlock(); return got[http.StatusServiceUnavailable] == n-active })
	close(r.gate)
	wg.Wait()
	if got[http.StatusOK] != active || got[http.StatusOK]+got[http.StatusServiceUnavailable] != n {
		t.Errorf("responses by status: %v, want %d of %d served", got, active, n)
	}
	for _, c := range all {
		c.Close()
	}
	r.until("all closed", func() bool {
		r.listener.mu.Lock()
		defer r.listener.mu.Unlock()
		return r.listener.admission.Len() == 0
	})
}

// If a request arrives just before the idle timeout expires, the request is answered. A connection without a request is
// closed.
func TestWakeupAtIdleTimeoutIsAnswered(t *testing.T) {
	r := startHarness(t, 200, 0, time.Hour)
	silent, requesting := r.dial(), r.dial()
	for _, c := range []*harnessClient{silent, requesting} {
		c.send(post("/", ""))
		c.expect("/ ")
	}
	r.awaitParked(2)
	r.withPendingRequest(1, requesting, post("/again", "x"), func() { r.listener.expireUntil(2 * int64(time.Hour/wheelTick)) })
	requesting.expect("/again x")
	if _, _, err := silent.readResponse(); !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("a silent connection got %v, want it closed", err)
	}
}

func TestIdleTimeoutFires(t *testing.T) {
	r := startHarness(t, 200, 0, 200*time.Millisecond)
	c := r.dial()
	c.send(post("/", ""))
	c.expect("/ ")
	if _, _, err := c.readResponse(); !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("a silent connection got %v, want it closed", err)
	}
}

// A request head sent at one byte per second, of which the first byte resumes the connection, must not last longer than
// the read timeout.
func TestSlowHeadAcrossParking(t *testing.T) {
	r := startHarness(t, 100, 0, 0)
	c := r.dial()
	c.send(post("/", ""))
	c.expect("/ ")
	r.awaitParked(1)
	began := time.Now()
	over := make(chan struct{})
	go func() {
		defer close(over)
		for _, b := range []byte(post("/slow", "")) {
			if _, err := c.Write([]byte{b}); err != nil || time.Since(began) > testTimeout {
				return
			}
			select {
			case <-time.After(time.Second):
			case <-t.Context().Done():
				return
			}
		}
	}()
	if _, err := io.Copy(io.Discard, c); err != nil && !errors.Is(err, unix.ECONNRESET) {
		t.Error(err)
	}
	if took := time.Since(began); took > readTimeout+time.Second {
		t.Errorf("the connection was open for %s, want at most about the read timeout", took)
	}
	c.Close()
	<-over
	r.until("closed", func() bool {
		r.listener.mu.Lock()
		defer r.listener.mu.Unlock()
		return r.listener.admission.Len() == 0
	})
}

// In the built program a parked connection stays open when SIGHUP reloads the configuration, and is closed at its idle
// timeout.
func TestParkedConnectionSurvivesReload(t *testing.T) {
	file := filepath.Join(t.TempDir(), "operator.ini")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("[connections]\nidle = 2s\n")
	p := startProgram(t, startDiscovery(t, startShard(t, "s-a", nil)), nil, "--operator", file)
	nc, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	c := &harnessClient{nc, t, bufio.NewReader(nc)}
	health := "GET /-/healthy HTTP/1.1\r\nHost: x\r\n\r\n"
	c.send(health)
	c.expect("ok\n")
	for answered := time.Now(); time.Since(answered) < 2*parkDelay; { // the connection is parked meanwhile
		p.cmd.Process.Signal(syscall.SIGHUP)
		p.awaitLogLine("event=reload ", "needs_restart=none")
	}
	write("[connections]\npark = no\n")
	p.cmd.Process.Signal(syscall.SIGHUP)
	p.awaitLogLine("event=reload ", "needs_restart=connections")
	c.send(health)
	c.expect("ok\n")
	p.awaitLogLine("event=client_conn_end", "client="+nc.LocalAddr().String(), "reason=idle_limit", "requests=2")
}

func TestDrainClosesIdleAndAnswersPending(t *testing.T) {
	r := startHarness(t, 200, 0, 0)
	idle, requesting := r.dial(), r.dial()
	for _, c := range []*harnessClient{idle, requesting} {
		c.send(post("/", ""))
		c.expect("/ ")
	}
	r.awaitParked(2)
	r.withPendingRequest(1, requesting, post("/late", "x"), func() { r.listener.closeAll() })
	r.listener.stop()
	requesting.expect("/late x")
	if _, _, err := idle.readResponse(); err == nil {
		t.Error("a parked connection without a request stays open during the drain")
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := r.srv.Shutdown(ctx); err != nil {
		t.Error(err)
	}
}

func TestOldestParkedConnectionIsEvictedFirst(t *testing.T) {
	r := startHarness(t, 9, 0, 0) // a limit of eight, and a reserve of one
	var all []*harnessClient
	for i := range 8 {
		c := r.dial()
		c.send(post(fmt.Sprintf("/%d", i), ""))
		c.expect(fmt.Sprintf("/%d ", i))
		all = append(all, c)
		r.awaitParked(i + 1)
	}
	fresh := r.dial()
	fresh.send(post("/fresh", ""))
	fresh.expect("/fresh ")
	if _, _, err := all[0].readResponse(); err == nil {
		t.Error("the longest idle connection was not evicted")
	}
	all[1].send(post("/still", ""))
	all[1].expect("/still ")
}
