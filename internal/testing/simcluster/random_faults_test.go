package simcluster

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"
)

// versionHistory records the versions that the operators of a run sent and their outcomes.
type versionHistory struct {
	mu           sync.Mutex
	basedOn      map[uint64]uint64
	acknowledged map[uint64]bool
	rejected     map[uint64]bool
	newest       uint64 // newest acknowledged version
}

func newVersionHistory() *versionHistory {
	return &versionHistory{basedOn: map[uint64]uint64{}, acknowledged: map[uint64]bool{}, rejected: map[uint64]bool{}}
}

// replace sends a version of the example until the outcome is definite, first to one controller, then to random ones.
func (h *versionHistory) replace(cluster *Cluster, to *ControllerNode, basedOn, version uint64, shards []string, attempts int) {
	body := ExampleConfiguration(version, shards)
	h.mu.Lock()
	h.basedOn[version] = basedOn
	h.mu.Unlock()
	for range attempts {
		status := cluster.ReplaceConfiguration(to, basedOn, body)
		h.record(version, status)
		if isDefinite(status) {
			return
		}
		time.Sleep(200 * time.Millisecond)
		to = cluster.Controllers[rand.IntN(len(cluster.Controllers))]
	}
}

func (h *versionHistory) record(version uint64, status int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch status {
	case http.StatusOK:
		h.acknowledged[version] = true
		h.newest = max(h.newest, version)
	case http.StatusPreconditionFailed, http.StatusBadRequest:
		h.rejected[version] = true
	}
}

// check compares the version that is read back with the acknowledged and rejected ones.
func (h *versionHistory) check(t *testing.T, cluster *Cluster) {
	t.Helper()
	current := currentVersion(t, cluster)
	if current < h.newest {
		t.Fatalf("committed configuration is lost: version %d was acknowledged, %d is read back", h.newest, current)
	}
	if h.rejected[current] {
		t.Fatalf("version %d was rejected and is read back", current)
	}
	successors := map[uint64]uint64{}
	for version := range h.acknowledged {
		basedOn := h.basedOn[version]
		if other, found := successors[basedOn]; found {
			t.Fatalf("versions %d and %d were both acknowledged on %d", version, other, basedOn)
		}
		successors[basedOn] = version
	}
}

// TestRandomFaults runs scenarios of random faults from a seed: controllers are killed, lose power or their disks, or are
// partitioned, gateways are killed, servers crash, two operators send changes concurrently, and clients send requests
// throughout. The guarantees are checked after each step.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(12 * *seedMultiplier) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			controllers := 3 + 2*int(seed%2)
			runCluster(t, seed, controllers, 3, func(t *testing.T, cluster *Cluster) {
				run := newFaultRun(cluster, rand.New(rand.NewPCG(seed, 99)))
				run.runSteps(t)
			})
		})
	}
}

// faultRun is one run of TestRandomFaults.
type faultRun struct {
	cluster     *Cluster
	random      *rand.Rand
	history     *versionHistory
	down        *ControllerNode // the controller that does not run; nil: all run
	nextVersion uint64
	requests    requestCounter
	active      map[string]activeVersion // by IP address of a gateway
}

// activeVersion is the version that a gateway applied at the last check.
type activeVersion struct {
	process any // the run of the gateway; another run may start with an older version
	version uint64
}

func newFaultRun(cluster *Cluster, random *rand.Rand) *faultRun {
	return &faultRun{
		cluster:     cluster,
		random:      random,
		history:     newVersionHistory(),
		nextVersion: 2,
		active:      map[string]activeVersion{},
	}
}

func (r *faultRun) runSteps(t *testing.T) {
	const steps = 25
	r.history.replace(r.cluster, r.cluster.Controllers[0], 0, 1, ExampleSharding, 40)
	if !r.history.acknowledged[1] {
		t.Fatal("the first configuration was never acknowledged")
	}
	awaitVersion(t, r.cluster, 1, configurationApplyMax)
	time.Sleep(2 * time.Second)
	for range steps {
		r.step(t)
		for _, gateway := range r.cluster.Gateways {
			r.sendRequest(t, gateway)
			r.checkActiveVersion(t, gateway)
		}
		time.Sleep(r.randomDuration(1500))
	}
	r.cluster.Network.Heal()
	if r.down != nil {
		requireNoError(t, r.down.Start())
	}
	time.Sleep(6 * time.Second)
	r.history.check(t, r.cluster)
	awaitVersion(t, r.cluster, r.history.newest, configurationApplyMax)
	if sent, served := r.requests.sent.Load(), r.requests.served.Load(); 3*served < sent {
		t.Fatalf("only %d of %d requests were served", served, sent)
	}
	body := ExampleConfiguration(r.nextVersion, ExampleSharding)
	status := replaceWithRetry(r.cluster, currentVersion(t, r.cluster), body, 10)
	requireStatus(t, status, http.StatusOK, "change after the faults")
}

