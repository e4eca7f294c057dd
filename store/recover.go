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
	Records  uint64   // the number of the last record
	Live     int      // keys
	Damage   []string // one sentence for each file that is not whole, or not there although the other lane has it
	Lost     []Range  // records that neither lane holds
	Mended   bool     // both lanes have been written anew, whole
	Accepted bool     // what is lost was accepted
}

// Range is records from one number to another, both included. To may be unknown (^0) where no later record is there.
type Range struct{ From, To uint64 }

func (r Range) String() string {
	if r.To == ^uint64(0) {
		return fmt.Sprintf("all from record %d on", r.From)
	}
	if r.From == r.To {
		return fmt.Sprintf("record %d", r.From)
	}
	return fmt.Sprintf("records %d to %d", r.From, r.To)
}

// LossError says that a store lacks records that it had.
type LossError struct{ Lost []Range }

func (e *LossError) Error() string {
	var all []string
	for _, r := range e.Lost {
		all = append(all, r.String())
	}
	return "the store has lost " + strings.Join(all, ", ") + " in both lanes; 'oxbowspan store repair --accept-loss' goes on without them"
}

// ForeignError says that a directory holds something else.
type ForeignError struct{ What string }

func (e *ForeignError) Error() string { return "the directory is not a store's: " + e.What }

// recovered is what a store's files hold.
type recovered struct {
	Report
	id      [16]byte
	index   map[Table]map[string][]byte
	next    uint64
	last    sum // of the last record, for the next log's chain
	highest uint64
	base    uint64
	same    bool // both lanes are whole and the same
	names   [2][]string
	sizes   map[string]int64 // of a lane's files, by name without it
}

// laneFile is one file of a lane as it was read.
type laneFile struct {
	name    string
	n       uint64
	kind    kind
	head    head
	records []found
	raw     []byte
	damage  string
	torn    bool // only its end is missing
}

// Check reads a store without changing anything.
func Check(files Files) (Report, error) {
	r, err := recoverFrom(files)
	return r.Report, err
}

