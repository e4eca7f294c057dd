package acceptorstore

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"oxbowspan/consensus"
	"oxbowspan/rpc"
)

// directoryOfFormat returns a data directory with a file of a format version that an earlier release wrote. It contains
// identity 77, a value accepted in slot 11 at ballot 12, a promise of ballot 13, and hints about one server.
func directoryOfFormat(t *testing.T, format uint64) (dir string) {
	t.Helper()
	packed, err := os.Open(fmt.Sprintf("testdata/format-%d.db.gz", format))
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
	dir = t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, fileName), content, 0o644); err != nil {
		t.Fatal(err)
	}
	return dir
}

// Files of earlier releases are readable both as those releases wrote them and after Open has converted them.
func TestEarlierFormatsAreRead(t *testing.T) {
	for _, written := range []uint64{formatInlineBodies, FormatVersion} {
		t.Run(fmt.Sprint("format ", written), func(t *testing.T) {
			dir := directoryOfFormat(t, written)
			for _, format := range []uint64{written, FormatVersion} {
				checkContents(t, dir, format)
				checkState(t, dir)
			}
		})
	}
}

// checkContents checks the result of Inspect for a file of directoryOfFormat.
func checkContents(t *testing.T, dir string, format uint64) {
	t.Helper()
	c, err := Inspect(dir)
	if err != nil || c.Format != format || c.Identity != 77 || c.Slot != 11 || c.Servers != 1 || string(c.Body) != `{"version":9}` ||
		len(c.Documents) != 1 || string(c.Documents[0].Body) != `{"tenants":[]}` {
		t.Fatalf("inspected %+v, %v", c, err)
	}
}

// checkState opens a file of directoryOfFormat, checks its state and hints, and closes it.
func checkState(t *testing.T, dir string) {
	t.Helper()
	s, setAsidePath, err := Open(dir, 1)
	if err != nil || setAsidePath != "" {
		t.Fatal(err, setAsidePath)
	}
	defer s.Close()
	got := s.State()
	if got.ID != 77 || got.Promised.Number != 13 || got.Accepted.Number != 12 || got.Value.Version != 9 || string(got.Value.Body) != `{"version":9}` ||
		string(got.Value.Document("tenants").Body) != `{"tenants":[]}` || got.Value.PriorRevisions[0].Version != 8 || len(got.Value.Members) != 3 {
		t.Fatalf("Open read %+v", got)
	}
	hints := &rpc.Gossip{}
	if proto.Unmarshal(s.Hints(), hints) != nil || len(hints.Reports) != 1 {
		t.Fatalf("hints %q", s.Hints())
	}
}

func TestUnknownFormatIsSetAside(t *testing.T) {
	dir := directoryOfFormat(t, formatInlineBodies)
	db, err := bbolt.Open(filepath.Join(dir, fileName), 0o644, nil)
	if err != nil {
		t.Fatal(err)
	}
	db.Update(func(tx *bbolt.Tx) error {
		return tx.Bucket(stateBucket).Put(formatKey, []byte{0, 0, 0, 0, 0, 0, 0, FormatVersion + 1})
	})
	db.Close()
	s, setAsidePath, err := Open(dir, 1)
	if err != nil || setAsidePath == "" || s.State().ID == 77 {
		t.Fatal(err, setAsidePath)
	}
	s.Close()
}

// A value whose body is missing must not be returned: the file is treated as corrupt.
func TestMissingBodyIsCorruption(t *testing.T) {
	dir := directoryOfFormat(t, formatInlineBodies)
	s, _, err := Open(dir, 1)
	if err != nil {
		t.Fatal(err)
	}
	s.Close()
	db, err := bbolt.Open(filepath.Join(dir, fileName), 0o644, nil)
	if err != nil {
		t.Fatal(err)
	}
	db.Update(func(tx *bbolt.Tx) error { return tx.DeleteBucket(bodiesBucket) })
	db.Close()
	s, setAsidePath, err := Open(dir, 1)
	if err != nil || setAsidePath == "" || s.State().Value != nil {
		t.Fatal(err, setAsidePath)
	}
	s.Close()
}

// acceptBodyStep returns a step that accepts, at a ballot, a version with a body of size bytes that begins with the version.
func acceptBodyStep(ballot uint64, version consensus.Version, size int) StepFunc {
	body := bytes.Repeat([]byte(strconv.FormatUint(uint64(version)%10, 10)), size)
	copy(body, fmt.Sprint(version, " "))
	sum := sha256.Sum256(body)
	return func(s consensus.AcceptorState) consensus.AcceptorState {
		members := []consensus.Member{{ID: s.ID, Address: "a"}}
		v := &consensus.Value{Slot: consensus.Slot(ballot), Members: members, PriorMembers: members, Version: version, BasedOn: version - 1, Digest: string(sum[:]), Body: body}
		next, _ := s.HandleAccept(consensus.Accept{To: s.ID, Ballot: consensus.Ballot{Number: ballot, Proposer: 1}, Value: v})
		return next
	}
}

