package merge_test

import (
	"testing"

	"oxbowspan/internal/testing/standin"
	"oxbowspan/merge"
)

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
	const largest = "9999999999999999.99"
	got := sum(`"`+largest+`",9223372036854775806,1`, `"0.00",1,0`, `"-0.01",0,1`).Result.Groups[0].Values
	if string(got[0].Value) != `"9999999999999999.98"` || got[0].Precision != "exact" || string(got[1].Value) != "9223372036854775807" {
		t.Errorf("at the limit: sum %s %s, count %s", got[0].Value, got[0].Precision, got[1].Value)
	}
	over := sum(`"`+largest+`",9223372036854775807,1`, `"0.01",1,1`, `"0.00",0,1`)
	for i, v := range over.Result.Groups[0].Values[:2] {
		if string(v.Value) != "null" || v.Precision != "overflow" {
			t.Errorf("aggregate %d beyond the limit: %s %s", i, v.Value, v.Precision)
		}
	}
	if over.Full {
		t.Error("a result with a sum that exceeds the schema's digits is complete")
	}
	// Intermediate sums may exceed the limit, so that the result does not depend on the order of arrival.
	back := sum(`"`+largest+`",1,1`, `"1.00",1,1`, `"-1.00",1,1`).Result.Groups[0].Values
	if string(back[0].Value) != `"`+largest+`"` || back[0].Precision != "exact" {
		t.Errorf("intermediate sum beyond the limit: %s %s", back[0].Value, back[0].Precision)
	}
}

// TestUncertainTie checks that a group is not reported as certain if a group that a segment omitted may have the same rank
// and a smaller key. Here negative amounts reduce the rank of the returned group to the bound of the omitted one.
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
	for segment, value := range []string{
		`{"schema":"arrears/1","as_of":1,"rows":1,"cut":{"groups":1,"most":"0.00","least":"0.00"}}` + "\n" + `["c-05","5.00"]`,
		`{"schema":"arrears/1","as_of":1,"rows":1}` + "\n" + `["c-05","-5.00"]`, // the omitted group, say c-03, may rank equal and sorts first
	} {
		p, err := q.ReadResponse(merge.Segment(segment), value)
		if err != nil || m.Add(p) != nil {
			t.Fatalf("segment %d: %v", segment, err)
		}
	}
	if got, body := result(t, m, true); got.Result.Certain != 0 || got.Full {
		t.Errorf("%d groups are certain, full %t: %s", got.Result.Certain, got.Full, body)
	}
}
