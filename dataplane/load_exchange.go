package dataplane

import (
	"context"
	"time"

	"oxbowspan/balancer"
	"oxbowspan/rendezvous"
	"oxbowspan/rpc"
)

// Timing of the load exchange.
const (
	maxLoadAge           = 4 * maintenanceInterval // after which a peer's loads are ignored
	subscribeTimeout     = time.Second
	subscriptionInterval = time.Second // between two checks of a subscription's connection, and between two attempts to subscribe
	observationOnlyPeers = 1           // number of gateways of other zones that this one subscribes to for observations only
)

// observationExchange is the part of outlier detection that exchanges observations with other gateways.
type observationExchange interface {
	drainObservations(now balancer.Time) []*rpc.Observation
	receiveObservations(observations []*rpc.Observation)
}

// loadExchange reports the attempts that this gateway has in flight at servers to other gateways, and those of other gateways to the
// balancer. Each gateway subscribes to a few others and extrapolates from them to all. It is owned by the loop.
type loadExchange struct {
	process      *process
	loop         commandLoop
	members      *membership
	endpoints    *endpointTable
	observations observationExchange
	balancer     eventSink

	subscribers   map[*rpc.Conn]bool // connections of gateways that subscribe to this one; true = for observations only
	subscriptions map[rendezvous.Name]*loadSubscription
	observedPeers int  // number of gateways of which the subscriptions are a sample
	sentLoads     bool // the last report contained loads, so the next one is sent even if it contains none
}

// loadSubscription is this gateway's subscription to the reports of another gateway.
type loadSubscription struct {
	client           *rpc.Client
	cancel           context.CancelFunc
	observationsOnly bool
	loads            map[string]float64 // mean number of attempts in flight, by instance
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

// addSubscriber accepts another gateway's subscription: it responds, and later reports are sent to its connection.
func (x *loadExchange) addSubscriber(conn *rpc.Conn, requestID uint64, observationsOnly bool) {
	x.subscribers[conn] = observationsOnly
	go conn.Respond(requestID, loadReportFrame(&rpc.LoadReport{Incarnation: x.process.incarnation}))
}

// removeSubscriber ends a subscription whose connection was closed.
func (x *loadExchange) removeSubscriber(conn *rpc.Conn) { delete(x.subscribers, conn) }

func loadReportFrame(report *rpc.LoadReport) *rpc.Frame {
	return &rpc.Frame{Body: &rpc.Frame_LoadReport{LoadReport: report}}
}

// membershipChanged updates the subscriptions to the new membership. This gateway subscribes to peers of its own zone, as they use the
// same servers, or to any peers if it is alone in its zone. It also subscribes to one gateway of another zone for observations only, so
// that observations of server faults reach all zones.
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

// subscribe starts a subscription to a gateway, unless there already is one.
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

// maintainSubscription subscribes to a gateway, and again whenever the connection has ended, until the context is done. It runs on its
// own goroutine.
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

// receive processes a report of a subscription.
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

// exchange sends reports to the subscribers and passes the loads of the peers to the balancer.
func (x *loadExchange) exchange(now balancer.Time) {
	observations := x.observations.drainObservations(now)
	if len(x.subscribers) > 0 {
		x.sendReports(observations, now)
	}
	x.updateBalancer(now)
}

// sendReports sends each subscriber its report, on a separate goroutine each, so that the loop never waits for a peer.
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

// sampleLoads returns the mean number of attempts that this gateway had in flight at each server since the last sample. An attempt is
// shorter than the interval between two samples, so the number in flight at one moment would be a poor estimate.
func (x *loadExchange) sampleLoads(now balancer.Time) (loads []*rpc.ServerLoad) {
	for _, e := range x.endpoints.byInstance {
		if milli, ok := e.load.sample(now); ok {
			loads = append(loads, &rpc.ServerLoad{Instance: e.instance, PendingMilli: milli})
		}
	}
	return loads
}

// updateBalancer passes to the balancer the attempts that all other gateways have in flight at each server, extrapolated from the gateways
// with recent reports.
func (x *loadExchange) updateBalancer(now balancer.Time) {
	totals, reporting := x.peerLoads(now)
	if reporting == 0 {
		return
	}
	scale := float64(max(x.observedPeers, reporting)) / float64(reporting)
	update := balancer.PeerUpdate{}
	for _, e := range x.endpoints.byInstance {
		if e.selectable && x.observes(e) {
			update.Loads = append(update.Loads, balancer.PeerLoad{Server: e.id, InFlight: totals[e.instance] * scale})
		}
	}
	x.balancer.handleEvent(update)
}

// observes reports whether the peers' loads cover a server: one in this zone, as peers of this zone do not use servers of other zones, or
// any server if peers of all zones are observed.
func (x *loadExchange) observes(e *endpoint) bool {
	return e.zone == x.process.settings.Zone || x.observedPeers == x.members.size()-1
}

// peerLoads returns the total attempts in flight of the peers with recent reports, by instance, and the number of those peers.
func (x *loadExchange) peerLoads(now balancer.Time) (totals map[string]float64, reporting int) {
	totals = map[string]float64{}
	for _, subscription := range x.subscriptions {
		if subscription.receivedAt == 0 || now-subscription.receivedAt >= ticks(maxLoadAge) {
			continue
		}
		reporting++
		for instance, load := range subscription.loads {
			totals[instance] += load
		}
	}
	return totals, reporting
}

// close ends all subscriptions.
func (x *loadExchange) close() {
	for _, subscription := range x.subscriptions {
		subscription.close()
	}
}

// close ends the subscription.
func (s *loadSubscription) close() {
	s.cancel()
	s.client.Close()
}
