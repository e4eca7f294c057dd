package controlcli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"oxbowspan/internal/controlclient"
	"oxbowspan/internal/settings"
)

// commandContext is what the commands that call hives share.
type commandContext struct {
	settingsPath *string // of the settings file, whose seeds are called where no address is given
	addresses    string
	asJSON       bool
	out          io.Writer
}

// flags are those of every such command.
func (o *commandContext) flags(name string) *flag.FlagSet {
	set := flag.NewFlagSet(name, flag.ContinueOnError)
	set.StringVar(&o.addresses, "control", "", "control `addresses` of hives, with commas; else the settings file's seeds")
	set.BoolVar(&o.asJSON, "json", false, "print JSON")
	return set
}

func (o *commandContext) client() (*controlclient.Client, error) {
	addresses := controlclient.ParseAddresses(o.addresses)
	if len(addresses) == 0 {
		s, err := settings.Read(settings.ResolvePath(*o.settingsPath))
		if err != nil {
			return nil, eris.Errorf("no hive is named by --control, and %v", err)
		}
		addresses = s.SeedAddresses
	}
	return controlclient.New(addresses), nil
}

// print writes a value as JSON, or by lines.
func (o *commandContext) print(v any, lines func(w io.Writer)) error {
	if o.asJSON {
		text, err := json.MarshalIndent(v, "", "  ")
		if err == nil {
			fmt.Fprintln(o.out, string(text))
		}
		return err
	}
	w := tabwriter.NewWriter(o.out, 2, 8, 2, ' ', 0)
	lines(w)
	return w.Flush()
}

func (o *commandContext) reportUnreachable(addresses []string) {
	if len(addresses) > 0 && !o.asJSON {
		fmt.Fprintf(o.out, "no answer from %s: what its gatherers say is not here\n", strings.Join(addresses, ", "))
	}
}

// command is one that calls hives, with so many words after its name.
func (o *commandContext) command(parent, name, usage, help string, least, most int, do func(ctx context.Context, k *controlclient.Client, args []string) error) *ffcli.Command {
	set := o.flags(name)
	return &ffcli.Command{Name: name, ShortUsage: strings.TrimSpace(parent + " " + name + " " + usage), ShortHelp: help, FlagSet: set,
		Exec: func(ctx context.Context, rest []string) error {
			var args []string
			for len(rest) > 0 { // flags may stand behind the words too
				if !strings.HasPrefix(rest[0], "-") {
					args, rest = append(args, rest[0]), rest[1:]
					continue
				}
				if set.Parse(rest) != nil {
					return flag.ErrHelp
				}
				rest = set.Args()
			}
			if len(args) < least || len(args) > most {
				return flag.ErrHelp
			}
			k, err := o.client()
			if err != nil {
				return err
			}
			return do(ctx, k, args)
		}}
}
