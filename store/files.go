package store

// Files is the part of a file system that a store uses. Disk implements it; tests may provide their own. Names are relative
// to the store's directory and separated by slashes.
//
// An operation is durable, that is, survives a crash of the machine, only after File.Sync or SyncDir has returned without an
// error: File.Sync for the bytes of a file, SyncDir for the names in a directory.
type Files interface {
	// MakeDir creates a directory unless it exists.
	MakeDir(name string) error
	// List returns the sorted names of the regular files in a directory, none if there is no such directory.
	List(dir string) ([]string, error)
	// Read returns the contents of a file, or an error that wraps fs.ErrNotExist.
	Read(name string) ([]byte, error)
	// Create opens an empty file for appending. An existing file of that name is truncated.
	Create(name string) (File, error)
	// Rename renames a file. An existing file of the new name is replaced.
	Rename(from, to string) error
	// Remove removes a file, or returns an error that wraps fs.ErrNotExist.
	Remove(name string) error
	// SyncDir makes the names in a directory durable.
	SyncDir(dir string) error
	// Lock locks the directory against other processes. The error is ErrLocked if another one holds the lock.
	Lock() (unlock func(), err error)
}

// File is a file open for appending.
type File interface {
	// Write appends bytes. It may append only some of them and return an error.
	Write(b []byte) (int, error)
	// Truncate cuts the file to a size in bytes; further bytes are appended there.
	Truncate(size int64) error
	// Sync makes the file's bytes durable.
	Sync() error
	Close() error
}
