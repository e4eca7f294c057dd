package simcluster

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"
)

// acknowledgementBound is how long an order may take at a control machine that lives while a majority does: two round trips between zones
// and a retry or two, and nothing that waits for the one that is lost.
const acknowledgementBound = 100 * time.Millisecond

// One control machine is lost, by a kill or dark, as a member or while a spare takes its place; orders sent to each other one
// at once and at any moment of the seconds after are acknowledged as fast as ever. What an operator waits beyond that is spent
// at the lost machine's address.
func TestReplaceLatencyAfterControllerLoss(t *testing.T) {
	delays := []time.Duration{0, 30 * time.Millisecond, 400 * time.Millisecond, 900 * time.Millisecond, 2300 * time.Millisecond, 3 * time.Second}
	for _, hives := range []int{3, 4} { // of four, one is a spare
		for _, powerLoss := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d hives, dark %t", hives, powerLoss), func(t *testing.T) {
				runCluster(t, 400+uint64(hives), hives, 2, func(cluster *Cluster) {
					commitFirstVersion(t, cluster)
					time.Sleep(4 * time.Second)
					version := uint64(1)
					var took []time.Duration
					for i, delay := range delays {
						lost := cluster.Controllers[i%3]
						lost.Kill(powerLoss)
						time.Sleep(delay)
						for _, controller := range cluster.runningControllers() {
							start := time.Now()
							if got := cluster.ReplaceConfiguration(controller, version, ExampleConfiguration(version+1, FirstSharding)); got != http.StatusOK {
								t.Fatalf("%v after the loss of %s, %s answers %d after %v", delay, lost.IP, controller.IP, got, time.Since(start))
							}
							version++
							if d := time.Since(start); d > acknowledgementBound {
								t.Errorf("%v after the loss of %s, %s takes %v", delay, lost.IP, controller.IP, d)
							}
							took = append(took, time.Since(start))
						}
						requireNoError(t, lost.Start())
						time.Sleep(3 * time.Second)
					}
					slices.Sort(took)
					t.Logf("%d orders: half within %v, all within %v", len(took), took[len(took)/2], took[len(took)-1])
				})
			})
		}
	}
}

// The machine that takes an order dies before it answers, at any moment of its round: the same order again, at another, is
// acknowledged at once.
func TestReplaceRetriedAfterControllerCrash(t *testing.T) {
	for _, powerLoss := range []bool{false, true} {
		runCluster(t, 410, 3, 1, func(cluster *Cluster) {
			commitFirstVersion(t, cluster)
			time.Sleep(3 * time.Second)
			version := uint64(1)
			var took []time.Duration
			for step := range 14 {
				first, second := cluster.Controllers[step%3], cluster.Controllers[(step+1)%3]
				body := ExampleConfiguration(version+1, FirstSharding)
				go cluster.ReplaceConfiguration(first, version, body)
				time.Sleep(time.Duration(step) * 500 * time.Microsecond)
				first.Kill(powerLoss)
				start := time.Now()
				if got := cluster.ReplaceConfiguration(second, version, body); got != http.StatusOK {
					t.Fatalf("step %d: the same order again is answered %d", step, got)
				}
				version++
				took = append(took, time.Since(start))
				if d := time.Since(start); d > acknowledgementBound {
					t.Errorf("step %d: the same order again takes %v", step, d)
				}
				requireNoError(t, first.Start())
				time.Sleep(3 * time.Second)
			}
			slices.Sort(took)
			t.Logf("%d orders again: half within %v, all within %v", len(took), took[len(took)/2], took[len(took)-1])
		})
	}
}
