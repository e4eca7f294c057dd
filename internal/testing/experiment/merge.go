package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"oxbowspan/internal/testing/standin"
	"oxbowspan/merge"
)

func init() {
	Register(Experiment{Name: "merge", Short: "Merged answers under faults, each compared with the true result",
		Long: `merge plays ranked, paged and aggregated searches through a built gatherer over shard servers that hold a ledger of
known data, first calmly and then with faults: servers that are late, stall, die in an answer, spoil rows, give them out of
order or in another schema, give fewer or more than asked, answer twice, and data that moves on between pages. Every
answer, every walk over pages to its end and every statement of completeness is compared with the true result, which is
computed apart from the program. It ends at the first that differs.`, Run: runMerge})
}

// The ways in which a shard server spoils a part, and how often, in thousandths.
type faultRates struct {
	delayed, stalled, reset, corrupted, unsorted, wrongSchema, duplicated, tooFew, tooMany int
}

var (
	noFaults           = faultRates{}
	mixedFaults        = faultRates{delayed: 40, stalled: 6, reset: 6, corrupted: 15, unsorted: 10, wrongSchema: 6, duplicated: 4, tooMany: 30}
	truncatingFaults   = faultRates{tooFew: 250, delayed: 20, corrupted: 10}
	unresponsiveFaults = faultRates{stalled: 25, reset: 15, delayed: 60}
)

// mergeRun is one site's share of the experiment.
type mergeRun struct {
	env          *Env
	deployment   *Deployment
	dataset      *standin.Dataset
	shape        standin.DatasetShape
	activeFaults atomic.Pointer[faultRates]
	lastID       atomic.Uint64
	client       *http.Client

	verified, rejected, pages, completedWalks atomic.Int64
	fail                                      func(error)
}

const mergeCursorKeys = "k1 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\n"

func mergeOperatorConfig() string {
	text := "[merging]\nmemory = 24MiB\nrows = 400000\nopen = 400\ncursor_keys = cursor.keys\n" +
		"[schema " + standin.DatasetSchemaName + "]\n" + standin.DatasetSchema
	for _, name := range []string{"report", "loose"} {
		text += "[merge " + name + "]\nschema = " + standin.DatasetSchemaName + "\nkinds = ranked paged aggregated\nlimit = 300\noffset = 300\n" +
			"order = due amount account customer bills\ngroup = customer due bills\ngroups = 120\nfigures = " + strings.Join(allAggregates, " ") + "\n"
	}
	return text
}

var allAggregates = []string{"sum(amount)", "sum(bills)", "min(due)", "max(due)", "min(amount)", "max(amount)", "mean(amount)",
	"distinct(customer)", "p50(amount)", "p95(amount)"}

func runMerge(ctx context.Context, e *Env) error {
	const segments = 8
	var checked, refused, pages, walks int64
	for _, s := range []struct {
		name  string
		shape standin.DatasetShape
	}{
		{"ordinary", standin.DatasetShape{Segments: segments, Accounts: e.Scale(600, 3000), NegativeAmounts: true}},
		{"equal keys", standin.DatasetShape{Segments: segments, Accounts: e.Scale(240, 800), EqualKeys: true, SharedAccounts: true}},
		{"one segment", standin.DatasetShape{Segments: segments, Accounts: e.Scale(200, 600), SingleSegment: true}},
	} {
		r := &mergeRun{env: e, shape: s.shape, dataset: standin.NewDataset(e.Seed, s.shape),
			client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 20 * time.Second}}
		err := r.run(ctx, s.name)
		checked, refused = checked+r.verified.Load(), refused+r.rejected.Load()
		pages, walks = pages+r.pages.Load(), walks+r.completedWalks.Load()
		if err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
	}
	e.Record.SetMetric("answers checked", float64(checked))
	e.Record.SetMetric("answers refused rightly", float64(refused))
	e.Record.SetMetric("pages", float64(pages))
	e.Record.SetMetric("walks to the end", float64(walks))
	fmt.Fprintf(e.Out, "checked %d answers, 0 wrong, %d refused rightly (%d pages in %d walks)\n", checked, refused, pages, walks)
	return nil
}

