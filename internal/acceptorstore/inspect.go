package acceptorstore

import (
	"encoding/binary"
	"encoding/hex"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"github.com/rotisserie/eris"
	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"oxbowspan/consensus"
	"oxbowspan/rpc"
)

// Contents is what a stopped machine's file holds, for people.
type Contents struct {
	Format   uint64               `json:"format"`
	Identity consensus.AcceptorID `json:"identity"`
	Promised consensus.Ballot     `json:"promised"`
	Accepted consensus.Ballot     `json:"accepted"`
	Slot     consensus.Slot       `json:"turn"`    // of the vote, which may not have been decided
	Version  consensus.Version    `json:"version"` // of its configuration
	BasedOn  consensus.Version    `json:"based_on"`
	Digest   string               `json:"digest"` // SHA-256, in hexadecimal
	Members  []consensus.Member   `json:"members"`
	Prior    []consensus.Member   `json:"prior"`
	History  []consensus.Version  `json:"past"`
	Servers  int                  `json:"servers"` // kept as hints
	Bytes    int64                `json:"bytes"`   // of the file

	Body      []byte               `json:"-"` // the configuration
	Documents []consensus.Document `json:"-"`
}

// Inspect reads the file in a directory of a machine that does not run. It changes nothing.
func Inspect(dir string) (c *Contents, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			c, err = nil, eris.Errorf("the state file is damaged: %v", r)
		}
	}()
	path := filepath.Join(dir, fileName)
	info, err := os.Stat(path)
	if err != nil {
		return nil, eris.Errorf("there is no state file: %v", err)
	}
	db, err := bbolt.Open(path, 0o644, &bbolt.Options{ReadOnly: true, Timeout: time.Second})
	if err != nil {
		return nil, eris.Errorf("the state file can't be opened, or its machine runs: %v", err)
	}
	defer db.Close()
	c = &Contents{Bytes: info.Size()}
	if err := checkIntegrity(db, path); err != nil {
		return nil, err
	}
	err = db.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket(stateBucket)
		if b == nil {
			return eris.New("the state file was never used")
		}
		if c.Format = readFormat(b); c.Format != FormatVersion && c.Format != formatInlineBodies {
			return eris.Errorf("the state file has form %d, this program reads %d and %d", c.Format, formatInlineBodies, FormatVersion)
		}
		if id := b.Get(identityKey); len(id) == 8 {
			c.Identity = consensus.AcceptorID(binary.BigEndian.Uint64(id))
		}
		s := &Store{}
		if err := s.readState(tx, b); err != nil {
			return err
		}
		c.Promised, c.Accepted = s.state.Promised, s.state.Accepted
		if v := s.state.Value; v != nil {
			c.Slot, c.Version, c.BasedOn, c.Digest = v.Slot, v.Version, v.BasedOn, hex.EncodeToString([]byte(v.Digest))
			c.Members, c.Prior, c.Body, c.Documents = v.Members, v.PriorMembers, v.Body, v.Documents
			for _, p := range v.PriorRevisions {
				c.History = append(c.History, p.Version)
			}
		}
		hints := &rpc.Gossip{}
		kept := b.Get(hintsKey)
		if o := tx.Bucket(hintsBucket); o != nil {
			kept = o.Get(hintsKey)
		}
		if proto.Unmarshal(kept, hints) == nil {
			c.Servers = len(hints.Reports)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return c, nil
}
