package cli

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestExitCodesAndWords(t *testing.T) {
	t.Setenv("PROXY_CONFIG", "")
	broken := filepath.Join(t.TempDir(), "broken.json")
	if err := os.WriteFile(broken, []byte(`{"listen":`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args     string
		code     int
		out, err string
	}{
		{"", exitUsage, "", "no command was given"},
		{"sreve", exitUsage, "", `unknown command "sreve"`},
		{"serve --lisen x", exitUsage, "", "unknown flag: --lisen"},
		{"check more", exitUsage, "", `unexpected argument "more"`},
		{"check", exitBad, "", "no configuration: give --config or set PROXY_CONFIG"},
		{"serve", exitBad, "", "no configuration: give --config or set PROXY_CONFIG"},
		{"check --config " + broken, exitBad, "", "broken.json"},
		{"version", exitGood, "oxbowspan ", ""},
		{"--version", exitGood, "oxbowspan ", ""},
		{"help", exitGood, "check       Read the configuration", ""},
		{"serve --help", exitGood, "--discovery", ""},
		{"completion bash", exitGood, "__start_oxbowspan", ""},
	} {
		var out, err bytes.Buffer
		if code := Main(strings.Fields(c.args), &out, &err); code != c.code {
			t.Errorf("%q exits with %d, want %d: %s", c.args, code, c.code, err.String())
		}
		if !strings.Contains(out.String(), c.out) || !strings.Contains(err.String(), c.err) {
			t.Errorf("%q says %q and %q, want %q and %q in them", c.args, out.String(), err.String(), c.out, c.err)
		}
		if c.code == exitGood && err.Len() > 0 {
			t.Errorf("%q complains: %s", c.args, err.String())
		}
	}
}

func TestLogLinesAreKeyValueWithAnEvent(t *testing.T) {
	was := slog.Default()
	defer slog.SetDefault(was)
	var b bytes.Buffer
	logTo(&b)
	slog.Info("server_conn_end", "server", "s-a", "reason", "idle", "detail", `says "no"`, "age_ms", 12)
	got := b.String()
	if !strings.HasPrefix(got, "time=2") ||
		!strings.HasSuffix(got, "Z level=INFO event=server_conn_end server=s-a reason=idle detail=\"says \\\"no\\\"\" age_ms=12\n") {
		t.Errorf("the line is %q", got)
	}
}
