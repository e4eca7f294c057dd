package dataplane

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"oxbowspan/config"
	"oxbowspan/rendezvous"
	"oxbowspan/rpc"
)

// Rhythm of the questions to the hives.
const (
	pollHold          = 1000 * time.Millisecond // a hive may hold a question so long
	pollTimeoutMargin = 700 * time.Millisecond  // and is held to be gone after so much more
	retryPause        = 120 * time.Millisecond  // between hives that don't answer or are cut off,
	startupRetryPause = 40 * time.Millisecond   // and while nothing is known at all: each such moment refuses whatever comes
	startupGrace      = 3 * time.Second         // what a cut-off hive says is followed after so long without a better one
	peerPollInterval  = 2 * time.Second         // without a hive in contact with a majority, another gatherer is asked so often
)

// controllerAddress is a hive that may be asked.
type controllerAddress struct {
	address string
	zone    string
}

// followConfig asks the hives for news, one at a time, each question with what is had.
func (f *Gateway) followConfig(ctx context.Context) {
	controllers := map[string]controllerAddress{}
	for _, a := range f.process.settings.SeedControllers() {
		controllers[a] = controllerAddress{address: a}
	}
	var order []controllerAddress
	var slot, incarnation, cursor, membershipEpoch uint64
	at, asked, began := 0, 0, time.Now()
	lastSettled, peerPolledAt := began, began // when the question was sent that a hive in contact with a majority last answered; when a gatherer was last asked
	var peers []string                        // gatherers, as last told
	callers := map[string]*rpc.Client{}       // kept to those in places
	defer func() {
		for _, c := range callers {
			c.Close()
		}
	}()
	arrange := func() {
		order = order[:0]
		for _, p := range controllers {
			order = append(order, p)
		}
		// The nearest first; among equals each gatherer has its own order, so that they spread.
		self := f.members.self
		slices.SortFunc(order, func(a, b controllerAddress) int {
			return cmp.Or(cmp.Compare(f.zoneDistance(a.zone), f.zoneDistance(b.zone)),
				cmp.Compare(rendezvous.Weight(rendezvous.Name(a.address), self), rendezvous.Weight(rendezvous.Name(b.address), self)))
		})
		at = 0
	}
	arrange()
	for ctx.Err() == nil {
		if now := time.Now(); len(peers) > 0 && now.Sub(lastSettled) > peerPollInterval && now.Sub(peerPolledAt) > peerPollInterval {
			peerPolledAt, asked = now, asked+1
			slot = f.pollPeer(ctx, peers[asked%len(peers)], slot)
		}
		p := order[at%len(order)]
		c := callers[p.address]
		if c == nil {
			c = &rpc.Client{Address: p.address, Network: f.process.network}
			callers[p.address] = c
		}
		ask := &rpc.Poll{From: &rpc.Gateway{Incarnation: f.process.incarnation, Address: string(f.members.self), Zone: f.process.settings.Zone, Left: f.process.draining.Load()},
			Slot: slot, ControllerIncarnation: incarnation, Cursor: cursor, MembershipEpoch: membershipEpoch, WaitMs: uint32(pollHold / time.Millisecond)}
		f.fillPoll(ask)
		sent, askedAt := time.Now(), duration(f.loop.now())
		timeout := pollHold + pollTimeoutMargin
		if incarnation == 0 { // all is news to one that begins: no question is held
			timeout = pollTimeoutMargin
		}
		limit, cancel := context.WithTimeout(ctx, timeout)
		answer, err := c.Call(limit, &rpc.Frame{Body: &rpc.Frame_Poll{Poll: ask}})
		cancel()
		n := answer.GetUpdate()
		if err != nil || n == nil || time.Since(sent) > timeout { // one that was read late, after a freeze, may be old
			if errors.Is(err, rpc.ErrTimeout) {
				c.Disconnect()
			}
			at, incarnation = at+1, 0
			sleep(ctx, pollRetryPause(slot))
			continue
		}
		if !n.HasQuorum && time.Since(began) < startupGrace && slot == 0 || !n.HasQuorum && slot > n.Slot {
			// Cut off or just started: what it knows may be old.
			f.loop.post(func() { f.endpoints.applyReports(n) })
			at, incarnation = at+1, 0
			sleep(ctx, pollRetryPause(slot))
			continue
		}
		if n.HasQuorum {
			lastSettled = sent
		}
		incarnation, cursor = n.ControllerIncarnation, n.Cursor
		if n.HasGateways {
			membershipEpoch, peers = n.MembershipEpoch, peers[:0]
			for _, o := range n.Gateways {
				if o.Address != string(f.members.self) {
					peers = append(peers, o.Address)
				}
			}
		}
		if n.Slot > slot {
			slot = n.Slot
			f.readConfig(n)
		}
		f.loop.post(func() {
			f.applyDocuments(n.Documents)
			f.endpoints.applyReports(n)
			f.applyMembership(n)
			if now := duration(f.loop.now()); n.HasQuorum {
				f.members.renew(askedAt, now)
			}
		})
		if len(n.Controllers) > 0 {
			updated := map[string]controllerAddress{}
			for _, a := range f.process.settings.SeedControllers() {
				updated[a] = controllerAddress{address: a}
			}
			for _, h := range n.Controllers {
				updated[h.Address] = controllerAddress{h.Address, h.Zone}
			}
			if !sameControllers(updated, controllers) {
				controllers = updated
				for a, c := range callers {
					if _, kept := controllers[a]; !kept {
						c.Close()
						delete(callers, a)
					}
				}
				last := p.address
				arrange()
				// Stay with the hive that answers, unless a nearer one is known.
				if i := slices.IndexFunc(order, func(o controllerAddress) bool { return o.address == last }); i >= 0 && f.zoneDistance(order[i].zone) <= f.zoneDistance(order[0].zone) {
					at = i
				} else {
					incarnation = 0
				}
			}
		}
		if !n.HasQuorum {
			at, incarnation = at+1, 0
			sleep(ctx, retryPause)
		}
	}
}

