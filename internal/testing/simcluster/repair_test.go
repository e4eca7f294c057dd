package simcluster

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"oxbowspan/consensus"
	"oxbowspan/controlplane"
)

// catchUpTime is what the platform grants a machine that is back, or new, before others may be lost (catch_up_s).
const catchUpTime = 4 * time.Second

// isolate cuts a machine of the core off from all others of the core.
func isolate(cluster *Cluster, controller *ControllerNode) {
	for _, o := range cluster.Controllers {
		if o != controller {
			cluster.Network.SetPartitioned(controller.IP, o.IP, true)
			cluster.Network.SetPartitioned(o.IP, controller.IP, true)
		}
	}
}

// reconnect ends what isolate did.
func reconnect(cluster *Cluster, controller *ControllerNode) {
	for _, o := range cluster.Controllers {
		if o != controller {
			cluster.Network.SetPartitioned(controller.IP, o.IP, false)
			cluster.Network.SetPartitioned(o.IP, controller.IP, false)
		}
	}
}

// acceptors are the acceptors of the newest value that any running machine of the core knows, and the turn.
func acceptors(cluster *Cluster) (members []consensus.Member, turn consensus.Slot) {
	for _, m := range cluster.runningControllers() {
		if v := m.Controller.CommittedValue(); v != nil && v.Slot >= turn {
			members, turn = v.Members, v.Slot
		}
	}
	return members, turn
}

// missingReplicas names the members whose disks do not hold the newest agreed version, "" = none.
func missingReplicas(cluster *Cluster, version uint64) string {
	members, turn := acceptors(cluster)
	missing := ""
	for _, m := range members {
		held := false
		for _, h := range cluster.runningControllers() {
			s, ok := h.Controller.StoredState()
			held = held || ok && s.ID == m.ID && s.Value != nil && s.Value.Slot >= turn && uint64(s.Value.Version) == version
		}
		if !held {
			missing += " " + m.Address
		}
	}
	return missing
}

