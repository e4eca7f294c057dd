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

// missedChanges returns how many changes a controller misses. The race detector makes each several times as expensive.
func missedChanges() uint64 {
	if raceDetector {
		return 250
	}
	return 1000
}

// commitVersions commits versions one after the other at two running controllers in turn, and returns the last body.
func commitVersions(t *testing.T, cluster *Cluster, first, last uint64) (body []byte) {
	t.Helper()
	running := cluster.runningControllers()[:2]
	for version := first; version <= last; version++ {
		body = ExampleConfiguration(version, FirstSharding)
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

// pollUpdate polls a controller as a gateway without a configuration does. It returns nil if there is no reply.
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

// absence is a way in which a controller misses changes.
type absence struct {
	name   string
	runsOn bool // it runs on while it is partitioned, otherwise it has no power
	wiped  bool // its disk is emptied before it starts again
}

// catchUpTest is one run of TestControllerCatchesUpAfterManyChanges.
type catchUpTest struct {
	cluster *Cluster
	away    *ControllerNode
	absence absence
	newest  uint64
	body    []byte // of the newest version
}

// TestControllerCatchesUpAfterManyChanges keeps a controller away while a thousand changes are committed: without power,
// with its disk kept or emptied, or running and partitioned. In its first second back it is still partitioned, and serves
// no reads and hands out nothing as confirmed by a quorum. It is current within four seconds of the end of the partition, and never
// serves, hands out or acknowledges outdated state.
func TestControllerCatchesUpAfterManyChanges(t *testing.T) {
	for _, absence := range []absence{
		{name: "with its disk"},
		{name: "with an empty disk", wiped: true},
		{name: "running on", runsOn: true},
	} {
		t.Run(absence.name, func(t *testing.T) {
			runControllers(t, 970, 3, func(t *testing.T, cluster *Cluster) {
				test := &catchUpTest{cluster: cluster, away: cluster.Controllers[2], absence: absence}
				test.missChanges(t)
				test.checkPartitioned(t)
				cluster.Network.Heal()
				test.checkCatchUp(t)
				last := commitVersions(t, cluster, test.newest+1, test.newest+3) // with the returned controller
				checkFirstRead(t, cluster, last)
			})
		})
	}
}

// missChanges commits changes while the controller is away. Afterwards it runs, partitioned from the others.
func (c *catchUpTest) missChanges(t *testing.T) {
	t.Helper()
	status := replaceWithRetry(c.cluster, 0, ExampleConfiguration(1, FirstSharding), initialAttempts)
	requireStatus(t, status, http.StatusOK, "first configuration")
	commitVersions(t, c.cluster, 2, 5)
	if c.absence.runsOn {
		isolate(c.cluster, c.away)
	} else {
		c.away.Kill(true)
	}
	c.newest = 5 + missedChanges()
	c.body = commitVersions(t, c.cluster, 6, c.newest)
	if c.absence.wiped {
		c.away.WipeDisk()
	}
	if !c.absence.runsOn {
		isolate(c.cluster, c.away)
		requireNoError(t, c.away.Start())
	}
}

// checkPartitioned checks for a second that the partitioned controller serves no reads and hands out nothing as confirmed by a quorum.
func (c *catchUpTest) checkPartitioned(t *testing.T) {
	t.Helper()
	for start := time.Now(); time.Since(start) < time.Second; time.Sleep(20 * time.Millisecond) {
		if text := c.cluster.ReadConfiguration(c.away); text != nil {
			t.Errorf("while partitioned it returns %.20q", text)
		}
		update := pollUpdate(c.cluster, c.away)
		if update == nil || update.HasConfig && !c.absence.runsOn || update.HasQuorum {
			t.Errorf("while partitioned it hands out %v", update)
		}
	}
}

// checkCatchUp checks that the controller is current within catchUpTime and meanwhile never outdated.
func (c *catchUpTest) checkCatchUp(t *testing.T) {
	t.Helper()
	start := time.Now()
	var operator sync.WaitGroup
	operator.Go(func() { // changes on a version that it had before
		for time.Since(start) < catchUpTime {
			if c.cluster.ReplaceConfiguration(c.away, 5, ExampleConfiguration(6, SecondSharding)) == http.StatusOK {
				t.Errorf("another change on version 5 is acknowledged after %v", time.Since(start))
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
	var currentAfter time.Duration
	reads, unanswered := 0, 0
	for time.Since(start) < catchUpTime {
		text := c.cluster.ReadConfiguration(c.away)
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
	t.Logf("it hands out the newest version after %v; %d reads are answered, %d are not", currentAfter, reads, unanswered)
	if currentAfter == 0 || reads == 0 {
		t.Fatalf("it is not current after %v", catchUpTime)
	}
}

// checkUpdate checks what the controller hands out, and reports whether that is the newest version.
func (c *catchUpTest) checkUpdate(t *testing.T, elapsed time.Duration) (current bool) {
	t.Helper()
	update := pollUpdate(c.cluster, c.away)
	if update == nil {
		return false
	}
	outdated := update.HasConfig && update.Version != c.newest
	if outdated && (update.HasQuorum || !c.absence.runsOn) {
		t.Errorf("after %v it hands out version %d", elapsed, update.Version)
		return false
	}
	return update.Version == c.newest
}
