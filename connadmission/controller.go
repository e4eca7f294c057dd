// Package connadmission decides which clients' connections a gatherer keeps: who makes room when another comes at the limit, who
// may wake from parking and who is turned away, and who is too slow. It owns what it must know of each connection, does no
// I/O, reads no clock, starts no goroutine, and is one goroutine's at a time.
//
// It stands before the decisions about searches and never replaces them: it closes connections that have no open request,
// and turns a woken connection away at once or lets it ask at once. It keeps nobody waiting for an answer.
//
// All questions are answered in O(1), or in O(customers of the settings): connections lie in lists by class, each in the
// order in which they entered it, so that the longest there is always first.
package connadmission

import "unsafe"

// Millis is a moment or a span in milliseconds.
type Millis int64

// ID names a connection from Came until Gone.
type ID uint32

// NoConn is no connection.
const NoConn = ^ID(0)

// CustomerIndex is a place in the settings' list of customers; Unknown where none was named.
type CustomerIndex int32

// UnknownCustomer is no customer.
const UnknownCustomer CustomerIndex = -1

// connState is how a connection stands.
type connState uint8

const (
	stateFree               connState = iota
	stateNew                          // it has not sent one whole head
	stateIdleWithoutRequest           // idle, and has never asked a search: probes, pollers, the curious
	stateIdle                         // idle between searches
	stateActive                       // it has an open request
	stateSlowHeader                   // part of a head has come, and it is slow with the rest
)

// Options are what admission goes by.
type Options struct {
	MaxConns          int       // connections that may be kept
	MinIdle           Millis    // how long an idle connection is owed, where room can be made otherwise
	HeaderTimeout     Millis    // a stranger without a head for so long is late
	CustomerShares    []float64 // each customer's share of searches; nil = no customers
	MaxIdleOneShot    int       // idle connections from which on one that asked once is closed behind its answer; 0 = none is
	MaxActive         int       // open requests up to which a parked connection may wake; 0 = no limit
	ParkDelay         Millis    // how long an idle connection keeps its goroutine before it is parked, where few do
	MaxIdleGoroutines int       // idle connections that may keep their goroutines; near it they are parked sooner. 0 = no limit
}

// connEntry is what is known of one connection.
type connEntry struct {
	since        Millis // in its class
	next, prev   int32
	list         int16
	state        connState
	hasRequested bool
	parked       bool
	customer     int16
}

// connList is connections of one class, in the order in which they entered it.
type connList struct{ first, last, length int32 }

// Controller holds all connections of one gatherer.
type Controller struct {
	options         Options
	conns           []connEntry // by ID; emptied by Gone, and used again
	free            int32
	lists           []connList // strangers, visitors, tricklers, then the idle ones of each customer, the unknown one's last
	connsOfCustomer []int32
	count           int
	parked          int     // of them
	parkedNew       int     // of those parked, the strangers
	shareSum        float64 // of the shares
	unknownIndex    int
}

const (
	listNew = iota
	listIdleWithoutRequest
	listSlowHeader
	listFirstIdle
)

// New makes an admission that holds nothing.
func New(f Options) *Controller {
	a := &Controller{options: f, free: -1, unknownIndex: len(f.CustomerShares)}
	for range listFirstIdle + len(f.CustomerShares) + 1 {
		a.lists = append(a.lists, connList{first: -1, last: -1})
	}
	a.connsOfCustomer = make([]int32, len(f.CustomerShares)+1)
	for _, s := range f.CustomerShares {
		a.shareSum += s
	}
	return a
}

// Limit is how many connections may be kept.
func (a *Controller) Limit() int { return a.options.MaxConns }

// Len is how many connections are held.
func (a *Controller) Len() int { return a.count }

// Full tells whether one that comes now is past the limit. Room is to be made for it, by closing the Victim at once; where
// there is none, as all have an open request, the newcomer's request is to be shed.
func (a *Controller) Full() bool { return a.count >= a.options.MaxConns }

