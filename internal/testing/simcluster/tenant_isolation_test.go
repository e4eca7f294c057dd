package simcluster

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"oxbowspan/config"
	"oxbowspan/controlplane"
)

// limitConnections gives the first cut's servers a limit of connections and room for all that comes over them.
func limitConnections(t *testing.T, cluster *Cluster, limit int, serviceTime time.Duration) {
	for _, s := range cluster.Servers {
		if slices.Contains(FirstSharding, s.Service) {
			s.Crash(false)
			s.Concurrency, s.ConnectionLimit, s.ServiceTime = 1000, limit, serviceTime
			requireNoError(t, s.Start())
		}
	}
}

func rejectedConnections(cluster *Cluster) (n int) {
	for _, s := range cluster.Servers {
		s.mu.Lock()
		n += s.RejectedConnections
		s.mu.Unlock()
	}
	return n
}

// In the middle of a letter run a gatherer is killed and begun anew, another is cut off from all others, the servers of a shard go,
// weights change and a newer configuration has other limits: no post runs twice, none that ran is called not to have run, and
// look-ups are served on.
func TestNonRetryableRequestsDuringFaults(t *testing.T) {
	runCluster(t, 31, 3, 5, func(cluster *Cluster) {
		limitConnections(t, cluster, 30, 50*time.Millisecond)
		if got := replaceWithRetry(cluster, 0, batchConfiguration(1, 30), 30); got != http.StatusOK {
			t.Fatalf("the configuration: %d", got)
		}
		if got := cluster.ReplaceDocument(cluster.Controllers[0], "tenants", 0, []byte(batchTenants)); got != http.StatusOK {
			t.Fatalf("the tenants: %d", got)
		}
		awaitVersion(t, cluster, 1, 3*time.Second)
		time.Sleep(5 * time.Second)
		var all sync.WaitGroup
		var posts, fine, lookups, seen atomic.Int64
		done := make(chan struct{})
		away := func(i int) bool { return i == 1 || i == 2 }
		for i := range 70 { // the run
			all.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-done:
						return
					default:
					}
					if response := cluster.SendRequest(cluster.Gateways[(i+n)%5], "GET", "h.example", "/letters/x", fmt.Sprint("l", i, "-", n), 2*time.Second); response.Status != http.StatusOK {
						time.Sleep(60 * time.Millisecond)
					}
				}
			})
		}
		var faults sync.Map
		for i := range 10 {
			all.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-done:
						return
					case <-time.After(40 * time.Millisecond):
					}
					id, at := fmt.Sprint("p", i, "-", n), (i+n)%5
					response := cluster.SendRequest(cluster.Gateways[at], "POST", "h.example", "/post/x", id, 3*time.Second)
					runs := cluster.RequestLog.Executions("a1", id)
					switch {
					case runs > 1:
						faults.Store("TWICE "+id, runs)
					case runs > 0 && (response.Status == http.StatusServiceUnavailable || response.Status == http.StatusTooManyRequests):
						faults.Store("REFUSED "+id, response.Status)
					case runs > 0 && response.Status == 0 && !away(at):
						faults.Store("CUT OFF "+id, fmt.Sprint("after ", response.Elapsed))
					}
					if !away(at) {
						if posts.Add(1); response.Status == http.StatusOK {
							fine.Add(1)
						}
					}
					b := cluster.SendRequest(cluster.Gateways[at], "GET", "h.example", "/counter/x", "c"+id, 2*time.Second)
					if !away(at) {
						if lookups.Add(1); b.Status == http.StatusOK {
							seen.Add(1)
						}
					}
				}
			})
		}
		time.Sleep(2 * time.Second)
		cluster.Gateways[1].Kill(false)
		cluster.Gateways[1].Start()
		time.Sleep(time.Second)
		for _, g := range cluster.Gateways {
			if g != cluster.Gateways[2] {
				cluster.Network.SetPartitioned(cluster.Gateways[2].IP, g.IP, true)
				cluster.Network.SetPartitioned(g.IP, cluster.Gateways[2].IP, true)
			}
		}
		time.Sleep(2 * time.Second)
		for i, s := range cluster.Servers { // two of three of a shard
			if s.Service == "a2" && i%3 != 0 {
				s.Crash(false)
			}
		}
		heavier := strings.Replace(batchTenants, `"weight":1`, `"weight":6`, 1)
		if got := cluster.ReplaceDocument(cluster.Controllers[1], "tenants", 1, []byte(heavier)); got != http.StatusOK {
			t.Errorf("weights changed under load: %d", got)
		}
		time.Sleep(2 * time.Second)
		if got := replaceWithRetry(cluster, 1, batchConfiguration(3, 25), 10); got != http.StatusOK {
			t.Errorf("a newer configuration under load: %d", got)
		}
		cluster.Network.Heal()
		time.Sleep(3 * time.Second)
		close(done)
		all.Wait()
		faults.Range(func(k, v any) bool { t.Errorf("%v: %v", k, v); return true })
		t.Logf("%d of %d posts and %d of %d look-ups served at gatherers that were well; %d connections ended", fine.Load(), posts.Load(), seen.Load(), lookups.Load(), rejectedConnections(cluster))
		if 100*fine.Load() < 99*posts.Load() || 100*seen.Load() < 99*lookups.Load() {
			t.Errorf("%d of %d posts and %d of %d look-ups are served", fine.Load(), posts.Load(), seen.Load(), lookups.Load())
		}
	})
}

