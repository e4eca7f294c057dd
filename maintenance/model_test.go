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
	t      interface{ Fatalf(string, ...any) }
	rand   *rand.Rand
	now    Moment
	lead   *State
	log    []Command
	lag    *State // applies the log later, at times from a snapshot
	g      []*gatherer
	words  []word
	loss   float64 // of words; as many come twice
	most   int
	zones  int
	inZone int
	grants int
	agreed int
}

// word is on its way: it does something when it arrives.
type word struct {
	at Moment
	do func()
}

type gatherer struct {
	i       int
	zone    Zone
	version Version
	run     Incarnation
	dead    bool
	frozen  bool
	cut     bool // no word from or to it arrives
	joined  bool
	ready   Moment // when this run is warm
	h       *Holder
	out     bool // by agreement, from the drain's begin until a run of it is warm
	ended   bool // it drained and will end
	renewAt Moment
	lookAt  Moment
	did     Epoch // the last order carried out
	lies    bool
	hangs   bool
	counted Figures
}

func newWorld(t interface{ Fatalf(string, ...any) }, seed uint64, n, zones, most, inZone int, loss float64) *world {
	w := &world{t: t, rand: rand.New(rand.NewPCG(seed, 1)), now: 1000, most: most, zones: zones, inZone: inZone, loss: loss}
	l := Limits{MostGatherers: most, MostGatherersZone: inZone, LeaseSpan: 3000}
	w.lead, w.lag = New(l), New(l)
	for i := range n {
		w.g = append(w.g, &gatherer{i: i, zone: Zone(fmt.Sprint("z", i%zones)), version: "v1", run: 1, h: NewHolder(4000), renewAt: w.now})
	}
	return w
}

