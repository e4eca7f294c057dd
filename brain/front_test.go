package brain

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
)

// frontBench is a gatherer as the system's data plane makes it: shards that come, three servers each, the first in its zone.
func frontBench(shards int, t QueryTypeFacts) *bench {
	b := &bench{Gatherer: New(Facts{Seed: 5, Gatherers: 1, Tick: Millisecond, Cells: 1, Reach: 1, MostSubRequests: 2, MayCopy: true,
		HasBudget: true, BudgetEach: true, BudgetFree: 54, BudgetShare: 0.2, BudgetSpan: 10000 * Millisecond, AdviseRetry: 400 * Millisecond,
		TimeoutSeen: true, AtClient: true, Nears: true, OverShareFactor: 1}), at: 1000000}
	b.do(FleetChanged{Shards: shards, Gatherers: 1})
	b.do(TypeChanged{Type: 0, Facts: t})
	var list []Server
	for s := range shards {
		for i := range 3 {
			list = append(list, Server{ID: ServerID(10*s + i + 1), Cell: CellNo(s), Zone: ZoneNo(i), State: Ready})
		}
	}
	b.do(ServerList{ListChanges, list})
	return b
}

var gatheredType = QueryTypeFacts{LatencyTarget: 120 * Millisecond, ClientTimeout: 1200 * Millisecond, LateValue: 0.3, LeastShare: 0.5,
	WholeAt: 1, MostSubRequests: 2, Square: true}

func (b *bench) gather(shards int) (sends []Send, acts []Action) {
	b.next++
	e := SearchArrived{Search: SearchID(b.next), Number: SearchNo(b.next), Patience: 1200 * Millisecond}
	for s := range shards {
		e.Parts = append(e.Parts, Part{ID: PartID(b.next*100 + uint64(s)), Shard: ShardNo(s), Weight: 1 / float64(shards)})
	}
	acts = b.do(e)
	for _, a := range acts {
		if s, ok := a.(Send); ok {
			sends = append(sends, s)
		}
	}
	return sends, acts
}

func hasShed(acts []Action) bool {
	for _, a := range acts {
		if _, ok := a.(Shed); ok {
			return true
		}
	}
	return false
}

func TestNearServersAreAskedWhereTheyAreAsGood(t *testing.T) {
	b := frontBench(4, gatheredType)
	near, all := 0, 0
	for range 200 {
		sends, _ := b.gather(4)
		b.at += 20 * Millisecond
		for _, s := range sends {
			if all++; s.Server%10 == 1 {
				near++
			}
			b.do(SubRequestEnded{Part: s.Part, Server: s.Server, Elapsed: 20 * Millisecond, Outcome: Answered})
		}
	}
	deny(t, near*10 < all*9, "%d of %d parts went to servers of the gatherer's zone while all are idle", near, all)
	// With the near ones busy, the plan holds.
	for s := range 4 {
		b.do(Told{Loads: []Load{{Server: ServerID(10*s + 1), Parts: 50}}})
	}
	sends, _ := b.gather(4)
	for _, s := range sends {
		deny(t, s.Server%10 == 1, "a part went to a near server with fifty parts before it")
	}
}

func TestAShardAllDownIsNotWaitedFor(t *testing.T) {
	b := frontBench(4, gatheredType)
	var lost []Send
	for range 40 {
		sends, acts := b.gather(4)
		deny(t, hasShed(acts), "a search was shed although three of four shards are idle")
		b.at += 20 * Millisecond
		for _, s := range sends {
			if s.Server > 30 {
				lost = append(lost, s)
				b.do(SubRequestEnded{Part: s.Part, Server: s.Server, Elapsed: 20 * Millisecond, Outcome: ConnectFailed})
			} else {
				b.do(SubRequestEnded{Part: s.Part, Server: s.Server, Elapsed: 20 * Millisecond, Outcome: Answered})
			}
		}
	}
	// Now the servers of shard 3 are known to be out: three parts make the answer at once.
	sends, _ := b.gather(4)
	b.at += 20 * Millisecond
	answered := false
	for _, s := range sends {
		if s.Server > 30 {
			continue // a trial
		}
		for _, a := range b.do(SubRequestEnded{Part: s.Part, Server: s.Server, Elapsed: 20 * Millisecond, Outcome: Answered}) {
			if _, ok := a.(Answer); ok {
				answered = true
			}
		}
	}
	deny(t, !answered, "the answer waits for a shard that is all down")
	deny(t, len(lost) > 60, "%d parts were sent to a shard that is all down, by 40 searches", len(lost))
}

func TestEachShardHasItsOwnBudget(t *testing.T) {
	b := frontBench(2, gatheredType)
	b.at += 20000 * Millisecond
	p := &part{q: &search{rules: b.types[0]}, shard: 0, size: 1}
	q := &part{q: p.q, shard: 1, size: 1}
	for range 200 {
		b.budget(0).extra.add(b.at, 1)
	}
	b.now = b.at
	deny(t, b.affords(p, 1), "a shard's spent budget is still there")
	deny(t, !b.affords(q, 1), "another shard's spending took a shard's budget")
	for n := 1; n <= 64; n *= 4 {
		b.do(FleetChanged{Shards: 2, Gatherers: n})
		free := 0.0
		for b.affords(q, 1) {
			b.budget(1).extra.add(b.at, 1)
			free++
		}
		deny(t, free*float64(n) > 54, "%d gatherers may spend %v each", n, free)
		b.at += 30000 * Millisecond
		b.now = b.at
	}
}

