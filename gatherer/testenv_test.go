package gatherer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"oxbowspan/internal/testing/standin"
)

// Package standin has the stand-ins for shard servers, the discovery service and clients.

// testTimeout limits how long a test waits for an event that should happen without further action.
const testTimeout = 20 * time.Second

// testSettings has one cell and eight segments, an idempotent type lookup and a type post that is not.
const testSettings = `{"classes":[
	{"name":"lookup","effect":"free","slo":1000.0,"hardLimit":2000.0,"lateWorth":0.3},
	{"name":"post","effect":"single_shot","slo":1000.0,"hardLimit":2000.0,"lateWorth":0.3}],
	"tenants":[{"name":"acme","quotaPerS":1000}],"membershipMode":"on_request","instances":1,"tick":5.0,
	"domain":{"positions":1,"slices":8,"reach":1,"perCall":4,"leastShare":[1.0,1.0],"wholeAt":[1.0,1.0]},
	"limits":{"attemptsCap":3,"cancel":true,"secondCopies":true,"dialTimeout":250.0,"idleClose":30000.0,
		"maxStreams":32,"retryAfter":true,"maxRetryAfter":1000},
	"feedback":{"how":"answers","names":["waiting","active"]},
	"guarantees":{"askWithin":10000,"stopSendingWithin":500}}`

// withoutTimeLimits changes a configuration so that no request and no dial reaches its time limit during a test, however slow the machine is.
func withoutTimeLimits(c *Config) {
	longer := strings.NewReplacer(`"hardLimit":2000.0`, `"hardLimit":600000`, `"dialTimeout":250.0`, `"dialTimeout":600000`)
	c.Settings = json.RawMessage(longer.Replace(testSettings))
}

// longDeadline is the header of a request whose deadline doesn't come during a test.
const longDeadline = "600000"

// builtProgram is the path of the program's binary, which TestMain builds with the race detector.
var builtProgram string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "oxbowspan")
		if err != nil {
			panic(err)
		}
		defer os.RemoveAll(dir)
		builtProgram = filepath.Join(dir, "oxbowspan")
		if out, err := exec.Command("go", "build", "-race", "-o", builtProgram, "oxbowspan/cmd/oxbowspan").CombinedOutput(); err != nil {
			fmt.Printf("%s\n%v\n", out, err)
			return 1
		}
		return m.Run()
	}())
}

