package merge

import (
	"slices"
	"sort"

	"github.com/cockroachdb/apd/v3"
)

// aggregation is the merge of the groups of all segments. Slices are parallel to groups.
type aggregation struct {
	query         *Query
	groups        []*group
	uncertainties []uncertainty
	ranks         []apd.Decimal // the values that groups are ranked by
	overflow      []bool        // the rank does not fit the digits
	order         []int         // indexes of groups by rank
	maxUnseen     apd.Decimal   // the largest rank of a group that every segment omitted or does not have
	omitted       bool          // a segment omitted groups
	missing       bool          // a segment is missing
}

// mergeAggregates merges the groups of the segments, and states the quality of each value.
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
	if err := a.bound(included); err != nil {
		return err
	}
	a.rank()
	shown := a.appendGroups(r)
	r.More = shown < len(a.order) || a.omitted || a.missing && len(q.groupColumns) > 0
	switch {
	case a.missing:
		r.CertainCount, r.MaxUnseen = 0, ""
	case q.rankBy >= 0:
		r.CertainCount, r.MaxUnseen = a.certainCount(shown), a.maxUnseen.Text('f')
	default:
		r.CertainCount = shown
	}
	if r.CertainCount < shown {
		r.Complete = false
	}
	return nil
}

// mergeGroups adds up the partial aggregates of each group.
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

// bound computes how far ranks may be off because segments omitted groups.
func (a *aggregation) bound(responses []*SegmentResponse) error {
	a.uncertainties = make([]uncertainty, len(a.groups))
	for _, response := range responses {
		omitted := response.omitted
		if omitted == nil {
			continue
		}
		a.omitted = true
		if !omitted.most.Negative {
			if _, err := exact.Add(&a.maxUnseen, &a.maxUnseen, &omitted.most); err != nil {
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

// rank orders the groups by their ranks, largest first, and then by their keys.
func (a *aggregation) rank() {
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
		if a.overflow[i] != a.overflow[j] { // ranks that do not fit come first
			return a.overflow[i]
		}
		if d := a.ranks[i].Cmp(&a.ranks[j]); d != 0 && !a.overflow[i] {
			return d > 0
		}
		return a.groups[i].key < a.groups[j].key
	})
}

// appendGroups appends the first groups to a result, up to the limits of the query and the policy, and returns their number.
func (a *aggregation) appendGroups(r *Result) int {
	q := a.query
	size := 0
	shown := min(len(a.order), q.limit)
	for n, i := range a.order[:shown] {
		g := GroupResult{Key: a.groups[i].raw}
		for _, aggregate := range q.aggregates {
			v := q.aggregateValue(aggregate, a.groups[i], a.missing, &a.uncertainties[i])
			if v.Quality != Exact && v.Quality != Approximate {
				r.Complete = false
			}
			g.Values = append(g.Values, v)
		}
		if size += g.jsonSize(); size > q.policy.MaxResultBytes && n > 0 {
			r.Complete = false // fewer groups than requested, though there are more
			return n
		}
		r.Groups = append(r.Groups, g)
	}
	return shown
}

// certainCount returns how many of the first groups no other group, shown or not, returned or omitted, can precede in truth.
func (a *aggregation) certainCount(shown int) int {
	// highest[k] is the largest possible rank of the groups from k on, those that no segment returned included.
	highest := make([]*apd.Decimal, len(a.order)+1)
	if a.omitted {
		highest[len(a.order)] = &a.maxUnseen
	}
	for k := len(a.order) - 1; k >= 0; k-- {
		i, h := a.order[k], new(apd.Decimal)
		if a.overflow[i] {
			return 0
		}
		if _, err := exact.Add(h, &a.ranks[i], &a.uncertainties[i].above); err != nil {
			return 0
		}
		if highest[k] = h; highest[k+1] != nil && highest[k+1].Cmp(h) > 0 {
			highest[k] = highest[k+1]
		}
	}
	for k := range shown {
		i, low := a.order[k], new(apd.Decimal)
		if _, err := exact.Add(low, &a.ranks[i], &a.uncertainties[i].below); err != nil {
			return k
		}
		next := highest[k+1]
		if next == nil {
			continue
		}
		// Equal ranks are ordered by key, which is certain only if nothing was omitted.
		if d := low.Cmp(next); d < 0 || d == 0 && a.omitted {
			return k
		}
	}
	return shown
}

// uncertainty is how far a group's rank may be off because segments omitted groups.
type uncertainty struct {
	incomplete   bool // a segment that omitted groups did not return this one
	below, above apd.Decimal
}

// widen adds a segment that may have omitted the group, or may not have it at all.
func (u *uncertainty) widen(omitted *omittedBounds) error {
	u.incomplete = true
	if omitted.most.Sign() > 0 {
		if _, err := exact.Add(&u.above, &u.above, &omitted.most); err != nil {
			return err
		}
	}
	if omitted.least.Sign() < 0 {
		if _, err := exact.Add(&u.below, &u.below, &omitted.least); err != nil {
			return err
		}
	}
	return nil
}
