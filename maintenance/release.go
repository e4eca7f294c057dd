package maintenance

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// ErrNoRelease is returned for a command that names an unknown release.
var ErrNoRelease = errors.New("no such release")

// Phase is the phase of a release.
type Phase string

// The phases of a release.
const (
	Running    Phase = "going"
	Halted     Phase = "halted"
	Completed  Phase = "done"
	RolledBack Phase = "went-back"
)

// TargetState is the progress of the change of one target.
type TargetState string

// The states of a target.
const (
	TargetPending  TargetState = "todo"
	TargetChanging TargetState = "changing"
	TargetChanged  TargetState = "changed"
)

// Target is a member that a release changes.
type Target struct {
	Name      MemberName  `json:"name"`
	State     TargetState `json:"state"`
	Epoch     Epoch       `json:"epoch,omitempty"` // epoch of its permit
	OrderedAt Time        `json:"since,omitempty"` // when its change was ordered; a later StartedAt of the member shows that it was restarted
	Deadline  Time        `json:"due,omitempty"`   // the release halts if the change is not complete by then
}

// Release is the progress of carrying out a plan.
type Release struct {
	Plan        Plan     `json:"plan"`
	Phase       Phase    `json:"phase"`
	RollingBack bool     `json:"back,omitempty"` // Plan.To is the version that the targets had originally
	Step        int      `json:"step"`
	DwellSince  Time     `json:"dwells,omitempty"` // start of the step's dwell; 0 = its targets are still changing
	HaltReason  string   `json:"why,omitempty"`    // must not be reworded, see the package comment
	Targets     []Target `json:"targets"`
	StartedAt   Time     `json:"started"`
	EndedAt     Time     `json:"ended,omitempty"`
}

// Baseline is the reference that the gate of a release compares with.
type Baseline struct {
	SuccessRatio float64                      `json:"share"` // of all gatherers before the first change; -1 = not measured yet
	Counts       map[MemberName]RequestCounts `json:"base"`  // counters at the start of the current dwell
}

// unknownSuccessRatio marks a Baseline whose success ratio is not measured yet.
const unknownSuccessRatio = -1

// Order is a change that the operator's hook must carry out. The order is repeated until the member has restarted.
// Epoch and name together identify an order.
type Order struct {
	Release ReleaseID
	Name    MemberName
	Version Version
	Epoch   Epoch
}

// maxReleases is the number of releases that the state retains.
const maxReleases = 16

// unfinished reports whether the release is running or halted.
func (r *Release) unfinished() bool { return r.Phase == Running || r.Phase == Halted }

func (r *Release) halt(reason string) { r.Phase, r.HaltReason = Halted, reason }

// countTargets returns the number of targets in a state.
func (r *Release) countTargets(state TargetState) (n int) {
	for _, t := range r.Targets {
		if t.State == state {
			n++
		}
	}
	return n
}

// Release returns the release with the given ID; nil = there is none.
func (s *State) Release(id ReleaseID) *Release {
	for _, r := range s.Releases {
		if r.Plan.ID == id {
			return r
		}
	}
	return nil
}

// findRelease is like Release but returns ErrNoRelease if there is none.
func (s *State) findRelease(id ReleaseID) (*Release, error) {
	if r := s.Release(id); r != nil {
		return r, nil
	}
	return nil, fmt.Errorf("release %s: %w", id, ErrNoRelease)
}

func (s *State) startRelease(p Plan) error {
	if s.Release(p.ID) != nil {
		return fmt.Errorf("there is a release %s already", p.ID)
	}
	for _, r := range s.Releases {
		if r.unfinished() {
			return fmt.Errorf("release %s is %s, and two at once could not be told apart when something fails", r.Plan.ID, r.Phase)
		}
	}
	if _, err := s.PlanSteps(p); err != nil {
		return err
	}
	r := &Release{Plan: p, Phase: Running, StartedAt: s.Now, DwellSince: s.Now}
	for _, name := range s.planTargets(p) {
		r.Targets = append(r.Targets, Target{Name: name, State: TargetPending})
	}
	if len(s.Releases) >= maxReleases {
		s.Releases = s.Releases[1:]
	}
	s.Releases = append(s.Releases, r)
	// The first dwell measures the fleet before any change.
	s.Baselines[p.ID] = Baseline{SuccessRatio: unknownSuccessRatio, Counts: s.gathererCounts()}
	return nil
}

