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
	LostCapacity        Signal = iota // share of the servers' usual capacity that is not there, 0 to 1
	LoadRatio                         // parts in flight over the in-flight limit
	LateRatio                         // share of searches late or without an answer, of the worst query type
	ServerListAge                     // seconds since the list service was last heard
	WarmingUp                         // share of the ready servers that have just started
	StoreUnavailable                  // 1 = the store takes nothing, 0 = it does
	SegmentLostCapacity               // of one segment: share of its replicas' usual capacity that is not there; known in its own machine alone
	NumSignals                        // how many there are
)

var signalNames = [NumSignals]string{"lost", "load", "late", "list_age", "cold", "store", "segment_lost"}

// String is the signal's name in files and log lines.
func (s Signal) String() string {
	if s >= NumSignals {
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
type Readings [NumSignals]Reading

// Condition is a band of one signal: a level may be entered from Enter on, and left only under Exit, which is less.
type Condition struct {
	Signal      Signal
	Enter, Exit float64
}

// Policy are what a level allows.
type Policy struct {
	ServedShares []float64 // share of the searches of each query type; missing ones are served whole
	MergeShare   float64   // share of the limits on merges
	RetryAfter   Time      // the least advice to who is shed; the most is twice that
}

// servedShare is that of a query type.
func (t Policy) servedShare(queryType int) float64 {
	if queryType < 0 || queryType >= len(t.ServedShares) {
		return 1
	}
	return t.ServedShares[queryType]
}

// Level is one named level.
type Level struct {
	Name       string
	Conditions []Condition // any of them enters it; all must be under their exits to leave it. None for full service
	Policy     Policy
}

// Config are what levels go by.
type Config struct {
	Levels               []Level // by rank; the first is full service
	SmoothingTime        Time    // time constant of the signals' smoothing
	EnterAfter           Time    // an entry holds for so long before it is acted on
	ExitAfter            Time    // so do exits, times the backing off
	FlapWindow           Time    // a level entered again within this of having been left backs off
	MaxBackoff           int     // the most that exits are backed off by, in times ExitAfter
	MaxUpgradesPerMinute int     // steps up in any minute, at most
	StaleAfter           Time    // a signal not heard for so long is not known
	RampUp               Time    // a step up widens what is served over so long
}

// missingSignalFactor is how many times longer an exit takes while a signal that the level goes by is not known: news that is missing neither
// holds a level for ever nor lifts it at once.
const missingSignalFactor = 4

// Validate says what is wrong with figures, in one sentence each.
func (f Config) Validate() (faults []string) {
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
		for t, s := range l.Policy.ServedShares {
			if i > 0 && s > f.Levels[i-1].Policy.servedShare(t) {
				fault("level %s serves more of query type %d than %s does", l.Name, t, f.Levels[i-1].Name)
			}
		}
	}
	if f.ExitAfter <= 0 || f.EnterAfter < 0 || f.MaxUpgradesPerMinute < 1 || f.MaxBackoff < 1 || f.FlapWindow < 0 || f.SmoothingTime < 0 || f.StaleAfter <= 0 {
		fault("a time or a number is missing")
	}
	return faults
}

// Change is a step from one level to another.
type Change struct {
	At       Time
	From, To Rank
	Reason   string // the condition and its figures, or the pin
	Readings Readings
}

// Machine is the state of one scope: the whole gatherer, or one segment.
type Machine struct {
	config           Config
	now              Time
	rank             Rank
	since            Time
	smoothed         Readings
	receivedAt       [NumSignals]Time
	observedAt       Time
	enteringSince    []Time // since when each level's entry holds; -1 = it does not
	clearSince       Time   // since when the present level's exits hold; -1 = they do not
	signalMissing    bool   // in that time a signal was not known
	backoff          int
	leftAt           []Time // when each level was last left upwards; far back = never
	backoffChangedAt Time
	upgrades         []Time // of the last minute
	pin              *Pin
}

// Pin holds a level for some time, whatever the signals say.
type Pin struct {
	Rank  Rank
	Until Time
}

const never = Time(math.MinInt64 / 4)

// New makes a machine at full service. A restart begins there too: its own signals take it to where it belongs within EnterAfter.
func New(f Config, now Time) *Machine {
	m := &Machine{config: f, now: now, since: now, clearSince: -1, backoff: 1, backoffChangedAt: never}
	for range f.Levels {
		m.enteringSince = append(m.enteringSince, -1)
		m.leftAt = append(m.leftAt, never)
	}
	for i := range m.receivedAt {
		m.receivedAt[i] = never
	}
	return m
}

// Rank is the present level, Since when it was entered.
func (m *Machine) Rank() Rank { return m.rank }

// Since is when the present level was entered.
func (m *Machine) Since() Time { return m.since }

// Level is the present level.
func (m *Machine) Level() Level { return m.config.Levels[m.rank] }

// Readings are the smoothed signals.
func (m *Machine) Readings() Readings { return m.smoothed }

// Pinned is the pin in force, if there is one.
func (m *Machine) Pinned() (Pin, bool) {
	if m.pin == nil {
		return Pin{}, false
	}
	return *m.pin, true
}

// Reconfigure puts other figures in force, as a reload brings. The level of the same name stays in force, else the one of the same
// rank, or the last.
func (m *Machine) Reconfigure(f Config) {
	name := m.Level().Name
	next := New(f, m.now)
	next.smoothed, next.receivedAt, next.observedAt, next.upgrades, next.backoff, next.backoffChangedAt = m.smoothed, m.receivedAt, m.observedAt, m.upgrades, m.backoff, m.backoffChangedAt
	next.rank = min(m.rank, Rank(len(f.Levels)-1))
	if at := slices.IndexFunc(f.Levels, func(l Level) bool { return l.Name == name }); at >= 0 {
		next.rank = Rank(at)
	}
	if next.since = m.since; m.pin != nil && int(m.pin.Rank) < len(f.Levels) {
		next.pin = m.pin
	}
	*m = *next
}

// Observe takes signals in. A clock that goes back stands still.
func (m *Machine) Observe(now Time, r Readings) {
	m.now = max(m.now, now)
	keep := 0.0
	if m.config.SmoothingTime > 0 && m.observedAt > 0 {
		keep = math.Exp(-float64(m.now-m.observedAt) / float64(m.config.SmoothingTime))
	}
	for s := range r {
		switch {
		case !r[s].Known || math.IsNaN(r[s].Value) || math.IsInf(r[s].Value, 0):
			m.smoothed[s].Known = m.smoothed[s].Known && m.now-m.receivedAt[s] <= m.config.StaleAfter
		case !m.smoothed[s].Known:
			m.smoothed[s], m.receivedAt[s] = r[s], m.now
		default:
			m.smoothed[s].Value = r[s].Value + (m.smoothed[s].Value-r[s].Value)*keep
			m.receivedAt[s] = m.now
		}
	}
	m.observedAt = m.now
}

// Evaluate moves the machine to a moment and says whether the level changes. Down as far as is called for, at once; up one level at a
// time.
func (m *Machine) Evaluate(now Time) (Change, bool) {
	m.now = max(m.now, now)
	m.trackConditions()
	if m.pin != nil {
		if m.now >= m.pin.Until {
			m.pin = nil // it goes on from here by the signals
		} else if m.rank != m.pin.Rank {
			return m.transition(m.pin.Rank, "pinned"), true
		} else {
			return Change{}, false
		}
	}
	for to := Rank(len(m.config.Levels) - 1); to > m.rank; to-- {
		if held := m.enteringSince[to]; held >= 0 && m.now-held >= m.config.EnterAfter {
			return m.transition(to, m.entryReason(to)), true
		}
	}
	wait := m.config.ExitAfter * Time(m.backoff)
	if m.signalMissing {
		wait *= missingSignalFactor
	}
	if m.rank > 0 && m.clearSince >= 0 && m.now-m.clearSince >= wait && m.canUpgrade() {
		return m.transition(m.rank-1, fmt.Sprintf("%s is over for %.1f s", m.Level().Name, float64(m.now-m.clearSince)/1000)), true
	}
	return Change{}, false
}

// trackConditions keeps since when entries and exits hold.
func (m *Machine) trackConditions() {
	for i := range m.config.Levels {
		holds := false
		for _, c := range m.config.Levels[i].Conditions {
			r := m.smoothed[c.Signal]
			holds = holds || r.Known && r.Value >= c.Enter
		}
		if !holds {
			m.enteringSince[i] = -1
		} else if m.enteringSince[i] < 0 {
			m.enteringSince[i] = m.now
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
		m.clearSince, m.signalMissing = -1, false
	case m.clearSince < 0:
		m.clearSince, m.signalMissing = m.now, unknown
	default:
		m.signalMissing = m.signalMissing || unknown
	}
	if m.backoff > 1 && m.now-m.backoffChangedAt >= m.config.FlapWindow {
		m.backoff /= 2
		m.backoffChangedAt = m.now
	}
}

// canUpgrade tells whether a step up is within those of a minute.
func (m *Machine) canUpgrade() bool {
	m.upgrades = slices.DeleteFunc(m.upgrades, func(at Time) bool { return m.now-at >= 60*Second })
	return len(m.upgrades) < m.config.MaxUpgradesPerMinute
}

func (m *Machine) transition(to Rank, why string) Change {
	c := Change{At: m.now, From: m.rank, To: to, Reason: why, Readings: m.smoothed}
	if to < m.rank {
		m.leftAt[m.rank] = m.now
		m.canUpgrade() // forgets those of more than a minute ago, however they came
		m.upgrades = append(m.upgrades, m.now)
	} else {
		for left := m.rank + 1; left <= to; left++ {
			if m.now-m.leftAt[left] < m.config.FlapWindow { // it had only just been left: exits hold longer before the next
				m.backoff = min(2*m.backoff, m.config.MaxBackoff)
				m.backoffChangedAt = m.now
				break
			}
		}
	}
	m.rank, m.since, m.clearSince, m.signalMissing = to, m.now, -1, false
	return c
}

// entryReason names the conditions that hold a level's entry.
func (m *Machine) entryReason(r Rank) string {
	var all []string
	for _, c := range m.config.Levels[r].Conditions {
		if x := m.smoothed[c.Signal]; x.Known && x.Value >= c.Enter {
			all = append(all, fmt.Sprintf("%s %.3g >= %.3g", c.Signal, x.Value, c.Enter))
		}
	}
	return strings.Join(all, ", ")
}

// Pin holds a level until a moment. false = there is no such level.
func (m *Machine) Pin(r Rank, until Time) bool {
	if r < 0 || int(r) >= len(m.config.Levels) {
		return false
	}
	m.pin = &Pin{r, until}
	return true
}

// Unpin lets the signals decide again.
func (m *Machine) Unpin() { m.pin = nil }

// Explain says for each condition of each level how it stands.
func (m *Machine) Explain() (lines []string) {
	for i, l := range m.config.Levels {
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

// MaxChangesPerMinute is how many changes there are in a minute at the most: a step up is counted, and each step down but the first few
// needs one up before it.
func (f Config) MaxChangesPerMinute() int { return 2*f.MaxUpgradesPerMinute + len(f.Levels) - 1 }

// UsesSignal tells whether any level is entered by a signal.
func (f Config) UsesSignal(s Signal) bool {
	return slices.ContainsFunc(f.Levels, func(l Level) bool {
		return slices.ContainsFunc(l.Conditions, func(c Condition) bool { return c.Signal == s })
	})
}
