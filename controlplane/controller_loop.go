package controlplane

import (
	"time"

	"oxbowspan/rpc"
)

// handleFrame dispatches a message of another process. It runs on the goroutine of the connection.
func (c *Controller) handleFrame(conn *rpc.Conn, f *rpc.Frame) {
	switch b := f.Body.(type) {
	case *rpc.Frame_Prepare:
		c.acceptor.handlePrepare(b.Prepare, func(reply *rpc.PrepareReply) { conn.Respond(f.Id, prepareReplyFrame(reply)) })
	case *rpc.Frame_Accept:
		c.acceptor.handleAccept(b.Accept, func(reply *rpc.AcceptReply) { conn.Respond(f.Id, acceptReplyFrame(reply)) })
	case *rpc.Frame_Gossip:
		reply, ok := query(c.loop, func() *rpc.GossipReply { return c.gossip.receive(b.Gossip) })
		if ok {
			conn.Respond(f.Id, &rpc.Frame{Body: &rpc.Frame_GossipReply{GossipReply: reply}})
		}
	case *rpc.Frame_Poll:
		c.loop.post(func() { c.polls.receive(conn, f.Id, b.Poll) })
	}
}

// runLoop runs the event loop until it is stopped, then closes the connections to the peers.
func (c *Controller) runLoop() {
	c.loop.run(housekeepingInterval, func() time.Duration {
		next := c.advance(c.clock.now())
		return next - c.clock.now()
	})
	c.peers.closeAll()
}

// begin initializes the controller's state. It is the first function that runs on the event loop.
func (c *Controller) begin() {
	for _, address := range c.settings.SeedControllers() {
		c.peers.add(address)
	}
	c.hints.restorePeers()
	if c.recovered.RecordsDecision() {
		c.learner.learn(c.recovered.Value)
		c.learner.observeBallot(c.recovered.Value.Slot, c.recovered.Accepted)
	}
	c.housekeepingAt = c.clock.now() + randomDuration(maxFirstHousekeeping)
	c.log.Info().Uint64("identity", uint64(c.self.id)).Uint64("slot", uint64(c.acceptor.newestSlot)).Msg("controller: started")
}

// advance handles all timers that are due and returns when the next one is due.
func (c *Controller) advance(now time.Duration) (next time.Duration) {
	if now >= c.housekeepingAt {
		c.housekeepingAt = now + housekeepingInterval
		c.housekeep(now)
	}
	contactLost, checkAt := c.contact.check(now)
	if contactLost {
		c.polls.respondAll(now) // gateways must be notified immediately that this controller may be out of date
	}
	next = min(c.housekeepingAt, checkAt, c.verifier.check(now))
	if due, at := c.updates.due(now); due {
		c.polls.notify(now)
	} else if at != 0 {
		next = min(next, at)
	}
	next = c.rollouts.advance(now, next)
	return c.polls.expire(now, next)
}

// housekeep removes expired state and starts the proposals that are due.
func (c *Controller) housekeep(now time.Duration) {
	if c.table.Expire(now) {
		c.updates.request(false)
	}
	c.serverChanges.record(now)
	c.gateways.expire(now)
	for _, p := range c.peers.updateListed(now) {
		c.events.add(eventController, peerEvent(p))
		c.gateways.listChanged() // gateways must be sent the controllers that they may poll
	}
	c.peers.removeExpired(now, c.learner.isMemberAddress)
	c.heartbeats.expireWaits(now)
	c.contact.prune(now)
	c.scheduler.startDue(now)
	c.departures.save()
	c.hints.save(now)
}

// peerEvent returns the text of the event that a peer came alive or timed out.
func peerEvent(p *peer) string {
	if p.listed {
		return "controller " + p.address + " is alive"
	}
	return "controller " + p.address + " timed out"
}
