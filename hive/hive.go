// Package hive is the control plane as a library: one core machine, which takes the servers' calls and the operator's,
// agrees with the other core machines on the configuration, and brings all of it to the foragers that ask.
//
// One goroutine, the owner, holds every table of the package and works through a queue of commands; those that speak on
// sockets hand it commands. Decisions are made by swarm (ballots), waggle (reports) and seats.go (who should vote).
package hive

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/emirpasic/gods/v2/queues/circularbuffer"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"oxbowspan/consensus"
	"oxbowspan/dance"
	"oxbowspan/internal/acceptorstore"
	"oxbowspan/internal/boot"
	"oxbowspan/internal/ground"
	"oxbowspan/quorum"
	"oxbowspan/registry"
	"oxbowspan/rendezvous"
)

// Rhythm of the hive's own talk.
const (
	pulseEvery  = 400 * time.Millisecond  // to each other hive
	callLimit   = 800 * time.Millisecond  // for an answer of another hive
	settledFor  = 1500 * time.Millisecond // another hive counts as heard so long after its last word
	tidyEvery   = 400 * time.Millisecond
	newsDelay   = 60 * time.Millisecond // what is not urgent is gathered so long
	foragerLost = 4 * time.Second       // without a question, a forager is held to be gone
	peerLost    = 30 * time.Second      // without a word, a hive that does not vote is forgotten
	resolveWait = 400 * time.Millisecond
)

// Hive is one core machine's process.
type Hive struct {
	set      *boot.Settings
	net      ground.Network
	log      zerolog.Logger
	store    *acceptorstore.Store
	self     consensus.AcceptorID
	proposer consensus.ProposerID
	life     uint64
	address  string
	start    time.Time
	cmds     chan func()
	stopped  chan struct{}
	killed   chan struct{}
	turn     chan struct{} // holds one token: this hive's rounds go one at a time
	wg       sync.WaitGroup
	vote     atomic.Pointer[consensus.Value] // on the disk; written before the vote is told; nil = none
	voteTurn atomic.Uint64                   // of the vote on the disk; written before the vote is told

	// The owner's.
	known     *consensus.Value         // decided, or what a round may start from
	confirmed bool                     // known was decided
	ledger    consensus.History        // of decided values; bounded by itself
	ballot    uint64                   // the highest number seen
	notesAt   map[string]noteAt        // since when each note's version is known here; as many as there are notes
	decision  consensus.Decision       // known, and at which ballots it was decided
	copy      consensus.Replica        // what this machine's disk holds
	late      consensus.RepairSchedule // when this machine's own copy is to be completed
	repair    consensus.RepairSchedule // when a round is owed for copies that lack
	contact   *quorum.Contact
	touching  bool // in contact, when last looked
	verify    verifications
	voted     consensus.Slot // the newest turn that this acceptor voted for
	votedAt   time.Duration
	table     *registry.Table
	foragers  map[uint64]*forager          // emptied of those not heard for a while
	crowd     uint64                       // number of the list of foragers
	names     uint64                       // of the last forager that there was something to tell the other hives of
	peers     map[string]*peer             // emptied of those unheard that do not vote
	waiters   map[*waiter]bool             // emptied by answers
	spreads   []*spread                    // emptied by acks and time
	events    *circularbuffer.Queue[event] // the newest keptEvents
	eventNo   uint64
	noted     registry.Cursor   // up to which servers' changes were noted as events,
	servers   map[string]string // with what each was then; kept to those of the table
	newsAt    time.Duration     // when waiters are to be told; 0 = nothing to tell
	tidyAt    time.Duration
	trying    bool // a round to resolve or to join is on its way
	tryAt     time.Duration
	leaving   bool
	hintedAt  time.Duration
	hinted    registry.Cursor // up to which the reports are on the disk, as hints
	hinting   bool
}

type forager struct {
	life    uint64
	address string
	zone    string
	heardAt time.Duration
	told    bool   // heard by this hive itself
	no      uint64 // in the order in which this hive had something to tell the others of
	figures *dance.Figures
	turn    uint64        // that it has in force, of one that asks here
	askedAt time.Duration // when it last did
	given   int           // bytes of the version that this hive last gave it,
	givenAt time.Duration // and when
}

type noteAt struct {
	version consensus.Version
	at      time.Duration
}

// here tells whether a forager asks this hive, of late.
func (f *forager) here(now time.Duration) bool { return f.askedAt > 0 && now-f.askedAt < foragerLost/2 }

// spread waits until a report is held by enough of the core.
type spread struct {
	cursor registry.Cursor
	done   chan struct{}
	until  time.Duration
}