func (s *State) gathererCounts() map[MemberName]RequestCounts {
	counts := map[MemberName]RequestCounts{}
	for _, m := range s.sortedMembers(Gatherer) {
		counts[m.Name] = m.Counts
	}
	return counts
}

func (s *State) haltRelease(c HaltRelease) error {
	r, err := s.findRelease(c.ID)
	if err != nil {
		return err
	}
	if r.Phase != Running {
		return fmt.Errorf("release %s is %s", c.ID, r.Phase)
	}
	r.halt(cmp.Or(c.Reason, "an operator halted it"))
	return nil
}

func (s *State) resumeRelease(c ResumeRelease) error {
	r, err := s.findRelease(c.ID)
	if err != nil {
		return err
	}
	if r.Phase != Halted {
		return fmt.Errorf("release %s is %s", c.ID, r.Phase)
	}
	r.Phase, r.HaltReason = Running, ""
	s.dropFormerMembers(r)
	s.restartTimers(r)
	return nil
}

// dropFormerMembers removes the targets that are no longer members, so that the release does not wait for them.
func (s *State) dropFormerMembers(r *Release) {
	r.Targets = slices.DeleteFunc(r.Targets, func(t Target) bool { return s.Members[t.Name] == nil })
}

// restartTimers resets the deadlines of the changes in progress to the full change timeout and restarts the dwell of the step.
func (s *State) restartTimers(r *Release) {
	for i := range r.Targets {
		if r.Targets[i].State == TargetChanging {
			r.Targets[i].Deadline = s.Now + Time(r.Plan.ChangeTimeout)
		}
	}
	if r.DwellSince != 0 {
		s.startDwell(r)
	}
}

// startDwell starts the dwell of the current step and records the counters that the gate will compare with.
func (s *State) startDwell(r *Release) {
	r.DwellSince = s.Now
	b := s.Baselines[r.Plan.ID]
	b.Counts = s.gathererCounts()
	s.Baselines[r.Plan.ID] = b
}

// rollBack reverses the direction of a release: changed targets are changed back under the same limits, and targets
// whose change is in progress get an order for the previous version.
func (s *State) rollBack(c RollBack) error {
	r, err := s.findRelease(c.ID)
	if err != nil {
		return err
	}
	for _, other := range s.Releases {
		if other != r && other.unfinished() {
			return fmt.Errorf("release %s is %s", other.Plan.ID, other.Phase)
		}
	}
	s.dropFormerMembers(r)
	r.Plan.From, r.Plan.To = r.Plan.To, r.Plan.From
	r.RollingBack, r.Phase, r.HaltReason = !r.RollingBack, Running, ""
	r.Step, r.DwellSince, r.EndedAt = 0, 0, 0
	for i := range r.Targets {
		s.reverseTarget(r, &r.Targets[i])
	}
	if _, known := s.Baselines[c.ID]; !known {
		s.Baselines[c.ID] = Baseline{SuccessRatio: unknownSuccessRatio, Counts: s.gathererCounts()}
	}
	return nil
}

func (s *State) reverseTarget(r *Release, t *Target) {
	switch t.State {
	case TargetPending:
		t.State = TargetChanged // it already runs the version that the release now changes to
	case TargetChanged:
		t.State = TargetPending
	case TargetChanging:
		// The reversed order needs a new epoch; otherwise the hook would treat it as one that it has already carried out.
		t.Epoch, t.OrderedAt, t.Deadline = s.Applied, s.Now, s.Now+Time(r.Plan.ChangeTimeout)
		if m := s.Members[t.Name]; m != nil && m.Permit != nil {
			m.Permit.Epoch, m.Permit.RequestedAt = s.Applied, s.Now
		}
	}
}

// Orders returns the changes that must be carried out now, in the order of the targets. It contains none of a halted
// release, and none for a target that was restarted since its order: a new leader would otherwise have it restarted
// once more, which would take a gatherer that is just coming back out again.
func (s *State) Orders() (orders []Order) {
	for _, r := range s.Releases {
		if r.Phase != Running {
			continue
		}
		for _, t := range r.Targets {
			m := s.Members[t.Name]
			if t.State == TargetChanging && m != nil && m.Permit != nil && m.StartedAt <= t.OrderedAt {
				orders = append(orders, Order{r.Plan.ID, t.Name, r.Plan.To, m.Permit.Epoch})
			}
		}
	}
	return orders
}
