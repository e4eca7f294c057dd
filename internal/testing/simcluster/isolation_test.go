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
	"oxbowspan/internal/settings"
	"oxbowspan/rpc"
)

const (
	isolationTime = 20 * time.Second
	maxStaleness  = 2 * time.Second         // what a machine in contact with a majority tells is no older
	failoverBound = 2500 * time.Millisecond // a gatherer has turned to another machine by then
	applyTimeout  = 3 * time.Second         // from an acknowledgement until every gatherer has it in force
	recoveryBound = 4 * time.Second         // after the last trouble, every machine serves as before
)

// isolation is a way in which one machine of the core loses its contact with the others.
type isolation struct {
	name         string
	start        func(c *Cluster, alone *ControllerNode)
	mayCommit    bool // it may still agree on something with the others, slowly
	unresponsive bool // it answers nothing
}

func partitionLinks(out, in bool) func(cluster *Cluster, isolated *ControllerNode) {
	return func(cluster *Cluster, isolated *ControllerNode) {
		for _, o := range cluster.Controllers {
			if o != isolated {
				cluster.Network.SetPartitioned(isolated.IP, o.IP, out)
				cluster.Network.SetPartitioned(o.IP, isolated.IP, in)
			}
		}
	}
}

func isolations() []isolation {
	return []isolation{
		{"cut both ways", partitionLinks(true, true), false, false},
		{"heard by nobody", partitionLinks(true, false), false, false},
		{"hears nobody", partitionLinks(false, true), false, false},
		{"slow links", func(cluster *Cluster, isolated *ControllerNode) { delayLinks(cluster, isolated, 700*time.Millisecond) }, true, false},
		{"links that hold and let go", func(cluster *Cluster, isolated *ControllerNode) {
			go func() {
				for deadline := time.Now().Add(isolationTime - time.Second); time.Now().Before(deadline); {
					partitionLinks(true, true)(cluster, isolated)
					time.Sleep(650 * time.Millisecond)
					partitionLinks(false, false)(cluster, isolated)
					time.Sleep(20 * time.Millisecond)
				}
			}()
		}, true, false},
		{"frozen", func(_ *Cluster, isolated *ControllerNode) { isolated.Controller.Freeze(isolationTime, false) }, true, true},
		{"frozen with its clock", func(_ *Cluster, isolated *ControllerNode) { isolated.Controller.Freeze(isolationTime, true) }, true, true},
		{"frozen, and cut off when it wakes", freezeAndPartition(false), false, true},
		{"frozen with its clock, and cut off when it wakes", freezeAndPartition(true), false, true},
	}
}

// delayLinks has all links between a machine and the others take longer.
func delayLinks(cluster *Cluster, isolated *ControllerNode, extra time.Duration) {
	for _, o := range cluster.Controllers {
		if o != isolated {
			cluster.Network.SetExtraDelay(isolated.IP, o.IP, extra)
			cluster.Network.SetExtraDelay(o.IP, isolated.IP, extra)
		}
	}
}

// freezeAndPartition has a machine wake with words and answers of before in its hands, and nobody to be reached for two seconds.
func freezeAndPartition(clock bool) func(cluster *Cluster, isolated *ControllerNode) {
	return func(cluster *Cluster, isolated *ControllerNode) {
		delayLinks(cluster, isolated, 150*time.Millisecond) // so that questions of its own are on their way
		time.Sleep(time.Second)
		isolated.Controller.Freeze(isolationTime-3*time.Second, clock)
		time.Sleep(450 * time.Millisecond) // their answers come, and a pulse of each other machine: none is read
		partitionLinks(true, true)(cluster, isolated)
	}
}

// operatorLog is what operators sent and were told.
type operatorLog struct {
	mu             sync.Mutex
	version        uint64               // the last that was given out
	acked          map[uint64]time.Time // when each was acknowledged first
	rejected       map[uint64]bool
	violations     []string
	settledReplies int // answers that were given as settled
}

