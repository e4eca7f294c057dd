// Package command is what the project's command lines share: a root that says what there is, plain words for what is wrong
// with a line, and exit codes. It knows nothing of what commands do.
package command

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// ExitUsage is the exit code where the command line is wrong.
const ExitUsage = 2

// UsageError is an error in the command line, not in what was to be done.
type UsageError struct{ error }

func (u UsageError) Unwrap() error { return u.error }

// Usagef makes a Usage.
func Usagef(form string, args ...any) error { return UsageError{fmt.Errorf(form, args...)} }

// NoArgs takes flags alone.
func NoArgs(_ *cobra.Command, args []string) error {
	if len(args) > 0 {
		return Usagef("unexpected argument %q", args[0])
	}
	return nil
}

// ExactArgs takes so many words beside the flags.
func ExactArgs(n int, what string) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if len(args) != n {
			return Usagef("%d words were given, wanted: %s", len(args), what)
		}
		return nil
	}
}

// NewRoot makes a root command of one: alone it shows its help and is an error, and so is a word that it does not know.
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

// Run runs a root command, says in one go what was wrong, and returns the exit code: 0, ExitUsage, or what code makes of an
// error.
func Run(root *cobra.Command, args []string, stderr io.Writer, code func(error) int) int {
	root.SetArgs(args)
	err := root.Execute()
	var wrong UsageError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &wrong):
		fmt.Fprintf(stderr, "%s: %v; '%s help' lists what there is\n", root.Name(), err, root.Name())
		return ExitUsage
	}
	fmt.Fprintf(stderr, "%s: %v\n", root.Name(), err)
	return code(err)
}
