// Package faultdisk is a disk in memory for tests of package store: it knows what is sure to outlive a crash and what is not, and
// does at a crash what disks do: it tears, loses and reorders what was not made to last. Writes can be cut short, syncs can fail
// or lie, space can end. What it does by chance is drawn from its seed.
package faultdisk

import (
	"bytes"
	"errors"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path"
	"slices"
	"sync"
	"syscall"

	"oxbowspan/store"
)

// ErrCrashed is what all operations answer after the crash.
var ErrCrashed = errors.New("the machine has crashed")

// Operation is one operation that a store does.
type Operation struct {
	Number int    // from 1, in order
	Kind   string // create, write, truncate, sync, close, rename, remove, syncdir, read, list, makedir
	Name   string
}

// Fault says how an operation is to go wrong.
type Fault struct {
	Err          error
	ShortWrite   int  // of a write that errs: how many bytes are written all the same
	FalseSuccess bool // of a sync: it says that all is well and does nothing
}

// Disk is the files of one directory.
type Disk struct {
	// Inject, where set, is asked before each operation. It is called with the disk's lock held.
	Inject func(Operation) Fault
	// CrashAt crashes the machine before the operation of that number; 0 = never.
	CrashAt int
	// Capacity is how many bytes all files together may have; 0 = any.
	Capacity int

	mu             sync.Mutex
	rng            *rand.Rand
	operations     int
	crashed        bool
	locked         bool
	visible        map[string]*inode           // as the store sees them
	durable        map[string]*inode           // as a crash finds them
	pendingChanges map[string][]func(m inodes) // by directory: what has been done to names and not been made to last
}

type inodes = map[string]*inode

type inode struct {
	data    []byte // as the store sees it
	durable []byte // as a crash finds it, if nothing of the rest comes through
}

// New makes an empty disk.
func New(seed uint64) *Disk { return NewWithFiles(seed, nil) }

// NewWithFiles makes a disk that holds files, all of them sure to last.
func NewWithFiles(seed uint64, files map[string][]byte) *Disk {
	d := &Disk{rng: rand.New(rand.NewPCG(seed, 7)), visible: inodes{}, durable: inodes{}, pendingChanges: map[string][]func(inodes){}}
	for name, b := range files {
		n := &inode{bytes.Clone(b), bytes.Clone(b)}
		d.visible[name], d.durable[name] = n, n
	}
	return d
}

// Files are a disk's files as the store sees them.
func (d *Disk) Files() map[string][]byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string][]byte{}
	for name, n := range d.visible {
		out[name] = bytes.Clone(n.data)
	}
	return out
}

// OperationCount is how many operations there have been.
func (d *Disk) OperationCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.operations
}

// Crash ends the machine, if it has not ended, and gives the disk as it is found afterwards: all that was made to last, and of
// the rest what chance leaves of it, in pieces of 64 bytes and in any order.
func (d *Disk) Crash() *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashed = true
	found := maps.Clone(d.durable)
	for _, dir := range slices.Sorted(maps.Keys(d.pendingChanges)) {
		all := d.rng.IntN(2) == 0 // a directory's changes come through up to one of them, or any of them
		upTo := d.rng.IntN(len(d.pendingChanges[dir]) + 1)
		for i, change := range d.pendingChanges[dir] {
			if all && i < upTo || !all && d.rng.IntN(2) == 0 {
				change(found)
			}
		}
	}
	files := map[string][]byte{}
	for _, name := range slices.Sorted(maps.Keys(found)) {
		n := found[name]
		b := bytes.Clone(n.durable)
		if !bytes.Equal(n.data, n.durable) {
			size := len(n.durable)
			if len(n.data) > size {
				size += d.rng.IntN(len(n.data) - size + 1)
			} else if len(n.data) < size && d.rng.IntN(2) == 0 {
				size = len(n.data)
			}
			b = append(b, make([]byte, max(0, size-len(b)))...)[:size]
			for at := 0; at < size; at += tornWriteBytes {
				if end := min(at+tornWriteBytes, size, len(n.data)); end > at && d.rng.IntN(2) == 0 {
					copy(b[at:end], n.data[at:end])
				}
			}
		}
		files[name] = b
	}
	return NewWithFiles(d.rng.Uint64(), files)
}

const tornWriteBytes = 64

