package faultdisk

// OperationKind identifies a method of store.Files or store.File.
type OperationKind string

// The kinds of operations.
const (
	OpMakeDir  OperationKind = "makedir"
	OpList     OperationKind = "list"
	OpRead     OperationKind = "read"
	OpCreate   OperationKind = "create"
	OpRename   OperationKind = "rename"
	OpRemove   OperationKind = "remove"
	OpSyncDir  OperationKind = "syncdir"
	OpWrite    OperationKind = "write"
	OpTruncate OperationKind = "truncate"
	OpSync     OperationKind = "sync"
	OpClose    OperationKind = "close"
)

// Operation describes one operation on a disk.
type Operation struct {
	Number int // counted from 1
	Kind   OperationKind
	Name   string // path of the file or directory; for a rename the old path
}

// Fault describes how an operation fails. The zero Fault lets it succeed.
type Fault struct {
	// Err is returned by the operation.
	Err error
	// ShortWrite is the number of bytes that a failing write appends before it returns Err.
	ShortWrite int
	// FalseSuccess makes a sync return nil without making anything durable.
	FalseSuccess bool
}

// begin counts an operation and returns the fault to apply to it. The caller holds the lock.
func (d *Disk) begin(kind OperationKind, name string) Fault {
	d.operations++
	if d.CrashAt > 0 && d.operations >= d.CrashAt {
		d.crashed = true
	}
	if d.crashed {
		return Fault{Err: ErrCrashed}
	}
	if d.Inject != nil {
		return d.Inject(Operation{Number: d.operations, Kind: kind, Name: name})
	}
	return Fault{}
}
