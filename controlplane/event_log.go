package controlplane

import (
	"time"

	"github.com/emirpasic/gods/v2/queues/circularbuffer"

	"oxbowspan/controlapi"
	"oxbowspan/registry"
)

// eventLogCapacity is the number of events that a controller retains; the oldest are removed first.
const eventLogCapacity = 1024

// serverStatesSlack is by how many entries serverChangeLog.states may exceed twice the number of registered servers before it is
// cleared.
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

// eventLog retains the newest events for operators. It is owned by the event loop.
type eventLog struct {
	clock    *monotonicClock
	records  *circularbuffer.Queue[eventRecord]
	sequence uint64
}

func newEventLog(clock *monotonicClock) *eventLog {
	return &eventLog{clock: clock, records: circularbuffer.New[eventRecord](eventLogCapacity)}
}

func (l *eventLog) add(kind eventKind, text string) {
	l.sequence++
	l.records.Enqueue(eventRecord{l.sequence, l.clock.now(), kind, text})
}

// list returns the retained events, oldest first, with a controller's address as their origin.
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

// serverChangeLog records an event for each change of a server's state that affects whether it receives requests. It is owned by
// the event loop.
type serverChangeLog struct {
	table  *registry.Table
	events *eventLog
	cursor registry.Cursor   // position up to which changes were recorded
	states map[string]string // last recorded state of each server, by instance
}

func newServerChangeLog(table *registry.Table, events *eventLog) *serverChangeLog {
	return &serverChangeLog{table: table, events: events, states: map[string]string{}}
}

// record adds events for the changes since the last call. Changes within peerLivenessTimeout of the start are not recorded, as the
// controller is still receiving the existing servers then.
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
	if len(l.states) > 2*l.table.Len()+serverStatesSlack { // the table has removed many servers
		clear(l.states)
	}
}