// run plays all phases on one site.
func (r *mergeRun) run(ctx context.Context, name string) (err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.fail = func(err error) { cancel(err) }
	r.activeFaults.Store(&noFaults)
	r.deployment, err = r.env.StartDeployment(DeploymentOptions{Name: strings.ReplaceAll(name, " ", "-"), Servers: 8, Segments: r.shape.Segments,
		Types: []QueryType{{"report", "free", 700 * time.Millisecond, 2500 * time.Millisecond, 1, 1},
			{"loose", "free", 400 * time.Millisecond, 2 * time.Second, 0.5, 1}},
		OperatorConfig: mergeOperatorConfig(), Files: map[string]string{"cursor.keys": mergeCursorKeys}, Handle: r.handleCall,
		OnProtocolError: func(what string) { r.fail(errors.New(what)) },
		OnLogLine: func(line string) {
			if strings.Contains(line, "panic") || strings.Contains(line, "DATA RACE") {
				r.fail(fmt.Errorf("the gatherer says %s", line))
			}
		}})
	if err != nil {
		return err
	}
	defer func() {
		if end := r.deployment.Stop(); err == nil && end != nil {
			err = end
		}
	}()
	n := r.env.Scale(160, 2500)
	for _, phase := range []struct {
		name   string
		faults *faultRates
		times  int
		one    func(ctx context.Context, rnd *rand.Rand, l *LatencyRecorder) error
	}{
		{"calm", &noFaults, n, r.checkRequest(noFaults)},
		{"calm walks", &noFaults, r.env.Scale(12, 60), r.checkPages(noFaults, false)},
		{"faults", &mixedFaults, n * 3 / 2, r.checkRequest(mixedFaults)},
		{"cut short", &truncatingFaults, n, r.checkRequest(truncatingFaults)},
		{"faulty walks", &unresponsiveFaults, r.env.Scale(12, 60), r.checkPages(unresponsiveFaults, false)},
		{"short walks", &truncatingFaults, r.env.Scale(8, 40), r.checkPages(truncatingFaults, false)},
		{"walks over moving data", &mixedFaults, r.env.Scale(8, 40), r.checkPages(mixedFaults, true)},
		{"bad requests", &noFaults, n / 4, r.checkInvalidRequest},
	} {
		r.activeFaults.Store(phase.faults)
		l := NewLatencyRecorder()
		r.env.Progress(name+", "+phase.name, phase.times)
		if err := r.runConcurrently(ctx, phase.name, phase.times, l, phase.one); err != nil {
			return fmt.Errorf("%s: %w", phase.name, err)
		}
		r.env.Record.AddLatency(name+", "+phase.name, l)
	}
	return nil
}

// concurrentClients is how many clients ask at once: eight segments each, they stay below what a cold gatherer takes at eight servers.
const concurrentClients = 8

func (r *mergeRun) runConcurrently(ctx context.Context, name string, times int, l *LatencyRecorder, one func(context.Context, *rand.Rand, *LatencyRecorder) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var next atomic.Int64
	var all sync.WaitGroup
	for range concurrentClients {
		all.Add(1)
		go func() {
			defer all.Done()
			for {
				n := next.Add(1)
				if n > int64(times) || ctx.Err() != nil {
					return
				}
				h := fnv.New64a()
				fmt.Fprintf(h, "%d %s %d", r.env.Seed, name, n)
				if err := one(ctx, rand.New(rand.NewPCG(h.Sum64(), 1)), l); err != nil {
					cancel(err)
					return
				}
				r.env.Step()
			}
		}()
	}
	all.Wait()
	return context.Cause(ctx)
}

// drawPerMille draws a fault for a part, by its id: the same part meets the same fault.
func (r *mergeRun) drawPerMille(p standin.ShardCall, host string) int {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %s %s", r.env.Seed, p.ID, host)
	return int(h.Sum64() >> 11 % 1000)
}

