// Package fault is a disk in memory for tests of package store: it knows what is sure to outlive a crash and what is not, and
// does at a crash what disks do: it tears, loses and reorders what was not made to last. Writes can be cut short, syncs can fail
// or lie, space can end. What it does by chance is drawn from its seed.
package fault

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

// Call is one operation that a store does.
type Call struct {
	N    int    // from 1, in order
	Kind string // create, write, truncate, sync, close, rename, remove, syncdir, read, list, makedir
	Name string
}

// Answer says how an operation is to go wrong.
type Answer struct {
	Err   error
	Short int  // of a write that errs: how many bytes are written all the same
	Lie   bool // of a sync: it says that all is well and does nothing
}

// Disk is the files of one directory.
type Disk struct {
	// Rule, where set, is asked before each operation. It is called with the disk's lock held.
	Rule func(Call) Answer
	// CrashAt crashes the machine before the operation of that number; 0 = never.
	CrashAt int
	// Space is how many bytes all files together may have; 0 = any.
	Space int

	mu      sync.Mutex
	rng     *rand.Rand
	n       int
	crashed bool
	locked  bool
	names   map[string]*node           // as the store sees them
	lasting map[string]*node           // as a crash finds them
	changes map[string][]func(m names) // by directory: what has been done to names and not been made to last
}

type names = map[string]*node

type node struct {
	data    []byte // as the store sees it
	lasting []byte // as a crash finds it, if nothing of the rest comes through
}

// New makes an empty disk.
func New(seed uint64) *Disk { return From(seed, nil) }

// From makes a disk that holds files, all of them sure to last.
func From(seed uint64, files map[string][]byte) *Disk {
	d := &Disk{rng: rand.New(rand.NewPCG(seed, 7)), names: names{}, lasting: names{}, changes: map[string][]func(names){}}
	for name, b := range files {
		n := &node{bytes.Clone(b), bytes.Clone(b)}
		d.names[name], d.lasting[name] = n, n
	}
	return d
}

// Files are a disk's files as the store sees them.
func (d *Disk) Files() map[string][]byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string][]byte{}
	for name, n := range d.names {
		out[name] = bytes.Clone(n.data)
	}
	return out
}

// Calls is how many operations there have been.
func (d *Disk) Calls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.n
}

// Crash ends the machine, if it has not ended, and gives the disk as it is found afterwards: all that was made to last, and of
// the rest what chance leaves of it, in pieces of 64 bytes and in any order.
func (d *Disk) Crash() *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashed = true
	found := maps.Clone(d.lasting)
	for _, dir := range slices.Sorted(maps.Keys(d.changes)) {
		all := d.rng.IntN(2) == 0 // a directory's changes come through up to one of them, or any of them
		upTo := d.rng.IntN(len(d.changes[dir]) + 1)
		for i, change := range d.changes[dir] {
			if all && i < upTo || !all && d.rng.IntN(2) == 0 {
				change(found)
			}
		}
	}
	files := map[string][]byte{}
	for _, name := range slices.Sorted(maps.Keys(found)) {
		n := found[name]
		b := bytes.Clone(n.lasting)
		if !bytes.Equal(n.data, n.lasting) {
			size := len(n.lasting)
			if len(n.data) > size {
				size += d.rng.IntN(len(n.data) - size + 1)
			} else if len(n.data) < size && d.rng.IntN(2) == 0 {
				size = len(n.data)
			}
			b = append(b, make([]byte, max(0, size-len(b)))...)[:size]
			for at := 0; at < size; at += piece {
				if end := min(at+piece, size, len(n.data)); end > at && d.rng.IntN(2) == 0 {
					copy(b[at:end], n.data[at:end])
				}
			}
		}
		files[name] = b
	}
	return From(d.rng.Uint64(), files)
}

const piece = 64

// call counts an operation and says how it goes wrong. The lock is held.
func (d *Disk) call(kind, name string) Answer {
	d.n++
	if d.CrashAt > 0 && d.n >= d.CrashAt {
		d.crashed = true
	}
	if d.crashed {
		return Answer{Err: ErrCrashed}
	}
	if d.Rule != nil {
		return d.Rule(Call{d.n, kind, name})
	}
	return Answer{}
}

// MakeDir implements store.Files; directories always last.
func (d *Disk) MakeDir(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.call("makedir", name).Err
}

// List implements store.Files.
func (d *Disk) List(dir string) (out []string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a := d.call("list", dir); a.Err != nil {
		return nil, a.Err
	}
	for name := range d.names {
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
	if a := d.call("read", name); a.Err != nil {
		return nil, a.Err
	}
	n, ok := d.names[name]
	if !ok {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return bytes.Clone(n.data), nil
}

// Create implements store.Files.
func (d *Disk) Create(name string) (store.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a := d.call("create", name); a.Err != nil {
		return nil, a.Err
	}
	n := d.names[name]
	if n == nil {
		n = &node{}
		d.names[name] = n
		d.changed(path.Dir(name), func(m names) { m[name] = n })
	}
	n.data = nil
	return &file{d, name, n}, nil
}

func (d *Disk) changed(dir string, change func(names)) {
	d.changes[dir] = append(d.changes[dir], change)
}

// Rename implements store.Files.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a := d.call("rename", from); a.Err != nil {
		return a.Err
	}
	n, ok := d.names[from]
	if !ok {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	delete(d.names, from)
	d.names[to] = n
	d.changed(path.Dir(to), func(m names) { delete(m, from); m[to] = n })
	return nil
}

// Remove implements store.Files.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a := d.call("remove", name); a.Err != nil {
		return a.Err
	}
	if _, ok := d.names[name]; !ok {
		return &fs.PathError{Op: "remove", Path: name, Err: fs.ErrNotExist}
	}
	delete(d.names, name)
	d.changed(path.Dir(name), func(m names) { delete(m, name) })
	return nil
}

// SyncDir implements store.Files.
func (d *Disk) SyncDir(dir string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.call("syncdir", dir)
	if a.Err != nil || a.Lie {
		return a.Err
	}
	for _, change := range d.changes[dir] {
		change(d.lasting)
	}
	delete(d.changes, dir)
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
	d    *Disk
	name string
	n    *node
}

func (f *file) Write(b []byte) (int, error) {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	a := f.d.call("write", f.name)
	if errors.Is(a.Err, ErrCrashed) { // what it was about to write may have got out all the same
		f.n.data = append(f.n.data, b...)
		return 0, a.Err
	}
	if a.Err == nil && f.d.Space > 0 {
		used := 0
		for _, n := range f.d.names {
			used += len(n.data)
		}
		if free := max(f.d.Space-used, 0); free < len(b) {
			a = Answer{Err: syscall.ENOSPC, Short: free}
		}
	}
	if a.Err != nil {
		n := min(a.Short, len(b))
		f.n.data = append(f.n.data, b[:n]...)
		return n, a.Err
	}
	f.n.data = append(f.n.data, b...)
	return len(b), nil
}

func (f *file) Truncate(size int64) error {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if a := f.d.call("truncate", f.name); a.Err != nil {
		return a.Err
	}
	f.n.data = f.n.data[:min(int64(len(f.n.data)), size)]
	return nil
}

func (f *file) Sync() error {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	a := f.d.call("sync", f.name)
	if a.Err != nil || a.Lie {
		return a.Err
	}
	f.n.lasting = bytes.Clone(f.n.data)
	return nil
}

func (f *file) Close() error {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	return f.d.call("close", f.name).Err
}
