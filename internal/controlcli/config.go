package controlcli

import (
	"bytes"
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"slices"

	"github.com/peterbourgon/ff/v3/ffcli"

	"oxbowspan/controlapi"
	"oxbowspan/internal/controlclient"
)

// configCommand returns the command with subcommands that show and replace the configuration.
func configCommand(path *string, out io.Writer) *ffcli.Command {
	const parent = controllerName + " config"
	e := &environment{settingsPath: path, out: out}
	var basedOn int64
	put := remoteCommand{parent: parent, name: "put", usage: "FILE", minArgs: 1, maxArgs: 1,
		help:     "commit a configuration in place of the newest",
		setFlags: func(flags *flag.FlagSet) { basedOnFlag(flags, &basedOn) },
		run: func(ctx context.Context, client *controlclient.Client, args []string) error {
			return e.configPut(ctx, client, args[0], basedOn)
		},
	}
	return &ffcli.Command{
		Name:       "config",
		ShortUsage: parent + " get|put|diff|history|explain",
		ShortHelp:  "show and replace the configuration",
		FlagSet:    flag.NewFlagSet("config", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{
			e.command(remoteCommand{parent: parent, name: "get", run: e.configGet,
				help: "print the newest configuration"}),
			e.command(put),
			e.command(remoteCommand{parent: parent, name: "diff", usage: "FILE", minArgs: 1, maxArgs: 1, run: e.configDiff,
				help: "list the changes that the configuration in a file would make"}),
			e.command(remoteCommand{parent: parent, name: "history", run: e.configHistory,
				help: "list the retained versions, the oldest first"}),
			e.command(remoteCommand{parent: parent, name: "explain", usage: "HOST/PATH", minArgs: 1, maxArgs: 1, run: e.configExplain,
				help: "show the route that a request matches, its services, and the gateways that have this version in force"}),
		},
		Exec: showUsage,
	}
}

// basedOnFlag adds the flag for the version that a new one replaces.
func basedOnFlag(flags *flag.FlagSet, basedOn *int64) {
	flags.Int64Var(basedOn, "based-on", newestBase, "the `version` to replace; default: the newest")
}

// configGet prints the text of the committed configuration, followed by one newline.
func (e *environment) configGet(ctx context.Context, client *controlclient.Client, _ []string) error {
	_, text, err := client.Configuration(ctx)
	if err != nil {
		return err
	}
	_, err = e.out.Write(append(bytes.TrimRight(text, "\n"), '\n'))
	return err
}

// configPut commits the configuration in a file.
func (e *environment) configPut(ctx context.Context, client *controlclient.Client, file string, basedOn int64) error {
	_, text, err := readConfiguration(file)
	if err != nil {
		return err
	}
	return e.replace(ctx, replacement{
		basedOn: basedOn,
		newest: func(ctx context.Context) (uint64, error) {
			newest, _, err := client.Configuration(ctx)
			if err != nil {
				return 0, err
			}
			return newest.Version, nil
		},
		commit: func(ctx context.Context, basedOn uint64) (uint64, error) {
			return client.ReplaceConfiguration(ctx, basedOn, text)
		},
		report: func(out io.Writer, version, basedOn uint64) {
			fmt.Fprintf(out, "version %d is committed, based on %d\n", version, basedOn)
		},
	})
}

var historyColumns = []column[controlapi.HistoryEntry]{
	{"VERSION", func(e controlapi.HistoryEntry) string { return fmt.Sprint(e.Version) }},
	{"BASED ON", func(e controlapi.HistoryEntry) string { return fmt.Sprint(e.BasedOn) }},
	{"DIGEST", func(e controlapi.HistoryEntry) string { return fmt.Sprintf("%.16s", e.Digest) }},
}

func (e *environment) configHistory(ctx context.Context, client *controlclient.Client, _ []string) error {
	listing, err := client.History(ctx)
	if err != nil {
		return err
	}
	versions := listing.Items
	slices.SortFunc(versions, func(a, b controlapi.HistoryEntry) int { return cmp.Compare(a.Version, b.Version) })
	return e.printListing(versions, listing.Unreachable, func(w io.Writer) { writeTable(w, historyColumns, versions) })
}
