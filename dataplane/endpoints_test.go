package dataplane

import (
	"testing"

	"oxbowspan/balancer"
	"oxbowspan/config"
	"oxbowspan/registry"
	"oxbowspan/rpc"
)

func TestBalancerState(t *testing.T) {
	for _, test := range []struct {
		name     string
		endpoint endpoint
		want     balancer.ServerState
	}{
		{"ready", endpoint{state: registry.Ready}, balancer.Ready},
		{"draining", endpoint{state: registry.Draining}, balancer.Draining},
		{"deregistered", endpoint{state: registry.Deregistered}, balancer.Removed},
		{"unresponsive", endpoint{state: registry.Ready, unresponsive: true}, balancer.Removed},
		{"address taken by another", endpoint{state: registry.Ready, replaced: true}, balancer.Removed},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.endpoint.balancerState(); got != test.want {
				t.Errorf("balancerState() = %d, want %d", got, test.want)
			}
		})
	}
}

func TestEndpointLoadSample(t *testing.T) {
	var load endpointLoad
	load.add(100, 1)
	load.add(150, 1)
	if milli, ok := load.sample(200); !ok || milli != 750 { // none for 100 ticks, then one for 50, then two for 50
		t.Errorf("first sample %d, %v, want 750", milli, ok)
	}
	load.add(250, -2)
	if milli, ok := load.sample(300); !ok || milli != 1000 {
		t.Errorf("second sample %d, %v, want 1000", milli, ok)
	}
	if milli, ok := load.sample(400); ok {
		t.Errorf("third sample %d, want none", milli)
	}
}

func TestApplyReports(t *testing.T) {
	first := &rpc.ServerReport{Instance: "i", Service: "s", Address: "10.0.1.1:80", Sequence: 2, State: uint32(registry.Draining), FencingToken: 2, LeaseHolder: 5}
	for _, test := range []struct {
		name         string
		report       *rpc.ServerReport
		address      string
		unresponsive bool
		holder       uint64
	}{
		{"newer", &rpc.ServerReport{Instance: "i", Service: "s", Address: "10.0.1.2:80", Sequence: 3, Unresponsive: true}, "10.0.1.2:80", true, 5},
		{"older", &rpc.ServerReport{Instance: "i", Service: "s", Address: "10.0.1.2:80", Sequence: 1, Unresponsive: true}, "10.0.1.1:80", false, 5},
		{"without a service", &rpc.ServerReport{Instance: "i", Sequence: 3, Unresponsive: true}, "10.0.1.1:80", true, 5},
		{"newer lease", &rpc.ServerReport{Instance: "i", Sequence: 1, FencingToken: 3, LeaseHolder: 4}, "10.0.1.1:80", false, 4},
		{"older lease", &rpc.ServerReport{Instance: "i", Sequence: 1, FencingToken: 1, LeaseHolder: 9}, "10.0.1.1:80", false, 5},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newComponents(t)
			c.report(first)
			c.report(test.report)
			e := c.endpoints.byInstance["i"]
			if e.address != test.address || e.unresponsive != test.unresponsive || e.lease.Holder != test.holder {
				t.Errorf("address %s, unresponsive %v, lease holder %d", e.address, e.unresponsive, e.lease.Holder)
			}
			if e.state != registry.Draining {
				t.Errorf("state %v, want the most advanced one", e.state)
			}
		})
	}
}

