package faultdisk

import (
	"bytes"
	"io/fs"
	"path"
	"slices"

	"oxbowspan/store"
)

// MakeDir implements store.Files. Directories are always durable and have no entry of their own.
func (d *Disk) MakeDir(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.begin(OpMakeDir, name).Err
}

// List implements store.Files.
func (d *Disk) List(dir string) ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if fault := d.begin(OpList, dir); fault.Err != nil {
		return nil, fault.Err
	}
	var names []string
	for name := range d.visible {
		if path.Dir(name) == dir {
			names = append(names, path.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

// Read implements store.Files.
func (d *Disk) Read(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if fault := d.begin(OpRead, name); fault.Err != nil {
		return nil, fault.Err
	}
	node, ok := d.visible[name]
	if !ok {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return bytes.Clone(node.data), nil
}

// Create implements store.Files.
func (d *Disk) Create(name string) (store.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if fault := d.begin(OpCreate, name); fault.Err != nil {
		return nil, fault.Err
	}
	node := d.visible[name]
	if node == nil {
		node = &inode{}
		d.visible[name] = node
		d.addPendingChange(path.Dir(name), func(files directory) { files[name] = node })
	}
	node.data = nil
	return &file{disk: d, name: name, inode: node}, nil
}

// Rename implements store.Files.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if fault := d.begin(OpRename, from); fault.Err != nil {
		return fault.Err
	}
	node, ok := d.visible[from]
	if !ok {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	delete(d.visible, from)
	d.visible[to] = node
	d.addPendingChange(path.Dir(to), func(files directory) {
		delete(files, from)
		files[to] = node
	})
	return nil
}

// Remove implements store.Files.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if fault := d.begin(OpRemove, name); fault.Err != nil {
		return fault.Err
	}
	if _, ok := d.visible[name]; !ok {
		return &fs.PathError{Op: "remove", Path: name, Err: fs.ErrNotExist}
	}
	delete(d.visible, name)
	d.addPendingChange(path.Dir(name), func(files directory) { delete(files, name) })
	return nil
}

// SyncDir implements store.Files.
func (d *Disk) SyncDir(dir string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	fault := d.begin(OpSyncDir, dir)
	if fault.Err != nil || fault.FalseSuccess {
		return fault.Err
	}
	for _, change := range d.pendingChanges[dir] {
		change(d.durable)
	}
	delete(d.pendingChanges, dir)
	return nil
}

// Lock implements store.Files. It does not count as an operation and no fault is injected into it.
func (d *Disk) Lock() (unlock func(), err error) {
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

// addPendingChange records a directory change that becomes durable with the next SyncDir.
func (d *Disk) addPendingChange(dir string, change func(directory)) {
	d.pendingChanges[dir] = append(d.pendingChanges[dir], change)
}
