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

// clientRequest is one client's search on its way through the program.
type clientRequest struct {
	// Set by the round tripper.
	wireID    string // its id on the wire
	text      []byte // what each part carries, as it came
	queryType balancer.QueryType
	customer  balancer.CustomerIndex
	timeout   balancer.Time
	retry     bool
	callSpecs []callSpec
	result    chan result  // takes one without waiting
	query     *merge.Query // nil = its values go on as they come

	// The module's actor's.
	id         balancer.RequestID
	calls      []*shardCall
	merge      *merge.Merge       // with query; closed by whoever makes the answer of it, else by this actor
	finished   bool               // its final answer is given, or its client has left
	clientGone bool               // its client has left
	reserved   memorybudget.Bytes // in the account of searches
	inUse      memorybudget.Bytes // of that, by values that are in and the search itself

	// Of a search that must not run twice, where there is a store.
	key           idempotency.Key // "" = it may
	digest        idempotency.Digest
	intentPending bool // for its intent to be on the disk
	intentDurable bool // it is, or mayHaveRun
	mayHaveRun    bool // an earlier search of its key may have run
	intentAt      balancer.Time
	intentTimer   *time.Timer

	admittedAt balancer.Time // when it came; 0 = levels do not count it
}

// callSpec is a part as the client names it.
type callSpec struct {
	shard  balancer.ShardIndex
	weight float64
	size   float64 // milliseconds; 0 = not told
}

type shardCall struct {
	request  *clientRequest
	id       balancer.ShardCallID
	shard    balancer.ShardIndex
	wireID   string
	attempts []*server // where each sub-request went; nil = it has ended
	inFlight int       // sub-requests that have not ended
	value    string    // as the server gave it
	answered bool
}

// result is a search's final answer.
type result struct {
	kind       resultKind
	complete   bool
	retryAfter balancer.Time
	values     []shardValue
	merge      *merge.Merge       // resultMerged; to be closed
	text       []byte             // the answer's text, where it is made already
	reserved   memorybudget.Bytes // resultAnswer: in the account of answers, until it is written
}

type resultKind uint8

const (
	resultAnswer resultKind = iota
	resultMerged
	resultShed
	resultFailed
	resultDuplicateID // its id is another's
	resultStored
	resultKeyOpen     // a search of its key is still under way
	resultKeyMismatch // its key is that of a different search
)

type shardValue struct {
	shard balancer.ShardIndex
	value string
}

// dispatcher is the actor that alone calls the decision module. It performs the actions and turns what happens
// into events.
type dispatcher struct {
	mailbox
	deployment  balancerconfig.Deployment
	clock       clock
	balancer    *balancer.Balancer
	watcher     *discovery.Watcher
	descriptors *descriptorPool
	connConfig  shardconn.Config
	onListReady func() // told once a list with a server is held

	requests      map[balancer.RequestID]*clientRequest // emptied by the final answer or the client's leaving
	calls         map[balancer.ShardCallID]*shardCall   // emptied when the search is over and nothing is out
	callsByWireID map[string]int                        // parts not forgotten, by their search's id on the wire; emptied with them
	pending       int                                   // searches and parts that are not over
	lastID        uint64                                // of searches and parts
	lastNumber    balancer.RequestNumber
	servers       map[balancer.ServerID]*server // emptied of the unlisted when they outnumber the listed
	serverIDs     map[string]balancer.ServerID  // the same, by host
	lastServerID  balancer.ServerID
	listedServers int           // servers listed
	timers        timerHeap     // emptied as they fire: a search's are over soon after its time
	merges        *merge.Budget // what open merges hold together
	memory        *memorybudget.Budget
	valueSizes    *memorybudget.SizeEstimator

	recordsSavedAt balancer.Time       // when what was learned was last written
	degradation    *degradationState   // nil = service is never reduced
	setMergeLimits func(share float64) // puts a share of the limits on merges in force
	persistence    *persistence        // nil = nothing is kept across restarts
	deferred       []balancer.Event    // what became of actions at once
	ended          chan struct{}       // closed when the peers have gone too
	counters       *counters           // of all final answers
}

// server is what the actor keeps of a shard server.
type server struct {
	id        balancer.ServerID
	host      string
	client    *shardconn.Client // nil = unlisted
	address   string
	startedAt balancer.Time
	inFlight  int // sub-requests that have not ended
	listed    bool

	draining bool
	cell     int
	zone     string
}

type timerEntry struct {
	at    balancer.Time
	timer balancer.TimerID
}

