package simcluster

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"
)

// halvesTest is one run in which the controllers are cut into halves again and again, whatever is tolerated. Operators and
// gateways reach both halves.
type halvesTest struct {
	cluster   *Cluster
	random    *rand.Rand
	operators *operatorLog
}

func newHalvesTest(cluster *Cluster, seed uint64) *halvesTest {
	return &halvesTest{cluster: cluster, random: rand.New(rand.NewPCG(seed, 41)), operators: newOperatorLog()}
}

// cut cuts the controllers into two halves, drawn anew. It replaces the cut before it at once.
func (h *halvesTest) cut() (first, second []*ControllerNode) {
	h.cluster.Network.Heal()
	controllers := h.cluster.Controllers
	for n, i := range h.random.Perm(len(controllers)) {
		if n%2 == 0 {
			first = append(first, controllers[i])
		} else {
			second = append(second, controllers[i])
		}
	}
	for _, a := range first {
		for _, b := range second {
			setPartitioned(h.cluster, a.IP, b.IP, true)
		}
	}
	return first, second
}

// sendOnBothSides has two operators send changes on one base, one on each side, while the configuration is read on both.
func (h *halvesTest) sendOnBothSides(first, second []*ControllerNode) {
	basedOn := h.operators.newest(time.Now())
	var callers sync.WaitGroup
	for _, side := range [][]*ControllerNode{first, second} {
		to, reader := side[h.random.IntN(len(side))], side[h.random.IntN(len(side))]
		callers.Go(func() { h.operators.send(h.cluster, to, basedOn) })
		callers.Go(func() { h.operators.readVersion(h.cluster, reader) })
	}
	callers.Wait()
}

// playCuts cuts the controllers several times, the second time just as the first cut ends, and then heals the network.
func (h *halvesTest) playCuts(cuts int) {
	for range cuts {
		first, second := h.cut()
		time.Sleep(h.upTo(200))
		h.sendOnBothSides(first, second)
		time.Sleep(h.upTo(2500))
	}
	h.cluster.Network.Heal()
}

// upTo draws a time below so many milliseconds.
func (h *halvesTest) upTo(milliseconds int) time.Duration {
	return time.Duration(h.random.IntN(milliseconds)) * time.Millisecond
}

// check checks that the cluster serves again within a time, that nothing acknowledged is lost, and that of two changes on one
// base one at most is acknowledged.
func (h *halvesTest) check(t *testing.T, within time.Duration) {
	t.Helper()
	version := h.operators.nextVersion()
	served := eventually(within, retryPause, func() bool {
		basedOn := h.newestRead()
		if basedOn == 0 {
			return false
		}
		status := replaceOnRunning(h.cluster, basedOn, ExampleConfiguration(version, FirstSharding), 1)
		h.operators.recordOutcome(version, status)
		return status == http.StatusOK
	})
	if !served {
		t.Errorf("no change is acknowledged %v after all controllers are back", within)
	}
	time.Sleep(catchUpTime)
	for _, controller := range h.cluster.runningControllers() {
		if read := readWithRetry(h.cluster, controller, "/-/configuration/read"); read == nil {
			t.Errorf("%s does not return the configuration", controller.IP)
		} else if got := parseVersion(t, read); got < version {
			t.Errorf("committed configuration is lost: %s returns version %d, %d was acknowledged", controller.IP, got, version)
		}
	}
	h.operators.checkHistory(t, h.cluster, h.cluster.runningControllers()[0])
	h.operators.reportViolations(t)
}

// newestRead returns the newest version that any running controller returns; 0 = none responds.
func (h *halvesTest) newestRead() (version uint64) {
	for _, controller := range h.cluster.runningControllers() {
		version = max(version, h.operators.readVersion(h.cluster, controller))
	}
	return version
}

// TestHalvesDuringReplacement cuts the controllers into halves at each step of a replacement, of three to six machines, planned
// or after a loss.
func TestHalvesDuringReplacement(t *testing.T) {
	steps := []time.Duration{0, 3 * time.Millisecond, 20 * time.Millisecond, 150 * time.Millisecond, 900 * time.Millisecond, 2300 * time.Millisecond}
	for trial := range 2 * len(steps) * *seedMultiplier {
		controllers, planned := 3+trial%4, trial%3 > 0
		t.Run(fmt.Sprintf("%d controllers, planned %t, %d", controllers, planned, trial), func(t *testing.T) {
			runCluster(t, 3100+uint64(trial), controllers, 1, func(t *testing.T, cluster *Cluster) {
				commitFirstVersion(t, cluster)
				time.Sleep(catchUpTime)
				halves := newHalvesTest(cluster, uint64(trial))
				replaced := cluster.Controllers[trial%controllers]
				requireNoError(t, cluster.AddController().Start())
				var ending sync.WaitGroup
				if planned {
					time.Sleep(catchUpTime)
					ending.Go(replaced.Shutdown)
				} else {
					replaced.Kill(true)
					replaced.WipeDisk()
				}
				time.Sleep(steps[trial/2%len(steps)])
				halves.playCuts(1 + trial%3)
				ending.Wait()
				halves.check(t, recoveryTime)
			})
		})
	}
}

