package simcluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"oxbowspan/config"
)

// commitFirstVersion has the first version agreed and everywhere.
func commitFirstVersion(t *testing.T, cluster *Cluster) {
	t.Helper()
	if got := replaceWithRetry(cluster, 0, ExampleConfiguration(1, FirstSharding), 30); got != http.StatusOK {
		t.Fatalf("the first configuration: %d", got)
	}
	awaitVersion(t, cluster, 1, 3*time.Second)
}

func (c *Cluster) runningControllers() (out []*ControllerNode) {
	for _, controller := range c.Controllers {
		if controller.Controller != nil {
			out = append(out, controller)
		}
	}
	return out
}

func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// commitVersion has another version agreed by the hives that run, on top of the one before.
func commitVersion(t *testing.T, cluster *Cluster, version uint64) {
	t.Helper()
	status := 0
	for i := range 20 {
		running := cluster.runningControllers()
		if status = cluster.ReplaceConfiguration(running[i%len(running)], version-1, ExampleConfiguration(version, FirstSharding)); status == http.StatusOK {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	t.Fatalf("version %d gets %d", version, status)
}

// Every machine of the core is lost for good, one after the other, each replaced by an empty one at another address; the
// seeds turn over with them. In the end nobody is left who was there at first, and gatherers still hear news.
func TestAllControllersReplacedInTurn(t *testing.T) {
	for _, n := range []int{3, 5} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			runCluster(t, 11, n, 2, func(cluster *Cluster) {
				commitFirstVersion(t, cluster)
				time.Sleep(3 * time.Second) // five: the two that are no seeds take their seats
				first := slices.Clone(cluster.Controllers)
				for i, old := range first {
					old.Kill(true)
					time.Sleep(time.Second)
					running := cluster.runningControllers()
					cluster.SetSeeds(running[:min(3, len(running))]...)
					requireNoError(t, cluster.AddController().Start())
					time.Sleep(4 * time.Second) // what the platform grants
					commitVersion(t, cluster, uint64(i+2))
				}
				awaitVersion(t, cluster, uint64(n+1), 3*time.Second)
				for _, controller := range cluster.runningControllers() {
					if got := cluster.ReadConfiguration(controller); !bytes.Equal(got, ExampleConfiguration(uint64(n+1), FirstSharding)) {
						t.Errorf("%s reads %.40s", controller.IP, got)
					}
				}
			})
		})
	}
}

// Five, two of them lost for good at once: the three that are left decide; one of the new ones and they bear another loss.
func TestTwoOfFiveControllersLost(t *testing.T) {
	runCluster(t, 12, 5, 2, func(cluster *Cluster) {
		commitFirstVersion(t, cluster)
		time.Sleep(4 * time.Second)
		cluster.Controllers[0].Kill(true)
		cluster.Controllers[1].Kill(true)
		commitVersion(t, cluster, 2)
		cluster.SetSeeds(cluster.Controllers[2], cluster.Controllers[3], cluster.Controllers[4])
		requireNoError(t, cluster.AddController().Start())
		requireNoError(t, cluster.AddController().Start())
		time.Sleep(6 * time.Second)
		cluster.Controllers[2].Kill(true)
		cluster.Controllers[3].Kill(true)
		commitVersion(t, cluster, 3)
		awaitVersion(t, cluster, 3, 3*time.Second)
	})
}

// A version is acknowledged; at once one disk is lost and all others lose power. The emptied machine is back first.
func TestWipedControllerRestartsFirst(t *testing.T) {
	for lost := range 3 {
		runCluster(t, 13+uint64(lost), 3, 1, func(cluster *Cluster) {
			commitFirstVersion(t, cluster)
			if got := cluster.ReplaceConfiguration(cluster.Controllers[lost], 1, ExampleConfiguration(2, SecondSharding)); got != http.StatusOK {
				t.Fatalf("the second version: %d", got)
			}
			for _, controller := range cluster.Controllers {
				controller.Kill(true)
			}
			for _, gateway := range cluster.Gateways {
				gateway.Kill(true)
			}
			cluster.Controllers[lost].WipeDisk()
			requireNoError(t, cluster.Controllers[lost].Start())
			time.Sleep(2 * time.Second)
			for i, controller := range cluster.Controllers {
				if i != lost {
					requireNoError(t, controller.Start())
				}
			}
			cluster.Gateways[0].Start()
			time.Sleep(4 * time.Second)
			for _, controller := range cluster.Controllers {
				if got := cluster.ReadConfiguration(controller); !bytes.Equal(got, ExampleConfiguration(2, SecondSharding)) {
					t.Errorf("LOST: %s reads %.40s", controller.IP, got)
				}
			}
			awaitVersion(t, cluster, 2, 3*time.Second)
		})
	}
}

