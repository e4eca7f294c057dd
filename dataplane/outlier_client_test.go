package dataplane

import (
	"encoding/json"
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"

	"oxbowspan/balancer"
	"oxbowspan/config"
	"oxbowspan/outlier"
	"oxbowspan/registry"
	"oxbowspan/rpc"
)

// readyServers returns reports of ready servers of service "s".
func readyServers(instances ...string) (reports []*rpc.ServerReport) {
	for _, instance := range instances {
		reports = append(reports, &rpc.ServerReport{Instance: instance, Service: "s", Zone: "a", State: uint32(registry.Ready), Sequence: 1})
	}
	return reports
}

// pinDocument returns a pin document of a version and age.
func pinDocument(t *testing.T, version uint64, age time.Duration, pins ...config.Pin) *rpc.Document {
	t.Helper()
	body, err := json.Marshal(&config.PinDocument{Pins: pins})
	if err != nil {
		t.Fatal(err)
	}
	return &rpc.Document{Name: config.PinsDocumentName, Version: version, Body: body, AgeMs: uint32(age.Milliseconds())}
}

// state returns the outlier state of a server.
func (c *components) state(instance string) outlier.State {
	return c.outliers.detector.Status(outlier.Instance(instance)).State
}

// Pins fix the state of a server until they expire or a newer document omits them.
func TestPins(t *testing.T) {
	ejected := config.Pin{Instance: "i", State: "out", DurationSeconds: 10, Reason: "test"}
	for _, test := range []struct {
		name    string
		apply   func(t *testing.T, c *components)
		after   time.Duration
		ejected bool
	}{
		{"holds", func(t *testing.T, c *components) {
			c.outliers.applyPins(pinDocument(t, 1, 0, ejected))
		}, 9 * time.Second, true},
		{"expires", func(t *testing.T, c *components) {
			c.outliers.applyPins(pinDocument(t, 1, 0, ejected))
		}, 11 * time.Second, false},
		{"expires earlier by the document's age", func(t *testing.T, c *components) {
			c.outliers.applyPins(pinDocument(t, 1, 5*time.Second, ejected))
		}, 6 * time.Second, false},
		{"is not prolonged when sent again", func(t *testing.T, c *components) {
			c.outliers.applyPins(pinDocument(t, 1, 0, ejected))
			c.loop.time += ticks(5 * time.Second)
			c.outliers.applyPins(pinDocument(t, 2, 0, ejected))
		}, 6 * time.Second, false},
		{"ends with a document without it", func(t *testing.T, c *components) {
			c.outliers.applyPins(pinDocument(t, 1, 0, ejected))
			c.outliers.applyPins(pinDocument(t, 2, 0))
		}, 0, false},
		{"stays after an older document", func(t *testing.T, c *components) {
			c.outliers.applyPins(pinDocument(t, 2, 0, ejected))
			c.outliers.applyPins(pinDocument(t, 1, 0))
		}, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newComponents(t)
			c.report(readyServers("i", "j", "k")...)
			test.apply(t, c)
			c.loop.time += ticks(test.after)
			c.outliers.evaluate(c.loop.now())
			if got := c.state("i") == outlier.Ejected; got != test.ejected {
				t.Errorf("ejected: %v, want %v", got, test.ejected)
			}
		})
	}
}

// recordedVerdicts returns the verdicts on a server that were passed to the balancer, in order.
func (c *components) recordedVerdicts(instance string) (verdicts []balancer.OutlierVerdict) {
	id := c.endpoints.byInstance[instance].id
	for _, event := range c.events.events {
		update, ok := event.(balancer.PeerUpdate)
		if !ok {
			continue
		}
		for _, verdict := range update.Verdicts {
			if verdict.ID == id {
				verdicts = append(verdicts, verdict)
			}
		}
	}
	return verdicts
}

// A verdict is passed to the balancer only when it changes, and none is passed for healthy servers.
func TestVerdictsForTheBalancer(t *testing.T) {
	c := newComponents(t)
	c.report(readyServers("i", "j", "k")...)
	c.outliers.applyPins(pinDocument(t, 1, 0, config.Pin{Instance: "i", State: "out", DurationSeconds: 10, Reason: "test"}))
	c.outliers.evaluate(c.loop.now())
	c.outliers.evaluate(c.loop.now())
	if got := c.recordedVerdicts("i"); len(got) != 1 || !got[0].Ejected || got[0].Recovered {
		t.Fatalf("verdicts %+v, want one with Ejected and without Recovered", got)
	}
	if shown := c.outliers.verdicts(c.loop.now()); len(shown) != 1 || shown[0].Instance != "i" || !shown[0].Pinned {
		t.Errorf("verdicts for operators: %v, want one, of the pinned server i", shown)
	}
	if got := c.recordedVerdicts("j"); len(got) != 0 {
		t.Errorf("verdicts on a healthy server: %+v, want none", got)
	}
}

// Only a refused connection shows that no process listens at a server's address; other errors may be faults of the network.
func TestRecordConnectFailure(t *testing.T) {
	for _, test := range []struct {
		name     string
		err      error
		disabled bool
		recorded bool
	}{
		{"refused", fmt.Errorf("dial: %w", syscall.ECONNREFUSED), false, true},
		{"unreachable", fmt.Errorf("dial: %w", syscall.EHOSTUNREACH), false, false},
		{"timed out", errors.New("i/o timeout"), false, false},
		{"detection disabled", fmt.Errorf("dial: %w", syscall.ECONNREFUSED), true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newComponents(t)
			c.process.settings.LocalDetectionOnly = test.disabled
			c.report(readyServers("i", "j", "k")...)
			c.outliers.recordConnectFailure(c.endpoints.byInstance["i"], test.err)
			if got := len(c.outliers.drainObservations(c.loop.now())) > 0; got != test.recorded {
				t.Errorf("recorded: %v, want %v", got, test.recorded)
			}
			if got := c.loop.expeditedTo > 0; got != test.recorded {
				t.Errorf("report expedited: %v, want %v", got, test.recorded)
			}
		})
	}
}
