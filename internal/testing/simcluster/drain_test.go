package simcluster

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"oxbowspan/config"
)

// drainingServer is the index of the server that the tests drain, one of the single service.
const drainingServer = 15

// TestDrainSurvivesControllerCrash kills a controller immediately after it has acknowledged a drain. The drain must still reach
// every gateway. A controller whose messages do not reach the others must not acknowledge a drain.
func TestDrainSurvivesControllerCrash(t *testing.T) {
	runCluster(t, 20, 3, 3, func(t *testing.T, cluster *Cluster) {
		commitFirstVersion(t, cluster)
		time.Sleep(3 * time.Second)
		draining := cluster.Servers[drainingServer]
		client := cluster.httpClient("10.0.9.7", controlCallTimeout)
		defer client.CloseIdleConnections()
		drainAt := func(controller *ControllerNode) (status int) {
			body := draining.heartbeat(config.StateDraining, 1<<20)
			return post(context.Background(), client, controller.ControlAddress(), heartbeatPath(draining.Instance), body, nil)
		}

		setIsolated(cluster, cluster.Controllers[0], true, false)
		if drainAt(cluster.Controllers[0]) == http.StatusOK {
			t.Fatal("a controller whose messages reach no other acknowledged a drain")
		}
		cluster.Network.Heal()
		time.Sleep(3 * time.Second)
		requireStatus(t, drainAt(cluster.Controllers[1]), http.StatusOK, "drain")
		cluster.Controllers[1].Kill(true)
		time.Sleep(2 * time.Second)
		for i := range 60 {
			requestID := fmt.Sprintf("d%d", i)
			response := sendSingle(cluster, cluster.Gateways[i%3], requestID)
			servedBy := response.Header.Get(serverSealHeader)
			if response.Status == http.StatusOK && servedBy == seal(draining.Instance, draining.Service, requestID) {
				t.Fatalf("request %s reached a server two seconds after its drain was acknowledged", requestID)
			}
		}
	})
}

// TestDrainingServerReceivesNoRequests drains a server that continues to serve and to send heartbeats. It must receive no
// request later than drainLimit after the acknowledgement: no gateway may use it again, not even after a delayed heartbeat
// from before the drain or after its sign-off.
func TestDrainingServerReceivesNoRequests(t *testing.T) {
	runCluster(t, 72, 3, 3, func(t *testing.T, cluster *Cluster) {
		commitFirstVersion(t, cluster)
		time.Sleep(3 * time.Second)
		draining := cluster.Servers[drainingServer]
		instance := draining.Instance
		acknowledgedAt := draining.Drain()
		if acknowledgedAt.IsZero() {
			t.Fatal("a drain is not acknowledged, though there are no faults")
		}
		late := countLateRequests(draining, acknowledgedAt.Add(drainLimit))
		for i := range 60 {
			response := sendSingle(cluster, cluster.Gateways[i%3], fmt.Sprintf("l%d", i))
			expectStatus(t, response.Status, http.StatusOK, "request %d while a server is draining", i)
			time.Sleep(200 * time.Millisecond)
			switch i {
			case 30: // a heartbeat from before the drain that arrives late
				delayed := draining.heartbeat(stateReady, 2)
				timedPost(cluster, cluster.Controllers[1].ControlAddress(), heartbeatPath(instance), delayed)
			case 40:
				reply := timedPost(cluster, cluster.Controllers[2].ControlAddress(), signOffPath(instance), nil)
				expectStatus(t, reply.status, http.StatusOK, "sign-off")
			}
		}
		if count := late(); count > 0 {
			t.Errorf("%d requests reached a server later than %v after its drain was acknowledged", count, drainLimit)
		}
	})
}

// countLateRequests starts to count the requests that reach a server after a deadline. The returned function returns the count.
func countLateRequests(server *Server, deadline time.Time) (count func() int) {
	late := 0
	server.SetOnRequest(func(arrival time.Time) {
		if arrival.After(deadline) {
			late++
		}
	})
	return func() int {
		server.mu.Lock() // the function of SetOnRequest is called with this lock held
		defer server.mu.Unlock()
		return late
	}
}
