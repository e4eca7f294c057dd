// Package degradation decides how much of its service a gatherer gives while it cannot give all of it. There are named levels, each
// entered and left by thresholds with hysteresis on smoothed signals. A level sets which share of each query type's requests is
// served and how far the limits on merges go.
//
// A Monitor measures the signals, a Machine turns them into a level, and a Gate applies the level's policy to single requests. All
// three do no I/O, read no clock and start no goroutine. None is safe for concurrent use: one goroutine owns them.
//
// The decision comes before those on single requests and only narrows them: a request that a level does not serve is rejected at
// once, before anything is dispatched. Routing, retries and load shedding stay with the balancer. A request keeps the policy under
// which it was admitted.
//
// Two failures are to be avoided: cheap look-ups that time out beside expensive reports after a quarter of the servers has died, and
// levels that flap with each second's load, so that clients learn nothing from being rejected.
package degradation

// Time is a point in time or a duration, in milliseconds.
type Time int64

// Second is the duration of one second.
const Second Time = 1000

const minute = 60 * Second
