package outlier

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"oxbowspan/rendezvous"
)

// The model: gatherers in zones that send parts to the replicas of some shards, see how they end, and tell those that watch them.
// What servers do is the model's: answer, answer slowly, refuse, say nothing, to all or to some.

type condition int

const (
	conditionFine condition = iota
	conditionSlow
	conditionDead
	conditionMute
)

// defect is a mistake planted in the model's own part.
type defect int

const (
	noDefect               defect = iota
	agesIgnored                   // words are held for as new as they come
	recoveryNotSent               // nobody tells that a server is back
	everyoneProbes                // everybody tries a server that is out
	impairmentIgnored             // a gatherer that is itself cut off tells of it as if servers were at fault
	singleObserverSuffices        // a single observer's word of slowness counts as three
	nothingSent                   // words go nowhere
)

type modelGateway struct {
	name         rendezvous.Name
	zone         int
	detector     *Detector
	unitTimes    map[Instance]float64
	pendingSince map[Instance]time.Duration // silent since
	mutes        map[Instance]time.Duration
	frozenUntil  time.Duration
	slowdown     float64       // everything takes it so many times longer
	isolated     bool          // its own way to servers is cut
	partition    int           // words pass within a side only
	unsent       []Observation // written before it froze
}

type cluster struct {
	rng          *rand.Rand
	defect       defect
	now          time.Duration
	gateways     []*modelGateway
	subscribers  map[int][]int
	servers      []Instance
	shard        map[Instance]Shard
	conditions   map[Instance]condition
	conditionFor func(g *modelGateway, s Instance) condition // nil = as moods
	pauses       bool
	rate         float64 // parts a second of each gatherer
	probes       map[Instance]int
	faultyCalls  map[Instance]int // parts that met a server while it was not fine
	observations int
	changes      int
	previous     map[string]State
}

const heartbeat = 50 * time.Millisecond

func newCluster(seed uint64, gateways, zones, shards, replicas int) *cluster {
	c := &cluster{rng: rand.New(rand.NewPCG(seed, 9)), now: time.Second, subscribers: map[int][]int{}, shard: map[Instance]Shard{}, conditions: map[Instance]condition{}, rate: 45,
		probes: map[Instance]int{}, faultyCalls: map[Instance]int{}, previous: map[string]State{}}
	byZone := map[int][]rendezvous.Name{}
	at := map[rendezvous.Name]int{}
	for i := range gateways {
		g := &modelGateway{name: rendezvous.Name(fmt.Sprint("g", i)), zone: i % zones, detector: NewDetector(Observer(i + 1)), unitTimes: map[Instance]float64{}, pendingSince: map[Instance]time.Duration{}, mutes: map[Instance]time.Duration{}}
		c.gateways = append(c.gateways, g)
		byZone[g.zone] = append(byZone[g.zone], g.name)
		at[g.name] = i
	}
	for i, g := range c.gateways {
		var far []rendezvous.Name
		for z, names := range byZone {
			if z != g.zone {
				far = append(far, names...)
			}
		}
		for _, w := range append(rendezvous.Peers(g.name, byZone[g.zone], rendezvous.PeerCount), rendezvous.Peers(g.name, far, 1)...) {
			c.subscribers[at[w]] = append(c.subscribers[at[w]], i) // i hears w
		}
	}
	for s := range shards {
		for r := range replicas {
			i := Instance(fmt.Sprint("s", s, "-", r))
			c.servers = append(c.servers, i)
			c.shard[i] = Shard(fmt.Sprint("s", s))
		}
	}
	for _, g := range c.gateways {
		g.detector.SetServers(c.shard, gateways-1)
	}
	return c
}

func (c *cluster) condition(g *modelGateway, s Instance) condition {
	if g.isolated {
		return conditionMute
	}
	if c.conditionFor != nil {
		return c.conditionFor(g, s)
	}
	return c.conditions[s]
}

