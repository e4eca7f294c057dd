package rollout

import "time"

// step is one step of a rollout.
type step struct {
	share float64 // of the service's requests that reach the target version
	hold  float64 // how long it lasts at least, as a part of the rollout's duration
}

// Limits are what the platform allows.
type Limits struct {
	// ExposureShare is the share of the requests of a rollout's duration that a bad version may get; 0 = nominalExposure.
	ExposureShare float64
}

// nominalExposure is the exposure for which the steps are made. Where less is allowed their shares are smaller, but for the last one.
const nominalExposure = 0.1

// share returns the share of a step.
func (l Limits) share(number int) float64 {
	if number >= LastStep || l.ExposureShare <= 0 {
		return steps[number].share
	}
	return steps[number].share * min(1, l.ExposureShare/nominalExposure)
}

// steps bound the exposure of a version that turns out to be bad at any of them: the sum of share times hold up to the last step is
// 0.065 of the requests of the duration, and what the last step adds until it is found and reverted (about half a second) stays
// within the platform's 0.1 where the duration is 15 s. A version that is bad under load only shows in the later ones.
var steps = []step{
	{share: 0, hold: 0}, // servers of the target version are awaited
	{share: 0.05, hold: 0.25},
	{share: 0.15, hold: 0.15},
	{share: 0.35, hold: 0.09},
	{share: 1, hold: 0.08},
}

const (
	awaitStep = 0 // the first step
	// LastStep is the step in which all requests go to the target version.
	LastStep = 4

	latestEnd   = 0.85 // part of the duration by which the last step's hold is over, where servers come late
	minPace     = 0.3  // of the holds: they are not shortened below it
	minAnswers  = 20   // of the target version that are awaited at each step; fewer where there is less traffic
	awaitedMost = 0.3  // part of the duration for which more servers are awaited once one is there
)

// Share returns the share of a service's requests that a gateway may send to the target version. One that is out of touch with the
// controllers would not learn that the version is bad; in the last step it stays, as servers of the version before may stop.
func (r *Rollout) Share(inTouch bool) float64 {
	switch {
	case r.State == Completed:
		return 1
	case r.State == Reverted || !inTouch && r.Step < LastStep:
		return 0
	}
	return r.StepShare
}

// Progress is what a controller knows of a running rollout.
type Progress struct {
	Elapsed     time.Duration // since its beginning
	StepElapsed time.Duration // since the step's

	TargetServers int // ready ones
	StableServers int // those of all other versions

	Gateways int // in contact with any controller
	Applied  int // of these, have applied the step
	OpenOld  int // requests open at servers of other versions, at all gateways

	OldAnswers, NewAnswers uint64 // in this rollout, also failures
	Suspect                string // why the target version is found to be bad, "" = it is not
}

// drained reports whether no gateway sends or has sent requests to servers of other versions that are still open.
func (p *Progress) drained() bool { return p.Gateways > 0 && p.Applied >= p.Gateways && p.OpenOld == 0 }

// evidence reports whether the target version has answered enough requests of those that came.
func (p *Progress) evidence(share float64) bool {
	expected := share * float64(p.OldAnswers+p.NewAnswers)
	return float64(p.NewAnswers) >= min(minAnswers, expected/2)
}

// Transition is what is to become of a running rollout.
type Transition struct {
	State  State
	Step   int
	Share  float64 // of the step
	Reason string
}

// Next returns the transition that is due within the limits; ok is false where there is none.
func (r *Rollout) Next(p Progress, limits Limits) (next Transition, ok bool) {
	next, ok = r.next(p)
	next.Share = limits.share(next.Step)
	return next, ok
}

func (r *Rollout) next(p Progress) (next Transition, ok bool) {
	duration := time.Duration(r.DurationS * float64(time.Second))
	switch {
	case r.State != Running || r.Step < awaitStep || r.Step > LastStep: // of a later program, if not over
		return Transition{}, false
	case p.Suspect != "":
		return Transition{State: Reverted, Step: r.Step, Reason: p.Suspect}, true
	case p.Elapsed >= duration:
		return Transition{State: Reverted, Step: r.Step, Reason: "not completed within its duration"}, true
	case r.Step == awaitStep:
		enough := p.TargetServers > 0 && (2*p.TargetServers >= p.StableServers || float64(p.Elapsed) >= awaitedMost*float64(duration))
		return Transition{State: Running, Step: r.Step + 1}, enough
	case p.StepElapsed < r.hold(p.Elapsed-p.StepElapsed, duration) || !p.evidence(r.StepShare):
		return Transition{}, false
	case r.Step < LastStep:
		return Transition{State: Running, Step: r.Step + 1}, p.Applied >= p.Gateways
	}
	return Transition{State: Completed, Step: LastStep}, p.drained()
}

// hold returns how long the step lasts at least, where it began so long after the rollout.
func (r *Rollout) hold(before, duration time.Duration) time.Duration {
	left := 0.0
	for _, s := range steps[r.Step:] {
		left += s.hold
	}
	available := latestEnd - before.Seconds()/duration.Seconds()
	pace := min(1, max(minPace, available/left))
	return time.Duration(pace * steps[r.Step].hold * float64(duration))
}

// Apply returns the text of the document that follows one of an age, with a transition made; nil where the document's rollout is not
// the one that the transition was decided from.
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
