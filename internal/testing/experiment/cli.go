package experiment

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"oxbowspan/internal/command"
)

// Exit codes in addition to 0 and command.ExitUsage.
const (
	exitFinding = 1 // an experiment found a fault in the programs under test
	exitFailure = 3 // the tool itself failed
)

// defaultArchive is the default path of the archive.
const defaultArchive = "found/lab.db"

// findingError is a fault in the programs under test, as opposed to a failure of the tool.
type findingError struct{ error }

func (f findingError) Error() string { return "found: " + f.error.Error() }

func (f findingError) Unwrap() error { return f.error }

// Main runs the tool and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	return command.Run(newRootCommand(stdout, stderr), args, stderr, func(err error) int {
		if finding := (findingError{}); errors.As(err, &finding) {
			return exitFinding
		}
		return exitFailure
	})
}

// tool is the state that the commands share.
type tool struct {
	stdout, stderr io.Writer
	archivePath    string
}

func newRootCommand(stdout, stderr io.Writer) *cobra.Command {
	t := &tool{stdout: stdout, stderr: stderr}
	root := command.NewRoot(&cobra.Command{
		Use:   "oxbowlab",
		Short: "Run experiments on the built programs and store their results",
		Long: "oxbowlab starts built programs and stand-ins on loopback, runs an experiment on them, checks the responses\n" +
			"and stores the results in an archive.",
		Example: "  oxbowlab run merge --quick\n  oxbowlab list\n  oxbowlab table merge --markdown\n  oxbowlab chart merge latency > latency.svg",
	}, stdout, stderr)
	root.PersistentFlags().StringVar(&t.archivePath, "archive", defaultArchive, "file in which the results are stored")
	root.AddCommand(t.newRunCommand(), t.newBenchCommand(), t.newExperimentsCommand(), t.newListCommand(), t.newShowCommand(),
		t.newTableCommand(), t.newChartCommand(), newClusterCommand(stdout, stderr), newLossesCommand(stdout),
		newConnectionHolderCommand(stdout))
	root.AddCommand(formerName(newClusterCommand(stdout, stderr), "colony"))
	return root
}

// formerName renames a command to one of its former names and hides it from the help.
func formerName(cmd *cobra.Command, name string) *cobra.Command {
	_, arguments, _ := strings.Cut(cmd.Use, " ")
	cmd.Use = name + " " + arguments
	cmd.Hidden = true
	return cmd
}

// withArchive opens the archive, calls do with it and closes it.
func (t *tool) withArchive(do func(a *Archive) error) error {
	archive, err := OpenArchive(t.archivePath)
	if err != nil {
		return err
	}
	defer archive.Close()
	return do(archive)
}

// withRecord calls do with the record of a run; see Archive.Find.
func (t *tool) withRecord(name string, do func(r *Record) error) error {
	return t.withArchive(func(a *Archive) error {
		r, err := a.Find(name)
		if err != nil {
			return err
		}
		return do(r)
	})
}

func (t *tool) newBenchCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "bench NAME FILE",
		Short:   "Store the output of 'go test -bench' as a run, with tables and charts",
		Args:    command.ExactArgs(2, "NAME FILE"),
		Example: "  go test -run xxx -bench Merge -benchmem ./merge > b.txt && oxbowlab bench merge-ways b.txt",
		RunE: func(_ *cobra.Command, args []string) error {
			file, err := os.Open(args[1])
			if err != nil {
				return err
			}
			defer file.Close()
			r := newRecord(args[0])
			if err := r.ReadBenchmarks(file); err != nil {
				return fmt.Errorf("%s: %w", args[1], err)
			}
			return t.withArchive(func(a *Archive) error { return a.Put(r) })
		},
	}
}

func (t *tool) newExperimentsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "experiments",
		Short: "List the experiments",
		Args:  command.ExactArgs(0, "none"),
		Run: func(*cobra.Command, []string) {
			for _, name := range Names() {
				fmt.Fprintf(t.stdout, "%-18s %s\n", name, experiments[name].Short)
			}
		},
	}
}

func (t *tool) newListCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the runs in the archive",
		Args:  command.ExactArgs(0, "none"),
		RunE: func(*cobra.Command, []string) error {
			return t.withArchive(func(a *Archive) error {
				records, err := a.All()
				for _, r := range records {
					result := "good"
					if r.Finding != "" {
						result = "found: " + r.Finding
					}
					fmt.Fprintf(t.stdout, "%s  %-18s seed %d  quick %-5t  %5.1f s  %s\n", r.ID, r.Experiment, r.Seed, r.Quick, r.Seconds, result)
				}
				return err
			})
		},
	}
}

func (t *tool) newShowCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "show RUN",
		Short: "Show a run, given by its id, or the newest run of an experiment",
		Args:  command.ExactArgs(1, "RUN"),
		RunE: func(_ *cobra.Command, args []string) error {
			return t.withRecord(args[0], func(r *Record) error {
				fmt.Fprintf(t.stdout, "run %s of %s, started %s, %.1f s, seed %d, quick %t\nprogram %s\nmachine %s\n", r.ID, r.Experiment,
					r.StartedAt.Format(time.RFC3339), r.Seconds, r.Seed, r.Quick, r.Program, r.Machine)
				if r.Finding != "" {
					fmt.Fprintf(t.stdout, "found: %s\n", r.Finding)
				}
				r.WriteText(t.stdout, false)
				if charts := r.ChartNames(); len(charts) > 0 {
					fmt.Fprintf(t.stdout, "\ncharts: %s\n", strings.Join(charts, ", "))
				}
				return nil
			})
		},
	}
}

func (t *tool) newTableCommand() *cobra.Command {
	var markdown bool
	cmd := &cobra.Command{
		Use:   "table RUN",
		Short: "Print a run's tables",
		Args:  command.ExactArgs(1, "RUN"),
		RunE: func(_ *cobra.Command, args []string) error {
			return t.withRecord(args[0], func(r *Record) error {
				r.WriteText(t.stdout, markdown)
				return nil
			})
		},
	}
	cmd.Flags().BoolVar(&markdown, "markdown", false, "as Markdown")
	return cmd
}

func (t *tool) newChartCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "chart RUN CHART",
		Short: "Print one of a run's charts as SVG",
		Args:  command.ExactArgs(2, "RUN CHART"),
		RunE: func(_ *cobra.Command, args []string) error {
			return t.withRecord(args[0], func(r *Record) error { return r.WriteChart(args[1], t.stdout) })
		},
	}
}