// leaseHolder is who tries a server that is out.
func (c *cluster) leaseHolder(s Instance) *modelGateway {
	var names []rendezvous.Name
	for _, g := range c.gateways {
		names = append(names, g.name)
	}
	n := rendezvous.Owner(rendezvous.Name(s), names)
	return c.gateways[slices.Index(names, n)]
}

// call sends one part to one server and has its gatherer see how it ends.
func (c *cluster) call(g *modelGateway, s Instance) {
	m := c.condition(g, s)
	if m != conditionFine {
		c.faultyCalls[s]++
	}
	switch m {
	case conditionDead:
		g.detector.RecordFailure(s, ObservedRefused, c.now)
	case conditionMute:
		if g.pendingSince[s] == 0 {
			g.pendingSince[s] = c.now
		}
	default:
		unit := math.Exp(c.rng.NormFloat64() * 0.4)
		if m == conditionSlow {
			unit *= 10
		}
		if c.pauses && c.rng.IntN(100) == 0 {
			unit += 4
		}
		if g.slowdown > 0 {
			unit *= g.slowdown
		}
		delete(g.pendingSince, s)
		if g.unitTimes[s] == 0 {
			g.unitTimes[s] = 1 // records begin at the average
		}
		g.unitTimes[s] += (unit - g.unitTimes[s]) * 0.2
		speed, n := 0.0, 0.0
		for _, o := range g.detector.shards[c.shard[s]] {
			if o != s && g.unitTimes[o] > 0 {
				speed, n = speed+1/g.unitTimes[o], n+1
			}
		}
		fellows := 0.0
		if n > 0 {
			fellows = n / speed
		}
		g.detector.RecordSuccess(s, g.unitTimes[s], fellows, c.now)
	}
}

// advance plays a time.
func (c *cluster) advance(d time.Duration) {
	for until := c.now + d; c.now < until; c.now += heartbeat {
		for k, g := range c.gateways {
			if c.now < g.frozenUntil {
				continue
			}
			for n := c.rate * heartbeat.Seconds(); n > c.rng.Float64(); n-- {
				shard := c.shard[c.servers[c.rng.IntN(len(c.servers))]]
				of := g.detector.shards[shard]
				s := of[c.rng.IntN(len(of))]
				st := g.detector.Status(s)
				if st.State == Avoided || st.State >= Ejected {
					if st.State != Probation || c.leaseHolder(s) != g && c.defect != everyoneProbes {
						continue
					}
					c.probes[s]++
				}
				c.call(g, s)
			}
			if (c.now/heartbeat+time.Duration(k))%5 > 0 { // every 250 ms
				continue
			}
			late := 0
			for _, at := range g.pendingSince {
				if c.now-at > 150*time.Millisecond {
					late++
				}
			}
			g.detector.SetImpaired(c.defect != impairmentIgnored && late > 2 && 2*late > len(c.servers)/4)
			for s, at := range g.pendingSince {
				if c.now-at > 150*time.Millisecond {
					g.detector.RecordFailure(s, ObservedUnresponsive, c.now)
					if g.detector.Status(s).State >= Ejected {
						delete(g.pendingSince, s)
					}
				}
			}
			g.detector.Advance(c.now)
			out := append(g.unsent, g.detector.DrainOutbox()...)
			g.unsent = nil
			for _, w := range out {
				c.observations++
				if c.defect == recoveryNotSent && w.Kind == ObservedHealthy {
					continue
				}
				for _, o := range c.subscribers[k] {
					to := c.gateways[o]
					if c.now < to.frozenUntil || to.partition != g.partition || c.defect == nothingSent {
						continue
					}
					w := w
					if c.defect == agesIgnored {
						w.ObservedAt = c.now
					}
					if to.detector.Receive(w, c.now); c.defect == singleObserverSuffices && w.Kind == ObservedSlow {
						for x := range 3 {
							w.Observer = w.Observer + Observer(1000*(x+1))
							to.detector.Receive(w, c.now)
						}
					}
				}
			}
		}
		for _, g := range c.gateways {
			for _, s := range c.servers {
				key := string(g.name) + string(s)
				if is := g.detector.Status(s).State; (is == Healthy) != (c.previous[key] == Healthy) {
					c.previous[key] = is
					c.changes++
				}
			}
		}
	}
}

