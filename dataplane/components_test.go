package dataplane

import (
	"testing"

	"oxbowspan/balancer"
	"oxbowspan/rpc"
)

// fakeLoop is a commandLoop whose time is set by the test. It runs commands synchronously.
type fakeLoop struct {
	time        balancer.Time
	expeditedTo balancer.Time // argument of the last call to expedite
}

func (l *fakeLoop) now() balancer.Time { return l.time }

func (l *fakeLoop) post(command func()) bool {
	command()
	return true
}

func (l *fakeLoop) expedite(at balancer.Time) { l.expeditedTo = at }

// recordedEvents is an eventSink that records the events for the balancer.
type recordedEvents struct{ events []balancer.Event }

func (r *recordedEvents) handleEvent(event balancer.Event) { r.events = append(r.events, event) }

// fakeLatency is a latencyModel without latency samples.
type fakeLatency struct{ unresponsive map[balancer.ServerID]bool }

func (fakeLatency) CompareLatency(balancer.ServerID) (unit, peers float64) { return 0, 0 }

func (l fakeLatency) Unresponsive(id balancer.ServerID) bool { return l.unresponsive[id] }

// components are the parts of a gateway, without a dispatcher, that component tests use.
type components struct {
	loop      *fakeLoop
	events    *recordedEvents
	process   *process
	members   *membership
	endpoints *endpointTable
	configs   *configStore
	quota     *quotaClient
	outliers  *outlierClient
}

func newComponents(t *testing.T) *components {
	t.Helper()
	c := &components{loop: &fakeLoop{time: 1}, events: &recordedEvents{}, process: testProcess()}
	c.members = newMembership(c.process)
	c.endpoints = newEndpointTable(c.process, c.members, &idSequence{})
	c.configs = newConfigStore(c.process.log, c.endpoints)
	c.quota = newQuotaClient(c.process, c.loop, c.members, c.endpoints, c.configs)
	c.outliers = newOutlierClient(c.process, c.loop, c.members, c.endpoints, fakeLatency{})
	c.endpoints.balancer, c.endpoints.quota, c.endpoints.outliers = c.events, c.quota, c.outliers
	c.configs.balancer, c.configs.tenants = c.events, c.quota
	c.outliers.balancer = c.events
	return c
}

// report applies server reports from a controller with a quorum.
func (c *components) report(reports ...*rpc.ServerReport) {
	c.endpoints.applyReports(&rpc.Update{HasQuorum: true, Reports: reports})
}
