package connadmission

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// referenceConn is a connection of referenceVictim.
type referenceConn struct {
	id           ID
	since        Millis
	state        connState
	hasRequested bool
	customer     int
}

// referenceVictim finds the victim by a scan of all connections.
func referenceVictim(options Options, conns map[ID]*referenceConn, now Millis) ID {
	connsOfCustomer := make([]int, len(options.CustomerShares)+1)
	total := 0.0
	for _, s := range options.CustomerShares {
		total += s
	}
	for _, conn := range conns {
		connsOfCustomer[conn.customer]++
	}
	over := func(conn *referenceConn) float64 {
		if conn.customer >= len(options.CustomerShares) || options.CustomerShares[conn.customer] <= 0 || total <= 0 {
			return 1
		}
		return max(1, float64(connsOfCustomer[conn.customer])/(options.CustomerShares[conn.customer]/total*float64(options.MaxConns)))
	}
	rank := func(conn *referenceConn) int {
		age := now - conn.since
		switch {
		case conn.state == stateSlowHeader:
			return 7
		case conn.state == stateIdleWithoutRequest && age >= options.MinIdle:
			return 6
		case conn.state == stateIdle && age >= options.MinIdle:
			return 5
		case conn.state == stateNew && age >= options.HeaderTimeout:
			return 4
		case conn.state == stateIdleWithoutRequest:
			return 3
		case conn.state == stateIdle:
			return 2
		case conn.state == stateNew:
			return 1
		}
		return 0
	}
	var best *referenceConn
	for _, conn := range conns {
		connRank := rank(conn)
		if connRank == 0 {
			continue
		}
		if best == nil || connRank > rank(best) || connRank == rank(best) && conn.state == stateIdle && over(conn) > over(best) ||
			connRank == rank(best) && (conn.state != stateIdle || over(conn) == over(best)) && conn.since < best.since {
			best = conn
		}
	}
	if best == nil {
		return NoConn
	}
	return best.id
}

func TestVictimMatchesReferenceScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := Options{MaxConns: rapid.IntRange(1, 12).Draw(t, "limit"), MinIdle: 20, HeaderTimeout: 10,
			CustomerShares: rapid.SampledFrom([][]float64{nil, {1}, {3, 1}, {5, 0, 2}}).Draw(t, "shares")}
		c := New(options)
		conns := map[ID]*referenceConn{}
		now := Millis(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now++ // no two enter a class at one moment: the reference could not tell them apart
			var conn *referenceConn
			if len(conns) > 0 {
				n := rapid.IntRange(0, len(c.conns)-1).Draw(t, "which")
				conn = conns[ID(n)]
			}
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1:
				want := NoConn
				if len(conns) >= options.MaxConns {
					want = referenceVictim(options, conns, now)
				}
				victim := NoConn
				if c.Full() {
					victim = c.Victim(now)
				}
				if victim != want {
					t.Fatalf("the victim is %d, the reference says %d", victim, want)
				}
				id := c.Open(now)
				if conns[id] != nil {
					t.Fatalf("%d is given out twice", id)
				}
				conns[id] = &referenceConn{id: id, since: now, state: stateNew, customer: len(options.CustomerShares)}
				if victim != NoConn {
					c.Close(victim)
					c.Close(victim)
					delete(conns, victim)
				}
			case 2:
				if conn != nil {
					c.BeginRequest(conn.id)
					conn.state = stateActive
				}
			case 3:
				if conn != nil && conn.state == stateActive {
					customer := rapid.IntRange(-1, len(options.CustomerShares)).Draw(t, "customer")
					c.IdentifyRequest(conn.id, CustomerIndex(customer))
					conn.hasRequested, conn.customer = true, len(options.CustomerShares)
					if customer >= 0 && customer < len(options.CustomerShares) {
						conn.customer = customer
					}
				}
			case 4:
				if conn != nil && conn.state == stateActive {
					c.EndRequest(conn.id, now)
					if conn.state, conn.since = stateIdleWithoutRequest, now; conn.hasRequested {
						conn.state = stateIdle
					}
				}
			case 6:
				if conn != nil {
					c.Park(conn.id)
					if rapid.Bool().Draw(t, "slow header") {
						if c.MarkSlowHeader(conn.id, now); conn.state != stateSlowHeader {
							conn.state, conn.since = stateSlowHeader, now
						}
					}
				}
			case 5:
				if conn != nil && rapid.Bool().Draw(t, "close") {
					c.Close(conn.id)
					delete(conns, conn.id)
				}
				now += Millis(rapid.IntRange(0, 15).Draw(t, "later"))
			}
			if got, want := c.Victim(now), referenceVictim(options, conns, now); got != want {
				t.Fatalf("the victim is %d, the reference says %d", got, want)
			}
			if c.Len() != len(conns) {
				t.Fatalf("%d connections, want %d", c.Len(), len(conns))
			}
		}
	})
}

