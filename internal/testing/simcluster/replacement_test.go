package simcluster

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// timeShutdown shuts a controller down gracefully and returns the time that this took.
func timeShutdown(controller *ControllerNode) time.Duration {
	start := time.Now()
	controller.Shutdown()
	return time.Since(start)
}

// expectCommitAfterReplacement checks that the running controllers commit a version after a planned replacement, with as many
// other controllers lost as the system tolerates.
func expectCommitAfterReplacement(t *testing.T, cluster *Cluster, version uint64, attempts int) {
	t.Helper()
	status := replaceOnRunning(cluster, version-1, ExampleConfiguration(version, ExampleSharding), attempts)
	expectStatus(t, status, http.StatusOK, "version %d with %d controllers lost after a replacement", version, cluster.toleratedFailures)
}

// TestPlannedReplacementWithConcurrentLoss adds a controller, waits catchUpTime, and shuts down another controller, whose disk is
// lost. As many others as the system tolerates are lost at the same moment. The rest must commit a change and hold every
// acknowledged version, also if all lose power in between.
func TestPlannedReplacementWithConcurrentLoss(t *testing.T) {
	for trial := range 8 {
		controllers, powerLoss := 3+2*(trial%2), trial >= 4
		t.Run(fmt.Sprint(controllers, " ", trial), func(t *testing.T) {
			runCluster(t, 110+uint64(trial), controllers, 1, func(t *testing.T, cluster *Cluster) {
				commitFirstVersion(t, cluster)
				time.Sleep(catchUpTime)
				requireNoError(t, cluster.AddController().Start())
				time.Sleep(catchUpTime)
				replaced := cluster.Controllers[trial%controllers]
				status := replaceWithRetry(cluster, 1, ExampleConfiguration(2, ExampleResharding), 5)
				requireStatus(t, status, http.StatusOK, "version 2")
				t.Logf("it shuts down after %v", timeShutdown(replaced))
				replaced.WipeDisk()
				others := cluster.runningControllers()
				for i := range cluster.toleratedFailures {
					others[(trial/2+i)%len(others)].Kill(true)
				}
				if powerLoss {
					powerCycle(t, cluster)
				}
				expectCommitAfterReplacement(t, cluster, 3, 8)
				time.Sleep(2 * time.Second)
				checkReadBack(t, cluster, ExampleConfiguration(3, ExampleSharding))
			})
		})
	}
}

// TestPlannedReplacementWithStalledDisks replaces a controller while disks stall for longer than a handover takes: those of as
// many remaining members as may be lost, and that of the successor. The replaced controller must not exit before its membership
// is handed over and the handover is durable. Then the members with a stalled disk are lost.
func TestPlannedReplacementWithStalledDisks(t *testing.T) {
	const stall = 3 * time.Second
	for _, controllers := range []int{3, 5} {
		t.Run(fmt.Sprint(controllers), func(t *testing.T) {
			runCluster(t, 125, controllers, 1, func(t *testing.T, cluster *Cluster) {
				commitFirstVersion(t, cluster)
				time.Sleep(catchUpTime)
				successor := cluster.AddController()
				requireNoError(t, successor.Start())
				time.Sleep(catchUpTime)
				successor.Controller.StallDisk(stall)
				replaced, stalled := cluster.Controllers[0], cluster.Controllers[1:1+cluster.toleratedFailures]
				for _, controller := range stalled {
					controller.Controller.StallDisk(stall)
				}
				t.Logf("it shuts down after %v", timeShutdown(replaced))
				replaced.WipeDisk()
				killAll(true, stalled...)
				powerCycle(t, cluster)
				expectCommitAfterReplacement(t, cluster, 2, 10)
				checkReadBack(t, cluster, ExampleConfiguration(2, ExampleSharding))
			})
		})
	}
}

// TestPowerLossDuringReplacement cuts the power of all controllers at different moments of a planned replacement. The replaced
// controller is shut down again, and after it has exited as many others as the system tolerates are lost.
func TestPowerLossDuringReplacement(t *testing.T) {
	for trial := range 10 {
		controllers := 3 + 2*(trial%2)
		t.Run(fmt.Sprint(controllers, " ", trial), func(t *testing.T) {
			runCluster(t, 170+uint64(trial), controllers, 1, func(t *testing.T, cluster *Cluster) {
				commitFirstVersion(t, cluster)
				time.Sleep(catchUpTime)
				requireNoError(t, cluster.AddController().Start())
				time.Sleep(catchUpTime)
				replaced := cluster.Controllers[0]
				go replaced.cancel() // requests a graceful shutdown
				time.Sleep(time.Duration(trial) * 3 * time.Millisecond)
				powerCycle(t, cluster)
				time.Sleep(time.Duration(trial%3) * 100 * time.Millisecond)
				replaced.Shutdown()
				replaced.WipeDisk()
				killAll(true, cluster.runningControllers()[:cluster.toleratedFailures]...)
				expectCommitAfterReplacement(t, cluster, 2, 10)
				checkReadBack(t, cluster, ExampleConfiguration(2, ExampleSharding))
			})
		})
	}
}

