package registry

import (
	"time"

	"oxbowspan/lease"
)

type (
	// InstanceID identifies one incarnation of a server.
	InstanceID string
	// ServiceID identifies a service, a set of servers that answer alike.
	ServiceID string
	// Sequence numbers the heartbeats of a server. It rises with each.
	Sequence uint64
	// Cursor is a position in the order of a table's updates.
	Cursor uint64
	// State is the state of a server. It only rises.
	State uint8
)

// The states of a server, in their order.
const (
	Ready State = iota
	Draining
	Deregistered
)

// String returns the state's name in the control API.
func (s State) String() string {
	return [...]string{"ready", "draining", "gone"}[min(s, Deregistered)]
}

// Record is what is known of one incarnation of a server. Times are durations on the clock of the table's owner.
type Record struct {
	Instance        InstanceID
	Service         ServiceID
	Address         string // host and port
	Zone            string
	Version         string        // of the server's program
	Slots           int           // requests that it handles at once
	State           State         // the furthest that was reported
	SlowStartEndsAt time.Duration // until when the server is still warming up
	Sequence        Sequence      // of the newest heartbeat
	HeartbeatAt     time.Duration // when the newest heartbeat was received
	Unresponsive    bool          // it is not to be used; in a record to merge, as the sender has marked it
	HeartbeatMissed bool          // its heartbeats stay away; a lease holder may nevertheless see it healthy
	HealthyAt       time.Duration // when a lease holder last saw it healthy, where Lease is not zero
	Lease           lease.Lease   // of that holder
	HeartbeatOnly   bool          // in a record to merge: only Instance, Sequence and HeartbeatAt are set

	lastUpdate Cursor // of any kind
	lastChange Cursor // that changes more than the time of the newest heartbeat
	source     string // that the last update came from; "" = the server itself, or this table
}

// ChangedAfter reports whether more than the time of the newest heartbeat has changed since a cursor.
func (r *Record) ChangedAfter(after Cursor) bool { return r.lastChange > after }
