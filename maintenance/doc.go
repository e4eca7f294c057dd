// Package maintenance is the replicated state machine that keeps maintenance of a fleet of gatherers and servers within limits: who
// is a member, who may be out of service, and how far a release has got. The same commands in the same order give the same state on
// every replica. It does no I/O, reads no clock and starts no goroutine; time comes with the commands and never goes back.
//
// The state holds the members with their leases, the permits to be out, the limits on who may be out together, and the releases. A
// permit bears the epoch of the command that granted it. A later command that names an older epoch, or an older incarnation of a
// member, changes nothing.
//
// The invariant: a permit is granted only where, by what the state machine knows, no limit is exceeded afterwards; and a permit counts
// until its holder returned it or an operator removed the holder. The end of a lease frees no permit: a holder that was suspended may
// resume and go on where it stopped.
//
// Reasons that are part of the state (Permit.Reason, Release.HaltReason) are formatted by each replica on its own. Their wording must
// not change within a FormatVersion, as replicas of different program versions would differ in their states.
package maintenance
