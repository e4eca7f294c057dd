package registry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The model: holders with steady clocks of their own and a time of day that jumps, servers that call, crash, drain, sign off
// and follow one another at their addresses, calls that come late or twice, links between holders that are cut, holders that
// start anew with nothing, and times when no call reaches anybody. After each step the rules are checked.

// fault is a fault planted in how reports are carried, to see that the checks find it.
type fault int

const (
	noFault                    fault = iota
	ageByWallClock                   // the moment of a call is told by the time of day, not its age
	acknowledgeWithoutMajority       // a draining is acknowledged by the holder that took it, before others have it
	cursorsSurviveRestart            // what another holder had counts after it began anew, and digests are not compared
	stateOfNewestHeartbeat           // the state is the newest call's, not the furthest
	unresponsiveDuringOutage         // who is unheard is silent, however many are
	deregistrationForgotten          // a sign-off is forgotten at once
	agesIgnored                      // what is told counts as heard when it comes
)

type replica struct {
	index           int
	table           *Table
	incarnation     int
	origin          time.Duration // of its steady clock
	wall            time.Duration // by how much its time of day is off
	startedAt       time.Duration // up since
	cursors         []Cursor      // up to where each other has its reports
	incarnations    []int         // the lives that has speaks of
	differingRanges [][]int
	states          map[InstanceID]State
}

func (h *replica) now(at time.Duration) time.Duration { return at - h.origin }

// server is a server's life, or what is left of it.
type server struct {
	id             InstanceID
	address        string
	sequence       Sequence
	nextHeartbeat  time.Duration
	endedAt        time.Duration // 0 = it calls
	state          State
	acknowledgedAt time.Duration // when its draining was acknowledged
	deregisteredAt time.Duration
}

type message struct {
	at      time.Duration
	deliver func()
}

type model struct {
	r                  *rand.Rand
	injected           fault
	now                time.Duration
	replicas           []*replica
	servers            []*server
	messages           []message
	cut                map[[2]int]bool
	lastDisruption     time.Duration // when a holder last began anew or a link was last cut
	partitionChangedAt time.Duration // when a link was last cut or joined
	outageUntil        time.Duration // until when no call comes
	outageSince        time.Duration // since when
	lastOutage         time.Duration // when it last did not
	violation          string
}

const step = 100 * time.Millisecond

func newModel(seed uint64, slip fault) *model {
	f := &model{r: rand.New(rand.NewPCG(seed, 3)), injected: slip, cut: map[[2]int]bool{}}
	n := 3 + 2*f.r.IntN(2)
	for i := range n {
		h := &replica{index: i}
		f.replicas = append(f.replicas, h)
		f.restart(h)
	}
	for i := range 12 {
		f.add(fmt.Sprint("a", i))
	}
	return f
}

func (f *model) restart(h *replica) {
	n := len(f.replicas)
	*h = replica{index: h.index, table: NewTable(testHeartbeatInterval), incarnation: h.incarnation + 1, origin: f.now - time.Duration(f.r.IntN(3600))*time.Second, wall: h.wall,
		startedAt: f.now, cursors: make([]Cursor, max(n, 5)), incarnations: make([]int, max(n, 5)), differingRanges: make([][]int, max(n, 5)), states: map[InstanceID]State{}}
}

func (f *model) add(address string) {
	f.servers = append(f.servers, &server{id: InstanceID(fmt.Sprint("i-", len(f.servers))), address: address, nextHeartbeat: f.now + time.Duration(f.r.IntN(int(testHeartbeatInterval)))})
}

func (f *model) send(after time.Duration, what func()) {
	f.messages = append(f.messages, message{f.now + after, what})
}

// sendHeartbeat has a server call a holder. Some calls come late, and some twice.
func (f *model) sendHeartbeat(s *server) {
	s.sequence++
	in := Record{Instance: s.id, Service: "s", Address: s.address, State: s.state, Sequence: s.sequence}
	h := f.replicas[f.r.IntN(len(f.replicas))]
	if f.now < f.outageUntil {
		return
	}
	delays := []time.Duration{step}
	switch f.r.IntN(12) {
	case 0:
		delays = []time.Duration{step, 2500 * time.Millisecond}
	case 1:
		delays = []time.Duration{1500 * time.Millisecond}
	}
	for _, d := range delays {
		life := h.incarnation
		f.send(d, func() {
			if h.incarnation != life {
				return
			}
			in.HeartbeatAt = h.now(f.now)
			f.merge(h, in, "")
			if in.State == Draining && s.acknowledgedAt == 0 {
				f.acknowledge(h, s, h.table.LastChange(s.id), h.incarnation)
			}
		})
	}
}

