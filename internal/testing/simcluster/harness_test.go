package simcluster

import (
	"flag"
	"fmt"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
)

// seedMultiplier multiplies the number of seeds, for runs longer than in CI.
var seedMultiplier = flag.Int("more", 1, "multiplies the number of seeded runs")

var verbose = flag.Bool("loud", false, "write the logs of the programs, with the simulated time")

// openCallsEnd is the longest time that calls may stay open after a cluster was stopped.
const openCallsEnd = 5 * time.Second

// serversPerService is the number of servers that runCluster starts for each service of the example.
const serversPerService = 3

// exampleServiceTime is the service time of these servers.
const exampleServiceTime = 10 * time.Millisecond

// clusterTest is the body of a test that runs against a cluster, inside a synctest bubble.
type clusterTest func(t *testing.T, cluster *Cluster)

// runCluster runs a test against started controllers, gateways and serversPerService servers of each service of the example. It
// runs in a synctest bubble, where time advances only while all goroutines are blocked.
func runCluster(t *testing.T, seed uint64, controllers, gateways int, test clusterTest) {
	t.Helper()
	runBubble(t, seed, controllers, gateways, func(t *testing.T, cluster *Cluster) {
		for _, service := range ExampleServices {
			for range serversPerService {
				cluster.AddServer(service, exampleServiceTime)
			}
		}
		requireNoError(t, cluster.Start())
		for _, server := range cluster.Servers {
			requireNoError(t, server.Start())
		}
		test(t, cluster)
	})
}

// runControllers runs a test against started controllers, without gateways and servers.
func runControllers(t *testing.T, seed uint64, controllers int, test clusterTest) {
	t.Helper()
	runBubble(t, seed, controllers, 0, func(t *testing.T, cluster *Cluster) {
		requireNoError(t, cluster.Start())
		test(t, cluster)
	})
}

// runBubble runs a test in a synctest bubble against a cluster that has not been started, and stops the cluster afterwards.
func runBubble(t *testing.T, seed uint64, controllers, gateways int, test clusterTest) {
	t.Helper()
	dir := memoryDir(t)
	synctest.Test(t, func(t *testing.T) {
		cluster := New(dir, seed, controllers, gateways)
		if *verbose {
			cluster.Log = simulatedTimeLog()
		}
		defer func() {
			cluster.Network.Heal()
			cluster.Stop()
			time.Sleep(openCallsEnd)
		}()
		test(t, cluster)
	})
}

// simulatedTimeLog returns a log whose lines have the simulated time of the bubble.
func simulatedTimeLog() zerolog.Logger {
	addTime := func(e *zerolog.Event, _ zerolog.Level, _ string) { e.Time("time", time.Now()) }
	return zerolog.New(os.Stderr).Hook(zerolog.HookFunc(addTime))
}

// memoryDir returns a temporary directory, in memory if /dev/shm is available, as each accepted proposal waits for a disk sync.
func memoryDir(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("/dev/shm", "simcluster")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return dir
}

func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// requireStatus ends the test unless the status of a call is the wanted one. The format describes the call.
func requireStatus(t *testing.T, got, want int, format string, args ...any) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: status %d, want %d", fmt.Sprintf(format, args...), got, want)
	}
}

// expectStatus fails the test unless the status of a call is the wanted one, and lets the test continue.
func expectStatus(t *testing.T, got, want int, format string, args ...any) {
	t.Helper()
	if got != want {
		t.Errorf("%s: status %d, want %d", fmt.Sprintf(format, args...), got, want)
	}
}

// eventually polls a condition until it holds or a time has passed. It reports whether the condition held.
func eventually(within, interval time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(within); ; time.Sleep(interval) {
		if condition() {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
	}
}

// requestCounter counts the requests of a load and how many of them were served. It is safe for concurrent use.
type requestCounter struct {
	sent, served atomic.Int64
}

// record counts a request, and counts it as served if served is true.
func (c *requestCounter) record(served bool) {
	c.sent.Add(1)
	if served {
		c.served.Add(1)
	}
}

func (c *requestCounter) String() string {
	return fmt.Sprintf("%d of %d", c.served.Load(), c.sent.Load())
}

// expectServed fails the test unless at least a percentage of the requests were served.
func (c *requestCounter) expectServed(t *testing.T, percent int64, what string) {
	t.Helper()
	if 100*c.served.Load() < percent*c.sent.Load() {
		t.Errorf("%v %s are served, want at least %d %%", c, what, percent)
	}
}
