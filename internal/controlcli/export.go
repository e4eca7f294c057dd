package controlcli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"oxbowspan/config"
	"oxbowspan/internal/acceptorstore"
	"oxbowspan/internal/controlclient"
)

// stateExport is what one disk holds of what was agreed: the way back from a majority that is lost for good.
type stateExport struct {
	Format        int                `json:"format"`
	Turn          uint64             `json:"turn"`
	Version       uint64             `json:"version"`
	Configuration string             `json:"configuration"` // the very bytes, as their digest is agreed on
	Documents     []exportedDocument `json:"notes"`
}

type exportedDocument struct {
	Name string `json:"name"`
	Body string `json:"body"`
}

const exportFormat = 1

func exportState(c *acceptorstore.Contents, file string, out io.Writer) error {
	if len(c.Body) == 0 {
		return eris.New("the state file holds no configuration")
	}
	export := stateExport{Format: exportFormat, Turn: uint64(c.Slot), Version: uint64(c.Version), Configuration: string(c.Body), Documents: []exportedDocument{}}
	for _, n := range c.Documents {
		export.Documents = append(export.Documents, exportedDocument{n.Name, string(n.Body)})
	}
	text, err := json.MarshalIndent(export, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return fmt.Errorf("the copy can't be written: %w", err)
	}
	fmt.Fprintf(out, "turn %d, version %d and %d documents are in %s\n", c.Slot, c.Version, len(export.Documents), file)
	fmt.Fprintln(out, "It is what this disk voted for last: other disks may hold later turns, and a turn beyond the newest may not have been agreed. Export all disks that are left, and keep the highest turn.")
	return nil
}

// restoreCommand has a copy agreed on by a core that begins anew.
func restoreCommand(path *string, out io.Writer) *ffcli.Command {
	o := &commandContext{settingsPath: path, out: out}
	var acceptLoss bool
	c := o.command("oxbowspan-control state", "restore", "FILE", "have a copy agreed on by a core that was begun anew and has nothing yet", 1, 1,
		func(ctx context.Context, k *controlclient.Client, args []string) error {
			return o.restore(ctx, k, args[0], acceptLoss)
		})
	c.FlagSet.BoolVar(&acceptLoss, "lose-the-rest", false, "yes: what was acknowledged after the copy is gone")
	return c
}

func (o *commandContext) restore(ctx context.Context, k *controlclient.Client, file string, acceptLoss bool) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("the copy can't be read: %w", err)
	}
	var export stateExport
	if err := json.Unmarshal(text, &export); err != nil || export.Format != exportFormat {
		return eris.New("the file is no copy of a state that this program reads")
	}
	conf, err := config.Parse([]byte(export.Configuration))
	if err != nil {
		return err
	}
	if _, _, err := k.Configuration(ctx); !eris.Is(err, controlclient.ErrNotFound) {
		if err != nil {
			return err
		}
		return eris.New("the core has a configuration: only one that was begun anew, with empty disks and first_start, takes a copy")
	}
	if !acceptLoss {
		return eris.Errorf("version %d of turn %d would be agreed on, and whatever was acknowledged after it is gone for good; gatherers that still run keep what they have until they are begun anew. Say --lose-the-rest", conf.Version, export.Turn)
	}
	if _, err := k.Replace(ctx, "configuration", 0, []byte(export.Configuration)); err != nil {
		return err
	}
	fmt.Fprintf(o.out, "version %d is agreed\n", conf.Version)
	for _, n := range export.Documents {
		if _, err := k.Replace(ctx, n.Name, 0, []byte(n.Body)); err != nil {
			return eris.Wrapf(err, "the configuration is restored, the %s are not", n.Name)
		}
		fmt.Fprintf(o.out, "the %s are agreed\n", n.Name)
	}
	return nil
}
