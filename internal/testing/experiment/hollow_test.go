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

// runHollowCluster is three control machines on a simulated network, with hollow servers and gatherers round them.
func runHollowCluster(t *testing.T, servers, gatherers int, play func(c *simcluster.Cluster, f *hollowFleet)) {
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
		var control, inner []string
		for _, m := range c.Controllers {
			control, inner = append(control, m.ControlAddress()), append(inner, net.JoinHostPort(m.IP, "7100"))
		}
		f := newHollowFleet(context.Background(), c.Network.Host("10.0.9.5"), control, inner, c.HeartbeatInterval)
		defer f.close()
		for c.ReplaceConfiguration(c.Controllers[0], 0, hollowConfig(1, 5)) != http.StatusOK {
			time.Sleep(100 * time.Millisecond)
		}
		f.addServers(servers, 5)
		time.Sleep(3 * c.HeartbeatInterval)
		f.addGateways(gatherers, time.Second)
		time.Sleep(3 * c.HeartbeatInterval)
		play(c, f)
	})
}

// Hollow servers are heard and hollow gatherers are told: all servers, each change, each draining, each silence.
func TestHollowNodesReceiveAllUpdates(t *testing.T) {
	const servers, gatherers = 12, 7
	runHollowCluster(t, servers, gatherers, func(c *simcluster.Cluster, f *hollowFleet) {
		if n := f.serverListLength.Load(); n != servers {
			t.Errorf("the longest list holds %d servers of %d", n, servers)
		}
		if f.gatewayListBytes.Load() == 0 {
			t.Error("no list of all gatherers came")
		}
		if f.unacknowledged.Load() > 0 || f.pollsTimedOut.Load() > 0 {
			t.Errorf("%d heartbeats were not acknowledged and %d questions given up on a calm system", f.unacknowledged.Load(), f.pollsTimedOut.Load())
		}
		m := &hollowResult{}
		m.measurePropagation(f, func(version uint64) bool {
			return c.ReplaceConfiguration(c.Controllers[version%3], version-1, hollowConfig(version, 5)) == http.StatusOK
		})
		for what, r := range map[string]propagation{"change": m.configChange, "draining": m.drain, "silence": m.unresponsive} {
			if r.missing > 0 || r.failed > 0 {
				t.Errorf("%s: %s", what, r)
			}
		}
		if m.configChange.all > 100 || m.drain.all > 100 {
			t.Errorf("a change takes %v ms and a draining %v ms on a simulated network", m.configChange.all, m.drain.all)
		}
		beat := float64(c.HeartbeatInterval / time.Millisecond)
		if m.unresponsive.all < 3*beat || m.unresponsive.all > 5*beat {
			t.Errorf("a silence is everywhere after %v ms", m.unresponsive.all)
		}
		if m.configIn < float64(len(hollowConfig(2, 5))) || m.drainIn < 30 {
			t.Errorf("a gatherer is sent %v bytes for a change and %v for a draining", m.configIn, m.drainIn)
		}
	})
}

// A control machine that dies costs no hollow node its work.
func TestHollowNodesFailOver(t *testing.T) {
	runHollowCluster(t, 9, 6, func(c *simcluster.Cluster, f *hollowFleet) {
		c.Controllers[0].Kill(true)
		time.Sleep(5 * time.Second)
		a := f.expectUpdate(func(n *rpc.Update) bool { return n.Version >= 2 })
		if got := c.ReplaceConfiguration(c.Controllers[1], 1, hollowConfig(2, 5)); got != http.StatusOK {
			t.Fatalf("the change is answered %d", got)
		}
		at := time.Now()
		f.waitForUpdate(a, 5*time.Second)
		if took, missing := a.since(at); missing > 0 {
			t.Errorf("the change came to %d gatherers of %d", len(took), len(f.gateways))
		}
		for _, s := range f.servers {
			s.lock.Lock()
			if old := time.Since(s.acknowledgedAt); old > 2*c.HeartbeatInterval {
				t.Errorf("server %s was last acknowledged %v ago", s.id, old)
			}
			s.lock.Unlock()
		}
	})
}

func TestParseSizes(t *testing.T) {
	got, err := parseSizes("3/300/30/50,5/1000/100/10")
	if err != nil || len(got) != 2 || got[1] != (hollowSize{5, 1000, 100, 10}) {
		t.Errorf("%v, %v", got, err)
	}
	if _, err := parseSizes("3/300"); err == nil {
		t.Error("a size that is cut short is read")
	}
}