// The core is cut in two, one way and both ways, with an operator on each side, on the same base: one wins, on the side that
// has a majority, and nothing of the other is ever in force.
func TestConcurrentOperatorsAcrossPartition(t *testing.T) {
	for oneWay := range 2 {
		runCluster(t, 16, 3, 3, func(cluster *Cluster) {
			commitFirstVersion(t, cluster)
			isolated := cluster.Controllers[0]
			for _, o := range cluster.Controllers[1:] {
				cluster.Network.SetPartitioned(isolated.IP, o.IP, true)
				if oneWay == 0 {
					cluster.Network.SetPartitioned(o.IP, isolated.IP, true)
				}
			}
			var wg sync.WaitGroup
			minority, majority := 0, 0
			wg.Go(func() {
				for range 5 {
					if minority = cluster.ReplaceConfiguration(isolated, 1, ExampleConfiguration(2, FirstSharding)); minority/100 != 5 {
						return
					}
				}
			})
			wg.Go(func() {
				majority = cluster.ReplaceConfiguration(cluster.Controllers[1], 1, ExampleConfiguration(3, SecondSharding))
			})
			wg.Wait()
			if minority == http.StatusOK && majority == http.StatusOK {
				t.Fatal("CONFIG: both were acknowledged on one base")
			}
			if majority != http.StatusOK {
				t.Fatalf("the side with a majority answers %d", majority)
			}
			awaitVersion(t, cluster, 3, 3*time.Second)
			cluster.Network.Heal()
			time.Sleep(3 * time.Second)
			if got := cluster.ReplaceConfiguration(isolated, 1, ExampleConfiguration(2, FirstSharding)); got != http.StatusPreconditionFailed {
				t.Errorf("what lost is answered %d when it is sent again", got)
			}
			for _, gateway := range cluster.Gateways {
				if gateway.Gateway.ActiveVersion() != 3 {
					t.Errorf("CONFIG: %s follows %d", gateway.IP, gateway.Gateway.ActiveVersion())
				}
			}
		})
	}
}

// A hive that was cut off for long, with gatherers that know no other near, wakes with old news: nobody goes back, and who is
// in touch with the rest has what is new.
func TestGatewayIgnoresLaggingController(t *testing.T) {
	runCluster(t, 17, 3, 3, func(cluster *Cluster) {
		commitFirstVersion(t, cluster)
		for _, o := range cluster.Controllers[1:] {
			cluster.Network.SetPartitioned(cluster.Controllers[0].IP, o.IP, true)
			cluster.Network.SetPartitioned(o.IP, cluster.Controllers[0].IP, true)
		}
		time.Sleep(3 * time.Second)
		if got := cluster.ReplaceConfiguration(cluster.Controllers[1], 1, ExampleConfiguration(2, SecondSharding)); got != http.StatusOK {
			t.Fatal(got)
		}
		awaitVersion(t, cluster, 2, 3*time.Second)
		cluster.Gateways[0].Kill(false)
		cluster.Gateways[0].Start() // beside the hive that lags
		time.Sleep(2 * time.Second)
		if v := cluster.Gateways[0].Gateway.ActiveVersion(); v != 2 {
			t.Errorf("CONFIG: a gatherer that started beside a hive that lags follows %d", v)
		}
	})
}

// A disk stalls for seconds at one hive, at the moment of a change: the others decide without it.
func TestStalledDiskDoesNotBlockCommits(t *testing.T) {
	runCluster(t, 18, 3, 1, func(cluster *Cluster) {
		commitFirstVersion(t, cluster)
		for i, controller := range cluster.Controllers {
			controller.Controller.StallDisk(3 * time.Second)
			start := time.Now()
			for _, by := range []*ControllerNode{cluster.Controllers[(i+1)%3], controller} { // by another, and by itself
				version := uint64(2 + 2*i)
				if by == controller {
					version++
				}
				if got := cluster.ReplaceConfiguration(by, version-1, ExampleConfiguration(version, FirstSharding)); got != http.StatusOK {
					t.Errorf("version %d beside a stalled disk: %d", version, got)
				}
			}
			if took := time.Since(start); took > time.Second {
				t.Errorf("two versions beside a stalled disk took %v", took)
			}
			time.Sleep(4 * time.Second)
		}
	})
}

