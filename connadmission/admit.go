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

// Time is a moment or a span in milliseconds.
type Time int64

// ID names a connection from Came until Gone.
type ID uint32

// None is no connection.
const None = ^ID(0)

// Customer is a place in the settings' list of customers; Unknown where none was named.
type Customer int32

// Unknown is no customer.
const Unknown Customer = -1

// class is how a connection stands.
type class uint8

const (
	unused   class = iota
	stranger       // it has not sent one whole head
	visitor        // idle, and has never asked a search: probes, pollers, the curious
	idle           // idle between searches
	active         // it has an open request
	trickler       // part of a head has come, and it is slow with the rest
)

// Figures are what admission goes by.
type Figures struct {
	Limit    int       // connections that may be kept
	IdleLong Time      // how long an idle connection is owed, where room can be made otherwise
	HeadLate Time      // a stranger without a head for so long is late
	Shares   []float64 // each customer's share of searches; nil = no customers
	Crowded  int       // idle connections from which on one that asked once is closed behind its answer; 0 = none is
	MostOpen int       // open requests up to which a parked connection may wake; 0 = no limit
	Linger   Time      // how long an idle connection keeps its goroutine before it is parked, where few do
	MostIdle int       // idle connections that may keep their goroutines; near it they are parked sooner. 0 = no limit
}

// conn is what is known of one connection.
type conn struct {
	since      Time // in its class
	next, prev int32
	list       int16
	class      class
	searched   bool
	parked     bool
	customer   int16
}

// list is connections of one class, in the order in which they entered it.
type list struct{ first, last, n int32 }

// Admission holds all connections of one gatherer.
type Admission struct {
	f       Figures
	conns   []conn // by ID; emptied by Gone, and used again
	free    int32
	lists   []list // strangers, visitors, tricklers, then the idle ones of each customer, the unknown one's last
	held    []int32
	n       int
	parked  int     // of them
	unheard int     // of those parked, the strangers
	total   float64 // of the shares
	unknown int
}

const (
	strangers = iota
	visitors
	tricklers
	firstIdle
)

// New makes an admission that holds nothing.
func New(f Figures) *Admission {
	a := &Admission{f: f, free: -1, unknown: len(f.Shares)}
	for range firstIdle + len(f.Shares) + 1 {
		a.lists = append(a.lists, list{first: -1, last: -1})
	}
	a.held = make([]int32, len(f.Shares)+1)
	for _, s := range f.Shares {
		a.total += s
	}
	return a
}

// Limit is how many connections may be kept.
func (a *Admission) Limit() int { return a.f.Limit }

// Len is how many connections are held.
func (a *Admission) Len() int { return a.n }

// Full tells whether one that comes now is past the limit. Room is to be made for it, by closing the Victim at once; where
// there is none, as all have an open request, the newcomer's request is to be shed.
func (a *Admission) Full() bool { return a.n >= a.f.Limit }

// Came takes a new connection in.
func (a *Admission) Came(now Time) ID {
	i := a.free
	if i >= 0 {
		a.free = a.conns[i].next
	} else {
		i = int32(len(a.conns))
		a.conns = append(a.conns, conn{})
	}
	a.conns[i] = conn{customer: int16(a.unknown), next: -1, prev: -1}
	a.n++
	a.enter(i, stranger, strangers, now)
	return ID(i)
}

// Asks says that a whole head has come: the connection has an open request and is not to be closed.
func (a *Admission) Asks(id ID) {
	if c := a.at(id); c != nil {
		a.wakes(c)
		a.leave(int32(id))
		c.class = active
	}
}

// Trickles says that part of a head has come on a connection, and that it is slow with the rest. It is the first to make
// room until the head is whole.
func (a *Admission) Trickles(id ID, now Time) {
	c := a.at(id)
	if c == nil || c.class == trickler {
		return
	}
	a.wakes(c)
	a.leave(int32(id))
	a.enter(int32(id), trickler, tricklers, now)
}

// Parks says that an idle connection waits without a goroutine from now on, until Wake or Asks.
func (a *Admission) Parks(id ID) {
	if c := a.at(id); c != nil && !c.parked {
		c.parked = true
		if a.parked++; c.class == stranger {
			a.unheard++
		}
	}
}

// Door is what becomes of a connection that comes.
type Door uint8

