package store

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"slices"
)

// recovery is what the files of a store hold together.
type recovery struct {
	Report
	id           [storeIDSize]byte // zero = no file states it
	index        tables
	nextRecord   uint64
	lastChecksum checksum
	highestFile  uint64 // highest number of a file
	snapshot     uint64 // number of the snapshot in use; 0 = none
	identical    bool   // both mirrors are intact and the same
	names        [2][]string
	fileSizes    map[string]int64 // of the files that are the same in both mirrors, by name
}

// recoverStore reads both mirrors and combines them. A record is recovered if either mirror holds it, whatever the state of
// the other.
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

// newestSnapshot returns the newest intact snapshot of either mirror, or nil. The logs that it covers are not needed.
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

func (r *recovery) loadSnapshot(f *mirrorFile) error {
	for _, rec := range f.records[:len(f.records)-1] { // the last one holds their number
		if err := r.apply(rec); err != nil {
			return err
		}
	}
	r.nextRecord, r.snapshot = f.header.first, f.number
	return nil
}

// collectRecords returns the records after the snapshot that either mirror holds, by number.
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
				if other, ok := records[rec.number]; ok && !bytes.Equal(other.body, rec.body) {
					return nil, &ForeignError{fmt.Sprintf("record %d exists twice with different contents: "+
						"the files are of two stores or of different times", rec.number)}
				}
				records[rec.number] = rec
			}
		}
	}
	return records, nil
}

// replay applies records in the order of their numbers. Gaps between them are lost records.
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

// apply applies the changes of a record.
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

// readWatermark returns the number of the next record as of the last watermark, 0 if there is no intact one.
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
		return 0, &ForeignError{watermarkName + " is of another store"}
	}
	r.id = id
	return nextRecord, nil
}

// checkForeign returns a ForeignError for a directory that has no mirrors but other files.
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
