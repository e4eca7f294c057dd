package merge

import (
	"errors"
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/cockroachdb/apd/v3"
)

// group is one group's partial figures, of a segment or merged.
type group struct {
	key      string // the sort key of its columns
	raw      string // its columns' values as they came, "a","b"
	values   []partialValue
	segments []Segment // merged: where it came from
}

// omittedBounds is what a segment vouches for of the groups it left out: the figure they were chosen by.
type omittedBounds struct {
	groups      int
	most, least apd.Decimal
}

// readGroups reads a segment's groups: those chosen by the largest figure first, ties by the group's own order, each
// once, and what was cut no larger than the last that came.
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
		p.memory += groupOverhead + len(q.partials)*cellOverhead
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

// groupOverhead and cellOverhead are what these cost in memory beside their bytes.
const (
	groupOverhead = 160
	cellOverhead  = 160
)

// checkSketches checks partial figures of one group against each other: a sketch holds as many values as there are.
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

// rankValue is the figure that groups are chosen by.
func (q *Query) rankValue(g *group) (d apd.Decimal) {
	c := &g.values[q.rankBy]
	if q.partials[q.rankBy].kind == partialCount {
		d.SetInt64(c.count)
	} else {
		d.Set(&c.sum)
	}
	return d
}

// rankUnsigned tells whether the figure that groups are chosen by is never below 0.
func (q *Query) rankUnsigned() bool {
	p := q.partials[q.rankBy]
	return p.kind == partialCount || q.policy.Schema.Columns[p.column].Unsigned
}

// Quality says how far a figure may be trusted.
type Quality string

// The qualities.
const (
	Exact       Quality = "exact"
	LowerBound  Quality = "lower_bound" // the true figure is this or more
	UpperBound  Quality = "upper_bound" // the true figure is this or less
	Between     Quality = "between"     // from Low to High
	Approximate Quality = "approximate" // with Error
	Partial     Quality = "partial"     // of what is in alone; it says nothing of the rest
	Overflow    Quality = "overflow"    // it does not fit the operator's digits, and has no value
)

// AggregateValue is one figure and what it is worth.
type AggregateValue struct {
	Value     string // JSON; null where there is none
	Quality   Quality
	Low, High string // Between
	Error     string // Approximate, and Partial where it is estimated; a share of the value, or an amount for means
}

// GroupResult is one group of an answer.
type GroupResult struct {
	Key    string // its columns' values, as they came, without brackets
	Values []AggregateValue
}

// jsonSize is about how many bytes a group takes in a body.
func (g GroupResult) jsonSize() int {
	n := len(g.Key) + len(`{"key":[],"values":[]},`)
	for _, v := range g.Values {
		n += len(v.Value) + len(v.Quality) + len(v.Low) + len(v.High) + len(v.Error) + len(`{"value":,"is":"","low":,"high":,"error":},`)
	}
	return n
}

// mergeAggregates merges groups and says of each figure how far it goes.
func (m *Merge) mergeAggregates(a *Result) error {
	q := m.query
	for _, c := range q.groupColumns {
		a.GroupColumns = append(a.GroupColumns, q.policy.Schema.Columns[c].Name)
	}
	for _, f := range q.aggregates {
		a.Aggregates = append(a.Aggregates, f.name)
	}
	in := m.included()
	byKey := map[string]*group{}
	var all []*group
	for _, p := range in {
		for i := range p.groups {
			from := &p.groups[i]
			g := byKey[from.key]
			if g == nil {
				g = &group{key: from.key, raw: from.raw, values: make([]partialValue, len(q.partials))}
				byKey[g.key] = g
				all = append(all, g)
			}
			g.segments = append(g.segments, p.segment)
			for c, part := range q.partials {
				g.values[c].add(part, &from.values[c])
			}
		}
	}
	if len(q.groupColumns) == 0 && len(all) == 0 {
		all = append(all, &group{values: make([]partialValue, len(q.partials))})
	}
	missing, cuts := len(in) < len(m.responses), false
	slacks := make([]uncertainty, len(all)) // of each group, by what was cut
	unseen := apd.New(0, 0)                 // the largest that a group nobody gave can be
	for _, p := range in {
		cuts = cuts || p.omitted != nil
		if p.omitted != nil && !p.omitted.most.Negative {
			if _, err := exact.Add(unseen, unseen, &p.omitted.most); err != nil {
				return err
			}
		}
	}
	for i, g := range all {
		for _, p := range in {
			if p.omitted == nil || slices.Contains(g.segments, p.segment) {
				continue
			}
			slacks[i].incomplete = true
			if err := slacks[i].widen(p.omitted); err != nil {
				return err
			}
		}
	}
	order := make([]int, len(all))
	for i := range order {
		order[i] = i
	}
	sizes := make([]apd.Decimal, len(all))
	over := make([]bool, len(all))
	if q.rankBy >= 0 {
		for i, g := range all {
			sizes[i], over[i] = q.rankValue(g), g.values[q.rankBy].overflow
		}
	}
	sort.SliceStable(order, func(x, y int) bool {
		i, j := order[x], order[y]
		if over[i] != over[j] { // what is too large to be said stands first
			return over[i]
		}
		if d := sizes[i].Cmp(&sizes[j]); d != 0 && !over[i] {
			return d > 0
		}
		return all[i].key < all[j].key
	})
	shown := min(len(order), q.limit)
	size := 0
	for n, i := range order[:shown] {
		g := GroupResult{Key: all[i].raw}
		for _, f := range q.aggregates {
			v := q.aggregateValue(f, all[i], missing, &slacks[i])
			if v.Quality != Exact && v.Quality != Approximate {
				a.Complete = false
			}
			g.Values = append(g.Values, v)
		}
		if size += g.jsonSize(); size > q.policy.MaxResultBytes && n > 0 {
			shown, a.Complete = n, false // fewer groups than were asked for, though there are more
			break
		}
		a.Groups = append(a.Groups, g)
	}
	a.More = shown < len(order) || cuts || missing && len(q.groupColumns) > 0
	if q.rankBy >= 0 {
		a.CertainCount = certainGroups(order, shown, sizes, over, slacks, unseen, cuts)
		a.MaxUnseen = unseen.Text('f')
	} else {
		a.CertainCount = shown
	}
	if missing {
		a.CertainCount, a.MaxUnseen = 0, ""
	}
	if a.CertainCount < shown {
		a.Complete = false
	}
	return nil
}

