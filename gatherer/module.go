package gatherer

import (
	"container/heap"
	"log/slog"
	"strconv"
	"time"

	"oxbowspan/balancer"
	"oxbowspan/idempotency"
	"oxbowspan/internal/admin"
	"oxbowspan/internal/balancerconfig"
	"oxbowspan/internal/discovery"
	"oxbowspan/internal/shardconn"
	"oxbowspan/memorybudget"
	"oxbowspan/merge"
)

// search is one client's search on its way through the program.
type search struct {
	// Set by the round tripper.
	wire     string // its id on the wire
	text     []byte // what each part carries, as it came
	typ      balancer.QueryType
	customer balancer.CustomerIndex
	patience balancer.Time
	repeat   bool
	asked    []asked
	reply    chan reply   // takes one without waiting
	query    *merge.Query // nil = its values go on as they come

	// The module's actor's.
	id    balancer.RequestID
	parts []*part
	merge *merge.Merge       // with query; closed by whoever makes the answer of it, else by this actor
	over  bool               // its final answer is given, or its client has left
	left  bool               // its client has left
	holds memorybudget.Bytes // in the account of searches
	inUse memorybudget.Bytes // of that, by values that are in and the search itself

	// Of a search that must not run twice, where there is a store.
	key        idempotency.Key // "" = it may
	digest     idempotency.Digest
	waiting    bool // for its intent to be on the disk
	cleared    bool // it is, or sentBefore
	sentBefore bool // an earlier search of its key may have run
	cameAt     balancer.Time
	late       *time.Timer

	cameFor balancer.Time // when it came; 0 = levels do not count it
}

// asked is a part as the client names it.
type asked struct {
	shard  balancer.ShardIndex
	weight float64
	size   float64 // milliseconds; 0 = not told
}

type part struct {
	s     *search
	id    balancer.ShardCallID
	shard balancer.ShardIndex
	wire  string
	sends []*server // where each sub-request went; nil = it has ended
	out   int       // sub-requests that have not ended
	value string    // as the server gave it
	in    bool
}

// reply is a search's final answer.
type reply struct {
	kind       replyKind
	whole      bool
	retryAfter balancer.Time
	values     []value
	merge      *merge.Merge       // replyMerged; to be closed
	text       []byte             // the answer's text, where it is made already
	holds      memorybudget.Bytes // replyAnswer: in the account of answers, until it is written
}

type replyKind uint8

const (
	replyAnswer replyKind = iota
	replyMerged
	replyShed
	replyFail
	replyTaken // its id is another's
	replyStored
	replyOpen  // a search of its key is still under way
	replyOther // its key is that of a different search
)

type value struct {
	shard balancer.ShardIndex
	value string
}

// module is the actor that alone calls the decision module. It performs the actions and turns what happens
// into events.
type module struct {
	mailbox
	d       balancerconfig.Deployment
	clock   clock
	brain   *balancer.Balancer
	list    *discovery.Watcher
	budget  *descriptors
	figures shardconn.Config
	listed  func() // told once a list with a server is held

	searches map[balancer.RequestID]*search // emptied by the final answer or the client's leaving
	parts    map[balancer.ShardCallID]*part // emptied when the search is over and nothing is out
	wires    map[string]int                 // parts not forgotten, by their search's id on the wire; emptied with them
	held     int                            // searches and parts that are not over
	lastID   uint64                         // of searches and parts
	lastNo   balancer.RequestNumber
	servers  map[balancer.ServerID]*server // emptied of the unlisted when they outnumber the listed
	ids      map[string]balancer.ServerID  // the same, by host
	lastHost balancer.ServerID
	ready    int           // servers listed
	timers   timerHeap     // emptied as they fire: a search's are over soon after its time
	merges   *merge.Budget // what open merges hold together
	memory   *memorybudget.Ledger
	expect   *memorybudget.Expect

	keptAt      balancer.Time       // when what was learned was last written
	levels      *levels             // nil = service is never reduced
	limitMerges func(share float64) // puts a share of the limits on merges in force
	remembers   *remembered         // nil = nothing is kept across restarts
	pending     []balancer.Event    // what became of actions at once
	ended       chan struct{}       // closed when the peers have gone too
	counts      *counts             // of all final answers
}

