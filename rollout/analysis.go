package rollout

import (
	"fmt"
	"math"
)

// Parameters of the analysis. Its false alarms and its power are in docs/measured/rollouts.md.
const (
	// alarmLevel is the cumulative log likelihood ratio above which a version is found to be bad. A single test alarms falsely in
	// less than one of e to this many runs of bad answers.
	alarmLevel = 9.0
	// baselineFactor times the share of bad answers of the other versions is taken for good.
	baselineFactor = 1.5
	minGoodShare   = 0.04 // and at least this share
	maxGoodShare   = 0.5
	minBadShare    = 0.2 // a bad version is taken to answer at least this share badly,
	badFactor      = 3.0 // and at least so many times the good share
	maxBadShare    = 0.9
	// The baseline is the larger of the shares among the last longBaseline and among the last shortBaseline answers of the other
	// versions: the former is steady, the latter shows a fault that both versions meet as soon as the target version does.
	longBaseline  = 1000
	shortBaseline = 30
	// maxRoutes bounds the routes that are told apart.
	maxRoutes = 64
)

// Counts are the answers of the servers of one version.
type Counts struct {
	Answers uint64 // failures, and requests broken off as too slow, among them
	Bad     uint64 // failures, and those that were several times slower than usual
}

// RouteCounts are the answers to the requests of one route.
type RouteCounts struct {
	Old, New Counts
}

// Analysis compares the answers of the target version with those of the others, route by route, as they come (CUSUM: a sequential
// probability ratio test that begins anew whenever it speaks for the version, so that one that turns bad late is found as soon as
// one that was bad from the start).
type Analysis struct {
	routes   map[string]*routeAnalysis
	reported map[uint64]map[string]RouteCounts // by gateway, by route: the last that it reported
	total    RouteCounts
}

// routeAnalysis is the analysis of one route.
type routeAnalysis struct {
	long, short window  // of answers of the other versions
	score       float64 // log likelihood ratio, 0 or above
	new         Counts
}

// window counts the newest answers; older ones fade.
type window struct {
	size, answers, bad float64
}

func (w *window) add(c Counts) {
	w.answers += float64(c.Answers)
	w.bad += float64(c.Bad)
	if w.answers > w.size {
		w.bad *= w.size / w.answers
		w.answers = w.size
	}
}

// share returns the share of bad answers, 0 where there are none.
func (w *window) share() float64 {
	if w.answers == 0 {
		return 0
	}
	return w.bad / w.answers
}

// NewAnalysis returns an analysis without evidence.
func NewAnalysis() *Analysis {
	return &Analysis{routes: map[string]*routeAnalysis{}, reported: map[uint64]map[string]RouteCounts{}}
}

// Report takes what a gateway, named by its incarnation, counted on a route since the rollout began.
func (a *Analysis) Report(gateway uint64, route string, counts RouteCounts) {
	byRoute := a.reported[gateway]
	if byRoute == nil {
		byRoute = map[string]RouteCounts{}
		a.reported[gateway] = byRoute
	}
	before := byRoute[route]
	if counts.Old.Answers < before.Old.Answers || counts.New.Answers < before.New.Answers {
		return // an older report that came late
	}
	byRoute[route] = counts
	r := a.routes[route]
	if r == nil {
		if len(a.routes) >= maxRoutes {
			route = "" // all others together
			r = a.routes[route]
		}
		if r == nil {
			r = &routeAnalysis{long: window{size: longBaseline}, short: window{size: shortBaseline}}
			a.routes[route] = r
		}
	}
	added := RouteCounts{Old: counts.Old.since(before.Old), New: counts.New.since(before.New)}
	a.total.Old.add(added.Old)
	a.total.New.add(added.New)
	r.add(added)
}

// since returns what was counted after an earlier report.
func (c Counts) since(before Counts) Counts {
	return Counts{Answers: c.Answers - before.Answers, Bad: c.Bad - before.Bad}
}

func (c *Counts) add(other Counts) {
	c.Answers += other.Answers
	c.Bad += other.Bad
}

// add takes further answers. Those of the other versions are counted first: a fault that both meet speaks against neither.
func (r *routeAnalysis) add(added RouteCounts) {
	r.long.add(added.Old)
	r.short.add(added.Old)
	r.new.add(added.New)
	good, bad := r.shares()
	forBad, forGood := math.Log(bad/good), math.Log((1-bad)/(1-good))
	goodAnswers := float64(added.New.Answers - min(added.New.Bad, added.New.Answers))
	// Their order is not known: a controller that has just started is told all of a rollout at once.
	r.score = max(0, r.score+goodAnswers*forGood+float64(added.New.Bad)*forBad)
}

// shares returns the shares of bad answers that a good and a bad version are taken to have.
func (r *routeAnalysis) shares() (good, bad float64) {
	baseline := max(r.long.share(), r.short.share())
	good = min(max(minGoodShare, baselineFactor*baseline), maxGoodShare)
	bad = min(max(minBadShare, badFactor*good), maxBadShare)
	return good, bad
}

// Suspect returns why the target version is found to be bad, "" = it is not.
func (a *Analysis) Suspect() string {
	for route, r := range a.routes {
		if r.score >= alarmLevel {
			return fmt.Sprintf("%d of %d answers on %q are failures or too slow, %.0f of the last %.0f of the other versions", r.new.Bad,
				r.new.Answers, route, r.long.bad, r.long.answers)
		}
	}
	return ""
}

// Answers returns how many answers were counted, of the other versions and of the target version.
func (a *Analysis) Answers() (other, target uint64) { return a.total.Old.Answers, a.total.New.Answers }
