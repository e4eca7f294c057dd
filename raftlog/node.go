package raftlog

import (
	"errors"
	"fmt"
	"io"
	"log"
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"oxbowspan/maintenance"
)

// ID is the number of a voter, starting at 1.
type ID uint64

var (
	// ErrNotLeader is returned for a proposal to a voter that is not the leader. Node.Leader returns the leader if it is known.
	ErrNotLeader = errors.New("this voter is not the leader")
	// ErrOutcomeUnknown is returned if a command may or may not be committed. Commands are idempotent, so it may be
	// proposed again.
	ErrOutcomeUnknown = errors.New("no quorum of the voters has confirmed the command")
	// ErrNoLog is returned for a voter that has no log and is not configured to bootstrap one. Such a voter could vote
	// twice in one term, and it has lost the entries that it had acknowledged.
	ErrNoLog = errors.New("no log of this voter, and only the founding of a fleet begins without one")
	// ErrStorage is returned if the log could not be stored. The node has then stopped.
	ErrStorage = errors.New("the log could not be stored")
)

// ResultFunc receives the result of a proposed command, or the error of the command or of its proposal.
type ResultFunc func(maintenance.Result, error)

// Defaults and limits of a Config.
const (
	defaultCompactAfter  = 1000
	defaultElectionTicks = 10

	maxMessageBytes     = 64 << 10
	maxInFlightMessages = 64
	maxUncommittedBytes = 8 << 20
)

// Config configures a Node.
type Config struct {
	ID            ID
	Voters        []ID               // all voters, including ID
	Limits        maintenance.Limits // initial limits of the state that Bootstrap creates
	Storage       Storage
	Bootstrap     bool // create the log of a new fleet if Storage is empty
	CompactAfter  int  // number of applied commands after which the log is compacted; 0 = 1000
	ElectionTicks int  // ticks without a leader's message before an election; a leader sends one every tick. 0 = 10
}

// Node is one voter of the replicated log.
type Node struct {
	id           ID
	raw          *raft.RawNode
	memoryLog    *raft.MemoryStorage
	storage      Storage
	state        *maintenance.State
	confState    *pb.ConfState
	compactAfter uint64
	compactedAt  uint64 // index of the last snapshot

	leadershipIndex uint64                // last applied index when it became leader; 0 = not the leader, or not yet up to date
	term            uint64                // term in which it became leader
	clock           maintenance.Time      // latest time passed to Tick
	clockOffset     maintenance.Time      // the state's time minus the clock, when it became leader
	lastProposal    uint64                // sequence number of its last proposal
	pending         map[uint64]ResultFunc // by sequence number of the proposal; all fail when the node ceases to be leader

	ticks           int
	snapshotTimeout int            // ticks after which a sent snapshot is considered lost
	snapshotSentAt  map[uint64]int // by receiver, in ticks
	err             error          // why the node has stopped; nil = it has not
}

