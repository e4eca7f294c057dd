package dataplane

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Mutation tests check that the property-based tests of the package detect faults. A source overlay compiles all
// mutations into one test binary; each run enables a single mutation.

const (
	scenarioTest     = "TestResponsesReachTheirCallers"
	framingTest      = "TestFramingMatchesStrictParser"
	mutationVariable = "DATAPLANE_MUTATION" // names the enabled mutation
	mutationSource   = `package dataplane

import "os"

var activeMutation = os.Getenv("` + mutationVariable + `")

func mutated(name string) bool { return activeMutation == name }
`
)

// mutation replaces a text that occurs exactly once in a file. MUTATED in the new text is true if the mutation is enabled.
type mutation struct{ name, test, file, old, new string }

var mutations = []mutation{
	{
		name: "responses are not distinguished", test: scenarioTest, file: "response.go",
		old: `return string(ids[0]) == req.attemptID`,
		new: `return MUTATED || string(ids[0]) == req.attemptID`,
	},
	{
		name: "a response without an id is accepted", test: scenarioTest, file: "response.go",
		old: `return req.attemptID == "" ||`,
		new: `return MUTATED || req.attemptID == "" ||`,
	},
	{
		name: "an interim response is accepted", test: scenarioTest, file: "response.go",
		old: `case status >= fasthttp.StatusOK:`,
		new: `case status >= fasthttp.StatusOK || MUTATED && status > fasthttp.StatusContinue:`,
	},
	{
		name: "an unmarked promise is forwarded", test: scenarioTest, file: "response.go",
		old: `|| promisesNotExecuted(status)):`,
		new: `|| promisesNotExecuted(status) && !MUTATED):`,
	},
	{
		name: "a reset before the response counts as never run", test: scenarioTest, file: "exchange.go",
		old: `if x.nothingSent {`,
		new: `if x.nothingSent || MUTATED {`,
	},
	{
		name: "a small request written by half counts as never run", test: scenarioTest, file: "conn_pool.go",
		old: `if n > 0 {`,
		new: `if n > 0 && !MUTATED {`,
	},
	{
		name: "a large request written by half counts as never run", test: scenarioTest, file: "exchange.go",
		old: `x.nothingSent = bytes == 0`,
		new: `x.nothingSent = bytes == 0 || MUTATED && bytes > smallRequestBytes && bytes < 60000`,
	},
	{
		name: "a connection carries an id twice", test: scenarioTest, file: "conn_pool.go",
		old: `if a.shardCall.usedConn(conn) {`,
		new: `if a.shardCall.usedConn(conn) && !MUTATED {`,
	},
	{
		name: "a connection is used again while it is written to", test: scenarioTest, file: "exchange.go",
		old: `x.pending == nil && !x.writing`,
		new: `x.pending == nil && (!x.writing || MUTATED)`,
	},
	{
		name: "the connection of an attempt that was given up is used again", test: scenarioTest, file: "dispatcher.go",
		old: `		a.conn.close()
	}
	if !outcome`,
		new: `		if MUTATED {
			e.idle = append(e.idle, a.conn)
		} else {
			a.conn.close()
		}
	}
	if !outcome`,
	},
	{
		name: "an unfinished attempt counts as never run", test: scenarioTest, file: "request.go",
		old: `return a != nil && a.conn != nil`,
		new: `return a != nil && a.conn != nil && !MUTATED`,
	},
	{
		name: "an ended attempt counts as never run", test: scenarioTest, file: "dispatcher.go",
		old: `if !outcome.NeverRan() && a.conn != nil {`,
		new: `if !outcome.NeverRan() && a.conn != nil && !MUTATED {`,
	},
	{
		name: "a new connection is given what has been answered", test: scenarioTest, file: "conn_pool.go",
		old: `case a.shardCall.request.finished || a.shardCall.response != nil:`,
		new: `case (a.shardCall.request.finished || a.shardCall.response != nil) && !MUTATED:`,
	},
	{
		name: "the response to a HEAD request has a body", test: scenarioTest, file: "result.go",
		old: `if !c.req.Header.IsHead() {`,
		new: `if !c.req.Header.IsHead() || MUTATED {`,
	},
	{
		name: "a line may end in a bare line feed", test: framingTest, file: "framing.go",
		old: `		line, ended := bytes.CutSuffix(line, []byte("\r\n"))
		if !ended {`,
		new: `		line, ended := bytes.CutSuffix(line, []byte("\r\n"))
		if MUTATED && !ended {
			line, ended = bytes.TrimSuffix(line, []byte("\n")), true
		}
		if !ended {`,
	},
	{
		name: "a length beside chunks is accepted", test: framingTest, file: "framing.go",
		old: `f.lengths > 0 && f.chunked > 0:`,
		new: `f.lengths > 0 && f.chunked > 0 && !MUTATED:`,
	},
	{
		name: "a trailer is left unread", test: framingTest, file: "client_conn.go",
		old: `if err := skipTrailer(c.reader); err != nil {`,
		new: `if err := skipTrailer(c.reader); err != nil && !MUTATED {`,
	},
}