// Open takes a new connection in.
func (a *Controller) Open(now Millis) ID {
	i := a.free
	if i >= 0 {
		a.free = a.conns[i].next
	} else {
		i = int32(len(a.conns))
		a.conns = append(a.conns, connEntry{})
	}
	a.conns[i] = connEntry{customer: int16(a.unknownIndex), next: -1, prev: -1}
	a.count++
	a.moveTo(i, stateNew, listNew, now)
	return ID(i)
}

// BeginRequest says that a whole head has come: the connection has an open request and is not to be closed.
func (a *Controller) BeginRequest(id ID) {
	if c := a.entry(id); c != nil {
		a.unpark(c)
		a.unlink(int32(id))
		c.state = stateActive
	}
}

// MarkSlowHeader says that part of a head has come on a connection, and that it is slow with the rest. It is the first to make
// room until the head is whole.
func (a *Controller) MarkSlowHeader(id ID, now Millis) {
	c := a.entry(id)
	if c == nil || c.state == stateSlowHeader {
		return
	}
	a.unpark(c)
	a.unlink(int32(id))
	a.moveTo(int32(id), stateSlowHeader, listSlowHeader, now)
}

// Park says that an idle connection waits without a goroutine from now on, until Wake or Asks.
func (a *Controller) Park(id ID) {
	if c := a.entry(id); c != nil && !c.parked {
		c.parked = true
		if a.parked++; c.state == stateNew {
			a.parkedNew++
		}
	}
}

// Decision is what becomes of a connection that comes.
type Decision uint8

// The decisions about a new connection.
const (
	DecisionServe  Decision = iota // by a goroutine of its own, at once
	DecisionPark                   // for its first byte, without a goroutine; where it cannot be parked, as IfNot says
	DecisionReject                 // its request is to be shed
)

// Decide says what becomes of a connection that comes now. granted = memory has been set aside for its goroutine. It waits for its
// first byte where that has not, where memory is tight, or where more strangers than an eighth of MaxIdleGoroutines have a goroutine and say
// nothing: thousands that connect and never speak then cost no more than what is parked.
func (a *Controller) Decide(granted, tight bool) Decision {
	awake := int(a.lists[listNew].length) - a.parkedNew
	if !granted || tight || a.options.MaxIdleGoroutines > 0 && awake >= max(a.options.MaxIdleGoroutines/8, 4) {
		return DecisionPark
	}
	return DecisionServe
}

// DecideUnparkable says what becomes of a connection that was to wait and cannot be parked.
func (a *Controller) DecideUnparkable(granted bool) Decision {
	if granted {
		return DecisionServe
	}
	return DecisionReject
}

// ParkedCount is how many connections wait without a goroutine.
func (a *Controller) ParkedCount() int { return a.parked }

// SetParkDelay puts another time to linger in force.
func (a *Controller) SetParkDelay(t Millis) { a.options.ParkDelay = t }

func (a *Controller) unpark(c *connEntry) {
	if c.parked {
		c.parked = false
		if a.parked--; c.state == stateNew {
			a.parkedNew--
		}
	}
}

// ParkDelay says how long a connection that becomes idle now keeps its goroutine, in case its client asks again at once. The
// more do, the shorter, down to a twentieth, so that a crowd of connections that ask once and then wait never holds its
// goroutines and buffers all together. tight = memory is short: a twentieth at once.
func (a *Controller) ParkDelay(tight bool) Millis {
	least := max(a.options.ParkDelay/20, 1)
	if tight {
		return least
	}
	if a.options.MaxIdleGoroutines <= 0 {
		return a.options.ParkDelay
	}
	_, visiting, idle, _ := a.Counts()
	waiting := visiting + idle - (a.parked - a.parkedNew)
	if waiting*2 <= a.options.MaxIdleGoroutines {
		return a.options.ParkDelay
	}
	left := max(a.options.MaxIdleGoroutines-waiting, 0)
	return max(a.options.ParkDelay*Millis(left)*2/Millis(a.options.MaxIdleGoroutines), least)
}

