package dataplane

import (
	"context"
	"time"

	"oxbowspan/balancer"
	"oxbowspan/rendezvous"
	"oxbowspan/rpc"
)

// Timing of the exchange of loads.
const (
	maxLoadAge           = 4 * maintenanceInterval // after which the loads of a peer are ignored
	subscribeTimeout     = time.Second
	subscriptionInterval = time.Second // between two checks of a subscription's connection, and between two attempts to subscribe
	observationOnlyPeers = 1           // gateways of other zones that this one subscribes to, for observations alone
)

// observationExchange is the outlier detection's side of the exchange.
type observationExchange interface {
	takeObservations(now balancer.Time) []*rpc.Observation
	receiveObservations(observations []*rpc.Observation)
}

// loadExchange reports to other gateways what this one has in flight at servers, and to the balancer what they have. Each gateway subscribes
// to a few others, and extrapolates from them to all. It is owned by the loop.
type loadExchange struct {
	process      *process
	loop         commandLoop
	members      *membership
	endpoints    *endpointTable
	observations observationExchange
	balancer     eventSink

	subscribers   map[*rpc.Conn]bool // of this gateway; true = for observations only
	subscriptions map[rendezvous.Name]*loadSubscription
	observedPeers int  // gateways of which those subscribed to are a sample
	sentLoads     bool // the last report held loads, so that another is due when there are none
}

// loadSubscription is this gateway's subscription to another's reports.
type loadSubscription struct {
	client           *rpc.Client
	cancel           context.CancelFunc
	observationsOnly bool
	loads            map[string]float64 // shard calls in flight, by instance
	receivedAt       balancer.Time      // 0 = no loads yet
}

func newLoadExchange(p *process, loop commandLoop, members *membership, endpoints *endpointTable, observations observationExchange, balancer eventSink) *loadExchange {
	return &loadExchange{
		process:       p,
		loop:          loop,
		members:       members,
		endpoints:     endpoints,
		observations:  observations,
		balancer:      balancer,
		subscribers:   map[*rpc.Conn]bool{},
		subscriptions: map[rendezvous.Name]*loadSubscription{},
	}
}

// addSubscriber answers another gateway's subscription and begins to send it reports.
func (x *loadExchange) addSubscriber(conn *rpc.Conn, requestID uint64, observationsOnly bool) {
	x.subscribers[conn] = observationsOnly
	go conn.Respond(requestID, loadReportFrame(&rpc.LoadReport{Incarnation: x.process.incarnation}))
}

// removeSubscriber ends a subscription whose connection was closed.
func (x *loadExchange) removeSubscriber(conn *rpc.Conn) { delete(x.subscribers, conn) }

func loadReportFrame(report *rpc.LoadReport) *rpc.Frame {
	return &rpc.Frame{Body: &rpc.Frame_LoadReport{LoadReport: report}}
}

// membershipChanged subscribes to the gateways that this one is to observe by the new membership: peers of its own zone, as those
// ask the servers that it asks, or any peers where it is alone in its zone. One gateway of another zone is asked for observations
// only: they reach all zones when servers have a fault.
func (x *loadExchange) membershipChanged() {
	peers, others := x.members.sameZone(), x.members.otherZones
	if len(peers) == 1 {
		peers, others = x.members.gateways, nil
	}
	x.observedPeers = len(peers) - 1
	wanted := map[rendezvous.Name]bool{}
	for _, name := range rendezvous.Peers(x.members.self, peers, rendezvous.PeerCount) {
		wanted[name] = true
		x.subscribe(name, false)
	}
	for _, name := range rendezvous.Peers(x.members.self, others, observationOnlyPeers) {
		wanted[name] = true
		x.subscribe(name, true)
	}
	for name, subscription := range x.subscriptions {
		if !wanted[name] {
			subscription.close()
			delete(x.subscriptions, name)
		}
	}
}

// subscribe begins a subscription to a gateway, unless there is one.
func (x *loadExchange) subscribe(name rendezvous.Name, observationsOnly bool) {
	if x.subscriptions[name] != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	subscription := &loadSubscription{cancel: cancel, observationsOnly: observationsOnly}
	subscription.client = &rpc.Client{Address: string(name), Network: x.process.network}
	subscription.client.OnMessage = func(frame *rpc.Frame) {
		if report := frame.GetLoadReport(); report != nil {
			x.loop.post(func() { x.receive(subscription, report) })
		}
	}
	x.subscriptions[name] = subscription
	x.process.goroutines.Go(func() { x.maintainSubscription(ctx, subscription) })
}

