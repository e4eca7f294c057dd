package merge_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"oxbowspan/internal/keyring"
	"oxbowspan/internal/testing/standin"
	"oxbowspan/merge"
)

func testSchema() *merge.Schema {
	s := &merge.Schema{Name: standin.DatasetSchemaName, Row: -1, Digits: 18}
	for _, text := range []string{"account:text", "customer:text", "due:date", "amount:money", "bills:int+"} {
		c, err := merge.ParseColumn(text)
		if err != nil {
			panic(err)
		}
		s.Columns = append(s.Columns, c)
	}
	return s
}

var columns = []string{"due", "amount", "account", "customer", "bills"}

func testPolicy() *merge.Policy {
	return &merge.Policy{Schema: testSchema(), Kinds: []string{merge.Ranked, merge.Paged, merge.Aggregated}, Orders: columns,
		Groups: columns, Aggregates: []string{"sum(amount)", "sum(bills)", "min(due)", "max(due)", "min(amount)", "max(amount)",
			"mean(amount)", "mean(bills)", "distinct(customer)", "p50(amount)", "p99(bills)"},
		MaxRows: 1000, MaxOffset: 1000, MaxGroups: 300, MaxResponseBytes: 1 << 20, MaxResultBytes: 1 << 20}
}

func ring(t testing.TB, text string) *keyring.Ring {
	r, err := keyring.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

const (
	keyOne = "one 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\n"
	keyTwo = "two ff112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\n"
)

func paging(t testing.TB) merge.Paging {
	return merge.Paging{Keys: ring(t, keyOne), Lifetime: 60_000, MaxLength: 8 << 10, Now: 1_000_000, QueryType: "report", Customer: "acme", Statement: []byte("s")}
}

func weights(n int) (out []merge.SegmentWeight) {
	for i := range n {
		out = append(out, merge.SegmentWeight{Segment: merge.Segment(i), Weight: 1 / float64(n)})
	}
	return out
}

func unlimitedBudget() *merge.Budget {
	b := &merge.Budget{}
	b.SetLimits(1<<40, 1<<40, 1000)
	return b
}

// addResponses lets segments answer, in an order of arrival, and merges what they gave. most cuts what a segment gives.
func addResponses(t interface{ Fatalf(string, ...any) }, q *merge.Query, l *standin.Dataset, arrive []int, most func(int) int) *merge.Merge {
	m, err := merge.New(q, unlimitedBudget())
	if err != nil {
		t.Fatalf("%v", err)
	}
	for _, at := range arrive {
		item, _ := strings.CutPrefix(q.SegmentItem(merge.Segment(at)), "m=")
		value, err := l.Respond(at, item, most(at))
		if err != nil {
			t.Fatalf("segment %d: %v", at, err)
		}
		p, err := q.ReadResponse(merge.Segment(at), value)
		if err != nil {
			t.Fatalf("segment %d gave %.300s: %v", at, value, err)
		}
		if err := m.Add(p); err != nil {
			t.Fatalf("segment %d: %v", at, err)
		}
	}
	return m
}

func result(t interface{ Fatalf(string, ...any) }, m *merge.Merge, whole bool) (standin.MergedResponse, string) {
	a, err := m.Result(whole)
	if err != nil {
		t.Fatalf("%v", err)
	}
	body := string(a.AppendJSON(nil))
	got, err := standin.ParseMergedResponse([]byte(body))
	if err != nil {
		t.Fatalf("%v: %s", err, body)
	}
	return got, body
}

func drawShape(t *rapid.T) (*standin.Dataset, int) {
	n := rapid.IntRange(1, 9).Draw(t, "segments")
	shape := standin.DatasetShape{Segments: n, Accounts: rapid.IntRange(0, 120).Draw(t, "accounts"), SingleSegment: rapid.Bool().Draw(t, "one"),
		EqualKeys: rapid.Bool().Draw(t, "equal"), NegativeAmounts: rapid.Bool().Draw(t, "credits"), SharedAccounts: rapid.Bool().Draw(t, "shared")}
	if shape.SingleSegment {
		shape.SharedAccounts = false
	}
	return standin.NewDataset(rapid.Uint64().Draw(t, "seed"), shape), n
}

func drawOrder(t *rapid.T) []string {
	order := rapid.Permutation(columns).Draw(t, "order")[:rapid.IntRange(1, 4).Draw(t, "keys")]
	for i := range order {
		if rapid.Bool().Draw(t, "down") {
			order[i] = "-" + order[i]
		}
	}
	return order
}

// drawIncluded draws which segments are in, and in what order they come.
func drawIncluded(t *rapid.T, n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	all = rapid.Permutation(all).Draw(t, "arrival")
	if rapid.Bool().Draw(t, "some missing") {
		return all[:rapid.IntRange(0, n).Draw(t, "in")]
	}
	return all
}

func shuffled(list []int, seed uint64) []int {
	out := slices.Clone(list)
	rand.New(rand.NewPCG(seed, 1)).Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

func TestRankedMatchesOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, n := drawShape(t)
		order, offset, limit := drawOrder(t), rapid.IntRange(0, 40).Draw(t, "offset"), rapid.IntRange(1, 60).Draw(t, "limit")
		q, err := testPolicy().NewQuery(merge.Request{Kind: "ranked", Order: order, Offset: offset, Limit: limit}, weights(n), false, merge.Paging{})
		if err != nil {
			t.Fatalf("%v", err)
		}
		cut := rapid.IntRange(0, 12).Draw(t, "cut") // 0 = none
		most := func(int) int { return cut }
		in := drawIncluded(t, n)
		got, body := result(t, addResponses(t, q, l, in, most), len(in) == n)
		truth := standin.Oracle{Dataset: l, Segments: segments(n)}
		if err := truth.CheckRanked(got, order, offset, limit, cut == 0); err != nil {
			t.Fatalf("%v: %s", err, body)
		}
		if _, again := result(t, addResponses(t, q, l, shuffled(in, 5), most), len(in) == n); again != body {
			t.Fatalf("another order of arrival gives\n%s\nnot\n%s", again, body)
		}
	})
}

