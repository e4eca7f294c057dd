package maintenance

import (
	"cmp"
	"fmt"
)

// maxGateDwells is for how many dwells a gate waits for Plan.MinRequests until the release halts.
const maxGateDwells = 10

// advanceReleases moves the releases forward as far as the state allows. It is called after each command, so that no progress waits
// for another one.
func (s *State) advanceReleases() {
	for _, r := range s.Releases {
		switch r.Phase {
		case Running:
			s.advanceRelease(r)
		case Halted:
			s.observeTargets(r) // ongoing changes complete all the same
		}
		if !r.unfinished() {
			delete(s.Baselines, r.Plan.ID)
		}
	}
}

// advanceRelease carries a running release through as many steps as possible: change the step's targets, dwell, pass the gate.
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

// dwellOver reports whether the current dwell is complete.
func (s *State) dwellOver(r *Release) bool { return s.Now-r.DwellSince >= Time(r.Plan.Dwell) }

// measureBaseline observes the fleet for one dwell before the first change, and reports whether that is complete.
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

// changeTargets starts as many changes of the step as the limits allow, and reports whether all of the step are complete.
func (s *State) changeTargets(r *Release) bool {
	changed, changing := r.countTargets(TargetChanged), r.countTargets(TargetChanging)
	want := targetCount(r.Plan.Steps[r.Step], len(r.Targets))
	if changed >= want {
		return changing == 0
	}
	for i := range r.Targets {
		if t := &r.Targets[i]; t.State == TargetPending && changed+changing < want {
			if !s.startChange(r, t) {
				return false
			}
			changing++
		}
	}
	return false
}

// passGate dwells on a step whose targets have changed, and reports whether the next step may begin. It halts the release where the
// gate's verdict is against it.
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

// startChange grants a permit to a target. It returns false where a limit holds or the target is out for another reason.
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

// observeTargets updates all targets from the members' state, and returns why the release must halt; "" = it need not.
func (s *State) observeTargets(r *Release) (haltReason string) {
	for i := range r.Targets {
		if reason := s.observeTarget(r, &r.Targets[i]); haltReason == "" {
			haltReason = reason
		}
	}
	return haltReason
}

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

// checkChanged checks a changed target: one that was restarted and is warming up comes back, but one that is gone may have crashed
// because of its version.
func (s *State) checkChanged(r *Release, t *Target, m *Member) (haltReason string) {
	if m.Permit == nil && (!m.alive(s.Now) || s.suspected(m)) {
		return fmt.Sprintf("%s, which runs version %s, is out: %s", t.Name, m.Version, s.OutReason(m))
	}
	if m.Version != r.Plan.To {
		return fmt.Sprintf("%s runs version %s again, not %s", t.Name, m.Version, r.Plan.To)
	}
	return ""
}

// completeChange ends the change of a target that has been restarted and is ready.
func (s *State) completeChange(r *Release, t *Target, m *Member) (haltReason string) {
	restarted := m.StartedAt > t.OrderedAt && m.Status == Ready && m.alive(s.Now)
	switch {
	case restarted && m.Version == r.Plan.To:
		t.State, m.Permit = TargetChanged, nil
	case restarted:
		return fmt.Sprintf("%s came back with version %s, though it was to be %s", t.Name, m.Version, r.Plan.To)
	case s.Now > t.Deadline:
		return fmt.Sprintf("%s is not back within %d ms: version %s, %s", t.Name, r.Plan.ChangeTimeout, m.Version, cmp.Or(s.OutReason(m), "in"))
	}
	return ""
}

// countsOfAll sums what all gatherers have counted since a baseline.
func (s *State) countsOfAll(b Baseline) (sum RequestCounts) {
	for _, m := range s.sortedMembers(Gatherer) {
		sum = sum.plus(m.Counts.since(b.Counts[m.Name]))
	}
	return sum
}

// countsOfTargets sums what those gatherers have counted since a baseline whose change is in a state.
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

// evaluateGate judges a step by the success ratio during its dwell. For gatherers it compares the changed ones with the pending ones,
// or with the whole fleet before the release where those served too few requests; for servers it compares the whole fleet with that.
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
