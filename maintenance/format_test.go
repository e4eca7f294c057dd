package maintenance

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
)

// logEntry is a line of a recorded log: a command as it was stored, and the result of applying it.
type logEntry struct {
	Command  json.RawMessage `json:"command"`
	Snapshot string          `json:"snapshot"` // first bytes of the SHA-256 of the snapshot after the command, in hex
	Permit   Epoch           `json:"permit"`
	Error    bool            `json:"error"`
	Orders   int             `json:"orders"`
}

// readRecordedLog reads a recorded log. Its first line holds the initial limits, the last line the final snapshot, and
// each line between them a logEntry.
func readRecordedLog(t *testing.T, path string) (limits Limits, entries []logEntry, last []byte) {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var lines [][]byte
	for scanner := bufio.NewScanner(bytes.NewReader(raw)); scanner.Scan(); {
		lines = append(lines, bytes.Clone(scanner.Bytes()))
	}
	if err := json.Unmarshal(lines[0], &limits); err != nil {
		t.Fatal(err)
	}
	for _, line := range lines[1 : len(lines)-1] {
		var e logEntry
		if err := json.Unmarshal(line, &e); err != nil {
			t.Fatal(err)
		}
		entries = append(entries, e)
	}
	return limits, entries, lines[len(lines)-1]
}

// snapshotHash returns the hash of the state's snapshot, in the form of logEntry.Snapshot.
func snapshotHash(t *testing.T, s *State) string {
	t.Helper()
	b, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:4])
}

// Replicas of different program versions run side by side. The logs in testdata were written by the first release of
// FormatVersion 1: their commands must still be encoded to the same bytes, and applying them must yield the recorded
// state after each command.
func TestRecordedLogsReplayToSameStates(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.jsonl")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no recorded logs: %v", err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			limits, entries, last := readRecordedLog(t, path)
			s := New(limits)
			for i, e := range entries {
				c, err := Decode(e.Command)
				if err != nil {
					t.Fatalf("command %d: %v", i+1, err)
				}
				if encoded, err := c.Encode(); err != nil || !bytes.Equal(encoded, e.Command) {
					t.Fatalf("command %d is encoded as %s, %v; recorded %s", i+1, encoded, err, e.Command)
				}
				r, err := s.Apply(Epoch(i+1), c)
				if (err != nil) != e.Error {
					t.Fatalf("command %d: error %v, recorded %t", i+1, err, e.Error)
				}
				if r.Permit == nil && e.Permit != 0 || r.Permit != nil && r.Permit.Epoch != e.Permit {
					t.Fatalf("command %d: permit %+v, recorded epoch %d", i+1, r.Permit, e.Permit)
				}
				if got := snapshotHash(t, s); got != e.Snapshot || len(s.Orders()) != e.Orders {
					b, _ := s.Snapshot()
					t.Fatalf("command %d %s: the state differs from the recorded one, %d orders, recorded %d:\n%s", i+1, e.Command, len(s.Orders()), e.Orders, b)
				}
			}
			restored, err := Restore(last)
			if err != nil {
				t.Fatal(err)
			}
			if b, err := restored.Snapshot(); err != nil || !bytes.Equal(b, last) {
				t.Errorf("restored snapshot %s, %v; recorded %s", b, err, last)
			}
		})
	}
}
