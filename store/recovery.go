package store

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"slices"
)

// recovery is the state that is recovered from the files of both mirrors.
type recovery struct {
	Report
	id           [storeIDSize]byte // zero = no file contains it
	index        tables
	nextRecord   uint64
	lastChecksum checksum
	highestFile  uint64           // highest number of any file
	snapshot     uint64           // number of the snapshot in use; 0 = none
	identical    bool             // both mirrors are intact and have the same files
	names        [2][]string      // names of each mirror's files
	fileSizes    map[string]int64 // sizes of the files that are intact and the same in both mirrors, by name
}

// recoverStore reads both mirrors and combines their records. A record is recovered if either mirror holds it intact,
// whatever the state of the other mirror. It modifies no files.
func recoverStore(files Files) (r recovery, err error) {
	r = recovery{index: tables{}, nextRecord: 1, identical: true, fileSizes: map[string]int64{}}
	var mirrorFiles [2]map[string]*mirrorFile
	for i, mirror := range mirrors {
		if mirrorFiles[i], err = r.readMirror(files, i, mirror); err != nil {
			return r, err
		}
	}
	watermark, err := r.readWatermark(files)
	if err != nil {
		return r, err
	}
	if len(mirrorFiles[0]) == 0 && len(mirrorFiles[1]) == 0 {
		if err := checkForeign(files); err != nil {
			return r, err
		}
	}
	snapshot := newestSnapshot(mirrorFiles)
	if snapshot != nil {
		if err := r.loadSnapshot(snapshot); err != nil {
			return r, err
		}
	}
	records, err := r.collectRecords(mirrorFiles)
	if err != nil {
		return r, err
	}
	if err := r.replay(records); err != nil {
		return r, err
	}
	if watermark > r.nextRecord {
		r.Lost = append(r.Lost, RecordRange{r.nextRecord, watermark - 1})
		r.nextRecord = watermark
	}
	r.LastRecord = r.nextRecord - 1
	for _, table := range r.index {
		r.Keys += len(table)
	}
	r.compareMirrors(mirrorFiles, snapshot)
	return r, nil
}

// newestSnapshot returns the newest intact snapshot of either mirror, or nil. The log files that it covers are not needed for
// recovery.
func newestSnapshot(mirrorFiles [2]map[string]*mirrorFile) (newest *mirrorFile) {
	for _, files := range mirrorFiles {
		for _, f := range files {
			if f.kind == kindSnapshot && f.damage == "" && (newest == nil || f.number > newest.number) {
				newest = f
			}
		}
	}
	return newest
}

// loadSnapshot sets the index from a snapshot.
func (r *recovery) loadSnapshot(f *mirrorFile) error {
	for _, rec := range f.records[:len(f.records)-1] { // the last record holds the number of the others
		if err := r.apply(rec); err != nil {
			return err
		}
	}
	r.nextRecord, r.snapshot = f.header.first, f.number
	return nil
}

// collectRecords returns the records after the snapshot that either mirror holds, by number. It returns a ForeignError if
// the log files contradict each other.
func (r *recovery) collectRecords(mirrorFiles [2]map[string]*mirrorFile) (map[uint64]record, error) {
	records := map[uint64]record{}
	for _, files := range mirrorFiles {
		for _, f := range files {
			if f.kind != kindLog {
				continue
			}
			for _, rec := range f.records {
				if rec.number < r.nextRecord {
					continue
				}
				if existing, ok := records[rec.number]; ok && !bytes.Equal(existing.body, rec.body) {
					return nil, &ForeignError{fmt.Sprintf("record %d exists twice with different contents: "+
						"the files are of two stores or of different times", rec.number)}
				}
				records[rec.number] = rec
			}
		}
	}
	return records, nil
}

// replay applies records in the order of their numbers. Missing numbers are reported as lost records.
func (r *recovery) replay(records map[uint64]record) error {
	for _, number := range slices.Sorted(maps.Keys(records)) {
		if number > r.nextRecord {
			r.Lost = append(r.Lost, RecordRange{r.nextRecord, number - 1})
		}
		rec := records[number]
		if err := r.apply(rec); err != nil {
			return err
		}
		r.nextRecord, r.lastChecksum = number+1, rec.checksum
	}
	return nil
}

// apply applies the changes of a record to the index.
func (r *recovery) apply(rec record) error {
	ops, err := decodeOps(rec.body)
	if err != nil {
		return fmt.Errorf("record %d: %w", rec.number, err)
	}
	for _, op := range ops {
		if op.Delete {
			delete(r.index[op.Table], op.Key)
			continue
		}
		if r.index[op.Table] == nil {
			r.index[op.Table] = map[string][]byte{}
		}
		r.index[op.Table][op.Key] = op.Value
	}
	return nil
}

// readWatermark returns the number of the next record according to the watermark file, or 0 if there is no intact one.
func (r *recovery) readWatermark(files Files) (uint64, error) {
	b, err := files.Read(watermarkName)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	id, nextRecord, damage := decodeWatermark(b)
	if damage != "" {
		r.Damage = append(r.Damage, watermarkName+": "+damage)
		return 0, nil
	}
	if r.id != [storeIDSize]byte{} && id != r.id {
		return 0, &ForeignError{watermarkName + " belongs to another store"}
	}
	r.id = id
	return nextRecord, nil
}

// checkForeign returns a ForeignError if the directory contains files that are not a store's. It is called if the mirrors
// have no files, so that a new store is not created among other files.
func checkForeign(files Files) error {
	names, err := files.List(".")
	if err != nil {
		return err
	}
	for _, name := range names {
		if name != lockName && name != watermarkName && name != temporaryWatermark {
			return &ForeignError{name + " lies in it"}
		}
	}
	return nil
}
