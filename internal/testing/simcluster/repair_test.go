package simcluster

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"oxbowspan/consensus"
)

// TestReturningControllersAreRepaired partitions or kills two of five controllers while a version is committed by a bare
// majority. After they return, their disks must hold the version within catchUpTime. Then two of the others lose their disks
// and all lose power: the version must not be lost.
func TestReturningControllersAreRepaired(t *testing.T) {
	for _, killed := range []bool{false, true} {
		t.Run(fmt.Sprint("killed=", killed), func(t *testing.T) {
			runCluster(t, 101, 5, 1, func(t *testing.T, cluster *Cluster) {
				commitFirstVersion(t, cluster)
				time.Sleep(catchUpTime)
				absent := cluster.Controllers[3:5]
				for _, controller := range absent {
					isolate(cluster, controller)
					if killed {
						controller.Kill(true)
					}
				}
				status := cluster.ReplaceConfiguration(cluster.Controllers[0], 1, ExampleConfiguration(2, ExampleResharding))
				requireStatus(t, status, http.StatusOK, "version 2 by a bare majority")
				cluster.Network.Heal()
				if killed {
					startAll(t, absent...)
				}
				awaitReplicated(t, cluster, 2, catchUpTime)
				time.Sleep(catchUpTime)
				for _, controller := range cluster.Controllers[:2] {
					controller.Kill(true)
					controller.WipeDisk()
				}
				powerCycle(t, cluster)
				time.Sleep(3 * time.Second)
				checkReadBack(t, cluster, ExampleConfiguration(2, ExampleResharding))
			})
		})
	}
}

// TestNewMemberReceivesReplica adds a controller whose disk is full, so that it becomes a member without accepting that change
// and holds no replica. Once its disk has space it must receive the replica without a further change. Then another controller
// is lost with its disk and all lose power: the version must not be lost.
func TestNewMemberReceivesReplica(t *testing.T) {
	runCluster(t, 102, 3, 1, func(t *testing.T, cluster *Cluster) {
		commitFirstVersion(t, cluster)
		cluster.Controllers[0].Kill(true)
		added, observer := cluster.AddController(), cluster.Controllers[1]
		requireNoError(t, added.Start())
		restore := fillDisk(t, added)
		time.Sleep(catchUpTime)
		members, _ := acceptors(cluster)
		if !slices.ContainsFunc(members, added.isMember) {
			t.Fatal("the added controller is not a member")
		}
		if len(missingReplicas(cluster, 1)) == 0 {
			t.Fatal("the added controller holds a replica, though its disk is full")
		}
		if losses := tolerableLosses(t, cluster, observer); losses != 0 {
			t.Errorf("%s reports that %d disks may be lost, though a member holds no replica", observer.IP, losses)
		}

		restore()
		awaitReplicated(t, cluster, 1, 2*consensus.MaxRepairBackoff)
		time.Sleep(catchUpTime)
		if losses := tolerableLosses(t, cluster, observer); losses != 1 {
			t.Errorf("%s reports that %d disks may be lost with all replicas complete, want 1", observer.IP, losses)
		}
		observer.Kill(true)
		observer.WipeDisk()
		powerCycle(t, cluster)
		status := replaceOnRunning(cluster, 1, ExampleConfiguration(2, ExampleResharding), 10)
		expectStatus(t, status, http.StatusOK, "change with another controller lost")
		checkReadBack(t, cluster, ExampleConfiguration(2, ExampleResharding))
	})
}

// TestLongPartitionAndSecondLoss isolates a controller for about 20 s, so that a spare replaces it as a member. Meanwhile another
// controller is lost: the rest must still commit with the spare. The isolated controller must serve nothing outdated after its
// return, and becomes a member again as soon as possible.
func TestLongPartitionAndSecondLoss(t *testing.T) {
	runCluster(t, 140, 3, 1, func(t *testing.T, cluster *Cluster) {
		requireNoError(t, cluster.AddController().Start())
		commitFirstVersion(t, cluster)
		time.Sleep(catchUpTime)
		isolate(cluster, cluster.Controllers[0])
		time.Sleep(catchUpTime + 2*time.Second)
		cluster.Controllers[1].Kill(true)
		status := replaceOnRunning(cluster, 1, ExampleConfiguration(2, ExampleResharding), 10)
		expectStatus(t, status, http.StatusOK, "change with one controller replaced by a spare and one lost")
		time.Sleep(10 * time.Second)
		cluster.Network.Heal()
		time.Sleep(catchUpTime)
		awaitReplicated(t, cluster, 2, catchUpTime)
		powerCycle(t, cluster)
		time.Sleep(3 * time.Second)
		checkReadBack(t, cluster, ExampleConfiguration(2, ExampleResharding))
	})
}

