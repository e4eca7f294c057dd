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

func TestLevelCommands(t *testing.T) {
	t.Setenv("OXBOWSPAN_SOCKET", "")
	dir, err := os.MkdirTemp("", "cli")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	socket := filepath.Join(dir, "s")
	listening, err := admin.Listen(socket, func(q admin.Request) bool {
		a := admin.Response{Lines: []string{string(q.Verb) + " " + q.Level}}
		if q.Verb == admin.Show {
			a.State = &admin.State{Level: "trimmed", Signals: []admin.Signal{{Name: "lost", Value: 0.25, Known: true}, {Name: "cold"}},
				Types: []admin.QueryType{{Name: "report", Share: 0.5, Customers: []admin.Customer{{Name: "acme", Served: 3, Shed: 2}}}}}
		}
		if q.Verb == admin.Pin && q.Seconds != 120 {
			a.Error = "for how long?"
		}
		if q.Reply != nil {
			q.Reply <- a
		}
		return true
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := admin.Listen(socket, nil); err == nil || !strings.Contains(err.Error(), "another process") {
		t.Errorf("a second one listens: %v", err)
	}
	want := func(code int, words string, args ...string) {
		t.Helper()
		if got, out := run(args...); got != code || !strings.Contains(out, words) {
			t.Errorf("%v: exit code %d, want %d and %q in\n%s", args, got, code, words, out)
		}
	}
	want(0, "level=trimmed", "level", "show", "--socket", socket)
	want(0, "type report share 0.50 customer acme served 3 shed 2", "level", "show", "--socket", socket)
	want(0, "explain", "level", "explain", "--socket", socket)
	want(0, "pin closed", "level", "pin", "closed", "--for", "2m", "--socket", socket)
	want(exitFailure, "for how long?", "level", "pin", "closed", "--socket", socket)
	want(0, "unpin", "level", "unpin", "--socket", socket)
	want(exitFailure, "no socket", "level", "show")
	want(exitFailure, "no socket", "watch", "--plain")
	listening.Close()
	want(exitFailure, "no such file", "level", "show", "--socket", socket)
	// What a killed process left is taken over; what is no socket is not.
	if err := os.WriteFile(filepath.Join(dir, "file"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := admin.Listen(filepath.Join(dir, "file"), nil); err == nil {
		t.Error("a file was taken for a socket")
	}
}

func TestLevelReplay(t *testing.T) {
	dir := t.TempDir()
	operator, record := filepath.Join(dir, "o.ini"), filepath.Join(dir, "r.txt")
	os.WriteFile(operator, []byte("[levels]\nsmooth = 0s\n[level trimmed]\nenter = lost 0.2\nexit = lost 0.1\nshare = report 0\n"), 0o600)
	var b strings.Builder
	began := time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)
	for i := range 100 { // a line every half second: a quarter lost from 10 s to 20 s
		lost := 0.0
		if i >= 20 && i < 40 {
			lost = 0.25
		}
		fmt.Fprintf(&b, `{"at":%q,"signals":{"lost":%g}}`+"\n", began.Add(time.Duration(i)*500*time.Millisecond).Format(time.RFC3339Nano), lost)
	}
	os.WriteFile(record, []byte(b.String()), 0o600)
	code, out := run("level", "replay", record, "--operator", operator)
	if code != 0 || !strings.Contains(out, "full > trimmed: lost 0.25 >= 0.2") || !strings.Contains(out, "trimmed > full") || !strings.Contains(out, "2 changes in 50 s") || !strings.Contains(out, "▁") {
		t.Errorf("exit code %d:\n%s", code, out)
	}
	for text, want := range map[string]string{"nonsense\n": "line 1 is not of a record", `{"signals":{"weather":1}}` + "\n": "is no signal", "": "is empty"} {
		os.WriteFile(record, []byte(text), 0o600)
		if code, out := run("level", "replay", record, "--operator", operator); code != exitFailure || !strings.Contains(out, want) {
			t.Errorf("%q: %d, %s", text, code, out)
		}
	}
}
