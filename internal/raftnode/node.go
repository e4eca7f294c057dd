package raftnode

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"oxbowspan/internal/keyring"
	"oxbowspan/maintenance"
	"oxbowspan/raftlog"
)

// Voter is a gatherer that stores a replica of the log and votes on its entries.
type Voter struct {
	Name string // name of the gatherer
	Addr string // HOST:PORT of its HTTP interface for the fleet
}

// Options configures a Node.
type Options struct {
	Name      string        // name of this gatherer, which must be one of Voters
	Listen    string        // HOST:PORT to listen on
	Voters    []Voter       // all voters, in the same order on all gatherers
	Keys      *keyring.Ring // keys that authenticate the messages of the fleet
	LogDir    string        // directory in which the log is stored
	HookPath  string        // path of the program that carries out the changes of releases; "" = none
	Limits    maintenance.Limits
	Bootstrap bool // create the log of a new fleet if there is none; otherwise a missing log is an error
}

// voterID returns this gatherer's ID as a voter, which is its position among Voters, starting at 1; 0 = it is not a voter.
func (o Options) voterID() raftlog.ID {
	for i, v := range o.Voters {
		if v.Name == o.Name {
			return raftlog.ID(i + 1)
		}
	}
	return 0
}

const (
	tickInterval    = 100 * time.Millisecond
	ticksPerAdvance = 5    // ticks between two AdvanceTime commands of a leader
	mailboxSize     = 4096 // events; further ones are dropped
	outboxSize      = 256  // messages to one other voter; further ones are dropped, as if the network had lost them
	sendTimeout     = time.Second
	readTimeout     = 5 * time.Second
	idleTimeout     = time.Minute

	// maxSenders bounds the number of senders in the replay filter. It exceeds the number of members of a large fleet.
	maxSenders = 10_000
)

// event is an input that the node's goroutine handles.
type event interface{ handle(*Node) }

// Node is a voter. Its goroutine run owns the log and handles the events of the mailbox.
type Node struct {
	options       Options
	id            raftlog.ID
	log           *raftlog.Node // accessed by run only
	storage       *logStorage
	mailbox       chan event
	outboxes      map[raftlog.ID]chan []byte
	listener      net.Listener
	server        *http.Server
	sequence      sequence
	startedAt     time.Time
	ctx           context.Context
	cancel        context.CancelFunc
	tasks         sync.WaitGroup
	startedOrders map[orderKey]bool // orders passed to the hook since this voter became leader; accessed by run only

	mu                  sync.Mutex // guards the fields below
	replays             *maintenance.ReplayFilter
	lastRejectionLogged time.Time // time of the last log entry about a rejected message
}

// Start opens the log and starts a node, which runs until Close is called.
func Start(o Options) (*Node, error) {
	n := &Node{options: o, id: o.voterID(), mailbox: make(chan event, mailboxSize), outboxes: map[raftlog.ID]chan []byte{},
		startedAt: time.Now(), startedOrders: map[orderKey]bool{}}
	n.replays = maintenance.NewReplayFilter(uint64(n.startedAt.UnixNano()), maxSenders)
	var err error
	if n.storage, err = openStorage(o.LogDir); err != nil {
		return nil, err
	}
	if err := n.openLog(); err != nil {
		n.storage.store.Close()
		return nil, err
	}
	if n.listener, err = net.Listen("tcp", o.Listen); err != nil {
		n.storage.store.Close()
		return nil, err
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathRaft, n.handleRaft)
	mux.HandleFunc("POST "+pathCommand, n.handleCommand)
	n.server = &http.Server{Handler: mux, ReadTimeout: readTimeout, IdleTimeout: idleTimeout}
	for i, voter := range o.Voters {
		if id := raftlog.ID(i + 1); id != n.id {
			outbox := make(chan []byte, outboxSize)
			n.outboxes[id] = outbox
			n.tasks.Go(func() { n.deliver(voter.Addr, outbox) })
		}
	}
	n.tasks.Go(n.run)
	n.tasks.Go(func() { n.server.Serve(n.listener) })
	slog.Info("fleet_voter_started", "name", o.Name, "addr", n.listener.Addr().String(), "voters", len(o.Voters), "bootstrap", o.Bootstrap)
	return n, nil
}

