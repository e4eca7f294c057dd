package gatherer

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"oxbowspan/internal/operatorconfig"
	"oxbowspan/internal/testing/standin"
)

// logLines is an io.Writer for log lines. Lines beyond its capacity are dropped.
type logLines chan string

func (l logLines) Write(b []byte) (int, error) {
	select {
	case l <- string(bytes.TrimSpace(b)):
	default:
	}
	return len(b), nil
}

// captureLog redirects the default logger until the test ends.
func captureLog(t *testing.T) logLines {
	lines, previous := make(logLines, 10_000), slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(lines, nil)))
	t.Cleanup(func() { slog.SetDefault(previous) })
	return lines
}

// slowClientHarness starts a harness with minimum rates and a grace of 300 ms.
func slowClientHarness(t *testing.T, connections operatorconfig.Connections) *listenerHarness {
	t.Helper()
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	connections.RateGrace = 300 * time.Millisecond
	return startHarnessOn(t, nl, listenerConfig{descriptors: 200, connections: connections}, 0)
}

// sendSlowly sends text with a pause after each byte, until all is sent or the connection ends. It returns the time
// until the connection has ended.
func sendSlowly(t *testing.T, c *harnessClient, text string, pause time.Duration) time.Duration {
	began := time.Now()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		io.Copy(io.Discard, c)
	}()
	tick := time.NewTicker(pause)
	defer tick.Stop()
	for _, b := range []byte(text) {
		if _, err := c.Write([]byte{b}); err != nil {
			break
		}
		select {
		case <-ended:
			return time.Since(began)
		case <-tick.C:
		}
	}
	c.Conn.(*net.TCPConn).CloseWrite()
	<-ended
	return time.Since(began)
}

// The connection of a request head sent below the minimum rate is closed well before the read timeout, with its own
// reason, whether it is new or was parked. Other clients are served meanwhile.
func TestSlowHeadIsClosed(t *testing.T) {
	lines := captureLog(t)
	r := slowClientHarness(t, operatorconfig.Connections{MinHeaderRate: 200})
	normal := r.dial()
	fresh, kept := r.dial(), r.dial()
	kept.send(post("/kept", ""))
	kept.expect("/kept ")
	r.awaitParked(1)
	long := "POST /slow HTTP/1.1\r\nHost: x\r\nX-Long: " + strings.Repeat("x", 300) + "\r\n"
	var wg sync.WaitGroup
	for _, c := range []*harnessClient{fresh, kept} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if took := sendSlowly(t, c, long, 20*time.Millisecond); took > readTimeout-200*time.Millisecond {
				t.Errorf("the connection was open for %s, want less than the read timeout", took)
			}
		}()
		normal.send(post("/usual", "x"))
		normal.expect("/usual x")
	}
	wg.Wait()
	for _, c := range []*harnessClient{fresh, kept} {
		lines.awaitLine(t, c.LocalAddr().String(), "reason="+string(endSlowHead))
	}
	normal.send(post("/usual", "y"))
	normal.expect("/usual y")
}

// In the built program the connection of a body sent below the minimum rate is closed with its own reason, and a
// request whose body is sent above the rate is answered.
func TestSlowBodyIsClosed(t *testing.T) {
	file := filepath.Join(t.TempDir(), "operator.ini")
	if err := os.WriteFile(file, []byte("[connections]\nbody_rate = 500\ngrace = 300ms\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	p := startProgram(t, startDiscovery(t, startShard(t, "s-a", nil)), nil, "--operator", file)
	client := func(pause time.Duration) *harnessClient {
		nc, err := net.Dial("tcp", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		c := &harnessClient{nc, t, bufio.NewReader(nc)}
		body := standin.Request{Shards: []int{0}, Statement: strings.Repeat("t", 100)}.Body()
		c.send(fmt.Sprintf("POST /lookup HTTP/1.1\r\nHost: x\r\nReq-Id: %x\r\nReq-Kind: lookup\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 1900\r\nContent-Length: %d\r\n\r\n",
			nc.LocalAddr().(*net.TCPAddr).Port, len(body)))
		tick := time.NewTicker(pause)
		defer tick.Stop()
		for _, b := range body {
			if _, err := c.Write([]byte{b}); err != nil {
				break
			}
			<-tick.C
		}
		return c
	}
	steady := client(time.Millisecond)
	if status, _, err := steady.readResponse(); status != http.StatusOK {
		t.Errorf("a body above the minimum rate: %d, %v", status, err)
	}
	slow := client(10 * time.Millisecond)
	p.awaitLogLine("event=client_conn_end", "client="+slow.LocalAddr().String(), "reason="+string(endSlowBody))
}

// awaitLine waits for a line with words about a client, and keeps the other lines for later calls.
func (l logLines) awaitLine(t *testing.T, client, words string) string {
	t.Helper()
	var seen []string
	end := time.After(testTimeout)
	for {
		select {
		case line := <-l:
			if strings.Contains(line, client) && strings.Contains(line, words) {
				for _, s := range seen {
					l <- s
				}
				return line
			}
			seen = append(seen, line)
		case <-end:
			t.Fatalf("timeout: no line of %s with %s in %v", client, words, seen)
		}
	}
}

// The minimum rate counts bytes, not packets: small packets at a sufficient byte rate are accepted.
func TestClientAboveMinRateIsServed(t *testing.T) {
	r := slowClientHarness(t, operatorconfig.Connections{MinHeaderRate: 200, MinResponseRate: 200})
	c := r.dial()
	text := post("/steady", strings.Repeat("b", 200))
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for rest := text; rest != ""; { // 400 bytes per second
		n := min(8, len(rest))
		c.send(rest[:n])
		rest = rest[n:]
		<-tick.C
	}
	c.expect("/steady " + strings.Repeat("b", 200))
	c.send(post("/at-once", "x"))
	c.expect("/at-once x")
}

// The connection of a client that does not read its answer is closed for falling below the minimum rate, long before
// the write timeout.
func TestSlowReaderIsClosed(t *testing.T) {
	lines := captureLog(t)
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := newListener(nl, listenerConfig{descriptors: 200, connections: operatorconfig.Connections{MinResponseRate: 50_000, RateGrace: 300 * time.Millisecond, SendBuffer: 8 << 10}})
	answer := bytes.Repeat([]byte("x"), 1<<20)
	srv := &http.Server{WriteTimeout: testTimeout, ConnState: l.connStateChanged, Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		w.Write(answer)
	})}
	go srv.Serve(l)
	t.Cleanup(func() { l.stop(); srv.Close() })
	ask := func() net.Conn {
		d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 8<<10) })
		}}
		c, err := d.Dial("tcp", nl.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		io.WriteString(c, post("/", ""))
		return c
	}
	began := time.Now()
	stuck, steady := ask(), ask()
	b := make([]byte, 16<<10)
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	got := 0
	for { // at most 1.6 MB/s
		n, err := steady.Read(b)
		got += n
		if err != nil || got >= len(answer) {
			break
		}
		<-tick.C
	}
	if got < len(answer) {
		t.Errorf("a client that reads got %d bytes", got)
	}
	lines.awaitLine(t, stuck.LocalAddr().String(), "reason="+string(endSlowAnswer))
	if took := time.Since(began); took > testTimeout/2 {
		t.Errorf("the slow client was closed after %s", took)
	}
}

