package degradation

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Change is a change from one level to another.
type Change struct {
	At       Time
	From, To Rank
	Reason   string // the conditions and their values, or that the level is pinned
	Readings Readings
}

// Pin holds a level until a point in time, whatever the signals say.
type Pin struct {
	Rank  Rank
	Until Time
}

// Machine is the level of one scope: the whole gatherer, or one segment.
type Machine struct {
	config     Config
	now        Time
	rank       Rank
	since      Time
	smoothed   Readings
	receivedAt [NumSignals]Time // when each signal was last known
	observedAt Time
	pin        *Pin

	enteringSince []Time // by rank: since when an entry condition holds; unset = none does
	clearSince    Time   // since when all exit conditions of the current level hold; unset = they do not
	signalMissing bool   // one of the level's signals was unknown in that time

	leftAt           []Time // by rank: when the level was last left for a better one
	backoff          int    // factor on Config.ExitAfter, from 1 to Config.MaxBackoff
	backoffChangedAt Time
	upgrades         []Time // changes to a better level within the last minute
}

const (
	unset = Time(-1)
	never = Time(math.MinInt64 / 4) // longer ago than any window
)

// New returns a machine at full service. It starts there after a restart, too: its signals take it to the right level within
// Config.EnterAfter.
func New(config Config, now Time) *Machine {
	m := &Machine{config: config, now: now, since: now, clearSince: unset, backoff: 1, backoffChangedAt: never}
	for range config.Levels {
		m.enteringSince = append(m.enteringSince, unset)
		m.leftAt = append(m.leftAt, never)
	}
	for i := range m.receivedAt {
		m.receivedAt[i] = never
	}
	return m
}

// Rank returns the rank of the current level.
func (m *Machine) Rank() Rank { return m.rank }

// Since returns when the current level was entered.
func (m *Machine) Since() Time { return m.since }

// Level returns the current level.
func (m *Machine) Level() Level { return m.config.Levels[m.rank] }

// Readings returns the smoothed signals.
func (m *Machine) Readings() Readings { return m.smoothed }

// Pin holds a level until a point in time. It returns false where there is no level of that rank.
func (m *Machine) Pin(r Rank, until Time) bool {
	if r < 0 || int(r) >= len(m.config.Levels) {
		return false
	}
	m.pin = &Pin{r, until}
	return true
}

// Unpin removes the pin: the signals decide again.
func (m *Machine) Unpin() { m.pin = nil }

// Pinned returns the pin in force, and whether there is one.
func (m *Machine) Pinned() (Pin, bool) {
	if m.pin == nil {
		return Pin{}, false
	}
	return *m.pin, true
}

// Reconfigure replaces the configuration, as on a reload. The level of the same name stays in force; where there is none, the level
// of the same rank, or the last one.
func (m *Machine) Reconfigure(config Config) {
	name := m.Level().Name
	next := New(config, m.now)
	next.smoothed, next.receivedAt, next.observedAt = m.smoothed, m.receivedAt, m.observedAt
	next.upgrades, next.backoff, next.backoffChangedAt = m.upgrades, m.backoff, m.backoffChangedAt
	next.rank = min(m.rank, Rank(len(config.Levels)-1))
	if at := slices.IndexFunc(config.Levels, func(l Level) bool { return l.Name == name }); at >= 0 {
		next.rank = Rank(at)
	}
	next.since = m.since
	if m.pin != nil && int(m.pin.Rank) < len(config.Levels) {
		next.pin = m.pin
	}
	*m = *next
}

// Observe adds a reading of each signal to the smoothed ones. A clock that steps back stands still here until it has caught up.
func (m *Machine) Observe(now Time, readings Readings) {
	m.now = max(m.now, now)
	keep := 0.0
	if m.config.SmoothingTime > 0 && m.observedAt > 0 {
		keep = math.Exp(-float64(m.now-m.observedAt) / float64(m.config.SmoothingTime))
	}
	for s, reading := range readings {
		smoothed := &m.smoothed[s]
		switch {
		case !reading.Known || math.IsNaN(reading.Value) || math.IsInf(reading.Value, 0):
			smoothed.Known = smoothed.Known && m.now-m.receivedAt[s] <= m.config.StaleAfter
		case !smoothed.Known:
			*smoothed, m.receivedAt[s] = reading, m.now
		default:
			smoothed.Value = reading.Value + (smoothed.Value-reading.Value)*keep
			m.receivedAt[s] = m.now
		}
	}
	m.observedAt = m.now
}

