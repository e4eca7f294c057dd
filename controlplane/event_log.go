package controlplane

import (
	"time"

	"github.com/emirpasic/gods/v2/queues/circularbuffer"

	"oxbowspan/controlapi"
	"oxbowspan/registry"
)

// eventLogCapacity is how many events a controller retains; the oldest are dropped first.
const eventLogCapacity = 1024

// serverStatesSlack is how many servers beyond twice those registered may be remembered before the memory is cleared.
const serverStatesSlack = 64

// eventKind is the kind of an Event. The values are part of the operator API.
type eventKind string

const (
	eventConfiguration eventKind = "config"
	eventMembership    eventKind = "members"
	eventController    eventKind = "hive"
	eventGateway       eventKind = "node"
	eventServer        eventKind = "server"
	eventRollout       eventKind = "rollout"
)

type eventRecord struct {
	sequence uint64
	at       time.Duration
	kind     eventKind
	text     string
}

// eventLog retains the newest events for operators. It belongs to the event loop.
type eventLog struct {
	clock    *steadyClock
	records  *circularbuffer.Queue[eventRecord]
	sequence uint64
}

func newEventLog(clock *steadyClock) *eventLog {
	return &eventLog{clock: clock, records: circularbuffer.New[eventRecord](eventLogCapacity)}
}

func (l *eventLog) add(kind eventKind, text string) {
	l.sequence++
	l.records.Enqueue(eventRecord{l.sequence, l.clock.now(), kind, text})
}

// list returns the retained events, the oldest first, as those of a controller.
func (l *eventLog) list(controller string) []controlapi.Event {
	out := []controlapi.Event{}
	now := l.clock.now()
	for _, e := range l.records.Values() {
		out = append(out, controlapi.Event{
			Controller: controller,
			Sequence:   e.sequence,
			AgeSeconds: (now - e.at).Seconds(),
			Kind:       string(e.kind),
			Text:       e.text,
		})
	}
	return out
}

// serverChangeLog records as events those changes of servers that decide whether they receive requests. It belongs to the event
// loop.
type serverChangeLog struct {
	table  *registry.Table
	events *eventLog
	cursor registry.Cursor   // up to which changes were recorded
	states map[string]string // of each server when it was last recorded, by instance
}

func newServerChangeLog(table *registry.Table, events *eventLog) *serverChangeLog {
	return &serverChangeLog{table: table, events: events, states: map[string]string{}}
}

// record adds the changes since the last call. What a controller learns while it starts is no event.
func (l *serverChangeLog) record(now time.Duration) {
	for _, r := range l.table.ChangesAfter(l.cursor) {
		state := r.State.String()
		if r.State == registry.Ready && r.Unresponsive {
			state = "silent"
		}
		instance := string(r.Instance)
		if previous, known := l.states[instance]; known && previous == state || r.Service == "" {
			continue
		}
		if l.states[instance] = state; now > peerLivenessTimeout {
			l.events.add(eventServer, instance+" of "+string(r.Service)+" at "+r.Address+" is "+state)
		}
		if r.State == registry.Deregistered {
			delete(l.states, instance)
		}
	}
	l.cursor = l.table.Cursor()
	if len(l.states) > 2*l.table.Len()+serverStatesSlack { // the table dropped many
		clear(l.states)
	}
}
