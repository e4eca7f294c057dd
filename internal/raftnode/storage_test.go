package raftnode

import (
	"reflect"
	"testing"

	"oxbowspan/raftlog"
)

func TestStorageTruncatesAndCompacts(t *testing.T) {
	dir := t.TempDir()
	s, err := openStorage(dir)
	if err != nil {
		t.Fatal(err)
	}
	entries := func(data string, indexes ...uint64) (all []raftlog.Entry) {
		for _, i := range indexes {
			all = append(all, raftlog.Entry{Index: i, Data: []byte(data)})
		}
		return all
	}
	for _, batch := range []raftlog.WriteBatch{
		{HardState: []byte("h1"), Snapshot: []byte("s1"), Entries: entries("a", 2, 3, 4, 5)},
		{Entries: entries("b", 4), TruncateFrom: 4}, // replaces 4 and removes 5
		{Snapshot: []byte("s2"), CompactTo: 2},
		{HardState: []byte("h2"), Entries: entries("c", 5)},
	} {
		if err := s.Write(batch); err != nil {
			t.Fatal(err)
		}
	}
	s.store.Close()
	if s, err = openStorage(dir); err != nil {
		t.Fatal(err)
	}
	defer s.store.Close()
	got, err := s.Load()
	want := raftlog.StoredLog{HardState: []byte("h2"), Snapshot: []byte("s2"),
		Entries: append(entries("a", 3), append(entries("b", 4), entries("c", 5)...)...)}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("loaded %+v, %v; want %+v", got, err, want)
	}
	// A snapshot from another voter replaces the complete log.
	if err := s.Write(raftlog.WriteBatch{Snapshot: []byte("s3"), CompactTo: 9, TruncateFrom: 10}); err != nil {
		t.Fatal(err)
	}
	if got, err := s.Load(); err != nil || len(got.Entries) != 0 || string(got.Snapshot) != "s3" {
		t.Errorf("loaded %+v, %v after a snapshot", got, err)
	}
}
