package merge_test

import (
	"errors"
	"strings"
	"testing"

	"oxbowspan/internal/testing/standin"
	"oxbowspan/merge"
)

func TestMaxResultBytesOfGroups(t *testing.T) {
	dataset := standin.NewDataset(4, standin.DatasetShape{Segments: 2, Accounts: 400})
	a := testPolicy()
	a.MaxResultBytes = 1200
	request := merge.Request{Kind: "aggregated", Group: []string{"due"}, Limit: 300, Aggregates: []string{"count", "sum(amount)", "mean(amount)"}}
	q, err := a.NewQuery(request, weights(2), false, merge.Paging{})
	if err != nil {
		t.Fatal(err)
	}
	got, body := result(t, addResponses(t, q, dataset, []int{0, 1}, func(int) int { return 0 }), true)
	if n := len(got.Result.Groups); n == 0 || n > 20 || !got.Result.More || got.Full {
		t.Errorf("%d groups in %d bytes, more %t, full %t", n, len(body), got.Result.More, got.Full)
	}
	if err := (standin.Oracle{Dataset: dataset, Segments: segments(2)}).CheckAggregated(got, request, false); err != nil {
		t.Error(err)
	}
}

func TestBudget(t *testing.T) {
	dataset := standin.NewDataset(9, standin.DatasetShape{Segments: 2, Accounts: 200})
	q, err := testPolicy().NewQuery(merge.Request{Kind: "ranked", Order: []string{"due"}, Limit: 100}, weights(2), false, merge.Paging{})
	if err != nil {
		t.Fatal(err)
	}
	item, _ := strings.CutPrefix(q.SegmentItem(0), "m=")
	value, _ := dataset.Respond(0, item, 0)
	part, err := q.ReadResponse(0, value)
	if err != nil {
		t.Fatal(err)
	}
	b := &merge.Budget{}
	const limit = 1 << 20
	b.SetLimits(limit, 1<<40, 1000)
	var open []*merge.Merge
	rejected := 0
	for range 1000 {
		m, err := merge.New(q, b)
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, m)
		if err := m.Add(part); errors.Is(err, merge.ErrBudgetExceeded) {
			rejected++
		}
		if bytes, _, _ := b.Usage(); bytes > limit {
			t.Fatalf("%d bytes are in use, the limit is %d", bytes, limit)
		}
	}
	if rejected == 0 || rejected == 1000 {
		t.Errorf("%d of 1000 merges were rejected", rejected)
	}
	if _, err := merge.New(q, b); !errors.Is(err, merge.ErrBudgetExceeded) {
		t.Errorf("opening a merge beyond the limit of open merges: %v", err)
	}
	for _, m := range open {
		m.Close()
		m.Close()
	}
	if bytes, rows, n := b.Usage(); bytes != 0 || rows != 0 || n != 0 {
		t.Errorf("after all merges were closed %d bytes, %d rows and %d open merges are in use", bytes, rows, n)
	}
}
