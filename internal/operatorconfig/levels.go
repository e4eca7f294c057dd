package operatorconfig

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"oxbowspan/degradation"
)

// Levels holds the sections [levels] and [level NAME], which configure the degradation levels.
type Levels struct {
	Config       degradation.Config   // without served shares: the indexes of query types follow from the platform's configuration
	ServedShares []map[string]float64 // served shares, by rank and name of the query type
	Socket       string               // path of the admin socket; "" = none
	lines        []int                // lines of the levels' sections, by rank
	path         string               // of the operator's file
}

// fullServiceName is the name of the level of full service, which has no section.
const fullServiceName = "full"

// defaultExitRatio is the exit threshold of a signal for which the file sets none, as a fraction of the entry threshold.
const defaultExitRatio = 0.7

// parseLevels reads the levels. Ranks follow the order in the file; rank 0 is full service. It returns nil if there are none.
func (p *parser) parseLevels() *Levels {
	levels := &Levels{ServedShares: []map[string]float64{nil}, lines: []int{0}, path: p.path}
	levels.Config.Levels = []degradation.Level{{Name: fullServiceName, Policy: degradation.Policy{MergeShare: 1}}}
	p.sectionsOf("level", func(name string, s *section) {
		level, shares := s.parseLevel(name)
		levels.Config.Levels = append(levels.Config.Levels, level)
		levels.ServedShares = append(levels.ServedShares, shares)
		levels.lines = append(levels.lines, p.lines[sectionLabel(s.ini.Name())])
	})
	s := p.section("levels")
	if s == nil {
		if len(levels.Config.Levels) > 1 {
			p.problems.add(levels.lines[1], "a [level] section needs a section [levels]")
		}
		return nil
	}
	s.parseTransitionSettings(&levels.Config)
	if socket, given := s.text("socket"); given {
		levels.Socket = p.resolve(socket)
	}
	line := p.lines[sectionLabel("levels")]
	s.rejectUnknownKeys()
	if len(levels.Config.Levels) == 1 {
		p.problems.add(line, "[levels] needs a section [level NAME] at least")
		return nil
	}
	for _, problem := range levels.Config.Validate() {
		p.problems.add(line, "[levels]: %s", problem)
	}
	return levels
}

// parseTransitionSettings reads the settings of the section [levels] that control when the level changes.
func (s *section) parseTransitionSettings(c *degradation.Config) {
	milliseconds := func(key string, defaultValue, minimum, maximum time.Duration) degradation.Time {
		return degradation.Time(s.duration(key, defaultValue, minimum, maximum).Milliseconds())
	}
	c.SmoothingTime = milliseconds("smooth", time.Second, 0, time.Minute)
	c.EnterAfter = milliseconds("enter_for", time.Second, 0, time.Minute)
	c.ExitAfter = milliseconds("exit_for", 5*time.Second, 100*time.Millisecond, time.Hour)
	c.FlapWindow = milliseconds("swing", time.Minute, time.Second, day)
	c.StaleAfter = milliseconds("stale", 5*time.Second, 500*time.Millisecond, time.Hour)
	c.RampUp = milliseconds("ramp", 5*time.Second, 0, time.Hour)
	c.MaxBackoff = int(s.count("longest", 16, 1, 1000))
	c.MaxUpgradesPerMinute = int(s.count("ups", 4, 1, 60))
}

// parseLevel reads a section [level NAME] and returns the level and its served shares by query type.
func (s *section) parseLevel(name string) (level degradation.Level, shares map[string]float64) {
	level.Name, shares = name, map[string]float64{}
	level.Conditions = s.conditions()
	for _, share := range s.namedNumbers("share") {
		if share.value < 0 || share.value > 1 {
			s.addKeyProblem("share", "%g of %s is not from 0 to 1", share.value, share.name)
		}
		shares[share.name] = share.value
	}
	level.Policy.MergeShare = 1
	if text, given := s.text("merge"); given {
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || !(v >= 0 && v <= 1) {
			s.addKeyProblem("merge", "%.40q is not from 0 to 1", text)
		}
		level.Policy.MergeShare = v
	}
	retryAfter := s.duration("retry_after", time.Second, 10*time.Millisecond, time.Hour)
	level.Policy.RetryAfter = degradation.Time(retryAfter.Milliseconds())
	s.rejectUnknownKeys()
	return level, shares
}

// conditions reads the entry and exit thresholds of a level, by signal.
func (s *section) conditions() (conditions []degradation.Condition) {
	enter, exit := s.namedNumbers("enter"), s.namedNumbers("exit")
	for _, threshold := range enter {
		signal, known := degradation.ParseSignal(threshold.name)
		if !known {
			s.addKeyProblem("enter", "%.40q is no signal: lost, load, late, list_age, cold, store and segment_lost are", threshold.name)
			continue
		}
		c := degradation.Condition{Signal: signal, Enter: threshold.value, Exit: threshold.value * defaultExitRatio}
		for _, other := range exit {
			if other.name == threshold.name {
				c.Exit = other.value
			}
		}
		conditions = append(conditions, c)
	}
	for _, threshold := range exit {
		if !slices.ContainsFunc(enter, func(other namedNumber) bool { return other.name == threshold.name }) {
			s.addKeyProblem("exit", "%.40q does not enter this level", threshold.name)
		}
	}
	return conditions
}

// ConfigFor returns the configuration for the query types of the platform's configuration, in the order of their indexes. A query type
// for which a level sets no served share has the share of the next lower rank, and at rank 0 a share of 1. The error is a ConfigError.
func (l *Levels) ConfigFor(queryTypes []string) (degradation.Config, error) {
	config := l.Config
	config.Levels = slices.Clone(l.Config.Levels)
	var errs []error
	previous := make([]float64, len(queryTypes))
	for i := range previous {
		previous[i] = 1
	}
	for rank := range config.Levels {
		served := slices.Clone(previous)
		for name, share := range l.ServedShares[rank] {
			if i := slices.Index(queryTypes, name); i >= 0 {
				served[i] = share
			} else {
				errs = append(errs, l.levelError(rank, fmt.Sprintf("[level %s] share: %s is no query type of the settings", config.Levels[rank].Name, name)))
			}
		}
		config.Levels[rank].Policy.ServedShares = served
		previous = served
	}
	if len(errs) == 0 {
		for _, problem := range config.Validate() {
			errs = append(errs, l.levelError(1, problem))
		}
	}
	return config, JoinErrors(errs...)
}

// levelError returns an error at the line of a level's section.
func (l *Levels) levelError(rank int, text string) error {
	return &ConfigError{l.path, []Problem{{l.lines[rank], text}}}
}
