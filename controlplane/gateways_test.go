package controlplane

import (
	"testing"
	"time"

	"oxbowspan/rpc"
)

// clockAt returns a clock that shows the given time.
func clockAt(now time.Duration) *monotonicClock {
	return &monotonicClock{startedAt: time.Now().Add(-now)}
}

func newTestDirectory(now time.Duration) *gatewayDirectory {
	clock := clockAt(now)
	return newGatewayDirectory(clock, newEventLog(clock), newUpdateSchedule(clock))
}

func TestGatewayDirectoryObserve(t *testing.T) {
	const now = time.Minute
	known := &rpc.Gateway{Incarnation: 1, Address: "a", Zone: "z"}
	for _, test := range []struct {
		name    string
		message *rpc.Gateway
		at      time.Duration
		direct  bool
		want    []uint64 // expected incarnations
		changed bool     // the list for gateways is expected to change
	}{
		{"seen again", known, now, true, []uint64{1}, false},
		{"another", &rpc.Gateway{Incarnation: 2, Address: "b"}, now, true, []uint64{1, 2}, true},
		{"reported by a peer", &rpc.Gateway{Incarnation: 2, Address: "b"}, now, false, []uint64{1, 2}, true},
		{"old report", &rpc.Gateway{Incarnation: 2, Address: "b"}, now - gatewayTimeout, false, []uint64{1}, false},
		{"unknown incarnation alone", &rpc.Gateway{Incarnation: 2}, now, false, []uint64{1}, false},
		{"restarted", &rpc.Gateway{Incarnation: 2, Address: "a"}, now, true, []uint64{2}, true},
		{"report of an earlier process", &rpc.Gateway{Incarnation: 2, Address: "a"}, now - 2*time.Second, true, []uint64{1}, false},
		{"left", &rpc.Gateway{Incarnation: 1, Left: true}, now, true, nil, true},
		{"unknown one left", &rpc.Gateway{Incarnation: 2, Left: true}, now, true, []uint64{1}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newTestDirectory(now)
			d.observe(known, now-time.Second, true)
			epoch := d.epoch
			d.observe(test.message, test.at, test.direct)
			if len(d.byIncarnation) != len(test.want) || d.epoch != epoch != test.changed {
				t.Errorf("%d gateways, list changed: %v", len(d.byIncarnation), d.epoch != epoch)
			}
			for _, incarnation := range test.want {
				if d.byIncarnation[incarnation] == nil {
					t.Errorf("incarnation %d is missing", incarnation)
				}
			}
		})
	}
}

// A gateway that is known only from a peer's report is reported to other peers once it polls this controller itself.
func TestGatewayBecomesDirect(t *testing.T) {
	const now = time.Minute
	d := newTestDirectory(now)
	d.observe(&rpc.Gateway{Incarnation: 1, Address: "a"}, now, false)
	sequence := d.byIncarnation[1].sequence
	d.observe(&rpc.Gateway{Incarnation: 1, Address: "a"}, now, false)
	if g := d.byIncarnation[1]; g.direct || g.sequence != sequence {
		t.Errorf("a second report changed its state: %+v", g)
	}
	d.observe(&rpc.Gateway{Incarnation: 1, Address: "a"}, now, true)
	if g := d.byIncarnation[1]; !g.direct || g.sequence <= sequence {
		t.Errorf("its own poll did not change its state: %+v", g)
	}
}

func TestGatewayDirectoryExpire(t *testing.T) {
	const now = time.Minute
	d := newTestDirectory(now)
	d.observe(&rpc.Gateway{Incarnation: 1, Address: "a"}, now, true)
	d.observe(&rpc.Gateway{Incarnation: 2, Address: "b"}, now+time.Second, true)
	d.expire(now + gatewayTimeout)
	if len(d.byIncarnation) != 2 {
		t.Error("a gateway is removed before its timeout")
	}
	epoch := d.epoch
	d.expire(now + gatewayTimeout + time.Millisecond)
	if d.byIncarnation[1] != nil || d.byIncarnation[2] == nil || d.epoch == epoch {
		t.Errorf("after the timeout of one gateway: %v, epoch %d", d.byIncarnation, d.epoch)
	}
}

func TestPacingDelay(t *testing.T) {
	for _, test := range []struct {
		length                   int
		configApplyLimit, expect time.Duration
	}{
		{0, 3 * time.Second, 0},
		{2 << 10, 3 * time.Second, 100 * time.Millisecond},
		{1 << 20, 3 * time.Second, 500 * time.Millisecond},
	} {
		if got := pacingDelay(test.length, test.configApplyLimit); got != test.expect {
			t.Errorf("delay after %d bytes is %v, want %v", test.length, got, test.expect)
		}
	}
	g := &gatewayState{}
	if g.nextVersionAt(3*time.Second) != 0 {
		t.Error("the first version is delayed")
	}
	g.recordSent(2<<10, time.Second)
	if got := g.nextVersionAt(3 * time.Second); got != 1100*time.Millisecond {
		t.Errorf("the second version is delayed until %v", got)
	}
}
