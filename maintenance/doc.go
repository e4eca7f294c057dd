// Package maintenance is what the gatherers of a fleet agree on: who is a member, who may be out, and how far a release is. It is a
// deterministic state machine over a log of commands: the same commands in the same order give the same state on every steward.
// It does no I/O, reads no clock and starts no goroutine; time comes with the commands and never goes back.
//
// What it owns: the members with their leases, the permits to be out, the limits on who may be out together, the releases. Each
// thing granted bears the epoch of the command that made it; a later command that names an older epoch, or an older incarnation
// of a member, changes nothing.
//
// Its one promise: a permit is granted only where, by what the machine knows, no limit is passed afterwards, and a permit counts
// until its holder gave it back or was forgotten by an operator. A lease that ran out frees nothing: a holder that was frozen may
// wake and go on where it stopped.
package maintenance
