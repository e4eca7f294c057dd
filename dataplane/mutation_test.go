package dataplane

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Mistakes that are planted in the program itself, to see that the drawn plays find them. All are built into one program of tests,
// by an overlay over the sources, and each is switched on for a run of its own.

const (
	scenarioTest     = "TestResponsesReachTheirCallers"
	framingTest      = "TestFramingMatchesStrictParser"
	mutationVariable = "DATAPLANE_MUTATION"
	mutationSource   = `package dataplane

import "os"

var plantedName = os.Getenv("` + mutationVariable + `")

func planted(name string) bool { return plantedName == name }
`
)

// mutation replaces a text that stands once in a source; MISTAKE in the new text tells whether it is switched on.
type mutation struct{ name, test, file, old, new string }

var mutations = []mutation{
	{"answers are not told apart", scenarioTest, "response.go", `return string(ids[0]) == s.attemptID`, `return MISTAKE || string(ids[0]) == s.attemptID`},
	{"an answer without an id is taken", scenarioTest, "response.go", `return s.attemptID == "" ||`, `return MISTAKE || s.attemptID == "" ||`},
	{"an interim answer is taken", scenarioTest, "response.go", `case status >= fasthttp.StatusOK:`, `case status >= fasthttp.StatusOK || MISTAKE && status > fasthttp.StatusContinue:`},
	{"an unmarked promise is handed on", scenarioTest, "response.go", `|| promisesNotExecuted(status)):`, `|| promisesNotExecuted(status) && !MISTAKE):`},
	{"a reset before the answer counts as never run", scenarioTest, "exchange.go", `if x.nothingSent {`, `if x.nothingSent || MISTAKE {`},
	{"a small request written by half counts as never run", scenarioTest, "serverconn.go", `if n > 0 {`, `if n > 0 && !MISTAKE {`},
	{"a large request written by half counts as never run", scenarioTest, "exchange.go", `x.nothingSent = bytes == 0`, `x.nothingSent = bytes == 0 || MISTAKE && bytes > smallRequestBytes && bytes < 60000`},
	{"a connection carries an id twice", scenarioTest, "serverconn.go", `if c.shardCall.usedConn(l) {`, `if c.shardCall.usedConn(l) && !MISTAKE {`},
	{"a connection is used again while it is written to", scenarioTest, "exchange.go", `x.pending == nil && !x.writing`, `x.pending == nil && (!x.writing || MISTAKE)`},
	{"the connection of a call that was given up is used again", scenarioTest, "serverconn.go", `		f.closeConn(c.conn)
	}
	if !outcome`, `		if MISTAKE {
			c.endpoint.idle = append(c.endpoint.idle, c.conn)
		} else {
			f.closeConn(c.conn)
		}
	}
	if !outcome`},
	{"an unfinished call counts as never run", scenarioTest, "loop.go", `return c != nil && c.conn != nil`, `return c != nil && c.conn != nil && !MISTAKE`},
	{"an ended call counts as never run", scenarioTest, "serverconn.go", `if !outcome.NeverRan() && c.conn != nil {`, `if !outcome.NeverRan() && c.conn != nil && !MISTAKE {`},
	{"a new connection is given what has been answered", scenarioTest, "serverconn.go", `case c.shardCall.request.finished || c.shardCall.response != nil:`, `case (c.shardCall.request.finished || c.shardCall.response != nil) && !MISTAKE:`},
	{"the answer to a HEAD has a body", scenarioTest, "front.go", `if !k.req.Header.IsHead() {`, `if !k.req.Header.IsHead() || MISTAKE {`},
	{"a line may end in a bare line feed", framingTest, "front.go", `		line, ended := bytes.CutSuffix(line, []byte("\r\n"))
		if !ended {`, `		line, ended := bytes.CutSuffix(line, []byte("\r\n"))
		if MISTAKE && !ended {
			line, ended = bytes.TrimSuffix(line, []byte("\n")), true
		}
		if !ended {`},
	{"a length beside chunks is let pass", framingTest, "front.go", `lengths > 0 && chunked > 0:`, `lengths > 0 && chunked > 0 && !MISTAKE:`},
	{"lines behind the last chunk are left in place", framingTest, "front.go", `if err := skipTrailer(k.reader); err != nil {`, `if err := skipTrailer(k.reader); err != nil && !MISTAKE {`},
}

// TestMutationsAreDetected builds the mistakes in and sees that each is found.
func TestMutationsAreDetected(t *testing.T) {
	dir := t.TempDir()
	here, err := filepath.Abs(".")
	if err != nil {
		t.Fatal(err)
	}
	overlay := map[string]string{filepath.Join(here, "planted.go"): filepath.Join(dir, "planted.go")}
	write := func(name, text string) {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	write("planted.go", mutationSource)
	sources := map[string]string{}
	for _, m := range mutations {
		if sources[m.file] == "" {
			text, err := os.ReadFile(m.file)
			if err != nil {
				t.Fatal(err)
			}
			sources[m.file] = string(text)
		}
		if n := strings.Count(sources[m.file], m.old); n != 1 {
			t.Fatalf("%q stands %d times in %s", m.old, n, m.file)
		}
		sources[m.file] = strings.Replace(sources[m.file], m.old, strings.ReplaceAll(m.new, "MISTAKE", `planted("`+m.name+`")`), 1)
	}
	for name, text := range sources {
		write(name, text)
		overlay[filepath.Join(here, name)] = filepath.Join(dir, name)
	}
	list, err := json.Marshal(map[string]any{"Replace": overlay})
	if err != nil {
		t.Fatal(err)
	}
	write("overlay.json", string(list))
	program := filepath.Join(dir, "planted.test")
	if out, err := exec.Command("go", "test", "-c", "-overlay", filepath.Join(dir, "overlay.json"), "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("the tests with the mistakes can't be built: %v\n%s", err, out)
	}
	for _, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			c := exec.Command(program, "-test.run", "^"+m.test+"$",
				"-rapid.checks=10000", "-rapid.nofailfile", "-rapid.shrinktime=0s")
			c.Env = append(os.Environ(), mutationVariable+"="+m.name, "GOMAXPROCS=1") // a bubble runs quickest on one
			out, err := c.CombinedOutput()
			if err == nil {
				t.Fatal("it is not found")
			}
			_, found, ok := strings.Cut(string(out), "[rapid] ") // a draw that fails once only says so, and is a find as well
			if found, _, _ = strings.Cut(found, "\n"); !ok || !strings.HasPrefix(found, "failed after") && !strings.HasPrefix(found, "flaky test") {
				t.Fatalf("it ends otherwise than by a rule: %s", out)
			}
			t.Log(found)
		})
	}
}
