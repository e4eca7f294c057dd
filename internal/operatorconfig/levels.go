package operatorconfig

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"oxbowspan/degradation"
)

// Levels is what the sections on reduced service say.
type Levels struct {
	Config degradation.Config   // without the shares of query types, whose numbers only the settings tell
	Shares []map[string]float64 // by rank and query type
	Socket string               // where operators look and pin; "" = nowhere
	lines  []int                // of the levels' sections, by rank
	path   string
}

// fullServiceName is the name of full service, which has no section.
const fullServiceName = "full"

// parseLevels reads the sections on reduced service. Their order in the file is that of the levels.
func (r *parser) parseLevels(path string) *Levels {
	out := &Levels{Shares: []map[string]float64{nil}, lines: []int{0}, path: path}
	out.Config.Levels = []degradation.Level{{Name: fullServiceName, Policy: degradation.Policy{MergeShare: 1}}}
	for _, one := range r.ini.Sections() {
		if name, is := strings.CutPrefix(one.Name(), "level "); is {
			s := &section{parser: r, s: one}
			l, shares := r.parseLevel(s, name)
			out.Config.Levels = append(out.Config.Levels, l)
			out.Shares = append(out.Shares, shares)
			out.lines = append(out.lines, r.lines["["+one.Name()+"]"])
		}
	}
	s := r.section("levels")
	if s == nil {
		if len(out.Config.Levels) > 1 {
			r.addProblem(out.lines[1], "a [level] section needs a section [levels]")
		}
		return nil
	}
	ms := func(key string, absent, least, most time.Duration) degradation.Time {
		return degradation.Time(s.duration(key, absent, least, most).Milliseconds())
	}
	f := &out.Config
	f.SmoothingTime, f.EnterAfter = ms("smooth", time.Second, 0, time.Minute), ms("enter_for", time.Second, 0, time.Minute)
	f.ExitAfter, f.FlapWindow = ms("exit_for", 5*time.Second, 100*time.Millisecond, time.Hour), ms("swing", time.Minute, time.Second, 24*time.Hour)
	f.StaleAfter, f.RampUp = ms("stale", 5*time.Second, 500*time.Millisecond, time.Hour), ms("ramp", 5*time.Second, 0, time.Hour)
	f.MaxBackoff, f.MaxUpgradesPerMinute = int(s.count("longest", 16, 1, 1000)), int(s.count("ups", 4, 1, 60))
	if socket, given := s.text("socket"); given {
		if out.Socket = socket; !filepath.IsAbs(socket) {
			out.Socket = filepath.Join(filepath.Dir(path), socket)
		}
	}
	at := r.lines["[levels]"]
	s.rejectUnknownKeys()
	if len(f.Levels) == 1 {
		r.addProblem(at, "[levels] needs a section [level NAME] at least")
		return nil
	}
	for _, what := range f.Validate() {
		r.addProblem(at, "[levels]: %s", what)
	}
	return out
}

// parseLevel reads one level.
func (r *parser) parseLevel(s *section, name string) (l degradation.Level, shares map[string]float64) {
	l.Name, shares = name, map[string]float64{}
	enter, exit := s.namedNumbers("enter"), s.namedNumbers("exit")
	for _, p := range enter {
		sig, known := degradation.ParseSignal(p.name)
		if !known {
			s.addKeyProblem("enter", "%.40q is no signal: lost, load, late, list_age, cold, store and segment_lost are", p.name)
			continue
		}
		c := degradation.Condition{Signal: sig, Enter: p.value, Exit: p.value * 0.7}
		for _, q := range exit {
			if q.name == p.name {
				c.Exit = q.value
			}
		}
		l.Conditions = append(l.Conditions, c)
	}
	for _, q := range exit {
		found := false
		for _, p := range enter {
			found = found || p.name == q.name
		}
		if !found {
			s.addKeyProblem("exit", "%.40q does not enter this level", q.name)
		}
	}
	for _, p := range s.namedNumbers("share") {
		if p.value < 0 || p.value > 1 {
			s.addKeyProblem("share", "%g of %s is not from 0 to 1", p.value, p.name)
		}
		shares[p.name] = p.value
	}
	l.Policy.MergeShare = 1
	if text, given := s.text("merge"); given {
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || !(v >= 0 && v <= 1) {
			s.addKeyProblem("merge", "%.40q is not from 0 to 1", text)
		}
		l.Policy.MergeShare = v
	}
	l.Policy.RetryAfter = degradation.Time(s.duration("retry_after", time.Second, 10*time.Millisecond, time.Hour).Milliseconds())
	s.rejectUnknownKeys()
	return l, shares
}

type namedNumber struct {
	name  string
	value float64
}

// namedNumbers reads "NAME NUMBER NAME NUMBER".
func (s *section) namedNumbers(key string) (out []namedNumber) {
	words := s.fields(key)
	if len(words)%2 != 0 {
		s.addKeyProblem(key, "is not NAME NUMBER, as often as wanted")
		return nil
	}
	for i := 0; i < len(words); i += 2 {
		v, err := strconv.ParseFloat(words[i+1], 64)
		if err != nil || v < 0 {
			s.addKeyProblem(key, "%.40q behind %s is not a number from 0 up", words[i+1], words[i])
			continue
		}
		out = append(out, namedNumber{words[i], v})
	}
	return out
}

// ConfigFor makes figures for the query types of the settings. A type that a level does not name has the share of the level before.
func (l *Levels) ConfigFor(types []string) (degradation.Config, error) {
	f := l.Config
	f.Levels = append([]degradation.Level(nil), l.Config.Levels...)
	var errs []error
	before := make([]float64, len(types))
	for i := range before {
		before[i] = 1
	}
	for rank := range f.Levels {
		serve := append([]float64(nil), before...)
		for name, share := range l.Shares[rank] {
			at := -1
			for i, t := range types {
				if t == name {
					at = i
				}
			}
			if at < 0 {
				errs = append(errs, &ConfigError{l.path, []Problem{{l.lines[rank], fmt.Sprintf("[level %s] share: %s is no query type of the settings", f.Levels[rank].Name, name)}}})
				continue
			}
			serve[at] = share
		}
		f.Levels[rank].Policy.ServedShares = serve
		before = serve
	}
	if len(errs) == 0 {
		for _, what := range f.Validate() {
			errs = append(errs, &ConfigError{l.path, []Problem{{l.lines[1], what}}})
		}
	}
	return f, JoinErrors(errs...)
}
