package merge

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/apd/v3"
)

// group holds the partial aggregates of one group, either of one segment or merged over several.
type group struct {
	key      string // sort key of the values of the group's columns
	raw      string // values of the group's columns as received, separated by commas
	values   []partialValue
	segments []Segment // merged groups only: the segments that returned the group
}

// omittedBounds holds the number of the groups that a segment omitted, and bounds on their ranks.
type omittedBounds struct {
	groups           int
	maxRank, minRank apd.Decimal
}

// readGroups parses the groups of a segment's response, one per line. They must be sorted by descending rank and then by key,
// without duplicates, and no omitted group may have a larger rank than the last group returned.
func (q *Query) readGroups(response *SegmentResponse, lines []string, omitted *omittedGroups) error {
	if len(lines) > q.policy.MaxGroups {
		return fmt.Errorf("the response has %d groups, the limit is %d", len(lines), q.policy.MaxGroups)
	}
	if len(q.groupColumns) == 0 && len(lines) != 1 {
		return fmt.Errorf("the response has %d groups, there is exactly one", len(lines))
	}
	values := make([]scalar, 0, len(q.groupColumns)+len(q.partials))
	seen := map[string]bool{}
	var last apd.Decimal // rank of the previous group
	var lastKey string
	for n, line := range lines {
		row, err := scanRow(line, values[:0])
		if err != nil {
			return err
		}
		if len(row) != len(q.groupColumns)+len(q.partials) {
			return fmt.Errorf("group %.60q has %d values, want %d", line, len(row), len(q.groupColumns)+len(q.partials))
		}
		g, err := q.parseGroupKey(row)
		if err != nil {
			return fmt.Errorf("group %.60q: %w", line, err)
		}
		if seen[g.key] {
			return fmt.Errorf("group %.60q is a duplicate", line)
		}
		seen[g.key] = true
		if err := q.parsePartials(&g, row[len(q.groupColumns):]); err != nil {
			return fmt.Errorf("group %.60q: %w", line, err)
		}
		if q.rankBy >= 0 {
			rank := q.rankValue(&g)
			if d := rank.Cmp(&last); n > 0 && (d > 0 || d == 0 && g.key <= lastKey) {
				return fmt.Errorf("group %.60q is not after the one before", line)
			}
			last, lastKey = rank, g.key
		}
		response.groups = append(response.groups, g)
		response.memory += g.memory()
	}
	if omitted == nil || omitted.Groups == 0 {
		return nil
	}
	bounds, err := q.parseOmitted(omitted, len(lines), &last)
	response.omitted = bounds
	return err
}

// parseGroupKey returns a group with the values of its columns, which are the first values of a row.
func (q *Query) parseGroupKey(row []scalar) (group, error) {
	s := q.policy.Schema
	g := group{values: make([]partialValue, len(q.partials))}
	var key []byte
	var raw []string
	for i, column := range q.groupColumns {
		if err := s.Columns[column].check(row[i], s.Digits); err != nil {
			return g, err
		}
		key = s.appendValue(key, column, row[i], false)
		raw = append(raw, row[i].raw)
	}
	g.key, g.raw = string(key), strings.Join(raw, ",")
	return g, nil
}

// parsePartials parses the partial aggregates of a group.
func (q *Query) parsePartials(g *group, values []scalar) (err error) {
	for i, partial := range q.partials {
		if g.values[i], err = q.policy.Schema.parsePartialValue(partial, values[i]); err != nil {
			return err
		}
	}
	return q.checkSketches(g)
}

// parseOmitted parses and validates the bounds that a segment states for the groups it omitted. returned is the number of
// groups it returned, and last the rank of the last of them.
func (q *Query) parseOmitted(omitted *omittedGroups, returned int, last *apd.Decimal) (*omittedBounds, error) {
	b := &omittedBounds{groups: omitted.Groups}
	for _, bound := range []struct {
		text  string
		value *apd.Decimal
	}{{omitted.MaxRank, &b.maxRank}, {omitted.MinRank, &b.minRank}} {
		if _, _, _, ok := splitDecimal(bound.text, MaxDigits, maxScale); !ok {
			return nil, fmt.Errorf("the bound %.40q of omitted groups is not a decimal", bound.text)
		}
		if _, _, err := bound.value.SetString(bound.text); err != nil {
			return nil, fmt.Errorf("the bound %.40q of omitted groups is not a decimal", bound.text)
		}
	}
	if omitted.Groups < 0 || returned == 0 || b.maxRank.Cmp(last) > 0 || b.minRank.Cmp(&b.maxRank) > 0 || q.rankUnsigned() && b.minRank.Negative {
		return nil, errors.New("the bounds of omitted groups contradict the groups returned")
	}
	return b, nil
}

// memory returns the estimated memory of the group in bytes, without the bytes of its line in the response.
func (g *group) memory() int {
	memory := groupOverhead + len(g.values)*partialValueOverhead
	for i := range g.values {
		memory += g.values[i].sketchMemory
	}
	return memory
}

// Estimated memory of a group and of a partial value in bytes, without their bytes in the response.
const (
	groupOverhead        = 160
	partialValueOverhead = 160
)

// checkSketches returns an error if a quantile sketch of a group holds another number of values than the group's count of
// non-null values.
func (q *Query) checkSketches(g *group) error {
	for i, p := range q.partials {
		if p.kind != partialQuantiles {
			continue
		}
		countIndex := slices.Index(q.partials, partialAggregate{partialValues, p.column})
		if n := g.values[i].quantiles.GetCount(); n != float64(g.values[countIndex].count) {
			return fmt.Errorf("a sketch has %v values, the group has %d", n, g.values[countIndex].count)
		}
	}
	return nil
}

// rankValue returns a group's rank: the count or sum that groups are ranked by.
func (q *Query) rankValue(g *group) (d apd.Decimal) {
	v := &g.values[q.rankBy]
	if q.partials[q.rankBy].kind == partialCount {
		d.SetInt64(v.count)
	} else {
		d.Set(&v.sum)
	}
	return d
}

// rankUnsigned reports whether ranks are never negative.
func (q *Query) rankUnsigned() bool {
	p := q.partials[q.rankBy]
	return p.kind == partialCount || q.policy.Schema.Columns[p.column].Unsigned
}
