package simcluster

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"
)

// splitTest is one run in which the controllers are repeatedly partitioned into two halves, whether or not the system tolerates
// that. Operators and gateways reach both halves.
type splitTest struct {
	cluster   *Cluster
	random    *rand.Rand
	operators *operatorLog
}

func newSplitTest(cluster *Cluster, seed uint64) *splitTest {
	return &splitTest{cluster: cluster, random: rand.New(rand.NewPCG(seed, 41)), operators: newOperatorLog()}
}

// split partitions the controllers into two random halves. It replaces the previous partition immediately.
func (s *splitTest) split() (first, second []*ControllerNode) {
	s.cluster.Network.Heal()
	controllers := s.cluster.Controllers
	for n, i := range s.random.Perm(len(controllers)) {
		if n%2 == 0 {
			first = append(first, controllers[i])
		} else {
			second = append(second, controllers[i])
		}
	}
	for _, a := range first {
		for _, b := range second {
			setPartitioned(s.cluster, a.IP, b.IP, true)
		}
	}
	return first, second
}

// sendOnBothSides sends two changes on one base concurrently, one to each half, and reads the configuration on both halves.
func (s *splitTest) sendOnBothSides(first, second []*ControllerNode) {
	basedOn := s.operators.newest(time.Now())
	var callers sync.WaitGroup
	for _, side := range [][]*ControllerNode{first, second} {
		to, reader := side[s.random.IntN(len(side))], side[s.random.IntN(len(side))]
		callers.Go(func() { s.operators.send(s.cluster, to, basedOn) })
		callers.Go(func() { s.operators.readVersion(s.cluster, reader) })
	}
	callers.Wait()
}

// splitRepeatedly splits the controllers several times, each time as the previous partition ends, and then heals the network.
func (s *splitTest) splitRepeatedly(count int) {
	for range count {
		first, second := s.split()
		time.Sleep(s.randomDuration(200))
		s.sendOnBothSides(first, second)
		time.Sleep(s.randomDuration(2500))
	}
	s.cluster.Network.Heal()
}

// randomDuration returns a random duration below a number of milliseconds.
func (s *splitTest) randomDuration(milliseconds int) time.Duration {
	return time.Duration(s.random.IntN(milliseconds)) * time.Millisecond
}

// check checks that the cluster acknowledges a change within a time, that no acknowledged change is lost, and that at most one
// of two changes on one base is acknowledged.
func (s *splitTest) check(t *testing.T, within time.Duration) {
	t.Helper()
	version := s.operators.nextVersion()
	served := eventually(within, retryPause, func() bool {
		basedOn := s.newestRead()
		if basedOn == 0 {
			return false
		}
		status := replaceOnRunning(s.cluster, basedOn, ExampleConfiguration(version, ExampleSharding), 1)
		s.operators.recordOutcome(version, status)
		return status == http.StatusOK
	})
	if !served {
		t.Errorf("no change is acknowledged within %v after all controllers are back", within)
	}
	time.Sleep(catchUpTime)
	for _, controller := range s.cluster.runningControllers() {
		if read := readWithRetry(s.cluster, controller, "/-/configuration/read"); read == nil {
			t.Errorf("%s does not return the configuration", controller.IP)
		} else if got := parseVersion(t, read); got < version {
			t.Errorf("committed configuration is lost: %s returns version %d, %d was acknowledged", controller.IP, got, version)
		}
	}
	s.operators.checkHistory(t, s.cluster, s.cluster.runningControllers()[0])
	s.operators.reportViolations(t)
}

// newestRead returns the newest version that any running controller returns; 0 means that none responds.
func (s *splitTest) newestRead() (version uint64) {
	for _, controller := range s.cluster.runningControllers() {
		version = max(version, s.operators.readVersion(s.cluster, controller))
	}
	return version
}

// TestHalvesDuringReplacement partitions three to six controllers into halves at different moments of a replacement, planned or
// after a loss.
func TestHalvesDuringReplacement(t *testing.T) {
	delays := []time.Duration{0, 3 * time.Millisecond, 20 * time.Millisecond, 150 * time.Millisecond, 900 * time.Millisecond, 2300 * time.Millisecond}
	for trial := range 2 * len(delays) * *seedMultiplier {
		controllers, planned := 3+trial%4, trial%3 > 0
		t.Run(fmt.Sprintf("%d controllers, planned %t, %d", controllers, planned, trial), func(t *testing.T) {
			runCluster(t, 3100+uint64(trial), controllers, 1, func(t *testing.T, cluster *Cluster) {
				commitFirstVersion(t, cluster)
				time.Sleep(catchUpTime)
				test := newSplitTest(cluster, uint64(trial))
				replaced := cluster.Controllers[trial%controllers]
				requireNoError(t, cluster.AddController().Start())
				var shutdown sync.WaitGroup
				if planned {
					time.Sleep(catchUpTime)
					shutdown.Go(replaced.Shutdown)
				} else {
					replaced.Kill(true)
					replaced.WipeDisk()
				}
				time.Sleep(delays[trial/2%len(delays)])
				test.splitRepeatedly(1 + trial%3)
				shutdown.Wait()
				test.check(t, recoveryTime)
			})
		})
	}
}

