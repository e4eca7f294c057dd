package simcluster

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"oxbowspan/config"
	"oxbowspan/internal/settings"
	"oxbowspan/rpc"
)

// maxStaleness is the most by which an update may be outdated that a controller hands to a gateway which it has handed
// updates to before.
const maxStaleness = 2 * time.Second

// operatorLog is what the operators of a run sent and received. Its methods may be called concurrently.
type operatorLog struct {
	mu            sync.Mutex
	version       uint64               // the last that was sent
	acknowledged  map[uint64]time.Time // when each version was acknowledged
	rejected      map[uint64]bool
	quorumReplies int // replies to polls that a quorum confirmed
	violations    []string
}

// newOperatorLog makes a log of operators who know that version 1 is committed.
func newOperatorLog() *operatorLog {
	return &operatorLog{
		version:      1,
		acknowledged: map[uint64]time.Time{1: time.Now()},
		rejected:     map[uint64]bool{},
	}
}

func (o *operatorLog) addViolation(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

// reportViolations fails the test for each violation; of many, only the first ones are named.
func (o *operatorLog) reportViolations(t *testing.T) {
	t.Helper()
	const named = 5
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, violation := range o.violations[:min(named, len(o.violations))] {
		t.Error(violation)
	}
	if count := len(o.violations); count > named {
		t.Errorf("and %d more violations", count-named)
	}
}

// newest returns the newest version that was acknowledged by a time.
func (o *operatorLog) newest(by time.Time) (version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for candidate, at := range o.acknowledged {
		if !at.After(by) {
			version = max(version, candidate)
		}
	}
	return version
}

// send sends the next version to one controller, up to three times, and returns the last status.
func (o *operatorLog) send(cluster *Cluster, to *ControllerNode, basedOn uint64) (status int) {
	version := o.nextVersion()
	body := ExampleConfiguration(version, [][]string{FirstSharding, SecondSharding}[version%2])
	for range 3 {
		status = cluster.ReplaceConfiguration(to, basedOn, body)
		if isClear(status) {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	o.recordOutcome(version, status)
	return status
}

func (o *operatorLog) nextVersion() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version++
	return o.version
}

func (o *operatorLog) recordOutcome(version uint64, status int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case status == http.StatusOK:
		o.acknowledged[version] = time.Now()
	case status/100 == 4:
		o.rejected[version] = true
	}
}

// sendConcurrently sends eight changes on one base at once, half of them to one controller, and returns the statuses of that
// controller.
func (o *operatorLog) sendConcurrently(cluster *Cluster, controller *ControllerNode) (statuses []int) {
	const changes = 8
	basedOn := o.newest(time.Now())
	var operators sync.WaitGroup
	var mu sync.Mutex
	for i := range changes {
		to := controller
		if i%2 == 0 {
			to = cluster.Controllers[1+i/2%(len(cluster.Controllers)-1)]
		}
		operators.Go(func() {
			status := o.send(cluster, to, basedOn)
			if to != controller {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			statuses = append(statuses, status)
		})
	}
	operators.Wait()
	return statuses
}

// readVersion reads the configuration from a controller and returns its version, 0 without a response. It must be at least
// as new as what was acknowledged before.
func (o *operatorLog) readVersion(cluster *Cluster, controller *ControllerNode) uint64 {
	least := o.newest(time.Now())
	text := cluster.ReadConfiguration(controller)
	if text == nil {
		return 0
	}
	configuration, err := config.Parse(text)
	if err != nil {
		o.addViolation("%s returns a malformed configuration: %v", controller.IP, err)
		return 0
	}
	if configuration.Version < least {
		o.addViolation("stale read: %s returns version %d, %d was acknowledged before", controller.IP, configuration.Version, least)
	}
	return configuration.Version
}

// checkReports reads what an isolated controller reports to operators. Its history must contain what was acknowledged
// before, and lists that may be outdated must not be served; what it knows of itself must be.
func (o *operatorLog) checkReports(cluster *Cluster, controller *ControllerNode, kind isolation) {
	least := o.newest(time.Now())
	history := cluster.ReadResource(controller, "/-/configuration/history")
	if history != nil && !bytes.Contains(history, fmt.Appendf(nil, `"version":%d,`, least)) {
		o.addViolation("stale read: %s returns a history without version %d, which was acknowledged before", controller.IP, least)
	}
	for _, path := range []string{"/-/nodes/read", "/-/servers/read", "/-/tenants/explain", "/-/judgement/explain"} {
		if text := cluster.ReadResource(controller, path); text != nil && !kind.mayCommit {
			o.addViolation("stale read: %s is isolated and serves %s", controller.IP, path)
		}
	}
	for _, path := range []string{"/-/members/read", "/-/events/read"} {
		if text := cluster.ReadResource(controller, path); text == nil && !kind.unresponsive {
			o.addViolation("%s is isolated and does not serve %s", controller.IP, path)
		}
	}
}

// poller polls a controller as gateways do.
type poller struct {
	client      *rpc.Client
	incarnation uint64 // of the controller whose updates it follows; 0: none
}

// newPoller makes a poller at an address that is never partitioned.
func newPoller(cluster *Cluster, controller *ControllerNode) *poller {
	return &poller{client: &rpc.Client{
		Address: controller.settings().InternalAddress(settings.ControllerPort),
		Network: cluster.Network.Host(rawClientIP),
	}}
}

// call polls once, without waiting for an update. It returns nil if there is no reply.
func (p *poller) call(incarnation uint64) *rpc.Update {
	ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
	defer cancel()
	request := &rpc.Poll{ControllerIncarnation: incarnation, WaitMs: 1}
	reply, err := p.client.Call(ctx, &rpc.Frame{Body: &rpc.Frame_Poll{Poll: request}})
	if err != nil {
		return nil
	}
	return reply.GetUpdate()
}

// poll polls once, as a gateway that follows the controller's updates or as one that is new to it. A reply that a quorum
// confirmed must not be outdated: not at all for a new gateway, and by maxStaleness at most for others.
func (o *operatorLog) poll(p *poller, isNew bool) {
	incarnation := p.incarnation
	if isNew {
		incarnation = 0
	}
	sentAt := time.Now()
	update := p.call(incarnation)
	isNew = isNew || p.incarnation == 0
	if update == nil || !update.HasQuorum { // a gateway turns to another controller, and is new to this one if it returns
		p.incarnation = 0
		return
	}
	p.incarnation = update.ControllerIncarnation
	o.recordQuorumReply()
	least := o.newest(sentAt)
	if !isNew {
		least = o.newest(sentAt.Add(-maxStaleness))
	}
	if update.Version < least {
		o.addViolation("stale update: %s confirms version %d, %d was acknowledged before (new gateway: %t)",
			p.client.Address, update.Version, least, isNew)
	}
}

func (o *operatorLog) recordQuorumReply() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.quorumReplies++
}

// startPollers polls a controller until a deadline, by gateways that follow it and by new ones in equal parts. The returned
// function waits for the end.
func (o *operatorLog) startPollers(cluster *Cluster, controller *ControllerNode, deadline time.Time) (wait func()) {
	const (
		pollers  = 8
		offset   = 11 * time.Millisecond
		interval = 97 * time.Millisecond
	)
	var pending sync.WaitGroup
	for i := range pollers {
		pending.Go(func() {
			p := newPoller(cluster, controller)
			defer p.client.Close()
			for time.Sleep(time.Duration(i) * offset); time.Now().Before(deadline); time.Sleep(interval) {
				o.poll(p, i%2 == 0)
			}
		})
	}
	return pending.Wait
}
