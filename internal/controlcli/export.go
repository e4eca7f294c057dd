package controlcli

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"oxbowspan/config"
	"oxbowspan/internal/acceptorstore"
	"oxbowspan/internal/controlclient"
)

// exportFormat is the version of the export's format.
const exportFormat = 1

// stateExport holds the value that one acceptor accepted last. It serves to recover from the permanent loss of a majority.
type stateExport struct {
	Format        int                `json:"format"`
	Slot          uint64             `json:"turn"`
	Version       uint64             `json:"version"`
	Configuration string             `json:"configuration"` // byte for byte, because the digest that was agreed on is of these bytes
	Documents     []exportedDocument `json:"notes"`
}

// exportedDocument is a document beside the configuration.
type exportedDocument struct {
	Name string `json:"name"`
	Body string `json:"body"`
}

var (
	errNotExport        = errors.New("the file is not a state export in a format that this program supports")
	errHasConfiguration = errors.New("the cluster has a configuration: only one that starts anew, with empty disks and first_start, can be restored")
)

const exportWarning = "The export holds what this acceptor accepted last: others may have later slots, and the slot may not have been decided. " +
	"Export the state of all remaining acceptors, and use the one with the highest slot."

// exportState writes an export of a state file's contents to a file.
func exportState(contents *acceptorstore.Contents, file string, out io.Writer) error {
	if len(contents.Body) == 0 {
		return errNoConfiguration
	}
	export := stateExport{
		Format:        exportFormat,
		Slot:          uint64(contents.Slot),
		Version:       uint64(contents.Version),
		Configuration: string(contents.Body),
		Documents:     []exportedDocument{},
	}
	for _, document := range contents.Documents {
		export.Documents = append(export.Documents, exportedDocument{document.Name, string(document.Body)})
	}
	text, err := json.MarshalIndent(export, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return fmt.Errorf("write export: %w", err)
	}
	fmt.Fprintf(out, "exported slot %d, version %d and %d documents to %s\n", export.Slot, export.Version, len(export.Documents), file)
	fmt.Fprintln(out, exportWarning)
	return nil
}

// restoreCommand returns the command that commits an export on a cluster that starts anew.
func restoreCommand(path *string, out io.Writer) *ffcli.Command {
	e := &environment{settingsPath: path, out: out}
	var acceptLoss bool
	return e.command(remoteCommand{
		parent:  controllerName + " state",
		name:    "restore",
		usage:   "FILE",
		help:    "commit an export on a cluster that starts anew and has no configuration yet",
		minArgs: 1,
		maxArgs: 1,
		setFlags: func(flags *flag.FlagSet) {
			flags.BoolVar(&acceptLoss, "lose-the-rest", false, "accept that what was acknowledged after the export is lost")
		},
		run: func(ctx context.Context, client *controlclient.Client, args []string) error {
			return e.restore(ctx, client, args[0], acceptLoss)
		},
	})
}

// restore commits the configuration and the documents of an export. It fails if the cluster has a configuration or acceptLoss is not set.
func (e *environment) restore(ctx context.Context, client *controlclient.Client, file string, acceptLoss bool) error {
	export, configuration, err := readExport(file)
	if err != nil {
		return err
	}
	switch _, _, err := client.Configuration(ctx); {
	case err == nil:
		return errHasConfiguration
	case !errors.Is(err, controlclient.ErrNotFound):
		return err
	}
	if !acceptLoss {
		return fmt.Errorf("this would commit version %d of slot %d; whatever was acknowledged after it is lost, "+
			"and gateways that still run keep what they have until they are restarted: confirm with --lose-the-rest",
			configuration.Version, export.Slot)
	}
	if _, err := client.ReplaceConfiguration(ctx, 0, []byte(export.Configuration)); err != nil {
		return err
	}
	fmt.Fprintf(e.out, "version %d is committed\n", configuration.Version)
	for _, document := range export.Documents {
		if _, err := client.Replace(ctx, document.Name, 0, []byte(document.Body)); err != nil {
			return fmt.Errorf("the configuration is restored, but the %s document is not: %w", document.Name, err)
		}
		fmt.Fprintf(e.out, "the %s document is committed\n", document.Name)
	}
	return nil
}

// readExport reads an export from a file, and decodes the configuration in it.
func readExport(file string) (*stateExport, *config.Configuration, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, fmt.Errorf("read export: %w", err)
	}
	export := &stateExport{}
	if err := json.Unmarshal(text, export); err != nil || export.Format != exportFormat {
		return nil, nil, errNotExport
	}
	configuration, err := config.Parse([]byte(export.Configuration))
	if err != nil {
		return nil, nil, err
	}
	return export, configuration, nil
}
