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

// Disk implements Files with a directory of the operating system's file system.
type Disk struct {
	dir      string
	readOnly bool // Lock does not create the lock file
}

// OpenDisk returns the files of a directory, which it creates if necessary.
func OpenDisk(dir string) (*Disk, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	return &Disk{dir: dir}, nil
}

// OpenDiskReadOnly returns the files of an existing directory, for Check and Contents. It creates nothing.
func OpenDiskReadOnly(dir string) (*Disk, error) {
	info, err := os.Stat(dir)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return nil, &fs.PathError{Op: "open", Path: dir, Err: syscall.ENOTDIR}
	}
	return &Disk{dir: dir, readOnly: true}, nil
}

// path returns the operating system's path of a file of the store.
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
func (d *Disk) List(dir string) (names []string, err error) {
	entries, err := os.ReadDir(d.path(dir))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	sort.Strings(names)
	return names, err
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

// Lock implements Files with a lock on the lock file, which the operating system releases even if the process crashes.
func (d *Disk) Lock() (func(), error) {
	flags := os.O_RDWR | os.O_CREATE
	if d.readOnly {
		flags = os.O_RDONLY
	}
	f, err := os.OpenFile(d.path(lockName), flags, 0o600)
	if d.readOnly && errors.Is(err, fs.ErrNotExist) {
		return func() {}, nil // no store has been opened in the directory, so no process can hold the lock
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

// diskFile implements File.
type diskFile struct{ *os.File }

// Truncate implements File.
func (f diskFile) Truncate(size int64) error {
	if err := f.File.Truncate(size); err != nil {
		return err
	}
	_, err := f.Seek(size, io.SeekStart)
	return err
}
