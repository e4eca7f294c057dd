package gatherer

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"oxbowspan/internal/testing/standin"
	"oxbowspan/merge"
)

func TestMergedAnswersMatchReference(t *testing.T) {
	for name, shape := range map[string]standin.DatasetShape{"ordinary": {Segments: 4, Accounts: 300}, "one segment": {Segments: 4, Accounts: 60, SingleSegment: true},
		"empty": {Segments: 4}, "equal keys": {Segments: 4, Accounts: 80, EqualKeys: true, SharedAccounts: true}} {
		t.Run(name, func(t *testing.T) {
			s := startMergeEnv(t, shape, nil, nil)
			for _, order := range [][]string{{"due"}, {"-amount", "due"}, {"-customer", "-bills"}} {
				for _, page := range []struct{ offset, limit int }{{0, 1}, {0, 50}, {17, 40}, {290, 30}, {400, 5}} {
					m := s.sendMerge("report", merge.Request{Kind: "ranked", Order: order, Offset: page.offset, Limit: page.limit})
					if err := s.oracle(true).CheckRanked(m, order, page.offset, page.limit, true); err != nil {
						t.Errorf("%v from %d, %d rows: %v", order, page.offset, page.limit, err)
					}
				}
				if pages := s.readPages("report", order, 7, nil); pages.Rows != shape.Accounts || pages.Late > 0 {
					t.Errorf("the pages of %v have %d rows, %d late, the data set has %d",
						order, pages.Rows, pages.Late, shape.Accounts)
				}
			}
			for _, terms := range []merge.Request{
				{Kind: "aggregated", Limit: 1, Aggregates: []string{"count", "sum(amount)", "mean(amount)", "distinct(customer)", "p50(amount)", "p95(amount)", "min(due)", "max(amount)"}},
				{Kind: "aggregated", Limit: 100, Group: []string{"customer"}, Aggregates: []string{"count", "sum(amount)", "max(due)"}, RankBy: "sum(amount)"},
				{Kind: "aggregated", Limit: 9, Group: []string{"due", "customer"}, Aggregates: []string{"sum(bills)", "mean(amount)"}},
			} {
				if err := s.oracle(true).CheckAggregated(s.sendMerge("report", terms), terms, terms.Limit != 9); err != nil {
					t.Errorf("%v: %v", terms, err)
				}
			}
		})
	}
}

func TestDisallowedMergesAreRejected(t *testing.T) {
	s := startMergeEnv(t, standin.DatasetShape{Segments: 4, Accounts: 40}, nil, nil)
	page := s.sendMerge("report", merge.Request{Kind: "paged", Order: []string{"due"}, Limit: 5})
	cursor := page.Result.Next
	tampered := []byte(cursor)
	tampered[len(tampered)/2] ^= 3
	for want, terms := range map[string]merge.Request{
		"kind":                  {Kind: "sorted", Limit: 5},
		"limit":                 {Kind: "ranked", Order: []string{"due"}, Limit: 201},
		"offset":                {Kind: "ranked", Order: []string{"due"}, Limit: 5, Offset: 501},
		"not allowed":           {Kind: "ranked", Order: []string{"owner"}, Limit: 5},
		"twice":                 {Kind: "ranked", Order: []string{"due", "-due"}, Limit: 5},
		"figure":                {Kind: "aggregated", Aggregates: []string{"sum(account)"}, Limit: 5},
		"longer than any":       {Kind: "paged", Order: []string{"due"}, Limit: 5, Cursor: strings.Repeat("A", 9000)},
		"changed":               {Kind: "paged", Order: []string{"due"}, Limit: 5, Cursor: string(tampered)},
		"for another search":    {Kind: "paged", Order: []string{"amount"}, Limit: 5, Cursor: cursor},
		"cursor is for":         {Kind: "ranked", Order: []string{"due"}, Limit: 5, Cursor: cursor},
		"goes on by its cursor": {Kind: "paged", Order: []string{"due"}, Limit: 5, Offset: 3},
	} {
		r, err := s.newSearch("report", terms).Send(context.Background(), http.DefaultClient, s.addr)
		if err != nil || r.Status != http.StatusBadRequest || !strings.Contains(string(r.Body), want) ||
			strings.Count(string(r.Body), "\n") != 1 {
			t.Errorf("%+v: got %d %q, error %v, want 400 with %q", terms, r.Status, r.Body, err, want)
		}
	}
	foreign := s.newSearch("report", merge.Request{Kind: "paged", Order: []string{"due"}, Limit: 5, Cursor: cursor})
	foreign.Customer = "other"
	post := s.newSearch("post", merge.Request{Kind: "ranked", Order: []string{"due"}, Limit: 5})
	unknown := s.newSearch("report", merge.Request{})
	unknown.Merge = json.RawMessage(`{"kind":"ranked","limit":5,"order":["due"],"sort":"up"}`)
	for want, q := range map[string]standin.Request{"for another search": foreign, "not merged": post, "sort": unknown} {
		r, err := q.Send(context.Background(), http.DefaultClient, s.addr)
		if err != nil || r.Status != http.StatusBadRequest || !strings.Contains(string(r.Body), want) {
			t.Errorf("got %d %q, error %v, want 400 with %q", r.Status, r.Body, err, want)
		}
	}
}

