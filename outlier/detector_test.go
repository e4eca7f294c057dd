package outlier

import (
	"fmt"
	"testing"
	"time"
)

// A server that dies, hangs or becomes slow is left by all gateways within a stated time, and used by all within another after it recovers;
// while it is ejected, one gateway probes it.
func TestEjectionAndRecoveryAcrossGateways(t *testing.T) {
	cases := []struct {
		name           string
		condition      condition
		eject, recover time.Duration // the longest that they may take
	}{
		{"dead", conditionDead, 2 * time.Second, 7 * time.Second},
		{"mute", conditionMute, 3 * time.Second, 9 * time.Second},
		{"slow", conditionSlow, 6 * time.Second, 9 * time.Second},
	}
	for _, gateways := range []int{7, 90, 300} {
		for _, c := range cases {
			if gateways == 300 && c.condition != conditionDead { // measured in docs/measured/judgement.md
				continue
			}
			t.Run(fmt.Sprintf("%s/gateways=%d", c.name, gateways), func(t *testing.T) {
				cluster := newCluster(7, gateways, 3, 6, 8)
				cluster.advance(6 * time.Second)
				server := cluster.servers[11]
				cluster.conditions[server] = c.condition
				eject := cluster.advanceUntil(20*time.Second, func() bool { return cluster.avoiding(server) == gateways })
				before := cluster.faultyCalls[server]
				if c.condition != conditionSlow { // a slow server is avoided for four seconds and then used
					cluster.advance(2 * time.Second)
				}
				cluster.advance(2 * time.Second)
				after, probes := cluster.faultyCalls[server]-before, cluster.probes[server]
				cluster.conditions[server] = conditionFine
				recovery := cluster.advanceUntil(30*time.Second, func() bool { return cluster.avoiding(server) == 0 })
				t.Logf("left after %v, used after %v; calls to it: %d until it was left, %d in the 2 or 4 s after, %d probes",
					eject, recovery, before, after, probes)
				if eject > c.eject || recovery > c.recover {
					t.Errorf("left after %v, want %v; used after %v, want %v", eject, c.eject, recovery, c.recover)
				}
				if c.condition == conditionDead && (after > 30 || after > probes+gateways/10) {
					t.Errorf("%d calls to a dead server after all gateways left it, %d probes", after, probes)
				}
			})
		}
	}
}

// Faults of single gateways, and faults that all replicas share, must not eject servers.
func TestNoFalseEjections(t *testing.T) {
	cases := []struct {
		name  string
		fault func(c *cluster)
		most  int // pairs of gateways and servers that may be avoided at any time
	}{
		{"servers pause now and then", func(c *cluster) { c.pauses = true }, 0},
		{"everything is slow on one gateway", func(c *cluster) { c.gateways[4].slowdown = 30 }, 0},
		{"one gateway reaches no server", func(c *cluster) { c.gateways[4].isolated = true }, 48},
		{"a server is slow for one gateway", func(c *cluster) { c.conditionFor = onlyFor(c, 4, conditionSlow) }, 1},
		{"a server is mute for one gateway", func(c *cluster) { c.conditionFor = onlyFor(c, 4, conditionMute) }, 1},
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
			most := 0
			for range 10 {
				c.advance(time.Second)
				most = max(most, c.avoidances())
			}
			if most > test.most {
				t.Errorf("%d of %d pairs of gateways and servers are avoided, want %d at most", most, len(c.gateways)*len(c.servers), test.most)
			}
		})
	}
}

func onlyFor(c *cluster, gateway int, faulty condition) func(*modelGateway, Instance) condition {
	return func(g *modelGateway, server Instance) condition {
		return conditionIf(g == c.gateways[gateway] && server == c.servers[9], faulty)
	}
}

func conditionIf(faulty bool, c condition) condition {
	if faulty {
		return c
	}
	return conditionFine
}

// Half of a shard's replicas stay in use although all are mute.
func TestEjectionKeepsHalfOfShard(t *testing.T) {
	c := newCluster(5, 24, 3, 4, 8)
	c.advance(4 * time.Second)
	replicas := c.servers[:8]
	for _, server := range replicas {
		c.conditions[server] = conditionMute
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
				t.Fatalf("%s uses %d of 8 mute replicas, want 4 at least", g.name, healthy)
			}
		}
	}
}

// The parts run on one cluster, so that each begins with the history of those before it.
func TestFlappingPartitionsAndRestarts(t *testing.T) {
	c := newCluster(6, 24, 3, 4, 8)
	c.advance(4 * time.Second)
	server := c.servers[5]
	t.Run("a flapping server is probed less often", func(t *testing.T) { checkFlapping(t, c, server) })
	c.conditions[server] = conditionFine
	c.advance(12 * time.Second)
	t.Run("gateways agree after a partition", func(t *testing.T) { checkPartition(t, c, c.servers[20]) })
	c.conditions[server] = conditionDead
	c.advance(3 * time.Second)
	t.Run("a restarted server starts healthy", func(t *testing.T) { checkRestart(t, c, server) })
}

