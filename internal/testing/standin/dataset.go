package standin

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/big"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"

	"github.com/DataDog/sketches-go/ddsketch"

	"oxbowspan/merge"
)

// Account is one row of the ledger: what one account owes. Missing values are nil.
type Account struct {
	Segment  int
	Account  string
	Customer *string
	Due      *string
	Cents    *int64 // owed; below 0 = a credit
	Bills    *int64
}

// DatasetSchema is the ledger's schema as an operator's file declares it, without the section's name.
const DatasetSchema = "columns = account:text customer:text due:date amount:money bills:int+\naccount = account\ndigits = 18\n"

// DatasetSchemaName is the schema's name on the wire.
const DatasetSchemaName = "arrears/1"

// DatasetColumns are the schema's columns, in order.
var DatasetColumns = []string{"account", "customer", "due", "amount", "bills"}

// Dataset is known data in segments, fixed by its seed. It may be used from several goroutines.
type Dataset struct {
	mu       sync.RWMutex
	seed     uint64
	segments [][]Account
	versions []uint64
	history  []map[uint64][]Account // of each segment, its data by version; grows with Advance, which its caller bounds
}

// DatasetShape says how a ledger's data lies.
type DatasetShape struct {
	Segments        int
	Accounts        int  // in all
	SingleSegment   bool // every account lies in segment 0, the others are empty
	EqualKeys       bool // all order columns are equal everywhere
	NegativeAmounts bool // some amounts are below 0
	// SharedAccounts puts the same account names in several segments, so that ties go on to the segment.
	SharedAccounts bool
}

// NewDataset makes a ledger.
func NewDataset(seed uint64, s DatasetShape) *Dataset {
	l := &Dataset{seed: seed, segments: make([][]Account, s.Segments), versions: make([]uint64, s.Segments)}
	r := rand.New(rand.NewPCG(seed, 7))
	for i := range l.versions {
		l.versions[i] = 1000 + uint64(i)
	}
	for n := range s.Accounts {
		at := r.IntN(s.Segments)
		switch {
		case s.SingleSegment:
			at = 0
		case s.SharedAccounts:
			at = n % s.Segments
		}
		l.segments[at] = append(l.segments[at], newAccount(r, at, n, s))
	}
	for i, rows := range l.segments {
		l.history = append(l.history, map[uint64][]Account{l.versions[i]: rows})
	}
	return l
}

// RowsAt copies a segment's accounts as of a version; false = there was none such.
func (l *Dataset) RowsAt(segment int, version uint64) ([]Account, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if segment < 0 || segment >= len(l.history) {
		return nil, false
	}
	rows, ok := l.history[segment][version]
	return append([]Account(nil), rows...), ok
}

func newAccount(r *rand.Rand, at, n int, s DatasetShape) Account {
	a := Account{Segment: at, Account: fmt.Sprintf("a-%06d", n)}
	if s.SharedAccounts {
		a.Account = fmt.Sprintf("a-%06d", n/s.Segments)
	}
	customer := fmt.Sprintf("c-%02d", r.IntN(37)*r.IntN(3)) // some have many accounts, most few
	due := fmt.Sprintf("2026-%02d-%02d", 1+r.IntN(12), 1+r.IntN(9))
	cents := int64(r.IntN(40)) * 2550
	if r.IntN(4) == 0 {
		cents = int64(r.IntN(2_000_000))
	}
	if s.NegativeAmounts && r.IntN(6) == 0 {
		cents = -cents
	}
	bills := int64(r.IntN(6))
	if s.EqualKeys {
		customer, due, cents, bills = "c-00", "2026-01-01", 100, 1
	}
	a.Customer, a.Due, a.Cents, a.Bills = &customer, &due, &cents, &bills
	if !s.EqualKeys {
		for _, drop := range []func(){func() { a.Customer = nil }, func() { a.Due = nil }, func() { a.Cents = nil }} {
			if r.IntN(25) == 0 {
				drop()
			}
		}
	}
	return a
}

// Segments is how many there are.
func (l *Dataset) Segments() int { return len(l.segments) }

