package controlcli

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"oxbowspan/internal/acceptorstore"
	"oxbowspan/internal/settings"
)

var errNoConfiguration = errors.New("the state file contains no configuration")

// stateCommand returns the command with subcommands that read the state file of a stopped controller, and restore an export.
func stateCommand(path *string, out io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("state", flag.ContinueOnError)
	directory := flags.String("dir", "", "the data `directory`; default from the settings file")
	type contentsFunc func(contents *acceptorstore.Contents, args []string) error
	subcommand := func(name, usage, help string, arguments int, run contentsFunc) *ffcli.Command {
		return &ffcli.Command{
			Name:       name,
			ShortUsage: controllerName + " state [--dir DIR] " + name + usage,
			ShortHelp:  help,
			Exec: func(_ context.Context, args []string) error {
				if len(args) != arguments {
					return flag.ErrHelp
				}
				contents, err := inspectState(*directory, *path)
				if err != nil {
					return err
				}
				return run(contents, args)
			},
		}
	}
	return &ffcli.Command{
		Name:       "state",
		ShortUsage: controllerName + " state [--dir DIR] check|dump|config|export|restore",
		ShortHelp:  "read the state file of a stopped controller; recover from the loss of a majority",
		FlagSet:    flags,
		Subcommands: []*ffcli.Command{
			subcommand("check", "", "check the integrity of the file", 0,
				func(contents *acceptorstore.Contents, _ []string) error {
					fmt.Fprintf(out, "the state file is intact: %d bytes, slot %d, version %d\n", contents.Bytes, contents.Slot, contents.Version)
					return nil
				}),
			subcommand("dump", "", "print the file's contents as JSON, without the configuration", 0,
				func(contents *acceptorstore.Contents, _ []string) error { return dumpState(contents, out) }),
			subcommand("config", "", "print the configuration that was accepted", 0,
				func(contents *acceptorstore.Contents, _ []string) error { return printConfiguration(contents, out) }),
			subcommand("export", " FILE", "write the accepted configuration and documents to FILE", 1,
				func(contents *acceptorstore.Contents, args []string) error {
					return exportState(contents, args[0], out)
				}),
			restoreCommand(path, out),
		},
		Exec: showUsage,
	}
}

// inspectState reads the state file in a directory. If that is "", it is the data directory in the settings file.
func inspectState(directory, settingsPath string) (*acceptorstore.Contents, error) {
	if directory == "" {
		set, err := settings.Read(settings.ResolvePath(settingsPath))
		if err != nil {
			return nil, err
		}
		directory = set.DataDirectory
	}
	return acceptorstore.Inspect(directory)
}

// dumpState prints the contents of a state file as JSON.
func dumpState(contents *acceptorstore.Contents, out io.Writer) error {
	text, err := json.MarshalIndent(contents, "", "  ")
	if err != nil {
		return err
	}
	fmt.Fprintln(out, string(text))
	return nil
}

// printConfiguration prints the accepted configuration byte for byte.
func printConfiguration(contents *acceptorstore.Contents, out io.Writer) error {
	if len(contents.Body) == 0 {
		return errNoConfiguration
	}
	_, err := out.Write(contents.Body)
	return err
}