// IdentifyRequest says that the open request is a search, and whose.
func (a *Controller) IdentifyRequest(id ID, customer CustomerIndex) {
	c := a.entry(id)
	if c == nil {
		return
	}
	c.hasRequested = true
	to := a.unknownIndex
	if customer >= 0 && int(customer) < a.unknownIndex {
		to = int(customer)
	}
	a.connsOfCustomer[c.customer]--
	a.connsOfCustomer[to]++
	c.customer = int16(to)
}

// EndRequest says that the request is answered and the connection idle.
func (a *Controller) EndRequest(id ID, now Millis) {
	c := a.entry(id)
	if c == nil {
		return
	}
	a.unlink(int32(id))
	if c.hasRequested {
		a.moveTo(int32(id), stateIdle, listFirstIdle+int(c.customer), now)
	} else {
		a.moveTo(int32(id), stateIdleWithoutRequest, listIdleWithoutRequest, now)
	}
}

// Close forgets a connection. It may be told twice.
func (a *Controller) Close(id ID) {
	c := a.entry(id)
	if c == nil {
		return
	}
	a.unpark(c)
	a.unlink(int32(id))
	a.connsOfCustomer[c.customer]--
	*c = connEntry{next: a.free}
	a.free = int32(id)
	a.count--
}

// Wake says whether a parked connection on which something has come may be served, and counts it as one with an open
// request. false = it is to be turned away at once with advice to come back, as there are as many open requests as may be;
// those go on, and connections that are not parked are not held to it, so that who keeps asking keeps its place.
func (a *Controller) Wake(id ID) bool {
	c := a.entry(id)
	if c == nil {
		return false
	}
	if _, _, _, open := a.Counts(); a.options.MaxActive > 0 && open >= a.options.MaxActive && !a.underHalfShare(int(c.customer), open) {
		return false
	}
	a.BeginRequest(id)
	return true
}

// underHalfShare tells whether a customer holds so little that it may wake past the limit too: an eighth of the limit is kept for
// those who hold less than half of their share of the connections.
func (a *Controller) underHalfShare(customer, open int) bool {
	if customer >= a.unknownIndex || a.shareSum <= 0 || open >= a.options.MaxActive+a.options.MaxActive/8 {
		return false
	}
	return float64(a.connsOfCustomer[customer]) < a.options.CustomerShares[customer]/a.shareSum*float64(a.count)/2
}

// ShouldCloseAfterResponse says whether a connection is to be told, with its answer, that it is closed behind it: it has asked once, and as
// many others lie idle as Figures.Crowded says. Clients hold only so many connections in all; where most of them lie idle at
// clients that asked once, nothing is left for those that would ask. A connection that has been asked on again keeps its
// place.
//
// Where memory is short and idle connections keep their goroutines, all are told so: tight is that.
func (a *Controller) ShouldCloseAfterResponse(id ID, requests int, tight bool) bool {
	if tight && a.entry(id) != nil {
		return true
	}
	if a.options.MaxIdleOneShot <= 0 || requests > 1 || a.entry(id) == nil {
		return false
	}
	_, _, idle, _ := a.Counts()
	return idle >= a.options.MaxIdleOneShot
}