// avoiding counts the gatherers that keep from a server.
func (c *cluster) avoiding(s Instance) (n int) {
	for _, g := range c.gateways {
		if g.detector.Status(s).State != Healthy {
			n++
		}
	}
	return n
}

// advanceUntil passes time until a condition holds, and returns how long that took; the limit where it does not.
func (c *cluster) advanceUntil(limit time.Duration, is func() bool) time.Duration {
	began := c.now
	for !is() && c.now-began < limit {
		c.advance(heartbeat)
	}
	return c.now - began
}

// A server that dies, falls silent or turns slow is left by all within a stated time, and taken back by all after it recovers; while it is out
// one gatherer tries it.
func TestEjectionAndRecoveryAcrossGateways(t *testing.T) {
	for _, gateways := range []int{7, 90, 300} {
		for name, c := range map[string]struct {
			mood      condition
			off, back time.Duration
		}{"dead": {conditionDead, 2 * time.Second, 7 * time.Second}, "silent": {conditionMute, 3 * time.Second, 9 * time.Second}, "slow": {conditionSlow, 6 * time.Second, 9 * time.Second}} {
			if gateways == 300 && c.mood != conditionDead { // the others are in docs/measured/judgement.md
				continue
			}
			h := newCluster(7, gateways, 3, 6, 8)
			h.advance(6 * time.Second)
			s := h.servers[11]
			h.conditions[s] = c.mood
			off := h.advanceUntil(20*time.Second, func() bool { return h.avoiding(s) == gateways })
			met := h.faultyCalls[s]
			if c.mood != conditionSlow { // that is avoided for four seconds, then tried
				h.advance(2 * time.Second)
			}
			h.advance(2 * time.Second)
			after, tried := h.faultyCalls[s]-met, h.probes[s]
			h.conditions[s] = conditionFine
			back := h.advanceUntil(30*time.Second, func() bool { return h.avoiding(s) == 0 })
			t.Logf("%d gatherers, %s: all off after %v, all back after %v; parts that met it: %d until then, %d in the 2 or 4 s after (%d tries)", gateways, name, off, back, met, after, tried)
			if off > c.off || back > c.back {
				t.Errorf("%d gatherers, %s: all off after %v (%v is stated), back after %v (%v)", gateways, name, off, c.off, back, c.back)
			}
			if c.mood == conditionDead && (after > 30 || after > tried+gateways/10) {
				t.Errorf("%d gatherers: %d parts met a dead server after all had left it, %d tries", gateways, after, tried)
			}
		}
	}
}

// trouble is a world in which nobody should leave any replica, or only some.
func TestNoFalseEjections(t *testing.T) {
	cases := map[string]struct {
		set  func(h *cluster)
		most int // gatherers times servers that may be off at the end
	}{
		"a calm day with pauses":                {func(h *cluster) { h.pauses = true }, 0},
		"one gatherer whose everything is slow": {func(h *cluster) { h.gateways[4].slowdown = 30 }, 0},
		"one gatherer cut off from all servers": {func(h *cluster) { h.gateways[4].isolated = true }, 48},
		"a server slow for one caller":          {func(h *cluster) { h.conditionFor = onlyFor(h, 4, conditionSlow) }, 1},
		"a server silent to one caller":         {func(h *cluster) { h.conditionFor = onlyFor(h, 4, conditionMute) }, 1},
		"all replicas of a shard slow alike": {func(h *cluster) {
			h.conditionFor = func(_ *modelGateway, s Instance) condition { return conditionIf(h.shard[s] == "s2", conditionSlow) }
		}, 0},
		"an observer frozen for 4 s speaks of the past": {func(h *cluster) {
			g := h.gateways[3]
			g.detector.sequence += 1000
			for _, s := range h.servers {
				g.unsent = append(g.unsent, Observation{Server: s, Observer: g.detector.self, Sequence: g.detector.sequence, Kind: ObservedRefused, ObservedAt: h.now - 200*time.Millisecond})
			}
			g.frozenUntil = h.now + 4*time.Second
		}, 0},
	}
	for name, c := range cases {
		h := newCluster(3, 30, 3, 6, 8)
		h.advance(6 * time.Second)
		c.set(h)
		most := 0
		for range 10 {
			h.advance(time.Second)
			off := 0
			for _, s := range h.servers {
				off += h.avoiding(s)
			}
			most = max(most, off)
		}
		if most > c.most {
			t.Errorf("%s: %d of %d judgements keep from a server, %d at the most are right", name, most, len(h.gateways)*len(h.servers), c.most)
		}
	}
}

