package experiment

import (
	"context"
	"errors"
	"fmt"
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

const (
	crashClients       = 8
	crashClientTimeout = 3 * time.Second
	// crashPostTimeout is the time limit that a post's request states.
	crashPostTimeout = 600 * time.Millisecond
	// crashRetryInterval is the time between two attempts of a post.
	crashRetryInterval = 5 * time.Millisecond
	// crashMaxShed is the number of shed attempts after which a client gives up a post, and crashMaxAttempts the number of
	// attempts after which a post without a final response is a finding.
	crashMaxShed     = 200
	crashMaxAttempts = 2000
	// The time between a restart and the next kill, in milliseconds: the minimum and the length of the random interval above
	// it.
	crashMinInterval = 5
	crashIntervals   = 100
	// crashTruncateOneIn is the number of restarts of which one, on average, follows the truncation of a file.
	crashTruncateOneIn = 4
	// crashMaxDelay is the maximum service time of a shard server for a post, in microseconds.
	crashMaxDelay = 8000
	// crashStream is the second word of the random generator's seed for the test's decisions.
	crashStream = 19

	crashStore = "[store]\npath = " + storePath + "\nkeep = 10m\n"
	// storeDamageEvent is the log event of a gatherer that finds its store damaged.
	storeDamageEvent = "event=store_damage"
)

// Outcomes of posts and attempts, as named in the record.
const (
	outcomeAnswered       = "answered"
	outcomeRepeatAnswered = "repeats answered alike"
	outcomeMayHaveRun     = "errored: may have run"
	outcomeShed           = "attempts shed"
	outcomeGivenUp        = "given up after being shed"
)

// crashTest repeatedly kills a gatherer while clients send posts.
type crashTest struct {
	env        *Env
	ctx        context.Context
	deployment *Deployment
	executed   executionCounter
	addr       atomic.Pointer[string] // of the gatherer; changes with each restart
	lastID     atomic.Uint64
	posts      atomic.Int64

	randomMu sync.Mutex
	random   *rand.Rand

	mu       sync.Mutex
	outcomes map[string]int
	findings []string

	truncated     int          // files
	damageReports atomic.Int64 // log lines
	restart       *LatencyRecorder
}

func (e *Env) runCrashTest(ctx context.Context) error {
	t := &crashTest{
		env:      e,
		ctx:      ctx,
		executed: executionCounter{executions: map[string]int{}},
		random:   rand.New(rand.NewPCG(e.Seed, crashStream)),
		outcomes: map[string]int{},
		restart:  NewLatencyRecorder(),
	}
	var err error
	if t.deployment, err = e.StartDeployment(storeDeployment("crash", crashStore, t.handle)); err != nil {
		return err
	}
	defer func() { t.deployment.Stop() }()
	kills := e.Scale(120, 600)
	if err := t.run(kills); err != nil {
		return err
	}
	return t.report(kills)
}

// draw returns a random number below n.
func (t *crashTest) draw(n int) int {
	t.randomMu.Lock()
	defer t.randomMu.Unlock()
	return t.random.IntN(n)
}

// handle handles a post at a shard server and injects faults with fixed probabilities, in thousandths.
func (t *crashTest) handle(conn *standin.ShardConn, call standin.ShardCall) {
	text := string(call.Query)
	switch n := t.draw(1000); {
	case n < 20: // crashes before the execution
		conn.Reset()
	case n < 40: // crashes between execution and response
		t.executed.add(text)
		conn.Reset()
	case n < 50: // executes and never responds
		t.executed.add(text)
	case n < 80:
		conn.Respond(call.ID, standin.OutcomeSkipped, "")
	default:
		t.executed.add(text)
		delay := time.Duration(t.draw(crashMaxDelay)) * time.Microsecond
		time.AfterFunc(delay, func() { conn.Respond(call.ID, standin.OutcomeServed, "paid "+text) })
	}
}

// run kills and restarts the gatherer while clients send posts.
func (t *crashTest) run(kills int) error {
	addr := t.deployment.Gatherer.Addr
	t.addr.Store(&addr)
	sending, stop := context.WithCancel(t.ctx)
	defer stop()
	var clients sync.WaitGroup
	for i := range crashClients {
		clients.Go(func() { t.sendPosts(sending, i) })
	}
	t.env.Progress(fmt.Sprintf("%d kills", kills), kills)
	for range kills {
		if t.ctx.Err() != nil {
			return t.ctx.Err()
		}
		time.Sleep(time.Duration(crashMinInterval+t.draw(crashIntervals)) * time.Millisecond)
		if err := t.killAndRestart(); err != nil {
			return err
		}
		t.env.Step()
	}
	stop()
	clients.Wait()
	return nil
}

func (t *crashTest) killAndRestart() error {
	d := t.deployment
	d.Gatherer.Kill()
	<-d.Gatherer.Exited
	if t.draw(crashTruncateOneIn) == 0 {
		if err := truncateRandomFile(filepath.Join(filepath.Dir(d.OperatorConfigPath), storePath), t.draw); err != nil {
			return err
		}
		t.truncated++
	}
	start := time.Now()
	cmd := t.env.Command("serve", "--config", d.ConfigPath, "--operator", d.OperatorConfigPath)
	gatherer, err := standin.StartProgram(cmd, func(line string) {
		if strings.Contains(line, storeDamageEvent) {
			t.damageReports.Add(1)
		}
	})
	d.Gatherer = gatherer
	if err != nil {
		return fmt.Errorf("restart after a kill: %w", err)
	}
	t.restart.Add(time.Since(start))
	t.addr.Store(&gatherer.Addr)
	return nil
}

// sendPosts sends posts sequentially as one client until the context ends.
func (t *crashTest) sendPosts(ctx context.Context, client int) {
	httpClient := newHTTPClient(2, crashClientTimeout)
	for n := 0; ctx.Err() == nil; n++ {
		t.posts.Add(1)
		post := &crashPost{
			test:   t,
			client: httpClient,
			key:    fmt.Sprintf("key-%d-%d", client, n),
			text:   fmt.Sprintf("%02x%06x", client, n),
		}
		post.run()
	}
}

func (t *crashTest) addFinding(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.findings = append(t.findings, fmt.Sprintf(format, args...))
}

func (t *crashTest) count(outcome string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes[outcome]++
}

// report records the results and returns the finding, if any.
func (t *crashTest) report(kills int) error {
	executedTwice := 0
	for _, n := range t.executed.executions {
		if n > 1 {
			executedTwice++
		}
	}
	t.env.Record.AddLatency("restart until ready", t.restart)
	t.env.Record.AddRow("Crash test",
		[]string{"kills", "files truncated", "damage reports", "posts", "executed", "executed twice", outcomeAnswered, outcomeRepeatAnswered,
			outcomeMayHaveRun, outcomeShed, "findings"},
		fmt.Sprint(kills), fmt.Sprint(t.truncated), fmt.Sprint(t.damageReports.Load()), fmt.Sprint(t.posts.Load()),
		fmt.Sprint(len(t.executed.executions)), fmt.Sprint(executedTwice), fmt.Sprint(t.outcomes[outcomeAnswered]),
		fmt.Sprint(t.outcomes[outcomeRepeatAnswered]), fmt.Sprint(t.outcomes[outcomeMayHaveRun]), fmt.Sprint(t.outcomes[outcomeShed]),
		fmt.Sprint(len(t.findings)))
	switch {
	case executedTwice > 0:
		return fmt.Errorf("%d posts were executed twice", executedTwice)
	case len(t.findings) > 0:
		return errors.New(t.findings[0])
	case t.outcomes[outcomeAnswered] < kills:
		return fmt.Errorf("only %d posts were answered over %d kills: too few for a test", t.outcomes[outcomeAnswered], kills)
	}
	return nil
}

// crashPost is one post of a crash test.
type crashPost struct {
	test   *crashTest
	client *http.Client
	key    string
	text   string

	unanswered bool // some attempt got no response
}

// run sends the post until it has a final response. It retries with the same idempotency key after an attempt without a
// response and after a response that allows a retry.
func (p *crashPost) run() {
	for attempt := 0; p.test.ctx.Err() == nil; attempt++ {
		status, body := p.send()
		if done := p.handleResponse(attempt, status, body); done {
			return
		}
		sleep(p.test.ctx, crashRetryInterval)
	}
}

// handleResponse checks a response and reports whether it is final.
func (p *crashPost) handleResponse(attempt, status int, body string) (done bool) {
	switch status {
	case http.StatusOK:
		if p.test.executed.count(p.text) == 0 {
			p.test.addFinding("post %s was answered and not executed", p.text)
		}
		p.test.count(outcomeAnswered)
		p.repeat(body)
		return true
	case http.StatusServiceUnavailable:
		if n := p.test.executed.count(p.text); n > 0 {
			p.test.addFinding("post %s was executed %d times and its retry called harmless (an attempt before got no response: %t)", p.text, n, p.unanswered)
		}
		p.test.count(outcomeShed)
		if attempt > crashMaxShed {
			p.test.count(outcomeGivenUp)
			return true
		}
	case http.StatusGatewayTimeout:
		p.test.count(outcomeMayHaveRun)
		return true
	case http.StatusConflict, noResponse: // the first attempt is still in flight, or the gatherer was killed
		p.unanswered = p.unanswered || status == noResponse
		if attempt > crashMaxAttempts {
			p.test.addFinding("post %s never got a final response", p.text)
			return true
		}
	default:
		p.test.addFinding("post %s got status %d: %s", p.text, status, body)
		return true
	}
	return false
}

// repeat sends an answered post again, like a client that has not received the response. A second response must equal the
// first.
func (p *crashPost) repeat(body string) {
	status, repeated := p.send()
	switch {
	case status != http.StatusOK:
	case repeated != body:
		p.test.addFinding("post %s was answered twice, differently", p.text)
	default:
		p.test.count(outcomeRepeatAnswered)
	}
}

// send sends the post once and returns the response's status and body, or noResponse.
func (p *crashPost) send() (status int, body string) {
	request := standin.Request{
		ID:             formatID(p.test.lastID.Add(1)),
		QueryType:      postQueryType,
		Customer:       customer,
		Timeout:        crashPostTimeout,
		Shards:         []int{len(p.key) % storeServers},
		Statement:      p.text,
		IdempotencyKey: p.key,
	}
	response, err := request.Send(p.test.ctx, p.client, *p.test.addr.Load())
	if err != nil {
		return noResponse, ""
	}
	return response.Status, string(response.Body)
}

// truncateRandomFile truncates a random file of a store at a random byte. The store has two directories of files.
func truncateRandomFile(dir string, draw func(n int) int) error {
	var files []string
	for _, subdirectory := range []string{"a", "b"} {
		matches, err := filepath.Glob(filepath.Join(dir, subdirectory, "*"))
		if err != nil {
			return err
		}
		files = append(files, matches...)
	}
	if len(files) == 0 {
		return fmt.Errorf("the store in %s has no files", dir)
	}
	name := files[draw(len(files))]
	info, err := os.Stat(name)
	if err != nil {
		return err
	}
	return os.Truncate(name, int64(draw(int(info.Size())+1)))
}
