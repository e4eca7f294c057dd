package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// The allocator model simulates the pool of one service. Gateways request grants from the holder of the quota role, and
// are suspended, partitioned and killed. The role holder changes, and a new holder waits before it grants. The invariant
// at each step: all gateways together may use no more connections than the total.

// allocatorDefect is a defect injected into the model, which the invariant must detect.
type allocatorDefect int

const (
	noAllocatorDefect    allocatorDefect = iota
	leaseFromReply                       // a gateway starts its lease at the receipt of the reply, not at the request
	noHandoverWait                       // a new holder grants connections without waiting
	grantKeptAfterExpiry                 // a gateway uses its grant after its expiry
	grantsForgotten                      // the holder loses grants
	inUseNotReported                     // a gateway does not report the connections that it still uses
	baseIgnoresPool                      // the bases use up the total although a pool is granted in addition
)

const (
	modelStep       = 50 * time.Millisecond
	modelEnd        = 60 * time.Second
	handoverWait    = 2500 * time.Millisecond // equal to lease.TTL
	requestInterval = 500 * time.Millisecond
)

type modelGateway struct {
	incarnation      uint64
	demand           float64
	granted          int
	expiresAt        time.Duration
	suspendedUntil   time.Duration
	partitionedUntil time.Duration
	requestedAt      time.Duration
	reply            *modelReply // in transit
}

type modelReply struct {
	connections int
	requestedAt time.Duration
	arrivesAt   time.Duration
}

type allocatorModel struct {
	rng          *rand.Rand
	defect       allocatorDefect
	total        int
	base, pool   int
	gateways     []*modelGateway
	incarnations uint64 // assigned so far
	allocator    *Allocator
	readyAt      time.Duration // when the current holder begins to grant
}

func newAllocatorModel(seed uint64, gateways int, defect allocatorDefect) *allocatorModel {
	rng := rand.New(rand.NewPCG(seed, 3))
	m := &allocatorModel{rng: rng, defect: defect, incarnations: uint64(gateways), allocator: NewAllocator()}
	m.total = gateways/2 + rng.IntN(6*gateways)
	m.base, m.pool = SplitCapacity(m.total, gateways)
	if defect == baseIgnoresPool {
		m.base = max(m.total/gateways, 1)
	}
	for i := range gateways {
		m.gateways = append(m.gateways, &modelGateway{incarnation: uint64(i + 1)})
	}
	return m
}

// runAllocatorModel returns the first violation of the invariant, "" = none.
func runAllocatorModel(seed uint64, gateways int, defect allocatorDefect) string {
	m := newAllocatorModel(seed, gateways, defect)
	if m.base*gateways+m.pool > max(m.total, gateways) && defect == noAllocatorDefect {
		return fmt.Sprintf("%d connections for %d gateways: bases of %d and a pool of %d", m.total, gateways, m.base, m.pool)
	}
	for now := time.Second; now < modelEnd; now += modelStep {
		m.injectFaults(now)
		for _, gateway := range m.gateways {
			if now >= gateway.suspendedUntil {
				m.step(gateway, now)
			}
		}
		if usable := m.usable(now); usable > max(m.total, gateways) {
			return fmt.Sprintf("%v: %d gateways may use %d connections, the total is %d", now, gateways, usable, m.total)
		}
	}
	return ""
}

func (m *allocatorModel) injectFaults(now time.Duration) {
	if m.rng.IntN(300) == 0 { // a new holder takes over the role
		m.allocator, m.readyAt = NewAllocator(), now+handoverWait
		if m.defect == noHandoverWait {
			m.readyAt = now
		}
	}
	i := m.rng.IntN(len(m.gateways))
	if m.rng.IntN(4) > 0 {
		return
	}
	switch gateway := m.gateways[i]; m.rng.IntN(8) {
	case 0:
		gateway.suspendedUntil = now + time.Duration(m.rng.IntN(9000))*time.Millisecond
	case 1:
		gateway.partitionedUntil = now + time.Duration(m.rng.IntN(9000))*time.Millisecond
	case 2: // killed, and replaced by a new process without connections
		m.incarnations++
		m.gateways[i] = &modelGateway{incarnation: m.incarnations}
	default:
		gateway.demand = []float64{0, 1, 5, 40}[m.rng.IntN(4)]
	}
}

// step processes a gateway's reply if it has arrived, drops an expired grant and sends a request if one is due.
func (m *allocatorModel) step(gateway *modelGateway, now time.Duration) {
	if reply := gateway.reply; reply != nil && now >= reply.arrivesAt {
		gateway.reply = nil
		m.receiveReply(gateway, reply, now)
	}
	if now >= gateway.expiresAt && m.defect != grantKeptAfterExpiry {
		gateway.granted = 0
	}
	due := now >= gateway.requestedAt+requestInterval && gateway.reply == nil && gateway.demand > 0
	if due && now >= gateway.partitionedUntil && now >= m.readyAt {
		m.request(gateway, now)
	}
}

func (m *allocatorModel) receiveReply(gateway *modelGateway, reply *modelReply, now time.Duration) {
	expiresAt := reply.requestedAt + LeaseDuration
	switch {
	case m.defect == leaseFromReply:
		gateway.granted, gateway.expiresAt = reply.connections, now+LeaseDuration
	case now < expiresAt:
		gateway.granted, gateway.expiresAt = reply.connections, expiresAt
	}
}

func (m *allocatorModel) request(gateway *modelGateway, now time.Duration) {
	gateway.requestedAt = now
	if m.defect == grantsForgotten {
		for incarnation := range m.allocator.grants {
			if m.rng.IntN(10) == 0 {
				delete(m.allocator.grants, incarnation)
			}
		}
	}
	inUse := gateway.granted
	if m.defect == inUseNotReported {
		inUse = 0
	}
	demands := []Demand{{Tenant: "a", Connections: gateway.demand, Weight: 1}, {Tenant: "b", Connections: gateway.demand / 2, Weight: 3}}
	connections := m.allocator.RequestGrant(gateway.incarnation, demands, inUse, m.pool, now)
	gateway.reply = &modelReply{
		connections: connections,
		requestedAt: now,
		arrivesAt:   now + time.Duration(m.rng.IntN(900))*time.Millisecond,
	}
}

// usable returns the number of connections that all gateways may use, including suspended and partitioned ones.
func (m *allocatorModel) usable(now time.Duration) (connections int) {
	for _, gateway := range m.gateways {
		connections += m.base
		if now < gateway.expiresAt || m.defect == grantKeptAfterExpiry && gateway.granted > 0 {
			connections += gateway.granted
		}
	}
	return connections
}

func TestGrantsNeverExceedCapacity(t *testing.T) {
	for _, gateways := range []int{3, 7, 90} {
		t.Run(fmt.Sprintf("gateways=%d", gateways), func(t *testing.T) {
			for seed := range uint64(8) {
				if violation := runAllocatorModel(seed, gateways, noAllocatorDefect); violation != "" {
					t.Fatalf("seed %d: %s", seed, violation)
				}
			}
		})
	}
}

func TestAllocatorModelDetectsDefects(t *testing.T) {
	for name, defect := range map[string]allocatorDefect{
		"lease counted from the reply":          leaseFromReply,
		"no wait after a change of holder":      noHandoverWait,
		"grants used after expiry":              grantKeptAfterExpiry,
		"grants forgotten by the holder":        grantsForgotten,
		"bases not reduced by the pool":         baseIgnoresPool,
		"use of earlier grants is not reported": inUseNotReported,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(200) {
				if violation := runAllocatorModel(seed, 7, defect); violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			t.Error("the invariant was not violated")
		})
	}
}
