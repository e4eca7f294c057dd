package simcluster

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"
)

// versionHistory is what the operators of a run know of the versions that they sent.
type versionHistory struct {
	mu           sync.Mutex
	basedOn      map[uint64]uint64
	acknowledged map[uint64]bool
	rejected     map[uint64]bool
	newest       uint64 // of the acknowledged
}

func newVersionHistory() *versionHistory {
	return &versionHistory{basedOn: map[uint64]uint64{}, acknowledged: map[uint64]bool{}, rejected: map[uint64]bool{}}
}

// replace sends a version of the example until the outcome is clear: first to one controller, then to others at random.
func (h *versionHistory) replace(cluster *Cluster, to *ControllerNode, basedOn, version uint64, shards []string, attempts int) {
	body := ExampleConfiguration(version, shards)
	h.mu.Lock()
	h.basedOn[version] = basedOn
	h.mu.Unlock()
	for range attempts {
		status := cluster.ReplaceConfiguration(to, basedOn, body)
		h.record(version, status)
		if isClear(status) {
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

// check compares what is read back with what was acknowledged and rejected.
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

// TestRandomFaults plays days of faults drawn from a seed: controllers are killed, lose power or their disks, or are
// partitioned, gateways are killed and servers crash, two operators send changes at once, and requests are sent all the
// while. The guarantees are checked after each step.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(12 * *seedMultiplier) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			controllers := 3 + 2*int(seed%2)
			runCluster(t, seed, controllers, 3, func(t *testing.T, cluster *Cluster) {
				run := newFaultRun(cluster, rand.New(rand.NewPCG(seed, 99)))
				run.play(t)
			})
		})
	}
}

// faultRun is one run of TestRandomFaults.
type faultRun struct {
	cluster     *Cluster
	random      *rand.Rand
	history     *versionHistory
	down        *ControllerNode // nil: all run
	nextVersion uint64
	requests    tally
	active      map[string]activeVersion // by IP address of a gateway
}

// activeVersion is what a gateway applied when it was last looked at.
type activeVersion struct {
	process any // the run of the gateway: another one may begin with an older version
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

func (r *faultRun) play(t *testing.T) {
	const steps = 25
	r.history.replace(r.cluster, r.cluster.Controllers[0], 0, 1, FirstSharding, 40)
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
		time.Sleep(r.upTo(1500))
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
	body := ExampleConfiguration(r.nextVersion, FirstSharding)
	status := replaceWithRetry(r.cluster, currentVersion(t, r.cluster), body, 10)
	requireStatus(t, status, http.StatusOK, "change after the faults")
}

// step draws and performs one fault, a recovery or a pair of changes.
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
		gateway.Kill(r.coin())
		gateway.Start()
	case action == 6:
		server := r.cluster.Servers[r.random.IntN(len(r.cluster.Servers))]
		server.Crash(r.coin())
		requireNoError(t, server.Start())
	default:
		r.replaceConcurrently()
	}
}

// killController loses one controller, and its disk or not.
func (r *faultRun) killController() {
	// A controller that was partitioned counts as lost until it has caught up, and only one may be lost at a time.
	r.cluster.Network.Heal()
	time.Sleep(catchUpTime)
	r.down = r.anyController()
	r.down.Kill(r.coin())
	if r.coin() {
		r.down.WipeDisk()
	}
}

// restartControllers kills all controllers at once and starts them with their disks.
func (r *faultRun) restartControllers(t *testing.T) {
	t.Helper()
	killAll(false, r.cluster.Controllers...)
	time.Sleep(r.upTo(800))
	startAll(t, r.cluster.Controllers...)
}

// partitionControllers partitions the links between two controllers, in one direction or both.
func (r *faultRun) partitionControllers() {
	a, b := r.anyController(), r.anyController()
	if a != b {
		r.cluster.Network.SetPartitioned(a.IP, b.IP, true)
		r.cluster.Network.SetPartitioned(b.IP, a.IP, r.random.IntN(3) > 0)
	}
}

// replaceConcurrently sends two changes on the same base at once.
func (r *faultRun) replaceConcurrently() {
	basedOn := r.history.newest
	var operators sync.WaitGroup
	for range 2 {
		version, to := r.nextVersion, r.anyController()
		shards := [][]string{FirstSharding, SecondSharding}[r.random.IntN(2)]
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

// checkActiveVersion checks that a gateway goes back to no older version while it runs, and applies none that was rejected.
func (r *faultRun) checkActiveVersion(t *testing.T, gateway *GatewayNode) {
	t.Helper()
	now := activeVersion{process: gateway.Gateway, version: gateway.Gateway.ActiveVersion()}
	before := r.active[gateway.IP]
	if now.process == before.process && now.version < before.version {
		t.Fatalf("gateway %s went back from version %d to %d", gateway.IP, before.version, now.version)
	}
	r.active[gateway.IP] = now
	if r.history.rejected[now.version] {
		t.Fatalf("gateway %s applies version %d, which was rejected", gateway.IP, now.version)
	}
}

func (r *faultRun) anyController() *ControllerNode {
	return r.cluster.Controllers[r.random.IntN(len(r.cluster.Controllers))]
}

func (r *faultRun) coin() bool { return r.random.IntN(2) == 0 }

// upTo draws a time below so many milliseconds.
func (r *faultRun) upTo(milliseconds int) time.Duration {
	return time.Duration(r.random.IntN(milliseconds)) * time.Millisecond
}
