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
	"net/netip"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"

	"oxbowspan/connadmission"
	"oxbowspan/internal/idleconn"
	"oxbowspan/internal/testing/standin"
)

// listenerHarness is a listener with net/http, as frontend.serve sets them up, and a handler that echoes requests.
type listenerHarness struct {
	t        testing.TB
	listener *listener
	srv      *http.Server
	addr     string
	gate     chan struct{} // requests for /wait are answered once it is closed
}

func startHarness(t testing.TB, descriptors, maxActive int, idle time.Duration) *listenerHarness {
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return startHarnessOn(t, nl, listenerConfig{descriptors: descriptors, maxActiveConns: maxActive}, idle)
}

func startHarnessOn(t testing.TB, nl net.Listener, config listenerConfig, idle time.Duration) *listenerHarness {
	r := &listenerHarness{t: t, listener: newListener(nl, config), addr: nl.Addr().String(), gate: make(chan struct{})}
	r.listener.admission.SetParkDelay(1)
	r.listener.enableParking(5000, idle)
	r.serve()
	return r
}

// startUnparkedHarness starts a listener that parks nothing.
func startUnparkedHarness(t testing.TB, nl net.Listener, config listenerConfig) *listenerHarness {
	r := &listenerHarness{t: t, listener: newListener(nl, config), addr: nl.Addr().String(), gate: make(chan struct{})}
	r.serve()
	return r
}

// last returns the connection of the last slot; nil = it is parked.
func (r *listenerHarness) last() *clientConn {
	r.listener.mu.Lock()
	defer r.listener.mu.Unlock()
	return r.listener.conns[len(r.listener.conns)-1].conn
}

func (r *listenerHarness) serve() {
	r.srv = &http.Server{ReadHeaderTimeout: readTimeout, ConnState: r.listener.connStateChanged, Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		b, _ := io.ReadAll(q.Body)
		if q.URL.Path == "/wait" {
			<-r.gate
		}
		fmt.Fprintf(w, "%s %s", q.URL, b)
	})}
	go r.srv.Serve(r.listener)
	go r.srv.Serve(r.listener.resumed)
	r.t.Cleanup(func() {
		r.listener.stop()
		r.srv.Close()
	})
}

func (r *listenerHarness) parked() (n int) {
	r.listener.mu.Lock()
	defer r.listener.mu.Unlock()
	for _, h := range r.listener.conns {
		if h.fd != 0 {
			n++
		}
	}
	return n
}

// until waits until a condition is true.
func (r *listenerHarness) until(what string, is func() bool) {
	r.t.Helper()
	for end := time.Now().Add(testTimeout); !is(); runtime.Gosched() {
		if time.Now().After(end) {
			r.t.Fatalf("timeout: not %s", what)
		}
	}
}

func (r *listenerHarness) awaitParked(n int) {
	r.t.Helper()
	r.until(fmt.Sprintf("%d connections parked", n), func() bool { return r.parked() == n })
}

type harnessClient struct {
	net.Conn
	t testing.TB
	r *bufio.Reader
}

func (r *listenerHarness) dial() *harnessClient {
	r.t.Helper()
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	return &harnessClient{c, r.t, bufio.NewReader(c)}
}

func (c *harnessClient) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

func (c *harnessClient) answer() (status int, body string, err error) {
	c.SetReadDeadline(time.Now().Add(testTimeout))
	res, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res.StatusCode, string(b), err
}