func checkFlapping(t *testing.T, c *cluster, server Instance) {
	t.Helper()
	for i := range 20 {
		c.conditions[server] = []condition{conditionDead, conditionFine}[i%2]
		c.advance(time.Second)
	}
	if changes := float64(c.changes) / float64(len(c.gateways)); changes > 14 {
		t.Errorf("%.1f changes per gateway for a server that changes 20 times, want 14 at most", changes)
	}
}

// checkPartition has gateways in two partitions observe different things, and then joins them.
func checkPartition(t *testing.T, c *cluster, server Instance) {
	t.Helper()
	for i, g := range c.gateways {
		g.partition = i % 2
	}
	c.conditionFor = func(g *modelGateway, called Instance) condition {
		return conditionIf(called == server && g.partition == 1, conditionDead)
	}
	c.advance(3 * time.Second)
	for i, g := range c.gateways {
		if avoided := g.detector.Status(server).State != Healthy; avoided != (i%2 == 1) {
			t.Fatalf("gateway %d of partition %d avoids the server: %v", i, i%2, avoided)
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

// checkRestart replaces a dead server by a new incarnation.
func checkRestart(t *testing.T, c *cluster, server Instance) {
	t.Helper()
	if avoiding := c.avoiding(server); avoiding != len(c.gateways) {
		t.Errorf("%d of %d gateways avoid the dead server", avoiding, len(c.gateways))
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
			t.Errorf("%s keeps %d observations of a removed server", g.name, len(observations))
		}
	}
}

func TestPinOverridesObservations(t *testing.T) {
	c := newCluster(8, 12, 3, 2, 4)
	c.advance(2 * time.Second)
	server, ejected := c.servers[0], Ejected
	for _, g := range c.gateways {
		g.detector.Pin(server, &ejected, c.now)
	}
	c.advance(5 * time.Second)
	if avoiding := c.avoiding(server); avoiding != len(c.gateways) {
		t.Errorf("%d of %d gateways avoid a server that is pinned as ejected", avoiding, len(c.gateways))
	}
	for _, g := range c.gateways {
		g.detector.Pin(server, nil, c.now)
	}
	c.advance(time.Second)
	if avoiding := c.avoiding(server); avoiding != 0 {
		t.Errorf("%d of %d gateways avoid the server after the pin ended", avoiding, len(c.gateways))
	}
}

// Without faults gateways send few observations and change no status.
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
		t.Errorf("%.2f observations per second and gateway, want 0.5 at most; %d changes of status, want none", rate, c.changes)
	}
}

// runFaults returns the first violation in a run with a dead server and faulty gateways, or "".
func runFaults(d defect) string {
	c := newCluster(7, 60, 3, 6, 8)
	c.defect = d
	c.advance(5 * time.Second)
	server := c.servers[11]
	c.conditions[server] = conditionDead
	const ejectLimit = 900 * time.Millisecond
	if c.advanceUntil(ejectLimit, func() bool { return c.avoiding(server) == len(c.gateways) }) >= ejectLimit {
		return "not all gateways left a dead server in time"
	}
	before := c.probes[server]
	c.advance(4 * time.Second)
	if probes := c.probes[server] - before; probes > 8 {
		return fmt.Sprintf("%d probes of a dead server in 4 s", probes)
	}
	c.conditions[server] = conditionFine
	c.advanceUntil(9*time.Second, func() bool { return c.avoiding(server) < len(c.gateways) })
	const recoverLimit = 2 * time.Second
	if c.advanceUntil(recoverLimit, func() bool { return c.avoiding(server) == 0 }) >= recoverLimit {
		return "not all gateways used a recovered server soon after the first"
	}
	return c.runFaultyGateways()
}

func (c *cluster) runFaultyGateways() string {
	c.gateways[4].slowdown = 30
	for _, g := range c.gateways[5:8] {
		g.isolated = true
	}
	c.freeze(c.gateways[8], 4*time.Second, c.servers[:8], c.now)
	for range 6 {
		c.advance(time.Second)
		if pairs := c.avoidances(); pairs > 4*len(c.servers) {
			return fmt.Sprintf("with a slow gateway, three isolated and a frozen one %d pairs of gateways and healthy servers are avoided", pairs)
		}
	}
	return ""
}

func TestModelDetectsDefects(t *testing.T) {
	t.Run("no defect", func(t *testing.T) {
		if violation := runFaults(noDefect); violation != "" {
			t.Error(violation)
		}
	})
	for name, d := range map[string]defect{
		"ages ignored":               agesIgnored,
		"recovery not sent":          recoveryNotSent,
		"every gateway probes":       everyoneProbes,
		"impairment ignored":         impairmentIgnored,
		"a single observer suffices": singleObserverSuffices,
		"nothing sent":               nothingSent,
	} {
		t.Run(name, func(t *testing.T) {
			violation := runFaults(d)
			if violation == "" {
				t.Error("no check detected it")
			}
			t.Log(violation)
		})
	}
}
