// Package connadmission decides which client connections a gatherer keeps: which one is closed for a new one at the limit, which
// parked connection may be served, and which client is too slow. A Controller records what it needs to know of each connection.
// It does no I/O, reads no clock, starts no goroutine, and must not be used concurrently.
//
// It acts before the admission of requests and does not replace it: it closes connections without an open request, and rejects
// a request on a parked connection or lets it pass at once. It queues nothing.
//
// All decisions take O(1), or O(number of customers): connections are in lists by state, each in the order in which they
// entered it, so that the one that has been there longest is always first.
package connadmission

import "unsafe"

// Millis is a time or a duration in milliseconds.
type Millis int64

// ID identifies a connection from Open until Close.
type ID uint32

// NoConn is no connection.
const NoConn = ^ID(0)

// CustomerIndex is an index in Options.CustomerShares.
type CustomerIndex int32

// UnknownCustomer is the index of a connection whose customer is not known.
const UnknownCustomer CustomerIndex = -1

// connState is the state of a connection.
type connState uint8

const (
	stateFree               connState = iota
	stateNew                          // it has not sent a complete request header yet
	stateIdleWithoutRequest           // idle, and has never sent a search: health checks, pollers
	stateIdle                         // idle between searches
	stateActive                       // it has an open request
	stateSlowHeader                   // part of a request header has been received, and the rest is late
)

// Controller records all client connections of one gatherer.
type Controller struct {
	options         Options
	conns           []connEntry // by ID; those closed are reused
	free            int32
	lists           []connList // listNew and so on, then idle connections by customer, the unknown customer last
	connsOfCustomer []int32
	count           int
	parked          int     // of the connections
	parkedNew       int     // of the parked connections, those in stateNew
	shareSum        float64 // sum of Options.CustomerShares
	unknownIndex    int
}

const (
	listNew = iota
	listIdleWithoutRequest
	listSlowHeader
	listFirstIdle
)

// New returns a controller without connections.
func New(options Options) *Controller {
	c := &Controller{options: options, free: -1, unknownIndex: len(options.CustomerShares)}
	for range listFirstIdle + len(options.CustomerShares) + 1 {
		c.lists = append(c.lists, connList{first: -1, last: -1})
	}
	c.connsOfCustomer = make([]int32, len(options.CustomerShares)+1)
	for _, s := range options.CustomerShares {
		c.shareSum += s
	}
	return c
}

// Limit returns the greatest number of connections.
func (c *Controller) Limit() int { return c.options.MaxConns }

// Len returns the number of connections.
func (c *Controller) Len() int { return c.count }

// Full reports whether the limit is reached. The caller then closes the Victim for a new connection; if there is none because
// all have an open request, it sheds the new connection's request.
func (c *Controller) Full() bool { return c.count >= c.options.MaxConns }

// Open records a new connection.
func (c *Controller) Open(now Millis) ID {
	i := c.free
	if i >= 0 {
		c.free = c.conns[i].next
	} else {
		i = int32(len(c.conns))
		c.conns = append(c.conns, connEntry{})
	}
	c.conns[i] = connEntry{customer: int16(c.unknownIndex), next: -1, prev: -1}
	c.count++
	c.moveTo(i, stateNew, listNew, now)
	return ID(i)
}

// BeginRequest records that a complete request header has been received: the connection is not closed while the request is open.
func (c *Controller) BeginRequest(id ID) {
	if conn := c.entry(id); conn != nil {
		c.unpark(conn)
		c.unlink(int32(id))
		conn.state = stateActive
	}
}

// MarkSlowHeader records that part of a request header has been received and the rest is late. The connection is the first to
// be closed for others until the header is complete.
func (c *Controller) MarkSlowHeader(id ID, now Millis) {
	conn := c.entry(id)
	if conn == nil || conn.state == stateSlowHeader {
		return
	}
	c.unpark(conn)
	c.unlink(int32(id))
	c.moveTo(int32(id), stateSlowHeader, listSlowHeader, now)
}

// Park records that a connection waits without a goroutine, until Wake or BeginRequest.
func (c *Controller) Park(id ID) {
	if conn := c.entry(id); conn != nil && !conn.parked {
		conn.parked = true
		if c.parked++; conn.state == stateNew {
			c.parkedNew++
		}
	}
}

// Decision is what is done with a new connection.
type Decision uint8

// Decisions about a new connection.
const (
	DecisionServe  Decision = iota
	DecisionPark            // until its first byte, without a goroutine; if it cannot be parked, DecideUnparkable decides
	DecisionReject          // its request is shed
)

// Decide decides about a new connection. granted means that memory has been reserved for its goroutine, tight that memory is
// short. The connection is parked until its first byte if memory is not granted or tight, or if connections that have a goroutine
// and have sent nothing are more than an eighth of MaxIdleGoroutines: thousands of silent connections then cost no more than
// parked ones.
func (c *Controller) Decide(granted, tight bool) Decision {
	silent := int(c.lists[listNew].length) - c.parkedNew
	if !granted || tight || c.options.MaxIdleGoroutines > 0 && silent >= max(c.options.MaxIdleGoroutines/8, 4) {
		return DecisionPark
	}
	return DecisionServe
}

// DecideUnparkable decides about a connection that was to be parked and cannot be.
func (c *Controller) DecideUnparkable(granted bool) Decision {
	if granted {
		return DecisionServe
	}
	return DecisionReject
}

