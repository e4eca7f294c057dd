package lab

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
type faults struct {
	late, stall, die, spoil, unsorted, schema, twice, less, more int
}

var (
	calm  = faults{}
	rough = faults{late: 40, stall: 6, die: 6, spoil: 15, unsorted: 10, schema: 6, twice: 4, more: 30}
	short = faults{less: 250, late: 20, spoil: 10}
	dying = faults{stall: 25, die: 15, late: 60}
)

// mergeRun is one site's share of the experiment.
type mergeRun struct {
	e      *Env
	site   *Site
	ledger *standin.Dataset
	shape  standin.DatasetShape
	now    atomic.Pointer[faults]
	lastID atomic.Uint64
	client *http.Client

	checked, refused, pages, walks atomic.Int64
	fail                           func(error)
}

const labKeys = "k1 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\n"

func mergeOperator() string {
	text := "[merging]\nmemory = 24MiB\nrows = 400000\nopen = 400\ncursor_keys = cursor.keys\n" +
		"[schema " + standin.DatasetSchemaName + "]\n" + standin.DatasetSchema
	for _, name := range []string{"report", "loose"} {
		text += "[merge " + name + "]\nschema = " + standin.DatasetSchemaName + "\nkinds = ranked paged aggregated\nlimit = 300\noffset = 300\n" +
			"order = due amount account customer bills\ngroup = customer due bills\ngroups = 120\nfigures = " + strings.Join(allFigures, " ") + "\n"
	}
	return text
}

var allFigures = []string{"sum(amount)", "sum(bills)", "min(due)", "max(due)", "min(amount)", "max(amount)", "mean(amount)",
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
		r := &mergeRun{e: e, shape: s.shape, ledger: standin.NewDataset(e.Seed, s.shape),
			client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 20 * time.Second}}
		err := r.run(ctx, s.name)
		checked, refused = checked+r.checked.Load(), refused+r.refused.Load()
		pages, walks = pages+r.pages.Load(), walks+r.walks.Load()
		if err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
	}
	e.Record.Figure("answers checked", float64(checked))
	e.Record.Figure("answers refused rightly", float64(refused))
	e.Record.Figure("pages", float64(pages))
	e.Record.Figure("walks to the end", float64(walks))
	fmt.Fprintf(e.Out, "checked %d answers, 0 wrong, %d refused rightly (%d pages in %d walks)\n", checked, refused, pages, walks)
	return nil
}

// run plays all phases on one site.
func (r *mergeRun) run(ctx context.Context, name string) (err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.fail = func(err error) { cancel(err) }
	r.now.Store(&calm)
	r.site, err = r.e.StartSite(SiteShape{Name: strings.ReplaceAll(name, " ", "-"), Cells: 8, Segments: r.shape.Segments,
		Types: []SiteType{{"report", "free", 700 * time.Millisecond, 2500 * time.Millisecond, 1, 1},
			{"loose", "free", 400 * time.Millisecond, 2 * time.Second, 0.5, 1}},
		Operator: mergeOperator(), Files: map[string]string{"cursor.keys": labKeys}, Do: r.meet,
		Fault: func(what string) { r.fail(errors.New(what)) },
		Line: func(line string) {
			if strings.Contains(line, "panic") || strings.Contains(line, "DATA RACE") {
				r.fail(fmt.Errorf("the gatherer says %s", line))
			}
		}})
	if err != nil {
		return err
	}
	defer func() {
		if end := r.site.Stop(); err == nil && end != nil {
			err = end
		}
	}()
	n := r.e.Scale(160, 2500)
	for _, phase := range []struct {
		name   string
		faults *faults
		times  int
		one    func(ctx context.Context, rnd *rand.Rand, l *Latency) error
	}{
		{"calm", &calm, n, r.search(calm)},
		{"calm walks", &calm, r.e.Scale(12, 60), r.walk(calm, false)},
		{"faults", &rough, n * 3 / 2, r.search(rough)},
		{"cut short", &short, n, r.search(short)},
		{"faulty walks", &dying, r.e.Scale(12, 60), r.walk(dying, false)},
		{"short walks", &short, r.e.Scale(8, 40), r.walk(short, false)},
		{"walks over moving data", &rough, r.e.Scale(8, 40), r.walk(rough, true)},
		{"bad requests", &calm, n / 4, r.bad},
	} {
		r.now.Store(phase.faults)
		l := NewLatency()
		r.e.Progress(name+", "+phase.name, phase.times)
		if err := r.many(ctx, phase.name, phase.times, l, phase.one); err != nil {
			return fmt.Errorf("%s: %w", phase.name, err)
		}
		r.e.Record.Latency(name+", "+phase.name, l)
	}
	return nil
}