func TestMergeIsIgnoredWithoutOperatorFile(t *testing.T) {
	a := startShard(t, "s-a", func(c *standin.ShardConn, p standin.ShardCall) {
		if len(p.Attributes) > 0 {
			t.Errorf("a call has the options %v", p.Attributes)
		}
		c.Respond(p.ID, "served", "value of "+string(p.Query))
	})
	p := startProgram(t, startDiscovery(t, a), nil)
	q := standin.Request{ID: "ab01", QueryType: "lookup", Customer: "acme",
		Timeout: time.Second, Shards: []int{0, 1}, Statement: "c41e77d0",
		Merge: map[string]any{"kind": "ranked"}}
	r, err := q.Send(context.Background(), http.DefaultClient, p.addr)
	if err != nil || r.Status != 200 || string(r.Body) != completeAnswer(0, 1) {
		t.Errorf("got %d %s, error %v", r.Status, r.Body, err)
	}
}

// Merges that wait for one segment reach their common memory limit: requests beyond it are shed immediately, and the memory
// is released afterwards.
func TestMergeMemoryLimit(t *testing.T) {
	release := make(chan struct{})
	s := startMergeEnv(t, standin.DatasetShape{Segments: 4, Accounts: 2000},
		func(c *standin.ShardConn, p standin.ShardCall, rows string) bool {
			if p.Shard == 3 {
				go func() {
					<-release
					c.Respond(p.ID, "served", rows)
				}()
			}
			return p.Shard == 3
		}, func(f string) string { return strings.Replace(f, "memory = 4MiB", "memory = 400KiB", 1) })
	const n = 16
	replies := make(chan standin.Response, n)
	for range n {
		go func() {
			r, err := s.newSearch("report", merge.Request{Kind: "ranked", Order: []string{"due"}, Limit: 200}).Send(context.Background(), http.DefaultClient, s.addr)
			if err != nil {
				t.Error(err)
			}
			replies <- r
		}()
	}
	s.awaitLogLine("event=merge_shed")
	if r := <-replies; r.Status != http.StatusServiceUnavailable || r.RetryAfter == "" || r.Elapsed > 2*time.Second {
		t.Errorf("a request above the limit got %d after %s, Retry-After %q", r.Status, r.Elapsed, r.RetryAfter)
	}
	close(release)
	answered := 0
	for range n - 1 {
		if r := <-replies; r.Status == http.StatusOK {
			answered++
		}
	}
	if answered == 0 || answered == n-1 {
		t.Errorf("%d of %d were answered, want some", answered, n-1)
	}
	// The memory must have been released.
	m := s.sendMerge("report", merge.Request{Kind: "ranked", Order: []string{"due"}, Limit: 50})
	if err := s.oracle(true).CheckRanked(m, []string{"due"}, 0, 50, true); err != nil {
		t.Error(err)
	}
}

