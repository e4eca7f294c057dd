package simcluster

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"oxbowspan/config"
)

// injectFault isolates a random controller, drops its responses to operators or restarts it, and ends the fault afterwards.
func injectFault(t *testing.T, cluster *Cluster, random *rand.Rand) {
	t.Helper()
	controller := cluster.Controllers[random.IntN(len(cluster.Controllers))]
	switch random.IntN(4) {
	case 0: // its responses are lost
		cluster.Network.SetPartitioned(controller.IP, operatorIP, true)
	case 1: // it receives no messages, not even its own
		setIsolated(cluster, controller, false, true)
		cluster.Network.SetPartitioned(controller.IP, controller.IP, true)
	case 2:
		isolate(cluster, controller)
		cluster.Network.SetPartitioned(controller.IP, controller.IP, true)
	case 3:
		restart(t, cluster, controller)
	}
	time.Sleep(time.Duration(300+random.IntN(1200)) * time.Millisecond)
	cluster.Network.Heal()
	time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
}

// restart kills a controller and starts it again, while the cluster's list of controllers is locked.
func restart(t *testing.T, cluster *Cluster, controller *ControllerNode) {
	t.Helper()
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	controller.Kill(false)
	if err := controller.Start(); err != nil {
		t.Errorf("restart of %s: %v", controller.IP, err)
	}
}

// concurrentChangesTest is one run of TestConcurrentChangesOnAllControllers.
type concurrentChangesTest struct {
	cluster *Cluster
	seed    uint64
	log     *changeLog
}

// TestConcurrentChangesOnAllControllers has eight operators send changes to all controllers concurrently, many with the same
// version and many with the same base, while responses are lost and controllers are isolated and killed. Earlier changes are
// repeated. Then more changes are committed than the replicated state retains, and each earlier change is sent to every
// controller once more. No change may be both acknowledged and rejected, no rejected change may be committed, at most one
// change may be acknowledged per base, and every acknowledged change must be committed.
func TestConcurrentChangesOnAllControllers(t *testing.T) {
	for seed := range uint64(2 * *seedMultiplier) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runControllers(t, 900+seed, 3+2*int(seed%2), func(t *testing.T, cluster *Cluster) {
				test := &concurrentChangesTest{cluster: cluster, seed: seed, log: newChangeLog()}
				test.run(t)
			})
		})
	}
}

func (c *concurrentChangesTest) run(t *testing.T) {
	first := newChangeRequest(t, configurationDocument, 1, 0, 0)
	status := replaceWithRetry(c.cluster, 0, first.body, initialAttempts)
	requireStatus(t, status, http.StatusOK, "first configuration")
	c.log.recordSent(first)
	c.log.recordResponse(first, http.StatusOK, "all controllers")

	c.sendDuringFaults(t)
	c.cluster.Network.Heal()
	time.Sleep(4 * time.Second)
	c.log.awaitHistory(t, c.cluster, c.cluster.Controllers[0])

	early := c.log.requests
	for document, changes := range map[string]int{
		configurationDocument: 40, config.TenantsDocumentName: 20, config.PinsDocumentName: 20,
	} {
		commitChanges(t, c.cluster, c.log, document, changes, 10000)
	}
	c.log.awaitHistory(t, c.cluster, c.cluster.Controllers[0])
	c.resend(t, early)
	c.checkLog(t)
}

// sendDuringFaults runs the operators while faults are injected and the histories of all controllers are read.
func (c *concurrentChangesTest) sendDuringFaults(t *testing.T) {
	t.Helper()
	const operators = 8
	done := make(chan struct{})
	var background, pending sync.WaitGroup
	background.Go(func() { c.observeHistories(done) })
	background.Go(func() { c.injectFaults(t, done) })
	for operator := range operators {
		pending.Go(func() { c.operate(t, operator) })
	}
	pending.Wait()
	close(done)
	background.Wait()
}