// acknowledge tells a server that its draining is held by a majority, once it is.
func (f *model) acknowledge(h *replica, s *server, cursor Cursor, life int) {
	holding := 1
	for o, has := range h.cursors[:len(f.replicas)] {
		if o != h.index && has >= cursor && h.incarnations[o] == f.replicas[o].incarnation {
			holding++
		}
	}
	switch {
	case h.incarnation != life || s.acknowledgedAt != 0:
	case 2*holding > len(f.replicas) || f.injected == acknowledgeWithoutMajority:
		s.acknowledgedAt = f.now
		if f.r.IntN(3) == 0 && f.now-f.lastDisruption > 8*testHeartbeatInterval { // who took it dies at once, and so does the server
			f.restart(h)
			f.lastDisruption, s.endedAt = f.now, f.now
		}
	default:
		f.send(step, func() { f.acknowledge(h, s, cursor, life) })
	}
}

func (f *model) merge(h *replica, in Record, from string) {
	h.table.Merge(in, from)
	if r := h.table.Get(in.Instance); f.injected == stateOfNewestHeartbeat && r != nil && r.Sequence == in.Sequence {
		r.State = in.State
	}
}

// gossip has one holder tell another what is new, and what ranges differ.
func (f *model) gossip(h, o *replica) {
	if f.cut[[2]int{h.index, o.index}] || f.cut[[2]int{o.index, h.index}] {
		return
	}
	if h.incarnations[o.index] != o.incarnation && f.injected != cursorsSurviveRestart {
		h.incarnations[o.index], h.cursors[o.index] = o.incarnation, 0
	}
	upTo, life, mine := h.table.Cursor(), o.incarnation, h.incarnation
	all := h.table.UpdatesFor(h.cursors[o.index], fmt.Sprint(o.index), func(from string) bool { return f.unreachable(o, from) })
	var mending []*Record
	for _, no := range h.differingRanges[o.index] {
		mending = append(mending, h.table.Range(no)...)
	}
	all = append(all, mending...)
	h.differingRanges[o.index] = nil
	type word struct {
		Record
		age, wall time.Duration
	}
	var words []word
	for _, r := range all {
		w := *r
		if fresh := slices.Contains(h.table.ChangesAfter(h.cursors[o.index]), r); !fresh && !slices.Contains(mending, r) {
			w = Record{Instance: r.Instance, Sequence: r.Sequence, HeartbeatOnly: true}
		}
		words = append(words, word{w, h.now(f.now) - r.HeartbeatAt, f.now + h.wall - (h.now(f.now) - r.HeartbeatAt)})
	}
	sums := h.table.Digests()
	f.send(step, func() {
		if o.incarnation != life || f.cut[[2]int{h.index, o.index}] {
			return
		}
		for _, w := range words {
			in := w.Record
			switch f.injected {
			case ageByWallClock:
				in.HeartbeatAt = o.now(f.now) - (f.now + o.wall - w.wall)
			case agesIgnored:
				in.HeartbeatAt = o.now(f.now)
			default:
				in.HeartbeatAt = o.now(f.now) - w.age
			}
			f.merge(o, in, fmt.Sprint(h.index))
		}
		var differ []int
		if f.injected != cursorsSurviveRestart {
			for no, sum := range o.table.Digests() {
				if sum != sums[no] {
					differ = append(differ, no)
				}
			}
		}
		if f.cut[[2]int{o.index, h.index}] {
			return
		}
		f.send(step, func() {
			if h.incarnation == mine && o.incarnation == life {
				h.cursors[o.index], h.differingRanges[o.index], h.incarnations[o.index] = max(h.cursors[o.index], upTo), differ, life
			}
		})
	})
}

