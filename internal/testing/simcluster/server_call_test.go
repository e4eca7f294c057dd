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

// Limits of servers on an acknowledgement: the time that they wait for it and the bytes that they read of it.
const (
	acknowledgementTimeout  = time.Second
	maxAcknowledgementBytes = 4 << 10
)

// callReply is the response to a call of a server.
type callReply struct {
	status  int // 0: no response within twice acknowledgementTimeout
	length  int // bytes of the body
	elapsed time.Duration
}

// timedPost sends a POST request as a server does and measures the response time.
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

// serverCallTest makes calls to one controller as servers do.
type serverCallTest struct {
	cluster    *Cluster
	controller *ControllerNode
	sequence   uint64
}

// TestServerCallResponseTime checks that each heartbeat and sign-off is answered within a second and with a short body, also if
// most controllers are partitioned or their disks stall. A controller that cannot pass a drain on must not acknowledge it.
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

// callAll makes each kind of call for a new instance. If the controller is connected to a majority, all calls must be
// acknowledged, and otherwise the drain must not be. A sign-off of an unknown instance has no effect and may be acknowledged.
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
