package acceptorstore

import (
	"testing"

	"oxbowspan/consensus"
)

func saveHistory(t *testing.T, s *Store, records []consensus.HistoryRecord) {
	t.Helper()
	saved := make(chan error, 1)
	if !s.SaveHints(nil, records, func(err error) { saved <- err }) {
		t.Fatal("an idle store does not save hints")
	}
	if err := <-saved; err != nil {
		t.Fatal(err)
	}
}

func historyRecords(document string, from, to consensus.Version) (records []consensus.HistoryRecord) {
	for v := from; v <= to; v++ {
		records = append(records, consensus.HistoryRecord{Document: document, Version: v, Fingerprint: consensus.Fingerprint{byte(v)}})
	}
	return records
}

// The number of stored revisions of each document is bounded, and the newest are retained, also across restarts.
func TestHistoryIsBounded(t *testing.T) {
	dir := t.TempDir()
	s, _, err := Open(dir, 77)
	if err != nil {
		t.Fatal(err)
	}
	const step = 1000
	last := consensus.Version(7 * step)
	saveHistory(t, s, historyRecords("tenants", 1, 3))
	for from := consensus.Version(1); from <= last; from += step {
		saveHistory(t, s, historyRecords("", from, from+step-1))
		s = reopen(t, s, dir)
	}
	defer s.Close()
	var configurations []consensus.HistoryRecord
	tenants := 0
	for _, r := range s.History() {
		if r.Document == "tenants" {
			tenants++
			continue
		}
		configurations = append(configurations, r)
	}
	count := len(configurations)
	if count < MaxStoredHistory || count >= MaxStoredHistory+historyPruneSize || tenants != 3 {
		t.Errorf("%d revisions of the configuration and %d of the tenants are stored", count, tenants)
	}
	for i, r := range configurations {
		want := last - consensus.Version(count-1-i)
		if r.Version != want || r.Fingerprint != (consensus.Fingerprint{byte(want)}) {
			t.Fatalf("revision %d of %d is version %d, want %d", i, count, r.Version, want)
		}
	}
}
