package operatorconfig

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const keyFile = "k1 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\n"

const validFile = `# comment
[merging]
memory = 2MiB
cursor_keys = cursor.keys
cursor_life = 90s

[schema arrears/1]
columns = account:text due:date amount:money(3) bills:int+ ; comment
account = account

[merge report]
schema = arrears/1
kinds = ranked paged aggregated
order = due amount
figures = sum(amount) p95(bills)
limit = 50
`

// load loads an operator's file with this text, with a key file cursor.keys in the same directory.
func load(t *testing.T, text string) (*File, error) {
	t.Helper()
	dir := t.TempDir()
	for name, text := range map[string]string{"operator.ini": text, "cursor.keys": keyFile} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return Load(filepath.Join(dir, "operator.ini"))
}

func TestLoadValidFile(t *testing.T) {
	f, err := load(t, validFile)
	if err != nil {
		t.Fatal(err)
	}
	m := f.Merging
	a := m.Types["report"]
	if m.MaxBytes != 2<<20 || m.CursorLifetime != 90*time.Second || m.MaxOpenMerges != 1000 || m.Keys == nil || a == nil {
		t.Fatalf("loaded %+v", m)
	}
	if a.MaxRows != 50 || len(a.Orders) != 2 || a.Schema.Columns[2].Scale != 3 || !a.Schema.Columns[3].Unsigned || a.Schema.Account != 0 {
		t.Errorf("loaded %+v of %+v", a, a.Schema)
	}
}

func TestLoadEmptyFile(t *testing.T) {
	f, err := load(t, "")
	if err != nil || f.Merging != nil || f.Connections != nil || f.Memory != nil || f.Store != nil || f.Levels != nil || f.Fleet != nil {
		t.Errorf("loaded %+v, %v", f, err)
	}
}

func TestLoadDeployFile(t *testing.T) {
	text, err := os.ReadFile("../../deploy/operator.ini")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := load(t, string(text)); err != nil {
		t.Error(err)
	}
}

// TestLoadReportsAllProblemsWithLines checks that all problems are reported at once, in the order of their lines.
func TestLoadReportsAllProblemsWithLines(t *testing.T) {
	text := `stray = 1
[merging]
memory = 2 pounds
rows = 7
cursor_life = soon
cursr_keys = x
rows = 500
[schema arrears/1]
columns = account:text due:day amount money(99):x
account = account
[merge report]
schema = arrears/2
kinds = sorted
limit = 0
nonsense
[merge lookup]
schema = arrears/3
kinds = paged
[merg x]
`
	_, err := load(t, text)
	var f *ConfigError
	if !errors.As(err, &f) {
		t.Fatalf("got %v, want a ConfigError", err)
	}
	for _, want := range []string{`:1: "stray" stands before any section`, `:3: [merging] memory: "2 pounds" is not a whole number`,
		`:5: [merging] cursor_life: "soon" is not a time`,
		`:6: [merging] cursr_keys: is not known here`, `:7: [merging] rows stands in line 4 already`,
		`:9: [schema arrears/1] columns: column "due" is of unknown kind`, `:9: [schema arrears/1] columns: column "amount" is not NAME:KIND`,
		`:12: [merge report] schema: there is no section [schema arrears/2]`, `:13: [merge report] kinds: "sorted" is not known`,
		`:14: [merge report] limit: 0 is not from 1 to`, `:15: "nonsense" is neither a section nor NAME = VALUE`,
		`:2: [merging] cursor_keys: is missing`, `:19: section [merg x] is not known`} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is missing in\n%v", want, err)
		}
	}
	last := 0
	for _, x := range f.Problems {
		if x.Line < last {
			t.Errorf("line %d is reported after line %d", x.Line, last)
		}
		last = x.Line
	}
}

// expectProblem checks that a file with this text is rejected and that the error contains want.
func expectProblem(t *testing.T, text, want string) {
	t.Helper()
	if _, err := load(t, text); err == nil || !strings.Contains(err.Error(), want) {
		t.Errorf("got %v, want %q in it", err, want)
	}
}