// handleCall is how a shard server meets a part.
func (r *mergeRun) handleCall(c *standin.ShardConn, p standin.ShardCall) {
	f := r.activeFaults.Load()
	less, over := 0, 0
	at := r.drawPerMille(p, c.Server.Host)
	hit := func(n int) bool {
		is := 0 <= at && at < n
		at -= n
		return is
	}
	give := func() string {
		value, err := r.response(p, less, over)
		if err != nil {
			r.fail(fmt.Errorf("a segment is asked for %q: %w", p.Attributes["m"], err))
		}
		return value
	}
	switch {
	case hit(f.delayed):
		wait := time.Duration(20+r.drawPerMille(p, "wait")%600) * time.Millisecond
		time.AfterFunc(wait, func() { c.Respond(p.ID, "served", give()) })
	case hit(f.stalled):
	case hit(f.reset):
		c.RespondTruncated(p.ID, give(), 10+r.drawPerMille(p, "cut")/4)
	case hit(f.corrupted):
		value := give()
		if len(value) > 40 {
			value = value[:len(value)-20-r.drawPerMille(p, "spoil")%20]
		} else {
			value = "?" + value
		}
		c.Respond(p.ID, "served", value)
	case hit(f.unsorted):
		lines := strings.Split(strings.TrimSuffix(give(), "\n"), "\n")
		if len(lines) < 3 {
			lines[0] = strings.Replace(lines[0], `"as_of"`, `"as_off"`, 1)
		} else {
			last := len(lines) - 1
			lines[last], lines[last-1] = lines[last-1], lines[last]
		}
		c.Respond(p.ID, "served", strings.Join(lines, "\n")+"\n")
	case hit(f.wrongSchema):
		c.Respond(p.ID, "served", strings.Replace(give(), standin.DatasetSchemaName, "arrears/9", 1))
	case hit(f.duplicated):
		value := give()
		c.Respond(p.ID, "served", value)
		c.Respond(p.ID, "served", value)
	case hit(f.tooFew):
		less = 1 + r.drawPerMille(p, "less")%9
		c.Respond(p.ID, "served", give())
	case hit(f.tooMany):
		over = 7
		c.Respond(p.ID, "served", give())
	default:
		c.Respond(p.ID, "served", give())
	}
}

// response makes what a segment gives: at most less rows, or over rows more than it was asked for.
func (r *mergeRun) response(p standin.ShardCall, less, over int) (string, error) {
	item := p.Attributes["m"]
	if over > 0 {
		ask, err := merge.ParseAsk(item)
		if err != nil {
			return "", err
		}
		if ask.Kind == merge.Ranked {
			ask.Limit += over
			item = ask.Item()
		}
	}
	return r.dataset.Respond(p.Shard, item, less)
}

func (r *mergeRun) newRequest(kind string, terms merge.Terms) standin.Request {
	var shards []int
	for i := range r.dataset.Segments() {
		shards = append(shards, i)
	}
	return standin.Request{ID: fmt.Sprintf("%016x", 1<<32*(1+r.env.Seed%1000)+r.lastID.Add(1)), QueryType: kind, Customer: "acme",
		Timeout: 1900 * time.Millisecond, Shards: shards, Statement: "c41e77d0", Merge: encodeTerms(terms)}
}

// encodeTerms is what a client writes: what is not said is left out.
func encodeTerms(t merge.Terms) map[string]any {
	out := map[string]any{"kind": t.Kind, "limit": t.Limit}
	for name, list := range map[string][]string{"order": t.Order, "group": t.Group, "figures": t.Figures} {
		if len(list) > 0 {
			out[name] = list
		}
	}
	if t.Offset != 0 {
		out["offset"] = t.Offset
	}
	for name, text := range map[string]string{"cursor": t.Cursor, "by": t.By} {
		if text != "" {
			out[name] = text
		}
	}
	return out
}

func (r *mergeRun) oracle(kind string) standin.Oracle {
	t := standin.Oracle{Dataset: r.dataset, RequireComplete: kind == "report"}
	for i := range r.dataset.Segments() {
		t.Segments = append(t.Segments, i)
	}
	return t
}