// Clients that disconnect during a merge leave no merge open and no memory in use.
func TestClientGoneDuringMergeReleasesMemory(t *testing.T) {
	var hold atomic.Bool
	hold.Store(true)
	s := startMergeEnv(t, standin.DatasetShape{Segments: 4, Accounts: 400},
		func(c *standin.ShardConn, p standin.ShardCall, rows string) bool {
			return p.Shard == 3 && hold.Load()
		}, func(f string) string { return strings.Replace(f, "open = 200", "open = 3", 1) })
	for range 9 { // three times the limit of open merges
		ctx, disconnect := context.WithCancel(context.Background())
		q := s.newSearch("report", merge.Request{Kind: "ranked", Order: []string{"due"}, Limit: 100})
		sendErr := make(chan error, 1)
		go func() {
			_, err := q.Send(ctx, http.DefaultClient, s.addr)
			sendErr <- err
		}()
		await(t, s.shards[3].Received, func(call string) bool { return strings.HasPrefix(call, q.ID) || strings.HasPrefix(call, "c "+q.ID) })
		disconnect()
		if err := <-sendErr; err == nil {
			t.Fatal("a request was answered although its client had disconnected")
		}
		s.awaitLogLine("event=client_conn_end", "reason=client_left")
	}
	hold.Store(false)
	m := s.sendMerge("report", merge.Request{Kind: "ranked", Order: []string{"due"}, Limit: 100})
	if err := s.oracle(true).CheckRanked(m, []string{"due"}, 0, 100, true); err != nil {
		t.Error(err)
	}
}

// Reloading the operator's file replaces a cursor key between two pages, first with an overlap and then without. A reload
// of an invalid file changes nothing.
func TestOperatorFileReload(t *testing.T) {
	const newKey = "k2 ff112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\n"
	s := startMergeEnv(t, standin.DatasetShape{Segments: 4, Accounts: 60}, nil, nil)
	page := func(cursor string) (standin.Response, standin.MergedResponse) {
		r, err := s.newSearch("report", merge.Request{Kind: "paged", Order: []string{"due"}, Limit: 10, Cursor: cursor}).Send(context.Background(), http.DefaultClient, s.addr)
		if err != nil {
			t.Fatal(err)
		}
		m, _ := standin.ParseMergedResponse(r.Body)
		return r, m
	}
	reload := func(event string) {
		t.Helper()
		s.cmd.Process.Signal(syscall.SIGHUP)
		s.awaitLogLine(event)
	}
	_, first := page("")
	s.writeFile("operator.ini", "[merging]\nmemory = much\n")
	reload("event=reload_failed")
	if r, _ := page(first.Result.Next); r.Status != http.StatusOK {
		t.Errorf("after an invalid file: %d %s", r.Status, r.Body)
	}
	s.writeFile("operator.ini", writeMergeFile(nil))
	s.writeFile("cursor.keys", newKey+testKey)
	reload("event=reload ")
	r, second := page(first.Result.Next)
	if r.Status != http.StatusOK {
		t.Fatalf("during the overlap: %d %s", r.Status, r.Body)
	}
	s.writeFile("cursor.keys", newKey)
	reload("event=reload ")
	if r, _ := page(first.Result.Next); r.Status != http.StatusBadRequest ||
		!strings.Contains(string(r.Body), "key is no longer") {
		t.Errorf("a cursor signed by a removed key: %d %s", r.Status, r.Body)
	}
	if r, _ := page(second.Result.Next); r.Status != http.StatusOK {
		t.Errorf("a cursor signed during the overlap: %d %s", r.Status, r.Body)
	}
	s.writeFile("operator.ini", writeMergeFile(func(f string) string { return strings.Replace(f, "[merge report]", "[merge post]", 1) }))
	s.cmd.Process.Signal(syscall.SIGHUP)
	s.awaitLogLine("event=reload_failed", "not idempotent")
	s.writeFile("operator.ini", "[merging]\nopen = 1\n")
	reload("event=reload ")
	if r, _ := page(second.Result.Next); r.Status != http.StatusOK || strings.Contains(string(r.Body), "merged") {
		t.Errorf("after merging was disabled: %d %.100s", r.Status, r.Body)
	}
}
