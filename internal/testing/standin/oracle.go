package standin

import (
	"encoding/json"
	"fmt"
	"math"
	"math/big"
	"slices"
	"sort"
	"strings"

	"oxbowspan/merge"
)

// MergedResponse is a merged answer's body, as a client reads it.
type MergedResponse struct {
	Full   bool `json:"full"`
	Result struct {
		Kind    string            `json:"kind"`
		Columns []string          `json:"columns"`
		Rows    []json.RawMessage `json:"rows"`
		From    []int             `json:"from"`
		Before  int               `json:"before"`
		Certain int               `json:"certain"`
		More    bool              `json:"more"`
		Late    int               `json:"late"`
		Moved   bool              `json:"moved"`
		Last    bool              `json:"last"`
		Stuck   bool              `json:"stuck"`
		Next    string            `json:"next"`
		Group   []string          `json:"group"`
		Figures []string          `json:"figures"`
		Groups  []struct {
			Key    []any `json:"key"`
			Values []struct {
				Value json.RawMessage `json:"value"`
				Is    string          `json:"is"`
				Low   json.RawMessage `json:"low"`
				High  json.RawMessage `json:"high"`
				Error float64         `json:"error"`
			} `json:"values"`
		} `json:"groups"`
		Unseen   string `json:"unseen_at_most"`
		Complete struct {
			Asked    int             `json:"asked"`
			In       int             `json:"in"`
			Share    float64         `json:"share"`
			Segments []SegmentStatus `json:"segments"`
		} `json:"complete"`
	} `json:"merged"`
}

// SegmentStatus is what an answer says of one segment.
type SegmentStatus struct {
	Tablet int    `json:"tablet"`
	State  string `json:"state"`
	AsOf   uint64 `json:"as_of"`
	Rows   int    `json:"rows"`
	More   bool   `json:"more"`
	Moved  bool   `json:"moved"`
}

// ParseMergedResponse reads a body strictly.
func ParseMergedResponse(body []byte) (m MergedResponse, err error) {
	d := json.NewDecoder(strings.NewReader(string(body)))
	d.DisallowUnknownFields()
	if err := d.Decode(&m); err != nil {
		return m, fmt.Errorf("a merged answer does not parse: %w", err)
	}
	if len(m.Result.From) != len(m.Result.Rows) {
		return m, fmt.Errorf("%d rows come from %d segments", len(m.Result.Rows), len(m.Result.From))
	}
	return m, nil
}

// Oracle checks merged answers against the ledger they were made of. It computes what is right apart from the program
// and plainly: all rows put together and sorted, all figures added up.
type Oracle struct {
	Dataset  *Dataset
	Segments []int // that were asked
	// RequireComplete says that the query type forbids missing parts.
	RequireComplete bool
}

// coverage is what an answer says is in, checked, and the data it can be held against.
type coverage struct {
	included map[int]uint64 // segments, by their data's version
	missing  []int
	rows     []Account
	all      []Account // with what the missing segments hold now
}

// checkCompleteness checks the statement of completeness and gathers the rows it stands for.
func (t Oracle) checkCompleteness(m MergedResponse) (k coverage, err error) {
	c := m.Result.Complete
	if c.Asked != len(t.Segments) || len(c.Segments) != len(t.Segments) {
		return k, fmt.Errorf("%d segments are stated as asked, %d were", c.Asked, len(t.Segments))
	}
	want := slices.Clone(t.Segments)
	sort.Ints(want)
	k.included = map[int]uint64{}
	for i, s := range c.Segments {
		if s.Tablet != want[i] {
			return k, fmt.Errorf("segment %d is stated where %d was asked", s.Tablet, want[i])
		}
		now, _ := t.Dataset.Rows(s.Tablet)
		switch s.State {
		case "in":
			rows, ok := t.Dataset.RowsAt(s.Tablet, s.AsOf)
			if !ok {
				return k, fmt.Errorf("segment %d never stood as of %d", s.Tablet, s.AsOf)
			}
			k.included[s.Tablet] = s.AsOf
			k.rows, k.all = append(k.rows, rows...), append(k.all, rows...)
		case "missing", "unusable":
			k.missing = append(k.missing, s.Tablet)
			k.all = append(k.all, now...)
		default:
			return k, fmt.Errorf("segment %d is in state %q", s.Tablet, s.State)
		}
	}
	if c.In != len(k.included) {
		return k, fmt.Errorf("%d segments are stated as in, %d are", c.In, len(k.included))
	}
	if share := float64(len(k.included)) / float64(len(t.Segments)); math.Abs(c.Share-share) > 1e-5 {
		return k, fmt.Errorf("a share of %v is stated, %v is in", c.Share, share)
	}
	if len(k.missing) > 0 {
		if t.RequireComplete {
			return k, fmt.Errorf("an answer came short of segments %v, which its query type forbids", k.missing)
		}
		if m.Full {
			return k, fmt.Errorf("an answer without segments %v says that it is whole", k.missing)
		}
	}
	return k, nil
}