// waiter is a forager's held question.
type waiter struct {
	conn  *dance.Conn
	id    uint64
	ask   *dance.Ask
	until time.Duration

	verifying bool // until a majority has answered what it was asked after the question came
}

// New opens the state and makes a hive that does nothing yet.
func New(set *boot.Settings, on ground.Network, log zerolog.Logger) (*Hive, error) {
	genesis, self := seats(set)
	if !set.FirstStart {
		self = 0
	}
	store, aside, err := acceptorstore.Open(set.DataDirectory, self)
	if err != nil {
		return nil, err
	}
	if aside != "" {
		log.Warn().Str("file", aside).Msg("state: damaged file set aside, coming back as a stranger")
	}
	state := store.State()
	h := &Hive{set: set, net: on, log: log, store: store, self: state.ID, proposer: consensus.ProposerID(acceptorstore.NewAcceptorID()), life: uint64(acceptorstore.NewAcceptorID()),
		address: set.Internal(boot.HivePort), start: time.Now(), cmds: make(chan func(), 1024), stopped: make(chan struct{}), killed: make(chan struct{}),
		turn: make(chan struct{}, 1), known: consensus.Genesis(genesis), table: registry.NewTable(set.Beat()),
		foragers: map[uint64]*forager{}, peers: map[string]*peer{}, waiters: map[*waiter]bool{}, servers: map[string]string{}, events: circularbuffer.New[event](keptEvents), notesAt: map[string]noteAt{}, ballot: state.Promised.Number, contact: quorum.NewContact()}
	if v := state.Value; v != nil {
		// Whether it was decided is not known.
		h.voted, h.known = v.Slot, consensus.RecoveryBase(v)
		h.voteTurn.Store(uint64(v.Slot))
		h.vote.Store(v)
	}
	h.copy, h.decision = state.Replica(), consensus.Decision{Value: h.known}
	h.late, h.repair = consensus.RepairSchedule{Delay: lateWait}, consensus.RepairSchedule{Delay: repairWait}
	h.turn <- struct{}{}
	h.recall(store.Hints())
	return h, nil
}

// seats are the first acceptors, and this machine's identity among them, 0 = none. At the first start every process is
// told the same seeds, so that all name the same set.
func seats(set *boot.Settings) (members []consensus.Member, self consensus.AcceptorID) {
	for i, a := range set.SeedHives() {
		id := genesisID(set.SeedAddresses[i])
		members = append(members, consensus.Member{ID: id, Address: a})
		if set.SeedAddresses[i] == set.Listen.Control {
			self = id
		}
	}
	return members, self
}

// now is the steady clock.
func (h *Hive) now() time.Duration { return time.Since(h.start) }

// do hands the owner a command. It tells whether the owner still works.
func (h *Hive) do(f func()) bool {
	select {
	case h.cmds <- f:
		return true
	case <-h.stopped:
		return false
	}
}

// ask hands the owner a command and waits for its end. A caller that the stop releases does not wait for the command, which
// may still run: it must write nothing that the caller reads. What has an answer is asked by inquire.
func (h *Hive) ask(f func()) bool {
	_, done := inquire(h, func() struct{} { f(); return struct{}{} })
	return done
}

// inquire hands the owner a question and waits for its answer. The answer travels through a channel: a caller that the stop
// releases shares no variable with a question that still runs. It tells whether there was an answer.
func inquire[T any](h *Hive, question func() T) (answer T, ok bool) {
	answers := make(chan T, 1) // the owner waits for no caller
	if !h.do(func() { answers <- question() }) {
		return answer, false
	}
	select {
	case answer = <-answers:
		return answer, true
	case <-h.stopped:
		return answer, false
	}
}

// Run serves until the context is done.
func (h *Hive) Run(ctx context.Context) error {
	control, err := h.net.Listen(h.set.Listen.Control)
	if err != nil {
		return eris.Errorf("the control address can't be listened on: %v", err)
	}
	inner, err := h.net.Listen(h.address)
	if err != nil {
		control.Close()
		return eris.Errorf("the internal address can't be listened on: %v", err)
	}
	talk := &dance.Server{Handle: h.heard, Left: func(c *dance.Conn) { h.do(func() { h.leftBy(c) }) }}
	web := &http.Server{Handler: h.calls(), ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 30 * time.Second}
	h.wg.Go(func() { talk.Serve(inner) })
	h.wg.Go(func() { web.Serve(control) })
	h.wg.Go(h.own)
	h.do(func() {
		for _, a := range h.set.SeedHives() {
			h.meet(a)
		}
		h.tidyAt = h.now() + time.Duration(rand.Int64N(int64(60*time.Millisecond))) // who begins is left to chance
		h.log.Info().Uint64("identity", uint64(h.self)).Uint64("turn", uint64(h.voted)).Msg("hive: started")
	})
	select {
	case <-ctx.Done():
		h.log.Info().Msg("hive: leaving")
		h.leave()
		end, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		control.Close()
		web.Shutdown(end)
	case <-h.killed:
	}
	web.Close()
	inner.Close()
	close(h.stopped)
	h.wg.Wait()
	return h.store.Close()
}

