package experiment

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

// executionCounter counts what shard servers ran, by the text of the post.
type executionCounter struct {
	mu         sync.Mutex
	executions map[string]int
}

func (r *executionCounter) add(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executions[text]++
}

func (r *executionCounter) count(text string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.executions[text]
}

func storeDeployment(name, operator string, do func(*standin.ShardConn, standin.ShardCall)) DeploymentOptions {
	return DeploymentOptions{Name: name, Servers: 4, Segments: 4, MemoryMB: 256, OperatorConfig: operator, Handle: do,
		Types: []QueryType{{"lookup", "free", time.Second, 2 * time.Second, 1, 1}, {"post", "single_shot", time.Second, 2 * time.Second, 1, 1}}}
}

func runStore(ctx context.Context, e *Env) error {
	if err := e.measureStoreLatency(ctx); err != nil {
		return err
	}
	return e.runCrashTest(ctx)
}

// measureStoreLatency measures posts and look-ups without a store and with one.
func (e *Env) measureStoreLatency(ctx context.Context) error {
	times := e.Scale(800, 8000)
	for _, way := range []string{"no store", "store", "store, linger 2ms"} {
		operator := map[string]string{"no store": "", "store": "[store]\npath = kept\n", "store, linger 2ms": "[store]\npath = kept\nlinger = 2ms\n"}[way]
		site, err := e.StartDeployment(storeDeployment("latency "+way, operator, nil))
		if err != nil {
			return err
		}
		for _, kind := range []string{"lookup", "post"} {
			for _, clients := range []int{1, 8} {
				l := NewLatencyRecorder()
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
				e.Record.AddLatency(fmt.Sprintf("%s, %d clients, %s", kind, clients, way), l)
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

// crashTest is one play of the crash machine.
type crashTest struct {
	env      *Env
	ctx      context.Context
	executed executionCounter
	addr     atomic.Pointer[string]
	next     atomic.Int64

	mu       sync.Mutex
	outcomes map[string]int // posts by what became of them
	findings []string
}

func (c *crashTest) addFinding(form string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.findings = append(c.findings, fmt.Sprintf(form, args...))
}

func (c *crashTest) count(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[what]++
}

// sendOnce sends a post and gives its status and text; 0 = none came.
func (c *crashTest) sendOnce(client *http.Client, key, text string) (int, string) {
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

// runPost plays one post to its end: repeated under its key while there is no answer, or one that says that asking again is
// harmless.
func (c *crashTest) runPost(client *http.Client, key, text string) {
	silent := false // some try got no answer
	for try := 0; c.ctx.Err() == nil; try++ {
		status, body := c.sendOnce(client, key, text)
		switch status {
		case http.StatusOK:
			if c.executed.count(text) == 0 {
				c.addFinding("post %s was answered and did not run", text)
			}
			c.count("answered")
			// Once more, as a client that has not seen the answer: the same answer, or an honest word that it is not known.
			if again, other := c.sendOnce(client, key, text); again == http.StatusOK && other != body {
				c.addFinding("post %s was answered twice, differently", text)
			} else if again == http.StatusOK {
				c.count("repeats answered alike")
			}
			return
		case http.StatusServiceUnavailable:
			if n := c.executed.count(text); n > 0 {
				c.addFinding("post %s ran %d times and was called harmless (a try before got no answer: %t)", text, n, silent)
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
				c.addFinding("post %s never got a final answer", text)
				return
			}
		default:
			c.addFinding("post %s was answered %d %s", text, status, body)
			return
		}
		select {
		case <-time.After(5 * time.Millisecond):
		case <-c.ctx.Done():
		}
	}
}

func (e *Env) runCrashTest(ctx context.Context) error {
	kills, posters := e.Scale(120, 600), 8
	c := &crashTest{env: e, ctx: ctx, outcomes: map[string]int{}, executed: executionCounter{executions: map[string]int{}}}
	var chance sync.Mutex
	rng := rand.New(rand.NewPCG(e.Seed, 19))
	pick := func(n int) int {
		chance.Lock()
		defer chance.Unlock()
		return rng.IntN(n)
	}
	site, err := e.StartDeployment(storeDeployment("crash", "[store]\npath = kept\nkeep = 10m\n", func(sc *standin.ShardConn, p standin.ShardCall) {
		text := string(p.Query)
		switch n := pick(1000); {
		case n < 20: // dies before it runs
			sc.Reset()
		case n < 40: // runs, and dies before it answers
			c.executed.add(text)
			sc.Reset()
		case n < 50: // runs and never answers
			c.executed.add(text)
		case n < 80:
			sc.Respond(p.ID, "skipped", "")
		default:
			c.executed.add(text)
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
				c.runPost(client, fmt.Sprintf("key-%d-%d", w, n), fmt.Sprintf("%02x%06x", w, n))
			}
		}()
	}
	e.Progress(fmt.Sprintf("%d kills", kills), kills)
	restart, cuts, damage := NewLatencyRecorder(), 0, int64(0)
	dir := filepath.Join(filepath.Dir(site.OperatorConfigPath), "kept")
	for range kills {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		time.Sleep(time.Duration(5+pick(100)) * time.Millisecond)
		site.Gatherer.Kill()
		<-site.Gatherer.Exited
		if pick(4) == 0 {
			if err := truncateRandomFile(dir, pick); err != nil {
				return err
			}
			cuts++
		}
		began := time.Now()
		site.Gatherer, err = standin.StartProgram(e.Command("serve", "--config", site.ConfigPath, "--operator", site.OperatorConfigPath), func(line string) {
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
	for _, n := range c.executed.executions {
		ran++
		if n > 1 {
			twice++
		}
	}
	e.Record.AddLatency("restart until ready", restart)
	e.Record.AddRow("Crash machine", []string{"kills", "files cut", "lines of damage said", "posts", "ran", "run twice", "answered", "repeats answered alike", "errored: may have run", "tries shed", "findings"},
		fmt.Sprint(kills), fmt.Sprint(cuts), fmt.Sprint(damage), fmt.Sprint(posts.Load()), fmt.Sprint(ran), fmt.Sprint(twice), fmt.Sprint(c.outcomes["answered"]),
		fmt.Sprint(c.outcomes["repeats answered alike"]), fmt.Sprint(c.outcomes["errored: may have run"]), fmt.Sprint(c.outcomes["tries shed"]), fmt.Sprint(len(c.findings)))
	switch {
	case twice > 0:
		return fmt.Errorf("%d posts ran twice", twice)
	case len(c.findings) > 0:
		return errors.New(c.findings[0])
	case c.outcomes["answered"] < kills:
		return fmt.Errorf("only %d posts were answered over %d kills: the machine has not tried anything", c.outcomes["answered"], kills)
	}
	return nil
}

// truncateRandomFile cuts one file of a store at a random byte.
func truncateRandomFile(dir string, pick func(int) int) error {
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
