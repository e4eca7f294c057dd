package acceptorstore_test

import (
	"compress/gzip"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"oxbowspan/consensus"
	"oxbowspan/internal/acceptorstore"
	"oxbowspan/rpc"
)

// compatIdentity is the acceptor of the files in testdata/compat; the README there describes how they were created.
const compatIdentity consensus.AcceptorID = 11

// compatDigest returns a body's digest as controllers compute it.
func compatDigest(body string) string {
	sum := sha256.Sum256([]byte(body))
	return string(sum[:])
}

func compatConfiguration(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[],"services":[],"limits":{},"padding":%q}`, version, strings.Repeat("x", 3000))
}

const (
	compatTenants1 = `{"tenants":[]}`
	compatTenants2 = `{"tenants":[{"name":"t","routes":[{"hostname":"h","path_prefix":"/"}],"weight":2}]}`
	compatPins     = `{"pins":[{"instance":"i-1","stance":"out","for_s":60,"why":"test"}]}`
)

// compatValue returns the value in the files. It is a literal, so that the expectation does not depend on the code under test.
func compatValue() *consensus.Value {
	revision := func(version, basedOn consensus.Version, body string) consensus.Revision {
		return consensus.Revision{Version: version, BasedOn: basedOn, Digest: compatDigest(body)}
	}
	return &consensus.Value{
		Slot: 7,
		Members: []consensus.Member{{ID: 11, Address: "10.0.0.1:7000"}, {ID: 12, Address: "10.0.0.2:7000"},
			{ID: 14, Address: "10.0.0.4:7000"}},
		PriorMembers: []consensus.Member{{ID: 11, Address: "10.0.0.1:7000"}, {ID: 12, Address: "10.0.0.2:7000"},
			{ID: 13, Address: "10.0.0.3:7000"}},
		Version:        30,
		BasedOn:        20,
		Digest:         compatDigest(compatConfiguration(30)),
		Body:           []byte(compatConfiguration(30)),
		PriorRevisions: []consensus.Revision{revision(10, 0, compatConfiguration(10)), revision(20, 10, compatConfiguration(20))},
		Documents: []consensus.Document{
			{Name: "pins", Version: 1, Digest: compatDigest(compatPins), Body: []byte(compatPins)},
			{Name: "tenants", Version: 2, Digest: compatDigest(compatTenants2), Body: []byte(compatTenants2),
				PriorRevisions: []consensus.Revision{revision(1, 0, compatTenants1)}},
		},
	}
}

func compatHints() *rpc.Gossip {
	return &rpc.Gossip{Reports: []*rpc.ServerReport{{Instance: "i-1", Service: "service-1", Address: "10.1.0.1:8080", Zone: "zone-1",
		Version: "v1", Slots: 3, Sequence: 7, AgeMs: 100}}}
}

// compatDirectory decompresses a file of testdata/compat into a new data directory.
func compatDirectory(t *testing.T, name string) string {
	t.Helper()
	packed, err := os.Open(filepath.Join("testdata", "compat", name))
	if err != nil {
		t.Fatal(err)
	}
	defer packed.Close()
	r, err := gzip.NewReader(packed)
	if err != nil {
		t.Fatal(err)
	}
	content, err := io.ReadAll(r)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "hive.db"), content, 0o644); err != nil {
		t.Fatal(err)
	}
	return dir
}

// openCompat opens a store whose file must be readable and not be set aside.
func openCompat(t *testing.T, dir string) *acceptorstore.Store {
	t.Helper()
	// The genesis identity differs from the file's, so that the tests detect a file whose identity was not read.
	s, setAsidePath, err := acceptorstore.Open(dir, compatIdentity+1)
	if err != nil || setAsidePath != "" {
		t.Fatalf("open: %v, set aside as %q", err, setAsidePath)
	}
	return s
}

func updateCompat(t *testing.T, s *acceptorstore.Store, step func(consensus.AcceptorState) consensus.AcceptorState) {
	t.Helper()
	done := make(chan error, 1)
	if err := s.Update(step, func(_ consensus.AcceptorState, err error) { done <- err }); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

func acceptCompat(ballot consensus.Ballot, v *consensus.Value) func(consensus.AcceptorState) consensus.AcceptorState {
	return func(s consensus.AcceptorState) consensus.AcceptorState {
		next, _ := s.HandleAccept(consensus.Accept{To: s.ID, Ballot: ballot, Value: v})
		return next
	}
}

func prepareCompat(ballot consensus.Ballot) func(consensus.AcceptorState) consensus.AcceptorState {
	return func(s consensus.AcceptorState) consensus.AcceptorState {
		next, _ := s.HandlePrepare(consensus.Prepare{To: s.ID, Ballot: ballot})
		return next
	}
}

func checkCompatState(t *testing.T, got consensus.AcceptorState, promised, accepted consensus.Ballot, v *consensus.Value) {
	t.Helper()
	if got.ID != compatIdentity || got.Promised != promised || got.Accepted != accepted {
		t.Errorf("identity %d, promised %v, accepted %v", got.ID, got.Promised, got.Accepted)
	}
	if !reflect.DeepEqual(got.Value, v) {
		t.Errorf("value:\n%+v, want\n%+v", got.Value, v)
	}
}

var (
	compatAccepted = consensus.Ballot{Number: 21, Proposer: 91}
	compatPromised = consensus.Ballot{Number: 22, Proposer: 92}
)

// TestCompatEarlierFilesAreReadAndUpdated opens files of both formats that earlier releases wrote, and updates them.
func TestCompatEarlierFilesAreReadAndUpdated(t *testing.T) {
	for format := 1; format <= acceptorstore.FormatVersion; format++ {
		t.Run(fmt.Sprintf("format=%d", format), func(t *testing.T) {
			dir := compatDirectory(t, fmt.Sprintf("format-%d.db.gz", format))
			// First as the earlier release wrote it, then after the conversion by the first Open.
			for range 2 {
				s := openCompat(t, dir)
				checkCompatState(t, s.State(), compatPromised, compatAccepted, compatValue())
				hints := &rpc.Gossip{}
				if err := proto.Unmarshal(s.Hints(), hints); err != nil || !proto.Equal(hints, compatHints()) {
					t.Errorf("hints %v: %v", hints, err)
				}
				if err := s.Close(); err != nil {
					t.Fatal(err)
				}
			}

			next := compatValue().Confirm().WithConfiguration(40, 30, compatDigest("new"), []byte("new"))
			accepted := consensus.Ballot{Number: 23, Proposer: 91}
			s := openCompat(t, dir)
			updateCompat(t, s, acceptCompat(accepted, next))
			if err := s.Close(); err != nil {
				t.Fatal(err)
			}
			s = openCompat(t, dir)
			defer s.Close()
			checkCompatState(t, s.State(), accepted, accepted, next)
			contents, err := acceptorstore.Inspect(dir)
			if err == nil {
				t.Errorf("Inspect returned contents of a file that is in use: %+v", contents)
			}
		})
	}
}

// TestCompatInspectOutput compares the JSON output of Inspect with that of the earlier release.
func TestCompatInspectOutput(t *testing.T) {
	for format := 1; format <= acceptorstore.FormatVersion; format++ {
		t.Run(fmt.Sprintf("format=%d", format), func(t *testing.T) {
			want, err := os.ReadFile(filepath.Join("testdata", "compat", fmt.Sprintf("format-%d.inspect.json", format)))
			if err != nil {
				t.Fatal(err)
			}
			contents, err := acceptorstore.Inspect(compatDirectory(t, fmt.Sprintf("format-%d.db.gz", format)))
			if err != nil {
				t.Fatal(err)
			}
			got, err := json.MarshalIndent(contents, "", " ")
			if err != nil {
				t.Fatal(err)
			}
			if strings.TrimSpace(string(got)) != strings.TrimSpace(string(want)) {
				t.Errorf("got\n%s\nwant\n%s", got, want)
			}
		})
	}
}

// storedKeys returns the value of every key of a file, by the key's path of buckets.
func storedKeys(t *testing.T, dir string) map[string]string {
	t.Helper()
	db, err := bbolt.Open(filepath.Join(dir, "hive.db"), 0o644, &bbolt.Options{ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	keys := map[string]string{}
	var walk func(path string, b *bbolt.Bucket) error
	walk = func(path string, b *bbolt.Bucket) error {
		return b.ForEach(func(k, v []byte) error {
			name := fmt.Sprintf("%s/%q", path, k)
			if v == nil {
				keys[name] = "bucket"
				return walk(name, b.Bucket(k))
			}
			keys[name] = fmt.Sprintf("%q", v)
			return nil
		})
	}
	err = db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(name []byte, b *bbolt.Bucket) error { return walk(fmt.Sprintf("%q", name), b) })
	})
	if err != nil {
		t.Fatal(err)
	}
	return keys
}

// TestCompatStoredBytes repeats the updates with which the earlier release created its file: all buckets, keys and values
// must be byte for byte the same, so that either release can use the other's file.
func TestCompatStoredBytes(t *testing.T) {
	dir := t.TempDir()
	s, _, err := acceptorstore.Open(dir, compatIdentity)
	if err != nil {
		t.Fatal(err)
	}
	updateCompat(t, s, acceptCompat(compatAccepted, compatValue()))
	updateCompat(t, s, prepareCompat(compatPromised))
	hints, err := proto.Marshal(compatHints())
	if err != nil {
		t.Fatal(err)
	}
	saved := make(chan error, 1)
	if !s.SaveHints(hints, nil, func(err error) { saved <- err }) {
		t.Fatal("an idle store does not save hints")
	}
	if err := <-saved; err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	got, want := storedKeys(t, dir), storedKeys(t, compatDirectory(t, "format-2.db.gz"))
	if len(want) < 10 {
		t.Fatalf("the earlier file has only %d keys, want at least 10", len(want))
	}
	for name := range want {
		if got[name] != want[name] {
			t.Errorf("%s: got %.200s, want %.200s", name, got[name], want[name])
		}
	}
	for name := range got {
		if _, found := want[name]; !found {
			t.Errorf("%s is missing from the earlier file", name)
		}
	}
}