// say sends a word; it may be lost, come twice, or be overtaken.
func (w *world) say(do func()) {
	for range 2 {
		if w.rand.Float64() >= w.loss {
			w.words = append(w.words, word{w.now + Moment(w.rand.IntN(40)), do})
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
	r, err := w.lead.Apply(Epoch(len(w.log)), c)
	if n := w.granted(); n > 0 && c.Back == nil { // the way back renews what is out already
		w.grants += n
		w.recount()
	}
	if w.rand.IntN(4*len(w.g)) == 0 {
		w.follow()
	}
	if done != nil {
		done(r, err)
	}
}

// granted is how many permits the last command brought.
func (w *world) granted() (n int) {
	for _, m := range w.lead.Members {
		if m.Permit != nil && m.Permit.Epoch == w.lead.Applied {
			n++
		}
	}
	return n
}

// recount holds a grant against the limits, by its own reading of the members.
func (w *world) recount() {
	out, zone := 0, map[Zone]int{}
	for _, m := range w.lead.Members {
		if m.Permit != nil || m.Until <= w.lead.Now || m.Status != Ready {
			out++
			zone[m.Zone]++
		}
	}
	if out > w.most {
		w.t.Fatalf("at %d a permit was granted with %d out, at most %d may be", w.now, out, w.most)
	}
	for _, m := range w.lead.Members {
		if m.Permit != nil && m.Permit.Epoch == w.lead.Applied && w.inZone > 0 && zone[m.Zone] > w.inZone {
			w.t.Fatalf("at %d a permit was granted with %d out in %s, at most %d may be", w.now, zone[m.Zone], m.Zone, w.inZone)
		}
	}
}

// follow lets the other machine catch up, at times from a snapshot, and compares the two.
func (w *world) follow() {
	if w.rand.IntN(3) == 0 {
		b, err := w.lag.Snapshot()
		if err != nil {
			w.t.Fatalf("snapshot: %v", err)
		}
		if w.lag, err = Restore(b); err != nil {
			w.t.Fatalf("restore: %v", err)
		}
	}
	for n := w.lag.Applied; int(n) < len(w.log); n++ {
		b, err := w.log[n].Encode()
		if err != nil {
			w.t.Fatalf("encode: %v", err)
		}
		c, err := Decode(b)
		if err != nil {
			w.t.Fatalf("decode: %v", err)
		}
		w.lag.Apply(n+1, c)
		w.lag.Apply(n+1, c) // told twice
	}
	a, _ := w.lead.Snapshot()
	b, _ := w.lag.Snapshot()
	if !bytes.Equal(a, b) {
		w.t.Fatalf("two machines with the same log differ:\n%s\n%s", a, b)
	}
}

// truth counts who is out by agreement.
func (w *world) truth() {
	out, zone := 0, map[Zone]int{}
	for _, g := range w.g {
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

// drains notes that a gatherer is out.
func (w *world) drains(g *gatherer) {
	g.out, g.ended = true, true
	w.agreed++
	w.truth()
}

func (w *world) start(g *gatherer, v Version) {
	g.run++
	g.version, g.dead, g.frozen, g.joined, g.ended, g.h = v, false, false, false, false, NewHolder(4000)
	g.ready, g.renewAt, g.counted = w.now+Moment(200+w.rand.IntN(800)), w.now, Figures{}
}

// live lets a gatherer do what is due. run is checked where an answer comes: it is for one run alone.
func (w *world) live(g *gatherer) {
	if g.dead || g.frozen {
		return
	}
	run, name := g.run, name(g.i)
	if w.now >= g.renewAt {
		g.renewAt = w.now + 1000
		if !g.joined {
			w.up(g, Command{Join: &Join{Name: name, Zone: g.zone, Version: g.version, Incarnation: run}}, func(_ Result, err error) {
				g.joined = g.joined || err == nil && g.run == run
			})
		} else {
			status := Ready
			if g.ended {
				status = Draining
			} else if w.now < g.ready {
				status = Cold
			}
			g.counted.Answered += 100
			if status == Ready {
				g.out = false // a run of it is warm; the machine learns of it with this word at the earliest
			}
			w.up(g, Command{Renew: &Renew{Name: name, Incarnation: run, Status: status, Figures: g.counted}}, nil)
		}
	}
	if w.now >= g.lookAt {
		w.hold(g, g.h.Look(w.now))
	}
}

func (w *world) up(g *gatherer, c Command, done func(Result, error)) {
	if g.cut {
		return
	}
	w.say(func() {
		w.propose(c, func(r Result, err error) {
			if done != nil && !g.cut {
				w.say(func() { done(r, err) })
			}
		})
	})
}

func (w *world) hold(g *gatherer, h Holding) {
	g.lookAt = w.now + 50
	run := g.run
	if h.Ask {
		w.up(g, Command{Ask: &Ask{Name: name(g.i), Incarnation: run, Why: "told to end"}}, func(r Result, err error) {
			// A frozen process reads the answer when it runs again.
			var late func()
			late = func() {
				if g.run != run || g.dead {
					return
				}
				if g.frozen {
					w.words = append(w.words, word{w.now + 100, late})
					return
				}
				if r.Permit != nil && r.Permit.Release != "" {
					return // a release is at it already, and will end it
				}
				w.hold(g, g.h.Answered(w.now, r.Permit))
			}
			late()
		})
	}
	if h.Drain {
		if g.ended = true; h.Agreed {
			w.drains(g)
		}
		w.words = append(w.words, word{w.now + 500, func() {
			if g.run == run {
				g.dead = true
			}
		}})
	}
}

// hooks carry out the orders of the machine that leads, each once by its epoch.
func (w *world) hooks() {
	for _, o := range w.lead.Orders() {
		g := w.g[slices.IndexFunc(w.g, func(g *gatherer) bool { return name(g.i) == o.Name })]
		if o.Epoch == g.did || g.hangs {
			continue
		}
		g.did = o.Epoch
		w.drains(g)
		v := o.Version
		if g.lies {
			v = "v9"
		}
		w.words = append(w.words, word{w.now + Moment(300+w.rand.IntN(400)), func() { w.start(g, v) }})
	}
}

func (w *world) pass(d Span) {
	for end := w.now + Moment(d); w.now < end; {
		w.now += 10
		var due []word
		w.words = slices.DeleteFunc(w.words, func(x word) bool {
			if x.at <= w.now {
				due = append(due, x)
			}
			return x.at <= w.now
		})
		slices.SortStableFunc(due, func(a, b word) int { return int(a.at - b.at) })
		for _, x := range due {
			x.do()
		}
		for _, g := range w.g {
			w.live(g)
		}
		if w.now%200 == 0 {
			w.propose(Command{Turn: &Turn{}}, nil)
			w.hooks()
		}
	}
}

// fault does one thing that goes wrong, or that an operator does.
func (w *world) fault(kind, i int) {
	g := w.g[i%len(w.g)]
	switch kind {
	case 0:
		g.dead = true // killed
	case 1:
		g.frozen = !g.frozen
	case 2, 3:
		if !g.dead && !g.frozen {
			w.hold(g, g.h.End(w.now))
		}
	case 4:
		if g.dead {
			w.start(g, g.version)
		}
	case 5:
		g.cut = !g.cut
	case 6:
		for _, g := range w.g { // all told to end at once
			if !g.dead && !g.frozen {
				w.hold(g, g.h.End(w.now))
			}
		}
	case 7:
		g.hangs = !g.hangs
	case 8:
		g.lies = !g.lies
	case 9, 10:
		p := Plan{ID: ReleaseID(fmt.Sprint("r", len(w.log))), Kind: Gatherer, From: "v1", To: "v2", Steps: []float64{0.3, 1}, Dwell: 1500, Within: 8000, MostLoss: 0.1, Least: 1}
		w.propose(Command{Start: &p}, nil)
	case 11, 12, 13:
		for _, r := range w.lead.Releases {
			w.propose([]Command{{Halt: &Halt{ID: r.Plan.ID}}, {Back: &Back{ID: r.Plan.ID}}, {Resume: &Resume{ID: r.Plan.ID}}}[kind-11], nil)
		}
	case 14:
		if g.dead {
			w.propose(Command{Forget: &Forget{Name: name(g.i)}}, func(_ Result, err error) {
				g.out = g.out && err != nil // an operator's word that it will not come back
			})
		}
	}
}

// heal lets everything run again and what is under way come to its end.
func (w *world) heal() {
	w.loss = 0
	for _, g := range w.g {
		g.cut, g.hangs, g.lies, g.frozen = false, false, false, false
	}
	for range 90 {
		for _, g := range w.g {
			if g.dead {
				w.start(g, g.version)
			}
		}
		w.pass(1000)
	}
	w.follow()
	for _, r := range w.lead.Releases {
		if r.Phase == Going {
			b, _ := w.lead.Snapshot()
			w.t.Fatalf("release %s is stuck: %s", r.Plan.ID, b)
		}
		if r.Phase == Halted && r.Why == "" {
			w.t.Fatalf("release %s halted without a reason", r.Plan.ID)
		}
	}
}

func TestNeverMoreOutThanTheLimit(t *testing.T) {
	granted, agreed := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(t, "gatherers")
		zones := rapid.IntRange(1, 3).Draw(t, "zones")
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"), n, zones, rapid.IntRange(1, 3).Draw(t, "most"),
			rapid.IntRange(0, 2).Draw(t, "in zone"), rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "loss"))
		w.pass(3000)
		for range rapid.IntRange(1, 25).Draw(t, "faults") {
			w.fault(rapid.IntRange(0, 14).Draw(t, "fault"), rapid.IntRange(0, 8).Draw(t, "whom"))
			w.pass(Span(rapid.SampledFrom([]int{0, 50, 700, 2500, 6000}).Draw(t, "for")))
		}
		w.heal()
		granted, agreed = granted+w.grants, agreed+w.agreed
	})
	if granted < 100 || agreed < 100 {
		t.Errorf("only %d permits and %d agreed drains: the faults leave nothing to check", granted, agreed)
	}
	t.Logf("%d permits, %d agreed drains", granted, agreed)
}

// Three hundred gatherers: restarts of all at once, a zone cut off, a release that goes through all of it.
func TestThreeHundredGatherers(t *testing.T) {
	w := newWorld(t, 7, 300, 3, 15, 10, 0.02)
	w.pass(3000)
	w.fault(9, 0)
	w.pass(20000)
	w.fault(6, 0)
	w.pass(3000)
	for _, g := range w.g {
		if g.zone == "z1" {
			g.cut = true
		}
	}
	w.pass(6000)
	w.heal()
	if w.grants < 30 || w.agreed < 30 {
		t.Errorf("%d permits, %d agreed drains", w.grants, w.agreed)
	}
	t.Logf("%d permits, %d agreed drains, %d commands", w.grants, w.agreed, len(w.log))
}
