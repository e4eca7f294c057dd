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

// Figures are what the operator's file says of the fleet.
type Figures struct {
	Name     string // this gatherer's
	Zone     string
	Version  string
	Listen   string    // the fleet's own address here; "" = this one keeps no log
	Stewards []Address // all of them, in the order that every gatherer's file has
	Keys     *keyring.Ring
	Path     string        // of the log; only of a steward
	Wait     time.Duration // an end waits so long for a permit
	Hook     string        // a command that carries out a release's change; "" = there are none
	Limits   maintenance.Limits
}

// Address is a steward's name and where it listens for the fleet.
type Address struct{ Name, Addr string }

func (f Figures) steward() raftlog.ID {
	for i, s := range f.Stewards {
		if s.Name == f.Name {
			return raftlog.ID(i + 1)
		}
	}
	return 0
}

const (
	tickEvery = 100 * time.Millisecond
	turnEvery = 5 // ticks after which a leader lets time pass in the machine
	mailbox   = 4096
	outbox    = 256 // messages waiting for another steward; past it they are lost, as on a wire
	sendLimit = time.Second
)

// Steward is one that keeps the log.
type Steward struct {
	f     Figures
	id    raftlog.ID
	node  *raftlog.Node // the actor's alone
	disk  *disk
	box   chan any
	peers map[raftlog.ID]chan []byte
	l     net.Listener
	http  *http.Server
	no    numbers
	since time.Time
	ctx   context.Context
	stop  context.CancelFunc
	all   sync.WaitGroup
	done  map[order]bool // orders given to the hook in this lead; emptied of those that are orders no more, and when the lead ends

	mu      sync.Mutex
	fence   *maintenance.ReplayFilter
	strange time.Time // when a stranger was last logged
}

// order tells one order from another: one command may begin the changes of several members, which bear its epoch alike.
type order struct {
	name  maintenance.MemberName
	epoch maintenance.Epoch
}

type (
	question struct {
		said
		reply chan answer
	}
	hookOver struct {
		order maintenance.Order
		err   error
	}
)

// Start begins to keep the log. found says that the fleet is founded: it begins without one.
func Start(f Figures, found bool) (*Steward, error) {
	s := &Steward{f: f, id: f.steward(), box: make(chan any, mailbox), peers: map[raftlog.ID]chan []byte{}, since: time.Now(),
		done: map[order]bool{}}
	s.fence = maintenance.NewReplayFilter(uint64(s.since.UnixNano()), mostSpeakers)
	var err error
	if s.disk, err = openDisk(f.Path); err != nil {
		return nil, err
	}
	var ids []raftlog.ID
	for i := range f.Stewards {
		ids = append(ids, raftlog.ID(i+1))
	}
	if s.node, err = raftlog.New(raftlog.Config{ID: s.id, Voters: ids, Limits: f.Limits, Storage: s.disk, Bootstrap: found}); err != nil {
		s.disk.s.Close()
		if errors.Is(err, raftlog.ErrNoLog) {
			return nil, fmt.Errorf("%w: 'serve --found-fleet' on every steward, once, makes it", err)
		}
		return nil, err
	}
	if s.l, err = net.Listen("tcp", f.Listen); err != nil {
		s.disk.s.Close()
		return nil, err
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathRaft, s.raft)
	mux.HandleFunc("POST "+pathSay, s.say)
	s.http = &http.Server{Handler: mux, ReadTimeout: 5 * time.Second, IdleTimeout: time.Minute}
	for i, a := range f.Stewards {
		if id := raftlog.ID(i + 1); id != s.id {
			out := make(chan []byte, outbox)
			s.peers[id] = out
			s.all.Go(func() { s.sendTo(a.Addr, out) })
		}
	}
	s.all.Go(s.run)
	s.all.Go(func() { s.http.Serve(s.l) })
	slog.Info("fleet_steward", "name", f.Name, "addr", s.l.Addr().String(), "stewards", len(ids), "founded", found)
	return s, nil
}

// Close ends it. What was acknowledged is on the disk.
func (s *Steward) Close() {
	s.stop()
	s.http.Close()
	s.all.Wait()
	s.disk.s.Close()
}

