package maintenance

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
)

// validate tells what is wrong with a plan as such.
func (p Plan) validate() error {
	switch {
	case p.ID == "":
		return errors.New("a release needs a name")
	case p.Kind != Gatherer && p.Kind != Server:
		return fmt.Errorf("a release is of gatherers or of servers, not of %q", p.Kind)
	case p.From == p.To || p.From == "" || p.To == "":
		return errors.New("a release needs two versions that differ")
	case len(p.Steps) == 0 || p.Steps[len(p.Steps)-1] != 1:
		return errors.New("the last step of a release is all of its targets, a share of 1")
	case p.ChangeTimeout <= 0 || p.Dwell < 0:
		return errors.New("a release says how long one change may take and how long each step is watched")
	}
	last := 0.0
	for _, share := range p.Steps {
		if !(share > last) {
			return errors.New("the steps of a release are shares that rise")
		}
		last = share
	}
	return nil
}

// PlanSteps are the names that each step of a plan would change, in order: what a dry run prints.
func (s *State) PlanSteps(p Plan) ([][]MemberName, error) {
	if err := p.validate(); err != nil {
		return nil, err
	}
	targets := s.planTargets(p)
	if len(targets) == 0 {
		return nil, fmt.Errorf("no %s runs version %s", p.Kind, p.From)
	}
	var steps [][]MemberName
	begun := 0
	for _, share := range p.Steps {
		need := targetCount(share, len(targets))
		steps = append(steps, targets[begun:need])
		begun = need
	}
	return steps, nil
}

func targetCount(share float64, of int) int { return min(of, int(math.Ceil(share*float64(of)-1e-9))) }

// planTargets are the members to change, zone after zone or in turn over the zones, so that no zone is much ahead of the others.
func (s *State) planTargets(p Plan) []MemberName {
	var found []*Member
	rank, inZone := map[MemberName]int{}, map[Zone]int{}
	for _, m := range s.sortedMembers(p.Kind) {
		if m.Version == p.From {
			found = append(found, m)
			rank[m.Name] = inZone[m.Zone]
			inZone[m.Zone]++
		}
	}
	slices.SortStableFunc(found, func(a, b *Member) int {
		if p.ByZone {
			return cmp.Compare(a.Zone, b.Zone)
		}
		return cmp.Or(cmp.Compare(rank[a.Name], rank[b.Name]), cmp.Compare(a.Zone, b.Zone))
	})
	var names []MemberName
	for _, m := range found {
		names = append(names, m.Name)
	}
	return names
}

// Release finds a release by its name; nil = there is none.
func (s *State) Release(id ReleaseID) *Release {
	for _, r := range s.Releases {
		if r.Plan.ID == id {
			return r
		}
	}
	return nil
}

func (s *State) startRelease(p Plan) error {
	if s.Release(p.ID) != nil {
		return fmt.Errorf("there is a release %s already", p.ID)
	}
	for _, r := range s.Releases {
		if r.Phase == Running || r.Phase == Halted {
			return fmt.Errorf("release %s is %s, and two at once could not be told apart when something fails", r.Plan.ID, r.Phase)
		}
	}
	if _, err := s.PlanSteps(p); err != nil {
		return err
	}
	r := &Release{Plan: p, Phase: Running, StartedAt: s.Now, DwellSince: s.Now}
	for _, n := range s.planTargets(p) {
		r.Targets = append(r.Targets, Target{Name: n, State: TargetPending})
	}
	if len(s.Releases) >= maxReleases {
		s.Releases = s.Releases[1:]
	}
	s.Releases = append(s.Releases, r)
	s.Baselines[p.ID] = Baseline{SuccessRatio: -1, Counts: s.gathererCounts()} // the first dwell watches the fleet as it is
	return nil
}

func (s *State) gathererCounts() map[MemberName]RequestCounts {
	all := map[MemberName]RequestCounts{}
	for _, m := range s.sortedMembers(Gatherer) {
		all[m.Name] = m.Counts
	}
	return all
}

func (s *State) haltRelease(h HaltRelease) error {
	r := s.Release(h.ID)
	if r == nil {
		return fmt.Errorf("there is no release %s", h.ID)
	}
	if r.Phase != Running {
		return fmt.Errorf("release %s is %s", h.ID, r.Phase)
	}
	r.halt(cmp.Or(h.Reason, "an operator halted it"))
	return nil
}

func (r *Release) halt(why string) { r.Phase, r.HaltReason = Halted, why }

func (s *State) resumeRelease(c ResumeRelease) error {
	r := s.Release(c.ID)
	if r == nil {
		return fmt.Errorf("there is no release %s", c.ID)
	}
	if r.Phase != Halted {
		return fmt.Errorf("release %s is %s", c.ID, r.Phase)
	}
	r.Phase, r.HaltReason = Running, ""
	s.dropFormerMembers(r)
	s.restartTimers(r)
	return nil
}