func TestWakePastLimitOnlyForCustomersUnderHalfShare(t *testing.T) {
	c := New(Options{MaxConns: 1000, MinIdle: 2000, HeaderTimeout: 1000, CustomerShares: []float64{1, 1}, MaxActive: 16})
	var parked []ID
	for i := range 100 {
		id := c.Open(Millis(i))
		customer := CustomerIndex(0)
		if i%10 == 0 {
			customer = 1
		}
		c.BeginRequest(id)
		c.IdentifyRequest(id, customer)
		c.EndRequest(id, Millis(i))
		parked = append(parked, id)
	}
	var woken, rejected [2]int
	for i, id := range parked { // all at once
		customer := 0
		if i%10 == 0 {
			customer = 1
		}
		if c.Wake(id) {
			woken[customer]++
		} else {
			rejected[customer]++
		}
	}
	if _, _, _, open := c.Counts(); open > 18 || open != woken[0]+woken[1] || woken[1] < 4 || woken[0] < 12 || rejected[0] < 70 {
		t.Errorf("woken %v, rejected %v", woken, rejected)
	}
	for _, id := range parked {
		c.Close(id)
	}
	if _, _, _, open := c.Counts(); c.Len() != 0 || open != 0 {
		t.Errorf("%d connections, %d open after all are closed", c.Len(), open)
	}
}

func TestOneShotConnsCloseWhenManyAreIdle(t *testing.T) {
	c := New(Options{MaxConns: 100, MaxIdleOneShot: 5})
	rest := func() ID {
		id := c.Open(1)
		c.BeginRequest(id)
		c.IdentifyRequest(id, UnknownCustomer)
		c.EndRequest(id, 1)
		return id
	}
	for range 4 {
		rest()
	}
	id := c.Open(2)
	c.BeginRequest(id)
	if c.ShouldCloseAfterResponse(id, 1, false) {
		t.Error("closed when few are idle")
	}
	last := rest()
	if !c.ShouldCloseAfterResponse(id, 1, false) || c.ShouldCloseAfterResponse(id, 2, false) {
		t.Error("with many idle, a connection with one request is closed, one with two is not")
	}
	c.Close(last)
	if c.ShouldCloseAfterResponse(id, 1, false) || c.ShouldCloseAfterResponse(last, 1, false) {
		t.Error("closed when few are idle, or after its end")
	}
	if none := New(Options{MaxConns: 100}); none.ShouldCloseAfterResponse(none.Open(1), 1, false) {
		t.Error("closed without a limit")
	}
}

func TestCounts(t *testing.T) {
	c := New(Options{MaxConns: 10})
	var ids []ID
	for range 4 {
		id := c.Open(1)
		ids = append(ids, id)
	}
	c.BeginRequest(ids[1])
	c.BeginRequest(ids[2])
	c.EndRequest(ids[2], 2)
	c.BeginRequest(ids[3])
	c.IdentifyRequest(ids[3], UnknownCustomer)
	c.EndRequest(ids[3], 3)
	if s, v, i, act := c.Counts(); s != 1 || v != 1 || i != 1 || act != 1 {
		t.Errorf("%d new, %d idle without request, %d idle, %d active", s, v, i, act)
	}
}

