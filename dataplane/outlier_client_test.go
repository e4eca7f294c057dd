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

// readyServers are reports of some servers of one service.
func readyServers(instances ...string) (reports []*rpc.ServerReport) {
	for _, instance := range instances {
		reports = append(reports, &rpc.ServerReport{Instance: instance, Service: "s", Zone: "a", State: uint32(registry.Ready), Sequence: 1})
	}
	return reports
}

func pinDocument(t *testing.T, version uint64, age time.Duration, pins ...config.Pin) *rpc.Document {
	t.Helper()
	body, err := json.Marshal(&config.PinDocument{Pins: pins})
	if err != nil {
		t.Fatal(err)
	}
	return &rpc.Document{Name: config.PinsDocumentName, Version: version, Body: body, AgeMs: uint32(age.Milliseconds())}
}

func (c *components) state(instance string) outlier.State {
	return c.outliers.detector.Status(outlier.Instance(instance)).State
}

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

// verdictsGiven returns the verdicts that the balancer was given on a server, in order.
func (c *components) verdictsGiven(instance string) (verdicts []balancer.OutlierVerdict) {
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

func TestVerdictsForTheBalancer(t *testing.T) {
	c := newComponents(t)
	c.report(readyServers("i", "j", "k")...)
	c.outliers.applyPins(pinDocument(t, 1, 0, config.Pin{Instance: "i", State: "out", DurationSeconds: 10, Reason: "test"}))
	c.outliers.evaluate(c.loop.now())
	c.outliers.evaluate(c.loop.now())
	if got := c.verdictsGiven("i"); len(got) != 1 || !got[0].Ejected || got[0].Recovered {
		t.Fatalf("verdicts %+v, want one that ejects", got)
	}
	if shown := c.outliers.verdicts(c.loop.now()); len(shown) != 1 || shown[0].Instance != "i" || !shown[0].Pinned {
		t.Errorf("operators see %v", shown)
	}
	if got := c.verdictsGiven("j"); len(got) != 0 {
		t.Errorf("verdicts on a healthy server: %+v", got)
	}
}

// Only a refused connection says that a server is not there; other failures may be the network's.
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
			if got := len(c.outliers.takeObservations(c.loop.now())) > 0; got != test.recorded {
				t.Errorf("recorded: %v, want %v", got, test.recorded)
			}
			if got := c.loop.expeditedTo > 0; got != test.recorded {
				t.Errorf("report expedited: %v, want %v", got, test.recorded)
			}
		})
	}
}
