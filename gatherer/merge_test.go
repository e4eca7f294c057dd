package gatherer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"oxbowspan/internal/testing/standin"
	"oxbowspan/merge"
)

const mergeSettings = `{"classes":[
	{"name":"report","effect":"free","slo":1000.0,"hardLimit":3000.0,"lateWorth":0.3},
	{"name":"loose","effect":"free","slo":300.0,"hardLimit":2000.0,"lateWorth":0.3},
	{"name":"post","effect":"single_shot","slo":1000.0,"hardLimit":2000.0,"lateWorth":0.3}],
	"tenants":[{"name":"acme","quotaPerS":1000},{"name":"other","quotaPerS":1000}],"membershipMode":"on_request","instances":1,"tick":5.0,
	"domain":{"positions":4,"slices":4,"reach":2,"perCall":4,"leastShare":[1.0,0.5,1.0],"wholeAt":[1.0,1.0,1.0],"shortWorth":[0.9,0.9,0.9]},
	"limits":{"attemptsCap":3,"cancel":true,"secondCopies":true,"dialTimeout":250.0,"idleClose":30000.0,
		"maxStreams":64,"retryAfter":true,"maxRetryAfter":1000},
	"feedback":{"how":"answers","names":["waiting","active"]},
	"guarantees":{"askWithin":10000,"stopSendingWithin":500}}`

const testKey = "k1 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\n"

// writeMergeFile returns an operator's file for the query types of the test; edit changes it.
func writeMergeFile(edit func(string) string) string {
	text := "[merging]\nmemory = 4MiB\nrows = 50000\nopen = 200\ncursor_keys = cursor.keys\n" +
		"[schema arrears/1]\n" + standin.DatasetSchema
	for _, name := range []string{"report", "loose"} {
		text += "[merge " + name + "]\nschema = arrears/1\nkinds = ranked paged aggregated\nlimit = 200\noffset = 500\n" +
			"order = due amount account customer bills\ngroup = customer due\ngroups = 100\n" +
			"figures = sum(amount) sum(bills) min(due) max(due) min(amount) max(amount) mean(amount) distinct(customer) p50(amount) p95(amount)\n"
	}
	if edit != nil {
		text = edit(text)
	}
	return text
}

// mergeEnv is a gatherer with shard servers that serve the rows of a known data set.
type mergeEnv struct {
	*program
	t       *testing.T
	dataset *standin.Dataset
	shards  []*standin.ShardServer
	list    *standin.DiscoveryService
	file    string       // of the operator
	last    atomic.Int64 // request id
}

// startMergeEnv starts a mergeEnv of four cells, two of them for each segment. If meet returns true it has answered a call
// itself, otherwise the rows are sent.
func startMergeEnv(t *testing.T, shape standin.DatasetShape, meet func(c *standin.ShardConn, p standin.ShardCall, rows string) bool, edit func(string) string) *mergeEnv {
	t.Helper()
	s := &mergeEnv{t: t, dataset: standin.NewDataset(11, shape)}
	for cell := range 4 {
		shard := startShard(t, fmt.Sprintf("s-%d", cell), func(c *standin.ShardConn, p standin.ShardCall) {
			if p.Attributes["m"] == "" { // a request that is not merged
				c.Respond(p.ID, "served", "value of "+string(p.Query))
				return
			}
			rows, err := s.dataset.Respond(p.Shard, p.Attributes["m"], 0)
			if err != nil {
				t.Errorf("a segment got the terms %q: %v", p.Attributes["m"], err)
			}
			if meet == nil || !meet(c, p, rows) {
				c.Respond(p.ID, "served", rows)
			}
		})
		shard.Cell = cell
		s.shards = append(s.shards, shard)
	}
	s.list = startList(t, s.shards...)
	dir := t.TempDir()
	s.file = filepath.Join(dir, "operator.ini")
	s.write("operator.ini", writeMergeFile(edit))
	s.write("cursor.keys", testKey)
	s.program = start(t, s.list, func(c *Config) { c.Settings = json.RawMessage(mergeSettings) }, "--operator", s.file)
	return s
}

