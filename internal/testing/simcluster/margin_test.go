package simcluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Days under load, with a third of the answers broken off, servers that crash, gatherers that die and come back, versions and
// drainings: how much of each rule's bound is used at the most. What it logs stands in docs/measured/near-misses.md.
func TestSafetyMargins(t *testing.T) {
	most := map[string]float64{}
	note := func(what string, share float64) { most[what] = max(most[what], share) }
	for seed := range uint64(4) {
		runCluster(t, 80+seed, 3, 5, func(cluster *Cluster) {
			commitFirstVersion(t, cluster)
			time.Sleep(3 * time.Second)
			r := rand.New(rand.NewPCG(seed, 8))
			for _, s := range cluster.Servers {
				s.ResponseFault = func() string { return []string{"break", "status", "other", "", "", "", "", "", ""}[rand.IntN(9)] }
			}
			ctx, stop := context.WithCancel(context.Background())
			var clients sync.WaitGroup
			var asked, served atomic.Int64
			for trial := range 10 {
				clients.Go(func() {
					for n := trial; ctx.Err() == nil; n += 10 {
						ok, violation := cluster.SendExample(cluster.Gateways[n%len(cluster.Gateways)], n/len(cluster.Gateways), fmt.Sprintf("m%d-%d", trial, n))
						if violation != "" {
							t.Error(violation)
						}
						if asked.Add(1); ok {
							served.Add(1)
						}
						time.Sleep(40 * time.Millisecond)
					}
				})
			}
			version := uint64(1)
			for range 14 {
				time.Sleep(time.Duration(500+r.IntN(1500)) * time.Millisecond)
				switch r.IntN(4) {
				case 0:
					s := cluster.Servers[r.IntN(len(cluster.Servers))]
					s.Crash(r.IntN(2) == 0)
					requireNoError(t, s.Start())
				case 1:
					gateway := cluster.Gateways[r.IntN(len(cluster.Gateways))]
					gateway.Kill(false)
					gateway.Start()
					for gateway.Gateway.ActiveVersion() == 0 { // the platform sends nobody to one that is not ready
						time.Sleep(10 * time.Millisecond)
					}
				case 2:
					version++
					if got := cluster.ReplaceConfiguration(cluster.Controllers[r.IntN(3)], version-1, ExampleConfiguration(version, [][]string{FirstSharding, SecondSharding}[version%2])); got != http.StatusOK {
						t.Errorf("version %d: %d", version, got)
					}
					acked := time.Now()
					awaitVersion(t, cluster, version, 3*time.Second)
					note("CONFIG: config_apply_ms", time.Since(acked).Seconds()/3)
				case 3:
					s := cluster.Servers[r.IntN(len(cluster.Servers))]
					acked := s.Drain()
					if acked.IsZero() {
						t.Errorf("a draining is not acknowledged")
					}
					time.Sleep(2 * time.Second)
					s.mu.Lock()
					note("DRAIN: drain_limit_ms", s.LastRequestAt.Sub(acked).Seconds()/3)
					s.mu.Unlock()
					s.Crash(false)
					requireNoError(t, s.Start())
				}
			}
			stop()
			clients.Wait()
			use, service := cluster.RequestLog.RetryBudgetUse(10*time.Second, 0.2, 54)
			t.Logf("seed %d: %d asked, %d served; most of the budget at %s: %.2f", seed, asked.Load(), served.Load(), service, use)
			note("BUDGET", use)
			if 2*served.Load() < asked.Load() {
				t.Errorf("%d of %d are served", served.Load(), asked.Load())
			}
		})
	}
	for what, share := range most {
		if t.Logf("%s: %.3f of the bound", what, share); share > 1 {
			t.Errorf("%s: %.2f of the bound", what, share)
		}
	}
	if most["BUDGET"] < 0.05 {
		t.Error("nothing was sent again: too little to tell")
	}
}
