package maintenance

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
)

// check tells what is wrong with a plan as such.
func (p Plan) check() error {
	switch {
	case p.ID == "":
		return errors.New("a release needs a name")
	case p.Kind != Gatherer && p.Kind != Server:
		return fmt.Errorf("a release is of gatherers or of servers, not of %q", p.Kind)
	case p.From == p.To || p.From == "" || p.To == "":
		return errors.New("a release needs two versions that differ")
	case len(p.Steps) == 0 || p.Steps[len(p.Steps)-1] != 1:
		return errors.New("the last step of a release is all of its targets, a share of 1")
	case p.Within <= 0 || p.Dwell < 0:
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

// Steps are the names that each step of a plan would change, in order: what a dry run prints.
func (s *State) Steps(p Plan) ([][]Name, error) {
	if err := p.check(); err != nil {
		return nil, err
	}
	targets := s.targets(p)
	if len(targets) == 0 {
		return nil, fmt.Errorf("no %s runs version %s", p.Kind, p.From)
	}
	var steps [][]Name
	begun := 0
	for _, share := range p.Steps {
		need := needed(share, len(targets))
		steps = append(steps, targets[begun:need])
		begun = need
	}
	return steps, nil
}

func needed(share float64, of int) int { return min(of, int(math.Ceil(share*float64(of)-1e-9))) }

// targets are the members to change, zone after zone or in turn over the zones, so that no zone is much ahead of the others.
func (s *State) targets(p Plan) []Name {
	var found []*Member
	rank, inZone := map[Name]int{}, map[Zone]int{}
	for _, m := range s.order(p.Kind) {
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
	var names []Name
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

func (s *State) start(p Plan) error {
	if s.Release(p.ID) != nil {
		return fmt.Errorf("there is a release %s already", p.ID)
	}
	for _, r := range s.Releases {
		if r.Phase == Going || r.Phase == Halted {
			return fmt.Errorf("release %s is %s, and two at once could not be told apart when something fails", r.Plan.ID, r.Phase)
		}
	}
	if _, err := s.Steps(p); err != nil {
		return err
	}
	r := &Release{Plan: p, Phase: Going, Started: s.Now, Dwells: s.Now}
	for _, n := range s.targets(p) {
		r.Targets = append(r.Targets, Target{Name: n, State: todo})
	}
	if len(s.Releases) >= keptReleases {
		s.Releases = s.Releases[1:]
	}
	s.Releases = append(s.Releases, r)
	s.Before[p.ID] = Watch{Share: -1, Base: s.counts()} // the first dwell watches the fleet as it is
	return nil
}

func (s *State) counts() map[Name]Figures {
	all := map[Name]Figures{}
	for _, m := range s.order(Gatherer) {
		all[m.Name] = m.Figures
	}
	return all
}

func (s *State) halt(h Halt) error {
	r := s.Release(h.ID)
	if r == nil {
		return fmt.Errorf("there is no release %s", h.ID)
	}
	if r.Phase != Going {
		return fmt.Errorf("release %s is %s", h.ID, r.Phase)
	}
	r.stop(cmp.Or(h.Why, "an operator halted it"))
	return nil
}

func (r *Release) stop(why string) { r.Phase, r.Why = Halted, why }

func (s *State) resume(c Resume) error {
	r := s.Release(c.ID)
	if r == nil {
		return fmt.Errorf("there is no release %s", c.ID)
	}
	if r.Phase != Halted {
		return fmt.Errorf("release %s is %s", c.ID, r.Phase)
	}
	r.Phase, r.Why = Going, ""
	s.drop(r)
	s.begin(r)
	return nil
}

// drop takes out the targets that are no members any more: what an operator has forgotten, or what was long gone, is not waited for.
func (s *State) drop(r *Release) {
	r.Targets = slices.DeleteFunc(r.Targets, func(t Target) bool { return s.Members[t.Name] == nil })
}

// begin gives what is under way its time anew, and watches the step from now on.
func (s *State) begin(r *Release) {
	for i := range r.Targets {
		if r.Targets[i].State == changing {
			r.Targets[i].Due = s.Now + Moment(r.Plan.Within)
		}
	}
	if r.Dwells != 0 {
		s.watch(r)
	}
}

func (s *State) watch(r *Release) {
	r.Dwells = s.Now
	w := s.Before[r.Plan.ID]
	w.Base = s.counts()
	s.Before[r.Plan.ID] = w
}

// back turns a release round: what was changed goes back under the same limits, and what was under way is ordered back.
func (s *State) back(c Back) error {
	r := s.Release(c.ID)
	if r == nil {
		return fmt.Errorf("there is no release %s", c.ID)
	}
	for _, other := range s.Releases {
		if other != r && (other.Phase == Going || other.Phase == Halted) {
			return fmt.Errorf("release %s is %s", other.Plan.ID, other.Phase)
		}
	}
	s.drop(r)
	r.Plan.From, r.Plan.To = r.Plan.To, r.Plan.From
	r.Back, r.Phase, r.Why, r.Step, r.Dwells, r.Ended = !r.Back, Going, "", 0, 0, 0
	for i := range r.Targets {
		switch t := &r.Targets[i]; t.State {
		case todo:
			t.State = changed // it was never changed: it is where it should be
		case changed:
			t.State = todo
		case changing:
			t.Epoch, t.Since, t.Due = s.Applied, s.Now, s.Now+Moment(r.Plan.Within) // a new order, or the hook would take it for one it has carried out
			if m := s.Members[t.Name]; m != nil && m.Permit != nil {
				m.Permit.Epoch, m.Permit.Asked = s.Applied, s.Now
			}
		}
	}
	if _, watched := s.Before[c.ID]; !watched {
		s.Before[c.ID] = Watch{Share: -1, Base: s.counts()}
	}
	return nil
}

// advance moves the releases as far as what is known allows. It is called after each command, so that nothing waits for a next one.
func (s *State) advance() {
	for _, r := range s.Releases {
		switch r.Phase {
		case Going:
			s.move(r)
		case Halted:
			s.see(r) // what was under way comes to its end all the same, and is in again
		}
		if r.Phase == Done || r.Phase == WentBack {
			delete(s.Before, r.Plan.ID)
		}
	}
}

func (s *State) move(r *Release) {
	if why := s.see(r); why != "" {
		r.stop(why)
		return
	}
	changedNow, changingNow := 0, 0
	for _, t := range r.Targets {
		switch t.State {
		case changed:
			changedNow++
		case changing:
			changingNow++
		}
	}
	w := s.Before[r.Plan.ID]
	if !r.Back && w.Share < 0 { // before the first change the fleet is watched as it is
		if s.Now-r.Dwells < Moment(r.Plan.Dwell) {
			return
		}
		w.Share = s.counted(r, "", w.Base).good()
		s.Before[r.Plan.ID], r.Dwells = w, 0
	}
	need := needed(r.Plan.Steps[r.Step], len(r.Targets))
	if changedNow < need {
		for i := range r.Targets {
			if t := &r.Targets[i]; t.State == todo && changedNow+changingNow < need {
				if !s.begun(r, t) {
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
	if r.Dwells == 0 {
		s.watch(r)
	}
	if s.Now-r.Dwells < Moment(r.Plan.Dwell) {
		return
	}
	if !r.Back {
		wait, why := s.gate(r)
		if why != "" {
			r.stop(why)
		}
		if wait || why != "" {
			return
		}
	}
	if r.Step++; r.Step < len(r.Plan.Steps) {
		r.Dwells = 0
		s.move(r)
		return
	}
	if r.Phase, r.Ended = Done, s.Now; r.Back {
		r.Phase = WentBack
	}
}

// begun lets a target's change begin; false = not now.
func (s *State) begun(r *Release, t *Target) bool {
	m := s.Members[t.Name]
	if m.Permit != nil {
		return false // it is out for another reason, and will be back
	}
	p, err := s.grant(m, "release "+string(r.Plan.ID), r.Plan.ID)
	if err != nil {
		return false
	}
	t.State, t.Epoch, t.Since, t.Due = changing, p.Epoch, s.Now, s.Now+Moment(r.Plan.Within)
	return true
}

// see notes what the targets have become, and tells why the release must halt; "" = it need not.
func (s *State) see(r *Release) (halt string) {
	for i := range r.Targets {
		if why := s.look(r, &r.Targets[i]); halt == "" {
			halt = why
		}
	}
	return halt
}

// look notes what one target has become, and tells why its release must halt.
func (s *State) look(r *Release, t *Target) string {
	m := s.Members[t.Name]
	if m == nil {
		return fmt.Sprintf("%s is no member any more", t.Name)
	}
	switch t.State {
	case changed:
		// One that was restarted and is cold comes back; one that is gone may have died of its version.
		if why := s.Out(m); m.Permit == nil && (m.Until <= s.Now || s.suspected(m)) {
			return fmt.Sprintf("%s, which runs version %s, is out: %s", t.Name, m.Version, why)
		}
		if m.Version != r.Plan.To {
			return fmt.Sprintf("%s runs version %s again, not %s", t.Name, m.Version, r.Plan.To)
		}
	case changing:
		again := m.Since > t.Since && m.Status == Ready && m.Until > s.Now
		switch {
		case again && m.Version == r.Plan.To:
			t.State, m.Permit = changed, nil
		case again:
			return fmt.Sprintf("%s came back with version %s, though it was to be %s", t.Name, m.Version, r.Plan.To)
		case s.Now > t.Due:
			return fmt.Sprintf("%s is not back within %d ms: version %s, %s", t.Name, r.Plan.Within, m.Version, cmp.Or(s.Out(m), "in"))
		}
	}
	return ""
}

// counted sums what gatherers counted since a base: of one state of a release's targets, or of all where that is "".
func (s *State) counted(r *Release, state string, base map[Name]Figures) (sum Figures) {
	in := map[Name]string{}
	for _, t := range r.Targets {
		in[t.Name] = t.State
	}
	for _, m := range s.order(Gatherer) {
		if state == "" || in[m.Name] == state {
			sum = sum.plus(m.Figures.since(base[m.Name]))
		}
	}
	return sum
}

// gate judges a step by what was answered in time while it was watched: of gatherers those changed against those not yet, or where
// these counted too little against the fleet before the release; of servers the whole fleet against that.
func (s *State) gate(r *Release) (wait bool, why string) {
	w := s.Before[r.Plan.ID]
	now, before := s.counted(r, "", w.Base), w.Share
	if r.Plan.Kind == Gatherer {
		now = s.counted(r, changed, w.Base)
		if others := s.counted(r, todo, w.Base); others.all() >= max(r.Plan.Least, 1) {
			before = others.good()
		}
	}
	if now.all() < r.Plan.Least {
		if s.Now-r.Dwells > patience*max(Moment(r.Plan.Dwell), 1) {
			return false, fmt.Sprintf("step %d saw %d searches, and %d are needed to judge it", r.Step+1, now.all(), r.Plan.Least)
		}
		return true, ""
	}
	if before-now.good() > r.Plan.MostLoss {
		return false, fmt.Sprintf("step %d: %.4f of the searches were answered in time, %.4f of those compared with; errored %d, late %d, shed %d of %d",
			r.Step+1, now.good(), before, now.Errored, now.Late, now.Shed, now.all())
	}
	return false, ""
}

// Orders are the changes to be seen to now, in order. A halted release gives none, nor does a member that has run anew since: a new
// leader that had it changed once more would take out a gatherer that is just coming back.
func (s *State) Orders() (out []Order) {
	for _, r := range s.Releases {
		if r.Phase != Going {
			continue
		}
		for _, t := range r.Targets {
			if m := s.Members[t.Name]; t.State == changing && m != nil && m.Permit != nil && m.Since <= t.Since {
				out = append(out, Order{r.Plan.ID, t.Name, r.Plan.To, m.Permit.Epoch})
			}
		}
	}
	return out
}
