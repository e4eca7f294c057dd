package store

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"

	"github.com/zeebo/blake3"
)

// Version is the format that this program writes. It reads this one and those before it.
const Version = 1

// A file is a head and records. Two lanes hold the same bytes in files of the same names:
//
//	LANE/00000007.log    records in the order of their numbers, appended to
//	LANE/00000007.base   what lives of all records up to the end of log 7, written whole and then named so
//
// A record bears a sum over its file's head, its number and its bytes, so that none is taken for another's. A log's head
// bears the last sum of the log before: a lost, older or swapped file does not join on.
const (
	magic            = "oxbowsto"
	headerSize       = 8 + 2 + 2 + 8 + 8 + 16 + 16 + checksumSize // magic, version, kind, file number, first record, store, chain, sum
	recordHeaderSize = 4 + 8 + checksumSize                       // length of the rest, number, sum
	checksumSize     = 16
	// maxRecordSize is the most bytes that a record may have.
	maxRecordSize = 1 << 20
)

type checksum [checksumSize]byte

type fileKind uint16

const (
	kindLog      fileKind = 1
	kindSnapshot fileKind = 2
)

// header begins a file.
type header struct {
	version uint16
	kind    fileKind
	file    uint64
	first   uint64 // the number of its first record; of a base, of the first that it does not cover
	storeID [16]byte
	chain   checksum // of a log: the last sum of the log before
}

func (h header) encode() []byte {
	b := make([]byte, 0, headerSize)
	b = append(b, magic...)
	b = binary.BigEndian.AppendUint16(b, h.version)
	b = binary.BigEndian.AppendUint16(b, uint16(h.kind))
	b = binary.BigEndian.AppendUint64(b, h.file)
	b = binary.BigEndian.AppendUint64(b, h.first)
	b = append(b, h.storeID[:]...)
	b = append(b, h.chain[:]...)
	s := checksumOf(b)
	return append(b, s[:]...)
}

// VersionError says that a file is of a version that this program does not know.
type VersionError struct{ Version uint16 }

func (e VersionError) Error() string {
	return fmt.Sprintf("the store is of version %d, this program knows up to %d", e.Version, Version)
}

func decodeHeader(b []byte) (h header, err error) {
	if len(b) < headerSize {
		return h, fmt.Errorf("cut off within its head, at byte %d", len(b))
	}
	if string(b[:8]) != magic {
		return h, fmt.Errorf("not a store's file")
	}
	h.version = binary.BigEndian.Uint16(b[8:])
	body := b[:headerSize-checksumSize]
	if s := checksumOf(body); !bytes.Equal(s[:], b[headerSize-checksumSize:headerSize]) {
		return h, fmt.Errorf("its head is damaged")
	}
	if h.version > Version {
		return h, VersionError{h.version}
	}
	h.kind = fileKind(binary.BigEndian.Uint16(b[10:]))
	h.file = binary.BigEndian.Uint64(b[12:])
	h.first = binary.BigEndian.Uint64(b[20:])
	copy(h.storeID[:], b[28:44])
	copy(h.chain[:], b[44:60])
	return h, nil
}

func checksumOf(parts ...[]byte) (s checksum) {
	h := blake3.New()
	for _, p := range parts {
		h.Write(p)
	}
	var full [32]byte
	copy(s[:], h.Sum(full[:0]))
	return s
}

// appendRecord adds a record to b; salt is its file's head's sum.
func appendRecord(b []byte, salt checksum, number uint64, body []byte) ([]byte, checksum) {
	var n [12]byte
	binary.BigEndian.PutUint32(n[:], uint32(8+checksumSize+len(body)))
	binary.BigEndian.PutUint64(n[4:], number)
	s := checksumOf(salt[:], n[:], body)
	b = append(b, n[:]...)
	b = append(b, s[:]...)
	return append(b, body...), s
}

// record is a record that was read.
type record struct {
	number   uint64
	checksum checksum
	body     []byte
}

