package simcluster

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"oxbowspan/config"
	"oxbowspan/controlapi"
)

// stateEjected is the state of an ejected server on the wire.
const stateEjected = "out"

// outlierTest is one run of TestHungServerIsEjected.
type outlierTest struct {
	cluster  *Cluster
	server   *Server
	arrivals atomic.Int64 // requests that reached the server
	requests requestCounter
}

// TestHungServerIsEjected hangs one of three servers under load. All gateways must eject it while one probes it, and all must use
// it again once it responds. Then an operator pins it as ejected: no gateway may use it until the pin expires.
func TestHungServerIsEjected(t *testing.T) {
	const (
		gateways    = 12
		detection   = 2500 * time.Millisecond // from the fault until the server is ejected
		maxRecovery = 9 * time.Second         // from the end of the fault until the server is used again
		pinTime     = 4 * time.Second
	)
	runCluster(t, 41, 3, gateways, func(t *testing.T, cluster *Cluster) {
		commitFirstVersion(t, cluster)
		servers := serversOf(cluster, singleService)
		test := &outlierTest{cluster: cluster, server: servers[len(servers)-1]}
		test.server.SetOnRequest(func(time.Time) { test.arrivals.Add(1) })
		stopLoad := test.startLoad()
		time.Sleep(8 * time.Second)

		test.server.SetHung(true)
		time.Sleep(detection)
		whileEjected := test.arrivalsDuring(4 * time.Second)
		test.server.SetHung(false)
		recovery := test.awaitTraffic(12 * time.Second)
		time.Sleep(3 * time.Second)

		test.pinEjected(t, pinTime)
		pinnedAt := time.Now()
		time.Sleep(time.Second)
		whilePinned := test.arrivalsDuring(1500 * time.Millisecond)
		reportedEarly := test.pinReports(t)
		reported := test.awaitPinReports(t, gateways, time.Until(pinnedAt.Add(pinTime)))
		time.Sleep(time.Until(pinnedAt.Add(pinTime + 2500*time.Millisecond)))
		afterExpiry := test.arrivalsDuring(time.Second)
		stopLoad()

		t.Logf("hung: %d requests in 4 s, used again after %v; pinned: %d requests in 1.5 s, reported by %d gateways; expired: %d requests in 1 s; %v served",
			whileEjected, recovery, whilePinned, reported, afterExpiry, &test.requests)
		if whileEjected > 24 {
			t.Errorf("%d requests reach a hung server in 4 s, want at most 24", whileEjected)
		}
		if recovery > maxRecovery {
			t.Errorf("the server is used again %v after its recovery, want at most %v", recovery, maxRecovery)
		}
		if whilePinned > 0 {
			t.Errorf("%d requests reach a server that is pinned as ejected", whilePinned)
		}
		if reportedEarly < gateways-2 {
			t.Errorf("%d of %d gateways report the pin after 2.5 s, want at least %d", reportedEarly, gateways, gateways-2)
		}
		if reported < gateways {
			t.Errorf("%d of %d gateways report the pin", reported, gateways)
		}
		if afterExpiry < 15 {
			t.Errorf("%d requests reach the server in the second after the pin expired, want at least 15", afterExpiry)
		}
		test.requests.expectServed(t, 99, "requests")
	})
}

// startLoad sends about 100 requests per second until the returned function is called, which waits for the responses.
func (o *outlierTest) startLoad() (stop func()) {
	done := make(chan struct{})
	var pending sync.WaitGroup
	pending.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
			}
			pending.Go(func() {
				gateway := o.cluster.Gateways[n%len(o.cluster.Gateways)]
				response := o.cluster.SendRequest(gateway, http.MethodGet, exampleHost, "/one/x", fmt.Sprint("j", n), 2*time.Second)
				o.requests.record(response.Status == http.StatusOK)
			})
		}
	})
	return func() {
		close(done)
		pending.Wait()
	}
}

// arrivalsDuring returns the number of requests that reach the server during a time.
func (o *outlierTest) arrivalsDuring(duration time.Duration) int64 {
	before := o.arrivals.Load()
	time.Sleep(duration)
	return o.arrivals.Load() - before
}

// awaitTraffic waits until the server receives more than 8 requests in half a second, about half of its share of 17, and returns
// how long that took.
func (o *outlierTest) awaitTraffic(within time.Duration) time.Duration {
	start := time.Now()
	for time.Since(start) < within {
		if o.arrivalsDuring(500*time.Millisecond) > 8 {
			break
		}
	}
	return time.Since(start)
}

// pinEjected pins the server as ejected for a time, as an operator does.
func (o *outlierTest) pinEjected(t *testing.T, duration time.Duration) {
	t.Helper()
	document := fmt.Sprintf(`{"pins":[{"instance":%q,"stance":%q,"for_s":%v,"why":"a test"}]}`, o.server.Instance, stateEjected, duration.Seconds())
	status := o.cluster.ReplaceDocument(o.cluster.Controllers[0], config.PinsDocumentName, 0, []byte(document))
	expectStatus(t, status, http.StatusOK, "pins")
}

// awaitPinReports waits until the wanted number of gateways report the pin to controllers, and returns how many do.
func (o *outlierTest) awaitPinReports(t *testing.T, want int, within time.Duration) (reported int) {
	t.Helper()
	eventually(within, 100*time.Millisecond, func() bool {
		reported = o.pinReports(t)
		return reported >= want
	})
	return reported
}

// pinReports counts the gateways whose last report has the server pinned as ejected.
func (o *outlierTest) pinReports(t *testing.T) (count int) {
	t.Helper()
	for _, controller := range o.cluster.Controllers {
		var gateways []controlapi.GatewayOutliers
		readJSON(t, o.cluster, controller, "/-/judgement/explain", &gateways)
		for _, gateway := range gateways {
			if o.isPinned(gateway.Servers) {
				count++
			}
		}
	}
	return count
}

func (o *outlierTest) isPinned(verdicts []controlapi.OutlierVerdict) bool {
	for _, verdict := range verdicts {
		if verdict.Instance == o.server.Instance && verdict.Pinned && verdict.State == stateEjected {
			return true
		}
	}
	return false
}
