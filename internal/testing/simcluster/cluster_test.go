package simcluster

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"oxbowspan/config"
)

// seedMultiplier multiplies the seeded runs, for a longer run than CI has time for.
var seedMultiplier = flag.Int("more", 1, "so many times the seeded runs")

// verbose has the programs of a colony write their lines, with the bubble's time.
var verbose = flag.Bool("loud", false, "write what the programs say")

// memoryDir is a folder for disks, in memory where the machine has one: each vote waits for its disk.
func memoryDir(t *testing.T) string {
	dir, err := os.MkdirTemp("/dev/shm", "colony")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return dir
}

// runCluster runs a colony in a bubble, where time passes only while all wait.
func runCluster(t *testing.T, seed uint64, controllers, gateways int, test func(cluster *Cluster)) {
	t.Helper()
	dir := memoryDir(t)
	synctest.Test(t, func(t *testing.T) {
		cluster := New(dir, seed, controllers, gateways)
		if *verbose {
			cluster.Log = zerolog.New(os.Stderr).Hook(zerolog.HookFunc(func(e *zerolog.Event, _ zerolog.Level, _ string) { e.Time("time", time.Now()) }))
		}
		for _, s := range ExampleServices {
			for range 3 {
				cluster.AddServer(s, 10*time.Millisecond)
			}
		}
		if err := cluster.Start(); err != nil {
			t.Fatal(err)
		}
		for _, s := range cluster.Servers {
			if err := s.Start(); err != nil {
				t.Fatal(err)
			}
		}
		defer func() {
			cluster.Network.Heal()
			cluster.Stop()
			time.Sleep(5 * time.Second) // what was still being called for ends
		}()
		test(cluster)
	})
}

// replaceWithRetry sends a configuration until it is acknowledged, going on to another hive after each call that fails.
func replaceWithRetry(cluster *Cluster, basedOn uint64, body []byte, attempts int) int {
	status := 0
	for i := range attempts {
		controller := cluster.Controllers[(int(basedOn)+i)%len(cluster.Controllers)]
		switch status = cluster.ReplaceConfiguration(controller, basedOn, body); {
		case status == http.StatusOK, status/100 == 4:
			return status
		}
		time.Sleep(300 * time.Millisecond)
	}
	return status
}

