package outlier

import (
	"fmt"
	"testing"
	"time"
)

// All gateways must stop using a server that refuses connections, does not respond or is slow within a time limit, and must use it again
// within another limit after it recovers. While the server is ejected, only one gateway probes it.
func TestEjectionAndRecoveryAcrossGateways(t *testing.T) {
	cases := []struct {
		name           string
		condition      condition
		eject, recover time.Duration // upper limits of the times until all gateways stop using the server and use it again
	}{
		{"refusing", conditionRefusing, 2 * time.Second, 7 * time.Second},
		{"unresponsive", conditionUnresponsive, 3 * time.Second, 9 * time.Second},
		{"slow", conditionSlow, 6 * time.Second, 9 * time.Second},
	}
	for _, gateways := range []int{7, 90, 300} {
		for _, c := range cases {
			if gateways == 300 && c.condition != conditionRefusing { // docs/measured/judgement.md has the results of the other conditions
				continue
			}
			t.Run(fmt.Sprintf("%s/gateways=%d", c.name, gateways), func(t *testing.T) {
				cluster := newCluster(7, gateways, 3, 6, 8)
				cluster.advance(6 * time.Second)
				server := cluster.servers[11]
				cluster.conditions[server] = c.condition
				eject := cluster.advanceUntil(20*time.Second, func() bool { return cluster.avoiding(server) == gateways })
				before := cluster.faultyCalls[server]
				if c.condition != conditionSlow { // a slow server is used again after an avoidance of four seconds
					cluster.advance(2 * time.Second)
				}
				cluster.advance(2 * time.Second)
				after, probes := cluster.faultyCalls[server]-before, cluster.probes[server]
				cluster.conditions[server] = conditionHealthy
				recovery := cluster.advanceUntil(30*time.Second, func() bool { return cluster.avoiding(server) == 0 })
				t.Logf("out of use after %v, used again after %v; calls to the server: %d until it was out of use, %d in the 2 or 4 s after that, %d probes",
					eject, recovery, before, after, probes)
				if eject > c.eject || recovery > c.recover {
					t.Errorf("out of use after %v, want at most %v; used again after %v, want at most %v", eject, c.eject, recovery, c.recover)
				}
				if c.condition == conditionRefusing && (after > 30 || after > probes+gateways/10) {
					t.Errorf("%d calls to a refusing server after all gateways ejected it, %d probes", after, probes)
				}
			})
		}
	}
}

// Faults of single gateways and faults shared by all replicas of a shard must not lead gateways to avoid or eject servers.
func TestNoFalseEjections(t *testing.T) {
	cases := []struct {
		name          string
		fault         func(c *cluster)
		maxAvoidances int // highest number of pairs of a gateway and a server that it does not use, at any time
	}{
		{"servers pause occasionally", func(c *cluster) { c.pauses = true }, 0},
		{"everything is slow on one gateway", func(c *cluster) { c.gateways[4].slowdown = 30 }, 0},
		{"one gateway reaches no server", func(c *cluster) { c.gateways[4].isolated = true }, 48},
		{"a server is slow for one gateway", func(c *cluster) { c.conditionFor = faultyForGateway(c, 4, conditionSlow) }, 1},
		{"a server does not respond to one gateway", func(c *cluster) { c.conditionFor = faultyForGateway(c, 4, conditionUnresponsive) }, 1},
		{"all replicas of a shard are slow", func(c *cluster) {
			c.conditionFor = func(_ *modelGateway, server Instance) condition {
				return conditionIf(c.shard[server] == "s2", conditionSlow)
			}
		}, 0},
		{"a gateway sends old observations after a freeze", func(c *cluster) {
			g := c.gateways[3]
			g.detector.sequence += 1000
			c.freeze(g, 4*time.Second, c.servers, c.now-200*time.Millisecond)
		}, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(3, 30, 3, 6, 8)
			c.advance(6 * time.Second)
			test.fault(c)
			highest := 0
			for range 10 {
				c.advance(time.Second)
				highest = max(highest, c.avoidances())
			}
			if highest > test.maxAvoidances {
				t.Errorf("%d of %d pairs of gateways and servers are avoided, want at most %d", highest, len(c.gateways)*len(c.servers), test.maxAvoidances)
			}
		})
	}
}

