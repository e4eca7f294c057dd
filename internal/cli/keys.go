package cli

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"oxbowspan/internal/command"
)

// newKeysCommand makes the keys that sign cursors. They are printed, never written: where secrets lie is the operator's.
func newKeysCommand(stdout io.Writer) *cobra.Command {
	keys := &cobra.Command{Use: "keys", Short: "Make keys for the operator's file", Args: command.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	var id string
	fresh := &cobra.Command{Use: "new", Short: "Print a new line for a key file, with a random secret", Args: command.NoArgs,
		Long: "new prints a line \"ID SECRET\" for a file of cursor keys. The first line of such a file signs, all lines are\n" +
			"accepted: to change the key in service, put the new line first, send SIGHUP to every gatherer, and take the old\n" +
			"line out once its cursors have expired.",
		Example: "  oxbowspan keys new --id 2026-12 > cursor.keys",
		RunE: func(*cobra.Command, []string) error {
			secret := make([]byte, 32)
			rand.Read(secret) // it never fails
			if id == "" {
				id = hex.EncodeToString(secret[:4])
				rand.Read(secret)
			}
			_, err := fmt.Fprintf(stdout, "%s %s\n", id, hex.EncodeToString(secret))
			return err
		}}
	fresh.Flags().StringVar(&id, "id", "", "the key's id, 1 to 16 letters, digits, - or _; random if not given")
	keys.AddCommand(fresh)
	return keys
}
