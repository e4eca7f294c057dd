package simcluster

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"oxbowspan/config"
)

// commitTenants commits a first configuration and tenants, and waits until all gateways apply the configuration.
func commitTenants(t *testing.T, cluster *Cluster, configuration []byte, tenants string) {
	t.Helper()
	requireStatus(t, replaceWithRetry(cluster, 0, configuration, initialAttempts), http.StatusOK, "first configuration")
	replaceTenants(t, cluster, cluster.Controllers[0], 0, tenants)
	awaitVersion(t, cluster, 1, configurationApplyMax)
}

// faultLoad is the load of TestNonRetryableRequestsDuringFaults.
type faultLoad struct {
	cluster *Cluster
	faulty  []*GatewayNode // gateways that may lose open requests
	done    chan struct{}
	pending sync.WaitGroup
	posts   requestCounter // at gateways without faults
	lookups requestCounter // at gateways without faults

	mu         sync.Mutex
	violations []string
}

// TestNonRetryableRequestsDuringFaults injects faults during a batch: a gateway is killed and restarted, another is partitioned
// from all gateways, most servers of a shard crash, and weights and limits change. No post may be executed twice, none that was
// executed may be answered as not executed, and look-ups must still be served.
func TestNonRetryableRequestsDuringFaults(t *testing.T) {
	runCluster(t, 31, 3, 5, func(t *testing.T, cluster *Cluster) {
		limitConnections(t, cluster, 30, 50*time.Millisecond)
		commitTenants(t, cluster, batchConfiguration(t, 1, 30), batchTenants)
		time.Sleep(5 * time.Second)
		killed, partitioned := cluster.Gateways[1], cluster.Gateways[2]
		load := &faultLoad{cluster: cluster, faulty: []*GatewayNode{killed, partitioned}, done: make(chan struct{})}
		load.start()
		time.Sleep(2 * time.Second)

		killed.Kill(false)
		killed.Start()
		time.Sleep(time.Second)
		for _, other := range cluster.Gateways {
			if other != partitioned {
				setPartitioned(cluster, partitioned.IP, other.IP, true)
			}
		}
		time.Sleep(2 * time.Second)
		for i, server := range cluster.Servers {
			if server.Service == "a2" && i%serversPerService != 0 {
				server.Crash(false)
			}
		}
		otherWeights := strings.Replace(batchTenants, `"weight":1`, `"weight":6`, 1)
		status := cluster.ReplaceDocument(cluster.Controllers[1], config.TenantsDocumentName, 1, []byte(otherWeights))
		expectStatus(t, status, http.StatusOK, "tenants with other weights under load")
		time.Sleep(2 * time.Second)
		status = replaceWithRetry(cluster, 1, batchConfiguration(t, 3, 25), 10)
		expectStatus(t, status, http.StatusOK, "configuration with other limits under load")
		cluster.Network.Heal()
		time.Sleep(3 * time.Second)

		close(load.done)
		load.pending.Wait()
		for _, violation := range load.violations {
			t.Error(violation)
		}
		t.Logf("at gateways without faults %v posts and %v look-ups are served; %d connections rejected",
			&load.posts, &load.lookups, rejectedConnections(cluster.Servers))
		load.posts.expectServed(t, 99, "posts")
		load.lookups.expectServed(t, 99, "look-ups")
	})
}

// start starts the clients of the batch and the interactive ones.
func (l *faultLoad) start() {
	const batchClients, interactiveClients = 70, 10
	for client := range batchClients {
		l.pending.Go(func() { l.runBatchClient(client) })
	}
	for client := range interactiveClients {
		l.pending.Go(func() { l.runInteractiveClient(client) })
	}
}

func (l *faultLoad) runBatchClient(client int) {
	for n := 0; ; n++ {
		select {
		case <-l.done:
			return
		default:
		}
		gateway := l.cluster.Gateways[(client+n)%len(l.cluster.Gateways)]
		response := sendBatch(l.cluster, gateway, fmt.Sprint("l", client, "-", n), 2*time.Second)
		if response.Status != http.StatusOK {
			time.Sleep(60 * time.Millisecond)
		}
	}
}

