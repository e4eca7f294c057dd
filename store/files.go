package store

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"syscall"
)

// Files is all that a store does with a disk, so that tests can be the disk. Names are relative to the store's directory and
// use slashes. What an operation has done is sure to outlive a crash only once File.Sync or SyncDir has returned without an
// error: the first for a file's bytes, the second for names in a directory.
type Files interface {
	MakeDir(name string) error
	List(dir string) ([]string, error) // names of files in it, sorted; none where there is no such directory
	Read(name string) ([]byte, error)
	Create(name string) (File, error) // empty; one of that name is cut to nothing
	Rename(from, to string) error
	Remove(name string) error
	SyncDir(dir string) error
	Lock() (unlock func(), err error) // ErrLocked where another process holds it
}

// File is a file open for appending.
type File interface {
	Write(b []byte) (int, error) // may write less, with an error
	Truncate(size int64) error   // and goes on writing there
	Sync() error
	Close() error
}

// Disk is the files of a directory on a real disk.
type Disk struct {
	dir      string
	readOnly bool // nothing is made in it
}

// OpenDisk uses a directory, which it makes where there is none.
func OpenDisk(dir string) (*Disk, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	return &Disk{dir: dir}, nil
}

// OpenDiskReadOnly uses a directory that must be there.
func OpenDiskReadOnly(dir string) (*Disk, error) {
	s, err := os.Stat(dir)
	if err != nil {
		return nil, err
	}
	if !s.IsDir() {
		return nil, &fs.PathError{Op: "open", Path: dir, Err: syscall.ENOTDIR}
	}
	return &Disk{dir: dir, readOnly: true}, nil
}

func (d *Disk) path(name string) string { return filepath.Join(d.dir, filepath.FromSlash(name)) }

// MakeDir implements Files.
func (d *Disk) MakeDir(name string) error {
	err := os.Mkdir(d.path(name), 0o700)
	if errors.Is(err, fs.ErrExist) {
		return nil
	}
	return err
}

// List implements Files.
func (d *Disk) List(dir string) (out []string, err error) {
	entries, err := os.ReadDir(d.path(dir))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	for _, e := range entries {
		if e.Type().IsRegular() {
			out = append(out, e.Name())
		}
	}
	sort.Strings(out)
	return out, err
}

// Read implements Files.
func (d *Disk) Read(name string) ([]byte, error) { return os.ReadFile(d.path(name)) }

// Create implements Files.
func (d *Disk) Create(name string) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return nil, err
	}
	return diskFile{f}, nil
}

// Rename implements Files.
func (d *Disk) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove implements Files.
func (d *Disk) Remove(name string) error { return os.Remove(d.path(name)) }

// SyncDir implements Files.
func (d *Disk) SyncDir(dir string) error {
	f, err := os.Open(d.path(dir))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// Lock implements Files. The lock goes with the process, however it ends.
func (d *Disk) Lock() (func(), error) {
	flags := os.O_RDWR | os.O_CREATE
	if d.readOnly {
		flags = os.O_RDONLY
	}
	f, err := os.OpenFile(d.path("lock"), flags, 0o600)
	if d.readOnly && errors.Is(err, fs.ErrNotExist) {
		return func() {}, nil // no store has ever been used here
	}
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, ErrLocked
		}
		return nil, err
	}
	return func() { f.Close() }, nil
}

type diskFile struct{ *os.File }

func (f diskFile) Truncate(size int64) error {
	if err := f.File.Truncate(size); err != nil {
		return err
	}
	_, err := f.Seek(size, io.SeekStart)
	return err
}
