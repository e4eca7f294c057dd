package gatherer

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"oxbowspan/internal/admin"
	"oxbowspan/internal/discovery"
	"oxbowspan/internal/testing/standin"
)

// levelsConfig is an operator's file that sheds posts when a fifth of the servers is lost, and lookups when 90% are.
const levelsConfig = `[levels]
socket = admin.sock
smooth = 0s
enter_for = 100ms
exit_for = 300ms
ramp = 0s
ups = 60
[level trimmed]
enter = lost 0.2
exit = lost 0.1
share = post 0
retry_after = 400ms
[level closed]
enter = lost 0.9
exit = lost 0.7
share = lookup 0
`

// writeLevelsFile writes an operator's file. It returns its path and that of the admin socket.
func writeLevelsFile(t *testing.T, text string) (file, socket string) {
	t.Helper()
	dir, err := os.MkdirTemp("", "levels") // not t.TempDir: the length of a Unix socket path is limited
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	file = filepath.Join(dir, "operator.ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file, filepath.Join(dir, "admin.sock")
}

// queryState requests the state that is shown to operators.
func queryState(t *testing.T, c *admin.Client) admin.State {
	t.Helper()
	a, err := c.Do(admin.Request{Verb: admin.Show})
	if err != nil || a.State == nil {
		t.Fatalf("show: %+v, %v", a, err)
	}
	return *a.State
}

// awaitLevel waits until the gatherer is at the named level and returns its state.
func awaitLevel(t *testing.T, c *admin.Client, name string) admin.State {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; {
		if s := queryState(t, c); s.Level == name {
			return s
		} else if time.Now().After(end) {
			t.Fatalf("timeout: not at level %s: %+v", name, s)
		}
	}
}

// degradationEnv is a program with degradation levels, its four servers, and a connection to its admin socket.
type degradationEnv struct {
	t            *testing.T
	file, socket string
	shards       []*standin.ShardServer
	list         *standin.DiscoveryService
	program      *program
	admin        *admin.Client
}

// startDegradationEnv starts a program with levels and four servers that are spread over the given number of cells, and
// waits until it lists all of them.
func startDegradationEnv(t *testing.T, levels string, cells int, edit func(*Config)) *degradationEnv {
	t.Helper()
	e := &degradationEnv{t: t}
	for i, host := range []string{"s-a", "s-b", "s-c", "s-d"} {
		shard := startShard(t, host, nil)
		shard.Cell = i % cells
		e.shards = append(e.shards, shard)
	}
	e.list = startDiscovery(t, e.shards...)
	e.file, e.socket = writeLevelsFile(t, levels)
	e.program = startProgram(t, e.list, edit, "--operator", e.file)
	e.admin = e.dial()
	awaitLevel(t, e.admin, "full")
	for end := time.Now().Add(testTimeout); len(queryState(t, e.admin).Servers) < len(e.shards); {
		if time.Now().After(end) {
			t.Fatal("timeout: not all servers are known")
		}
	}
	return e
}

// dial opens another connection to the admin socket.
func (e *degradationEnv) dial() *admin.Client {
	e.t.Helper()
	c, err := admin.Dial(e.socket)
	if err != nil {
		e.t.Fatal(err)
	}
	e.t.Cleanup(c.Close)
	return c
}

// expectStatus sends a request with calls to shards 1 and 5, checks its status and returns its Retry-After.
func (e *degradationEnv) expectStatus(id, queryType string, status int) string {
	e.t.Helper()
	return e.expectStatusFrom([]int{1, 5}, id, queryType, status)
}

// expectStatusFrom is expectStatus with other shards.
func (e *degradationEnv) expectStatusFrom(shards []int, id, queryType string, status int) string {
	e.t.Helper()
	request := standin.Request{ID: id, QueryType: queryType, Customer: "acme", Timeout: 1500 * time.Millisecond,
		Shards: shards, Statement: "c41e77d0"}
	r, err := request.Send(e.t.Context(), &http.Client{Timeout: testTimeout}, e.program.addr)
	if err != nil {
		e.t.Fatal(err)
	}
	if r.Status != status {
		e.t.Errorf("%s from %v: %d, want %d", queryType, shards, r.Status, status)
	}
	return r.RetryAfter
}

// removeServer removes a server from the list.
func (e *degradationEnv) removeServer(i int) {
	removed := e.shards[i].Entry()
	removed.Health = discovery.Removed
	e.list.Update(removed)
}

// do sends a request to the admin socket.
func (e *degradationEnv) do(request admin.Request) admin.Response {
	e.t.Helper()
	a, err := e.admin.Do(request)
	if err != nil {
		e.t.Error(err)
	}
	return a
}

// With a quarter of the servers lost, posts are shed with a Retry-After and lookups are still served. The change of level is
// logged and shown to operators. Service recovers when the server returns, which is published to a watching operator.
func TestDegradationShedsLowPriorityFirst(t *testing.T) {
	e := startDegradationEnv(t, levelsConfig, 1, nil)
	if s, err := os.Stat(e.socket); err != nil || s.Mode().Perm() != 0o600 {
		t.Errorf("mode of the socket: %v, %v", s.Mode(), err)
	}
	e.expectStatus("a1", "lookup", 200)
	e.expectStatus("a2", "post", 200)
	e.removeServer(3)
	line := e.program.awaitLogLine("event=level ", "to=trimmed")
	if !strings.Contains(line, "scope=all") || !strings.Contains(line, "from=full") ||
		!strings.Contains(line, "lost 0.25") {
		t.Errorf("log line %q", line)
	}
	if after := e.expectStatus("b1", "post", 503); !strings.HasPrefix(after, "0.") {
		t.Errorf("Retry-After %q", after)
	}
	e.expectStatus("b2", "lookup", 200)
	s := awaitLevel(t, e.admin, "trimmed")
	if len(s.Servers) != 3 || len(s.Changes) != 1 || s.Types[1].Name != "post" || s.Types[1].Share != 0 ||
		len(s.Types[1].Customers) != 1 || s.Types[1].Customers[0].Shed != 1 {
		t.Errorf("state %+v", s)
	}
	explanation := strings.Join(e.do(admin.Request{Verb: admin.Explain}).Lines, "\n")
	if !strings.Contains(explanation, "trimmed: lost 0.25, enters at 0.2, left under 0.1: enters") {
		t.Errorf("explanation %q", explanation)
	}
	watcher := e.dial()
	if err := watcher.Watch(); err != nil {
		t.Fatal(err)
	}
	e.list.Update(e.shards[3].Entry())
	for end := time.Now().Add(testTimeout); ; {
		s, err := watcher.Next()
		if err != nil || time.Now().After(end) {
			t.Fatalf("watched state %+v, %v", s, err)
		}
		if s.Level == "full" {
			break
		}
	}
	e.expectStatus("c1", "post", 200)
	// Pinning, losing the server again, reloading the levels and draining must also work with a watcher connected.
	e.checkPin()
	e.removeServer(3)
	awaitLevel(t, e.admin, "trimmed")
	e.checkReloadAndDrain()
}

func TestLevelPin(t *testing.T) {
	startDegradationEnv(t, levelsConfig, 1, nil).checkPin()
}

// checkPin pins a program that is at full service to a level, checks that it sheds requests, and unpins it.
func (e *degradationEnv) checkPin() {
	e.t.Helper()
	if _, err := e.admin.Do(admin.Request{Verb: admin.Pin, Level: "nowhere", Seconds: 1}); err == nil {
		e.t.Error("pinned to an unknown level")
	}
	e.do(admin.Request{Verb: admin.Pin, Level: "closed", Seconds: 3600})
	awaitLevel(e.t, e.admin, "closed")
	e.expectStatus("d1", "lookup", 503)
	e.do(admin.Request{Verb: admin.Unpin})
	awaitLevel(e.t, e.admin, "full")
	e.expectStatus("d2", "lookup", 200)
}

// A reload replaces the configuration of the current level. When the program ends the socket is removed.
func TestLevelsReload(t *testing.T) {
	e := startDegradationEnv(t, levelsConfig, 1, nil)
	e.removeServer(3)
	awaitLevel(t, e.admin, "trimmed")
	e.checkReloadAndDrain()
}

// checkReloadAndDrain reloads the levels of a program that is at level trimmed, and drains the program.
func (e *degradationEnv) checkReloadAndDrain() {
	e.t.Helper()
	changed := strings.Replace(levelsConfig, "share = post 0", "share = post 1", 1)
	if err := os.WriteFile(e.file, []byte(changed), 0o600); err != nil {
		e.t.Fatal(err)
	}
	e.program.cmd.Process.Signal(syscall.SIGHUP)
	e.program.awaitLogLine("event=reload ", "needs_restart=none")
	e.expectStatus("e1", "post", 200)
	awaitLevel(e.t, e.admin, "trimmed")
	if err := e.program.run.Drain(testTimeout); err != nil {
		e.t.Error(err)
	}
	if _, err := os.Stat(e.socket); err == nil {
		e.t.Error("the socket still exists")
	}
}

// Requests for a segment that has lost all replicas are shed promptly, and those for other segments are served.
func TestLostSegmentDoesNotDegradeOthers(t *testing.T) {
	const levels = `[levels]
socket = admin.sock
smooth = 0s
enter_for = 100ms
[level gone]
enter = segment_lost 0.9
share = lookup 0
`
	e := startDegradationEnv(t, levels, 4, func(c *Config) {
		c.Settings = []byte(strings.Replace(testSettings, `"positions":1,"slices":8`, `"positions":4,"slices":4`, 1))
	})
	e.expectStatusFrom([]int{2}, "a1", "lookup", 200)
	e.removeServer(2)
	e.program.awaitLogLine("event=level ", "scope=segment-2", "to=gone")
	began := time.Now()
	e.expectStatusFrom([]int{2}, "b1", "lookup", 503)
	if took := time.Since(began); took > time.Second {
		t.Errorf("a request for the lost segment took %s", took)
	}
	for i, segment := range []int{0, 1, 3} {
		e.expectStatusFrom([]int{segment}, []string{"c1", "c2", "c3"}[i], "lookup", 200)
	}
	if s := queryState(t, e.admin); s.Level != "full" || len(s.Segments) != 1 || s.Segments[0].Segment != 2 {
		t.Errorf("state %+v", s)
	}
}