// recoveryTime is how long service may rest after all machines are back (recovery_s).
const recoveryTime = 12 * time.Second

// TestLossesOverlapHalves cuts the controllers into halves while as many disks as are tolerated are lost on one side, and the
// other side loses its power.
func TestLossesOverlapHalves(t *testing.T) {
	for trial := range 8 * *seedMultiplier {
		controllers := 3 + 2*(trial%2)
		t.Run(fmt.Sprint(controllers, " ", trial), func(t *testing.T) {
			runCluster(t, 3200+uint64(trial), controllers, 1, func(t *testing.T, cluster *Cluster) {
				commitFirstVersion(t, cluster)
				time.Sleep(catchUpTime)
				halves := newHalvesTest(cluster, uint64(trial))
				first, second := halves.cut()
				halves.sendOnBothSides(first, second)
				wiped := first[:min(len(first), cluster.toleratedFailures)]
				killAll(true, wiped...)
				for _, controller := range wiped {
					controller.WipeDisk()
				}
				time.Sleep(halves.upTo(300))
				killAll(true, second...)
				time.Sleep(halves.upTo(1500))
				startAll(t, append(wiped, second...)...)
				halves.cut() // as the first cut ends
				time.Sleep(halves.upTo(1500))
				cluster.Network.Heal()
				halves.check(t, recoveryTime)
			})
		})
	}
}

// TestFrozenMemberResumesInOtherHalf freezes a controller, with its clock or without, before the others are cut into halves. It
// resumes in the half of whoever it knew least of, or alone.
func TestFrozenMemberResumesInOtherHalf(t *testing.T) {
	for trial := range 8 * *seedMultiplier {
		controllers := 3 + trial%4
		t.Run(fmt.Sprint(controllers, " ", trial), func(t *testing.T) {
			runCluster(t, 3300+uint64(trial), controllers, 1, func(t *testing.T, cluster *Cluster) {
				commitFirstVersion(t, cluster)
				time.Sleep(catchUpTime)
				halves := newHalvesTest(cluster, uint64(trial))
				frozen := cluster.Controllers[trial%controllers]
				frozen.Controller.Freeze(2*time.Second, trial%2 == 0)
				halves.sendOnBothSides(cluster.Controllers, cluster.Controllers) // its replies wait for it
				halves.playCuts(2)
				halves.check(t, recoveryTime)
			})
		})
	}
}

// TestWipedDisksAndPowerLossOfAllOthers wipes as many disks as are tolerated while everything else loses power at that moment:
// controllers, gateways and servers, at each step of a change and of a replacement.
func TestWipedDisksAndPowerLossOfAllOthers(t *testing.T) {
	const step = 900 * time.Microsecond
	for trial := range 12 * *seedMultiplier {
		controllers, replaces := 3+2*(trial%2), trial%4 >= 2
		t.Run(fmt.Sprintf("%d controllers, replacement %t, %d", controllers, replaces, trial), func(t *testing.T) {
			runCluster(t, 3400+uint64(trial), controllers, 1, func(t *testing.T, cluster *Cluster) {
				commitFirstVersion(t, cluster)
				time.Sleep(catchUpTime)
				halves := newHalvesTest(cluster, uint64(trial))
				if replaces {
					requireNoError(t, cluster.AddController().Start())
					time.Sleep(catchUpTime)
					go cluster.Controllers[controllers-1].cancel() // it is asked to shut down, and hands its membership over
				}
				var operator sync.WaitGroup
				operator.Go(func() { halves.operators.send(cluster, cluster.Controllers[0], 1) })
				time.Sleep(time.Duration(trial) * step)
				losePowerAndDisks(cluster, halves.random)
				operator.Wait()
				time.Sleep(halves.upTo(1000))
				startEverything(t, cluster, halves.random)
				halves.check(t, recoveryTime)
			})
		})
	}
}

// losePowerAndDisks cuts the power of everything and empties as many disks as may be lost.
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

// startEverything starts all machines, the controllers in any order.
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
