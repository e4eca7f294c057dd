package maintenance

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
)

// fleetModel is a fleet in one process: the leader's state, a follower's that applies the same log later, gatherers with leases and
// permits, and hooks that carry out releases. Messages between them are lost, duplicated and reordered. Who is out is counted by what
// the gatherers do, not by what the state says.
type fleetModel struct {
	t               interface{ Fatalf(string, ...any) }
	rand            *rand.Rand
	now             Time
	leader          *State
	log             []Command
	follower        *State // applies the log later, at times from a snapshot
	gatherers       []*simGatherer
	messages        []message
	loss            float64 // share of messages that are lost, and of those that are duplicated
	maxOut          int
	zones           int
	maxOutPerZone   int
	grants          int
	permittedDrains int
}

const drainTimeout Duration = 4000

// message is a message in transit and the effect of its arrival.
type message struct {
	at Time
	do func()
}

type simGatherer struct {
	i            int
	zone         Zone
	version      Version
	incarnation  Incarnation
	dead         bool
	suspended    bool
	partitioned  bool // no message from or to it arrives
	joined       bool
	readyAt      Time // end of its warm-up
	drainer      *Drainer
	permittedOut bool // from a permitted drain until it has warmed up again
	draining     bool // it will exit
	renewAt      Time
	pollAt       Time
	lastOrder    Epoch // last order that its hook carried out
	wrongVersion bool
	hookHangs    bool
	counts       RequestCounts
}

func newFleetModel(t interface{ Fatalf(string, ...any) }, seed uint64, n, zones, most, inZone int, loss float64) *fleetModel {
	w := &fleetModel{t: t, rand: rand.New(rand.NewPCG(seed, 1)), now: 1000, maxOut: most, zones: zones, maxOutPerZone: inZone, loss: loss}
	l := Limits{MaxGatherers: most, MaxGatherersPerZone: inZone, LeaseDuration: 3000}
	w.leader, w.follower = New(l), New(l)
	for i := range n {
		w.gatherers = append(w.gatherers, &simGatherer{i: i, zone: Zone(fmt.Sprint("z", i%zones)), version: "v1", incarnation: 1,
			drainer: NewDrainer(drainTimeout), renewAt: w.now})
	}
	return w
}

// send sends a message, which may be lost, duplicated or reordered.
func (w *fleetModel) send(do func()) {
	for range 2 {
		if w.rand.Float64() >= w.loss {
			w.messages = append(w.messages, message{w.now + Time(w.rand.IntN(40)), do})
		}
		if w.rand.Float64() >= w.loss {
			return
		}
	}
}

// propose appends a command to the log and applies it, as the leader does, and calls done with the result.
func (w *fleetModel) propose(c Command, done func(Result, error)) {
	c.At = w.now
	w.log = append(w.log, c)
	r, err := w.leader.Apply(Epoch(len(w.log)), c)
	if n := w.newPermits(); n > 0 && c.RollBack == nil { // a rollback renews permits that were granted already
		w.grants += n
		w.checkGrant()
	}
	if w.rand.IntN(4*len(w.gatherers)) == 0 {
		w.catchUp()
	}
	if done != nil {
		done(r, err)
	}
}

// newPermits returns how many permits the last command granted.
func (w *fleetModel) newPermits() (n int) {
	for _, m := range w.leader.Members {
		if m.Permit != nil && m.Permit.Epoch == w.leader.Applied {
			n++
		}
	}
	return n
}

// checkGrant checks a grant against the limits, by a reading of the members of its own.
func (w *fleetModel) checkGrant() {
	out, zone := 0, map[Zone]int{}
	for _, m := range w.leader.Members {
		if m.Permit != nil || m.LeaseEnd <= w.leader.Now || m.Status != Ready {
			out++
			zone[m.Zone]++
		}
	}
	if out > w.maxOut {
		w.t.Fatalf("at %d a permit was granted with %d out, at most %d may be", w.now, out, w.maxOut)
	}
	for _, m := range w.leader.Members {
		if m.Permit != nil && m.Permit.Epoch == w.leader.Applied && w.maxOutPerZone > 0 && zone[m.Zone] > w.maxOutPerZone {
			w.t.Fatalf("at %d a permit was granted with %d out in %s, at most %d may be", w.now, zone[m.Zone], m.Zone, w.maxOutPerZone)
		}
	}
}

// catchUp applies the rest of the log on the follower, at times from a snapshot, and compares the two states.
func (w *fleetModel) catchUp() {
	if w.rand.IntN(3) == 0 {
		b, err := w.follower.Snapshot()
		if err != nil {
			w.t.Fatalf("snapshot: %v", err)
		}
		if w.follower, err = Restore(b); err != nil {
			w.t.Fatalf("restore: %v", err)
		}
	}
	for n := w.follower.Applied; int(n) < len(w.log); n++ {
		b, err := w.log[n].Encode()
		if err != nil {
			w.t.Fatalf("encode: %v", err)
		}
		c, err := Decode(b)
		if err != nil {
			w.t.Fatalf("decode: %v", err)
		}
		w.follower.Apply(n+1, c)
		w.follower.Apply(n+1, c) // a duplicate
	}
	a, _ := w.leader.Snapshot()
	b, _ := w.follower.Snapshot()
	if !bytes.Equal(a, b) {
		w.t.Fatalf("two replicas with the same log differ:\n%s\n%s", a, b)
	}
}