func (c *harnessClient) expect(body string) {
	c.t.Helper()
	if status, got, err := c.answer(); err != nil || status != 200 || got != body {
		c.t.Fatalf("got %d %q, %v, want %q", status, got, err, body)
	}
}

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

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
	// net/http has read three bytes of the next request and waits for more: the connection must not be parked.
	r.listener.mu.Lock()
	conn := r.listener.conns[0].conn
	r.listener.mu.Unlock()
	r.until("idle", func() bool { return conn != nil && conn.isMarkedIdle() })
	if conn.isIdle() || r.listener.admission.Len() != 1 {
		t.Error("a connection may be parked with part of a request read")
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
	closed, half, asking, reset := r.dial(), r.dial(), r.dial(), r.dial()
	for _, c := range []*harnessClient{closed, half, asking, reset} {
		c.send(post("/", ""))
		c.expect("/ ")
	}
	r.awaitParked(4)
	closed.Close()
	half.Conn.(*net.TCPConn).CloseWrite()
	reset.Conn.(*net.TCPConn).SetLinger(0)
	reset.Close()
	r.awaitParked(1)
	if _, _, err := half.answer(); !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("a half-closed connection got %v", err)
	}
	// A request before the half-close is answered.
	asking.send(post("/last", "x"))
	asking.Conn.(*net.TCPConn).CloseWrite()
	asking.expect("/last x")
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
	r.listener.parkedReadable(0, fd)      // nothing to read
	r.listener.parkedReadable(0, fd+1000) // of another socket
	r.listener.parkedReadable(77, fd)     // of no connection
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
	var both sync.WaitGroup
	var mu sync.Mutex
	got := map[int]int{}
	for _, c := range all {
		both.Add(1)
		go func() {
			defer both.Done()
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
	// Shed requests are answered while the others still wait.
	r.until("requests are shed", func() bool { mu.Lock(); defer mu.Unlock(); return got[http.StatusServiceUnavailable] == n-active })
	close(r.gate)
	both.Wait()
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

// hold locks the listener until a request is unread on a parked connection, and then calls a function under the lock.
func (r *listenerHarness) hold(place int, c *harnessClient, request string, done func()) {
	r.t.Helper()
	r.listener.mu.Lock()
	fd := int(r.listener.conns[place].fd)
	c.send(request)
	r.until("bytes waiting", func() bool { waiting, _ := idleconn.Peek(fd); return waiting })
	done()
	r.listener.mu.Unlock()
}

// The idle timeout and a request come at the same moment: the request is answered; a connection without one is closed.
func TestWakeupAtIdleTimeoutIsAnswered(t *testing.T) {
	r := startHarness(t, 200, 0, time.Hour)
	silent, asking := r.dial(), r.dial()
	for _, c := range []*harnessClient{silent, asking} {
		c.send(post("/", ""))
		c.expect("/ ")
	}
	r.awaitParked(2)
	r.hold(1, asking, post("/again", "x"), func() { r.listener.expireUntil(2 * int64(time.Hour/wheelTick)) })
	asking.expect("/again x")
	if _, _, err := silent.answer(); !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("a silent connection got %v, want its end", err)
	}
}

func TestIdleTimeoutFires(t *testing.T) {
	r := startHarness(t, 200, 0, 200*time.Millisecond)
	c := r.dial()
	c.send(post("/", ""))
	c.expect("/ ")
	if _, _, err := c.answer(); !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("a silent connection got %v, want its end", err)
	}
}

// A head that comes at one byte a second, the first of which resumes the connection, must meet the read timeout.
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
		t.Errorf("it was open for %s", took)
	}
	c.Close()
	<-over
	r.until("closed", func() bool {
		r.listener.mu.Lock()
		defer r.listener.mu.Unlock()
		return r.listener.admission.Len() == 0
	})
}

// In the built program a parked connection survives SIGHUP and is closed at its idle timeout.
func TestParkedConnectionSurvivesReload(t *testing.T) {
	file := filepath.Join(t.TempDir(), "operator.ini")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("[connections]\nidle = 2s\n")
	p := start(t, startList(t, startShard(t, "s-a", nil)), nil, "--operator", file)
	nc, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	c := &harnessClient{nc, t, bufio.NewReader(nc)}
	health := "GET /-/healthy HTTP/1.1\r\nHost: x\r\n\r\n"
	c.send(health)
	c.expect("ok\n")
	for answered := time.Now(); time.Since(answered) < 2*linger; { // it is parked meanwhile
		p.cmd.Process.Signal(syscall.SIGHUP)
		p.line("event=reload ", "needs_restart=none")
	}
	write("[connections]\npark = no\n")
	p.cmd.Process.Signal(syscall.SIGHUP)
	p.line("event=reload ", "needs_restart=connections")
	c.send(health)
	c.expect("ok\n")
	p.line("event=client_conn_end", "client="+nc.LocalAddr().String(), "reason=idle_limit", "requests=2")
}

// noDescriptors lets this process open no more descriptors until give is called.
func noDescriptors(t *testing.T) (give func()) {
	t.Helper()
	var was unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &was); err != nil {
		t.Fatal(err)
	}
	// The limit is on the number of a new descriptor, not on their count, so the lowest free one is the limit.
	free, err := unix.FcntlInt(0, unix.F_DUPFD_CLOEXEC, 3)
	if err != nil {
		t.Fatal(err)
	}
	unix.Close(free)
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: uint64(free), Max: was.Max}); err != nil {
		t.Fatal(err)
	}
	return func() {
		if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &was); err != nil {
			t.Fatal(err)
		}
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
		s := standin.Request{ID: id, QueryType: "lookup", Customer: "acme", Timeout: 1500 * time.Millisecond, Shards: []int{1}, Statement: "c41e77d0"}
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