// readRecords reads the records behind a head. good is how many bytes of the file are whole; damage says what is wrong with
// the rest, "" = nothing. Behind a damaged record of plausible length it goes on: the other lane has the damaged one.
func readRecords(b []byte, salt checksum) (out []record, good int, damage string) {
	at, whole := headerSize, true
	for at < len(b) {
		if len(b)-at < recordHeaderSize {
			return out, validSize(whole, at, good), joinDamage(damage, fmt.Sprintf("cut off within a record's head, at byte %d", len(b)))
		}
		n := int(binary.BigEndian.Uint32(b[at:]))
		if n < 8+checksumSize || n > 8+checksumSize+maxRecordSize {
			return out, validSize(whole, at, good), joinDamage(damage, fmt.Sprintf("at byte %d there is no record", at))
		}
		if len(b)-at-4 < n {
			return out, validSize(whole, at, good), joinDamage(damage, fmt.Sprintf("cut off within a record, at byte %d of %d", len(b), at+4+n))
		}
		f := record{number: binary.BigEndian.Uint64(b[at+4:]), body: b[at+recordHeaderSize : at+4+n]}
		copy(f.checksum[:], b[at+12:])
		if checksumOf(salt[:], b[at:at+12], f.body) != f.checksum {
			if whole {
				good, whole = at, false
			}
			damage = joinDamage(damage, fmt.Sprintf("the record at byte %d is damaged", at))
		} else {
			out = append(out, f)
		}
		at += 4 + n
	}
	return out, validSize(whole, at, good), damage
}

func validSize(whole bool, at, good int) int {
	if whole {
		return at
	}
	return good
}

func joinDamage(a, b string) string {
	if a == "" {
		return b
	}
	return a + "; " + b
}

// Op is one change: a key of a table is set to a value, or taken out.
type Op struct {
	Table  Table
	Key    string
	Value  []byte
	Delete bool
}

// Table is a kind of thing kept.
type Table uint8

// A record's body is the changes of one commit, which come into force together or not at all.
func encodeOps(ops []Op) []byte {
	var b []byte
	for _, o := range ops {
		flag := byte(0)
		if o.Delete {
			flag = 1
		}
		b = append(b, byte(o.Table), flag)
		b = binary.AppendUvarint(b, uint64(len(o.Key)))
		b = append(b, o.Key...)
		if !o.Delete {
			b = binary.AppendUvarint(b, uint64(len(o.Value)))
			b = append(b, o.Value...)
		}
	}
	return b
}

func decodeOps(b []byte) (ops []Op, err error) {
	bad := fmt.Errorf("a record whose sum is right does not have the form of one")
	text := func() ([]byte, bool) {
		n, k := binary.Uvarint(b)
		if k <= 0 || n > uint64(len(b)-k) {
			return nil, false
		}
		t := b[k : k+int(n)]
		b = b[k+int(n):]
		return t, true
	}
	for len(b) > 0 {
		if len(b) < 2 || b[1] > 1 {
			return nil, bad
		}
		o := Op{Table: Table(b[0]), Delete: b[1] == 1}
		b = b[2:]
		key, ok := text()
		if !ok {
			return nil, bad
		}
		o.Key = string(key)
		if !o.Delete {
			v, ok := text()
			if !ok {
				return nil, bad
			}
			o.Value = bytes.Clone(v)
		}
		ops = append(ops, o)
	}
	return ops, nil
}

func logName(mirror string, n uint64) string      { return fmt.Sprintf("%s/%08d.log", mirror, n) }
func snapshotName(mirror string, n uint64) string { return fmt.Sprintf("%s/%08d.base", mirror, n) }

// parseName takes a file's number and kind from its name.
func parseName(name string) (n uint64, k fileKind, ok bool) {
	number, ending, _ := strings.Cut(name, ".")
	n, err := strconv.ParseUint(number, 10, 64)
	switch {
	case err != nil || len(number) < 8:
	case ending == "log":
		return n, kindLog, true
	case ending == "base":
		return n, kindSnapshot, true
	}
	return 0, 0, false
}
