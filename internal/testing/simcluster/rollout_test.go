package simcluster

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"
)

// acknowledgeBound is the time within which a valid rollout order must be acknowledged if there are no faults (acknowledge_ms).
const acknowledgeBound = 5 * time.Second

// BeginRollout sends an order for a rollout to one controller and returns the status; 0 means that there was no response.
func (c *Cluster) BeginRollout(to *ControllerNode, service, version string, duration time.Duration) int {
	client := c.httpClient(operatorIP, controlCallTimeout)
	defer client.CloseIdleConnections()
	body := fmt.Sprintf(`{"service":%q,"target_version":%q,"duration_s":%v}`, service, version, duration.Seconds())
	return post(context.Background(), client, to.ControlAddress(), "/-/rollouts/begin", []byte(body), http.Header{"Content-Type": {"application/json"}})
}

// rolloutState holds the checked fields of the response to a read of a rollout.
type rolloutState struct {
	State         string `json:"state"`
	TargetVersion string `json:"target_version"`
}

// TestRolloutIsAcknowledged checks that a rollout order is acknowledged in time if there are no faults, and that every controller
// reports the state of the rollout afterwards.
func TestRolloutIsAcknowledged(t *testing.T) {
	runCluster(t, 71, 3, 2, func(t *testing.T, cluster *Cluster) {
		commitFirstVersion(t, cluster)
		start := time.Now()
		status := 0
		for attempt := 0; status != http.StatusOK && time.Since(start) < acknowledgeBound; attempt++ {
			if status = cluster.BeginRollout(cluster.Controllers[attempt%3], singleService, "v2", 12*time.Second); status != http.StatusOK {
				time.Sleep(retryPause)
			}
		}
		requireStatus(t, status, http.StatusOK, "the order, after %v", time.Since(start))
		for _, controller := range cluster.Controllers {
			var read rolloutState
			body := readWithRetry(cluster, controller, "/-/rollouts/"+singleService+"/read")
			if err := json.Unmarshal(body, &read); err != nil || read.TargetVersion != "v2" || read.State == "" {
				t.Errorf("controller %s returns %q as the state of the rollout", controller.IP, body)
			}
		}
	})
}

const (
	rolloutDuration = 15 * time.Second
	rolloutTarget   = "v2"
	// exposureShare and exposureSlack bound the number of requests that reach a bad version. rollbackTime bounds how long after
	// its 50th bad response requests may still reach it (exposure_share, exposure_slack, rollback_ms).
	exposureShare     = 0.1
	exposureSlack     = 50
	rollbackTime      = 5 * time.Second
	rollbackResponses = 50
	rolloutRequestMS  = 8
)

// rolloutRecord counts the requests that reach a service during a rollout.
type rolloutRecord struct {
	mu                  sync.Mutex
	old, target         int
	bad                 int
	lastOld, lastTarget time.Time
	rollbackAt          time.Time // rollbackTime after the 50th bad response of the target version
	targetAfterRollback int
}

// recordArrivals returns a function that records the arrival of a request at a server of the target version or of the old one.
func (r *rolloutRecord) recordArrivals(target bool) func(time.Time) {
	return func(at time.Time) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if !target {
			r.old++
			r.lastOld = at
			return
		}
		r.target++
		r.lastTarget = at
		if !r.rollbackAt.IsZero() && at.After(r.rollbackAt) {
			r.targetAfterRollback++
		}
	}
}

// recordBadResponse counts a failed or slow response of the target version.
func (r *rolloutRecord) recordBadResponse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.bad++; r.bad == rollbackResponses {
		r.rollbackAt = time.Now().Add(rollbackTime)
	}
}

// rolloutCase describes a rollout of a good or bad version, with or without a fault in the cluster.
type rolloutCase struct {
	name         string
	service      string
	bad          func(random *rand.Rand, since time.Duration) bool // whether a response of the target version fails; nil: none fails
	slow         time.Duration                                     // service time of the target version; 0: the usual one
	injectFault  func(t *testing.T, cluster *Cluster)              // injects a fault two seconds after the start of the rollout
	mustComplete bool                                              // the rollout must be completed in time
	maxFailed    int                                               // failed requests that are allowed if mustComplete
}