// Two tenants that gather at once, one of them with a thousand routes: each has its part, whatever the number of its routes.
func TestRouteCountDoesNotChangeTenantShare(t *testing.T) {
	runCluster(t, 32, 3, 3, func(cluster *Cluster) {
		limitConnections(t, cluster, 30, 60*time.Millisecond)
		var conf config.Configuration
		requireNoError(t, json.Unmarshal(batchConfiguration(1, 30), &conf))
		for i := range 1000 {
			conf.Routes = append(conf.Routes, config.Route{Name: fmt.Sprint("m", i), Hostname: "many.example", PathPrefix: fmt.Sprintf("/m%d/", i), RouteKind: config.Retryable,
				TimeoutMS: 4000, TargetMS: 2000, GatheredServices: FirstSharding, Attempts: 1, TopRecords: exampleTopRecords, MinimumShare: 1})
		}
		text, _ := json.Marshal(conf)
		if got := replaceWithRetry(cluster, 0, text, 30); got != http.StatusOK {
			t.Fatalf("the configuration: %d", got)
		}
		doc := `{"tenants":[{"name":"one","routes":[{"hostname":"h.example","path_prefix":"/letters/"}]},{"name":"many","routes":[{"hostname":"many.example","path_prefix":"/"}]}]}`
		if got := cluster.ReplaceDocument(cluster.Controllers[0], "tenants", 0, []byte(doc)); got != http.StatusOK {
			t.Fatalf("the tenants: %d", got)
		}
		awaitVersion(t, cluster, 1, 3*time.Second)
		time.Sleep(6 * time.Second)
		var one, many atomic.Int64
		var all sync.WaitGroup
		deadline := time.Now().Add(4 * time.Second)
		run := func(n int, host string, path func(int) string, served *atomic.Int64) {
			for i := range n {
				all.Go(func() {
					for k := 0; time.Now().Before(deadline); k++ {
						if response := cluster.SendRequest(cluster.Gateways[i%3], "GET", host, path(i+k), fmt.Sprint(host, i, "-", k), 4*time.Second); response.Status == http.StatusOK {
							served.Add(1)
						} else {
							time.Sleep(50 * time.Millisecond)
						}
					}
				})
			}
		}
		run(60, "h.example", func(int) string { return "/letters/x" }, &one)
		run(120, "many.example", func(i int) string { return fmt.Sprintf("/m%d/x", i%1000) }, &many)
		all.Wait()
		t.Logf("%d of one route, %d of a thousand; %d connections ended", one.Load(), many.Load(), rejectedConnections(cluster))
		if response, b := float64(one.Load()), float64(many.Load()); response < 0.7*b || b < 0.7*response {
			t.Errorf("equal weights served %v and %v", response, b)
		}
	})
}

