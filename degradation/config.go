package degradation

import (
	"fmt"
	"slices"
)

// Rank is a level's index: 0 is full service, each higher rank serves less.
type Rank int

// Condition is a hysteresis band of one signal: the level may be entered at Enter or above, and left only below Exit. Exit is less
// than Enter.
type Condition struct {
	Signal      Signal
	Enter, Exit float64
}

// Policy is what a level serves.
type Policy struct {
	ServedShares []float64 // by query type: share of its requests that is served, from 0 to 1; types beyond the slice are served in full
	MergeShare   float64   // share of the limits on merges, from 0 to 1
	RetryAfter   Time      // the least Retry-After of a rejected request; the most is twice that
}

// servedShare returns the served share of a query type.
func (p Policy) servedShare(queryType int) float64 {
	if queryType < 0 || queryType >= len(p.ServedShares) {
		return 1
	}
	return p.ServedShares[queryType]
}

// Level is one level of service.
type Level struct {
	Name       string
	Conditions []Condition // any of them enters the level; all must be below Exit to leave it. Empty for full service
	Policy     Policy
}

// Config configures a Machine.
type Config struct {
	Levels               []Level // by rank; the first is full service
	SmoothingTime        Time    // time constant of the exponential smoothing of signals; 0 = none
	EnterAfter           Time    // an entry condition must hold for so long
	ExitAfter            Time    // all exit conditions must hold for so long, times the backoff
	FlapWindow           Time    // a level entered again within this time of having been left doubles the backoff
	MaxBackoff           int     // the largest backoff factor
	MaxUpgradesPerMinute int     // changes to a better level in any minute
	StaleAfter           Time    // a signal without a known reading for so long becomes unknown
	RampUp               Time    // after a change to a better level the served share grows over this time
}

// missingSignalFactor is how many times longer an exit takes while one of the level's signals is unknown: a missing signal neither
// holds a level for ever nor lifts it at once.
const missingSignalFactor = 4

// Validate returns what is wrong with the configuration, one sentence a problem.
func (c Config) Validate() (problems []string) {
	if len(c.Levels) == 0 {
		problems = append(problems, "there is no level")
	}
	names := map[string]bool{}
	for i, l := range c.Levels {
		if names[l.Name] {
			problems = append(problems, fmt.Sprintf("level %s is there twice", l.Name))
		}
		names[l.Name] = true
		problems = append(problems, c.validateLevel(i)...)
	}
	if c.ExitAfter <= 0 || c.EnterAfter < 0 || c.FlapWindow < 0 || c.SmoothingTime < 0 || c.StaleAfter <= 0 ||
		c.MaxUpgradesPerMinute < 1 || c.MaxBackoff < 1 {
		problems = append(problems, "a time or a number is missing")
	}
	return problems
}

func (c Config) validateLevel(rank int) (problems []string) {
	l := c.Levels[rank]
	if rank == 0 && len(l.Conditions) > 0 {
		problems = append(problems, fmt.Sprintf("level %s is full service and has conditions", l.Name))
	}
	if rank > 0 && len(l.Conditions) == 0 {
		problems = append(problems, fmt.Sprintf("level %s is never entered: it has no condition", l.Name))
	}
	for _, band := range l.Conditions {
		if !(band.Exit < band.Enter) {
			problems = append(problems, fmt.Sprintf("level %s: %s is left at %g, not under the %g at which it is entered",
				l.Name, band.Signal, band.Exit, band.Enter))
		}
	}
	for t, share := range l.Policy.ServedShares {
		if rank > 0 && share > c.Levels[rank-1].Policy.servedShare(t) {
			problems = append(problems, fmt.Sprintf("level %s serves more of query type %d than %s does", l.Name, t, c.Levels[rank-1].Name))
		}
	}
	return problems
}

// MaxChangesPerMinute returns an upper bound on level changes in any minute: upgrades are limited, and each downgrade but the first
// few needs an upgrade before it.
func (c Config) MaxChangesPerMinute() int { return 2*c.MaxUpgradesPerMinute + len(c.Levels) - 1 }

// UsesSignal reports whether any level is entered by a signal.
func (c Config) UsesSignal(s Signal) bool {
	return slices.ContainsFunc(c.Levels, func(l Level) bool {
		return slices.ContainsFunc(l.Conditions, func(band Condition) bool { return band.Signal == s })
	})
}