// startShard starts a shard server that handles calls with respond, or answers them if that is nil. It is stopped when the
// test ends.
func startShard(t *testing.T, host string, respond func(*standin.ShardConn, standin.ShardCall)) *standin.ShardServer {
	t.Helper()
	s, err := standin.StartShardServer(host, respond, func(what string) { t.Error(what) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return s
}

// startDiscovery starts a discovery service that lists shard servers. It is stopped when the test ends.
func startDiscovery(t *testing.T, shards ...*standin.ShardServer) *standin.DiscoveryService {
	t.Helper()
	l, err := standin.StartDiscoveryService(shards...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Stop)
	return l
}

// program is a running process of the built program.
type program struct {
	t        *testing.T
	run      *standin.Program
	cmd      *exec.Cmd
	config   Config // content of its configuration file
	file     string
	addr     string
	logLines chan string // lines of its log
	exit     chan error
}

// startProgram starts the program with a discovery service and further arguments. Unless it is nil, edit changes the
// configuration first.
func startProgram(t *testing.T, l *standin.DiscoveryService, edit func(*Config), args ...string) *program {
	t.Helper()
	s := Config{Name: "n0", Listen: "127.0.0.1:0", Discovery: l.Addr(), Seed: "8c1f30d27a5be964",
		Limits: Limits{Cores: 1, MemoryMB: 192, Descriptors: 1024}, Settings: json.RawMessage(testSettings)}
	if edit != nil {
		edit(&s)
	}
	config := filepath.Join(t.TempDir(), "config.json")
	p := &program{t: t, config: s, file: config, cmd: exec.Command(builtProgram, append([]string{"serve", "--config", config}, args...)...)}
	p.configure()
	p.cmd.Env = append(os.Environ(), "PROXY_DISCOVERY="+l.Addr()) // as the platform sets it
	run, err := standin.StartProgram(p.cmd, func(line string) {
		if strings.Contains(line, "DATA RACE") || strings.Contains(line, "panic") {
			t.Errorf("the program logged %q", line)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(run.Kill)
	p.run, p.addr, p.logLines, p.exit = run, run.Addr, run.Lines, run.Exit
	return p
}

// configure writes the configuration file.
func (p *program) configure() {
	p.t.Helper()
	raw, err := json.Marshal(p.config)
	if err != nil {
		p.t.Fatal(err)
	}
	if err := os.WriteFile(p.file, raw, 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// awaitLogLine waits for a log line that contains all the words, and returns it. It skips other lines.
func (p *program) awaitLogLine(words ...string) string {
	p.t.Helper()
	timeout := time.After(testTimeout)
next:
	for {
		select {
		case line, ok := <-p.logLines:
			if !ok {
				p.t.Fatalf("the program ended without a line with %q", words)
			}
			for _, w := range words {
				if !strings.Contains(line, w) {
					continue next
				}
			}
			return line
		case <-timeout:
			p.t.Fatalf("no line with %q", words)
		}
	}
}

// get requests a path and returns the response.
func (p *program) get(path string) (status int, body string, err error) {
	res, err := http.Get("http://" + p.addr + path)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res.StatusCode, string(b), err
}

// terminate sends SIGTERM.
func (p *program) terminate() { p.cmd.Process.Signal(syscall.SIGTERM) }

// waitExit waits until the program ends and returns the error of its exit.
func (p *program) waitExit() error {
	p.t.Helper()
	select {
	case err := <-p.exit:
		return err
	case <-time.After(testTimeout):
		p.t.Fatal("the program does not end")
		return nil
	}
}

// lastID is the last id of a request of newRequest.
var lastID struct {
	sync.Mutex
	n uint64
}

// newRequest returns a request with one call per shard, all of equal weight, and the request's id.
func newRequest(ctx context.Context, addr, queryType string, shards ...int) (*http.Request, string) {
	lastID.Lock()
	lastID.n++
	id := fmt.Sprintf("%016x", lastID.n)
	lastID.Unlock()
	var b strings.Builder
	for i, shard := range shards {
		fmt.Fprintf(&b, `%s{"tablet":%d,"fraction":%g}`, strings.Repeat(",", min(i, 1)), shard, 1/float64(len(shards)))
	}
	text := `{"tablets":[` + b.String() + `],"statement":"c41e77d0"}`
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/"+queryType+"?sid=7f3a", strings.NewReader(text))
	if err != nil {
		panic(err)
	}
	for name, v := range map[string]string{"Req-Id": id, "Req-Kind": queryType, "Req-Owner": "acme", "Req-Deadline-Ms": "1500"} {
		r.Header.Set(name, v)
	}
	return r, id
}

// sendRequest sends a request of newRequest and returns the response and the request's id.
func (p *program) sendRequest(queryType string, shards ...int) (status int, body, id string) {
	p.t.Helper()
	r, id := newRequest(context.Background(), p.addr, queryType, shards...)
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		p.t.Errorf("request %s: %v", id, err)
		return 0, "", id
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		p.t.Errorf("request %s: %v", id, err)
	}
	return res.StatusCode, string(b), id
}

// completeAnswer returns the body of the response to a request whose calls were all answered.
func completeAnswer(shards ...int) string {
	var b strings.Builder
	for i, shard := range shards {
		fmt.Fprintf(&b, `%s{"tablet":%d,"cell":"value of c41e77d0"}`, strings.Repeat(",", min(i, 1)), shard)
	}
	return `{"full":true,"pieces":[` + b.String() + `]}`
}

// await receives from a channel until a value satisfies want, and returns that value.
func await[T any](t *testing.T, c <-chan T, want func(T) bool) T {
	t.Helper()
	timeout := time.After(testTimeout)
	for {
		select {
		case got := <-c:
			if want(got) {
				return got
			}
		case <-timeout:
			t.Fatal("timeout")
		}
	}
}

// newServeCommand returns a command that runs another process with the configuration of p and an operator's file.
func newServeCommand(p *program, operator string) *exec.Cmd {
	c := exec.Command(builtProgram, "serve", "--config", p.file, "--operator", operator)
	c.Env = p.cmd.Env
	return c
}
