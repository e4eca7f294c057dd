package idempotency

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// ErrMalformed is returned for a stored value that is not an encoded entry.
var ErrMalformed = errors.New("malformed idempotency entry")

// flagAnswer is set in the first byte of a stored entry that ends with an answer.
const flagAnswer = 0x80

// encode returns the stored form of an entry: one byte with the stage and flagAnswer, the digest as a big-endian 64-bit
// integer, the times of arrival and expiry as varints, and the answer. An intent is stored with the stage open, because once
// it is on disk the request may have been dispatched.
func (e *entry) encode() []byte {
	stored := e.stage
	if stored == stageIntended {
		stored = stageOpen
	}
	b := []byte{byte(stored)}
	if e.stage == stageAnswered && e.answer != nil {
		b[0] |= flagAnswer
	}
	b = binary.BigEndian.AppendUint64(b, uint64(e.digest))
	b = binary.AppendVarint(b, int64(e.arrivedAt))
	b = binary.AppendVarint(b, int64(e.expiresAt))
	return append(b, e.answer...)
}

// decode returns the entry with a stored form. Its error wraps ErrMalformed.
func decode(key Key, b []byte) (*entry, error) {
	malformed := fmt.Errorf("%w of key %.40q", ErrMalformed, string(key))
	const header = 1 + 8 // stage and digest
	if len(b) < header {
		return nil, malformed
	}
	e := &entry{key: key, stage: stage(b[0] &^ flagAnswer), digest: Digest(binary.BigEndian.Uint64(b[1:]))}
	if e.stage < stageOpen || e.stage > stageUnknown {
		return nil, malformed
	}
	hasAnswer := b[0]&flagAnswer != 0
	b = b[header:]
	for _, at := range []*Time{&e.arrivedAt, &e.expiresAt} {
		v, n := binary.Varint(b)
		if n <= 0 {
			return nil, malformed
		}
		*at, b = Time(v), b[n:]
	}
	if hasAnswer {
		e.answer = append([]byte{}, b...)
	} else if len(b) > 0 {
		return nil, malformed
	}
	return e, nil
}

// Describe returns a description of a stored value for operators. Its error is ErrMalformed.
func Describe(value []byte) (string, error) {
	e, err := decode("", value)
	if err != nil {
		return "", ErrMalformed
	}
	description := e.stage.describe()
	if e.stage == stageAnswered && e.answer == nil {
		description += ", its answer was evicted"
	}
	return fmt.Sprintf("%s; arrived %d, kept until %d; %d bytes of answer", description, e.arrivedAt, e.expiresAt, len(e.answer)), nil
}