// openLog creates the voter from the stored log.
func (n *Node) openLog() (err error) {
	var ids []raftlog.ID
	for i := range n.options.Voters {
		ids = append(ids, raftlog.ID(i+1))
	}
	n.log, err = raftlog.New(raftlog.Config{ID: n.id, Voters: ids, Limits: n.options.Limits, Storage: n.storage, Bootstrap: n.options.Bootstrap})
	if errors.Is(err, raftlog.ErrNoLog) {
		return fmt.Errorf("%w: 'serve --found-fleet' on every steward, once, creates it", err)
	}
	return err
}

// Close stops the node. Everything that it has acknowledged is durable.
func (n *Node) Close() {
	n.cancel()
	n.server.Close()
	n.tasks.Wait()
	n.storage.store.Close()
}

// deliver sends the messages to one voter, one at a time and in order. A voter that is slow or down loses messages but
// does not delay those to other voters.
func (n *Node) deliver(addr string, outbox <-chan []byte) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for {
		select {
		case <-n.ctx.Done():
			return
		case body := <-outbox:
			ctx, cancel := context.WithTimeout(n.ctx, sendTimeout)
			// Errors are ignored: the protocol repeats lost messages.
			_, _ = post(ctx, client, n.options.Keys, addr, envelope{pathRaft, n.options.Name, n.sequence.next()}, body)
			cancel()
		}
	}
}

// run is the node's goroutine.
func (n *Node) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	ticks, wasLeader := 0, false
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
			ticks++
			n.tick(ticks)
		case e := <-n.mailbox:
			e.handle(n)
			for pending := len(n.mailbox); pending > 0; pending-- { // one disk write for all waiting events
				(<-n.mailbox).handle(n)
			}
		}
		for _, m := range n.log.Process() {
			n.send(m)
		}
		if isLeader := n.log.IsLeader(); isLeader != wasLeader {
			wasLeader = isLeader
			clear(n.startedOrders)
			slog.Info("fleet_leader", "name", n.options.Name, "leader", isLeader, "applied", n.log.State().Applied)
		}
		if err := n.log.Err(); err != nil {
			// The voter must not send anything more. The gatherer continues to serve, and the other voters continue
			// without this one.
			slog.Error("fleet_voter_stopped", "name", n.options.Name, "error", err)
			n.rejectRequests()
			return
		}
		if wasLeader {
			n.runHooks()
		}
	}
}

// tick advances the time of the log and, as leader, periodically the time of the state.
func (n *Node) tick(ticks int) {
	n.log.Tick(maintenance.Time(time.Since(n.startedAt).Milliseconds()))
	if n.log.IsLeader() && ticks%ticksPerAdvance == 0 {
		n.log.Propose(maintenance.Command{AdvanceTime: &maintenance.AdvanceTime{}}, ignoreResult)
	}
}

func ignoreResult(maintenance.Result, error) {}

// rejectRequests rejects the requests that arrive after the node has stopped, until Close is called.
func (n *Node) rejectRequests() {
	for {
		select {
		case <-n.ctx.Done():
			return
		case e := <-n.mailbox:
			if r, ok := e.(pendingRequest); ok {
				r.reply <- response{Error: "this voter has stopped", NotLeader: true}
			}
		}
	}
}

// send puts a message into the outbox of its receiver, or drops it if the outbox is full.
func (n *Node) send(m *pb.Message) {
	body, err := proto.Marshal(m)
	outbox := n.outboxes[raftlog.ID(m.GetTo())]
	if err != nil || outbox == nil {
		return
	}
	select {
	case outbox <- body:
	default:
	}
}

// enqueue puts an event into the mailbox. It returns false if the mailbox is full.
func (n *Node) enqueue(e event) bool {
	select {
	case n.mailbox <- e:
		return true
	default:
		return false
	}
}