// Kill has Run return at once, in no order, as a kill of the process would. It must be called once at most.
func (h *Hive) Kill() { close(h.killed) }

// HoldDisk has the disk answer nothing for a time, as one that stalls. For tests and the emulator.
func (h *Hive) HoldDisk(d time.Duration) {
	h.store.Update(func(s consensus.AcceptorState) consensus.AcceptorState { time.Sleep(d); return s }, func(consensus.AcceptorState, error) {})
}

// Freeze has the owner stand still for a time, as in a process that is frozen: what comes meanwhile is worked on afterwards.
// With clock, the steady clock stands still as long, as on a machine that is suspended. For tests.
func (h *Hive) Freeze(d time.Duration, clock bool) {
	h.do(func() {
		select {
		case <-time.After(d):
		case <-h.stopped:
		}
		if clock {
			h.start = h.start.Add(d)
		}
	})
}

// Agreed is the newest turn and version that this hive knows to be agreed.
func (h *Hive) Agreed() (turn consensus.Slot, version consensus.Version) {
	known, _ := inquire(h, func() *consensus.Value {
		if !h.confirmed {
			return &consensus.Value{}
		}
		return h.known
	})
	if known == nil {
		return 0, 0
	}
	return known.Slot, known.Version
}

// own is the owner: it works through the queue of commands.
func (h *Hive) own() {
	timer := time.NewTimer(tidyEvery)
	defer timer.Stop()
	for {
		select {
		case f := <-h.cmds:
			f()
		case <-timer.C:
		case <-h.stopped:
			for _, p := range h.peers {
				p.end()
			}
			return
		}
		for range len(h.cmds) {
			(<-h.cmds)()
		}
		next := h.turnTo(h.now())
		timer.Reset(max(next-h.now(), time.Millisecond))
	}
}

// turnTo does what is due and returns when the next thing is.
func (h *Hive) turnTo(now time.Duration) time.Duration {
	if now >= h.tidyAt {
		h.tidyAt = now + tidyEvery
		h.tidy(now)
	}
	next := min(h.tidyAt, h.watchContact(now), h.watchVerifications(now))
	if h.newsAt != 0 {
		if now >= h.newsAt {
			h.newsAt = 0
			h.tell(now)
		} else {
			next = min(next, h.newsAt)
		}
	}
	for w := range h.waiters {
		if now >= w.until {
			h.answer(w, now)
		} else {
			next = min(next, w.until)
		}
	}
	return next
}

// tidy forgets what is over and starts the rounds that this hive owes.
func (h *Hive) tidy(now time.Duration) {
	if h.table.Expire(now) {
		h.news(false)
	}
	h.noteReports(now)
	for life, f := range h.foragers {
		if now-f.heardAt > foragerLost {
			h.note("node", "gatherer "+f.address+" is not heard any more")
			delete(h.foragers, life)
			h.crowd++
			h.news(false)
		}
	}
	// Foragers are told whom they may ask: also when no forager has come or gone.
	for _, p := range h.peers {
		if heard := p.heardAt > 0 && now-p.heardAt < settledFor; heard != p.listed {
			p.listed = heard
			h.note("hive", "hive "+p.address+map[bool]string{true: " is heard", false: " is not heard any more"}[heard])
			h.crowd++
			h.news(false)
		}
	}
	for a, p := range h.peers {
		if now-p.heardAt > peerLost && !h.seat(a) && !h.seed(a) {
			delete(h.peers, a)
			p.end()
		}
	}
	kept := h.spreads[:0]
	for _, s := range h.spreads {
		if now < s.until {
			kept = append(kept, s)
		}
	}
	h.spreads = kept
	h.contact.Forget(now - 2*contactFor)
	h.owe(now)
	h.keepHints(now)
}

// hintsEvery is how often changed reports are put on the disk at most.
const hintsEvery = 2 * time.Second

