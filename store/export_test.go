package store

import "encoding/binary"

// Reversioned is a file of a store as another version would have written it.
func Reversioned(b []byte, version uint16) []byte {
	b = append([]byte(nil), b...)
	binary.BigEndian.PutUint16(b[8:], version)
	s := sumOf(b[:headSize-sumSize])
	copy(b[headSize-sumSize:], s[:])
	return b
}