// server is what the actor keeps of a shard server.
type server struct {
	id     balancer.ServerID
	host   string
	peer   *shardconn.Client // nil = unlisted
	addr   string
	since  balancer.Time
	out    int // sub-requests that have not ended
	listed bool

	draining bool
	cell     int
	zone     string
}

type wake struct {
	at    balancer.Time
	timer balancer.TimerID
}

func (m *module) run(stop <-chan struct{}) {
	defer m.end()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		wait := time.Hour
		if len(m.timers) > 0 {
			wait = max(0, duration(m.timers[0].at-m.clock.now()))
		}
		if m.levels != nil {
			wait = min(wait, duration(turnEvery))
		}
		timer.Reset(wait)
		select {
		case msg := <-m.c:
			m.take(msg)
		case <-timer.C:
		case <-stop:
			return
		}
		m.fire()
	}
}

// end lets the peers go. The mailbox takes nothing any more, so that none of them waits for this actor.
func (m *module) end() {
	close(m.done)
	if m.remembers != nil {
		m.keepLearned(m.clock.now())
	}
	for _, s := range m.servers {
		if s.peer != nil {
			s.peer.TrySubmit(shardconn.CloseAll{})
			s.peer.Stop()
		}
	}
	for _, s := range m.servers {
		if s.peer != nil {
			<-s.peer.Done()
		}
	}
	close(m.ended)
}

// fire hands over the timers that are due.
func (m *module) fire() {
	now := m.clock.now()
	if m.remembers != nil && now-m.keptAt >= keepEvery {
		m.keepLearned(now)
	}
	if m.levels != nil && now-m.levels.turnAt >= turnEvery {
		m.levels.turn()
	}
	for len(m.timers) > 0 && m.timers[0].at <= now {
		w := heap.Pop(&m.timers).(wake)
		m.handle(balancer.TimerFired{Timer: w.timer})
	}
}

func (m *module) take(msg any) {
	switch e := msg.(type) {
	case searchCame:
		m.arrived(e.s)
	case intentWritten:
		m.written(e)
	case intentLate:
		m.lateIntent(e.s)
	case clientLeft:
		if e.s.left = true; m.searches[e.s.id] == e.s {
			m.close(e.s)
			m.abandoned(e.s)
			m.handle(balancer.RequestCancelled{Request: e.s.id})
		}
		if e.s.merge != nil {
			e.s.merge.Close() // whether or not an answer was on its way to the client that left
		}
		select {
		case r := <-e.s.reply: // nobody will take it
			m.memory.Give(memorybudget.Answers, r.holds)
		default:
		}
	case ended:
		m.subRequestEnded(e.e)
	case probed:
		m.handle(e.p)
	case listCame:
		kind := balancer.ListDelta
		if e.l.Complete {
			kind = balancer.ListComplete
		}
		m.takeList(kind, e.l)
		if m.remembers != nil {
			m.remembers.keepList(e.l)
		}
		if m.levels != nil {
			m.levels.gauge.List(m.levels.now(), true)
		}
	case levelsReplaced:
		m.levels.use(e.f)
	case admin.Question:
		if m.levels != nil {
			m.levels.asked(e)
		}
	case listFailed:
		if m.levels != nil {
			m.levels.gauge.List(m.levels.now(), false)
		}
		m.handle(balancer.ServerList{Kind: balancer.ListFailed})
	}
}

// handle gives an event to the decision module and performs its actions, in order.
func (m *module) handle(ev balancer.Event) {
	m.perform(m.brain.Handle(m.clock.now(), ev))
	for len(m.pending) > 0 {
		next := m.pending[0]
		m.pending = m.pending[1:]
		m.perform(m.brain.Handle(m.clock.now(), next))
	}
	m.pending = nil
}