// keepHints puts the servers that are known on the disk, so that a core whose every machine lost power knows them before
// they have called again. What is there may be old: a server that does not call is soon silent again.
func (h *Hive) keepHints(now time.Duration) {
	upTo := h.table.Cursor()
	if h.hinting || now-h.hintedAt < hintsEvery || len(h.table.ChangesAfter(h.hinted)) == 0 {
		return
	}
	m := &dance.Pulse{}
	for _, r := range h.table.ChangesAfter(0) {
		m.Reports = append(m.Reports, fromReport(r, now))
	}
	text, err := proto.Marshal(m)
	if err != nil {
		return
	}
	h.hintedAt = now
	h.hinting = h.store.SaveHints(text, func(err error) {
		go h.do(func() {
			if h.hinting = false; err == nil {
				h.hinted = upTo
			}
		})
	})
}

func (h *Hive) recall(hints []byte) {
	m := &dance.Pulse{}
	if len(hints) == 0 || proto.Unmarshal(hints, m) != nil {
		return
	}
	for _, r := range m.Reports {
		r.AgeMs = 0 // how long ago that was nobody knows
		h.table.Merge(toReport(r, h.now()), "disk")
	}
}

// news has the waiters told, at once or soon.
func (h *Hive) news(urgent bool) {
	at := h.now()
	if !urgent {
		at += newsDelay
	}
	if h.newsAt == 0 || at < h.newsAt {
		h.newsAt = max(at, 1)
	}
}

// tell answers the waiters for whom there is news.
func (h *Hive) tell(now time.Duration) {
	for w := range h.waiters {
		switch {
		case w.verifying:
		case h.hasNews(w.ask, now):
			h.answer(w, now)
		default:
			h.rouse(w.ask)
		}
	}
}

func (h *Hive) hasNews(a *dance.Ask, now time.Duration) bool {
	return h.hasVersion(a) && now >= h.versionAt(a) || a.HiveLife != h.life || a.Crowd != h.crowd ||
		len(h.table.ChangesAfter(registry.Cursor(a.Cursor))) > 0
}

func (h *Hive) answer(w *waiter, now time.Duration) {
	delete(h.waiters, w)
	a := w.ask
	n := &dance.News{HiveLife: h.life, Cursor: uint64(h.table.Cursor()), Settled: h.confirmed && !w.verifying && h.inContact(now), Turn: a.Turn,
		Warm: now > 3*h.set.Beat(), Crowd: h.crowd}
	if h.hasVersion(a) && now >= h.versionAt(a) {
		h.gave(a, len(h.known.Body), now)
		n.Turn, n.Version, n.HasConfig, n.Config = uint64(h.known.Slot), uint64(h.known.Version), h.known.Digest != "", h.known.Body
		for _, note := range h.known.Documents {
			m := dance.FromNote(note)
			m.Past, m.AgeMs = nil, uint32((now-h.notesAt[note.Name].at)/time.Millisecond)
			n.Notes = append(n.Notes, m)
		}
	}
	after := registry.Cursor(a.Cursor)
	if a.HiveLife != h.life {
		n.Whole, after = true, 0
	}
	for _, r := range h.table.ChangesAfter(after) {
		n.Reports = append(n.Reports, fromReport(r, now))
	}
	if a.Crowd != h.crowd || n.Whole {
		n.HasForagers = true
		for _, f := range h.foragers {
			n.Foragers = append(n.Foragers, &dance.Forager{Life: f.life, Address: f.address, Zone: f.zone})
		}
		n.Hives = append(n.Hives, h.me())
		for _, p := range h.peers {
			if p.heardAt > 0 && now-p.heardAt < settledFor {
				n.Hives = append(n.Hives, p.tells(now, h.seat(p.address)))
			}
		}
	}
	// The owner waits for no peer: one that does not read holds up its own answer only, until its connection is closed.
	go w.conn.Answer(w.id, &dance.Frame{Body: &dance.Frame_News{News: n}})
}

// leftBy drops the questions of a connection that has ended.
func (h *Hive) leftBy(c *dance.Conn) {
	for w := range h.waiters {
		if w.conn == c {
			delete(h.waiters, w)
		}
	}
}

// heard takes a frame of another process, in the goroutine of its connection.
func (h *Hive) heard(c *dance.Conn, f *dance.Frame) {
	switch b := f.Body.(type) {
	case *dance.Frame_Prepare:
		h.prepare(b.Prepare, func(p *dance.Promise) { c.Answer(f.Id, &dance.Frame{Body: &dance.Frame_Promise{Promise: p}}) })
	case *dance.Frame_Accept:
		h.accept(b.Accept, func(a *dance.Accepted) { c.Answer(f.Id, &dance.Frame{Body: &dance.Frame_Accepted{Accepted: a}}) })
	case *dance.Frame_Pulse:
		back, ok := inquire(h, func() *dance.PulseBack { return h.pulsed(b.Pulse, h.now()) })
		if ok {
			c.Answer(f.Id, &dance.Frame{Body: &dance.Frame_PulseBack{PulseBack: back}})
		}
	case *dance.Frame_Ask:
		h.do(func() { h.asked(c, f.Id, b.Ask, h.now()) })
	}
}

