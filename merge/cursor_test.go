package merge_test

import (
	"encoding/base64"
	"strings"
	"testing"

	"oxbowspan/internal/testing/standin"
	"oxbowspan/merge"
)

// firstCursor makes a list's first page and gives the cursor of its second.
func firstCursor(t testing.TB, p merge.Paging) string {
	l := standin.NewDataset(4, standin.DatasetShape{Segments: 3, Accounts: 40})
	q, err := testPolicy().NewQuery(pageTerms(""), weights(3), false, p)
	if err != nil {
		t.Fatal(err)
	}
	got, body := result(t, addResponses(t, q, l, []int{2, 0}, func(int) int { return 0 }), false)
	if got.Result.Next == "" {
		t.Fatalf("no cursor: %s", body)
	}
	return got.Result.Next
}

func pageTerms(cursor string) merge.Request {
	return merge.Request{Kind: "paged", Order: []string{"-amount", "due"}, Limit: 5, Cursor: cursor}
}

func TestCursorBinding(t *testing.T) {
	p := paging(t)
	cursor := firstCursor(t, p)
	ask := func(terms merge.Request, segments []merge.SegmentWeight, p merge.Paging) error {
		_, err := testPolicy().NewQuery(terms, segments, false, p)
		return err
	}
	if err := ask(pageTerms(cursor), weights(3), p); err != nil {
		t.Fatalf("its own search: %v", err)
	}
	other := func(change func(*merge.Paging)) merge.Paging {
		p := paging(t)
		change(&p)
		return p
	}
	order := pageTerms(cursor)
	order.Order = []string{"amount", "due"}
	long := pageTerms(strings.Repeat("A", 8<<10+1))
	for what, err := range map[string]error{
		"another customer":        ask(pageTerms(cursor), weights(3), other(func(p *merge.Paging) { p.Customer = "x" })),
		"another type":            ask(pageTerms(cursor), weights(3), other(func(p *merge.Paging) { p.QueryType = "x" })),
		"another statement":       ask(pageTerms(cursor), weights(3), other(func(p *merge.Paging) { p.Statement = []byte("x") })),
		"another order":           ask(order, weights(3), p),
		"other segments":          ask(pageTerms(cursor), weights(2), p),
		"its time over":           ask(pageTerms(cursor), weights(3), other(func(p *merge.Paging) { p.Now += p.Lifetime })),
		"its key withdrawn":       ask(pageTerms(cursor), weights(3), other(func(p *merge.Paging) { p.Keys = ring(t, keyTwo) })),
		"its key's id on another": ask(pageTerms(cursor), weights(3), other(func(p *merge.Paging) { p.Keys = ring(t, strings.Replace(keyTwo, "two", "one", 1)) })),
		"over-long":               ask(long, weights(3), p),
		"no base64":               ask(pageTerms("*"), weights(3), p),
	} {
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", what, err)
		}
	}
	// A key that changes in service: the new one signs, the old one is still good.
	overlap := other(func(p *merge.Paging) { p.Keys = ring(t, keyTwo+keyOne) })
	if err := ask(pageTerms(cursor), weights(3), overlap); err != nil {
		t.Errorf("in the overlap: %v", err)
	}
	if fresh := firstCursor(t, overlap); ask(pageTerms(fresh), weights(3), other(func(p *merge.Paging) { p.Keys = ring(t, keyTwo) })) != nil {
		t.Error("a cursor made in the overlap is not signed by the new key")
	}
	// No single byte can be changed.
	raw, err := base64.RawURLEncoding.DecodeString(cursor)
	if err != nil {
		t.Fatal(err)
	}
	for i := range raw {
		raw[i] ^= 0x10
		if ask(pageTerms(base64.RawURLEncoding.EncodeToString(raw)), weights(3), p) == nil {
			t.Errorf("byte %d can be changed", i)
		}
		raw[i] ^= 0x10
		if ask(pageTerms(base64.RawURLEncoding.EncodeToString(raw[:i])), weights(3), p) == nil && i > 0 {
			t.Errorf("it can be cut at byte %d", i)
		}
	}
}

// FuzzCursor holds that no bytes but the program's own are taken for a cursor, and none break it.
func FuzzCursor(f *testing.F) {
	p := paging(f)
	own := firstCursor(f, p)
	f.Add(own)
	f.Add("")
	f.Add("AQNvbmU")
	f.Fuzz(func(t *testing.T, cursor string) {
		_, err := testPolicy().NewQuery(pageTerms(cursor), weights(3), false, p)
		if cursor != "" && cursor != own && err == nil {
			t.Errorf("%q is taken for a cursor", cursor)
		}
	})
}

// FuzzRows holds that whatever a segment gives is either refused, or comes out in order, once, as it came.
func FuzzRows(f *testing.F) {
	q, err := testPolicy().NewQuery(merge.Request{Kind: "ranked", Order: []string{"-amount", "due"}, Limit: 50}, weights(1), false, merge.Paging{})
	if err != nil {
		f.Fatal(err)
	}
	figures, err := testPolicy().NewQuery(merge.Request{Kind: "aggregated", Group: []string{"customer"}, Limit: 5,
		Aggregates: []string{"sum(amount)", "distinct(customer)", "p50(amount)", "min(due)"}}, weights(1), false, merge.Paging{})
	if err != nil {
		f.Fatal(err)
	}
	l := standin.NewDataset(4, standin.DatasetShape{Segments: 1, Accounts: 20})
	for _, q := range []*merge.Query{q, figures} {
		item, _ := strings.CutPrefix(q.SegmentItem(0), "m=")
		for _, most := range []int{0, 3} {
			value, err := l.Respond(0, item, most)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(value)
		}
	}
	f.Fuzz(func(t *testing.T, value string) {
		for _, q := range []*merge.Query{q, figures} {
			p, err := q.ReadResponse(0, value)
			if err != nil {
				continue
			}
			m, err := merge.New(q, unlimitedBudget())
			if err != nil {
				t.Fatal(err)
			}
			m.Add(p)
			a, err := m.Result(true)
			if err != nil {
				continue
			}
			if _, err := standin.ParseMergedResponse(a.AppendJSON(nil)); err != nil {
				t.Errorf("%v: %s of %q", err, a.AppendJSON(nil), value)
			}
			for _, r := range a.Rows {
				if !strings.Contains(value, r.Raw()) {
					t.Errorf("row %s never came", r.Raw())
				}
			}
		}
	})
}
