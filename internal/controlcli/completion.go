package controlcli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Templates of the bash completion function. The function joins the commands before the cursor and selects the candidates for them. The
// formatting verb %[1]s stands for the program's name.
const (
	completionHead = `_%[1]s() {
  local words="${COMP_WORDS[*]:0:COMP_CWORD}" at= w
  for w in ${words#%[1]s}; do case "$w" in -*) ;; *) at="$at $w" ;; esac; done
  case "$at" in
`
	completionCase = `  "%s") COMPREPLY=($(compgen -W "%s" -- "${COMP_WORDS[COMP_CWORD]}")) ;;
`
	completionTail = `  *) COMPREPLY=($(compgen -f -- "${COMP_WORDS[COMP_CWORD]}")) ;;
  esac
}
complete -F _%[1]s %[1]s
`
)

// completionCommand returns the command that prints a bash script. The script completes the commands and flags below root.
func completionCommand(root *ffcli.Command, out io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "completion",
		ShortUsage: root.Name + " completion",
		ShortHelp:  "print completions for bash: source <(" + root.Name + " completion)",
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return flag.ErrHelp
			}
			fmt.Fprintf(out, completionHead, root.Name)
			walkCommands(root, "", func(path string, candidates []string) {
				fmt.Fprintf(out, completionCase, path, strings.Join(candidates, " "))
			})
			fmt.Fprintf(out, completionTail, root.Name)
			return nil
		},
	}
}

// walkCommands calls visit for a command and all commands below it that have subcommands or flags. The path consists of the names of the
// commands that lead to the command, each preceded by a space.
func walkCommands(command *ffcli.Command, path string, visit func(path string, candidates []string)) {
	var candidates []string
	for _, sub := range command.Subcommands {
		candidates = append(candidates, sub.Name)
	}
	if command.FlagSet != nil {
		command.FlagSet.VisitAll(func(f *flag.Flag) { candidates = append(candidates, "--"+f.Name) })
	}
	if len(candidates) > 0 {
		visit(path, candidates)
	}
	for _, sub := range command.Subcommands {
		walkCommands(sub, path+" "+sub.Name, visit)
	}
}
