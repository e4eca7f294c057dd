package simcluster

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"
)

const (
	isolationTime = 20 * time.Second
	failoverBound = 2500 * time.Millisecond // from an isolation until gateways use another controller
	recoveryBound = 4 * time.Second         // from the end of an isolation until the controller serves normally
)

// isolation describes how a controller loses its connection to the others.
type isolation struct {
	name         string
	start        func(cluster *Cluster, isolated *ControllerNode)
	mayCommit    bool // the isolated controller may still commit changes, slowly
	unresponsive bool // the isolated controller responds to nothing
}

var isolations = []isolation{
	{name: "partitioned in both directions", start: partition(true, true)},
	{name: "partitioned outgoing", start: partition(true, false)},
	{name: "partitioned incoming", start: partition(false, true)},
	{name: "slow links", start: delayAllLinks, mayCommit: true},
	{name: "flapping links", start: flap, mayCommit: true},
	{name: "frozen", start: freeze(false), mayCommit: true, unresponsive: true},
	{name: "frozen with its clock", start: freeze(true), mayCommit: true, unresponsive: true},
	{name: "frozen, and partitioned when it resumes", start: freezeAndPartition(false), unresponsive: true},
	{name: "frozen with its clock, and partitioned when it resumes", start: freezeAndPartition(true), unresponsive: true},
}

func partition(outgoing, incoming bool) func(*Cluster, *ControllerNode) {
	return func(cluster *Cluster, isolated *ControllerNode) { setIsolated(cluster, isolated, outgoing, incoming) }
}

// delayLinks adds to the latency of all links between a controller and the others.
func delayLinks(cluster *Cluster, delayed *ControllerNode, extra time.Duration) {
	for _, other := range cluster.Controllers {
		if other != delayed {
			cluster.Network.SetExtraDelay(delayed.IP, other.IP, extra)
			cluster.Network.SetExtraDelay(other.IP, delayed.IP, extra)
		}
	}
}

func delayAllLinks(cluster *Cluster, isolated *ControllerNode) {
	delayLinks(cluster, isolated, 700*time.Millisecond)
}

// flap repeatedly partitions a controller from the others for 650 ms and restores its links for 20 ms.
func flap(cluster *Cluster, isolated *ControllerNode) {
	go func() {
		for end := time.Now().Add(isolationTime - time.Second); time.Now().Before(end); {
			setIsolated(cluster, isolated, true, true)
			time.Sleep(650 * time.Millisecond)
			setIsolated(cluster, isolated, false, false)
			time.Sleep(20 * time.Millisecond)
		}
	}()
}

// freeze stops the event loop of a controller, and with clock also its clock.
func freeze(clock bool) func(*Cluster, *ControllerNode) {
	return func(_ *Cluster, isolated *ControllerNode) { isolated.Controller.Freeze(isolationTime, clock) }
}

// freezeAndPartition freezes a controller while its own requests are in transit. When it resumes, it reads the replies and
// heartbeats that arrived before the partition, and it cannot reach any other controller for the next seconds.
func freezeAndPartition(clock bool) func(*Cluster, *ControllerNode) {
	return func(cluster *Cluster, isolated *ControllerNode) {
		delayLinks(cluster, isolated, 150*time.Millisecond)
		time.Sleep(time.Second)
		isolated.Controller.Freeze(isolationTime-3*time.Second, clock)
		time.Sleep(450 * time.Millisecond) // until the replies and a heartbeat of each other controller have arrived
		setIsolated(cluster, isolated, true, true)
	}
}

