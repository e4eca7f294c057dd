// Package pollen shares the servers' connections among tenants, as foragers carry home what feeds the whole hive: on one gatherer
// (Node) by weighted max-min with what is idle lent out, and over all gatherers (Keeper) as parts that follow where each tenant's
// traffic is. It owns who may take the next connection and how many each gatherer may hold. It has no I/O, no clock and no
// goroutine; times are the caller's steady clock.
//
// Connections held over time are the server's time that a tenant takes: what holds for the one at each moment holds for the other.
package pollen

import (
	"slices"
	"time"
)

type (
	Tenant  int    // a tenant's number at one gatherer
	Server  uint32 // a server, as the gatherer numbers it
	Service string
)

// Terms are what a tenant is given. Floor, Most and Borrow count connections at one server of all gatherers together; a gatherer
// holds its part of them.
type Terms struct {
	Name   string
	Weight float64 // above 0
	Floor  float64 // never lent to others
	Most   float64 // 0 = no bound
	Borrow float64 // beyond its own part, of what others leave idle; negative = all of it
}

const (
	wantFor   = 50 * time.Millisecond // a tenant that was refused wants a connection for so long
	creditFor = time.Second           // what a tenant had too little or too much of is forgotten in so long
	presence  = 2 * time.Second       // one that used a server so lately is expected back: a reserve is kept
	reserveIn = 8                     // of a service's connections one in so many is kept in reserve at the most, one at least
	meanFade  = 0.05                  // smoothing of how many connections a tenant holds at a service
	holdsFade = 0.05                  // smoothing of how long a connection is held
	firstHold = 20 * time.Millisecond // before any was seen
)

// Node is the sharing on one gatherer.
type Node struct {
	lot    uint64
	terms  []Terms
	byName map[string]Tenant // as many as the document and the routes name
	free   []Tenant          // numbers of those gone that hold nothing
	plots  map[Server]*plot  // emptied as servers go
	floors map[Service][]Tenant
	queues map[queueKey]*queue // emptied as services go
	fields map[Service]*field  // emptied as services go
	active map[Tenant]*active  // emptied of those that hold nothing and were not seen of late
}

// active is what a tenant holds at all servers.
type active struct {
	held int
	used time.Duration
}

type queueKey struct {
	at Service
	t  Tenant
}

// queue is a tenant at one service: parts that wait for a connection, connections that it holds and how long.
type queue struct {
	t       Tenant
	waiting int
	held    int
	mean    float64 // of what it held, as it took another
	used    time.Duration
	hold    time.Duration
}

// field is a service: its servers, and the tenants that were seen there.
type field struct {
	servers, parts int
	users          []*queue
}

// plot is one server's connections, as this gatherer may hold them.
type plot struct {
	service     Service
	part, whole int // of whole for all gatherers together; part 0 = no limit
	total       int
	here        []*entry // emptied of those that hold nothing and were not seen of late
	at          time.Duration
	rank        int  // among the servers of its service, in this gatherer's order
	left        bool // the server is gone; forgotten with its last connection
}

type entry struct {
	t      Tenant
	held   int
	lent   int           // of these, taken beyond its own part
	used   time.Duration // when it last held one
	wanted time.Duration // when it was last refused
	credit float64       // connections times seconds that it had less than its part, while it and others wanted more
}

// NewNode makes a sharing that knows no tenant and no server. Gatherers with other lots keep their reserves at other servers.
func NewNode(lot uint64) *Node {
	return &Node{lot: lot, byName: map[string]Tenant{}, plots: map[Server]*plot{}, floors: map[Service][]Tenant{}, queues: map[queueKey]*queue{}, fields: map[Service]*field{}, active: map[Tenant]*active{}}
}

// Put puts terms in force and returns the tenants' numbers, in their order. A tenant keeps its number, and what it holds, from one
// document to the next; one that is no longer named keeps its terms until its last connection is back.
func (n *Node) Put(all []Terms) (numbers []Tenant) {
	named := map[string]bool{}
	for _, t := range all {
		named[t.Name] = true
	}
	for name, no := range n.byName {
		if !named[name] && !n.holds(no) {
			delete(n.byName, name)
			n.free = append(n.free, no)
			for key, q := range n.queues {
				if key.t == no && q.waiting == 0 {
					delete(n.queues, key)
				}
			}
			for _, p := range n.plots {
				p.here = slices.DeleteFunc(p.here, func(e *entry) bool { return e.t == no })
			}
		}
	}
	for _, t := range all {
		no, known := n.byName[t.Name]
		if !known {
			no = Tenant(len(n.terms))
			if k := len(n.free); k > 0 {
				no, n.free = n.free[k-1], n.free[:k-1]
			} else {
				n.terms = append(n.terms, t)
			}
			n.byName[t.Name] = no
		}
		n.terms[no] = t
		numbers = append(numbers, no)
	}
	return numbers
}

func (n *Node) holds(t Tenant) bool {
	for _, p := range n.plots {
		for _, e := range p.here {
			if e.t == t && e.held > 0 {
				return true
			}
		}
	}
	for key, q := range n.queues {
		if key.t == t && q.waiting > 0 {
			return true
		}
	}
	return false
}

