package cli

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"oxbowspan/internal/command"
)

func TestExitCodesAndMessages(t *testing.T) {
	t.Setenv("PROXY_CONFIG", "")
	broken := filepath.Join(t.TempDir(), "broken.json")
	if err := os.WriteFile(broken, []byte(`{"listen":`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args           string
		code           int
		stdout, stderr string
	}{
		{"", command.ExitUsage, "", "no command was given"},
		{"sreve", command.ExitUsage, "", `unknown command "sreve"`},
		{"serve --lisen x", command.ExitUsage, "", "unknown flag: --lisen"},
		{"check more", command.ExitUsage, "", `unexpected argument "more"`},
		{"check", exitFailure, "", "no configuration: give --config or set PROXY_CONFIG"},
		{"serve", exitFailure, "", "no configuration: give --config or set PROXY_CONFIG"},
		{"check --config " + broken, exitFailure, "", "broken.json"},
		{"version", 0, "oxbowspan ", ""},
		{"--version", 0, "oxbowspan ", ""},
		{"help", 0, "check       Read the configuration", ""},
		{"serve --help", 0, "--discovery", ""},
		{"completion bash", 0, "__start_oxbowspan", ""},
	} {
		t.Run("oxbowspan "+c.args, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			if code := Main(strings.Fields(c.args), &stdout, &stderr); code != c.code {
				t.Errorf("exit code %d, want %d: %s", code, c.code, stderr.String())
			}
			if !strings.Contains(stdout.String(), c.stdout) || !strings.Contains(stderr.String(), c.stderr) {
				t.Errorf("stdout %q and stderr %q, want %q and %q in them", stdout.String(), stderr.String(), c.stdout, c.stderr)
			}
			if c.code == 0 && stderr.Len() > 0 {
				t.Errorf("output to stderr on success: %s", stderr.String())
			}
		})
	}
}

// mergeSections returns sections that allow paged merges for query types. Only the platform's configuration can forbid these.
func mergeSections(queryTypes ...string) string {
	text := "[merging]\ncursor_keys = k\n[schema s]\ncolumns = a:text\naccount = a\n"
	for _, name := range queryTypes {
		text += "[merge " + name + "]\nschema = s\nkinds = paged\norder = a\n"
	}
	return text
}

func TestCheckReportsAllOperatorFileProblems(t *testing.T) {
	dir := t.TempDir()
	config := writeFile(t, filepath.Join(dir, "config.json"), `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{"classes":[
		{"name":"lookup","effect":"free","slo":1000,"hardLimit":2000},{"name":"post","effect":"single_shot","slo":1000,"hardLimit":2000}],
		"domain":{"positions":1,"slices":4,"wholeAt":[0.8,1.0]},"limits":{"dialTimeout":250}}}`)
	writeFile(t, filepath.Join(dir, "k"), "k "+strings.Repeat("0f", 32)+"\n")
	for name, c := range map[string]struct {
		operator string
		want     []string
	}{
		"of the file alone": {"[merging]\nrows = few\n[merge post]\nlimit = 0\n",
			[]string{"operator.ini:2: ", "operator.ini:4: ", "kinds: is missing", "schema: there is no section"}},
		"of the file with the configuration": {mergeSections("post", "lookup", "other"),
			[]string{"[merge post]: is not idempotent", "[merge lookup]: counts as whole short of a part", "[merge other]: is no query type"}},
	} {
		t.Run(name, func(t *testing.T) {
			operator := writeFile(t, filepath.Join(dir, "operator.ini"), c.operator)
			var stdout, stderr bytes.Buffer
			code := Main([]string{"check", "--config", config, "--operator", operator}, &stdout, &stderr)
			for _, want := range c.want {
				if code != exitFailure || !strings.Contains(stderr.String(), want) {
					t.Errorf("exit code %d, want %d and %q in\n%s", code, exitFailure, want, stderr.String())
				}
			}
		})
	}
}

func TestLogLinesHaveAnEventKey(t *testing.T) {
	defer slog.SetDefault(slog.Default())
	var b bytes.Buffer
	logTo(&b)
	slog.Info("server_conn_end", "server", "s-a", "reason", "idle", "detail", `says "no"`, "age_ms", 12)
	got := b.String()
	if !strings.HasPrefix(got, "time=2") ||
		!strings.HasSuffix(got, "Z level=INFO event=server_conn_end server=s-a reason=idle detail=\"says \\\"no\\\"\" age_ms=12\n") {
		t.Errorf("log line %q", got)
	}
}
