package brain

// What a gatherer keeps: tables, records and their bookkeeping. Nothing is decided here.

import (
	"cmp"
	"slices"
)

// Gatherer holds all that one gatherer knows.
type Gatherer struct {
	types              []*typeRules
	customers          []customer
	cells, reach, most int  // most: sub-requests for one part
	margin, pause      Time // what must be done by a moment is done so much earlier; a server's first time out
	advise, listPause  Time // longest advice to a client, 0 = none; longest pause between calls for the list

	mayCancel, mayCopy, onRequest bool // onRequest: the list must be asked for
	marked                        bool // clients mark their repeats
	besides                       bool // trials go out beside a part's own sub-request
	gates                         bool // a probe goes before each trial, as a search depends on it

	coldFor, fallWithin     Time
	coldShare, coldMultiple float64
	free, perItem           float64 // budget of further sub-requests, per search or part
	freeAll, fleetMost      float64 // of all gatherers, 0 = free is stated; and the most gatherers of late
	waits, span, shrinkAt   Time    // nothing is free before waits; fewer gatherers count at shrinkAt
	travel                  Time
	timeoutSeen, nears      bool
	learns                  float64 // 0, or milliseconds in a Time: sizes of parts are learned by type
	near                    ZoneNo
	shares                  Shares  // nil = none
	callCost                float64 // in each size, as nearly every part is a call of its own

	now     Time
	acts    []Action
	rand    mwc
	servers map[ServerID]*server // emptied by the list: gone, nothing out or just sent
	ready   []*server            // those listed as ready, in order of cells and ids, as in holders
	holders [][]*server          // of each shard; both kept by the list
	open    map[SearchID]*search // emptied by the final answer or the client's leaving
	numbers map[SearchNo]*search // as open
	out     map[PartID]*part     // parts in flight; emptied by outcomes: each sub-request gets one
	nextAsk Time                 // the list timer's next pause, and whether it is set
	asking  bool
	zones   map[ZoneNo]*zone    // as many as the settings name
	planned map[*server]float64 // sizes within the plan being drawn; emptied by the next

	average                float64   // latency per unit size, over the ready servers heard from; 0 = none
	borne                  float64   // sizes sent to a warm server within fallWithin, when last there was one
	size, queued, success  float64   // smoothed: size of a part, reported queues, further ones that answered
	present, short         float64   // median latency per unit size over all answers: of late, shortest; 0 = none
	learned, widest, stuck int       // answers that taught these; most parts of a search; parts at silent servers
	limit, gatherers       float64   // limit: of parts in flight
	budgets                []*budget // of each shard, or one of all
	reaped                 float64   // smoothed share of rested connections that were dead
	reapedAt               Time
}

// New makes a gatherer that knows nothing yet but its facts.
func New(f Facts) *Gatherer {
	g := &Gatherer{cells: f.Cells, reach: min(f.Reach, f.Cells), holders: make([][]*server, f.Shards),
		most: f.MostSubRequests, margin: max(2*f.Tick, 4*Millisecond), advise: f.AdviseRetry,
		listPause: max(f.AskWithin/2, firstPause), mayCancel: f.MayCancel, mayCopy: f.MayCopy,
		onRequest: f.ListOnRequest, marked: f.RepeatsMarked, coldFor: f.ColdFor, fallWithin: f.FallWithin,
		coldShare: f.ColdShare, coldMultiple: coldSafety * max(f.FallMultiple, 1), callCost: f.CallCost,
		free: f.BudgetFree, perItem: f.BudgetShare,
		rand: newMWC(f.Seed), servers: map[ServerID]*server{}, open: map[SearchID]*search{},
		numbers: map[SearchNo]*search{}, out: map[PartID]*part{}, planned: map[*server]float64{},
		zones:   map[ZoneNo]*zone{},
		nextAsk: firstPause, pause: firstPause, size: 1, success: 1, gatherers: float64(max(f.Gatherers, 1))}
	g.nears, g.near, g.shares = f.Nears, f.Zone, f.Shares
	g.span, g.timeoutSeen = f.BudgetSpan, f.TimeoutSeen
	if f.TimeoutSeen {
		g.learns = 1 / float64(Millisecond)
	}
	if f.AtClient {
		g.travel = clientAway
	}
	if !f.HasBudget {
		g.free, g.perItem, g.span = float64(g.most), resendShare, 10*shareSpan
	}
	if f.BudgetEach {
		g.freeAll, g.fleetMost = g.free, g.gatherers
	} else {
		g.budgets = []*budget{g.newBudget()}
	}
	if f.BudgetWaits {
		g.waits = never // until the first event
	}
	for i, t := range f.QueryTypes {
		g.setType(QueryType(i), t)
		g.besides = g.besides || f.MayCopy && f.MayCancel && f.MostSubRequests > 1 && t.Effect == Idempotent
	}
	g.besides = g.besides || f.MayCopy && f.BudgetEach
	g.gates = f.MayProbe && !g.besides
	spans := float64(shareSpan) / float64(1000*Millisecond) / g.gatherers
	all := customer{0, newTally(shareSpan)} // the last one stands for all of them
	for _, c := range f.Customers {
		if f.OverShareFactor < 1 {
			g.customers = append(g.customers, customer{c.SharePerSecond * spans, newTally(shareSpan)})
			all.perSpan += c.SharePerSecond * spans
		}
	}
	g.customers = append(g.customers, all)
	return g
}