func (m *module) perform(acts []balancer.Action) {
	var calls []outCall
	for _, a := range acts {
		switch a := a.(type) {
		case balancer.Send:
			calls = m.send(calls, a)
		case balancer.Cancel:
			m.flush(calls)
			calls = calls[:0]
			m.cancel(a)
		case balancer.Answer:
			m.answer(a)
		case balancer.Shed:
			m.finish(a.Request, reply{kind: replyShed, retryAfter: a.RetryAfter})
		case balancer.Fail:
			m.finish(a.Request, reply{kind: replyFail})
		case balancer.SetTimer:
			heap.Push(&m.timers, wake{a.At, a.Timer})
		case balancer.Subscribe:
			m.list.Subscribe()
		case balancer.CloseIdle:
			if s := m.servers[a.Server]; s != nil && s.peer != nil {
				s.peer.TrySubmit(shardconn.CloseIdle{}) // lost when the mailbox is full: they are tried as they are
			}
		case balancer.HealthCheck:
			if s := m.servers[a.Server]; s == nil || s.peer == nil || !s.peer.TrySubmit(shardconn.HealthCheck{}) {
				m.pending = append(m.pending, balancer.HealthCheckEnded{Server: a.Server, Outcome: balancer.NotDispatched})
			}
		}
	}
	m.flush(calls)
}

// outCall gathers the sends of one reply to one server.
type outCall struct {
	s     *server
	parts []shardconn.Attempt
}

func (m *module) send(calls []outCall, a balancer.Send) []outCall {
	p, s := m.parts[a.Call], m.servers[a.Server]
	if p == nil {
		return calls
	}
	no := balancer.AttemptNumber(len(p.sends))
	p.sends = append(p.sends, s)
	p.out++
	if s == nil || s.peer == nil || p.s.over {
		m.moot(p, no, a.Server)
		return calls
	}
	now := m.clock.now()
	out := shardconn.Attempt{ID: p.id, Number: no, WireID: p.wire, Shard: p.shard, Text: p.s.text, SentAt: now, Deadline: now + a.Timeout}
	if q := p.s.query; q != nil {
		at := merge.Segment(p.shard)
		out.Options, out.Decode = q.Ask(at), func(value string) (any, error) { return q.Read(at, value) }
	}
	for i := range calls {
		if calls[i].s == s {
			calls[i].parts = append(calls[i].parts, out)
			return calls
		}
	}
	return append(calls, outCall{s, []shardconn.Attempt{out}})
}

// flush hands the gathered calls to their servers. A full mailbox makes their parts moot.
func (m *module) flush(calls []outCall) {
	for _, c := range calls {
		if c.s.peer.TrySubmit(shardconn.Dispatch{Attempts: c.parts}) {
			c.s.out += len(c.parts)
			continue
		}
		for _, p := range c.parts {
			m.moot(m.parts[p.ID], p.Number, c.s.id)
		}
	}
}

// moot is the outcome of what was never sent.
func (m *module) moot(p *part, no balancer.AttemptNumber, s balancer.ServerID) {
	m.settle(p, no)
	m.pending = append(m.pending, balancer.AttemptEnded{Call: p.id, Attempt: no, Server: s, Outcome: balancer.NotDispatched})
}

// settle notes that a sub-request has ended.
func (m *module) settle(p *part, no balancer.AttemptNumber) {
	p.sends[no] = nil
	p.out--
	m.forget(p)
}

// forget drops a part that nothing is owed for any more.
func (m *module) forget(p *part) {
	if _, held := m.parts[p.id]; held && p.s.over && p.out == 0 {
		delete(m.parts, p.id)
		if m.wires[p.s.wire]--; m.wires[p.s.wire] == 0 {
			delete(m.wires, p.s.wire)
		}
	}
}

func (m *module) cancel(a balancer.Cancel) {
	if p := m.parts[a.Call]; p != nil && int(a.Attempt) < len(p.sends) {
		if s := p.sends[a.Attempt]; s != nil {
			s.peer.TrySubmit(shardconn.Cancel{ID: a.Call, Number: a.Attempt}) // lost when the mailbox is full: its time limit ends it
		}
	}
}

