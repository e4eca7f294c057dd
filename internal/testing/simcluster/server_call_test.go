package simcluster

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"oxbowspan/config"
)

// What servers allow an acknowledgement to take, and how much of it they read.
const (
	acknowledgementTimeout  = time.Second
	maxAcknowledgementBytes = 4 << 10
)

// callReply is the reply to a call of a server.
type callReply struct {
	status  int // 0: none within twice the time-out
	length  int // of the body
	elapsed time.Duration
}

// timedPost makes one call as a server does.
func timedPost(cluster *Cluster, address, path string, body []byte) callReply {
	client := cluster.httpClient("10.0.9.7", 2*acknowledgementTimeout)
	defer client.CloseIdleConnections()
	start := time.Now()
	response, err := client.Post("http://"+address+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return callReply{elapsed: time.Since(start)}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return callReply{elapsed: time.Since(start)}
	}
	return callReply{status: response.StatusCode, length: len(text), elapsed: time.Since(start)}
}

// serverCallTest makes the calls of servers at one controller.
type serverCallTest struct {
	cluster    *Cluster
	controller *ControllerNode
	sequence   uint64
}

// TestServerCallResponseTime checks that each heartbeat and sign-off is answered within a second and shortly, also where
// most controllers are partitioned or their disks stall. A drain is not acknowledged by a controller that cannot pass it on.
func TestServerCallResponseTime(t *testing.T) {
	runCluster(t, 71, 3, 1, func(t *testing.T, cluster *Cluster) {
		commitFirstVersion(t, cluster)
		time.Sleep(3 * time.Second)
		test := &serverCallTest{cluster: cluster, controller: cluster.Controllers[0], sequence: 1 << 20}
		test.callAll(t, "no faults", true)
		for _, controller := range cluster.Controllers {
			controller.Controller.StallDisk(3 * time.Second)
		}
		test.callAll(t, "all disks stalled", true)
		time.Sleep(4 * time.Second)
		isolate(cluster, test.controller)
		test.callAll(t, "just partitioned", false)
		time.Sleep(3 * time.Second)
		test.callAll(t, "partitioned for long", false)
		cluster.Network.Heal()
		time.Sleep(3 * time.Second)
		test.callAll(t, "healed", true)
		killAll(true, cluster.Controllers[1:]...)
		test.callAll(t, "two without power", false)
	})
}

// callAll makes each kind of call for a new instance. All calls must be acknowledged if the controller is connected to a
// majority, and otherwise the drain must not be. A sign-off of an unknown instance changes nothing: it may be acknowledged.
func (s *serverCallTest) callAll(t *testing.T, when string, connected bool) {
	t.Helper()
	for _, call := range []struct {
		name  string
		path  func(instance string) string
		state string
	}{
		{"heartbeat", heartbeatPath, stateReady},
		{"drain", heartbeatPath, config.StateDraining},
		{"sign-off", signOffPath, ""},
	} {
		s.sequence++
		instance := fmt.Sprint("i-", s.sequence)
		body := s.cluster.Servers[drainingServer].heartbeat(call.state, s.sequence)
		reply := timedPost(s.cluster, s.controller.ControlAddress(), call.path(instance), body)
		if reply.elapsed >= acknowledgementTimeout || reply.length > maxAcknowledgementBytes || reply.status == 0 {
			t.Errorf("%s: %s is answered with status %d and %d bytes after %v", when, call.name, reply.status, reply.length, reply.elapsed)
		}
		if connected {
			expectStatus(t, reply.status, http.StatusOK, "%s: %s", when, call.name)
		} else if call.state == config.StateDraining && reply.status == http.StatusOK {
			t.Errorf("%s: drain is acknowledged by a controller that cannot pass it on", when)
		}
	}
}