func TestLoadRejectsSingleProblems(t *testing.T) {
	for name, c := range map[string]struct{ from, to, want string }{
		"no such key file": {"= cursor.keys", "= missing.keys", ":4: [merging] cursor_keys: "},
		"no section for all": {"[merging]", "[merge other]\nschema = arrears/1\nkinds = ranked\norder = due\n" +
			"[schema x]\ncolumns = a:text\naccount = a", "needs a section [merging]"},
		"no account":             {"account = account", "account = owner", "account's column"},
		"an account of numbers":  {"account = account", "account = bills", "account's column"},
		"a sign on a text":       {"account:text", "account:text+", "no sign to rule out"},
		"no order":               {"order = due amount", "", "lists need columns"},
		"order by no column":     {"order = due", "order = owner", `"owner" is no column`},
		"a figure of a text":     {"sum(amount)", "sum(account)", "needs a column of numbers"},
		"an unknown figure":      {"p95(bills)", "p0(bills)", "is not known"},
		"a negative limit":       {"limit = 50", "limit = -1", ":16: [merge report] limit"},
		"a limit past an int64":  {"limit = 50", "limit = 99999999999999999999", "is not a whole number"},
		"memory past all bounds": {"2MiB", "9223372036854775807GiB", "is not from"},
		"a section left open":    {"[merge report]", "[merge report", "has no ]"},
	} {
		t.Run(name, func(t *testing.T) { expectProblem(t, strings.Replace(validFile, c.from, c.to, 1), c.want) })
	}
}

func TestConnectionsAndMemory(t *testing.T) {
	const rates = "[connections]\nhead_rate = 200\nbody_rate = 2000\nanswer_rate = 4KiB\ngrace = 2s\nkeep_alive = 30s\n" +
		"send_buffer = 64KiB\ncrowd = off\n"
	want := Connections{ReleaseIdle: true, MinHeaderRate: 200, MinBodyRate: 2000, MinResponseRate: 4096, RateGrace: 2 * time.Second,
		KeepAlive: 30 * time.Second, SendBuffer: 64 << 10, OneShotCloseThreshold: UnlimitedIdle}
	withIdle := want
	withIdle.IdleTimeout, withIdle.MaxActive = 10*time.Minute, 300
	for name, c := range map[string]struct {
		lines string
		want  Connections
	}{
		"idle and awake left out": {"", want},
		"idle and awake given":    {"idle = 10m\nawake = 300\n", withIdle},
	} {
		t.Run(name, func(t *testing.T) {
			f, err := load(t, rates+c.lines+"[memory]\nlimit = 32MiB\nreport = 10s\n")
			if err != nil {
				t.Fatal(err)
			}
			if *f.Connections != c.want {
				t.Errorf("loaded %+v, want %+v", *f.Connections, c.want)
			}
			if want := (Memory{32 << 20, 10 * time.Second}); *f.Memory != want {
				t.Errorf("loaded %+v, want %+v", *f.Memory, want)
			}
		})
	}
	const invalid = "[memory]\nlimit = 1KiB\nreport = never\nmost = 3\n[connections]\ngrace = 1h\nhead_rate = 0\npark = perhaps\nidle = 1ms\n"
	for _, position := range []string{":2: [memory] limit", ":3: [memory] report", ":4: [memory] most", ":6: [connections] grace",
		":7: [connections] head_rate", ":8: [connections] park", ":9: [connections] idle"} {
		t.Run(position, func(t *testing.T) { expectProblem(t, invalid, position) })
	}
}

func TestStore(t *testing.T) {
	f, err := load(t, "[store]\npath = mirrors\nsize = 2MiB\nlinger = 3ms\nslow = 4ms\nkeep = 5s\nsearches = 60\nanswers = 70KiB\nkey_header = Key\n")
	if err != nil {
		t.Fatal(err)
	}
	want := Store{Directory: filepath.Join(filepath.Dir(f.Path), "mirrors"), MaxMirrorBytes: 2 << 20, CommitDelay: 3 * time.Millisecond,
		WriteTimeout: 4 * time.Millisecond, Retention: 5 * time.Second, MaxOutcomes: 60, MaxAnswerBytes: 70 << 10, KeyHeader: "Key"}
	if *f.Store != want {
		t.Errorf("loaded %+v, want %+v", *f.Store, want)
	}
	for name, c := range map[string]struct{ text, want string }{
		"no path":    {"[store]\n", ":1: [store] path: is missing"},
		"bad header": {"[store]\npath = x\nkey_header = a b\n", `:3: [store] key_header: "a b" is no header's name`},
	} {
		t.Run(name, func(t *testing.T) { expectProblem(t, c.text, c.want) })
	}
}
