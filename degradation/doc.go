// Package degradation decides which part of its service a gatherer provides while its capacity does not suffice for all
// requests. The service has named degradation levels, which are entered and left at thresholds with hysteresis on smoothed
// signals. A level sets the share of each query type's requests that is served and the share of the merge limits that may be
// used.
//
// A Monitor measures the signals, a Machine derives the level from them, and a Gate applies the level's policy to single
// requests. All three do no I/O, read no clock and start no goroutine. None is safe for concurrent use: one goroutine owns
// them.
//
// The level's policy applies before the balancer and can only reject more requests: a request that a level does not serve is
// rejected immediately, before any shard call is dispatched. Routing, retries and load shedding remain with the balancer. A
// request keeps the policy under which it was admitted.
//
// The package guards against two failures: cheap look-ups that time out alongside expensive reports after a quarter of the
// servers has failed, and levels that flap with the load of each second, so that a rejection tells clients nothing about when
// to retry.
//
// A change to a level with a lower rank, which serves more, is called an upgrade; a change to a higher rank is a downgrade.
package degradation

// Time is a point in time or a duration, in milliseconds.
type Time int64

// Second is the duration of one second.
const Second Time = 1000

const minute = 60 * Second
