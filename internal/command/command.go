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

// Usage is an error in the command line, not in what was to be done.
type Usage struct{ error }

func (u Usage) Unwrap() error { return u.error }

// Wrong makes a Usage.
func Wrong(form string, args ...any) error { return Usage{fmt.Errorf(form, args...)} }

// NoArgs takes flags alone.
func NoArgs(_ *cobra.Command, args []string) error {
	if len(args) > 0 {
		return Wrong("unexpected argument %q", args[0])
	}
	return nil
}

// Words takes so many words beside the flags.
func Words(n int, what string) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if len(args) != n {
			return Wrong("%d words were given, wanted: %s", len(args), what)
		}
		return nil
	}
}

// Root makes a root command of one: alone it shows its help and is an error, and so is a word that it does not know.
func Root(root *cobra.Command, stdout, stderr io.Writer) *cobra.Command {
	root.SilenceErrors, root.SilenceUsage = true, true
	root.Args = func(_ *cobra.Command, args []string) error {
		if len(args) > 0 {
			return Wrong("unknown command %q", args[0])
		}
		return nil
	}
	root.RunE = func(c *cobra.Command, _ []string) error {
		c.SetOut(stderr)
		c.Help()
		return Wrong("no command was given")
	}
	root.SetOut(stdout)
	root.SetErr(stderr)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return Usage{err} })
	return root
}

// Run runs a root command, says in one go what was wrong, and returns the exit code: 0, ExitUsage, or what code makes of an
// error.
func Run(root *cobra.Command, args []string, stderr io.Writer, code func(error) int) int {
	root.SetArgs(args)
	err := root.Execute()
	var wrong Usage
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
