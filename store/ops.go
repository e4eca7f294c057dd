package store

import (
	"bytes"
	"encoding/binary"
)

// Table numbers a table of a store. Which numbers are in use is up to the store's owner.
type Table uint8

// Op is one change of a commit: it sets the value of a key in a table, or deletes the key.
type Op struct {
	Table  Table
	Key    string
	Value  []byte
	Delete bool // Value is ignored
}

const (
	opSet    = 0
	opDelete = 1
)

// encodeOps returns a record's body: the changes of one commit, which are applied all or none.
//
// Each change is the table's number and the operation (a byte each), the key and, with opSet, the value. Key and value are
// preceded by their lengths as uvarints.
func encodeOps(ops []Op) []byte {
	var b []byte
	for _, op := range ops {
		operation := byte(opSet)
		if op.Delete {
			operation = opDelete
		}
		b = append(b, byte(op.Table), operation)
		b = binary.AppendUvarint(b, uint64(len(op.Key)))
		b = append(b, op.Key...)
		if !op.Delete {
			b = binary.AppendUvarint(b, uint64(len(op.Value)))
			b = append(b, op.Value...)
		}
	}
	return b
}

// decodeOps is the inverse of encodeOps. Values are copies.
func decodeOps(b []byte) (ops []Op, err error) {
	for len(b) > 0 {
		if len(b) < 2 || b[1] > opDelete {
			return nil, errMalformedRecord
		}
		op := Op{Table: Table(b[0]), Delete: b[1] == opDelete}
		key, rest, ok := cutField(b[2:])
		if !ok {
			return nil, errMalformedRecord
		}
		op.Key, b = string(key), rest
		if !op.Delete {
			value, rest, ok := cutField(b)
			if !ok {
				return nil, errMalformedRecord
			}
			op.Value, b = bytes.Clone(value), rest
		}
		ops = append(ops, op)
	}
	return ops, nil
}

// cutField cuts a field that is preceded by its length off the beginning of b.
func cutField(b []byte) (field, rest []byte, ok bool) {
	length, n := binary.Uvarint(b)
	if n <= 0 || length > uint64(len(b)-n) {
		return nil, nil, false
	}
	end := n + int(length)
	return b[n:end], b[end:], true
}
