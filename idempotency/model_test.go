package idempotency

import (
	"fmt"
	"strings"
	"testing"
)

// This file is a model checker: it explores all interleavings, up to a depth, of a gatherer with a disk, one server and a client that
// retries one request: arrivals, writes that become durable, dispatches, runs, answers, time-outs, retries and crashes. The table is
// the real one. Two properties must hold in every state: the shard call never runs twice, and the client is never told that a retry
// is safe while the shard call has run or may still run.

// world is one state of the model.
type world struct {
	disk            string   // the stored value; "" = none
	written         []string // pending writes, in order; "-" = a removal
	table           *Table
	up              bool
	awaitingIntent  bool // a request waits for its intent to be durable
	mayDispatch     bool // the shard call may be dispatched
	dispatched      bool // by this process, for the current request
	inFlight        int  // shard calls on their way to the server; they survive a crash of the gatherer
	results         int  // results on their way to this process
	runs            int
	arrivals        int // requests and retries of the client
	crashes         int
	toldSafeToRetry bool // the last request was answered so
	trace           []string
}

// brokenRules makes the gatherer violate the order of writes and dispatches on purpose.
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

// id identifies a state; the trace is not part of it.
func (w *world) id() string {
	st := stage(0)
	if e := w.table.entries[key]; e != nil {
		st = e.stage
	}
	return fmt.Sprint(w.disk, w.written, st, w.up, w.awaitingIntent, w.mayDispatch, w.dispatched, w.inFlight, w.results, w.runs,
		w.arrivals, w.crashes, w.toldSafeToRetry)
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

// addStep adds the state that follows by one action.
type addStep func(action string, do func(next *world))

// steps returns all states that may follow.
func (w *world) steps(r brokenRules, maxArrivals, maxCrashes int) (following []*world) {
	add := func(action string, do func(c *world)) {
		c := w.clone()
		c.trace = append(c.trace, action)
		do(c)
		following = append(following, c)
	}
	w.addArrivals(add, r, maxArrivals)
	w.addWrites(add)
	w.addDispatches(add)
	w.addResults(add, r)
	w.addCrashes(add, maxCrashes)
	return following
}

func (w *world) addArrivals(step addStep, r brokenRules, maxArrivals int) {
	if w.up && w.arrivals < maxArrivals && !w.mayDispatch && !w.awaitingIntent {
		step("request arrives", func(c *world) {
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
}

func (w *world) addWrites(step addStep) {
	if len(w.written) > 0 {
		step("write becomes durable", func(c *world) {
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
		step("write fails: shed", func(c *world) {
			c.written = nil // a failed write is rolled back
			c.table.Discard(key)
			c.endRequest()
			c.toldSafeToRetry = true
		})
	}
}

func (w *world) addDispatches(step addStep) {
	if w.up && w.mayDispatch && !w.dispatched {
		step("shard call dispatched", func(c *world) { c.dispatched = true; c.inFlight++ })
		step("no server available: shed", func(c *world) {
			c.write(c.table.Discard(key))
			c.endRequest()
			c.toldSafeToRetry = true
		})
	}
	if w.inFlight > 0 {
		step("shard call runs", func(c *world) {
			c.inFlight--
			c.runs++
			if c.up && c.dispatched {
				c.results++
			}
		})
	}
}

func (w *world) addResults(step addStep, r brokenRules) {
	if w.up && w.dispatched && w.results > 0 {
		step("result received: answered", func(c *world) {
			c.results--
			c.table.ConfirmIntent(key)
			c.write(c.table.RecordAnswer(key, []byte("x")))
			c.endRequest()
		})
	}
	if w.up && w.dispatched {
		step("request timed out", func(c *world) {
			c.table.ConfirmIntent(key)
			c.write(c.table.RecordUnknown(key))
			c.endRequest()
			c.results = 0
		})
		if r.shedAfterDispatch {
			step("request timed out: shed", func(c *world) {
				c.write(c.table.Discard(key))
				c.endRequest()
				c.results = 0
				c.toldSafeToRetry = true
			})
		}
	}
}

func (w *world) addCrashes(step addStep, maxCrashes int) {
	if w.up && w.crashes < maxCrashes {
		for durable := 0; durable <= len(w.written); durable++ {
			step(fmt.Sprintf("crash, %d of %d writes durable", durable, len(w.written)), func(c *world) {
				for _, v := range c.written[:durable] {
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
}

// violation describes the property that the state violates; "" = none.
func (w *world) violation() string {
	switch {
	case w.runs > 1:
		return "the shard call ran twice"
	case w.toldSafeToRetry && w.runs+w.inFlight > 0:
		return "the client was told that a retry is safe, and the shard call has run or may still run"
	}
	return ""
}

// explore visits all states within a depth. It stops at the first violation and returns its trace.
func explore(r brokenRules, depth, maxArrivals, maxCrashes int) (states int, trace []string, violation string) {
	seen := map[string]bool{}
	frontier := []*world{{table: New(Config{Retention: 1 << 40, MaxRequests: 4}), up: true}}
	for range depth {
		var next []*world
		for _, w := range frontier {
			for _, c := range w.steps(r, maxArrivals, maxCrashes) {
				if v := c.violation(); v != "" {
					return len(seen), c.trace, v
				}
				if id := c.id(); !seen[id] {
					seen[id] = true
					next = append(next, c)
				}
			}
		}
		frontier = next
	}
	return len(seen), nil, ""
}

func TestModelNeverRunsTwiceNorMisreports(t *testing.T) {
	states, trace, violation := explore(brokenRules{}, 24, 4, 3)
	if violation != "" {
		t.Fatalf("%s:\n%s", violation, strings.Join(trace, "\n"))
	}
	if states < 500 {
		t.Errorf("only %d states were explored", states)
	}
	t.Logf("%d states", states)
}

// A model that finds no violation of broken rules would prove nothing.
func TestModelDetectsBrokenOrder(t *testing.T) {
	for name, r := range map[string]brokenRules{
		"dispatch before intent": {dispatchBeforeDurable: true},
		"shed after dispatch":    {shedAfterDispatch: true},
	} {
		t.Run(name, func(t *testing.T) {
			_, trace, violation := explore(r, 24, 4, 3)
			if violation == "" {
				t.Fatal("no violation found")
			}
			t.Logf("%s after %d steps: %s", violation, len(trace), strings.Join(trace, "; "))
		})
	}
}