func (s *mergeEnv) write(name, text string) {
	s.t.Helper()
	if err := os.WriteFile(filepath.Join(filepath.Dir(s.file), name), []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

func (s *mergeEnv) search(kind string, terms merge.Terms) standin.Request {
	return standin.Request{ID: fmt.Sprintf("%016x", 1<<40+s.last.Add(1)), QueryType: kind, Customer: "acme", Timeout: 2900 * time.Millisecond,
		Shards: []int{0, 1, 2, 3}, Statement: "c41e77d0", Merge: wire(terms)}
}

// wire returns the terms as a client sends them, without those that are not set.
func wire(t merge.Terms) map[string]any {
	raw, _ := json.Marshal(t)
	var out map[string]any
	json.Unmarshal(raw, &out)
	for name, v := range out {
		if v == nil || v == "" || v == 0.0 {
			delete(out, name)
		}
	}
	return out
}

func (s *mergeEnv) merged(kind string, terms merge.Terms) standin.MergedResponse {
	s.t.Helper()
	r, err := s.search(kind, terms).Send(context.Background(), http.DefaultClient, s.addr)
	if err != nil || r.Status != http.StatusOK {
		s.t.Fatalf("got %d %s, error %v", r.Status, r.Body, err)
	}
	m, err := standin.ParseMergedResponse(r.Body)
	if err != nil {
		s.t.Fatalf("%v: %s", err, r.Body)
	}
	return m
}

func (s *mergeEnv) expected(forbids bool) standin.Oracle {
	return standin.Oracle{Dataset: s.dataset, Segments: []int{0, 1, 2, 3}, RequireComplete: forbids}
}

// walk reads a paged list to its end; before is called with the number of each page before it is requested.
func (s *mergeEnv) walk(kind string, order []string, limit int, before func(page int)) standin.PagedCheck {
	s.t.Helper()
	w := standin.PagedCheck{Oracle: s.expected(kind == "report"), Order: order, Limit: limit}
	// While a segment is missing there is always a next page, until it is back.
	for cursor, end := "", time.Now().Add(testTimeout); time.Now().Before(end); {
		if before != nil {
			before(w.Pages)
		}
		m := s.merged(kind, merge.Terms{Kind: "paged", Order: order, Limit: limit, Cursor: cursor})
		if err := w.CheckPage(m, false); err != nil {
			s.t.Fatalf("page %d: %v", w.Pages, err)
		}
		if m.Result.Last {
			return w
		}
		cursor = m.Result.Next
	}
	s.t.Fatalf("timeout: the walk does not end: %d pages, %d rows, %d of them late", w.Pages, w.Rows, w.Late)
	return w
}

func TestMergedAnswersMatchReference(t *testing.T) {
	for name, shape := range map[string]standin.DatasetShape{"ordinary": {Segments: 4, Accounts: 300}, "one segment": {Segments: 4, Accounts: 60, SingleSegment: true},
		"empty": {Segments: 4}, "equal keys": {Segments: 4, Accounts: 80, EqualKeys: true, SharedAccounts: true}} {
		t.Run(name, func(t *testing.T) {
			s := startMergeEnv(t, shape, nil, nil)
			for _, order := range [][]string{{"due"}, {"-amount", "due"}, {"-customer", "-bills"}} {
				for _, at := range []struct{ offset, limit int }{{0, 1}, {0, 50}, {17, 40}, {290, 30}, {400, 5}} {
					m := s.merged("report", merge.Terms{Kind: "ranked", Order: order, Offset: at.offset, Limit: at.limit})
					if err := s.expected(true).CheckRanked(m, order, at.offset, at.limit, true); err != nil {
						t.Errorf("%v from %d, %d rows: %v", order, at.offset, at.limit, err)
					}
				}
				if w := s.walk("report", order, 7, nil); w.Rows != shape.Accounts || w.Late > 0 {
					t.Errorf("a walk of %v gave %d rows, %d late, the data set has %d", order, w.Rows, w.Late, shape.Accounts)
				}
			}
			for _, terms := range []merge.Terms{
				{Kind: "aggregated", Limit: 1, Figures: []string{"count", "sum(amount)", "mean(amount)", "distinct(customer)", "p50(amount)", "p95(amount)", "min(due)", "max(amount)"}},
				{Kind: "aggregated", Limit: 100, Group: []string{"customer"}, Figures: []string{"count", "sum(amount)", "max(due)"}, By: "sum(amount)"},
				{Kind: "aggregated", Limit: 9, Group: []string{"due", "customer"}, Figures: []string{"sum(bills)", "mean(amount)"}},
			} {
				if err := s.expected(true).CheckAggregated(s.merged("report", terms), terms, terms.Limit != 9); err != nil {
					t.Errorf("%v: %v", terms, err)
				}
			}
		})
	}
}

func TestDisallowedMergesAreRejected(t *testing.T) {
	s := startMergeEnv(t, standin.DatasetShape{Segments: 4, Accounts: 40}, nil, nil)
	page := s.merged("report", merge.Terms{Kind: "paged", Order: []string{"due"}, Limit: 5})
	cursor := page.Result.Next
	turned := []byte(cursor)
	turned[len(turned)/2] ^= 3
	for want, terms := range map[string]merge.Terms{
		"kind":                  {Kind: "sorted", Limit: 5},
		"limit":                 {Kind: "ranked", Order: []string{"due"}, Limit: 201},
		"offset":                {Kind: "ranked", Order: []string{"due"}, Limit: 5, Offset: 501},
		"not allowed":           {Kind: "ranked", Order: []string{"owner"}, Limit: 5},
		"twice":                 {Kind: "ranked", Order: []string{"due", "-due"}, Limit: 5},
		"figure":                {Kind: "aggregated", Figures: []string{"sum(account)"}, Limit: 5},
		"longer than any":       {Kind: "paged", Order: []string{"due"}, Limit: 5, Cursor: strings.Repeat("A", 9000)},
		"changed":               {Kind: "paged", Order: []string{"due"}, Limit: 5, Cursor: string(turned)},
		"for another search":    {Kind: "paged", Order: []string{"amount"}, Limit: 5, Cursor: cursor},
		"cursor is for":         {Kind: "ranked", Order: []string{"due"}, Limit: 5, Cursor: cursor},
		"goes on by its cursor": {Kind: "paged", Order: []string{"due"}, Limit: 5, Offset: 3},
	} {
		r, err := s.search("report", terms).Send(context.Background(), http.DefaultClient, s.addr)
		if err != nil || r.Status != http.StatusBadRequest || !strings.Contains(string(r.Body), want) || strings.Count(string(r.Body), "\n") != 1 {
			t.Errorf("%+v: got %d %q, error %v, want 400 with %q", terms, r.Status, r.Body, err, want)
		}
	}
	foreign := s.search("report", merge.Terms{Kind: "paged", Order: []string{"due"}, Limit: 5, Cursor: cursor})
	foreign.Customer = "other"
	post := s.search("post", merge.Terms{Kind: "ranked", Order: []string{"due"}, Limit: 5})
	unknown := s.search("report", merge.Terms{})
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
	p := start(t, startList(t, a), nil)
	q := standin.Request{ID: "ab01", QueryType: "lookup", Customer: "acme", Timeout: time.Second, Shards: []int{0, 1}, Statement: "c41e77d0",
		Merge: map[string]any{"kind": "ranked"}}
	r, err := q.Send(context.Background(), http.DefaultClient, p.addr)
	if err != nil || r.Status != 200 || string(r.Body) != completeAnswer(0, 1) {
		t.Errorf("got %d %s, error %v", r.Status, r.Body, err)
	}
}

// corruptor counts how often a kind of corruption is still to be applied.
type corruptor struct {
	mu   sync.Mutex
	left map[string]int // by kind
}

func (s *corruptor) take(what string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left[what] == 0 {
		return false
	}
	s.left[what]--
	return true
}

func TestUndecodableRowsAreRetriedElsewhere(t *testing.T) {
	for what, corrupt := range map[string]func(string) string{
		"cut": func(v string) string { return v[:len(v)-9] },
		"unsorted": func(v string) string {
			l := strings.Split(v, "\n")
			l[1], l[2] = l[2], l[1]
			return strings.Join(l, "\n")
		},
		"schema": func(v string) string { return strings.Replace(v, "arrears/1", "arrears/2", 1) },
	} {
		t.Run(what, func(t *testing.T) {
			once := &corruptor{left: map[string]int{what: 2}}
			s := startMergeEnv(t, standin.DatasetShape{Segments: 4, Accounts: 120}, func(c *standin.ShardConn, p standin.ShardCall, rows string) bool {
				if !once.take(what) {
					return false
				}
				c.Respond(p.ID, "served", corrupt(rows))
				return true
			}, nil)
			order := []string{"due", "amount"}
			m := s.merged("report", merge.Terms{Kind: "ranked", Order: order, Limit: 60})
			if err := s.expected(true).CheckRanked(m, order, 0, 60, true); err != nil || !m.Full {
				t.Errorf("full %t: %v", m.Full, err)
			}
			s.line("event=part_unusable", "server=s-")
		})
	}
}

// With only corrupt rows from one segment a type that requires complete answers fails, another reports what is missing.
func TestCorruptSegmentIsNeverMerged(t *testing.T) {
	s := startMergeEnv(t, standin.DatasetShape{Segments: 4, Accounts: 120}, func(c *standin.ShardConn, p standin.ShardCall, rows string) bool {
		if p.Shard == 2 {
			c.Respond(p.ID, "served", rows[:len(rows)-9])
		}
		return p.Shard == 2
	}, nil)
	order := []string{"due"}
	terms := merge.Terms{Kind: "ranked", Order: order, Limit: 60}
	q := s.search("report", terms)
	q.Timeout = 900 * time.Millisecond
	r, err := q.Send(context.Background(), http.DefaultClient, s.addr)
	if err != nil || r.Status != http.StatusServiceUnavailable && r.Status != http.StatusGatewayTimeout {
		t.Errorf("got %d %.200s, error %v", r.Status, r.Body, err)
	}
	m := s.merged("loose", terms)
	if err := s.expected(false).CheckRanked(m, order, 0, 60, true); err != nil {
		t.Error(err)
	}
	if state := m.Result.Complete.Segments[2].State; state != "unusable" || m.Full || m.Result.Certain != 0 {
		t.Errorf("the segment is %s, full %t, certain %d", state, m.Full, m.Result.Certain)
	}
}

// Both replicas of a segment are silent during the first pages, and then recover.
func TestSegmentMissingOnOnePage(t *testing.T) {
	var out atomic.Bool
	s := startMergeEnv(t, standin.DatasetShape{Segments: 4, Accounts: 90}, func(c *standin.ShardConn, p standin.ShardCall, rows string) bool {
		if p.Shard == 1 && out.Load() {
			c.Respond(p.ID, "broke", "")
			return true
		}
		return false
	}, nil)
	w := s.walk("loose", []string{"due"}, 10, func(page int) { out.Store(page < 3) })
	if w.Late == 0 || w.Rows != 90 {
		t.Errorf("%d rows, %d of them late, the data set has 90", w.Rows, w.Late)
	}
}

// A server crashes between two pages, with one replica of two segments: the walk continues at the others.
func TestServerFailureBetweenPages(t *testing.T) {
	s := startMergeEnv(t, standin.DatasetShape{Segments: 4, Accounts: 90}, nil, nil)
	w := s.walk("report", []string{"-amount"}, 10, func(page int) {
		if page == 2 {
			s.shards[1].Stop()
		}
	})
	if w.Late != 0 || w.Rows != 90 {
		t.Errorf("%d rows, %d of them late, the data set has 90", w.Rows, w.Late)
	}
}

func TestDataChangeBetweenPagesIsReported(t *testing.T) {
	s := startMergeEnv(t, standin.DatasetShape{Segments: 4, Accounts: 60}, nil, nil)
	first := s.merged("report", merge.Terms{Kind: "paged", Order: []string{"due"}, Limit: 10})
	s.dataset.Advance(2)
	second := s.merged("report", merge.Terms{Kind: "paged", Order: []string{"due"}, Limit: 10, Cursor: first.Result.Next})
	if !first.Full || second.Full || !second.Result.Moved || !second.Result.Complete.Segments[2].Moved || second.Result.Complete.Segments[1].Moved {
		t.Errorf("full %t, moved %t, segments %+v", second.Full, second.Result.Moved, second.Result.Complete.Segments)
	}
	third := s.merged("report", merge.Terms{Kind: "paged", Order: []string{"due"}, Limit: 10, Cursor: second.Result.Next})
	if third.Full || !third.Result.Moved {
		t.Errorf("a page later full %t, moved %t", third.Full, third.Result.Moved)
	}
}

// The first attempt is late and hedged, and then both answer: the segment counts once.
func TestHedgeAndOriginalBothAnswer(t *testing.T) {
	var held sync.Map
	s := startMergeEnv(t, standin.DatasetShape{Segments: 4, Accounts: 120}, func(c *standin.ShardConn, p standin.ShardCall, rows string) bool {
		first, copied := held.LoadOrStore(p.ID, func() { c.Respond(p.ID, "served", rows) })
		if p.Shard != 3 {
			return false
		}
		if copied { // the first attempt answers just before the hedge does
			first.(func())()
			c.Respond(p.ID, "served", rows)
		}
		return true
	}, nil)
	terms := merge.Terms{Kind: "aggregated", Limit: 1, Figures: []string{"count", "sum(amount)"}}
	m := s.merged("report", terms)
	if err := s.expected(true).CheckAggregated(m, terms, true); err != nil || !m.Full {
		t.Errorf("full %t: %v", m.Full, err)
	}
}

// One segment answers before, at and after the latency target, when this type is answered.
func TestLateSegmentIsMergedOrReportedMissing(t *testing.T) {
	var wait atomic.Int64
	s := startMergeEnv(t, standin.DatasetShape{Segments: 4, Accounts: 120}, func(c *standin.ShardConn, p standin.ShardCall, rows string) bool {
		if p.Shard != 0 || wait.Load() == 0 {
			return false
		}
		time.AfterFunc(time.Duration(wait.Load())*time.Millisecond, func() { c.Respond(p.ID, "served", rows) })
		return true
	}, nil)
	terms := merge.Terms{Kind: "aggregated", Limit: 100, Group: []string{"customer"}, Figures: []string{"count", "sum(amount)", "min(due)"}}
	states := map[string]bool{}
	for _, ms := range []int64{0, 60, 270, 285, 290, 295, 300, 310, 700} {
		wait.Store(ms)
		m := s.merged("loose", terms)
		if err := s.expected(false).CheckAggregated(m, terms, true); err != nil {
			t.Errorf("%d ms late: %v", ms, err)
		}
		states[m.Result.Complete.Segments[0].State] = true
	}
	if !states["in"] || !states["missing"] {
		t.Errorf("the late segment was %v", states)
	}
}

// Merges that wait for one segment reach their common limit: requests above it are shed at once.
func TestMergeMemoryLimit(t *testing.T) {
	release := make(chan struct{})
	s := startMergeEnv(t, standin.DatasetShape{Segments: 4, Accounts: 2000}, func(c *standin.ShardConn, p standin.ShardCall, rows string) bool {
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
			r, err := s.search("report", merge.Terms{Kind: "ranked", Order: []string{"due"}, Limit: 200}).Send(context.Background(), http.DefaultClient, s.addr)
			if err != nil {
				t.Error(err)
			}
			replies <- r
		}()
	}
	s.line("event=merge_shed")
	if r := <-replies; r.Status != http.StatusServiceUnavailable || r.RetryAfter == "" || r.Elapsed > 2*time.Second {
		t.Errorf("a request above the limit got %d after %s, Retry-After %q", r.Status, r.Elapsed, r.RetryAfter)
	}
	close(release)
	good := 0
	for range n - 1 {
		if r := <-replies; r.Status == http.StatusOK {
			good++
		}
	}
	if good == 0 || good == n-1 {
		t.Errorf("%d of %d were answered, want some", good, n-1)
	}
	// The memory is released.
	m := s.merged("report", merge.Terms{Kind: "ranked", Order: []string{"due"}, Limit: 50})
	if err := s.expected(true).CheckRanked(m, []string{"due"}, 0, 50, true); err != nil {
		t.Error(err)
	}
}

// Clients that disconnect during a merge leave no memory in use.
func TestClientGoneDuringMergeReleasesMemory(t *testing.T) {
	var hold atomic.Bool
	hold.Store(true)
	s := startMergeEnv(t, standin.DatasetShape{Segments: 4, Accounts: 400}, func(c *standin.ShardConn, p standin.ShardCall, rows string) bool {
		return p.Shard == 3 && hold.Load()
	}, func(f string) string { return strings.Replace(f, "open = 200", "open = 3", 1) })
	for range 9 { // three times as many as may be open
		ctx, leave := context.WithCancel(context.Background())
		q := s.search("report", merge.Terms{Kind: "ranked", Order: []string{"due"}, Limit: 100})
		left := make(chan error, 1)
		go func() {
			_, err := q.Send(ctx, http.DefaultClient, s.addr)
			left <- err
		}()
		await(t, s.shards[3].Received, func(part string) bool { return strings.HasPrefix(part, q.ID) || strings.HasPrefix(part, "c "+q.ID) })
		leave()
		if err := <-left; err == nil {
			t.Fatal("a request was answered whose client had disconnected")
		}
		s.line("event=client_conn_end", "reason=client_left")
	}
	hold.Store(false)
	m := s.merged("report", merge.Terms{Kind: "ranked", Order: []string{"due"}, Limit: 100})
	if err := s.expected(true).CheckRanked(m, []string{"due"}, 0, 100, true); err != nil {
		t.Error(err)
	}
}

// A cursor key is replaced between two pages, with and without an overlap; an invalid operator's file changes nothing.
func TestOperatorFileReload(t *testing.T) {
	const newKey = "k2 ff112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\n"
	s := startMergeEnv(t, standin.DatasetShape{Segments: 4, Accounts: 60}, nil, nil)
	page := func(cursor string) (standin.Response, standin.MergedResponse) {
		r, err := s.search("report", merge.Terms{Kind: "paged", Order: []string{"due"}, Limit: 10, Cursor: cursor}).Send(context.Background(), http.DefaultClient, s.addr)
		if err != nil {
			t.Fatal(err)
		}
		m, _ := standin.ParseMergedResponse(r.Body)
		return r, m
	}
	hup := func(event string) {
		t.Helper()
		s.cmd.Process.Signal(syscall.SIGHUP)
		s.line(event)
	}
	_, first := page("")
	s.write("operator.ini", "[merging]\nmemory = much\n")
	hup("event=reload_failed")
	if r, _ := page(first.Result.Next); r.Status != http.StatusOK {
		t.Errorf("after an invalid file: %d %s", r.Status, r.Body)
	}
	s.write("operator.ini", writeMergeFile(nil))
	s.write("cursor.keys", newKey+testKey)
	hup("event=reload ")
	r, second := page(first.Result.Next)
	if r.Status != http.StatusOK {
		t.Fatalf("during the overlap: %d %s", r.Status, r.Body)
	}
	s.write("cursor.keys", newKey)
	hup("event=reload ")
	if r, _ := page(first.Result.Next); r.Status != http.StatusBadRequest || !strings.Contains(string(r.Body), "key is no longer") {
		t.Errorf("a cursor of a removed key: %d %s", r.Status, r.Body)
	}
	if r, _ := page(second.Result.Next); r.Status != http.StatusOK {
		t.Errorf("a cursor made during the overlap: %d %s", r.Status, r.Body)
	}
	s.write("operator.ini", writeMergeFile(func(f string) string { return strings.Replace(f, "[merge report]", "[merge post]", 1) }))
	s.cmd.Process.Signal(syscall.SIGHUP)
	s.line("event=reload_failed", "not idempotent")
	s.write("operator.ini", "[merging]\nopen = 1\n")
	hup("event=reload ")
	if r, _ := page(second.Result.Next); r.Status != http.StatusOK || strings.Contains(string(r.Body), "merged") {
		t.Errorf("once nothing is merged: %d %.100s", r.Status, r.Body)
	}
}