// dropFormerMembers takes out the targets that are no members any more: what an operator has forgotten, or what was long gone, is not waited for.
func (s *State) dropFormerMembers(r *Release) {
	r.Targets = slices.DeleteFunc(r.Targets, func(t Target) bool { return s.Members[t.Name] == nil })
}

// restartTimers gives what is under way its time anew, and watches the step from now on.
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

func (s *State) startDwell(r *Release) {
	r.DwellSince = s.Now
	w := s.Baselines[r.Plan.ID]
	w.Counts = s.gathererCounts()
	s.Baselines[r.Plan.ID] = w
}

// rollBack turns a release round: what was changed goes back under the same limits, and what was under way is ordered back.
func (s *State) rollBack(c RollBack) error {
	r := s.Release(c.ID)
	if r == nil {
		return fmt.Errorf("there is no release %s", c.ID)
	}
	for _, other := range s.Releases {
		if other != r && (other.Phase == Running || other.Phase == Halted) {
			return fmt.Errorf("release %s is %s", other.Plan.ID, other.Phase)
		}
	}
	s.dropFormerMembers(r)
	r.Plan.From, r.Plan.To = r.Plan.To, r.Plan.From
	r.RollingBack, r.Phase, r.HaltReason, r.Step, r.DwellSince, r.EndedAt = !r.RollingBack, Running, "", 0, 0, 0
	for i := range r.Targets {
		switch t := &r.Targets[i]; t.State {
		case TargetPending:
			t.State = TargetChanged // it was never changed: it is where it should be
		case TargetChanged:
			t.State = TargetPending
		case TargetChanging:
			t.Epoch, t.OrderedAt, t.Deadline = s.Applied, s.Now, s.Now+Time(r.Plan.ChangeTimeout) // a new order, or the hook would take it for one it has carried out
			if m := s.Members[t.Name]; m != nil && m.Permit != nil {
				m.Permit.Epoch, m.Permit.RequestedAt = s.Applied, s.Now
			}
		}
	}
	if _, watched := s.Baselines[c.ID]; !watched {
		s.Baselines[c.ID] = Baseline{SuccessRatio: -1, Counts: s.gathererCounts()}
	}
	return nil
}

// advanceReleases moves the releases as far as what is known allows. It is called after each command, so that nothing waits for a next one.
func (s *State) advanceReleases() {
	for _, r := range s.Releases {
		switch r.Phase {
		case Running:
			s.advanceRelease(r)
		case Halted:
			s.observeTargets(r) // what was under way comes to its end all the same, and is in again
		}
		if r.Phase == Completed || r.Phase == RolledBack {
			delete(s.Baselines, r.Plan.ID)
		}
	}
}

func (s *State) advanceRelease(r *Release) {
	if why := s.observeTargets(r); why != "" {
		r.halt(why)
		return
	}
	changedNow, changingNow := 0, 0
	for _, t := range r.Targets {
		switch t.State {
		case TargetChanged:
			changedNow++
		case TargetChanging:
			changingNow++
		}
	}
	w := s.Baselines[r.Plan.ID]
	if !r.RollingBack && w.SuccessRatio < 0 { // before the first change the fleet is watched as it is
		if s.Now-r.DwellSince < Time(r.Plan.Dwell) {
			return
		}
		w.SuccessRatio = s.countsSince(r, "", w.Counts).successRatio()
		s.Baselines[r.Plan.ID], r.DwellSince = w, 0
	}
	need := targetCount(r.Plan.Steps[r.Step], len(r.Targets))
	if changedNow < need {
		for i := range r.Targets {
			if t := &r.Targets[i]; t.State == TargetPending && changedNow+changingNow < need {
				if !s.startChange(r, t) {
					return // a limit holds: it waits
				}
				changingNow++
			}
		}
		return
	}
	if changingNow > 0 {
		return
	}
	if r.DwellSince == 0 {
		s.startDwell(r)
	}
	if s.Now-r.DwellSince < Time(r.Plan.Dwell) {
		return
	}
	if !r.RollingBack {
		wait, why := s.evaluateGate(r)
		if why != "" {
			r.halt(why)
		}
		if wait || why != "" {
			return
		}
	}
	if r.Step++; r.Step < len(r.Plan.Steps) {
		r.DwellSince = 0
		s.advanceRelease(r)
		return
	}
	if r.Phase, r.EndedAt = Completed, s.Now; r.RollingBack {
		r.Phase = RolledBack
	}
}