func (l *faultLoad) runInteractiveClient(client int) {
	for n := 0; ; n++ {
		select {
		case <-l.done:
			return
		case <-time.After(40 * time.Millisecond):
		}
		gateway := l.cluster.Gateways[(client+n)%len(l.cluster.Gateways)]
		requestID := fmt.Sprint("p", client, "-", n)
		post := sendPost(l.cluster, gateway, requestID, 3*time.Second)
		l.checkPost(gateway, requestID, post)
		lookup := sendLookup(l.cluster, gateway, "c"+requestID, 2*time.Second)
		if !l.isFaulty(gateway) {
			l.posts.record(post.Status == http.StatusOK)
			l.lookups.record(lookup.Status == http.StatusOK)
		}
	}
}

// checkPost checks that a post was executed at most once, that it was not answered as rejected if it was executed, and that it got
// a response unless its gateway is faulty.
func (l *faultLoad) checkPost(gateway *GatewayNode, requestID string, response Response) {
	executions := l.cluster.RequestLog.Executions(postService, requestID)
	violation := string(checkNonRetryable(requestID, executions, response.Status))
	if violation == "" && executions > 0 && response.Status == 0 && !l.isFaulty(gateway) {
		violation = fmt.Sprintf("lost response: request %s was executed and got none after %v", requestID, response.Elapsed)
	}
	if violation != "" {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.violations = append(l.violations, violation)
	}
}

func (l *faultLoad) isFaulty(gateway *GatewayNode) bool {
	for _, faulty := range l.faulty {
		if gateway == faulty {
			return true
		}
	}
	return false
}

// TestRouteCountDoesNotChangeTenantShare runs the batches of two tenants with equal weights concurrently, one of them on a
// thousand routes. Both must get similar throughput.
func TestRouteCountDoesNotChangeTenantShare(t *testing.T) {
	const (
		connectionLimit = 30
		manyHost        = "many.example"
		routes          = 1000
		tenants         = `{"tenants":[{"name":"one","routes":[{"hostname":"h.example","path_prefix":"/batch/"}]},` +
			`{"name":"many","routes":[{"hostname":"many.example","path_prefix":"/"}]}]}`
	)
	runCluster(t, 32, 3, 3, func(t *testing.T, cluster *Cluster) {
		limitConnections(t, cluster, connectionLimit, 60*time.Millisecond)
		configuration := editConfiguration(t, batchConfiguration(t, 1, connectionLimit), func(c *config.Configuration) {
			for i := range routes {
				c.Routes = append(c.Routes, batchRoute(fmt.Sprint("m", i), manyHost, fmt.Sprintf("/m%d/", i)))
			}
		})
		commitTenants(t, cluster, configuration, tenants)
		time.Sleep(6 * time.Second)

		var oneServed, manyServed atomic.Int64
		var pending sync.WaitGroup
		deadline := time.Now().Add(4 * time.Second)
		runClients := func(clients int, host string, path func(n int) string, served *atomic.Int64) {
			for client := range clients {
				pending.Go(func() {
					gateway := cluster.Gateways[client%len(cluster.Gateways)]
					for n := 0; time.Now().Before(deadline); n++ {
						requestID := fmt.Sprint(host, client, "-", n)
						response := cluster.SendRequest(gateway, http.MethodGet, host, path(client+n), requestID, 4*time.Second)
						if response.Status == http.StatusOK {
							served.Add(1)
						} else {
							time.Sleep(50 * time.Millisecond)
						}
					}
				})
			}
		}
		runClients(60, exampleHost, func(int) string { return "/batch/x" }, &oneServed)
		runClients(120, manyHost, func(n int) string { return fmt.Sprintf("/m%d/x", n%routes) }, &manyServed)
		pending.Wait()
		one, many := float64(oneServed.Load()), float64(manyServed.Load())
		t.Logf("%v requests of one route are served and %v of a thousand; %d connections rejected",
			one, many, rejectedConnections(cluster.Servers))
		if one < 0.7*many || many < 0.7*one {
			t.Errorf("with equal weights %v and %v requests are served", one, many)
		}
	})
}

