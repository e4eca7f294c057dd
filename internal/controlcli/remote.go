package controlcli

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"oxbowspan/internal/controlclient"
	"oxbowspan/internal/settings"
)

// environment holds the flags and the output of commands that call controllers.
type environment struct {
	settingsPath *string // settings file, whose seeds are called if no addresses are set
	addresses    string  // control addresses, comma-separated
	asJSON       bool    // print JSON
	out          io.Writer
}

// remoteCommand is a command that calls controllers.
type remoteCommand struct {
	parent   string // the program and command before its name
	name     string
	usage    string // the arguments in the usage text
	help     string
	minArgs  int
	maxArgs  int
	setFlags func(flags *flag.FlagSet) // defines further flags; nil = only the common ones
	run      func(ctx context.Context, client *controlclient.Client, args []string) error
}

// command returns the command. A wrong number of arguments prints its usage.
func (e *environment) command(c remoteCommand) *ffcli.Command {
	flags := flag.NewFlagSet(c.name, flag.ContinueOnError)
	flags.StringVar(&e.addresses, "control", "", "comma-separated control `addresses` of controllers; default: the seeds of the settings file")
	flags.BoolVar(&e.asJSON, "json", false, "print JSON")
	if c.setFlags != nil {
		c.setFlags(flags)
	}
	return &ffcli.Command{
		Name:       c.name,
		ShortUsage: strings.TrimSpace(c.parent + " " + c.name + " " + c.usage),
		ShortHelp:  c.help,
		FlagSet:    flags,
		Exec: func(ctx context.Context, rest []string) error {
			args, err := parseInterspersed(flags, rest)
			if err != nil || len(args) < c.minArgs || len(args) > c.maxArgs {
				return flag.ErrHelp
			}
			client, err := e.client()
			if err != nil {
				return err
			}
			return c.run(ctx, client, args)
		},
	}
}

// parseInterspersed parses flags and returns the arguments. Flags may also follow arguments.
func parseInterspersed(flags *flag.FlagSet, rest []string) (args []string, err error) {
	for len(rest) > 0 {
		if !strings.HasPrefix(rest[0], "-") {
			args, rest = append(args, rest[0]), rest[1:]
			continue
		}
		if err := flags.Parse(rest); err != nil {
			return nil, err
		}
		rest = flags.Args()
	}
	return args, nil
}

// client returns a client for the controllers that --control names, or else for the seeds of the settings file.
func (e *environment) client() (*controlclient.Client, error) {
	addresses := controlclient.ParseAddresses(e.addresses)
	if len(addresses) == 0 {
		set, err := settings.Read(settings.ResolvePath(*e.settingsPath))
		if err != nil {
			return nil, fmt.Errorf("no addresses in --control, and the settings file with the seeds can't be read: %w", err)
		}
		addresses = set.SeedAddresses
	}
	return controlclient.New(addresses), nil
}

// print writes a value as JSON, or the output of lines with its tab-separated columns aligned.
func (e *environment) print(value any, lines func(w io.Writer)) error {
	if e.asJSON {
		text, err := json.MarshalIndent(value, "", "  ")
		if err != nil {
			return err
		}
		fmt.Fprintln(e.out, string(text))
		return nil
	}
	w := tabwriter.NewWriter(e.out, 2, 8, 2, ' ', 0)
	lines(w)
	return w.Flush()
}

// printListing prints the merged result of several controllers. Unless it prints JSON, it names those that did not respond.
func (e *environment) printListing(value any, unreachable []string, lines func(w io.Writer)) error {
	if err := e.print(value, lines); err != nil {
		return err
	}
	if len(unreachable) > 0 && !e.asJSON {
		fmt.Fprintf(e.out, "no response from %s: what they know is missing here\n", strings.Join(unreachable, ", "))
	}
	return nil
}

// column is one column of a table.
type column[T any] struct {
	title string
	cell  func(row T) string
}

// writeTable writes a line of titles and a line for each row, with tabs between the columns.
func writeTable[T any](w io.Writer, columns []column[T], rows []T) {
	cells := make([]string, len(columns))
	for i, c := range columns {
		cells[i] = c.title
	}
	fmt.Fprintln(w, strings.Join(cells, "\t"))
	for _, row := range rows {
		for i, c := range columns {
			cells[i] = c.cell(row)
		}
		fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
}

// newestBase is the value of --based-on that stands for the newest version.
const newestBase = -1

// replacement describes how a new version of a resource is committed.
type replacement struct {
	basedOn int64                                                     // newestBase = the version that newest returns
	newest  func(ctx context.Context) (uint64, error)                 // may fail with ErrNotFound
	commit  func(ctx context.Context, basedOn uint64) (uint64, error) // returns the new version
	report  func(out io.Writer, version uint64, basedOn uint64)       // prints the outcome
}

// replace commits a new version and reports it.
func (e *environment) replace(ctx context.Context, r replacement) error {
	basedOn := uint64(r.basedOn)
	if r.basedOn < 0 {
		newest, err := r.newest(ctx)
		if err != nil && !errors.Is(err, controlclient.ErrNotFound) {
			return err
		}
		basedOn = newest
	}
	version, err := r.commit(ctx, basedOn)
	if err != nil {
		return err
	}
	r.report(e.out, version, basedOn)
	return nil
}
