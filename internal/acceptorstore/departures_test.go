package acceptorstore

import (
	"errors"
	"slices"
	"testing"

	"go.etcd.io/bbolt"

	"oxbowspan/consensus"
)

func saveDepartures(t *testing.T, s *Store, departures ...Departure) error {
	t.Helper()
	saved := make(chan error, 1)
	if err := s.SaveDepartures(departures, func(err error) { saved <- err }); err != nil {
		t.Fatal(err)
	}
	return <-saved
}

// departureReports returns the reports of departures, sorted.
func departureReports(s *Store) (reports []string) {
	for _, d := range s.Departures() {
		reports = append(reports, d.Instance+" "+string(d.Report))
	}
	slices.Sort(reports)
	return reports
}

// Saved departures must be in the file after a restart until hints that contain them are saved: otherwise a controller that is killed
// between the two forgets that it acknowledged them.
func TestDeparturesSurviveUntilHintsContainThem(t *testing.T) {
	dir := t.TempDir()
	s, _, err := Open(dir, 77)
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range []Departure{{"i-1", []byte("draining")}, {"i-2", []byte("gone")}, {"i-1", []byte("gone")}} {
		if err := saveDepartures(t, s, d); err != nil {
			t.Fatal(err)
		}
	}
	s = reopen(t, s, dir)
	if got, want := departureReports(s), []string{"i-1 gone", "i-2 gone"}; !slices.Equal(got, want) {
		t.Errorf("departures %q after a restart, want %q", got, want)
	}
	saveHistory(t, s, nil)
	if err := saveDepartures(t, s, Departure{"i-3", []byte("gone")}); err != nil {
		t.Fatal(err)
	}
	s = reopen(t, s, dir)
	defer s.Close()
	if got, want := departureReports(s), []string{"i-3 gone"}; !slices.Equal(got, want) {
		t.Errorf("departures %q after hints were saved, want %q", got, want)
	}
}

// Hints that can't be written must not delete the departures, and departures that can't be written are reported as not stored.
func TestFailedWritesKeepDepartures(t *testing.T) {
	dir := t.TempDir()
	s, _, err := Open(dir, 77)
	if err != nil {
		t.Fatal(err)
	}
	if err := saveDepartures(t, s, Departure{"i-1", []byte("gone")}); err != nil {
		t.Fatal(err)
	}
	commit, full := s.commit, errors.New("disk full")
	s.commit = func(write func(*bbolt.Tx) error) error {
		return s.db.Update(func(tx *bbolt.Tx) error {
			if err := write(tx); err != nil {
				return err
			}
			return full
		})
	}
	failed := make(chan error, 1)
	if !s.SaveHints([]byte{}, nil, func(err error) { failed <- err }) || !errors.Is(<-failed, full) {
		t.Error("hints are saved on a full disk")
	}
	if err := saveDepartures(t, s, Departure{"i-2", []byte("gone")}); !errors.Is(err, full) {
		t.Errorf("departures are saved on a full disk: %v", err)
	}
	s.commit = commit
	s = reopen(t, s, dir)
	defer s.Close()
	if got, want := departureReports(s), []string{"i-1 gone"}; !slices.Equal(got, want) {
		t.Errorf("departures %q after failed writes, want %q", got, want)
	}
}

func TestSaveDeparturesWithFullQueueReturnsErrBusy(t *testing.T) {
	s, _, err := Open(t.TempDir(), 1)
	if err != nil {
		t.Fatal(err)
	}
	release := make(chan struct{})
	s.Update(func(st consensus.AcceptorState) consensus.AcceptorState { <-release; return st }, func(consensus.AcceptorState, error) {})
	for range queueLength + 1 {
		err = s.SaveDepartures(nil, func(error) {})
	}
	if !errors.Is(err, ErrBusy) {
		t.Errorf("departures beyond the queue's length: %v, want ErrBusy", err)
	}
	close(release)
	s.Close()
	if err := s.SaveDepartures(nil, func(error) {}); !errors.Is(err, ErrBusy) {
		t.Errorf("departures after the store was closed: %v, want ErrBusy", err)
	}
}
