package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"slices"
	"strings"
)

// Report is what recovery found.
type Report struct {
	LastRecord   uint64        // the number of the last record
	Keys         int           // keys
	Damage       []string      // one sentence for each file that is not whole, or not there although the other lane has it
	Lost         []RecordRange // records that neither lane holds
	Repaired     bool          // both lanes have been written anew, whole
	LossAccepted bool          // what is lost was accepted
}

// RecordRange is records from one number to another, both included. To may be unknown (^0) where no later record is there.
type RecordRange struct{ First, Last uint64 }

func (r RecordRange) String() string {
	if r.Last == ^uint64(0) {
		return fmt.Sprintf("all from record %d on", r.First)
	}
	if r.First == r.Last {
		return fmt.Sprintf("record %d", r.First)
	}
	return fmt.Sprintf("records %d to %d", r.First, r.Last)
}

// LossError says that a store lacks records that it had.
type LossError struct{ Lost []RecordRange }

func (e *LossError) Error() string {
	var all []string
	for _, r := range e.Lost {
		all = append(all, r.String())
	}
	return "the store has lost " + strings.Join(all, ", ") + " in both lanes; 'oxbowspan store repair --accept-loss' goes on without them"
}

// ForeignError says that a directory holds something else.
type ForeignError struct{ Reason string }

func (e *ForeignError) Error() string { return "the directory is not a store's: " + e.Reason }

// recovery is what a store's files hold.
type recovery struct {
	Report
	id           [16]byte
	index        map[Table]map[string][]byte
	nextRecord   uint64
	lastChecksum checksum // of the last record, for the next log's chain
	highestFile  uint64
	snapshot     uint64
	identical    bool // both lanes are whole and the same
	names        [2][]string
	fileSizes    map[string]int64 // of a lane's files, by name without it
}

// mirrorFile is one file of a lane as it was read.
type mirrorFile struct {
	name    string
	number  uint64
	kind    fileKind
	header  header
	records []record
	raw     []byte
	damage  string
	torn    bool // only its end is missing
}

// Check reads a store without changing anything.
func Check(files Files) (Report, error) {
	r, err := recoverStore(files)
	return r.Report, err
}

// recoverStore reads both lanes and puts together what they hold. A record that one of them holds whole is there, whatever has
// become of the other.
func recoverStore(files Files) (r recovery, err error) {
	r.index, r.nextRecord, r.identical, r.fileSizes = map[Table]map[string][]byte{}, 1, true, map[string]int64{}
	var read [2]map[string]*mirrorFile
	for i, mirror := range mirrors {
		if r.names[i], err = files.List(mirror); err != nil {
			return r, err
		}
		read[i] = map[string]*mirrorFile{}
		for _, name := range r.names[i] {
			f, err := r.readFile(files, mirror, name)
			if err != nil {
				return r, err
			}
			if f != nil {
				read[i][name] = f
			}
		}
	}
	marked, err := r.readWatermark(files)
	if err != nil {
		return r, err
	}
	if len(read[0]) == 0 && len(read[1]) == 0 {
		if err := r.checkForeign(files); err != nil {
			return r, err
		}
	}
	// The newest base that either lane holds whole. Logs that it covers do not matter any more.
	var base *mirrorFile
	for i := range read {
		for _, f := range read[i] {
			if f.kind == kindSnapshot && f.damage == "" && (base == nil || f.number > base.number) {
				base = f
			}
		}
	}
	if base != nil {
		if err := r.loadSnapshot(base); err != nil {
			return r, err
		}
	}
	// All records beyond it that either lane holds whole.
	byNumber := map[uint64]record{}
	for i := range read {
		for _, f := range read[i] {
			if f.kind != kindLog {
				continue
			}
			for _, rec := range f.records {
				if rec.number < r.nextRecord {
					continue
				}
				if was, ok := byNumber[rec.number]; ok && !bytes.Equal(was.body, rec.body) {
					return r, &ForeignError{fmt.Sprintf("record %d is there twice with different contents: files of two stores, or of two times, lie in it", rec.number)}
				}
				byNumber[rec.number] = rec
			}
		}
	}
	for _, n := range slices.Sorted(maps.Keys(byNumber)) {
		if n > r.nextRecord {
			r.Lost = append(r.Lost, RecordRange{r.nextRecord, n - 1})
		}
		ops, err := decodeOps(byNumber[n].body)
		if err != nil {
			return r, err
		}
		for _, o := range ops {
			r.apply(o)
		}
		r.nextRecord, r.lastChecksum = n+1, byNumber[n].checksum
	}
	if marked > r.nextRecord {
		r.Lost = append(r.Lost, RecordRange{r.nextRecord, marked - 1})
		r.nextRecord = marked
	}
	r.LastRecord = r.nextRecord - 1
	for _, t := range r.index {
		r.Keys += len(t)
	}
	r.compareMirrors(read, base)
	return r, nil
}

