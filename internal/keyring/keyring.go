// Package keyring holds the secret keys that authenticate messages and cursors, and computes and verifies their MACs: keyed BLAKE3,
// truncated to MACSize bytes. It doesn't access files. It is safe for concurrent use, as a Ring doesn't change after it was parsed.
package keyring

import (
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"

	"github.com/zeebo/blake3"
)

const (
	// MACSize is the length of a MAC in bytes.
	MACSize = 16
	// MaxIDLength is the maximum length of a key's ID in bytes.
	MaxIDLength = 16

	secretSize = 32 // in bytes
)

// ErrNoKeys is returned by Parse if the text contains no key.
var ErrNoKeys = errors.New("no key in the key file")

// Key is a secret key and its ID.
type Key struct {
	ID     string
	secret [secretSize]byte
}

// MAC computes the key's MAC over a message.
func (k *Key) MAC(message []byte) []byte {
	h, err := blake3.NewKeyed(k.secret[:])
	if err != nil {
		panic(err) // can't happen: NewKeyed only fails if the key is not 32 bytes long
	}
	h.Write(message)
	return h.Sum(nil)[:MACSize]
}

// Valid reports whether mac is the key's MAC over message. It compares in constant time.
func (k *Key) Valid(message, mac []byte) bool {
	return subtle.ConstantTimeCompare(mac, k.MAC(message)) == 1
}

// Ring is a non-empty, ordered set of keys. The first key signs; MACs of all keys are accepted. To rotate a key, put the new one first
// and keep the old one after it for as long as anything signed with the old key is valid.
type Ring struct{ keys []Key }

// Parse parses the text of a key file. It has a line "ID SECRET" for each key, with the secret as 64 hexadecimal digits; "#" starts a
// comment. Errors state the line number. For a file without a key the error is ErrNoKeys.
func Parse(text string) (*Ring, error) {
	r := &Ring{}
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		if len(fields) != 2 || !validID(fields[0]) {
			return nil, fmt.Errorf("line %d is not ID SECRET, with an id of 1 to %d letters, digits, - or _", i+1, MaxIDLength)
		}
		secret, err := hex.DecodeString(fields[1])
		if err != nil || len(secret) != secretSize {
			return nil, fmt.Errorf("line %d: the secret is not a string of %d hexadecimal digits", i+1, 2*secretSize)
		}
		if r.Find(fields[0]) != nil {
			return nil, fmt.Errorf("line %d: key ID %q is used twice", i+1, fields[0])
		}
		r.keys = append(r.keys, Key{fields[0], [secretSize]byte(secret)})
	}
	if len(r.keys) == 0 {
		return nil, ErrNoKeys
	}
	return r, nil
}

// validID reports whether an ID has 1 to MaxIDLength ASCII letters, digits, hyphens or underscores.
func validID(id string) bool {
	for _, c := range []byte(id) {
		if !('a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || c == '_' || c == '-') {
			return false
		}
	}
	return 0 < len(id) && len(id) <= MaxIDLength
}

// Primary returns the key that signs.
func (r *Ring) Primary() *Key { return &r.keys[0] }

// Find returns the key with an ID, or nil if the ring has none.
func (r *Ring) Find(id string) *Key {
	for i := range r.keys {
		if r.keys[i].ID == id {
			return &r.keys[i]
		}
	}
	return nil
}

// Sign computes the primary key's MAC of a message for a purpose, and returns it with that key's ID. A MAC for one purpose is not valid
// for another one.
func (r *Ring) Sign(purpose string, message []byte) (id string, mac []byte) {
	k := r.Primary()
	return k.ID, k.MAC(withPurpose(purpose, message))
}

// Verify reports whether mac is the MAC of a message for a purpose, computed with the ring's key that has the given ID.
func (r *Ring) Verify(purpose, id string, message, mac []byte) bool {
	k := r.Find(id)
	return k != nil && k.Valid(withPurpose(purpose, message), mac)
}

// withPurpose returns the purpose and the message, separated by a zero byte.
func withPurpose(purpose string, message []byte) []byte {
	return append([]byte(purpose+"\x00"), message...)
}
