package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/zeebo/blake3"
)

// Version is the format version that this package writes. It reads this version and all earlier ones.
const Version = 1

// A file consists of a header followed by records. Both mirrors hold files with the same names and bytes:
//
//	MIRROR/00000007.log    log file: records in the order of their numbers, append-only
//	MIRROR/00000007.base   snapshot of all records up to the end of log file 7, written under a temporary name and then renamed
//
// A record's checksum covers the checksum of its file's header, its length and number, and its body, so that a record from
// another file or position is rejected. The header of a log file contains the checksum of the last record of the previous
// log file, so that a missing, outdated or exchanged log file is detected.
const (
	magic            = "oxbowsto"
	storeIDSize      = 16
	checksumSize     = 16
	headerSize       = len(magic) + 2 + 2 + 8 + 8 + storeIDSize + checksumSize + checksumSize
	recordPrefixSize = 4 + 8 // length of the rest of the record, record number
	recordHeaderSize = recordPrefixSize + checksumSize
	// maxRecordSize is the largest size of a record's body in bytes.
	maxRecordSize = 1 << 20
)

// Names of the files outside the mirrors, and temporary names of files that are being written.
const (
	lockName              = "lock"
	watermarkName         = "mark"
	temporaryWatermark    = "mark.new"
	temporarySnapshotName = "base.new"
)

// checksum is a truncated BLAKE3 hash.
type checksum [checksumSize]byte

// checksumOf returns the checksum of the concatenated parts.
func checksumOf(parts ...[]byte) (sum checksum) {
	h := blake3.New()
	for _, p := range parts {
		h.Write(p)
	}
	var full [32]byte
	copy(sum[:], h.Sum(full[:0]))
	return sum
}

// fileKind is the kind of a file as stored in its header.
type fileKind uint16

const (
	kindLog      fileKind = 1
	kindSnapshot fileKind = 2
)

// header is the beginning of a file.
type header struct {
	version          uint16
	kind             fileKind
	file             uint64
	first            uint64 // log: number of its first record; snapshot: number of the first record after it
	storeID          [storeIDSize]byte
	previousChecksum checksum // log: checksum of the last record of the previous log file
}

// encode returns the encoded header, which ends with its checksum.
func (h header) encode() []byte {
	b := make([]byte, 0, headerSize)
	b = append(b, magic...)
	b = binary.BigEndian.AppendUint16(b, h.version)
	b = binary.BigEndian.AppendUint16(b, uint16(h.kind))
	b = binary.BigEndian.AppendUint64(b, h.file)
	b = binary.BigEndian.AppendUint64(b, h.first)
	b = append(b, h.storeID[:]...)
	b = append(b, h.previousChecksum[:]...)
	sum := checksumOf(b)
	return append(b, sum[:]...)
}

// decodeHeader decodes the header at the beginning of a file. It returns a VersionError if the header's format version is
// higher than Version.
func decodeHeader(b []byte) (h header, err error) {
	if len(b) < headerSize {
		return h, fmt.Errorf("truncated within its header, at byte %d", len(b))
	}
	if string(b[:len(magic)]) != magic {
		return h, errors.New("not a file of a store")
	}
	h.version = binary.BigEndian.Uint16(b[8:])
	if checksumOf(b[:headerSize-checksumSize]) != headerChecksum(b) {
		return h, errors.New("its header is damaged")
	}
	if h.version > Version {
		return h, VersionError{h.version}
	}
	h.kind = fileKind(binary.BigEndian.Uint16(b[10:]))
	h.file = binary.BigEndian.Uint64(b[12:])
	h.first = binary.BigEndian.Uint64(b[20:])
	copy(h.storeID[:], b[28:44])
	copy(h.previousChecksum[:], b[44:60])
	return h, nil
}

// headerChecksum returns the checksum at the end of a file's header. It is the salt of the checksums of the file's records.
func headerChecksum(file []byte) checksum {
	return checksum(file[headerSize-checksumSize : headerSize])
}