// checkLimits checks who is really out with a permit against the limits.
func (w *fleetModel) checkLimits() {
	out, zone := 0, map[Zone]int{}
	for _, g := range w.gatherers {
		if g.permittedOut {
			out++
			zone[g.zone]++
		}
	}
	if out > w.maxOut {
		w.t.Fatalf("at %d %d gatherers are out with a permit, at most %d may be", w.now, out, w.maxOut)
	}
	for z, n := range zone {
		if w.maxOutPerZone > 0 && n > w.maxOutPerZone {
			w.t.Fatalf("at %d %d gatherers of %s are out with a permit, at most %d may be", w.now, n, z, w.maxOutPerZone)
		}
	}
}

// recordDrain records that a gatherer goes out with a permit.
func (w *fleetModel) recordDrain(g *simGatherer) {
	g.permittedOut, g.draining = true, true
	w.permittedDrains++
	w.checkLimits()
}

func (w *fleetModel) start(g *simGatherer, v Version) {
	g.incarnation++
	g.version, g.dead, g.suspended, g.joined, g.draining, g.drainer = v, false, false, false, false, NewDrainer(drainTimeout)
	g.readyAt, g.renewAt, g.counts = w.now+Time(200+w.rand.IntN(800)), w.now, RequestCounts{}
}

// runGatherer does what is due for a gatherer. A reply counts only for the incarnation that asked.
func (w *fleetModel) runGatherer(g *simGatherer) {
	if g.dead || g.suspended {
		return
	}
	run, name := g.incarnation, memberName(g.i)
	if w.now >= g.renewAt {
		g.renewAt = w.now + 1000
		if !g.joined {
			w.proposeFrom(g, Command{Join: &Join{Name: name, Zone: g.zone, Version: g.version, Incarnation: run}}, func(_ Result, err error) {
				g.joined = g.joined || err == nil && g.incarnation == run
			})
		} else {
			status := Ready
			if g.draining {
				status = Draining
			} else if w.now < g.readyAt {
				status = WarmingUp
			}
			g.counts.Answered += 100
			if status == Ready {
				g.permittedOut = false // it is ready; the state learns of it from this message at the earliest
			}
			w.proposeFrom(g, Command{Renew: &Renew{Name: name, Incarnation: run, Status: status, Counts: g.counts}}, nil)
		}
	}
	if w.now >= g.pollAt {
		w.act(g, g.drainer.Poll(w.now))
	}
}

func (w *fleetModel) proposeFrom(g *simGatherer, c Command, done func(Result, error)) {
	if g.partitioned {
		return
	}
	w.send(func() {
		w.propose(c, func(r Result, err error) {
			if done != nil && !g.partitioned {
				w.send(func() { done(r, err) })
			}
		})
	})
}

func (w *fleetModel) act(g *simGatherer, h DrainAction) {
	g.pollAt = w.now + 50
	run := g.incarnation
	if h.RequestPermit {
		request := &RequestPermit{Name: memberName(g.i), Incarnation: run, Reason: "shutdown requested"}
		w.proposeFrom(g, Command{RequestPermit: request}, func(r Result, _ error) {
			// A suspended process reads the reply when it is resumed.
			var read func()
			read = func() {
				if g.incarnation != run || g.dead {
					return
				}
				if g.suspended {
					w.messages = append(w.messages, message{w.now + 100, read})
					return
				}
				if r.Permit != nil && r.Permit.Release != "" {
					return // a release restarts it anyway
				}
				w.act(g, g.drainer.HandleReply(w.now, r.Permit))
			}
			read()
		})
	}
	if h.Drain {
		if g.draining = true; h.Permitted {
			w.recordDrain(g)
		}
		w.messages = append(w.messages, message{w.now + 500, func() {
			if g.incarnation == run {
				g.dead = true
			}
		}})
	}
}

// hooks carries out the leader's orders, each once by its epoch.
func (w *fleetModel) hooks() {
	for _, o := range w.leader.Orders() {
		g := w.gatherers[slices.IndexFunc(w.gatherers, func(g *simGatherer) bool { return memberName(g.i) == o.Name })]
		if o.Epoch == g.lastOrder || g.hookHangs {
			continue
		}
		g.lastOrder = o.Epoch
		w.recordDrain(g)
		v := o.Version
		if g.wrongVersion {
			v = "v9"
		}
		w.messages = append(w.messages, message{w.now + Time(300+w.rand.IntN(400)), func() { w.start(g, v) }})
	}
}

func (w *fleetModel) advance(d Duration) {
	for end := w.now + Time(d); w.now < end; {
		w.now += 10
		var due []message
		w.messages = slices.DeleteFunc(w.messages, func(x message) bool {
			if x.at <= w.now {
				due = append(due, x)
			}
			return x.at <= w.now
		})
		slices.SortStableFunc(due, func(a, b message) int { return int(a.at - b.at) })
		for _, x := range due {
			x.do()
		}
		for _, g := range w.gatherers {
			w.runGatherer(g)
		}
		if w.now%200 == 0 {
			w.propose(Command{AdvanceTime: &AdvanceTime{}}, nil)
			w.hooks()
		}
	}
}