// uncertainty is how far a merged figure may be off by what segments cut.
type uncertainty struct {
	incomplete   bool // a segment that cut groups did not give this one
	below, above apd.Decimal
}

// widen takes in a segment that may hold the group among those it cut, or may not hold it at all.
func (s *uncertainty) widen(c *omittedBounds) error {
	if c.most.Sign() > 0 {
		if _, err := exact.Add(&s.above, &s.above, &c.most); err != nil {
			return err
		}
	}
	if c.least.Sign() < 0 {
		if _, err := exact.Add(&s.below, &s.below, &c.least); err != nil {
			return err
		}
	}
	return nil
}

// certainGroups counts the first groups that no other, shown or not, given or cut, can really stand before.
func certainGroups(order []int, shown int, sizes []apd.Decimal, over []bool, slacks []uncertainty, unseen *apd.Decimal, cuts bool) int {
	// highest[k] is the largest that any group from place k on can be, those that nobody gave among them.
	highest := make([]*apd.Decimal, len(order)+1)
	if cuts {
		highest[len(order)] = unseen
	}
	for k := len(order) - 1; k >= 0; k-- {
		i, h := order[k], new(apd.Decimal)
		if over[i] {
			return 0
		}
		if _, err := exact.Add(h, &sizes[i], &slacks[i].above); err != nil {
			return 0
		}
		if highest[k] = h; highest[k+1] != nil && highest[k+1].Cmp(h) > 0 {
			highest[k] = highest[k+1]
		}
	}
	for k := range shown {
		i, low := order[k], new(apd.Decimal)
		if _, err := exact.Add(low, &sizes[i], &slacks[i].below); err != nil {
			return k
		}
		next := highest[k+1]
		if next == nil {
			continue
		}
		// Equal figures are in their place only where nothing was cut: then the group's own order settles them.
		if d := low.Cmp(next); d < 0 || d == 0 && cuts {
			return k
		}
	}
	return shown
}

