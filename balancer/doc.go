// Package balancer selects, for one gateway instance, the replicas to which the shard calls of each request are
// sent, and decides when calls are retried or hedged and when the request is answered.
//
// A Balancer is a deterministic state machine: Handle takes an Event and the current time and returns the Actions
// to perform, in order. It uses no socket, clock or goroutine; all its random numbers derive from Config.Seed.
// It must not be used concurrently.
//
// For each request, plan.go draws two plans at random offsets, predicts when each call would finish, and
// dispatches the better plan. Six further mechanisms are:
//
//   - Health (health.go): errors and silence eject a server; single probation attempts readmit it, after a
//     health check if a request would depend on the attempt. If idle connections are often found dead, they are
//     closed before use.
//   - Slow start (slowstart.go): a server that has just started receives a share of the load of a warm one.
//   - Retries and hedges (retry.go): a retry budget limits both, and hedges also by their recent success.
//   - Admission (limit.go): an in-flight limit follows latency; above it requests are shed.
//   - Completion (completion.go): a complete answer is returned at once, a partial one at the latency target,
//     none after the deadline.
//   - Server list (serverlist.go): failed requests for the list are repeated with exponential backoff.
//
// Constants are in parameters.go, state in state.go.
package balancer
