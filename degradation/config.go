package degradation

import (
	"fmt"
	"slices"
)

// Rank is a level's index: 0 is full service, and each higher rank serves less.
type Rank int

// Condition is a hysteresis band of one signal: the level may be entered while the signal is at Enter or above, and left only
// while it is below Exit. Exit is less than Enter.
type Condition struct {
	Signal      Signal
	Enter, Exit float64
}

// Policy sets what a level serves.
type Policy struct {
	ServedShares []float64 // by query type: share of its requests that is served, from 0 to 1; types beyond the slice are served in full
	MergeShare   float64   // share of the merge limits that may be used, from 0 to 1
	RetryAfter   Time      // minimum Retry-After of a rejected request; the maximum is twice that
}

// servedShare returns the served share of a query type.
func (p Policy) servedShare(queryType int) float64 {
	if queryType < 0 || queryType >= len(p.ServedShares) {
		return 1
	}
	return p.ServedShares[queryType]
}

// Level is one degradation level.
type Level struct {
	Name       string
	Conditions []Condition // any of them enters the level; all must be below Exit to leave it. Empty for full service only
	Policy     Policy
}

// Config configures a Machine.
type Config struct {
	Levels               []Level // by rank; the first is full service
	SmoothingTime        Time    // time constant of the exponential smoothing of signals; 0 = no smoothing
	EnterAfter           Time    // how long an entry condition must hold before its level is entered
	ExitAfter            Time    // how long all exit conditions must hold before a level is left, multiplied by the backoff
	FlapWindow           Time    // a level that is entered again within this time of being left doubles the backoff
	MaxBackoff           int     // maximum backoff factor
	MaxUpgradesPerMinute int     // maximum number of upgrades in any minute
	StaleAfter           Time    // how long a signal may be without a known reading before it becomes unknown
	RampUp               Time    // how long the served share takes to grow to its new value after an upgrade
}

// missingSignalFactor is the factor by which an exit takes longer while one of the level's signals is unknown: a missing signal
// neither holds a level forever nor ends it at once.
const missingSignalFactor = 4

// Validate returns the problems of the configuration, one sentence each; none if it is valid.
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
	for _, condition := range l.Conditions {
		if !(condition.Exit < condition.Enter) {
			problems = append(problems, fmt.Sprintf("level %s: %s is left at %g, not under the %g at which it is entered",
				l.Name, condition.Signal, condition.Exit, condition.Enter))
		}
	}
	for t, share := range l.Policy.ServedShares {
		if rank > 0 && share > c.Levels[rank-1].Policy.servedShare(t) {
			problems = append(problems, fmt.Sprintf("level %s serves more of query type %d than %s does", l.Name, t, c.Levels[rank-1].Name))
		}
	}
	return problems
}

// MaxChangesPerMinute returns an upper bound on the number of level changes in any minute. Upgrades are limited, and all
// downgrades but the first len(Levels)-1 require an upgrade before them.
func (c Config) MaxChangesPerMinute() int { return 2*c.MaxUpgradesPerMinute + len(c.Levels) - 1 }

// UsesSignal reports whether any level has a condition on a signal.
func (c Config) UsesSignal(s Signal) bool {
	return slices.ContainsFunc(c.Levels, func(l Level) bool {
		return slices.ContainsFunc(l.Conditions, func(condition Condition) bool { return condition.Signal == s })
	})
}
