package maintenance

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
)

// ReleaseID identifies a release.
type ReleaseID string

// Plan is the plan of a release: change all members of a kind from one version to another, in steps.
type Plan struct {
	ID            ReleaseID `json:"id"`
	Kind          Kind      `json:"kind"`
	From          Version   `json:"from"`
	To            Version   `json:"to"`
	Steps         []float64 `json:"steps"` // rising shares of the targets that have changed by the end of each step; the last is 1
	ByZone        bool      `json:"by_zone"`
	Dwell         Duration  `json:"dwell_ms"`  // how long a step is observed before the next begins
	ChangeTimeout Duration  `json:"within_ms"` // how long the change of one target may take
	MaxLoss       float64   `json:"most_loss"` // by how much the success ratio of the changed targets may be lower than that of the others
	MinRequests   uint64    `json:"least"`     // requests of the changed targets that a gate needs for its verdict; it waits for them
}

// validate checks a plan by itself.
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
		return errors.New("a release says how long one change may take and how long each step is observed")
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

// PlanSteps returns the members that each step of a plan would change, in order, as for a dry run.
func (s *State) PlanSteps(p Plan) ([][]MemberName, error) {
	if err := p.validate(); err != nil {
		return nil, err
	}
	targets := s.planTargets(p)
	if len(targets) == 0 {
		return nil, fmt.Errorf("no %s runs version %s", p.Kind, p.From)
	}
	var steps [][]MemberName
	begin := 0
	for _, share := range p.Steps {
		end := targetCount(share, len(targets))
		steps = append(steps, targets[begin:end])
		begin = end
	}
	return steps, nil
}

// targetCount returns how many of so many targets a share is, rounded up but for rounding errors of the product.
func targetCount(share float64, targets int) int {
	const epsilon = 1e-9
	return min(targets, int(math.Ceil(share*float64(targets)-epsilon)))
}

// planTargets returns the members to change: zone by zone, or alternating between the zones, so that no zone is far ahead of the
// others.
func (s *State) planTargets(p Plan) (names []MemberName) {
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
	for _, m := range found {
		names = append(names, m.Name)
	}
	return names
}
