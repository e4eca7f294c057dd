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

// memoryHarness starts a listener with a memory budget of its own.
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

// If all connections have a request and memory suffices for few, the others are shed at once, and the limit is kept.
func TestWakeupsStayWithinMemoryLimit(t *testing.T) {
	const n, room = 60, 10
	f := memorybudget.Options{MaxTotal: room*activeConnMemory + n*idleConnMemory}
	r, budget := memoryHarness(t, f, true)
	var all []*harnessClient
	for range n {
		c := r.dial()
		c.send(post("/", ""))
		c.expect("/ ")
		if all = append(all, c); len(all)%(room/2) == 0 {
			r.awaitParked(len(all)) // those being parked use memory as well
		}
	}
	r.awaitParked(n)
	if s := budget.Snapshot(); s.Used[memorybudget.ActiveConns] != 0 ||
		s.Used[memorybudget.ParkedConns] != n*idleConnMemory {
		t.Errorf("memory with all parked: %+v", s)
	}
	var mu sync.Mutex
	got := map[int]int{}
	var both sync.WaitGroup
	for _, c := range all {
		both.Add(1)
		go func() {
			defer both.Done()
			io.WriteString(c, post("/wait", "x"))
			status, _, err := c.answer()
			if err != nil {
				t.Errorf("a request got no response: %v", err)
			}
			mu.Lock()
			got[status]++
			mu.Unlock()
		}()
	}
	r.until("requests are shed", func() bool { mu.Lock(); defer mu.Unlock(); return got[503] >= n-room-1 })
	if s := budget.Snapshot(); s.Peak > f.MaxTotal || s.MaxOvercommit > 0 || s.Rejections[memorybudget.ActiveConns] == 0 {
		t.Errorf("memory during the requests: %+v", s)
	}
	close(r.gate)
	both.Wait()
	if got[200]+got[503] != n || got[200] < room-1 {
		t.Errorf("responses by status: %v", got)
	}
	for _, c := range all {
		c.Close()
	}
	r.until("memory released", func() bool { return budget.Snapshot().Total == 0 })
}

// Without parking, connections above the memory limit are shed, and idle ones are closed under pressure.
func TestKeepAliveConnectionsStayWithinMemoryLimit(t *testing.T) {
	const room = 10
	r, budget := memoryHarness(t, memorybudget.Options{MaxTotal: room * activeConnMemory}, false)
	var closing, overLimit int
	for range room + 3 {
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
		if c := r.last(); c != nil && r.listener.shouldClose(c) {
			closing++
		}
	}
	if closing == 0 || overLimit == 0 {
		t.Errorf("%d would be closed, %d are above the memory limit; %+v", closing, overLimit, budget.Snapshot())
	}
}
