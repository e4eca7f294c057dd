package rollout

import (
	"fmt"
	"math"
)

// Parameters of the analysis. docs/measured/rollouts.md has its rate of false alarms and its statistical power.
const (
	// alarmThreshold is the cumulative log likelihood ratio from which a version is classified as bad. Fewer than one in
	// e^alarmThreshold runs of bad responses leads a single test to a false alarm.
	alarmThreshold = 9.0
	// A good version is assumed to have a share of bad responses of baselineFactor times the baseline, which is that of the other
	// versions, within the bounds minGoodShare and maxGoodShare.
	baselineFactor = 1.5
	minGoodShare   = 0.04
	maxGoodShare   = 0.5
	// A bad version is assumed to have a share of bad responses of badFactor times that of a good version, within the bounds
	// minBadShare and maxBadShare.
	minBadShare = 0.2
	badFactor   = 3.0
	maxBadShare = 0.9
	// The baseline is the larger of the shares of bad responses among the last longWindowSize and the last shortWindowSize responses
	// of the other versions. The long window is stable; the short one shows a fault that affects both versions as soon as the
	// target version shows it.
	longWindowSize  = 1000
	shortWindowSize = 30
	// maxRoutes is the maximum number of routes that are analyzed separately.
	maxRoutes = 64
)

// Counts counts the responses of the servers of one version.
type Counts struct {
	Responses uint64 // all responses, including failures and requests that were cancelled because they took too long
	Bad       uint64 // failures, and responses that took several times longer than usual
}

// RouteCounts counts the responses to the requests of one route.
type RouteCounts struct {
	Stable, Target Counts // of all other versions, and of the target version
}

// Analysis compares the responses of the target version with those of the other versions, for each route as responses are
// reported. It is a CUSUM test: a sequential probability ratio test that restarts whenever its result favors the version, so that a
// version that turns bad late is detected as quickly as one that was bad from the start.
type Analysis struct {
	routes   map[string]*routeAnalysis
	reported map[uint64]map[string]RouteCounts // last report of each gateway, by gateway and route
	total    RouteCounts
}

// routeAnalysis is the analysis of one route.
type routeAnalysis struct {
	longWindow, shortWindow window  // responses of the other versions
	score                   float64 // cumulative log likelihood ratio, at least 0
	target                  Counts  // responses of the target version
}

// window estimates a share of bad responses from the newest responses: the weight of older ones decays once it holds size.
type window struct {
	size, responses, bad float64
}

// add adds newer responses.
func (w *window) add(c Counts) {
	w.responses += float64(c.Responses)
	w.bad += float64(c.Bad)
	if w.responses > w.size {
		w.bad *= w.size / w.responses
		w.responses = w.size
	}
}

// share returns the share of bad responses, or 0 if there are no responses.
func (w *window) share() float64 {
	if w.responses == 0 {
		return 0
	}
	return w.bad / w.responses
}

// NewAnalysis returns an analysis without evidence.
func NewAnalysis() *Analysis {
	return &Analysis{routes: map[string]*routeAnalysis{}, reported: map[uint64]map[string]RouteCounts{}}
}

// Report records what a gateway, identified by its incarnation, has counted on a route since the rollout began. A report with lower
// counts than the gateway's previous one is ignored.
func (a *Analysis) Report(gateway uint64, route string, counts RouteCounts) {
	byRoute := a.reported[gateway]
	if byRoute == nil {
		byRoute = map[string]RouteCounts{}
		a.reported[gateway] = byRoute
	}
	previous := byRoute[route]
	if counts.Stable.Responses < previous.Stable.Responses || counts.Target.Responses < previous.Target.Responses {
		return // an older report that arrived late
	}
	byRoute[route] = counts
	r := a.routes[route]
	if r == nil {
		if len(a.routes) >= maxRoutes {
			route = "" // all further routes are analyzed as one
			r = a.routes[route]
		}
		if r == nil {
			r = &routeAnalysis{longWindow: window{size: longWindowSize}, shortWindow: window{size: shortWindowSize}}
			a.routes[route] = r
		}
	}
	added := RouteCounts{Stable: counts.Stable.since(previous.Stable), Target: counts.Target.since(previous.Target)}
	a.total.Stable.add(added.Stable)
	a.total.Target.add(added.Target)
	r.add(added)
}

// since returns the responses that were counted after an earlier report.
func (c Counts) since(previous Counts) Counts {
	return Counts{Responses: c.Responses - previous.Responses, Bad: c.Bad - previous.Bad}
}

// add adds other counts.
func (c *Counts) add(other Counts) {
	c.Responses += other.Responses
	c.Bad += other.Bad
}

// add adds responses and updates the score. Those of the other versions are added first, so that a fault that affects both versions
// is not held against the target version.
func (r *routeAnalysis) add(added RouteCounts) {
	r.longWindow.add(added.Stable)
	r.shortWindow.add(added.Stable)
	r.target.add(added.Target)
	good, bad := r.assumedShares()
	badLogRatio, goodLogRatio := math.Log(bad/good), math.Log((1-bad)/(1-good))
	goodResponses := float64(added.Target.Responses - min(added.Target.Bad, added.Target.Responses))
	// The order of the responses is unknown: a controller that has just started receives those of the whole rollout in one report.
	r.score = max(0, r.score+goodResponses*goodLogRatio+float64(added.Target.Bad)*badLogRatio)
}

// assumedShares returns the shares of bad responses that a good and a bad version are assumed to have.
func (r *routeAnalysis) assumedShares() (good, bad float64) {
	baseline := max(r.longWindow.share(), r.shortWindow.share())
	good = min(max(minGoodShare, baselineFactor*baseline), maxGoodShare)
	bad = min(max(minBadShare, badFactor*good), maxBadShare)
	return good, bad
}

// FailureReason returns why the target version is classified as bad, or "" if it is not.
func (a *Analysis) FailureReason() string {
	for route, r := range a.routes {
		if r.score >= alarmThreshold {
			return fmt.Sprintf("%d of %d answers on %q are failures or too slow, %.0f of the last %.0f of the other versions", r.target.Bad,
				r.target.Responses, route, r.longWindow.bad, r.longWindow.responses)
		}
	}
	return ""
}

// Responses returns the number of responses that were counted, of the other versions and of the target version.
func (a *Analysis) Responses() (other, target uint64) {
	return a.total.Stable.Responses, a.total.Target.Responses
}
