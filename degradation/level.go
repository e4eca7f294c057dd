// Package degradation decides how much of its service a gatherer gives while it cannot give all: named levels, each entered and left
// by clear conditions over smoothed signals, and at each level which query types are served, at what share, with which
// limits for merges. It owns that state alone, does no I/O, reads no clock, starts no goroutine, and is one goroutine's at a time.
//
// It stands before the decisions about searches and only narrows what they may do: a search that a level does not serve is shed
// at once, before anything is sent; where parts go, whether they are sent again and what else is shed stays theirs. A search
// keeps the terms that it was taken under.
//
// What it guards against: a quarter of the servers die, everything is tried on the rest, and account look-ups time out beside
// reports that could have waited; and, the other way, levels that flutter with each second's load, so that clients learn nothing
// from being turned away.
package degradation

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Time is a moment or a span in milliseconds.
type Time int64

// Second is the Time that a second takes.
const Second Time = 1000

// Rank is a level's place: 0 is full service, each further one less.
type Rank int

// Signal is what levels go by. All are figures where more is worse.
type Signal uint8

// The signals.
const (
	Lost        Signal = iota // share of the servers' usual capacity that is not there, 0 to 1
	Load                      // parts in flight over the in-flight limit
	Late                      // share of searches late or without an answer, of the worst query type
	ListAge                   // seconds since the list service was last heard
	Cold                      // share of the ready servers that have just started
	Store                     // 1 = the store takes nothing, 0 = it does
	SegmentLost               // of one segment: share of its replicas' usual capacity that is not there; known in its own machine alone
	Signals                   // how many there are
)

var signalNames = [Signals]string{"lost", "load", "late", "list_age", "cold", "store", "segment_lost"}

// String is the signal's name in files and log lines.
func (s Signal) String() string {
	if s >= Signals {
		return fmt.Sprintf("signal(%d)", uint8(s))
	}
	return signalNames[s]
}

// ParseSignal finds a signal by its name.
func ParseSignal(name string) (Signal, bool) {
	i := slices.Index(signalNames[:], name)
	return Signal(max(i, 0)), i >= 0
}

// Reading is one signal at a moment; one that is not known says nothing, either way.
type Reading struct {
	Value float64
	Known bool
}

// Readings are all signals at a moment.
type Readings [Signals]Reading

// Condition is a band of one signal: a level may be entered from Enter on, and left only under Exit, which is less.
type Condition struct {
	Signal      Signal
	Enter, Exit float64
}

// Terms are what a level allows.
type Terms struct {
	Serve      []float64 // share of the searches of each query type; missing ones are served whole
	Merge      float64   // share of the limits on merges
	RetryAfter Time      // the least advice to who is shed; the most is twice that
}

// share is that of a query type.
func (t Terms) share(queryType int) float64 {
	if queryType < 0 || queryType >= len(t.Serve) {
		return 1
	}
	return t.Serve[queryType]
}

// Level is one named level.
type Level struct {
	Name       string
	Conditions []Condition // any of them enters it; all must be under their exits to leave it. None for full service
	Terms      Terms
}

// Figures are what levels go by.
type Figures struct {
	Levels   []Level // by rank; the first is full service
	Smooth   Time    // time constant of the signals' smoothing
	EnterFor Time    // an entry holds for so long before it is acted on
	ExitFor  Time    // so do exits, times the backing off
	Swing    Time    // a level entered again within this of having been left backs off
	Longest  int     // the most that exits are backed off by, in times ExitFor
	MostUps  int     // steps up in any minute, at most
	Stale    Time    // a signal not heard for so long is not known
	Ramp     Time    // a step up widens what is served over so long
}

// blind is how many times longer an exit takes while a signal that the level goes by is not known: news that is missing neither
// holds a level for ever nor lifts it at once.
const blind = 4

// Check says what is wrong with figures, in one sentence each.
func (f Figures) Check() (faults []string) {
	fault := func(form string, args ...any) { faults = append(faults, fmt.Sprintf(form, args...)) }
	if len(f.Levels) == 0 {
		fault("there is no level")
	}
	names := map[string]bool{}
	for i, l := range f.Levels {
		if names[l.Name] {
			fault("level %s is there twice", l.Name)
		}
		names[l.Name] = true
		if i == 0 && len(l.Conditions) > 0 {
			fault("level %s is full service and has conditions", l.Name)
		}
		if i > 0 && len(l.Conditions) == 0 {
			fault("level %s is never entered: it has no condition", l.Name)
		}
		for _, c := range l.Conditions {
			if !(c.Exit < c.Enter) {
				fault("level %s: %s is left at %g, not under the %g at which it is entered", l.Name, c.Signal, c.Exit, c.Enter)
			}
		}
		for t, s := range l.Terms.Serve {
			if i > 0 && s > f.Levels[i-1].Terms.share(t) {
				fault("level %s serves more of query type %d than %s does", l.Name, t, f.Levels[i-1].Name)
			}
		}
	}
	if f.ExitFor <= 0 || f.EnterFor < 0 || f.MostUps < 1 || f.Longest < 1 || f.Swing < 0 || f.Smooth < 0 || f.Stale <= 0 {
		fault("a time or a number is missing")
	}
	return faults
}