// sendTo sends what is for one steward, one at a time and in order. A steward that is slow or gone loses messages and holds up nobody.
func (s *Steward) sendTo(addr string, out <-chan []byte) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for {
		select {
		case <-s.ctx.Done():
			return
		case b := <-out:
			ctx, cancel := context.WithTimeout(s.ctx, sendLimit)
			_, _ = post(ctx, client, s.f.Keys, addr, pathRaft, s.f.Name, s.no.next(), b)
			cancel()
		}
	}
}

func (s *Steward) run() {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	ticks, led := 0, false
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-tick.C:
			ticks++
			s.node.Tick(maintenance.Time(time.Since(s.since).Milliseconds()))
			if s.node.IsLeader() && ticks%turnEvery == 0 {
				s.node.Propose(maintenance.Command{AdvanceTime: &maintenance.AdvanceTime{}}, func(maintenance.Result, error) {})
			}
		case m := <-s.box:
			s.take(m)
			for n := len(s.box); n > 0; n-- { // what waits goes to the disk together
				s.take(<-s.box)
			}
		}
		for _, m := range s.node.Process() {
			s.send(m)
		}
		if leads := s.node.IsLeader(); leads != led {
			led = leads
			clear(s.done)
			slog.Info("fleet_leader", "name", s.f.Name, "leads", leads, "applied", s.node.State().Applied)
		}
		if err := s.node.Err(); err != nil {
			// It must say nothing more; the gatherer goes on serving, and the other stewards go on without it.
			slog.Error("fleet_steward_stopped", "name", s.f.Name, "error", err)
			s.drain()
			return
		}
		if led {
			s.hooks()
		}
	}
}

// drain answers what still comes to a steward that has stopped.
func (s *Steward) drain() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case m := <-s.box:
			if q, is := m.(question); is {
				q.reply <- answer{Error: "this steward has stopped", NotMe: true}
			}
		}
	}
}

func (s *Steward) send(m *pb.Message) {
	b, err := proto.Marshal(m)
	if out := s.peers[raftlog.ID(m.GetTo())]; err == nil && out != nil {
		select {
		case out <- b:
		default:
		}
	}
}

func (s *Steward) leader() string {
	if id := s.node.Leader(); id > 0 && int(id) <= len(s.f.Stewards) {
		return s.f.Stewards[id-1].Name
	}
	return ""
}

func (s *Steward) take(m any) {
	switch m := m.(type) {
	case *pb.Message:
		_ = s.node.Step(m) // one of an old term is turned away
	case hookOver:
		if m.err != nil {
			slog.Error("fleet_hook", "release", m.order.Release, "name", m.order.Name, "version", m.order.Version, "error", m.err)
			why := fmt.Sprintf("the hook for %s: %v", m.order.Name, m.err)
			s.node.Propose(maintenance.Command{HaltRelease: &maintenance.HaltRelease{ID: m.order.Release, Reason: why}}, func(maintenance.Result, error) {})
		}
	case question:
		if m.Command == nil {
			a := answer{Leader: s.leader()}
			if a.NotMe = !s.node.IsLeader(); !a.NotMe || a.Leader == "" {
				a.State = s.copied()
			}
			m.reply <- a
			return
		}
		s.node.Propose(*m.Command, func(r maintenance.Result, err error) {
			a := answer{Leader: s.leader(), Permit: r.Permit}
			if err != nil {
				a.Error, a.Refused, a.Stale = err.Error(), errors.Is(err, maintenance.ErrRefused), errors.Is(err, maintenance.ErrStale)
				a.NotMe, a.Unsure = errors.Is(err, raftlog.ErrNotLeader), errors.Is(err, raftlog.ErrOutcomeUnknown)
			} else if c := m.Command.Renew; c != nil {
				if member := s.node.State().Members[c.Name]; member != nil {
					a.Permit = member.ActivePermit()
				}
			}
			m.reply <- a
		})
	}
}

// copied is a copy of the state, as the state is the actor's.
func (s *Steward) copied() *maintenance.State {
	b, err := s.node.State().Snapshot()
	if err != nil {
		return nil
	}
	c, err := maintenance.Restore(b)
	if err != nil {
		return nil
	}
	return c
}

