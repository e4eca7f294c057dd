package store

import "fmt"

// Report holds the findings of recovery.
type Report struct {
	LastRecord   uint64        // number of the last record
	Keys         int           // number of live keys
	Damage       []string      // one entry for each file that is damaged, differs between mirrors or is missing in one
	Lost         []RecordRange // records that were written and that neither mirror holds
	Repaired     bool          // both mirrors have been rewritten from the recovered state
	LossAccepted bool          // the store was opened although records are lost
}

// RecordRange is an inclusive range of record numbers.
type RecordRange struct{ First, Last uint64 }

// String returns the description of the range in errors and log lines.
func (r RecordRange) String() string {
	if r.First == r.Last {
		return fmt.Sprintf("record %d", r.First)
	}
	return fmt.Sprintf("records %d to %d", r.First, r.Last)
}

// Check recovers a store in memory and returns the findings. It modifies no files.
func Check(files Files) (Report, error) {
	r, err := recoverStore(files)
	return r.Report, err
}

// Contents returns the tables of a store as Open would recover them, and the findings. It modifies no files.
func Contents(files Files) (map[Table]map[string][]byte, Report, error) {
	r, err := recoverStore(files)
	return r.index, r.Report, err
}
