// Package raftnode joins a gatherer to its fleet: the few that are stewards keep the log (package agree) on their disks and speak to
// each other; every gatherer holds a lease there, and asks before it goes out. It owns the fleet's listener, the steward's actor, its
// store and the goroutines that send for it. It decides nothing about who may be out: package fleet does.
package raftnode

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"os/exec"
	"slices"
	"strconv"
	"sync"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"oxbowspan/internal/keyring"
	"oxbowspan/maintenance"
	"oxbowspan/raftlog"
)

// Options are what the operator's file says of the fleet.
type Options struct {
	Name         string // this gatherer's
	Zone         string
	Version      string
	Listen       string  // the fleet's own address here; "" = this one keeps no log
	Voters       []Voter // all of them, in the order that every gatherer's file has
	Keys         *keyring.Ring
	Path         string        // of the log; only of a steward
	DrainTimeout time.Duration // an end waits so long for a permit
	Hook         string        // a command that carries out a release's change; "" = there are none
	Limits       maintenance.Limits
}

// Voter is a steward's name and where it listens for the fleet.
type Voter struct{ Name, Addr string }

func (f Options) voterID() raftlog.ID {
	for i, s := range f.Voters {
		if s.Name == f.Name {
			return raftlog.ID(i + 1)
		}
	}
	return 0
}

const (
	tickInterval    = 100 * time.Millisecond
	ticksPerAdvance = 5 // ticks after which a leader lets time pass in the machine
	mailboxSize     = 4096
	outboxSize      = 256 // messages waiting for another steward; past it they are lost, as on a wire
	sendTimeout     = time.Second
)

// Node is one that keeps the log.
type Node struct {
	options   Options
	id        raftlog.ID
	log       *raftlog.Node // the actor's alone
	storage   *logStorage
	mailbox   chan any
	outboxes  map[raftlog.ID]chan []byte
	listener  net.Listener
	server    *http.Server
	sequence  sequence
	startedAt time.Time
	ctx       context.Context
	cancel    context.CancelFunc
	tasks     sync.WaitGroup
	ordersRun map[orderKey]bool // orders given to the hook in this lead; emptied of those that are orders no more, and when the lead ends

	mu            sync.Mutex
	replays       *maintenance.ReplayFilter
	lastRejection time.Time // when a stranger was last logged
}

// orderKey tells one order from another: one command may begin the changes of several members, which bear its epoch alike.
type orderKey struct {
	name  maintenance.MemberName
	epoch maintenance.Epoch
}

type (
	pendingRequest struct {
		request
		reply chan response
	}
	hookResult struct {
		order maintenance.Order
		err   error
	}
)

// Start begins to keep the log. found says that the fleet is founded: it begins without one.
func Start(f Options, found bool) (*Node, error) {
	s := &Node{options: f, id: f.voterID(), mailbox: make(chan any, mailboxSize), outboxes: map[raftlog.ID]chan []byte{}, startedAt: time.Now(),
		ordersRun: map[orderKey]bool{}}
	s.replays = maintenance.NewReplayFilter(uint64(s.startedAt.UnixNano()), maxSenders)
	var err error
	if s.storage, err = openStorage(f.Path); err != nil {
		return nil, err
	}
	var ids []raftlog.ID
	for i := range f.Voters {
		ids = append(ids, raftlog.ID(i+1))
	}
	if s.log, err = raftlog.New(raftlog.Config{ID: s.id, Voters: ids, Limits: f.Limits, Storage: s.storage, Bootstrap: found}); err != nil {
		s.storage.store.Close()
		if errors.Is(err, raftlog.ErrNoLog) {
			return nil, fmt.Errorf("%w: 'serve --found-fleet' on every steward, once, makes it", err)
		}
		return nil, err
	}
	if s.listener, err = net.Listen("tcp", f.Listen); err != nil {
		s.storage.store.Close()
		return nil, err
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathRaft, s.handleRaft)
	mux.HandleFunc("POST "+pathCommand, s.handleCommand)
	s.server = &http.Server{Handler: mux, ReadTimeout: 5 * time.Second, IdleTimeout: time.Minute}
	for i, a := range f.Voters {
		if id := raftlog.ID(i + 1); id != s.id {
			out := make(chan []byte, outboxSize)
			s.outboxes[id] = out
			s.tasks.Go(func() { s.deliver(a.Addr, out) })
		}
	}
	s.tasks.Go(s.run)
	s.tasks.Go(func() { s.server.Serve(s.listener) })
	slog.Info("fleet_steward", "name", f.Name, "addr", s.listener.Addr().String(), "stewards", len(ids), "founded", found)
	return s, nil
}