// send sends a search. A refusal is right only under faults, and only with a status that promises no more than is so;
// nil with no error is one.
func (r *mergeRun) send(ctx context.Context, kind string, terms merge.Terms, f faultRates, l *LatencyRecorder) (*standin.MergedResponse, []byte, error) {
	reply, err := r.newRequest(kind, terms).Send(ctx, r.client, r.deployment.Gatherer.Addr)
	if err != nil {
		if ctx.Err() != nil {
			return nil, nil, ctx.Err()
		}
		return nil, nil, fmt.Errorf("no answer came: %w", err)
	}
	l.Add(reply.Elapsed)
	switch {
	case reply.Status == http.StatusOK:
		m, err := standin.ParseMergedResponse(reply.Body)
		if err != nil {
			return nil, nil, fmt.Errorf("%w: %.300s", err, reply.Body)
		}
		return &m, reply.Body, nil
	case f != noFaults && (reply.Status == http.StatusServiceUnavailable || reply.Status == http.StatusGatewayTimeout):
		r.rejected.Add(1)
		r.env.Record.AddToMetric("refused under faults", 1)
		// It comes back when it was told to, as clients do.
		select {
		case <-ctx.Done():
		case <-time.After(min(r.retryDelay(reply), time.Second)):
		}
		return nil, nil, nil
	}
	return nil, nil, fmt.Errorf("%s %+v was answered %d: %.300s", kind, terms, reply.Status, reply.Body)
}

// retryDelay is how long a refused client was told to stay away; a tenth of a second where it was not.
func (r *mergeRun) retryDelay(reply standin.Response) time.Duration {
	s, err := strconv.ParseFloat(reply.RetryAfter, 64)
	if err != nil {
		return 100 * time.Millisecond
	}
	return time.Duration(s * float64(time.Second))
}

func (r *mergeRun) drawQueryType(rnd *rand.Rand) string {
	if rnd.IntN(2) == 0 {
		return "report"
	}
	return "loose"
}

var orderColumns = []string{"due", "amount", "account", "customer", "bills"}

func drawOrder(rnd *rand.Rand) []string {
	var order []string
	for _, i := range rnd.Perm(len(orderColumns))[:1+rnd.IntN(3)] {
		name := orderColumns[i]
		if rnd.IntN(2) == 0 {
			name = "-" + name
		}
		order = append(order, name)
	}
	return order
}

// checkRequest plays one ranked or aggregated search.
func (r *mergeRun) checkRequest(f faultRates) func(context.Context, *rand.Rand, *LatencyRecorder) error {
	return func(ctx context.Context, rnd *rand.Rand, l *LatencyRecorder) error {
		kind := r.drawQueryType(rnd)
		uncut := f.tooFew == 0
		var terms merge.Terms
		if rnd.IntN(2) == 0 {
			terms = merge.Terms{Kind: merge.Ranked, Order: drawOrder(rnd), Limit: 1 + rnd.IntN(80), Offset: rnd.IntN(3) * rnd.IntN(100)}
		} else {
			terms = merge.Terms{Kind: merge.Aggregated, Limit: 1 + rnd.IntN(150), Figures: []string{"count"}}
			for _, i := range rnd.Perm(len(allAggregates))[:1+rnd.IntN(4)] {
				terms.Figures = append(terms.Figures, allAggregates[i])
			}
			switch rnd.IntN(4) {
			case 0:
				uncut = true // one group, which no server cuts
			case 1:
				terms.Group, terms.By = []string{"customer"}, "count"
			case 2:
				terms.Group = []string{"due"}
			case 3:
				terms.Group, uncut = []string{"customer", "due"}, false // more groups than a segment sends
			}
		}
		m, body, err := r.send(ctx, kind, terms, f, l)
		if err != nil || m == nil {
			return err
		}
		if terms.Kind == merge.Ranked {
			err = r.oracle(kind).CheckRanked(*m, terms.Order, terms.Offset, terms.Limit, uncut)
		} else {
			err = r.oracle(kind).CheckAggregated(*m, terms, uncut)
		}
		if err != nil {
			return fmt.Errorf("%s %+v: %w\n%.2000s", kind, terms, err, body)
		}
		if f == noFaults && !m.Full && uncut {
			return fmt.Errorf("%s %+v: an answer of a calm phase is not whole\n%.2000s", kind, terms, body)
		}
		r.verified.Add(1)
		return nil
	}
}

