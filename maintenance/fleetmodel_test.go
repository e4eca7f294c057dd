package maintenance

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
)

// fleetModel simulates a fleet in one process: the state of the leader, the state of a follower that applies the same
// log later, gatherers with leases and permits, and hooks that carry out releases. Messages between them are lost,
// duplicated and reordered. Which gatherers are out is determined from the behaviour of the gatherers, not from the
// replicated state.
type fleetModel struct {
	t               interface{ Fatalf(string, ...any) }
	rand            *rand.Rand
	now             Time
	leader          *State
	log             []Command
	follower        *State // applies the log later, sometimes after a restore from its snapshot
	gatherers       []*simGatherer
	messages        []message
	loss            float64 // probability that a message is lost, and that it is sent twice
	maxOut          int
	zones           int
	maxOutPerZone   int
	grants          int
	permittedDrains int
}

const drainTimeout Duration = 4000

// message is a message in transit: its arrival time and the effect of its arrival.
type message struct {
	at      Time
	deliver func()
}

// simGatherer is a simulated gatherer.
type simGatherer struct {
	i            int
	zone         Zone
	version      Version
	incarnation  Incarnation
	dead         bool
	suspended    bool
	partitioned  bool // messages from and to it are lost
	joined       bool
	readyAt      Time // end of its warm-up
	drainer      *Drainer
	permittedOut bool // true from a drain with a permit until it is ready again
	draining     bool // it drains and will then exit
	renewAt      Time
	pollAt       Time
	lastOrder    Epoch // epoch of the last order that its hook carried out
	wrongVersion bool
	hookHangs    bool
	counts       RequestCounts
}

func newFleetModel(t interface{ Fatalf(string, ...any) }, seed uint64, n, zones, maxOut, maxOutPerZone int, loss float64) *fleetModel {
	f := &fleetModel{t: t, rand: rand.New(rand.NewPCG(seed, 1)), now: 1000, maxOut: maxOut, zones: zones, maxOutPerZone: maxOutPerZone, loss: loss}
	l := Limits{MaxGatherers: maxOut, MaxGatherersPerZone: maxOutPerZone, LeaseDuration: 3000}
	f.leader, f.follower = New(l), New(l)
	for i := range n {
		f.gatherers = append(f.gatherers, &simGatherer{i: i, zone: Zone(fmt.Sprint("z", i%zones)), version: "v1", incarnation: 1,
			drainer: NewDrainer(drainTimeout), renewAt: f.now})
	}
	return f
}

// send sends a message, which may be lost, duplicated or reordered.
func (f *fleetModel) send(deliver func()) {
	for range 2 {
		if f.rand.Float64() >= f.loss {
			f.messages = append(f.messages, message{f.now + Time(f.rand.IntN(40)), deliver})
		}
		if f.rand.Float64() >= f.loss {
			return
		}
	}
}

// propose appends a command to the log and applies it, as the leader does, and calls done with the result.
func (f *fleetModel) propose(c Command, done func(Result, error)) {
	c.At = f.now
	f.log = append(f.log, c)
	r, err := f.leader.Apply(Epoch(len(f.log)), c)
	if n := f.newPermits(); n > 0 && c.RollBack == nil { // a rollback gives existing permits a new epoch
		f.grants += n
		f.checkGrant()
	}
	if f.rand.IntN(4*len(f.gatherers)) == 0 {
		f.catchUp()
	}
	if done != nil {
		done(r, err)
	}
}

// newPermits returns the number of permits that the last command granted.
func (f *fleetModel) newPermits() (n int) {
	for _, m := range f.leader.Members {
		if m.Permit != nil && m.Permit.Epoch == f.leader.Applied {
			n++
		}
	}
	return n
}

// checkGrant checks a grant against the limits. It counts the members that are out independently of the code under test.
func (f *fleetModel) checkGrant() {
	out, outInZone := 0, map[Zone]int{}
	for _, m := range f.leader.Members {
		if m.Permit != nil || m.LeaseEnd <= f.leader.Now || m.Status != Ready {
			out++
			outInZone[m.Zone]++
		}
	}
	if out > f.maxOut {
		f.t.Fatalf("at %d a permit was granted with %d out, at most %d may be", f.now, out, f.maxOut)
	}
	for _, m := range f.leader.Members {
		if m.Permit != nil && m.Permit.Epoch == f.leader.Applied && f.maxOutPerZone > 0 && outInZone[m.Zone] > f.maxOutPerZone {
			f.t.Fatalf("at %d a permit was granted with %d out in %s, at most %d may be", f.now, outInZone[m.Zone], m.Zone, f.maxOutPerZone)
		}
	}
}

// catchUp applies the rest of the log to the follower, sometimes after restoring it from its snapshot, and checks that
// the leader and the follower have the same state.
func (f *fleetModel) catchUp() {
	if f.rand.IntN(3) == 0 {
		b, err := f.follower.Snapshot()
		if err != nil {
			f.t.Fatalf("snapshot: %v", err)
		}
		if f.follower, err = Restore(b); err != nil {
			f.t.Fatalf("restore: %v", err)
		}
	}
	for n := f.follower.Applied; int(n) < len(f.log); n++ {
		b, err := f.log[n].Encode()
		if err != nil {
			f.t.Fatalf("encode: %v", err)
		}
		c, err := Decode(b)
		if err != nil {
			f.t.Fatalf("decode: %v", err)
		}
		f.follower.Apply(n+1, c)
		f.follower.Apply(n+1, c) // a duplicate
	}
	a, _ := f.leader.Snapshot()
	b, _ := f.follower.Snapshot()
	if !bytes.Equal(a, b) {
		f.t.Fatalf("two replicas that applied the same log have different states:\n%s\n%s", a, b)
	}
}