// Close ends it. What was acknowledged is on the disk.
func (s *Node) Close() {
	s.cancel()
	s.server.Close()
	s.tasks.Wait()
	s.storage.store.Close()
}

// deliver sends what is for one steward, one at a time and in order. A steward that is slow or gone loses messages and holds up nobody.
func (s *Node) deliver(addr string, out <-chan []byte) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for {
		select {
		case <-s.ctx.Done():
			return
		case b := <-out:
			ctx, cancel := context.WithTimeout(s.ctx, sendTimeout)
			_, _ = post(ctx, client, s.options.Keys, addr, pathRaft, s.options.Name, s.sequence.next(), b)
			cancel()
		}
	}
}

func (s *Node) run() {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	ticks, led := 0, false
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-tick.C:
			ticks++
			s.log.Tick(maintenance.Time(time.Since(s.startedAt).Milliseconds()))
			if s.log.IsLeader() && ticks%ticksPerAdvance == 0 {
				s.log.Propose(maintenance.Command{AdvanceTime: &maintenance.AdvanceTime{}}, func(maintenance.Result, error) {})
			}
		case m := <-s.mailbox:
			s.handle(m)
			for n := len(s.mailbox); n > 0; n-- { // what waits goes to the disk together
				s.handle(<-s.mailbox)
			}
		}
		for _, m := range s.log.Process() {
			s.send(m)
		}
		if leads := s.log.IsLeader(); leads != led {
			led = leads
			clear(s.ordersRun)
			slog.Info("fleet_leader", "name", s.options.Name, "leads", leads, "applied", s.log.State().Applied)
		}
		if err := s.log.Err(); err != nil {
			// It must say nothing more; the gatherer goes on serving, and the other stewards go on without it.
			slog.Error("fleet_steward_stopped", "name", s.options.Name, "error", err)
			s.rejectRequests()
			return
		}
		if led {
			s.runHooks()
		}
	}
}

// rejectRequests answers what still comes to a steward that has stopped.
func (s *Node) rejectRequests() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case m := <-s.mailbox:
			if q, is := m.(pendingRequest); is {
				q.reply <- response{Error: "this steward has stopped", NotLeader: true}
			}
		}
	}
}

func (s *Node) send(m *pb.Message) {
	b, err := proto.Marshal(m)
	if out := s.outboxes[raftlog.ID(m.GetTo())]; err == nil && out != nil {
		select {
		case out <- b:
		default:
		}
	}
}

func (s *Node) leaderName() string {
	if id := s.log.Leader(); id > 0 && int(id) <= len(s.options.Voters) {
		return s.options.Voters[id-1].Name
	}
	return ""
}

func (s *Node) handle(m any) {
	switch m := m.(type) {
	case *pb.Message:
		_ = s.log.Step(m) // one of an old term is turned away
	case hookResult:
		if m.err != nil {
			slog.Error("fleet_hook", "release", m.order.Release, "name", m.order.Name, "version", m.order.Version, "error", m.err)
			why := fmt.Sprintf("the hook for %s: %v", m.order.Name, m.err)
			s.log.Propose(maintenance.Command{HaltRelease: &maintenance.HaltRelease{ID: m.order.Release, Reason: why}}, func(maintenance.Result, error) {})
		}
	case pendingRequest:
		if m.Command == nil {
			a := response{Leader: s.leaderName()}
			if a.NotLeader = !s.log.IsLeader(); !a.NotLeader || a.Leader == "" {
				a.State = s.copyState()
			}
			m.reply <- a
			return
		}
		s.log.Propose(*m.Command, func(r maintenance.Result, err error) {
			a := response{Leader: s.leaderName(), Permit: r.Permit}
			if err != nil {
				a.Error, a.Refused, a.Stale = err.Error(), errors.Is(err, maintenance.ErrRefused), errors.Is(err, maintenance.ErrStale)
				a.NotLeader, a.OutcomeUnknown = errors.Is(err, raftlog.ErrNotLeader), errors.Is(err, raftlog.ErrOutcomeUnknown)
			} else if c := m.Command.Renew; c != nil {
				if member := s.log.State().Members[c.Name]; member != nil {
					a.Permit = member.ActivePermit()
				}
			}
			m.reply <- a
		})
	}
}