// readFile reads one file. nil = it is none of a store's. A file that is damaged is read as far as it goes.
func (r *recovery) readFile(files Files, mirror, name string) (*mirrorFile, error) {
	n, k, ok := parseName(name)
	if !ok {
		if name != "base.new" {
			return nil, &ForeignError{fmt.Sprintf("%s/%s is none of its files", mirror, name)}
		}
		return nil, nil // a compaction that a crash broke off
	}
	raw, err := files.Read(mirror + "/" + name)
	if err != nil {
		return nil, err
	}
	r.highestFile = max(r.highestFile, n)
	f := &mirrorFile{name: name, number: n, kind: k, raw: raw}
	var newer VersionError
	switch f.header, err = decodeHeader(raw); {
	case errors.As(err, &newer):
		return nil, err
	case err != nil:
		f.damage = err.Error()
		return f, nil
	case f.header.file != n || f.header.kind != k:
		f.damage = fmt.Sprintf("it is file %d, under another's name", f.header.file)
		return f, nil
	case r.id != [16]byte{} && f.header.storeID != r.id:
		return nil, &ForeignError{fmt.Sprintf("%s/%s is of another store", mirror, name)}
	}
	r.id = f.header.storeID
	var salt checksum
	copy(salt[:], raw[headerSize-checksumSize:])
	good := 0
	f.records, good, f.damage = readRecords(raw, salt)
	f.torn = good < len(raw)
	if k == kindSnapshot {
		f.damage = joinDamage(f.damage, f.snapshotDamage())
	}
	return f, nil
}

// snapshotDamage says whether a base holds as many records as its last one says.
func (f *mirrorFile) snapshotDamage() string {
	n := len(f.records)
	if n == 0 || f.records[n-1].number != 0 || len(f.records[n-1].body) != 8 || binary.BigEndian.Uint64(f.records[n-1].body) != uint64(n-1) {
		return "it is not whole"
	}
	return ""
}

func (r *recovery) loadSnapshot(f *mirrorFile) error {
	for _, rec := range f.records[:len(f.records)-1] {
		ops, err := decodeOps(rec.body)
		if err != nil {
			return err
		}
		for _, o := range ops {
			r.apply(o)
		}
	}
	r.nextRecord, r.snapshot = f.header.first, f.number
	return nil
}

func (r *recovery) apply(o Op) {
	if o.Delete {
		delete(r.index[o.Table], o.Key)
		return
	}
	if r.index[o.Table] == nil {
		r.index[o.Table] = map[string][]byte{}
	}
	r.index[o.Table][o.Key] = o.Value
}

// compareMirrors says what is wrong with each lane beside the other, and whether both are whole and the same.
func (r *recovery) compareMirrors(read [2]map[string]*mirrorFile, base *mirrorFile) {
	names := map[string]bool{}
	for i := range read {
		for name := range read[i] {
			names[name] = true
		}
	}
	var chain *mirrorFile // the log before
	for _, name := range slices.Sorted(maps.Keys(names)) {
		a, b := read[0][name], read[1][name]
		one := a
		if one == nil {
			one = b
		}
		covered := base != nil && (one.number < base.number || one.number == base.number && one.kind == kindLog)
		if covered {
			continue // a crash behind a compaction left it; it does not matter any more
		}
		for i, f := range []*mirrorFile{a, b} {
			if f == nil {
				r.Damage = append(r.Damage, fmt.Sprintf("%s/%s is not there", mirrors[i], name))
			} else if f.damage != "" {
				r.Damage = append(r.Damage, fmt.Sprintf("%s/%s: %s", mirrors[i], name, f.damage))
			}
		}
		if a == nil || b == nil || a.damage != "" || b.damage != "" || !bytes.Equal(a.raw, b.raw) {
			r.identical = false
			if a != nil && b != nil && a.damage == "" && b.damage == "" {
				r.Damage = append(r.Damage, fmt.Sprintf("a/%s and b/%s differ: %d and %d records", name, name, len(a.records), len(b.records)))
			}
			chain = nil
			continue
		}
		r.fileSizes["/"+name] = int64(len(a.raw))
		if a.kind == kindLog {
			if chain != nil && chain.number == a.number-1 && len(chain.records) > 0 && a.header.chain != chain.records[len(chain.records)-1].checksum {
				r.Damage = append(r.Damage, fmt.Sprintf("%s does not join on to %s", name, chain.name))
				r.identical = false
			}
			chain = a
		}
	}
}

// readWatermark reads the note of how many records there are; 0 = it is not there or not whole.
func (r *recovery) readWatermark(files Files) (uint64, error) {
	b, err := files.Read("mark")
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	const size = 8 + 16 + 8
	if len(b) != size+checksumSize {
		r.Damage = append(r.Damage, "mark: cut off")
		return 0, nil
	}
	if s := checksumOf(b[:size]); !bytes.Equal(s[:], b[size:]) || string(b[:8]) != magic {
		r.Damage = append(r.Damage, "mark: damaged")
		return 0, nil
	}
	if r.id != [16]byte{} && !bytes.Equal(b[8:24], r.id[:]) {
		return 0, &ForeignError{"mark is of another store"}
	}
	copy(r.id[:], b[8:24])
	return binary.BigEndian.Uint64(b[24:]), nil
}

// checkForeign says what lies in a directory that is neither empty nor a store.
func (r *recovery) checkForeign(files Files) error {
	names, err := files.List(".")
	if err != nil {
		return err
	}
	for _, name := range names {
		if name != "lock" && name != "mark" && name != "mark.new" {
			return &ForeignError{name + " lies in it"}
		}
	}
	return nil
}

// Contents reads what a store holds without changing anything.
func Contents(files Files) (map[Table]map[string][]byte, Report, error) {
	r, err := recoverStore(files)
	return r.index, r.Report, err
}
