package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"path"
	"slices"
)

// mirrorFile is a file of one mirror with its intact records.
type mirrorFile struct {
	name    string
	number  uint64
	kind    fileKind
	header  header
	records []record
	raw     []byte
	damage  string // description of the damage; "" = the file is intact
}

// readMirror reads the log files and snapshots of a mirror and returns them by name. index is the mirror's index in mirrors.
func (r *recovery) readMirror(files Files, index int, mirror string) (mirrorFiles map[string]*mirrorFile, err error) {
	if r.names[index], err = files.List(mirror); err != nil {
		return nil, err
	}
	mirrorFiles = map[string]*mirrorFile{}
	for _, name := range r.names[index] {
		if name == temporarySnapshotName {
			continue // left by a crash during a compaction
		}
		if mirrorFiles[name], err = r.readFile(files, path.Join(mirror, name)); err != nil {
			return nil, err
		}
	}
	return mirrorFiles, nil
}

// readFile reads a log file or a snapshot. A damaged file is not an error: its damage is set instead.
func (r *recovery) readFile(files Files, name string) (*mirrorFile, error) {
	number, kind, ok := parseName(path.Base(name))
	if !ok {
		return nil, &ForeignError{name + " is not a file of a store"}
	}
	raw, err := files.Read(name)
	if err != nil {
		return nil, err
	}
	r.highestFile = max(r.highestFile, number)
	f := &mirrorFile{name: path.Base(name), number: number, kind: kind, raw: raw}
	var newer VersionError
	switch f.header, err = decodeHeader(raw); {
	case errors.As(err, &newer):
		return nil, err
	case err != nil:
		f.damage = err.Error()
		return f, nil
	case f.header.file != number || f.header.kind != kind:
		f.damage = fmt.Sprintf("its header and its name differ: the header is that of file %d", f.header.file)
		return f, nil
	case r.id != [storeIDSize]byte{} && f.header.storeID != r.id:
		return nil, &ForeignError{name + " belongs to another store"}
	}
	r.id = f.header.storeID
	f.records, f.damage = readRecords(raw, headerChecksum(raw))
	if kind == kindSnapshot && !f.isComplete() {
		f.damage = joinDamage(f.damage, "the snapshot is incomplete")
	}
	return f, nil
}

// isComplete reports whether a snapshot has the number of records that its last record states.
func (f *mirrorFile) isComplete() bool {
	count := len(f.records) - 1
	if count < 0 {
		return false
	}
	last := f.records[count]
	return last.number == 0 && len(last.body) == 8 && binary.BigEndian.Uint64(last.body) == uint64(count)
}

// isCovered reports whether a snapshot, which may be nil, makes the file obsolete.
func (f *mirrorFile) isCovered(snapshot *mirrorFile) bool {
	return snapshot != nil && (f.number < snapshot.number || f.number == snapshot.number && f.kind == kindLog)
}

// compareMirrors adds damage and differences of the mirrors' files to the report, and records the sizes of the files that
// are intact and the same in both mirrors. Files that the snapshot makes obsolete are ignored.
func (r *recovery) compareMirrors(mirrorFiles [2]map[string]*mirrorFile, snapshot *mirrorFile) {
	names := map[string]bool{}
	for _, files := range mirrorFiles {
		for name := range files {
			names[name] = true
		}
	}
	var previous *mirrorFile // the previous log file, or nil if it is not intact in both mirrors
	for _, name := range slices.Sorted(maps.Keys(names)) {
		a, b := mirrorFiles[0][name], mirrorFiles[1][name]
		either := a
		if either == nil {
			either = b
		}
		if either.isCovered(snapshot) {
			continue // a crash after a compaction left the file behind
		}
		if !r.compareFiles(name, a, b) {
			r.identical, previous = false, nil
			continue
		}
		r.fileSizes[name] = int64(len(a.raw))
		if a.kind != kindLog {
			continue
		}
		if !a.follows(previous) {
			r.Damage = append(r.Damage, fmt.Sprintf("%s does not continue %s", name, previous.name))
			r.identical = false
		}
		previous = a
	}
}

// compareFiles reports whether a file is intact and the same in both mirrors, and otherwise adds a description to Damage. a
// and b are the file in the two mirrors; nil = missing.
func (r *recovery) compareFiles(name string, a, b *mirrorFile) bool {
	intact := true
	for i, f := range []*mirrorFile{a, b} {
		switch {
		case f == nil:
			r.Damage = append(r.Damage, fmt.Sprintf("%s/%s is missing", mirrors[i], name))
			intact = false
		case f.damage != "":
			r.Damage = append(r.Damage, fmt.Sprintf("%s/%s: %s", mirrors[i], name, f.damage))
			intact = false
		}
	}
	if intact && !bytes.Equal(a.raw, b.raw) {
		r.Damage = append(r.Damage, fmt.Sprintf("%s/%s and %s/%s differ: %d and %d records",
			mirrors[0], name, mirrors[1], name, len(a.records), len(b.records)))
		intact = false
	}
	return intact
}

// follows reports whether the header of a log file matches the last record of the previous log file. It returns true if
// that file is unknown, is not the directly preceding one, or has no records.
func (f *mirrorFile) follows(previous *mirrorFile) bool {
	if previous == nil || previous.number != f.number-1 || len(previous.records) == 0 {
		return true
	}
	return f.header.previousChecksum == previous.records[len(previous.records)-1].checksum
}
