// Package outlier detects servers that respond slowly or not at all. Each gateway observes the servers that it calls; gateways forward
// significant observations to each other over a few hops. A [Detector] merges the observations and derives each server's [Status] by rules
// that depend on the observations alone, so that gateways with the same observations reach the same status without a leader.
//
// The status tells the balancer how much slower than its own record to predict a server, and which servers to eject. The choice among the
// remaining servers is the balancer's.
//
// The package has no I/O, clock or goroutines. Times are offsets on the caller's monotonic clock; between gateways only ages are sent.
// Callers serialize calls.
package outlier
