package simcluster

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"oxbowspan/config"
	"oxbowspan/controlapi"
)

// Services of the single-service routes that batchConfiguration adds. The batch route gathers from them as well.
const (
	lookupService = "a0"
	postService   = "a1"
)

// batchTenants gives the batch route weight 1 and the interactive routes weight 2.
const batchTenants = `{"tenants":[
 {"name":"batch","weight":1,"routes":[{"hostname":"h.example","path_prefix":"/batch/"}]},
 {"name":"lookup","weight":2,"routes":[{"hostname":"h.example","path_prefix":"/lookup/"},{"hostname":"h.example","path_prefix":"/post/"}]}]}`

// batchConfiguration returns a configuration with a gathered batch route, an interactive look-up route and a non-retryable post
// route, all to the same servers, and the same connection limit for all services.
func batchConfiguration(t *testing.T, version uint64, connectionLimit int) []byte {
	t.Helper()
	return editConfiguration(t, ExampleConfiguration(version, ExampleSharding), func(c *config.Configuration) {
		for i := range c.Services {
			c.Services[i].ConnectionLimit = connectionLimit
		}
		c.Routes = append(c.Routes,
			batchRoute("batch", exampleHost, "/batch/"),
			config.Route{
				Name: "lookup", Hostname: exampleHost, PathPrefix: "/lookup/", RouteKind: config.Retryable,
				TimeoutMS: 2000, TargetMS: 200, Attempts: 2, Service: lookupService,
			},
			config.Route{
				Name: "post", Hostname: exampleHost, PathPrefix: "/post/", RouteKind: config.NonRetryable,
				TimeoutMS: 3000, TargetMS: 500, Attempts: 2, Service: postService,
			})
	})
}

// batchRoute returns a route that gathers all parts with one attempt.
func batchRoute(name, host, prefix string) config.Route {
	return config.Route{
		Name: name, Hostname: host, PathPrefix: prefix, RouteKind: config.Retryable,
		TimeoutMS: 4000, TargetMS: 2000, Attempts: 1,
		GatheredServices: ExampleSharding, TopRecords: exampleTopRecords, MinimumShare: 1,
	}
}

func sendBatch(cluster *Cluster, gateway *GatewayNode, requestID string, timeout time.Duration) Response {
	return cluster.SendRequest(gateway, http.MethodGet, exampleHost, "/batch/x", requestID, timeout)
}

func sendLookup(cluster *Cluster, gateway *GatewayNode, requestID string, timeout time.Duration) Response {
	return cluster.SendRequest(gateway, http.MethodGet, exampleHost, "/lookup/x", requestID, timeout)
}

func sendPost(cluster *Cluster, gateway *GatewayNode, requestID string, timeout time.Duration) Response {
	return cluster.SendRequest(gateway, http.MethodPost, exampleHost, "/post/x", requestID, timeout)
}

// limitConnections restarts the servers of the first sharding with a connection limit, and with a concurrency so high that only
// connections are scarce.
func limitConnections(t *testing.T, cluster *Cluster, connectionLimit int, serviceTime time.Duration) {
	t.Helper()
	restartServers(t, serversOf(cluster, ExampleSharding...), func(server *Server) {
		server.Concurrency = 1000
		server.ConnectionLimit = connectionLimit
		server.ServiceTime = serviceTime
	})
}

// loadResult is the result of an interactive load.
type loadResult struct {
	lookups    []time.Duration // latencies, sorted
	failed     int64           // look-ups that were not served
	duplicates int64           // posts that were executed more than once
	batch      int64           // requests of the batch that were served
}

func (r *loadResult) quantile(q float64) time.Duration {
	return r.lookups[min(int(q*float64(len(r.lookups))), len(r.lookups)-1)]
}

func (r *loadResult) String() string {
	return fmt.Sprintf("latency of look-ups: median %v, p99 %v, maximum %v; %d batch requests served",
		r.quantile(0.5), r.quantile(0.99), r.quantile(1), r.batch)
}