// aggregateValue makes one figure of a merged group.
func (q *Query) aggregateValue(f aggregate, g *group, missing bool, s *uncertainty) AggregateValue {
	c := &g.values[f.partials[0]]
	for _, at := range f.partials {
		if g.values[at].overflow {
			return AggregateValue{Value: "null", Quality: Overflow}
		}
	}
	lacks := missing || s.incomplete
	col := q.policy.Schema.Columns[f.column]
	// bounded is the quality of a count or sum: what was cut is bounded where groups were chosen by it.
	bounded := func(v *apd.Decimal, unsigned bool) AggregateValue {
		out := AggregateValue{Value: v.Text('f'), Quality: Exact}
		switch {
		case !lacks:
		case !missing && f.partials[0] == q.rankBy:
			var low, high apd.Decimal
			_, err1 := exact.Add(&low, v, &s.below)
			_, err2 := exact.Add(&high, v, &s.above)
			if out.Quality = Between; err1 != nil || err2 != nil {
				out.Quality = Partial
				break
			}
			out.Low, out.High = low.Text('f'), high.Text('f')
		case unsigned:
			out.Quality = LowerBound
		default:
			out.Quality = Partial
		}
		return out
	}
	switch f.kind {
	case aggregateCount:
		return bounded(apd.New(c.count, 0), true)
	case aggregateSum:
		if exceedsDigits(&c.sum, q.policy.Schema.Digits) {
			return AggregateValue{Value: "null", Quality: Overflow}
		}
		v := bounded(&c.sum, col.Unsigned)
		v.quote()
		return v
	case aggregateMin, aggregateMax:
		v := AggregateValue{Value: "null", Quality: Exact}
		if c.value.raw != "" {
			v.Value = c.value.raw
		}
		switch {
		case !lacks:
		case c.value.raw == "" || c.value.isNull():
			v.Quality = Partial // nothing is known that could bound it
		case f.kind == aggregateMin:
			v.Quality = UpperBound
		default:
			v.Quality = LowerBound
		}
		return v
	case aggregateMean:
		return q.mean(&c.sum, g.values[f.partials[1]].count, col, lacks)
	case aggregateDistinct:
		n := uint64(0)
		if c.distinct != nil {
			n = c.distinct.Estimate()
		}
		return estimated(strconv.FormatUint(n, 10), DistinctError, lacks)
	}
	if c.quantiles == nil || c.quantiles.GetCount() == 0 {
		v := AggregateValue{Value: "null", Quality: Exact}
		if lacks {
			v.Quality = Partial
		}
		return v
	}
	x, err := c.quantiles.GetValueAtQuantile(f.quantile)
	if err != nil {
		return AggregateValue{Value: "null", Quality: Partial}
	}
	return estimated(strconv.FormatFloat(x, 'g', 8, 64), QuantileError, lacks)
}

func estimated(value string, off float64, lacks bool) AggregateValue {
	v := AggregateValue{Value: value, Quality: Approximate, Error: strconv.FormatFloat(off, 'g', -1, 64)}
	if lacks {
		v.Quality = Partial
	}
	return v
}

// meanDigits is how many digits a mean has more than its column after the point.
const meanDigits = 4

// mean divides exactly where it can, and else says by how much it was rounded.
func (q *Query) mean(sum *apd.Decimal, n int64, col Column, lacks bool) AggregateValue {
	v := AggregateValue{Value: "null", Quality: Exact}
	if n > 0 {
		scale := int32(meanDigits)
		if col.Kind == Money {
			scale += int32(col.Scale)
		}
		wide := apd.Context{Precision: 3 * MaxDigits, MaxExponent: 3 * MaxDigits, MinExponent: -3 * MaxDigits,
			Traps: apd.DefaultTraps, Rounding: apd.RoundHalfEven}
		// The sum has at most MaxDigits digits, so that the quotient's rounding lies far behind the digits kept.
		quotient, rounded := new(apd.Decimal), new(apd.Decimal)
		c1, err1 := wide.Quo(quotient, sum, apd.New(n, 0))
		c2, err2 := wide.Quantize(rounded, quotient, -scale)
		if err1 != nil || err2 != nil {
			return AggregateValue{Value: "null", Quality: Overflow}
		}
		if v.Value = rounded.Text('f'); (c1 | c2).Inexact() {
			v.Quality, v.Error = Approximate, apd.New(5, -scale-1).Text('f')
		}
		v.quote()
	}
	if lacks {
		v.Quality = Partial
	}
	return v
}

func (v *AggregateValue) quote() {
	for _, s := range []*string{&v.Value, &v.Low, &v.High} {
		if *s != "" {
			*s = `"` + *s + `"`
		}
	}
}

// appendAggregates writes the groups' part of a body.
func (a *Result) appendAggregates(b []byte) []byte {
	b = append(b, `,"group":`...)
	b = appendStrings(b, a.GroupColumns)
	b = append(b, `,"figures":`...)
	b = appendStrings(b, a.Aggregates)
	b = append(b, `,"groups":[`...)
	for i, g := range a.Groups {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(append(append(b, `{"key":[`...), g.Key...), `],"values":[`...)
		for j, v := range g.Values {
			if j > 0 {
				b = append(b, ',')
			}
			b = append(append(b, `{"value":`...), v.Value...)
			b = append(b, `,"is":`...)
			b = strconv.AppendQuote(b, string(v.Quality))
			if v.Low != "" {
				b = append(append(b, `,"low":`...), v.Low...)
				b = append(append(b, `,"high":`...), v.High...)
			}
			if v.Error != "" {
				b = append(append(b, `,"error":`...), v.Error...)
			}
			b = append(b, '}')
		}
		b = append(b, `]}`...)
	}
	b = append(b, ']')
	if a.MaxUnseen != "" && len(a.GroupColumns) > 0 {
		b = append(append(append(b, `,"unseen_at_most":"`...), a.MaxUnseen...), '"')
	}
	return b
}
