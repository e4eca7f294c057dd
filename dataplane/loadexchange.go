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

// exchangeState is the state of the exchange of loads, owned by the loop.
type exchangeState struct {
	subscribers   map[*rpc.Conn]bool
	subscriptions map[rendezvous.Name]*loadSubscription
	observedPeers int // others that those observed stand for
	sentLoads     bool
}

// handleFrame takes a frame of another gatherer.
func (f *Gateway) handleFrame(c *rpc.Conn, q *rpc.Frame) {
	if a := q.GetPoll(); a != nil {
		f.loop.post(func() { f.answerPeer(c, q.Id, a) })
	}
	if m := q.GetQuotaRequest(); m != nil {
		f.loop.post(func() { f.quota.handleRequest(c, q.Id, m) })
	}
	if w := q.GetLoadSubscription(); w != nil {
		f.loop.post(func() {
			f.subscribers[c] = w.ObservationsOnly
			go c.Respond(q.Id, &rpc.Frame{Body: &rpc.Frame_LoadReport{LoadReport: &rpc.LoadReport{Incarnation: f.process.incarnation}}})
		})
	}
}

// loadReport holds the mean numbers of attempts that this gateway had in flight at servers since the last report. An attempt takes
// less time than passes between two reports, so that what is in flight at one moment says little.
func (f *Gateway) loadReport(now balancer.Time) *rpc.LoadReport {
	report := &rpc.LoadReport{Incarnation: f.process.incarnation}
	for _, e := range f.endpoints.byInstance {
		if milli, ok := e.load.sample(now); ok {
			report.Loads = append(report.Loads, &rpc.ServerLoad{Instance: e.instance, PendingMilli: milli})
		}
	}
	return report
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
	f.endpoints.resizeCluster()
	f.endpoints.sync()
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
			if f.outliers.receiveObservations(m.Observations); wordsOnly {
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
	words := f.outliers.takeObservations(now) // those that nobody watches are told to nobody
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
	for _, s := range f.endpoints.byInstance {
		// Of servers elsewhere, silence of this zone's gatherers says nothing: those of their own zones ask them.
		if s.listed && (s.zone == f.process.settings.Zone || f.observedPeers == f.members.size()-1) {
			told.Loads = append(told.Loads, balancer.PeerLoad{Server: s.id, InFlight: sums[s.instance] * scale})
		}
	}
	f.dispatcher.handleEvent(told)
}