// typeRules are the figures of one query type that decisions use.
type typeRules struct {
	effect                  Effect
	target, timeout, window Time
	least, whole            float64
	lateCounts, shortCounts bool // a late answer counts; a short one in time counts as much as a late one
	square                  bool // a short answer's value is the square of its share
	second                  bool // a second step follows the first answer
	most                    int
	size                    float64 // what a part of it takes by itself, in milliseconds, as learned; 0 = not learned
	shortAt                 float64 // share that is worth answering short at the target
	patience                Time    // the longest of a first try, seen so far
	gaveUpAt                Time    // when one was last given up
}

type server struct {
	id               ServerID
	near             bool // it stands in this gatherer's zone
	most             int  // 0 = no limit
	cell             CellNo
	zone             *zone
	state            ServerState
	upSince          Time // when it last started, as listed; 0 = long ago
	heardAt          Time
	took, size       float64       // smoothed latency, and the sizes that took it: its own and what stood before
	rate             float64       // the one over the other: small parts must not weigh like large ones
	queue            float64       // parts it last reported,
	toldAt, taughtAt Time          // when it reported, and when the rate was learned
	lostAt           Time          // when what was sent on a rested connection was lost; 0 = answers came since
	out              []*subRequest // in order of sending; emptied by outcomes
	backlog          float64       // their sizes
	sent             tally         // sizes sent
	failing          float64       // smoothed share of failures
	outUntil, pause  Time          // taken out until then, and the next time out
	held             bool          // all gatherers together keep from it
	factor           float64       // and predict it so many times slower; 0 = as it is
	trial            bool          // one part at a time until it answers
	probing          bool          // a probe is out
	probedAt         Time          // when one was last answered
	lot              float64       // for its cold allowance, from 0 to 1
	lotUntil         Time          // then it is drawn anew
}

type search struct {
	id            SearchID
	number        SearchNo
	typ           QueryType
	rules         *typeRules
	parts         []*part // of the present step
	second, whole bool    // the second step is on; the first step's answer was whole
	target, end   Time    // when it should be answered, and when it is given up
	lookAt        Time    // of the pending timer; 0 = none
}

type part struct {
	q            *search
	id           PartID
	shard        ShardNo
	weight, size float64
	tries        []*subRequest
	flying       int  // tries that have not ended
	done         bool // its answer is in
	skip         bool // given up from the start: its shard is down or overrun, and the others are enough
}

type subRequest struct {
	p                        *part
	s                        *server
	sentAt, predicted, due   Time    // due: the age at which it is overdue
	ahead                    float64 // sizes unfinished there, as known, when it was sent
	further, ended, neverRan bool
	rested                   bool // on a connection that had carried nothing for a while
	trial                    bool // beside the part's own, to see whether its server answers
}

type placing struct { // one part's place in a plan and its predicted finish, from now
	p      *part
	s      *server // nil = no replica can be used
	tried  *server // on trial, to be sent the part too; nil = none
	finish Time
}

// zone is what the servers of one zone show together: one that is lost or cut off takes them all along, and a
// gatherer that sees a search a second would find them out one by one.
type zone struct {
	failing  float64 // smoothed share of hard failures
	failedAt Time
}

type customer struct {
	perSpan float64 // this gatherer's part of the customer's share in shareSpan; 0 = no limit
	took    tally   // its searches that were not shed
}

// budget is what a shard's further sub-requests are paid from. It is emptied by time.
type budget struct {
	extra, taken tally // further sub-requests; searches and parts
	brief        Time  // the shortest latency target of those that were for this shard,
	briefUntil   Time  // until then
}

func (g *Gatherer) newBudget() *budget {
	return &budget{extra: newTally(g.span), taken: newTally(g.span)}
}

