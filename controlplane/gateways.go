package controlplane

import (
	"time"

	"oxbowspan/rpc"
)

// gatewayTimeout is how long after its last poll a gateway is considered gone.
const gatewayTimeout = 4 * time.Second

// gatewayState is what a controller knows of one gateway's process.
type gatewayState struct {
	incarnation uint64
	address     string
	zone        string
	lastSeen    time.Duration
	direct      bool   // it polled this controller, which reports it to the others
	sequence    uint64 // of the last change that is to be reported to the other controllers

	// Of its polls to this controller.
	stats     *rpc.GatewayStats
	slot      uint64        // that it has in force
	polledAt  time.Duration // 0 = never
	sentBytes int           // of the version that it was last sent
	sentAt    time.Duration // 0 = never

	rollouts   *rpc.GatewayRollouts // its newest report, to any controller
	rolloutsAt time.Duration        // 0 = never
}

// pollsHere reports whether the gateway polled this controller within gatewayTimeout.
func (g *gatewayState) pollsHere(now time.Duration) bool {
	return g.polledAt > 0 && now-g.polledAt < gatewayTimeout/2
}

// gatewayDirectory holds the gateways that are alive. It belongs to the event loop.
type gatewayDirectory struct {
	clock         *steadyClock
	events        *eventLog
	updates       *updateSchedule
	byIncarnation map[uint64]*gatewayState
	epoch         uint64 // of the list of gateways and controllers that is sent to gateways
	sequence      uint64 // of the last change that is to be reported to the other controllers
}

func newGatewayDirectory(clock *steadyClock, events *eventLog, updates *updateSchedule) *gatewayDirectory {
	return &gatewayDirectory{clock: clock, events: events, updates: updates, byIncarnation: map[uint64]*gatewayState{}}
}

// listChanged has the list of gateways and controllers sent to all gateways anew.
func (d *gatewayDirectory) listChanged() {
	d.epoch++
	d.updates.request(false)
}

// observe notes that a gateway was alive at a time. Direct says that it polled this controller, else another one reported it. An
// incarnation ends those before it at its address.
func (d *gatewayDirectory) observe(m *rpc.Gateway, at time.Duration, direct bool) {
	known := d.byIncarnation[m.Incarnation]
	switch {
	case m.Left:
		d.remove(m.Incarnation)
	case known != nil:
		d.refresh(known, at, direct)
	case m.Address == "": // unknown, and named by its incarnation alone: it will be reported in full
	case d.clock.now()-at > gatewayTimeout/2 && !direct: // an old report of one that may have been forgotten
	default:
		d.add(m, at, direct)
	}
}

// remove drops a gateway that has shut down.
func (d *gatewayDirectory) remove(incarnation uint64) {
	g := d.byIncarnation[incarnation]
	if g == nil {
		return
	}
	d.events.add(eventGateway, "gateway "+g.address+" left")
	delete(d.byIncarnation, incarnation)
	d.listChanged()
}

func (d *gatewayDirectory) refresh(g *gatewayState, at time.Duration, direct bool) {
	g.lastSeen = max(g.lastSeen, at)
	if direct && !g.direct {
		d.sequence++ // this controller reports it to the others from now on, in full at first
		g.direct, g.sequence = true, d.sequence
	}
}

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

// expire drops the gateways that were not seen for gatewayTimeout.
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

// listed returns the gateways as they are described to other gateways.
func (d *gatewayDirectory) listed() []*rpc.Gateway {
	var out []*rpc.Gateway
	for _, g := range d.byIncarnation {
		out = append(out, &rpc.Gateway{Incarnation: g.incarnation, Address: g.address, Zone: g.zone})
	}
	return out
}
