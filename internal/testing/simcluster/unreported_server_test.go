package simcluster

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// unreportedTest is one run of TestUnreportedServersStayInService.
type unreportedTest struct {
	cluster    *Cluster
	unreported []*Server // servers whose heartbeats reach no controller
}

// TestUnreportedServersStayInService partitions servers from all controllers while gateways reach them. They must stay in service:
// one gateway at a time holds the lease to check the health of each server and reports it. Other gateways must take over when
// that gateway loses power. Servers whose heartbeats arrive must not be checked.
func TestUnreportedServersStayInService(t *testing.T) {
	const requests = 30
	runCluster(t, 71, 3, 6, func(t *testing.T, cluster *Cluster) {
		commitFirstVersion(t, cluster)
		time.Sleep(4 * time.Second)
		test := &unreportedTest{cluster: cluster, unreported: serversOf(cluster, singleService)}
		test.partition()
		time.Sleep(9 * time.Second) // until heartbeats are missing, a lease is granted and a health check is done
		test.expectServed(t, "at first", requests, requests)
		test.expectOneChecker(t, 20*time.Second)
		test.expectServed(t, "later", requests, requests)

		for _, gateway := range cluster.Gateways[:2] { // including any leases that they hold
			gateway.Kill(true)
		}
		cluster.Gateways = cluster.Gateways[2:]
		for range 12 {
			time.Sleep(time.Second)
			test.expectServed(t, "while leases change their holders", requests, requests)
		}
		test.unreported[0].Crash(false)
		time.Sleep(12 * time.Second)
		test.expectServed(t, "with one server crashed", requests, requests-2)
		for _, server := range cluster.Servers {
			if checks := server.healthCheckCount(); server.Service != singleService && checks > 0 {
				t.Errorf("server %s of %s sends heartbeats and was checked %d times", server.Instance, server.Service, checks)
			}
		}
	})
}

// partition partitions the unreported servers from all controllers.
func (u *unreportedTest) partition() {
	for _, server := range u.unreported {
		for _, controller := range u.cluster.Controllers {
			setPartitioned(u.cluster, server.IP, controller.IP, true)
		}
	}
}

// expectServed sends requests to the unreported servers and checks that at least a number of them are served.
func (u *unreportedTest) expectServed(t *testing.T, when string, requests, minimum int) {
	t.Helper()
	served := 0
	for i := range requests {
		gateway := u.cluster.Gateways[i%len(u.cluster.Gateways)]
		if sendSingle(u.cluster, gateway, fmt.Sprint(when, i)).Status == http.StatusOK {
			served++
		}
	}
	if served < minimum {
		t.Errorf("%s %d of %d requests to unreported servers are served, want at least %d", when, served, requests, minimum)
	}
}

// expectOneChecker checks that the number of health checks during a time is that of one checking gateway per server.
func (u *unreportedTest) expectOneChecker(t *testing.T, duration time.Duration) {
	t.Helper()
	seconds := int(duration / time.Second)
	minimum, maximum := len(u.unreported)*seconds/2, len(u.unreported)*(seconds+2)
	before := u.healthChecks()
	time.Sleep(duration)
	if checks := u.healthChecks() - before; checks < minimum || checks > maximum {
		t.Errorf("%d health checks of %d servers in %v, want %d to %d", checks, len(u.unreported), duration, minimum, maximum)
	}
}

func (u *unreportedTest) healthChecks() (count int) {
	for _, server := range u.unreported {
		count += server.healthCheckCount()
	}
	return count
}
