package command

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/spf13/cobra"
)

func TestRun(t *testing.T) {
	const exitFailure = 7
	for name, c := range map[string]struct {
		args       []string
		exitCode   int
		out, error string
	}{
		"success":          {[]string{"greet", "you"}, 0, "hello you", ""},
		"failure":          {[]string{"greet", "nobody"}, exitFailure, "", "tool: nobody is there\n"},
		"no command":       {nil, ExitUsage, "", "tool: no command was given; 'tool help' lists the commands\n"},
		"unknown command":  {[]string{"gret"}, ExitUsage, "", `unknown command "gret"`},
		"unknown flag":     {[]string{"greet", "--loud"}, ExitUsage, "", "unknown flag: --loud"},
		"missing argument": {[]string{"greet"}, ExitUsage, "", "0 arguments were given, wanted: NAME"},
		"extra argument":   {[]string{"group", "more"}, ExitUsage, "", `unexpected argument "more"`},
		"group alone":      {[]string{"group"}, 0, "A group", ""},
	} {
		t.Run(name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			root := NewRoot(&cobra.Command{Use: "tool"}, &stdout, &stderr)
			root.AddCommand(NewGroup("group", "A group"), &cobra.Command{Use: "greet NAME", Args: ExactArgs(1, "NAME"),
				RunE: func(c *cobra.Command, args []string) error {
					if args[0] == "nobody" {
						return errors.New("nobody is there")
					}
					c.Printf("hello %s", args[0])
					return nil
				}})
			root.SetOut(&stdout)
			code := Run(root, c.args, &stderr, func(error) int { return exitFailure })
			output := stdout.String() + stderr.String()
			if code != c.exitCode || !strings.Contains(stdout.String()+output, c.out) || !strings.Contains(stderr.String(), c.error) {
				t.Errorf("exit code %d, stdout %q, stderr %q", code, stdout.String(), stderr.String())
			}
		})
	}
}
