// Package experiment is the load and experiment tool oxbowlab. It starts built programs and stand-ins for the systems around
// them on loopback, runs an experiment on them, checks the responses and stores the results in an archive.
//
// Each experiment is a Run function in its own file, registered by an init function; see merge.go. Its Env holds the seed, the
// scale and a Record for metrics, latencies, tables and charts. An error that it returns is a finding: a fault in the programs
// under test.
package experiment

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/schollz/progressbar/v3"
)

// Experiment is an experiment that can be run by its name.
type Experiment struct {
	Name    string
	Aliases []string // former names
	Short   string   // one line
	Long    string   // description of its actions, checks and records
	Run     func(ctx context.Context, e *Env) error
}

// experiments holds the registered experiments by name. Only init functions change it.
var experiments = map[string]Experiment{}

// Register adds an experiment. It panics if the name is already registered.
func Register(x Experiment) {
	if _, duplicate := lookUp(x.Name); duplicate {
		panic("experiment " + x.Name + " is registered twice")
	}
	experiments[x.Name] = x
}

// lookUp finds an experiment by its name or an alias.
func lookUp(name string) (x Experiment, ok bool) {
	if x, ok := experiments[name]; ok {
		return x, true
	}
	for _, x := range experiments {
		if slices.Contains(x.Aliases, name) {
			return x, true
		}
	}
	return Experiment{}, false
}

// Names returns the names of the experiments in alphabetical order.
func Names() []string {
	var names []string
	for name := range experiments {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Env is the environment of one run of an experiment.
type Env struct {
	Seed         uint64
	Quick        bool      // run at a scale that finishes within 40 s
	Sizes        string    // sizes from the command line, for experiments that accept them; "" = the defaults
	GathererPath string    // the built gatherer; the other programs are in the same directory
	Dir          string    // directory for files; removed after the run
	Record       *Record   // results
	Out          io.Writer // progress and messages

	mu  sync.Mutex
	bar *progressbar.ProgressBar
}

// Scale returns small for a quick run and full otherwise.
func (e *Env) Scale(small, full int) int {
	if e.Quick {
		return small
	}
	return full
}

// scaleMillis returns a duration in milliseconds: small for a quick run and full otherwise.
func (e *Env) scaleMillis(small, full int) time.Duration {
	return time.Duration(e.Scale(small, full)) * time.Millisecond
}

// scaleSeconds returns a duration in seconds: small for a quick run and full otherwise.
func (e *Env) scaleSeconds(small, full int) time.Duration {
	return time.Duration(e.Scale(small, full)) * time.Second
}

// Progress starts a progress bar of a number of steps.
func (e *Env) Progress(what string, steps int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.bar != nil {
		e.bar.Finish()
	}
	e.bar = progressbar.NewOptions(steps,
		progressbar.OptionSetWriter(e.Out),
		progressbar.OptionSetDescription(fmt.Sprintf("%-28s", what)),
		progressbar.OptionShowCount(),
		progressbar.OptionSetWidth(30),
		progressbar.OptionThrottle(200*time.Millisecond),
		progressbar.OptionSetPredictTime(true),
		progressbar.OptionOnCompletion(func() { fmt.Fprintln(e.Out) }))
}

// Step advances the progress bar.
func (e *Env) Step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.bar != nil {
		e.bar.Add(1)
	}
}

// Command returns a command that runs the built gatherer. It inherits only PATH from the environment; its TMPDIR is the run's
// directory.
func (e *Env) Command(args ...string) *exec.Cmd {
	cmd := exec.Command(e.GathererPath, args...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + e.Dir}
	return cmd
}

// programPath returns the path of a built program in the directory of the gatherer.
func (e *Env) programPath(name string) string {
	return filepath.Join(filepath.Dir(e.GathererPath), name)
}

// WriteFile writes a file into the run's directory and returns its path.
func (e *Env) WriteFile(name, text string) (string, error) {
	path := filepath.Join(e.Dir, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return "", err
	}
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