// startChange lets a target's change begin; false = not now.
func (s *State) startChange(r *Release, t *Target) bool {
	m := s.Members[t.Name]
	if m.Permit != nil {
		return false // it is out for another reason, and will be back
	}
	p, err := s.grant(m, "release "+string(r.Plan.ID), r.Plan.ID)
	if err != nil {
		return false
	}
	t.State, t.Epoch, t.OrderedAt, t.Deadline = TargetChanging, p.Epoch, s.Now, s.Now+Time(r.Plan.ChangeTimeout)
	return true
}

// observeTargets notes what the targets have become, and tells why the release must halt; "" = it need not.
func (s *State) observeTargets(r *Release) (halt string) {
	for i := range r.Targets {
		if why := s.observeTarget(r, &r.Targets[i]); halt == "" {
			halt = why
		}
	}
	return halt
}

// observeTarget notes what one target has become, and tells why its release must halt.
func (s *State) observeTarget(r *Release, t *Target) string {
	m := s.Members[t.Name]
	if m == nil {
		return fmt.Sprintf("%s is no member any more", t.Name)
	}
	switch t.State {
	case TargetChanged:
		// One that was restarted and is cold comes back; one that is gone may have died of its version.
		if why := s.OutReason(m); m.Permit == nil && (m.LeaseEnd <= s.Now || s.suspected(m)) {
			return fmt.Sprintf("%s, which runs version %s, is out: %s", t.Name, m.Version, why)
		}
		if m.Version != r.Plan.To {
			return fmt.Sprintf("%s runs version %s again, not %s", t.Name, m.Version, r.Plan.To)
		}
	case TargetChanging:
		again := m.StartedAt > t.OrderedAt && m.Status == Ready && m.LeaseEnd > s.Now
		switch {
		case again && m.Version == r.Plan.To:
			t.State, m.Permit = TargetChanged, nil
		case again:
			return fmt.Sprintf("%s came back with version %s, though it was to be %s", t.Name, m.Version, r.Plan.To)
		case s.Now > t.Deadline:
			return fmt.Sprintf("%s is not back within %d ms: version %s, %s", t.Name, r.Plan.ChangeTimeout, m.Version, cmp.Or(s.OutReason(m), "in"))
		}
	}
	return ""
}

// countsSince sums what gatherers counted since a base: of one state of a release's targets, or of all where that is "".
func (s *State) countsSince(r *Release, state string, base map[MemberName]RequestCounts) (sum RequestCounts) {
	in := map[MemberName]string{}
	for _, t := range r.Targets {
		in[t.Name] = t.State
	}
	for _, m := range s.sortedMembers(Gatherer) {
		if state == "" || in[m.Name] == state {
			sum = sum.plus(m.Counts.since(base[m.Name]))
		}
	}
	return sum
}

// evaluateGate judges a step by what was answered in time while it was watched: of gatherers those changed against those not yet, or where
// these counted too little against the fleet before the release; of servers the whole fleet against that.
func (s *State) evaluateGate(r *Release) (wait bool, why string) {
	w := s.Baselines[r.Plan.ID]
	now, before := s.countsSince(r, "", w.Counts), w.SuccessRatio
	if r.Plan.Kind == Gatherer {
		now = s.countsSince(r, TargetChanged, w.Counts)
		if others := s.countsSince(r, TargetPending, w.Counts); others.total() >= max(r.Plan.MinRequests, 1) {
			before = others.successRatio()
		}
	}
	if now.total() < r.Plan.MinRequests {
		if s.Now-r.DwellSince > maxGateDwells*max(Time(r.Plan.Dwell), 1) {
			return false, fmt.Sprintf("step %d saw %d searches, and %d are needed to judge it", r.Step+1, now.total(), r.Plan.MinRequests)
		}
		return true, ""
	}
	if before-now.successRatio() > r.Plan.MaxLoss {
		return false, fmt.Sprintf("step %d: %.4f of the searches were answered in time, %.4f of those compared with; errored %d, late %d, shed %d of %d",
			r.Step+1, now.successRatio(), before, now.Errored, now.Late, now.Shed, now.total())
	}
	return false, ""
}

// Orders are the changes to be seen to now, in order. A halted release gives none, nor does a member that has run anew since: a new
// leader that had it changed once more would take out a gatherer that is just coming back.
func (s *State) Orders() (out []Order) {
	for _, r := range s.Releases {
		if r.Phase != Running {
			continue
		}
		for _, t := range r.Targets {
			if m := s.Members[t.Name]; t.State == TargetChanging && m != nil && m.Permit != nil && m.StartedAt <= t.OrderedAt {
				out = append(out, Order{r.Plan.ID, t.Name, r.Plan.To, m.Permit.Epoch})
			}
		}
	}
	return out
}