var rolloutCases = []rolloutCase{
	{name: "good, one of the shards", service: "a0", mustComplete: true},
	{name: "good, a service of its own", service: singleService, mustComplete: true},
	{name: "three in ten fail", service: "a1", bad: failing(0.3, 0)},
	{name: "fails late", service: singleService, bad: failing(0.4, 3*time.Second)},
	{name: "eight times slower", service: "a0", slow: 8 * exampleServiceTime},
	{name: "good, the first controller is killed", service: "a0", mustComplete: true, injectFault: func(_ *testing.T, cluster *Cluster) {
		cluster.Controllers[0].Kill(true)
	}},
	{name: "good, all controllers lose power", service: "a0", injectFault: func(t *testing.T, cluster *Cluster) {
		powerCycle(t, cluster)
	}},
	{name: "fails late, all controllers lose power", service: "a0", bad: failing(0.4, 3*time.Second), injectFault: func(t *testing.T, cluster *Cluster) {
		powerCycle(t, cluster)
	}},
	{name: "fails late, a gateway is cut off from the controllers", service: "a0", bad: failing(0.4, 3*time.Second),
		injectFault: func(_ *testing.T, cluster *Cluster) {
			for _, controller := range cluster.Controllers {
				setPartitioned(cluster, cluster.Gateways[1].IP, controller.IP, true)
			}
		}},
	{name: "good, a gateway is killed", service: singleService, mustComplete: true, maxFailed: 3, injectFault: func(_ *testing.T, cluster *Cluster) {
		cluster.Gateways[2].Kill(false)
		cluster.Gateways[2].Start()
	}},
	{name: "good, a server of it hangs", service: "a0", injectFault: func(_ *testing.T, cluster *Cluster) {
		cluster.Servers[len(cluster.Servers)-1].SetHung(true)
	}},
}

// failing returns a function that makes a share of the responses fail, starting a time after the start of the servers.
func failing(share float64, from time.Duration) func(*rand.Rand, time.Duration) bool {
	return func(random *rand.Rand, since time.Duration) bool { return since >= from && random.Float64() < share }
}

// TestRollouts checks that rollouts of good versions complete in time and that no request is sent afterwards to the old servers,
// which stop immediately. Rollouts of bad versions must be reverted, and the requests that reach a bad version must stay within
// the bound. Both must hold during faults of controllers and gateways.
func TestRollouts(t *testing.T) {
	for i, test := range rolloutCases {
		t.Run(test.name, func(t *testing.T) {
			runCluster(t, uint64(7100+i), 3, 3, func(t *testing.T, cluster *Cluster) { test.run(t, cluster, uint64(i)) })
		})
	}
}

func (test rolloutCase) run(t *testing.T, cluster *Cluster, seed uint64) {
	commitFirstVersion(t, cluster)
	record := &rolloutRecord{}
	old := serversOf(cluster, test.service)
	for _, server := range old {
		server.SetOnRequest(record.recordArrivals(false))
	}
	stopLoad := test.startLoad(cluster)
	time.Sleep(3 * time.Second)
	requireStatus(t, cluster.BeginRollout(cluster.Controllers[1], test.service, rolloutTarget, rolloutDuration), http.StatusOK, "order")
	start := time.Now()
	test.startTarget(t, cluster, record, seed)
	if test.injectFault != nil {
		time.Sleep(2 * time.Second)
		test.injectFault(t, cluster)
	}
	state := awaitRolloutEnd(cluster, test.service, start.Add(rolloutDuration+3*time.Second))
	elapsed := time.Since(start)
	if state == "completed" {
		for _, server := range old {
			server.Crash(false)
		}
	}
	oldStopped := time.Now()
	time.Sleep(max(0, rolloutDuration-elapsed) + 4*time.Second)
	failed := stopLoad()
	test.check(t, record, state, elapsed, oldStopped, failed)
}

func (test rolloutCase) check(t *testing.T, record *rolloutRecord, state string, elapsed time.Duration, oldStopped time.Time, failed int) {
	t.Helper()
	record.mu.Lock()
	defer record.mu.Unlock()
	isBad := test.bad != nil || test.slow > 0
	t.Logf("%s after %v, %d requests to the old version, %d to the target, %d bad responses, %d requests failed", state, elapsed, record.old, record.target, record.bad, failed)
	switch {
	case isBad && state != "reverted":
		t.Errorf("the rollout of a bad version is %s", state)
	case test.mustComplete && (state != "completed" || elapsed > rolloutDuration):
		t.Errorf("the rollout of a good version is %s after %v", state, elapsed)
	}
	if allowed := exposureShare*float64(record.old+record.target) + exposureSlack; isBad && float64(record.target) > allowed {
		t.Errorf("%d of %d requests reached a bad version", record.target, record.old+record.target)
	}
	if record.targetAfterRollback > 0 {
		t.Errorf("%d requests reached a bad version more than %v after its 50th bad response", record.targetAfterRollback, rollbackTime)
	}
	if state == "completed" && record.lastOld.After(oldStopped) {
		t.Errorf("a request reached an old server %v after the rollout was completed", record.lastOld.Sub(oldStopped))
	}
	if test.mustComplete && failed > test.maxFailed {
		t.Errorf("%d requests failed during the rollout of a good version, want at most %d", failed, test.maxFailed)
	}
}