// asked takes a forager's question.
func (h *Hive) asked(c *dance.Conn, id uint64, a *dance.Ask, now time.Duration) {
	if f := a.From; f != nil && f.Life != 0 {
		h.foragerHeard(f, now, true)
		if known := h.foragers[f.Life]; known != nil {
			known.figures, known.turn, known.askedAt = a.Figures, a.Turn, now
		}
	}
	for _, r := range a.Known {
		in := toReport(r, now)
		if h.table.ConfirmHealthy(in.Instance, in.Lease, in.HealthyAt) {
			h.news(false)
		}
	}
	w := &waiter{conn: c, id: id, ask: a, until: now + time.Duration(a.HoldMs)*time.Millisecond}
	h.waiters[w] = true
	switch {
	case a.HiveLife != h.life && h.confirmed && h.inContact(now):
		w.verifying, w.until = true, now+2*verifyLimit
		h.verifyContact(now, func(verified bool) {
			if h.waiters[w] {
				w.verifying = !verified
				h.answer(w, h.now())
			}
		})
	case h.hasNews(a, now) || a.HoldMs == 0:
		h.answer(w, now)
	default:
		h.rouse(a)
	}
}

// foragerHeard notes that a forager lives. One life at an address ends those before it.
func (h *Hive) foragerHeard(f *dance.Forager, at time.Duration, told bool) {
	if f.Left {
		if h.foragers[f.Life] != nil {
			h.note("node", "gatherer "+h.foragers[f.Life].address+" leaves")
			delete(h.foragers, f.Life)
			h.crowd++
			h.news(false)
		}
		return
	}
	if old := h.foragers[f.Life]; old != nil {
		if old.heardAt = max(old.heardAt, at); told && !old.told {
			h.names++ // from now on this hive tells the others of it, whole at first
			old.told, old.no = true, h.names
		}
		return
	}
	if f.Address == "" {
		return // one that is not known, named by its life alone: it will be told whole
	}
	if h.now()-at > foragerLost/2 && !told {
		return // old news of one that may have been forgotten
	}
	for life, o := range h.foragers {
		if o.address == f.Address {
			if o.heardAt > at {
				return
			}
			delete(h.foragers, life)
		}
	}
	h.note("node", "gatherer "+f.Address+" in "+f.Zone+" comes")
	h.crowd++
	h.names++
	h.foragers[f.Life] = &forager{life: f.Life, address: f.Address, zone: f.Zone, heardAt: at, told: told, no: h.names}
	h.news(false)
}

func fromReport(r *registry.Record, now time.Duration) *dance.Report {
	return &dance.Report{Instance: string(r.Instance), Service: string(r.Service), Address: r.Address, Zone: r.Zone, Version: r.Version,
		Slots: uint32(r.Slots), State: uint32(r.State), ColdMs: uint32(max(r.SlowStartEndsAt-now, 0) / time.Millisecond),
		Sequence: uint64(r.Sequence), AgeMs: uint32(max(now-r.HeartbeatAt, 0) / time.Millisecond), Silent: r.Unresponsive, Unheard: r.HeartbeatMissed,
		WitnessAgeMs: uint32(max(now-r.HealthyAt, 0) / time.Millisecond), Fence: r.Lease.FencingToken, Holder: r.Lease.Holder}
}

func toReport(r *dance.Report, now time.Duration) registry.Record {
	return registry.Record{Instance: registry.InstanceID(r.Instance), Service: registry.ServiceID(r.Service), Address: r.Address, Zone: r.Zone,
		Version: r.Version, Slots: int(r.Slots), State: registry.State(min(r.State, uint32(registry.Deregistered))),
		HeartbeatOnly: r.Refresh, Unresponsive: r.Silent, HeartbeatMissed: r.Unheard, SlowStartEndsAt: now + time.Duration(r.ColdMs)*time.Millisecond, Sequence: registry.Sequence(r.Sequence),
		HeartbeatAt: now - time.Duration(r.AgeMs)*time.Millisecond, HealthyAt: now - time.Duration(r.WitnessAgeMs)*time.Millisecond,
		Lease: rendezvous.Lease{FencingToken: r.Fence, Holder: r.Holder}}
}
