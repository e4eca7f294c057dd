package controlplane

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"oxbowspan/config"
	"oxbowspan/internal/network"
	"oxbowspan/internal/settings"
)

// countingNetwork is loopback, and counts what is written to connections.
type countingNetwork struct {
	network.TCP
	bytes atomic.Int64
}

type countingListener struct {
	net.Listener
	network *countingNetwork
}

type countingConn struct {
	net.Conn
	network *countingNetwork
}

func (n *countingNetwork) Listen(address string) (net.Listener, error) {
	l, err := n.TCP.Listen(address)
	return &countingListener{l, n}, err
}

func (n *countingNetwork) Dial(address string, limit time.Duration) (net.Conn, error) {
	c, err := n.TCP.Dial(address, limit)
	if err != nil {
		return nil, err
	}
	return &countingConn{c, n}, nil
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{c, l.network}, nil
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.network.bytes.Add(int64(n))
	return n, err
}

// benchCluster is three control machines on loopback, for measurements.
type benchCluster struct {
	network     *countingNetwork
	dir         string
	controllers []*Controller
	handlers    []http.Handler
	version     uint64
}

func startBenchCluster(b *testing.B) *benchCluster {
	dir, err := os.MkdirTemp("/dev/shm", "core") // in memory: the disk's own time is another measurement
	if err != nil {
		dir = b.TempDir()
	}
	c := &benchCluster{network: &countingNetwork{}, dir: dir}
	ctx, stop := context.WithCancel(context.Background())
	var seeds []string
	first := 1 + os.Getpid()%200
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("127.%d.7.%d:8700", first, i+1))
	}
	ended := make(chan struct{}, 3)
	for i, control := range seeds {
		ip, _, _ := net.SplitHostPort(control)
		set := &settings.Settings{IPAddress: ip, InternalPorts: []int{7100, 7109}, SeedAddresses: seeds, FirstStart: true,
			DataDirectory: filepath.Join(dir, fmt.Sprint(i)), HeartbeatIntervalMS: 1000}
		set.ToleratedLosses.Machines = 1
		set.Listen.Control = control
		h, err := New(set, c.network, zerolog.Nop())
		if err != nil {
			b.Fatal(err)
		}
		go func() { h.Run(ctx); ended <- struct{}{} }()
		c.controllers, c.handlers = append(c.controllers, h), append(c.handlers, h.handler())
	}
	b.Cleanup(func() {
		stop()
		for range 3 {
			<-ended
		}
		os.RemoveAll(dir)
	})
	return c
}

// change has one more version agreed, and waits until all machines know of it.
func (c *benchCluster) change(b *testing.B, body func(version uint64) []byte) {
	text := body(c.version + 1)
	for range 100 {
		w, r := httptest.NewRecorder(), httptest.NewRequest("POST", "/-/configuration/replace", bytes.NewReader(text))
		r.Header.Set(basedOnHeader, strconv.FormatUint(c.version, 10))
		c.handlers[0].ServeHTTP(w, r)
		if w.Code == http.StatusOK {
			c.version++
			c.await()
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	b.Fatalf("version %d is not agreed", c.version+1)
}

func (c *benchCluster) await() {
	for _, h := range c.controllers {
		for range 1000 {
			if _, at := h.Committed(); uint64(at) >= c.version {
				break
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// read has one machine make sure of the newest version.
func (c *benchCluster) read(b *testing.B) {
	w := httptest.NewRecorder()
	c.handlers[1].ServeHTTP(w, httptest.NewRequest("GET", "/-/configuration/read", nil))
	if w.Code != http.StatusOK {
		b.Fatalf("a read is answered %d", w.Code)
	}
}

// configurationWithRoutes makes configurations with so many routes.
func configurationWithRoutes(n int) func(version uint64) []byte {
	c := config.Configuration{Limits: config.Limits{HeaderBytes: 16384, BodyBytes: 1 << 18, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
		Services: []config.Service{{Name: "one", HealthPath: "/health", ConnectionLimit: 60, Protocol: "h1"}}}
	for i := range n {
		c.Routes = append(c.Routes, config.Route{Name: fmt.Sprint("r", i), Hostname: "h.example", PathPrefix: fmt.Sprintf("/one-%d/", i),
			RouteKind: config.Retryable, TimeoutMS: 3000, TargetMS: 300, Service: "one", Attempts: 2})
	}
	text, _ := json.Marshal(c)
	return func(version uint64) []byte {
		return bytes.Replace(text, []byte(`"version":0`), []byte(`"version":`+strconv.FormatUint(version, 10)), 1)
	}
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// bytesWritten is what this process has written, to files and connections.
func bytesWritten() (n int64) {
	text, _ := os.ReadFile("/proc/self/io")
	for _, line := range strings.Split(string(text), "\n") {
		if rest, found := strings.CutPrefix(line, "wchar: "); found {
			n, _ = strconv.ParseInt(rest, 10, 64)
		}
	}
	return n
}

func (c *benchCluster) measure(b *testing.B, act func()) {
	wire, all, busy := c.network.bytes.Load(), bytesWritten(), cpuTime()
	b.ResetTimer()
	for range b.N {
		act()
	}
	b.StopTimer()
	n := float64(b.N)
	wire, all, busy = c.network.bytes.Load()-wire, bytesWritten()-all, cpuTime()-busy
	b.ReportMetric(float64(wire)/n, "wire-B/op")
	b.ReportMetric(float64(all-wire)/n, "disk-B/op")
	b.ReportMetric(float64(busy)/n/1e6, "cpu-ms/op")
	info, err := os.Stat(filepath.Join(c.dir, "0", "hive.db"))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(info.Size())/1024, "file-KiB")
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	b.ReportMetric(float64(m.HeapAlloc)/1024, "heap-KiB")
}

// BenchmarkChange tells what a change costs three control machines together, after so many before it and with so many routes.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{10, 1000, 10000} {
		for _, versions := range []uint64{1, 100, 1000, 10000} {
			if n > 10 && versions > 100 {
				continue
			}
			b.Run(fmt.Sprintf("routes=%d/versions=%d", n, versions), func(b *testing.B) {
				c := startBenchCluster(b)
				for c.version < versions {
					c.change(b, configurationWithRoutes(10))
				}
				body := configurationWithRoutes(n)
				c.change(b, body)
				c.measure(b, func() { c.change(b, body) })
			})
		}
	}
}

// BenchmarkRead tells what making sure of the newest version costs.
func BenchmarkRead(b *testing.B) {
	for _, n := range []int{10, 1000, 10000} {
		b.Run(fmt.Sprintf("routes=%d", n), func(b *testing.B) {
			c := startBenchCluster(b)
			body := configurationWithRoutes(n)
			for c.version < 200 {
				c.change(b, configurationWithRoutes(10))
			}
			c.change(b, body)
			c.measure(b, func() { c.read(b) })
		})
	}
}