// hooks lets the operator's command carry out what a release orders, each order once in a lead. A new leader gives the orders under way
// again with the same epoch, as it can't know whether they were carried out.
func (s *Steward) hooks() {
	orders := s.node.State().Orders()
	maps.DeleteFunc(s.done, func(k order, _ bool) bool {
		return !slices.ContainsFunc(orders, func(o maintenance.Order) bool { return k == order{o.Name, o.Epoch} })
	})
	for _, o := range orders {
		key := order{o.Name, o.Epoch}
		if s.done[key] {
			continue
		}
		s.done[key] = true
		slog.Info("fleet_order", "release", o.Release, "name", o.Name, "version", o.Version, "epoch", o.Epoch)
		if s.f.Hook == "" {
			s.put(hookOver{o, errors.New("there is none, so nobody carries the change out")})
			continue
		}
		within := time.Minute
		if r := s.node.State().Release(o.Release); r != nil {
			within = time.Duration(r.Plan.ChangeTimeout) * time.Millisecond
		}
		s.all.Go(func() {
			ctx, cancel := context.WithTimeout(s.ctx, within)
			defer cancel()
			err := exec.CommandContext(ctx, s.f.Hook, string(o.Name), string(o.Version), strconv.FormatUint(uint64(o.Epoch), 10)).Run()
			if s.ctx.Err() == nil {
				s.put(hookOver{o, err})
			}
		})
	}
}

// put hands something to the actor; false = it has no room, or is gone.
func (s *Steward) put(m any) bool {
	select {
	case s.box <- m:
		return true
	default:
		return false
	}
}

// read takes a message's body and who says it.
func (s *Steward) read(w http.ResponseWriter, r *http.Request, path string) (body []byte, from string, no uint64, ok bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, mostBody))
	if err == nil {
		from, no, err = genuine(s.f.Keys, r.Header, path, body)
	}
	if err != nil {
		s.mu.Lock()
		if time.Since(s.strange) > time.Minute {
			s.strange = time.Now()
			slog.Warn("fleet_stranger", "remote", r.RemoteAddr, "path", path, "error", err)
		}
		s.mu.Unlock()
		http.Error(w, "no", http.StatusForbidden)
		return nil, "", 0, false
	}
	return body, from, no, true
}

func (s *Steward) raft(w http.ResponseWriter, r *http.Request) {
	body, _, no, ok := s.read(w, r, pathRaft)
	if !ok {
		return
	}
	m := &pb.Message{}
	if err := proto.Unmarshal(body, m); err != nil || raftlog.ID(m.GetTo()) != s.id {
		http.Error(w, "no message for this steward", http.StatusBadRequest)
		return
	}
	s.put(m) // an old one does no harm: its term or its index says so
	signed(s.f.Keys, w.Header(), pathRaft, s.f.Name, no, nil)
}

// mostSpeakers bounds whose numbers are remembered: beyond all members of a large fleet.
const mostSpeakers = 10_000

func (s *Steward) say(w http.ResponseWriter, r *http.Request) {
	body, from, no, ok := s.read(w, r, pathSay)
	if !ok {
		return
	}
	s.mu.Lock()
	fresh, least := s.fence.Accept(from, no)
	s.mu.Unlock()
	if !fresh { // a recording, or a speaker whose clock is behind: it is told, under the mark, what its next number must be above
		s.reply(w, no, answer{Least: least, NotMe: true})
		return
	}
	q := question{reply: make(chan answer, 1)}
	if err := json.Unmarshal(body, &q.said); err != nil {
		http.Error(w, "no question", http.StatusBadRequest)
		return
	}
	a := answer{Error: "this steward has too much to do", NotMe: true}
	if s.put(q) {
		select {
		case a = <-q.reply:
		case <-r.Context().Done():
			return
		case <-s.ctx.Done():
			return
		}
	}
	s.reply(w, no, a)
}

func (s *Steward) reply(w http.ResponseWriter, no uint64, a answer) {
	b, err := json.Marshal(a)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	signed(s.f.Keys, w.Header(), pathSay, s.f.Name, no, b)
	w.Write(b)
}
