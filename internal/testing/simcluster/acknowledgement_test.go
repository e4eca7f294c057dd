package simcluster

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"
)

// acknowledgementBound is how long a change may take at a controller that is connected to a majority. It allows for two round
// trips between zones and one or two retries, but not for waiting for a lost controller.
const acknowledgementBound = 100 * time.Millisecond

// latencies collects the acknowledgement latencies of a test's changes.
type latencies []time.Duration

// timedReplace sends a change, checks that it is acknowledged within acknowledgementBound and records the latency.
func (l *latencies) timedReplace(t *testing.T, cluster *Cluster, to *ControllerNode, basedOn uint64, body []byte, what string) {
	t.Helper()
	start := time.Now()
	status := cluster.ReplaceConfiguration(to, basedOn, body)
	elapsed := time.Since(start)
	requireStatus(t, status, http.StatusOK, "%s, after %v", what, elapsed)
	if elapsed > acknowledgementBound {
		t.Errorf("%s is acknowledged after %v, want at most %v", what, elapsed, acknowledgementBound)
	}
	*l = append(*l, elapsed)
}

// log logs the median and the maximum.
func (l latencies) log(t *testing.T) {
	t.Helper()
	slices.Sort(l)
	t.Logf("%d changes: half within %v, all within %v", len(l), l[len(l)/2], l[len(l)-1])
}

// TestReplaceLatencyAfterControllerLoss kills one controller or cuts its power, with or without a spare that replaces it as a
// member. Changes sent to the other controllers, immediately and up to three seconds later, must be acknowledged within the
// usual bound: only calls to the lost controller itself may be delayed.
func TestReplaceLatencyAfterControllerLoss(t *testing.T) {
	for _, controllers := range []int{3, 4} { // one of four is a spare
		for _, powerLoss := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d controllers, power loss %t", controllers, powerLoss), func(t *testing.T) {
				runCluster(t, 400+uint64(controllers), controllers, 2, func(t *testing.T, cluster *Cluster) {
					testReplaceLatencyAfterLoss(t, cluster, powerLoss)
				})
			})
		}
	}
}

func testReplaceLatencyAfterLoss(t *testing.T, cluster *Cluster, powerLoss bool) {
	delays := []time.Duration{
		0, 30 * time.Millisecond, 400 * time.Millisecond, 900 * time.Millisecond, 2300 * time.Millisecond, 3 * time.Second,
	}
	commitFirstVersion(t, cluster)
	time.Sleep(catchUpTime)
	version := uint64(1)
	var elapsed latencies
	for i, delay := range delays {
		lost := cluster.Controllers[i%3]
		lost.Kill(powerLoss)
		time.Sleep(delay)
		for _, controller := range cluster.runningControllers() {
			what := fmt.Sprintf("change at %s %v after the loss of %s", controller.IP, delay, lost.IP)
			elapsed.timedReplace(t, cluster, controller, version, ExampleConfiguration(version+1, ExampleSharding), what)
			version++
		}
		requireNoError(t, lost.Start())
		time.Sleep(3 * time.Second)
	}
	elapsed.log(t)
}

// TestReplaceRetriedAfterControllerCrash kills the controller that received a change at different moments of the proposal,
// before it responds. Another controller must acknowledge the same change within the usual bound.
func TestReplaceRetriedAfterControllerCrash(t *testing.T) {
	const steps, stepDelay = 14, 500 * time.Microsecond
	for _, powerLoss := range []bool{false, true} {
		t.Run(fmt.Sprintf("power loss %t", powerLoss), func(t *testing.T) {
			runCluster(t, 410, 3, 1, func(t *testing.T, cluster *Cluster) {
				commitFirstVersion(t, cluster)
				time.Sleep(3 * time.Second)
				version := uint64(1)
				var elapsed latencies
				for step := range steps {
					first, second := cluster.Controllers[step%3], cluster.Controllers[(step+1)%3]
					body := ExampleConfiguration(version+1, ExampleSharding)
					go cluster.ReplaceConfiguration(first, version, body)
					time.Sleep(time.Duration(step) * stepDelay)
					first.Kill(powerLoss)
					elapsed.timedReplace(t, cluster, second, version, body, fmt.Sprintf("step %d: repeated change", step))
					version++
					requireNoError(t, first.Start())
					time.Sleep(3 * time.Second)
				}
				elapsed.log(t)
			})
		})
	}
}