func onlyFor(c *cluster, k int, m condition) func(*modelGateway, Instance) condition {
	return func(g *modelGateway, s Instance) condition {
		return conditionIf(g == c.gateways[k] && s == c.servers[9], m)
	}
}

func conditionIf(is bool, m condition) condition {
	if is {
		return m
	}
	return conditionFine
}

// Of a shard whose every replica is silent half are kept, whatever is heard; where all are dead there is nothing to keep.
func TestEjectionKeepsHalfOfShard(t *testing.T) {
	h := newCluster(5, 24, 3, 4, 8)
	h.advance(4 * time.Second)
	for _, s := range h.servers[:8] {
		h.conditions[s] = conditionMute
	}
	for range 12 {
		h.advance(time.Second)
		for _, g := range h.gateways {
			in := 0
			for _, s := range h.servers[:8] {
				if g.detector.Status(s).State == Healthy {
					in++
				}
			}
			if in < 4 {
				t.Fatalf("%s keeps from %d of 8 silent replicas", g.name, 8-in)
			}
		}
	}
}

// A server that dies and comes back by turns is tried ever more seldom; two sides of a cut that saw different things come to the same
// once joined; a server begun anew is judged anew.
func TestFlappingPartitionsAndRestarts(t *testing.T) {
	h := newCluster(6, 24, 3, 4, 8)
	h.advance(4 * time.Second)
	s := h.servers[5]
	for i := range 20 {
		h.conditions[s] = []condition{conditionDead, conditionFine}[i%2]
		h.advance(time.Second)
	}
	if per := float64(h.changes) / float64(len(h.gateways)); per > 14 {
		t.Errorf("a server that swings 20 times has each gatherer change %.1f times", per)
	}
	h.conditions[s] = conditionFine
	h.advance(12 * time.Second)

	for i, g := range h.gateways {
		g.partition = i % 2
	}
	other := h.servers[20]
	h.conditionFor = func(g *modelGateway, s Instance) condition {
		return conditionIf(s == other && g.partition == 1, conditionDead)
	}
	h.advance(3 * time.Second)
	for i, g := range h.gateways {
		if off := g.detector.Status(other).State != Healthy; off != (i%2 == 1) {
			t.Fatalf("cut apart, gatherer %d keeps from it: %v", i, off)
		}
	}
	for _, g := range h.gateways {
		g.partition = 0
	}
	h.conditionFor = nil
	if took := h.advanceUntil(9*time.Second, func() bool { return h.avoiding(other) == 0 }); took >= 9*time.Second {
		t.Errorf("joined, %d of %d still keep from it after %v", h.avoiding(other), len(h.gateways), took)
	}

	h.conditions[s] = conditionDead
	h.advance(3 * time.Second)
	restarted := Instance("s0-5-again")
	h.shard[restarted] = h.shard[s]
	delete(h.shard, s)
	for _, g := range h.gateways {
		g.detector.SetServers(h.shard, len(h.gateways)-1)
		if st := g.detector.Status(restarted); st.State != Healthy || len(g.detector.Observations(s)) > 0 {
			t.Fatalf("a new life begins %v", st.State)
		}
	}
}