// record is one record of a file: the changes of a commit, or in a snapshot one entry or the number of records.
type record struct {
	number   uint64
	checksum checksum
	body     []byte
}

// appendRecord appends a record to b. It returns the extended b and the record's checksum, which is computed over the salt
// as well.
func appendRecord(b []byte, salt checksum, number uint64, body []byte) ([]byte, checksum) {
	var prefix [recordPrefixSize]byte
	binary.BigEndian.PutUint32(prefix[:], uint32(8+checksumSize+len(body)))
	binary.BigEndian.PutUint64(prefix[4:], number)
	sum := checksumOf(salt[:], prefix[:], body)
	b = append(b, prefix[:]...)
	b = append(b, sum[:]...)
	return append(b, body...), sum
}

// readRecords reads the records of a file. damage describes the damage that was found; "" = the file is intact. Reading
// continues after a record with a wrong checksum and a valid length, because the other mirror may hold that record.
func readRecords(file []byte, salt checksum) (records []record, damage string) {
	offset := headerSize
	for offset < len(file) {
		rest := file[offset:]
		if len(rest) < recordHeaderSize {
			return records, joinDamage(damage, fmt.Sprintf("truncated within a record's header, at byte %d", len(file)))
		}
		length := int(binary.BigEndian.Uint32(rest))
		if length < 8+checksumSize || length > 8+checksumSize+maxRecordSize {
			return records, joinDamage(damage, fmt.Sprintf("invalid record length at byte %d", offset))
		}
		end := 4 + length
		if len(rest) < end {
			return records, joinDamage(damage, fmt.Sprintf("truncated within a record, at byte %d of %d", len(file), offset+end))
		}
		r := record{number: binary.BigEndian.Uint64(rest[4:]), body: rest[recordHeaderSize:end]}
		copy(r.checksum[:], rest[recordPrefixSize:])
		if checksumOf(salt[:], rest[:recordPrefixSize], r.body) == r.checksum {
			records = append(records, r)
		} else {
			damage = joinDamage(damage, fmt.Sprintf("the record at byte %d is damaged", offset))
		}
		offset += end
	}
	return records, damage
}

// joinDamage joins two descriptions of damage. a may be empty.
func joinDamage(a, b string) string {
	if a == "" {
		return b
	}
	return a + "; " + b
}

// encodeWatermark returns the contents of the watermark file.
func encodeWatermark(storeID [storeIDSize]byte, nextRecord uint64) []byte {
	b := append([]byte(magic), storeID[:]...)
	b = binary.BigEndian.AppendUint64(b, nextRecord)
	sum := checksumOf(b)
	return append(b, sum[:]...)
}

// decodeWatermark decodes the contents of the watermark file. damage is "" if the file is intact.
func decodeWatermark(b []byte) (storeID [storeIDSize]byte, nextRecord uint64, damage string) {
	const size = len(magic) + storeIDSize + 8
	if len(b) != size+checksumSize {
		return storeID, 0, "truncated"
	}
	if sum := checksumOf(b[:size]); !bytes.Equal(sum[:], b[size:]) || string(b[:len(magic)]) != magic {
		return storeID, 0, "damaged"
	}
	copy(storeID[:], b[len(magic):])
	return storeID, binary.BigEndian.Uint64(b[len(magic)+storeIDSize:]), ""
}

func logName(number uint64) string      { return fmt.Sprintf("%08d.log", number) }
func snapshotName(number uint64) string { return fmt.Sprintf("%08d.base", number) }

// parseName returns the number and kind of a mirror's file. ok is false if the name is not that of a log file or a snapshot.
func parseName(name string) (number uint64, kind fileKind, ok bool) {
	digits, extension, _ := strings.Cut(name, ".")
	number, err := strconv.ParseUint(digits, 10, 64)
	switch {
	case err != nil || len(digits) < 8:
	case extension == "log":
		return number, kindLog, true
	case extension == "base":
		return number, kindSnapshot, true
	}
	return 0, 0, false
}