func awaitVersion(t *testing.T, cluster *Cluster, version uint64, within time.Duration) {
	t.Helper()
	deadline := time.Now().Add(within)
	for {
		behind := ""
		for _, gateway := range cluster.Gateways {
			if gateway.Gateway != nil && gateway.Gateway.ActiveVersion() < version {
				behind = gateway.IP
			}
		}
		if behind == "" {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("CONFIG: %s has not version %d in force %v after its acknowledgement", behind, version, within)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// The whole path on a calm day: configuration, servers, gathered and single answers, a new cut, an end in order.
func TestEndToEnd(t *testing.T) {
	runCluster(t, 1, 3, 2, func(cluster *Cluster) {
		if got := replaceWithRetry(cluster, 0, ExampleConfiguration(3, FirstSharding), 30); got != http.StatusOK {
			t.Fatalf("the first configuration: %d", got)
		}
		awaitVersion(t, cluster, 3, 3*time.Second)
		time.Sleep(3 * time.Second)
		for i := range 20 {
			gateway := cluster.Gateways[i%len(cluster.Gateways)]
			id := fmt.Sprintf("w%d", i)
			response := cluster.SendRequest(gateway, "GET", "h.example", "/all/x?y=1", id, time.Second)
			if response.Status != http.StatusOK || response.Header.Get("X-Missing-Parts") != "0" {
				t.Fatalf("gathered: %d, %s missing", response.Status, response.Header.Get("X-Missing-Parts"))
			}
			if violation := CheckGathered(response, id, [][]string{FirstSharding}, ExampleRecordCount, exampleTopRecords, exampleMinimumShare); violation != "" {
				t.Fatal(violation)
			}
			response = cluster.SendRequest(gateway, "GET", "h.example", "/one/x", id, time.Second)
			if response.Status != http.StatusOK || !bytes.Equal(response.Body, ExpectedRecords("one", id, ExampleRecordCount)) {
				t.Fatalf("single: %d, or not the server's body", response.Status)
			}
			response = cluster.SendRequest(gateway, "POST", "h.example", "/once/x", id, time.Second)
			if response.Status != http.StatusOK || cluster.RequestLog.Executions("once", id) != 1 {
				t.Fatalf("once: %d, run %d times", response.Status, cluster.RequestLog.Executions("once", id))
			}
			if response = cluster.SendRequest(gateway, "GET", "h.example", "/none/x", id, time.Second); response.Status != http.StatusNotFound {
				t.Fatalf("no route: %d", response.Status)
			}
		}
		if got := replaceWithRetry(cluster, 3, ExampleConfiguration(4, SecondSharding), 5); got != http.StatusOK {
			t.Fatalf("a new cut: %d", got)
		}
		awaitVersion(t, cluster, 4, time.Second)
		response := cluster.SendRequest(cluster.Gateways[0], "GET", "h.example", "/all/x", "z", time.Second)
		if violation := CheckGathered(response, "z", [][]string{SecondSharding}, ExampleRecordCount, exampleTopRecords, exampleMinimumShare); response.Status != http.StatusOK || violation != "" {
			t.Fatal(response.Status, violation)
		}
		for _, gateway := range cluster.Gateways {
			gateway.Shutdown()
		}
		for _, controller := range cluster.Controllers {
			controller.Shutdown()
		}
	})
}

// The calls that an operator may get wrong, and those that come again.
func TestReplaceConfigurationStatus(t *testing.T) {
	runCluster(t, 2, 3, 1, func(cluster *Cluster) {
		first := ExampleConfiguration(3, FirstSharding)
		if got := replaceWithRetry(cluster, 0, first, 30); got != http.StatusOK {
			t.Fatal(got)
		}
		second := ExampleConfiguration(7, FirstSharding)
		if got := replaceWithRetry(cluster, 3, second, 5); got != http.StatusOK {
			t.Fatal(got)
		}
		bad := func(change func(cluster *config.Configuration)) []byte {
			var conf config.Configuration
			json.Unmarshal(ExampleConfiguration(9, FirstSharding), &conf)
			change(&conf)
			text, _ := json.Marshal(conf)
			return text
		}
		for what, call := range map[string]struct {
			based uint64
			body  []byte
			want  int
		}{
			"the same again":              {3, second, http.StatusOK},
			"an older one again":          {0, first, http.StatusOK},
			"another on the same base":    {3, ExampleConfiguration(8, SecondSharding), http.StatusPreconditionFailed},
			"a version that is not above": {7, ExampleConfiguration(7, SecondSharding), http.StatusBadRequest},
			"cut off":                     {7, ExampleConfiguration(9, FirstSharding)[:200], http.StatusBadRequest},
			"an unknown service":          {7, bad(func(cluster *config.Configuration) { cluster.Routes[1].Service = "nowhere" }), http.StatusBadRequest},
			"host and prefix twice":       {7, bad(func(cluster *config.Configuration) { cluster.Routes[1].PathPrefix = "/all/" }), http.StatusBadRequest},
			"a time-out of 0":             {7, bad(func(cluster *config.Configuration) { cluster.Routes[0].TimeoutMS = 0 }), http.StatusBadRequest},
			"weights of 0": {7, bad(func(cluster *config.Configuration) {
				cluster.Routes[1].Service, cluster.Routes[1].WeightedServices = "", []config.WeightedService{{Service: "one"}, {Service: "once"}}
			}), http.StatusBadRequest},
		} {
			for _, controller := range cluster.Controllers {
				if got := cluster.ReplaceConfiguration(controller, call.based, call.body); got != call.want {
					t.Errorf("%s: %d, want %d", what, got, call.want)
				}
			}
		}
		for _, controller := range cluster.Controllers {
			if got := cluster.ReadConfiguration(controller); !bytes.Equal(got, second) {
				t.Errorf("what is read is not what was sent last: %.60s", got)
			}
		}
	})
}

// versionHistory is what is known of the versions sent by a day's operators.
type versionHistory struct {
	mu       sync.Mutex
	sent     map[uint64][]byte
	based    map[uint64]uint64
	acked    map[uint64]bool
	rejected map[uint64]bool
	newest   uint64 // acknowledged
}

func (h *versionHistory) replace(cluster *Cluster, to *ControllerNode, based, version uint64, shards []string, attempts int) {
	body := ExampleConfiguration(version, shards)
	h.mu.Lock()
	h.sent[version], h.based[version] = body, based
	h.mu.Unlock()
	for range attempts {
		status := cluster.ReplaceConfiguration(to, based, body)
		h.mu.Lock()
		if status == http.StatusOK {
			h.acked[version] = true
			h.newest = max(h.newest, version)
		}
		if status == http.StatusPreconditionFailed || status == http.StatusBadRequest {
			h.rejected[version] = true
		}
		h.mu.Unlock()
		if status == http.StatusOK || status/100 == 4 {
			return
		}
		time.Sleep(200 * time.Millisecond)
		to = cluster.Controllers[rand.IntN(len(cluster.Controllers))]
	}
}

// Days of troubles drawn from a seed: machines of the core killed, dark, wiped, cut off; gatherers killed; servers crashed;
// two operators at once; requests all the while. After each step the rules are checked.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(12 * *seedMultiplier) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			hives := 3 + 2*int(seed%2)
			runCluster(t, seed, hives, 3, func(cluster *Cluster) { runRandomFaults(t, cluster, rand.New(rand.NewPCG(seed, 99))) })
		})
	}
}

