//go:build linux

package gatherer

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"

	"oxbowspan/connadmission"
	"oxbowspan/memorybudget"
)

// rawDial connects a socket without using any other descriptor.
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

// dialRawClients connects n clients that have sent one request each. They use system calls only, so that no memory of
// the Go runtime but the listener's grows.
func dialRawClients(t testing.TB, r *listenerHarness, n int) (fds []int) {
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

// memoryInUse returns the bytes of heap and stacks in use after garbage collection.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// A parked connection has no goroutine and takes 88 bytes (docs/measured/idle-connections.md). That must not grow by
// more than about a half.
func TestParkedConnectionMemory(t *testing.T) {
	const n, maxBytes = 1500, 140
	r := startHarness(t, 4*n, 0, 0)
	for _, fd := range dialRawClients(t, r, 20) { // warm up
		unix.Close(fd)
	}
	r.until("first clients closed", func() bool {
		r.listener.mu.Lock()
		defer r.listener.mu.Unlock()
		return r.listener.admission.Len() == 0
	})
	before, goroutines := memoryInUse(), runtime.NumGoroutine()
	fds := dialRawClients(t, r, n)
	defer func() {
		for _, fd := range fds {
			unix.Close(fd)
		}
	}()
	r.awaitParked(n)
	// Once the goroutines have ended, garbage collection frees what net/http had pooled for them.
	r.until("goroutines ended", func() bool { return runtime.NumGoroutine() <= goroutines+2 })
	cost := float64(int64(memoryInUse())-int64(before)) / n
	tableBytes := float64(cap(r.listener.conns)*int(unsafe.Sizeof(connSlot{}))+connadmission.MemoryBytes(r.listener.admission)) / n
	t.Logf("%.0f bytes per connection according to the runtime, %.0f of them in the tables", cost, tableBytes)
	if tableBytes > maxBytes {
		t.Errorf("the tables use %.0f bytes per connection, want at most %d", tableBytes, maxBytes)
	}
	if cost > 4*maxBytes {
		t.Errorf("the runtime uses %.0f more bytes per connection than before", cost)
	}
}

// BenchmarkWakeup measures a request on an idle connection. In mode parked the connection is parked again after each
// request; in mode kept it keeps its goroutine.
//
//	go test -run xxx -bench Wakeup -benchmem ./gatherer
func BenchmarkWakeup(b *testing.B) {
	for _, mode := range []string{"parked", "kept"} {
		b.Run(mode, func(b *testing.B) {
			r := startHarness(b, 100, 0, 0)
			if mode == "kept" {
				r.listener.admission.SetParkDelay(3600_000)
			}
			c := r.dial()
			b.ReportAllocs()
			for b.Loop() {
				c.send(post("/", ""))
				c.expect("/ ")
				if mode == "parked" {
					r.awaitParked(1)
				}
			}
		})
	}
}

// memoryHarness starts a listener with its own memory budget, with or without parking.
func memoryHarness(t *testing.T, options memorybudget.Options, park bool) (*listenerHarness, *memorybudget.Budget) {
	t.Helper()
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	budget := memorybudget.New(options, nil)
	config := listenerConfig{descriptors: 400, memory: budget}
	if park {
		return startHarnessOn(t, nl, config, 0), budget
	}
	return startUnparkedHarness(t, nl, config), budget
}

// If all parked connections send a request at once but memory suffices for only a few, the other requests are shed at
// once and memory stays within its limit.
func TestWakeupsStayWithinMemoryLimit(t *testing.T) {
	const n, maxActive = 60, 10
	f := memorybudget.Options{MaxTotal: maxActive*activeConnMemory + n*idleConnMemory}
	r, budget := memoryHarness(t, f, true)
	var all []*harnessClient
	for range n {
		c := r.dial()
		c.send(post("/", ""))
		c.expect("/ ")
		if all = append(all, c); len(all)%(maxActive/2) == 0 {
			r.awaitParked(len(all)) // connections that are not parked yet use memory of active ones
		}
	}
	r.awaitParked(n)
	if s := budget.Snapshot(); s.Used[memorybudget.ActiveConns] != 0 ||
		s.Used[memorybudget.ParkedConns] != n*idleConnMemory {
		t.Errorf("memory with all connections parked: %+v", s)
	}
	var mu sync.Mutex
	got := map[int]int{}
	var wg sync.WaitGroup
	for _, c := range all {
		wg.Add(1)
		go func() {
			defer wg.Done()
			io.WriteString(c, post("/wait", "x"))
			status, _, err := c.readResponse()
			if err != nil {
				t.Errorf("a request got no response: %v", err)
			}
			mu.Lock()
			got[status]++
			mu.Unlock()
		}()
	}
	r.until("requests are shed", func() bool { mu.Lock(); defer mu.Unlock(); return got[503] >= n-maxActive-1 })
	if s := budget.Snapshot(); s.Peak > f.MaxTotal || s.MaxOvercommit > 0 || s.Rejections[memorybudget.ActiveConns] == 0 {
		t.Errorf("memory during the requests: %+v", s)
	}
	close(r.gate)
	wg.Wait()
	if got[200]+got[503] != n || got[200] < maxActive-1 {
		t.Errorf("responses by status: %v", got)
	}
	for _, c := range all {
		c.Close()
	}
	r.until("memory released", func() bool { return budget.Snapshot().Total == 0 })
}

// Without parking, the requests of connections above the memory limit are shed, and idle connections are closed under
// memory pressure.
func TestKeepAliveConnectionsStayWithinMemoryLimit(t *testing.T) {
	const maxActive = 10
	r, budget := memoryHarness(t, memorybudget.Options{MaxTotal: maxActive * activeConnMemory}, false)
	var closing, overLimit int
	for range maxActive + 3 {
		c := r.dial()
		c.send(post("/", ""))
		c.SetReadDeadline(time.Now().Add(testTimeout))
		res, err := http.ReadResponse(c.r, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, res.Body)
		r.listener.mu.Lock()
		for _, h := range r.listener.conns {
			if h.conn != nil && h.conn.overLimit {
				overLimit++
			}
		}
		r.listener.mu.Unlock()
		if c := r.lastConn(); c != nil && r.listener.shouldClose(c) {
			closing++
		}
	}
	if closing == 0 || overLimit == 0 {
		t.Errorf("%d connections would be closed and %d are above the memory limit, want some of each; %+v", closing, overLimit, budget.Snapshot())
	}
}