func (m *module) arrived(s *search) {
	if m.levels != nil && !s.cleared && !m.levels.admits(s) {
		return
	}
	if !m.remember(s) {
		return
	}
	if m.d.MaxPending > 0 && m.held+1+len(s.asked) > m.d.MaxPending {
		s.over = true
		m.unsent(s)
		s.reply <- reply{kind: replyShed, retryAfter: m.d.Balancer.MaxRetryAfter}
		return
	}
	if m.wires[s.wire] > 0 { // answers to its parts could not be told from those to the other's
		s.over = true
		m.unsent(s)
		s.reply <- reply{kind: replyTaken}
		return
	}
	// Set aside now, while turning it away is harmless: values that come cannot be refused.
	// Each part's frame holds the text again.
	s.inUse = searchHolds + memorybudget.Bytes(len(s.asked))*(partHolds+memorybudget.Bytes(len(s.text)))
	s.holds = s.inUse + memorybudget.Bytes(len(s.asked))*m.expect.Each(int(s.typ))
	if !m.memory.Take(memorybudget.Searches, s.holds) {
		s.over = true
		m.unsent(s)
		s.reply <- reply{kind: replyShed, retryAfter: m.d.Balancer.MaxRetryAfter}
		return
	}
	if s.query != nil {
		var err error
		if s.merge, err = merge.New(s.query, m.merges); err != nil {
			s.over = true
			m.memory.Give(memorybudget.Searches, s.holds)
			s.reply <- reply{kind: replyShed, retryAfter: m.d.Balancer.MaxRetryAfter}
			return
		}
	}
	m.wires[s.wire] = len(s.asked)
	m.held += 1 + len(s.asked)
	m.lastID++
	s.id = balancer.RequestID(m.lastID)
	if m.lastNo++; m.lastNo >= 1<<32-2 {
		m.lastNo = 1 // the last numbers are not for searches
	}
	m.searches[s.id] = s
	ev := balancer.RequestArrived{Request: s.id, Number: m.lastNo, Type: s.typ, Customer: s.customer, Timeout: s.patience, Retry: s.repeat, MayHaveRun: s.sentBefore}
	for _, a := range s.asked {
		m.lastID++
		p := &part{s: s, id: balancer.ShardCallID(m.lastID), shard: a.shard, wire: s.wire + "." + strconv.Itoa(int(a.shard))}
		s.parts = append(s.parts, p)
		m.parts[p.id] = p
		ev.Calls = append(ev.Calls, balancer.ShardCall{ID: p.id, Shard: a.shard, Weight: a.weight, Size: a.size})
	}
	m.handle(ev)
}

// ended takes a sub-request's outcome from its peer.
func (m *module) subRequestEnded(e shardconn.AttemptEnded) {
	p := m.parts[e.ID]
	if p == nil || p.sends[e.Number] == nil {
		return
	}
	s := p.sends[e.Number]
	s.out--
	if e.Outcome == balancer.Answered && !p.s.over && !p.in {
		p.in, p.value = true, e.Value
		m.holdValue(p.s, memorybudget.Bytes(len(e.Value)))
		m.merged(p, e.Result)
	} else if e.DecodeFailed && !p.s.over && !p.in {
		p.s.merge.Spoilt(merge.Segment(p.shard))
	}
	m.settle(p, e.Number)
	m.unlist(s)
	m.handle(balancer.AttemptEnded{Call: e.ID, Attempt: e.Number, Server: e.Server, Elapsed: e.Elapsed, Outcome: e.Outcome, Report: e.Report})
}

// holdValue accounts for a value that is in: out of what was set aside, and beyond that whatever is held, as it is here.
func (m *module) holdValue(s *search, n memorybudget.Bytes) {
	m.expect.Saw(int(s.typ), n)
	s.inUse += n
	if more := s.inUse - s.holds; more > 0 {
		m.memory.Force(memorybudget.Searches, more)
		s.holds += more
	}
}

// merged adds a part to its search's merge. Where all merges together would hold too much, the search is shed at once:
// only idempotent searches are merged, so that asking again is harmless.
func (m *module) merged(p *part, result any) {
	if p.s.merge == nil {
		return
	}
	if err := p.s.merge.Add(result.(*merge.Part)); err != nil {
		slog.Warn("merge_shed", "search", p.s.wire, "error", err)
		m.finish(p.s.id, reply{kind: replyShed, retryAfter: m.d.Balancer.MaxRetryAfter})
		m.handle(balancer.RequestCancelled{Request: p.s.id})
	}
}