func segments(n int) (out []int) {
	for i := range n {
		out = append(out, i)
	}
	return out
}

func TestPagedMatchesOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, n := drawShape(t)
		order, limit := drawOrder(t), rapid.IntRange(1, 25).Draw(t, "limit")
		w := standin.PagedCheck{Oracle: standin.Oracle{Dataset: l, Segments: segments(n)}, Order: order, Limit: limit}
		p := merge.Paging{Keys: mustRing(), Lifetime: 1000, MaxLength: 8 << 10, QueryType: "r"}
		cuts := rapid.IntRange(0, 12).Draw(t, "cut")
		moves := rapid.Bool().Draw(t, "moves")
		for cursor, page := "", 0; ; page++ {
			if page > 400 {
				t.Fatalf("the walk does not end")
			}
			q, err := testPolicy().NewQuery(merge.Request{Kind: "paged", Order: order, Limit: limit, Cursor: cursor}, weights(n), false, p)
			if err != nil {
				t.Fatalf("page %d: %v", page, err)
			}
			in := segments(n)
			if page < 12 {
				in = drawIncluded(t, n)
				if moves && rapid.IntRange(0, 4).Draw(t, "move") == 0 {
					l.Advance(rapid.IntRange(0, n-1).Draw(t, "which"))
				}
			}
			got, body := result(t, addResponses(t, q, l, in, func(int) int { return cuts }), len(in) == n)
			if err := w.CheckPage(got, cuts == 0); err != nil {
				t.Fatalf("page %d: %v: %s", page, err, body)
			}
			if got.Result.Last {
				return
			}
			if cursor = got.Result.Next; cursor == "" {
				t.Fatalf("page %d has no next one: %s", page, body)
			}
		}
	})
}

func mustRing() *keyring.Ring {
	r, err := keyring.Parse(keyOne)
	if err != nil {
		panic(err)
	}
	return r
}

func TestAggregatedMatchesOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, n := drawShape(t)
		terms := merge.Request{Kind: "aggregated", Limit: rapid.IntRange(1, 400).Draw(t, "limit"),
			Aggregates: []string{"count", "sum(amount)", "sum(bills)", "min(due)", "max(amount)", "mean(amount)", "mean(bills)"}}
		if rapid.Bool().Draw(t, "sketches") {
			terms.Aggregates = append(terms.Aggregates, "distinct(customer)", "p50(amount)", "p99(bills)")
		}
		if rapid.IntRange(0, 3).Draw(t, "grouped") > 0 {
			terms.Group = rapid.SampledFrom([][]string{{"customer"}, {"due"}, {"bills", "customer"}, {"amount"}}).Draw(t, "group")
			terms.By = rapid.SampledFrom([]string{"", "sum(amount)", "sum(bills)", "count"}).Draw(t, "by")
		}
		q, err := testPolicy().NewQuery(terms, weights(n), false, merge.Paging{})
		if err != nil {
			t.Fatalf("%v", err)
		}
		cut := 0
		if len(terms.Group) > 0 {
			cut = rapid.IntRange(0, 9).Draw(t, "cut")
		}
		in := drawIncluded(t, n)
		got, body := result(t, addResponses(t, q, l, in, func(int) int { return cut }), len(in) == n)
		truth := standin.Oracle{Dataset: l, Segments: segments(n)}
		if err := truth.CheckAggregated(got, terms, cut == 0); err != nil {
			t.Fatalf("%v: %s", err, body)
		}
		if _, again := result(t, addResponses(t, q, l, shuffled(in, 3), func(int) int { return cut }), len(in) == n); again != body {
			t.Fatalf("another order of arrival gives\n%s\nnot\n%s", again, body)
		}
	})
}

func TestMalformedResponses(t *testing.T) {
	list, err := testPolicy().NewQuery(merge.Request{Kind: "ranked", Order: []string{"-amount", "due"}, Limit: 3}, weights(2), false, merge.Paging{})
	if err != nil {
		t.Fatal(err)
	}
	head := func(rows int) string { return fmt.Sprintf(`{"schema":"arrears/1","as_of":7,"rows":%d}`, rows) }
	row := func(account, amount string) string { return `["` + account + `","c","2026-01-02",` + amount + `,1]` }
	good := head(2) + "\n" + row("a", `"5.00"`) + "\n" + row("b", `"5.00"`) + "\n"
	if _, err := list.ReadResponse(0, good); err != nil {
		t.Fatalf("a good part is refused: %v", err)
	}
	for what, value := range map[string]string{
		"nothing":              "",
		"no rows":              head(2),
		"a row too few":        strings.Replace(good, `"rows":2`, `"rows":3`, 1),
		"another schema":       strings.Replace(good, "arrears/1", "arrears/2", 1),
		"no stamp":             strings.Replace(good, `"as_of":7,`, "", 1),
		"unknown word":         strings.Replace(good, `"as_of":7`, `"as_of":7,"x":1`, 1),
		"out of order":         head(2) + "\n" + row("b", `"5.00"`) + "\n" + row("a", `"5.00"`),
		"upwards":              head(2) + "\n" + row("a", `"5.00"`) + "\n" + row("b", `"5.01"`),
		"a row twice":          head(2) + "\n" + row("a", `"5.00"`) + "\n" + row("a", `"5.00"`),
		"missing one first":    head(2) + "\n" + row("a", `null`) + "\n" + row("b", `"5.00"`),
		"a number for text":    head(1) + "\n" + row("a", `5`),
		"three decimals":       head(1) + "\n" + row("a", `"5.001"`),
		"an exponent":          head(1) + "\n" + row("a", `"5e3"`),
		"too many digits":      head(1) + "\n" + row("a", `"12345678901234567.00"`),
		"no account":           head(1) + "\n" + `[null,"c","2026-01-02","5.00",1]`,
		"a column too few":     head(1) + "\n" + `["a","c","2026-01-02","5.00"]`,
		"a column too many":    head(1) + "\n" + `["a","c","2026-01-02","5.00",1,1]`,
		"no such day":          head(1) + "\n" + `["a","c","2026-02-30","5.00",1]`,
		"below 0":              head(1) + "\n" + `["a","c","2026-01-02","5.00",-1]`,
		"half a row":           head(1) + "\n" + `["a","c","2026-01`,
		"a nested row":         head(1) + "\n" + `[["a"],"c","2026-01-02","5.00",1]`,
		"a break in a row":     head(1) + "\n[\"a\u0001\",\"c\",\"2026-01-02\",\"5.00\",1]",
		"more after none":      `{"schema":"arrears/1","as_of":7,"rows":0,"more":true}`,
		"groups where rows":    `{"schema":"arrears/1","as_of":7,"rows":0,"cut":{"groups":1,"most":"1","least":"1"}}`,
		"two words for a line": head(1) + head(1) + "\n" + row("a", `"5.00"`),
	} {
		if _, err := list.ReadResponse(0, value); err == nil {
			t.Errorf("%s is taken: %q", what, value)
		}
	}
	figures, err := testPolicy().NewQuery(merge.Request{Kind: "aggregated", Group: []string{"customer"}, Limit: 9,
		Aggregates: []string{"sum(bills)", "p99(bills)", "distinct(customer)"}}, weights(1), false, merge.Paging{})
	if err != nil {
		t.Fatal(err)
	}
	l := standin.NewDataset(3, standin.DatasetShape{Segments: 1, Accounts: 50})
	item, _ := strings.CutPrefix(figures.SegmentItem(0), "m=")
	value, err := l.Respond(0, item, 4)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := figures.ReadResponse(0, value); err != nil {
		t.Fatalf("good figures are refused: %v", err)
	}
	lines := strings.Split(strings.TrimSpace(value), "\n")
	for what, spoilt := range map[string]string{
		"groups by size upwards": strings.Join([]string{lines[0], lines[2], lines[1], lines[3], lines[4]}, "\n"),
		"a group twice":          strings.Join([]string{lines[0], lines[1], lines[1], lines[2], lines[3]}, "\n"),
		"a bound above the last": strings.Replace(value, `"most":"`, `"most":"99999`, 1),
		"a bound of none":        strings.Replace(value, `"cut":{"groups"`, `"cut":{"groups":-3,"x"`, 1),
		"half a sketch":          strings.Replace(value, `=="`, `"`, 1)[:len(value)-9] + "]",
		"a sum in letters":       strings.Replace(value, lines[1], strings.Replace(lines[1], `"`, `"x`, 3), 1),
	} {
		if _, err := figures.ReadResponse(0, spoilt); err == nil {
			t.Errorf("%s is taken: %q", what, spoilt)
		}
	}
}