// ParkedCount returns the number of parked connections.
func (c *Controller) ParkedCount() int { return c.parked }

// SetParkDelay changes Options.ParkDelay.
func (c *Controller) SetParkDelay(t Millis) { c.options.ParkDelay = t }

func (c *Controller) unpark(conn *connEntry) {
	if conn.parked {
		conn.parked = false
		if c.parked--; conn.state == stateNew {
			c.parkedNew--
		}
	}
}

// ParkDelay returns how long a connection that becomes idle now keeps its goroutine, in case its client sends a request soon. It
// shrinks to a twentieth of Options.ParkDelay as idle goroutines approach MaxIdleGoroutines, so that connections with a single
// request do not hold their goroutines and buffers at the same time. If memory is tight it is a twentieth.
func (c *Controller) ParkDelay(tight bool) Millis {
	shortest := max(c.options.ParkDelay/20, 1)
	if tight {
		return shortest
	}
	if c.options.MaxIdleGoroutines <= 0 {
		return c.options.ParkDelay
	}
	_, idleWithoutRequest, idle, _ := c.Counts()
	waiting := idleWithoutRequest + idle - (c.parked - c.parkedNew)
	if waiting*2 <= c.options.MaxIdleGoroutines {
		return c.options.ParkDelay
	}
	left := max(c.options.MaxIdleGoroutines-waiting, 0)
	return max(c.options.ParkDelay*Millis(left)*2/Millis(c.options.MaxIdleGoroutines), shortest)
}

// IdentifyRequest records that the open request is a search of a customer.
func (c *Controller) IdentifyRequest(id ID, customer CustomerIndex) {
	conn := c.entry(id)
	if conn == nil {
		return
	}
	conn.hasRequested = true
	to := c.unknownIndex
	if customer >= 0 && int(customer) < c.unknownIndex {
		to = int(customer)
	}
	c.connsOfCustomer[conn.customer]--
	c.connsOfCustomer[to]++
	conn.customer = int16(to)
}

// EndRequest records that the response has been sent and the connection is idle.
func (c *Controller) EndRequest(id ID, now Millis) {
	conn := c.entry(id)
	if conn == nil {
		return
	}
	c.unlink(int32(id))
	if conn.hasRequested {
		c.moveTo(int32(id), stateIdle, listFirstIdle+int(conn.customer), now)
	} else {
		c.moveTo(int32(id), stateIdleWithoutRequest, listIdleWithoutRequest, now)
	}
}

// Close removes a connection. Closing it again has no effect.
func (c *Controller) Close(id ID) {
	conn := c.entry(id)
	if conn == nil {
		return
	}
	c.unpark(conn)
	c.unlink(int32(id))
	c.connsOfCustomer[conn.customer]--
	*conn = connEntry{next: c.free}
	c.free = int32(id)
	c.count--
}

// Wake reports whether a parked connection that is readable may be served, and if so records an open request. Otherwise it is
// rejected with advice to retry later, because MaxActive requests are open. Connections that are not parked are not subject to
// that limit, so that clients with continuous requests keep theirs.
func (c *Controller) Wake(id ID) bool {
	conn := c.entry(id)
	if conn == nil {
		return false
	}
	if _, _, _, open := c.Counts(); c.options.MaxActive > 0 && open >= c.options.MaxActive && !c.underHalfShare(int(conn.customer), open) {
		return false
	}
	c.BeginRequest(id)
	return true
}

// underHalfShare reports whether a customer may wake beyond MaxActive: an eighth more is reserved for customers that hold less
// than half of their share of the connections.
func (c *Controller) underHalfShare(customer, open int) bool {
	if customer >= c.unknownIndex || c.shareSum <= 0 || open >= c.options.MaxActive+c.options.MaxActive/8 {
		return false
	}
	return float64(c.connsOfCustomer[customer]) < c.options.CustomerShares[customer]/c.shareSum*float64(c.count)/2
}

// ShouldCloseAfterResponse reports whether a connection should be closed after its response: it has sent one request only, and
// MaxIdleOneShot others are idle. Clients keep a limited number of connections in all; if most of them are idle at clients that
// sent a single request, few are left for other clients. A connection with more requests is kept.
//
// If memory is tight, which is passed only where idle connections keep their goroutines, all connections are closed.
func (c *Controller) ShouldCloseAfterResponse(id ID, requests int, tight bool) bool {
	if tight && c.entry(id) != nil {
		return true
	}
	if c.options.MaxIdleOneShot <= 0 || requests > 1 || c.entry(id) == nil {
		return false
	}
	_, _, idle, _ := c.Counts()
	return idle >= c.options.MaxIdleOneShot
}

// MemoryBytes returns the size of a controller's tables in bytes.
func MemoryBytes(c *Controller) int { return cap(c.conns) * int(unsafe.Sizeof(connEntry{})) }

// Counts returns the numbers of connections that have not sent a header yet, that are idle and never sent a search, that are idle
// between searches, and that have an open request. Those with a slow header count as the first.
func (c *Controller) Counts() (withoutRequest, visiting, idle, active int) {
	withoutRequest, visiting = int(c.lists[listNew].length+c.lists[listSlowHeader].length), int(c.lists[listIdleWithoutRequest].length)
	for _, l := range c.lists[listFirstIdle:] {
		idle += int(l.length)
	}
	return withoutRequest, visiting, idle, c.count - withoutRequest - visiting - idle
}