// begin counts an operation and says how it goes wrong. The lock is held.
func (d *Disk) begin(kind, name string) Fault {
	d.operations++
	if d.CrashAt > 0 && d.operations >= d.CrashAt {
		d.crashed = true
	}
	if d.crashed {
		return Fault{Err: ErrCrashed}
	}
	if d.Inject != nil {
		return d.Inject(Operation{d.operations, kind, name})
	}
	return Fault{}
}

// MakeDir implements store.Files; directories always last.
func (d *Disk) MakeDir(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.begin("makedir", name).Err
}

// List implements store.Files.
func (d *Disk) List(dir string) (out []string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a := d.begin("list", dir); a.Err != nil {
		return nil, a.Err
	}
	for name := range d.visible {
		if path.Dir(name) == dir {
			out = append(out, path.Base(name))
		}
	}
	slices.Sort(out)
	return out, nil
}

// Read implements store.Files.
func (d *Disk) Read(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a := d.begin("read", name); a.Err != nil {
		return nil, a.Err
	}
	n, ok := d.visible[name]
	if !ok {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return bytes.Clone(n.data), nil
}

// Create implements store.Files.
func (d *Disk) Create(name string) (store.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a := d.begin("create", name); a.Err != nil {
		return nil, a.Err
	}
	n := d.visible[name]
	if n == nil {
		n = &inode{}
		d.visible[name] = n
		d.addPendingChange(path.Dir(name), func(m inodes) { m[name] = n })
	}
	n.data = nil
	return &file{d, name, n}, nil
}

func (d *Disk) addPendingChange(dir string, change func(inodes)) {
	d.pendingChanges[dir] = append(d.pendingChanges[dir], change)
}

// Rename implements store.Files.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a := d.begin("rename", from); a.Err != nil {
		return a.Err
	}
	n, ok := d.visible[from]
	if !ok {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	delete(d.visible, from)
	d.visible[to] = n
	d.addPendingChange(path.Dir(to), func(m inodes) { delete(m, from); m[to] = n })
	return nil
}

// Remove implements store.Files.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a := d.begin("remove", name); a.Err != nil {
		return a.Err
	}
	if _, ok := d.visible[name]; !ok {
		return &fs.PathError{Op: "remove", Path: name, Err: fs.ErrNotExist}
	}
	delete(d.visible, name)
	d.addPendingChange(path.Dir(name), func(m inodes) { delete(m, name) })
	return nil
}

// SyncDir implements store.Files.
func (d *Disk) SyncDir(dir string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.begin("syncdir", dir)
	if a.Err != nil || a.FalseSuccess {
		return a.Err
	}
	for _, change := range d.pendingChanges[dir] {
		change(d.durable)
	}
	delete(d.pendingChanges, dir)
	return nil
}

// Lock implements store.Files.
func (d *Disk) Lock() (func(), error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.locked {
		return nil, store.ErrLocked
	}
	d.locked = true
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.locked = false
	}, nil
}

type file struct {
	disk  *Disk
	name  string
	inode *inode
}

func (f *file) Write(b []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	a := f.disk.begin("write", f.name)
	if errors.Is(a.Err, ErrCrashed) { // what it was about to write may have got out all the same
		f.inode.data = append(f.inode.data, b...)
		return 0, a.Err
	}
	if a.Err == nil && f.disk.Capacity > 0 {
		used := 0
		for _, n := range f.disk.visible {
			used += len(n.data)
		}
		if free := max(f.disk.Capacity-used, 0); free < len(b) {
			a = Fault{Err: syscall.ENOSPC, ShortWrite: free}
		}
	}
	if a.Err != nil {
		n := min(a.ShortWrite, len(b))
		f.inode.data = append(f.inode.data, b[:n]...)
		return n, a.Err
	}
	f.inode.data = append(f.inode.data, b...)
	return len(b), nil
}

func (f *file) Truncate(size int64) error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if a := f.disk.begin("truncate", f.name); a.Err != nil {
		return a.Err
	}
	f.inode.data = f.inode.data[:min(int64(len(f.inode.data)), size)]
	return nil
}

func (f *file) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	a := f.disk.begin("sync", f.name)
	if a.Err != nil || a.FalseSuccess {
		return a.Err
	}
	f.inode.durable = bytes.Clone(f.inode.data)
	return nil
}

func (f *file) Close() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	return f.disk.begin("close", f.name).Err
}
