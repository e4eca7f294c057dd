package standin

import (
	"net"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"oxbowspan/internal/frame"
	"oxbowspan/merge"
)

func TestParseShardCall(t *testing.T) {
	for _, test := range []struct {
		name string
		text string
		want *ShardCall // nil = an error
		rest string
	}{
		{"one call", "p1 3 d=250 5\nhello", &ShardCall{ID: "p1", Shard: 3, TimeoutMillis: 250, Attributes: map[string]string{}, Query: []byte("hello")}, ""},
		{"attributes and a second call", "p1 3 d=250,m=x 2\nhip2", &ShardCall{ID: "p1", Shard: 3, TimeoutMillis: 250,
			Attributes: map[string]string{"m": "x"}, Query: []byte("hi")}, "p2"},
		{"too few fields", "p1 3 d=250\nhello", nil, ""},
		{"malformed shard", "p1 x d=250 5\nhello", nil, ""},
		{"no time limit", "p1 3 m=x 5\nhello", nil, ""},
		{"duplicate attribute", "p1 3 d=250,d=250 5\nhello", nil, ""},
		{"query too short", "p1 3 d=250 6\nhello", nil, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, rest, err := parseShardCall([]byte(test.text))
			if test.want == nil {
				if err == nil {
					t.Fatalf("parsed as %+v", got)
				}
				return
			}
			if err != nil || !reflect.DeepEqual(got, *test.want) || string(rest) != test.rest {
				t.Errorf("got %+v, %q, %v", got, rest, err)
			}
		})
	}
}

