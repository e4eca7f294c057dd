package experiment

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"oxbowspan/internal/network"
	"oxbowspan/rpc"
)

// Times of a gateway's polls, equal to those of the real program.
const (
	// pollHoldTime is the maximum time for which a controller holds a poll.
	pollHoldTime = 1000 * time.Millisecond
	// pollGrace is the additional time that a gateway waits for the response. It is the whole timeout of the first update of a
	// controller, which is a full one.
	pollGrace = 700 * time.Millisecond
	// pollPause is the delay before a gateway polls another controller.
	pollPause = 120 * time.Millisecond
)

// errNoUpdate is returned for a response to a poll that is not an update.
var errNoUpdate = errors.New("the response to a poll is not an update")

// hollowGateway polls the controllers for updates and stores only its position in them.
type hollowGateway struct {
	fleet   *hollowFleet
	index   int
	self    *rpc.Gateway
	counter byteCounter
	replace chan struct{} // a receive replaces the gateway by another incarnation

	slot                  uint64
	controllerIncarnation uint64 // of the polled controller; 0 = no update from it yet
	cursor                uint64
	membershipEpoch       uint64
}

func newHollowGateway(fleet *hollowFleet, index int) *hollowGateway {
	return &hollowGateway{fleet: fleet, index: index, self: newHollowIdentity(index), replace: make(chan struct{}, 1)}
}

// newHollowIdentity returns a new random incarnation of the gateway at an index.
func newHollowIdentity(index int) *rpc.Gateway {
	return &rpc.Gateway{
		Incarnation: rand.Uint64() | 1, // 0 is none
		Address:     fmt.Sprintf("127.249.%d.%d:7101", index>>8, index&255),
		Zone:        hollowZone(index),
	}
}

// run polls one controller after another until the fleet ends.
func (g *hollowGateway) run() {
	network := countedNetwork{g.fleet.net, &g.counter}
	addresses := g.fleet.internalAddresses
	for i := g.index; g.fleet.ctx.Err() == nil; i++ {
		client := &rpc.Client{Address: addresses[i%len(addresses)], Network: network}
		g.follow(client)
		client.Close()
		g.controllerIncarnation = 0
		g.fleet.sleep(pollPause)
	}
}

// follow polls a controller until a poll fails.
func (g *hollowGateway) follow(client *rpc.Client) {
	for g.fleet.ctx.Err() == nil {
		select {
		case <-g.replace:
			g.replaceSelf(client)
		default:
		}
		if err := g.poll(client, g.self, pollHoldTime); err != nil {
			if g.fleet.ctx.Err() == nil {
				g.fleet.pollsTimedOut.Add(1)
			}
			return
		}
	}
}

// replaceSelf announces that the gateway leaves and becomes another incarnation without a position.
func (g *hollowGateway) replaceSelf(client *rpc.Client) {
	leaving := &rpc.Gateway{Incarnation: g.self.Incarnation, Address: g.self.Address, Zone: g.self.Zone, Left: true}
	g.poll(client, leaving, 0)
	g.self = newHollowIdentity(g.index)
	g.slot, g.controllerIncarnation, g.cursor, g.membershipEpoch = 0, 0, 0, 0
}

// poll sends a poll that the controller may hold for a time and receives the update.
func (g *hollowGateway) poll(client *rpc.Client, from *rpc.Gateway, hold time.Duration) error {
	timeout := hold + pollGrace
	if g.controllerIncarnation == 0 {
		timeout = pollGrace
	}
	ctx, cancel := context.WithTimeout(g.fleet.ctx, timeout)
	defer cancel()
	response, err := client.Call(ctx, &rpc.Frame{Body: &rpc.Frame_Poll{Poll: &rpc.Poll{
		From:                  from,
		Slot:                  g.slot,
		ControllerIncarnation: g.controllerIncarnation,
		Cursor:                g.cursor,
		MembershipEpoch:       g.membershipEpoch,
		WaitMs:                uint32(hold / time.Millisecond),
	}}})
	if err != nil {
		return err
	}
	update := response.GetUpdate()
	if update == nil {
		return errNoUpdate
	}
	g.receive(update)
	return nil
}

// receive records the sizes of an update's lists and advances the gateway's position.
func (g *hollowGateway) receive(update *rpc.Update) {
	f := g.fleet
	if waiter := f.expectedUpdate.Load(); waiter != nil {
		waiter.observe(g.index, update)
	}
	if update.Full && len(update.Reports) > int(f.serverListLength.Load()) {
		f.serverListLength.Store(int64(len(update.Reports)))
		f.serverListBytes.Store(int64(proto.Size(&rpc.Update{Reports: update.Reports})))
	}
	if update.HasGateways && len(update.Gateways) >= len(f.gateways) {
		f.gatewayListBytes.Store(int64(proto.Size(&rpc.Update{Gateways: update.Gateways})))
	}
	g.slot = max(g.slot, update.Slot)
	g.controllerIncarnation, g.cursor = update.ControllerIncarnation, update.Cursor
	if update.HasGateways {
		g.membershipEpoch = update.MembershipEpoch
	}
}

// byteCounter counts the bytes that are received and sent.
type byteCounter struct{ in, out atomic.Int64 }

// countedNetwork dials through another network and counts the bytes of the connections.
type countedNetwork struct {
	network.Network
	counter *byteCounter
}

// Dial implements network.Network.
func (n countedNetwork) Dial(address string, timeout time.Duration) (net.Conn, error) {
	conn, err := n.Network.Dial(address, timeout)
	if err != nil {
		return nil, err
	}
	return &countedConn{conn, n.counter}, nil
}

type countedConn struct {
	net.Conn
	counter *byteCounter
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.out.Add(int64(n))
	return n, err
}
