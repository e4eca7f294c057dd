package store

import (
	"errors"
	"fmt"
	"strings"
)

// Errors of a store. Those of the file system are wrapped with them.
var (
	// ErrLocked means that another process has the directory open.
	ErrLocked = errors.New("the store is in use by another process")
	// ErrFull means that the disk is full or that Options.MaxBytes is reached. A later commit may succeed.
	ErrFull = errors.New("the disk is full, or the store has reached its size limit")
	// ErrFailed means that a write failed in a way that leaves the files' contents unknown. The store rejects all further
	// commits; opening it again recovers it.
	ErrFailed = errors.New("the store has failed and accepts no commits until it is opened again")
	// ErrClosed means that Close has been called.
	ErrClosed = errors.New("the store is closed")
)

// LossError reports records that were written and that neither mirror holds any longer. Options.AcceptLoss opens the store
// without them.
type LossError struct{ Lost []RecordRange }

// Error implements error.
func (e *LossError) Error() string {
	var ranges []string
	for _, r := range e.Lost {
		ranges = append(ranges, r.String())
	}
	return "the store has lost " + strings.Join(ranges, ", ") +
		" in both mirrors; 'oxbowspan store repair --accept-loss' continues without them"
}

// ForeignError reports a directory whose files are not those of one store.
type ForeignError struct{ Reason string }

// Error implements error.
func (e *ForeignError) Error() string { return "the directory is not a store's: " + e.Reason }

// VersionError reports a file whose format is newer than Version. Such a store is left unchanged.
type VersionError struct{ Version uint16 }

// Error implements error.
func (e VersionError) Error() string {
	return fmt.Sprintf("the store is of version %d, this program supports versions up to %d", e.Version, Version)
}

var errMalformedRecord = errors.New("a record with a valid checksum is malformed")