func (m *dispatcher) run(stop <-chan struct{}) {
	defer m.shutdown()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		wait := time.Hour
		if len(m.timers) > 0 {
			wait = max(0, duration(m.timers[0].at-m.clock.now()))
		}
		if m.degradation != nil {
			wait = min(wait, duration(evaluationInterval))
		}
		timer.Reset(wait)
		select {
		case msg := <-m.messages:
			m.receive(msg)
		case <-timer.C:
		case <-stop:
			return
		}
		m.fireTimers()
	}
}

// shutdown lets the peers go. The mailbox takes nothing any more, so that none of them waits for this actor.
func (m *dispatcher) shutdown() {
	close(m.done)
	if m.persistence != nil {
		m.saveServerRecords(m.clock.now())
	}
	for _, s := range m.servers {
		if s.client != nil {
			s.client.TrySubmit(shardconn.CloseAll{})
			s.client.Stop()
		}
	}
	for _, s := range m.servers {
		if s.client != nil {
			<-s.client.Done()
		}
	}
	close(m.ended)
}

// fireTimers hands over the timers that are due.
func (m *dispatcher) fireTimers() {
	now := m.clock.now()
	if m.persistence != nil && now-m.recordsSavedAt >= saveInterval {
		m.saveServerRecords(now)
	}
	if m.degradation != nil && now-m.degradation.evaluatedAt >= evaluationInterval {
		m.degradation.evaluate()
	}
	for len(m.timers) > 0 && m.timers[0].at <= now {
		w := heap.Pop(&m.timers).(timerEntry)
		m.handle(balancer.TimerFired{Timer: w.timer})
	}
}

func (m *dispatcher) receive(msg any) {
	switch e := msg.(type) {
	case requestArrived:
		m.requestArrived(e.request)
	case intentWritten:
		m.intentWritten(e)
	case intentTimeout:
		m.intentTimedOut(e.request)
	case clientGone:
		if e.request.clientGone = true; m.requests[e.request.id] == e.request {
			m.closeRequest(e.request)
			m.recordAbandoned(e.request)
			m.handle(balancer.RequestCancelled{Request: e.request.id})
		}
		if e.request.merge != nil {
			e.request.merge.Close() // whether or not an answer was on its way to the client that left
		}
		select {
		case r := <-e.request.result: // nobody will take it
			m.memory.Release(memorybudget.Answers, r.reserved)
		default:
		}
	case attemptEnded:
		m.attemptEnded(e.event)
	case healthCheckEnded:
		m.handle(e.event)
	case listReceived:
		kind := balancer.ListDelta
		if e.list.Complete {
			kind = balancer.ListComplete
		}
		m.applyServerList(kind, e.list)
		if m.persistence != nil {
			m.persistence.saveServerList(e.list)
		}
		if m.degradation != nil {
			m.degradation.gauge.List(m.degradation.now(), true)
		}
	case levelsReplaced:
		m.degradation.applyConfig(e.config)
	case admin.Question:
		if m.degradation != nil {
			m.degradation.handleQuestion(e)
		}
	case watchFailed:
		if m.degradation != nil {
			m.degradation.gauge.List(m.degradation.now(), false)
		}
		m.handle(balancer.ServerList{Kind: balancer.ListFailed})
	}
}

// handle gives an event to the decision module and performs its actions, in order.
func (m *dispatcher) handle(ev balancer.Event) {
	m.perform(m.balancer.Handle(m.clock.now(), ev))
	for len(m.deferred) > 0 {
		next := m.deferred[0]
		m.deferred = m.deferred[1:]
		m.perform(m.balancer.Handle(m.clock.now(), next))
	}
	m.deferred = nil
}

func (m *dispatcher) perform(acts []balancer.Action) {
	var calls []outBatch
	for _, a := range acts {
		switch a := a.(type) {
		case balancer.Send:
			calls = m.gatherAttempt(calls, a)
		case balancer.Cancel:
			m.dispatchBatches(calls)
			calls = calls[:0]
			m.cancel(a)
		case balancer.Answer:
			m.answer(a)
		case balancer.Shed:
			m.finish(a.Request, result{kind: resultShed, retryAfter: a.RetryAfter})
		case balancer.Fail:
			m.finish(a.Request, result{kind: resultFailed})
		case balancer.SetTimer:
			heap.Push(&m.timers, timerEntry{a.At, a.Timer})
		case balancer.Subscribe:
			m.watcher.Subscribe()
		case balancer.CloseIdle:
			if s := m.servers[a.Server]; s != nil && s.client != nil {
				s.client.TrySubmit(shardconn.CloseIdle{}) // lost when the mailbox is full: they are tried as they are
			}
		case balancer.HealthCheck:
			if s := m.servers[a.Server]; s == nil || s.client == nil || !s.client.TrySubmit(shardconn.HealthCheck{}) {
				m.deferred = append(m.deferred, balancer.HealthCheckEnded{Server: a.Server, Outcome: balancer.NotDispatched})
			}
		}
	}
	m.dispatchBatches(calls)
}

