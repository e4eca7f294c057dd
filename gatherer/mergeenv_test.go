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

// mergeSettings has four cells and four segments, each in two cells. Type report requires complete answers, type loose
// those of half of the segments, and type post is not idempotent.
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

// writeMergeFile returns the text of an operator's file that merges types report and loose, after edit unless that is nil.
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

// mergeEnv is a running gatherer with shard servers that serve the rows of a generated data set.
type mergeEnv struct {
	*program
	t       *testing.T
	dataset *standin.Dataset
	shards  []*standin.ShardServer
	list    *standin.DiscoveryService
	file    string       // the operator's file
	last    atomic.Int64 // last request id
}

// startMergeEnv starts a mergeEnv with one server in each of four cells, so that each segment has two replicas. For each
// merged call it calls respond, unless that is nil, with the rows of the segment. If respond returns false the rows are
// sent; otherwise respond answers the call itself or leaves it unanswered. The text of the operator's file is changed by
// edit unless that is nil.
func startMergeEnv(t *testing.T, shape standin.DatasetShape,
	respond func(c *standin.ShardConn, p standin.ShardCall, rows string) bool, edit func(string) string) *mergeEnv {
	t.Helper()
	return startMergeEnvWith(t, mergeSettings, shape, respond, edit)
}

// startMergeEnvWith is startMergeEnv with other settings.
func startMergeEnvWith(t *testing.T, settings string, shape standin.DatasetShape,
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
				t.Errorf("a segment received the merge parameters %q: %v", p.Attributes["m"], err)
			}
			if respond == nil || !respond(c, p, rows) {
				c.Respond(p.ID, "served", rows)
			}
		})
		shard.Cell = cell
		s.shards = append(s.shards, shard)
	}
	s.list = startDiscovery(t, s.shards...)
	dir := t.TempDir()
	s.file = filepath.Join(dir, "operator.ini")
	s.writeFile("operator.ini", writeMergeFile(edit))
	s.writeFile("cursor.keys", testKey)
	s.program = startProgram(t, s.list, func(c *Config) { c.Settings = json.RawMessage(settings) }, "--operator", s.file)
	return s
}

// writeFile writes a file to the directory of the operator's file.
func (s *mergeEnv) writeFile(name, text string) {
	s.t.Helper()
	if err := os.WriteFile(filepath.Join(filepath.Dir(s.file), name), []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// newSearch returns a request of a query type for all segments, with a new id.
func (s *mergeEnv) newSearch(queryType string, terms merge.Request) standin.Request {
	return standin.Request{ID: fmt.Sprintf("%016x", 1<<40+s.last.Add(1)), QueryType: queryType, Customer: "acme",
		Timeout: 2900 * time.Millisecond,
		Shards:  []int{0, 1, 2, 3}, Statement: "c41e77d0", Merge: wireTerms(terms)}
}

// wireTerms returns a merge request in the form in which a client sends it, without the fields that are not set.
func wireTerms(t merge.Request) map[string]any {
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

// sendMerge sends a merge request and returns the parsed response, whose status must be 200.
func (s *mergeEnv) sendMerge(queryType string, terms merge.Request) standin.MergedResponse {
	s.t.Helper()
	r, err := s.newSearch(queryType, terms).Send(context.Background(), http.DefaultClient, s.addr)
	if err != nil || r.Status != http.StatusOK {
		s.t.Fatalf("got %d %s, error %v", r.Status, r.Body, err)
	}
	m, err := standin.ParseMergedResponse(r.Body)
	if err != nil {
		s.t.Fatalf("%v: %s", err, r.Body)
	}
	return m
}

// oracle returns the reference for checking responses. It may require that no segment is missing.
func (s *mergeEnv) oracle(requireComplete bool) standin.Oracle {
	return standin.Oracle{Dataset: s.dataset, Segments: []int{0, 1, 2, 3}, RequireComplete: requireComplete}
}

// readPages requests and checks all pages of a paged search. Unless it is nil, before is called before each request with the
// number of pages read so far.
func (s *mergeEnv) readPages(queryType string, order []string, limit int, before func(page int)) standin.PagedCheck {
	s.t.Helper()
	w := standin.PagedCheck{Oracle: s.oracle(queryType == "report"), Order: order, Limit: limit}
	// While a segment is missing every page has a next one, until the segment is back.
	for cursor, end := "", time.Now().Add(testTimeout); time.Now().Before(end); {
		if before != nil {
			before(w.Pages)
		}
		m := s.sendMerge(queryType, merge.Request{Kind: "paged", Order: order, Limit: limit, Cursor: cursor})
		if err := w.CheckPage(m, false); err != nil {
			s.t.Fatalf("page %d: %v", w.Pages, err)
		}
		if m.Result.Last {
			return w
		}
		cursor = m.Result.Next
	}
	s.t.Fatalf("timeout: the pages do not end: %d pages, %d rows, %d of them late", w.Pages, w.Rows, w.Late)
	return w
}