// Change is a step from one level to another.
type Change struct {
	At       Time
	From, To Rank
	Why      string // the condition and its figures, or the pin
	Readings Readings
}

// Machine is the state of one scope: the whole gatherer, or one segment.
type Machine struct {
	f        Figures
	now      Time
	rank     Rank
	since    Time
	smoothed Readings
	heardAt  [Signals]Time
	fedAt    Time
	entered  []Time // since when each level's entry holds; -1 = it does not
	clearAt  Time   // since when the present level's exits hold; -1 = they do not
	blindly  bool   // in that time a signal was not known
	backoff  int
	leftAt   []Time // when each level was last left upwards; far back = never
	swungAt  Time
	ups      []Time // of the last minute
	pin      *Pin
}

// Pin holds a level for some time, whatever the signals say.
type Pin struct {
	Rank  Rank
	Until Time
}

const never = Time(math.MinInt64 / 4)

// New makes a machine at full service. A restart begins there too: its own signals take it to where it belongs within EnterFor.
func New(f Figures, now Time) *Machine {
	m := &Machine{f: f, now: now, since: now, clearAt: -1, backoff: 1, swungAt: never}
	for range f.Levels {
		m.entered = append(m.entered, -1)
		m.leftAt = append(m.leftAt, never)
	}
	for i := range m.heardAt {
		m.heardAt[i] = never
	}
	return m
}

// Rank is the present level, Since when it was entered.
func (m *Machine) Rank() Rank { return m.rank }

// Since is when the present level was entered.
func (m *Machine) Since() Time { return m.since }

// Level is the present level.
func (m *Machine) Level() Level { return m.f.Levels[m.rank] }

// Readings are the smoothed signals.
func (m *Machine) Readings() Readings { return m.smoothed }

// Pinned is the pin in force, if there is one.
func (m *Machine) Pinned() (Pin, bool) {
	if m.pin == nil {
		return Pin{}, false
	}
	return *m.pin, true
}

// Replace puts other figures in force, as a reload brings. The level of the same name stays in force, else the one of the same
// rank, or the last.
func (m *Machine) Replace(f Figures) {
	name := m.Level().Name
	next := New(f, m.now)
	next.smoothed, next.heardAt, next.fedAt, next.ups, next.backoff, next.swungAt = m.smoothed, m.heardAt, m.fedAt, m.ups, m.backoff, m.swungAt
	next.rank = min(m.rank, Rank(len(f.Levels)-1))
	if at := slices.IndexFunc(f.Levels, func(l Level) bool { return l.Name == name }); at >= 0 {
		next.rank = Rank(at)
	}
	if next.since = m.since; m.pin != nil && int(m.pin.Rank) < len(f.Levels) {
		next.pin = m.pin
	}
	*m = *next
}

// Feed takes signals in. A clock that goes back stands still.
func (m *Machine) Feed(now Time, r Readings) {
	m.now = max(m.now, now)
	keep := 0.0
	if m.f.Smooth > 0 && m.fedAt > 0 {
		keep = math.Exp(-float64(m.now-m.fedAt) / float64(m.f.Smooth))
	}
	for s := range r {
		switch {
		case !r[s].Known || math.IsNaN(r[s].Value) || math.IsInf(r[s].Value, 0):
			m.smoothed[s].Known = m.smoothed[s].Known && m.now-m.heardAt[s] <= m.f.Stale
		case !m.smoothed[s].Known:
			m.smoothed[s], m.heardAt[s] = r[s], m.now
		default:
			m.smoothed[s].Value = r[s].Value + (m.smoothed[s].Value-r[s].Value)*keep
			m.heardAt[s] = m.now
		}
	}
	m.fedAt = m.now
}

