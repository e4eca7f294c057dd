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

// countingNetwork is the operating system's network. It counts the bytes written to connections.
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

// benchCluster consists of three controllers on the loopback network.
type benchCluster struct {
	network     *countingNetwork
	dir         string
	controllers []*Controller
	handlers    []http.Handler
	version     uint64
}

// startBenchCluster starts the controllers. They are stopped when the benchmark ends.
func startBenchCluster(b *testing.B) *benchCluster {
	dir, err := os.MkdirTemp("/dev/shm", "controlplane") // in memory, so that the results don't depend on the disk's latency
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
		s := &settings.Settings{IPAddress: ip, InternalPorts: []int{7100, 7109}, SeedAddresses: seeds, FirstStart: true,
			DataDirectory: filepath.Join(dir, fmt.Sprint(i)), HeartbeatIntervalMS: 1000}
		s.ToleratedLosses.Machines = 1
		s.Listen.Control = control
		controller, err := New(b.Context(), s, c.network, zerolog.Nop())
		if err != nil {
			b.Fatal(err)
		}
		go func() { controller.Run(ctx); ended <- struct{}{} }()
		c.controllers, c.handlers = append(c.controllers, controller), append(c.handlers, controller.handler())
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

// change replaces the configuration by a new version, and waits until all controllers know it.
func (c *benchCluster) change(b *testing.B, body func(version uint64) []byte) {
	text := body(c.version + 1)
	for range 100 {
		w, r := httptest.NewRecorder(), httptest.NewRequest("POST", "/-/configuration/replace", bytes.NewReader(text))
		r.Header.Set(basedOnHeader, strconv.FormatUint(c.version, 10))
		c.handlers[0].ServeHTTP(w, r)
		if w.Code == http.StatusOK {
			c.version++
			c.awaitVersion()
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	b.Fatalf("version %d was not decided", c.version+1)
}

// awaitVersion waits until all controllers know the newest version, for about a second per controller at most.
func (c *benchCluster) awaitVersion() {
	for _, controller := range c.controllers {
		for range 1000 {
			if _, version := controller.Committed(); uint64(version) >= c.version {
				break
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// read reads the newest version from one controller.
func (c *benchCluster) read(b *testing.B) {
	w := httptest.NewRecorder()
	c.handlers[1].ServeHTTP(w, httptest.NewRequest("GET", "/-/configuration/read", nil))
	if w.Code != http.StatusOK {
		b.Fatalf("read: status %d", w.Code)
	}
}

// configurationWithRoutes returns a function that returns the configuration with n routes for a version.
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

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// bytesWritten returns the number of bytes that this process has written to files and connections.
func bytesWritten() (n int64) {
	text, _ := os.ReadFile("/proc/self/io")
	for _, line := range strings.Split(string(text), "\n") {
		if rest, found := strings.CutPrefix(line, "wchar: "); found {
			n, _ = strconv.ParseInt(rest, 10, 64)
		}
	}
	return n
}

// measure runs an action b.N times and reports the bytes sent, the bytes written to disk and the processor time per run. It also
// reports the size of one controller's state file and of the heap afterwards.
func (c *benchCluster) measure(b *testing.B, action func()) {
	sent, written, cpu := c.network.bytes.Load(), bytesWritten(), cpuTime()
	b.ResetTimer()
	for range b.N {
		action()
	}
	b.StopTimer()
	n := float64(b.N)
	sent, written, cpu = c.network.bytes.Load()-sent, bytesWritten()-written, cpuTime()-cpu
	b.ReportMetric(float64(sent)/n, "wire-B/op")
	b.ReportMetric(float64(written-sent)/n, "disk-B/op")
	b.ReportMetric(float64(cpu)/n/1e6, "cpu-ms/op")
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

// BenchmarkChange measures the total cost of a change for three controllers, by the number of routes and of earlier versions.
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

// BenchmarkRead measures a linearizable read of the configuration, by its number of routes.
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
