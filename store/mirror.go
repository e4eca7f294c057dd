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

// mirrorFile is a file of one mirror, read as far as it is intact.
type mirrorFile struct {
	name    string
	number  uint64
	kind    fileKind
	header  header
	records []record
	raw     []byte
	damage  string // what is wrong with it; "" = nothing
}

// readMirror reads the logs and snapshots of the mirror with an index, by name.
func (r *recovery) readMirror(files Files, index int, mirror string) (mirrorFiles map[string]*mirrorFile, err error) {
	if r.names[index], err = files.List(mirror); err != nil {
		return nil, err
	}
	mirrorFiles = map[string]*mirrorFile{}
	for _, name := range r.names[index] {
		if name == temporarySnapshotName {
			continue // a compaction was interrupted by a crash
		}
		if mirrorFiles[name], err = r.readFile(files, path.Join(mirror, name)); err != nil {
			return nil, err
		}
	}
	return mirrorFiles, nil
}

// readFile reads a log or a snapshot. A damaged file is no error.
func (r *recovery) readFile(files Files, name string) (*mirrorFile, error) {
	number, kind, ok := parseName(path.Base(name))
	if !ok {
		return nil, &ForeignError{name + " is none of its files"}
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
		f.damage = fmt.Sprintf("it is file %d, under the name of another one", f.header.file)
		return f, nil
	case r.id != [storeIDSize]byte{} && f.header.storeID != r.id:
		return nil, &ForeignError{name + " is of another store"}
	}
	r.id = f.header.storeID
	f.records, f.damage = readRecords(raw, headerChecksum(raw))
	if kind == kindSnapshot && !f.isComplete() {
		f.damage = joinDamage(f.damage, "it is not complete")
	}
	return f, nil
}

// isComplete reports whether a snapshot has as many records as its last one states.
func (f *mirrorFile) isComplete() bool {
	count := len(f.records) - 1
	if count < 0 {
		return false
	}
	last := f.records[count]
	return last.number == 0 && len(last.body) == 8 && binary.BigEndian.Uint64(last.body) == uint64(count)
}

// isCovered reports whether the file is obsolete beside a snapshot, which may be nil.
func (f *mirrorFile) isCovered(snapshot *mirrorFile) bool {
	return snapshot != nil && (f.number < snapshot.number || f.number == snapshot.number && f.kind == kindLog)
}

// compareMirrors finds damage and differences of the files that are needed beside a snapshot, and the sizes of those that
// are intact.
func (r *recovery) compareMirrors(mirrorFiles [2]map[string]*mirrorFile, snapshot *mirrorFile) {
	names := map[string]bool{}
	for _, files := range mirrorFiles {
		for name := range files {
			names[name] = true
		}
	}
	var previous *mirrorFile // the log before, if it is intact
	for _, name := range slices.Sorted(maps.Keys(names)) {
		a, b := mirrorFiles[0][name], mirrorFiles[1][name]
		present := a
		if present == nil {
			present = b
		}
		if present.isCovered(snapshot) {
			continue // left by a crash after a compaction
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

// compareFiles reports whether a file is intact and the same in both mirrors, and adds to Damage what is not. A missing file
// is nil.
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

// follows reports whether a log's header matches the end of the log before. It is true if that one is unknown or empty.
func (f *mirrorFile) follows(previous *mirrorFile) bool {
	if previous == nil || previous.number != f.number-1 || len(previous.records) == 0 {
		return true
	}
	return f.header.chain == previous.records[len(previous.records)-1].checksum
}