// Turn moves the machine to a moment and says whether the level changes. Down as far as is called for, at once; up one level at a
// time.
func (m *Machine) Turn(now Time) (Change, bool) {
	m.now = max(m.now, now)
	m.note()
	if m.pin != nil {
		if m.now >= m.pin.Until {
			m.pin = nil // it goes on from here by the signals
		} else if m.rank != m.pin.Rank {
			return m.change(m.pin.Rank, "pinned"), true
		} else {
			return Change{}, false
		}
	}
	for to := Rank(len(m.f.Levels) - 1); to > m.rank; to-- {
		if held := m.entered[to]; held >= 0 && m.now-held >= m.f.EnterFor {
			return m.change(to, m.why(to)), true
		}
	}
	wait := m.f.ExitFor * Time(m.backoff)
	if m.blindly {
		wait *= blind
	}
	if m.rank > 0 && m.clearAt >= 0 && m.now-m.clearAt >= wait && m.mayRise() {
		return m.change(m.rank-1, fmt.Sprintf("%s is over for %.1f s", m.Level().Name, float64(m.now-m.clearAt)/1000)), true
	}
	return Change{}, false
}

// note keeps since when entries and exits hold.
func (m *Machine) note() {
	for i := range m.f.Levels {
		holds := false
		for _, c := range m.f.Levels[i].Conditions {
			r := m.smoothed[c.Signal]
			holds = holds || r.Known && r.Value >= c.Enter
		}
		if !holds {
			m.entered[i] = -1
		} else if m.entered[i] < 0 {
			m.entered[i] = m.now
		}
	}
	clear, unknown := true, false
	for _, c := range m.Level().Conditions {
		r := m.smoothed[c.Signal]
		clear = clear && !(r.Known && r.Value >= c.Exit)
		unknown = unknown || !r.Known
	}
	switch {
	case !clear:
		m.clearAt, m.blindly = -1, false
	case m.clearAt < 0:
		m.clearAt, m.blindly = m.now, unknown
	default:
		m.blindly = m.blindly || unknown
	}
	if m.backoff > 1 && m.now-m.swungAt >= m.f.Swing {
		m.backoff /= 2
		m.swungAt = m.now
	}
}

// mayRise tells whether a step up is within those of a minute.
func (m *Machine) mayRise() bool {
	m.ups = slices.DeleteFunc(m.ups, func(at Time) bool { return m.now-at >= 60*Second })
	return len(m.ups) < m.f.MostUps
}

func (m *Machine) change(to Rank, why string) Change {
	c := Change{At: m.now, From: m.rank, To: to, Why: why, Readings: m.smoothed}
	if to < m.rank {
		m.leftAt[m.rank] = m.now
		m.mayRise() // forgets those of more than a minute ago, however they came
		m.ups = append(m.ups, m.now)
	} else {
		for left := m.rank + 1; left <= to; left++ {
			if m.now-m.leftAt[left] < m.f.Swing { // it had only just been left: exits hold longer before the next
				m.backoff = min(2*m.backoff, m.f.Longest)
				m.swungAt = m.now
				break
			}
		}
	}
	m.rank, m.since, m.clearAt, m.blindly = to, m.now, -1, false
	return c
}

// why names the conditions that hold a level's entry.
func (m *Machine) why(r Rank) string {
	var all []string
	for _, c := range m.f.Levels[r].Conditions {
		if x := m.smoothed[c.Signal]; x.Known && x.Value >= c.Enter {
			all = append(all, fmt.Sprintf("%s %.3g >= %.3g", c.Signal, x.Value, c.Enter))
		}
	}
	return strings.Join(all, ", ")
}

// PinTo holds a level until a moment. false = there is no such level.
func (m *Machine) PinTo(r Rank, until Time) bool {
	if r < 0 || int(r) >= len(m.f.Levels) {
		return false
	}
	m.pin = &Pin{r, until}
	return true
}

// Unpin lets the signals decide again.
func (m *Machine) Unpin() { m.pin = nil }

// Explain says for each condition of each level how it stands.
func (m *Machine) Explain() (lines []string) {
	for i, l := range m.f.Levels {
		for _, c := range l.Conditions {
			r := m.smoothed[c.Signal]
			state := "not known"
			switch {
			case r.Known && r.Value >= c.Enter:
				state = "enters"
			case r.Known && r.Value >= c.Exit:
				state = "holds"
			case r.Known:
				state = "clear"
			}
			lines = append(lines, fmt.Sprintf("%d %s: %s %.3g, enters at %.3g, left under %.3g: %s", i, l.Name, c.Signal, r.Value, c.Enter, c.Exit, state))
		}
	}
	return lines
}

// MostChanges is how many changes there are in a minute at the most: a step up is counted, and each step down but the first few
// needs one up before it.
func (f Figures) MostChanges() int { return 2*f.MostUps + len(f.Levels) - 1 }

// GoesBy tells whether any level is entered by a signal.
func (f Figures) GoesBy(s Signal) bool {
	return slices.ContainsFunc(f.Levels, func(l Level) bool {
		return slices.ContainsFunc(l.Conditions, func(c Condition) bool { return c.Signal == s })
	})
}
