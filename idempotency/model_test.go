package idempotency

import (
	"fmt"
	"strings"
	"testing"
)

// This file is a model checker for Table. It explores all interleavings, up to a depth, of a gatherer with a disk, one server
// and a client that retries one request: arrivals, writes that become durable, dispatches, runs, answers, timeouts, retries
// and crashes. The gatherer of the model uses a real Table. Two properties must hold in every state: the shard call never
// runs twice, and no response advises the client to retry while the shard call has run or may still run.

// modelState is one state of the model.
type modelState struct {
	disk           string   // the stored value; "" = none
	pendingWrites  []string // pending writes, in order; "-" = a removal
	table          *Table
	up             bool // the gatherer is running
	awaitingIntent bool // a request waits for its intent to be durable
	mayDispatch    bool // the shard call may be dispatched
	dispatched     bool // by this process, for the current request
	inFlight       int  // shard calls on their way to the server; they survive a crash of the gatherer
	results        int  // results on their way to this process
	runs           int  // shard calls that have run
	arrivals       int  // requests and retries of the client
	crashes        int
	advisedToRetry bool     // the last response advised the client to retry
	trace          []string // actions that led to this state
}

// brokenRules selects rules that the gatherer of the model violates on purpose.
type brokenRules struct{ dispatchBeforeDurable, shedAfterDispatch bool }

const key, digest = Key("k"), Digest(5)

func (s *modelState) clone() *modelState {
	c := *s
	c.pendingWrites = append([]string(nil), s.pendingWrites...)
	c.trace = append([]string(nil), s.trace...)
	c.table = New(s.table.config)
	c.table.now = s.table.now
	for _, e := range s.table.entries {
		copied := *e
		c.table.add(&copied)
	}
	return &c
}

// id returns a string that identifies the state; the trace is not part of it.
func (s *modelState) id() string {
	entryStage := stage(0)
	if e := s.table.entries[key]; e != nil {
		entryStage = e.stage
	}
	return fmt.Sprint(s.disk, s.pendingWrites, entryStage, s.up, s.awaitingIntent, s.mayDispatch, s.dispatched, s.inFlight, s.results,
		s.runs, s.arrivals, s.crashes, s.advisedToRetry)
}

func (s *modelState) write(changes []Change) {
	for _, c := range changes {
		if c.Value == nil {
			s.pendingWrites = append(s.pendingWrites, "-")
		} else {
			s.pendingWrites = append(s.pendingWrites, string(c.Value))
		}
	}
}

func (s *modelState) endRequest() {
	s.awaitingIntent, s.mayDispatch, s.dispatched = false, false, false
}

// addStep adds the state that follows by an action, which do performs on a copy of the current state.
type addStep func(action string, do func(next *modelState))

// steps returns all states that may follow by one action.
func (s *modelState) steps(r brokenRules, maxArrivals, maxCrashes int) (following []*modelState) {
	add := func(action string, do func(c *modelState)) {
		c := s.clone()
		c.trace = append(c.trace, action)
		do(c)
		following = append(following, c)
	}
	s.addArrivals(add, r, maxArrivals)
	s.addWrites(add)
	s.addDispatches(add)
	s.addResults(add, r)
	s.addCrashes(add, maxCrashes)
	return following
}

func (s *modelState) addArrivals(step addStep, r brokenRules, maxArrivals int) {
	if s.up && s.arrivals < maxArrivals && !s.mayDispatch && !s.awaitingIntent {
		step("request arrives", func(c *modelState) {
			c.arrivals++
			c.advisedToRetry = false
			v, _, changes := c.table.Admit(Time(c.arrivals), key, digest, 1000)
			c.write(changes)
			c.trace[len(c.trace)-1] += fmt.Sprintf(" (verdict %d)", v)
			if v == WriteIntent {
				c.awaitingIntent = true
				if r.dispatchBeforeDurable {
					c.mayDispatch = true
				}
			}
			if v == TableFull {
				c.advisedToRetry = true
			}
		})
	}
}

