package store

import (
	"errors"
	"fmt"
	"strings"
)

// Errors of a store. They wrap the file system's error if there is one.
var (
	// ErrLocked means that another process has the directory open.
	ErrLocked = errors.New("the store is in use by another process")
	// ErrFull means that the disk is full or that Options.MaxBytes is reached. A later commit may succeed.
	ErrFull = errors.New("the disk is full, or the store has reached its size limit")
	// ErrFailed means that a file operation has failed in a way that leaves the contents of the files unknown. The store
	// rejects all further commits. Opening it again recovers it.
	ErrFailed = errors.New("the store has failed and accepts no commits until it is opened again")
	// ErrClosed means that Close has been called.
	ErrClosed = errors.New("the store is closed")
)

// LossError reports records that were written and that neither mirror holds. With Options.AcceptLoss the store opens
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

// ForeignError reports that the files in a directory are not those of exactly one store.
type ForeignError struct{ Reason string }

// Error implements error.
func (e *ForeignError) Error() string { return "not a store directory: " + e.Reason }

// VersionError reports a file whose format version is higher than Version. The files of such a store are not modified.
type VersionError struct{ Version uint16 }

// Error implements error.
func (e VersionError) Error() string {
	return fmt.Sprintf("the store is of version %d, this program supports versions up to %d", e.Version, Version)
}

// errMalformedRecord means that the body of a record cannot be decoded although its checksum is valid.
var errMalformedRecord = errors.New("a record with a valid checksum is malformed")