// recoveryTime is the longest time until changes are acknowledged after all machines are back (recovery_s).
const recoveryTime = 12 * time.Second

// TestLossesOverlapHalves partitions the controllers into halves. Meanwhile one half loses as many disks as are tolerated and the
// other half loses power.
func TestLossesOverlapHalves(t *testing.T) {
	for trial := range 8 * *seedMultiplier {
		controllers := 3 + 2*(trial%2)
		t.Run(fmt.Sprint(controllers, " ", trial), func(t *testing.T) {
			runCluster(t, 3200+uint64(trial), controllers, 1, func(t *testing.T, cluster *Cluster) {
				commitFirstVersion(t, cluster)
				time.Sleep(catchUpTime)
				test := newSplitTest(cluster, uint64(trial))
				first, second := test.split()
				test.sendOnBothSides(first, second)
				wiped := first[:min(len(first), cluster.toleratedFailures)]
				killAll(true, wiped...)
				for _, controller := range wiped {
					controller.WipeDisk()
				}
				time.Sleep(test.randomDuration(300))
				killAll(true, second...)
				time.Sleep(test.randomDuration(1500))
				startAll(t, append(wiped, second...)...)
				test.split() // as the first partition ends
				time.Sleep(test.randomDuration(1500))
				cluster.Network.Heal()
				test.check(t, recoveryTime)
			})
		})
	}
}

// TestFrozenMemberResumesInOtherHalf freezes a controller, with or without its clock, and then partitions the controllers into
// halves. The controller resumes among those whose state it knew least, or alone.
func TestFrozenMemberResumesInOtherHalf(t *testing.T) {
	for trial := range 8 * *seedMultiplier {
		controllers := 3 + trial%4
		t.Run(fmt.Sprint(controllers, " ", trial), func(t *testing.T) {
			runCluster(t, 3300+uint64(trial), controllers, 1, func(t *testing.T, cluster *Cluster) {
				commitFirstVersion(t, cluster)
				time.Sleep(catchUpTime)
				test := newSplitTest(cluster, uint64(trial))
				frozen := cluster.Controllers[trial%controllers]
				frozen.Controller.Freeze(2*time.Second, trial%2 == 0)
				test.sendOnBothSides(cluster.Controllers, cluster.Controllers) // replies to the frozen controller stay unread
				test.splitRepeatedly(2)
				test.check(t, recoveryTime)
			})
		})
	}
}

// TestWipedDisksAndPowerLossOfAllOthers wipes as many disks as are tolerated while all controllers, gateways and servers lose
// power, at different moments of a change and of a replacement.
func TestWipedDisksAndPowerLossOfAllOthers(t *testing.T) {
	const stepDelay = 900 * time.Microsecond
	for trial := range 12 * *seedMultiplier {
		controllers, replaces := 3+2*(trial%2), trial%4 >= 2
		t.Run(fmt.Sprintf("%d controllers, replacement %t, %d", controllers, replaces, trial), func(t *testing.T) {
			runCluster(t, 3400+uint64(trial), controllers, 1, func(t *testing.T, cluster *Cluster) {
				commitFirstVersion(t, cluster)
				time.Sleep(catchUpTime)
				test := newSplitTest(cluster, uint64(trial))
				if replaces {
					requireNoError(t, cluster.AddController().Start())
					time.Sleep(catchUpTime)
					go cluster.Controllers[controllers-1].cancel() // requests a graceful shutdown, which hands over its membership
				}
				var operator sync.WaitGroup
				operator.Go(func() { test.operators.send(cluster, cluster.Controllers[0], 1) })
				time.Sleep(time.Duration(trial) * stepDelay)
				losePowerAndDisks(cluster, test.random)
				operator.Wait()
				time.Sleep(test.randomDuration(1000))
				startEverything(t, cluster, test.random)
				test.check(t, recoveryTime)
			})
		})
	}
}

// losePowerAndDisks cuts the power of all machines and wipes as many disks as the system tolerates.
func losePowerAndDisks(cluster *Cluster, random *rand.Rand) {
	killAll(true, cluster.Controllers...)
	for _, gateway := range cluster.Gateways {
		gateway.Kill(true)
	}
	for _, server := range cluster.Servers {
		server.Crash(true)
	}
	for _, i := range random.Perm(len(cluster.Controllers))[:cluster.toleratedFailures] {
		cluster.Controllers[i].WipeDisk()
	}
}

// startEverything starts all machines, the controllers in random order.
func startEverything(t *testing.T, cluster *Cluster, random *rand.Rand) {
	t.Helper()
	for _, i := range random.Perm(len(cluster.Controllers)) {
		requireNoError(t, cluster.Controllers[i].Start())
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	}
	for _, gateway := range cluster.Gateways {
		gateway.Start()
	}
	for _, server := range cluster.Servers {
		requireNoError(t, server.Start())
	}
}