// awaitReplicated waits until the disks of all members hold a version, and tells how long that took.
func awaitReplicated(t *testing.T, cluster *Cluster, version uint64, within time.Duration) time.Duration {
	t.Helper()
	start := time.Now()
	for {
		missing := missingReplicas(cluster, version)
		if missing == "" {
			return time.Since(start)
		}
		if time.Since(start) > within {
			t.Errorf("COPIES: %v later version %d is not on the disks of%s", within, version, missing)
			return within
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// checkReadBack holds what all running machines read against what was acknowledged.
func checkReadBack(t *testing.T, cluster *Cluster, want []byte) {
	t.Helper()
	for _, controller := range cluster.runningControllers() {
		var got []byte
		for range 10 {
			if got = cluster.ReadConfiguration(controller); got != nil {
				break
			}
			time.Sleep(300 * time.Millisecond)
		}
		if !bytes.Equal(got, want) {
			t.Errorf("LOST: %s reads %.60q", controller.IP, got)
		}
	}
}

// powerCycle has all machines of the core that run lose power, and start again.
func powerCycle(t *testing.T, cluster *Cluster) {
	t.Helper()
	running := cluster.runningControllers()
	for _, controller := range running {
		controller.Kill(true)
	}
	for _, controller := range running {
		requireNoError(t, controller.Start())
	}
}

// (a) Two of five are away while a version is agreed, so that it lies on a bare majority. They return, by a cut that heals or
// by a start, and are granted their time: their disks hold it then. At once two of the others lose their disks, and the rest
// lose power.
func TestReturningControllersAreRepaired(t *testing.T) {
	for _, killed := range []bool{false, true} {
		t.Run(fmt.Sprint("killed=", killed), func(t *testing.T) {
			runCluster(t, 101, 5, 1, func(cluster *Cluster) {
				commitFirstVersion(t, cluster)
				time.Sleep(catchUpTime)
				away := cluster.Controllers[3:5]
				for _, controller := range away {
					if isolate(cluster, controller); killed {
						controller.Kill(true)
					}
				}
				if got := cluster.ReplaceConfiguration(cluster.Controllers[0], 1, ExampleConfiguration(2, SecondSharding)); got != http.StatusOK {
					t.Fatalf("version 2 by a bare majority: %d", got)
				}
				cluster.Network.Heal()
				if killed {
					for _, controller := range away {
						requireNoError(t, controller.Start())
					}
				}
				t.Logf("all copies are complete after %v", awaitReplicated(t, cluster, 2, catchUpTime))
				time.Sleep(catchUpTime)
				for _, controller := range cluster.Controllers[:2] {
					controller.Kill(true)
					controller.WipeDisk()
				}
				powerCycle(t, cluster)
				time.Sleep(3 * time.Second)
				checkReadBack(t, cluster, ExampleConfiguration(2, SecondSharding))
			})
		})
	}
}

// (b) A newcomer's disk is full when it gets its place: its place is agreed without its vote, and it holds no copy. Once there
// is room its copy comes, without another change. Then a second one is lost, with its disk, and all others lose power.
func TestNewMemberReceivesReplica(t *testing.T) {
	runCluster(t, 102, 3, 1, func(cluster *Cluster) {
		commitFirstVersion(t, cluster)
		cluster.Controllers[0].Kill(true)
		newcomer := cluster.AddController()
		requireNoError(t, newcomer.Start())
		restore := fillDisk(t, newcomer)
		time.Sleep(catchUpTime)
		members, _ := acceptors(cluster)
		if !slices.ContainsFunc(members, newcomer.isMember) {
			t.Fatal("the newcomer has no place")
		}
		if missingReplicas(cluster, 1) == "" {
			t.Fatal("the newcomer has its copy though its disk is full")
		}
		if got := tolerableDiskLosses(t, cluster, cluster.Controllers[1]); got != 0 {
			t.Errorf("%d disks may be lost, says a view, though a member holds no copy", got)
		}
		restore()
		t.Logf("all copies are complete %v after there is room", awaitReplicated(t, cluster, 1, 2*consensus.MaxRepairBackoff))
		time.Sleep(catchUpTime)
		if got := tolerableDiskLosses(t, cluster, cluster.Controllers[1]); got != 1 {
			t.Errorf("%d disks may be lost, says a view, with all copies complete", got)
		}
		cluster.Controllers[1].Kill(true)
		cluster.Controllers[1].WipeDisk()
		powerCycle(t, cluster)
		if got := replaceOnRunning(cluster, 1, ExampleConfiguration(2, SecondSharding), 10); got != http.StatusOK {
			t.Errorf("with another lost a change gets %d", got)
		}
		checkReadBack(t, cluster, ExampleConfiguration(2, SecondSharding))
	})
}

// tolerableDiskLosses is how many disks may be lost, as a machine of the core tells operators.
func tolerableDiskLosses(t *testing.T, cluster *Cluster, controller *ControllerNode) int {
	t.Helper()
	var view controlplane.MembershipStatus
	requireNoError(t, json.Unmarshal(cluster.ReadResource(controller, "/-/members/read"), &view))
	return view.TolerableLosses
}

// isMember tells whether a member is this machine.
func (m *ControllerNode) isMember(member consensus.Member) bool {
	return member.Address == m.settings().InternalAddress(0)
}

// (c, d) A planned replacement: the new machine comes and is granted its time, then the old one is told to end and is gone
// with its disk. As many others as are borne are lost at that moment: what is left agrees, and holds what was acknowledged.
// All may lose power between any two steps.
func TestPlannedReplacementWithConcurrentLoss(t *testing.T) {
	for k := range 8 {
		n, power := 3+2*(k%2), k/4
		t.Run(fmt.Sprint(n, " ", k), func(t *testing.T) {
			runCluster(t, 110+uint64(k), n, 1, func(c *Cluster) {
				commitFirstVersion(t, c)
				time.Sleep(catchUpTime)
				requireNoError(t, c.AddController().Start())
				time.Sleep(catchUpTime)
				old := c.Controllers[k%n]
				if got := replaceWithRetry(c, 1, ExampleConfiguration(2, SecondSharding), 5); got != http.StatusOK {
					t.Fatalf("version 2: %d", got)
				}
				began := time.Now()
				old.Shutdown()
				took := time.Since(began)
				old.WipeDisk()
				others := c.runningControllers()
				for i := range c.toleratedFailures {
					others[(k/2+i)%len(others)].Kill(true)
				}
				if power == 1 {
					powerCycle(t, c)
				}
				if got := replaceOnRunning(c, 2, ExampleConfiguration(3, FirstSharding), 8); got != http.StatusOK {
					t.Errorf("with %d lost right after a planned replacement a change gets %d", c.toleratedFailures, got)
				}
				t.Logf("it left after %v", took)
				time.Sleep(2 * time.Second)
				checkReadBack(t, c, ExampleConfiguration(3, FirstSharding))
			})
		})
	}
}

// replaceOnRunning sends a configuration to the machines that run until it has a clear answer.
func replaceOnRunning(cluster *Cluster, basedOn uint64, body []byte, attempts int) (status int) {
	for i := range attempts {
		running := cluster.runningControllers()
		if status = cluster.ReplaceConfiguration(running[i%len(running)], basedOn, body); status == http.StatusOK || status/100 == 4 {
			return status
		}
		time.Sleep(300 * time.Millisecond)
	}
	return status
}

// (c, d) A planned replacement while disks stall for longer than a hand-over takes: as many of those who stay as may be lost,
// and the successor's. The old machine stays until its place is handed over, confirmed and proven; then those whose disks
// stalled are lost.
func TestPlannedReplacementWithStalledDisks(t *testing.T) {
	for _, n := range []int{3, 5} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			runCluster(t, 125, n, 1, func(cluster *Cluster) {
				commitFirstVersion(t, cluster)
				time.Sleep(catchUpTime)
				successor := cluster.AddController()
				requireNoError(t, successor.Start())
				time.Sleep(catchUpTime)
				successor.Controller.StallDisk(3 * time.Second)
				stalled := cluster.Controllers[1 : 1+cluster.toleratedFailures]
				for _, controller := range stalled {
					controller.Controller.StallDisk(3 * time.Second)
				}
				start := time.Now()
				cluster.Controllers[0].Shutdown()
				t.Logf("it left after %v", time.Since(start))
				cluster.Controllers[0].WipeDisk()
				for _, controller := range stalled {
					controller.Kill(true)
				}
				powerCycle(t, cluster)
				if got := replaceOnRunning(cluster, 1, ExampleConfiguration(2, FirstSharding), 10); got != http.StatusOK {
					t.Errorf("with %d lost right after a planned replacement a change gets %d", cluster.toleratedFailures, got)
				}
				checkReadBack(t, cluster, ExampleConfiguration(2, FirstSharding))
			})
		})
	}
}