// outBatch gathers the sends of one reply to one server.
type outBatch struct {
	server   *server
	attempts []shardconn.Attempt
}

func (m *dispatcher) gatherAttempt(calls []outBatch, a balancer.Send) []outBatch {
	p, s := m.calls[a.Call], m.servers[a.Server]
	if p == nil {
		return calls
	}
	no := balancer.AttemptNumber(len(p.attempts))
	p.attempts = append(p.attempts, s)
	p.inFlight++
	if s == nil || s.client == nil || p.request.finished {
		m.notDispatched(p, no, a.Server)
		return calls
	}
	now := m.clock.now()
	out := shardconn.Attempt{ID: p.id, Number: no, WireID: p.wireID, Shard: p.shard, Text: p.request.text, SentAt: now, Deadline: now + a.Timeout}
	if q := p.request.query; q != nil {
		at := merge.Segment(p.shard)
		out.Options, out.Decode = q.Ask(at), func(value string) (any, error) { return q.Read(at, value) }
	}
	for i := range calls {
		if calls[i].server == s {
			calls[i].attempts = append(calls[i].attempts, out)
			return calls
		}
	}
	return append(calls, outBatch{s, []shardconn.Attempt{out}})
}

// dispatchBatches hands the gathered calls to their servers. A full mailbox makes their parts moot.
func (m *dispatcher) dispatchBatches(calls []outBatch) {
	for _, c := range calls {
		if c.server.client.TrySubmit(shardconn.Dispatch{Attempts: c.attempts}) {
			c.server.inFlight += len(c.attempts)
			continue
		}
		for _, p := range c.attempts {
			m.notDispatched(m.calls[p.ID], p.Number, c.server.id)
		}
	}
}

// notDispatched is the outcome of what was never sent.
func (m *dispatcher) notDispatched(p *shardCall, no balancer.AttemptNumber, s balancer.ServerID) {
	m.attemptDone(p, no)
	m.deferred = append(m.deferred, balancer.AttemptEnded{Call: p.id, Attempt: no, Server: s, Outcome: balancer.NotDispatched})
}

// attemptDone notes that a sub-request has ended.
func (m *dispatcher) attemptDone(p *shardCall, no balancer.AttemptNumber) {
	p.attempts[no] = nil
	p.inFlight--
	m.forgetCall(p)
}

// forgetCall drops a part that nothing is owed for any more.
func (m *dispatcher) forgetCall(p *shardCall) {
	if _, held := m.calls[p.id]; held && p.request.finished && p.inFlight == 0 {
		delete(m.calls, p.id)
		if m.callsByWireID[p.request.wireID]--; m.callsByWireID[p.request.wireID] == 0 {
			delete(m.callsByWireID, p.request.wireID)
		}
	}
}

func (m *dispatcher) cancel(a balancer.Cancel) {
	if p := m.calls[a.Call]; p != nil && int(a.Attempt) < len(p.attempts) {
		if s := p.attempts[a.Attempt]; s != nil {
			s.client.TrySubmit(shardconn.Cancel{ID: a.Call, Number: a.Attempt}) // lost when the mailbox is full: its time limit ends it
		}
	}
}