// Servers missing from a complete list are deregistered if the list comes from a controller with a quorum and complete
// knowledge of the servers. They stay in the table until they have no attempts in flight, but no new attempt is sent to
// them.
func TestUnlistedServerIsRemoved(t *testing.T) {
	ready := &rpc.ServerReport{Instance: "i", Service: "s", Sequence: 1}
	for _, test := range []struct {
		name       string
		update     *rpc.Update
		selectable bool
	}{
		{"complete list", &rpc.Update{Full: true, HasQuorum: true, Warm: true}, false},
		{"partial list", &rpc.Update{HasQuorum: true, Warm: true}, true},
		{"controller without a quorum", &rpc.Update{Full: true, Warm: true}, true},
		{"controller that has just started", &rpc.Update{Full: true, HasQuorum: true}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newComponents(t)
			c.report(ready)
			e := c.endpoints.byInstance["i"]
			e.load.add(1, 1)
			c.endpoints.applyReports(test.update)
			if e.selectable != test.selectable {
				t.Errorf("selectable: %v, want %v", e.selectable, test.selectable)
			}
			if c.endpoints.byInstance["i"] != e {
				t.Fatal("a server is removed while an attempt is in flight there")
			}
			e.load.add(2, -1)
			c.endpoints.removeIfRetired(e)
			if known := c.endpoints.byInstance["i"] == e; known != test.selectable {
				t.Errorf("known without attempts in flight: %v, want %v", known, test.selectable)
			}
		})
	}
}

func TestReadyOnceConfigurationAndServersAreKnown(t *testing.T) {
	c := newComponents(t)
	c.report(&rpc.ServerReport{Instance: "i", Service: "s", Sequence: 1})
	if c.process.ready.Load() {
		t.Error("ready without a configuration")
	}
	c.configs.activate(&config.Configuration{Version: 1, Services: []config.Service{{Name: "s"}}}, nil, 1)
	if !c.process.ready.Load() {
		t.Error("not ready with a configuration and a server")
	}
}

// A server that has drained or signed off must not be used again because a controller restarted with an old disk, or another gateway, still reports it
// as ready, also if the gateway has removed it or has not known it before. A server that was merely missing from a list may return.
func TestDepartedServerIsNotAddedAgain(t *testing.T) {
	ready := &rpc.ServerReport{Instance: "i", Service: "s", Address: "10.0.1.1:80", Sequence: 7}
	departed := &rpc.ServerReport{Instance: "i", Sequence: 2, State: uint32(registry.Deregistered)}
	draining := &rpc.ServerReport{Instance: "i", Service: "s", Address: "10.0.1.1:80", Sequence: 8, State: uint32(registry.Draining)}
	sources := []*rpc.Update{
		{Full: true, HasQuorum: true, Warm: true},
		{Full: true},
		{HasQuorum: true},
		{},
	}
	for _, test := range []struct {
		name   string
		before []*rpc.Update
		known  bool
	}{
		{"signed off", []*rpc.Update{{HasQuorum: true, Reports: []*rpc.ServerReport{ready}}, {HasQuorum: true, Reports: []*rpc.ServerReport{departed}}}, false},
		{"signed off before the gateway knew it", []*rpc.Update{{Full: true, HasQuorum: true, Reports: []*rpc.ServerReport{departed}}}, false},
		{"drained and missing from a complete list", []*rpc.Update{{HasQuorum: true, Reports: []*rpc.ServerReport{draining}}, {Full: true, HasQuorum: true, Warm: true}}, false},
		{"missing from a complete list", []*rpc.Update{{HasQuorum: true, Reports: []*rpc.ServerReport{ready}}, {Full: true, HasQuorum: true, Warm: true}}, true},
		{"never known", nil, true},
	} {
		for _, source := range sources {
			c := newComponents(t)
			for _, update := range test.before {
				c.endpoints.applyReports(update)
			}
			if c.endpoints.byInstance["i"] != nil {
				t.Fatalf("%s: the server is known", test.name)
			}
			c.endpoints.applyReports(&rpc.Update{Full: source.Full, HasQuorum: source.HasQuorum, Warm: source.Warm, Reports: []*rpc.ServerReport{ready}})
			if known := c.endpoints.byInstance["i"] != nil; known != test.known {
				t.Errorf("%s, then reported as ready by an update {%v}: known %v, want %v", test.name, source, known, test.known)
			}
		}
	}
}