// lossTest is one run of TestTwoOfFiveLostInTurn.
type lossTest struct {
	cluster *Cluster
	trial   int
	version uint64 // the newest
	steps   int    // completed so far
}

// TestTwoOfFiveLostInTurn loses two of five controllers one after the other, in different ways, and restarts or replaces them.
// All may lose power between any two steps. After each step the acknowledged version must be read back, and after catchUpTime
// all replicas must be complete.
func TestTwoOfFiveLostInTurn(t *testing.T) {
	for trial := range 6 {
		t.Run(fmt.Sprint(trial), func(t *testing.T) {
			runCluster(t, 150+uint64(trial), 5, 1, func(t *testing.T, cluster *Cluster) {
				commitFirstVersion(t, cluster)
				time.Sleep(catchUpTime)
				test := &lossTest{cluster: cluster, trial: trial, version: 1}
				for round := range 3 {
					test.loseTwo(t, round)
				}
				time.Sleep(catchUpTime)
				checkReadBack(t, cluster, ExampleConfiguration(test.version, ExampleSharding))
			})
		})
	}
}

// loseTwo loses two controllers one after the other and restarts or replaces both.
func (l *lossTest) loseTwo(t *testing.T, round int) {
	t.Helper()
	running := l.cluster.runningControllers()
	first, second := running[(l.trial+round)%5], running[(l.trial+round+1+l.trial%3)%5]
	first.Kill(true)
	l.commit(t)
	l.endStep(t)
	second.Kill(l.trial%2 == 0)
	l.commit(t)
	l.endStep(t)
	for i, lost := range []*ControllerNode{first, second} {
		switch (l.trial + round + i) % 3 {
		case 0: // it restarts with its disk
			requireNoError(t, lost.Start())
		case 1: // it restarts with an empty disk
			lost.WipeDisk()
			requireNoError(t, lost.Start())
		case 2: // a new controller replaces it
			requireNoError(t, l.cluster.AddController().Start())
		}
		time.Sleep(catchUpTime)
		if missing := missingReplicas(l.cluster, l.version); len(missing) > 0 && lost == second {
			t.Errorf("round %d: with five controllers version %d is not on the disks of %v", round, l.version, missing)
		}
		l.endStep(t)
	}
}

// commit commits the next version.
func (l *lossTest) commit(t *testing.T) {
	t.Helper()
	l.version++
	status := replaceOnRunning(l.cluster, l.version-1, ExampleConfiguration(l.version, ExampleSharding), 15)
	requireStatus(t, status, http.StatusOK, "version %d", l.version)
}

// endStep cuts the power of all controllers after some steps, and checks the version that is read back.
func (l *lossTest) endStep(t *testing.T) {
	t.Helper()
	if (l.trial+l.steps)%3 == 0 {
		powerCycle(t, l.cluster)
		time.Sleep(2 * time.Second)
	}
	text := l.cluster.ReadConfiguration(l.cluster.runningControllers()[0])
	if text != nil && !bytes.Equal(text, ExampleConfiguration(l.version, ExampleSharding)) {
		t.Errorf("committed configuration is lost: after step %d version %d is not read back", l.steps, l.version)
	}
	l.steps++
}

// TestNoWritesWhenIdle checks that no acceptor writes, and so no proposal runs, while all replicas are complete.
func TestNoWritesWhenIdle(t *testing.T) {
	runCluster(t, 160, 5, 1, func(t *testing.T, cluster *Cluster) {
		commitFirstVersion(t, cluster)
		time.Sleep(catchUpTime)
		awaitReplicated(t, cluster, 1, catchUpTime)
		time.Sleep(2 * time.Second)
		before := map[string]consensus.AcceptorState{} // by IP address
		for _, controller := range cluster.Controllers {
			before[controller.IP], _ = controller.Controller.StoredState()
		}
		time.Sleep(2 * time.Minute)
		for _, controller := range cluster.Controllers {
			state, ok := controller.Controller.StoredState()
			if !ok || state.DiffersFrom(before[controller.IP]) {
				t.Errorf("%s wrote while idle: it promised %v, before that %v", controller.IP, state.Promised, before[controller.IP].Promised)
			}
		}
	})
}
