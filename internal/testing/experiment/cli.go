package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"oxbowspan/internal/command"
)

// Exit codes, beside 0 and command.ExitUsage.
const (
	exitFinding = 1 // an experiment found the program wrong
	exitFailure = 3 // the tool could not do its work
)

// findingError is an experiment's error: something is wrong with the program, not with the tool.
type findingError struct{ error }

func (f findingError) Error() string { return "found: " + f.error.Error() }

// Main runs the tool and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	return command.Run(newRootCommand(stdout, stderr), args, stderr, func(err error) int {
		if found := (findingError{}); errors.As(err, &found) {
			return exitFinding
		}
		return exitFailure
	})
}

func newRootCommand(stdout, stderr io.Writer) *cobra.Command {
	var path string
	root := command.NewRoot(&cobra.Command{Use: "oxbowlab", Short: "Plays experiments on the built gatherer and keeps their results",
		Long: "oxbowlab starts built gatherers and stand-ins on loopback, plays an experiment on them, checks what comes back\n" +
			"and keeps the results in an archive.",
		Example: "  oxbowlab run merge --quick\n  oxbowlab list\n  oxbowlab table merge --markdown\n  oxbowlab chart merge latency > latency.svg",
	}, stdout, stderr)
	root.PersistentFlags().StringVar(&path, "archive", "found/lab.db", "file that keeps the results")
	with := func(do func(a *Archive) error) error {
		a, err := OpenArchive(path)
		if err != nil {
			return err
		}
		defer a.Close()
		return do(a)
	}
	root.AddCommand(newRunCommand(stdout, stderr, with))
	root.AddCommand(newClusterCommand(stdout, stderr))
	root.AddCommand(&cobra.Command{Use: "holder ADDR SOURCE NUMBER", Hidden: true, Args: command.ExactArgs(3, "ADDR SOURCE NUMBER"),
		RunE: func(_ *cobra.Command, args []string) error { return runConnectionHolder(args, os.Stdin, stdout) }})
	root.AddCommand(&cobra.Command{Use: "bench NAME FILE", Short: "Keep what 'go test -bench' printed as a run, with tables and charts",
		Args: command.ExactArgs(2, "NAME FILE"), Example: "  go test -run xxx -bench Merge -benchmem ./merge > b.txt && oxbowlab bench merge-ways b.txt",
		RunE: func(_ *cobra.Command, args []string) error {
			f, err := os.Open(args[1])
			if err != nil {
				return err
			}
			defer f.Close()
			r := newRecord(args[0])
			if err := r.ReadBenchmarks(f); err != nil {
				return fmt.Errorf("%s: %w", args[1], err)
			}
			return with(func(a *Archive) error { return a.Put(r) })
		}})
	root.AddCommand(&cobra.Command{Use: "experiments", Short: "List the experiments", Args: command.ExactArgs(0, "none"),
		Run: func(*cobra.Command, []string) {
			for _, name := range Names() {
				fmt.Fprintf(stdout, "%-12s %s\n", name, experiments[name].Short)
			}
		}})
	root.AddCommand(&cobra.Command{Use: "list", Short: "List the runs in the archive", Args: command.ExactArgs(0, "none"),
		RunE: func(*cobra.Command, []string) error {
			return with(func(a *Archive) error {
				all, err := a.All()
				for _, r := range all {
					end := "good"
					if r.Finding != "" {
						end = "found: " + r.Finding
					}
					fmt.Fprintf(stdout, "%s  %-10s seed %d  quick %-5t  %5.1f s  %s\n", r.ID, r.Experiment, r.Seed, r.Quick, r.Seconds, end)
				}
				return err
			})
		}})
	root.AddCommand(&cobra.Command{Use: "show RUN", Short: "Show a run whole, by its id or the newest of an experiment", Args: command.ExactArgs(1, "RUN"),
		RunE: func(_ *cobra.Command, args []string) error {
			return with(func(a *Archive) error {
				r, err := a.Find(args[0])
				if err != nil {
					return err
				}
				fmt.Fprintf(stdout, "run %s of %s, began %s, %.1f s, seed %d, quick %t\nprogram %s\nmachine %s\n", r.ID, r.Experiment,
					r.StartedAt.Format(time.RFC3339), r.Seconds, r.Seed, r.Quick, r.Program, r.Machine)
				if r.Finding != "" {
					fmt.Fprintf(stdout, "found: %s\n", r.Finding)
				}
				r.WriteText(stdout, false)
				if charts := r.ChartNames(); len(charts) > 0 {
					fmt.Fprintf(stdout, "\ncharts: %s\n", strings.Join(charts, ", "))
				}
				return nil
			})
		}})
	var markdown bool
	tables := &cobra.Command{Use: "table RUN", Short: "Print a run's tables", Args: command.ExactArgs(1, "RUN"),
		RunE: func(_ *cobra.Command, args []string) error {
			return with(func(a *Archive) error {
				r, err := a.Find(args[0])
				if err == nil {
					r.WriteText(stdout, markdown)
				}
				return err
			})
		}}
	tables.Flags().BoolVar(&markdown, "markdown", false, "as Markdown")
	root.AddCommand(tables)
	root.AddCommand(&cobra.Command{Use: "chart RUN CHART", Short: "Print one of a run's charts as SVG", Args: command.ExactArgs(2, "RUN CHART"),
		RunE: func(_ *cobra.Command, args []string) error {
			return with(func(a *Archive) error {
				r, err := a.Find(args[0])
				if err == nil {
					err = r.WriteChart(args[1], stdout)
				}
				return err
			})
		}})
	return root
}