// step performs a random fault, a recovery or a pair of changes.
func (r *faultRun) step(t *testing.T) {
	t.Helper()
	switch action := r.random.IntN(9); {
	case action == 0 && r.down == nil:
		r.killController()
	case action <= 1 && r.down != nil:
		requireNoError(t, r.down.Start())
		time.Sleep(catchUpTime)
		r.down = nil
	case action == 2 && r.down == nil:
		r.restartControllers(t)
	case action == 3 && r.down == nil:
		r.partitionControllers()
	case action == 4:
		r.cluster.Network.Heal()
	case action == 5:
		gateway := r.cluster.Gateways[r.random.IntN(len(r.cluster.Gateways))]
		gateway.Kill(r.randomBool())
		gateway.Start()
	case action == 6:
		server := r.cluster.Servers[r.random.IntN(len(r.cluster.Servers))]
		server.Crash(r.randomBool())
		requireNoError(t, server.Start())
	default:
		r.replaceConcurrently()
	}
}

// killController kills a random controller, with or without a power loss, and possibly wipes its disk.
func (r *faultRun) killController() {
	// A controller that was partitioned counts as lost until it has caught up, and only one may be lost at a time.
	r.cluster.Network.Heal()
	time.Sleep(catchUpTime)
	r.down = r.randomController()
	r.down.Kill(r.randomBool())
	if r.randomBool() {
		r.down.WipeDisk()
	}
}

// restartControllers kills all controllers and restarts them with their disks.
func (r *faultRun) restartControllers(t *testing.T) {
	t.Helper()
	killAll(false, r.cluster.Controllers...)
	time.Sleep(r.randomDuration(800))
	startAll(t, r.cluster.Controllers...)
}

// partitionControllers partitions the link between two random controllers, in one direction or both.
func (r *faultRun) partitionControllers() {
	a, b := r.randomController(), r.randomController()
	if a != b {
		r.cluster.Network.SetPartitioned(a.IP, b.IP, true)
		r.cluster.Network.SetPartitioned(b.IP, a.IP, r.random.IntN(3) > 0)
	}
}

// replaceConcurrently sends two changes on the same base concurrently.
func (r *faultRun) replaceConcurrently() {
	basedOn := r.history.newest
	var operators sync.WaitGroup
	for range 2 {
		version, to := r.nextVersion, r.randomController()
		shards := [][]string{ExampleSharding, ExampleResharding}[r.random.IntN(2)]
		r.nextVersion++
		operators.Go(func() { r.history.replace(r.cluster, to, basedOn, version, shards, 4) })
	}
	operators.Wait()
}

// sendRequest sends one of the example's requests and checks the response.
func (r *faultRun) sendRequest(t *testing.T, gateway *GatewayNode) {
	t.Helper()
	number := int(r.requests.sent.Load()) + 1
	served, violation := r.cluster.SendExample(gateway, number, fmt.Sprintf("q%d", number))
	if violation != "" {
		t.Fatal(violation)
	}
	r.requests.record(served)
}

// checkActiveVersion checks that a gateway never returns to an older version while it runs, and applies no rejected version.
func (r *faultRun) checkActiveVersion(t *testing.T, gateway *GatewayNode) {
	t.Helper()
	now := activeVersion{process: gateway.Gateway, version: gateway.Gateway.ActiveVersion()}
	before := r.active[gateway.IP]
	if now.process == before.process && now.version < before.version {
		t.Fatalf("gateway %s returned from version %d to the older %d", gateway.IP, before.version, now.version)
	}
	r.active[gateway.IP] = now
	if r.history.rejected[now.version] {
		t.Fatalf("gateway %s applies version %d, which was rejected", gateway.IP, now.version)
	}
}

func (r *faultRun) randomController() *ControllerNode {
	return r.cluster.Controllers[r.random.IntN(len(r.cluster.Controllers))]
}

func (r *faultRun) randomBool() bool { return r.random.IntN(2) == 0 }

// randomDuration returns a random duration below a number of milliseconds.
func (r *faultRun) randomDuration(milliseconds int) time.Duration {
	return time.Duration(r.random.IntN(milliseconds)) * time.Millisecond
}
