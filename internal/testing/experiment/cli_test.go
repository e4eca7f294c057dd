package experiment

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"

	"oxbowspan/internal/command"
)

func TestMainExitCodes(t *testing.T) {
	archive := filepath.Join(t.TempDir(), "lab.db")
	for _, test := range []struct {
		name string
		args []string
		code int
		want string // part of the output
	}{
		{"list of no runs", []string{"list"}, 0, ""},
		{"experiments", []string{"experiments"}, 0, "outlier-detection"},
		{"unknown command", []string{"nonsense"}, command.ExitUsage, "nonsense"},
		{"unknown experiment", []string{"run", "nonsense"}, command.ExitUsage, "unknown experiment"},
		{"former name of an experiment", []string{"run", "judgement", "--program", "/nonexistent"}, exitFailure, "does not run"},
		{"former name of a command", []string{"colony", "--help"}, 0, "oxbowlab colony DIR"},
		{"no such run", []string{"show", "merge"}, exitFailure, "there is no run"},
	} {
		t.Run(test.name, func(t *testing.T) {
			var out bytes.Buffer
			code := Main(append([]string{"--archive", archive}, test.args...), &out, &out)
			if code != test.code || !strings.Contains(out.String(), test.want) {
				t.Errorf("exit code %d and %q, want %d and %q", code, out.String(), test.code, test.want)
			}
		})
	}
}

// Former names of commands and experiments do not appear in the help.
func TestFormerNamesAreHidden(t *testing.T) {
	var out bytes.Buffer
	for _, args := range [][]string{{"help"}, {"experiments"}} {
		Main(args, &out, &out)
	}
	for _, name := range []string{"colony", "judgement"} {
		if strings.Contains(out.String(), name) {
			t.Errorf("the help lists %s:\n%s", name, out.String())
		}
	}
}
