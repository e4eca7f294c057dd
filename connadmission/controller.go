// Package connadmission decides which client connections a gatherer keeps open: which connection is evicted when a new one
// arrives at the limit, which parked connection may be served, and which client is too slow. A Controller tracks the state of
// each connection. It does no I/O, reads no clock and starts no goroutine. It is not safe for concurrent use.
//
// Connection admission comes before the admission of requests and does not replace it. Only connections without an open request
// are evicted, and a request on a parked connection is either rejected or passed on immediately; nothing is queued.
//
// Each decision takes O(1) or O(number of customers) time: connections are kept in one list per state, in the order in which
// they entered that state, so that the first of a list has been in its state longest.
package connadmission

import "unsafe"

// Millis is a time or a duration in milliseconds.
type Millis int64

// ID identifies a connection from Open until Close, after which it may be reused.
type ID uint32

// NoConn is the ID that stands for no connection.
const NoConn = ^ID(0)

// CustomerIndex is an index into Options.CustomerShares.
type CustomerIndex int32

// UnknownCustomer is the index of a connection whose customer is not known.
const UnknownCustomer CustomerIndex = -1

// connState is the state of a connection.
type connState uint8

const (
	stateFree              connState = iota
	stateNew                         // has not sent a complete request header yet
	stateIdleWithoutSearch           // idle and has never sent a search: health checks, pollers
	stateIdle                        // idle between searches
	stateActive                      // has an open request
	stateSlowHeader                  // part of a request header has been received, the rest is late
)

// Controller tracks all client connections of one gatherer.
type Controller struct {
	options         Options
	conns           []connEntry // by ID; entries of closed connections are reused
	free            int32       // first entry of the free list, linked by connEntry.next; -1 = none
	lists           []connList  // listNew to listSlowHeader, then idle connections by customer, the unknown customer last
	connsOfCustomer []int32     // by customer, the unknown customer last
	count           int         // open connections
	parked          int         // parked connections
	parkedNew       int         // parked connections in stateNew
	shareSum        float64     // sum of Options.CustomerShares
	unknownIndex    int         // index of the unknown customer in connsOfCustomer
}

