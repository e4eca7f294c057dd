package idempotency

import (
	"fmt"
	"strings"
	"testing"
)

// A model of a gatherer with a disk, one server, and a client that asks the same thing again and again: all interleavings of
// arrivals, writes that become durable, sends, runs, answers, give-ups, repeats and crashes, to a depth. The table is the real
// one. Two things must never be: the part runs twice; or the client is told that asking again is harmless while the part of that
// search has run or may still run.

// world is a state of the model.
type world struct {
	disk            string   // the value on the disk; "" = none
	written         []string // begun writes that are not durable yet, in order; "-" = taken out
	table           *Table
	up              bool
	awaitingIntent  bool // a search waits for its intent to be durable
	mayDispatch     bool // parts may be sent
	dispatched      bool // by this process, for the search that is under way
	inFlight        int  // on their way to the server; they outlive the gatherer
	results         int  // on their way back to this process
	runs            int
	arrivals        int // the client's
	crashes         int
	toldSafeToRetry bool // the client was told so of its last try
	trace           []string
}

// brokenRules says which order the gatherer keeps; the second is broken on purpose.
type brokenRules struct{ dispatchBeforeDurable, shedAfterDispatch bool }

const key, digest = Key("k"), Digest(5)

func (w *world) clone() *world {
	c := *w
	c.written = append([]string(nil), w.written...)
	c.trace = append([]string(nil), w.trace...)
	c.table = New(w.table.config)
	c.table.now = w.table.now
	for _, e := range w.table.entries {
		copied := *e
		c.table.add(&copied)
	}
	return &c
}

// id tells states apart; the trace is no part of them.
func (w *world) id() string {
	st := stage(0)
	if e := w.table.entries[key]; e != nil {
		st = e.stage
	}
	return fmt.Sprint(w.disk, w.written, st, w.up, w.awaitingIntent, w.mayDispatch, w.dispatched, w.inFlight, w.results, w.runs, w.arrivals, w.crashes, w.toldSafeToRetry)
}

func (w *world) write(changes []Change) {
	for _, c := range changes {
		if c.Value == nil {
			w.written = append(w.written, "-")
		} else {
			w.written = append(w.written, string(c.Value))
		}
	}
}

func (w *world) endRequest() { w.awaitingIntent, w.mayDispatch, w.dispatched = false, false, false }

// steps are all that may happen next.
func (w *world) steps(r brokenRules, asks, crashes int) (out []*world) {
	step := func(what string, do func(c *world)) {
		c := w.clone()
		c.trace = append(c.trace, what)
		do(c)
		out = append(out, c)
	}
	if w.up && w.arrivals < asks && !w.mayDispatch && !w.awaitingIntent {
		step("the client asks", func(c *world) {
			c.arrivals++
			c.toldSafeToRetry = false
			v, _, changes := c.table.Arrive(Time(c.arrivals), key, digest, 1000)
			c.write(changes)
			c.trace[len(c.trace)-1] += fmt.Sprintf(" (verdict %d)", v)
			if v == WriteIntent {
				c.awaitingIntent = true
				if r.dispatchBeforeDurable {
					c.mayDispatch = true
				}
			}
			if v == TableFull {
				c.toldSafeToRetry = true
			}
		})
	}
	if len(w.written) > 0 {
		step("a write is durable", func(c *world) {
			if c.disk = c.written[0]; c.disk == "-" {
				c.disk = ""
			}
			c.written = c.written[1:]
			if c.up && c.awaitingIntent && len(c.written) == 0 {
				c.awaitingIntent = false
				c.mayDispatch = c.table.ConfirmIntent(key)
			}
		})
	}
	if w.up && w.awaitingIntent && !w.dispatched {
		step("the write fails: shed", func(c *world) {
			c.written = nil // a write that fails is taken back
			c.table.Discard(key)
			c.endRequest()
			c.toldSafeToRetry = true
		})
	}
	if w.up && w.mayDispatch && !w.dispatched {
		step("the part is sent", func(c *world) { c.dispatched = true; c.inFlight++ })
		step("no server may be had: shed", func(c *world) {
			c.write(c.table.Discard(key))
			c.endRequest()
			c.toldSafeToRetry = true
		})
	}
	if w.inFlight > 0 {
		step("the part runs", func(c *world) {
			c.inFlight--
			c.runs++
			if c.up && c.dispatched {
				c.results++
			}
		})
	}
	if w.up && w.dispatched && w.results > 0 {
		step("its outcome comes: answered", func(c *world) {
			c.results--
			c.table.ConfirmIntent(key)
			c.write(c.table.RecordAnswer(key, []byte("x")))
			c.endRequest()
		})
	}
	if w.up && w.dispatched {
		step("given up", func(c *world) {
			c.table.ConfirmIntent(key)
			c.write(c.table.RecordUnknown(key))
			c.endRequest()
			c.results = 0
		})
		if r.shedAfterDispatch {
			step("given up: shed", func(c *world) {
				c.write(c.table.Discard(key))
				c.endRequest()
				c.results = 0
				c.toldSafeToRetry = true
			})
		}
	}
	if w.up && w.crashes < crashes {
		for lasting := 0; lasting <= len(w.written); lasting++ {
			step(fmt.Sprintf("crash, %d of %d writes on the disk", lasting, len(w.written)), func(c *world) {
				for _, v := range c.written[:lasting] {
					if c.disk = v; v == "-" {
						c.disk = ""
					}
				}
				c.written, c.up, c.results = nil, false, 0
				c.crashes++
				c.endRequest()
			})
		}
	}
	if !w.up {
		step("restart", func(c *world) {
			c.table = New(c.table.config)
			if c.disk != "" {
				c.table.Restore(key, []byte(c.disk))
			}
			c.up = true
		})
	}
	return out
}

// violation says what must never be, and is.
func (w *world) violation() string {
	switch {
	case w.runs > 1:
		return "the part ran twice"
	case w.toldSafeToRetry && w.runs+w.inFlight > 0:
		return "the client was told that asking again is harmless, and the part ran or may still run"
	}
	return ""
}

// explore looks at all states within a depth; it gives the trace to the first wrong one.
func explore(r brokenRules, depth, asks, crashes int) (states int, trace []string, wrong string) {
	seen := map[string]bool{}
	front := []*world{{table: New(Config{Retention: 1 << 40, MaxRequests: 4}), up: true}}
	for range depth {
		var next []*world
		for _, w := range front {
			for _, c := range w.steps(r, asks, crashes) {
				if bad := c.violation(); bad != "" {
					return len(seen), c.trace, bad
				}
				if id := c.id(); !seen[id] {
					seen[id] = true
					next = append(next, c)
				}
			}
		}
		front = next
	}
	return len(seen), nil, ""
}

func TestModelNeverRunsTwiceNorMisreports(t *testing.T) {
	states, trace, wrong := explore(brokenRules{}, 24, 4, 3)
	if wrong != "" {
		t.Fatalf("%s:\n%s", wrong, strings.Join(trace, "\n"))
	}
	if states < 500 {
		t.Errorf("only %d states were looked at", states)
	}
	t.Logf("%d states", states)
}

// The model finds what it is for.
func TestModelDetectsBrokenOrder(t *testing.T) {
	for what, r := range map[string]brokenRules{"intent after send": {dispatchBeforeDurable: true}, "shed after send": {shedAfterDispatch: true}} {
		_, trace, wrong := explore(r, 24, 4, 3)
		if wrong == "" {
			t.Errorf("%s: not found", what)
			continue
		}
		t.Logf("%s: %s after %d steps: %s", what, wrong, len(trace), strings.Join(trace, "; "))
	}
}