// runLoad sends look-ups and posts for a time, with or without a concurrent batch.
func runLoad(cluster *Cluster, name string, withBatch bool, duration time.Duration) *loadResult {
	var pending sync.WaitGroup
	var batch, failed, duplicates atomic.Int64
	deadline := time.Now().Add(duration)
	if withBatch {
		startBatch(cluster, &pending, name, deadline, &batch)
	}
	var mu sync.Mutex
	var lookups []time.Duration
	for n := 0; time.Now().Before(deadline); n++ {
		time.Sleep(time.Duration(5+rand.IntN(10)) * time.Millisecond)
		gateway, requestID := cluster.Gateways[n%len(cluster.Gateways)], fmt.Sprint(name, "c", n)
		if n%5 == 0 {
			pending.Go(func() {
				sendPost(cluster, gateway, requestID, 3*time.Second)
				if cluster.RequestLog.Executions(postService, requestID) > 1 {
					duplicates.Add(1)
				}
			})
			continue
		}
		pending.Go(func() {
			response := sendLookup(cluster, gateway, requestID, 2*time.Second)
			if response.Status != http.StatusOK {
				failed.Add(1)
			}
			mu.Lock()
			defer mu.Unlock()
			lookups = append(lookups, response.Elapsed)
		})
	}
	pending.Wait()
	slices.Sort(lookups)
	return &loadResult{lookups: lookups, failed: failed.Load(), duplicates: duplicates.Load(), batch: batch.Load()}
}

