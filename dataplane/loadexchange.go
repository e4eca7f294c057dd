package dataplane

import (
	"context"
	"time"

	"oxbowspan/balancer"
	"oxbowspan/rendezvous"
	"oxbowspan/rpc"
)

// loadSubscription is a gatherer that this one watches. Its fields are the owner's.
type loadSubscription struct {
	caller     *rpc.Client
	cancel     context.CancelFunc
	loads      map[string]float64 // parts, by instance
	receivedAt balancer.Time
}

// handleFrame takes a frame of another gatherer.
func (f *Gateway) handleFrame(c *rpc.Conn, q *rpc.Frame) {
	if a := q.GetPoll(); a != nil {
		f.loop.post(func() { f.answerPeer(c, q.Id, a) })
	}
	if m := q.GetQuotaRequest(); m != nil {
		f.loop.post(func() { f.handleQuotaRequest(c, q.Id, m) })
	}
	if w := q.GetLoadSubscription(); w != nil {
		f.loop.post(func() {
			f.subscribers[c] = w.ObservationsOnly
			go c.Respond(q.Id, &rpc.Frame{Body: &rpc.Frame_LoadReport{LoadReport: &rpc.LoadReport{Incarnation: f.process.incarnation}}})
		})
	}
}

// loadReport are the unfinished parts that this gatherer had at each server, in the mean since they were last told: a part takes
// less time than passes between two tellings, so that what is out at the moment says little.
func (f *Gateway) loadReport(now balancer.Time) *rpc.LoadReport {
	m := &rpc.LoadReport{Incarnation: f.process.incarnation}
	for _, s := range f.endpoints {
		s.addInFlight(now, 0)
		if over := now - s.integralSince; over > 0 && s.inFlightIntegral > 0 {
			m.Loads = append(m.Loads, &rpc.ServerLoad{Instance: s.instance, PendingMilli: uint32(1000 * s.inFlightIntegral / float64(over))})
		}
		s.inFlightIntegral, s.integralSince = 0, now
	}
	return m
}

// addInFlight notes that so many parts more are out at a server.
func (s *endpoint) addInFlight(now balancer.Time, more int) {
	s.inFlightIntegral += float64(s.inFlight) * float64(now-s.integratedAt)
	s.integratedAt = now
	s.inFlight += more
}

// applyMembership takes the list of gatherers: whom to watch follows from it.
func (f *Gateway) applyMembership(n *rpc.Update) {
	if !n.HasGateways {
		return
	}
	f.members.update(n.Gateways, duration(f.loop.now()))
	// Peers of this gateway's zone are observed, where there are any: they ask the servers that this gateway asks.
	zone, far := f.members.sameZone(), f.members.otherZones
	if len(zone) == 1 {
		zone, far = f.members.gateways, nil
	}
	f.observedPeers = len(zone) - 1
	f.handleEvent(balancer.ClusterResized{Shards: len(f.shards), Instances: f.members.size()})
	f.syncEndpoints()
	few := map[rendezvous.Name]bool{}
	for _, name := range rendezvous.Peers(f.members.self, zone, rendezvous.PeerCount) {
		if few[name] = true; f.subscriptions[name] == nil {
			f.subscribe(name, false)
		}
	}
	// And one elsewhere, for words of servers alone: they come where there is trouble.
	for _, name := range rendezvous.Peers(f.members.self, far, 1) {
		if few[name] = true; f.subscriptions[name] == nil {
			f.subscribe(name, true)
		}
	}
	for name, w := range f.subscriptions {
		if !few[name] {
			w.cancel()
			w.caller.Close()
			delete(f.subscriptions, name)
		}
	}
}

func (f *Gateway) subscribe(name rendezvous.Name, wordsOnly bool) {
	ctx, quit := context.WithCancel(context.Background())
	w := &loadSubscription{cancel: quit}
	w.caller = &rpc.Client{Address: string(name), Network: f.process.network}
	take := func(m *rpc.LoadReport) {
		f.loop.post(func() {
			if f.receiveObservations(m.Observations); wordsOnly {
				return
			}
			w.receivedAt, w.loads = f.loop.now(), map[string]float64{}
			for _, l := range m.Loads {
				w.loads[l.Instance] = float64(l.PendingMilli) / 1000
			}
		})
	}
	w.caller.OnMessage = func(q *rpc.Frame) {
		if m := q.GetLoadReport(); m != nil {
			take(m)
		}
	}
	f.subscriptions[name] = w
	f.process.goroutines.Go(func() {
		for ctx.Err() == nil {
			limit, cancel := context.WithTimeout(ctx, time.Second)
			a, err := w.caller.Call(limit, &rpc.Frame{Body: &rpc.Frame_LoadSubscription{LoadSubscription: &rpc.LoadSubscription{ObservationsOnly: wordsOnly}}})
			cancel()
			if err == nil && a.GetLoadReport() != nil {
				take(a.GetLoadReport())
			}
			for err == nil && w.caller.Connected() && ctx.Err() == nil {
				sleep(ctx, time.Second)
			}
			sleep(ctx, time.Second)
		}
	})
}

// exchangeLoads tells the watchers what is unfinished here, and brain what the watched have, taken for all others.
func (f *Gateway) exchangeLoads(now balancer.Time) {
	f.outliers.sentAt = now
	words := f.outgoingObservations(now) // those that nobody watches are told to nobody
	if len(f.subscribers) > 0 {
		m := f.loadReport(now)
		all := &rpc.Frame{Body: &rpc.Frame_LoadReport{LoadReport: m}}
		m.Observations = words
		few := &rpc.Frame{Body: &rpc.Frame_LoadReport{LoadReport: &rpc.LoadReport{Incarnation: f.process.incarnation, Observations: words}}}
		n := len(m.Loads)
		for c, wordsOnly := range f.subscribers {
			switch { // the owner waits for no peer
			case wordsOnly && len(words) > 0:
				go c.Send(few)
			case !wordsOnly && (n > 0 || f.sentLoads || len(words) > 0):
				go c.Send(all)
			}
		}
		f.sentLoads = n > 0
	}
	sums, heard := map[string]float64{}, 0
	for _, w := range f.subscriptions {
		if w.receivedAt > 0 && now-w.receivedAt < ticks(4*maintenanceInterval) {
			heard++
			for i, n := range w.loads {
				sums[i] += n
			}
		}
	}
	if heard == 0 {
		return
	}
	scale := float64(max(f.observedPeers, heard)) / float64(heard)
	told := balancer.PeerUpdate{}
	for _, s := range f.endpoints {
		// Of servers elsewhere, silence of this zone's gatherers says nothing: those of their own zones ask them.
		if s.listed && (s.zone == f.process.settings.Zone || f.observedPeers == f.members.size()-1) {
			told.Loads = append(told.Loads, balancer.PeerLoad{Server: s.id, InFlight: sums[s.instance] * scale})
		}
	}
	f.handleEvent(told)
}
