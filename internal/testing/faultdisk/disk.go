// Package faultdisk is an in-memory implementation of store.Files for crash tests. It tracks the visible and the durable state
// of each file and directory separately. After a simulated crash, data and directory changes that were never synced may be
// lost, torn or reordered, as on a real disk. Operations can be made to fail: writes may be short, syncs may fail or report
// false success, and the disk may be full. All random decisions are drawn from the disk's seed.
package faultdisk

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"sync"

	"oxbowspan/store"
)

// ErrCrashed is returned by every operation after the simulated crash.
var ErrCrashed = errors.New("faultdisk: the machine has crashed")

// randomStream is the second word of the generator's seed. It makes the disk's random numbers independent of those of other
// generators with the same seed.
const randomStream = 7

// Disk holds files in memory. Its exported fields must be set before the first operation; its methods are safe for concurrent
// use.
type Disk struct {
	// Inject, if not nil, is called before each operation and returns the fault to inject. The disk is locked during the
	// call: Inject must not call the disk's methods.
	Inject func(Operation) Fault
	// CrashAt is the number of the operation before which the machine crashes; 0 disables the crash.
	CrashAt int
	// Capacity is the number of bytes that all files together may hold; 0 means unlimited.
	Capacity int

	mu             sync.Mutex
	rng            *rand.Rand
	operations     int
	crashed        bool
	locked         bool
	visible        directory                      // files as the store reads them
	durable        directory                      // files that survive every crash
	pendingChanges map[string][]func(m directory) // directory changes that are not durable yet, in order, by directory
}

// directory maps the full paths of files to their contents.
type directory = map[string]*inode

type inode struct {
	data    []byte // content as the store reads it
	durable []byte // content that survives every crash
}

var _ store.Files = (*Disk)(nil)

// New returns an empty disk.
func New(seed uint64) *Disk { return NewWithFiles(seed, nil) }

// NewWithFiles returns a disk that holds the given files, keyed by path. All of them are durable.
func NewWithFiles(seed uint64, files map[string][]byte) *Disk {
	d := &Disk{
		rng:            rand.New(rand.NewPCG(seed, randomStream)),
		visible:        directory{},
		durable:        directory{},
		pendingChanges: map[string][]func(directory){},
	}
	for name, content := range files {
		node := &inode{data: bytes.Clone(content), durable: bytes.Clone(content)}
		d.visible[name] = node
		d.durable[name] = node
	}
	return d
}

// Files returns a copy of the visible content of all files, keyed by path.
func (d *Disk) Files() map[string][]byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	files := map[string][]byte{}
	for name, node := range d.visible {
		files[name] = bytes.Clone(node.data)
	}
	return files
}

// OperationCount returns the number of operations so far.
func (d *Disk) OperationCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.operations
}
