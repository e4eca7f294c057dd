package lab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"oxbowspan/internal/testing/standin"
)

func init() {
	Register(Experiment{Name: "store", Short: "A crash machine: kills the gatherer under posts and counts what ran",
		Long: `store plays payment posts by clients that repeat what they got no answer to, under the same key, on a gatherer with a store,
and kills it outright at random moments, hundreds of times; now and then one file of its store is cut at a random byte before the
restart. The shard servers count every post that they ran. It ends with a finding if a post ran twice, if one was answered that
did not run, if a client was told that asking again is harmless of a post that ran, or if a search got no final answer. Before
that it measures what the store adds to posts and to look-ups.`, Run: runStore})
}

// ranPosts counts what shard servers ran, by the text of the post.
type ranPosts struct {
	mu sync.Mutex
	by map[string]int
}

func (r *ranPosts) add(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.by[text]++
}

func (r *ranPosts) of(text string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.by[text]
}

func storeShape(name, operator string, do func(*standin.ShardConn, standin.ShardCall)) SiteShape {
	return SiteShape{Name: name, Cells: 4, Segments: 4, MemoryMB: 256, Operator: operator, Do: do,
		Types: []SiteType{{"lookup", "free", time.Second, 2 * time.Second, 1, 1}, {"post", "single_shot", time.Second, 2 * time.Second, 1, 1}}}
}

func runStore(ctx context.Context, e *Env) error {
	if err := e.storeLatency(ctx); err != nil {
		return err
	}
	return e.crashMachine(ctx)
}

// storeLatency measures posts and look-ups without a store and with one.
func (e *Env) storeLatency(ctx context.Context) error {
	times := e.Scale(800, 8000)
	for _, way := range []string{"no store", "store", "store, linger 2ms"} {
		operator := map[string]string{"no store": "", "store": "[store]\npath = kept\n", "store, linger 2ms": "[store]\npath = kept\nlinger = 2ms\n"}[way]
		site, err := e.StartSite(storeShape("latency "+way, operator, nil))
		if err != nil {
			return err
		}
		for _, kind := range []string{"lookup", "post"} {
			for _, clients := range []int{1, 8} {
				l := NewLatency()
				var all sync.WaitGroup
				var next, bad atomic.Int64
				client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clients}, Timeout: 5 * time.Second}
				for range clients {
					all.Add(1)
					go func() {
						defer all.Done()
						for n := next.Add(1); n <= int64(times) && ctx.Err() == nil; n = next.Add(1) {
							s := standin.Request{ID: fmt.Sprintf("%x%04x%02x", len(kind), n, clients), QueryType: kind, Customer: "acme", Timeout: 1900 * time.Millisecond,
								Shards: []int{int(n) % 4}, Statement: fmt.Sprintf("%08x", n)}
							if r, err := s.Send(ctx, client, site.Gatherer.Addr); err != nil || r.Status != http.StatusOK {
								bad.Add(1)
							} else {
								l.Add(r.Elapsed)
							}
						}
					}()
				}
				all.Wait()
				e.Record.Latency(fmt.Sprintf("%s, %d clients, %s", kind, clients, way), l)
				if bad.Load() > 0 {
					site.Stop()
					return fmt.Errorf("%d of %d of kind %s were not answered (%s)", bad.Load(), times, kind, way)
				}
			}
		}
		if err := site.Stop(); err != nil {
			return err
		}
	}
	return nil
}

// crash is one play of the crash machine.
type crash struct {
	e    *Env
	ctx  context.Context
	runs ranPosts
	addr atomic.Pointer[string]
	next atomic.Int64

	mu       sync.Mutex
	by       map[string]int // posts by what became of them
	findings []string
}

func (c *crash) found(form string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.findings = append(c.findings, fmt.Sprintf(form, args...))
}

func (c *crash) count(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.by[what]++
}

// once sends a post and gives its status and text; 0 = none came.
func (c *crash) once(client *http.Client, key, text string) (int, string) {
	s := standin.Request{ID: fmt.Sprintf("%016x", c.next.Add(1)), QueryType: "post", Customer: "acme", Shards: []int{len(key) % 4}, Statement: text}
	r, err := http.NewRequestWithContext(c.ctx, http.MethodPost, "http://"+*c.addr.Load()+"/post", strings.NewReader(string(s.Body())))
	if err != nil {
		return 0, ""
	}
	for k, v := range map[string]string{"Req-Id": s.ID, "Req-Kind": "post", "Req-Owner": "acme", "Req-Deadline-Ms": "600", "Idempotency-Key": key} {
		r.Header.Set(k, v)
	}
	res, err := client.Do(r)
	if err != nil {
		return 0, ""
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, ""
	}
	return res.StatusCode, string(b)
}