// faultyForGateway makes one server faulty towards one gateway only.
func faultyForGateway(c *cluster, gateway int, faulty condition) func(*modelGateway, Instance) condition {
	return func(g *modelGateway, server Instance) condition {
		return conditionIf(g == c.gateways[gateway] && server == c.servers[9], faulty)
	}
}

// conditionIf returns c if faulty is set, and otherwise conditionHealthy.
func conditionIf(faulty bool, c condition) condition {
	if faulty {
		return c
	}
	return conditionHealthy
}

// At least half of a shard's replicas must stay in use even if none of them responds.
func TestEjectionKeepsHalfOfShard(t *testing.T) {
	c := newCluster(5, 24, 3, 4, 8)
	c.advance(4 * time.Second)
	replicas := c.servers[:8]
	for _, server := range replicas {
		c.conditions[server] = conditionUnresponsive
	}
	for range 12 {
		c.advance(time.Second)
		for _, g := range c.gateways {
			healthy := 0
			for _, server := range replicas {
				if g.detector.Status(server).State == Healthy {
					healthy++
				}
			}
			if healthy < 4 {
				t.Fatalf("%s uses %d of 8 unresponsive replicas, want at least 4", g.name, healthy)
			}
		}
	}
}

// The subtests share one cluster, so each starts with the state left by those before it.
func TestFlappingPartitionsAndRestarts(t *testing.T) {
	c := newCluster(6, 24, 3, 4, 8)
	c.advance(4 * time.Second)
	server := c.servers[5]
	t.Run("a flapping server is probed less often", func(t *testing.T) { checkFlapping(t, c, server) })
	c.conditions[server] = conditionHealthy
	c.advance(12 * time.Second)
	t.Run("gateways agree after a partition", func(t *testing.T) { checkPartition(t, c, c.servers[20]) })
	c.conditions[server] = conditionRefusing
	c.advance(3 * time.Second)
	t.Run("a restarted server starts healthy", func(t *testing.T) { checkRestart(t, c, server) })
}

// checkFlapping checks that the backoff limits the changes of status of a server that fails and recovers every second.
func checkFlapping(t *testing.T, c *cluster, server Instance) {
	t.Helper()
	for i := range 20 {
		c.conditions[server] = []condition{conditionRefusing, conditionHealthy}[i%2]
		c.advance(time.Second)
	}
	if changes := float64(c.changes) / float64(len(c.gateways)); changes > 14 {
		t.Errorf("%.1f changes per gateway for a server that changes 20 times, want at most 14", changes)
	}
}

// checkPartition lets a server refuse connections from one of two partitions, and checks that all gateways use it after the partitions
// are joined.
func checkPartition(t *testing.T, c *cluster, server Instance) {
	t.Helper()
	for i, g := range c.gateways {
		g.partition = i % 2
	}
	c.conditionFor = func(g *modelGateway, called Instance) condition {
		return conditionIf(called == server && g.partition == 1, conditionRefusing)
	}
	c.advance(3 * time.Second)
	for i, g := range c.gateways {
		if avoided := g.detector.Status(server).State != Healthy; avoided != (i%2 == 1) {
			t.Fatalf("gateway %d of partition %d avoids the server: %v, want the opposite", i, i%2, avoided)
		}
	}
	for _, g := range c.gateways {
		g.partition = 0
	}
	c.conditionFor = nil
	const limit = 9 * time.Second
	if took := c.advanceUntil(limit, func() bool { return c.avoiding(server) == 0 }); took >= limit {
		t.Errorf("%d of %d gateways still avoid the server %v after the partition ended", c.avoiding(server), len(c.gateways), took)
	}
}

// checkRestart replaces a refusing server by a new incarnation, which must not inherit the state of the old one.
func checkRestart(t *testing.T, c *cluster, server Instance) {
	t.Helper()
	if avoiding := c.avoiding(server); avoiding != len(c.gateways) {
		t.Errorf("%d of %d gateways avoid the refusing server, want all", avoiding, len(c.gateways))
	}
	const restarted = Instance("s0-5-restarted")
	c.shard[restarted] = c.shard[server]
	delete(c.shard, server)
	for _, g := range c.gateways {
		g.detector.SetServers(c.shard, len(c.gateways)-1)
		if status := g.detector.Status(restarted); status.State != Healthy {
			t.Errorf("%s: the restarted server is %v", g.name, status.State)
		}
		if observations := g.detector.Observations(server); len(observations) > 0 {
			t.Errorf("%s still has %d observations of a removed server", g.name, len(observations))
		}
	}
}

