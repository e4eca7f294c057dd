package faultdisk

import (
	"bytes"
	"errors"
	"syscall"
)

// file is an open file of a Disk. It implements store.File.
type file struct {
	disk  *Disk
	name  string
	inode *inode
}

// Write implements store.File.
func (f *file) Write(b []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	fault := f.disk.begin(OpWrite, f.name)
	if errors.Is(fault.Err, ErrCrashed) {
		// A write that the crash interrupts may still have reached the disk, partly or completely.
		f.appendData(b)
		return 0, fault.Err
	}
	if free, limited := f.disk.freeBytes(); fault.Err == nil && limited && free < len(b) {
		fault = Fault{Err: syscall.ENOSPC, ShortWrite: free}
	}
	if fault.Err != nil {
		n := min(fault.ShortWrite, len(b))
		f.appendData(b[:n])
		return n, fault.Err
	}
	f.appendData(b)
	return len(b), nil
}

func (f *file) appendData(b []byte) { f.inode.data = append(f.inode.data, b...) }

// freeBytes returns the remaining capacity; limited is false if the disk has no limit. The caller holds the lock.
func (d *Disk) freeBytes() (free int, limited bool) {
	if d.Capacity <= 0 {
		return 0, false
	}
	used := 0
	for _, node := range d.visible {
		used += len(node.data)
	}
	return max(d.Capacity-used, 0), true
}

// Truncate implements store.File.
func (f *file) Truncate(size int64) error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if fault := f.disk.begin(OpTruncate, f.name); fault.Err != nil {
		return fault.Err
	}
	f.inode.data = f.inode.data[:min(int64(len(f.inode.data)), size)]
	return nil
}

// Sync implements store.File.
func (f *file) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	fault := f.disk.begin(OpSync, f.name)
	if fault.Err != nil || fault.FalseSuccess {
		return fault.Err
	}
	f.inode.durable = bytes.Clone(f.inode.data)
	return nil
}

// Close implements store.File.
func (f *file) Close() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	return f.disk.begin(OpClose, f.name).Err
}
