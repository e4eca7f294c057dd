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
	"oxbowspan/internal/testing/standin"
)

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

func writeLevelsFile(t *testing.T, text string) (file, socket string) {
	t.Helper()
	dir, err := os.MkdirTemp("", "levels") // the path of a socket must be short
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

func queryState(t *testing.T, c *admin.Client) admin.State {
	t.Helper()
	a, err := c.Do(admin.Request{Verb: admin.Show})
	if err != nil || a.State == nil {
		t.Fatalf("show: %+v, %v", a, err)
	}
	return *a.State
}

// awaitLevel waits until a level applies.
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

// With a quarter of the servers lost posts are shed with a Retry-After and lookups are served, which is logged and shown to
// operators; and service recovers, also after a reload of the levels and a pin.
func TestDegradationShedsLowPriorityFirst(t *testing.T) {
	var shards []*standin.ShardServer
	for _, host := range []string{"s-a", "s-b", "s-c", "s-d"} {
		shards = append(shards, startShard(t, host, nil))
	}
	l := startList(t, shards...)
	file, socket := writeLevelsFile(t, levelsConfig)
	p := start(t, l, nil, "--operator", file)
	if s, err := os.Stat(socket); err != nil || s.Mode().Perm() != 0o600 {
		t.Errorf("mode of the socket: %v, %v", s.Mode(), err)
	}
	c, err := admin.Dial(socket)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	awaitLevel(t, c, "full")
	client := &http.Client{Timeout: testTimeout}
	ask := func(id, kind string) (int, string) {
		t.Helper()
		s := standin.Request{ID: id, QueryType: kind, Customer: "acme",
			Timeout: 1500 * time.Millisecond, Shards: []int{1, 5}, Statement: "c41e77d0"}
		r, err := s.Send(t.Context(), client, p.addr)
		if err != nil {
			t.Fatal(err)
		}
		return r.Status, r.RetryAfter
	}
	want := func(id, kind string, status int) string {
		t.Helper()
		got, after := ask(id, kind)
		if got != status {
			t.Errorf("%s: %d, want %d", kind, got, status)
		}
		return after
	}
	want("a1", "lookup", 200)
	want("a2", "post", 200)
	gone := shards[3].Entry()
	gone.Health = "removed"
	l.Update(gone)
	line := p.line("event=level ", "to=trimmed")
	if !strings.Contains(line, "scope=all") || !strings.Contains(line, "from=full") ||
		!strings.Contains(line, "lost 0.25") {
		t.Errorf("log line %q", line)
	}
	if after := want("b1", "post", 503); after != "0.5" && after != "0.4" && !strings.HasPrefix(after, "0.") {
		t.Errorf("Retry-After %q", after)
	}
	want("b2", "lookup", 200)
	s := awaitLevel(t, c, "trimmed")
	if len(s.Servers) != 3 || len(s.Changes) != 1 || s.Types[1].Name != "post" || s.Types[1].Share != 0 ||
		len(s.Types[1].Customers) != 1 || s.Types[1].Customers[0].Shed != 1 {
		t.Errorf("state %+v", s)
	}
	if a, err := c.Do(admin.Request{Verb: admin.Explain}); err != nil ||
		!strings.Contains(strings.Join(a.Lines, "\n"), "trimmed: lost 0.25, enters at 0.2, left under 0.1: enters") {
		t.Errorf("explanation %v, %v", a.Lines, err)
	}
	// An operator who watches sees it recover.
	w, err := admin.Dial(socket)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	if err := w.Watch(); err != nil {
		t.Fatal(err)
	}
	l.Update(shards[3].Entry())
	for end := time.Now().Add(testTimeout); ; {
		s, err := w.Next()
		if err != nil || time.Now().After(end) {
			t.Fatalf("watched state %+v, %v", s, err)
		}
		if s.Level == "full" {
			break
		}
	}
	want("c1", "post", 200)
	// A pin to an unknown level, a pin, and its end.
	if _, err := c.Do(admin.Request{Verb: admin.Pin, Level: "nowhere", Seconds: 1}); err == nil {
		t.Error("pinned to an unknown level")
	}
	if _, err := c.Do(admin.Request{Verb: admin.Pin, Level: "closed", Seconds: 3600}); err != nil {
		t.Error(err)
	}
	awaitLevel(t, c, "closed")
	want("d1", "lookup", 503)
	if _, err := c.Do(admin.Request{Verb: admin.Unpin}); err != nil {
		t.Error(err)
	}
	awaitLevel(t, c, "full")
	want("d2", "lookup", 200)
	// A reload changes the levels while one applies.
	l.Update(gone)
	awaitLevel(t, c, "trimmed")
	if err := os.WriteFile(file, []byte(strings.Replace(levelsConfig, "share = post 0", "share = post 1", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	p.cmd.Process.Signal(syscall.SIGHUP)
	p.line("event=reload ", "needs_restart=none")
	want("e1", "post", 200)
	awaitLevel(t, c, "trimmed")
	if err := p.run.Drain(testTimeout); err != nil {
		t.Error(err)
	}
	if _, err := os.Stat(socket); err == nil {
		t.Error("the socket still exists")
	}
}

// Requests for a segment without replicas are shed, others are served.
func TestLostSegmentDoesNotDegradeOthers(t *testing.T) {
	var shards []*standin.ShardServer
	for cell, host := range []string{"s-a", "s-b", "s-c", "s-d"} {
		s := startShard(t, host, nil)
		s.Cell = cell
		shards = append(shards, s)
	}
	l := startList(t, shards...)
	file, socket := writeLevelsFile(t, "[levels]\nsocket = admin.sock\nsmooth = 0s\nenter_for = 100ms\n[level gone]\nenter = segment_lost 0.9\nshare = lookup 0\n")
	p := start(t, l, func(s *Config) {
		s.Settings = []byte(strings.Replace(testSettings, `"positions":1,"slices":8`, `"positions":4,"slices":4`, 1))
	}, "--operator", file)
	client := &http.Client{Timeout: testTimeout}
	ask := func(id string, segment int) int {
		s := standin.Request{ID: id, QueryType: "lookup", Customer: "acme",
			Timeout: 1500 * time.Millisecond, Shards: []int{segment}, Statement: "c41e77d0"}
		r, err := s.Send(t.Context(), client, p.addr)
		if err != nil {
			t.Fatal(err)
		}
		return r.Status
	}
	c, err := admin.Dial(socket)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	awaitLevel(t, c, "full")
	for s := queryState(t, c); len(s.Servers) < 4; s = queryState(t, c) {
	}
	if status := ask("a1", 2); status != 200 {
		t.Fatalf("with all servers: %d", status)
	}
	gone := shards[2].Entry()
	gone.Health = "removed"
	l.Update(gone)
	p.line("event=level ", "scope=segment-2", "to=gone")
	began := time.Now()
	if status := ask("b1", 2); status != 503 || time.Since(began) > time.Second {
		t.Errorf("the lost segment: %d after %s", status, time.Since(began))
	}
	for i, segment := range []int{0, 1, 3} {
		if status := ask([]string{"c1", "c2", "c3"}[i], segment); status != 200 {
			t.Errorf("segment %d: %d", segment, status)
		}
	}
	if s := queryState(t, c); s.Level != "full" || len(s.Segments) != 1 || s.Segments[0].Segment != 2 {
		t.Errorf("state %+v", s)
	}
}
