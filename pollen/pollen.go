// Package pollen shares the servers' connections among tenants, as foragers carry home what feeds the whole hive: on one gatherer
// (Node) by weighted max-min with what is idle lent out, and over all gatherers (Keeper) as parts that follow where each tenant's
// traffic is. It owns who may take the next connection and how many each gatherer may hold. It has no I/O, no clock and no
// goroutine; times are the caller's steady clock.
//
// Connections held over time are the server's time that a tenant takes: what holds for the one at each moment holds for the other.
package pollen

import (
	"math"
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
	queues map[queueKey]*queue // as many as there are tenants at services
	fields map[Service]*field  // as many as services
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

// reserved is how many connections of a server are kept for tenants that were at its service a moment ago and are expected back: for each
// what it mostly holds and one more, less what it holds. A part may go to any server of the service, so that few keep one.
func (n *Node) reserved(p *plot, asks Tenant, now time.Duration) int {
	f := n.field(p.service)
	if f.parts < 2 {
		return 0
	}
	me, need := n.queue(p.service, asks), 0
	for _, q := range f.users {
		if q == me || now-q.used >= presence {
			continue
		}
		if !slices.ContainsFunc(p.here, func(e *entry) bool { return e.t == q.t && n.wants(p, e, now) }) { // else its claim stands already
			need += max(int(math.Ceil(q.mean))+1-q.held, 0)
		}
	}
	need = min(need, max(f.parts/reserveIn, 1))
	return min((need+f.servers-1-p.rank)/f.servers, p.part-1)
}

// Leave says that a server is gone.
func (n *Node) Leave(s Server) {
	if p := n.plots[s]; p != nil {
		if p.left = true; p.total == 0 {
			delete(n.plots, s)
		}
		n.arrange(p.service)
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
	if p.total--; p.left && p.total == 0 {
		delete(n.plots, s)
	}
	q := n.queue(p.service, t)
	q.held, q.used = max(q.held-1, 0), now
	q.hold += time.Duration(holdsFade * float64(held-q.hold))
}

// How much of the in-flight limit tenants may fill while others are there too: whoever has less than its part is let in when whoever has
// more is not.
const (
	pressUnder = 1.25
	pressOver  = 0.9
)

// Press is how much of the gatherer's in-flight limit a tenant's requests may fill.
func (n *Node) Press(t Tenant, now time.Duration) float64 {
	held, weights, mine, others := 0, n.terms[t].Weight, 0, false
	for o, a := range n.active {
		switch {
		case o == t:
			mine = a.held
		case a.held == 0 && now-a.used >= presence:
			delete(n.active, o)
			continue
		default:
			others = true
			weights += n.terms[o].Weight
		}
		held += a.held
	}
	switch {
	case !others:
		return 1
	case float64(mine) <= float64(held)*n.terms[t].Weight/weights:
		return pressUnder
	}
	return pressOver
}

// Waits says that so many more parts of a tenant wait at a service, or fewer.
func (n *Node) Waits(at Service, t Tenant, more int) {
	q := n.queue(at, t)
	q.waiting = max(q.waiting+more, 0)
}

// Wait is how long a part that finds no room at a service is likely to wait for it: those that wait before it, held one after the
// other in the tenant's own part.
func (n *Node) Wait(at Service, t Tenant, now time.Duration) time.Duration {
	q := n.queue(at, t)
	slots := 0.0
	for _, p := range n.plots {
		if p.service == at && !p.left {
			slots += max(n.own(p, p.entry(t, now), now), 1)
		}
	}
	if slots == 0 {
		return 0
	}
	return time.Duration(float64(q.hold) * float64(q.waiting+1) / slots)
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

// Holding is what a tenant has at a server.
type Holding struct {
	Server       Server
	Tenant       string
	Held, Lent   int
	Part         int // of the gatherer's; 0 = no limit
	Own          float64
	WantsAnother bool
}

// Holdings lists who holds or wants connections, at all servers.
func (n *Node) Holdings(now time.Duration) (out []Holding) {
	for s, p := range n.plots {
		for _, e := range p.here {
			if wants := n.wants(p, e, now); e.held > 0 || wants {
				out = append(out, Holding{s, n.terms[e.t].Name, e.held, e.lent, p.part, n.own(p, e, now), wants})
			}
		}
	}
	return out
}

// Waiting is how many parts of a tenant wait at a service.
func (n *Node) Waiting(at Service, t Tenant) int {
	if q := n.queues[queueKey{at, t}]; q != nil {
		return q.waiting
	}
	return 0
}

// wants tells whether a tenant was refused a connection of late and waits yet.
func (n *Node) wants(p *plot, e *entry, now time.Duration) bool {
	return now-e.wanted < wantFor && n.Waiting(p.service, e.t) > 0
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

// pass carries the credits on to a moment, and drops those that have nothing there any more.
func (n *Node) pass(p *plot, now time.Duration) {
	if now == p.at {
		return
	}
	span := min(now-p.at, presence).Seconds()
	p.at = now
	if p.part > 0 && len(p.here) > 1 {
		var wanting []*entry
		there := float64(p.part)
		for _, e := range p.here {
			if n.wants(p, e, now) {
				wanting = append(wanting, e)
			} else { // what it has it has lent or is glad of: that counts neither way
				there -= float64(e.held)
			}
			e.credit -= e.credit * min(span/creditFor.Seconds(), 1)
		}
		if len(wanting) > 1 {
			for i, due := range n.fill(p, there, wanting, true) {
				e := wanting[i]
				e.credit = max(min(e.credit+span*(due-float64(e.held)), float64(p.part)), -float64(p.part))
			}
		}
	}
	p.here = slices.DeleteFunc(p.here, func(e *entry) bool {
		return e.held == 0 && now-e.used >= presence && now-e.wanted >= presence
	})
}

// scaled is a number of connections of all gatherers, in this one's part.
func (p *plot) scaled(connections float64) float64 {
	if p.whole <= 0 {
		return connections
	}
	return connections * float64(p.part) / float64(p.whole)
}

// own is a tenant's part of a server's connections beside those that are there too, whatever they hold.
func (n *Node) own(p *plot, of *entry, now time.Duration) float64 {
	if p.part == 0 {
		return math.Inf(1)
	}
	all := []*entry{of}
	for _, e := range p.here {
		if e != of && (e.held > 0 || now-e.used < presence || now-e.wanted < wantFor) {
			all = append(all, e)
		}
	}
	return n.fill(p, float64(p.part), all, false)[0]
}

// within tells whether a tenant that holds what it does may take another without keeping those from theirs who want it, and without
// the reserve of those who are expected.
func (n *Node) within(p *plot, asks *entry, now time.Duration) bool {
	free := float64(p.part)
	wanting := []*entry{asks}
	floors := 0.0
	for _, e := range p.here {
		if e == asks {
			continue
		}
		if n.wants(p, e, now) {
			wanting = append(wanting, e)
			continue
		}
		free -= float64(e.held)
	}
	for _, t := range n.floors[p.service] {
		if t == asks.t || slices.ContainsFunc(wanting, func(e *entry) bool { return e.t == t }) {
			continue
		}
		held := 0
		for _, e := range p.here {
			if e.t == t {
				held = e.held
			}
		}
		floors += max(math.Ceil(p.scaled(n.terms[t].Floor))-float64(held), 0)
	}
	own, held := n.own(p, asks, now), float64(asks.held)
	kept := min(floors, float64(p.part-1))
	if held+1 > own { // the reserve is kept from what is lent, not from anybody's own
		kept = max(kept, float64(n.reserved(p, asks.t, now)))
	}
	free -= kept
	dues := n.fill(p, free, wanting, true)
	due := dues[0]
	if bound := n.terms[asks.t].Borrow; bound >= 0 {
		due = min(due, own+p.scaled(bound))
	}
	if held+1 <= p.scaled(n.terms[asks.t].Floor) {
		return true
	}
	if held >= due-1e-9 {
		// Nobody else wants it, nothing is kept back and its own bounds allow it: a part below one would else be none.
		return asks.held == 0 && len(wanting) == 1 && free > 0
	}
	claims, before := 0, false // whole connections that others are short of; somebody has had less of its part so far
	for i, e := range wanting[1:] {
		short := int(dues[i+1]+1e-9) - e.held
		claims += max(short, 0)
		switch {
		case held+1 > due+1e-9: // a fraction is left for this one
			before = before || float64(e.held) < dues[i+1]-1e-9 && e.credit > asks.credit
		case short > 0:
			before = before || float64(e.held+1)/n.terms[e.t].Weight < (held+1)/n.terms[asks.t].Weight
		}
	}
	enough := p.total+claims < p.part
	if held+1 > due+1e-9 {
		return enough && !before
	}
	return enough || !before
}

// Parts is what each of some tenants has of a server's connections while all of them want all.
func Parts(whole int, terms []Terms) []float64 {
	n, p := &Node{terms: terms}, &plot{part: whole, whole: whole}
	all := make([]*entry, len(terms))
	for i := range terms {
		all[i] = &entry{t: Tenant(i)}
	}
	return n.fill(p, float64(whole), all, false)
}

// fill divides what is there by weighted max-min: nobody gets more than its most, and by demand no more than it holds and waits for,
// nobody less than its floor, the rest goes by weights. It returns a part for each, in their order.
func (n *Node) fill(p *plot, there float64, all []*entry, demand bool) []float64 {
	parts := make([]float64, len(all))
	fixed := make([]bool, len(all))
	for {
		left, sum := max(there, 0), 0.0
		for i, e := range all {
			if fixed[i] {
				left -= parts[i]
			} else {
				sum += n.terms[e.t].Weight
			}
		}
		if left = max(left, 0); sum <= 0 {
			return parts
		}
		// Floors first: they lower the level for the rest; then the bounds above, which raise it.
		moved := false
		for pass := 0; pass < 2 && !moved; pass++ {
			for i, e := range all {
				if fixed[i] {
					continue
				}
				t := n.terms[e.t]
				level := left * t.Weight / sum
				if floor := p.scaled(t.Floor); pass == 0 && t.Floor > 0 && level < floor {
					parts[i], fixed[i], moved = floor, true, true
				}
				most := math.Inf(1)
				if t.Most > 0 {
					most = max(p.scaled(t.Most), 1)
				}
				if demand {
					most = min(most, float64(e.held+max(n.Waiting(p.service, e.t), 1)))
				}
				if pass == 1 && level > most {
					parts[i], fixed[i], moved = most, true, true
				}
			}
		}
		if moved {
			continue
		}
		for i, e := range all {
			if !fixed[i] {
				parts[i] = left * n.terms[e.t].Weight / sum
			}
		}
		return parts
	}
}
