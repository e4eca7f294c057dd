package store

import (
	"bytes"
	"encoding/binary"
)

// Table is the number of a table. Users of a store choose the numbers.
type Table uint8

// Op is one change of a commit: it sets or deletes the value of a key in a table.
type Op struct {
	Table  Table
	Key    string
	Value  []byte
	Delete bool // delete the key; Value is ignored
}

// Operations in a record's body.
const (
	opSet    = 0
	opDelete = 1
)

// encodeOps returns the body of a record: the changes of one commit, which are applied atomically.
//
// A change is encoded as the table's number (one byte), the operation (one byte), the key and, for opSet, the value. Key
// and value are each preceded by their length as a uvarint.
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

// decodeOps decodes the body of a record. The values are copies.
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

// cutField splits b into the field at its beginning, which is preceded by its length as a uvarint, and the rest.
func cutField(b []byte) (field, rest []byte, ok bool) {
	length, n := binary.Uvarint(b)
	if n <= 0 || length > uint64(len(b)-n) {
		return nil, nil, false
	}
	end := n + int(length)
	return b[n:end], b[end:], true
}