// Rows copies a segment's accounts, with its data's version.
func (l *Dataset) Rows(segment int) ([]Account, uint64) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return append([]Account(nil), l.segments[segment]...), l.versions[segment]
}

// Advance moves a segment's data on: one account is added, one changes, and the version grows.
func (l *Dataset) Advance(segment int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions[segment]++
	r := rand.New(rand.NewPCG(l.seed, l.versions[segment]*1000+uint64(segment)))
	fresh := newAccount(r, segment, 900_000+int(l.versions[segment])*len(l.segments)+segment, DatasetShape{Segments: len(l.segments)})
	rows := append([]Account(nil), l.segments[segment]...) // those given out before stay as they were
	if len(rows) > 0 {
		cents := int64(r.IntN(1_000_000))
		rows[r.IntN(len(rows))].Cents = &cents
	}
	l.segments[segment] = append(rows, fresh)
	l.history[segment][l.versions[segment]] = l.segments[segment]
}

// FormatCents writes cents as an amount.
func FormatCents(cents int64) string {
	sign := ""
	if cents < 0 {
		sign, cents = "-", -cents
	}
	return fmt.Sprintf("%s%d.%02d", sign, cents/100, cents%100)
}

// value is an account's value in a column; nil = missing.
func (a Account) value(column string) any {
	switch {
	case column == "account":
		return a.Account
	case column == "customer" && a.Customer != nil:
		return *a.Customer
	case column == "due" && a.Due != nil:
		return *a.Due
	case column == "amount" && a.Cents != nil:
		return *a.Cents
	case column == "bills" && a.Bills != nil:
		return *a.Bills
	}
	return nil
}

// JSON is an account's row as a shard server gives it.
func (a Account) JSON() string {
	var vals []any
	for _, c := range DatasetColumns {
		v := a.value(c)
		if cents, ok := v.(int64); ok && c == "amount" {
			v = FormatCents(cents)
		}
		vals = append(vals, v)
	}
	b, err := json.Marshal(vals)
	if err != nil {
		panic(err) // strings, integers and nils alone
	}
	return string(b)
}