// New creates a node from its stored log. The error wraps ErrNoLog if there is none and Config.Bootstrap is not set.
func New(c Config) (*Node, error) {
	if c.ID == 0 || !slices.Contains(c.Voters, c.ID) {
		return nil, fmt.Errorf("voter %d is not among the voters %v", c.ID, c.Voters)
	}
	if c.CompactAfter == 0 {
		c.CompactAfter = defaultCompactAfter
	}
	if c.ElectionTicks == 0 {
		c.ElectionTicks = defaultElectionTicks
	}
	stored, err := c.Storage.Load()
	if err != nil {
		return nil, err
	}
	n := &Node{id: c.ID, memoryLog: raft.NewMemoryStorage(), storage: c.Storage, state: maintenance.New(c.Limits), confState: &pb.ConfState{},
		compactAfter: uint64(c.CompactAfter), snapshotTimeout: c.ElectionTicks,
		pending: map[uint64]ResultFunc{}, snapshotSentAt: map[uint64]int{}}
	for _, id := range c.Voters {
		n.confState.Voters = append(n.confState.Voters, uint64(id))
	}
	slices.Sort(n.confState.Voters)
	if stored.Snapshot == nil {
		if !c.Bootstrap || len(stored.Entries) > 0 {
			return nil, fmt.Errorf("voter %d: %w", c.ID, ErrNoLog)
		}
		if stored.Snapshot, err = n.bootstrap(); err != nil {
			return nil, err
		}
	}
	if err := n.restore(stored); err != nil {
		return nil, err
	}
	n.raw, err = raft.NewRawNode(&raft.Config{
		ID:                        uint64(c.ID),
		ElectionTick:              c.ElectionTicks,
		HeartbeatTick:             1,
		Storage:                   n.memoryLog,
		Applied:                   uint64(n.state.Applied),
		MaxSizePerMsg:             maxMessageBytes,
		MaxInflightMsgs:           maxInFlightMessages,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		CheckQuorum:               true,
		PreVote:                   true,
		Logger:                    &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)},
	})
	if err != nil {
		return nil, fmt.Errorf("voter %d: %w", c.ID, err)
	}
	return n, nil
}

// State returns the state machine, to which this voter has applied the log up to State.Applied. The caller must not modify it.
func (n *Node) State() *maintenance.State { return n.state }

// Leader returns the leader that this voter follows; 0 = none.
func (n *Node) Leader() ID { return ID(n.raw.BasicStatus().Lead) }

// IsLeader reports whether this voter is the leader and has applied all commands of earlier leaders.
func (n *Node) IsLeader() bool { return n.leadershipIndex > 0 && n.err == nil }

// Err returns the error that stopped the node; nil = it has not stopped.
func (n *Node) Err() error { return n.err }

// Tick advances the node's time by one tick. now is the time of the voter's own monotonic clock.
func (n *Node) Tick(now maintenance.Time) {
	if n.err != nil {
		return
	}
	n.clock = max(n.clock, now)
	n.ticks++
	n.raw.Tick()
	for to, at := range n.snapshotSentAt {
		if n.ticks-at > n.snapshotTimeout {
			// The Raft library sends a voter nothing more until the outcome of its snapshot is reported, and nothing
			// reports a lost one.
			n.raw.ReportSnapshot(to, raft.SnapshotFailure)
			delete(n.snapshotSentAt, to)
		}
	}
}

// Step processes a message of another voter.
func (n *Node) Step(m *pb.Message) error {
	if n.err != nil {
		return n.err
	}
	return n.raw.Step(m)
}

// Propose appends a command to the log if this voter is the leader. done is called from a later Process with the
// command's result or with ErrOutcomeUnknown, or from Propose itself with ErrNotLeader, Err or an encoding error.
func (n *Node) Propose(c maintenance.Command, done ResultFunc) {
	if n.err != nil {
		done(maintenance.Result{}, n.err)
		return
	}
	if !n.IsLeader() {
		done(maintenance.Result{}, ErrNotLeader)
		return
	}
	c.At = n.clockOffset + n.clock
	command, err := c.Encode()
	if err != nil {
		done(maintenance.Result{}, err)
		return
	}
	n.lastProposal++
	if err := n.raw.Propose(wrapProposal(proposalID{n.id, n.term, n.lastProposal}, command)); err != nil {
		done(maintenance.Result{}, fmt.Errorf("%w: %w", ErrNotLeader, err))
		return
	}
	n.pending[n.lastProposal] = done
}

// fail stops the node because of err.
func (n *Node) fail(err error) {
	n.err, n.leadershipIndex = err, 0
	n.abortPending()
}

// abortPending ends the pending proposals with ErrOutcomeUnknown: another leader may or may not commit them.
func (n *Node) abortPending() {
	for _, sequence := range slices.Sorted(maps.Keys(n.pending)) {
		done := n.pending[sequence]
		delete(n.pending, sequence)
		done(maintenance.Result{}, ErrOutcomeUnknown)
	}
}
