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
	disk     string   // the value on the disk; "" = none
	written  []string // begun writes that are not durable yet, in order; "-" = taken out
	table    *Table
	up       bool
	waits    bool // a search waits for its intent to be durable
	permits  bool // parts may be sent
	sent     bool // by this process, for the search that is under way
	frames   int  // on their way to the server; they outlive the gatherer
	results  int  // on their way back to this process
	runs     int
	asks     int // the client's
	crashes  int
	harmless bool // the client was told so of its last try
	trace    []string
}

// rules says which order the gatherer keeps; the second is broken on purpose.
type rules struct{ sendBeforeDurable, shedAfterSend bool }

const key, digest = Key("k"), Digest(5)

func (w *world) clone() *world {
	c := *w
	c.written = append([]string(nil), w.written...)
	c.trace = append([]string(nil), w.trace...)
	c.table = New(w.table.f)
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
	return fmt.Sprint(w.disk, w.written, st, w.up, w.waits, w.permits, w.sent, w.frames, w.results, w.runs, w.asks, w.crashes, w.harmless)
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

func (w *world) ends() { w.waits, w.permits, w.sent = false, false, false }

// steps are all that may happen next.
func (w *world) steps(r rules, asks, crashes int) (out []*world) {
	step := func(what string, do func(c *world)) {
		c := w.clone()
		c.trace = append(c.trace, what)
		do(c)
		out = append(out, c)
	}
	if w.up && w.asks < asks && !w.permits && !w.waits {
		step("the client asks", func(c *world) {
			c.asks++
			c.harmless = false
			v, _, changes := c.table.Arrive(Time(c.asks), key, digest, 1000)
			c.write(changes)
			c.trace[len(c.trace)-1] += fmt.Sprintf(" (verdict %d)", v)
			if v == Write {
				c.waits = true
				if r.sendBeforeDurable {
					c.permits = true
				}
			}
			if v == Full {
				c.harmless = true
			}
		})
	}
	if len(w.written) > 0 {
		step("a write is durable", func(c *world) {
			if c.disk = c.written[0]; c.disk == "-" {
				c.disk = ""
			}
			c.written = c.written[1:]
			if c.up && c.waits && len(c.written) == 0 {
				c.waits = false
				c.permits = c.table.Durable(key)
			}
		})
	}
	if w.up && w.waits && !w.sent {
		step("the write fails: shed", func(c *world) {
			c.written = nil // a write that fails is taken back
			c.table.NeverRan(key)
			c.ends()
			c.harmless = true
		})
	}
	if w.up && w.permits && !w.sent {
		step("the part is sent", func(c *world) { c.sent = true; c.frames++ })
		step("no server may be had: shed", func(c *world) {
			c.write(c.table.NeverRan(key))
			c.ends()
			c.harmless = true
		})
	}
	if w.frames > 0 {
		step("the part runs", func(c *world) {
			c.frames--
			c.runs++
			if c.up && c.sent {
				c.results++
			}
		})
	}
	if w.up && w.sent && w.results > 0 {
		step("its outcome comes: answered", func(c *world) {
			c.results--
			c.table.Durable(key)
			c.write(c.table.Answered(key, []byte("x")))
			c.ends()
		})
	}
	if w.up && w.sent {
		step("given up", func(c *world) {
			c.table.Durable(key)
			c.write(c.table.Unknown(key))
			c.ends()
			c.results = 0
		})
		if r.shedAfterSend {
			step("given up: shed", func(c *world) {
				c.write(c.table.NeverRan(key))
				c.ends()
				c.results = 0
				c.harmless = true
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
				c.ends()
			})
		}
	}
	if !w.up {
		step("restart", func(c *world) {
			c.table = New(c.table.f)
			if c.disk != "" {
				c.table.Load(key, []byte(c.disk))
			}
			c.up = true
		})
	}
	return out
}

// wrong says what must never be, and is.
func (w *world) wrong() string {
	switch {
	case w.runs > 1:
		return "the part ran twice"
	case w.harmless && w.runs+w.frames > 0:
		return "the client was told that asking again is harmless, and the part ran or may still run"
	}
	return ""
}

// explore looks at all states within a depth; it gives the trace to the first wrong one.
func explore(r rules, depth, asks, crashes int) (states int, trace []string, wrong string) {
	seen := map[string]bool{}
	front := []*world{{table: New(Figures{Keep: 1 << 40, Most: 4}), up: true}}
	for range depth {
		var next []*world
		for _, w := range front {
			for _, c := range w.steps(r, asks, crashes) {
				if bad := c.wrong(); bad != "" {
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

func TestNoInterleavingRunsAPartTwiceOrCallsItHarmless(t *testing.T) {
	states, trace, wrong := explore(rules{}, 24, 4, 3)
	if wrong != "" {
		t.Fatalf("%s:\n%s", wrong, strings.Join(trace, "\n"))
	}
	if states < 500 {
		t.Errorf("only %d states were looked at", states)
	}
	t.Logf("%d states", states)
}

// The model finds what it is for.
func TestTheModelFindsABrokenOrder(t *testing.T) {
	for what, r := range map[string]rules{"intent after send": {sendBeforeDurable: true}, "shed after send": {shedAfterSend: true}} {
		_, trace, wrong := explore(r, 24, 4, 3)
		if wrong == "" {
			t.Errorf("%s: not found", what)
			continue
		}
		t.Logf("%s: %s after %d steps: %s", what, wrong, len(trace), strings.Join(trace, "; "))
	}
}
