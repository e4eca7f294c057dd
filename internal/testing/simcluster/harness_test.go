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

// seedMultiplier lengthens the seeded runs beyond what CI has time for.
var seedMultiplier = flag.Int("more", 1, "multiplies the number of seeded runs")

var verbose = flag.Bool("loud", false, "write the logs of the programs, with the simulated time")

// openCallsEnd is how long after the end of a cluster calls may still be open.
const openCallsEnd = 5 * time.Second

// serversPerService is how many servers each service of the example has in runCluster.
const serversPerService = 3

// exampleServiceTime is how long these servers work on each request.
const exampleServiceTime = 10 * time.Millisecond

// clusterTest is the part of a test that runs against a started cluster, inside a synctest bubble.
type clusterTest func(t *testing.T, cluster *Cluster)

// runCluster runs a test against controllers, gateways and three servers of each service of the example. It runs in a
// synctest bubble, where time passes only while everything waits.
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

// runControllers runs a test against controllers alone, without gateways and servers.
func runControllers(t *testing.T, seed uint64, controllers int, test clusterTest) {
	t.Helper()
	runBubble(t, seed, controllers, 0, func(t *testing.T, cluster *Cluster) {
		requireNoError(t, cluster.Start())
		test(t, cluster)
	})
}

// runBubble runs a test in a synctest bubble against a cluster that is not started yet, and stops the cluster afterwards.
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

// simulatedTimeLog returns a log whose lines bear the time of the bubble.
func simulatedTimeLog() zerolog.Logger {
	addTime := func(e *zerolog.Event, _ zerolog.Level, _ string) { e.Time("time", time.Now()) }
	return zerolog.New(os.Stderr).Hook(zerolog.HookFunc(addTime))
}

// memoryDir returns a directory that lies in memory where the machine offers that: each accepted proposal waits for a disk.
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

// requireStatus ends the test unless a call was answered with the wanted status. The format names the call.
func requireStatus(t *testing.T, got, want int, format string, args ...any) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: status %d, want %d", fmt.Sprintf(format, args...), got, want)
	}
}

// expectStatus fails the test unless a call was answered with the wanted status, and lets it go on.
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

// tally counts the requests of a load and how many of them were served. It may be used concurrently.
type tally struct {
	sent, served atomic.Int64
}

// record counts a request that was sent, and as served if its status is OK.
func (c *tally) record(served bool) {
	c.sent.Add(1)
	if served {
		c.served.Add(1)
	}
}

func (c *tally) String() string { return fmt.Sprintf("%d of %d", c.served.Load(), c.sent.Load()) }

// expectServed fails the test unless at least so many percent of the requests were served.
func (c *tally) expectServed(t *testing.T, percent int64, what string) {
	t.Helper()
	if 100*c.served.Load() < percent*c.sent.Load() {
		t.Errorf("%v %s are served, want at least %d %%", c, what, percent)
	}
}
