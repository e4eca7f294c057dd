package gatherer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
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

// startMergeEnv starts a mergeEnv of four cells, two of them for each segment. If respond returns true it has answered a call
// itself, otherwise the rows are sent.
func startMergeEnv(t *testing.T, shape standin.DatasetShape,
	respond func(c *standin.ShardConn, p standin.ShardCall, rows string) bool, edit func(string) string) *mergeEnv {
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
			if respond == nil || !respond(c, p, rows) {
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

func (s *mergeEnv) search(kind string, terms merge.Request) standin.Request {
	return standin.Request{ID: fmt.Sprintf("%016x", 1<<40+s.last.Add(1)), QueryType: kind, Customer: "acme",
		Timeout: 2900 * time.Millisecond,
		Shards:  []int{0, 1, 2, 3}, Statement: "c41e77d0", Merge: wire(terms)}
}

// wire returns the terms as a client sends them, without those that are not set.
func wire(t merge.Request) map[string]any {
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

func (s *mergeEnv) merged(kind string, terms merge.Request) standin.MergedResponse {
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

func (s *mergeEnv) expected(requireComplete bool) standin.Oracle {
	return standin.Oracle{Dataset: s.dataset, Segments: []int{0, 1, 2, 3}, RequireComplete: requireComplete}
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
		m := s.merged(kind, merge.Request{Kind: "paged", Order: order, Limit: limit, Cursor: cursor})
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