// A pinned state must hold although the observations say otherwise, and end with the pin.
func TestPinOverridesObservations(t *testing.T) {
	c := newCluster(8, 12, 3, 2, 4)
	c.advance(2 * time.Second)
	server, ejected := c.servers[0], Ejected
	for _, g := range c.gateways {
		g.detector.Pin(server, &ejected, c.now)
	}
	c.advance(5 * time.Second)
	if avoiding := c.avoiding(server); avoiding != len(c.gateways) {
		t.Errorf("%d of %d gateways avoid a server that is pinned as ejected, want all", avoiding, len(c.gateways))
	}
	for _, g := range c.gateways {
		g.detector.Pin(server, nil, c.now)
	}
	c.advance(time.Second)
	if avoiding := c.avoiding(server); avoiding != 0 {
		t.Errorf("%d of %d gateways avoid the server after the pin ended, want none", avoiding, len(c.gateways))
	}
}

// Without faults, gateways must send few observations and change no status.
func TestIdleTrafficIsBounded(t *testing.T) {
	const gateways, seconds = 90, 10
	c := newCluster(9, gateways, 3, 6, 8)
	c.pauses = true
	c.advance(4 * time.Second)
	c.observations, c.changes = 0, 0
	c.advance(seconds * time.Second)
	rate := float64(c.observations) / seconds / gateways
	t.Logf("%.3f observations per second and gateway, %d changes of status", rate, c.changes)
	if rate > 0.5 || c.changes > 0 {
		t.Errorf("%.2f observations per second and gateway, want at most 0.5; %d changes of status, want none", rate, c.changes)
	}
}

// runFaults returns the first violation in a run with a refusing server and then faulty gateways, or "" if there is none.
func runFaults(d defect) string {
	c := newCluster(7, 60, 3, 6, 8)
	c.defect = d
	c.advance(5 * time.Second)
	server := c.servers[11]
	c.conditions[server] = conditionRefusing
	const ejectLimit = 900 * time.Millisecond
	if c.advanceUntil(ejectLimit, func() bool { return c.avoiding(server) == len(c.gateways) }) >= ejectLimit {
		return "not all gateways ejected a refusing server in time"
	}
	before := c.probes[server]
	c.advance(4 * time.Second)
	if probes := c.probes[server] - before; probes > 8 {
		return fmt.Sprintf("%d probes of a refusing server in 4 s", probes)
	}
	c.conditions[server] = conditionHealthy
	c.advanceUntil(9*time.Second, func() bool { return c.avoiding(server) < len(c.gateways) })
	const recoverLimit = 2 * time.Second
	if c.advanceUntil(recoverLimit, func() bool { return c.avoiding(server) == 0 }) >= recoverLimit {
		return "not all gateways used a recovered server within the limit after the first gateway"
	}
	return c.runFaultyGateways()
}

// runFaultyGateways returns a violation if a slow, three isolated and a frozen gateway lead others to avoid healthy servers.
func (c *cluster) runFaultyGateways() string {
	c.gateways[4].slowdown = 30
	for _, g := range c.gateways[5:8] {
		g.isolated = true
	}
	c.freeze(c.gateways[8], 4*time.Second, c.servers[:8], c.now)
	for range 6 {
		c.advance(time.Second)
		if pairs := c.avoidances(); pairs > 4*len(c.servers) {
			return fmt.Sprintf("with one slow, three isolated and one frozen gateway, %d pairs of gateways and healthy servers are avoided", pairs)
		}
	}
	return ""
}

// The checks on the model must detect each injected defect, and report nothing without one.
func TestModelDetectsDefects(t *testing.T) {
	t.Run("no defect", func(t *testing.T) {
		if violation := runFaults(noDefect); violation != "" {
			t.Error(violation)
		}
	})
	for name, d := range map[string]defect{
		"ages ignored":               agesIgnored,
		"recovery not forwarded":     recoveryNotForwarded,
		"all gateways probe":         allGatewaysProbe,
		"impairment ignored":         impairmentIgnored,
		"a single observer suffices": singleObserverSuffices,
		"forwarding disabled":        forwardingDisabled,
	} {
		t.Run(name, func(t *testing.T) {
			violation := runFaults(d)
			if violation == "" {
				t.Error("no check detected the defect")
			}
			t.Log(violation)
		})
	}
}
