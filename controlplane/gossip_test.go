package controlplane

import (
	"context"
	"testing"
	"time"

	"oxbowspan/internal/testing/simnet"
	"oxbowspan/registry"
	"oxbowspan/rpc"
)

// startPoll passes a gateway's poll to a controller. It returns a channel that receives the answer.
func startPoll(t *testing.T, c *Controller, poll *rpc.Poll) <-chan *rpc.Update {
	t.Helper()
	const address = "10.0.9.1:7100"
	network := simnet.New(func(string, string) time.Duration { return 0 })
	listener, err := network.Host("10.0.9.1").Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	received := make(chan struct{})
	server := &rpc.Server{Handle: func(conn *rpc.Conn, f *rpc.Frame) {
		c.polls.receive(conn, f.Id, f.GetPoll())
		close(received)
	}}
	go server.Serve(listener)
	client := &rpc.Client{Address: address, Network: network.Host("10.0.9.2")}
	t.Cleanup(func() { client.Close(); listener.Close() })
	answers := make(chan *rpc.Update, 1)
	go func() {
		reply, _ := client.Call(context.Background(), &rpc.Frame{Body: &rpc.Frame_Poll{Poll: poll}})
		answers <- reply.GetUpdate()
	}()
	<-received
	return answers
}

// gossipFrom returns a message of another controller that contains no reports.
func gossipFrom(address string, toIncarnation uint64) *rpc.Gossip {
	return &rpc.Gossip{
		From:          &rpc.Controller{Id: 2, Address: address, StoresDepartures: true},
		Incarnation:   1,
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

// A controller that has started gives its list of servers for current only once a majority has sent it all reports: its own disk may lack
// a departure that was acknowledged while it was away.
func TestPollsWaitForReportsOfMajority(t *testing.T) {
	c, now := newTestMember(t), time.Minute
	c.observeReply(2, now, 4)
	if !c.contact.isCurrent(now) || c.polls.isCurrent(now) {
		t.Fatalf("in contact: %v, current for gateways without others' reports: %v", c.contact.isCurrent(now), c.polls.isCurrent(now))
	}
	answers := startPoll(t, c, &rpc.Poll{})
	c.observeReply(2, now+time.Second, 4)
	c.verifier.finish(now + time.Second)
	if len(c.polls.waiters) != 1 {
		t.Fatal("a poll is answered before the other controllers have sent their reports")
	}
	m := gossipFrom("b", c.self.incarnation)
	c.gossip.receive(m)
	if c.polls.isCurrent(now) || len(c.polls.waiters) != 1 {
		t.Error("a message with the newest reports only is taken for all of them")
	}
	m.CompleteReports = true
	m.Reports = []*rpc.ServerReport{{Instance: "i-1", Service: "s", Address: "10.0.3.1:80", State: uint32(registry.Deregistered)}}
	c.gossip.receive(m)
	update := <-answers
	if !update.HasQuorum || len(update.Reports) != 1 || update.Reports[0].State != uint32(registry.Deregistered) {
		t.Errorf("answer after a majority has sent all reports: %v", update)
	}
	m.CompleteReports = false
	c.gossip.receive(m)
	if !c.polls.isCurrent(now) {
		t.Error("reports that were received once do not count any more")
	}
}

// A peer of an earlier release doesn't tell which of its messages contain all reports. It must not keep gateways waiting.
func TestReportsOfEarlierReleasesCount(t *testing.T) {
	c, now := newTestMember(t), time.Minute
	c.observeReply(2, now, 4)
	m := gossipFrom("b", c.self.incarnation)
	m.From.StoresDepartures = false
	c.gossip.receive(m)
	if !c.polls.isCurrent(now) {
		t.Error("not current for gateways after a message of an earlier release")
	}
}

// A controller contacts seeds that replace others at once, and does not expire them.
func TestReplacedSeedsAreContacted(t *testing.T) {
	c := newTestController(t)
	c.SetSeeds([]string{"10.0.7.1:7100", c.self.address})
	(<-c.loop.commands)()
	p := c.peers.byAddress["10.0.7.1:7100"]
	if p == nil {
		t.Fatal("a replaced seed is not contacted")
	}
	c.peers.removeExpired(c.clock.now()+time.Hour, func(string) bool { return false })
	if c.peers.byAddress["10.0.7.1:7100"] != p || len(c.peers.byAddress) != 1 {
		t.Errorf("%d peers after an hour without contact, want the seed only", len(c.peers.byAddress))
	}
}
