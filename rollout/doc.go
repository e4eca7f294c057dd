// Package rollout decides how the traffic of a service moves to servers of a new version (a canary release): in steps, each of
// which a larger share of the requests reaches the new version, as long as these fare no worse than the others.
//
// The state of all rollouts is one Document, which controllers agree on as they agree on the configuration. A controller proposes
// each transition on top of the document version that it was decided from, so that of two controllers that act at once one loses:
// the document's version is the fencing token.
//
// # Invariants
//
//   - A gateway sends no more of a service's requests to the target version than the step says that it has applied, and none once
//     the rollout is reverted or, before the last step, while it is out of touch with the controllers (Rollout.Share).
//   - A rollout is completed only after every gateway in contact has applied the last step and has no request open at servers of
//     the version before: these stop at once (Progress.drained).
//   - What is decided from is what clients' requests met in this rollout, old and new version in the same window (Analysis).
//
// The package has no I/O, no clock and no goroutines.
package rollout