// took notes a search or part with its latency target and returns the shortest of those noted of late.
func (b *budget) took(target, now, until Time) Time {
	b.taken.add(now, 1)
	if target <= b.brief || now >= b.briefUntil {
		b.brief, b.briefUntil = target, until
	}
	return b.brief
}

func (g *Gatherer) budget(at ShardNo) *budget {
	if g.freeAll == 0 {
		return g.budgets[0]
	}
	return g.budgets[at]
}

// Learned tells what a later run may recall.
func (g *Gatherer) Learned() (out []Learned) {
	for _, s := range g.ready {
		if s.rate > 0 || s.failing > 0 {
			out = append(out, Learned{s.id, s.upSince, s.took, s.size, s.taughtAt, s.outUntil, s.failing})
		}
	}
	return out
}

// Load is the parts in flight over their limit.
func (g *Gatherer) Load() float64 { return g.busy() / max(g.limit, 1) }

// seat changes a server's state and its place among the ready ones and the holders, at the cost of its entry.
func (g *Gatherer) seat(s *server, state ServerState) {
	if (s.state == Ready) != (state == Ready) {
		seats := []*[]*server{&g.ready}
		for j := range g.reach {
			shard := ((int(s.cell)-j)%g.cells + g.cells) % g.cells
			for ; shard < len(g.holders); shard += g.cells {
				seats = append(seats, &g.holders[shard])
			}
		}
		for _, all := range seats {
			at, _ := slices.BinarySearchFunc(*all, s, func(a, b *server) int {
				return cmp.Or(cmp.Compare(a.cell, b.cell), cmp.Compare(a.id, b.id))
			})
			if state == Ready {
				*all = slices.Insert(*all, at, s)
			} else {
				*all = slices.Delete(*all, at, at+1)
			}
		}
	}
	s.state = state
}

// judged takes what all gatherers together hold of servers.
func (g *Gatherer) judged(all []Judgement) {
	for _, j := range all {
		if s := g.servers[j.ID]; s != nil {
			if s.held, s.factor = j.Held, j.Factor; j.Back { // another's trial was this one's
				s.trial, s.outUntil = false, min(s.outUntil, g.now)
			}
		}
	}
}

// Compare is a server's time per unit of size, as learned, and that of the others of its shard; 0 = not known.
func (g *Gatherer) Compare(id ServerID) (unit, fellows float64) {
	s := g.servers[id]
	if s == nil || s.rate == 0 || int(s.cell) >= len(g.holders) {
		return 0, 0
	}
	speed, n := 0.0, 0.0
	for _, o := range g.holders[s.cell] {
		if o != s && o.rate > 0 {
			speed, n = speed+1/o.rate, n+1
		}
	}
	if n == 0 {
		return s.rate, 0
	}
	return s.rate, n / speed
}

// muteDues is how many times overdue what is out must be, beside the design's gap, before a server is told to be silent: behind others it
// waits for its turn.
const muteDues = 3

// Mute tells whether a server has been silent for long.
func (g *Gatherer) Mute(id ServerID) bool {
	s := g.servers[id]
	return s != nil && len(s.out) > 0 && g.now-max(s.out[0].sentAt, s.heardAt) > muteDues*s.out[0].due+gap
}

// vacant tells whether what bounds the parts at a server leaves room for one more.
func (g *Gatherer) vacant(s *server, p *part) bool {
	room := g.shares == nil || g.shares.Room(s.id, p.q.typ, g.now) // asked in any case: who is refused is remembered there
	return room && (s.most == 0 || len(s.out) < s.most)
}

// press is how much of the in-flight limit a search may fill.
func (g *Gatherer) press(q *search) float64 {
	if g.shares == nil {
		return 1
	}
	return g.shares.Press(q.typ, g.now)
}

// waitFor is what is told of the wait of a part that no server has room for; never = nothing is.
func (g *Gatherer) waitFor(p *part) Time {
	if g.shares == nil || len(g.holders[p.shard]) == 0 {
		return never
	}
	return g.shares.Wait(p.shard, p.q.typ, g.now)
}

func (g *Gatherer) close(q *search) {
	delete(g.open, q.id)
	delete(g.numbers, q.number)
	g.cancel(q.parts...)
}

func (g *Gatherer) look(q *search, at Time) {
	if at = max(at, g.now+1); q.lookAt != 0 && q.lookAt <= at {
		return
	}
	q.lookAt = at
	g.do(Wake{at, TimerID(q.number)})
}

func (g *Gatherer) fired(t TimerID) {
	if t == listTimer {
		g.asking = false
		g.do(Subscribe{})
	} else if q := g.numbers[SearchNo(t)]; q != nil && q.lookAt <= g.now {
		q.lookAt = 0
		g.review(q)
	}
}
