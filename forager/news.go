package forager

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"oxbowspan/config"
	"oxbowspan/internal/boot"
	"oxbowspan/rendezvous"
	"oxbowspan/rpc"
)

// Rhythm of the questions to the hives.
const (
	holdFor   = 1000 * time.Millisecond // a hive may hold a question so long
	hiveLate  = 700 * time.Millisecond  // and is held to be gone after so much more
	nextPause = 120 * time.Millisecond  // between hives that don't answer or are cut off,
	barePause = 40 * time.Millisecond   // and while nothing is known at all: each such moment refuses whatever comes
	bareWait  = 3 * time.Second         // what a cut-off hive says is followed after so long without a better one
	kinEvery  = 2 * time.Second         // without a hive in contact with a majority, another gatherer is asked so often
)

// place is a hive that may be asked.
type place struct {
	address string
	zone    string
}

// follow asks the hives for news, one at a time, each question with what is had.
func (f *Forager) follow(ctx context.Context) {
	places := map[string]place{}
	for _, a := range f.set.SeedHives() {
		places[a] = place{address: a}
	}
	var order []place
	var turn, life, cursor, crowd uint64
	at, asked, began := 0, 0, time.Now()
	good, kinAt := began, began       // when the question was sent that a hive in contact with a majority last answered; when a gatherer was last asked
	var others []string               // gatherers, as last told
	calls := map[string]*rpc.Client{} // kept to those in places
	defer func() {
		for _, c := range calls {
			c.Close()
		}
	}()
	arrange := func() {
		order = order[:0]
		for _, p := range places {
			order = append(order, p)
		}
		// The nearest first; among equals each gatherer has its own order, so that they spread.
		self := rendezvous.Name(f.set.Internal(boot.ForagerPort))
		slices.SortFunc(order, func(a, b place) int {
			return cmp.Or(cmp.Compare(f.far(a.zone), f.far(b.zone)),
				cmp.Compare(rendezvous.Weight(rendezvous.Name(a.address), self), rendezvous.Weight(rendezvous.Name(b.address), self)))
		})
		at = 0
	}
	arrange()
	for ctx.Err() == nil {
		if now := time.Now(); len(others) > 0 && now.Sub(good) > kinEvery && now.Sub(kinAt) > kinEvery {
			kinAt, asked = now, asked+1
			turn = f.askKin(ctx, others[asked%len(others)], turn)
		}
		p := order[at%len(order)]
		c := calls[p.address]
		if c == nil {
			c = &rpc.Client{Address: p.address, Network: f.net}
			calls[p.address] = c
		}
		ask := &rpc.Poll{From: &rpc.Gateway{Incarnation: f.life, Address: f.set.Internal(boot.ForagerPort), Zone: f.set.Zone, Left: f.draining.Load()},
			Slot: turn, ControllerIncarnation: life, Cursor: cursor, MembershipEpoch: crowd, WaitMs: uint32(holdFor / time.Millisecond)}
		f.fill(ask)
		sent, askedAt := time.Now(), span(f.now())
		patience := holdFor + hiveLate
		if life == 0 { // all is news to one that begins: no question is held
			patience = hiveLate
		}
		limit, cancel := context.WithTimeout(ctx, patience)
		answer, err := c.Call(limit, &rpc.Frame{Body: &rpc.Frame_Poll{Poll: ask}})
		cancel()
		n := answer.GetUpdate()
		if err != nil || n == nil || time.Since(sent) > patience { // one that was read late, after a freeze, may be old
			if errors.Is(err, rpc.ErrTimeout) {
				c.Disconnect()
			}
			at, life = at+1, 0
			wait(ctx, pauseAt(turn))
			continue
		}
		if !n.HasQuorum && time.Since(began) < bareWait && turn == 0 || !n.HasQuorum && turn > n.Slot {
			// Cut off or just started: what it knows may be old.
			f.do(func() { f.takeReports(n) })
			at, life = at+1, 0
			wait(ctx, pauseAt(turn))
			continue
		}
		if n.HasQuorum {
			good = sent
		}
		life, cursor = n.ControllerIncarnation, n.Cursor
		if n.HasGateways {
			crowd, others = n.MembershipEpoch, others[:0]
			for _, o := range n.Gateways {
				if o.Address != f.set.Internal(boot.ForagerPort) {
					others = append(others, o.Address)
				}
			}
		}
		if n.Slot > turn {
			turn = n.Slot
			f.takeConfig(n)
		}
		f.do(func() {
			f.takeNotes(n.Documents)
			f.takeReports(n)
			f.takeCrowd(n)
			if now := span(f.now()); n.HasQuorum {
				f.duties.Renew(askedAt, now)
			}
		})
		if len(n.Controllers) > 0 {
			fresh := map[string]place{}
			for _, a := range f.set.SeedHives() {
				fresh[a] = place{address: a}
			}
			for _, h := range n.Controllers {
				fresh[h.Address] = place{h.Address, h.Zone}
			}
			if !samePlaces(fresh, places) {
				places = fresh
				for a, c := range calls {
					if _, kept := places[a]; !kept {
						c.Close()
						delete(calls, a)
					}
				}
				last := p.address
				arrange()
				// Stay with the hive that answers, unless a nearer one is known.
				if i := slices.IndexFunc(order, func(o place) bool { return o.address == last }); i >= 0 && f.far(order[i].zone) <= f.far(order[0].zone) {
					at = i
				} else {
					life = 0
				}
			}
		}
		if !n.HasQuorum {
			at, life = at+1, 0
			wait(ctx, nextPause)
		}
	}
}

