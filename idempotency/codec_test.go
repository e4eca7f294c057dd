package idempotency

import (
	"bytes"
	"encoding/hex"
	"testing"

	"pgregory.net/rapid"
)

func TestEntryRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &entry{key: "k", stage: stage(rapid.IntRange(int(stageIntended), int(stageUnknown)).Draw(t, "stage")),
			digest:    Digest(rapid.Uint64().Draw(t, "digest")),
			arrivedAt: Time(rapid.Int64().Draw(t, "arrivedAt")), expiresAt: Time(rapid.Int64().Draw(t, "expiresAt"))}
		if e.stage == stageAnswered && rapid.Bool().Draw(t, "has answer") {
			e.answer = rapid.SliceOf(rapid.Byte()).Draw(t, "answer")
			if e.answer == nil {
				e.answer = []byte{}
			}
		}
		b := e.encode()
		got, err := decode("k", b)
		if err != nil {
			t.Fatal(err)
		}
		if e.stage == stageIntended {
			e.stage = stageOpen
		}
		if got.stage != e.stage || got.digest != e.digest || got.arrivedAt != e.arrivedAt || got.expiresAt != e.expiresAt ||
			(got.answer == nil) != (e.answer == nil) || !bytes.Equal(got.answer, e.answer) {
			t.Fatalf("decoded %+v, want %+v", got, e)
		}
		if _, err := Describe(b); err != nil {
			t.Fatal(err)
		}
	})
}

// Entries written by earlier versions must remain readable. These were written before the package was renamed.
func TestDecodeStoredEntries(t *testing.T) {
	for name, c := range map[string]struct {
		stored, description string
	}{
		"open":     {"02000000000000004d0aee0f", "intended, may have run; arrived 5, kept until 1015; 0 bytes of answer"},
		"answered": {"83000000000000004d0aee0f616e73776572", "answered; arrived 5, kept until 1015; 6 bytes of answer"},
		"evicted":  {"03000000000000004d0aee0f", "answered, its answer was evicted; arrived 5, kept until 1015; 0 bytes of answer"},
		"unknown":  {"04000000000000004d0aee0f", "ended, may have run; arrived 5, kept until 1015; 0 bytes of answer"},
	} {
		t.Run(name, func(t *testing.T) {
			stored, err := hex.DecodeString(c.stored)
			if err != nil {
				t.Fatal(err)
			}
			e, err := decode("k", stored)
			if err != nil {
				t.Fatal(err)
			}
			if e.digest != 77 || !bytes.Equal(e.encode(), stored) {
				t.Errorf("digest %d, want 77; encoded again as %x, want %x", e.digest, e.encode(), stored)
			}
			if got, err := Describe(stored); err != nil || got != c.description {
				t.Errorf("described as %q, %v", got, err)
			}
		})
	}
}
