package experiment

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"oxbowspan/internal/network"
	"oxbowspan/rpc"
)

const (
	// hollowServersPerService is the number of servers of each service.
	hollowServersPerService = 8
	// hollowZones is the number of zones that servers and gateways are spread over.
	hollowZones = 3
)

// hollowFleet is a set of simulated gateways and servers in this process that communicate only with the controllers: gateways
// poll for updates like real ones, and servers send heartbeats.
type hollowFleet struct {
	net               network.Network
	controlAddresses  []string // of the controllers, for servers
	internalAddresses []string // of the controllers, for gateways
	heartbeatInterval time.Duration
	gateways          []*hollowGateway
	servers           []*hollowServer
	connections       []*sharedConnection          // of the servers
	expectedUpdate    atomic.Pointer[updateWaiter] // observes all updates; nil = none

	ackLatency       *LatencyRecorder // of heartbeats
	acknowledged     atomic.Int64     // heartbeats
	unacknowledged   atomic.Int64     // attempts to send a heartbeat
	pollsTimedOut    atomic.Int64
	serverListBytes  atomic.Int64 // of the longest full list of servers received
	serverListLength atomic.Int64 // servers in it
	gatewayListBytes atomic.Int64 // of the last list of all gateways received

	ctx     context.Context
	stop    context.CancelFunc
	running sync.WaitGroup
}

// newHollowFleet returns a fleet without gateways and servers. It runs until the context ends or close is called.
func newHollowFleet(ctx context.Context, net network.Network, controlAddresses, internalAddresses []string, heartbeatInterval time.Duration) *hollowFleet {
	f := &hollowFleet{
		net:               net,
		controlAddresses:  controlAddresses,
		internalAddresses: internalAddresses,
		heartbeatInterval: heartbeatInterval,
		ackLatency:        NewLatencyRecorder(),
	}
	f.ctx, f.stop = context.WithCancel(ctx)
	return f
}

// close stops all gateways and servers and waits for them.
func (f *hollowFleet) close() {
	f.stop()
	f.running.Wait()
	for _, connection := range f.connections {
		connection.close()
	}
}

// sleep waits for a duration; ok is false if the fleet ended first.
func (f *hollowFleet) sleep(d time.Duration) (ok bool) {
	select {
	case <-f.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// addGateways starts gateways, spread evenly over a duration.
func (f *hollowFleet) addGateways(count int, over time.Duration) {
	for i := range count {
		f.gateways = append(f.gateways, newHollowGateway(f, i))
	}
	for i, gateway := range f.gateways {
		f.running.Go(func() {
			if f.sleep(over * time.Duration(i) / time.Duration(count)) {
				gateway.run()
			}
		})
	}
}

// addServers starts servers that share a number of connections and whose heartbeats are spread evenly over the interval.
func (f *hollowFleet) addServers(count, connections int) {
	connections = min(connections, count)
	for i := range connections {
		f.connections = append(f.connections, newSharedConnection(f, i%len(f.controlAddresses)))
	}
	for i := range count {
		server := &hollowServer{
			fleet:      f,
			lock:       newChannelLock(),
			connection: f.connections[i%connections],
			id:         newInstanceID(),
			service:    "service-" + strconv.Itoa(i/hollowServersPerService),
			address:    fmt.Sprintf("127.%d.%d.%d:8080", 250+i>>16, i>>8&255, i&255),
			zone:       hollowZone(i),
		}
		f.servers = append(f.servers, server)
		f.running.Go(func() {
			if f.sleep(f.heartbeatInterval * time.Duration(i) / time.Duration(count)) {
				server.run()
			}
		})
	}
}

func hollowZone(index int) string { return "zone-" + strconv.Itoa(index%hollowZones) }

// expectUpdate starts waiting for an update that matches. It replaces the previous waiter.
func (f *hollowFleet) expectUpdate(matches func(*rpc.Update) bool) *updateWaiter {
	waiter := newUpdateWaiter(len(f.gateways), matches)
	f.expectedUpdate.Store(waiter)
	return waiter
}

// waitForUpdate waits until the update has reached all gateways, the timeout has passed or the fleet ends.
func (f *hollowFleet) waitForUpdate(waiter *updateWaiter, timeout time.Duration) {
	select {
	case <-waiter.done:
	case <-time.After(timeout):
	case <-f.ctx.Done():
	}
}

// replaceFirstGateway replaces the first gateway by another incarnation and waits for all gateways to receive the change.
func (f *hollowFleet) replaceFirstGateway() {
	select {
	case f.gateways[0].replace <- struct{}{}:
	case <-f.ctx.Done():
	}
	f.sleep(hollowGatewayReplacement)
}

// gatewayBytes returns the average number of bytes that a gateway has received and sent so far.
func (f *hollowFleet) gatewayBytes() (in, out float64) {
	for _, gateway := range f.gateways {
		in += float64(gateway.counter.in.Load())
		out += float64(gateway.counter.out.Load())
	}
	count := float64(max(len(f.gateways), 1))
	return in / count, out / count
}

// bytesDuring returns the average number of bytes that a gateway other than the first receives during a call.
func (f *hollowFleet) bytesDuring(call func()) float64 {
	if len(f.gateways) < 2 {
		call()
		return 0
	}
	sum := func() (bytes float64) {
		for _, gateway := range f.gateways[1:] {
			bytes += float64(gateway.counter.in.Load())
		}
		return bytes
	}
	before := sum()
	call()
	return (sum() - before) / float64(len(f.gateways)-1)
}

// updateWaiter waits until an update has reached every hollow gateway.
type updateWaiter struct {
	matches func(*rpc.Update) bool
	done    chan struct{} // closed when the update has reached all gateways

	mu         sync.Mutex
	receivedAt []time.Time // by gateway
	remaining  int         // gateways
}

func newUpdateWaiter(gateways int, matches func(*rpc.Update) bool) *updateWaiter {
	return &updateWaiter{
		matches:    matches,
		done:       make(chan struct{}),
		receivedAt: make([]time.Time, gateways),
		remaining:  gateways,
	}
}

// observe records the time of the first matching update that a gateway receives.
func (w *updateWaiter) observe(gateway int, update *rpc.Update) {
	if !w.matches(update) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.receivedAt[gateway].IsZero() {
		return
	}
	w.receivedAt[gateway] = time.Now()
	if w.remaining--; w.remaining == 0 {
		close(w.done)
	}
}

// since returns the times from start until the update reached each gateway, in ascending order, and the number of gateways that
// it did not reach.
func (w *updateWaiter) since(start time.Time) (elapsed []time.Duration, missing int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, at := range w.receivedAt {
		if !at.IsZero() {
			elapsed = append(elapsed, max(at.Sub(start), 0))
		}
	}
	slices.Sort(elapsed)
	return elapsed, w.remaining
}
