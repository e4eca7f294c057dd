package cli

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"oxbowspan/internal/admin"
)

// testSocketDir returns a temporary directory whose path is short enough for a UNIX socket.
func testSocketDir(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "cli")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return dir
}

// listenAsGatherer listens like a gatherer at the level trimmed. It rejects pins that do not last 120 s.
func listenAsGatherer(t *testing.T, path string) *admin.Socket {
	t.Helper()
	s, err := admin.Listen(path, func(request admin.Request) bool {
		response := admin.Response{Lines: []string{string(request.Verb) + " " + request.Level}}
		if request.Verb == admin.Show {
			response.State = &admin.State{Level: "trimmed",
				Signals: []admin.Signal{{Name: "lost", Value: 0.25, Known: true}, {Name: "cold"}},
				Types:   []admin.QueryType{{Name: "report", Share: 0.5, Customers: []admin.Customer{{Name: "acme", Served: 3, Shed: 2}}}}}
		}
		if request.Verb == admin.Pin && request.Seconds != 120 {
			response.Error = "the pin does not last 120 s"
		}
		if request.Reply != nil {
			request.Reply <- response
		}
		return true
	})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestLevelCommands(t *testing.T) {
	t.Setenv("OXBOWSPAN_SOCKET", "")
	socket := filepath.Join(testSocketDir(t), "s")
	gatherer := listenAsGatherer(t, socket)
	for _, c := range []struct {
		args string
		code int
		want string
	}{
		{"level show --socket " + socket, 0, "level=trimmed"},
		{"level show --socket " + socket, 0, "type report share 0.50 customer acme served 3 shed 2"},
		{"level explain --socket " + socket, 0, "explain"},
		{"level pin closed --for 2m --socket " + socket, 0, "pin closed"},
		{"level pin closed --socket " + socket, exitFailure, "the pin does not last 120 s"},
		{"level unpin --socket " + socket, 0, "unpin"},
		{"level show", exitFailure, "no socket"},
		{"watch --plain", exitFailure, "no socket"},
	} {
		expectRun(t, c.code, c.want, strings.Fields(c.args)...)
	}
	gatherer.Close()
	expectRun(t, exitFailure, "no such file", "level", "show", "--socket", socket)
}

// recording returns a recording of 50 s with a record every half second. A quarter of the capacity is lost from 10 s to 20 s.
func recording() string {
	var b strings.Builder
	startedAt := time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)
	for i := range 100 {
		lost := 0.0
		if i >= 20 && i < 40 {
			lost = 0.25
		}
		at := startedAt.Add(time.Duration(i) * 500 * time.Millisecond).Format(time.RFC3339Nano)
		fmt.Fprintf(&b, `{"at":%q,"signals":{"lost":%g}}`+"\n", at, lost)
	}
	return b.String()
}

func TestLevelReplay(t *testing.T) {
	dir := t.TempDir()
	operator := writeFile(t, filepath.Join(dir, "o.ini"),
		"[levels]\nsmooth = 0s\n[level trimmed]\nenter = lost 0.2\nexit = lost 0.1\nshare = report 0\n")
	for name, c := range map[string]struct {
		record string
		code   int
		want   []string
	}{
		"quarter lost":   {recording(), 0, []string{"full > trimmed: lost 0.25 >= 0.2", "trimmed > full", "2 changes in 50 s", "▁"}},
		"malformed line": {"nonsense\n", exitFailure, []string{"line 1 is not a record"}},
		"unknown signal": {`{"signals":{"weather":1}}` + "\n", exitFailure, []string{`"weather" is no signal`}},
		"empty":          {"", exitFailure, []string{"is empty"}},
	} {
		t.Run(name, func(t *testing.T) {
			record := writeFile(t, filepath.Join(dir, "r.txt"), c.record)
			for _, want := range c.want {
				expectRun(t, c.code, want, "level", "replay", record, "--operator", operator)
			}
		})
	}
}
