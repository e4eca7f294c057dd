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

// coreCondition is what the controllers are able to do, on which the responses to a server's calls depend.
type coreCondition int

const (
	coreHealthy     coreCondition = iota // all calls must be acknowledged
	coreCannotStore                      // heartbeats must be acknowledged, drains and sign-offs must not
	coreCannotReach                      // a drain must not be acknowledged; a sign-off of an unknown instance, which has no effect, may be
)

// TestServerCallResponseTime checks that each heartbeat and sign-off is answered within a second and with a short body, also if
// most controllers are partitioned or their disks stall. A drain that no majority of the controllers has on its disks must not be
// acknowledged: it would be forgotten if all controllers were killed.
func TestServerCallResponseTime(t *testing.T) {
	runCluster(t, 71, 3, 1, func(t *testing.T, cluster *Cluster) {
		commitFirstVersion(t, cluster)
		time.Sleep(3 * time.Second)
		test := &serverCallTest{cluster: cluster, controller: cluster.Controllers[0], sequence: 1 << 20}
		test.callAll(t, "no faults", coreHealthy)
		for i, controller := range cluster.Controllers {
			controller.Controller.StallDisk(3 * time.Second)
			test.callAll(t, fmt.Sprintf("disk %d stalled", i), coreHealthy)
			time.Sleep(4 * time.Second)
		}
		for _, controller := range cluster.Controllers {
			controller.Controller.StallDisk(5 * time.Second)
		}
		test.callAll(t, "all disks stalled", coreCannotStore)
		time.Sleep(4 * time.Second)
		test.repeatLast(t, "disks respond again")
		test.callAll(t, "disks respond again", coreHealthy)
		isolate(cluster, test.controller)
		test.callAll(t, "just partitioned", coreCannotReach)
		time.Sleep(3 * time.Second)
		test.callAll(t, "partitioned for long", coreCannotReach)
		cluster.Network.Heal()
		time.Sleep(3 * time.Second)
		test.callAll(t, "healed", coreHealthy)
		killAll(true, cluster.Controllers[1:]...)
		test.callAll(t, "two without power", coreCannotReach)
	})
}

// serverCall is a call that a server makes.
type serverCall struct {
	name  string
	path  func(instance string) string
	state string // of a heartbeat
}

func (c serverCall) isDeparture() bool { return c.state != stateReady }

// serverCalls are all kinds of calls.
var serverCalls = []serverCall{
	{"heartbeat", heartbeatPath, stateReady},
	{"drain", heartbeatPath, config.StateDraining},
	{"sign-off", signOffPath, ""},
}

// callAll makes each kind of call for a new instance and checks the responses.
func (s *serverCallTest) callAll(t *testing.T, when string, condition coreCondition) {
	t.Helper()
	for _, call := range serverCalls {
		s.sequence++
		what := when + ": " + call.name
		status := s.call(t, call, s.sequence, what)
		switch {
		case condition == coreHealthy, condition == coreCannotStore && !call.isDeparture():
			expectStatus(t, status, http.StatusOK, "%s", what)
		case condition == coreCannotStore:
			expectStatus(t, status, http.StatusServiceUnavailable, "%s, which is on no disk,", what)
		case call.state == config.StateDraining && status == http.StatusOK:
			t.Errorf("%s is acknowledged by a controller that cannot pass it on", what)
		}
	}
}

// repeatLast makes the calls of the last callAll again, for the same instances. All must be acknowledged.
func (s *serverCallTest) repeatLast(t *testing.T, when string) {
	t.Helper()
	for i, call := range serverCalls {
		what := when + ": repeated " + call.name
		status := s.call(t, call, s.sequence-uint64(len(serverCalls)-1-i), what)
		expectStatus(t, status, http.StatusOK, "%s", what)
	}
}

// call makes a call for an instance that is named by a sequence number, checks the time and the length of the response, and returns its
// status.
func (s *serverCallTest) call(t *testing.T, call serverCall, sequence uint64, what string) (status int) {
	t.Helper()
	instance := fmt.Sprint("i-", sequence)
	body := s.cluster.Servers[drainingServer].heartbeat(call.state, sequence)
	reply := timedPost(s.cluster, s.controller.ControlAddress(), call.path(instance), body)
	if reply.elapsed >= acknowledgementTimeout || reply.length > maxAcknowledgementBytes || reply.status == 0 {
		t.Errorf("%s is answered with status %d and %d bytes after %v", what, reply.status, reply.length, reply.elapsed)
	}
	return reply.status
}