// Evaluate advances the machine to a point in time and returns the change of level, if there is one. It goes to a worse level at once,
// as far as the signals ask for, and to a better one rank by rank.
func (m *Machine) Evaluate(now Time) (Change, bool) {
	m.now = max(m.now, now)
	m.trackConditions()
	if m.pin != nil {
		switch {
		case m.now >= m.pin.Until:
			m.pin = nil // from here on the signals decide
		case m.rank != m.pin.Rank:
			return m.transition(m.pin.Rank, "pinned"), true
		default:
			return Change{}, false
		}
	}
	for to := Rank(len(m.config.Levels) - 1); to > m.rank; to-- {
		if since := m.enteringSince[to]; since >= 0 && m.now-since >= m.config.EnterAfter {
			return m.transition(to, m.entryReason(to)), true
		}
	}
	if m.rank > 0 && m.clearSince >= 0 && m.now-m.clearSince >= m.exitDelay() && m.canUpgrade() {
		reason := fmt.Sprintf("%s is over for %.1f s", m.Level().Name, float64(m.now-m.clearSince)/float64(Second))
		return m.transition(m.rank-1, reason), true
	}
	return Change{}, false
}

// exitDelay returns how long the exit conditions must hold before the current level is left.
func (m *Machine) exitDelay() Time {
	delay := m.config.ExitAfter * Time(m.backoff)
	if m.signalMissing {
		delay *= missingSignalFactor
	}
	return delay
}

// trackConditions updates since when the entry conditions of each level and the exit conditions of the current one hold, and lowers
// the backoff of a machine that has not flapped for a while.
func (m *Machine) trackConditions() {
	for i, level := range m.config.Levels {
		entering := slices.ContainsFunc(level.Conditions, func(c Condition) bool {
			r := m.smoothed[c.Signal]
			return r.Known && r.Value >= c.Enter
		})
		if !entering {
			m.enteringSince[i] = unset
		} else if m.enteringSince[i] < 0 {
			m.enteringSince[i] = m.now
		}
	}
	allClear, unknown := true, false
	for _, c := range m.Level().Conditions {
		r := m.smoothed[c.Signal]
		allClear = allClear && !(r.Known && r.Value >= c.Exit)
		unknown = unknown || !r.Known
	}
	switch {
	case !allClear:
		m.clearSince, m.signalMissing = unset, false
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

// canUpgrade reports whether a change to a better level is within the limit a minute.
func (m *Machine) canUpgrade() bool {
	m.dropOldUpgrades()
	return len(m.upgrades) < m.config.MaxUpgradesPerMinute
}

func (m *Machine) dropOldUpgrades() {
	m.upgrades = slices.DeleteFunc(m.upgrades, func(at Time) bool { return m.now-at >= minute })
}

func (m *Machine) transition(to Rank, reason string) Change {
	c := Change{At: m.now, From: m.rank, To: to, Reason: reason, Readings: m.smoothed}
	if to < m.rank {
		m.leftAt[m.rank] = m.now
		m.dropOldUpgrades()
		m.upgrades = append(m.upgrades, m.now)
	} else {
		m.backOffIfFlapping(to)
	}
	m.rank, m.since, m.clearSince, m.signalMissing = to, m.now, unset, false
	return c
}

// backOffIfFlapping doubles the backoff where a level that is entered now was left only a short time ago.
func (m *Machine) backOffIfFlapping(to Rank) {
	for rank := m.rank + 1; rank <= to; rank++ {
		if m.now-m.leftAt[rank] < m.config.FlapWindow {
			m.backoff = min(2*m.backoff, m.config.MaxBackoff)
			m.backoffChangedAt = m.now
			return
		}
	}
}

// entryReason lists the conditions that enter a level.
func (m *Machine) entryReason(rank Rank) string {
	var all []string
	for _, c := range m.config.Levels[rank].Conditions {
		if r := m.smoothed[c.Signal]; r.Known && r.Value >= c.Enter {
			all = append(all, fmt.Sprintf("%s %.3g >= %.3g", c.Signal, r.Value, c.Enter))
		}
	}
	return strings.Join(all, ", ")
}

// Explain returns a line for each condition of each level with its signal's smoothed value and state.
func (m *Machine) Explain() (lines []string) {
	for i, level := range m.config.Levels {
		for _, c := range level.Conditions {
			r := m.smoothed[c.Signal]
			lines = append(lines, fmt.Sprintf("%d %s: %s %.3g, enters at %.3g, left under %.3g: %s",
				i, level.Name, c.Signal, r.Value, c.Enter, c.Exit, c.state(r)))
		}
	}
	return lines
}

// state describes how a reading stands to the condition's band.
func (c Condition) state(r Reading) string {
	switch {
	case !r.Known:
		return "not known"
	case r.Value >= c.Enter:
		return "enters"
	case r.Value >= c.Exit:
		return "holds"
	}
	return "clear"
}
