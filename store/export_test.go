package store

import "encoding/binary"

// WithVersion is a file of a store as another version would have written it.
func WithVersion(b []byte, version uint16) []byte {
	b = append([]byte(nil), b...)
	binary.BigEndian.PutUint16(b[8:], version)
	s := checksumOf(b[:headerSize-checksumSize])
	copy(b[headerSize-checksumSize:], s[:])
	return b
}
