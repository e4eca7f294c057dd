// Package cli is the command line: its sub-commands, their flags and exit codes, and where log lines go. It decides
// nothing about searches.
package cli

import (
	"fmt"
	"io"
	"runtime/debug"

	"github.com/spf13/cobra"

	"oxbowspan/internal/command"
)

// exitFailure is the exit code where the program could not start, or not finish what was open.
const exitFailure = 1

// Main runs the program and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	return command.Run(newRoot(stdout, stderr), args, stderr, func(error) int { return exitFailure })
}

func newRoot(stdout, stderr io.Writer) *cobra.Command {
	root := command.NewRoot(&cobra.Command{
		Use:   "oxbowspan",
		Short: "A gatherer: reads many shards for one request",
		Long: "oxbowspan takes a search, asks the shard servers that hold its parts, and answers from what comes back.\n" +
			"It decides well while servers die, hang or slow down, the list is late, or more comes than fits.",
		Example: "  oxbowspan check --config config.json\n" +
			"  oxbowspan serve --config config.json",
		Version: version(),
	}, stdout, stderr)
	root.SetVersionTemplate("oxbowspan {{.Version}}\n")
	root.AddCommand(newServeCommand(stderr), newCheckCommand(stdout), newKeysCommand(stdout), newStoreCommand(stdout), newLevelCommand(stdout), newWatchCommand(stdout), newFleetCommand(stdout), &cobra.Command{
		Use: "version", Short: "Print the version", Args: command.NoArgs,
		Run: func(*cobra.Command, []string) { fmt.Fprintln(stdout, "oxbowspan", version()) },
	})
	return root
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			v += " " + s.Value
		}
	}
	return v + " " + info.GoVersion
}
