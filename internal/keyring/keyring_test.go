package keyring

import (
	"errors"
	"strings"
	"testing"
)

const (
	keyOne = "one 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\n"
	keyTwo = "two ff112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\n"
)

func mustParse(t *testing.T, text string) *Ring {
	t.Helper()
	r, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestParseRejectsInvalidKeyFiles(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"empty":             {"", "no key"},
		"comment only":      {"# none\n", "no key"},
		"no secret":         {"one\n", "line 1 is not"},
		"short secret":      {"\none 00\n", "line 2: the secret"},
		"duplicate":         {keyOne + keyOne, "twice"},
		"slash in ID":       {"a/b " + keyOne[4:], "line 1 is not"},
		"two keys a line":   {keyOne + "x " + keyOne, "line 2 is not"},
		"ID of 17 bytes":    {strings.Repeat("a", 17) + " " + keyOne[4:], "line 1 is not"},
		"secret not in hex": {"one " + strings.Repeat("g", 64), "line 1: the secret"},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := Parse(c.text); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("Parse(%q) returned error %v, want one that contains %q", c.text, err, c.want)
			}
		})
	}
	if _, err := Parse("# none\n"); !errors.Is(err, ErrNoKeys) {
		t.Errorf("Parse without a key returned %v, want ErrNoKeys", err)
	}
}

func TestVerifyAcceptsAllKeysOfTheRing(t *testing.T) {
	message := []byte("message")
	id, mac := mustParse(t, keyOne).Sign("fleet", message)
	if id != "one" || len(mac) != MACSize {
		t.Fatalf("signed by %q with %d bytes", id, len(mac))
	}
	for name, c := range map[string]struct {
		ring, purpose, id string
		message, mac      []byte
		want              bool
	}{
		"same ring":         {keyOne, "fleet", "one", message, mac, true},
		"rotated":           {keyTwo + keyOne, "fleet", "one", message, mac, true},
		"key retired":       {keyTwo, "fleet", "one", message, mac, false},
		"another key's ID":  {keyTwo + keyOne, "fleet", "two", message, mac, false},
		"another purpose":   {keyOne, "cursor", "one", message, mac, false},
		"another message":   {keyOne, "fleet", "one", []byte("massage"), mac, false},
		"truncated MAC":     {keyOne, "fleet", "one", message, mac[:MACSize-1], false},
		"without a purpose": {keyOne, "", "one", message, mac, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := mustParse(t, c.ring).Verify(c.purpose, c.id, c.message, c.mac); got != c.want {
				t.Errorf("Verify returned %t, want %t", got, c.want)
			}
		})
	}
}