func TestAGathererThatStartsAgainHasNoFreeBudgetYet(t *testing.T) {
	f := Facts{Gatherers: 1, Cells: 1, Reach: 1, MostSubRequests: 2, HasBudget: true, BudgetEach: true, BudgetFree: 54, BudgetSpan: 100000,
		BudgetWaits: true, OverShareFactor: 1}
	g := New(f)
	g.Handle(1000, FleetChanged{Shards: 1, Gatherers: 2})
	p := &part{q: &search{}, size: 1}
	deny(t, g.affords(p, 1), "its life before may have spent its part in this window")
	g.now = 1000 + 100001
	deny(t, !g.affords(p, 1), "its part does not come back")
}

func TestWeightedShards(t *testing.T) {
	one := QueryTypeFacts{LatencyTarget: 500 * Millisecond, ClientTimeout: 5000 * Millisecond, LateValue: 0.3, LeastShare: 1, WholeAt: 1, MostSubRequests: 2}
	b := frontBench(3, one)
	got := map[ServerID]int{}
	ask := func() {
		b.next++
		e := SearchArrived{Search: SearchID(b.next), Number: SearchNo(b.next), Patience: 1200 * Millisecond, Parts: []Part{{ID: PartID(b.next), Weight: 1}},
			Among: []Weighted{{0, 3}, {1, 1}, {2, 0}}}
		for _, a := range b.do(e) {
			if s, ok := a.(Send); ok {
				got[s.Server/10]++
				b.at += 20 * Millisecond
				b.do(SubRequestEnded{Part: s.Part, Server: s.Server, Elapsed: 20 * Millisecond, Outcome: Answered})
			}
		}
	}
	for range 400 {
		ask()
	}
	deny(t, got[2] != 0 || got[0] < 250 || got[0] > 350 || got[0]+got[1] != 400, "of 400 with weights 3, 1 and 0 went %v", got)
	b.do(ServerList{ListChanges, []Server{{ID: 1, State: Gone}, {ID: 2, State: Gone}, {ID: 3, State: Gone}}})
	clear(got)
	for range 20 {
		ask()
	}
	deny(t, got[1] != 20, "a service without servers was chosen: %v", got)
}

// A type that changes holds for what comes from then on; what is open keeps what it came with.
func TestATypeThatChanges(t *testing.T) {
	b := frontBench(2, gatheredType)
	sends, _ := b.gather(2)
	open := b.open[SearchID(b.next)]
	next := gatheredType
	next.Effect, next.LatencyTarget = NonIdempotent, 60*Millisecond
	b.do(TypeChanged{Type: 0, Facts: next})
	deny(t, open.rules.effect != Idempotent || len(sends) != 2, "an open search changed its rules")
	b.gather(2)
	deny(t, b.open[SearchID(b.next)].rules.effect != NonIdempotent, "a new search has the old rules")
}

// Past the connections that a gatherer may hold, a server is not asked.
func TestConnectionsBoundWhatIsSent(t *testing.T) {
	b := frontBench(1, gatheredType)
	b.do(ServerList{ListChanges, []Server{{ID: 1, State: Ready, Most: 2}, {ID: 2, State: Gone}, {ID: 3, State: Gone}}})
	for range 6 {
		b.gather(1)
	}
	deny(t, len(b.servers[1].out) > 2, "%d are out at a server that may have 2", len(b.servers[1].out))
}