// observeHistories reads the history of each controller in turn, every 20 ms, until done is closed.
func (c *concurrentChangesTest) observeHistories(done <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
			c.log.observeHistory(c.cluster, c.cluster.Controllers[i%len(c.cluster.Controllers)])
		}
	}
}

func (c *concurrentChangesTest) injectFaults(t *testing.T, done <-chan struct{}) {
	random := rand.New(rand.NewPCG(c.seed, 100))
	for {
		select {
		case <-done:
			return
		default:
			injectFault(t, c.cluster, random)
		}
	}
}

// operate sends one operator's changes. All operators choose their next change at the same times, every 200 ms, on top of the
// versions that are known then.
func (c *concurrentChangesTest) operate(t *testing.T, operator int) {
	const (
		changes = 20
		tick    = 200 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(c.seed, uint64(operator)))
	for i := range changes {
		request := c.log.nextRequest(t, random, 1+operator*changes+i)
		time.Sleep(time.Duration(1+random.IntN(5)) * time.Millisecond)
		to := c.cluster.Controllers[random.IntN(len(c.cluster.Controllers))]
		c.log.send(c.cluster, request, to)
		time.Sleep(time.Until(time.Now().Truncate(tick).Add(tick)))
	}
}

// resend sends changes to every controller once more. At least one controller must acknowledge each change that was
// acknowledged before.
func (c *concurrentChangesTest) resend(t *testing.T, requests []*changeRequest) {
	t.Helper()
	definite, indeterminate := 0, 0
	for _, request := range requests {
		acknowledged := false
		for _, controller := range c.cluster.Controllers {
			status := c.log.send(c.cluster, request, controller)
			acknowledged = acknowledged || status == http.StatusOK
			if isIndeterminate(status) {
				indeterminate++
			} else {
				definite++
			}
		}
		if c.log.acknowledged[request.key()] > 0 && !acknowledged {
			t.Errorf("no controller acknowledges %s version %d again", request.document, request.version)
		}
	}
	t.Logf("changes sent again: %d responses are definite, %d indeterminate", definite, indeterminate)
}

// isIndeterminate reports whether a status leaves the outcome of a change open.
func isIndeterminate(status int) bool { return status == 0 || status == http.StatusServiceUnavailable }

// checkLog reports the violations, and fails the test if too few changes were observed for the check to be meaningful.
func (c *concurrentChangesTest) checkLog(t *testing.T) {
	t.Helper()
	log := c.log
	for _, violation := range log.violations {
		t.Error(violation)
	}
	versions, gap := log.committedChain()
	t.Logf("%d changes: %d acknowledged, %d rejected, %d responses indeterminate; %d configurations committed",
		len(log.requests), len(log.acknowledged), len(log.rejected), log.indeterminate, versions)
	if gap || len(log.acknowledged) < 60 || len(log.rejected) < 15 || log.indeterminate < 20 {
		t.Errorf("too little was observed to check (a committed version is unknown: %t)", gap)
	}
}

// commitChanges commits a number of changes of a document one after the other, with body ids from firstBodyID on.
func commitChanges(t *testing.T, cluster *Cluster, log *changeLog, document string, changes, firstBodyID int) {
	t.Helper()
	const observeEvery = 16 // small enough that the history is read before the replicated state drops versions
	for committed, attempts := 0, 0; committed < changes; attempts++ {
		if attempts > 20*changes+100 {
			t.Fatalf("only %d changes of the %s are committed", committed, document)
		}
		newest := log.newestVersion(document)
		request := newChangeRequest(t, document, newest+1, newest, firstBodyID+committed)
		if sendUntilDefinite(cluster, log, request, committed) != http.StatusOK {
			log.skipVersion(document)
			continue
		}
		log.recordSent(request)
		committed++
		if committed%observeEvery == 0 {
			log.awaitHistory(t, cluster, cluster.Controllers[0])
		}
	}
}

