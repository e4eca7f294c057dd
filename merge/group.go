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
func (q *Query) readGroups(p *SegmentResponse, lines []string, c *omittedGroups) error {
	s := q.policy.Schema
	if len(lines) > q.policy.MaxGroups {
		return fmt.Errorf("%d groups came, %d were asked for", len(lines), q.policy.MaxGroups)
	}
	if len(q.groupColumns) == 0 && len(lines) != 1 {
		return fmt.Errorf("%d groups came where there is one", len(lines))
	}
	vals := make([]scalar, 0, len(q.groupColumns)+len(q.partials))
	seen := map[string]bool{}
	var last apd.Decimal
	var lastKey string
	for n, line := range lines {
		row, err := scanRow(line, vals[:0])
		if err != nil {
			return err
		}
		if len(row) != len(q.groupColumns)+len(q.partials) {
			return fmt.Errorf("group %.60q has %d values, %d were asked for", line, len(row), len(q.groupColumns)+len(q.partials))
		}
		g := group{values: make([]partialValue, len(q.partials))}
		var key []byte
		var raw []string
		for i, col := range q.groupColumns {
			if err := s.Columns[col].check(row[i], s.Digits); err != nil {
				return fmt.Errorf("group %.60q: %w", line, err)
			}
			key = s.appendValue(key, col, row[i], false)
			raw = append(raw, row[i].raw)
		}
		g.key, g.raw = string(key), strings.Join(raw, ",")
		if seen[g.key] {
			return fmt.Errorf("group %.60q came twice", line)
		}
		seen[g.key] = true
		for i, part := range q.partials {
			if g.values[i], err = s.parsePartialValue(part, row[len(q.groupColumns)+i]); err != nil {
				return fmt.Errorf("group %.60q: %w", line, err)
			}
		}
		if err := q.checkSketches(&g); err != nil {
			return fmt.Errorf("group %.60q: %w", line, err)
		}
		if q.rankBy >= 0 {
			size := q.rankValue(&g)
			if d := size.Cmp(&last); n > 0 && (d > 0 || d == 0 && g.key <= lastKey) {
				return fmt.Errorf("group %.60q does not come after the one before", line)
			}
			last, lastKey = size, g.key
		}
		p.groups = append(p.groups, g)
		p.memory += groupOverhead + len(q.partials)*partialValueOverhead
	}
	for i := range p.groups {
		for c := range p.groups[i].values {
			p.memory += p.groups[i].values[c].sketchMemory
		}
	}
	if c == nil || c.Groups == 0 {
		return nil
	}
	b := &omittedBounds{groups: c.Groups}
	for _, v := range []struct {
		text string
		to   *apd.Decimal
	}{{c.Most, &b.most}, {c.Least, &b.least}} {
		if _, _, _, ok := splitDecimal(v.text, MaxDigits, 12); !ok {
			return fmt.Errorf("the bound %.40q of what was cut is no decimal", v.text)
		}
		if _, _, err := v.to.SetString(v.text); err != nil {
			return fmt.Errorf("the bound %.40q of what was cut is no decimal", v.text)
		}
	}
	if c.Groups < 0 || len(lines) == 0 || b.most.Cmp(&last) > 0 || b.least.Cmp(&b.most) > 0 || q.rankUnsigned() && b.least.Negative {
		return errors.New("the bounds of what was cut do not go with what came")
	}
	p.omitted = b
	return nil
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
			return fmt.Errorf("a sketch of %v values where there are %d", n, g.values[at].count)
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