// (c) All lose power at any moment of a planned replacement, also the one that leaves; it is told to end again, and once it is
// gone as many others as are borne are lost.
func TestPowerLossDuringReplacement(t *testing.T) {
	for trial := range 10 {
		n := 3 + 2*(trial%2)
		t.Run(fmt.Sprint(n, " ", trial), func(t *testing.T) {
			runCluster(t, 170+uint64(trial), n, 1, func(cluster *Cluster) {
				commitFirstVersion(t, cluster)
				time.Sleep(catchUpTime)
				requireNoError(t, cluster.AddController().Start())
				time.Sleep(catchUpTime)
				old := cluster.Controllers[0]
				go old.cancel() // the process is told to end
				time.Sleep(time.Duration(trial) * 3 * time.Millisecond)
				powerCycle(t, cluster)
				time.Sleep(time.Duration(trial%3) * 100 * time.Millisecond)
				old.Shutdown()
				old.WipeDisk()
				for _, controller := range cluster.runningControllers()[:cluster.toleratedFailures] {
					controller.Kill(true)
				}
				if got := replaceOnRunning(cluster, 1, ExampleConfiguration(2, FirstSharding), 10); got != http.StatusOK {
					t.Errorf("with %d lost right after a planned replacement a change gets %d", cluster.toleratedFailures, got)
				}
				checkReadBack(t, cluster, ExampleConfiguration(2, FirstSharding))
			})
		})
	}
}

