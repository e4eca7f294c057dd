package experiment

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
)

// runsBucket holds the records as JSON by id. Ids sort by time.
var runsBucket = []byte("runs")

// lockTimeout is the maximum time to wait while another process has the archive open.
const lockTimeout = 5 * time.Second

// Archive stores the records of runs in a file.
type Archive struct{ db *bbolt.DB }

// OpenArchive opens an archive and creates it if it does not exist.
func OpenArchive(path string) (*Archive, error) {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return nil, err
	}
	db, err := bbolt.Open(path, 0o644, &bbolt.Options{Timeout: lockTimeout})
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return nil, fmt.Errorf("archive %s is in use by another run", path)
	}
	if err != nil {
		return nil, fmt.Errorf("open archive %s: %w", path, err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		_, err := tx.CreateBucketIfNotExists(runsBucket)
		return err
	})
	if err != nil {
		db.Close()
		return nil, fmt.Errorf("create archive %s: %w", path, err)
	}
	return &Archive{db}, nil
}

// Close closes the archive.
func (a *Archive) Close() error { return a.db.Close() }

// Put stores a record under its id.
func (a *Archive) Put(r *Record) error {
	text, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode record %s: %w", r.ID, err)
	}
	return a.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(runsBucket).Put([]byte(r.ID), text) })
}

// All returns the records, oldest first.
func (a *Archive) All() ([]*Record, error) {
	var records []*Record
	err := a.db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket(runsBucket).ForEach(func(id, text []byte) error {
			r := &Record{}
			if err := json.Unmarshal(text, r); err != nil {
				return fmt.Errorf("decode record %s: %w", id, err)
			}
			records = append(records, r)
			return nil
		})
	})
	return records, err
}

// Find returns the record whose id is or begins with name, or the newest record of the experiment of that name.
func (a *Archive) Find(name string) (*Record, error) {
	all, err := a.All()
	if err != nil {
		return nil, err
	}
	var byID []*Record
	for _, r := range all {
		if strings.HasPrefix(r.ID, name) {
			byID = append(byID, r)
		}
	}
	if len(byID) == 1 {
		return byID[0], nil
	}
	experiment := currentName(name)
	for i := len(all) - 1; i >= 0; i-- {
		if currentName(all[i].Experiment) == experiment {
			return all[i], nil
		}
	}
	if len(byID) > 1 {
		return nil, fmt.Errorf("%d runs begin with %q", len(byID), name)
	}
	return nil, fmt.Errorf("there is no run %q; 'oxbowlab list' shows the runs", name)
}

// currentName returns the current name of the experiment with the given current or former name. Other names, such as those of
// benchmark records, are returned unchanged.
func currentName(name string) string {
	if x, ok := lookUp(name); ok {
		return x.Name
	}
	return name
}
