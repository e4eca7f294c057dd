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

// maxStaleness is how far an update may lag behind the newest acknowledged version if the gateway already follows the updates of
// the controller that sends it.
const maxStaleness = 2 * time.Second

// operatorLog records the changes that the operators of a run sent and the responses. Its methods are safe for concurrent use.
type operatorLog struct {
	mu            sync.Mutex
	version       uint64               // the last version that was sent
	acknowledged  map[uint64]time.Time // time at which each version was acknowledged
	rejected      map[uint64]bool
	quorumReplies int // replies to polls that were confirmed by a quorum
	violations    []string
}

// newOperatorLog returns a log in which version 1 is acknowledged.
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

// reportViolations fails the test if there are violations. It prints the first ones and the number of the others.
func (o *operatorLog) reportViolations(t *testing.T) {
	t.Helper()
	const maxPrinted = 5
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, violation := range o.violations[:min(maxPrinted, len(o.violations))] {
		t.Error(violation)
	}
	if count := len(o.violations); count > maxPrinted {
		t.Errorf("and %d more violations", count-maxPrinted)
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
	body := ExampleConfiguration(version, [][]string{ExampleSharding, ExampleResharding}[version%2])
	for range 3 {
		status = cluster.ReplaceConfiguration(to, basedOn, body)
		if isDefinite(status) {
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

// sendConcurrently sends eight changes on one base concurrently, half of them to one controller, and returns that controller's
// statuses.
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

// readVersion reads the configuration from a controller and returns its version, or 0 if there is no response. A version older
// than the newest one acknowledged before the read is a violation.
func (o *operatorLog) readVersion(cluster *Cluster, controller *ControllerNode) uint64 {
	minVersion := o.newest(time.Now())
	text := cluster.ReadConfiguration(controller)
	if text == nil {
		return 0
	}
	configuration, err := config.Parse(text)
	if err != nil {
		o.addViolation("%s returns a malformed configuration: %v", controller.IP, err)
		return 0
	}
	if configuration.Version < minVersion {
		o.addViolation("stale read: %s returns version %d, %d was acknowledged before", controller.IP, configuration.Version, minVersion)
	}
	return configuration.Version
}

// checkReports reads the reports of an isolated controller. A history that it serves must contain the newest version that was
// acknowledged before. It must not serve lists that may be outdated, but must serve its own members and events.
func (o *operatorLog) checkReports(cluster *Cluster, controller *ControllerNode, kind isolation) {
	minVersion := o.newest(time.Now())
	history := cluster.ReadResource(controller, "/-/configuration/history")
	if history != nil && !bytes.Contains(history, fmt.Appendf(nil, `"version":%d,`, minVersion)) {
		o.addViolation("stale read: %s returns a history without version %d, which was acknowledged before", controller.IP, minVersion)
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
	incarnation uint64 // of the controller whose updates the poller follows; 0: none
}

// newPoller returns a poller at an address that is never partitioned.
func newPoller(cluster *Cluster, controller *ControllerNode) *poller {
	return &poller{client: &rpc.Client{
		Address: controller.settings().InternalAddress(settings.ControllerPort),
		Network: cluster.Network.Host(rawClientIP),
	}}
}

// call polls once, without waiting for an update. It returns nil if there is no response.
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

// poll polls once, as a gateway that follows the controller's updates or as a new one. An update that is confirmed by a quorum
// must not be outdated for a new gateway, and by at most maxStaleness for others.
func (o *operatorLog) poll(p *poller, isNew bool) {
	incarnation := p.incarnation
	if isNew {
		incarnation = 0
	}
	sentAt := time.Now()
	update := p.call(incarnation)
	isNew = isNew || p.incarnation == 0
	if update == nil || !update.HasQuorum { // the gateway would use another controller, and be new to this one if it returned
		p.incarnation = 0
		return
	}
	p.incarnation = update.ControllerIncarnation
	o.recordQuorumReply()
	minVersion := o.newest(sentAt)
	if !isNew {
		minVersion = o.newest(sentAt.Add(-maxStaleness))
	}
	if update.Version < minVersion {
		o.addViolation("stale update: %s confirms version %d, %d was acknowledged before (new gateway: %t)",
			p.client.Address, update.Version, minVersion, isNew)
	}
}

func (o *operatorLog) recordQuorumReply() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.quorumReplies++
}

// startPollers starts pollers of a controller that run until a deadline: half of them follow its updates, the others poll as new
// gateways. The returned function waits until they have stopped.
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