const (
	Serve Door = iota
	Wait       // for its first byte, without a goroutine; where it cannot be parked, as IfNot says
	Shed       // its request is to be shed
)

// Arrives says what becomes of a connection that comes now. granted = memory has been set aside for its goroutine. It waits for its
// first byte where that has not, where memory is tight, or where more strangers than an eighth of MostIdle have a goroutine and say
// nothing: thousands that connect and never speak then cost no more than what is parked.
func (a *Admission) Arrives(granted, tight bool) Door {
	awake := int(a.lists[strangers].n) - a.unheard
	if !granted || tight || a.f.MostIdle > 0 && awake >= max(a.f.MostIdle/8, 4) {
		return Wait
	}
	return Serve
}

// IfNot says what becomes of a connection that was to wait and cannot be parked.
func (a *Admission) IfNot(granted bool) Door {
	if granted {
		return Serve
	}
	return Shed
}

// Parked is how many connections wait without a goroutine.
func (a *Admission) Parked() int { return a.parked }

// SetLinger puts another time to linger in force.
func (a *Admission) SetLinger(t Time) { a.f.Linger = t }

func (a *Admission) wakes(c *conn) {
	if c.parked {
		c.parked = false
		if a.parked--; c.class == stranger {
			a.unheard--
		}
	}
}

// Linger says how long a connection that becomes idle now keeps its goroutine, in case its client asks again at once. The
// more do, the shorter, down to a twentieth, so that a crowd of connections that ask once and then wait never holds its
// goroutines and buffers all together. tight = memory is short: a twentieth at once.
func (a *Admission) Linger(tight bool) Time {
	least := max(a.f.Linger/20, 1)
	if tight {
		return least
	}
	if a.f.MostIdle <= 0 {
		return a.f.Linger
	}
	_, visiting, idle, _ := a.Counts()
	waiting := visiting + idle - (a.parked - a.unheard)
	if waiting*2 <= a.f.MostIdle {
		return a.f.Linger
	}
	left := max(a.f.MostIdle-waiting, 0)
	return max(a.f.Linger*Time(left)*2/Time(a.f.MostIdle), least)
}

// Searches says that the open request is a search, and whose.
func (a *Admission) Searches(id ID, of Customer) {
	c := a.at(id)
	if c == nil {
		return
	}
	c.searched = true
	to := a.unknown
	if of >= 0 && int(of) < a.unknown {
		to = int(of)
	}
	a.held[c.customer]--
	a.held[to]++
	c.customer = int16(to)
}

// Rests says that the request is answered and the connection idle.
func (a *Admission) Rests(id ID, now Time) {
	c := a.at(id)
	if c == nil {
		return
	}
	a.leave(int32(id))
	if c.searched {
		a.enter(int32(id), idle, firstIdle+int(c.customer), now)
	} else {
		a.enter(int32(id), visitor, visitors, now)
	}
}

// Gone forgets a connection. It may be told twice.
func (a *Admission) Gone(id ID) {
	c := a.at(id)
	if c == nil {
		return
	}
	a.wakes(c)
	a.leave(int32(id))
	a.held[c.customer]--
	*c = conn{next: a.free}
	a.free = int32(id)
	a.n--
}

// Wake says whether a parked connection on which something has come may be served, and counts it as one with an open
// request. false = it is to be turned away at once with advice to come back, as there are as many open requests as may be;
// those go on, and connections that are not parked are not held to it, so that who keeps asking keeps its place.
func (a *Admission) Wake(id ID) bool {
	c := a.at(id)
	if c == nil {
		return false
	}
	if _, _, _, open := a.Counts(); a.f.MostOpen > 0 && open >= a.f.MostOpen && !a.below(int(c.customer), open) {
		return false
	}
	a.Asks(id)
	return true
}

// below tells whether a customer holds so little that it may wake past the limit too: an eighth of the limit is kept for
// those who hold less than half of their share of the connections.
func (a *Admission) below(customer, open int) bool {
	if customer >= a.unknown || a.total <= 0 || open >= a.f.MostOpen+a.f.MostOpen/8 {
		return false
	}
	return float64(a.held[customer]) < a.f.Shares[customer]/a.total*float64(a.n)/2
}