// prepareStep returns a step that promises a ballot.
func prepareStep(ballot uint64) StepFunc {
	return func(s consensus.AcceptorState) consensus.AcceptorState {
		next, _ := s.HandlePrepare(consensus.Prepare{To: s.ID, Ballot: consensus.Ballot{Number: ballot, Proposer: 1}})
		return next
	}
}

// Neither promises nor further values with the same body write that body again.
func TestBodyIsWrittenOnce(t *testing.T) {
	const size = 1 << 20
	s, _, err := Open(t.TempDir(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	bytesWritten := func(step StepFunc) int64 {
		before := s.db.Stats()
		if err := update(t, s, step); err != nil {
			t.Fatal(err)
		}
		after := s.db.Stats()
		return after.TxStats.GetPageAlloc() - before.TxStats.GetPageAlloc()
	}
	if n := bytesWritten(acceptBodyStep(1, 1, size)); n < size || n > size+size/8 {
		t.Errorf("accepting a new version writes %d bytes", n)
	}
	for ballot := uint64(2); ballot < 20; ballot += 2 {
		if n := bytesWritten(prepareStep(ballot)); n > 64<<10 {
			t.Errorf("a promise writes %d bytes", n)
		}
		if n := bytesWritten(acceptBodyStep(ballot+1, 1, size)); n > 64<<10 {
			t.Errorf("accepting the same version again writes %d bytes", n)
		}
	}
}

// The file does not grow with the number of changes.
func TestFileSizeIsBounded(t *testing.T) {
	dir := t.TempDir()
	s, _, err := Open(dir, 1)
	if err != nil {
		t.Fatal(err)
	}
	s.db.NoSync = true // the test checks only the size after 2,000 writes, not durability
	const size = 64 << 10
	usedAfter500 := int64(0)
	for n := uint64(1); n <= 1000; n++ {
		if err := errors.Join(update(t, s, prepareStep(2*n)), update(t, s, acceptBodyStep(2*n+1, consensus.Version(n), size))); err != nil {
			t.Fatal(err)
		}
		if n == 500 {
			usedAfter500 = usedBytes(t, s)
		}
	}
	if used := usedBytes(t, s); used > usedAfter500 || used > 16*size {
		t.Errorf("after 500 versions of %d bytes the file uses %d bytes, after 1,000 %d", size, usedAfter500, used)
	}
	s.Close()
	s, _, err = Open(dir, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if got := s.State().Value; got.Version != 1000 || !strings.HasPrefix(string(got.Body), "1000 ") {
		t.Errorf("Open read version %d with body %.10q", got.Version, got.Body)
	}
}

// usedBytes returns the number of bytes of the file up to the end of the last page ever allocated.
func usedBytes(t *testing.T, s *Store) (n int64) {
	t.Helper()
	s.db.View(func(tx *bbolt.Tx) error { n = tx.Size(); return nil })
	return n
}

// A write with a new body may reach the file although its sync failed, so that the store reports an error. The next write must
// restore the previous version with its own body.
func TestFailedBodyWriteLeavesConsistentState(t *testing.T) {
	dir := t.TempDir()
	s, _, err := Open(dir, 1)
	if err != nil {
		t.Fatal(err)
	}
	if err := update(t, s, acceptBodyStep(1, 1, 100)); err != nil {
		t.Fatal(err)
	}
	s.commit = func(f func(*bbolt.Tx) error) error {
		if err := s.db.Update(f); err != nil {
			t.Error(err)
		}
		return errors.New("input/output error")
	}
	if update(t, s, acceptBodyStep(2, 2, 100)) == nil {
		t.Fatal("an update whose sync failed returned no error")
	}
	s.commit = s.db.Update
	if err := update(t, s, prepareStep(3)); err != nil {
		t.Fatal(err)
	}
	s.Close()
	s, setAsidePath, err := Open(dir, 1)
	if err != nil || setAsidePath != "" {
		t.Fatal(err, setAsidePath)
	}
	defer s.Close()
	if got := s.State(); got.Accepted.Number != 1 || got.Value.Version != 1 || !strings.HasPrefix(string(got.Value.Body), "1 ") {
		t.Errorf("the file has ballot %d, version %d and body %.10q", got.Accepted.Number, got.Value.Version, got.Value.Body)
	}
}