func TestShardServerServesCalls(t *testing.T) {
	server, err := StartShardServer("s-0", nil, func(problem string) { t.Error(problem) })
	if err != nil {
		t.Fatal(err)
	}
	defer server.Stop()
	conn, err := net.Dial("tcp", server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	call := frame.AppendCall(frame.Begin(nil, frame.CallFrame), "p1", 3, 250, "", []byte("query"))
	if _, err := conn.Write(frame.End(call, 0)); err != nil {
		t.Fatal(err)
	}
	frameType, body, _, err := frame.Read(conn, nil)
	if err != nil || frameType != frame.ResponseFrame || string(body) != "p1 served 7 queue=1,inflight=2\nvalue of query" {
		t.Errorf("got frame %q with %q, %v", frameType, body, err)
	}
	if got := <-server.Received; got != "p1" {
		t.Errorf("received call %q, want p1", got)
	}
	if connections, calls := server.Counts(); connections != 1 || calls != 1 {
		t.Errorf("%d connections and %d calls are counted, want one each", connections, calls)
	}
}

func TestDatasetVersions(t *testing.T) {
	shape := DatasetShape{Segments: 3, Accounts: 100, NegativeAmounts: true}
	first, second := NewDataset(7, shape), NewDataset(7, shape)
	for _, dataset := range []*Dataset{first, second} {
		dataset.Advance(1)
		dataset.Advance(1)
	}
	total := 0
	for segment := range first.Segments() {
		rows, version := first.Rows(segment)
		same, _ := second.Rows(segment)
		if !slices.Equal(identities(rows), identities(same)) {
			t.Errorf("segment %d differs between datasets of one seed", segment)
		}
		if at, ok := first.RowsAt(segment, version); !ok || !slices.Equal(identities(at), identities(rows)) {
			t.Errorf("segment %d: the rows at its version %d are not its rows", segment, version)
		}
		total += len(rows)
	}
	if want := shape.Accounts + 2; total != want {
		t.Errorf("the segments hold %d accounts, want %d", total, want)
	}
	before, ok := first.RowsAt(1, firstVersion+1)
	if after, _ := first.Rows(1); !ok || len(after) != len(before)+2 {
		t.Errorf("%d accounts before two advances and %d after", len(before), len(after))
	}
	if _, ok := first.RowsAt(1, 1); ok {
		t.Error("RowsAt returns rows of a version that did not exist")
	}
}

func TestCompare(t *testing.T) {
	low, high := int64(100), int64(200)
	small := Account{Account: "a-1", Cents: &low}
	large := Account{Account: "a-2", Cents: &high}
	missing := Account{Account: "a-0"}
	for _, test := range []struct {
		name  string
		order []string
		x, y  Account
	}{
		{"ascending", []string{"amount"}, small, large},
		{"descending", []string{"-amount"}, large, small},
		{"missing last, ascending", []string{"amount"}, large, missing},
		{"missing last, descending", []string{"-amount"}, small, missing},
		{"by account", nil, missing, small},
		{"by segment", nil, small, Account{Account: "a-1", Segment: 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if Compare(test.order, test.x, test.y) >= 0 || Compare(test.order, test.y, test.x) <= 0 {
				t.Errorf("%s does not come before %s", test.x.identity(), test.y.identity())
			}
		})
	}
}

func TestFormatCents(t *testing.T) {
	for cents, want := range map[int64]string{0: "0.00", 5: "0.05", -5: "-0.05", 123456: "1234.56"} {
		if got := FormatCents(cents); got != want {
			t.Errorf("FormatCents(%d) = %q, want %q", cents, got, want)
		}
		if got, err := parseCents(want); got != cents || err != nil {
			t.Errorf("parseCents(%q) = %d, %v", want, got, err)
		}
	}
	if _, err := parseCents("0.001"); err == nil {
		t.Error("an amount with a fraction of a cent is accepted")
	}
}

func TestLogField(t *testing.T) {
	line := "time=1 event=listening addr=127.0.0.1:80"
	for name, want := range map[string]string{"addr": "127.0.0.1:80", "event": "listening", "port": ""} {
		if got := LogField(line, name); got != want {
			t.Errorf("field %s is %q, want %q", name, got, want)
		}
	}
}

// rankedResponse returns the correct response for the first rows of a dataset sorted by amount.
func rankedResponse(dataset *Dataset, segments []int, limit int) MergedResponse {
	order := []string{columnAmount}
	var rows []Account
	response := MergedResponse{Full: true}
	result := &response.Result
	result.Complete = Completeness{Requested: len(segments), Included: len(segments), Share: 1}
	for _, segment := range segments {
		accounts, version := dataset.Rows(segment)
		rows = append(rows, accounts...)
		result.Complete.Segments = append(result.Complete.Segments, SegmentStatus{Segment: segment, State: segmentIn, Version: version})
	}
	rows = sortedRows(rows, order)
	result.Kind, result.Columns, result.More = kindRanked, DatasetColumns, len(rows) > limit
	for _, row := range rows[:limit] {
		result.Rows = append(result.Rows, []byte(row.JSON()))
		result.From = append(result.From, row.Segment)
	}
	result.Certain = limit
	return response
}

// The oracle accepts the correct response and rejects each kind of wrong response.
func TestOracleRejectsWrongRankedResponses(t *testing.T) {
	const limit = 10
	dataset := NewDataset(3, DatasetShape{Segments: 2, Accounts: 40})
	for _, test := range []struct {
		name  string
		alter func(m *MergedResponse)
		want  string // part of the error; "" = none
	}{
		{"correct", func(*MergedResponse) {}, ""},
		{"rows swapped", func(m *MergedResponse) {
			m.Result.Rows[0], m.Result.Rows[1] = m.Result.Rows[1], m.Result.Rows[0]
		}, "rows differ at 0"},
		{"row of another segment", func(m *MergedResponse) { m.Result.From[2] = 1 - m.Result.From[2] }, "rows differ at 2"},
		{"fewer rows", func(m *MergedResponse) {
			m.Result.Rows, m.Result.From = m.Result.Rows[1:], m.Result.From[1:]
			m.Result.Certain--
		}, "rows differ at 0"},
		{"not certain", func(m *MergedResponse) { m.Result.Certain-- }, "stated as certain"},
		{"more certain than there are", func(m *MergedResponse) { m.Result.Certain++ }, "stated as certain"},
		{"no more", func(m *MergedResponse) { m.Result.More = false }, "more is false"},
		{"not full", func(m *MergedResponse) { m.Full = false }, "full is false"},
		{"wrong kind", func(m *MergedResponse) { m.Result.Kind = kindPaged }, "want a ranked one"},
		{"unknown version", func(m *MergedResponse) { m.Result.Complete.Segments[1].Version++ }, "has had no version"},
		{"missing segment and full", func(m *MergedResponse) {
			m.Result.Complete.Segments[1].State = segmentMissing
			m.Result.Complete.Included, m.Result.Complete.Share = 1, 0.5
		}, "claims to be full"},
		{"wrong share", func(m *MergedResponse) { m.Result.Complete.Share = 0.5 }, "the stated share"},
	} {
		t.Run(test.name, func(t *testing.T) {
			oracle := Oracle{Dataset: dataset, Segments: []int{0, 1}}
			response := rankedResponse(dataset, oracle.Segments, limit)
			test.alter(&response)
			err := oracle.CheckRanked(response, []string{columnAmount}, 0, limit, true)
			if test.want == "" && err != nil || test.want != "" && (err == nil || !strings.Contains(err.Error(), test.want)) {
				t.Errorf("got error %v, want %q", err, test.want)
			}
		})
	}
}

func TestOracleChecksAggregates(t *testing.T) {
	dataset := NewDataset(3, DatasetShape{Segments: 1, Accounts: 40})
	rows, version := dataset.Rows(0)
	group := GroupBy(rows, nil)[0]
	terms := merge.Request{Kind: merge.Aggregated, Limit: 1, Aggregates: []string{"count", "sum(amount)", "max(due)"}}
	response := func() MergedResponse {
		return MergedResponse{Full: true, Result: MergedResult{
			Kind:       kindAggregated,
			Aggregates: terms.Aggregates,
			Certain:    1,
			Groups: []AggregateGroup{{Values: []Aggregate{
				{Value: []byte("40"), Precision: precisionExact},
				{Value: []byte(`"` + FormatSum(columnAmount, group.Sum(columnAmount)) + `"`), Precision: precisionExact},
				{Value: []byte(formatValue(columnDue, Extreme(group.Values(columnDue), true))), Precision: precisionExact},
			}}},
			Complete: Completeness{Requested: 1, Included: 1, Share: 1, Segments: []SegmentStatus{{State: segmentIn, Version: version}}},
		}}
	}
	for _, test := range []struct {
		name  string
		alter func(values []Aggregate)
		want  string // part of the error; "" = none
	}{
		{"correct", func([]Aggregate) {}, ""},
		{"wrong count", func(v []Aggregate) { v[0].Value = []byte("39") }, "count is exact 39"},
		{"wrong sum", func(v []Aggregate) { v[1].Value = []byte(`"0.01"`) }, "sum(amount) is exact"},
		{"wrong maximum", func(v []Aggregate) { v[2].Value = []byte(`"2026-01-01"`) }, "max(due) is exact"},
		{"less than exact", func(v []Aggregate) { v[1].Precision = precisionPartial }, "although nothing is missing"},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := response()
			test.alter(m.Result.Groups[0].Values)
			err := Oracle{Dataset: dataset, Segments: []int{0}}.CheckAggregated(m, terms, true)
			if test.want == "" && err != nil || test.want != "" && (err == nil || !strings.Contains(err.Error(), test.want)) {
				t.Errorf("got error %v, want %q", err, test.want)
			}
		})
	}
}