// identity tells a row from all others: its segment and its JSON.
func (a Account) identity() string { return fmt.Sprintf("%d:%s", a.Segment, a.JSON()) }

func identities(rows []Account) []string {
	out := make([]string, len(rows))
	for i, r := range rows {
		out[i] = r.identity()
	}
	return out
}

// rowIdentities are the answer's rows in the same form.
func (m MergedResponse) rowIdentities() []string {
	out := make([]string, len(m.Result.Rows))
	for i, r := range m.Result.Rows {
		out[i] = fmt.Sprintf("%d:%s", m.Result.From[i], r)
	}
	return out
}

func sortedRows(rows []Account, order []string) []Account {
	rows = slices.Clone(rows)
	sort.Slice(rows, func(i, j int) bool { return Compare(order, rows[i], rows[j]) < 0 })
	return rows
}

// CheckRanked checks a ranked answer. uncut says that segments gave all they were asked for, so that the answer must be
// exactly that of what is in.
func (t Oracle) CheckRanked(m MergedResponse, order []string, offset, limit int, untruncated bool) error {
	k, err := t.checkCompleteness(m)
	if err != nil {
		return err
	}
	b := m.Result
	if b.Kind != "ranked" || !slices.Equal(b.Columns, DatasetColumns) || b.Before != offset {
		return fmt.Errorf("a ranked list after %d came as %s of %v after %d", offset, b.Kind, b.Columns, b.Before)
	}
	list := sortedRows(k.rows, order)
	right := identities(list[min(offset, len(list)):min(offset+limit, len(list))])
	got := m.rowIdentities()
	if b.Certain < 0 || b.Certain > len(got) || len(k.missing) > 0 && b.Certain > 0 {
		return fmt.Errorf("%d of %d rows are stated as certain, segments %v are missing", b.Certain, len(got), k.missing)
	}
	if untruncated {
		if !slices.Equal(got, right) {
			return firstDifference("rows", got, right)
		}
		if len(k.missing) == 0 && b.Certain != len(got) {
			return fmt.Errorf("%d of %d rows are stated as certain where all are", b.Certain, len(got))
		}
		if more := len(k.missing) > 0 || len(list) > offset+len(got); b.More != more {
			return fmt.Errorf("more is %t where it is %t", b.More, more)
		}
		if want := len(k.missing) == 0; m.Full != want {
			return fmt.Errorf("full is %t where it is %t", m.Full, want)
		}
		return nil
	}
	// Segments may have given less than they were asked for: what is certain must be right, all else at least real.
	if len(right) < b.Certain || !slices.Equal(got[:b.Certain], right[:b.Certain]) {
		return firstDifference("certain rows", got[:b.Certain], right)
	}
	if m.Full && !slices.Equal(got, right) {
		return firstDifference("rows of a whole answer", got, right)
	}
	return checkSubsequence(got, list)
}

// checkSubsequence checks that rows are some of a list's, in its order, none twice.
func checkSubsequence(got []string, list []Account) error {
	at := 0
	for _, row := range got {
		for at < len(list) && list[at].identity() != row {
			at++
		}
		if at == len(list) {
			return fmt.Errorf("row %s is none of the list's, or out of its order, or twice", row)
		}
		at++
	}
	return nil
}

func firstDifference(what string, got, want []string) error {
	for i := range max(len(got), len(want)) {
		switch {
		case i >= len(got):
			return fmt.Errorf("%s end after %d, the next is %s", what, i, want[i])
		case i >= len(want):
			return fmt.Errorf("%s go on after %d with %s", what, i, got[i])
		case got[i] != want[i]:
			return fmt.Errorf("%s differ at %d: %s came, %s is right", what, i, got[i], want[i])
		}
	}
	return nil
}

// PagedCheck checks the pages of one walk as they come.
type PagedCheck struct {
	Oracle Oracle
	Order  []string
	Limit  int
	// Pages, Late and Rows count what came.
	Pages, Late, Rows int

	seen       map[string]bool // rows given, by text
	versions   map[int]uint64
	furthest   *Account // the furthest row given
	moved      bool
	incomplete bool // a segment was missing on some page
	prefix     []string
}

