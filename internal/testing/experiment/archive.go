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
)

// Archive keeps the records of runs in one file.
type Archive struct{ db *bbolt.DB }

var runsBucket = []byte("runs") // records as JSON, by id; ids grow with time

// lockTimeout is how long another run may hold the archive.
const lockTimeout = 5 * time.Second

// OpenArchive opens an archive, making it where there is none.
func OpenArchive(path string) (*Archive, error) {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return nil, err
	}
	db, err := bbolt.Open(path, 0o644, &bbolt.Options{Timeout: lockTimeout})
	if errors.Is(err, bbolt.ErrTimeout) {
		return nil, fmt.Errorf("archive %s is held by another run", path)
	}
	if err != nil {
		return nil, fmt.Errorf("archive %s: %w", path, err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		_, err := tx.CreateBucketIfNotExists(runsBucket)
		return err
	})
	if err != nil {
		db.Close()
		return nil, err
	}
	return &Archive{db}, nil
}

// Close closes it.
func (a *Archive) Close() error { return a.db.Close() }

// Put keeps a record under its id.
func (a *Archive) Put(r *Record) error {
	b, err := json.Marshal(r)
	if err != nil {
		return err
	}
	return a.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(runsBucket).Put([]byte(r.ID), b) })
}

// All lists the records, oldest first.
func (a *Archive) All() (out []*Record, err error) {
	err = a.db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket(runsBucket).ForEach(func(id, b []byte) error {
			r := &Record{}
			if err := json.Unmarshal(b, r); err != nil {
				return fmt.Errorf("record %s: %w", id, err)
			}
			out = append(out, r)
			return nil
		})
	})
	return out, err
}

// Find finds a record by its id or the beginning of one, or the newest of an experiment by its name.
func (a *Archive) Find(name string) (*Record, error) {
	all, err := a.All()
	if err != nil {
		return nil, err
	}
	var found []*Record
	for _, r := range all {
		if strings.HasPrefix(r.ID, name) {
			found = append(found, r)
		}
	}
	if len(found) == 1 {
		return found[0], nil
	}
	for i := len(all) - 1; i >= 0; i-- {
		if all[i].Experiment == name {
			return all[i], nil
		}
	}
	if len(found) > 1 {
		return nil, fmt.Errorf("%d runs begin with %q", len(found), name)
	}
	return nil, fmt.Errorf("there is no run %q; 'oxbowlab list' shows those there are", name)
}