// (d) One of a bare majority is told to end just as those who were away are back: it goes only when they hold what it held.
func TestMemberOfBareMajorityShutsDown(t *testing.T) {
	for _, n := range []int{3, 5} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			runCluster(t, 120, n, 1, func(cluster *Cluster) {
				commitFirstVersion(t, cluster)
				time.Sleep(catchUpTime)
				away := cluster.Controllers[n/2+1:]
				for _, controller := range away {
					controller.Kill(true)
				}
				if got := cluster.ReplaceConfiguration(cluster.Controllers[0], 1, ExampleConfiguration(2, SecondSharding)); got != http.StatusOK {
					t.Fatalf("version 2 by a bare majority: %d", got)
				}
				for _, controller := range away {
					requireNoError(t, controller.Start())
				}
				time.Sleep(50 * time.Millisecond)
				start := time.Now()
				cluster.Controllers[0].Shutdown()
				t.Logf("it left after %v", time.Since(start))
				if took := time.Since(start); took > catchUpTime {
					t.Errorf("it left after %v", took)
				}
				cluster.Controllers[0].WipeDisk()
				for i, controller := range cluster.Controllers[1:] {
					if s, ok := controller.Controller.StoredState(); !ok || s.Value == nil || s.Value.Version != 2 {
						t.Errorf("COPIES: machine %d stays and does not hold what the one that left held", i+1)
					}
				}
				// Beyond what is borne: of the majority that voted no disk is left.
				for _, controller := range cluster.Controllers[1 : n/2+1] {
					controller.Kill(true)
					controller.WipeDisk()
				}
				powerCycle(t, cluster)
				time.Sleep(3 * time.Second)
				for _, controller := range away {
					if s, ok := controller.Controller.StoredState(); !ok || s.Value == nil || s.Value.Version != 2 {
						t.Errorf("LOST: %s does not hold version 2", controller.IP)
					}
				}
			})
		})
	}
}

// (d) One is told to end while another is down for good and there is nobody to take its place: it stays as long as its grace
// lasts and takes calls and votes meanwhile, then it goes. A kill while it stays ends it at once.
func TestMemberShutdownGracePeriod(t *testing.T) {
	runCluster(t, 180, 3, 1, func(cluster *Cluster) {
		commitFirstVersion(t, cluster)
		time.Sleep(catchUpTime)
		cluster.Controllers[2].Kill(true)
		commitVersion(t, cluster, 2)
		start, left := time.Now(), make(chan time.Duration, 1)
		go func() {
			cluster.Controllers[0].stopAndWait()
			left <- time.Since(start)
		}()
		time.Sleep(time.Second)
		if got := cluster.ReplaceConfiguration(cluster.Controllers[0], 2, ExampleConfiguration(3, FirstSharding)); got != http.StatusOK {
			t.Errorf("a member that is needed and leaving answers a change with %d", got)
		}
		if took := <-left; took < 3*time.Second || took > 6*time.Second {
			t.Errorf("it left after %v", took)
		}
		cluster.Controllers[0].Controller = nil
		requireNoError(t, cluster.Controllers[0].Start())
		time.Sleep(2 * time.Second)
		start = time.Now()
		go func() {
			time.Sleep(time.Second)
			cluster.Controllers[0].Controller.Kill()
		}()
		cluster.Controllers[0].stopAndWait()
		if took := time.Since(start); took > 1100*time.Millisecond {
			t.Errorf("killed after a second of its stay, it ends after %v", took)
		}
		cluster.Controllers[0].Controller = nil
		requireNoError(t, cluster.Controllers[0].Start())
		requireNoError(t, cluster.Controllers[2].Start())
		t.Logf("all copies are complete after %v", awaitReplicated(t, cluster, 3, catchUpTime))
		checkReadBack(t, cluster, ExampleConfiguration(3, FirstSharding))
	})
}

// Machines are told to end and start again in turn, with a change sent in between. With all copies complete each goes at once.
func TestRollingRestart(t *testing.T) {
	runCluster(t, 130, 5, 1, func(cluster *Cluster) {
		commitFirstVersion(t, cluster)
		time.Sleep(catchUpTime)
		awaitReplicated(t, cluster, 1, catchUpTime)
		for i, controller := range cluster.Controllers {
			version := uint64(i + 2)
			var sent sync.WaitGroup
			sent.Go(func() {
				time.Sleep(time.Duration(i) * 5 * time.Millisecond)
				if got := replaceWithRetry(cluster, version-1, ExampleConfiguration(version, FirstSharding), 10); got != http.StatusOK {
					t.Errorf("version %d while a machine restarts: %d", version, got)
				}
			})
			start := time.Now()
			controller.Shutdown()
			if took := time.Since(start); took > 1500*time.Millisecond {
				t.Errorf("machine %d took %v to leave, with all copies complete", i, took)
			}
			time.Sleep(500 * time.Millisecond)
			requireNoError(t, controller.Start())
			sent.Wait()
			t.Logf("all copies are complete after %v", awaitReplicated(t, cluster, version, catchUpTime))
			time.Sleep(catchUpTime / 2)
		}
		if members, _ := acceptors(cluster); len(members) != 5 {
			t.Errorf("%d members after the restarts", len(members))
		}
		checkReadBack(t, cluster, ExampleConfiguration(6, FirstSharding))
	})
}

