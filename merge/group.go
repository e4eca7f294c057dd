package merge

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/apd/v3"
)

// group is the partial aggregates of one group, of one segment or merged.
type group struct {
	key      string // sort key of its columns
	raw      string // its columns' values as received, separated by commas
	values   []partialValue
	segments []Segment // merged: the segments that returned it
}

// omittedBounds bounds the ranks of the groups that a segment omitted.
type omittedBounds struct {
	groups      int
	most, least apd.Decimal
}

// readGroups reads a segment's groups. They must be ranked, the largest first and then by key, each once, and omitted
// groups must not rank before the last one.
func (q *Query) readGroups(response *SegmentResponse, lines []string, omitted *omittedGroups) error {
	if len(lines) > q.policy.MaxGroups {
		return fmt.Errorf("the response has %d groups, the limit is %d", len(lines), q.policy.MaxGroups)
	}
	if len(q.groupColumns) == 0 && len(lines) != 1 {
		return fmt.Errorf("the response has %d groups, there is exactly one", len(lines))
	}
	values := make([]scalar, 0, len(q.groupColumns)+len(q.partials))
	seen := map[string]bool{}
	var last apd.Decimal // rank of the group before
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

// parseGroupKey returns a group with the values of its columns, which are at the beginning of a row.
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

// parsePartials sets the partial aggregates of a group.
func (q *Query) parsePartials(g *group, values []scalar) (err error) {
	for i, partial := range q.partials {
		if g.values[i], err = q.policy.Schema.parsePartialValue(partial, values[i]); err != nil {
			return err
		}
	}
	return q.checkSketches(g)
}

// parseOmitted checks what a segment states about omitted groups, after a number of groups that it returned. last is the rank
// of the last of these.
func (q *Query) parseOmitted(omitted *omittedGroups, returned int, last *apd.Decimal) (*omittedBounds, error) {
	b := &omittedBounds{groups: omitted.Groups}
	for _, bound := range []struct {
		text  string
		value *apd.Decimal
	}{{omitted.Most, &b.most}, {omitted.Least, &b.least}} {
		if _, _, _, ok := splitDecimal(bound.text, MaxDigits, maxScale); !ok {
			return nil, fmt.Errorf("the bound %.40q of omitted groups is not a decimal", bound.text)
		}
		if _, _, err := bound.value.SetString(bound.text); err != nil {
			return nil, fmt.Errorf("the bound %.40q of omitted groups is not a decimal", bound.text)
		}
	}
	if omitted.Groups < 0 || returned == 0 || b.most.Cmp(last) > 0 || b.least.Cmp(&b.most) > 0 || q.rankUnsigned() && b.least.Negative {
		return nil, errors.New("the bounds of omitted groups contradict the groups returned")
	}
	return b, nil
}

// memory returns the memory of the group beside its bytes, estimated.
func (g *group) memory() int {
	memory := groupOverhead + len(g.values)*partialValueOverhead
	for i := range g.values {
		memory += g.values[i].sketchMemory
	}
	return memory
}

// Memory of a group and of a partial value beside their bytes, estimated.
const (
	groupOverhead        = 160
	partialValueOverhead = 160
)

// checkSketches checks that each quantile sketch of a group has as many values as the group.
func (q *Query) checkSketches(g *group) error {
	for i, p := range q.partials {
		if p.kind != partialQuantiles {
			continue
		}
		at := slices.Index(q.partials, partialAggregate{partialValues, p.column})
		if n := g.values[i].quantiles.GetCount(); n != float64(g.values[at].count) {
			return fmt.Errorf("a sketch has %v values, the group has %d", n, g.values[at].count)
		}
	}
	return nil
}

// rankValue returns the value that groups are ranked by.
func (q *Query) rankValue(g *group) (d apd.Decimal) {
	c := &g.values[q.rankBy]
	if q.partials[q.rankBy].kind == partialCount {
		d.SetInt64(c.count)
	} else {
		d.Set(&c.sum)
	}
	return d
}

// rankUnsigned reports whether ranks are never below 0.
func (q *Query) rankUnsigned() bool {
	p := q.partials[q.rankBy]
	return p.kind == partialCount || q.policy.Schema.Columns[p.column].Unsigned
}
