package registry

import (
	"time"

	"oxbowspan/lease"
)

type (
	// InstanceID identifies one incarnation of a server.
	InstanceID string
	// ServiceID identifies a service, a set of interchangeable servers.
	ServiceID string
	// Sequence is the number of a server's heartbeat. It increases with each heartbeat.
	Sequence uint64
	// Cursor is a position in the sequence of a table's updates.
	Cursor uint64
	// State is the lifecycle state of a server. It never decreases.
	State uint8
)

// States of a server, in the order in which it passes through them.
const (
	Ready State = iota
	Draining
	Deregistered
)

// String returns the state's name in the control API.
func (s State) String() string {
	return [...]string{"ready", "draining", "gone"}[min(s, Deregistered)]
}

// Record is the membership record of one incarnation of a server. Times are durations on the monotonic clock of the table's
// owner.
type Record struct {
	Instance        InstanceID
	Service         ServiceID
	Address         string // host and port
	Zone            string
	Version         string        // of the server's program
	Slots           int           // requests that the server handles concurrently
	State           State         // highest state reported
	SlowStartEndsAt time.Duration // when the server has warmed up
	Sequence        Sequence      // of the newest heartbeat
	HeartbeatAt     time.Duration // when the newest heartbeat was received
	Unresponsive    bool          // the server must not be used; in a record to merge: the sender's flag
	HeartbeatMissed bool          // heartbeats are missing, although a lease holder may have confirmed the server healthy
	HealthyAt       time.Duration // when a lease holder last confirmed it healthy; valid if Lease is not zero
	Lease           lease.Lease   // lease of that holder
	HeartbeatOnly   bool          // in a record to merge: only Instance, Sequence and HeartbeatAt are set

	lastUpdate Cursor // position of the last update of any kind
	lastChange Cursor // position of the last update that changed more than the newest heartbeat's time
	source     string // controller that sent the last update; "" = the server itself, or this table
}

// ChangedAfter reports whether the record has changed since a cursor, other than by the time of its newest heartbeat.
func (r *Record) ChangedAfter(after Cursor) bool { return r.lastChange > after }
