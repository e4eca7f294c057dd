package dashboard

import (
	"errors"
	"io"
	"os"

	"github.com/spf13/cobra"

	"oxbowspan/internal/admin"
	"oxbowspan/internal/command"
)

// exitFailure is the exit code where the gatherer could not be watched.
const exitFailure = 1

// Main runs the screen as a program and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var socket, record string
	root := command.Root(&cobra.Command{Use: "oxbowwatch", Short: "Show a running gatherer on a terminal", Args: command.NoArgs,
		Long: "oxbowwatch is the screen of 'oxbowspan watch', which starts it."}, stdout, stderr)
	root.Flags().StringVar(&socket, "socket", os.Getenv("OXBOWSPAN_SOCKET"), "the gatherer's admin socket (OXBOWSPAN_SOCKET)")
	root.Flags().StringVar(&record, "record", "", "also append the signals to this file")
	root.RunE = func(*cobra.Command, []string) error {
		if socket == "" {
			return errors.New("no socket: give --socket or set OXBOWSPAN_SOCKET")
		}
		c, err := admin.Dial(socket)
		if err != nil {
			return err
		}
		defer c.Close()
		if err := c.Watch(); err != nil {
			return err
		}
		if record == "" {
			return Run(c)
		}
		f, err := os.OpenFile(record, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		defer f.Close()
		return Run(admin.Recorder{Source: c, Out: f})
	}
	return command.Run(root, args, stderr, func(error) int { return exitFailure })
}
