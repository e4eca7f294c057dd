package maintenance

import (
	"cmp"
	"fmt"
)

// maxGateDwells is the number of dwells that a gate waits for Plan.MinRequests before it halts the release.
const maxGateDwells = 10

// advanceReleases advances the releases as far as the state allows. It is called after each command, so that possible
// progress is made at once and not only with the next command.
func (s *State) advanceReleases() {
	for _, r := range s.Releases {
		switch r.Phase {
		case Running:
			s.advanceRelease(r)
		case Halted:
			s.observeTargets(r) // changes in progress complete regardless of the halt
		}
		if !r.unfinished() {
			delete(s.Baselines, r.Plan.ID)
		}
	}
}

// advanceRelease advances a running release through as many steps as possible. In each step it changes the targets,
// dwells and evaluates the gate.
func (s *State) advanceRelease(r *Release) {
	for r.Phase == Running {
		if reason := s.observeTargets(r); reason != "" {
			r.halt(reason)
			return
		}
		if !s.measureBaseline(r) || !s.changeTargets(r) || !s.passGate(r) {
			return
		}
		r.Step++
		if r.Step < len(r.Plan.Steps) {
			r.DwellSince = 0
			continue
		}
		r.Phase, r.EndedAt = Completed, s.Now
		if r.RollingBack {
			r.Phase = RolledBack
		}
	}
}

// dwellOver reports whether the current dwell has lasted for Plan.Dwell.
func (s *State) dwellOver(r *Release) bool { return s.Now-r.DwellSince >= Time(r.Plan.Dwell) }

// measureBaseline measures the success ratio of the fleet during one dwell before the first change, and reports whether
// the measurement is complete. A rollback needs none.
func (s *State) measureBaseline(r *Release) bool {
	b := s.Baselines[r.Plan.ID]
	if r.RollingBack || b.SuccessRatio >= 0 {
		return true
	}
	if !s.dwellOver(r) {
		return false
	}
	b.SuccessRatio = s.countsOfAll(b).successRatio()
	s.Baselines[r.Plan.ID], r.DwellSince = b, 0
	return true
}

// changeTargets starts as many changes of the current step as the limits allow, and reports whether all changes of the
// step are complete.
func (s *State) changeTargets(r *Release) bool {
	changed, changing := r.countTargets(TargetChanged), r.countTargets(TargetChanging)
	required := targetsForShare(r.Plan.Steps[r.Step], len(r.Targets))
	if changed >= required {
		return changing == 0
	}
	for i := range r.Targets {
		if t := &r.Targets[i]; t.State == TargetPending && changed+changing < required {
			if !s.startChange(r, t) {
				return false
			}
			changing++
		}
	}
	return false
}

// passGate dwells on a step whose targets have changed, and reports whether the next step may begin. It halts the
// release if the gate rejects the step. A rollback has no gate after the dwell.
func (s *State) passGate(r *Release) bool {
	if r.DwellSince == 0 {
		s.startDwell(r)
	}
	if !s.dwellOver(r) {
		return false
	}
	if r.RollingBack {
		return true
	}
	wait, reason := s.evaluateGate(r)
	if reason != "" {
		r.halt(reason)
	}
	return !wait && reason == ""
}

// startChange grants a permit to a target and marks it as changing. It returns false if a limit would be exceeded or
// the target already has a permit.
func (s *State) startChange(r *Release, t *Target) bool {
	m := s.Members[t.Name]
	if m.Permit != nil {
		return false
	}
	p, err := s.grant(m, "release "+string(r.Plan.ID), r.Plan.ID)
	if err != nil {
		return false
	}
	t.State, t.Epoch, t.OrderedAt, t.Deadline = TargetChanging, p.Epoch, s.Now, s.Now+Time(r.Plan.ChangeTimeout)
	return true
}

// observeTargets updates all targets from the state of the members, and returns the first reason to halt the release;
// "" = none.
func (s *State) observeTargets(r *Release) (haltReason string) {
	for i := range r.Targets {
		if reason := s.observeTarget(r, &r.Targets[i]); haltReason == "" {
			haltReason = reason
		}
	}
	return haltReason
}

