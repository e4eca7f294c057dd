package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"oxbowspan/internal/admin"
	"oxbowspan/internal/command"
)

// newWatchCommand returns the command that shows a running gatherer on the terminal.
func newWatchCommand(stdout io.Writer) *cobra.Command {
	var socketPath, recordPath string
	var plain bool
	c := &cobra.Command{
		Use:     "watch",
		Short:   "Show a running gatherer: level, shed requests, servers",
		Args:    command.NoArgs,
		Example: "  oxbowspan watch --socket oxbowspan.sock\n  oxbowspan watch --plain --record signals.txt",
		RunE: func(*cobra.Command, []string) error {
			if socketPath == "" {
				return errNoSocket
			}
			if !plain {
				return execDashboard("--socket", socketPath, "--record", recordPath)
			}
			return watchPlain(socketPath, recordPath, stdout)
		},
	}
	addSocketFlag(c, &socketPath)
	c.Flags().BoolVar(&plain, "plain", false, "print one line for each state, for use in a pipe")
	c.Flags().StringVar(&recordPath, "record", "", "also append the signals to this file, for 'oxbowspan level replay'")
	return c
}

// execDashboard replaces this process by the dashboard, a separate program in the same directory. As part of this program, its libraries
// would use memory in every gatherer.
func execDashboard(args ...string) error {
	own, err := os.Executable()
	if err != nil {
		return err
	}
	program := filepath.Join(filepath.Dir(own), "oxbowwatch")
	if err := syscall.Exec(program, append([]string{program}, args...), os.Environ()); err != nil {
		return fmt.Errorf("the dashboard is a separate program, %s: %w; --plain works without it", program, err)
	}
	return nil
}

// watchPlain prints a line for each state until SIGINT or SIGTERM, and appends the signals to the file at recordPath, if not empty.
func watchPlain(socketPath, recordPath string, stdout io.Writer) error {
	client, err := admin.Dial(socketPath)
	if err != nil {
		return err
	}
	defer client.Close()
	if err := client.Watch(); err != nil {
		return err
	}
	var source admin.Source = client
	if recordPath != "" {
		file, err := os.OpenFile(recordPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		defer file.Close()
		source = admin.Recorder{Source: client, Out: file}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	go func() {
		<-ctx.Done()
		client.Close() // makes Next return
	}()
	for {
		state, err := source.Next()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		fmt.Fprintln(stdout, formatState(state))
	}
}

// formatState returns a state as one line of key=value pairs.
func formatState(s admin.State) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s level=%s for=%.1f searches=%d", s.At.Format(time.RFC3339), s.Level, s.LevelSeconds, s.OpenRequests)
	if s.PinSecondsLeft > 0 {
		fmt.Fprintf(&b, " pinned=%.0f", s.PinSecondsLeft)
	}
	for _, signal := range s.Signals {
		if signal.Known {
			fmt.Fprintf(&b, " %s=%.3f", signal.Name, signal.Value)
		}
	}
	return b.String()
}
