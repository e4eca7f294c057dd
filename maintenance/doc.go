// Package maintenance implements the replicated state machine that keeps the maintenance of a fleet of gatherers and
// servers within configured limits. It tracks the members of the fleet, which of them may be out of service ("out"),
// and the progress of releases. Applying the same commands in the same order yields the same state on every replica.
// The package performs no I/O, reads no clock and starts no goroutines; commands carry the time, which never decreases.
//
// The state holds the members and their leases, the permits to be out, the limits on how many members may be out at the
// same time, and the releases. A permit carries the epoch of the command that granted it. A later command that names an
// older epoch, or an older incarnation of a member, changes nothing.
//
// Invariant: a permit is granted only if, according to the replicated state, no limit is exceeded afterwards. A permit
// counts against the limits until its holder returns it or is ready again after a restart, until the release that
// requested it has changed the holder, or until an operator removes the holder. The expiry of a lease does not end a
// permit, because a suspended holder may resume and continue where it stopped.
//
// Permit.Reason and Release.HaltReason are part of the state, and each replica formats them independently. Their
// wording must not change within a FormatVersion: replicas that run different program versions would otherwise have
// different states.
package maintenance