// BenchmarkVictim finds a connection to close, and closes it for another one.
//
//	go test -run xxx -bench Victim -benchmem ./connadmission
func BenchmarkVictim(b *testing.B) {
	for _, n := range []int{600, 10_000, 100_000} {
		f := Options{MaxConns: n, MinIdle: 2000, HeaderTimeout: 1000, CustomerShares: []float64{5, 3, 2}}
		b.Run(fmt.Sprintf("connections=%d/index", n), func(b *testing.B) {
			c := New(f)
			now := Millis(0)
			come := func() {
				now++
				if c.Full() {
					c.Close(c.Victim(now))
				}
				id := c.Open(now)
				c.BeginRequest(id)
				c.IdentifyRequest(id, CustomerIndex(id%3))
				c.EndRequest(id, now)
			}
			for range n {
				come()
			}
			b.ReportAllocs()
			for b.Loop() {
				come()
			}
		})
		if n > 10_000 {
			continue // the scan takes seconds there
		}
		b.Run(fmt.Sprintf("connections=%d/scan", n), func(b *testing.B) {
			all := map[ID]*referenceConn{}
			for i := range n {
				all[ID(i)] = &referenceConn{id: ID(i), since: Millis(i), state: stateIdle, customer: i % 3}
			}
			now := Millis(n)
			b.ReportAllocs()
			for b.Loop() {
				now++
				id := referenceVictim(f, all, now)
				all[id].since = now
			}
		})
	}
}

func TestParkDelayShrinksWithIdleConns(t *testing.T) {
	c := New(Options{MaxConns: 1000, ParkDelay: 250, MaxIdleGoroutines: 100})
	var ids []ID
	last := Millis(250)
	for i := range 120 {
		got := c.ParkDelay(false)
		if got > last || got < 250/20 || i < 50 && got != 250 || i >= 100 && got != 250/20 {
			t.Fatalf("with %d idle the delay is %d ms, before %d", i, got, last)
		}
		last = got
		id := c.Open(Millis(i))
		c.BeginRequest(id)
		c.IdentifyRequest(id, UnknownCustomer)
		c.EndRequest(id, Millis(i))
		ids = append(ids, id)
	}
	for _, id := range ids {
		c.Park(id)
		c.Park(id)
	}
	if c.ParkedCount() != 120 || c.ParkDelay(false) != 250 {
		t.Errorf("all parked: %d, delay %d ms", c.ParkedCount(), c.ParkDelay(false))
	}
	if c.ParkDelay(true) != 250/20 {
		t.Errorf("memory tight: delay %d ms", c.ParkDelay(true))
	}
	c.BeginRequest(ids[0])
	c.Wake(ids[1])
	c.Close(ids[2])
	if c.ParkedCount() != 117 {
		t.Errorf("%d parked after three left", c.ParkedCount())
	}
}

func TestMinRate(t *testing.T) {
	rate := MinRate{BytesPerSecond: 100, Grace: 500}
	play := func(step Millis, n int, until Millis) (slowAt Millis) {
		due := rate.FirstDeadline(0)
		for now := Millis(0); now < until; now += step {
			if rate.Exceeded(due, now) {
				return now
			}
			due = rate.NextDeadline(due, now, n)
		}
		return -1
	}
	if at := play(10, 1, 60_000); at >= 0 {
		t.Errorf("a client at exactly the rate is too slow at %d ms", at)
	}
	if at := play(1000, 1, 60_000); at < 500 || at > 1000 {
		t.Errorf("a byte a second is too slow at %d ms", at)
	}
	if at := play(100, 5, 60_000); at < 900 || at > 1300 {
		t.Errorf("half of the rate is too slow at %d ms", at)
	}
	// After a burst a client is ahead by at most twice the grace.
	if due := rate.NextDeadline(rate.FirstDeadline(0), 0, 1<<20); due != 1000 {
		t.Errorf("after a burst of a megabyte the next byte is due at %d ms", due)
	}
	if off := (MinRate{}); off.Enabled() || off.Exceeded(0, 1000) {
		t.Error("a client is too slow without a lowest rate")
	}
}