func newRecord(name string) *Record {
	began := time.Now()
	return &Record{ID: began.UTC().Format("20060102T150405.000"), Experiment: name, StartedAt: began,
		Machine: fmt.Sprintf("%s/%s, %d processors", runtime.GOOS, runtime.GOARCH, runtime.NumCPU()), Metrics: map[string]float64{}}
}

func newRunCommand(stdout, stderr io.Writer, with func(func(*Archive) error) error) *cobra.Command {
	var quick bool
	var seed uint64
	var program, sizes string
	c := &cobra.Command{Use: "run EXPERIMENT", Short: "Play an experiment", Args: command.ExactArgs(1, "EXPERIMENT"), ValidArgs: Names(),
		Long: "run plays an experiment and keeps its results. It ends with 1 at the first thing that the program did wrong,\n" +
			"with 3 if the experiment itself could not be played.",
		Example: "  oxbowlab run merge --quick --seed 7"}
	c.Flags().BoolVar(&quick, "quick", false, "at a scale that ends within 40 s")
	c.Flags().Uint64Var(&seed, "seed", 1, "what data, searches and faults are drawn from")
	c.Flags().StringVar(&program, "program", "", "the built gatherer; the one beside this tool if not given")
	c.Flags().StringVar(&sizes, "sizes", "", "sizes of one's own, for experiments that take any (hollow)")
	c.RunE = func(_ *cobra.Command, args []string) error {
		x, known := experiments[args[0]]
		if !known {
			return command.Usagef("unknown experiment %q", args[0])
		}
		if program == "" {
			own, err := os.Executable()
			if err != nil {
				return err
			}
			program = filepath.Join(filepath.Dir(own), "oxbowspan")
		}
		version, err := exec.Command(program, "version").Output()
		if err != nil {
			return fmt.Errorf("the gatherer %s does not run: %w", program, err)
		}
		dir, err := os.MkdirTemp("", "oxbowlab")
		if err != nil {
			return err
		}
		defer os.RemoveAll(dir)
		r := newRecord(x.Name)
		r.Seed, r.Quick, r.Program = seed, quick, strings.TrimSpace(string(version))
		e := &Env{Seed: seed, Quick: quick, Sizes: sizes, GathererPath: program, Dir: dir, Record: r, Out: stderr}
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
		defer stop()
		found := x.Run(ctx, e)
		if ctx.Err() != nil {
			return errors.New("broken off")
		}
		if r.Seconds = time.Since(r.StartedAt).Seconds(); found != nil {
			r.Finding = found.Error()
		}
		if err := with(func(a *Archive) error { return a.Put(r) }); err != nil {
			return err
		}
		if found != nil {
			return findingError{found}
		}
		r.WriteText(stdout, false)
		fmt.Fprintf(stdout, "\nrun %s is kept; 'oxbowlab show %s' shows it again\n", r.ID, r.ID)
		return nil
	}
	return c
}