// overload plays a shard of three servers with three slots each, calm at first and then at twice what they bear: three long
// searches to one brief one.
// It returns, of each type, how many came once it is so and how many were answered in time.
func overload(seconds int) (came, inTime [2]int) {
	b := frontBench(1, gatheredType)
	brief := gatheredType
	brief.LatencyTarget, brief.ClientTimeout = 60*Millisecond, 600*Millisecond
	b.do(TypeChanged{Type: 1, Facts: brief})
	b.do(FleetChanged{Shards: 2, Gatherers: 1})
	idle := ServerList{Kind: ListChanges} // another shard's servers: the in-flight limit is one over all
	for i := range 9 {
		idle.Servers = append(idle.Servers, Server{ID: ServerID(100 + i), Cell: 1, State: Ready})
	}
	b.do(idle)
	type job struct {
		s    Send
		no   SendNo
		typ  QueryType
		sent Time
	}
	type event struct {
		at    Time
		seq   int
		what  Event
		ended *job
	}
	var queue []event
	seq := 0
	push := func(e event) {
		seq++
		e.seq = seq
		i, _ := slices.BinarySearchFunc(queue, e, func(a, b event) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.seq, b.seq)) })
		queue = slices.Insert(queue, i, e)
	}
	busy, waiting := map[ServerID]int{}, map[ServerID][]job{}
	work := [2]Time{20 * Millisecond, 7 * Millisecond}
	start := func(j job) {
		busy[j.s.Server]++
		push(event{at: b.at + work[j.typ], ended: &j})
	}
	began, typeOf := map[SearchID]Time{}, map[PartID]QueryType{}
	tries := map[PartID]SendNo{}
	first := b.at
	calm := first + 3000*Millisecond
	perform := func(acts []Action) {
		for _, a := range acts {
			switch a := a.(type) {
			case Send:
				j := job{a, tries[a.Part], typeOf[a.Part], b.at}
				tries[a.Part]++
				if busy[a.Server] < 3 {
					start(j)
				} else {
					waiting[a.Server] = append(waiting[a.Server], j)
				}
			case Wake:
				push(event{at: a.At, what: TimerFired{a.Timer}})
			case Answer:
				typ := typeOf[PartID(a.Search)]
				if began[a.Search] >= calm && b.at-began[a.Search] <= []Time{120 * Millisecond, 60 * Millisecond}[typ] {
					inTime[typ]++
				}
			}
		}
	}
	r := rand.New(rand.NewPCG(3, 4))
	for at := first; at < calm+Time(seconds)*1000*Millisecond; at += Time(1 + r.IntN(22)) { // about 870 a second
		if at < calm {
			at += Time(r.IntN(40))
		}
		seq++
		id := SearchID(seq)
		typ := QueryType(0)
		if r.IntN(4) == 0 {
			typ = 1
		}
		if at >= calm {
			came[typ]++
		}
		typeOf[PartID(id)] = typ
		push(event{at: at, what: SearchArrived{Search: id, Number: SearchNo(id), Type: typ, Patience: []Time{12000, 6000}[typ],
			Parts: []Part{{ID: PartID(id), Weight: 1}}}})
	}
	for len(queue) > 0 {
		e := queue[0]
		queue = queue[1:]
		b.at = max(b.at, e.at)
		if j := e.ended; j != nil {
			if busy[j.s.Server]--; len(waiting[j.s.Server]) > 0 {
				start(waiting[j.s.Server][0])
				waiting[j.s.Server] = waiting[j.s.Server][1:]
			}
			perform(b.do(SubRequestEnded{Part: j.s.Part, Send: j.no, Server: j.s.Server, Elapsed: b.at - j.sent, Outcome: Answered}))
			continue
		}
		if a, ok := e.what.(SearchArrived); ok {
			began[a.Search] = b.at
		}
		perform(b.do(e.what))
	}
	return came, inTime
}

// At twice the load, what waits is held so short that the brief searches are still answered in time. Held at the long ones'
// own target, the queue refuses the brief ones alone, and serves no more of the long.
func TestALongQueueDoesNotRefuseTheBrief(t *testing.T) {
	came, inTime := overload(8)
	long, brief := float64(inTime[0])/float64(came[0]), float64(inTime[1])/float64(came[1])
	t.Logf("in time: %.2f of %d long, %.2f of %d brief", long, came[0], brief, came[1])
	deny(t, brief < 0.4, "of the brief searches only %.2f are answered in time", brief)
	deny(t, float64(inTime[0])*20+float64(inTime[1])*7 < 0.7*9*8000, "the servers work for %d ms of what is in time", inTime[0]*20+inTime[1]*7)
}

// A near server that is busy is no reason to go elsewhere while the next near one is free; further tries hold to it too.
func TestTheNextNearServerIsTried(t *testing.T) {
	b := frontBench(1, gatheredType)
	var list []Server
	for i := range 6 { // 1, 2 and 3 stand in the gatherer's zone
		list = append(list, Server{ID: ServerID(i + 1), Zone: ZoneNo(i / 3), State: Ready})
	}
	b.do(ServerList{ListChanges, list})
	for range 200 { // all are known to take 20 ms
		sends, _ := b.gather(1)
		b.at += 20 * Millisecond
		for _, s := range sends {
			b.do(SubRequestEnded{Part: s.Part, Server: s.Server, Elapsed: 20 * Millisecond, Outcome: Answered})
		}
	}
	away := 0
	for range 60 {
		b.do(Told{Loads: []Load{{Server: 1, Parts: 20}, {Server: 2, Parts: 20}}})
		sends, _ := b.gather(1)
		b.at += 20 * Millisecond
		for _, s := range sends {
			if s.Server > 3 {
				away++
			}
			b.do(SubRequestEnded{Part: s.Part, Server: s.Server, Elapsed: 20 * Millisecond, Outcome: Answered})
		}
	}
	deny(t, away > 0, "%d of 60 parts went to another zone beside a near server that is free", away)
	q := &search{rules: b.types[0], target: b.at + 100*Millisecond, end: b.at + 1000*Millisecond}
	s, usable := b.pick(&part{q: q, size: 1})
	deny(t, !usable || !s.near, "the earliest replica is sought elsewhere though near ones are as good")
}
