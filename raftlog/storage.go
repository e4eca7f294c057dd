package raftlog

// Storage stores a voter's log. After Write has returned an error, it is unspecified whether the batch was stored.
type Storage interface {
	Load() (StoredLog, error)
	Write(WriteBatch) error
}

// WriteBatch holds the changes that must be durable before any message of the same Process call is sent. It is stored
// atomically.
type WriteBatch struct {
	HardState    []byte  // term, vote and commit index; nil = unchanged
	Snapshot     []byte  // replaces the previous one; nil = unchanged
	Entries      []Entry // in ascending order of index; stored entries with the same index are replaced
	TruncateFrom uint64  // stored entries from this index on that are not in Entries are removed; 0 = none
	CompactTo    uint64  // stored entries up to and including this index are removed; 0 = none
}

// Entry is an encoded entry of the log.
type Entry struct {
	Index uint64
	Data  []byte
}

// StoredLog is the contents of a Storage.
type StoredLog struct {
	HardState, Snapshot []byte  // nil = none
	Entries             []Entry // in ascending order of index, without gaps
}
