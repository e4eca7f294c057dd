package simcluster

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"oxbowspan/internal/settings"
	"oxbowspan/rpc"
)

// missedChanges returns the number of changes that a controller misses. It is lower under the race detector, which makes each
// change several times as expensive.
func missedChanges() uint64 {
	if raceDetector {
		return 250
	}
	return 1000
}

// commitVersions commits versions one after the other at two running controllers alternately, and returns the last body.
func commitVersions(t *testing.T, cluster *Cluster, first, last uint64) (body []byte) {
	t.Helper()
	running := cluster.runningControllers()[:2]
	for version := first; version <= last; version++ {
		body = ExampleConfiguration(version, ExampleSharding)
		status := 0
		for attempt := 0; attempt < 20 && status != http.StatusOK; attempt++ {
			to := running[(int(version)+attempt)%len(running)]
			status = cluster.ReplaceConfiguration(to, version-1, body)
			if status != http.StatusOK {
				time.Sleep(50 * time.Millisecond)
			}
		}
		requireStatus(t, status, http.StatusOK, "version %d", version)
	}
	return body
}

// pollUpdate polls a controller as a gateway without a configuration does. It returns nil if there is no response.
func pollUpdate(cluster *Cluster, to *ControllerNode) *rpc.Update {
	client := &rpc.Client{Address: to.settings().InternalAddress(settings.ControllerPort), Network: cluster.Network.Host("10.0.9.5")}
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	reply, err := client.Call(ctx, &rpc.Frame{Body: &rpc.Frame_Poll{Poll: &rpc.Poll{From: &rpc.Gateway{}}}})
	if err != nil {
		return nil
	}
	return reply.GetUpdate()
}

// absence describes how a controller misses changes.
type absence struct {
	name            string
	runsPartitioned bool // the controller runs but is partitioned; otherwise it has no power
	wiped           bool // its disk is wiped before it restarts
}

// catchUpTest is one run of TestControllerCatchesUpAfterManyChanges.
type catchUpTest struct {
	cluster *Cluster
	absent  *ControllerNode
	absence absence
	newest  uint64
	body    []byte // of the newest version
}

// TestControllerCatchesUpAfterManyChanges commits a thousand changes while one controller is without power, with its disk kept
// or wiped, or running and partitioned. For the first second after its return it is still partitioned: it must serve no reads
// and send no update as confirmed by a quorum. It must be current within four seconds of the end of the partition, and must
// never serve, send to gateways or acknowledge outdated state.
func TestControllerCatchesUpAfterManyChanges(t *testing.T) {
	for _, absence := range []absence{
		{name: "with its disk"},
		{name: "with an empty disk", wiped: true},
		{name: "running on", runsPartitioned: true},
	} {
		t.Run(absence.name, func(t *testing.T) {
			runControllers(t, 970, 3, func(t *testing.T, cluster *Cluster) {
				test := &catchUpTest{cluster: cluster, absent: cluster.Controllers[2], absence: absence}
				test.missChanges(t)
				test.checkPartitioned(t)
				cluster.Network.Heal()
				test.checkCatchUp(t)
				last := commitVersions(t, cluster, test.newest+1, test.newest+3) // the returned controller takes part
				checkFirstRead(t, cluster, last)
			})
		})
	}
}

// missChanges commits changes while the controller is absent. Afterwards it runs, partitioned from the others.
func (c *catchUpTest) missChanges(t *testing.T) {
	t.Helper()
	status := replaceWithRetry(c.cluster, 0, ExampleConfiguration(1, ExampleSharding), initialAttempts)
	requireStatus(t, status, http.StatusOK, "first configuration")
	commitVersions(t, c.cluster, 2, 5)
	if c.absence.runsPartitioned {
		isolate(c.cluster, c.absent)
	} else {
		c.absent.Kill(true)
	}
	c.newest = 5 + missedChanges()
	c.body = commitVersions(t, c.cluster, 6, c.newest)
	if c.absence.wiped {
		c.absent.WipeDisk()
	}
	if !c.absence.runsPartitioned {
		isolate(c.cluster, c.absent)
		requireNoError(t, c.absent.Start())
	}
}

// checkPartitioned checks for a second that the partitioned controller serves no reads and sends no update as confirmed by a
// quorum.
func (c *catchUpTest) checkPartitioned(t *testing.T) {
	t.Helper()
	for start := time.Now(); time.Since(start) < time.Second; time.Sleep(20 * time.Millisecond) {
		if text := c.cluster.ReadConfiguration(c.absent); text != nil {
			t.Errorf("while partitioned it returns %.20q", text)
		}
		update := pollUpdate(c.cluster, c.absent)
		if update == nil || update.HasConfig && !c.absence.runsPartitioned || update.HasQuorum {
			t.Errorf("while partitioned it sends the update %v", update)
		}
	}
}

// checkCatchUp checks that the controller is current within catchUpTime and serves nothing outdated until then.
func (c *catchUpTest) checkCatchUp(t *testing.T) {
	t.Helper()
	start := time.Now()
	var operator sync.WaitGroup
	operator.Go(func() { // sends changes based on a version that the controller had before its absence
		for time.Since(start) < catchUpTime {
			if c.cluster.ReplaceConfiguration(c.absent, 5, ExampleConfiguration(6, ExampleResharding)) == http.StatusOK {
				t.Errorf("another change on version 5 is acknowledged after %v", time.Since(start))
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
	var currentAfter time.Duration
	reads, unanswered := 0, 0
	for time.Since(start) < catchUpTime {
		text := c.cluster.ReadConfiguration(c.absent)
		switch {
		case text == nil:
			unanswered++
		case bytes.Equal(text, c.body):
			reads++
		default:
			reads++
			t.Errorf("after %v it returns %.20q", time.Since(start), text)
		}
		if c.checkUpdate(t, time.Since(start)) && currentAfter == 0 {
			currentAfter = time.Since(start)
		}
		time.Sleep(20 * time.Millisecond)
	}
	operator.Wait()
	t.Logf("it sends the newest version after %v; %d reads are answered, %d are not", currentAfter, reads, unanswered)
	if currentAfter == 0 || reads == 0 {
		t.Fatalf("it is not current after %v", catchUpTime)
	}
}

// checkUpdate checks the update that the controller sends, and reports whether it has the newest version.
func (c *catchUpTest) checkUpdate(t *testing.T, elapsed time.Duration) (current bool) {
	t.Helper()
	update := pollUpdate(c.cluster, c.absent)
	if update == nil {
		return false
	}
	outdated := update.HasConfig && update.Version != c.newest
	if outdated && (update.HasQuorum || !c.absence.runsPartitioned) {
		t.Errorf("after %v it sends version %d", elapsed, update.Version)
		return false
	}
	return update.Version == c.newest
}