// CheckPage checks the next page. uncut is as for Truth.Ranked.
func (w *PagedCheck) CheckPage(m MergedResponse, untruncated bool) error {
	k, err := w.Oracle.checkCompleteness(m)
	if err != nil {
		return err
	}
	b := m.Result
	if w.seen == nil {
		w.seen, w.versions = map[string]bool{}, map[int]uint64{}
	}
	if b.Kind != "paged" || b.Before != w.Rows {
		return fmt.Errorf("a page after %d rows came as %s after %d", w.Rows, b.Kind, b.Before)
	}
	for _, s := range b.Complete.Segments {
		was, known := w.versions[s.Tablet]
		if s.State != "in" {
			if s.Moved {
				return fmt.Errorf("segment %d is not in and stated as moved", s.Tablet)
			}
			continue
		}
		if moved := known && was != s.AsOf; moved != s.Moved {
			return fmt.Errorf("segment %d: moved is %t, its data was as of %d and is as of %d", s.Tablet, s.Moved, was, s.AsOf)
		}
		w.moved = w.moved || s.Moved
		w.versions[s.Tablet] = s.AsOf
	}
	if b.Moved != w.moved {
		return fmt.Errorf("moved is %t where it is %t", b.Moved, w.moved)
	}
	if m.Full && w.moved {
		return fmt.Errorf("a page of a list whose data moved says that it is whole")
	}
	byText := map[string]*Account{}
	for i := range k.rows {
		byText[k.rows[i].identity()] = &k.rows[i]
	}
	var last *Account
	late := 0
	for i, raw := range m.rowIdentities() {
		row := byText[raw]
		if row == nil {
			return fmt.Errorf("row %s is none of what is in", raw)
		}
		if w.seen[raw] && !w.moved {
			return fmt.Errorf("row %s came twice", raw)
		}
		w.seen[raw] = true
		if last != nil && Compare(w.Order, *last, *row) >= 0 {
			return fmt.Errorf("row %s is out of order", raw)
		}
		last = row
		if w.furthest != nil && Compare(w.Order, *row, *w.furthest) <= 0 {
			if late++; late != i+1 {
				return fmt.Errorf("row %s is late behind one that is not", raw)
			}
		}
	}
	if late != b.Late {
		return fmt.Errorf("%d rows are stated as late, %d are", b.Late, late)
	}
	if late > 0 && !w.incomplete && !w.moved {
		return fmt.Errorf("%d rows are late where no segment was missing", late)
	}
	if last != nil && (w.furthest == nil || Compare(w.Order, *last, *w.furthest) > 0) {
		w.furthest = last
	}
	w.Pages, w.Late, w.Rows = w.Pages+1, w.Late+late, w.Rows+len(b.Rows)
	if len(k.missing) > 0 && b.Certain > 0 || b.Certain > len(b.Rows) {
		return fmt.Errorf("%d of %d rows are stated as certain, segments %v are missing", b.Certain, len(b.Rows), k.missing)
	}
	w.incomplete = w.incomplete || len(k.missing) > 0
	if len(k.missing) == 0 && b.Certain != len(b.Rows) {
		return fmt.Errorf("%d of %d rows are stated as certain where all are", b.Certain, len(b.Rows))
	}
	if !w.incomplete && !w.moved {
		// So far the pages, one behind the other, are the beginning of the list.
		w.prefix = append(w.prefix, m.rowIdentities()...)
		list := identities(sortedRows(k.rows, w.Order))
		if n := len(w.prefix); n > len(list) || !slices.Equal(w.prefix, list[:n]) {
			return firstDifference("the pages' rows", w.prefix, list)
		}
		if untruncated && len(b.Rows) != w.Limit && len(w.prefix) != len(list) {
			return fmt.Errorf("a page has %d rows of %d, and the list goes on", len(b.Rows), w.Limit)
		}
	}
	if b.Last {
		if b.Next != "" || len(k.missing) > 0 {
			return fmt.Errorf("the last page has a next one, or lacks segments %v", k.missing)
		}
		if !w.moved {
			for _, row := range k.rows {
				if !w.seen[row.identity()] {
					return fmt.Errorf("the walk is over and row %s never came", row.identity())
				}
			}
		}
	} else if b.Next == "" && !b.Stuck {
		return fmt.Errorf("a page that is not the last has no next one")
	}
	return nil
}

