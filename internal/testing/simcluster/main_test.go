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
	// singleTestEnv is set in a process that runs a single test.
	singleTestEnv = "COLONY_ALONE"
	// replayFileEnv names the file to which each repetition of a test appends a line. CI prints and counts these lines, as go
	// test shows the output of a package only if the package fails.
	replayFileEnv = "OXBOWSPAN_REPLAYS"
	// maxAttempts is the maximum number of runs of a test whose earlier runs ended by a fault of the race detector itself.
	maxAttempts = 3
	// maxProcesses is the maximum number of tests that run concurrently.
	maxProcesses = 4
)

// TestMain runs each test in a process of its own under the race detector, whose internal tables occasionally fail while the
// timers of a synctest bubble run: one run of the package in ten ended with "ThreadSanitizer: CHECK failed", or with a fault
// inside the detector under internal/synctest.Run on the system stack. Such an end is not a result of the test, which is run
// again. A detected race, a failure and a panic are results.
func TestMain(m *testing.M) {
	flag.Parse()
	if !raceDetector || os.Getenv(singleTestEnv) != "" || isSet("test.run") || isSet("test.list") {
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

// runAll runs tests, up to maxProcesses concurrently, and reports whether all passed.
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

// run runs one test until it ends with a result, at most maxAttempts times, and prints the output of the last run.
func (r *processRunner) run(name string) {
	var output []byte
	var err error
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		command := exec.Command(os.Args[0], slices.Concat(os.Args[1:], []string{"-test.run", "^" + name + "$"})...)
		command.Env = append(os.Environ(), singleTestEnv+"=1")
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

// recordReplay prints that a run ended by a fault of the race detector itself, and appends the line to the file for CI.
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

// faultLine returns the line of a process's output that describes the race detector's fault.
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
