// Package idempotency decides, across crashes and restarts, how a gatherer handles a request that must not run twice: whether
// it may be dispatched, is answered with the stored answer of an earlier request with the same key, or fails because the
// outcome of that earlier request is unknown. The package does no I/O, reads no clock and starts no goroutine. It is not safe
// for concurrent use: one goroutine owns a Table. Writes to disk are returned to the caller as Changes.
//
// The stages of a request:
//
//	intended   its intent is being written; nothing was dispatched    after a crash: no entry, or outcome unknown
//	open       its intent is on disk; it may be dispatched            after a crash: outcome unknown
//	answered   its answer is known                                    retries receive the same answer
//	unknown    it may have run, the outcome is unknown                retries fail at once and are never dispatched
//	(none)     it is known not to have run                            retries are new requests
//
// Invariant: a stage is durable before any action that it permits. Only an intent permits an action, the dispatch, so the
// caller waits only for writes of intents. If a later stage is lost in a crash, the outcome is unknown after the restart,
// which is a correct description in every case.
package idempotency
