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
	key   string // the sort key of its columns
	raw   string // its columns' values as they came, "a","b"
	cells []cell
	from  []Segment // merged: where it came from
}

// bounds is what a segment vouches for of the groups it left out: the figure they were chosen by.
type bounds struct {
	groups      int
	most, least apd.Decimal
}

// readGroups reads a segment's groups: those chosen by the largest figure first, ties by the group's own order, each
// once, and what was cut no larger than the last that came.
func (q *Query) readGroups(p *Part, lines []string, c *cut) error {
	s := q.allowed.Schema
	if len(lines) > q.allowed.MostGroups {
		return fmt.Errorf("%d groups came, %d were asked for", len(lines), q.allowed.MostGroups)
	}
	if len(q.group) == 0 && len(lines) != 1 {
		return fmt.Errorf("%d groups came where there is one", len(lines))
	}
	vals := make([]scalar, 0, len(q.group)+len(q.partials))
	seen := map[string]bool{}
	var last apd.Decimal
	var lastKey string
	for n, line := range lines {
		row, err := scanRow(line, vals[:0])
		if err != nil {
			return err
		}
		if len(row) != len(q.group)+len(q.partials) {
			return fmt.Errorf("group %.60q has %d values, %d were asked for", line, len(row), len(q.group)+len(q.partials))
		}
		g := group{cells: make([]cell, len(q.partials))}
		var key []byte
		var raw []string
		for i, col := range q.group {
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
			if g.cells[i], err = s.readCell(part, row[len(q.group)+i]); err != nil {
				return fmt.Errorf("group %.60q: %w", line, err)
			}
		}
		if err := q.agree(&g); err != nil {
			return fmt.Errorf("group %.60q: %w", line, err)
		}
		if q.by >= 0 {
			size := q.size(&g)
			if d := size.Cmp(&last); n > 0 && (d > 0 || d == 0 && g.key <= lastKey) {
				return fmt.Errorf("group %.60q does not come after the one before", line)
			}
			last, lastKey = size, g.key
		}
		p.groups = append(p.groups, g)
		p.bytes += groupOverhead + len(q.partials)*cellOverhead
	}
	for i := range p.groups {
		for c := range p.groups[i].cells {
			p.bytes += p.groups[i].cells[c].sketched
		}
	}
	if c == nil || c.Groups == 0 {
		return nil
	}
	b := &bounds{groups: c.Groups}
	for _, v := range []struct {
		text string
		to   *apd.Decimal
	}{{c.Most, &b.most}, {c.Least, &b.least}} {
		if _, _, _, ok := amount(v.text, MostDigits, 12); !ok {
			return fmt.Errorf("the bound %.40q of what was cut is no decimal", v.text)
		}
		if _, _, err := v.to.SetString(v.text); err != nil {
			return fmt.Errorf("the bound %.40q of what was cut is no decimal", v.text)
		}
	}
	if c.Groups < 0 || len(lines) == 0 || b.most.Cmp(&last) > 0 || b.least.Cmp(&b.most) > 0 || q.unsigned() && b.least.Negative {
		return errors.New("the bounds of what was cut do not go with what came")
	}
	p.cut = b
	return nil
}

// groupOverhead and cellOverhead are what these cost in memory beside their bytes.
const (
	groupOverhead = 160
	cellOverhead  = 160
)

// agree checks partial figures of one group against each other: a sketch holds as many values as there are.
func (q *Query) agree(g *group) error {
	for i, p := range q.partials {
		if p.kind != partSketch {
			continue
		}
		at := slices.Index(q.partials, partial{partValues, p.column})
		if n := g.cells[i].sketch.GetCount(); n != float64(g.cells[at].count) {
			return fmt.Errorf("a sketch of %v values where there are %d", n, g.cells[at].count)
		}
	}
	return nil
}

// size is the figure that groups are chosen by.
func (q *Query) size(g *group) (d apd.Decimal) {
	c := &g.cells[q.by]
	if q.partials[q.by].kind == partCount {
		d.SetInt64(c.count)
	} else {
		d.Set(&c.sum)
	}
	return d
}

