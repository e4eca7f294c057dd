package maintenance

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	err := errors.Join(flag.Set("rapid.seed", "20261201"), flag.Set("rapid.checks", "120"), flag.Set("rapid.nofailfile", "true"))
	if err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// world is a fleet in one process: the machine that leads, others that apply the same log later, gatherers that hold leases and
// permits, and hooks that carry out releases. Words between them are lost, told twice and overtaken. What is truly out is counted
// here, by what the gatherers do and not by what the machine says.
type world struct {
	t               interface{ Fatalf(string, ...any) }
	rand            *rand.Rand
	now             Time
	leader          *State
	log             []Command
	follower        *State // applies the log later, at times from a snapshot
	gatherers       []*simGatherer
	messages        []message
	loss            float64 // of words; as many come twice
	most            int
	zones           int
	inZone          int
	grants          int
	permittedDrains int
}

// message is on its way: it does something when it arrives.
type message struct {
	at Time
	do func()
}

type simGatherer struct {
	i            int
	zone         Zone
	version      Version
	run          Incarnation
	dead         bool
	frozen       bool
	partitioned  bool // no word from or to it arrives
	joined       bool
	readyAt      Time // when this run is warm
	drainer      *Drainer
	out          bool // by agreement, from the drain's begin until a run of it is warm
	draining     bool // it drained and will end
	renewAt      Time
	pollAt       Time
	lastOrder    Epoch // the last order carried out
	wrongVersion bool
	hookHangs    bool
	counts       RequestCounts
}

func newWorld(t interface{ Fatalf(string, ...any) }, seed uint64, n, zones, most, inZone int, loss float64) *world {
	w := &world{t: t, rand: rand.New(rand.NewPCG(seed, 1)), now: 1000, most: most, zones: zones, inZone: inZone, loss: loss}
	l := Limits{MaxGatherers: most, MaxGatherersPerZone: inZone, LeaseDuration: 3000}
	w.leader, w.follower = New(l), New(l)
	for i := range n {
		w.gatherers = append(w.gatherers, &simGatherer{i: i, zone: Zone(fmt.Sprint("z", i%zones)), version: "v1", run: 1, drainer: NewDrainer(4000), renewAt: w.now})
	}
	return w
}

// send sends a word; it may be lost, come twice, or be overtaken.
func (w *world) send(do func()) {
	for range 2 {
		if w.rand.Float64() >= w.loss {
			w.messages = append(w.messages, message{w.now + Time(w.rand.IntN(40)), do})
		}
		if w.rand.Float64() >= w.loss {
			return
		}
	}
}

