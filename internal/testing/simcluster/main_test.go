package simcluster

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"
)

// aloneEnv marks a process that plays one test.
const aloneEnv = "COLONY_ALONE"

// replayFileEnv names the variable that holds the path of a file to which each replay adds a line, as go test shows what a package prints
// only where the package fails. CI prints and counts these lines.
const replayFileEnv = "OXBOWSPAN_REPLAYS"

// maxAttempts is how often a test is played at most, where the race detector broke down each time.
const maxAttempts = 3

// TestMain gives each test a process of its own under the race detector, four at a time, as the detector's own tables break
// now and then while a bubble's timers run: one run of the package in ten ended with "ThreadSanitizer: CHECK failed" in its
// slots and epochs, or with a fault inside it, under internal/synctest.Run on the system stack. Such an end is no verdict: the
// test is played again, three times at most. A race that is found, a failure and a panic are verdicts.
func TestMain(m *testing.M) {
	flag.Parse()
	if !raceDetector || os.Getenv(aloneEnv) != "" || flag.Lookup("test.run").Value.String() != "" || flag.Lookup("test.list").Value.String() != "" {
		os.Exit(m.Run())
	}
	names, err := exec.Command(os.Args[0], "-test.list", ".").Output()
	if err != nil {
		fmt.Println("the tests can't be listed:", err)
		os.Exit(1)
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	failed := false
	slots := make(chan struct{}, 4)
	for _, name := range strings.Fields(string(names)) {
		if !strings.HasPrefix(name, "Test") {
			continue
		}
		all.Add(1)
		slots <- struct{}{}
		go func() {
			defer func() { <-slots; all.Done() }()
			var out []byte
			var err error
			for attempt := 1; attempt <= maxAttempts; attempt++ {
				c := exec.Command(os.Args[0], append(os.Args[1:], "-test.run", "^"+name+"$")...)
				c.Env = append(os.Environ(), aloneEnv+"=1")
				if out, err = c.CombinedOutput(); err == nil || !detectorFailed(out) || attempt == maxAttempts {
					break
				}
				mu.Lock()
				recordReplay(name, attempt, out)
				mu.Unlock()
			}
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = true
				fmt.Printf("--- FAIL: %s alone: %v\n", name, err)
			}
			os.Stdout.Write(bytes.TrimSuffix(out, []byte("PASS\n")))
		}()
	}
	all.Wait()
	if failed {
		fmt.Println("FAIL")
		os.Exit(1)
	}
	fmt.Println("PASS")
}

// recordReplay prints that a run of a test ended by a fault of the race detector's own, and adds the line to the file that CI reads.
func recordReplay(name string, attempt int, out []byte) {
	line := fmt.Sprintf("replay: internal/colony %s, run %d of %d ended by the race detector's own fault: %s\n", name, attempt, maxAttempts, faultLine(out))
	fmt.Print(line)
	path := os.Getenv(replayFileEnv)
	if path == "" {
		return
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		fmt.Println("the replay can't be noted:", err)
		return
	}
	defer file.Close()
	if _, err := file.WriteString(line); err != nil {
		fmt.Println("the replay can't be noted:", err)
	}
}

// faultLine is the line of a process's output that names the detector's fault.
func faultLine(out []byte) string {
	for line := range strings.Lines(string(out)) {
		if strings.Contains(line, "ThreadSanitizer: CHECK failed") || strings.Contains(line, "SIGSEGV") {
			return strings.TrimSpace(line)
		}
	}
	return "not named"
}

// detectorFailed tells whether a process ended by a fault of the race detector's own.
func detectorFailed(out []byte) bool {
	if bytes.Contains(out, []byte("WARNING: DATA RACE")) || bytes.Contains(out, []byte("--- FAIL")) {
		return false
	}
	return bytes.Contains(out, []byte("ThreadSanitizer: CHECK failed")) ||
		bytes.Contains(out, []byte("SIGSEGV")) && bytes.Contains(out, []byte("goroutine 0 ")) && bytes.Contains(out, []byte("internal/synctest.Run"))
}
