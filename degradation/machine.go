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
	Reason   string   // the conditions and their values, or that the level is pinned
	Readings Readings // smoothed signals at the time of the change
}

// Pin holds a level until a point in time, regardless of the signals.
type Pin struct {
	Rank  Rank
	Until Time
}

// Machine determines the level of one scope: the whole gatherer, or one segment.
type Machine struct {
	config     Config
	now        Time // latest time passed in; it never decreases
	rank       Rank
	since      Time // when the current level was entered
	smoothed   Readings
	receivedAt [NumSignals]Time // when each signal was last known
	observedAt Time             // time of the last Observe
	pin        *Pin             // nil = not pinned

	enteringSince []Time // by rank: since when an entry condition holds; unset = none does
	clearSince    Time   // since when all exit conditions of the current level hold; unset = they do not
	signalMissing bool   // one of the level's signals was unknown since clearSince

	leftAt           []Time // by rank: when the level was last left by an upgrade
	backoff          int    // factor on Config.ExitAfter, from 1 to Config.MaxBackoff
	backoffChangedAt Time
	upgrades         []Time // times of the upgrades within the last minute
}

const (
	unset = Time(-1)
	never = Time(math.MinInt64 / 4) // longer ago than any window
)

// New returns a machine at full service. The level is not kept over a restart of the process: the machine starts at full
// service and its signals lead to the right level within Config.EnterAfter.
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

// Pin holds a level until a point in time. It returns false if there is no level with that rank.
func (m *Machine) Pin(r Rank, until Time) bool {
	if r < 0 || int(r) >= len(m.config.Levels) {
		return false
	}
	m.pin = &Pin{r, until}
	return true
}

// Unpin removes the pin: the level depends on the signals again.
func (m *Machine) Unpin() { m.pin = nil }

// Pinned returns the pin in force, and whether there is one.
func (m *Machine) Pinned() (Pin, bool) {
	if m.pin == nil {
		return Pin{}, false
	}
	return *m.pin, true
}

// Reconfigure replaces the configuration, as on a reload. The level with the same name stays in force; if there is none, the
// level with the same rank; if there is none either, the last level.
func (m *Machine) Reconfigure(config Config) {
	name := m.Level().Name
	next := New(config, m.now)
	next.smoothed, next.receivedAt, next.observedAt = m.smoothed, m.receivedAt, m.observedAt
	next.upgrades, next.backoff, next.backoffChangedAt = m.upgrades, m.backoff, m.backoffChangedAt
	next.rank = min(m.rank, Rank(len(config.Levels)-1))
	if i := slices.IndexFunc(config.Levels, func(l Level) bool { return l.Name == name }); i >= 0 {
		next.rank = Rank(i)
	}
	next.since = m.since
	if m.pin != nil && int(m.pin.Rank) < len(config.Levels) {
		next.pin = m.pin
	}
	*m = *next
}

// Observe adds a reading of each signal to the smoothed signals. If the clock steps back, the machine's time does not advance
// until the clock has caught up.
func (m *Machine) Observe(now Time, readings Readings) {
	m.now = max(m.now, now)
	previousWeight := 0.0
	if m.config.SmoothingTime > 0 && m.observedAt > 0 {
		previousWeight = math.Exp(-float64(m.now-m.observedAt) / float64(m.config.SmoothingTime))
	}
	for s, reading := range readings {
		smoothed := &m.smoothed[s]
		switch {
		case !reading.Known || math.IsNaN(reading.Value) || math.IsInf(reading.Value, 0):
			smoothed.Known = smoothed.Known && m.now-m.receivedAt[s] <= m.config.StaleAfter
		case !smoothed.Known:
			*smoothed, m.receivedAt[s] = reading, m.now
		default:
			smoothed.Value = reading.Value + (smoothed.Value-reading.Value)*previousWeight
			m.receivedAt[s] = m.now
		}
	}
	m.observedAt = m.now
}

// Evaluate advances the machine to a point in time and returns the change of level, if there is one. A downgrade goes
// directly to the worst level whose entry condition has held long enough; an upgrade goes one rank at a time.
func (m *Machine) Evaluate(now Time) (Change, bool) {
	m.now = max(m.now, now)
	m.trackConditions()
	if m.pin != nil {
		switch {
		case m.now >= m.pin.Until:
			m.pin = nil // the pin has expired, and the signals decide again
		case m.rank != m.pin.Rank:
			return m.changeLevel(m.pin.Rank, "pinned"), true
		default:
			return Change{}, false
		}
	}
	for to := Rank(len(m.config.Levels) - 1); to > m.rank; to-- {
		if since := m.enteringSince[to]; since >= 0 && m.now-since >= m.config.EnterAfter {
			return m.changeLevel(to, m.entryReason(to)), true
		}
	}
	if m.rank > 0 && m.clearSince >= 0 && m.now-m.clearSince >= m.exitDelay() && m.canUpgrade() {
		reason := fmt.Sprintf("%s is over for %.1f s", m.Level().Name, float64(m.now-m.clearSince)/float64(Second))
		return m.changeLevel(m.rank-1, reason), true
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

// trackConditions updates enteringSince, clearSince and signalMissing from the smoothed signals, and halves the backoff after
// each Config.FlapWindow in which it has not changed.
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

// canUpgrade reports whether another upgrade is within Config.MaxUpgradesPerMinute.
func (m *Machine) canUpgrade() bool {
	m.dropOldUpgrades()
	return len(m.upgrades) < m.config.MaxUpgradesPerMinute
}

// dropOldUpgrades removes upgrades that are a minute old or older.
func (m *Machine) dropOldUpgrades() {
	m.upgrades = slices.DeleteFunc(m.upgrades, func(at Time) bool { return m.now-at >= minute })
}

// changeLevel enters a level and returns the change.
func (m *Machine) changeLevel(to Rank, reason string) Change {
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

// backOffIfFlapping doubles the backoff, up to Config.MaxBackoff, if a level that is entered by a downgrade to a rank was
// left within Config.FlapWindow.
func (m *Machine) backOffIfFlapping(to Rank) {
	for rank := m.rank + 1; rank <= to; rank++ {
		if m.now-m.leftAt[rank] < m.config.FlapWindow {
			m.backoff = min(2*m.backoff, m.config.MaxBackoff)
			m.backoffChangedAt = m.now
			return
		}
	}
}

// entryReason lists the conditions of a level that are at or above their entry thresholds, with the values of their signals.
func (m *Machine) entryReason(rank Rank) string {
	var reasons []string
	for _, c := range m.config.Levels[rank].Conditions {
		if r := m.smoothed[c.Signal]; r.Known && r.Value >= c.Enter {
			reasons = append(reasons, fmt.Sprintf("%s %.3g >= %.3g", c.Signal, r.Value, c.Enter))
		}
	}
	return strings.Join(reasons, ", ")
}

// Explain returns one line for each condition of each level, with the smoothed value of its signal, its thresholds and its
// state.
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

// state describes a reading relative to the condition's thresholds.
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
