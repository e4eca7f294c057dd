package forager

import (
	"context"
	"time"

	"oxbowspan/brain"
	"oxbowspan/internal/boot"
	"oxbowspan/rendezvous"
	"oxbowspan/rpc"
)

// loadsEvery is how often a gatherer tells those that watch it what it has unfinished, and takes what it was told.
const loadsEvery = 250 * time.Millisecond

// watched is a gatherer that this one watches. Its fields are the owner's.
type watched struct {
	call  *rpc.Client
	quit  context.CancelFunc
	loads map[string]float64 // parts, by instance
	at    brain.Time
}

// heard takes a frame of another gatherer.
func (f *Forager) heard(c *rpc.Conn, q *rpc.Frame) {
	if a := q.GetPoll(); a != nil {
		f.do(func() { f.tellKin(c, q.Id, a) })
	}
	if m := q.GetQuotaRequest(); m != nil {
		f.do(func() { f.needed(c, q.Id, m) })
	}
	if w := q.GetLoadSubscription(); w != nil {
		f.do(func() {
			f.watchers[c] = w.ObservationsOnly
			go c.Respond(q.Id, &rpc.Frame{Body: &rpc.Frame_LoadReport{LoadReport: &rpc.LoadReport{Incarnation: f.life}}})
		})
	}
}

// loads are the unfinished parts that this gatherer had at each server, in the mean since they were last told: a part takes
// less time than passes between two tellings, so that what is out at the moment says little.
func (f *Forager) loads(now brain.Time) *rpc.LoadReport {
	m := &rpc.LoadReport{Incarnation: f.life}
	for _, s := range f.flowers {
		s.count(now, 0)
		if over := now - s.since; over > 0 && s.area > 0 {
			m.Loads = append(m.Loads, &rpc.ServerLoad{Instance: s.instance, PendingMilli: uint32(1000 * s.area / float64(over))})
		}
		s.area, s.since = 0, now
	}
	return m
}

// count notes that so many parts more are out at a server.
func (s *flower) count(now brain.Time, more int) {
	s.area += float64(s.out) * float64(now-s.countedAt)
	s.countedAt = now
	s.out += more
}

// takeCrowd takes the list of gatherers: whom to watch follows from it.
func (f *Forager) takeCrowd(n *rpc.Update) {
	if !n.HasGateways {
		return
	}
	self := rendezvous.Name(f.set.Internal(boot.ForagerPort))
	// Those of this zone are watched, where there are any: they ask the servers that this gatherer asks, and news of them
	// passes between no zones.
	all, zone, far := []rendezvous.Name{self}, []rendezvous.Name{self}, []rendezvous.Name(nil)
	near := map[string][]rendezvous.Name{f.set.Zone: {self}}
	f.judgement.near = near
	for _, o := range n.Gateways {
		if name := rendezvous.Name(o.Address); name != self {
			near[o.Zone] = append(near[o.Zone], name)
			if all = append(all, name); o.Zone == f.set.Zone {
				zone = append(zone, name)
			} else {
				far = append(far, name)
			}
		}
	}
	f.gatherers = all
	f.duties.SetMembers(all, span(f.now()))
	f.company = len(zone) - 1
	if len(zone) == 1 {
		zone, far, f.company = all, nil, len(all)-1
	}
	f.handle(brain.FleetChanged{Shards: len(f.shards), Gatherers: len(all)})
	f.relist()
	few := map[rendezvous.Name]bool{}
	for _, name := range rendezvous.Peers(self, zone, rendezvous.PeerCount) {
		if few[name] = true; f.watching[name] == nil {
			f.watch(name, false)
		}
	}
	// And one elsewhere, for words of servers alone: they come where there is trouble.
	for _, name := range rendezvous.Peers(self, far, 1) {
		if few[name] = true; f.watching[name] == nil {
			f.watch(name, true)
		}
	}
	for name, w := range f.watching {
		if !few[name] {
			w.quit()
			w.call.Close()
			delete(f.watching, name)
		}
	}
}

func (f *Forager) watch(name rendezvous.Name, wordsOnly bool) {
	ctx, quit := context.WithCancel(context.Background())
	w := &watched{quit: quit}
	w.call = &rpc.Client{Address: string(name), Network: f.net}
	take := func(m *rpc.LoadReport) {
		f.do(func() {
			if f.hear(m.Observations); wordsOnly {
				return
			}
			w.at, w.loads = f.now(), map[string]float64{}
			for _, l := range m.Loads {
				w.loads[l.Instance] = float64(l.PendingMilli) / 1000
			}
		})
	}
	w.call.OnMessage = func(q *rpc.Frame) {
		if m := q.GetLoadReport(); m != nil {
			take(m)
		}
	}
	f.watching[name] = w
	f.wg.Go(func() {
		for ctx.Err() == nil {
			limit, cancel := context.WithTimeout(ctx, time.Second)
			a, err := w.call.Call(limit, &rpc.Frame{Body: &rpc.Frame_LoadSubscription{LoadSubscription: &rpc.LoadSubscription{ObservationsOnly: wordsOnly}}})
			cancel()
			if err == nil && a.GetLoadReport() != nil {
				take(a.GetLoadReport())
			}
			for err == nil && w.call.Connected() && ctx.Err() == nil {
				wait(ctx, time.Second)
			}
			wait(ctx, time.Second)
		}
	})
}

// share tells the watchers what is unfinished here, and brain what the watched have, taken for all others.
func (f *Forager) share(now brain.Time) {
	f.judgement.saidAt = now
	words := f.words(now) // those that nobody watches are told to nobody
	if len(f.watchers) > 0 {
		m := f.loads(now)
		all := &rpc.Frame{Body: &rpc.Frame_LoadReport{LoadReport: m}}
		m.Observations = words
		few := &rpc.Frame{Body: &rpc.Frame_LoadReport{LoadReport: &rpc.LoadReport{Incarnation: f.life, Observations: words}}}
		n := len(m.Loads)
		for c, wordsOnly := range f.watchers {
			switch { // the owner waits for no peer
			case wordsOnly && len(words) > 0:
				go c.Send(few)
			case !wordsOnly && (n > 0 || f.toldLoads || len(words) > 0):
				go c.Send(all)
			}
		}
		f.toldLoads = n > 0
	}
	sums, heard := map[string]float64{}, 0
	for _, w := range f.watching {
		if w.at > 0 && now-w.at < ticks(4*loadsEvery) {
			heard++
			for i, n := range w.loads {
				sums[i] += n
			}
		}
	}
	if heard == 0 {
		return
	}
	scale := float64(max(f.company, heard)) / float64(heard)
	told := brain.Told{}
	for _, s := range f.flowers {
		// Of servers elsewhere, silence of this zone's gatherers says nothing: those of their own zones ask them.
		if s.listed && (s.zone == f.set.Zone || f.company == len(f.gatherers)-1) {
			told.Loads = append(told.Loads, brain.Load{Server: s.id, Parts: sums[s.instance] * scale})
		}
	}
	f.handle(told)
}