// maintainSubscription subscribes, and does so again whenever the connection has ended, until the context is done. It runs on a
// goroutine of its own.
func (x *loadExchange) maintainSubscription(ctx context.Context, subscription *loadSubscription) {
	request := &rpc.Frame{Body: &rpc.Frame_LoadSubscription{
		LoadSubscription: &rpc.LoadSubscription{ObservationsOnly: subscription.observationsOnly},
	}}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, subscribeTimeout)
		reply, err := subscription.client.Call(callCtx, request)
		cancel()
		if report := reply.GetLoadReport(); err == nil && report != nil {
			x.loop.post(func() { x.receive(subscription, report) })
		}
		for err == nil && subscription.client.Connected() && ctx.Err() == nil {
			sleep(ctx, subscriptionInterval)
		}
		sleep(ctx, subscriptionInterval)
	}
}

// receive takes a report of a gateway subscribed to.
func (x *loadExchange) receive(subscription *loadSubscription, report *rpc.LoadReport) {
	x.observations.receiveObservations(report.Observations)
	if subscription.observationsOnly {
		return
	}
	subscription.receivedAt = x.loop.now()
	subscription.loads = map[string]float64{}
	for _, load := range report.Loads {
		subscription.loads[load.Instance] = float64(load.PendingMilli) / 1000
	}
}

// exchange sends a report to the subscribers, and reports the loads of the peers to the balancer.
func (x *loadExchange) exchange(now balancer.Time) {
	observations := x.observations.takeObservations(now)
	if len(x.subscribers) > 0 {
		x.sendReports(observations, now)
	}
	x.updateBalancer(now)
}

// sendReports sends each subscriber its report, on goroutines of their own: the loop waits for no peer.
func (x *loadExchange) sendReports(observations []*rpc.Observation, now balancer.Time) {
	loads := x.sampleLoads(now)
	full := loadReportFrame(&rpc.LoadReport{Incarnation: x.process.incarnation, Loads: loads, Observations: observations})
	observed := loadReportFrame(&rpc.LoadReport{Incarnation: x.process.incarnation, Observations: observations})
	for conn, observationsOnly := range x.subscribers {
		switch {
		case observationsOnly && len(observations) > 0:
			go conn.Send(observed)
		case !observationsOnly && (len(loads) > 0 || x.sentLoads || len(observations) > 0):
			go conn.Send(full)
		}
	}
	x.sentLoads = len(loads) > 0
}

// sampleLoads returns the mean numbers of attempts that this gateway had in flight at servers since the last sample. An attempt
// takes less time than passes between two samples, so that what is in flight at one moment says little.
func (x *loadExchange) sampleLoads(now balancer.Time) (loads []*rpc.ServerLoad) {
	for _, e := range x.endpoints.byInstance {
		if milli, ok := e.load.sample(now); ok {
			loads = append(loads, &rpc.ServerLoad{Instance: e.instance, PendingMilli: milli})
		}
	}
	return loads
}

// updateBalancer reports to the balancer what all other gateways have in flight at servers, extrapolated from those that report to
// this one.
func (x *loadExchange) updateBalancer(now balancer.Time) {
	sums, reporting := x.peerLoads(now)
	if reporting == 0 {
		return
	}
	scale := float64(max(x.observedPeers, reporting)) / float64(reporting)
	update := balancer.PeerUpdate{}
	for _, e := range x.endpoints.byInstance {
		if e.listed && x.observes(e) {
			update.Loads = append(update.Loads, balancer.PeerLoad{Server: e.id, InFlight: sums[e.instance] * scale})
		}
	}
	x.balancer.handleEvent(update)
}

// observes reports whether the peers' loads cover a server. Those of this zone do not ask servers of other zones, unless
// peers of all zones are observed.
func (x *loadExchange) observes(e *endpoint) bool {
	return e.zone == x.process.settings.Zone || x.observedPeers == x.members.size()-1
}

// peerLoads sums up by instance what the peers with recent reports have in flight, and counts them.
func (x *loadExchange) peerLoads(now balancer.Time) (sums map[string]float64, reporting int) {
	sums = map[string]float64{}
	for _, subscription := range x.subscriptions {
		if subscription.receivedAt == 0 || now-subscription.receivedAt >= ticks(maxLoadAge) {
			continue
		}
		reporting++
		for instance, load := range subscription.loads {
			sums[instance] += load
		}
	}
	return sums, reporting
}

// close ends all subscriptions.
func (x *loadExchange) close() {
	for _, subscription := range x.subscriptions {
		subscription.close()
	}
}

func (s *loadSubscription) close() {
	s.cancel()
	s.client.Close()
}