// sendUntilDefinite sends a change to controllers in turn, up to eight times, until the outcome is definite. It returns the last
// status.
func sendUntilDefinite(cluster *Cluster, log *changeLog, request *changeRequest, firstController int) (status int) {
	for attempt := range 8 {
		controller := cluster.Controllers[(firstController+attempt)%len(cluster.Controllers)]
		status = log.send(cluster, request, controller)
		if !isIndeterminate(status) {
			return status
		}
		time.Sleep(100 * time.Millisecond)
	}
	return status
}

// historySaveTime is the longest time until a controller with an idle disk has stored which changes were committed.
const historySaveTime = 3 * time.Second

// TestChangesResentManyVersionsLater commits hundreds of changes. Every controller must acknowledge each of them again, also
// after a restart of one controller or of all; after every machine was replaced, as far back as the replicated state reaches.
// None may ever be rejected, and another change with the same version must never be acknowledged. This also holds for pins, and
// for tenants that would not be valid with the current configuration.
func TestChangesResentManyVersionsLater(t *testing.T) {
	const configurations, tenants, pins = 300, 40, 40
	runControllers(t, 950, 3, func(t *testing.T, cluster *Cluster) {
		log := newChangeLog()
		first := newChangeRequest(t, configurationDocument, 1, 0, 0)
		requireStatus(t, replaceWithRetry(cluster, 0, first.body, initialAttempts), http.StatusOK, "first configuration")
		log.newest[configurationDocument] = 1
		commitChanges(t, cluster, log, config.TenantsDocumentName, tenants, 1)
		commitChanges(t, cluster, log, config.PinsDocumentName, pins, 1)
		commitChanges(t, cluster, log, configurationDocument, configurations, 1)
		commitLowLimitConfiguration(t, cluster, configurations+1)
		invalid := newChangeRequest(t, config.TenantsDocumentName, 0, tenants, 99)
		expectStatus(t, invalid.send(cluster, cluster.Controllers[0]), http.StatusBadRequest, "tenants that do not fit the configuration")

		time.Sleep(historySaveTime)
		restarted := cluster.Controllers[2]
		restarted.Kill(false)
		requireNoError(t, restarted.Start())
		time.Sleep(catchUpTime)
		resendEveryNth(t, cluster, log, 4, http.StatusOK)

		powerCycle(t, cluster)
		time.Sleep(catchUpTime)
		resendEveryNth(t, cluster, log, 9, http.StatusOK)

		replaceEachController(t, cluster)
		indeterminate := resendEveryNth(t, cluster, log, 9, http.StatusServiceUnavailable)
		if indeterminate < 20 {
			t.Errorf("with all machines replaced only %d responses are indeterminate, want at least 20 for a meaningful test", indeterminate)
		}
	})
}

// resendEveryNth sends every n-th committed change again, each of which takes a consensus round, and another change with the
// same version. Each committed change must be acknowledged or answered with allowedStatus. It returns the number of responses
// with allowedStatus.
func resendEveryNth(t *testing.T, cluster *Cluster, log *changeLog, n, allowedStatus int) (others int) {
	t.Helper()
	for i, request := range log.requests {
		if i%n == 0 {
			others += checkResent(t, cluster, request, allowedStatus)
		}
	}
	return others
}

// replaceEachController replaces each controller by one with an empty disk and another address, one after the other.
func replaceEachController(t *testing.T, cluster *Cluster) {
	t.Helper()
	for _, lost := range cluster.runningControllers() {
		lost.Kill(true)
		lost.WipeDisk()
		cluster.SetSeeds(cluster.runningControllers()...)
		requireNoError(t, cluster.AddController().Start())
		time.Sleep(2 * catchUpTime)
	}
}

// commitLowLimitConfiguration commits a configuration based on a version, with connection limits below the tenants' floor.
func commitLowLimitConfiguration(t *testing.T, cluster *Cluster, basedOn uint64) {
	t.Helper()
	usual := newChangeRequest(t, configurationDocument, basedOn+1, basedOn, 0).body
	limited := editConfiguration(t, usual, func(c *config.Configuration) {
		for i := range c.Services {
			c.Services[i].ConnectionLimit = 30
		}
	})
	requireStatus(t, replaceWithRetry(cluster, basedOn, limited, 10), http.StatusOK, "last configuration")
}

