package rollout

import "time"

// step is one step of a rollout.
type step struct {
	share float64 // share of the service's requests that reach the target version
	hold  float64 // minimum duration of the step, as a fraction of the rollout's duration
}

// Limits are the limits that the platform sets for rollouts.
type Limits struct {
	// ExposureShare is the share of the requests during a rollout that a bad version may receive; 0 = nominalExposure.
	ExposureShare float64
}

// nominalExposure is the exposure share for which the steps are designed. If the platform allows less, the shares of all steps but the
// last are reduced in proportion.
const nominalExposure = 0.1

// share returns the share of requests that reach the target version in a step.
func (l Limits) share(number int) float64 {
	if number >= LastStep || l.ExposureShare <= 0 {
		return steps[number].share
	}
	return steps[number].share * min(1, l.ExposureShare/nominalExposure)
}

// steps limit the exposure of a version that proves bad in any of them. The sum of share times hold over the steps before the last is
// 0.065 of the requests during the rollout. What the last step adds until the version is detected and reverted (about half a second)
// stays within the platform's limit of 0.1 for a duration of 15 s. A version that is bad only under load is detected in the later steps.
var steps = []step{
	{share: 0, hold: 0}, // waits for servers of the target version
	{share: 0.05, hold: 0.25},
	{share: 0.15, hold: 0.15},
	{share: 0.35, hold: 0.09},
	{share: 1, hold: 0.08},
}

const (
	waitStep = 0 // the first step, which waits for servers
	// LastStep is the step in which all requests go to the target version.
	LastStep = 4

	latestEnd     = 0.85 // fraction of the duration by which the last step's hold ends if servers start late
	minHoldFactor = 0.3  // lower bound of the factor by which holds are shortened for that
	minResponses  = 20   // responses of the target version that each step requires; fewer if there is less traffic
	maxServerWait = 0.3  // fraction of the duration for which a rollout waits for more servers once one is ready
)

// Share returns the share of a service's requests that a gateway may send to the target version. A gateway without contact to the
// controllers sends none, as it would not learn that the version is bad. In the last step it continues to send all requests there,
// because servers of the previous version may have stopped.
func (r *Rollout) Share(inContact bool) float64 {
	switch {
	case r.State == Completed:
		return 1
	case r.State == Reverted || !inContact && r.Step < LastStep:
		return 0
	}
	return r.StepShare
}

// Progress is the progress of a running rollout as known to a controller.
type Progress struct {
	Elapsed     time.Duration // since the beginning of the rollout
	StepElapsed time.Duration // since the beginning of the step

	TargetServers int // number of ready servers of the target version
	StableServers int // number of ready servers of all other versions

	Gateways           int // number of gateways in contact with any controller
	Applied            int // number of these gateways that have applied the step
	OpenStableRequests int // number of requests open at servers of other versions, over all gateways

	StableResponses, TargetResponses uint64 // responses of the other versions and of the target version in this rollout, including failures
	FailureReason                    string // why the target version is classified as bad, "" = it is not
}

// drained reports whether all gateways have applied the step and no request is open at servers of other versions.
func (p *Progress) drained() bool {
	return p.Gateways > 0 && p.Applied >= p.Gateways && p.OpenStableRequests == 0
}

// hasEnoughResponses reports whether the target version has responded to enough requests for a decision, given the traffic.
func (p *Progress) hasEnoughResponses(share float64) bool {
	expected := share * float64(p.StableResponses+p.TargetResponses)
	return float64(p.TargetResponses) >= min(minResponses, expected/2)
}

// Transition is a change of a running rollout to another step or state.
type Transition struct {
	State  State
	Step   int
	Share  float64 // share of requests that may reach the target version in the step
	Reason string
}

// Next returns the transition that is due, with its share reduced to the limits. ok is false if none is due.
func (r *Rollout) Next(p Progress, limits Limits) (next Transition, ok bool) {
	next, ok = r.next(p)
	next.Share = limits.share(next.Step)
	return next, ok
}

// next returns the transition that is due, without its share.
func (r *Rollout) next(p Progress) (next Transition, ok bool) {
	duration := time.Duration(r.DurationS * float64(time.Second))
	switch {
	case r.State != Running || r.Step < waitStep || r.Step > LastStep: // not running, or a step that only a later release defines
		return Transition{}, false
	case p.FailureReason != "":
		return Transition{State: Reverted, Step: r.Step, Reason: p.FailureReason}, true
	case p.Elapsed >= duration:
		return Transition{State: Reverted, Step: r.Step, Reason: "not completed within its duration"}, true
	case r.Step == waitStep:
		enough := p.TargetServers > 0 && (2*p.TargetServers >= p.StableServers || float64(p.Elapsed) >= maxServerWait*float64(duration))
		return Transition{State: Running, Step: r.Step + 1}, enough
	case p.StepElapsed < r.minStepDuration(p.Elapsed-p.StepElapsed, duration) || !p.hasEnoughResponses(r.StepShare):
		return Transition{}, false
	case r.Step < LastStep:
		return Transition{State: Running, Step: r.Step + 1}, p.Applied >= p.Gateways
	}
	return Transition{State: Completed, Step: LastStep}, p.drained()
}

// minStepDuration returns the minimum duration of the current step, which began at offset start of a rollout of the given duration.
func (r *Rollout) minStepDuration(start, duration time.Duration) time.Duration {
	remaining := 0.0
	for _, s := range steps[r.Step:] {
		remaining += s.hold
	}
	available := latestEnd - start.Seconds()/duration.Seconds()
	factor := min(1, max(minHoldFactor, available/remaining))
	return time.Duration(factor * steps[r.Step].hold * float64(duration))
}

// Apply applies a transition: it returns the text of the document that replaces the given one, or nil if that can't be parsed or if its
// rollout is no longer in the state from, from which the transition was derived. age is the time since the given document was proposed.
func Apply(text []byte, age time.Duration, from Rollout, t Transition) []byte {
	d, err := Parse(text)
	if err != nil {
		return nil
	}
	r := d.Find(from.Service)
	if r == nil || r.Number != from.Number || r.State != from.State || r.Step != from.Step {
		return nil
	}
	d.advance(age)
	if r.Step != t.Step {
		r.StepElapsedMS = 0
	}
	r.State, r.Step, r.StepShare, r.Reason = t.State, t.Step, t.Share, t.Reason
	return d.Encode()
}