func (o *operatorLog) addViolation(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

// newest is the greatest version that was acknowledged by a moment.
func (o *operatorLog) newest(by time.Time) (version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for v, at := range o.acked {
		if !at.After(by) {
			version = max(version, v)
		}
	}
	return version
}

// send sends one order to one machine, up to three times.
func (o *operatorLog) send(cluster *Cluster, to *ControllerNode, basedOn uint64) (status int) {
	o.mu.Lock()
	o.version++
	version := o.version
	o.mu.Unlock()
	for range 3 {
		status = cluster.ReplaceConfiguration(to, basedOn, ExampleConfiguration(version, [][]string{FirstSharding, SecondSharding}[version%2]))
		if status == http.StatusOK || status/100 == 4 {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case status == http.StatusOK:
		o.acked[version] = time.Now()
	case status/100 == 4:
		o.rejected[version] = true
	}
	return status
}

// raceChanges sends eight orders on one base at once, half of them to one machine, and tells what that one answered.
func (o *operatorLog) raceChanges(cluster *Cluster, isolated *ControllerNode) (statuses []int) {
	base := o.newest(time.Now())
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i := range 8 {
		to := isolated
		if i%2 == 0 {
			to = cluster.Controllers[1+i/2%(len(cluster.Controllers)-1)]
		}
		wg.Go(func() {
			if status := o.send(cluster, to, base); to == isolated {
				mu.Lock()
				statuses = append(statuses, status)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return statuses
}

// readAndCheck reads the configuration at a machine: what comes is at least as new as what was acknowledged before.
func (o *operatorLog) readAndCheck(cluster *Cluster, controller *ControllerNode) (version uint64) {
	least := o.newest(time.Now())
	text := cluster.ReadConfiguration(controller)
	if text == nil {
		return 0
	}
	conf, err := config.Parse(text)
	if err != nil {
		o.addViolation("what is read can't be: %v", err)
		return 0
	}
	if conf.Version < least {
		o.addViolation("STALE: %s reads version %d, %d was acknowledged before", controller.IP, conf.Version, least)
	}
	return conf.Version
}

// checkReports looks at what a machine tells operators: what was agreed is at least as new as what was acknowledged before; lists that
// may be old are not told by one that is cut off.
func (o *operatorLog) checkReports(cluster *Cluster, controller *ControllerNode, kind isolation) {
	least := o.newest(time.Now())
	if text := cluster.ReadResource(controller, "/-/configuration/history"); text != nil && !bytes.Contains(text, fmt.Appendf(nil, `"version":%d,`, least)) {
		o.addViolation("STALE: %s tells a history without version %d, which was acknowledged before", controller.IP, least)
	}
	for _, path := range []string{"/-/nodes/read", "/-/servers/read", "/-/tenants/explain", "/-/judgement/explain"} {
		if text := cluster.ReadResource(controller, path); text != nil && !kind.mayCommit {
			o.addViolation("STALE: %s is cut off and tells %s", controller.IP, path)
		}
	}
	for _, path := range []string{"/-/members/read", "/-/events/read"} {
		if text := cluster.ReadResource(controller, path); text == nil && !kind.unresponsive {
			o.addViolation("%s is cut off and does not tell %s", controller.IP, path)
		}
	}
}

// asker asks a machine of the core as gatherers do, from an address that is never cut off.
type asker struct {
	caller      *rpc.Client
	incarnation uint64 // of the hive that it follows
}

// poll asks at once; first, as one that turns to this machine anew. What comes as settled must not be old.
func (o *operatorLog) poll(poller *asker, first bool) {
	request := &rpc.Poll{ControllerIncarnation: poller.incarnation, WaitMs: 1}
	if first {
		request.ControllerIncarnation = 0
	}
	sent := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
	defer cancel()
	answer, err := poller.caller.Call(ctx, &rpc.Frame{Body: &rpc.Frame_Poll{Poll: request}})
	update := answer.GetUpdate()
	if err != nil || update == nil {
		poller.incarnation = 0
		return
	}
	first = first || poller.incarnation == 0
	if poller.incarnation = update.ControllerIncarnation; !update.HasQuorum { // a gatherer leaves this machine, and turns to it anew if it comes back
		poller.incarnation = 0
	}
	if update.HasQuorum {
		o.mu.Lock()
		o.settledReplies++
		o.mu.Unlock()
	}
	least := o.newest(sent)
	if !first {
		least = o.newest(sent.Add(-maxStaleness))
	}
	if update.HasQuorum && update.Version < least {
		o.addViolation("STALE: %s hands out version %d as settled, %d was acknowledged before (first question: %v)", poller.caller.Address, update.Version, least, first)
	}
}

// startPollers has the machine asked, again and again, by askers that turn to it and by some that stay, until the end.
func (o *operatorLog) startPollers(cluster *Cluster, controller *ControllerNode, deadline time.Time) (wait func()) {
	var wg sync.WaitGroup
	caller := func() *rpc.Client {
		return &rpc.Client{Address: controller.settings().InternalAddress(settings.ControllerPort), Network: cluster.Network.Host("10.0.9.6")}
	}
	for i := range 8 {
		wg.Go(func() {
			a := &asker{caller: caller()}
			defer a.caller.Close()
			for time.Sleep(time.Duration(i) * 11 * time.Millisecond); time.Now().Before(deadline); time.Sleep(97 * time.Millisecond) {
				o.poll(a, i%2 == 0)
			}
		})
	}
	return wg.Wait
}

// committedVersions are the versions that a machine tells to be agreed.
func committedVersions(t *testing.T, cluster *Cluster, controller *ControllerNode) (versions []uint64) {
	t.Helper()
	var history []struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(cluster.ReadResource(controller, "/-/configuration/history"), &history); err != nil {
		t.Fatal(err)
	}
	for _, v := range history {
		versions = append(versions, v.Version)
	}
	return versions
}

// A machine of the core loses its contact with the others for 20 s, in every way, while operators race on both sides. It
// confirms nothing and refuses nothing out of what it knew, hands out nothing old as new, and gatherers leave it in time.
func TestIsolatedController(t *testing.T) {
	for i, how := range isolations() {
		t.Run(how.name, func(t *testing.T) {
			runCluster(t, uint64(500+i), 3+2*(i%2), 3, func(cluster *Cluster) {
				o := &operatorLog{acked: map[uint64]time.Time{}, rejected: map[uint64]bool{}}
				commitFirstVersion(t, cluster)
				o.version, o.acked[1] = 1, time.Now()
				time.Sleep(4 * time.Second)
				isolated := cluster.Controllers[0]
				deadline := time.Now().Add(isolationTime + recoveryBound)
				wait := o.startPollers(cluster, isolated, deadline)
				var reads sync.WaitGroup
				reads.Go(func() {
					for time.Now().Before(deadline) {
						o.readAndCheck(cluster, isolated)
						time.Sleep(150 * time.Millisecond)
					}
				})
				time.Sleep(500 * time.Millisecond) // those who stay with it follow it
				start := time.Now()
				how.start(cluster, isolated)
				if got := o.send(cluster, cluster.Controllers[1], 1); got != http.StatusOK {
					t.Fatalf("an order to the others is answered %d", got)
				}
				sent := time.Now()
				awaitVersion(t, cluster, 2, failoverBound)
				t.Logf("every gatherer has it %v after its acknowledgement", time.Since(sent))
				for round := 0; time.Since(start) < isolationTime-5*time.Second; round++ {
					for _, status := range o.raceChanges(cluster, isolated) {
						if final := status == http.StatusOK || status/100 == 4; final && !how.mayCommit {
							t.Errorf("a machine without contact answers an order %d", status)
						}
					}
					o.checkReports(cluster, isolated, how)
					if v := o.newest(time.Now()); v == 2 {
						t.Fatal("the others agree on nothing")
					} else {
						awaitVersion(t, cluster, v, applyTimeout)
					}
					time.Sleep(1500 * time.Millisecond)
				}
				time.Sleep(time.Until(start.Add(isolationTime)))
				cluster.Network.Heal()
				o.raceChanges(cluster, isolated) // while it comes back
				time.Sleep(recoveryBound)
				if v, least := o.readAndCheck(cluster, isolated), o.newest(time.Now()); v < least {
					t.Errorf("%v after its return it reads %d, %d was acknowledged", recoveryBound, v, least)
				}
				wait()
				reads.Wait()
				known := committedVersions(t, cluster, isolated)
				for v := range o.acked {
					if !slices.Contains(known, v) {
						t.Errorf("LOST: version %d was acknowledged and is not agreed", v)
					}
				}
				for v := range o.rejected {
					if slices.Contains(known, v) {
						t.Errorf("CONFIG: version %d was refused and is agreed", v)
					}
				}
				for _, f := range o.violations[:min(5, len(o.violations))] {
					t.Error(f)
				}
				if n := len(o.violations); n > 5 {
					t.Errorf("and %d more", n-5)
				}
			})
		})
	}
}

// A version is decided by votes of which one machine alone knows that, and that one is not heard in time: who asked the other
// voters must not take what they know for the newest.
func TestCommitKnownOnlyToProposer(t *testing.T) {
	runCluster(t, 520, 3, 3, func(cluster *Cluster) {
		o := &operatorLog{acked: map[uint64]time.Time{}, rejected: map[uint64]bool{}}
		commitFirstVersion(t, cluster)
		o.version, o.acked[1] = 1, time.Now()
		time.Sleep(4 * time.Second)
		asked, proposer, voter := cluster.Controllers[0], cluster.Controllers[1], cluster.Controllers[2]
		cluster.Network.SetPartitioned(asked.IP, proposer.IP, true)
		cluster.Network.SetPartitioned(proposer.IP, asked.IP, true)
		cluster.Network.SetExtraDelay(proposer.IP, voter.IP, 300*time.Millisecond)
		time.Sleep(3 * time.Second)
		wait := o.startPollers(cluster, asked, time.Now().Add(4*time.Second))
		if got := o.send(cluster, proposer, 1); got != http.StatusOK {
			t.Fatalf("an order is answered %d", got)
		}
		wait()
		for _, f := range o.violations {
			t.Error(f)
		}
		if settled := o.settledReplies; settled < 20 {
			t.Errorf("only %d answers were given as settled: too few to tell", settled)
		}
	})
}

// All machines of the core are killed and start one after the other: they are in contact at once, whoever was there first.
func TestContactAfterFullRestart(t *testing.T) {
	for trial := range 8 {
		runCluster(t, uint64(530+trial), 3, 1, func(cluster *Cluster) {
			commitFirstVersion(t, cluster)
			for _, controller := range cluster.Controllers {
				controller.Kill(false)
			}
			for _, controller := range cluster.Controllers {
				time.Sleep(time.Duration(8*trial) * time.Millisecond) // dialled before they listen
				requireNoError(t, controller.Start())
			}
			start := time.Now()
			for _, controller := range cluster.Controllers {
				o := &operatorLog{}
				a := &asker{caller: &rpc.Client{Address: controller.settings().InternalAddress(settings.ControllerPort), Network: cluster.Network.Host("10.0.9.6")}}
				for o.settledReplies == 0 && time.Since(start) < time.Second {
					o.poll(a, true)
					time.Sleep(10 * time.Millisecond)
				}
				a.caller.Close()
			}
			if took := time.Since(start); took > 200*time.Millisecond {
				t.Errorf("machines that start %v apart are in contact %v after the last", time.Duration(8*trial)*time.Millisecond, took)
			}
		})
	}
}
