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

// openTestController returns a controller with a data directory. The controller has not been started.
func openTestController(t *testing.T, dir string) *Controller {
	t.Helper()
	s := &settings.Settings{IPAddress: "10.0.1.1", InternalPorts: []int{7100, 7109}, SeedAddresses: []string{"10.0.1.1:8700"},
		DataDirectory: dir, HeartbeatIntervalMS: 1000}
	s.Listen.Control = "10.0.1.1:8700"
	c, err := New(t.Context(), s, simnet.New(nil).Host("10.0.1.1"), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// The committed versions that an earlier run stored are loaded before the first message is handled. Otherwise a value that is learned
// first, which lists only a few of them, would displace them.
func TestStoredHistorySurvivesFirstLearnedValue(t *testing.T) {
	const versions = 100
	dir := t.TempDir()
	request := func(v consensus.Version) consensus.ChangeRequest {
		return consensus.ChangeRequest{Version: v, BasedOn: v - 1, Digest: fmt.Sprint("d", v)}
	}
	members := []consensus.Member{{ID: 1, Address: "10.0.1.1:7100"}}
	firstRun := openTestController(t, dir)
	value := consensus.Genesis(members)
	for v := consensus.Version(1); v <= versions; v++ {
		value, _ = request(v).Evaluate(value)
		firstRun.learner.history.Learn(value)
	}
	firstRun.hints.save(time.Minute)
	firstRun.loop.stop()
	if err := firstRun.store.Close(); err != nil {
		t.Fatal(err)
	}

	secondRun := openTestController(t, dir)
	defer secondRun.store.Close()
	defer secondRun.loop.stop()
	value, _ = request(versions + 1).Evaluate(value)
	secondRun.learner.history.Learn(value) // before begin
	for v := consensus.Version(1); v <= versions+1; v++ {
		if !secondRun.learner.history.ContainsChange(request(v)) {
			t.Fatalf("version %d is missing from the history after a restart", v)
		}
	}
}
