package simcluster

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"oxbowspan/config"
)

// TestAllControllersReplacedInTurn loses each controller permanently, one after the other, and replaces it by one with an empty
// disk and another address; the seeds change accordingly. Gateways must still get updates when no initial controller is left.
func TestAllControllersReplacedInTurn(t *testing.T) {
	for _, controllers := range []int{3, 5} {
		t.Run(fmt.Sprint(controllers), func(t *testing.T) {
			runCluster(t, 11, controllers, 2, func(t *testing.T, cluster *Cluster) {
				commitFirstVersion(t, cluster)
				time.Sleep(3 * time.Second) // of five controllers, the two that are not seeds become members
				initial := slices.Clone(cluster.Controllers)
				for i, lost := range initial {
					lost.Kill(true)
					time.Sleep(time.Second)
					running := cluster.runningControllers()
					cluster.SetSeeds(running[:min(3, len(running))]...)
					requireNoError(t, cluster.AddController().Start())
					time.Sleep(catchUpTime)
					commitVersion(t, cluster, uint64(i+2))
				}
				last := uint64(controllers + 1)
				awaitVersion(t, cluster, last, configurationApplyMax)
				checkFirstRead(t, cluster, ExampleConfiguration(last, ExampleSharding))
			})
		})
	}
}

// TestTwoOfFiveControllersLost loses two of five controllers permanently at the same time. The other three must commit a change;
// with two new members the system must tolerate the loss of two more.
func TestTwoOfFiveControllersLost(t *testing.T) {
	runCluster(t, 12, 5, 2, func(t *testing.T, cluster *Cluster) {
		commitFirstVersion(t, cluster)
		time.Sleep(catchUpTime)
		killAll(true, cluster.Controllers[:2]...)
		commitVersion(t, cluster, 2)
		cluster.SetSeeds(cluster.Controllers[2:5]...)
		requireNoError(t, cluster.AddController().Start())
		requireNoError(t, cluster.AddController().Start())
		time.Sleep(6 * time.Second)
		killAll(true, cluster.Controllers[2:4]...)
		commitVersion(t, cluster, 3)
		awaitVersion(t, cluster, 3, configurationApplyMax)
	})
}

// TestWipedControllerRestartsFirst commits a version. Immediately afterwards one disk is lost and all machines lose power, and
// the controller with the empty disk restarts first. The version must not be lost.
func TestWipedControllerRestartsFirst(t *testing.T) {
	for wiped := range 3 {
		t.Run(fmt.Sprint(wiped), func(t *testing.T) {
			runCluster(t, 13+uint64(wiped), 3, 1, func(t *testing.T, cluster *Cluster) {
				commitFirstVersion(t, cluster)
				lost := cluster.Controllers[wiped]
				status := cluster.ReplaceConfiguration(lost, 1, ExampleConfiguration(2, ExampleResharding))
				requireStatus(t, status, http.StatusOK, "second version")
				killAll(true, cluster.Controllers...)
				gateway := cluster.Gateways[0]
				gateway.Kill(true)
				lost.WipeDisk()
				requireNoError(t, lost.Start())
				time.Sleep(2 * time.Second)
				for _, controller := range cluster.Controllers {
					if controller != lost {
						requireNoError(t, controller.Start())
					}
				}
				gateway.Start()
				time.Sleep(catchUpTime)
				checkFirstRead(t, cluster, ExampleConfiguration(2, ExampleResharding))
				awaitVersion(t, cluster, 2, configurationApplyMax)
			})
		})
	}
}

// TestConcurrentOperatorsAcrossPartition partitions one controller, in one direction or both, while an operator on each side
// sends a change on the same base. The change on the majority's side must be committed; the other must never be applied.
func TestConcurrentOperatorsAcrossPartition(t *testing.T) {
	for _, bothDirections := range []bool{true, false} {
		t.Run(fmt.Sprintf("both directions %t", bothDirections), func(t *testing.T) {
			runCluster(t, 16, 3, 3, func(t *testing.T, cluster *Cluster) {
				commitFirstVersion(t, cluster)
				isolated := cluster.Controllers[0]
				setIsolated(cluster, isolated, true, bothDirections)
				minority, majority := replaceOnBothSides(cluster, isolated)
				if minority == http.StatusOK && majority == http.StatusOK {
					t.Fatal("two changes on one base were acknowledged")
				}
				requireStatus(t, majority, http.StatusOK, "change at the majority")
				awaitVersion(t, cluster, 3, configurationApplyMax)
				cluster.Network.Heal()
				time.Sleep(3 * time.Second)
				repeated := cluster.ReplaceConfiguration(isolated, 1, ExampleConfiguration(2, ExampleSharding))
				expectStatus(t, repeated, http.StatusPreconditionFailed, "repeated change of the minority")
				for _, gateway := range cluster.Gateways {
					if version := gateway.Gateway.ActiveVersion(); version != 3 {
						t.Errorf("gateway %s applies version %d, want 3", gateway.IP, version)
					}
				}
			})
		})
	}
}