// workers is how many clients ask at once: eight segments each, they stay below what a cold gatherer takes at eight servers.
const workers = 8

func (r *mergeRun) many(ctx context.Context, name string, times int, l *Latency, one func(context.Context, *rand.Rand, *Latency) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var next atomic.Int64
	var all sync.WaitGroup
	for range workers {
		all.Add(1)
		go func() {
			defer all.Done()
			for {
				n := next.Add(1)
				if n > int64(times) || ctx.Err() != nil {
					return
				}
				h := fnv.New64a()
				fmt.Fprintf(h, "%d %s %d", r.e.Seed, name, n)
				if err := one(ctx, rand.New(rand.NewPCG(h.Sum64(), 1)), l); err != nil {
					cancel(err)
					return
				}
				r.e.Step()
			}
		}()
	}
	all.Wait()
	return context.Cause(ctx)
}

// chance draws a fault for a part, by its id: the same part meets the same fault.
func (r *mergeRun) chance(p standin.ShardCall, host string) int {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %s %s", r.e.Seed, p.ID, host)
	return int(h.Sum64() >> 11 % 1000)
}

// meet is how a shard server meets a part.
func (r *mergeRun) meet(c *standin.ShardConn, p standin.ShardCall) {
	f := r.now.Load()
	less, over := 0, 0
	at := r.chance(p, c.Server.Host)
	hit := func(n int) bool {
		is := 0 <= at && at < n
		at -= n
		return is
	}
	give := func() string {
		value, err := r.give(p, less, over)
		if err != nil {
			r.fail(fmt.Errorf("a segment is asked for %q: %w", p.Attributes["m"], err))
		}
		return value
	}
	switch {
	case hit(f.late):
		wait := time.Duration(20+r.chance(p, "wait")%600) * time.Millisecond
		time.AfterFunc(wait, func() { c.Respond(p.ID, "served", give()) })
	case hit(f.stall):
	case hit(f.die):
		c.RespondTruncated(p.ID, give(), 10+r.chance(p, "cut")/4)
	case hit(f.spoil):
		value := give()
		if len(value) > 40 {
			value = value[:len(value)-20-r.chance(p, "spoil")%20]
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
	case hit(f.schema):
		c.Respond(p.ID, "served", strings.Replace(give(), standin.DatasetSchemaName, "arrears/9", 1))
	case hit(f.twice):
		value := give()
		c.Respond(p.ID, "served", value)
		c.Respond(p.ID, "served", value)
	case hit(f.less):
		less = 1 + r.chance(p, "less")%9
		c.Respond(p.ID, "served", give())
	case hit(f.more):
		over = 7
		c.Respond(p.ID, "served", give())
	default:
		c.Respond(p.ID, "served", give())
	}
}

// give makes what a segment gives: at most less rows, or over rows more than it was asked for.
func (r *mergeRun) give(p standin.ShardCall, less, over int) (string, error) {
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
	return r.ledger.Respond(p.Shard, item, less)
}

func (r *mergeRun) searchFor(kind string, terms merge.Terms) standin.Request {
	var shards []int
	for i := range r.ledger.Segments() {
		shards = append(shards, i)
	}
	return standin.Request{ID: fmt.Sprintf("%016x", 1<<32*(1+r.e.Seed%1000)+r.lastID.Add(1)), QueryType: kind, Customer: "acme",
		Timeout: 1900 * time.Millisecond, Shards: shards, Statement: "c41e77d0", Merge: wireTerms(terms)}
}

// wireTerms is what a client writes: what is not said is left out.
func wireTerms(t merge.Terms) map[string]any {
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

func (r *mergeRun) truth(kind string) standin.Oracle {
	t := standin.Oracle{Dataset: r.ledger, RequireComplete: kind == "report"}
	for i := range r.ledger.Segments() {
		t.Segments = append(t.Segments, i)
	}
	return t
}

// ask sends a search. A refusal is right only under faults, and only with a status that promises no more than is so;
// nil with no error is one.
func (r *mergeRun) ask(ctx context.Context, kind string, terms merge.Terms, f faults, l *Latency) (*standin.MergedResponse, []byte, error) {
	reply, err := r.searchFor(kind, terms).Send(ctx, r.client, r.site.Gatherer.Addr)
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
	case f != calm && (reply.Status == http.StatusServiceUnavailable || reply.Status == http.StatusGatewayTimeout):
		r.refused.Add(1)
		r.e.Record.Add("refused under faults", 1)
		// It comes back when it was told to, as clients do.
		select {
		case <-ctx.Done():
		case <-time.After(min(r.advice(reply), time.Second)):
		}
		return nil, nil, nil
	}
	return nil, nil, fmt.Errorf("%s %+v was answered %d: %.300s", kind, terms, reply.Status, reply.Body)
}

// advice is how long a refused client was told to stay away; a tenth of a second where it was not.
func (r *mergeRun) advice(reply standin.Response) time.Duration {
	s, err := strconv.ParseFloat(reply.RetryAfter, 64)
	if err != nil {
		return 100 * time.Millisecond
	}
	return time.Duration(s * float64(time.Second))
}

func (r *mergeRun) kind(rnd *rand.Rand) string {
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

// search plays one ranked or aggregated search.
func (r *mergeRun) search(f faults) func(context.Context, *rand.Rand, *Latency) error {
	return func(ctx context.Context, rnd *rand.Rand, l *Latency) error {
		kind := r.kind(rnd)
		uncut := f.less == 0
		var terms merge.Terms
		if rnd.IntN(2) == 0 {
			terms = merge.Terms{Kind: merge.Ranked, Order: drawOrder(rnd), Limit: 1 + rnd.IntN(80), Offset: rnd.IntN(3) * rnd.IntN(100)}
		} else {
			terms = merge.Terms{Kind: merge.Aggregated, Limit: 1 + rnd.IntN(150), Figures: []string{"count"}}
			for _, i := range rnd.Perm(len(allFigures))[:1+rnd.IntN(4)] {
				terms.Figures = append(terms.Figures, allFigures[i])
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
		m, body, err := r.ask(ctx, kind, terms, f, l)
		if err != nil || m == nil {
			return err
		}
		if terms.Kind == merge.Ranked {
			err = r.truth(kind).CheckRanked(*m, terms.Order, terms.Offset, terms.Limit, uncut)
		} else {
			err = r.truth(kind).CheckAggregated(*m, terms, uncut)
		}
		if err != nil {
			return fmt.Errorf("%s %+v: %w\n%.2000s", kind, terms, err, body)
		}
		if f == calm && !m.Full && uncut {
			return fmt.Errorf("%s %+v: an answer of a calm phase is not whole\n%.2000s", kind, terms, body)
		}
		r.checked.Add(1)
		return nil
	}
}

// walk reads a paged list to its end. A refused page is asked for again, with the same cursor.
func (r *mergeRun) walk(f faults, moving bool) func(context.Context, *rand.Rand, *Latency) error {
	return func(ctx context.Context, rnd *rand.Rand, l *Latency) error {
		kind := r.kind(rnd)
		w := standin.PagedCheck{Oracle: r.truth(kind), Order: drawOrder(rnd), Limit: 20 + rnd.IntN(100)}
		most := 400
		for cursor, tries := "", 0; tries < most; tries++ {
			if moving && rnd.IntN(3) == 0 {
				r.ledger.Advance(rnd.IntN(r.ledger.Segments()))
			}
			terms := merge.Terms{Kind: merge.Paged, Order: w.Order, Limit: w.Limit, Cursor: cursor}
			m, body, err := r.ask(ctx, kind, terms, f, l)
			if err != nil {
				return err
			}
			if m == nil {
				continue
			}
			if err := w.CheckPage(*m, f.less == 0); err != nil {
				return fmt.Errorf("%s %v, page %d: %w\n%.2000s", kind, w.Order, w.Pages, err, body)
			}
			r.checked.Add(1)
			r.pages.Add(1)
			if m.Result.Last {
				r.walks.Add(1)
				r.e.Record.Add("rows that came late", float64(w.Late))
				return nil
			}
			if cursor = m.Result.Next; cursor == "" {
				return fmt.Errorf("%s %v: the walk is stuck on page %d", kind, w.Order, w.Pages)
			}
		}
		return fmt.Errorf("%s %v: the walk has not ended after %d tries, %d pages", kind, w.Order, most, w.Pages)
	}
}

// bad sends what must be refused with 400 and one sentence.
func (r *mergeRun) bad(ctx context.Context, rnd *rand.Rand, l *Latency) error {
	good := merge.Terms{Kind: merge.Paged, Order: []string{"-amount", "due"}, Limit: 5}
	// Servers that the phase before has spoilt may still be out: a page that cannot be had now is rightly refused.
	m, _, err := r.ask(ctx, "report", good, rough, l)
	if err != nil || m == nil {
		return err
	}
	s := r.searchFor("report", good)
	change := func(do func(map[string]any)) {
		terms := wireTerms(good)
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
	reply, err := s.Send(ctx, r.client, r.site.Gatherer.Addr)
	if err != nil {
		return err
	}
	if reply.Status != http.StatusBadRequest || strings.Count(string(reply.Body), "\n") != 1 {
		return fmt.Errorf("%v was answered %d: %.300s", s.Merge, reply.Status, reply.Body)
	}
	r.refused.Add(1)
	return nil
}
