package experiment

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"oxbowspan/internal/command"
)

// errInterrupted is returned for a run that was ended by a signal.
var errInterrupted = errors.New("interrupted")

// gathererProgram is the name of the built gatherer.
const gathererProgram = "oxbowspan"

// runOptions are the flags of the run command.
type runOptions struct {
	quick        bool
	seed         uint64
	gathererPath string // "" = in the directory of this tool
	sizes        string
}

func (t *tool) newRunCommand() *cobra.Command {
	var options runOptions
	cmd := &cobra.Command{
		Use:   "run EXPERIMENT",
		Short: "Run an experiment",
		Long: "run runs an experiment and stores its results. It exits with 1 at the first fault that it finds in the programs,\n" +
			"and with 3 if the experiment itself could not be run.",
		Example:   "  oxbowlab run merge --quick --seed 7",
		Args:      command.ExactArgs(1, "EXPERIMENT"),
		ValidArgs: Names(),
		RunE:      func(_ *cobra.Command, args []string) error { return t.run(args[0], options) },
	}
	cmd.Flags().BoolVar(&options.quick, "quick", false, "at a scale that finishes within 40 s")
	cmd.Flags().Uint64Var(&options.seed, "seed", 1, "seed of data, requests and faults")
	cmd.Flags().StringVar(&options.gathererPath, "program", "", "the built gatherer (default: the one beside this tool)")
	cmd.Flags().StringVar(&options.sizes, "sizes", "", "sizes to run instead of the default ones, for experiments that accept them (hollow)")
	return cmd
}

// run runs an experiment and stores its record.
func (t *tool) run(name string, options runOptions) error {
	experiment, known := lookUp(name)
	if !known {
		return command.Usagef("unknown experiment %q", name)
	}
	gathererPath, version, err := findGatherer(options.gathererPath)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "oxbowlab")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	record := newRecord(experiment.Name)
	record.Seed, record.Quick, record.Program = options.seed, options.quick, version
	env := &Env{
		Seed:         options.seed,
		Quick:        options.quick,
		Sizes:        options.sizes,
		GathererPath: gathererPath,
		Dir:          dir,
		Record:       record,
		Out:          t.stderr,
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	finding := experiment.Run(ctx, env)
	if ctx.Err() != nil {
		return errInterrupted
	}
	record.Seconds = time.Since(record.StartedAt).Seconds()
	if finding != nil {
		record.Finding = finding.Error()
	}
	if err := t.withArchive(func(a *Archive) error { return a.Put(record) }); err != nil {
		return err
	}
	if finding != nil {
		return findingError{finding}
	}
	record.WriteText(t.stdout, false)
	fmt.Fprintf(t.stdout, "\nstored run %s; 'oxbowlab show %s' shows it again\n", record.ID, record.ID)
	return nil
}

// findGatherer returns the path of the built gatherer, by default the one in the directory of this tool, and its version.
func findGatherer(path string) (gathererPath, version string, err error) {
	if path == "" {
		own, err := os.Executable()
		if err != nil {
			return "", "", err
		}
		path = filepath.Join(filepath.Dir(own), gathererProgram)
	}
	output, err := exec.Command(path, "version").Output()
	if err != nil {
		return "", "", fmt.Errorf("the gatherer %s does not run: %w", path, err)
	}
	return path, strings.TrimSpace(string(output)), nil
}
