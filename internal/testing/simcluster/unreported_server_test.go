package simcluster

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// Servers whose calls do not reach the core, while they serve as before, stay in service: one gatherer looks after each and
// tells the core. It is one gatherer, and another after it has died; what is heard is not probed.
func TestUnreportedServersStayInService(t *testing.T) {
	runCluster(t, 71, 3, 6, func(cluster *Cluster) {
		commitFirstVersion(t, cluster)
		time.Sleep(4 * time.Second)
		var unreported []*Server
		for _, s := range cluster.Servers {
			if s.Service != "one" {
				continue
			}
			unreported = append(unreported, s)
			for _, controller := range cluster.Controllers {
				cluster.Network.SetPartitioned(s.IP, controller.IP, true)
				cluster.Network.SetPartitioned(controller.IP, s.IP, true)
			}
		}
		serve := func(when string, least int) {
			t.Helper()
			served := 0
			for i := range 30 {
				if response := cluster.SendRequest(cluster.Gateways[i%len(cluster.Gateways)], "GET", "h.example", "/one/x", fmt.Sprint(when, i), time.Second); response.Status == http.StatusOK {
					served++
				}
			}
			if served < least {
				t.Errorf("%s %d of 30 requests to servers that the core does not hear are served", when, served)
			}
		}
		time.Sleep(9 * time.Second) // unheard, a lease, a probe
		serve("at first", 30)
		probes := func(of ...*Server) (n int) {
			for _, s := range of {
				s.mu.Lock()
				n += s.HealthChecks
				s.mu.Unlock()
			}
			return n
		}
		probed := probes(unreported...)
		time.Sleep(20 * time.Second)
		serve("later", 30)
		if n := probes(unreported...) - probed; n < 3*10 || n > 3*22 {
			t.Errorf("%d probes of 3 servers in 20 s: not those of one holder each", n)
		}
		cluster.Gateways[0].Kill(true) // whoever holds what: two of six die
		cluster.Gateways[1].Kill(true)
		cluster.Gateways = cluster.Gateways[2:]
		for range 12 {
			time.Sleep(time.Second)
			serve("while duties change hands", 30)
		}
		unreported[0].Crash(false)
		time.Sleep(12 * time.Second)
		serve("with one crashed", 28)
		for _, s := range cluster.Servers {
			if s.Service != "one" && probes(s) > 0 {
				t.Errorf("%s of %s is heard and was probed %d times", s.Instance, s.Service, probes(s))
			}
		}
	})
}
