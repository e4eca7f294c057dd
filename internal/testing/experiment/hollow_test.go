package experiment

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"oxbowspan/internal/testing/simcluster"
	"oxbowspan/rpc"
)

// simulatedInternalPort is the controllers' port for gateways in a simulated cluster.
const simulatedInternalPort = "7100"

// runHollowCluster calls test with three controllers and with hollow servers and gateways on a simulated network.
func runHollowCluster(t *testing.T, servers, gateways int, test func(t *testing.T, c *simcluster.Cluster, fleet *hollowFleet)) {
	t.Helper()
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		c := simcluster.New(dir, 7, 3, 0)
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		defer func() {
			c.Stop()
			time.Sleep(5 * time.Second)
		}()
		var controlAddresses, internalAddresses []string
		for _, controller := range c.Controllers {
			controlAddresses = append(controlAddresses, controller.ControlAddress())
			internalAddresses = append(internalAddresses, net.JoinHostPort(controller.IP, simulatedInternalPort))
		}
		fleet := newHollowFleet(context.Background(), c.Network.Host("10.0.9.5"), controlAddresses, internalAddresses, c.HeartbeatInterval)
		defer fleet.close()
		for c.ReplaceConfiguration(c.Controllers[0], 0, hollowConfig(1, 5)) != http.StatusOK {
			time.Sleep(100 * time.Millisecond)
		}
		fleet.addServers(servers, 5)
		time.Sleep(3 * c.HeartbeatInterval)
		fleet.addGateways(gateways, time.Second)
		time.Sleep(3 * c.HeartbeatInterval)
		test(t, c, fleet)
	})
}

// The heartbeats of hollow servers are acknowledged, and hollow gateways receive the list of all servers and each change of the
// configuration, drain and loss of a server.
func TestHollowNodesReceiveAllUpdates(t *testing.T) {
	const servers, gateways = 12, 7
	runHollowCluster(t, servers, gateways, func(t *testing.T, c *simcluster.Cluster, fleet *hollowFleet) {
		if n := fleet.serverListLength.Load(); n != servers {
			t.Errorf("the longest list has %d servers, want %d", n, servers)
		}
		if fleet.gatewayListBytes.Load() == 0 {
			t.Error("no list of all gateways was received")
		}
		if fleet.unacknowledged.Load() > 0 || fleet.pollsTimedOut.Load() > 0 {
			t.Errorf("without faults %d heartbeats were not acknowledged and %d polls timed out", fleet.unacknowledged.Load(), fleet.pollsTimedOut.Load())
		}
		r := &hollowResult{}
		r.measurePropagation(fleet, func(version uint64) bool {
			return c.ReplaceConfiguration(c.Controllers[version%3], version-1, hollowConfig(version, 5)) == http.StatusOK
		})
		for name, p := range map[string]propagation{"change": r.configChange, "drain": r.drain, "loss": r.unresponsive} {
			if p.missing > 0 || p.failed > 0 {
				t.Errorf("%s: %s", name, p)
			}
		}
		if r.configChange.all > 100 || r.drain.all > 100 {
			t.Errorf("a change takes %v ms and a drain %v ms on a simulated network, want 100 at most", r.configChange.all, r.drain.all)
		}
		interval := milliseconds(c.HeartbeatInterval)
		if r.unresponsive.all < 3*interval || r.unresponsive.all > 5*interval {
			t.Errorf("a loss reached all gateways after %v ms, want 3 to 5 intervals of %v ms", r.unresponsive.all, interval)
		}
		if r.configIn < float64(len(hollowConfig(2, 5))) || r.drainIn < 30 {
			t.Errorf("a gateway receives %v bytes for a change and %v for a drain", r.configIn, r.drainIn)
		}
	})
}

// Hollow gateways and servers use the remaining controllers after one has crashed.
func TestHollowNodesFailOver(t *testing.T) {
	runHollowCluster(t, 9, 6, func(t *testing.T, c *simcluster.Cluster, fleet *hollowFleet) {
		c.Controllers[0].Kill(true)
		time.Sleep(5 * time.Second)
		waiter := fleet.expectUpdate(func(u *rpc.Update) bool { return u.Version >= 2 })
		if status := c.ReplaceConfiguration(c.Controllers[1], 1, hollowConfig(2, 5)); status != http.StatusOK {
			t.Fatalf("the change got status %d", status)
		}
		start := time.Now()
		fleet.waitForUpdate(waiter, 5*time.Second)
		if _, missing := waiter.since(start); missing > 0 {
			t.Errorf("the change did not reach %d of %d gateways", missing, len(fleet.gateways))
		}
		for _, server := range fleet.servers {
			server.lock.Lock()
			if age := time.Since(server.acknowledgedAt); age > 2*c.HeartbeatInterval {
				t.Errorf("server %s was last acknowledged %v ago", server.id, age)
			}
			server.lock.Unlock()
		}
	})
}

func TestParseSizes(t *testing.T) {
	got, err := parseSizes("3/300/30/50,5/1000/100/10")
	if err != nil || len(got) != 2 || got[1] != (hollowSize{5, 1000, 100, 10}) {
		t.Errorf("got %v, %v", got, err)
	}
	if _, err := parseSizes("3/300"); err == nil {
		t.Error("an incomplete size is accepted")
	}
}
