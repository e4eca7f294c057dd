package acceptorstore

import (
	"bytes"

	"go.etcd.io/bbolt"
)

// Departure is the stored report of a server that is draining or deregistered.
type Departure struct {
	Instance string
	Report   []byte // in the caller's encoding
}

// Departures returns the departures that were saved before Open and that the hints may lack, in no particular order.
func (s *Store) Departures() []Departure { return s.departures }

// SaveDepartures queues a write that adds departures, each of which replaces an earlier one of the same instance. It calls after on the
// store's goroutine when they are on the disk or the write has failed. The next SaveHints deletes them, so its hints must contain all
// departures that were passed to SaveDepartures before it. If the queue is full or the store is closed, SaveDepartures returns ErrBusy
// at once and does not call after.
func (s *Store) SaveDepartures(departures []Departure, after func(error)) error {
	return s.enqueueWrite(func() {
		err := s.ensureFile()
		if err == nil {
			err = s.commit(func(tx *bbolt.Tx) error { return writeDepartures(tx, departures) })
		}
		after(err)
	})
}

// readDepartures returns the stored departures.
func readDepartures(tx *bbolt.Tx) (departures []Departure) {
	b := tx.Bucket(departuresBucket)
	if b == nil {
		return nil
	}
	b.ForEach(func(instance, report []byte) error {
		departures = append(departures, Departure{Instance: string(instance), Report: bytes.Clone(report)})
		return nil
	})
	return departures
}

// writeDepartures stores departures.
func writeDepartures(tx *bbolt.Tx, departures []Departure) error {
	b, err := tx.CreateBucketIfNotExists(departuresBucket)
	if err != nil {
		return err
	}
	for _, d := range departures {
		if err := b.Put([]byte(d.Instance), d.Report); err != nil {
			return err
		}
	}
	return nil
}

// deleteDepartures deletes all stored departures.
func deleteDepartures(tx *bbolt.Tx) error {
	if tx.Bucket(departuresBucket) == nil {
		return nil
	}
	return tx.DeleteBucket(departuresBucket)
}