// A node that gives more than it was asked for: the first rows of its run count, and the list goes on behind them.
func TestExcessRowsDropped(t *testing.T) {
	l := standin.NewDataset(8, standin.DatasetShape{Segments: 3, Accounts: 90})
	order := []string{"due"}
	ask := func(limit int) *merge.Query {
		q, err := testPolicy().NewQuery(merge.Request{Kind: "ranked", Order: order, Limit: limit}, weights(3), false, merge.Paging{})
		if err != nil {
			t.Fatal(err)
		}
		return q
	}
	q, more := ask(10), ask(25)
	m, err := merge.New(q, unlimitedBudget())
	if err != nil {
		t.Fatal(err)
	}
	for at := range 3 {
		item, _ := strings.CutPrefix(more.SegmentItem(merge.Segment(at)), "m=")
		value, err := l.Respond(at, item, 0)
		if err != nil {
			t.Fatal(err)
		}
		p, err := q.ReadResponse(merge.Segment(at), value)
		if err != nil || m.Add(p) != nil {
			t.Fatalf("segment %d: %v", at, err)
		}
	}
	got, body := result(t, m, true)
	if err := (standin.Oracle{Dataset: l, Segments: segments(3)}).CheckRanked(got, order, 0, 10, true); err != nil || !got.Full {
		t.Errorf("%v, full %t: %s", err, got.Full, body)
	}
	if n := got.Result.Complete.Segments[0].Rows; n != 10 {
		t.Errorf("%d rows of a segment are held, 10 were asked for", n)
	}
}