// (e) A machine is cut off for 20 s and loses its place to a spare. Meanwhile another is lost: with the spare in its place the
// rest still agree. The one that returns goes back on nothing and takes a place again when there is one.
func TestLongPartitionAndSecondLoss(t *testing.T) {
	runCluster(t, 140, 3, 1, func(cluster *Cluster) {
		requireNoError(t, cluster.AddController().Start())
		commitFirstVersion(t, cluster)
		time.Sleep(catchUpTime)
		isolate(cluster, cluster.Controllers[0])
		time.Sleep(catchUpTime + 2*time.Second)
		cluster.Controllers[1].Kill(true)
		if got := replaceOnRunning(cluster, 1, ExampleConfiguration(2, SecondSharding), 10); got != http.StatusOK {
			t.Errorf("one cut off and replaced by a spare, one lost: a change gets %d", got)
		}
		time.Sleep(10 * time.Second)
		cluster.Network.Heal()
		time.Sleep(catchUpTime)
		t.Logf("all copies are complete after %v", awaitReplicated(t, cluster, 2, catchUpTime))
		powerCycle(t, cluster)
		time.Sleep(3 * time.Second)
		checkReadBack(t, cluster, ExampleConfiguration(2, SecondSharding))
	})
}

// Five machines, three named. Two are lost in turn, in every way, and return or are replaced; all may lose power between any
// two steps; after each step what was acknowledged is read back, and after the time granted every copy is complete.
func TestTwoOfFiveLostInTurn(t *testing.T) {
	for trial := range 6 {
		t.Run(fmt.Sprint(trial), func(t *testing.T) {
			runCluster(t, 150+uint64(trial), 5, 1, func(cluster *Cluster) {
				commitFirstVersion(t, cluster)
				time.Sleep(catchUpTime)
				version := uint64(1)
				change := func() {
					version++
					if got := replaceOnRunning(cluster, version-1, ExampleConfiguration(version, FirstSharding), 15); got != http.StatusOK {
						t.Fatalf("version %d: %d", version, got)
					}
				}
				step := func(no int) {
					if (trial+no)%3 == 0 {
						powerCycle(t, cluster)
						time.Sleep(2 * time.Second)
					}
					if text := cluster.ReadConfiguration(cluster.runningControllers()[0]); text != nil && !bytes.Equal(text, ExampleConfiguration(version, FirstSharding)) {
						t.Errorf("LOST: after step %d version %d is not read back", no, version)
					}
				}
				for round := range 3 {
					first, second := cluster.runningControllers()[(trial+round)%5], cluster.runningControllers()[(trial+round+1+trial%3)%5]
					first.Kill(true)
					change()
					step(4 * round)
					second.Kill(trial%2 == 0)
					change()
					step(4*round + 1)
					for i, m := range []*ControllerNode{first, second} {
						switch (trial + round + i) % 3 {
						case 0: // back with its disk
							requireNoError(t, m.Start())
						case 1: // back without
							m.WipeDisk()
							requireNoError(t, m.Start())
						case 2: // another comes in its place
							requireNoError(t, cluster.AddController().Start())
						}
						time.Sleep(catchUpTime)
						if missing := missingReplicas(cluster, version); missing != "" && i == 1 {
							t.Errorf("COPIES: turn %d: with all back version %d is not on the disks of%s", round, version, missing)
						}
						step(4*round + 2 + i)
					}
				}
				time.Sleep(catchUpTime)
				checkReadBack(t, cluster, ExampleConfiguration(version, FirstSharding))
			})
		})
	}
}

// Where all copies are complete nothing is written and no round runs.
func TestNoWritesWhenIdle(t *testing.T) {
	runCluster(t, 160, 5, 1, func(cluster *Cluster) {
		commitFirstVersion(t, cluster)
		time.Sleep(catchUpTime)
		awaitReplicated(t, cluster, 1, catchUpTime)
		time.Sleep(2 * time.Second)
		before := map[string]consensus.AcceptorState{}
		for _, controller := range cluster.Controllers {
			before[controller.IP], _ = controller.Controller.StoredState()
		}
		time.Sleep(2 * time.Minute)
		for _, controller := range cluster.Controllers {
			if s, ok := controller.Controller.StoredState(); !ok || s.DiffersFrom(before[controller.IP]) {
				t.Errorf("REST: %s wrote: promised %v, was %v", controller.IP, s.Promised, before[controller.IP].Promised)
			}
		}
	})
}