// CheckAggregated checks figures. uncut is as for Truth.Ranked.
func (t Oracle) CheckAggregated(m MergedResponse, terms merge.Terms, untruncated bool) error {
	k, err := t.checkCompleteness(m)
	if err != nil {
		return err
	}
	b := m.Result
	if b.Kind != "aggregated" || !slices.Equal(b.Figures, terms.Figures) || len(b.Group) != len(terms.Group) {
		return fmt.Errorf("figures %v by %v came as %s of %v by %v", terms.Figures, terms.Group, b.Kind, b.Figures, b.Group)
	}
	groups := map[string]Group{}
	for _, g := range GroupBy(k.all, terms.Group) {
		groups[formatGroupKey(terms.Group, g.Key)] = g
	}
	given := map[string]Group{}
	for _, g := range GroupBy(k.rows, terms.Group) {
		given[formatGroupKey(terms.Group, g.Key)] = g
	}
	lacking := len(k.missing) > 0
	whole := !lacking
	by := terms.By
	for _, f := range terms.Figures {
		if by == "" && (f == "count" || strings.HasPrefix(f, "sum(")) {
			by = f
		}
	}
	size := func(g Group) *big.Int { return g.SortValue(strings.NewReplacer("(", ":", ")", "").Replace(by)) }
	column := strings.TrimSuffix(strings.TrimPrefix(by, "sum("), ")")
	var order []Group
	for _, g := range GroupBy(k.all, terms.Group) {
		order = append(order, g)
	}
	if len(terms.Group) > 0 {
		sort.SliceStable(order, func(i, j int) bool { return size(order[i]).Cmp(size(order[j])) > 0 })
	}
	seen := map[string]bool{}
	for i, got := range b.Groups {
		key := formatKey(got.Key)
		g, real := groups[key]
		if !real || seen[key] {
			return fmt.Errorf("group %s came twice, or there is none such", key)
		}
		seen[key] = true
		if i < b.Certain && formatGroupKey(terms.Group, order[i].Key) != key {
			return fmt.Errorf("group %s stands at the certain place %d, %s is right", key, i, formatGroupKey(terms.Group, order[i].Key))
		}
		for n, f := range terms.Figures {
			v := got.Values[n]
			if err := checkAggregate(f, string(v.Value), v.Is, string(v.Low), string(v.High), v.Error, g, given[key], lacking, untruncated); err != nil {
				return fmt.Errorf("group %s: %w", key, err)
			}
			whole = whole && (v.Is == "exact" || v.Is == "approximate")
		}
	}
	if !b.More && len(b.Groups) < len(groups) {
		return fmt.Errorf("%d of %d groups came, and no more are said to be there", len(b.Groups), len(groups))
	}
	if untruncated && !lacking && b.More != (len(b.Groups) < len(groups)) {
		return fmt.Errorf("more is %t with %d of %d groups", b.More, len(b.Groups), len(groups))
	}
	if lacking && b.Certain > 0 || b.Certain > len(b.Groups) {
		return fmt.Errorf("%d of %d groups are stated as certain, segments %v are missing", b.Certain, len(b.Groups), k.missing)
	}
	whole = whole && b.Certain == len(b.Groups)
	if short := !untruncated && !m.Full && len(b.Groups) < terms.Limit && b.More; m.Full != whole && !short {
		return fmt.Errorf("full is %t where it is %t", m.Full, whole)
	}
	if untruncated && !lacking {
		if want := min(terms.Limit, len(order)); len(b.Groups) != want || b.Certain != want {
			return fmt.Errorf("%d groups came, %d certain, %d are right", len(b.Groups), b.Certain, want)
		}
	}
	// What no segment gave is bounded. Where none cut anything all was given, and a short answer left out what it knew.
	cut := slices.ContainsFunc(b.Complete.Segments, func(s SegmentStatus) bool { return s.More })
	if cut && b.Unseen != "" && !lacking && len(b.Groups) < terms.Limit {
		for key, g := range groups {
			if !seen[key] && size(g).Cmp(parseUnits(column, b.Unseen)) > 0 {
				return fmt.Errorf("group %s of %s was not seen, and is over the bound of %s", key, size(g), b.Unseen)
			}
		}
	}
	return nil
}

func formatGroupKey(columns []string, key []any) string {
	var out []any
	for i, v := range key {
		if c, ok := v.(int64); ok {
			if v = fmt.Sprint(c); columns[i] == "amount" {
				v = FormatCents(c)
			}
		}
		out = append(out, v)
	}
	return formatKey(out)
}

func formatKey(key []any) string {
	var words []string
	for _, v := range key {
		if v == nil {
			words = append(words, "-")
		} else {
			words = append(words, fmt.Sprintf("%q", fmt.Sprint(v)))
		}
	}
	return strings.Join(words, " ")
}

