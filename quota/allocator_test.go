package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// The model of a service's pool over 90 gatherers: they ask whom they take for the holder, freeze, are cut off and killed; the duty
// changes hands, and a new holder rests before it grants. At each step: what all may use is never more than the whole.

type allocatorDefect int

const (
	noAllocatorDefect    allocatorDefect = iota
	leaseFromReply                       // a gatherer counts its lease from the answer
	noHandoverWait                       // a new holder grants at once
	grantKeptAfterExpiry                 // a gatherer uses its part after its lease
	grantsForgotten                      // the holder forgets what it granted to those it does not hear
	inUseNotReported                     // a gatherer does not tell what it still uses
	baseIgnoresPool                      // gatherers take equal parts of the whole beside what is granted
)

const handoverWait = 2500 * time.Millisecond // kin.Lease

type modelGateway struct {
	incarnation      uint64
	demand           float64
	granted          int
	expiresAt        time.Duration
	frozenUntil      time.Duration
	partitionedUntil time.Duration
	requestedAt      time.Duration
	reply            *modelReply
}

type modelReply struct {
	connections            int
	requestedAt, arrivesAt time.Duration
}

func runAllocatorModel(seed uint64, gateways int, defect allocatorDefect) string {
	rng := rand.New(rand.NewPCG(seed, 3))
	total := gateways/2 + rng.IntN(6*gateways)
	base, pool := SplitCapacity(total, gateways)
	if defect == baseIgnoresPool {
		base = max(total/gateways, 1)
	}
	if base*gateways+pool > max(total, gateways) && defect == noAllocatorDefect {
		return fmt.Sprintf("%d for %d: bases of %d and a pool of %d", total, gateways, base, pool)
	}
	var fleet []*modelGateway
	for i := range gateways {
		fleet = append(fleet, &modelGateway{incarnation: uint64(i + 1)})
	}
	incarnations := uint64(gateways)
	allocator, readyAt := NewAllocator(), time.Duration(0)
	const step = 50 * time.Millisecond
	for now := time.Second; now < 60*time.Second; now += step {
		if rng.IntN(300) == 0 {
			allocator, readyAt = NewAllocator(), now+handoverWait
			if defect == noHandoverWait {
				readyAt = now
			}
		}
		if i := rng.IntN(len(fleet)); rng.IntN(4) == 0 {
			switch gateway := fleet[i]; rng.IntN(8) {
			case 0:
				gateway.frozenUntil = now + time.Duration(rng.IntN(9000))*time.Millisecond
			case 1:
				gateway.partitionedUntil = now + time.Duration(rng.IntN(9000))*time.Millisecond
			case 2: // killed: what it used is over with it
				incarnations++
				fleet[i] = &modelGateway{incarnation: incarnations}
			default:
				gateway.demand = []float64{0, 1, 5, 40}[rng.IntN(4)]
			}
		}
		for _, gateway := range fleet {
			if now < gateway.frozenUntil {
				continue
			}
			if reply := gateway.reply; reply != nil && now >= reply.arrivesAt {
				gateway.reply = nil
				if until := reply.requestedAt + LeaseDuration; now < until || defect == leaseFromReply {
					if gateway.granted, gateway.expiresAt = reply.connections, until; defect == leaseFromReply {
						gateway.expiresAt = now + LeaseDuration
					}
				}
			}
			if now >= gateway.expiresAt && defect != grantKeptAfterExpiry {
				gateway.granted = 0
			}
			if now >= gateway.requestedAt+500*time.Millisecond && now >= gateway.partitionedUntil && now >= readyAt && gateway.reply == nil && gateway.demand > 0 {
				gateway.requestedAt = now
				if defect == grantsForgotten {
					for incarnation := range allocator.grants {
						if rng.IntN(10) == 0 {
							delete(allocator.grants, incarnation)
						}
					}
				}
				inUse := gateway.granted
				if defect == inUseNotReported {
					inUse = 0
				}
				connections := allocator.Request(gateway.incarnation, []Demand{{"a", gateway.demand, 1}, {"b", gateway.demand / 2, 3}}, inUse, pool, now)
				gateway.reply = &modelReply{connections, now, now + time.Duration(rng.IntN(900))*time.Millisecond}
			}
		}
		sum := 0
		for _, gateway := range fleet {
			sum += base
			if now < gateway.expiresAt || defect == grantKeptAfterExpiry && gateway.granted > 0 {
				sum += gateway.granted
			}
		}
		if sum > max(total, gateways) {
			return fmt.Sprintf("%v: %d gatherers may use %d connections of %d", now, gateways, sum, total)
		}
	}
	return ""
}

func TestGrantsNeverExceedCapacity(t *testing.T) {
	for seed := range uint64(8) {
		for _, gateways := range []int{3, 7, 90} {
			if fault := runAllocatorModel(seed, gateways, noAllocatorDefect); fault != "" {
				t.Fatalf("seed %d: %s", seed, fault)
			}
		}
	}
}

func TestAllocatorModelDetectsDefects(t *testing.T) {
	for name, defect := range map[string]allocatorDefect{"the lease counts from the answer": leaseFromReply, "a new holder grants at once": noHandoverWait,
		"parts are used after their lease": grantKeptAfterExpiry, "grants are forgotten": grantsForgotten, "equal parts beside the pool": baseIgnoresPool, "what is still used is not told": inUseNotReported} {
		found := false
		for seed := uint64(0); seed < 200 && !found; seed++ {
			if fault := runAllocatorModel(seed, 7, defect); fault != "" {
				found = true
				t.Logf("%s: seed %d: %s", name, seed, fault)
			}
		}
		if !found {
			t.Errorf("%s: no check finds it", name)
		}
	}
}

// A tenant that floods one gatherer gets what is free there and takes nothing from another tenant's part elsewhere; parts follow where
// the traffic is, and what nobody wants lies ready.
func TestGrantsFollowDemand(t *testing.T) {
	allocator := NewAllocator()
	const pool = 60
	inUse := map[uint64]int{}
	request := func(incarnation uint64, now time.Duration, demands ...Demand) int {
		inUse[incarnation] = allocator.Request(incarnation, demands, inUse[incarnation], pool, now)
		return inUse[incarnation]
	}
	now := time.Second
	if n := request(1, now, Demand{"letters", 500, 1}); n != pool {
		t.Errorf("alone it gets %d of %d", n, pool)
	}
	for range 4 { // what was granted before has to come back first
		now += 500 * time.Millisecond
		request(1, now, Demand{"letters", 500, 1})
		request(2, now, Demand{"counter", 20, 1})
	}
	if a, b := request(1, now, Demand{"letters", 500, 1}), request(2, now, Demand{"counter", 20, 1}); a != 40 || b != 20 {
		t.Errorf("a flood of 500 gets %d beside 20 that are wanted and %d given", a, b)
	}
	for range 4 {
		now += 500 * time.Millisecond
		request(1, now, Demand{"letters", 500, 1})
		request(2, now, Demand{"counter", 80, 2})
		request(3, now, Demand{"counter", 20, 2})
	}
	a, b, c := request(1, now, Demand{"letters", 500, 1}), request(2, now, Demand{"counter", 80, 2}), request(3, now, Demand{"counter", 20, 2})
	if a != 20 || b != 32 || c != 8 {
		t.Errorf("weights of 1 and 2: %d, and %d and %d where the traffic is 80 and 20", a, b, c)
	}
}
