package store

import "encoding/binary"

// WithVersion returns a copy of a file of a store with another format version in its header.
func WithVersion(file []byte, version uint16) []byte {
	changed := append([]byte(nil), file...)
	binary.BigEndian.PutUint16(changed[len(magic):], version)
	sum := checksumOf(changed[:headerSize-checksumSize])
	copy(changed[headerSize-checksumSize:], sum[:])
	return changed
}