func TestDrainClosesIdleAndAnswersPending(t *testing.T) {
	r := startHarness(t, 200, 0, 0)
	quiet, asking := r.dial(), r.dial()
	for _, c := range []*harnessClient{quiet, asking} {
		c.send(post("/", ""))
		c.expect("/ ")
	}
	r.awaitParked(2)
	r.hold(1, asking, post("/late", "x"), func() { r.listener.closeAll() })
	r.listener.stop()
	asking.expect("/late x")
	if _, _, err := quiet.answer(); err == nil {
		t.Error("a parked connection survives the drain")
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := r.srv.Shutdown(ctx); err != nil {
		t.Error(err)
	}
}

func TestOldestParkedConnectionIsEvictedFirst(t *testing.T) {
	r := startHarness(t, 9, 0, 0) // eight, and one in reserve
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
	if _, _, err := all[0].answer(); err == nil {
		t.Error("the connection that is idle longest was not evicted")
	}
	all[1].send(post("/still", ""))
	all[1].expect("/still ")
}

// rawDial connects a socket and uses no other descriptor.
func rawDial(t testing.TB, addr string) int {
	t.Helper()
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		t.Fatal(err)
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err == nil {
		err = unix.Connect(fd, &unix.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()})
	}
	if err != nil {
		t.Fatal(err)
	}
	return fd
}

// rawClients connects clients without the Go runtime on their side, so that only the listener's memory grows.
func rawClients(t testing.TB, r *listenerHarness, n int) (fds []int) {
	request, answer := []byte(post("/", "")), make([]byte, 1024)
	for i := range n {
		fd := rawDial(t, r.addr)
		fds = append(fds, fd)
		if _, err := unix.Write(fd, request); err != nil {
			t.Fatal(err)
		}
		if k, err := unix.Read(fd, answer); err != nil || !strings.HasPrefix(string(answer[:max(k, 0)]), "HTTP/1.1 200") {
			t.Fatalf("client %d got %q, %v", i, answer[:max(k, 0)], err)
		}
	}
	return fds
}

func memoryHeld() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// The memory of a parked connection must not grow by more than a half over the measured 88 bytes without a goroutine
// (docs/measured/idle-connections.md).
func TestParkedConnectionMemory(t *testing.T) {
	const n, most = 1500, 140
	r := startHarness(t, 4*n, 0, 0)
	for _, fd := range rawClients(t, r, 20) { // warm up
		unix.Close(fd)
	}
	r.until("first clients closed", func() bool {
		r.listener.mu.Lock()
		defer r.listener.mu.Unlock()
		return r.listener.admission.Len() == 0
	})
	before, goroutines := memoryHeld(), runtime.NumGoroutine()
	fds := rawClients(t, r, n)
	defer func() {
		for _, fd := range fds {
			unix.Close(fd)
		}
	}()
	r.awaitParked(n)
	// What net/http pooled is collected.
	r.until("goroutines ended", func() bool { return runtime.NumGoroutine() <= goroutines+2 })
	cost := float64(int64(memoryHeld())-int64(before)) / n
	own := float64(cap(r.listener.conns)*int(unsafe.Sizeof(connSlot{}))+connadmission.MemoryBytes(r.listener.admission)) / n
	t.Logf("%.0f bytes a connection by the runtime's figures, %.0f of them in the tables", cost, own)
	if own > most {
		t.Errorf("the tables use %.0f bytes a connection, %d are allowed", own, most)
	}
	if cost > 4*most {
		t.Errorf("the runtime uses %.0f bytes a connection more than before", cost)
	}
}

// One operation is a request on a parked connection, which is parked again after it.
//
//	go test -run xxx -bench Wakeup -benchmem ./gatherer
func BenchmarkWakeup(b *testing.B) {
	for _, way := range []string{"parked", "kept"} {
		b.Run(way, func(b *testing.B) {
			r := startHarness(b, 100, 0, 0)
			if way == "kept" {
				r.listener.admission.SetParkDelay(3600_000)
			}
			c := r.dial()
			b.ReportAllocs()
			for b.Loop() {
				c.send(post("/", ""))
				c.expect("/ ")
				if way == "parked" {
					r.awaitParked(1)
				}
			}
		})
	}
}