// observeTarget updates one target from the state of its member, and returns a reason to halt the release; "" = none.
func (s *State) observeTarget(r *Release, t *Target) (haltReason string) {
	m := s.Members[t.Name]
	if m == nil {
		return fmt.Sprintf("%s is no member any more", t.Name)
	}
	switch t.State {
	case TargetChanged:
		return s.checkChanged(r, t, m)
	case TargetChanging:
		return s.completeChange(r, t, m)
	}
	return ""
}

// checkChanged returns a reason to halt the release because of a target that has changed; "" = none. A target that was
// restarted and is warming up will be ready again, but one that is not alive or is suspected may have crashed because
// of its new version.
func (s *State) checkChanged(r *Release, t *Target, m *Member) (haltReason string) {
	if m.Permit == nil && (!m.alive(s.Now) || s.suspected(m)) {
		return fmt.Sprintf("%s, which runs version %s, is out: %s", t.Name, m.Version, s.UnavailableReason(m))
	}
	if m.Version != r.Plan.To {
		return fmt.Sprintf("%s runs version %s again, not %s", t.Name, m.Version, r.Plan.To)
	}
	return ""
}

// completeChange ends the change of a target that was restarted with the new version and is ready. It returns a reason
// to halt the release if the target has another version or the deadline has passed; "" = none.
func (s *State) completeChange(r *Release, t *Target, m *Member) (haltReason string) {
	restarted := m.StartedAt > t.OrderedAt && m.Status == Ready && m.alive(s.Now)
	switch {
	case restarted && m.Version == r.Plan.To:
		t.State, m.Permit = TargetChanged, nil
	case restarted:
		return fmt.Sprintf("%s came back with version %s, though it was to be %s", t.Name, m.Version, r.Plan.To)
	case s.Now > t.Deadline:
		return fmt.Sprintf("%s is not back within %d ms: version %s, %s", t.Name, r.Plan.ChangeTimeout, m.Version, cmp.Or(s.UnavailableReason(m), "in"))
	}
	return ""
}

// countsOfAll sums the requests that all gatherers have counted since a baseline.
func (s *State) countsOfAll(b Baseline) (sum RequestCounts) {
	for _, m := range s.sortedMembers(Gatherer) {
		sum = sum.plus(m.Counts.since(b.Counts[m.Name]))
	}
	return sum
}

// countsOfTargets sums the requests that the gatherers among the targets in a given state have counted since a baseline.
func (s *State) countsOfTargets(r *Release, state TargetState, b Baseline) (sum RequestCounts) {
	states := map[MemberName]TargetState{}
	for _, t := range r.Targets {
		states[t.Name] = t.State
	}
	for _, m := range s.sortedMembers(Gatherer) {
		if states[m.Name] == state {
			sum = sum.plus(m.Counts.since(b.Counts[m.Name]))
		}
	}
	return sum
}

// evaluateGate evaluates a step by the success ratio during its dwell. For a release of gatherers it compares the
// changed gatherers with the pending ones, or with the fleet's success ratio before the release if the pending ones
// served too few requests. For a release of servers it compares all gatherers with the success ratio before the
// release. wait is true if more requests are needed; haltReason is "" unless the release must halt.
func (s *State) evaluateGate(r *Release) (wait bool, haltReason string) {
	b := s.Baselines[r.Plan.ID]
	current, reference := s.countsOfAll(b), b.SuccessRatio
	if r.Plan.Kind == Gatherer {
		current = s.countsOfTargets(r, TargetChanged, b)
		if others := s.countsOfTargets(r, TargetPending, b); others.total() >= max(r.Plan.MinRequests, 1) {
			reference = others.successRatio()
		}
	}
	if current.total() < r.Plan.MinRequests {
		if s.Now-r.DwellSince > maxGateDwells*max(Time(r.Plan.Dwell), 1) {
			return false, fmt.Sprintf("step %d saw %d searches, and %d are needed to judge it", r.Step+1, current.total(), r.Plan.MinRequests)
		}
		return true, ""
	}
	if reference-current.successRatio() > r.Plan.MaxLoss {
		return false, fmt.Sprintf("step %d: %.4f of the searches were answered in time, %.4f of those compared with; "+
			"errored %d, late %d, shed %d of %d", r.Step+1, current.successRatio(), reference, current.Errored, current.Late, current.Shed, current.total())
	}
	return false, ""
}