// checkLimits checks the number of gatherers that are actually out with a permit against the limits.
func (f *fleetModel) checkLimits() {
	out, outInZone := 0, map[Zone]int{}
	for _, g := range f.gatherers {
		if g.permittedOut {
			out++
			outInZone[g.zone]++
		}
	}
	if out > f.maxOut {
		f.t.Fatalf("at %d %d gatherers are out with a permit, at most %d may be", f.now, out, f.maxOut)
	}
	for z, n := range outInZone {
		if f.maxOutPerZone > 0 && n > f.maxOutPerZone {
			f.t.Fatalf("at %d %d gatherers of %s are out with a permit, at most %d may be", f.now, n, z, f.maxOutPerZone)
		}
	}
}

// recordDrain records that a gatherer starts to drain with a permit.
func (f *fleetModel) recordDrain(g *simGatherer) {
	g.permittedOut, g.draining = true, true
	f.permittedDrains++
	f.checkLimits()
}

// start starts a new incarnation of a gatherer.
func (f *fleetModel) start(g *simGatherer, v Version) {
	g.incarnation++
	g.version, g.dead, g.suspended, g.joined, g.draining, g.drainer = v, false, false, false, false, NewDrainer(drainTimeout)
	g.readyAt, g.renewAt, g.counts = f.now+Time(200+f.rand.IntN(800)), f.now, RequestCounts{}
}

// runGatherer performs the actions of a gatherer that are due. A reply is accepted only by the incarnation that sent
// the request.
func (f *fleetModel) runGatherer(g *simGatherer) {
	if g.dead || g.suspended {
		return
	}
	incarnation, name := g.incarnation, memberName(g.i)
	if f.now >= g.renewAt {
		g.renewAt = f.now + 1000
		if !g.joined {
			f.proposeFrom(g, Command{Join: &Join{Name: name, Zone: g.zone, Version: g.version, Incarnation: incarnation}}, func(_ Result, err error) {
				g.joined = g.joined || err == nil && g.incarnation == incarnation
			})
		} else {
			status := Ready
			if g.draining {
				status = Draining
			} else if f.now < g.readyAt {
				status = WarmingUp
			}
			g.counts.Answered += 100
			if status == Ready {
				g.permittedOut = false // it is ready, and the state is updated by this message at the earliest
			}
			f.proposeFrom(g, Command{Renew: &Renew{Name: name, Incarnation: incarnation, Status: status, Counts: g.counts}}, nil)
		}
	}
	if f.now >= g.pollAt {
		f.act(g, g.drainer.Poll(f.now))
	}
}

// proposeFrom sends a command from a gatherer to the leader, and the result back to done.
func (f *fleetModel) proposeFrom(g *simGatherer, c Command, done func(Result, error)) {
	if g.partitioned {
		return
	}
	f.send(func() {
		f.propose(c, func(r Result, err error) {
			if done != nil && !g.partitioned {
				f.send(func() { done(r, err) })
			}
		})
	})
}

// act performs an action of a gatherer's drainer.
func (f *fleetModel) act(g *simGatherer, action DrainAction) {
	g.pollAt = f.now + 50
	incarnation := g.incarnation
	if action.RequestPermit {
		request := &RequestPermit{Name: memberName(g.i), Incarnation: incarnation, Reason: "shutdown requested"}
		f.proposeFrom(g, Command{RequestPermit: request}, func(r Result, _ error) {
			// A suspended process reads the reply after it has been resumed.
			var readReply func()
			readReply = func() {
				if g.incarnation != incarnation || g.dead {
					return
				}
				if g.suspended {
					f.messages = append(f.messages, message{f.now + 100, readReply})
					return
				}
				if r.Permit != nil && r.Permit.Release != "" {
					return // the release restarts it, so it does not act on the permit
				}
				f.act(g, g.drainer.HandleReply(f.now, r.Permit))
			}
			readReply()
		})
	}
	if action.Drain {
		if g.draining = true; action.Permitted {
			f.recordDrain(g)
		}
		f.messages = append(f.messages, message{f.now + 500, func() {
			if g.incarnation == incarnation {
				g.dead = true
			}
		}})
	}
}

// runHooks carries out the leader's orders. Each gatherer's hook recognises a repeated order by its epoch and ignores it.
func (f *fleetModel) runHooks() {
	for _, o := range f.leader.Orders() {
		g := f.gatherers[slices.IndexFunc(f.gatherers, func(g *simGatherer) bool { return memberName(g.i) == o.Name })]
		if o.Epoch == g.lastOrder || g.hookHangs {
			continue
		}
		g.lastOrder = o.Epoch
		f.recordDrain(g)
		v := o.Version
		if g.wrongVersion {
			v = "v9"
		}
		f.messages = append(f.messages, message{f.now + Time(300+f.rand.IntN(400)), func() { f.start(g, v) }})
	}
}

// advance advances the simulated time in steps of 10 ms.
func (f *fleetModel) advance(d Duration) {
	for end := f.now + Time(d); f.now < end; {
		f.now += 10
		var due []message
		f.messages = slices.DeleteFunc(f.messages, func(m message) bool {
			if m.at <= f.now {
				due = append(due, m)
			}
			return m.at <= f.now
		})
		slices.SortStableFunc(due, func(a, b message) int { return int(a.at - b.at) })
		for _, m := range due {
			m.deliver()
		}
		for _, g := range f.gatherers {
			f.runGatherer(g)
		}
		if f.now%200 == 0 {
			f.propose(Command{AdvanceTime: &AdvanceTime{}}, nil)
			f.runHooks()
		}
	}
}