// propose puts a command into the log and applies it, as the leading steward does. done is told the result.
func (w *world) propose(c Command, done func(Result, error)) {
	c.At = w.now
	w.log = append(w.log, c)
	r, err := w.leader.Apply(Epoch(len(w.log)), c)
	if n := w.newPermits(); n > 0 && c.RollBack == nil { // the way back renews what is out already
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

// newPermits is how many permits the last command brought.
func (w *world) newPermits() (n int) {
	for _, m := range w.leader.Members {
		if m.Permit != nil && m.Permit.Epoch == w.leader.Applied {
			n++
		}
	}
	return n
}

// checkGrant holds a grant against the limits, by its own reading of the members.
func (w *world) checkGrant() {
	out, zone := 0, map[Zone]int{}
	for _, m := range w.leader.Members {
		if m.Permit != nil || m.LeaseEnd <= w.leader.Now || m.Status != Ready {
			out++
			zone[m.Zone]++
		}
	}
	if out > w.most {
		w.t.Fatalf("at %d a permit was granted with %d out, at most %d may be", w.now, out, w.most)
	}
	for _, m := range w.leader.Members {
		if m.Permit != nil && m.Permit.Epoch == w.leader.Applied && w.inZone > 0 && zone[m.Zone] > w.inZone {
			w.t.Fatalf("at %d a permit was granted with %d out in %s, at most %d may be", w.now, zone[m.Zone], m.Zone, w.inZone)
		}
	}
}

// catchUp lets the other machine catch up, at times from a snapshot, and compares the two.
func (w *world) catchUp() {
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
		w.follower.Apply(n+1, c) // told twice
	}
	a, _ := w.leader.Snapshot()
	b, _ := w.follower.Snapshot()
	if !bytes.Equal(a, b) {
		w.t.Fatalf("two machines with the same log differ:\n%s\n%s", a, b)
	}
}

// checkLimits counts who is out by agreement.
func (w *world) checkLimits() {
	out, zone := 0, map[Zone]int{}
	for _, g := range w.gatherers {
		if g.out {
			out++
			zone[g.zone]++
		}
	}
	if out > w.most {
		w.t.Fatalf("at %d %d gatherers are out by agreement, at most %d may be", w.now, out, w.most)
	}
	for z, n := range zone {
		if w.inZone > 0 && n > w.inZone {
			w.t.Fatalf("at %d %d gatherers of %s are out by agreement, at most %d may be", w.now, n, z, w.inZone)
		}
	}
}

// recordDrain notes that a gatherer is out.
func (w *world) recordDrain(g *simGatherer) {
	g.out, g.draining = true, true
	w.permittedDrains++
	w.checkLimits()
}

func (w *world) start(g *simGatherer, v Version) {
	g.run++
	g.version, g.dead, g.frozen, g.joined, g.draining, g.drainer = v, false, false, false, false, NewDrainer(4000)
	g.readyAt, g.renewAt, g.counts = w.now+Time(200+w.rand.IntN(800)), w.now, RequestCounts{}
}

// runGatherer lets a gatherer do what is due. run is checked where an answer comes: it is for one run alone.
func (w *world) runGatherer(g *simGatherer) {
	if g.dead || g.frozen {
		return
	}
	run, name := g.run, memberName(g.i)
	if w.now >= g.renewAt {
		g.renewAt = w.now + 1000
		if !g.joined {
			w.proposeFrom(g, Command{Join: &Join{Name: name, Zone: g.zone, Version: g.version, Incarnation: run}}, func(_ Result, err error) {
				g.joined = g.joined || err == nil && g.run == run
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
				g.out = false // a run of it is warm; the machine learns of it with this word at the earliest
			}
			w.proposeFrom(g, Command{Renew: &Renew{Name: name, Incarnation: run, Status: status, Counts: g.counts}}, nil)
		}
	}
	if w.now >= g.pollAt {
		w.act(g, g.drainer.Poll(w.now))
	}
}

func (w *world) proposeFrom(g *simGatherer, c Command, done func(Result, error)) {
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

func (w *world) act(g *simGatherer, h DrainAction) {
	g.pollAt = w.now + 50
	run := g.run
	if h.RequestPermit {
		w.proposeFrom(g, Command{RequestPermit: &RequestPermit{Name: memberName(g.i), Incarnation: run, Reason: "told to end"}}, func(r Result, err error) {
			// A frozen process reads the answer when it runs again.
			var late func()
			late = func() {
				if g.run != run || g.dead {
					return
				}
				if g.frozen {
					w.messages = append(w.messages, message{w.now + 100, late})
					return
				}
				if r.Permit != nil && r.Permit.Release != "" {
					return // a release is at it already, and will end it
				}
				w.act(g, g.drainer.HandleReply(w.now, r.Permit))
			}
			late()
		})
	}
	if h.Drain {
		if g.draining = true; h.Permitted {
			w.recordDrain(g)
		}
		w.messages = append(w.messages, message{w.now + 500, func() {
			if g.run == run {
				g.dead = true
			}
		}})
	}
}

// hooks carry out the orders of the machine that leads, each once by its epoch.
func (w *world) hooks() {
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

func (w *world) pass(d Duration) {
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

// fault does one thing that goes wrong, or that an operator does.
func (w *world) fault(kind, i int) {
	g := w.gatherers[i%len(w.gatherers)]
	switch kind {
	case 0:
		g.dead = true // killed
	case 1:
		g.frozen = !g.frozen
	case 2, 3:
		if !g.dead && !g.frozen {
			w.act(g, g.drainer.Begin(w.now))
		}
	case 4:
		if g.dead {
			w.start(g, g.version)
		}
	case 5:
		g.partitioned = !g.partitioned
	case 6:
		for _, g := range w.gatherers { // all told to end at once
			if !g.dead && !g.frozen {
				w.act(g, g.drainer.Begin(w.now))
			}
		}
	case 7:
		g.hookHangs = !g.hookHangs
	case 8:
		g.wrongVersion = !g.wrongVersion
	case 9, 10:
		p := Plan{ID: ReleaseID(fmt.Sprint("r", len(w.log))), Kind: Gatherer, From: "v1", To: "v2", Steps: []float64{0.3, 1}, Dwell: 1500, ChangeTimeout: 8000, MaxLoss: 0.1, MinRequests: 1}
		w.propose(Command{StartRelease: &p}, nil)
	case 11, 12, 13:
		for _, r := range w.leader.Releases {
			w.propose([]Command{{HaltRelease: &HaltRelease{ID: r.Plan.ID}}, {RollBack: &RollBack{ID: r.Plan.ID}}, {ResumeRelease: &ResumeRelease{ID: r.Plan.ID}}}[kind-11], nil)
		}
	case 14:
		if g.dead {
			w.propose(Command{Forget: &Forget{Name: memberName(g.i)}}, func(_ Result, err error) {
				g.out = g.out && err != nil // an operator's word that it will not come back
			})
		}
	}
}

// heal lets everything run again and what is under way come to its end.
func (w *world) heal() {
	w.loss = 0
	for _, g := range w.gatherers {
		g.partitioned, g.hookHangs, g.wrongVersion, g.frozen = false, false, false, false
	}
	for range 90 {
		for _, g := range w.gatherers {
			if g.dead {
				w.start(g, g.version)
			}
		}
		w.pass(1000)
	}
	w.catchUp()
	for _, r := range w.leader.Releases {
		if r.Phase == Running {
			b, _ := w.leader.Snapshot()
			w.t.Fatalf("release %s is stuck: %s", r.Plan.ID, b)
		}
		if r.Phase == Halted && r.HaltReason == "" {
			w.t.Fatalf("release %s halted without a reason", r.Plan.ID)
		}
	}
}

func TestModelNeverExceedsLimits(t *testing.T) {
	granted, agreed := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(t, "gatherers")
		zones := rapid.IntRange(1, 3).Draw(t, "zones")
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"), n, zones, rapid.IntRange(1, 3).Draw(t, "most"),
			rapid.IntRange(0, 2).Draw(t, "in zone"), rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "loss"))
		w.pass(3000)
		for range rapid.IntRange(1, 25).Draw(t, "faults") {
			w.fault(rapid.IntRange(0, 14).Draw(t, "fault"), rapid.IntRange(0, 8).Draw(t, "whom"))
			w.pass(Duration(rapid.SampledFrom([]int{0, 50, 700, 2500, 6000}).Draw(t, "for")))
		}
		w.heal()
		granted, agreed = granted+w.grants, agreed+w.permittedDrains
	})
	if granted < 100 || agreed < 100 {
		t.Errorf("only %d permits and %d agreed drains: the faults leave nothing to check", granted, agreed)
	}
	t.Logf("%d permits, %d agreed drains", granted, agreed)
}

// Three hundred gatherers: restarts of all at once, a zone cut off, a release that goes through all of it.
func TestModelWithThreeHundredGatherers(t *testing.T) {
	w := newWorld(t, 7, 300, 3, 15, 10, 0.02)
	w.pass(3000)
	w.fault(9, 0)
	w.pass(20000)
	w.fault(6, 0)
	w.pass(3000)
	for _, g := range w.gatherers {
		if g.zone == "z1" {
			g.partitioned = true
		}
	}
	w.pass(6000)
	w.heal()
	if w.grants < 30 || w.permittedDrains < 30 {
		t.Errorf("%d permits, %d agreed drains", w.grants, w.permittedDrains)
	}
	t.Logf("%d permits, %d agreed drains, %d commands", w.grants, w.permittedDrains, len(w.log))
}
