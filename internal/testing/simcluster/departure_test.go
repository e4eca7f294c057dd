package simcluster

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"oxbowspan/internal/settings"
	"oxbowspan/registry"
	"oxbowspan/rpc"
)

// departureCase is one way in which processes are lost after a server's departure was acknowledged.
type departureCase struct {
	signOff   bool          // the server signs off without having said that it drains
	powerLoss bool          // of the machines whose processes are lost
	gateways  bool          // the gateways are lost too
	delay     time.Duration // between the acknowledgement and the loss
}

func (c departureCase) String() string {
	return fmt.Sprintf("sign-off %t, power loss %t, gateways %t, after %v", c.signOff, c.powerLoss, c.gateways, c.delay)
}

// TestDepartureSurvivesLossOfAllControllers guards against the loss of an acknowledged draining or sign-off when all controllers are
// lost at once and come back: the server serves on, but its heartbeats do not come any more, and must get no request.
func TestDepartureSurvivesLossOfAllControllers(t *testing.T) {
	seed := uint64(500)
	for _, signOff := range []bool{true, false} {
		for _, powerLoss := range []bool{false, true} {
			for _, gateways := range []bool{false, true} {
				for _, delay := range []time.Duration{0, 400 * time.Millisecond, 1700 * time.Millisecond} {
					seed++
					test := departureCase{signOff, powerLoss, gateways, delay}
					t.Run(test.String(), func(t *testing.T) {
						runCluster(t, seed, 3, 3, func(t *testing.T, cluster *Cluster) { test.run(t, cluster) })
					})
				}
			}
		}
	}
}

func (c departureCase) run(t *testing.T, cluster *Cluster) {
	const away = 500 * time.Millisecond // of the processes that are lost
	commitFirstVersion(t, cluster)
	time.Sleep(3 * time.Second)
	leaving := cluster.Servers[drainingServer]
	late := countLateRequests(leaving, leave(t, cluster, leaving, c.signOff).Add(drainLimit))
	time.Sleep(c.delay)
	killAll(c.powerLoss, cluster.Controllers...)
	if c.gateways {
		for _, gateway := range cluster.Gateways {
			gateway.Kill(c.powerLoss)
		}
	}
	time.Sleep(away)
	startAll(t, cluster.Controllers...)
	if c.gateways {
		for _, gateway := range cluster.Gateways {
			gateway.Start()
		}
	}
	var requests requestCounter
	sendSingleLoad(cluster, &requests, 8*time.Second)
	if count := late(); count > 0 {
		t.Errorf("%d requests reached a server later than %v after its departure was acknowledged", count, drainLimit)
	}
	requests.expectServed(t, 50, "requests")
}

// leave announces that a server drains, or signs it off, as its last call. The server serves on. It returns the time of the
// acknowledgement.
func leave(t *testing.T, cluster *Cluster, server *Server, signOff bool) time.Time {
	t.Helper()
	server.stopHeartbeats()
	if !signOff {
		at := server.Drain()
		if at.IsZero() {
			t.Fatal("a draining is not acknowledged, though there are no faults")
		}
		return at
	}
	reply := timedPost(cluster, cluster.Controllers[1].ControlAddress(), signOffPath(server.Instance), nil)
	requireStatus(t, reply.status, http.StatusOK, "sign-off")
	return time.Now()
}

// TestRestartedControllerLearnsItsOwnReports guards against a controller that has lost its disk and is not told by the others what it had
// told them: it would list a server that signed off with it as ready again when a late heartbeat of that server arrives.
func TestRestartedControllerLearnsItsOwnReports(t *testing.T) {
	runCluster(t, 530, 3, 1, func(t *testing.T, cluster *Cluster) {
		commitFirstVersion(t, cluster)
		time.Sleep(3 * time.Second)
		restarted, leaving := cluster.Controllers[1], cluster.Servers[drainingServer]
		leave(t, cluster, leaving, true) // with that controller
		restarted.Kill(false)
		restarted.WipeDisk()
		requireNoError(t, restarted.Start())
		time.Sleep(300 * time.Millisecond)
		timedPost(cluster, restarted.ControlAddress(), heartbeatPath(leaving.Instance), leaving.heartbeat(stateReady, 1<<20))
		if report := reportOf(t, cluster, restarted, leaving.Instance); report != nil && report.State == uint32(registry.Ready) {
			t.Error("a restarted controller reports a server as ready that had signed off with it")
		}
	})
}

// reportOf returns a controller's report of a server in its answer to a gateway's first poll; nil if it reports none.
func reportOf(t *testing.T, cluster *Cluster, controller *ControllerNode, instance string) *rpc.ServerReport {
	t.Helper()
	client := &rpc.Client{Address: controller.settings().InternalAddress(settings.ControllerPort), Network: cluster.Network.Host("10.0.9.5")}
	defer client.Close()
	for range 200 {
		ctx, cancel := context.WithTimeout(context.Background(), controlCallTimeout)
		reply, err := client.Call(ctx, &rpc.Frame{Body: &rpc.Frame_Poll{Poll: &rpc.Poll{}}})
		cancel()
		if err == nil && reply.GetUpdate().HasQuorum {
			for _, report := range reply.GetUpdate().Reports {
				if report.Instance == instance {
					return report
				}
			}
			return nil
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("a controller does not come into contact with a majority")
	return nil
}

// TestRestartedControllerReportsDeparturesMeanwhile guards against a controller that starts with an old disk and gives gateways its list of
// servers as current before it has the other controllers' reports.
func TestRestartedControllerReportsDeparturesMeanwhile(t *testing.T) {
	for _, delay := range []time.Duration{0, 100 * time.Millisecond, 250 * time.Millisecond, 390 * time.Millisecond} {
		t.Run(fmt.Sprint("after ", delay), func(t *testing.T) {
			runCluster(t, 540, 3, 1, func(t *testing.T, cluster *Cluster) {
				commitFirstVersion(t, cluster)
				time.Sleep(3 * time.Second)
				restarted, leaving := cluster.Controllers[0], cluster.Servers[drainingServer]
				restarted.Kill(false)
				leave(t, cluster, leaving, true)
				time.Sleep(delay)
				requireNoError(t, restarted.Start())
				report := reportOf(t, cluster, restarted, leaving.Instance)
				if report == nil || report.State != uint32(registry.Deregistered) {
					t.Errorf("first report of a server that signed off meanwhile: %v", report)
				}
			})
		})
	}
}