// mutatedSources returns the sources of the files to which mutations apply, with all mutations inserted.
func mutatedSources(t *testing.T) map[string]string {
	t.Helper()
	sources := map[string]string{"mutated.go": mutationSource}
	for _, m := range mutations {
		if sources[m.file] == "" {
			text, err := os.ReadFile(m.file)
			if err != nil {
				t.Fatal(err)
			}
			sources[m.file] = string(text)
		}
		if n := strings.Count(sources[m.file], m.old); n != 1 {
			t.Fatalf("%q occurs %d times in %s, want exactly once", m.old, n, m.file)
		}
		mutatedText := strings.ReplaceAll(m.new, "MUTATED", `mutated("`+m.name+`")`)
		sources[m.file] = strings.Replace(sources[m.file], m.old, mutatedText, 1)
	}
	return sources
}

// buildMutatedTests builds the package's test binary with all mutations, and returns its path.
func buildMutatedTests(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	here, err := filepath.Abs(".")
	if err != nil {
		t.Fatal(err)
	}
	overlay := map[string]string{}
	for name, text := range mutatedSources(t) {
		overlay[filepath.Join(here, name)] = writeFile(t, dir, name, []byte(text))
	}
	list, err := json.Marshal(map[string]any{"Replace": overlay})
	if err != nil {
		t.Fatal(err)
	}
	overlayFile := writeFile(t, dir, "overlay.json", list)
	program := filepath.Join(dir, "mutated.test")
	if out, err := exec.Command("go", "test", "-c", "-overlay", overlayFile, "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("build of the mutated tests failed: %v\n%s", err, out)
	}
	return program
}

func writeFile(t *testing.T, dir, name string, text []byte) (path string) {
	t.Helper()
	path = filepath.Join(dir, name)
	if err := os.WriteFile(path, text, 0o644); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestMutationsAreDetected checks that each mutation makes its property-based test fail.
func TestMutationsAreDetected(t *testing.T) {
	program := buildMutatedTests(t)
	for _, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			c := exec.Command(program, "-test.run", "^"+m.test+"$",
				"-rapid.checks=10000", "-rapid.nofailfile", "-rapid.shrinktime=0s")
			c.Env = append(os.Environ(), mutationVariable+"="+m.name, "GOMAXPROCS=1") // a synctest bubble runs fastest on a single processor
			out, err := c.CombinedOutput()
			if err == nil {
				t.Fatal("the mutation is not detected")
			}
			_, report, ok := strings.Cut(string(out), "[rapid] ")
			report, _, _ = strings.Cut(report, "\n")
			// rapid reports a scenario that does not fail again as flaky; this also counts as detection.
			if !ok || !strings.HasPrefix(report, "failed after") && !strings.HasPrefix(report, "flaky test") {
				t.Fatalf("the test failed for another reason than a violation: %s", out)
			}
			t.Log(report)
		})
	}
}
