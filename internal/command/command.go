// Package command holds the code shared by the project's command lines: a root command that prints its help, usage errors, and exit codes.
// It is independent of the commands themselves.
package command

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// ExitUsage is the exit code for an error in the command line.
const ExitUsage = 2

// UsageError is an error in the command line, as opposed to a failure of the command.
type UsageError struct{ error }

// Unwrap returns the wrapped error.
func (u UsageError) Unwrap() error { return u.error }

// Usagef returns a UsageError with a formatted message.
func Usagef(format string, args ...any) error { return UsageError{fmt.Errorf(format, args...)} }

// NoArgs is a cobra.PositionalArgs that rejects all positional arguments with a UsageError.
func NoArgs(_ *cobra.Command, args []string) error {
	if len(args) > 0 {
		return Usagef("unexpected argument %q", args[0])
	}
	return nil
}

// ExactArgs returns a cobra.PositionalArgs that requires n positional arguments; usage names them in the UsageError.
func ExactArgs(n int, usage string) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if len(args) != n {
			return Usagef("%d arguments were given, wanted: %s", len(args), usage)
		}
		return nil
	}
}

// NewGroup returns a command that only groups subcommands; without a subcommand it prints its help.
func NewGroup(use, short string) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: NoArgs, RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
}

// NewRoot configures a command as the root command and returns it. Without a subcommand it prints its help to stderr; that, an unknown
// subcommand and an invalid flag are UsageErrors.
func NewRoot(root *cobra.Command, stdout, stderr io.Writer) *cobra.Command {
	root.SilenceErrors, root.SilenceUsage = true, true
	root.Args = func(_ *cobra.Command, args []string) error {
		if len(args) > 0 {
			return Usagef("unknown command %q", args[0])
		}
		return nil
	}
	root.RunE = func(c *cobra.Command, _ []string) error {
		c.SetOut(stderr)
		c.Help()
		return Usagef("no command was given")
	}
	root.SetOut(stdout)
	root.SetErr(stderr)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return UsageError{err} })
	return root
}

// Run runs a root command, prints its error to stderr and returns the exit code: 0 on success, ExitUsage for a UsageError, and the result
// of exitCode for any other error.
func Run(root *cobra.Command, args []string, stderr io.Writer, exitCode func(error) int) int {
	root.SetArgs(args)
	err := root.Execute()
	var usage UsageError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage):
		fmt.Fprintf(stderr, "%s: %v; '%s help' lists the commands\n", root.Name(), err, root.Name())
		return ExitUsage
	}
	fmt.Fprintf(stderr, "%s: %v\n", root.Name(), err)
	return exitCode(err)
}