// Releases says whether a connection is to be told, with its answer, that it is closed behind it: it has asked once, and as
// many others lie idle as Figures.Crowded says. Clients hold only so many connections in all; where most of them lie idle at
// clients that asked once, nothing is left for those that would ask. A connection that has been asked on again keeps its
// place.
//
// Where memory is short and idle connections keep their goroutines, all are told so: tight is that.
func (a *Admission) Releases(id ID, requests int, tight bool) bool {
	if tight && a.at(id) != nil {
		return true
	}
	if a.f.Crowded <= 0 || requests > 1 || a.at(id) == nil {
		return false
	}
	_, _, idle, _ := a.Counts()
	return idle >= a.f.Crowded
}

// Victim is the connection that can best be spared; None = all have an open request. In this order:
//
//  1. tricklers, who hold a goroutine and buffers for next to nothing;
//  2. visitors idle for IdleLong, the longest idle: who never asks a search loses nothing;
//  3. the idle of a customer over its share of connections, then any, if idle for IdleLong: they may have asked for the
//     last time;
//  4. strangers late with their head;
//  5. visitors idle for less;
//  6. the idle for less, as their client can ask again on another connection;
//  7. strangers, the oldest, so that strangers by the hundred push out one another and not who asks at once.
func (a *Admission) Victim(now Time) ID {
	if id := a.first(tricklers, now); id != None {
		return id
	}
	longVisitor, anyVisitor := a.first(visitors, now-a.f.IdleLong), a.first(visitors, now)
	if longVisitor != None {
		return longVisitor
	}
	if id := a.idlest(now - a.f.IdleLong); id != None {
		return id
	}
	if id := a.first(strangers, now-a.f.HeadLate); id != None {
		return id
	}
	if anyVisitor != None {
		return anyVisitor
	}
	if id := a.idlest(now); id != None {
		return id
	}
	return a.first(strangers, now)
}

// first is the first of a list, if it has been there since a moment.
func (a *Admission) first(of int, since Time) ID {
	if i := a.lists[of].first; i >= 0 && a.conns[i].since <= since {
		return ID(i)
	}
	return None
}

// idlest is the connection idle longest, at least since a moment, of the customer furthest over its share of the
// connections; of all where none is over.
func (a *Admission) idlest(since Time) ID {
	found, oldest := None, Time(0)
	worst := 1.0
	for customer := range a.held {
		id := a.first(firstIdle+customer, since)
		if id == None {
			continue
		}
		if customer < a.unknown && a.total > 0 && a.f.Shares[customer] > 0 {
			over := float64(a.held[customer]) / (a.f.Shares[customer] / a.total * float64(a.f.Limit))
			if over > worst || over == worst && over > 1 && a.conns[id].since < oldest {
				worst, found, oldest = over, id, a.conns[id].since
				continue
			}
		}
		if worst == 1 && (found == None || a.conns[id].since < oldest) {
			found, oldest = id, a.conns[id].since
		}
	}
	return found
}

func (a *Admission) at(id ID) *conn {
	if int64(id) >= int64(len(a.conns)) || a.conns[id].class == unused {
		return nil
	}
	return &a.conns[id]
}

func (a *Admission) enter(i int32, c class, to int, now Time) {
	x, l := &a.conns[i], &a.lists[to]
	if x.class == unused {
		a.held[x.customer]++
	}
	x.class, x.list, x.since, x.next, x.prev = c, int16(to), now, -1, l.last
	if l.last >= 0 {
		a.conns[l.last].next = i
	} else {
		l.first = i
	}
	l.last = i
	l.n++
}

// leave takes a connection out of its list; one with an open request is in none.
func (a *Admission) leave(i int32) {
	x := &a.conns[i]
	if x.class == active {
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
	l.n--
}

// Size is how many bytes an admission's tables hold.
func Size(a *Admission) int { return cap(a.conns) * int(unsafe.Sizeof(conn{})) }

// Counts tells how many connections of each class there are, those with an open request last. Tricklers count as strangers.
func (a *Admission) Counts() (strange, visiting, idle, active int) {
	strange, visiting = int(a.lists[strangers].n+a.lists[tricklers].n), int(a.lists[visitors].n)
	for _, l := range a.lists[firstIdle:] {
		idle += int(l.n)
	}
	return strange, visiting, idle, a.n - strange - visiting - idle
}
