package controlplane

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"oxbowspan/consensus"
	"oxbowspan/registry"
)

// storedCounter counts the calls of departuresStored.
type storedCounter struct{ calls int }

func (l *storedCounter) departuresStored() { l.calls++ }

// deregister deregisters a server and records that as a departure. It returns the table's cursor.
func deregister(d *departureLog, instance registry.InstanceID) registry.Cursor {
	d.table.Deregister(instance, d.clock.now())
	d.record()
	return d.table.Cursor()
}

// Departures that the disk refuses are not taken for stored, and the next save stores them together with those that came meanwhile.
func TestRefusedDeparturesAreSavedLater(t *testing.T) {
	c := newTestController(t)
	listener := &storedCounter{}
	d := newDepartureLog(c.store, c.table, c.loop, c.clock, listener, zerolog.Nop())
	blocked, release := make(chan struct{}, 1), make(chan struct{})
	step := func(s consensus.AcceptorState) consensus.AcceptorState {
		select {
		case blocked <- struct{}{}:
		default:
		}
		<-release
		return s
	}
	ignore := func(consensus.AcceptorState, error) {}
	c.store.Update(step, ignore)
	<-blocked // the store's goroutine takes no other update from the queue until release is closed
	for c.store.Update(step, ignore) == nil {
	} // until the queue is full
	first := deregister(d, "i-1")
	second := deregister(d, "i-2")
	if d.isStored(first) || d.isStored(second) || d.saving {
		t.Error("departures that the disk refuses count as stored or being stored")
	}
	close(release)
	for stored := false; !stored; { // until the queue is empty
		_, stored = c.acceptor.storedState()
	}
	d.save()
	(<-c.loop.commands)()
	if !d.isStored(first) || !d.isStored(second) || listener.calls != 1 {
		t.Errorf("after the next save: stored %v and %v, %d notifications", d.isStored(first), d.isStored(second), listener.calls)
	}
}

// A departure that is learned while others are being written is not taken for stored by their write, and is written after it.
func TestDepartureDuringSaveIsSavedNext(t *testing.T) {
	c := newTestController(t)
	d := newDepartureLog(c.store, c.table, c.loop, c.clock, &storedCounter{}, zerolog.Nop())
	first := deregister(d, "i-1")
	second := deregister(d, "i-2")
	(<-c.loop.commands)()
	if !d.isStored(first) || d.isStored(second) {
		t.Errorf("after the first write: stored %v and %v", d.isStored(first), d.isStored(second))
	}
	(<-c.loop.commands)()
	if !d.isStored(second) {
		t.Error("the second departure is not written")
	}
}

// A heartbeat that changes nothing but the record of a server whose departure is stored does not make the departure count as unstored.
func TestLaterChangesKeepDepartureStored(t *testing.T) {
	c := newTestController(t)
	d := newDepartureLog(c.store, c.table, c.loop, c.clock, &storedCounter{}, zerolog.Nop())
	deregister(d, "i-1")
	(<-c.loop.commands)()
	d.table.Merge(registry.Record{Instance: "i-2", Service: "s", Address: "a", Sequence: 1, HeartbeatAt: d.clock.now()}, "")
	if !d.isStored(d.table.Cursor()) {
		t.Error("a ready server's heartbeat makes earlier departures count as unstored")
	}
}

// A controller that is killed after a departure was stored, before its hints are saved, has the departure when it starts again.
func TestStoredDepartureIsRestored(t *testing.T) {
	dir := t.TempDir()
	ready := registry.Record{Instance: "i-1", Service: "s", Address: "10.0.3.1:80", Sequence: 4}
	firstRun := openTestController(t, dir)
	firstRun.table.Merge(ready, "")
	firstRun.hints.save(time.Minute)
	(<-firstRun.loop.commands)()
	deregister(firstRun.departures, "i-1")
	deregister(firstRun.departures, "i-2") // which has sent no heartbeat to this controller
	for !firstRun.departures.isStored(firstRun.table.Cursor()) {
		(<-firstRun.loop.commands)()
	}
	firstRun.loop.stop()
	if err := firstRun.store.Close(); err != nil {
		t.Fatal(err)
	}

	secondRun := openTestController(t, dir)
	defer secondRun.store.Close()
	defer secondRun.loop.stop()
	for _, instance := range []registry.InstanceID{"i-1", "i-2"} {
		if r := secondRun.table.Get(instance); r == nil || r.State != registry.Deregistered {
			t.Errorf("record of %s after a restart: %+v", instance, r)
		}
	}
	if r := secondRun.table.Get("i-1"); r != nil && (r.Address != ready.Address || r.Sequence != ready.Sequence) {
		t.Errorf("record of i-1 after a restart: %+v", r)
	}
	if !secondRun.departures.isStored(secondRun.table.Cursor()) {
		t.Error("departures restored from the disk count as unstored")
	}
}
