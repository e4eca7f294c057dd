package entrance

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
	"oxbowspan/internal/beekeeper"
)

// rescue is what one disk holds of what was agreed: the way back from a majority that is lost for good.
type rescue struct {
	Format        int          `json:"format"`
	Turn          uint64       `json:"turn"`
	Version       uint64       `json:"version"`
	Configuration string       `json:"configuration"` // the very bytes, as their digest is agreed on
	Notes         []rescueNote `json:"notes"`
}

type rescueNote struct {
	Name string `json:"name"`
	Body string `json:"body"`
}

const rescueFormat = 1

func exportState(c *acceptorstore.Contents, file string, out io.Writer) error {
	if len(c.Body) == 0 {
		return eris.New("the state file holds no configuration")
	}
	r := rescue{Format: rescueFormat, Turn: uint64(c.Slot), Version: uint64(c.Version), Configuration: string(c.Body), Notes: []rescueNote{}}
	for _, n := range c.Documents {
		r.Notes = append(r.Notes, rescueNote{n.Name, string(n.Body)})
	}
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return fmt.Errorf("the copy can't be written: %w", err)
	}
	fmt.Fprintf(out, "turn %d, version %d and %d documents are in %s\n", c.Slot, c.Version, len(r.Notes), file)
	fmt.Fprintln(out, "It is what this disk voted for last: other disks may hold later turns, and a turn beyond the newest may not have been agreed. Export all disks that are left, and keep the highest turn.")
	return nil
}

// restoreCommand has a copy agreed on by a core that begins anew.
func restoreCommand(path *string, out io.Writer) *ffcli.Command {
	o := &operator{path: path, out: out}
	var lose bool
	c := o.command("hive state", "restore", "FILE", "have a copy agreed on by a core that was begun anew and has nothing yet", 1, 1,
		func(ctx context.Context, k *beekeeper.Keeper, args []string) error {
			return o.restore(ctx, k, args[0], lose)
		})
	c.FlagSet.BoolVar(&lose, "lose-the-rest", false, "yes: what was acknowledged after the copy is gone")
	return c
}

func (o *operator) restore(ctx context.Context, k *beekeeper.Keeper, file string, lose bool) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("the copy can't be read: %w", err)
	}
	var r rescue
	if err := json.Unmarshal(text, &r); err != nil || r.Format != rescueFormat {
		return eris.New("the file is no copy of a state that this program reads")
	}
	conf, err := config.Parse([]byte(r.Configuration))
	if err != nil {
		return err
	}
	if _, _, err := k.Configuration(ctx); !eris.Is(err, beekeeper.ErrNone) {
		if err != nil {
			return err
		}
		return eris.New("the core has a configuration: only one that was begun anew, with empty disks and first_start, takes a copy")
	}
	if !lose {
		return eris.Errorf("version %d of turn %d would be agreed on, and whatever was acknowledged after it is gone for good; gatherers that still run keep what they have until they are begun anew. Say --lose-the-rest", conf.Version, r.Turn)
	}
	if _, err := k.Replace(ctx, "configuration", 0, []byte(r.Configuration)); err != nil {
		return err
	}
	fmt.Fprintf(o.out, "version %d is agreed\n", conf.Version)
	for _, n := range r.Notes {
		if _, err := k.Replace(ctx, n.Name, 0, []byte(n.Body)); err != nil {
			return eris.Wrapf(err, "the configuration is restored, the %s are not", n.Name)
		}
		fmt.Fprintf(o.out, "the %s are agreed\n", n.Name)
	}
	return nil
}