// TestRolloutsAtOnce runs three rollouts concurrently, one of a bad version and one of a version that no server has: each must end
// as it would alone. An order at an isolated controller must not be acknowledged; an order for a service whose rollout is running
// and one for an unknown service must be rejected.
func TestRolloutsAtOnce(t *testing.T) {
	runCluster(t, 7200, 3, 3, func(t *testing.T, cluster *Cluster) {
		commitFirstVersion(t, cluster)
		good := rolloutCase{service: "a0"}
		bad := rolloutCase{service: "a1", bad: failing(0.4, 0)}
		records := []*rolloutRecord{{}, {}}
		stopLoad := good.startLoad(cluster)
		time.Sleep(3 * time.Second)
		isolate(cluster, cluster.Controllers[2])
		time.Sleep(3 * time.Second)
		expectStatus(t, cluster.BeginRollout(cluster.Controllers[2], "a0", rolloutTarget, rolloutDuration), http.StatusServiceUnavailable, "order at an isolated controller")
		setIsolated(cluster, cluster.Controllers[2], false, false)
		for i, service := range []string{"a0", "a1", "a2"} {
			requireStatus(t, cluster.BeginRollout(cluster.Controllers[i%2], service, rolloutTarget, rolloutDuration), http.StatusOK, "order for %s", service)
		}
		expectStatus(t, cluster.BeginRollout(cluster.Controllers[1], "a0", "v3", rolloutDuration), http.StatusConflict, "another version")
		expectStatus(t, cluster.BeginRollout(cluster.Controllers[1], "a9", "v3", rolloutDuration), http.StatusUnprocessableEntity, "unknown service")
		start := time.Now()
		good.startTarget(t, cluster, records[0], 1)
		bad.startTarget(t, cluster, records[1], 2)
		for service, want := range map[string]string{"a0": "completed", "a1": "reverted", "a2": "reverted"} {
			if got := awaitRolloutEnd(cluster, service, start.Add(rolloutDuration+3*time.Second)); got != want {
				t.Errorf("rollout of %s is %s, want %s", service, got, want)
			}
		}
		stopLoad()
		if r := records[1]; float64(r.target) > exposureSlack+exposureShare*rolloutDuration.Seconds()*1000/rolloutRequestMS {
			t.Errorf("%d requests reached the bad version", r.target)
		}
	})
}

// startTarget starts servers of the target version.
func (test rolloutCase) startTarget(t *testing.T, cluster *Cluster, record *rolloutRecord, seed uint64) {
	t.Helper()
	random, started := rand.New(rand.NewPCG(seed, 9)), time.Now()
	var mu sync.Mutex
	for range serversPerService {
		serviceTime := exampleServiceTime
		if test.slow > 0 {
			serviceTime = test.slow
		}
		server := cluster.AddServer(test.service, serviceTime)
		server.Version = rolloutTarget
		requireNoError(t, server.Start())
		server.SetOnRequest(record.recordArrivals(true))
		server.setFaults(func() responseFault {
			mu.Lock()
			defer mu.Unlock()
			if test.slow > 0 {
				record.recordBadResponse()
				return noFault
			}
			if test.bad != nil && test.bad(random, time.Since(started)) {
				record.recordBadResponse()
				return faultStatus
			}
			return noFault
		})
	}
}

// startLoad sends requests to all gateways in turn until the returned function is called, which returns the number of requests
// that failed or lack parts.
func (test rolloutCase) startLoad(cluster *Cluster) (stop func() (failed int)) {
	done := make(chan struct{})
	var pending sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	send := sendGathered
	if test.service == singleService {
		send = sendSingle
	}
	pending.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(rolloutRequestMS * time.Millisecond):
			}
			pending.Go(func() {
				response := send(cluster, cluster.Gateways[n%len(cluster.Gateways)], fmt.Sprint("r", n))
				if response.Status != http.StatusOK || response.Header.Get(missingPartsHeader) > "0" {
					mu.Lock()
					failed++
					mu.Unlock()
				}
			})
		}
	})
	return func() int {
		close(done)
		pending.Wait()
		return failed
	}
}

// awaitRolloutEnd reads the state of a rollout until it is no longer running or a deadline has passed, and returns the last state.
func awaitRolloutEnd(cluster *Cluster, service string, deadline time.Time) (state string) {
	for n := 0; time.Now().Before(deadline); n++ {
		var read rolloutState
		body := cluster.ReadResource(cluster.Controllers[n%len(cluster.Controllers)], "/-/rollouts/"+service+"/read")
		if json.Unmarshal(body, &read) == nil && read.State != "" {
			if state = read.State; state != "running" {
				return state
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return state
}
