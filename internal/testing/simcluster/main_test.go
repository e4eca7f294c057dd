package simcluster

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"testing"
)

const (
	// aloneEnv is set in a process that runs one test.
	aloneEnv = "COLONY_ALONE"
	// replayFileEnv names the file to which each repetition of a test adds a line. CI prints and counts these lines, as go
	// test shows what a package prints only where it fails.
	replayFileEnv = "OXBOWSPAN_REPLAYS"
	// maxAttempts is how often a test is run at most while the race detector itself fails.
	maxAttempts = 3
	// maxProcesses is how many tests run at once.
	maxProcesses = 4
)

// TestMain gives each test a process of its own under the race detector, whose own tables fail now and then while the timers
// of a synctest bubble run: one run of the package in ten ended with "ThreadSanitizer: CHECK failed", or with a fault inside
// the detector under internal/synctest.Run on the system stack. Such an end says nothing of the test, which is run again. A
// race that is found, a failure and a panic are results.
func TestMain(m *testing.M) {
	flag.Parse()
	if !raceDetector || os.Getenv(aloneEnv) != "" || isSet("test.run") || isSet("test.list") {
		os.Exit(m.Run())
	}
	names, err := listTests()
	if err != nil {
		fmt.Println("list tests:", err)
		os.Exit(1)
	}
	if runner := (&processRunner{}); !runner.runAll(names) {
		fmt.Println("FAIL")
		os.Exit(1)
	}
	fmt.Println("PASS")
}

func isSet(flagName string) bool { return flag.Lookup(flagName).Value.String() != "" }

// listTests returns the names of the tests of this package.
func listTests() (names []string, err error) {
	output, err := exec.Command(os.Args[0], "-test.list", ".").Output()
	if err != nil {
		return nil, err
	}
	for name := range strings.FieldsSeq(string(output)) {
		if strings.HasPrefix(name, "Test") {
			names = append(names, name)
		}
	}
	return names, nil
}

// processRunner runs tests in processes of their own.
type processRunner struct {
	mu     sync.Mutex // guards the output and failed
	failed bool
}

// runAll runs tests, several at once, and reports whether all passed.
func (r *processRunner) runAll(names []string) bool {
	var pending sync.WaitGroup
	slots := make(chan struct{}, maxProcesses)
	for _, name := range names {
		slots <- struct{}{}
		pending.Go(func() {
			defer func() { <-slots }()
			r.run(name)
		})
	}
	pending.Wait()
	return !r.failed
}

// run runs one test until its end is a result, and prints its output.
func (r *processRunner) run(name string) {
	var output []byte
	var err error
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		command := exec.Command(os.Args[0], slices.Concat(os.Args[1:], []string{"-test.run", "^" + name + "$"})...)
		command.Env = append(os.Environ(), aloneEnv+"=1")
		output, err = command.CombinedOutput()
		if err == nil || !detectorFailed(output) || attempt == maxAttempts {
			break
		}
		r.recordReplay(name, attempt, output)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.failed = true
		fmt.Printf("--- FAIL: %s alone: %v\n", name, err)
	}
	os.Stdout.Write(bytes.TrimSuffix(output, []byte("PASS\n")))
}

// recordReplay prints that a run ended by a fault of the race detector itself, and adds the line to the file for CI.
func (r *processRunner) recordReplay(name string, attempt int, output []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("replay: internal/testing/simcluster %s, run %d of %d ended by the race detector's own fault: %s\n",
		name, attempt, maxAttempts, faultLine(output))
	fmt.Print(line)
	path := os.Getenv(replayFileEnv)
	if path == "" {
		return
	}
	if err := appendLine(path, line); err != nil {
		fmt.Println("record replay:", err)
	}
}

func appendLine(path, line string) error {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer file.Close()
	_, err = file.WriteString(line)
	return err
}

// faultLine returns the line of a process's output that names the detector's fault.
func faultLine(output []byte) string {
	for line := range strings.Lines(string(output)) {
		if strings.Contains(line, "ThreadSanitizer: CHECK failed") || strings.Contains(line, "SIGSEGV") {
			return strings.TrimSpace(line)
		}
	}
	return "not named"
}

// detectorFailed reports whether a process ended by a fault of the race detector itself.
func detectorFailed(output []byte) bool {
	contains := func(text string) bool { return bytes.Contains(output, []byte(text)) }
	if contains("WARNING: DATA RACE") || contains("--- FAIL") {
		return false
	}
	return contains("ThreadSanitizer: CHECK failed") ||
		contains("SIGSEGV") && contains("goroutine 0 ") && contains("internal/synctest.Run")
}