func TestDuplicateResponses(t *testing.T) {
	l := standin.NewDataset(5, standin.DatasetShape{Segments: 2, Accounts: 30})
	terms := merge.Request{Kind: "aggregated", Limit: 1, Aggregates: []string{"count", "sum(amount)"}}
	q, err := testPolicy().NewQuery(terms, weights(2), false, merge.Paging{})
	if err != nil {
		t.Fatal(err)
	}
	none := func(int) int { return 0 }
	m := addResponses(t, q, l, []int{0}, none)
	before, _ := result(t, m, false)
	if before.Full || before.Result.Groups[0].Values[0].Precision != "lower_bound" || before.Result.Groups[0].Values[1].Precision != "partial" {
		t.Errorf("with one of two segments it says %+v", before)
	}
	if got, _ := result(t, m, true); got.Full {
		t.Error("an answer short of a segment is called whole, on somebody's word")
	}
	m.MarkUnusable(1)
	if got, _ := result(t, m, false); got.Result.Complete.Segments[1].State != "unusable" {
		t.Errorf("a segment that gave nothing usable is %s", got.Result.Complete.Segments[1].State)
	}
	for _, at := range []int{1, 0, 1} { // the late one, and copies
		item, _ := strings.CutPrefix(q.SegmentItem(merge.Segment(at)), "m=")
		value, _ := l.Respond(at, item, 0)
		p, err := q.ReadResponse(merge.Segment(at), value)
		if err != nil || m.Add(p) != nil {
			t.Fatalf("segment %d: %v", at, err)
		}
	}
	got, body := result(t, m, true)
	if err := (standin.Oracle{Dataset: l, Segments: segments(2)}).CheckAggregated(got, terms, true); err != nil || !got.Full {
		t.Errorf("%v, full %t: %s", err, got.Full, body)
	}
}

func TestIncompleteResultRejected(t *testing.T) {
	l := standin.NewDataset(5, standin.DatasetShape{Segments: 3, Accounts: 30})
	q, err := testPolicy().NewQuery(merge.Request{Kind: "ranked", Order: []string{"due"}, Limit: 5}, weights(3), true, merge.Paging{})
	if err != nil {
		t.Fatal(err)
	}
	m := addResponses(t, q, l, []int{0, 2}, func(int) int { return 0 })
	if _, err := m.Result(true); !errors.Is(err, merge.ErrIncomplete) {
		t.Errorf("an answer short of a segment: %v", err)
	}
	light := []merge.SegmentWeight{{Segment: 0, Weight: 1}, {Segment: 1, Weight: 0}}
	if _, err := testPolicy().NewQuery(merge.Request{Kind: "ranked", Order: []string{"due"}, Limit: 5}, light, true, merge.Paging{}); err == nil {
		t.Error("a segment without weight is taken, whose absence no share would show")
	}
}

func TestSumOverflow(t *testing.T) {
	q, err := testPolicy().NewQuery(merge.Request{Kind: "aggregated", Limit: 1, Aggregates: []string{"sum(amount)", "count", "mean(amount)"}},
		weights(3), false, merge.Paging{})
	if err != nil {
		t.Fatal(err)
	}
	sum := func(parts ...string) standin.MergedResponse {
		m, err := merge.New(q, unlimitedBudget())
		if err != nil {
			t.Fatal(err)
		}
		for i, p := range parts {
			part, err := q.ReadResponse(merge.Segment(i), `{"schema":"arrears/1","as_of":1,"rows":1}`+"\n["+p+"]\n")
			if err != nil {
				t.Fatalf("%s: %v", p, err)
			}
			m.Add(part)
		}
		got, _ := result(t, m, true)
		return got
	}
	const most = "9999999999999999.99"
	got := sum(`"`+most+`",9223372036854775806,1`, `"0.00",1,0`, `"-0.01",0,1`).Result.Groups[0].Values
	if string(got[0].Value) != `"9999999999999999.98"` || got[0].Precision != "exact" || string(got[1].Value) != "9223372036854775807" {
		t.Errorf("at the edge: %s %s, count %s", got[0].Value, got[0].Precision, got[1].Value)
	}
	over := sum(`"`+most+`",9223372036854775807,1`, `"0.01",1,1`, `"0.00",0,1`)
	for i, v := range over.Result.Groups[0].Values[:2] {
		if string(v.Value) != "null" || v.Precision != "overflow" {
			t.Errorf("figure %d past the edge: %s %s", i, v.Value, v.Precision)
		}
	}
	if over.Full {
		t.Error("an answer with a sum that does not fit is called whole")
	}
	// In between it may pass the edge, whatever the order of arrival.
	back := sum(`"`+most+`",1,1`, `"1.00",1,1`, `"-1.00",1,1`).Result.Groups[0].Values
	if string(back[0].Value) != `"`+most+`"` || back[0].Precision != "exact" {
		t.Errorf("past the edge and back: %s %s", back[0].Value, back[0].Precision)
	}
}