func runRandomFaults(t *testing.T, cluster *Cluster, r *rand.Rand) {
	history := &versionHistory{sent: map[uint64][]byte{}, based: map[uint64]uint64{}, acked: map[uint64]bool{}, rejected: map[uint64]bool{}}
	history.replace(cluster, cluster.Controllers[0], 0, 1, FirstSharding, 40)
	if !history.acked[1] {
		t.Fatal("the first configuration was never acknowledged")
	}
	awaitVersion(t, cluster, 1, 3*time.Second)
	time.Sleep(2 * time.Second)
	inForce, processes := map[string]uint64{}, map[string]any{}
	down, next, requests := -1, uint64(2), 0
	served := 0
	for range 25 {
		switch action := r.IntN(9); {
		case action == 0 && down < 0: // one of the core, as many as may be lost at once here
			// No more is lost at once than may be: what was cut off counts as lost for a while yet.
			cluster.Network.Heal()
			time.Sleep(4 * time.Second)
			down = r.IntN(len(cluster.Controllers))
			cluster.Controllers[down].Kill(r.IntN(2) == 0)
			if r.IntN(2) == 0 {
				cluster.Controllers[down].WipeDisk()
			}
		case action <= 1 && down >= 0:
			if err := cluster.Controllers[down].Start(); err != nil {
				t.Fatal(err)
			}
			time.Sleep(4 * time.Second) // what the platform grants one that returned
			down = -1
		case action == 2 && down < 0: // the whole core at once; its disks stay
			for _, controller := range cluster.Controllers {
				controller.Kill(false)
			}
			time.Sleep(time.Duration(r.IntN(800)) * time.Millisecond)
			for _, controller := range cluster.Controllers {
				if err := controller.Start(); err != nil {
					t.Fatal(err)
				}
			}
		case action == 3 && down < 0:
			a, b := cluster.Controllers[r.IntN(len(cluster.Controllers))].IP, cluster.Controllers[r.IntN(len(cluster.Controllers))].IP
			if a != b {
				cluster.Network.SetPartitioned(a, b, true)
				cluster.Network.SetPartitioned(b, a, r.IntN(3) > 0)
			}
		case action == 4:
			cluster.Network.Heal()
		case action == 5:
			gateway := cluster.Gateways[r.IntN(len(cluster.Gateways))]
			gateway.Kill(r.IntN(2) == 0)
			gateway.Start()
		case action == 6:
			s := cluster.Servers[r.IntN(len(cluster.Servers))]
			s.Crash(r.IntN(2) == 0)
			if err := s.Start(); err != nil {
				t.Fatal(err)
			}
		default: // two operators on the same base
			based := history.newest
			var wg sync.WaitGroup
			for range 2 {
				version, to, cut := next, cluster.Controllers[r.IntN(len(cluster.Controllers))], [][]string{FirstSharding, SecondSharding}[r.IntN(2)]
				next++
				wg.Go(func() { history.replace(cluster, to, based, version, cut, 4) })
			}
			wg.Wait()
		}
		for _, gateway := range cluster.Gateways {
			requests++
			served += sendChecked(t, cluster, gateway, requests)
			if v := gateway.Gateway.ActiveVersion(); processes[gateway.IP] == any(gateway.Gateway) && v < inForce[gateway.IP] {
				t.Fatalf("CONFIG: %s went back from %d to %d", gateway.IP, inForce[gateway.IP], v)
			} else {
				inForce[gateway.IP], processes[gateway.IP] = v, gateway.Gateway
			}
			if history.rejected[gateway.Gateway.ActiveVersion()] {
				t.Fatalf("CONFIG: version %d was refused and is in force on %s", gateway.Gateway.ActiveVersion(), gateway.IP)
			}
		}
		time.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
	}
	cluster.Network.Heal()
	if down >= 0 {
		if err := cluster.Controllers[down].Start(); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(6 * time.Second)
	history.check(t, cluster)
	awaitVersion(t, cluster, history.newest, 3*time.Second)
	if 3*served < requests {
		t.Fatalf("%d of %d requests were served", served, requests)
	}
	if got := replaceWithRetry(cluster, currentVersion(t, cluster), ExampleConfiguration(next, FirstSharding), 10); got != http.StatusOK {
		t.Fatalf("after the day a change gets %d", got)
	}
}

func currentVersion(t *testing.T, cluster *Cluster) uint64 {
	t.Helper()
	for range 10 {
		for _, controller := range cluster.Controllers {
			if text := cluster.ReadConfiguration(controller); text != nil {
				conf, err := config.Parse(text)
				if err != nil {
					t.Fatal(err)
				}
				return conf.Version
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	t.Fatal("CONFIG: no hive tells the configuration")
	return 0
}

// check holds what is read back against what was acknowledged.
func (h *versionHistory) check(t *testing.T, cluster *Cluster) {
	t.Helper()
	v := currentVersion(t, cluster)
	if v < h.newest {
		t.Fatalf("LOST: version %d was acknowledged, %d is read back", h.newest, v)
	}
	if h.rejected[v] {
		t.Fatalf("CONFIG: version %d was refused and is read back", v)
	}
	bases := map[uint64]uint64{}
	for version := range h.acked {
		if other, taken := bases[h.based[version]]; taken {
			t.Fatalf("CONFIG: %d and %d were both acknowledged on %d", version, other, h.based[version])
		}
		bases[h.based[version]] = version
	}
}

// sendChecked sends one of the kinds of requests and checks its answer. It returns 1 if it was served.
func sendChecked(t *testing.T, cluster *Cluster, gateway *GatewayNode, n int) int {
	t.Helper()
	served, violation := cluster.SendExample(gateway, n, fmt.Sprintf("q%d", n))
	if violation != "" {
		t.Fatal(violation)
	}
	if served {
		return 1
	}
	return 0
}

// A gatherer that starts while the hive that it would ask first is dark asks another soon: the first packet to a dark machine
// is lost, and a dial that waited a second for it kept the gatherer without a configuration.
func TestGatewayStartBesidePoweredOffController(t *testing.T) {
	runCluster(t, 3, 3, 3, func(cluster *Cluster) {
		if got := replaceWithRetry(cluster, 0, ExampleConfiguration(1, FirstSharding), 30); got != http.StatusOK {
			t.Fatal(got)
		}
		awaitVersion(t, cluster, 1, 3*time.Second)
		for i, gateway := range cluster.Gateways {
			cluster.Controllers[i].Kill(true)
			gateway.Kill(false)
			gateway.Start()
			time.Sleep(900 * time.Millisecond)
			if gateway.Gateway.ActiveVersion() != 1 {
				t.Errorf("%s has no configuration 0.9 s after its start beside a dark hive", gateway.IP)
			}
			if err := cluster.Controllers[i].Start(); err != nil {
				t.Fatal(err)
			}
			time.Sleep(4 * time.Second)
		}
	})
}
