package raftlog

// Storage stores a voter's log. After an error of Write it is undetermined whether the batch was stored.
type Storage interface {
	Load() (StoredLog, error)
	Write(WriteBatch) error
}

// WriteBatch is what must be durable before any message of the same Process call is sent. It is stored atomically.
type WriteBatch struct {
	HardState    []byte  // term, vote and commit index; nil = unchanged
	Snapshot     []byte  // replaces the previous one; nil = unchanged
	Entries      []Entry // by rising index; those with an index that exists are replaced
	TruncateFrom uint64  // entries from this index on that are not in Entries are removed; 0 = none
	CompactTo    uint64  // entries up to this index are removed; 0 = none
}

// Entry is an encoded entry of the log.
type Entry struct {
	Index uint64
	Data  []byte
}

// StoredLog is the contents of a Storage.
type StoredLog struct {
	HardState, Snapshot []byte  // nil = none
	Entries             []Entry // by rising index, without gaps
}
