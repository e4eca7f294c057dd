package controlplane

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"oxbowspan/consensus"
	"oxbowspan/internal/settings"
	"oxbowspan/internal/testing/simnet"
)

// openTestController returns a controller on a directory that was not started.
func openTestController(t *testing.T, dir string) *Controller {
	t.Helper()
	s := &settings.Settings{IPAddress: "10.0.1.1", InternalPorts: []int{7100, 7109}, SeedAddresses: []string{"10.0.1.1:8700"},
		DataDirectory: dir, HeartbeatIntervalMS: 1000}
	s.Listen.Control = "10.0.1.1:8700"
	c, err := New(s, simnet.New(nil).Host("10.0.1.1"), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// What an earlier run stored of committed versions is there before the first message is handled, so that a value learned at once,
// which lists few of them, does not take their place.
func TestStoredHistoryOutlivesFirstLearnedValue(t *testing.T) {
	const versions = 100
	dir := t.TempDir()
	request := func(v consensus.Version) consensus.ChangeRequest {
		return consensus.ChangeRequest{Version: v, BasedOn: v - 1, Digest: fmt.Sprint("d", v)}
	}
	members := []consensus.Member{{ID: 1, Address: "10.0.1.1:7100"}}
	earlier := openTestController(t, dir)
	value := consensus.Genesis(members)
	for v := consensus.Version(1); v <= versions; v++ {
		value, _ = request(v).Evaluate(value)
		earlier.learner.history.Learn(value)
	}
	earlier.hints.save(time.Minute)
	earlier.loop.stop()
	if err := earlier.store.Close(); err != nil {
		t.Fatal(err)
	}

	later := openTestController(t, dir)
	defer later.store.Close()
	defer later.loop.stop()
	value, _ = request(versions + 1).Evaluate(value)
	later.learner.history.Learn(value) // before begin
	for v := consensus.Version(1); v <= versions+1; v++ {
		if !later.learner.history.ContainsChange(request(v)) {
			t.Fatalf("version %d is not known to be committed after a restart", v)
		}
	}
}
