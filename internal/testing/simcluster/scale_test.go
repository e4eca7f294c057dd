package simcluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestConfigurationReachesNinetyGateways runs ninety gateways and five controllers. Configurations must reach all gateways, also
// after all controllers were killed at the same time, when the gateways must not overload the first one that restarts.
func TestConfigurationReachesNinetyGateways(t *testing.T) {
	runCluster(t, 30, 5, 90, func(t *testing.T, cluster *Cluster) {
		commitFirstVersion(t, cluster)
		time.Sleep(4 * time.Second)
		for version := uint64(2); version < 6; version++ {
			status := replaceWithRetry(cluster, version-1, ExampleConfiguration(version, ExampleSharding), 5)
			requireStatus(t, status, http.StatusOK, "version %d", version)
			start := time.Now()
			awaitAllApply(t, cluster, version, configurationApplyMax)
			t.Logf("all gateways apply version %d after %v", version, time.Since(start))
			if version == 3 {
				killAll(false, cluster.Controllers...)
				startAll(t, cluster.Controllers...)
				time.Sleep(2 * time.Second)
			}
		}
	})
}

// awaitAllApply waits until all gateways apply a version. It polls more often than awaitVersion so that the time that this takes
// can be measured.
func awaitAllApply(t *testing.T, cluster *Cluster, version uint64, within time.Duration) {
	t.Helper()
	applied := 0
	allApply := func() bool {
		applied = 0
		for _, gateway := range cluster.Gateways {
			if gateway.Gateway.ActiveVersion() >= version {
				applied++
			}
		}
		return applied == len(cluster.Gateways)
	}
	if !eventually(within, time.Millisecond, allApply) {
		t.Fatalf("%d of %d gateways apply version %d after %v", applied, len(cluster.Gateways), version, within)
	}
}

const (
	herdServers     = 12
	herdServiceTime = 60 * time.Millisecond
	herdRate        = 400 // requests per second
	herdWindow      = 250 * time.Millisecond
)

// herdTest is one run of TestNoThunderingHerdOnFreeServer.
type herdTest struct {
	cluster  *Cluster
	requests requestCounter

	mu       sync.Mutex
	arrivals map[*Server][]time.Time
}

// TestNoThunderingHerdOnFreeServer runs ninety gateways that each receive few requests, and twelve servers with a utilisation of
// two thirds. Neither an added server nor one that restarts after a power loss, both of which are idle, may receive the requests
// of all gateways at the same time.
func TestNoThunderingHerdOnFreeServer(t *testing.T) {
	runCluster(t, 33, 3, 90, func(t *testing.T, cluster *Cluster) {
		test := &herdTest{cluster: cluster, arrivals: map[*Server][]time.Time{}}
		for _, server := range serversOf(cluster, singleService) {
			server.Crash(false)
		}
		var servers []*Server
		for range herdServers {
			servers = append(servers, test.addServer(t))
		}
		commitFirstVersion(t, cluster)
		time.Sleep(5 * time.Second)
		stopLoad := test.startLoad()
		time.Sleep(6 * time.Second)

		start := time.Now()
		added := test.addServer(t)
		time.Sleep(6 * time.Second)
		addedPeak := test.peak(added, start)

		returned, other := servers[0], servers[5]
		returned.Crash(true)
		time.Sleep(6 * time.Second)
		start = time.Now()
		requireNoError(t, returned.Start())
		time.Sleep(6 * time.Second)
		returnedPeak, usualPeak := test.peak(returned, start), test.peak(other, start)
		stopLoad()

		t.Logf("in its busiest quarter of a second an added server gets %.1f times its share, a returned one %.1f, another one %.1f; %v served",
			addedPeak, returnedPeak, usualPeak, &test.requests)
		for name, peak := range map[string]float64{"added": addedPeak, "returned": returnedPeak} {
			if peak > 2*usualPeak+1 {
				t.Errorf("a free server that was %s gets %.1f times its share in one window, others %.1f", name, peak, usualPeak)
			}
			if peak == 0 {
				t.Errorf("a free server that was %s gets no requests", name)
			}
		}
		test.requests.expectServed(t, 97, "requests")
	})
}

// addServer starts another server of the single service and records the requests that reach it.
func (h *herdTest) addServer(t *testing.T) *Server {
	t.Helper()
	server := h.cluster.AddServer(singleService, herdServiceTime)
	server.SetOnRequest(func(arrival time.Time) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.arrivals[server] = append(h.arrivals[server], arrival)
	})
	requireNoError(t, server.Start())
	return server
}

// startLoad sends requests at random times, herdRate per second on average, until the returned function is called, which waits
// for the responses.
func (h *herdTest) startLoad() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var pending sync.WaitGroup
	pending.Go(func() {
		random := rand.New(rand.NewPCG(5, 6))
		for n := 0; ctx.Err() == nil; n++ {
			pending.Go(func() {
				response := sendSingle(h.cluster, h.cluster.Gateways[n%len(h.cluster.Gateways)], fmt.Sprint("h", n))
				h.requests.record(response.Status == http.StatusOK)
			})
			time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / herdRate))
		}
	})
	return func() {
		cancel()
		pending.Wait()
	}
}

// peak returns the highest number of requests that reached a server in any herdWindow since a time, as a multiple of the
// server's equal share of the load.
func (h *herdTest) peak(server *Server, since time.Time) float64 {
	const running = herdServers + 1
	h.mu.Lock()
	defer h.mu.Unlock()
	most := 0
	arrivals := h.arrivals[server]
	for i, first := range arrivals {
		if first.Before(since) {
			continue
		}
		count := 0
		for _, arrival := range arrivals[i:] {
			if arrival.Sub(first) < herdWindow {
				count++
			}
		}
		most = max(most, count)
	}
	share := herdRate * herdWindow.Seconds() / running
	return float64(most) / share
}
