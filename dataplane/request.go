package dataplane

import (
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"oxbowspan/admission"
	"oxbowspan/balancer"
	"oxbowspan/quota"
)

// request is a client request from its arrival to its result.
type request struct {
	// Set by the client connection's goroutine; not modified once submitted, except by releaseMessage.
	route     *route
	method    string
	uri       string
	header    []byte        // forwarded header lines, each ending in CR LF
	body      *requestBody  // nil = none
	attemptID string        // X-Attempt-Id; "" = the client sent none
	deadline  balancer.Time // time allowed for the result, from the arrival
	deliver   func(result)  // called once with the result; must not block

	// Owned by the event loop.
	id          balancer.RequestID
	shardCalls  []*shardCall
	finished    bool
	mayHaveRun  bool               // a server may have run it, or may still do so
	lastFailure *fasthttp.Response // the last server error, forwarded if no success follows

	dispatchCheck *timer // of the hold limit; nil = none is needed
}

// releaseMessage removes the references to the header and the body once no attempt can be sent any more. Attempts in flight have been
// written or hold what they still write.
func (r *request) releaseMessage() { r.header, r.body = nil, nil }

// dispatchState returns the combined progress of the request's shard calls.
func (r *request) dispatchState() (state admission.DispatchState) {
	for _, call := range r.shardCalls {
		state.Dispatched = state.Dispatched || call.firstConn != nil
		state.Pending = state.Pending || call.inFlight > 0 || call.waitingSince != 0
	}
	return state
}

// releaseLastFailure releases lastFailure, if there is one.
func (r *request) releaseLastFailure() {
	if r.lastFailure != nil {
		fasthttp.ReleaseResponse(r.lastFailure)
		r.lastFailure = nil
	}
}

// shardCall is the part of a request that is sent to one shard. It is owned by the event loop.
type shardCall struct {
	request         *request
	id              balancer.ShardCallID
	shard           balancer.ShardIndex
	candidateShards []balancer.ShardIndex // shards to whose servers it may be sent
	attempts        []*attempt            // by number; nil = ended
	inFlight        int                   // attempts that have not ended
	response        *fasthttp.Response    // the successful response; nil = none yet

	firstConn  *serverConn   // the first connection that carried it
	otherConns []*serverConn // all further ones

	waitingSince balancer.Time  // start of the wait for a connection of its tenant, 0 = not waiting
	tenant       quota.TenantID // the tenant whose connections it waits for
}

// usedConn reports whether the shard call was sent over a connection before.
func (c *shardCall) usedConn(conn *serverConn) bool {
	return c.firstConn == conn || slices.Contains(c.otherConns, conn)
}

// addConn records that the shard call is sent over a connection.
func (c *shardCall) addConn(conn *serverConn) {
	if c.firstConn == nil {
		c.firstConn = conn
		return
	}
	c.otherConns = append(c.otherConns, conn)
}

// releaseResponse releases the response, if there is one.
func (c *shardCall) releaseResponse() {
	if c.response != nil {
		fasthttp.ReleaseResponse(c.response)
		c.response = nil
	}
}

// attempt is one transmission of a shard call to one server. It is owned by the event loop.
type attempt struct {
	shardCall       *shardCall
	number          balancer.AttemptNumber
	endpoint        *endpoint
	conn            *serverConn // nil = not connected yet
	sentAt          balancer.Time
	deadline        balancer.Time
	ended           bool // its outcome is known
	timeout         *timer
	countsForTenant bool // its connection is accounted to tenant
	tenant          quota.TenantID
}

// mayHaveRun reports whether an attempt that has not ended may have run; a is nil if it has ended. An attempt without a
// connection has not been sent, and is not sent later if its request has finished by then.
func (a *attempt) mayHaveRun() bool { return a != nil && a.conn != nil }

// appendHeader appends the header of the attempt's HTTP request to b. X-Deadline-Remaining is set to remaining, in milliseconds
// and at least 1.
func (a *attempt) appendHeader(b []byte, remaining time.Duration) []byte {
	r := a.shardCall.request
	b = append(b, r.method...)
	b = append(b, ' ')
	b = append(b, r.uri...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = append(b, r.header...)
	b = append(b, "X-Deadline-Remaining: "...)
	b = strconv.AppendInt(b, max(remaining.Milliseconds(), 1), 10)
	b = append(b, "\r\nX-Expected-Instance: "...)
	b = append(b, a.endpoint.instance...)
	if len(r.body.bytes()) > 0 || r.method != "GET" && r.method != "HEAD" {
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.body.bytes())), 10)
	}
	return append(b, "\r\n\r\n"...)
}