// startBatch starts all clients of a batch. They send requests until a deadline.
func startBatch(cluster *Cluster, pending *sync.WaitGroup, name string, deadline time.Time, served *atomic.Int64) {
	const clientsPerGateway = 36
	for client := range clientsPerGateway * len(cluster.Gateways) {
		pending.Go(func() {
			gateway := cluster.Gateways[client%len(cluster.Gateways)]
			for n := 0; time.Now().Before(deadline); n++ {
				response := sendBatch(cluster, gateway, fmt.Sprint(name, "l", client, "-", n), 4*time.Second)
				if response.Status == http.StatusOK {
					served.Add(1)
				} else {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
}

// TestBatchTenantLeavesConnectionsToOthers runs a batch that uses idle connections. Look-ups of the other tenant must be served
// nearly as fast as without the batch, and the batch must reach 75 % of its throughput without tenants.
func TestBatchTenantLeavesConnectionsToOthers(t *testing.T) {
	const (
		connectionLimit = 30
		openTime        = 2 * time.Second
		sharedTime      = 5 * time.Second // long enough that the p99 does not depend on the second-worst look-up alone
		maxRejected     = 20
	)
	runCluster(t, 17, 3, 3, func(t *testing.T, cluster *Cluster) {
		limitConnections(t, cluster, connectionLimit, 40*time.Millisecond)
		commitInitial(t, cluster, 1, batchConfiguration(t, 1, connectionLimit))
		time.Sleep(8 * time.Second)
		alone := runLoad(cluster, "q", false, 4*time.Second)
		if alone.failed > 0 || alone.duplicates > 0 {
			t.Fatalf("without a batch %d look-ups fail, and %d posts are executed twice", alone.failed, alone.duplicates)
		}
		open := runLoad(cluster, "o", true, openTime)
		replaceTenants(t, cluster, cluster.Controllers[1], 0, batchTenants)
		time.Sleep(6 * time.Second)
		shared := runLoad(cluster, "s", true, sharedTime)
		rejected := rejectedConnections(cluster.Servers)
		t.Logf("without a batch: %v", alone)
		t.Logf("without tenants: %v", open)
		t.Logf("with tenants: %v; %d look-ups failed, %d connections rejected", shared, shared.failed, rejected)
		if shared.failed > 0 || shared.duplicates > 0 {
			t.Errorf("with the batch %d look-ups fail, and %d posts are executed twice", shared.failed, shared.duplicates)
		}
		if got, bound := shared.quantile(0.99), alone.quantile(0.99)*3/2; got > bound {
			t.Errorf("the p99 of look-ups with the batch is %v, want at most %v", got, bound)
		}
		if float64(shared.batch)/sharedTime.Seconds() < 0.75*float64(open.batch)/openTime.Seconds() {
			t.Errorf("%d batch requests are served in %v with tenants, %d in %v without", shared.batch, sharedTime, open.batch, openTime)
		}
		if rejected > maxRejected {
			t.Errorf("%d connections beyond the servers' limit, want at most %d", rejected, maxRejected)
		}
	})
}

// TestTenantsDocumentIsCommitted checks that tenants are committed like configurations: of two documents on one base one is
// committed, a repeated document gets the same response, and an invalid one is rejected. New configurations and changes of the
// members must not change the tenants, and all gateways must apply them, including one that starts later.
func TestTenantsDocumentIsCommitted(t *testing.T) {
	const other = `{"tenants":[{"name":"others","routes":[{"hostname":"h.example","path_prefix":"/"}]}]}`
	runCluster(t, 18, 3, 2, func(t *testing.T, cluster *Cluster) {
		commitInitial(t, cluster, 1, batchConfiguration(t, 1, 40))
		replace := func(controller int, basedOn uint64, document string) (status int) {
			return cluster.ReplaceDocument(cluster.Controllers[controller], config.TenantsDocumentName, basedOn, []byte(document))
		}
		for name, document := range map[string]string{
			"malformed tenants":                `{"tenants":[{"name":"","weight":-1},{"name":"a/b","routes":[{"hostname":"h","path_prefix":"x"}]}]}`,
			"a floor above the servers' limit": `{"tenants":[{"name":"a","floor":50,"routes":[{"hostname":"h.example","path_prefix":"/"}]}]}`,
		} {
			expectStatus(t, replace(0, 0, document), http.StatusBadRequest, "%s", name)
		}

		var first, second int
		var operators sync.WaitGroup
		operators.Go(func() { first = replace(0, 0, batchTenants) })
		operators.Go(func() { second = replace(1, 0, other) })
		operators.Wait()
		if first+second != http.StatusOK+http.StatusPreconditionFailed {
			t.Fatalf("two documents on one base: status %d and %d", first, second)
		}
		won, lost := batchTenants, other
		if second == http.StatusOK {
			won, lost = other, batchTenants
		}
		expectStatus(t, replace(2, 0, won), http.StatusOK, "committed document, repeated")
		expectStatus(t, replace(2, 0, lost), http.StatusPreconditionFailed, "rejected document, repeated")
		expectStatus(t, replace(2, 1, lost), http.StatusOK, "the same document on top of the committed one")
		status := replaceWithRetry(cluster, 1, batchConfiguration(t, 2, 30), 10)
		requireStatus(t, status, http.StatusOK, "next configuration")
		expectStatus(t, replace(1, 0, won), http.StatusOK, "first document, repeated after another")

		wiped, restarted := cluster.Controllers[2], cluster.Gateways[1]
		wiped.Kill(false)
		wiped.WipeDisk()
		requireNoError(t, wiped.Start())
		time.Sleep(6 * time.Second) // until it is a member again
		restarted.Kill(false)
		restarted.Start()
		awaitVersion(t, cluster, 2, 5*time.Second)
		for _, controller := range cluster.Controllers {
			if got := string(cluster.ReadResource(controller, "/-/tenants/read")); got != lost {
				t.Errorf("%s returns the tenants %q", controller.IP, got)
			}
		}
		runLoad(cluster, "x", true, time.Second) // so that gateways have usage to report
		time.Sleep(1500 * time.Millisecond)
		checkTenantsVersion(t, cluster, 2)
	})
}

// checkTenantsVersion checks that all gateways report that they apply the given version of the tenants, and no other version.
func checkTenantsVersion(t *testing.T, cluster *Cluster, version uint64) {
	t.Helper()
	reported := map[uint64]int{}
	for _, gateway := range reportedTenants(t, cluster) {
		reported[gateway.TenantsVersion]++
	}
	if len(reported) != 1 || reported[version] != len(cluster.Gateways) {
		t.Errorf("gateways by the tenants' version that they report: %v, want all at version %d", reported, version)
	}
}

// reportedTenants returns the last reports of the gateways on their tenants, from all controllers.
func reportedTenants(t *testing.T, cluster *Cluster) (reports []controlapi.GatewayTenants) {
	t.Helper()
	for _, controller := range cluster.Controllers {
		var gateways []controlapi.GatewayTenants
		readJSON(t, cluster, controller, "/-/tenants/explain", &gateways)
		reports = append(reports, gateways...)
	}
	return reports
}