// A pin holds whatever is seen, and ends.
func TestPins(t *testing.T) {
	h := newCluster(8, 12, 3, 2, 4)
	h.advance(2 * time.Second)
	out := Ejected
	for _, g := range h.gateways {
		g.detector.Pin(h.servers[0], &out, h.now)
	}
	h.advance(5 * time.Second)
	if n := h.avoiding(h.servers[0]); n != 12 {
		t.Errorf("pinned out: %d of 12 keep from it", n)
	}
	for _, g := range h.gateways {
		g.detector.Pin(h.servers[0], nil, h.now)
	}
	h.advance(time.Second)
	if n := h.avoiding(h.servers[0]); n != 0 {
		t.Errorf("unpinned: %d of 12 keep from it", n)
	}
}

// What is said costs little while nothing happens, and by the number of gatherers.
func TestIdleTrafficIsBounded(t *testing.T) {
	for _, gateways := range []int{90} {
		h := newCluster(9, gateways, 3, 6, 8)
		h.pauses = true
		h.advance(4 * time.Second)
		h.observations, h.changes = 0, 0
		h.advance(10 * time.Second)
		per := float64(h.observations) / 10 / float64(gateways)
		t.Logf("%d gatherers, no trouble: %.3f words a second and gatherer, %d changes of stance", gateways, per, h.changes)
		if per > 0.5 || h.changes > 0 {
			t.Errorf("%d gatherers without trouble: %.2f words a second each, %d changes of stance", gateways, per, h.changes)
		}
	}
}

// Each planted mistake is seen by one of the plays above, in short.
func TestModelDetectsDefects(t *testing.T) {
	play := func(p defect) string {
		h := newCluster(7, 60, 3, 6, 8)
		h.defect = p
		h.advance(5 * time.Second)
		s := h.servers[11]
		h.conditions[s] = conditionDead
		off := h.advanceUntil(900*time.Millisecond, func() bool { return h.avoiding(s) == len(h.gateways) })
		if off >= 900*time.Millisecond {
			return "not all leave a dead server"
		}
		tried := h.probes[s]
		h.advance(4 * time.Second)
		if h.probes[s]-tried > 8 {
			return fmt.Sprintf("%d tries of a dead server in 4 s", h.probes[s]-tried)
		}
		h.conditions[s] = conditionFine
		h.advanceUntil(9*time.Second, func() bool { return h.avoiding(s) < len(h.gateways) })
		if back := h.advanceUntil(2*time.Second, func() bool { return h.avoiding(s) == 0 }); back >= 2*time.Second {
			return "not all come back soon after the first"
		}
		h.gateways[4].slowdown, h.gateways[5].isolated, h.gateways[6].isolated, h.gateways[7].isolated = 30, true, true, true
		delayed := h.gateways[8]
		for _, s := range h.servers[:8] {
			delayed.detector.sequence++
			delayed.unsent = append(delayed.unsent, Observation{Server: s, Observer: delayed.detector.self, Sequence: delayed.detector.sequence, Kind: ObservedRefused, ObservedAt: h.now})
		}
		delayed.frozenUntil = h.now + 4*time.Second
		for range 6 {
			h.advance(time.Second)
			off := 0
			for _, s := range h.servers {
				off += h.avoiding(s)
			}
			if off > 4*len(h.servers) {
				return fmt.Sprintf("a sick gatherer, three cut off and one frozen have %d judgements keep from sound servers", off)
			}
		}
		return ""
	}
	if fault := play(noDefect); fault != "" {
		t.Fatal(fault)
	}
	for name, p := range map[string]defect{"ages dropped": agesIgnored, "nobody tells that it is back": recoveryNotSent, "everybody tries": everyoneProbes,
		"trouble of one's own is hidden": impairmentIgnored, "one observer is enough": singleObserverSuffices, "words go nowhere": nothingSent} {
		if fault := play(p); fault == "" {
			t.Errorf("%s: no check sees it", name)
		} else {
			t.Logf("%s: %s", name, fault)
		}
	}
}