// copyState is a copy of the state, as the state is the actor's.
func (s *Node) copyState() *maintenance.State {
	b, err := s.log.State().Snapshot()
	if err != nil {
		return nil
	}
	c, err := maintenance.Restore(b)
	if err != nil {
		return nil
	}
	return c
}

// runHooks lets the operator's command carry out what a release orders, each order once in a lead. A new leader gives the orders under way
// again with the same epoch, as it can't know whether they were carried out.
func (s *Node) runHooks() {
	orders := s.log.State().Orders()
	maps.DeleteFunc(s.ordersRun, func(k orderKey, _ bool) bool {
		return !slices.ContainsFunc(orders, func(o maintenance.Order) bool { return k == orderKey{o.Name, o.Epoch} })
	})
	for _, o := range orders {
		key := orderKey{o.Name, o.Epoch}
		if s.ordersRun[key] {
			continue
		}
		s.ordersRun[key] = true
		slog.Info("fleet_order", "release", o.Release, "name", o.Name, "version", o.Version, "epoch", o.Epoch)
		if s.options.Hook == "" {
			s.enqueue(hookResult{o, errors.New("there is none, so nobody carries the change out")})
			continue
		}
		within := time.Minute
		if r := s.log.State().Release(o.Release); r != nil {
			within = time.Duration(r.Plan.ChangeTimeout) * time.Millisecond
		}
		s.tasks.Go(func() {
			ctx, cancel := context.WithTimeout(s.ctx, within)
			defer cancel()
			err := exec.CommandContext(ctx, s.options.Hook, string(o.Name), string(o.Version), strconv.FormatUint(uint64(o.Epoch), 10)).Run()
			if s.ctx.Err() == nil {
				s.enqueue(hookResult{o, err})
			}
		})
	}
}

// enqueue hands something to the actor; false = it has no room, or is gone.
func (s *Node) enqueue(m any) bool {
	select {
	case s.mailbox <- m:
		return true
	default:
		return false
	}
}

// authenticate takes a message's body and who says it.
func (s *Node) authenticate(w http.ResponseWriter, r *http.Request, path string) (body []byte, from string, no uint64, ok bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err == nil {
		from, no, err = verify(s.options.Keys, r.Header, path, body)
	}
	if err != nil {
		s.mu.Lock()
		if time.Since(s.lastRejection) > time.Minute {
			s.lastRejection = time.Now()
			slog.Warn("fleet_stranger", "remote", r.RemoteAddr, "path", path, "error", err)
		}
		s.mu.Unlock()
		http.Error(w, "no", http.StatusForbidden)
		return nil, "", 0, false
	}
	return body, from, no, true
}

func (s *Node) handleRaft(w http.ResponseWriter, r *http.Request) {
	body, _, no, ok := s.authenticate(w, r, pathRaft)
	if !ok {
		return
	}
	m := &pb.Message{}
	if err := proto.Unmarshal(body, m); err != nil || raftlog.ID(m.GetTo()) != s.id {
		http.Error(w, "no message for this steward", http.StatusBadRequest)
		return
	}
	s.enqueue(m) // an old one does no harm: its term or its index says so
	sign(s.options.Keys, w.Header(), pathRaft, s.options.Name, no, nil)
}

// maxSenders bounds whose numbers are remembered: beyond all members of a large fleet.
const maxSenders = 10_000

func (s *Node) handleCommand(w http.ResponseWriter, r *http.Request) {
	body, from, no, ok := s.authenticate(w, r, pathCommand)
	if !ok {
		return
	}
	s.mu.Lock()
	fresh, least := s.replays.Accept(from, no)
	s.mu.Unlock()
	if !fresh { // a recording, or a speaker whose clock is behind: it is told, under the mark, what its next number must be above
		s.respond(w, no, response{MinSequence: least, NotLeader: true})
		return
	}
	q := pendingRequest{reply: make(chan response, 1)}
	if err := json.Unmarshal(body, &q.request); err != nil {
		http.Error(w, "no question", http.StatusBadRequest)
		return
	}
	a := response{Error: "this steward has too much to do", NotLeader: true}
	if s.enqueue(q) {
		select {
		case a = <-q.reply:
		case <-r.Context().Done():
			return
		case <-s.ctx.Done():
			return
		}
	}
	s.respond(w, no, a)
}

func (s *Node) respond(w http.ResponseWriter, no uint64, a response) {
	b, err := json.Marshal(a)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	sign(s.options.Keys, w.Header(), pathCommand, s.options.Name, no, b)
	w.Write(b)
}
