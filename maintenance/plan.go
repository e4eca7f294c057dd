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

// Plan describes a release: it changes all members of a kind from one version to another, in steps.
type Plan struct {
	ID            ReleaseID `json:"id"`
	Kind          Kind      `json:"kind"`
	From          Version   `json:"from"`
	To            Version   `json:"to"`
	Steps         []float64 `json:"steps"` // cumulative share of the targets after each step; strictly increasing, the last is 1
	ByZone        bool      `json:"by_zone"`
	Dwell         Duration  `json:"dwell_ms"`  // how long a step is observed before the next begins
	ChangeTimeout Duration  `json:"within_ms"` // how long the change of one target may take
	MaxLoss       float64   `json:"most_loss"` // by how much the success ratio of the changed targets may fall below that of the others
	MinRequests   uint64    `json:"least"`     // requests to the changed targets that a gate waits for before it decides
}

// validate checks a plan without regard to the state of the fleet.
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

// PlanSteps returns the members that each step of a plan would change, in order. It changes nothing and serves as a dry run.
func (s *State) PlanSteps(p Plan) ([][]MemberName, error) {
	if err := p.validate(); err != nil {
		return nil, err
	}
	targets := s.planTargets(p)
	if len(targets) == 0 {
		return nil, fmt.Errorf("no %s runs version %s", p.Kind, p.From)
	}
	var steps [][]MemberName
	start := 0
	for _, share := range p.Steps {
		end := targetsForShare(share, len(targets))
		steps = append(steps, targets[start:end])
		start = end
	}
	return steps, nil
}

// targetsForShare returns the number of targets that a share above 0 amounts to, rounded up: at least one. The epsilon prevents
// a rounding error of the product from adding a target.
func targetsForShare(share float64, targets int) int {
	const epsilon = 1e-9
	rounded := int(math.Ceil(share*float64(targets) - epsilon))
	return min(targets, max(rounded, 1))
}

// planTargets returns the members to change, in order: zone by zone if Plan.ByZone is set, otherwise alternating
// between the zones, so that no zone is changed far ahead of the others.
func (s *State) planTargets(p Plan) (names []MemberName) {
	var targets []*Member
	rankInZone, targetsInZone := map[MemberName]int{}, map[Zone]int{}
	for _, m := range s.sortedMembers(p.Kind) {
		if m.Version == p.From {
			targets = append(targets, m)
			rankInZone[m.Name] = targetsInZone[m.Zone]
			targetsInZone[m.Zone]++
		}
	}
	slices.SortStableFunc(targets, func(a, b *Member) int {
		if p.ByZone {
			return cmp.Compare(a.Zone, b.Zone)
		}
		return cmp.Or(cmp.Compare(rankInZone[a.Name], rankInZone[b.Name]), cmp.Compare(a.Zone, b.Zone))
	})
	for _, m := range targets {
		names = append(names, m.Name)
	}
	return names
}
