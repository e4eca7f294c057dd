package controlplane

import (
	"time"

	"oxbowspan/rpc"
)

// gatewayTimeout is the time after its last poll at which a gateway is considered dead and is removed.
const gatewayTimeout = 4 * time.Second

// gatewayState is a controller's state for one gateway process.
type gatewayState struct {
	incarnation uint64
	address     string
	zone        string
	lastSeen    time.Duration
	direct      bool   // it has polled this controller, which reports it to the other controllers
	sequence    uint64 // of the last change to report to the other controllers

	// From its polls to this controller.
	stats     *rpc.GatewayStats
	slot      uint64        // the slot that is active at the gateway
	polledAt  time.Duration // 0 = never
	sentBytes int           // length of the version that was last sent to it
	sentAt    time.Duration // when that version was sent; 0 = never

	rollouts   *rpc.GatewayRollouts // its newest report to any controller
	rolloutsAt time.Duration        // 0 = never
}

// pollsHere reports whether the gateway polled this controller within half of gatewayTimeout.
func (g *gatewayState) pollsHere(now time.Duration) bool {
	return g.polledAt > 0 && now-g.polledAt < gatewayTimeout/2
}

// gatewayDirectory holds the gateways that are alive. It is owned by the event loop.
type gatewayDirectory struct {
	clock         *monotonicClock
	events        *eventLog
	updates       *updateSchedule
	byIncarnation map[uint64]*gatewayState
	epoch         uint64 // version of the list of gateways and controllers that is sent to gateways
	sequence      uint64 // of the last change to report to the other controllers
}

func newGatewayDirectory(clock *monotonicClock, events *eventLog, updates *updateSchedule) *gatewayDirectory {
	return &gatewayDirectory{clock: clock, events: events, updates: updates, byIncarnation: map[uint64]*gatewayState{}}
}

// listChanged schedules sending the list of gateways and controllers to all gateways.
func (d *gatewayDirectory) listChanged() {
	d.epoch++
	d.updates.request(false)
}

// observe records that a gateway was alive at a time. direct is true if it polled this controller, and false if another controller
// reported it. A new incarnation replaces earlier incarnations at the same address.
func (d *gatewayDirectory) observe(m *rpc.Gateway, at time.Duration, direct bool) {
	known := d.byIncarnation[m.Incarnation]
	switch {
	case m.Left:
		d.remove(m.Incarnation)
	case known != nil:
		d.refresh(known, at, direct)
	case m.Address == "": // unknown, and identified only by its incarnation: it will be reported in full
	case d.clock.now()-at > gatewayTimeout/2 && !direct: // an old report of a gateway that may have been removed
	default:
		d.add(m, at, direct)
	}
}

// remove removes a gateway that has shut down.
func (d *gatewayDirectory) remove(incarnation uint64) {
	g := d.byIncarnation[incarnation]
	if g == nil {
		return
	}
	d.events.add(eventGateway, "gateway "+g.address+" left")
	delete(d.byIncarnation, incarnation)
	d.listChanged()
}

// refresh updates a gateway that is already in the directory.
func (d *gatewayDirectory) refresh(g *gatewayState, at time.Duration, direct bool) {
	g.lastSeen = max(g.lastSeen, at)
	if direct && !g.direct {
		d.sequence++ // from now on this controller reports it to the others, in full the first time
		g.direct, g.sequence = true, d.sequence
	}
}

// add adds a gateway and removes other incarnations at its address. It does nothing if one of them was seen later.
func (d *gatewayDirectory) add(m *rpc.Gateway, at time.Duration, direct bool) {
	for incarnation, other := range d.byIncarnation {
		if other.address != m.Address {
			continue
		}
		if other.lastSeen > at {
			return
		}
		delete(d.byIncarnation, incarnation)
	}
	d.events.add(eventGateway, "gateway "+m.Address+" in "+m.Zone+" joined")
	d.epoch++
	d.sequence++
	d.byIncarnation[m.Incarnation] = &gatewayState{
		incarnation: m.Incarnation,
		address:     m.Address,
		zone:        m.Zone,
		lastSeen:    at,
		direct:      direct,
		sequence:    d.sequence,
	}
	d.updates.request(false)
}

// expire removes the gateways that were not seen for gatewayTimeout.
func (d *gatewayDirectory) expire(now time.Duration) {
	for incarnation, g := range d.byIncarnation {
		if now-g.lastSeen > gatewayTimeout {
			d.events.add(eventGateway, "gateway "+g.address+" timed out")
			delete(d.byIncarnation, incarnation)
			d.listChanged()
		}
	}
}

// reporting returns the gateways that poll this controller and have sent their statistics.
func (d *gatewayDirectory) reporting() []*gatewayState {
	var out []*gatewayState
	for _, g := range d.byIncarnation {
		if g.stats != nil && g.pollsHere(d.clock.now()) {
			out = append(out, g)
		}
	}
	return out
}

// listed returns the gateways as messages for the list that gateways receive.
func (d *gatewayDirectory) listed() []*rpc.Gateway {
	var out []*rpc.Gateway
	for _, g := range d.byIncarnation {
		out = append(out, &rpc.Gateway{Incarnation: g.incarnation, Address: g.address, Zone: g.zone})
	}
	return out
}
