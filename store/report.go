package store

import "fmt"

// Report describes what recovery found.
type Report struct {
	LastRecord   uint64        // number of the last record
	Keys         int           // live keys
	Damage       []string      // a sentence for each file that is damaged, or missing in one mirror only
	Lost         []RecordRange // records that neither mirror holds
	Repaired     bool          // both mirrors have been written again
	LossAccepted bool          // the store was opened in spite of lost records
}

// RecordRange is a range of record numbers, both ends included.
type RecordRange struct{ First, Last uint64 }

// String describes the range in an error or log line.
func (r RecordRange) String() string {
	if r.First == r.Last {
		return fmt.Sprintf("record %d", r.First)
	}
	return fmt.Sprintf("records %d to %d", r.First, r.Last)
}

// Check recovers a store in memory and reports what it found. It changes no files.
func Check(files Files) (Report, error) {
	r, err := recoverStore(files)
	return r.Report, err
}

// Contents returns the contents of a store as Open would recover them. It changes no files.
func Contents(files Files) (map[Table]map[string][]byte, Report, error) {
	r, err := recoverStore(files)
	return r.index, r.Report, err
}
