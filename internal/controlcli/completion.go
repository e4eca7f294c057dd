package controlcli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// completionCommand prints what a shell needs to complete the program's words: its commands by what stands before them, and their flags.
func completionCommand(name string, root func() *ffcli.Command, out io.Writer) *ffcli.Command {
	return &ffcli.Command{Name: "completion", ShortUsage: name + " completion", ShortHelp: "print the completions for bash: source <(" + name + " completion)",
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return flag.ErrHelp
			}
			fmt.Fprintf(out, "_%s() {\n  local words=\"${COMP_WORDS[*]:0:COMP_CWORD}\" at= w\n  for w in ${words#%s}; do case \"$w\" in -*) ;; *) at=\"$at $w\" ;; esac; done\n  case \"$at\" in\n", name, name)
			walk(root(), "", func(at string, words []string) {
				fmt.Fprintf(out, "  \"%s\") COMPREPLY=($(compgen -W \"%s\" -- \"${COMP_WORDS[COMP_CWORD]}\")) ;;\n", at, strings.Join(words, " "))
			})
			fmt.Fprintf(out, "  *) COMPREPLY=($(compgen -f -- \"${COMP_WORDS[COMP_CWORD]}\")) ;;\n  esac\n}\ncomplete -F _%s %s\n", name, name)
			return nil
		}}
}

// walk visits a command and those below it, each with what stands before and what may follow.
func walk(c *ffcli.Command, at string, visit func(at string, words []string)) {
	var words []string
	for _, s := range c.Subcommands {
		words = append(words, s.Name)
	}
	if c.FlagSet != nil {
		c.FlagSet.VisitAll(func(f *flag.Flag) { words = append(words, "--"+f.Name) })
	}
	if len(words) > 0 {
		visit(at, words)
	}
	for _, s := range c.Subcommands {
		walk(s, at+" "+s.Name, visit)
	}
}