func (m *dispatcher) requestArrived(s *clientRequest) {
	if m.degradation != nil && !s.intentDurable && !m.degradation.admit(s) {
		return
	}
	if !m.checkIntent(s) {
		return
	}
	if m.deployment.MaxPending > 0 && m.pending+1+len(s.callSpecs) > m.deployment.MaxPending {
		s.finished = true
		m.intentUnused(s)
		s.result <- result{kind: resultShed, retryAfter: m.deployment.Balancer.MaxRetryAfter}
		return
	}
	if m.callsByWireID[s.wireID] > 0 { // answers to its parts could not be told from those to the other's
		s.finished = true
		m.intentUnused(s)
		s.result <- result{kind: resultDuplicateID}
		return
	}
	// Set aside now, while turning it away is harmless: values that come cannot be refused.
	// Each part's frame holds the text again.
	s.inUse = requestMemory + memorybudget.Bytes(len(s.callSpecs))*(callMemory+memorybudget.Bytes(len(s.text)))
	s.reserved = s.inUse + memorybudget.Bytes(len(s.callSpecs))*m.valueSizes.Estimate(int(s.queryType))
	if !m.memory.Reserve(memorybudget.Requests, s.reserved) {
		s.finished = true
		m.intentUnused(s)
		s.result <- result{kind: resultShed, retryAfter: m.deployment.Balancer.MaxRetryAfter}
		return
	}
	if s.query != nil {
		var err error
		if s.merge, err = merge.New(s.query, m.merges); err != nil {
			s.finished = true
			m.memory.Release(memorybudget.Requests, s.reserved)
			s.result <- result{kind: resultShed, retryAfter: m.deployment.Balancer.MaxRetryAfter}
			return
		}
	}
	m.callsByWireID[s.wireID] = len(s.callSpecs)
	m.pending += 1 + len(s.callSpecs)
	m.lastID++
	s.id = balancer.RequestID(m.lastID)
	if m.lastNumber++; m.lastNumber >= 1<<32-2 {
		m.lastNumber = 1 // the last numbers are not for searches
	}
	m.requests[s.id] = s
	ev := balancer.RequestArrived{Request: s.id, Number: m.lastNumber, Type: s.queryType, Customer: s.customer, Timeout: s.timeout, Retry: s.retry, MayHaveRun: s.mayHaveRun}
	for _, a := range s.callSpecs {
		m.lastID++
		p := &shardCall{request: s, id: balancer.ShardCallID(m.lastID), shard: a.shard, wireID: s.wireID + "." + strconv.Itoa(int(a.shard))}
		s.calls = append(s.calls, p)
		m.calls[p.id] = p
		ev.Calls = append(ev.Calls, balancer.ShardCall{ID: p.id, Shard: a.shard, Weight: a.weight, Size: a.size})
	}
	m.handle(ev)
}

// ended takes a sub-request's outcome from its peer.
func (m *dispatcher) attemptEnded(e shardconn.AttemptEnded) {
	p := m.calls[e.ID]
	if p == nil || p.attempts[e.Number] == nil {
		return
	}
	s := p.attempts[e.Number]
	s.inFlight--
	if e.Outcome == balancer.Answered && !p.request.finished && !p.answered {
		p.answered, p.value = true, e.Value
		m.accountValue(p.request, memorybudget.Bytes(len(e.Value)))
		m.mergeValue(p, e.Result)
	} else if e.DecodeFailed && !p.request.finished && !p.answered {
		p.request.merge.Spoilt(merge.Segment(p.shard))
	}
	m.attemptDone(p, e.Number)
	m.releaseServer(s)
	m.handle(balancer.AttemptEnded{Call: e.ID, Attempt: e.Number, Server: e.Server, Elapsed: e.Elapsed, Outcome: e.Outcome, Report: e.Report})
}

// accountValue accounts for a value that is in: out of what was set aside, and beyond that whatever is held, as it is here.
func (m *dispatcher) accountValue(s *clientRequest, n memorybudget.Bytes) {
	m.valueSizes.Observe(int(s.queryType), n)
	s.inUse += n
	if more := s.inUse - s.reserved; more > 0 {
		m.memory.ForceReserve(memorybudget.Requests, more)
		s.reserved += more
	}
}

// mergeValue adds a part to its search's merge. Where all merges together would hold too much, the search is shed at once:
// only idempotent searches are merged, so that asking again is harmless.
func (m *dispatcher) mergeValue(p *shardCall, decoded any) {
	if p.request.merge == nil {
		return
	}
	if err := p.request.merge.Add(decoded.(*merge.Part)); err != nil {
		slog.Warn("merge_shed", "search", p.request.wireID, "error", err)
		m.finish(p.request.id, result{kind: resultShed, retryAfter: m.deployment.Balancer.MaxRetryAfter})
		m.handle(balancer.RequestCancelled{Request: p.request.id})
	}
}

