package simcluster

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"oxbowspan/rpc"
)

// missedChanges is how many changes a machine misses. The race detector makes each several times as dear.
func missedChanges() uint64 {
	if raceDetector {
		return 250
	}
	return 1000
}

// commitVersions has versions agreed one after the other by the machines that run, and returns the newest body.
func commitVersions(t *testing.T, cluster *Cluster, from, to uint64) (body []byte) {
	t.Helper()
	running := cluster.runningControllers()[:2]
	for v := from; v <= to; v++ {
		body = ExampleConfiguration(v, FirstSharding)
		status := 0
		for i := 0; i < 20 && status != http.StatusOK; i++ {
			if status = cluster.ReplaceConfiguration(running[(int(v)+i)%len(running)], v-1, body); status != http.StatusOK {
				time.Sleep(50 * time.Millisecond)
			}
		}
		if status != http.StatusOK {
			t.Fatalf("version %d: %d", v, status)
		}
	}
	return body
}

// pollUpdate asks a control machine as a gatherer does that has nothing yet; nil = no answer.
func pollUpdate(cluster *Cluster, to *ControllerNode) *rpc.Update {
	call := &rpc.Client{Address: to.settings().InternalAddress(0), Network: cluster.Network.Host("10.0.9.5")}
	defer call.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	back, err := call.Call(ctx, &rpc.Frame{Body: &rpc.Frame_Poll{Poll: &rpc.Poll{From: &rpc.Gateway{}}}})
	if err != nil {
		return nil
	}
	return back.GetUpdate()
}

// A machine is away while a thousand changes are agreed: dark, its disk kept or emptied, or running and cut off. It comes back,
// for its first second still cut off from the others: then it reads nothing and hands out nothing as new. It is current within four seconds of hearing them, and never
// reads, hands out or acknowledges what is old.
func TestControllerCatchesUpAfterManyChanges(t *testing.T) {
	const within = 4 * time.Second // the least catch_up_s of the sites
	const withItsDisk, withAnEmptyDisk, runningOn = "with its disk", "with an empty disk", "running on"
	for _, how := range []string{withItsDisk, withAnEmptyDisk, runningOn} {
		t.Run(how, func(t *testing.T) {
			runControllers(t, 970, 3, func(cluster *Cluster) {
				if got := replaceWithRetry(cluster, 0, ExampleConfiguration(1, FirstSharding), 30); got != http.StatusOK {
					t.Fatalf("the first configuration: %d", got)
				}
				commitVersions(t, cluster, 2, 5)
				away := cluster.Controllers[2]
				cutOff := func() {
					for _, o := range cluster.Controllers[:2] {
						cluster.Network.SetPartitioned(o.IP, away.IP, true)
						cluster.Network.SetPartitioned(away.IP, o.IP, true)
					}
				}
				if how == runningOn {
					cutOff()
				} else {
					away.Kill(true)
				}
				newest := 5 + missedChanges()
				body := commitVersions(t, cluster, 6, newest)
				if how == withAnEmptyDisk {
					away.WipeDisk()
				}
				if how != runningOn {
					cutOff()
					requireNoError(t, away.Start())
				}
				for start := time.Now(); time.Since(start) < time.Second; time.Sleep(20 * time.Millisecond) {
					if read := cluster.ReadConfiguration(away); read != nil {
						t.Errorf("CONFIG: cut off, it reads %.20q", read)
					}
					if n := pollUpdate(cluster, away); n == nil || n.HasConfig && how != runningOn || n.HasQuorum {
						t.Errorf("CONFIG: cut off, it hands out %v", n)
					}
				}
				cluster.Network.Heal()
				start := time.Now()
				currentAt := time.Duration(0)
				reads, empty := 0, 0
				var all sync.WaitGroup
				all.Go(func() { // an order on a version that it had before
					for time.Since(start) < within {
						if got := cluster.ReplaceConfiguration(away, 5, ExampleConfiguration(6, SecondSharding)); got == http.StatusOK {
							t.Errorf("CONFIG: another change on version 5 is acknowledged after %v", time.Since(start))
						}
						time.Sleep(100 * time.Millisecond)
					}
				})
				for time.Since(start) < within {
					if read := cluster.ReadConfiguration(away); read == nil {
						empty++
					} else if reads++; !bytes.Equal(read, body) {
						t.Errorf("CONFIG: after %v it reads %.20q", time.Since(start), read)
					}
					if n := pollUpdate(cluster, away); n != nil && n.HasConfig && n.Version != newest && (n.HasQuorum || how != runningOn) {
						t.Errorf("CONFIG: after %v it hands out version %d", time.Since(start), n.Version)
					} else if n != nil && n.Version == newest && currentAt == 0 {
						currentAt = time.Since(start)
					}
					time.Sleep(20 * time.Millisecond)
				}
				all.Wait()
				t.Logf("it hands out the newest version after %v; %d reads answered, %d not", currentAt, reads, empty)
				if currentAt == 0 || reads == 0 {
					t.Fatal("it is not current after four seconds")
				}
				body = commitVersions(t, cluster, newest+1, newest+3) // it takes part again
				for _, controller := range cluster.Controllers {
					if !bytes.Equal(cluster.ReadConfiguration(controller), body) {
						t.Errorf("%s does not read what was agreed last", controller.IP)
					}
				}
			})
		})
	}
}