// A group that nobody gave may tie with one that all gave, once credits make up for what stood before the cut.
func TestUncertainTie(t *testing.T) {
	q, err := testPolicy().NewQuery(merge.Request{Kind: "aggregated", Group: []string{"customer"}, Limit: 5, Aggregates: []string{"sum(amount)"}},
		weights(2), false, merge.Paging{})
	if err != nil {
		t.Fatal(err)
	}
	m, err := merge.New(q, unlimitedBudget())
	if err != nil {
		t.Fatal(err)
	}
	for at, value := range []string{
		`{"schema":"arrears/1","as_of":1,"rows":1,"cut":{"groups":1,"most":"0.00","least":"0.00"}}` + "\n" + `["c-05","5.00"]`,
		`{"schema":"arrears/1","as_of":1,"rows":1}` + "\n" + `["c-05","-5.00"]`, // the one cut, c-03 say, is at 0 as well, and comes first
	} {
		p, err := q.ReadResponse(merge.Segment(at), value)
		if err != nil || m.Add(p) != nil {
			t.Fatalf("segment %d: %v", at, err)
		}
	}
	if got, body := result(t, m, true); got.Result.Certain != 0 || got.Full {
		t.Errorf("it is certain of %d groups, full %t: %s", got.Result.Certain, got.Full, body)
	}
}

func TestMaxResultBytesOfGroups(t *testing.T) {
	l := standin.NewDataset(4, standin.DatasetShape{Segments: 2, Accounts: 400})
	a := testPolicy()
	a.MaxResultBytes = 1200
	terms := merge.Request{Kind: "aggregated", Group: []string{"due"}, Limit: 300, Aggregates: []string{"count", "sum(amount)", "mean(amount)"}}
	q, err := a.NewQuery(terms, weights(2), false, merge.Paging{})
	if err != nil {
		t.Fatal(err)
	}
	got, body := result(t, addResponses(t, q, l, []int{0, 1}, func(int) int { return 0 }), true)
	if n := len(got.Result.Groups); n == 0 || n > 20 || !got.Result.More || got.Full {
		t.Errorf("%d groups in %d bytes, more %t, full %t", n, len(body), got.Result.More, got.Full)
	}
	if err := (standin.Oracle{Dataset: l, Segments: segments(2)}).CheckAggregated(got, terms, false); err != nil {
		t.Error(err)
	}
}

func TestBudget(t *testing.T) {
	l := standin.NewDataset(9, standin.DatasetShape{Segments: 2, Accounts: 200})
	q, err := testPolicy().NewQuery(merge.Request{Kind: "ranked", Order: []string{"due"}, Limit: 100}, weights(2), false, merge.Paging{})
	if err != nil {
		t.Fatal(err)
	}
	item, _ := strings.CutPrefix(q.SegmentItem(0), "m=")
	value, _ := l.Respond(0, item, 0)
	part, err := q.ReadResponse(0, value)
	if err != nil {
		t.Fatal(err)
	}
	b := &merge.Budget{}
	const most = 1 << 20
	b.SetLimits(most, 1<<40, 1000)
	var open []*merge.Merge
	full := 0
	for range 1000 {
		m, err := merge.New(q, b)
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, m)
		if err := m.Add(part); errors.Is(err, merge.ErrBudgetExceeded) {
			full++
		}
		if bytes, _, _ := b.Usage(); bytes > most {
			t.Fatalf("%d bytes are held, %d may be", bytes, most)
		}
	}
	if full == 0 || full == 1000 {
		t.Errorf("%d of 1000 merges were refused", full)
	}
	if _, err := merge.New(q, b); !errors.Is(err, merge.ErrBudgetExceeded) {
		t.Errorf("a merge past the most that may be open: %v", err)
	}
	for _, m := range open {
		m.Close()
		m.Close()
	}
	if bytes, rows, n := b.Usage(); bytes != 0 || rows != 0 || n != 0 {
		t.Errorf("closed merges hold %d bytes, %d rows, %d open", bytes, rows, n)
	}
}
