package controlplane

import (
	"testing"

	"oxbowspan/rpc"
)

// gossipFrom returns a message of another controller that contains no reports.
func gossipFrom(address string, toIncarnation uint64) *rpc.Gossip {
	return &rpc.Gossip{
		From:          &rpc.Controller{Id: 2, Address: address, StoresDepartures: true},
		Incarnation:   22,
		ReportsCursor: 500,
		StoredCursor:  300,
		ToIncarnation: toIncarnation,
	}
}

// A message for the incarnation before a restart contains only what that one lacked. The restarted controller must not confirm that its
// disk has all departures up to the message's cursor, nor take for stored by the peer what the peer had of the earlier incarnation.
func TestGossipForEarlierIncarnationConfirmsNothing(t *testing.T) {
	for _, test := range []struct {
		name          string
		toIncarnation func(c *Controller) uint64
		complete      bool
		reply, stored uint64
	}{
		{"for this incarnation", func(c *Controller) uint64 { return c.self.incarnation }, false, 500, 300},
		{"for the earlier incarnation", func(c *Controller) uint64 { return c.self.incarnation - 1 }, false, 0, 0},
		{"complete, for the earlier incarnation", func(c *Controller) uint64 { return c.self.incarnation - 1 }, true, 500, 0},
		{"complete, to a controller that is new to the sender", func(*Controller) uint64 { return 0 }, true, 500, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newTestMember(t)
			m := gossipFrom("b", test.toIncarnation(c))
			m.CompleteReports = test.complete
			reply := c.gossip.receive(m)
			b := c.peers.byAddress["b"]
			if reply.StoredCursor != test.reply || uint64(b.storedCursor) != test.stored {
				t.Errorf("confirmed %d, peer has stored %d; want %d, %d", reply.StoredCursor, b.storedCursor, test.reply, test.stored)
			}
			if next := c.gossip.build(b); next.message.StoredCursor != test.reply {
				t.Errorf("next message confirms %d, want %d", next.message.StoredCursor, test.reply)
			}
		})
	}
}