// A tenant whose every request times out, and one whose servers are fewer in connections than there are gatherers, keep nobody from
// theirs: look-ups of the other tenant are served.
func TestTimingOutTenantDoesNotBlockOthers(t *testing.T) {
	runCluster(t, 33, 3, 6, func(cluster *Cluster) {
		limitConnections(t, cluster, 24, 20*time.Millisecond)
		for _, s := range cluster.Servers {
			if s.Service == "a2" { // every gather waits here past its time-out
				s.Crash(false)
				s.ServiceTime = 6 * time.Second
				requireNoError(t, s.Start())
			}
			if s.Service == "one" {
				s.Crash(false)
				s.Concurrency, s.ConnectionLimit = 100, 4 // fewer than gatherers
				requireNoError(t, s.Start())
			}
		}
		var conf config.Configuration
		requireNoError(t, json.Unmarshal(batchConfiguration(1, 24), &conf))
		for i := range conf.Services {
			if conf.Services[i].Name == "one" {
				conf.Services[i].ConnectionLimit = 4
			}
		}
		text, _ := json.Marshal(conf)
		if got := replaceWithRetry(cluster, 0, text, 30); got != http.StatusOK {
			t.Fatalf("the configuration: %d", got)
		}
		if got := cluster.ReplaceDocument(cluster.Controllers[0], "tenants", 0, []byte(batchTenants)); got != http.StatusOK {
			t.Fatalf("the tenants: %d", got)
		}
		awaitVersion(t, cluster, 1, 3*time.Second)
		time.Sleep(6 * time.Second)
		var all sync.WaitGroup
		deadline := time.Now().Add(8 * time.Second)
		for i := range 90 {
			all.Go(func() {
				for trial := 0; time.Now().Before(deadline); trial++ {
					cluster.SendRequest(cluster.Gateways[i%6], "GET", "h.example", "/letters/x", fmt.Sprint("l", i, "-", trial), 1500*time.Millisecond)
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
		var asked, served, ones, onesServed atomic.Int64
		for n := 0; time.Now().Before(deadline); n++ {
			all.Go(func() {
				asked.Add(1)
				if response := cluster.SendRequest(cluster.Gateways[n%6], "GET", "h.example", "/counter/x", fmt.Sprint("c", n), time.Second); response.Status == http.StatusOK {
					served.Add(1)
				}
				ones.Add(1)
				if cluster.SendRequest(cluster.Gateways[n%6], "GET", "h.example", "/one/x", fmt.Sprint("o", n), time.Second).Status == http.StatusOK {
					onesServed.Add(1)
				}
			})
			time.Sleep(20 * time.Millisecond)
		}
		all.Wait()
		t.Logf("%d of %d look-ups, %d of %d where servers take fewer connections than there are gatherers; %d ended", served.Load(), asked.Load(), onesServed.Load(), ones.Load(), rejectedConnections(cluster))
		if 100*served.Load() < 98*asked.Load() || 100*onesServed.Load() < 95*ones.Load() {
			t.Errorf("%d of %d look-ups are served, and %d of %d", served.Load(), asked.Load(), onesServed.Load(), ones.Load())
		}
	})
}

// Clients that ask for a whole gather and read nothing hold no server's connection: an answer is read whole before it is passed on.
func TestSlowReadersHoldNoServerConnection(t *testing.T) {
	runCluster(t, 34, 3, 2, func(cluster *Cluster) {
		limitConnections(t, cluster, 12, 20*time.Millisecond)
		if got := replaceWithRetry(cluster, 0, batchConfiguration(1, 12), 30); got != http.StatusOK {
			t.Fatalf("the configuration: %d", got)
		}
		if got := cluster.ReplaceDocument(cluster.Controllers[0], "tenants", 0, []byte(batchTenants)); got != http.StatusOK {
			t.Fatalf("the tenants: %d", got)
		}
		awaitVersion(t, cluster, 1, 3*time.Second)
		time.Sleep(6 * time.Second)
		for i := range 60 {
			nc, err := cluster.networkOf("10.0.9.7").Dial(cluster.Gateways[i%2].PublicAddress(), time.Second)
			requireNoError(t, err)
			defer nc.Close()
			_, err = fmt.Fprintf(nc, "GET /letters/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: r%d\r\nX-Deadline-Remaining: 4000\r\n\r\n", i)
			requireNoError(t, err)
		}
		time.Sleep(500 * time.Millisecond) // their gathers are over, and nobody has read them
		served := 0
		for n := range 100 {
			if cluster.SendRequest(cluster.Gateways[n%2], "GET", "h.example", "/counter/x", fmt.Sprint("c", n), 300*time.Millisecond).Status == http.StatusOK {
				served++
			}
		}
		held := 0
		for _, controller := range cluster.Controllers {
			var nodes []controlplane.GatewayTenants
			requireNoError(t, json.Unmarshal(cluster.ReadResource(controller, "/-/tenants/explain"), &nodes))
			for _, n := range nodes {
				for _, x := range n.Connections {
					held += int(x.InUse)
				}
			}
		}
		if served < 99 || held > 2 {
			t.Errorf("%d of 100 look-ups are served beside readers that read nothing; %d connections are held", served, held)
		}
	})
}
