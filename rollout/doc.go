// Package rollout decides how the traffic of a service is shifted to servers of a new version (a canary release): in steps, each of
// which sends a larger share of the requests to the new version, as long as its responses are no worse than those of the others.
//
// The state of all rollouts is a single Document, which controllers decide by consensus like the configuration. A controller proposes
// each transition on top of the document version from which it derived the transition. The document's version is thus a fencing
// token: if two controllers propose at the same time, one proposal is rejected.
//
// # Invariants
//
//   - A gateway sends the target version no larger share of a service's requests than that of the step that it has applied. It sends
//     none once the rollout is reverted or, before the last step, while it has no contact with the controllers (Rollout.Share).
//   - A rollout is completed only after every gateway in contact has applied the last step and has no requests open at servers of
//     the previous version, because these servers then stop immediately (Progress.drained).
//   - Decisions are based only on the responses to clients' requests in this rollout, with the old and the new version compared over
//     the same period (Analysis).
//
// The package performs no I/O, reads no clock and starts no goroutines.
package rollout