// recoverFrom reads both lanes and puts together what they hold. A record that one of them holds whole is there, whatever has
// become of the other.
func recoverFrom(files Files) (r recovered, err error) {
	r.index, r.next, r.same, r.sizes = map[Table]map[string][]byte{}, 1, true, map[string]int64{}
	var read [2]map[string]*laneFile
	for i, lane := range lanes {
		if r.names[i], err = files.List(lane); err != nil {
			return r, err
		}
		read[i] = map[string]*laneFile{}
		for _, name := range r.names[i] {
			f, err := r.read(files, lane, name)
			if err != nil {
				return r, err
			}
			if f != nil {
				read[i][name] = f
			}
		}
	}
	marked, err := r.readMark(files)
	if err != nil {
		return r, err
	}
	if len(read[0]) == 0 && len(read[1]) == 0 {
		if err := r.foreign(files); err != nil {
			return r, err
		}
	}
	// The newest base that either lane holds whole. Logs that it covers do not matter any more.
	var base *laneFile
	for i := range read {
		for _, f := range read[i] {
			if f.kind == kindBase && f.damage == "" && (base == nil || f.n > base.n) {
				base = f
			}
		}
	}
	if base != nil {
		if err := r.load(base); err != nil {
			return r, err
		}
	}
	// All records beyond it that either lane holds whole.
	byNumber := map[uint64]found{}
	for i := range read {
		for _, f := range read[i] {
			if f.kind != kindLog {
				continue
			}
			for _, rec := range f.records {
				if rec.number < r.next {
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
		if n > r.next {
			r.Lost = append(r.Lost, Range{r.next, n - 1})
		}
		ops, err := decodeOps(byNumber[n].body)
		if err != nil {
			return r, err
		}
		for _, o := range ops {
			r.apply(o)
		}
		r.next, r.last = n+1, byNumber[n].sum
	}
	if marked > r.next {
		r.Lost = append(r.Lost, Range{r.next, marked - 1})
		r.next = marked
	}
	r.Records = r.next - 1
	for _, t := range r.index {
		r.Live += len(t)
	}
	r.compare(read, base)
	return r, nil
}

// read reads one file. nil = it is none of a store's. A file that is damaged is read as far as it goes.
func (r *recovered) read(files Files, lane, name string) (*laneFile, error) {
	n, k, ok := parseName(name)
	if !ok {
		if name != "base.new" {
			return nil, &ForeignError{fmt.Sprintf("%s/%s is none of its files", lane, name)}
		}
		return nil, nil // a compaction that a crash broke off
	}
	raw, err := files.Read(lane + "/" + name)
	if err != nil {
		return nil, err
	}
	r.highest = max(r.highest, n)
	f := &laneFile{name: name, n: n, kind: k, raw: raw}
	var newer errNewer
	switch f.head, err = decodeHead(raw); {
	case errors.As(err, &newer):
		return nil, err
	case err != nil:
		f.damage = err.Error()
		return f, nil
	case f.head.file != n || f.head.kind != k:
		f.damage = fmt.Sprintf("it is file %d, under another's name", f.head.file)
		return f, nil
	case r.id != [16]byte{} && f.head.store != r.id:
		return nil, &ForeignError{fmt.Sprintf("%s/%s is of another store", lane, name)}
	}
	r.id = f.head.store
	var salt sum
	copy(salt[:], raw[headSize-sumSize:])
	good := 0
	f.records, good, f.damage = readRecords(raw, salt)
	f.torn = good < len(raw)
	if k == kindBase {
		f.damage = join(f.damage, f.baseDamage())
	}
	return f, nil
}

// baseDamage says whether a base holds as many records as its last one says.
func (f *laneFile) baseDamage() string {
	n := len(f.records)
	if n == 0 || f.records[n-1].number != 0 || len(f.records[n-1].body) != 8 || binary.BigEndian.Uint64(f.records[n-1].body) != uint64(n-1) {
		return "it is not whole"
	}
	return ""
}

func (r *recovered) load(f *laneFile) error {
	for _, rec := range f.records[:len(f.records)-1] {
		ops, err := decodeOps(rec.body)
		if err != nil {
			return err
		}
		for _, o := range ops {
			r.apply(o)
		}
	}
	r.next, r.base = f.head.first, f.n
	return nil
}

func (r *recovered) apply(o Op) {
	if o.Delete {
		delete(r.index[o.Table], o.Key)
		return
	}
	if r.index[o.Table] == nil {
		r.index[o.Table] = map[string][]byte{}
	}
	r.index[o.Table][o.Key] = o.Value
}

// compare says what is wrong with each lane beside the other, and whether both are whole and the same.
func (r *recovered) compare(read [2]map[string]*laneFile, base *laneFile) {
	names := map[string]bool{}
	for i := range read {
		for name := range read[i] {
			names[name] = true
		}
	}
	var chain *laneFile // the log before
	for _, name := range slices.Sorted(maps.Keys(names)) {
		a, b := read[0][name], read[1][name]
		one := a
		if one == nil {
			one = b
		}
		covered := base != nil && (one.n < base.n || one.n == base.n && one.kind == kindLog)
		if covered {
			continue // a crash behind a compaction left it; it does not matter any more
		}
		for i, f := range []*laneFile{a, b} {
			if f == nil {
				r.Damage = append(r.Damage, fmt.Sprintf("%s/%s is not there", lanes[i], name))
			} else if f.damage != "" {
				r.Damage = append(r.Damage, fmt.Sprintf("%s/%s: %s", lanes[i], name, f.damage))
			}
		}
		if a == nil || b == nil || a.damage != "" || b.damage != "" || !bytes.Equal(a.raw, b.raw) {
			r.same = false
			if a != nil && b != nil && a.damage == "" && b.damage == "" {
				r.Damage = append(r.Damage, fmt.Sprintf("a/%s and b/%s differ: %d and %d records", name, name, len(a.records), len(b.records)))
			}
			chain = nil
			continue
		}
		r.sizes["/"+name] = int64(len(a.raw))
		if a.kind == kindLog {
			if chain != nil && chain.n == a.n-1 && len(chain.records) > 0 && a.head.chain != chain.records[len(chain.records)-1].sum {
				r.Damage = append(r.Damage, fmt.Sprintf("%s does not join on to %s", name, chain.name))
				r.same = false
			}
			chain = a
		}
	}
}

// readMark reads the note of how many records there are; 0 = it is not there or not whole.
func (r *recovered) readMark(files Files) (uint64, error) {
	b, err := files.Read("mark")
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	const size = 8 + 16 + 8
	if len(b) != size+sumSize {
		r.Damage = append(r.Damage, "mark: cut off")
		return 0, nil
	}
	if s := sumOf(b[:size]); !bytes.Equal(s[:], b[size:]) || string(b[:8]) != magic {
		r.Damage = append(r.Damage, "mark: damaged")
		return 0, nil
	}
	if r.id != [16]byte{} && !bytes.Equal(b[8:24], r.id[:]) {
		return 0, &ForeignError{"mark is of another store"}
	}
	copy(r.id[:], b[8:24])
	return binary.BigEndian.Uint64(b[24:]), nil
}

// foreign says what lies in a directory that is neither empty nor a store.
func (r *recovered) foreign(files Files) error {
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
	r, err := recoverFrom(files)
	return r.index, r.Report, err
}