// post plays one post to its end: repeated under its key while there is no answer, or one that says that asking again is
// harmless.
func (c *crash) post(client *http.Client, key, text string) {
	silent := false // some try got no answer
	for try := 0; c.ctx.Err() == nil; try++ {
		status, body := c.once(client, key, text)
		switch status {
		case http.StatusOK:
			if c.runs.of(text) == 0 {
				c.found("post %s was answered and did not run", text)
			}
			c.count("answered")
			// Once more, as a client that has not seen the answer: the same answer, or an honest word that it is not known.
			if again, other := c.once(client, key, text); again == http.StatusOK && other != body {
				c.found("post %s was answered twice, differently", text)
			} else if again == http.StatusOK {
				c.count("repeats answered alike")
			}
			return
		case http.StatusServiceUnavailable:
			if n := c.runs.of(text); n > 0 {
				c.found("post %s ran %d times and was called harmless (a try before got no answer: %t)", text, n, silent)
			}
			c.count("tries shed")
			if try > 200 {
				c.count("given up after sheds")
				return
			}
		case http.StatusGatewayTimeout:
			c.count("errored: may have run")
			return
		case http.StatusConflict, 0: // its first try is still open; or the gatherer was killed
			silent = silent || status == 0
			if try > 2000 {
				c.found("post %s never got a final answer", text)
				return
			}
		default:
			c.found("post %s was answered %d %s", text, status, body)
			return
		}
		select {
		case <-time.After(5 * time.Millisecond):
		case <-c.ctx.Done():
		}
	}
}

func (e *Env) crashMachine(ctx context.Context) error {
	kills, posters := e.Scale(120, 600), 8
	c := &crash{e: e, ctx: ctx, by: map[string]int{}, runs: ranPosts{by: map[string]int{}}}
	var chance sync.Mutex
	rng := rand.New(rand.NewPCG(e.Seed, 19))
	pick := func(n int) int {
		chance.Lock()
		defer chance.Unlock()
		return rng.IntN(n)
	}
	site, err := e.StartSite(storeShape("crash", "[store]\npath = kept\nkeep = 10m\n", func(sc *standin.ShardConn, p standin.ShardCall) {
		text := string(p.Query)
		switch n := pick(1000); {
		case n < 20: // dies before it runs
			sc.Reset()
		case n < 40: // runs, and dies before it answers
			c.runs.add(text)
			sc.Reset()
		case n < 50: // runs and never answers
			c.runs.add(text)
		case n < 80:
			sc.Respond(p.ID, "skipped", "")
		default:
			c.runs.add(text)
			time.AfterFunc(time.Duration(pick(8000))*time.Microsecond, func() { sc.Respond(p.ID, "served", "paid "+text) })
		}
	}))
	if err != nil {
		return err
	}
	defer func() { site.Stop() }()
	addr := site.Gatherer.Addr
	c.addr.Store(&addr)
	playing, stop := context.WithCancel(ctx)
	defer stop()
	var clients sync.WaitGroup
	var posts atomic.Int64
	for w := range posters {
		clients.Add(1)
		go func() {
			defer clients.Done()
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}, Timeout: 3 * time.Second}
			for n := 0; playing.Err() == nil; n++ {
				posts.Add(1)
				c.post(client, fmt.Sprintf("key-%d-%d", w, n), fmt.Sprintf("%02x%06x", w, n))
			}
		}()
	}
	e.Progress(fmt.Sprintf("%d kills", kills), kills)
	restart, cuts, damage := NewLatency(), 0, int64(0)
	dir := filepath.Join(filepath.Dir(site.Operator), "kept")
	for range kills {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		time.Sleep(time.Duration(5+pick(100)) * time.Millisecond)
		site.Gatherer.Kill()
		<-site.Gatherer.Exited
		if pick(4) == 0 {
			if err := cutOne(dir, pick); err != nil {
				return err
			}
			cuts++
		}
		began := time.Now()
		site.Gatherer, err = standin.StartProgram(e.Command("serve", "--config", site.Config, "--operator", site.Operator), func(line string) {
			if strings.Contains(line, "event=store_damage") {
				atomic.AddInt64(&damage, 1)
			}
		})
		if err != nil {
			return fmt.Errorf("after a kill: %w", err)
		}
		restart.Add(time.Since(began))
		addr := site.Gatherer.Addr
		c.addr.Store(&addr)
		e.Step()
	}
	stop()
	clients.Wait()
	twice, ran := 0, 0
	for _, n := range c.runs.by {
		ran++
		if n > 1 {
			twice++
		}
	}
	e.Record.Latency("restart until ready", restart)
	e.Record.Row("Crash machine", []string{"kills", "files cut", "lines of damage said", "posts", "ran", "run twice", "answered", "repeats answered alike", "errored: may have run", "tries shed", "findings"},
		fmt.Sprint(kills), fmt.Sprint(cuts), fmt.Sprint(damage), fmt.Sprint(posts.Load()), fmt.Sprint(ran), fmt.Sprint(twice), fmt.Sprint(c.by["answered"]),
		fmt.Sprint(c.by["repeats answered alike"]), fmt.Sprint(c.by["errored: may have run"]), fmt.Sprint(c.by["tries shed"]), fmt.Sprint(len(c.findings)))
	switch {
	case twice > 0:
		return fmt.Errorf("%d posts ran twice", twice)
	case len(c.findings) > 0:
		return errors.New(c.findings[0])
	case c.by["answered"] < kills:
		return fmt.Errorf("only %d posts were answered over %d kills: the machine has not tried anything", c.by["answered"], kills)
	}
	return nil
}

// cutOne cuts one file of a store at a random byte.
func cutOne(dir string, pick func(int) int) error {
	var all []string
	for _, lane := range []string{"a", "b"} {
		found, err := filepath.Glob(filepath.Join(dir, lane, "*"))
		if err != nil {
			return err
		}
		all = append(all, found...)
	}
	if len(all) == 0 {
		return fmt.Errorf("no files in %s", dir)
	}
	name := all[pick(len(all))]
	s, err := os.Stat(name)
	if err != nil {
		return err
	}
	return os.Truncate(name, int64(pick(int(s.Size())+1)))
}