// A version of 256 KiB and a storm of versions.
func TestLargeAndFrequentVersions(t *testing.T) {
	runCluster(t, 19, 3, 2, func(cluster *Cluster) {
		commitFirstVersion(t, cluster)
		var conf config.Configuration
		requireNoError(t, json.Unmarshal(ExampleConfiguration(2, FirstSharding), &conf))
		for i := 0; len(conf.Routes) < 1700; i++ {
			r := conf.Routes[1]
			r.Name, r.PathPrefix = fmt.Sprint("r", i), fmt.Sprintf("/more-%d/", i)
			conf.Routes = append(conf.Routes, r)
		}
		long, _ := json.Marshal(conf)
		if len(long) < 256<<10 {
			t.Fatalf("only %d bytes", len(long))
		}
		if got := replaceWithRetry(cluster, 1, long, 5); got != http.StatusOK {
			t.Fatalf("a version of %d bytes: %d", len(long), got)
		}
		awaitVersion(t, cluster, 2, 3*time.Second)
		if response := cluster.SendRequest(cluster.Gateways[0], "GET", "h.example", "/more-1000/x", "long", time.Second); response.Status != http.StatusOK {
			t.Errorf("its last routes are not served: %d", response.Status)
		}
		for v := uint64(3); v < 40; v++ {
			if got := replaceWithRetry(cluster, v-1, ExampleConfiguration(v, FirstSharding), 5); got != http.StatusOK {
				t.Fatalf("version %d: %d", v, got)
			}
		}
		awaitVersion(t, cluster, 39, 3*time.Second)
		if got := replaceWithRetry(cluster, 1, long, 3); got != http.StatusOK {
			t.Errorf("an old version sent again is answered %d", got)
		}
	})
}

// A draining that was acknowledged reaches every gatherer, though the hive that took it dies at once; and a hive that is cut
// off does not acknowledge one.
func TestDrainSurvivesControllerCrash(t *testing.T) {
	runCluster(t, 20, 3, 3, func(cluster *Cluster) {
		commitFirstVersion(t, cluster)
		time.Sleep(3 * time.Second)
		draining := cluster.Servers[15] // of service "one"
		client := cluster.httpClient("10.0.9.7")
		defer client.CloseIdleConnections()
		sendDrain := func(to *ControllerNode) int {
			text, _ := json.Marshal(config.Heartbeat{Service: draining.Service, Address: draining.Address(), Zone: "zone-0", State: config.StateDraining, Sequence: 1 << 20})
			return cluster.post(context.Background(), client, to.ControlAddress(), "/-/instances/"+draining.Instance+"/heartbeat", string(text))
		}
		cluster.Network.SetPartitioned(cluster.Controllers[0].IP, cluster.Controllers[1].IP, true)
		cluster.Network.SetPartitioned(cluster.Controllers[0].IP, cluster.Controllers[2].IP, true)
		if got := sendDrain(cluster.Controllers[0]); got == http.StatusOK {
			t.Fatal("DRAIN: a hive that nobody hears acknowledged a draining")
		}
		cluster.Network.Heal()
		time.Sleep(3 * time.Second)
		if got := sendDrain(cluster.Controllers[1]); got != http.StatusOK {
			t.Fatalf("a draining is answered %d", got)
		}
		cluster.Controllers[1].Kill(true)
		time.Sleep(2 * time.Second)
		for i := range 60 {
			id := fmt.Sprintf("d%d", i)
			response := cluster.SendRequest(cluster.Gateways[i%3], "GET", "h.example", "/one/x", id, time.Second)
			if response.Status == http.StatusOK && response.Header.Get("X-Server-Seal") == draining.Instance+".one."+id {
				t.Fatalf("DRAIN: request %s reached a server two seconds after its draining was acknowledged", id)
			}
		}
	})
}

// A gatherer that is cut off from the whole core takes news from the gatherers that it knows.
func TestConfigurationThroughPeerGateway(t *testing.T) {
	runCluster(t, 21, 3, 3, func(cluster *Cluster) {
		commitFirstVersion(t, cluster)
		time.Sleep(2 * time.Second)
		for _, controller := range cluster.Controllers {
			cluster.Network.SetPartitioned(controller.IP, cluster.Gateways[0].IP, true)
			cluster.Network.SetPartitioned(cluster.Gateways[0].IP, controller.IP, true)
		}
		if got := cluster.ReplaceConfiguration(cluster.Controllers[0], 1, ExampleConfiguration(2, SecondSharding)); got != http.StatusOK {
			t.Fatal(got)
		}
		awaitVersion(t, cluster, 2, 8*time.Second)
		response := cluster.SendRequest(cluster.Gateways[0], "GET", "h.example", "/all/x", "k", time.Second)
		if violation := CheckGathered(response, "k", [][]string{SecondSharding}, ExampleRecordCount, exampleTopRecords, exampleMinimumShare); response.Status != http.StatusOK || violation != "" {
			t.Fatal(response.Status, violation)
		}
	})
}