// pauseAt is how long to wait before the next hive is asked.
func pauseAt(turn uint64) time.Duration {
	if turn == 0 {
		return barePause
	}
	return nextPause
}

// askKin asks another gatherer what it knows, while no hive that is in contact with the core answers: this gatherer may be cut
// off from the core and the other not. What a gatherer has in force was agreed on. It returns the turn that is now had.
func (f *Forager) askKin(ctx context.Context, address string, turn uint64) uint64 {
	c := &rpc.Client{Address: address, Network: f.net}
	defer c.Close()
	limit, cancel := context.WithTimeout(ctx, hiveLate)
	defer cancel()
	sent := time.Now()
	answer, err := c.Call(limit, &rpc.Frame{Body: &rpc.Frame_Poll{Poll: &rpc.Poll{Slot: turn}}})
	n := answer.GetUpdate()
	if err != nil || n == nil || time.Since(sent) > hiveLate {
		return turn
	}
	f.do(func() { f.takeNotes(n.Documents); f.takeReports(n) })
	if n.Slot > turn && n.HasConfig {
		f.log.Info().Str("from", address).Uint64("version", n.Version).Msg("news: no hive answers, another gatherer did")
		f.takeConfig(n)
		turn = n.Slot
	}
	return turn
}

// tellKin answers another gatherer that hears no hive.
func (f *Forager) tellKin(c *rpc.Conn, id uint64, a *rpc.Poll) {
	n := &rpc.Update{Slot: f.turnNow}
	if f.config != nil && f.turnNow > a.Slot {
		n.Version, n.HasConfig, n.Config = f.config.Version, true, f.text
		n.Documents = f.notes()
	}
	for _, s := range f.flowers {
		n.Reports = append(n.Reports, &rpc.ServerReport{Instance: s.instance, Service: s.service, Address: s.address, Zone: s.zone,
			State: uint32(s.state), Sequence: s.sequence, Overdue: s.silent})
	}
	go c.Respond(id, &rpc.Frame{Body: &rpc.Frame_Update{Update: n}})
}

func samePlaces(a, b map[string]place) bool {
	for k, v := range a {
		if b[k] != v {
			return false
		}
	}
	return len(a) == len(b)
}

// far is how far a zone is: this one's, one of its region, another.
func (f *Forager) far(zone string) int {
	switch {
	case zone == f.set.Zone:
		return 0
	case f.set.Zones[zone] == f.set.Region:
		return 1
	}
	return 2
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// takeConfig reads a configuration and has the owner put it in force.
func (f *Forager) takeConfig(n *rpc.Update) {
	if !n.HasConfig {
		return
	}
	c, err := config.Parse(n.Config)
	if err != nil {
		f.log.Error().Err(err).Uint64("version", n.Version).Msg("config: an agreed version can't be read, the last one stays")
		return
	}
	f.do(func() {
		if n.Slot > f.turnNow {
			f.text = n.Config
		}
		f.putInForce(c, n.Slot)
	})
}