// TestTimingOutTenantDoesNotBlockOthers runs a batch all of whose requests time out, and a service whose servers accept fewer
// connections than there are gateways. Requests of the other tenant and to that service must be served.
func TestTimingOutTenantDoesNotBlockOthers(t *testing.T) {
	const (
		connectionLimit       = 24
		scarceConnectionLimit = 4 // below the number of gateways
		gateways              = 6
		duration              = 8 * time.Second
	)
	runCluster(t, 33, 3, gateways, func(t *testing.T, cluster *Cluster) {
		limitConnections(t, cluster, connectionLimit, 20*time.Millisecond)
		restartServers(t, serversOf(cluster, "a2"), func(server *Server) {
			server.ServiceTime = 6 * time.Second // above the timeout of the batch
		})
		restartServers(t, serversOf(cluster, singleService), func(server *Server) {
			server.Concurrency, server.ConnectionLimit = 100, scarceConnectionLimit
		})
		configuration := editConfiguration(t, batchConfiguration(t, 1, connectionLimit), func(c *config.Configuration) {
			setConnectionLimit(c, singleService, scarceConnectionLimit)
		})
		commitTenants(t, cluster, configuration, batchTenants)
		time.Sleep(6 * time.Second)

		var pending sync.WaitGroup
		deadline := time.Now().Add(duration)
		for client := range 90 {
			pending.Go(func() {
				for n := 0; time.Now().Before(deadline); n++ {
					sendBatch(cluster, cluster.Gateways[client%gateways], fmt.Sprint("l", client, "-", n), 1500*time.Millisecond)
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
		var lookups, singles requestCounter
		for n := 0; time.Now().Before(deadline); n++ {
			pending.Go(func() {
				gateway := cluster.Gateways[n%gateways]
				lookups.record(sendLookup(cluster, gateway, fmt.Sprint("c", n), time.Second).Status == http.StatusOK)
				singles.record(sendSingle(cluster, gateway, fmt.Sprint("o", n)).Status == http.StatusOK)
			})
			time.Sleep(20 * time.Millisecond)
		}
		pending.Wait()
		t.Logf("%v look-ups and %v requests to servers with scarce connections are served; %d connections rejected",
			&lookups, &singles, rejectedConnections(cluster.Servers))
		lookups.expectServed(t, 98, "look-ups")
		singles.expectServed(t, 95, "requests to servers with scarce connections")
	})
}

// TestSlowReadersHoldNoServerConnection has clients request gathered responses that they do not read. These requests must not hold
// server connections: a response is complete before the gateway sends it to the client.
func TestSlowReadersHoldNoServerConnection(t *testing.T) {
	const (
		connectionLimit = 12
		clientDeadline  = 4 * time.Second
		maxInUse        = 2
	)
	runCluster(t, 34, 3, 2, func(t *testing.T, cluster *Cluster) {
		limitConnections(t, cluster, connectionLimit, 20*time.Millisecond)
		commitTenants(t, cluster, batchConfiguration(t, 1, connectionLimit), batchTenants)
		time.Sleep(6 * time.Second)
		for i := range 60 {
			connection := dialGateway(t, cluster, cluster.Gateways[i%2])
			defer connection.Close()
			connection.send(t, requestHead(http.MethodGet, "/batch/x", fmt.Sprint("r", i), clientDeadline)+"\r\n")
		}
		time.Sleep(500 * time.Millisecond) // until the responses are complete; they are not read
		served := 0
		for n := range 100 {
			response := sendLookup(cluster, cluster.Gateways[n%2], fmt.Sprint("c", n), 300*time.Millisecond)
			if response.Status == http.StatusOK {
				served++
			}
		}
		if served < 99 {
			t.Errorf("%d of 100 look-ups are served while other clients read nothing, want at least 99", served)
		}
		if inUse := connectionsInUse(t, cluster); inUse > maxInUse {
			t.Errorf("%d server connections are in use by requests of clients that read nothing, want at most %d", inUse, maxInUse)
		}
	})
}

// connectionsInUse returns the number of server connections that tenants use according to the gateways' reports.
func connectionsInUse(t *testing.T, cluster *Cluster) (inUse int) {
	t.Helper()
	for _, gateway := range reportedTenants(t, cluster) {
		for _, usage := range gateway.Connections {
			inUse += int(usage.InUse)
		}
	}
	return inUse
}
