package faultdisk

import (
	"bytes"
	"maps"
	"slices"
)

// tornWriteBytes is the size of the blocks in which unsynced data survives or is lost in a crash.
const tornWriteBytes = 64

// Crash stops the machine, unless it has crashed already, and returns the disk as found after the restart: all durable data,
// and of the unsynced data a random selection of blocks of tornWriteBytes. All files of the returned disk are durable.
func (d *Disk) Crash() *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashed = true
	surviving := d.survivingFiles()
	files := map[string][]byte{}
	for _, name := range slices.Sorted(maps.Keys(surviving)) {
		files[name] = d.survivingContent(surviving[name])
	}
	return NewWithFiles(d.rng.Uint64(), files)
}

// survivingFiles applies a random selection of the pending changes to the durable directory. The changes of one directory
// survive either in order up to a random one, as on a journaling file system, or independently of each other.
func (d *Disk) survivingFiles() directory {
	files := maps.Clone(d.durable)
	for _, dir := range slices.Sorted(maps.Keys(d.pendingChanges)) {
		changes := d.pendingChanges[dir]
		inOrder := d.rng.IntN(2) == 0
		count := d.rng.IntN(len(changes) + 1)
		for i, change := range changes {
			if inOrder && i < count || !inOrder && d.rng.IntN(2) == 0 {
				change(files)
			}
		}
	}
	return files
}

// survivingContent returns a file's content after a crash. The length is drawn between the durable and the visible length.
// Each block of tornWriteBytes has either the visible or the durable bytes, or zeros beyond the end of the durable content.
func (d *Disk) survivingContent(node *inode) []byte {
	content := bytes.Clone(node.durable)
	if bytes.Equal(node.data, node.durable) {
		return content
	}
	size := len(node.durable)
	if len(node.data) > size {
		size += d.rng.IntN(len(node.data) - size + 1)
	} else if len(node.data) < size && d.rng.IntN(2) == 0 {
		size = len(node.data)
	}
	padding := make([]byte, max(0, size-len(content)))
	content = append(content, padding...)[:size]
	for start := 0; start < size; start += tornWriteBytes {
		end := min(start+tornWriteBytes, size, len(node.data))
		if end > start && d.rng.IntN(2) == 0 {
			copy(content[start:end], node.data[start:end])
		}
	}
	return content
}