// pollRetryPause is how long to wait before the next hive is asked.
func pollRetryPause(slot uint64) time.Duration {
	if slot == 0 {
		return startupRetryPause
	}
	return retryPause
}

// pollPeer asks another gatherer what it knows, while no hive that is in contact with the core answers: this gatherer may be cut
// off from the core and the other not. What a gatherer has in force was agreed on. It returns the turn that is now had.
func (f *Gateway) pollPeer(ctx context.Context, address string, slot uint64) uint64 {
	c := &rpc.Client{Address: address, Network: f.process.network}
	defer c.Close()
	limit, cancel := context.WithTimeout(ctx, pollTimeoutMargin)
	defer cancel()
	sent := time.Now()
	answer, err := c.Call(limit, &rpc.Frame{Body: &rpc.Frame_Poll{Poll: &rpc.Poll{Slot: slot}}})
	n := answer.GetUpdate()
	if err != nil || n == nil || time.Since(sent) > pollTimeoutMargin {
		return slot
	}
	f.loop.post(func() { f.applyDocuments(n.Documents); f.endpoints.applyReports(n) })
	if n.Slot > slot && n.HasConfig {
		f.process.log.Info().Str("from", address).Uint64("version", n.Version).Msg("news: no hive answers, another gatherer did")
		f.readConfig(n)
		slot = n.Slot
	}
	return slot
}

func sameControllers(a, b map[string]controllerAddress) bool {
	for k, v := range a {
		if b[k] != v {
			return false
		}
	}
	return len(a) == len(b)
}

// zoneDistance is how far a zone is: this one's, one of its region, another.
func (f *Gateway) zoneDistance(zone string) int {
	switch {
	case zone == f.process.settings.Zone:
		return 0
	case f.process.settings.Zones[zone] == f.process.settings.Region:
		return 1
	}
	return 2
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// readConfig reads a configuration and has the owner put it in force.
func (f *Gateway) readConfig(n *rpc.Update) {
	if !n.HasConfig {
		return
	}
	c, err := config.Parse(n.Config)
	if err != nil {
		f.process.log.Error().Err(err).Uint64("version", n.Version).Msg("config: an agreed version can't be read, the last one stays")
		return
	}
	f.loop.post(func() { f.activateConfig(c, n.Config, n.Slot) })
}
