// Package balancer decides, for one gateway instance, to which replicas the shard calls of each request are
// sent, when they are retried or hedged, and when the request is answered.
//
// A Balancer is a deterministic state machine: Handle takes an Event and its moment and returns the Actions
// to perform, in order. It owns no socket, clock or goroutine; all its random numbers come from Config.Seed.
// It must not be used from several goroutines at once.
//
// The ordinary path of a request (plan.go) draws two plans at random offsets, predicts when each call of them
// would finish, and dispatches the better one. Beside it stand six mechanisms:
//
//   - Health (health.go): errors and silence eject a server; single probation attempts bring it back, after a
//     health check where a request would depend on them. Idle connections that are often found dead are
//     closed before use.
//   - Slow start (slowstart.go): a server that has just started gets a share of what warm ones are sent.
//   - Retries and hedges (retry.go): both are paid from a retry budget, hedges by their recent success.
//   - Admission (limit.go): an in-flight limit follows latency; above it requests are shed.
//   - Completion (completion.go): a complete answer at once, a partial one at the latency target, none after
//     the deadline.
//   - Server list (serverlist.go): updates are requested again with exponential backoff.
//
// The constants that these go by are in parameters.go; the state is in state.go.
package balancer
