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
	scenarioTest     = "TestEveryAnswerReachesItsCallerOrNobody"
	framingTest      = "TestRequestsHaveTheBoundsThatAStrictReaderFinds"
	mutationVariable = "FORAGER_PLANTED"
	mutationSource   = `package forager

import "os"

var plantedName = os.Getenv("` + mutationVariable + `")

func planted(name string) bool { return plantedName == name }
`
)

// mutation replaces a text that stands once in a source; MISTAKE in the new text tells whether it is switched on.
type mutation struct{ name, test, file, old, new string }

var mutations = []mutation{
	{"answers are not told apart", scenarioTest, "answer.go", `return string(ids[0]) == s.attempt`, `return MISTAKE || string(ids[0]) == s.attempt`},
	{"an answer without an id is taken", scenarioTest, "answer.go", `return s.attempt == "" ||`, `return MISTAKE || s.attempt == "" ||`},
	{"an interim answer is taken", scenarioTest, "answer.go", `case status >= fasthttp.StatusOK:`, `case status >= fasthttp.StatusOK || MISTAKE && status > fasthttp.StatusContinue:`},
	{"an unmarked promise is handed on", scenarioTest, "answer.go", `|| promises(status)):`, `|| promises(status) && !MISTAKE):`},
	{"a reset before the answer counts as never run", scenarioTest, "exchange.go", `if x.unsent {`, `if x.unsent || MISTAKE {`},
	{"a small request written by half counts as never run", scenarioTest, "links.go", `if n > 0 {`, `if n > 0 && !MISTAKE {`},
	{"a large request written by half counts as never run", scenarioTest, "exchange.go", `x.unsent = bytes == 0`, `x.unsent = bytes == 0 || MISTAKE && bytes > smallRequest && bytes < 60000`},
	{"a connection carries an id twice", scenarioTest, "links.go", `if c.p.carriedBy(l) {`, `if c.p.carriedBy(l) && !MISTAKE {`},
	{"a connection is used again while it is written to", scenarioTest, "exchange.go", `x.due == nil && !x.writing`, `x.due == nil && (!x.writing || MISTAKE)`},
	{"the connection of a call that was given up is used again", scenarioTest, "links.go", `		f.drop(c.link)
	}
	if !outcome`, `		if MISTAKE {
			c.f.idle = append(c.f.idle, c.link)
		} else {
			f.drop(c.link)
		}
	}
	if !outcome`},
	{"an unfinished call counts as never run", scenarioTest, "owner.go", `return c != nil && c.link != nil`, `return c != nil && c.link != nil && !MISTAKE`},
	{"an ended call counts as never run", scenarioTest, "links.go", `if !outcome.NeverRan() && c.link != nil {`, `if !outcome.NeverRan() && c.link != nil && !MISTAKE {`},
	{"a new connection is given what has been answered", scenarioTest, "links.go", `case c.p.s.over || c.p.in != nil:`, `case (c.p.s.over || c.p.in != nil) && !MISTAKE:`},
	{"the answer to a HEAD has a body", scenarioTest, "front.go", `if !k.req.Header.IsHead() {`, `if !k.req.Header.IsHead() || MISTAKE {`},
	{"a line may end in a bare line feed", framingTest, "front.go", `		line, ended := bytes.CutSuffix(line, []byte("\r\n"))
		if !ended {`, `		line, ended := bytes.CutSuffix(line, []byte("\r\n"))
		if MISTAKE && !ended {
			line, ended = bytes.TrimSuffix(line, []byte("\n")), true
		}
		if !ended {`},
	{"a length beside chunks is let pass", framingTest, "front.go", `lengths > 0 && chunked > 0:`, `lengths > 0 && chunked > 0 && !MISTAKE:`},
	{"lines behind the last chunk are left in place", framingTest, "front.go", `if err := skipTrailer(k.r); err != nil {`, `if err := skipTrailer(k.r); err != nil && !MISTAKE {`},
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
