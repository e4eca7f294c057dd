// Package cli implements the command line of the gatherer: its commands with their flags and exit codes, and the format of log lines. It
// contains no logic for requests.
package cli

import (
	"fmt"
	"io"
	"runtime/debug"

	"github.com/spf13/cobra"

	"oxbowspan/internal/command"
)

// exitFailure is the exit code of a command that failed, for example of a gatherer that could not start or could not finish its open
// requests.
const exitFailure = 1

// Main runs the program and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	return command.Run(newRoot(stdout, stderr), args, stderr, func(error) int { return exitFailure })
}

func newRoot(stdout, stderr io.Writer) *cobra.Command {
	root := command.NewRoot(&cobra.Command{
		Use:   "oxbowspan",
		Short: "Gatherer that reads many shards for one request",
		Long: "oxbowspan accepts a request, calls the shard servers that hold its data, and answers from their results.\n" +
			"It meets its guarantees while servers crash, hang or slow down, the server list is stale, or the load exceeds the capacity.",
		Example: "  oxbowspan check --config config.json\n" +
			"  oxbowspan serve --config config.json",
		Version: version(),
	}, stdout, stderr)
	root.SetVersionTemplate("oxbowspan {{.Version}}\n")
	root.AddCommand(newServeCommand(stderr), newCheckCommand(stdout), newKeysCommand(stdout), newStoreCommand(stdout),
		newLevelCommand(stdout), newWatchCommand(stdout), newFleetCommand(stdout), newVersionCommand(stdout))
	return root
}

func newVersionCommand(stdout io.Writer) *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  command.NoArgs,
		Run:   func(*cobra.Command, []string) { fmt.Fprintln(stdout, "oxbowspan", version()) },
	}
}

// version returns the module's version, its revision and the version of Go, as far as the build recorded them.
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