// Indexes into Controller.lists.
const (
	listNew = iota
	listIdleWithoutSearch
	listSlowHeader
	listFirstIdle // idle between searches, of the first customer; the lists of the other customers follow
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

// Limit returns the maximum number of connections.
func (c *Controller) Limit() int { return c.options.MaxConns }

// Len returns the number of connections.
func (c *Controller) Len() int { return c.count }

// Full reports whether the connection limit is reached. To accept a new connection the caller then closes the one that Victim
// returns; if there is none because all have an open request, it sheds the new connection's request.
func (c *Controller) Full() bool { return c.count >= c.options.MaxConns }

// Open records a new connection and returns its ID.
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

// BeginRequest records that a complete request header has been received. Victim does not return the connection while the
// request is open.
func (c *Controller) BeginRequest(id ID) {
	if conn := c.entry(id); conn != nil {
		c.unpark(conn)
		c.unlink(int32(id))
		conn.state = stateActive
	}
}

// MarkSlowHeader records that part of a request header has been received and the rest is late. Until the header is complete,
// the connection is evicted before all others.
func (c *Controller) MarkSlowHeader(id ID, now Millis) {
	conn := c.entry(id)
	if conn == nil || conn.state == stateSlowHeader {
		return
	}
	c.unpark(conn)
	c.unlink(int32(id))
	c.moveTo(int32(id), stateSlowHeader, listSlowHeader, now)
}

// Park records that a connection waits without a goroutine until Wake or BeginRequest.
func (c *Controller) Park(id ID) {
	if conn := c.entry(id); conn != nil && !conn.parked {
		conn.parked = true
		if c.parked++; conn.state == stateNew {
			c.parkedNew++
		}
	}
}

// Decision is the outcome of the admission of a new connection.
type Decision uint8

// The decisions about a new connection.
const (
	DecisionServe  Decision = iota // serve it in a goroutine
	DecisionPark                   // park it without a goroutine until its first byte; if that fails, DecideUnparkable decides
	DecisionReject                 // shed its request
)

// Decide decides about a new connection. granted reports whether memory was reserved for its goroutine, tight whether memory is
// scarce. The connection is parked until its first byte if no memory was granted, if memory is tight, or if the number of
// unparked connections that have not sent a request header yet has reached an eighth of MaxIdleGoroutines (at least 4):
// thousands of silent connections then cost no more than parked ones.
func (c *Controller) Decide(granted, tight bool) Decision {
	unparkedNew := int(c.lists[listNew].length) - c.parkedNew
	if !granted || tight || c.options.MaxIdleGoroutines > 0 && unparkedNew >= max(c.options.MaxIdleGoroutines/8, 4) {
		return DecisionPark
	}
	return DecisionServe
}

// DecideUnparkable decides about a connection for which Decide returned DecisionPark and which could not be parked.
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

// ParkDelay returns how long a connection that becomes idle now keeps its goroutine, in case its client sends another request
// soon. From half of MaxIdleGoroutines on, it shrinks with the number of idle goroutines, down to a twentieth of
// Options.ParkDelay, so that many connections that send a single request do not all hold a goroutine and buffers at the same
// time. If memory is tight, it is a twentieth as well.
func (c *Controller) ParkDelay(tight bool) Millis {
	shortest := max(c.options.ParkDelay/20, 1)
	if tight {
		return shortest
	}
	if c.options.MaxIdleGoroutines <= 0 {
		return c.options.ParkDelay
	}
	_, idleWithoutSearch, idle, _ := c.Counts()
	unparkedIdle := idleWithoutSearch + idle - (c.parked - c.parkedNew)
	if unparkedIdle*2 <= c.options.MaxIdleGoroutines {
		return c.options.ParkDelay
	}
	remaining := max(c.options.MaxIdleGoroutines-unparkedIdle, 0)
	return max(c.options.ParkDelay*Millis(remaining)*2/Millis(c.options.MaxIdleGoroutines), shortest)
}

// IdentifyRequest records that the open request is a search by a customer. A customer out of range counts as unknown.
func (c *Controller) IdentifyRequest(id ID, customer CustomerIndex) {
	conn := c.entry(id)
	if conn == nil {
		return
	}
	conn.hasSearched = true
	index := c.unknownIndex
	if customer >= 0 && int(customer) < c.unknownIndex {
		index = int(customer)
	}
	c.connsOfCustomer[conn.customer]--
	c.connsOfCustomer[index]++
	conn.customer = int16(index)
}

// EndRequest records that the response has been sent and the connection is idle again.
func (c *Controller) EndRequest(id ID, now Millis) {
	conn := c.entry(id)
	if conn == nil {
		return
	}
	c.unlink(int32(id))
	if conn.hasSearched {
		c.moveTo(int32(id), stateIdle, listFirstIdle+int(conn.customer), now)
	} else {
		c.moveTo(int32(id), stateIdleWithoutSearch, listIdleWithoutSearch, now)
	}
}

// Close removes a connection. Closing it a second time has no effect.
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

// Wake reports whether a parked connection that has become readable may be served, and if so records an open request. It
// returns false if MaxActive requests are open; the caller then rejects the request and advises the client to retry later.
// Connections that are not parked are not subject to that limit, so that clients that send requests continuously keep their
// connections.
func (c *Controller) Wake(id ID) bool {
	conn := c.entry(id)
	if conn == nil {
		return false
	}
	_, _, _, open := c.Counts()
	if c.options.MaxActive > 0 && open >= c.options.MaxActive && !c.mayExceedMaxActive(int(conn.customer), open) {
		return false
	}
	c.BeginRequest(id)
	return true
}

// mayExceedMaxActive reports whether a parked connection of a customer may be served although MaxActive requests are open. An
// additional eighth of MaxActive is reserved for customers that hold less than half of their share of the connections.
func (c *Controller) mayExceedMaxActive(customer, open int) bool {
	if customer >= c.unknownIndex || c.shareSum <= 0 || open >= c.options.MaxActive+c.options.MaxActive/8 {
		return false
	}
	return float64(c.connsOfCustomer[customer]) < c.options.CustomerShares[customer]/c.shareSum*float64(c.count)/2
}

// ShouldCloseAfterResponse reports whether a connection should be closed after its response: it has sent only one request,
// and at least OneShotCloseThreshold other connections are idle. The total number of connections is limited: if clients
// that sent a single request hold most of them idle, few are left for other clients. A connection that has sent more
// requests is kept open.
//
// If tight is set, every connection is closed. The caller sets it if memory is scarce and idle connections cannot be parked, so
// that each of them would keep its goroutine.
func (c *Controller) ShouldCloseAfterResponse(id ID, requests int, tight bool) bool {
	if tight && c.entry(id) != nil {
		return true
	}
	if c.options.OneShotCloseThreshold <= 0 || requests > 1 || c.entry(id) == nil {
		return false
	}
	_, _, idle, _ := c.Counts()
	return idle >= c.options.OneShotCloseThreshold
}

// MemoryBytes returns the size of a controller's connection table in bytes.
func MemoryBytes(c *Controller) int { return cap(c.conns) * int(unsafe.Sizeof(connEntry{})) }

// Counts returns the number of connections by state: without a complete request header yet (including those with a slow
// header), idle without ever having sent a search, idle between searches, and with an open request.
func (c *Controller) Counts() (awaitingHeader, idleWithoutSearch, idle, active int) {
	awaitingHeader, idleWithoutSearch = int(c.lists[listNew].length+c.lists[listSlowHeader].length),
		int(c.lists[listIdleWithoutSearch].length)
	for _, l := range c.lists[listFirstIdle:] {
		idle += int(l.length)
	}
	return awaitingHeader, idleWithoutSearch, idle, c.count - awaitingHeader - idleWithoutSearch - idle
}
