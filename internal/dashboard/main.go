package dashboard

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"oxbowspan/internal/admin"
	"oxbowspan/internal/command"
)

// exitFailure is the exit code if the states of the gatherer could not be read or recorded.
const exitFailure = 1

// socketVariable is the environment variable that names the admin socket.
const socketVariable = "OXBOWSPAN_SOCKET"

// Main runs the dashboard as a program and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var socket, record string
	root := command.NewRoot(&cobra.Command{
		Use:   "oxbowwatch",
		Short: "Show a running gatherer on a terminal",
		Long:  "oxbowwatch is the dashboard that 'oxbowspan watch' starts.",
		Args:  command.NoArgs,
	}, stdout, stderr)
	root.Flags().StringVar(&socket, "socket", os.Getenv(socketVariable), "the gatherer's admin socket ("+socketVariable+")")
	root.Flags().StringVar(&record, "record", "", "also append the signals to this file")
	root.RunE = func(*cobra.Command, []string) error { return watch(socket, record) }
	return command.Run(root, args, stderr, func(error) int { return exitFailure })
}

// watch shows the states of the gatherer that serves an admin socket. If recordPath is not empty, it appends the signals to that file.
func watch(socket, recordPath string) error {
	if socket == "" {
		return errors.New("no socket: give --socket or set " + socketVariable)
	}
	client, err := admin.Dial(socket)
	if err != nil {
		return err
	}
	defer client.Close()
	if err := client.Watch(); err != nil {
		return err
	}
	if recordPath == "" {
		return Run(client)
	}
	file, err := os.OpenFile(recordPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("record signals: %w", err)
	}
	defer file.Close()
	return Run(admin.Recorder{Source: client, Out: file})
}