// unsigned tells whether the figure that groups are chosen by is never below 0.
func (q *Query) unsigned() bool {
	p := q.partials[q.by]
	return p.kind == partCount || q.allowed.Schema.Columns[p.column].Unsigned
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

// FigureValue is one figure and what it is worth.
type FigureValue struct {
	Value     string // JSON; null where there is none
	Quality   Quality
	Low, High string // Between
	Error     string // Approximate, and Partial where it is estimated; a share of the value, or an amount for means
}

// GroupFigures is one group of an answer.
type GroupFigures struct {
	Key    string // its columns' values, as they came, without brackets
	Values []FigureValue
}

// size is about how many bytes a group takes in a body.
func (g GroupFigures) size() int {
	n := len(g.Key) + len(`{"key":[],"values":[]},`)
	for _, v := range g.Values {
		n += len(v.Value) + len(v.Quality) + len(v.Low) + len(v.High) + len(v.Error) + len(`{"value":,"is":"","low":,"high":,"error":},`)
	}
	return n
}

// figures merges groups and says of each figure how far it goes.
func (m *Merge) figures(a *Answer) error {
	q := m.q
	for _, c := range q.group {
		a.Group = append(a.Group, q.allowed.Schema.Columns[c].Name)
	}
	for _, f := range q.figures {
		a.Figures = append(a.Figures, f.text)
	}
	in := m.in()
	byKey := map[string]*group{}
	var all []*group
	for _, p := range in {
		for i := range p.groups {
			from := &p.groups[i]
			g := byKey[from.key]
			if g == nil {
				g = &group{key: from.key, raw: from.raw, cells: make([]cell, len(q.partials))}
				byKey[g.key] = g
				all = append(all, g)
			}
			g.from = append(g.from, p.segment)
			for c, part := range q.partials {
				g.cells[c].add(part, &from.cells[c])
			}
		}
	}
	if len(q.group) == 0 && len(all) == 0 {
		all = append(all, &group{cells: make([]cell, len(q.partials))})
	}
	missing, cuts := len(in) < len(m.parts), false
	slacks := make([]slack, len(all)) // of each group, by what was cut
	unseen := apd.New(0, 0)           // the largest that a group nobody gave can be
	for _, p := range in {
		cuts = cuts || p.cut != nil
		if p.cut != nil && !p.cut.most.Negative {
			if _, err := exact.Add(unseen, unseen, &p.cut.most); err != nil {
				return err
			}
		}
	}
	for i, g := range all {
		for _, p := range in {
			if p.cut == nil || slices.Contains(g.from, p.segment) {
				continue
			}
			slacks[i].lacks = true
			if err := slacks[i].widen(p.cut); err != nil {
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
	if q.by >= 0 {
		for i, g := range all {
			sizes[i], over[i] = q.size(g), g.cells[q.by].overflow
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
		g := GroupFigures{Key: all[i].raw}
		for _, f := range q.figures {
			v := q.value(f, all[i], missing, &slacks[i])
			if v.Quality != Exact && v.Quality != Approximate {
				a.Whole = false
			}
			g.Values = append(g.Values, v)
		}
		if size += g.size(); size > q.allowed.MostAnswer && n > 0 {
			shown, a.Whole = n, false // fewer groups than were asked for, though there are more
			break
		}
		a.Groups = append(a.Groups, g)
	}
	a.More = shown < len(order) || cuts || missing && len(q.group) > 0
	if q.by >= 0 {
		a.Certain = certainGroups(order, shown, sizes, over, slacks, unseen, cuts)
		a.Unseen = unseen.Text('f')
	} else {
		a.Certain = shown
	}
	if missing {
		a.Certain, a.Unseen = 0, ""
	}
	if a.Certain < shown {
		a.Whole = false
	}
	return nil
}

// slack is how far a merged figure may be off by what segments cut.
type slack struct {
	lacks     bool // a segment that cut groups did not give this one
	low, high apd.Decimal
}

// widen takes in a segment that may hold the group among those it cut, or may not hold it at all.
func (s *slack) widen(c *bounds) error {
	if c.most.Sign() > 0 {
		if _, err := exact.Add(&s.high, &s.high, &c.most); err != nil {
			return err
		}
	}
	if c.least.Sign() < 0 {
		if _, err := exact.Add(&s.low, &s.low, &c.least); err != nil {
			return err
		}
	}
	return nil
}

// certainGroups counts the first groups that no other, shown or not, given or cut, can really stand before.
func certainGroups(order []int, shown int, sizes []apd.Decimal, over []bool, slacks []slack, unseen *apd.Decimal, cuts bool) int {
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
		if _, err := exact.Add(h, &sizes[i], &slacks[i].high); err != nil {
			return 0
		}
		if highest[k] = h; highest[k+1] != nil && highest[k+1].Cmp(h) > 0 {
			highest[k] = highest[k+1]
		}
	}
	for k := range shown {
		i, low := order[k], new(apd.Decimal)
		if _, err := exact.Add(low, &sizes[i], &slacks[i].low); err != nil {
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

// value makes one figure of a merged group.
func (q *Query) value(f figure, g *group, missing bool, s *slack) FigureValue {
	c := &g.cells[f.from[0]]
	for _, at := range f.from {
		if g.cells[at].overflow {
			return FigureValue{Value: "null", Quality: Overflow}
		}
	}
	lacks := missing || s.lacks
	col := q.allowed.Schema.Columns[f.column]
	// bounded is the quality of a count or sum: what was cut is bounded where groups were chosen by it.
	bounded := func(v *apd.Decimal, unsigned bool) FigureValue {
		out := FigureValue{Value: v.Text('f'), Quality: Exact}
		switch {
		case !lacks:
		case !missing && f.from[0] == q.by:
			var low, high apd.Decimal
			_, err1 := exact.Add(&low, v, &s.low)
			_, err2 := exact.Add(&high, v, &s.high)
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
	case figCount:
		return bounded(apd.New(c.count, 0), true)
	case figSum:
		if tooLong(&c.sum, q.allowed.Schema.Digits) {
			return FigureValue{Value: "null", Quality: Overflow}
		}
		v := bounded(&c.sum, col.Unsigned)
		v.quote()
		return v
	case figMin, figMax:
		v := FigureValue{Value: "null", Quality: Exact}
		if c.value.raw != "" {
			v.Value = c.value.raw
		}
		switch {
		case !lacks:
		case c.value.raw == "" || c.value.missing():
			v.Quality = Partial // nothing is known that could bound it
		case f.kind == figMin:
			v.Quality = UpperBound
		default:
			v.Quality = LowerBound
		}
		return v
	case figMean:
		return q.mean(&c.sum, g.cells[f.from[1]].count, col, lacks)
	case figDistinct:
		n := uint64(0)
		if c.distinct != nil {
			n = c.distinct.Estimate()
		}
		return estimated(strconv.FormatUint(n, 10), DistinctError, lacks)
	}
	if c.sketch == nil || c.sketch.GetCount() == 0 {
		v := FigureValue{Value: "null", Quality: Exact}
		if lacks {
			v.Quality = Partial
		}
		return v
	}
	x, err := c.sketch.GetValueAtQuantile(f.quantile)
	if err != nil {
		return FigureValue{Value: "null", Quality: Partial}
	}
	return estimated(strconv.FormatFloat(x, 'g', 8, 64), QuantileError, lacks)
}

func estimated(value string, off float64, lacks bool) FigureValue {
	v := FigureValue{Value: value, Quality: Approximate, Error: strconv.FormatFloat(off, 'g', -1, 64)}
	if lacks {
		v.Quality = Partial
	}
	return v
}

// meanDigits is how many digits a mean has more than its column after the point.
const meanDigits = 4

// mean divides exactly where it can, and else says by how much it was rounded.
func (q *Query) mean(sum *apd.Decimal, n int64, col Column, lacks bool) FigureValue {
	v := FigureValue{Value: "null", Quality: Exact}
	if n > 0 {
		scale := int32(meanDigits)
		if col.Kind == Money {
			scale += int32(col.Scale)
		}
		wide := apd.Context{Precision: 3 * MostDigits, MaxExponent: 3 * MostDigits, MinExponent: -3 * MostDigits,
			Traps: apd.DefaultTraps, Rounding: apd.RoundHalfEven}
		// The sum has at most MostDigits digits, so that the quotient's rounding lies far behind the digits kept.
		quotient, rounded := new(apd.Decimal), new(apd.Decimal)
		c1, err1 := wide.Quo(quotient, sum, apd.New(n, 0))
		c2, err2 := wide.Quantize(rounded, quotient, -scale)
		if err1 != nil || err2 != nil {
			return FigureValue{Value: "null", Quality: Overflow}
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

func (v *FigureValue) quote() {
	for _, s := range []*string{&v.Value, &v.Low, &v.High} {
		if *s != "" {
			*s = `"` + *s + `"`
		}
	}
}

// appendGroups writes the groups' part of a body.
func (a *Answer) appendGroups(b []byte) []byte {
	b = append(b, `,"group":`...)
	b = appendStrings(b, a.Group)
	b = append(b, `,"figures":`...)
	b = appendStrings(b, a.Figures)
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
	if a.Unseen != "" && len(a.Group) > 0 {
		b = append(append(append(b, `,"unseen_at_most":"`...), a.Unseen...), '"')
	}
	return b
}