func (s *modelState) addWrites(step addStep) {
	if len(s.pendingWrites) > 0 {
		step("write becomes durable", func(c *modelState) {
			if c.disk = c.pendingWrites[0]; c.disk == "-" {
				c.disk = ""
			}
			c.pendingWrites = c.pendingWrites[1:]
			if c.up && c.awaitingIntent && len(c.pendingWrites) == 0 {
				c.awaitingIntent = false
				c.mayDispatch = c.table.ConfirmIntent(key)
			}
		})
	}
	if s.up && s.awaitingIntent && !s.dispatched {
		step("write fails: shed", func(c *modelState) {
			c.pendingWrites = nil // a failed write is rolled back
			c.table.Discard(key)
			c.endRequest()
			c.advisedToRetry = true
		})
	}
}

func (s *modelState) addDispatches(step addStep) {
	if s.up && s.mayDispatch && !s.dispatched {
		step("shard call dispatched", func(c *modelState) { c.dispatched = true; c.inFlight++ })
		step("no server available: shed", func(c *modelState) {
			c.write(c.table.Discard(key))
			c.endRequest()
			c.advisedToRetry = true
		})
	}
	if s.inFlight > 0 {
		step("shard call runs", func(c *modelState) {
			c.inFlight--
			c.runs++
			if c.up && c.dispatched {
				c.results++
			}
		})
	}
}

func (s *modelState) addResults(step addStep, r brokenRules) {
	if s.up && s.dispatched && s.results > 0 {
		step("result received: answered", func(c *modelState) {
			c.results--
			c.table.ConfirmIntent(key)
			c.write(c.table.RecordAnswer(key, []byte("x")))
			c.endRequest()
		})
	}
	if s.up && s.dispatched {
		step("request timed out", func(c *modelState) {
			c.table.ConfirmIntent(key)
			c.write(c.table.RecordUnknown(key))
			c.endRequest()
			c.results = 0
		})
		if r.shedAfterDispatch {
			step("request timed out: shed", func(c *modelState) {
				c.write(c.table.Discard(key))
				c.endRequest()
				c.results = 0
				c.advisedToRetry = true
			})
		}
	}
}

func (s *modelState) addCrashes(step addStep, maxCrashes int) {
	if s.up && s.crashes < maxCrashes {
		for durable := 0; durable <= len(s.pendingWrites); durable++ {
			step(fmt.Sprintf("crash, %d of %d writes durable", durable, len(s.pendingWrites)), func(c *modelState) {
				for _, v := range c.pendingWrites[:durable] {
					if c.disk = v; v == "-" {
						c.disk = ""
					}
				}
				c.pendingWrites, c.up, c.results = nil, false, 0
				c.crashes++
				c.endRequest()
			})
		}
	}
	if !s.up {
		step("restart", func(c *modelState) {
			c.table = New(c.table.config)
			if c.disk != "" {
				c.table.Restore(key, []byte(c.disk))
			}
			c.up = true
		})
	}
}

// violation describes the property that the state violates, or returns "".
func (s *modelState) violation() string {
	switch {
	case s.runs > 1:
		return "the shard call ran twice"
	case s.advisedToRetry && s.runs+s.inFlight > 0:
		return "the client was advised to retry although the shard call has run or may still run"
	}
	return ""
}

// explore visits all states that at most depth actions lead to. It stops at the first violation and returns its trace.
func explore(r brokenRules, depth, maxArrivals, maxCrashes int) (states int, trace []string, violation string) {
	visited := map[string]bool{}
	frontier := []*modelState{{table: New(Config{Retention: 1 << 40, MaxRequests: 4}), up: true}}
	for range depth {
		var next []*modelState
		for _, s := range frontier {
			for _, c := range s.steps(r, maxArrivals, maxCrashes) {
				if v := c.violation(); v != "" {
					return len(visited), c.trace, v
				}
				if id := c.id(); !visited[id] {
					visited[id] = true
					next = append(next, c)
				}
			}
		}
		frontier = next
	}
	return len(visited), nil, ""
}

func TestModelNeverRunsTwiceNorMisadvises(t *testing.T) {
	states, trace, violation := explore(brokenRules{}, 24, 4, 3)
	if violation != "" {
		t.Fatalf("%s:\n%s", violation, strings.Join(trace, "\n"))
	}
	if states < 500 {
		t.Errorf("%d states were explored, want at least 500", states)
	}
	t.Logf("%d states explored", states)
}

// The model must find a violation if a rule is broken; otherwise TestModelNeverRunsTwiceNorMisadvises would prove nothing.
func TestModelDetectsBrokenRules(t *testing.T) {
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