// checkResent sends a committed change to all controllers again, and another change with the same version to one of them. It
// returns the number of controllers that answered with allowedStatus instead of an acknowledgement.
func checkResent(t *testing.T, cluster *Cluster, request *changeRequest, allowedStatus int) (others int) {
	t.Helper()
	for _, controller := range cluster.runningControllers() {
		switch status := request.send(cluster, controller); status {
		case http.StatusOK:
		case allowedStatus:
			others++
		default:
			t.Errorf("%s version %d, sent again to %s: status %d", request.document, request.version, controller.IP, status)
		}
	}
	other := newChangeRequest(t, request.document, request.version, request.basedOn, 5000)
	status := other.send(cluster, cluster.runningControllers()[0])
	if status != http.StatusPreconditionFailed && status != http.StatusServiceUnavailable {
		t.Errorf("another %s under number %d: status %d", request.document, request.version, status)
	}
	return others
}

// TestConcurrentChangesOnOneBase sends eight changes on one base to all controllers concurrently: exactly one is committed. Each
// change, sent again, must get the same response from every controller and must have no effect.
func TestConcurrentChangesOnOneBase(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runCluster(t, 73+seed, 3+2*int(seed%2), 2, func(t *testing.T, cluster *Cluster) {
				commitFirstVersion(t, cluster)
				basedOn := uint64(1)
				for range 3 {
					basedOn = commitOneOfMany(t, cluster, basedOn)
				}
			})
		})
	}
}

// commitOneOfMany sends eight changes on a base concurrently, checks the outcomes and returns the committed version.
func commitOneOfMany(t *testing.T, cluster *Cluster, basedOn uint64) (committed uint64) {
	t.Helper()
	const changes = 8
	var bodies [changes][]byte
	var statuses [changes]int
	var operators sync.WaitGroup
	for i := range changes {
		bodies[i] = ExampleConfiguration(basedOn+uint64(i)+1, [][]string{ExampleSharding, ExampleResharding}[i%2])
		operators.Go(func() { statuses[i] = replaceFrom(cluster, i, basedOn, bodies[i]) })
	}
	operators.Wait()
	winner := -1
	for i, status := range statuses {
		switch {
		case status == http.StatusOK && winner >= 0:
			t.Fatalf("changes %d and %d are both acknowledged on version %d", winner, i, basedOn)
		case status == http.StatusOK:
			winner = i
		default:
			expectStatus(t, status, http.StatusPreconditionFailed, "change %d on version %d", i, basedOn)
		}
	}
	if winner < 0 {
		t.Fatalf("none of %d changes on version %d is acknowledged: %v", changes, basedOn, statuses)
	}
	for i, body := range bodies {
		want := http.StatusPreconditionFailed
		if i == winner {
			want = http.StatusOK
		}
		for _, controller := range cluster.Controllers {
			status := cluster.ReplaceConfiguration(controller, basedOn, body)
			expectStatus(t, status, want, "change %d on version %d, sent again to %s", i, basedOn, controller.IP)
		}
	}
	committed = basedOn + uint64(winner) + 1
	awaitVersion(t, cluster, committed, configurationApplyMax)
	if current := currentVersion(t, cluster); current != committed {
		t.Fatalf("version %d is read back, %d was acknowledged", current, committed)
	}
	return committed
}

// replaceFrom sends a configuration to all controllers in turn, starting with the i-th, until the outcome is definite, at most
// 20 times. The pause between attempts grows with i.
func replaceFrom(cluster *Cluster, i int, basedOn uint64, body []byte) (status int) {
	for attempt := range 20 {
		to := cluster.Controllers[(i+attempt)%len(cluster.Controllers)]
		status = cluster.ReplaceConfiguration(to, basedOn, body)
		if isDefinite(status) {
			return status
		}
		time.Sleep(time.Duration(50*(i+1)) * time.Millisecond)
	}
	return status
}
