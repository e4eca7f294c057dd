package simcluster

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"oxbowspan/config"
)

// Servers take fewer connections together than there are gatherers, and end those beyond. Each gatherer uses a few servers only,
// so that hardly any is ended, though gatherers come and go; everything is served.
func TestConnectionLimitBelowGatewayCount(t *testing.T) {
	runCluster(t, 93, 3, 30, func(cluster *Cluster) {
		var servers []*Server
		for _, s := range cluster.Servers {
			if s.Service == "one" {
				s.Crash(false)
			}
		}
		for range 6 {
			s := cluster.AddServer("one", 10*time.Millisecond)
			s.ConnectionLimit = 6
			requireNoError(t, s.Start())
			servers = append(servers, s)
		}
		var conf config.Configuration
		requireNoError(t, json.Unmarshal(ExampleConfiguration(1, FirstSharding), &conf))
		for i := range conf.Services {
			if conf.Services[i].Name == "one" {
				conf.Services[i].ConnectionLimit = 6
			}
		}
		text, _ := json.Marshal(conf)
		if got := replaceWithRetry(cluster, 0, text, 30); got != http.StatusOK {
			t.Fatalf("the configuration: %d", got)
		}
		awaitVersion(t, cluster, 1, 3*time.Second)
		time.Sleep(6 * time.Second)
		refused := func() (n int) {
			for _, s := range servers {
				s.mu.Lock()
				n += s.RejectedConnections
				s.mu.Unlock()
			}
			return n
		}
		var asked, served atomic.Int64
		load := func(seconds int) {
			var all sync.WaitGroup
			for n := range seconds * 200 {
				all.Go(func() {
					asked.Add(1)
					if response := cluster.SendRequest(cluster.Gateways[n%len(cluster.Gateways)], "GET", "h.example", "/one/x", fmt.Sprint("f", asked.Load(), "-", n), time.Second); response.Status == http.StatusOK {
						served.Add(1)
					}
				})
				time.Sleep(5 * time.Millisecond)
			}
			all.Wait()
		}
		load(10)
		calm := refused()
		for i := range 5 { // gatherers that die and begin anew
			cluster.Gateways[i].Kill(false)
			cluster.Gateways[i].Start()
		}
		time.Sleep(2 * time.Second)
		load(10)
		t.Logf("%d of %d served; connections ended beyond the limit: %d in calm, %d in all", served.Load(), asked.Load(), calm, refused())
		if calm > 40 || refused() > 120 {
			t.Errorf("%d connections were ended beyond the servers' limit in calm, %d in all", calm, refused())
		}
		if 100*served.Load() < 97*asked.Load() {
			t.Errorf("%d of %d are served", served.Load(), asked.Load())
		}
	})
}
