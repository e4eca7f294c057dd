package merge

import (
	"slices"
	"sort"

	"github.com/cockroachdb/apd/v3"
)

// aggregation is the state of merging the groups of all included segments. uncertainties, ranks and overflow are indexed like
// groups.
type aggregation struct {
	query         *Query
	groups        []*group
	uncertainties []uncertainty
	ranks         []apd.Decimal // the values that groups are ranked by
	overflow      []bool        // the rank exceeds its range
	order         []int         // indexes of groups by rank
	maxUnseen     apd.Decimal   // largest possible rank of a group that no segment returned
	omitted       bool          // a segment omitted groups
	missing       bool          // a segment is missing
}

// mergeAggregates merges the groups of the included segments into r and sets the quality of each value.
func (m *Merge) mergeAggregates(r *Result) error {
	q := m.query
	for _, c := range q.groupColumns {
		r.GroupColumns = append(r.GroupColumns, q.policy.Schema.Columns[c].Name)
	}
	for _, a := range q.aggregates {
		r.Aggregates = append(r.Aggregates, a.name)
	}
	included := m.included()
	a := aggregation{query: q, missing: len(included) < len(m.responses)}
	a.mergeGroups(included)
	if err := a.computeUncertainties(included); err != nil {
		return err
	}
	a.sortByRank()
	count := a.appendGroups(r)
	r.More = count < len(a.order) || a.omitted || a.missing && len(q.groupColumns) > 0
	switch {
	case a.missing:
		r.CertainCount, r.MaxUnseen = 0, ""
	case q.rankBy >= 0:
		r.CertainCount, r.MaxUnseen = a.certainCount(count), a.maxUnseen.Text('f')
	default:
		r.CertainCount = count
	}
	if r.CertainCount < count {
		r.Complete = false
	}
	return nil
}

// mergeGroups merges the partial aggregates of each group over all responses.
func (a *aggregation) mergeGroups(responses []*SegmentResponse) {
	partials := a.query.partials
	byKey := map[string]*group{}
	for _, response := range responses {
		for i := range response.groups {
			from := &response.groups[i]
			g := byKey[from.key]
			if g == nil {
				g = &group{key: from.key, raw: from.raw, values: make([]partialValue, len(partials))}
				byKey[g.key] = g
				a.groups = append(a.groups, g)
			}
			g.segments = append(g.segments, response.segment)
			for i, partial := range partials {
				g.values[i].add(partial, &from.values[i])
			}
		}
	}
	if len(a.query.groupColumns) == 0 && len(a.groups) == 0 {
		a.groups = append(a.groups, &group{values: make([]partialValue, len(partials))})
	}
}

// computeUncertainties sets uncertainties and maxUnseen from the bounds of the groups that segments omitted. It returns an
// error if a sum of bounds exceeds the range of decimals.
func (a *aggregation) computeUncertainties(responses []*SegmentResponse) error {
	a.uncertainties = make([]uncertainty, len(a.groups))
	for _, response := range responses {
		omitted := response.omitted
		if omitted == nil {
			continue
		}
		a.omitted = true
		if !omitted.maxRank.Negative {
			if _, err := exactContext.Add(&a.maxUnseen, &a.maxUnseen, &omitted.maxRank); err != nil {
				return err
			}
		}
		for i, g := range a.groups {
			if slices.Contains(g.segments, response.segment) {
				continue
			}
			if err := a.uncertainties[i].widen(omitted); err != nil {
				return err
			}
		}
	}
	return nil
}

// sortByRank computes the ranks of the groups and sets order: by descending rank and then by key.
func (a *aggregation) sortByRank() {
	a.ranks, a.overflow = make([]apd.Decimal, len(a.groups)), make([]bool, len(a.groups))
	a.order = make([]int, len(a.groups))
	for i, g := range a.groups {
		a.order[i] = i
		if a.query.rankBy >= 0 {
			a.ranks[i], a.overflow[i] = a.query.rankValue(g), g.values[a.query.rankBy].overflow
		}
	}
	sort.SliceStable(a.order, func(x, y int) bool {
		i, j := a.order[x], a.order[y]
		if a.overflow[i] != a.overflow[j] { // groups whose rank exceeds its range come first
			return a.overflow[i]
		}
		if d := a.ranks[i].Cmp(&a.ranks[j]); d != 0 && !a.overflow[i] {
			return d > 0
		}
		return a.groups[i].key < a.groups[j].key
	})
}

// appendGroups appends the first groups of the order to r, up to the query's limit and the policy's MaxResultBytes, and
// returns their number. It clears r.Complete if a value is neither exact nor approximate, or if MaxResultBytes is reached.
func (a *aggregation) appendGroups(r *Result) int {
	q := a.query
	size := 0
	count := min(len(a.order), q.limit)
	for n, i := range a.order[:count] {
		g := GroupResult{Key: a.groups[i].raw}
		for _, aggregate := range q.aggregates {
			v := q.aggregateValue(aggregate, a.groups[i], a.missing, &a.uncertainties[i])
			if v.Quality != Exact && v.Quality != Approximate {
				r.Complete = false
			}
			g.Values = append(g.Values, v)
		}
		if size += g.jsonSize(); size > q.policy.MaxResultBytes && n > 0 {
			r.Complete = false // fewer groups than requested although there are more
			return n
		}
		r.Groups = append(r.Groups, g)
	}
	return count
}

// certainCount returns how many of the first count groups are at their true position: no later group in the order and no group
// that a segment omitted can precede them.
func (a *aggregation) certainCount(count int) int {
	// highestRanks[k] is the largest possible rank of the groups from index k of the order on and of groups that no segment
	// returned.
	highestRanks := make([]*apd.Decimal, len(a.order)+1)
	if a.omitted {
		highestRanks[len(a.order)] = &a.maxUnseen
	}
	for k := len(a.order) - 1; k >= 0; k-- {
		i, h := a.order[k], new(apd.Decimal)
		if a.overflow[i] {
			return 0
		}
		if _, err := exactContext.Add(h, &a.ranks[i], &a.uncertainties[i].above); err != nil {
			return 0
		}
		if highestRanks[k] = h; highestRanks[k+1] != nil && highestRanks[k+1].Cmp(h) > 0 {
			highestRanks[k] = highestRanks[k+1]
		}
	}
	for k := range count {
		i, low := a.order[k], new(apd.Decimal)
		if _, err := exactContext.Add(low, &a.ranks[i], &a.uncertainties[i].below); err != nil {
			return k
		}
		next := highestRanks[k+1]
		if next == nil {
			continue
		}
		// Equal ranks are ordered by key, and that order is certain only if no groups were omitted.
		if d := low.Cmp(next); d < 0 || d == 0 && a.omitted {
			return k
		}
	}
	return count
}

// uncertainty bounds the error of a group's rank that results from groups omitted by segments.
type uncertainty struct {
	incomplete bool // a segment that omitted groups did not return this one
	// The true rank is from rank + below to rank + above; below is 0 or negative, above 0 or positive.
	below, above apd.Decimal
}

// widen extends the bounds by those of a segment that did not return the group: the segment may have omitted the group or
// may hold no rows of it.
func (u *uncertainty) widen(omitted *omittedBounds) error {
	u.incomplete = true
	if omitted.maxRank.Sign() > 0 {
		if _, err := exactContext.Add(&u.above, &u.above, &omitted.maxRank); err != nil {
			return err
		}
	}
	if omitted.minRank.Sign() < 0 {
		if _, err := exactContext.Add(&u.below, &u.below, &omitted.minRank); err != nil {
			return err
		}
	}
	return nil
}
