package simcluster

import (
	"io"
	"testing"
	"time"
)

// stopCase is the state of a cluster in which a controller receives SIGTERM.
type stopCase struct {
	name       string
	stall      time.Duration // of the controller's disk
	othersLost bool          // both others have lost power
	incomplete bool          // one other lacks the newest version, so that the drain takes its full time
	halfSent   bool          // a request to the controller's API is incomplete
}

// A controller whose disk stalled waited for all queued writes after its drain, however long they took, and was killed at the end of its
// grace period.
func TestControllerStopsWithinGracePeriod(t *testing.T) {
	for i, test := range []stopCase{
		{name: "idle"},
		{name: "stalled disk", stall: 20 * time.Second},
		{name: "incomplete request", halfSent: true},
		{name: "others lost", othersLost: true},
		{name: "others lost, stalled disk", othersLost: true, stall: 20 * time.Second},
		{name: "others lost, stalled disk, incomplete request", othersLost: true, stall: 20 * time.Second, halfSent: true},
		{name: "incomplete replica, incomplete request", incomplete: true, halfSent: true},
		{name: "incomplete replica, incomplete request, stalled disk", incomplete: true, stall: 20 * time.Second, halfSent: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			runCluster(t, 300+uint64(i), 3, 1, func(t *testing.T, cluster *Cluster) {
				commitFirstVersion(t, cluster)
				time.Sleep(catchUpTime)
				stopping := cluster.Controllers[0]
				if test.halfSent {
					conn, err := cluster.Network.Host(cluster.Controllers[1].IP).Dial(stopping.ControlAddress(), time.Second)
					requireNoError(t, err)
					defer conn.Close()
					_, err = io.WriteString(conn, "POST /-/configuration/replace HTTP/1.1\r\nHost: c\r\nContent-Length: 100\r\n\r\n{")
					requireNoError(t, err)
					time.Sleep(100 * time.Millisecond)
				}
				if test.incomplete {
					cluster.Controllers[2].Kill(true)
					commitVersion(t, cluster, 2)
				}
				if test.othersLost {
					for _, other := range cluster.Controllers[1:] {
						other.Kill(true)
					}
				}
				if test.stall > 0 {
					stopping.Controller.StallDisk(test.stall)
				}
				elapsed := timeShutdown(stopping)
				t.Logf("stopped after %v", elapsed)
				if elapsed >= gracePeriod {
					t.Errorf("it stops after %v, the grace period is %v", elapsed, gracePeriod)
				}
				time.Sleep(test.stall) // the goroutine of the stalled disk belongs to the test
				requireNoError(t, stopping.Start())
			})
		})
	}
}
