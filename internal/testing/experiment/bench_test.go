package experiment

import (
	"errors"
	"reflect"
	"strings"
	"testing"
)

func TestReadBenchmarks(t *testing.T) {
	const output = `goos: linux
BenchmarkMerge/page=50/segments=8/tree-12     	     100	     12345 ns/op	      16 B/op
BenchmarkMerge/page=50/segments=16/tree-12    	     100	     23456 ns/op	      32 B/op
PASS
`
	r := newRecord("merge-ways")
	if err := r.ReadBenchmarks(strings.NewReader(output)); err != nil {
		t.Fatal(err)
	}
	wantTable := Table{
		Name:   "Benchmarks (ns/op, B/op)",
		Header: []string{"benchmark", "ns/op", "B/op"},
		Rows:   [][]string{{"Merge/page=50/segments=8/tree", "12345", "16"}, {"Merge/page=50/segments=16/tree", "23456", "32"}},
	}
	if len(r.Tables) != 1 || !reflect.DeepEqual(r.Tables[0], wantTable) {
		t.Errorf("got tables %+v, want %+v", r.Tables, wantTable)
	}
	wantSeries := Series{Chart: "ns/op", Name: "Merge page 50 tree", X: "segments", Y: "ns/op", Points: [][2]float64{{8, 12345}, {16, 23456}}}
	if len(r.Series) != 2 || !reflect.DeepEqual(r.Series[0], wantSeries) {
		t.Errorf("got series %+v, want %+v first", r.Series, wantSeries)
	}
	var svg strings.Builder
	if err := r.WriteChart("ns/op", &svg); err != nil || !strings.Contains(svg.String(), "<svg") {
		t.Errorf("the chart is %.60q, %v", svg.String(), err)
	}
	if err := r.WriteChart("none", &svg); err == nil {
		t.Error("WriteChart accepts a chart that does not exist")
	}
}

func TestReadBenchmarksWithoutResults(t *testing.T) {
	if err := newRecord("x").ReadBenchmarks(strings.NewReader("PASS\n")); !errors.Is(err, errNoBenchmark) {
		t.Errorf("got error %v, want %v", err, errNoBenchmark)
	}
}
