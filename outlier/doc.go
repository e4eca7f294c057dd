// Package outlier detects servers that respond slowly or not at all. Each gateway observes the servers that it calls; gateways forward
// significant observations to each other over a few hops. A [Detector] merges the observations and derives each server's [Status] by rules
// that depend on the observations alone, so that gateways with the same observations reach the same status without a leader.
//
// From the status the balancer learns which servers to exclude, and the factor by which to predict a server slower than the balancer's
// own measurements of it. The balancer chooses among the remaining servers.
//
// The package performs no I/O, reads no clock and starts no goroutines. Times are offsets on the caller's monotonic clock; gateways
// exchange only ages. A Detector is not safe for concurrent use.
package outlier