// TestIsolatedController isolates a controller for 20 s, in every way, while operators send changes to it and to the others. It
// must not acknowledge or reject changes based on its outdated state, nor send outdated updates as confirmed by a quorum.
// Gateways must fail over to other controllers in time, and after the isolation it must serve normally.
func TestIsolatedController(t *testing.T) {
	for i, kind := range isolations {
		t.Run(kind.name, func(t *testing.T) {
			runCluster(t, uint64(500+i), 3+2*(i%2), 3, func(t *testing.T, cluster *Cluster) {
				commitFirstVersion(t, cluster)
				operators := newOperatorLog()
				time.Sleep(4 * time.Second)
				isolated := cluster.Controllers[0]
				deadline := time.Now().Add(isolationTime + recoveryBound)
				waitPollers := operators.startPollers(cluster, isolated, deadline)
				waitReaders := operators.startReader(cluster, isolated, deadline)
				time.Sleep(500 * time.Millisecond) // until pollers follow its updates

				checkIsolation(t, cluster, isolated, kind, operators)
				cluster.Network.Heal()
				operators.sendConcurrently(cluster, isolated) // while it catches up
				time.Sleep(recoveryBound)
				version, least := operators.readVersion(cluster, isolated), operators.newest(time.Now())
				if version < least {
					t.Errorf("%v after its isolation it returns version %d, %d was acknowledged", recoveryBound, version, least)
				}
				waitPollers()
				waitReaders()
				operators.checkHistory(t, cluster, isolated)
				operators.reportViolations(t)
			})
		})
	}
}

// TestReadsDoNotDelayChanges reads the configuration continuously from controllers that are close to each other, while changes
// are sent to one whose links are slow. Reads use no ballot, so that the first attempt of each change must be committed.
func TestReadsDoNotDelayChanges(t *testing.T) {
	const (
		changes      = 6
		readInterval = 10 * time.Millisecond
	)
	runControllers(t, 550, 3, func(t *testing.T, cluster *Cluster) {
		requireStatus(t, replaceWithRetry(cluster, 0, ExampleConfiguration(1, ExampleSharding), initialAttempts), http.StatusOK, "version 1")
		time.Sleep(catchUpTime)
		slow := cluster.Controllers[0]
		delayLinks(cluster, slow, 100*time.Millisecond)
		operators := newOperatorLog()
		done := make(chan struct{})
		var readers sync.WaitGroup
		defer readers.Wait()
		defer close(done)
		for _, controller := range cluster.Controllers[1:] {
			readers.Go(func() {
				for {
					select {
					case <-done:
						return
					case <-time.After(readInterval):
						operators.readVersion(cluster, controller)
					}
				}
			})
		}
		for version := uint64(2); version < 2+changes; version++ {
			status := cluster.ReplaceConfiguration(slow, version-1, ExampleConfiguration(version, ExampleSharding))
			operators.recordOutcome(version, status)
			requireStatus(t, status, http.StatusOK, "version %d with concurrent reads", version)
		}
		operators.reportViolations(t)
	})
}

// startReader reads the configuration from a controller repeatedly until a deadline. The returned function waits until the
// reader has stopped.
func (o *operatorLog) startReader(cluster *Cluster, controller *ControllerNode, deadline time.Time) (wait func()) {
	var reader sync.WaitGroup
	reader.Go(func() {
		for time.Now().Before(deadline) {
			o.readVersion(cluster, controller)
			time.Sleep(150 * time.Millisecond)
		}
	})
	return reader.Wait
}

// checkIsolation isolates a controller for isolationTime. Meanwhile it checks that the others commit changes, that gateways
// apply them, and the responses of the isolated controller.
func checkIsolation(t *testing.T, cluster *Cluster, isolated *ControllerNode, kind isolation, operators *operatorLog) {
	t.Helper()
	start := time.Now()
	kind.start(cluster, isolated)
	requireStatus(t, operators.send(cluster, cluster.Controllers[1], 1), http.StatusOK, "change at another controller")
	acknowledgedAt := time.Now()
	awaitVersion(t, cluster, 2, failoverBound)
	t.Logf("all gateways apply it %v after its acknowledgement", time.Since(acknowledgedAt))
	for time.Since(start) < isolationTime-5*time.Second {
		for _, status := range operators.sendConcurrently(cluster, isolated) {
			if isDefinite(status) && !kind.mayCommit {
				t.Errorf("an isolated controller answers a change with %d", status)
			}
		}
		operators.checkReports(cluster, isolated, kind)
		newest := operators.newest(time.Now())
		if newest == 2 {
			t.Fatal("the other controllers commit nothing")
		}
		awaitVersion(t, cluster, newest, configurationApplyMax)
		time.Sleep(1500 * time.Millisecond)
	}
	time.Sleep(time.Until(start.Add(isolationTime)))
}

