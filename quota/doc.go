// Package quota shares the connections to servers among tenants. A [Limiter] shares those of one gateway by weighted max-min
// fairness and lends idle ones; an [Allocator] shares those of one service among gateways, by the demand of each tenant at
// each of them. The package decides which tenant may take the next connection and how many each gateway may use. It has no
// I/O, clock or goroutines: times are offsets on the caller's monotonic clock, and callers serialize calls.
//
// Shares are counted in connections at each moment. As a connection held for a time is that much of the server's time, shares
// of connections are also shares of server time.
package quota