// checkPages reads a paged list to its end. A refused page is asked for again, with the same cursor.
func (r *mergeRun) checkPages(f faultRates, moving bool) func(context.Context, *rand.Rand, *LatencyRecorder) error {
	return func(ctx context.Context, rnd *rand.Rand, l *LatencyRecorder) error {
		kind := r.drawQueryType(rnd)
		w := standin.PagedCheck{Oracle: r.oracle(kind), Order: drawOrder(rnd), Limit: 20 + rnd.IntN(100)}
		most := 400
		for cursor, tries := "", 0; tries < most; tries++ {
			if moving && rnd.IntN(3) == 0 {
				r.dataset.Advance(rnd.IntN(r.dataset.Segments()))
			}
			terms := merge.Terms{Kind: merge.Paged, Order: w.Order, Limit: w.Limit, Cursor: cursor}
			m, body, err := r.send(ctx, kind, terms, f, l)
			if err != nil {
				return err
			}
			if m == nil {
				continue
			}
			if err := w.CheckPage(*m, f.tooFew == 0); err != nil {
				return fmt.Errorf("%s %v, page %d: %w\n%.2000s", kind, w.Order, w.Pages, err, body)
			}
			r.verified.Add(1)
			r.pages.Add(1)
			if m.Result.Last {
				r.completedWalks.Add(1)
				r.env.Record.AddToMetric("rows that came late", float64(w.Late))
				return nil
			}
			if cursor = m.Result.Next; cursor == "" {
				return fmt.Errorf("%s %v: the walk is stuck on page %d", kind, w.Order, w.Pages)
			}
		}
		return fmt.Errorf("%s %v: the walk has not ended after %d tries, %d pages", kind, w.Order, most, w.Pages)
	}
}

// checkInvalidRequest sends what must be refused with 400 and one sentence.
func (r *mergeRun) checkInvalidRequest(ctx context.Context, rnd *rand.Rand, l *LatencyRecorder) error {
	good := merge.Terms{Kind: merge.Paged, Order: []string{"-amount", "due"}, Limit: 5}
	// Servers that the phase before has spoilt may still be out: a page that cannot be had now is rightly refused.
	m, _, err := r.send(ctx, "report", good, mixedFaults, l)
	if err != nil || m == nil {
		return err
	}
	s := r.newRequest("report", good)
	change := func(do func(map[string]any)) {
		terms := encodeTerms(good)
		do(terms)
		s.Merge = terms
	}
	cursor := []byte(m.Result.Next)
	switch rnd.IntN(6) {
	case 0:
		at := rnd.IntN(len(cursor) - 1)
		cursor[at] = "ABCDEFGHIJ"[(strings.IndexByte("ABCDEFGHIJ", cursor[at])+1)%10]
		change(func(t map[string]any) { t["cursor"] = string(cursor) })
	case 1:
		change(func(t map[string]any) { t["cursor"], t["order"] = string(cursor), []string{"due"} })
	case 2:
		s.Statement = "another statement"
		change(func(t map[string]any) { t["cursor"] = string(cursor) })
	case 3:
		change(func(t map[string]any) { t["limit"] = 301 + rnd.IntN(1000) })
	case 4:
		change(func(t map[string]any) { t["order"] = []string{"owner"} })
	case 5:
		s.Merge = json.RawMessage(`{"kind":"ranked","limit":5,"order":["due"],"sort":1}`)
	}
	reply, err := s.Send(ctx, r.client, r.deployment.Gatherer.Addr)
	if err != nil {
		return err
	}
	if reply.Status != http.StatusBadRequest || strings.Count(string(reply.Body), "\n") != 1 {
		return fmt.Errorf("%v was answered %d: %.300s", s.Merge, reply.Status, reply.Body)
	}
	r.rejected.Add(1)
	return nil
}
