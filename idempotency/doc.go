// Package idempotency decides what a gatherer may do with requests that must not run twice, across crashes and restarts: whether a
// request may be dispatched, must be answered from the stored answer of an earlier one with the same key, or must be answered with
// the fact that the outcome is unknown. It does no I/O, reads no clock and starts no goroutine. It is not safe for concurrent use:
// one goroutine owns a Table. What must be written to disk is returned to the caller as Changes.
//
// The stages of a request:
//
//	intended   its intent is being written; nothing was dispatched    after a crash: never seen, or outcome unknown
//	open       its intent is on disk; it may be dispatched            after a crash: outcome unknown
//	answered   its answer is known                                    repeats get the same answer
//	unknown    it may have run, the outcome is unknown                repeats fail at once and are never dispatched
//	(none)     it is known not to have run                            repeats are new requests
//
// The invariant behind all of them: a stage is on disk before what it permits is done. Only an intent permits anything, so only
// intents are waited for. A later stage that is lost in a crash leaves the outcome unknown, which is always true.
package idempotency
