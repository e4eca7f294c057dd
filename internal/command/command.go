// Package command is what the project's command lines share: a root command that lists what there is, errors in the command line, and
// exit codes. It knows nothing of what the commands do.
package command

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// ExitUsage is the exit code for an error in the command line.
const ExitUsage = 2

// UsageError is an error in the command line, not in what was to be done.
type UsageError struct{ error }

// Unwrap returns the cause.
func (u UsageError) Unwrap() error { return u.error }

// Usagef formats a UsageError.
func Usagef(format string, args ...any) error { return UsageError{fmt.Errorf(format, args...)} }

// NoArgs accepts no arguments beside the flags.
func NoArgs(_ *cobra.Command, args []string) error {
	if len(args) > 0 {
		return Usagef("unexpected argument %q", args[0])
	}
	return nil
}

// ExactArgs accepts n arguments beside the flags; usage names them.
func ExactArgs(n int, usage string) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if len(args) != n {
			return Usagef("%d arguments were given, wanted: %s", len(args), usage)
		}
		return nil
	}
}

// NewGroup returns a command that only groups others: alone it prints its help.
func NewGroup(use, short string) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: NoArgs, RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
}

// NewRoot makes a command the root command. Alone, and with an unknown command, it is an error.
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

// Run runs a root command, prints its error and returns the exit code: 0, ExitUsage for a UsageError, or that of exitCode for another
// error.
func Run(root *cobra.Command, args []string, stderr io.Writer, exitCode func(error) int) int {
	root.SetArgs(args)
	err := root.Execute()
	var usage UsageError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage):
		fmt.Fprintf(stderr, "%s: %v; '%s help' lists what there is\n", root.Name(), err, root.Name())
		return ExitUsage
	}
	fmt.Fprintf(stderr, "%s: %v\n", root.Name(), err)
	return exitCode(err)
}