// Floors says which tenants with floors have routes to a service.
func (n *Node) Floors(at Service, tenants []Tenant) {
	if n.floors[at] = tenants; len(tenants) == 0 {
		delete(n.floors, at)
	}
}

// Serve says that a server is there and how many of its connections this gatherer may hold, of how many that it takes in all;
// part 0 = no limit.
func (n *Node) Serve(s Server, at Service, part, whole int) {
	p := n.plots[s]
	if p == nil {
		p = &plot{}
		n.plots[s] = p
	}
	if p.service != at || p.part != part || p.whole != whole || p.left {
		p.service, p.part, p.whole, p.left = at, part, whole, false
		n.arrange(at)
	}
}

// arrange puts the servers of a service into this gatherer's order, in which they keep connections in reserve.
func (n *Node) arrange(at Service) {
	f := n.field(at)
	f.servers, f.parts = 0, 0
	var all []Server
	for s, p := range n.plots {
		if p.service == at && !p.left && p.part > 0 {
			all = append(all, s)
			f.parts += p.part
		}
	}
	slices.Sort(all)
	f.servers = len(all)
	for i, s := range all {
		n.plots[s].rank = int((uint64(i) + n.lot) % uint64(len(all)))
	}
}

func (n *Node) field(at Service) *field {
	f := n.fields[at]
	if f == nil {
		f = &field{}
		n.fields[at] = f
	}
	return f
}

// Leave says that a server is gone.
func (n *Node) Leave(s Server) {
	if p := n.plots[s]; p != nil {
		if p.left = true; p.total == 0 {
			delete(n.plots, s)
		}
		n.arrange(p.service)
		n.forget(p.service)
	}
}

// forget empties the tables of a service whose last server is gone and whose last connection is back.
func (n *Node) forget(at Service) {
	for _, p := range n.plots {
		if p.service == at {
			return
		}
	}
	delete(n.fields, at)
	for key, q := range n.queues {
		if key.at == at && q.waiting == 0 {
			delete(n.queues, key)
		}
	}
}

// Room tells whether a tenant may take one more connection to a server now. A refusal is noted: the tenant wants one.
func (n *Node) Room(s Server, t Tenant, now time.Duration) bool {
	p := n.plots[s]
	if p == nil || p.part == 0 {
		return true
	}
	n.pass(p, now)
	e := p.entry(t, now)
	room := p.total < p.part && n.within(p, e, now)
	if !room {
		e.wanted = now
	}
	return room
}

// Took says that a tenant took a connection, Back that it gave one back.
func (n *Node) Took(s Server, t Tenant, now time.Duration) {
	p := n.plots[s]
	if p == nil {
		return
	}
	n.pass(p, now)
	e := p.entry(t, now)
	if p.part > 0 && float64(e.held) >= n.own(p, e, now) {
		e.lent++
	}
	e.held, e.used, e.wanted = e.held+1, now, -wantFor
	p.total++
	a := n.active[t]
	if a == nil {
		a = &active{}
		n.active[t] = a
	}
	a.held, a.used = a.held+1, now
	q := n.queue(p.service, t)
	if q.held++; now-q.used >= presence {
		q.mean = 0
	}
	q.mean += (float64(q.held) - q.mean) * meanFade
	if q.used = now; !slices.Contains(n.field(p.service).users, q) {
		f := n.field(p.service)
		f.users = append(slices.DeleteFunc(f.users, func(o *queue) bool { return o.held == 0 && now-o.used >= presence }), q)
	}
}

// Back says that a tenant gave a connection back that it had held for so long.
func (n *Node) Back(s Server, t Tenant, held, now time.Duration) {
	p := n.plots[s]
	if p == nil {
		return
	}
	n.pass(p, now)
	e := p.entry(t, now)
	if e.held == 0 {
		return
	}
	e.held, e.used = e.held-1, now
	e.lent = min(e.lent, e.held)
	if a := n.active[t]; a != nil {
		a.held, a.used = max(a.held-1, 0), now
	}
	p.total--
	q := n.queue(p.service, t)
	q.held, q.used = max(q.held-1, 0), now
	q.hold += time.Duration(holdsFade * float64(held-q.hold))
	if p.left && p.total == 0 {
		delete(n.plots, s)
		n.forget(p.service)
	}
}

// Waits says that so many more parts of a tenant wait at a service, or fewer.
func (n *Node) Waits(at Service, t Tenant, more int) {
	q := n.queue(at, t)
	q.waiting = max(q.waiting+more, 0)
	if q.waiting == 0 && n.fields[at] == nil {
		delete(n.queues, queueKey{at, t})
	}
}

func (n *Node) queue(at Service, t Tenant) *queue {
	key := queueKey{at, t}
	q := n.queues[key]
	if q == nil {
		q = &queue{t: t, hold: firstHold}
		n.queues[key] = q
	}
	return q
}

func (p *plot) entry(t Tenant, now time.Duration) *entry {
	for _, e := range p.here {
		if e.t == t {
			return e
		}
	}
	e := &entry{t: t, used: -presence, wanted: -wantFor}
	p.here = append(p.here, e)
	return e
}