// Connections that never send anything use no goroutines and are closed at the read timeout. Other clients are served
// meanwhile.
func TestSilentConnectionsUseNoGoroutine(t *testing.T) {
	lines := captureLog(t)
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const n = 600
	r := startHarnessOn(t, nl, listenerConfig{descriptors: 2 * n}, 0)
	normal := r.dial()
	normal.send(post("/0", ""))
	normal.expect("/0 ")
	began := time.Now()
	var fds []int
	defer func() {
		for _, fd := range fds {
			unix.Close(fd)
		}
	}()
	for i := range n {
		fd := rawDial(t, nl.Addr().String())
		fds = append(fds, fd)
		if i%100 == 0 {
			normal.send(post("/still", fmt.Sprint(i)))
			normal.expect(fmt.Sprintf("/still %d", i))
		}
	}
	r.until("silent connections parked", func() bool { return r.parked() >= n-minIdleConns || time.Since(began) > readTimeout })
	r.listener.mu.Lock()
	awake := r.listener.admission.Len() - r.listener.admission.ParkedCount()
	r.listener.mu.Unlock()
	if awake > minIdleConns/8+4 {
		t.Errorf("%d connections have a goroutine, %d are silent", awake, n)
	}
	// A silent connection that then sends a request is served.
	if _, err := unix.Write(fds[n-1], []byte(post("/late", "x"))); err != nil {
		t.Fatal(err)
	}
	answer := make([]byte, 1024)
	if k, err := unix.Read(fds[n-1], answer); err != nil || !strings.HasSuffix(string(answer[:max(k, 0)]), "/late x") {
		t.Errorf("a request on a silent connection got %q, %v", answer[:max(k, 0)], err)
	}
	lines.awaitLine(t, "requests=0", "reason="+string(endReadLimit))
	r.until("silent connections closed", func() bool {
		r.listener.mu.Lock()
		defer r.listener.mu.Unlock()
		return r.listener.admission.Len() <= 2
	})
	if took := time.Since(began); took < readTimeout-wheelTick || took > readTimeout+3*time.Second {
		t.Errorf("the silent connections were closed after %s, want the read timeout", took)
	}
	normal.send(post("/end", ""))
	normal.expect("/end ")
}

// dropIncomingPackets makes a peer unreachable: a socket filter drops every packet to it, so that nothing is
// acknowledged.
func dropIncomingPackets(t *testing.T, c net.Conn) {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	var set error
	err = raw.Control(func(fd uintptr) {
		set = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop[0]})
	})
	if err := errors.Join(err, set); err != nil {
		t.Skipf("this system does not allow a socket filter that drops all packets: %v", err)
	}
}

// A client that becomes unreachable while its connection is parked is detected by TCP keep-alive, long before an idle
// timeout of an hour.
func TestKeepAliveDetectsVanishedClient(t *testing.T) {
	lines := captureLog(t)
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := startHarnessOn(t, nl, listenerConfig{descriptors: 100, connections: operatorconfig.Connections{KeepAlive: time.Second}}, time.Hour)
	vanished, alive := r.dial(), r.dial()
	for _, c := range []*harnessClient{vanished, alive} {
		c.send(post("/", ""))
		c.expect("/ ")
	}
	r.awaitParked(2)
	dropIncomingPackets(t, vanished.Conn)
	lines.awaitLine(t, vanished.LocalAddr().String(), "reason="+string(endClientReset))
	alive.send(post("/still", "x"))
	alive.expect("/still x")
}
