package simcluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Ninety gatherers and five hives: news reaches all, also after every hive was killed at once, and nobody crowds one hive.
func TestConfigurationReachesNinetyGateways(t *testing.T) {
	runCluster(t, 30, 5, 90, func(cluster *Cluster) {
		commitFirstVersion(t, cluster)
		time.Sleep(4 * time.Second)
		for version := uint64(2); version < 6; version++ {
			if got := replaceWithRetry(cluster, version-1, ExampleConfiguration(version, FirstSharding), 5); got != http.StatusOK {
				t.Fatalf("version %d: %d", version, got)
			}
			start := time.Now()
			var took []time.Duration
			for len(took) < len(cluster.Gateways) && time.Since(start) < 3*time.Second {
				took = took[:0]
				for _, gateway := range cluster.Gateways {
					if gateway.Gateway.ActiveVersion() >= version {
						took = append(took, time.Since(start))
					}
				}
				time.Sleep(time.Millisecond)
			}
			if len(took) < len(cluster.Gateways) {
				t.Fatalf("CONFIG: %d of %d follow version %d after 3 s", len(took), len(cluster.Gateways), version)
			}
			t.Logf("version %d is in force on all after %v", version, slices.Max(took))
			if version == 3 {
				for _, controller := range cluster.Controllers {
					controller.Kill(false)
				}
				for _, controller := range cluster.Controllers {
					requireNoError(t, controller.Start())
				}
				time.Sleep(2 * time.Second)
			}
		}
	})
}

// Ninety gatherers that see few requests each, twelve servers that are two thirds busy, and a thirteenth that begins, free: it
// must not be taken for the best by all at once. So must one that comes back from being dark.
func TestNoThunderingHerdOnFreeServer(t *testing.T) {
	runCluster(t, 33, 3, 90, func(cluster *Cluster) {
		var servers []*Server
		var mu sync.Mutex
		came := map[*Server][]time.Time{}
		add := func() *Server {
			s := cluster.AddServer("one", 60*time.Millisecond)
			s.OnRequest = func(at time.Time) {
				mu.Lock()
				came[s] = append(came[s], at)
				mu.Unlock()
			}
			requireNoError(t, s.Start())
			return s
		}
		for _, s := range cluster.Servers { // the three of the example make room for twelve of one kind
			if s.Service == "one" {
				s.Crash(false)
			}
		}
		for range 12 {
			servers = append(servers, add())
		}
		commitFirstVersion(t, cluster)
		time.Sleep(5 * time.Second)
		ctx, stop := context.WithCancel(context.Background())
		var clients sync.WaitGroup
		const requestsPerSecond = 400
		var served, asked atomic.Int64
		clients.Go(func() {
			r := rand.New(rand.NewPCG(5, 6))
			for n := 0; ctx.Err() == nil; n++ {
				clients.Go(func() {
					asked.Add(1)
					if response := cluster.SendRequest(cluster.Gateways[n%len(cluster.Gateways)], "GET", "h.example", "/one/x", fmt.Sprint("h", n), time.Second); response.Status == http.StatusOK {
						served.Add(1)
					}
				})
				time.Sleep(time.Duration(r.ExpFloat64() * float64(time.Second) / requestsPerSecond))
			}
		})
		// rush is the most that came to a server in any quarter of a second since a moment, over what each server bears then.
		rush := func(of *Server, since time.Time, alive int) float64 {
			mu.Lock()
			defer mu.Unlock()
			most := 0
			for i, from := range came[of] {
				if n := 0; !from.Before(since) {
					for _, at := range came[of][i:] {
						if at.Sub(from) < 250*time.Millisecond {
							n++
						}
					}
					most = max(most, n)
				}
			}
			return float64(most) / (requestsPerSecond / 4 / float64(alive))
		}
		time.Sleep(6 * time.Second)
		start := time.Now()
		added := add()
		time.Sleep(6 * time.Second)
		first := rush(added, start, 13)
		servers[0].Crash(true)
		time.Sleep(6 * time.Second)
		start = time.Now()
		requireNoError(t, servers[0].Start())
		time.Sleep(6 * time.Second)
		second := rush(servers[0], start, 13)
		usual := rush(servers[5], start, 13)
		stop()
		clients.Wait()
		t.Logf("in the worst quarter of a second a server that begins gets %.1f of its part, one that comes back %.1f, any other %.1f; %d of %d served",
			first, second, usual, served.Load(), asked.Load())
		if first > 2*usual+1 || second > 2*usual+1 {
			t.Error("ninety gatherers rush to a server that is free")
		}
		if first == 0 || second == 0 {
			t.Error("a server that is free gets nothing")
		}
		if 100*served.Load() < 97*asked.Load() {
			t.Errorf("%d of %d are served", served.Load(), asked.Load())
		}
	})
}
