package acceptorstore

import (
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"

	"github.com/rotisserie/eris"
	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"oxbowspan/consensus"
	"oxbowspan/rpc"
)

// ErrUnused is returned by Inspect for a file that was created but never written to.
var ErrUnused = errors.New("the state file was never used")

// Contents is the decoded state file of a controller.
type Contents struct {
	Format   uint64               `json:"format"`
	Identity consensus.AcceptorID `json:"identity"`
	Promised consensus.Ballot     `json:"promised"`
	Accepted consensus.Ballot     `json:"accepted"`

	// Fields of the accepted value, which may not have been decided.
	Slot          consensus.Slot      `json:"turn"`
	Version       consensus.Version   `json:"version"` // of the configuration
	BasedOn       consensus.Version   `json:"based_on"`
	Digest        string              `json:"digest"` // SHA-256 of the configuration, in hexadecimal
	Members       []consensus.Member  `json:"members"`
	PriorMembers  []consensus.Member  `json:"prior"` // members of the previous slot
	PriorVersions []consensus.Version `json:"past"`  // prior versions of the configuration, the oldest first

	Servers int   `json:"servers"` // number of servers in the hints
	Bytes   int64 `json:"bytes"`   // size of the file

	Body      []byte               `json:"-"` // the configuration's JSON
	Documents []consensus.Document `json:"-"`
}

// Inspect reads the state file in the data directory of a stopped controller, without changing it. It returns ErrUnused, an
// [*UnsupportedFormatError], an error that wraps ErrCorrupt, or the error of opening the file.
func Inspect(dir string) (c *Contents, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // as in openFile
	defer func() {
		if r := recover(); r != nil {
			c, err = nil, fmt.Errorf("%w: %v", ErrCorrupt, r)
		}
	}()
	path := filepath.Join(dir, fileName)
	info, err := os.Stat(path)
	if err != nil {
		return nil, eris.Wrap(err, "there is no state file")
	}
	db, err := bbolt.Open(path, 0o644, &bbolt.Options{ReadOnly: true, Timeout: lockTimeout})
	if err != nil {
		return nil, eris.Wrap(err, "opening the state file, which a running controller locks")
	}
	defer db.Close()
	if err := checkIntegrity(db, path); err != nil {
		return nil, err
	}
	c = &Contents{Bytes: info.Size()}
	if err := db.View(c.read); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Contents) read(tx *bbolt.Tx) error {
	b := tx.Bucket(stateBucket)
	if b == nil {
		return ErrUnused
	}
	if c.Format = readFormat(b); !isReadable(c.Format) {
		return &UnsupportedFormatError{c.Format}
	}
	c.Identity, _ = readIdentity(b)
	var state consensus.AcceptorState
	if err := readState(tx, b, &state); err != nil {
		return err
	}
	c.Promised, c.Accepted = state.Promised, state.Accepted
	if state.Value != nil {
		c.setValue(state.Value)
	}
	hints := &rpc.Gossip{}
	if proto.Unmarshal(readHints(tx, b), hints) == nil {
		c.Servers = len(hints.Reports)
	}
	return nil
}

func (c *Contents) setValue(v *consensus.Value) {
	c.Slot, c.Version, c.BasedOn, c.Digest = v.Slot, v.Version, v.BasedOn, hex.EncodeToString([]byte(v.Digest))
	c.Members, c.PriorMembers, c.Body, c.Documents = v.Members, v.PriorMembers, v.Body, v.Documents
	for _, revision := range v.PriorRevisions {
		c.PriorVersions = append(c.PriorVersions, revision.Version)
	}
}