// replaceOnBothSides sends version 2 to an isolated controller and version 3 to another one concurrently. It returns the
// statuses.
func replaceOnBothSides(cluster *Cluster, isolated *ControllerNode) (minority, majority int) {
	var operators sync.WaitGroup
	operators.Go(func() {
		for range 5 {
			minority = cluster.ReplaceConfiguration(isolated, 1, ExampleConfiguration(2, ExampleSharding))
			if minority/100 != 5 {
				return
			}
		}
	})
	operators.Go(func() {
		majority = cluster.ReplaceConfiguration(cluster.Controllers[1], 1, ExampleConfiguration(3, ExampleResharding))
	})
	operators.Wait()
	return minority, majority
}

// TestGatewayIgnoresLaggingController starts a gateway in the zone of a controller that has been partitioned for 3 s. The
// gateway must apply the version that the majority has committed since.
func TestGatewayIgnoresLaggingController(t *testing.T) {
	runCluster(t, 17, 3, 3, func(t *testing.T, cluster *Cluster) {
		commitFirstVersion(t, cluster)
		isolate(cluster, cluster.Controllers[0])
		time.Sleep(3 * time.Second)
		status := cluster.ReplaceConfiguration(cluster.Controllers[1], 1, ExampleConfiguration(2, ExampleResharding))
		requireStatus(t, status, http.StatusOK, "change at the majority")
		awaitVersion(t, cluster, 2, configurationApplyMax)
		gateway := cluster.Gateways[0] // in the zone of the isolated controller
		gateway.Kill(false)
		gateway.Start()
		time.Sleep(2 * time.Second)
		if version := gateway.Gateway.ActiveVersion(); version != 2 {
			t.Errorf("a gateway that starts next to a lagging controller applies version %d, want 2", version)
		}
	})
}

// TestStalledDiskDoesNotBlockCommits stalls the disk of one controller for 3 s. Changes that are sent to this and to another
// controller must be committed by the other controllers without delay.
func TestStalledDiskDoesNotBlockCommits(t *testing.T) {
	runCluster(t, 18, 3, 1, func(t *testing.T, cluster *Cluster) {
		commitFirstVersion(t, cluster)
		version := uint64(1)
		for i, stalled := range cluster.Controllers {
			stalled.Controller.StallDisk(3 * time.Second)
			start := time.Now()
			for _, to := range []*ControllerNode{cluster.Controllers[(i+1)%3], stalled} {
				version++
				status := cluster.ReplaceConfiguration(to, version-1, ExampleConfiguration(version, ExampleSharding))
				expectStatus(t, status, http.StatusOK, "version %d with one disk stalled", version)
			}
			if elapsed := time.Since(start); elapsed > time.Second {
				t.Errorf("two versions with one disk stalled took %v, want at most 1 s", elapsed)
			}
			time.Sleep(4 * time.Second)
		}
	})
}

// TestLargeAndFrequentVersions commits a version of at least 256 KiB, followed by many small ones.
func TestLargeAndFrequentVersions(t *testing.T) {
	const smallVersions = 39
	runCluster(t, 19, 3, 2, func(t *testing.T, cluster *Cluster) {
		commitFirstVersion(t, cluster)
		large := editConfiguration(t, ExampleConfiguration(2, ExampleSharding), func(c *config.Configuration) {
			addRoutes(c, 1700-len(c.Routes))
		})
		if len(large) < 256<<10 {
			t.Fatalf("the large version has only %d bytes", len(large))
		}
		requireStatus(t, replaceWithRetry(cluster, 1, large, 5), http.StatusOK, "version of %d bytes", len(large))
		awaitVersion(t, cluster, 2, configurationApplyMax)
		response := cluster.SendRequest(cluster.Gateways[0], http.MethodGet, exampleHost, "/more-1000/x", "long", time.Second)
		expectStatus(t, response.Status, http.StatusOK, "request on one of the last routes of the large version")
		for version := uint64(3); version <= smallVersions; version++ {
			status := replaceWithRetry(cluster, version-1, ExampleConfiguration(version, ExampleSharding), 5)
			requireStatus(t, status, http.StatusOK, "version %d", version)
		}
		awaitVersion(t, cluster, smallVersions, configurationApplyMax)
		expectStatus(t, replaceWithRetry(cluster, 1, large, 3), http.StatusOK, "old version repeated")
	})
}

// addRoutes adds count copies of the route to the single service, with the prefixes "/more-0/", "/more-1/" and so on.
func addRoutes(configuration *config.Configuration, count int) {
	for i := range count {
		route := configuration.Routes[1]
		route.Name = fmt.Sprint("r", i)
		route.PathPrefix = fmt.Sprintf("/more-%d/", i)
		configuration.Routes = append(configuration.Routes, route)
	}
}

// TestConfigurationThroughPeerGateway partitions a gateway from all controllers. It must get configurations from the other
// gateways that it knows.
func TestConfigurationThroughPeerGateway(t *testing.T) {
	runCluster(t, 21, 3, 3, func(t *testing.T, cluster *Cluster) {
		commitFirstVersion(t, cluster)
		time.Sleep(2 * time.Second)
		gateway := cluster.Gateways[0]
		for _, controller := range cluster.Controllers {
			setPartitioned(cluster, controller.IP, gateway.IP, true)
		}
		status := cluster.ReplaceConfiguration(cluster.Controllers[0], 1, ExampleConfiguration(2, ExampleResharding))
		requireStatus(t, status, http.StatusOK, "second version")
		awaitVersion(t, cluster, 2, 8*time.Second)
		checkGathered(t, sendGathered(cluster, gateway, "k"), "k", ExampleResharding)
	})
}