// answer passes on the values that are in.
func (m *module) answer(a balancer.Answer) {
	r := reply{kind: replyAnswer, whole: a.Complete}
	if s := m.searches[a.Request]; s != nil && s.merge != nil {
		r.kind, r.merge = replyMerged, s.merge
	} else if s != nil {
		for _, p := range s.parts {
			if p.in {
				r.values = append(r.values, value{p.shard, p.value})
				r.holds += 2*memorybudget.Bytes(len(p.value)) + valueHolds // as it came, and in the answer's text
			}
		}
		m.memory.Force(memorybudget.Answers, r.holds)
	}
	m.finish(a.Request, r)
}

// valueHolds is what an answer's text has around a value.
const valueHolds = 64

// finish gives a search its one final answer.
func (m *module) finish(id balancer.RequestID, r reply) {
	if s := m.searches[id]; s != nil {
		m.close(s)
		m.outcome(s, &r)
		m.counts.count(r.kind)
		if m.levels != nil {
			m.levels.ended(s, r.kind)
		}
		if s.merge != nil && r.merge == nil {
			s.merge.Close()
		}
		s.reply <- r
	}
}

func (m *module) close(s *search) {
	s.over = true
	m.memory.Give(memorybudget.Searches, s.holds)
	s.holds = 0
	m.held -= 1 + len(s.parts)
	delete(m.searches, s.id)
	for _, p := range s.parts {
		m.forget(p)
	}
}

// takeList gives the module a list, with hosts and zones as numbers, and keeps a peer for each server.
func (m *module) takeList(kind balancer.ServerListKind, l discovery.ServerList) {
	ev := balancer.ServerList{Kind: kind}
	if kind != balancer.ListDelta {
		for _, s := range m.servers {
			s.listed = false
		}
	}
	for _, e := range l.Servers {
		id, known := m.ids[e.Host]
		if !known {
			m.lastHost++
			id = m.lastHost
			m.ids[e.Host] = id
			m.servers[id] = &server{id: id, host: e.Host}
		}
		s, since := m.servers[id], balancerconfig.TimeFromMillis(e.StartedMillis)
		entry := balancer.Server{ID: id, Zone: m.zone(e.Zone), Cell: balancer.CellIndex(e.Cell), StartedAt: since}
		switch e.Health {
		case discovery.Up:
			entry.State = balancer.Ready
		case discovery.Draining:
			entry.State = balancer.Draining
		}
		s.listed = entry.State != balancer.Removed
		if s.listed && s.peer == nil {
			s.peer = shardconn.Start(id, e.Host, e.Address, m.figures, m.clock.now, m.mailbox, m.budget)
		} else if s.listed && (s.addr != e.Address || s.since != since) && !s.peer.TrySubmit(shardconn.AddressChanged{Addr: e.Address, StartedAt: since}) {
			s.peer.Stop() // too busy to be told: it finishes what it has, another takes what comes
			s.peer = shardconn.Start(id, e.Host, e.Address, m.figures, m.clock.now, m.mailbox, m.budget)
		}
		if entry.State == balancer.Draining && s.peer != nil {
			s.peer.TrySubmit(shardconn.Drain{}) // lost when the mailbox is full: its connections then end with the server
		}
		s.addr, s.since = e.Address, since
		s.draining, s.cell, s.zone = entry.State == balancer.Draining, e.Cell, e.Zone
		ev.Servers = append(ev.Servers, entry)
	}
	m.ready = 0
	for _, s := range m.servers {
		m.unlist(s)
		if s.listed {
			m.ready++
		}
	}
	if len(m.servers) > 2*m.ready {
		for id, s := range m.servers {
			if s.peer == nil {
				delete(m.servers, id)
				delete(m.ids, s.host)
			}
		}
	}
	m.handle(ev)
	if m.ready > 0 {
		m.listed()
	}
}

// unlist lets the peer of a server go that has left the list, once nothing is out there.
func (m *module) unlist(s *server) {
	if !s.listed && s.peer != nil && s.out == 0 {
		s.peer.Stop()
		s.peer = nil
	}
}

func (m *module) zone(name string) balancer.ZoneIndex {
	for i, z := range m.d.Zones {
		if z == name {
			return balancer.ZoneIndex(i)
		}
	}
	return -1
}

// timerHeap orders the module's timers by moment.
type timerHeap []wake

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(wake)) }
func (h *timerHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	*h = old[:len(old)-1]
	return w
}