// unreachable tells whether a holder does not hear another.
func (f *model) unreachable(o *replica, from string) bool {
	for _, h := range f.replicas {
		if fmt.Sprint(h.index) == from {
			return f.cut[[2]int{h.index, o.index}] || f.cut[[2]int{o.index, h.index}]
		}
	}
	return true
}

func (f *model) disrupt() {
	switch f.r.IntN(160) {
	case 0:
		h := f.replicas[f.r.IntN(len(f.replicas))]
		if f.now-f.lastDisruption > 8*testHeartbeatInterval { // one at a time, as may be borne
			f.restart(h)
			f.lastDisruption = f.now
		}
	case 1:
		a, b := f.r.IntN(len(f.replicas)), f.r.IntN(len(f.replicas))
		if a != b {
			f.cut[[2]int{a, b}], f.cut[[2]int{b, a}] = true, f.r.IntN(3) > 0
			f.lastDisruption, f.partitionChangedAt = f.now, f.now
		}
	case 2, 3:
		if len(f.cut) > 0 {
			clear(f.cut)
			f.lastDisruption, f.partitionChangedAt = f.now, f.now
		}
	case 4:
		f.replicas[f.r.IntN(len(f.replicas))].wall = time.Duration(f.r.IntN(20000)-10000) * time.Millisecond
	case 5, 6:
		if s := f.servers[f.r.IntN(len(f.servers))]; s.endedAt == 0 && s.state == Ready {
			s.endedAt = f.now
			if f.r.IntN(2) == 0 {
				f.add(s.address) // at once, at the same address
			} else {
				f.add(fmt.Sprint("b", len(f.servers)))
			}
		}
	case 7, 8:
		if s := f.servers[f.r.IntN(len(f.servers))]; s.endedAt == 0 && s.state == Ready {
			s.state, s.nextHeartbeat = Draining, f.now
		}
	case 9:
		if f.r.IntN(4) == 0 && f.now > f.outageUntil {
			f.outageSince, f.outageUntil = f.now, f.now+time.Duration(2+f.r.IntN(8))*testHeartbeatInterval
		}
	}
}

func (f *model) step() {
	f.now += step
	f.disrupt()
	if f.now < f.outageUntil {
		f.lastOutage = f.now
	}
	for _, s := range f.servers {
		if s.endedAt == 0 && f.now >= s.nextHeartbeat {
			f.sendHeartbeat(s)
			s.nextHeartbeat = f.now + testHeartbeatInterval - step + time.Duration(f.r.IntN(int(2*step)))
		}
		if s.acknowledgedAt != 0 && s.endedAt == 0 && f.now > s.acknowledgedAt+3*testHeartbeatInterval && f.now > f.outageUntil {
			s.endedAt = f.now
			h := f.replicas[f.r.IntN(len(f.replicas))]
			s.deregisteredAt = f.now
			h.table.Deregister(s.id, h.now(f.now))
			f.add(fmt.Sprint("c", len(f.servers)))
		}
	}
	for _, l := range func() (due []message) {
		kept := f.messages[:0]
		for _, l := range f.messages {
			if l.at <= f.now {
				due = append(due, l)
			} else {
				kept = append(kept, l)
			}
		}
		f.messages = append([]message(nil), kept...)
		return due
	}() {
		l.deliver()
	}
	for _, h := range f.replicas {
		if int(f.now/step)%4 == h.index%4 {
			for _, o := range f.replicas {
				if o != h {
					f.gossip(h, o)
				}
			}
			h.table.Expire(h.now(f.now))
			for id, r := range h.table.records {
				switch {
				case f.injected == unresponsiveDuringOutage && float64(h.now(f.now)-r.HeartbeatAt) > unresponsiveIntervals*float64(testHeartbeatInterval):
					r.Unresponsive = true
				case f.injected == deregistrationForgotten && r.State == Deregistered:
					delete(h.table.records, id)
				}
			}
		}
	}
	f.check()
}