// compareValues orders two values of one column upwards; missing ones are greater than all.
func compareValues(x, y any) int {
	switch {
	case x == nil && y == nil:
		return 0
	case x == nil:
		return 1
	case y == nil:
		return -1
	}
	if a, ok := x.(string); ok {
		return strings.Compare(a, y.(string))
	}
	a, b := x.(int64), y.(int64)
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Compare orders two accounts as a list does: by the order's columns, "-" for downwards with missing values last all the
// same, then by account, then by segment.
func Compare(order []string, x, y Account) int {
	for _, name := range order {
		column, down := strings.CutPrefix(name, "-")
		a, b := x.value(column), y.value(column)
		d := compareValues(a, b)
		if down && a != nil && b != nil {
			d = -d
		}
		if d != 0 {
			return d
		}
	}
	if d := strings.Compare(x.Account, y.Account); d != 0 {
		return d
	}
	return x.Segment - y.Segment
}

// maxValueBytes is what a shard server puts into one value at most: what the gatherers take, and its line.
const maxValueBytes = 63 << 10

// Respond answers what a segment is asked, as the item m of a part's list has it. most bounds its rows; 0 = as asked.
func (l *Dataset) Respond(segment int, item string, most int) (string, error) {
	ask, err := merge.ParseAsk(item)
	if err != nil {
		return "", err
	}
	if ask.Schema != DatasetSchemaName {
		return "", fmt.Errorf("schema %q is asked for", ask.Schema)
	}
	rows, version := l.Rows(segment)
	if ask.Kind == merge.Ranked {
		return respondRanked(rows, version, ask, most)
	}
	return respondAggregated(rows, version, ask, most)
}

func respondRanked(rows []Account, version uint64, ask merge.Ask, most int) (string, error) {
	sort.Slice(rows, func(i, j int) bool { return Compare(ask.Order, rows[i], rows[j]) < 0 })
	if ask.After != nil {
		start := 0
		for ; start < len(rows); start++ {
			d, err := compareToCursor(ask, rows[start])
			if err != nil {
				return "", err
			}
			if d > 0 || d == 0 && ask.After.Edge == merge.EdgeFrom {
				break
			}
		}
		rows = rows[start:]
	}
	limit := ask.Limit
	if most > 0 {
		limit = min(limit, most)
	}
	var b strings.Builder
	n := 0
	for n < min(len(rows), limit) {
		text := rows[n].JSON()
		if b.Len()+len(text) > maxValueBytes {
			break
		}
		b.WriteString(text)
		b.WriteByte('\n')
		n++
	}
	return fmt.Sprintf(`{"schema":%q,"as_of":%d,"rows":%d,"more":%t}`, DatasetSchemaName, version, n, n < len(rows)) + "\n" + b.String(), nil
}

// compareToCursor compares a row to the place that a segment is to go on behind, without its segment.
func compareToCursor(ask merge.Ask, row Account) (int, error) {
	if len(ask.After.Keys) != len(ask.Order) {
		return 0, fmt.Errorf("a place of %d keys for an order of %d", len(ask.After.Keys), len(ask.Order))
	}
	for i, name := range ask.Order {
		column, down := strings.CutPrefix(name, "-")
		place, err := decodeValue(column, ask.After.Keys[i])
		if err != nil {
			return 0, err
		}
		a := row.value(column)
		d := compareValues(a, place)
		if down && a != nil && place != nil {
			d = -d
		}
		if d != 0 {
			return d, nil
		}
	}
	var account string
	if err := json.Unmarshal(ask.After.Account, &account); err != nil {
		return 0, err
	}
	return strings.Compare(row.Account, account), nil
}

// decodeValue reads a value as a row has it.
func decodeValue(column string, raw json.RawMessage) (any, error) {
	if string(raw) == "null" {
		return nil, nil
	}
	if column == "bills" {
		var n int64
		err := json.Unmarshal(raw, &n)
		return n, err
	}
	var s string
	if err := json.Unmarshal(raw, &s); err != nil || column != "amount" {
		return s, err
	}
	return parseCents(s)
}

func parseCents(s string) (int64, error) {
	r, ok := new(big.Rat).SetString(s)
	if !ok {
		return 0, fmt.Errorf("%q is no amount", s)
	}
	r.Mul(r, big.NewRat(100, 1))
	if !r.IsInt() || !r.Num().IsInt64() {
		return 0, fmt.Errorf("%q is no amount in cents", s)
	}
	return r.Num().Int64(), nil
}

// Group is accounts with the same values in some columns.
type Group struct {
	Key  []any
	Rows []Account
}

// GroupBy sorts accounts into groups, in the order of their keys: upwards, missing values last.
func GroupBy(rows []Account, columns []string) []Group {
	byKey := map[string]*Group{}
	var all []*Group
	for _, r := range rows {
		var key []any
		for _, c := range columns {
			key = append(key, r.value(c))
		}
		id := fmt.Sprintf("%#v", key)
		for _, v := range key {
			id += fmt.Sprintf("|%v", v)
		}
		g := byKey[id]
		if g == nil {
			g = &Group{Key: key}
			byKey[id] = g
			all = append(all, g)
		}
		g.Rows = append(g.Rows, r)
	}
	if len(columns) == 0 && len(all) == 0 {
		all = append(all, &Group{})
	}
	sort.Slice(all, func(i, j int) bool {
		for k := range columns {
			if d := compareValues(all[i].Key[k], all[j].Key[k]); d != 0 {
				return d < 0
			}
		}
		return false
	})
	out := make([]Group, len(all))
	for i, g := range all {
		out[i] = *g
	}
	return out
}

// Sum adds up a column in whole units: cents for amounts.
func (g Group) Sum(column string) *big.Int {
	sum := new(big.Int)
	for _, r := range g.Rows {
		if v, ok := r.value(column).(int64); ok {
			sum.Add(sum, big.NewInt(v))
		}
	}
	return sum
}

// Values lists a column's values that are there.
func (g Group) Values(column string) []any {
	var out []any
	for _, r := range g.Rows {
		if v := r.value(column); v != nil {
			out = append(out, v)
		}
	}
	return out
}

// SortValue is the figure that groups are chosen by: "count" or "sum:COLUMN".
func (g Group) SortValue(by string) *big.Int {
	if column, ok := strings.CutPrefix(by, "sum:"); ok {
		return g.Sum(column)
	}
	return big.NewInt(int64(len(g.Rows)))
}

// FormatSum writes a sum of a column.
func FormatSum(column string, sum *big.Int) string {
	if column != "amount" {
		return sum.String()
	}
	return new(big.Rat).SetFrac(sum, big.NewInt(100)).FloatString(2)
}

func respondAggregated(rows []Account, version uint64, ask merge.Ask, most int) (string, error) {
	groups := GroupBy(rows, ask.Group)
	if ask.By != "" {
		sort.SliceStable(groups, func(i, j int) bool { return groups[i].SortValue(ask.By).Cmp(groups[j].SortValue(ask.By)) > 0 })
	}
	limit := ask.Limit
	if most > 0 {
		limit = min(limit, most)
	}
	cutNote := ""
	if len(ask.Group) > 0 && len(groups) > limit {
		rest := groups[limit:]
		hi, lo := rest[0].SortValue(ask.By), rest[len(rest)-1].SortValue(ask.By)
		column := strings.TrimPrefix(ask.By, "sum:")
		cutNote = fmt.Sprintf(`,"cut":{"groups":%d,"most":%q,"least":%q}`, len(rest), FormatSum(column, hi), FormatSum(column, lo))
		groups = groups[:limit]
	}
	var b strings.Builder
	for _, g := range groups {
		var vals []any
		for i, v := range g.Key {
			if c, ok := v.(int64); ok && ask.Group[i] == "amount" {
				v = FormatCents(c)
			}
			vals = append(vals, v)
		}
		for _, f := range ask.Figures {
			v, err := g.partialAggregate(f)
			if err != nil {
				return "", err
			}
			vals = append(vals, v)
		}
		line, err := json.Marshal(vals)
		if err != nil {
			return "", err
		}
		b.Write(line)
		b.WriteByte('\n')
	}
	return fmt.Sprintf(`{"schema":%q,"as_of":%d,"rows":%d%s}`, DatasetSchemaName, version, len(groups), cutNote) + "\n" + b.String(), nil
}

// partialAggregate makes one partial figure of a group.
func (g Group) partialAggregate(figure string) (any, error) {
	name, column, _ := strings.Cut(figure, ":")
	values := g.Values(column)
	switch name {
	case "count":
		return len(g.Rows), nil
	case "values":
		return len(values), nil
	case "sum":
		return FormatSum(column, g.Sum(column)), nil
	case "min", "max":
		best := Extreme(values, name == "max")
		if c, ok := best.(int64); ok && column == "amount" {
			return FormatCents(c), nil
		}
		return best, nil
	case "distinct":
		s := merge.NewDistinct()
		for _, v := range values {
			s.Insert([]byte(fmt.Sprint(v)))
		}
		raw, err := s.MarshalBinary()
		return base64.StdEncoding.EncodeToString(raw), err
	case "sketch":
		s := merge.NewQuantiles()
		for _, v := range values {
			if err := s.Add(toFloat(column, v)); err != nil {
				return nil, err
			}
		}
		return encodeSketch(s), nil
	}
	return nil, fmt.Errorf("partial figure %q is not known", figure)
}

// Extreme is the least or the greatest value; nil = there is none.
func Extreme(values []any, greatest bool) any {
	var best any
	for _, v := range values {
		if best == nil || (compareValues(v, best) > 0) == greatest && compareValues(v, best) != 0 {
			best = v
		}
	}
	return best
}

func toFloat(column string, v any) float64 {
	n := float64(v.(int64))
	if column == "amount" {
		return n / 100
	}
	return n
}

func encodeSketch(s *ddsketch.DDSketch) string {
	var b []byte
	s.Encode(&b, false)
	return base64.StdEncoding.EncodeToString(b)
}
