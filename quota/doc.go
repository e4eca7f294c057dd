// Package quota divides the connections to servers among tenants. A [Limiter] divides the connections of one gateway by
// weighted max-min fairness and lends idle ones to other tenants. An [Allocator] divides the connections of one service
// among gateways by the demand of each tenant at each gateway. The package decides which tenant may acquire the next
// connection and how many connections each gateway may use. It has no I/O, no clock and no goroutines. Times are
// durations on the caller's monotonic clock, and callers must serialize calls.
//
// Shares are numbers of connections in use at the same time. As a connection in use occupies the server for as long as it
// is held, shares of connections are also shares of server time.
package quota