// TestMemberOfBareMajorityShutsDown shuts down a member of the bare majority that committed a version, just after the absent
// controllers have restarted. It must not exit before they hold the version.
func TestMemberOfBareMajorityShutsDown(t *testing.T) {
	for _, controllers := range []int{3, 5} {
		t.Run(fmt.Sprint(controllers), func(t *testing.T) {
			runCluster(t, 120, controllers, 1, func(t *testing.T, cluster *Cluster) {
				commitFirstVersion(t, cluster)
				time.Sleep(catchUpTime)
				majority, absent := cluster.Controllers[:controllers/2+1], cluster.Controllers[controllers/2+1:]
				killAll(true, absent...)
				status := cluster.ReplaceConfiguration(majority[0], 1, ExampleConfiguration(2, ExampleResharding))
				requireStatus(t, status, http.StatusOK, "version 2 by a bare majority")
				startAll(t, absent...)
				time.Sleep(50 * time.Millisecond)
				if elapsed := timeShutdown(majority[0]); elapsed > catchUpTime {
					t.Errorf("it shuts down after %v, want at most %v", elapsed, catchUpTime)
				}
				majority[0].WipeDisk()
				expectStored(t, cluster.Controllers[1:], 2)

				// This exceeds the tolerated losses: no disk of the majority that accepted the version is left.
				for _, controller := range majority[1:] {
					controller.Kill(true)
					controller.WipeDisk()
				}
				powerCycle(t, cluster)
				time.Sleep(3 * time.Second)
				expectStored(t, absent, 2)
			})
		})
	}
}

// expectStored checks that the disks of running controllers hold a version.
func expectStored(t *testing.T, controllers []*ControllerNode, version uint64) {
	t.Helper()
	for _, controller := range controllers {
		if !storesVersion(controller, version) {
			t.Errorf("committed configuration is lost: %s does not hold version %d", controller.IP, version)
		}
	}
}

// TestMemberShutdownGracePeriod shuts down a member while another one is lost and no controller can replace it. The member must
// accept proposals and serve calls until shortly before the end of its grace period, and then exit. A kill during the shutdown
// must end it immediately.
func TestMemberShutdownGracePeriod(t *testing.T) {
	runCluster(t, 180, 3, 1, func(t *testing.T, cluster *Cluster) {
		commitFirstVersion(t, cluster)
		time.Sleep(catchUpTime)
		member, lost := cluster.Controllers[0], cluster.Controllers[2]
		lost.Kill(true)
		commitVersion(t, cluster, 2)
		elapsed := make(chan time.Duration, 1)
		go func() { elapsed <- timeShutdown(member) }()
		time.Sleep(time.Second)
		status := cluster.ReplaceConfiguration(member, 2, ExampleConfiguration(3, ExampleSharding))
		expectStatus(t, status, http.StatusOK, "change at a member that is shutting down and needed for the quorum")
		if shutdownTime := <-elapsed; shutdownTime < gracePeriod/2 || shutdownTime > gracePeriod {
			t.Errorf("the member shuts down after %v, want %v to %v", shutdownTime, gracePeriod/2, gracePeriod)
		}

		requireNoError(t, member.Start())
		time.Sleep(2 * time.Second)
		running := member.Controller
		go func() {
			time.Sleep(time.Second)
			running.Kill()
		}()
		if shutdownTime := timeShutdown(member); shutdownTime > 1100*time.Millisecond {
			t.Errorf("killed a second after the shutdown began, the member ends after %v", shutdownTime)
		}
		startAll(t, member, lost)
		awaitReplicated(t, cluster, 3, catchUpTime)
		checkReadBack(t, cluster, ExampleConfiguration(3, ExampleSharding))
	})
}

// TestRollingRestart shuts down and starts each controller in turn while a change is sent. With all replicas complete, each
// shutdown must complete within the bound.
func TestRollingRestart(t *testing.T) {
	const bound = 1500 * time.Millisecond
	runCluster(t, 130, 5, 1, func(t *testing.T, cluster *Cluster) {
		commitFirstVersion(t, cluster)
		time.Sleep(catchUpTime)
		awaitReplicated(t, cluster, 1, catchUpTime)
		for i, controller := range cluster.Controllers {
			version := uint64(i + 2)
			var operator sync.WaitGroup
			operator.Go(func() {
				time.Sleep(time.Duration(i) * 5 * time.Millisecond)
				status := replaceWithRetry(cluster, version-1, ExampleConfiguration(version, ExampleSharding), 10)
				expectStatus(t, status, http.StatusOK, "version %d while a controller restarts", version)
			})
			if elapsed := timeShutdown(controller); elapsed > bound {
				t.Errorf("controller %d shuts down after %v with all replicas complete, want at most %v", i, elapsed, bound)
			}
			time.Sleep(500 * time.Millisecond)
			requireNoError(t, controller.Start())
			operator.Wait()
			awaitReplicated(t, cluster, version, catchUpTime)
			time.Sleep(catchUpTime / 2)
		}
		if members, _ := acceptors(cluster); len(members) != len(cluster.Controllers) {
			t.Errorf("there are %d members after the restarts, want %d", len(members), len(cluster.Controllers))
		}
		checkReadBack(t, cluster, ExampleConfiguration(6, ExampleSharding))
	})
}
