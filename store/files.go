package store

// Files is the interface of the file system operations that a store uses. Disk implements it, and tests may provide other
// implementations. Names are paths relative to the store's directory, separated by slashes.
//
// A change is durable, that is, it survives a crash of the machine, only after File.Sync or SyncDir has returned without an
// error: File.Sync for the contents of a file, SyncDir for the names in a directory.
type Files interface {
	// MakeDir creates a directory, or does nothing if it exists.
	MakeDir(name string) error
	// List returns the sorted names of the regular files in a directory. If the directory does not exist there are none.
	List(dir string) ([]string, error)
	// Read returns the contents of a file, or an error that wraps fs.ErrNotExist.
	Read(name string) ([]byte, error)
	// Create opens an empty file for appending. An existing file with that name is truncated.
	Create(name string) (File, error)
	// Rename renames a file. An existing file with the new name is replaced.
	Rename(from, to string) error
	// Remove removes a file, or returns an error that wraps fs.ErrNotExist.
	Remove(name string) error
	// SyncDir makes the names in a directory durable.
	SyncDir(dir string) error
	// Lock locks the directory against other processes. It returns ErrLocked if another process holds the lock.
	Lock() (unlock func(), err error)
}

// File is a file open for appending.
type File interface {
	// Write appends bytes. If it returns an error it may have appended some of them.
	Write(b []byte) (int, error)
	// Truncate truncates the file to a size in bytes. Later writes append at the new end.
	Truncate(size int64) error
	// Sync makes the file's contents durable.
	Sync() error
	// Close closes the file without making its contents durable.
	Close() error
}