// parseUnits reads a figure in whole units: cents for amounts.
func parseUnits(column, text string) *big.Int {
	r, ok := new(big.Rat).SetString(strings.Trim(text, `"`))
	if !ok {
		return big.NewInt(math.MinInt64)
	}
	if column == "amount" {
		r.Mul(r, big.NewRat(100, 1))
	}
	return new(big.Int).Quo(r.Num(), r.Denom())
}

// checkAggregate holds one figure against the truth: over all segments, and over what is in.
func checkAggregate(f, value, is, low, high string, off float64, all, in Group, lacking, untruncated bool) error {
	name, column, _ := strings.Cut(strings.TrimSuffix(f, ")"), "(")
	wrong := func(right any) error {
		return fmt.Errorf("%s is stated as %s %s (%s to %s), right is %v", f, is, value, low, high, right)
	}
	if is == "exact" && lacking {
		return fmt.Errorf("%s is stated as exact where segments are missing", f)
	}
	if untruncated && !lacking && is != "exact" && is != "approximate" {
		return fmt.Errorf("%s is stated as %s where nothing is missing", f, is)
	}
	values := all.Values(column)
	switch name {
	case "count", "sum":
		right, part, got := all.SortValue("count"), in.SortValue("count"), parseUnits(column, value)
		if name == "sum" {
			right, part = all.Sum(column), in.Sum(column)
		}
		switch {
		case is == "exact" && got.Cmp(right) != 0,
			is == "lower_bound" && got.Cmp(right) > 0,
			is == "between" && (parseUnits(column, low).Cmp(right) > 0 || parseUnits(column, high).Cmp(right) < 0),
			is != "exact" && is != "lower_bound" && is != "between" && is != "partial":
			return wrong(right)
		case untruncated && got.Cmp(part) != 0:
			return wrong(part)
		}
	case "min", "max":
		best := Extreme(values, name == "max")
		if is == "exact" {
			if formatValue(column, best) != value {
				return wrong(formatValue(column, best))
			}
			return nil
		}
		if value == "null" {
			if is != "partial" {
				return wrong(formatValue(column, best))
			}
			return nil
		}
		v, err := decodeValue(column, json.RawMessage(value))
		if err != nil {
			return err
		}
		d := compareValues(v, best)
		if name == "min" && (is != "upper_bound" || d < 0) || name == "max" && (is != "lower_bound" || d > 0) {
			return wrong(formatValue(column, best))
		}
	case "mean":
		if is == "partial" {
			return nil
		}
		if len(values) == 0 {
			if value != "null" {
				return wrong("null")
			}
			return nil
		}
		right := new(big.Rat).SetFrac(all.Sum(column), big.NewInt(int64(len(values))))
		if column == "amount" {
			right.Quo(right, big.NewRat(100, 1))
		}
		got, ok := new(big.Rat).SetString(strings.Trim(value, `"`))
		if !ok {
			return wrong(right)
		}
		d := new(big.Rat).Sub(got, right)
		d.Abs(d)
		most := new(big.Rat)
		if is == "approximate" {
			most.SetFloat64(off)
		}
		if d.Cmp(new(big.Rat).Add(most, big.NewRat(1, 1_000_000_000_000))) > 0 {
			return wrong(right.FloatString(8))
		}
	case "distinct":
		distinct := map[any]bool{}
		for _, v := range in.Values(column) {
			distinct[v] = true
		}
		got, right := float64(parseUnits("", value).Int64()), float64(len(distinct))
		if off == 0 || untruncated && math.Abs(got-right) > 6*off*right+1 {
			return wrong(right)
		}
	default: // a quantile
		values = in.Values(column)
		if len(values) == 0 || !untruncated {
			return nil
		}
		var all []float64
		for _, v := range values {
			all = append(all, toFloat(column, v))
		}
		sort.Float64s(all)
		var q, got float64
		fmt.Sscanf(name, "p%f", &q)
		fmt.Sscanf(value, "%g", &got)
		// A quantile between two values is either of them.
		rank := q / 100 * float64(len(all)-1)
		lower, upper := all[int(rank)], all[int(math.Ceil(rank))]
		if math.Abs(got-lower) > off*math.Abs(lower)+1e-9 && math.Abs(got-upper) > off*math.Abs(upper)+1e-9 {
			return wrong([2]float64{lower, upper})
		}
	}
	return nil
}

// formatValue is a value as a row has it.
func formatValue(column string, v any) string {
	if c, ok := v.(int64); ok && column == "amount" {
		v = FormatCents(c)
	}
	b, _ := json.Marshal(v)
	return string(b)
}