// checkHistory compares the versions that a controller reports as committed with the acknowledged and the rejected ones.
func (o *operatorLog) checkHistory(t *testing.T, cluster *Cluster, controller *ControllerNode) {
	t.Helper()
	committed := committedVersions(t, cluster, controller)
	for version := range o.acknowledged {
		if !slices.Contains(committed, version) {
			t.Errorf("committed configuration is lost: version %d was acknowledged", version)
		}
	}
	for version := range o.rejected {
		if slices.Contains(committed, version) {
			t.Errorf("version %d was rejected and is committed", version)
		}
	}
}

// committedVersions returns the versions of a controller's history.
func committedVersions(t *testing.T, cluster *Cluster, controller *ControllerNode) (versions []uint64) {
	t.Helper()
	var history []struct {
		Version uint64 `json:"version"`
	}
	readJSON(t, cluster, controller, "/-/configuration/history", &history)
	for _, entry := range history {
		versions = append(versions, entry.Version)
	}
	return versions
}

// TestCommitKnownOnlyToProposer commits a version of which only the proposer knows that it is committed, while the proposer's
// messages are delayed. A controller that queries the other acceptors must not confirm their version as the newest.
func TestCommitKnownOnlyToProposer(t *testing.T) {
	runCluster(t, 520, 3, 3, func(t *testing.T, cluster *Cluster) {
		commitFirstVersion(t, cluster)
		operators := newOperatorLog()
		time.Sleep(4 * time.Second)
		polled, proposer, acceptor := cluster.Controllers[0], cluster.Controllers[1], cluster.Controllers[2]
		setPartitioned(cluster, polled.IP, proposer.IP, true)
		cluster.Network.SetExtraDelay(proposer.IP, acceptor.IP, 300*time.Millisecond)
		time.Sleep(3 * time.Second)
		wait := operators.startPollers(cluster, polled, time.Now().Add(4*time.Second))
		requireStatus(t, operators.send(cluster, proposer, 1), http.StatusOK, "change at the proposer")
		wait()
		operators.reportViolations(t)
		if operators.quorumReplies < 20 {
			t.Errorf("only %d replies were confirmed by a quorum: too few to check", operators.quorumReplies)
		}
	})
}

// TestContactAfterFullRestart kills all controllers and starts them one after the other. They must be connected to a quorum
// within the bound, although controllers that start early dial others that do not listen yet.
func TestContactAfterFullRestart(t *testing.T) {
	const bound = 200 * time.Millisecond
	for trial := range 8 {
		startInterval := time.Duration(8*trial) * time.Millisecond // others dial a controller before it listens
		t.Run(fmt.Sprint(startInterval), func(t *testing.T) {
			runCluster(t, uint64(530+trial), 3, 1, func(t *testing.T, cluster *Cluster) {
				commitFirstVersion(t, cluster)
				killAll(false, cluster.Controllers...)
				for _, controller := range cluster.Controllers {
					time.Sleep(startInterval)
					requireNoError(t, controller.Start())
				}
				start := time.Now()
				for _, controller := range cluster.Controllers {
					awaitQuorum(cluster, controller, start.Add(time.Second))
				}
				if elapsed := time.Since(start); elapsed > bound {
					t.Errorf("all controllers are connected to a quorum after %v, want at most %v", elapsed, bound)
				}
			})
		})
	}
}

// awaitQuorum polls a controller until a quorum confirms its reply or a deadline has passed.
func awaitQuorum(cluster *Cluster, controller *ControllerNode, deadline time.Time) {
	operators := &operatorLog{}
	p := newPoller(cluster, controller)
	defer p.client.Close()
	for operators.quorumReplies == 0 && time.Now().Before(deadline) {
		operators.poll(p, true)
		time.Sleep(10 * time.Millisecond)
	}
}