// answer passes on the values that are in.
func (m *dispatcher) answer(a balancer.Answer) {
	r := result{kind: resultAnswer, complete: a.Complete}
	if s := m.requests[a.Request]; s != nil && s.merge != nil {
		r.kind, r.merge = resultMerged, s.merge
	} else if s != nil {
		for _, p := range s.calls {
			if p.answered {
				r.values = append(r.values, shardValue{p.shard, p.value})
				r.reserved += 2*memorybudget.Bytes(len(p.value)) + valueOverhead // as it came, and in the answer's text
			}
		}
		m.memory.ForceReserve(memorybudget.Answers, r.reserved)
	}
	m.finish(a.Request, r)
}

// valueOverhead is what an answer's text has around a value.
const valueOverhead = 64

// finish gives a search its one final answer.
func (m *dispatcher) finish(id balancer.RequestID, r result) {
	if s := m.requests[id]; s != nil {
		m.closeRequest(s)
		m.recordOutcome(s, &r)
		m.counters.add(r.kind)
		if m.degradation != nil {
			m.degradation.requestEnded(s, r.kind)
		}
		if s.merge != nil && r.merge == nil {
			s.merge.Close()
		}
		s.result <- r
	}
}

func (m *dispatcher) closeRequest(s *clientRequest) {
	s.finished = true
	m.memory.Release(memorybudget.Requests, s.reserved)
	s.reserved = 0
	m.pending -= 1 + len(s.calls)
	delete(m.requests, s.id)
	for _, p := range s.calls {
		m.forgetCall(p)
	}
}

// applyServerList gives the module a list, with hosts and zones as numbers, and keeps a peer for each server.
func (m *dispatcher) applyServerList(kind balancer.ServerListKind, l discovery.ServerList) {
	ev := balancer.ServerList{Kind: kind}
	if kind != balancer.ListDelta {
		for _, s := range m.servers {
			s.listed = false
		}
	}
	for _, e := range l.Servers {
		id, known := m.serverIDs[e.Host]
		if !known {
			m.lastServerID++
			id = m.lastServerID
			m.serverIDs[e.Host] = id
			m.servers[id] = &server{id: id, host: e.Host}
		}
		s, since := m.servers[id], balancerconfig.TimeFromMillis(e.StartedMillis)
		entry := balancer.Server{ID: id, Zone: m.zoneIndex(e.Zone), Cell: balancer.CellIndex(e.Cell), StartedAt: since}
		switch e.Health {
		case discovery.Up:
			entry.State = balancer.Ready
		case discovery.Draining:
			entry.State = balancer.Draining
		}
		s.listed = entry.State != balancer.Removed
		if s.listed && s.client == nil {
			s.client = shardconn.Start(id, e.Host, e.Address, m.connConfig, m.clock.now, m.mailbox, m.descriptors)
		} else if s.listed && (s.address != e.Address || s.startedAt != since) && !s.client.TrySubmit(shardconn.AddressChanged{Addr: e.Address, StartedAt: since}) {
			s.client.Stop() // too busy to be told: it finishes what it has, another takes what comes
			s.client = shardconn.Start(id, e.Host, e.Address, m.connConfig, m.clock.now, m.mailbox, m.descriptors)
		}
		if entry.State == balancer.Draining && s.client != nil {
			s.client.TrySubmit(shardconn.Drain{}) // lost when the mailbox is full: its connections then end with the server
		}
		s.address, s.startedAt = e.Address, since
		s.draining, s.cell, s.zone = entry.State == balancer.Draining, e.Cell, e.Zone
		ev.Servers = append(ev.Servers, entry)
	}
	m.listedServers = 0
	for _, s := range m.servers {
		m.releaseServer(s)
		if s.listed {
			m.listedServers++
		}
	}
	if len(m.servers) > 2*m.listedServers {
		for id, s := range m.servers {
			if s.client == nil {
				delete(m.servers, id)
				delete(m.serverIDs, s.host)
			}
		}
	}
	m.handle(ev)
	if m.listedServers > 0 {
		m.onListReady()
	}
}

// releaseServer lets the peer of a server go that has left the list, once nothing is out there.
func (m *dispatcher) releaseServer(s *server) {
	if !s.listed && s.client != nil && s.inFlight == 0 {
		s.client.Stop()
		s.client = nil
	}
}

func (m *dispatcher) zoneIndex(name string) balancer.ZoneIndex {
	for i, z := range m.deployment.Zones {
		if z == name {
			return balancer.ZoneIndex(i)
		}
	}
	return -1
}

// timerHeap orders the module's timers by moment.
type timerHeap []timerEntry

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timerEntry)) }
func (h *timerHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	*h = old[:len(old)-1]
	return w
}