// check holds the tables against what the servers did.
func (f *model) check() {
	say := func(format string, args ...any) {
		if f.violation == "" {
			f.violation = fmt.Sprintf("%v: ", f.now) + fmt.Sprintf(format, args...)
		}
	}
	calm := len(f.cut) == 0 && f.now-f.lastDisruption > 7*testHeartbeatInterval && f.now-f.lastOutage > 7*testHeartbeatInterval && f.now > 7*testHeartbeatInterval
	for _, h := range f.replicas {
		for id, r := range h.table.records {
			if r.State < h.states[id] {
				say("%s goes back from state %d to %d at holder %d", id, h.states[id], r.State, h.index)
			}
			h.states[id] = r.State
		}
		silent, all := 0, 0
		for _, s := range f.servers {
			r := h.table.Get(s.id)
			if r != nil && r.State != Deregistered && s.endedAt == 0 {
				if all++; r.Unresponsive {
					silent++
				}
			}
			old := s.endedAt > 0 && f.now-s.endedAt > 7*testHeartbeatInterval
			told := len(f.cut) == 0 && f.now-f.partitionChangedAt > 2*testHeartbeatInterval && f.now-h.startedAt > 2*testHeartbeatInterval && r != nil && r.State == Ready
			switch {
			case told && s.acknowledgedAt > 0 && f.now-s.acknowledgedAt > 2*testHeartbeatInterval:
				say("the draining of %s was acknowledged, and holder %d lists it as ready", s.id, h.index)
			case told && s.deregisteredAt > 0 && f.now-s.deregisteredAt > 2*testHeartbeatInterval:
				say("%s signed off, and holder %d lists it as ready", s.id, h.index)
			case !calm || f.now-h.startedAt < 7*testHeartbeatInterval:
			case s.endedAt == 0 && s.sequence > 6 && s.acknowledgedAt == 0 && (r == nil || r.Unresponsive):
				say("%s calls, and holder %d does not list it: %+v", s.id, h.index, r)
			case old && s.deregisteredAt == 0 && r != nil && !r.Unresponsive && r.State == Ready:
				say("%s crashed %v ago, and holder %d lists it", s.id, f.now-s.endedAt, h.index)
			}
		}
		if f.now < f.outageUntil && f.now-f.outageSince > 6*testHeartbeatInterval && 4*silent > all && f.now-f.lastDisruption > 7*testHeartbeatInterval && f.now-h.startedAt > 7*testHeartbeatInterval {
			say("%d of %d servers that live are silent to holder %d while nobody can call", silent, all, h.index)
		}
	}
	if f.violation == "" && calm && f.now-f.lastDisruption > 10*testHeartbeatInterval {
		for _, h := range f.replicas[1:] {
			for no, sum := range h.table.Digests() {
				if sum != f.replicas[0].table.Digests()[no] && f.settledRange(no) {
					say("holders 0 and %d differ in range %d after %v without trouble", h.index, no, f.now-f.lastDisruption)
				}
			}
		}
	}
}

// settledRange tells whether nothing of a range changed lately, so that all holders must have it alike.
func (f *model) settledRange(no int) bool {
	for _, s := range f.servers {
		young := s.sequence < 5 || s.state != Ready || s.endedAt > 0 // what is over is forgotten by each in its own time
		if rangeOf(s.id) == no && young {
			return false
		}
	}
	return true
}

func runModel(seed uint64, slip fault, steps int) string {
	f := newModel(seed, slip)
	for range steps {
		if f.step(); f.violation != "" {
			return f.violation
		}
	}
	return ""
}

func TestModelKeepsInvariants(t *testing.T) {
	for seed := range uint64(90) {
		if broken := runModel(seed, noFault, 900); broken != "" {
			t.Fatalf("seed %d: %s", seed, broken)
		}
	}
}

func TestModelDetectsInjectedFaults(t *testing.T) {
	for name, slip := range map[string]fault{"ages by wall clock": ageByWallClock, "a draining acknowledged by one alone": acknowledgeWithoutMajority,
		"cursors outlive a holder's life": cursorsSurviveRestart, "the newest call's state": stateOfNewestHeartbeat, "mass expiry": unresponsiveDuringOutage,
		"sign-offs forgotten": deregistrationForgotten, "ages dropped": agesIgnored} {
		found := false
		for seed := uint64(0); seed < 600 && !found; seed++ {
			if broken := runModel(seed, slip, 900); broken != "" {
				found = true
				t.Logf("%s: seed %d: %s", name, seed, broken)
			}
		}
		if !found {
			t.Errorf("%s: no check finds it", name)
		}
	}
}
