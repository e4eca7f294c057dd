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

// request is one client request from its arrival to its result.
type request struct {
	// Set by the client's goroutine, constant afterwards.
	route     *route
	method    string
	uri       string
	header    []byte // forwarded header lines, each ending in CR LF
	body      []byte
	attemptID string        // X-Attempt-Id; "" = the client sent none
	deadline  balancer.Time // how long the client waits, from the arrival
	deliver   func(result)  // takes the result, once, without blocking

	// Owned by the loop.
	id          balancer.RequestID
	shardCalls  []*shardCall
	finished    bool
	mayHaveRun  bool               // some server may have run it, or may do so yet
	lastFailure *fasthttp.Response // the last response that was no success, to be forwarded when nothing better comes
}

// dispatchState returns how far the request's shard calls have come.
func (r *request) dispatchState() (state admission.DispatchState) {
	for _, call := range r.shardCalls {
		state.Dispatched = state.Dispatched || call.firstConn != nil
		state.Pending = state.Pending || call.inFlight > 0 || call.waitingSince != 0
	}
	return state
}

// releaseLastFailure releases the kept failure, if there is one.
func (r *request) releaseLastFailure() {
	if r.lastFailure != nil {
		fasthttp.ReleaseResponse(r.lastFailure)
		r.lastFailure = nil
	}
}

// shardCall is the part of a request that one shard answers. It is owned by the loop.
type shardCall struct {
	request  *request
	id       balancer.ShardCallID
	shard    balancer.ShardIndex
	mayUse   []balancer.ShardIndex // to whose servers it may be sent
	attempts []*attempt            // by number; nil = ended
	inFlight int                   // attempts that have not ended
	response *fasthttp.Response

	firstConn  *serverConn // the connection that carried it first
	otherConns []*serverConn

	waitingSince balancer.Time // since when it waits for a connection of its tenant, 0 = it does not
	tenant       quota.TenantID
}

// usedConn reports whether a connection has carried this shard call.
func (c *shardCall) usedConn(conn *serverConn) bool {
	return c.firstConn == conn || slices.Contains(c.otherConns, conn)
}

// addConn records that a connection carries this shard call.
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

// attempt sends a shard call to one server, once. It is owned by the loop.
type attempt struct {
	shardCall       *shardCall
	number          balancer.AttemptNumber
	endpoint        *endpoint
	conn            *serverConn // nil = not connected yet
	sentAt          balancer.Time
	deadline        balancer.Time
	ended           bool
	countsForTenant bool // its connection is accounted to tenant
	tenant          quota.TenantID
}

// mayHaveRun reports whether an attempt that has not ended may have run. One without a connection is never sent once its request
// has finished.
func (a *attempt) mayHaveRun() bool { return a != nil && a.conn != nil }

// appendRequest appends the attempt's HTTP request to b, with remaining as the time that its server has.
func (a *attempt) appendRequest(b []byte, remaining time.Duration) []byte {
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
	if len(r.body) > 0 || r.method != "GET" && r.method != "HEAD" {
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.body)), 10)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, r.body...)
}
