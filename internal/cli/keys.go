package cli

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"oxbowspan/internal/command"
)

const (
	secretBytes   = 32
	randomIDBytes = 4
)

// newKeysCommand returns the command that generates keys for key files. It prints them and writes no file, as the operator decides where
// secrets are stored.
func newKeysCommand(stdout io.Writer) *cobra.Command {
	keys := command.NewGroup("keys", "Generate keys for the operator's file")
	var id string
	newKey := &cobra.Command{
		Use:   "new",
		Short: "Print a new line for a key file, with a random secret",
		Args:  command.NoArgs,
		Long: "new prints a line \"ID SECRET\" for a key file. The first line of such a file signs, all lines are accepted: to rotate\n" +
			"the key of cursors, put the new line first, send SIGHUP to every gatherer, and remove the old line once its cursors\n" +
			"have expired.",
		Example: "  oxbowspan keys new --id 2026-12 > cursor.keys",
		RunE:    func(*cobra.Command, []string) error { return printNewKey(stdout, id) },
	}
	newKey.Flags().StringVar(&id, "id", "", "the key's id, 1 to 16 letters, digits, - or _; random if not given")
	keys.AddCommand(newKey)
	return keys
}

func printNewKey(out io.Writer, id string) error {
	if id == "" {
		id = randomHex(randomIDBytes)
	}
	_, err := fmt.Fprintf(out, "%s %s\n", id, randomHex(secretBytes))
	return err
}

func randomHex(n int) string {
	b := make([]byte, n)
	rand.Read(b) // never fails
	return hex.EncodeToString(b)
}