// Victim is the connection that can best be spared; None = all have an open request. In this order:
//
//  1. tricklers, who hold a goroutine and buffers for next to nothing;
//  2. visitors idle for MinIdle, the longest idle: who never asks a search loses nothing;
//  3. the idle of a customer over its share of connections, then any, if idle for MinIdle: they may have asked for the
//     last time;
//  4. strangers late with their head;
//  5. visitors idle for less;
//  6. the idle for less, as their client can ask again on another connection;
//  7. strangers, the oldest, so that strangers by the hundred push out one another and not who asks at once.
func (a *Controller) Victim(now Millis) ID {
	if id := a.oldestSince(listSlowHeader, now); id != NoConn {
		return id
	}
	longVisitor, anyVisitor := a.oldestSince(listIdleWithoutRequest, now-a.options.MinIdle), a.oldestSince(listIdleWithoutRequest, now)
	if longVisitor != NoConn {
		return longVisitor
	}
	if id := a.longestIdle(now - a.options.MinIdle); id != NoConn {
		return id
	}
	if id := a.oldestSince(listNew, now-a.options.HeaderTimeout); id != NoConn {
		return id
	}
	if anyVisitor != NoConn {
		return anyVisitor
	}
	if id := a.longestIdle(now); id != NoConn {
		return id
	}
	return a.oldestSince(listNew, now)
}

// oldestSince is the first of a list, if it has been there since a moment.
func (a *Controller) oldestSince(customer int, since Millis) ID {
	if i := a.lists[customer].first; i >= 0 && a.conns[i].since <= since {
		return ID(i)
	}
	return NoConn
}

// longestIdle is the connection idle longest, at least since a moment, of the customer furthest over its share of the
// connections; of all where none is over.
func (a *Controller) longestIdle(since Millis) ID {
	found, oldest := NoConn, Millis(0)
	worst := 1.0
	for customer := range a.connsOfCustomer {
		id := a.oldestSince(listFirstIdle+customer, since)
		if id == NoConn {
			continue
		}
		if customer < a.unknownIndex && a.shareSum > 0 && a.options.CustomerShares[customer] > 0 {
			over := float64(a.connsOfCustomer[customer]) / (a.options.CustomerShares[customer] / a.shareSum * float64(a.options.MaxConns))
			if over > worst || over == worst && over > 1 && a.conns[id].since < oldest {
				worst, found, oldest = over, id, a.conns[id].since
				continue
			}
		}
		if worst == 1 && (found == NoConn || a.conns[id].since < oldest) {
			found, oldest = id, a.conns[id].since
		}
	}
	return found
}

func (a *Controller) entry(id ID) *connEntry {
	if int64(id) >= int64(len(a.conns)) || a.conns[id].state == stateFree {
		return nil
	}
	return &a.conns[id]
}

func (a *Controller) moveTo(i int32, c connState, to int, now Millis) {
	x, l := &a.conns[i], &a.lists[to]
	if x.state == stateFree {
		a.connsOfCustomer[x.customer]++
	}
	x.state, x.list, x.since, x.next, x.prev = c, int16(to), now, -1, l.last
	if l.last >= 0 {
		a.conns[l.last].next = i
	} else {
		l.first = i
	}
	l.last = i
	l.length++
}

// unlink takes a connection out of its list; one with an open request is in none.
func (a *Controller) unlink(i int32) {
	x := &a.conns[i]
	if x.state == stateActive {
		return
	}
	l := &a.lists[x.list]
	if x.prev >= 0 {
		a.conns[x.prev].next = x.next
	} else {
		l.first = x.next
	}
	if x.next >= 0 {
		a.conns[x.next].prev = x.prev
	} else {
		l.last = x.prev
	}
	l.length--
}

// MemoryBytes is how many bytes an admission's tables hold.
func MemoryBytes(a *Controller) int { return cap(a.conns) * int(unsafe.Sizeof(connEntry{})) }

// Counts tells how many connections of each class there are, those with an open request last. Tricklers count as strangers.
func (a *Controller) Counts() (withoutRequest, visiting, idle, active int) {
	withoutRequest, visiting = int(a.lists[listNew].length+a.lists[listSlowHeader].length), int(a.lists[listIdleWithoutRequest].length)
	for _, l := range a.lists[listFirstIdle:] {
		idle += int(l.length)
	}
	return withoutRequest, visiting, idle, a.count - withoutRequest - visiting - idle
}
