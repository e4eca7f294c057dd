// Package raftlog keeps one log of commands on a few stewards and applies it to the fleet's state on each: Raft, by the core of
// go.etcd.io/raft, which does no I/O. A Node does none either: time comes by Tick, messages by Step, and what it wants sent or kept
// comes out of Turn. It starts no goroutine and reads no clock, so that many of them run in one process under simulated time.
//
// What it owns: the log and its compaction, who leads, the commands proposed here whose end is not known yet (emptied by their
// application, and all at once when this steward no longer leads), and the machine's time: the leader's commands bear its own
// monotonic clock, carried on from the machine's time when it began to lead, so that no wall clock that steps moves a lease.
package raftlog

import (
	"errors"
	"fmt"
	"io"
	"log"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"oxbowspan/maintenance"
)

// ID is a steward's number among the stewards, from 1.
type ID uint64

var (
	// ErrNotLeader says that another steward has to be asked; Node.Leader may know which.
	ErrNotLeader = errors.New("this steward does not lead")
	// ErrOutcomeUnknown says that a command may or may not come into force: asked again it does no harm.
	ErrOutcomeUnknown = errors.New("no majority of the stewards has said whether it is in force")
	// ErrNoLog says that a steward has no log where it should have one. Without it, it might vote twice in one term, and forget
	// what it had acknowledged.
	ErrNoLog = errors.New("there is no log of this steward, and only the founding of a fleet begins without one")
	// ErrStorage says that the log could not be kept: this steward has stopped and says nothing more.
	ErrStorage = errors.New("the log could not be kept")
)

// WriteBatch is what must be kept before any message of the same Turn leaves. All of it comes into force together or not at all.
type WriteBatch struct {
	HardState    []byte  // the vote, the term and what is committed; nil = as before
	Snapshot     []byte  // in place of the one before; nil = as before
	Entries      []Entry // entries, rising; those of a number that is there are replaced
	TruncateFrom uint64  // entries from here on that Put does not name are dropped; 0 = none are
	CompactTo    uint64  // entries up to here are dropped; 0 = none are
}

// Entry is an entry of the log and its number.
type Entry struct {
	Index uint64
	Data  []byte
}

// StoredLog is what a Disk holds.
type StoredLog struct {
	HardState, Snapshot []byte
	Entries             []Entry // rising, without gaps
}

// Storage keeps a log. An error of Keep leaves in doubt what was kept.
type Storage interface {
	Load() (StoredLog, error)
	Write(WriteBatch) error
}

// Config is how a Node is made.
type Config struct {
	ID           ID
	Voters       []ID // all of them, this one too
	Limits       maintenance.Limits
	Storage      Storage
	Bootstrap    bool // the fleet is founded: an empty disk is in order
	CompactAfter int  // commands after which the log is cut; 0 = 1000
	// Ticks: an election begins after so many of them without a word of a leader; a leader speaks at every one. 0 = 10.
	ElectionTicks int
}

// Node is one steward.
type Node struct {
	id              ID
	raw             *raft.RawNode
	memory          *raft.MemoryStorage
	storage         Storage
	state           *maintenance.State
	confState       *pb.ConfState
	compactAfter    uint64
	compactedAt     uint64
	leaderSince     uint64 // the first command number of this steward's lead that it has applied; 0 = it does not lead, or not yet
	term            uint64
	clock           maintenance.Time // own clock
	clockOffset     maintenance.Time // the machine's time when this lead began, less the own clock then
	lastProposal    uint64
	pending         map[uint64]func(maintenance.Result, error)
	ticks           int            // so many since the start
	snapshotTimeout int            // ticks until a snapshot that was sent is taken for lost
	snapshotSentAt  map[uint64]int // when a snapshot was last sent to each steward; emptied when it is taken for lost
	err             error
}

// New makes a steward from what its disk holds.
func New(s Config) (*Node, error) {
	if s.ID == 0 || !slices.Contains(s.Voters, s.ID) {
		return nil, fmt.Errorf("steward %d is not among the stewards %v", s.ID, s.Voters)
	}
	kept, err := s.Storage.Load()
	if err != nil {
		return nil, err
	}
	n := &Node{id: s.ID, memory: raft.NewMemoryStorage(), storage: s.Storage, state: maintenance.New(s.Limits), compactAfter: uint64(s.CompactAfter),
		pending: map[uint64]func(maintenance.Result, error){}, snapshotSentAt: map[uint64]int{}, confState: &pb.ConfState{}}
	if n.compactAfter == 0 {
		n.compactAfter = 1000
	}
	for _, id := range s.Voters {
		n.confState.Voters = append(n.confState.Voters, uint64(id))
	}
	slices.Sort(n.confState.Voters)
	if kept.Snapshot == nil {
		if !s.Bootstrap || len(kept.Entries) > 0 {
			return nil, fmt.Errorf("steward %d: %w", s.ID, ErrNoLog)
		}
		if kept.Snapshot, err = n.bootstrap(); err != nil {
			return nil, err
		}
	}
	if err := n.restore(kept); err != nil {
		return nil, err
	}
	ticks := s.ElectionTicks
	if ticks == 0 {
		ticks = 10
	}
	n.snapshotTimeout = ticks
	n.raw, err = raft.NewRawNode(&raft.Config{ID: uint64(s.ID), ElectionTick: ticks, HeartbeatTick: 1, Storage: n.memory, Applied: uint64(n.state.Applied),
		MaxSizePerMsg: 64 << 10, MaxInflightMsgs: 64, CheckQuorum: true, PreVote: true, MaxUncommittedEntriesSize: 8 << 20,
		Logger: &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}})
	if err != nil {
		return nil, fmt.Errorf("steward %d: %w", s.ID, err)
	}
	return n, nil
}

// bootstrap writes the first snapshot: the stewards and an empty fleet.
func (n *Node) bootstrap() ([]byte, error) {
	n.state.Applied = 1
	data, err := n.state.Snapshot()
	if err != nil {
		return nil, err
	}
	snap, err := proto.Marshal(&pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{ConfState: n.confState, Index: proto.Uint64(1), Term: proto.Uint64(1)}})
	if err != nil {
		return nil, err
	}
	hard, err := proto.Marshal(&pb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1), Vote: proto.Uint64(0)})
	if err != nil {
		return nil, err
	}
	if err := n.storage.Write(WriteBatch{HardState: hard, Snapshot: snap}); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrStorage, err)
	}
	return snap, nil
}

func (n *Node) restore(kept StoredLog) error {
	snap, hard := &pb.Snapshot{}, &pb.HardState{}
	if err := proto.Unmarshal(kept.Snapshot, snap); err != nil {
		return fmt.Errorf("the kept snapshot cannot be read: %w", err)
	}
	if err := proto.Unmarshal(kept.HardState, hard); err != nil {
		return fmt.Errorf("the kept vote cannot be read: %w", err)
	}
	var err error
	if n.state, err = maintenance.Restore(snap.GetData()); err != nil {
		return err
	}
	if err := n.memory.ApplySnapshot(snap); err != nil {
		return err
	}
	n.compactedAt = snap.GetMetadata().GetIndex()
	if hard.GetCommit() < n.compactedAt {
		hard.Commit = proto.Uint64(n.compactedAt) // the snapshot was kept, and with it what it holds
		hard.Term = proto.Uint64(max(hard.GetTerm(), snap.GetMetadata().GetTerm()))
	}
	if err := n.memory.SetHardState(hard); err != nil {
		return err
	}
	var entries []*pb.Entry
	for _, e := range kept.Entries {
		if e.Index <= n.compactedAt {
			continue
		}
		entry := &pb.Entry{}
		if err := proto.Unmarshal(e.Data, entry); err != nil {
			return fmt.Errorf("the kept command %d cannot be read: %w", e.Index, err)
		}
		if want := n.compactedAt + uint64(len(entries)) + 1; entry.GetIndex() != want {
			return fmt.Errorf("the kept log has command %d where %d should be", entry.GetIndex(), want)
		}
		entries = append(entries, entry)
	}
	return n.memory.Append(entries)
}

// State is the machine as far as this steward knows it; only to be read.
func (n *Node) State() *maintenance.State { return n.state }

// Leader is who leads as far as this steward knows; 0 = nobody.
func (n *Node) Leader() ID { return ID(n.raw.BasicStatus().Lead) }

// IsLeader tells whether this steward leads and has applied all that came before.
func (n *Node) IsLeader() bool { return n.leaderSince > 0 && n.err == nil }

// Err is why this steward has stopped; nil = it has not.
func (n *Node) Err() error { return n.err }

// Tick lets time pass, by the steward's own monotonic clock.
func (n *Node) Tick(now maintenance.Time) {
	if n.err != nil {
		return
	}
	n.clock = max(n.clock, now)
	n.ticks++
	n.raw.Tick()
	for to, at := range n.snapshotSentAt {
		if n.ticks-at > n.snapshotTimeout {
			// The core sends a steward nothing more until it hears what became of a snapshot, and one lost on the way says nothing.
			n.raw.ReportSnapshot(to, raft.SnapshotFailure)
			delete(n.snapshotSentAt, to)
		}
	}
}

// Step takes a message of another steward.
func (n *Node) Step(m *pb.Message) error {
	if n.err != nil {
		return n.err
	}
	return n.raw.Step(m)
}

// Propose puts a command into the log, where this steward leads. done is told its result from a later Turn, or ErrOutcomeUnknown.
func (n *Node) Propose(c maintenance.Command, done func(maintenance.Result, error)) {
	if n.err != nil {
		done(maintenance.Result{}, n.err)
		return
	}
	if !n.IsLeader() {
		done(maintenance.Result{}, ErrNotLeader)
		return
	}
	c.At = n.clockOffset + n.clock
	b, err := c.Encode()
	if err != nil {
		done(maintenance.Result{}, err)
		return
	}
	n.lastProposal++
	if err := n.raw.Propose(wrapProposal(uint64(n.id), n.term, n.lastProposal, b)); err != nil {
		done(maintenance.Result{}, fmt.Errorf("%w: %w", ErrNotLeader, err))
		return
	}
	n.pending[n.lastProposal] = done
}

// Process keeps what must be kept, applies what is committed and gives the messages to send now. It is called after any of the others.
func (n *Node) Process() []*pb.Message {
	var out []*pb.Message
	for n.err == nil && n.raw.HasReady() {
		rd := n.raw.Ready()
		if err := n.persist(rd); err != nil {
			n.fail(fmt.Errorf("%w: %w", ErrStorage, err))
			return nil // nothing of this Turn may be said: it rests on what was not kept
		}
		out = append(out, rd.Messages...)
		for _, m := range rd.Messages {
			if m.GetType() == pb.MsgSnap {
				n.snapshotSentAt[m.GetTo()] = n.ticks
			}
		}
		if err := n.apply(rd); err != nil {
			n.fail(err)
			return out
		}
		n.raw.Advance(rd)
	}
	if n.err == nil {
		n.updateLeadership()
		if err := n.compact(); err != nil {
			n.fail(fmt.Errorf("%w: %w", ErrStorage, err))
		}
	}
	return out
}

func (n *Node) fail(why error) {
	n.err, n.leaderSince = why, 0
	n.abortPending()
}

// abortPending ends what was proposed here and has not been applied: another leader may or may not hold it.
func (n *Node) abortPending() {
	for _, seq := range sorted(n.pending) {
		done := n.pending[seq]
		delete(n.pending, seq)
		done(maintenance.Result{}, ErrOutcomeUnknown)
	}
}

func sorted(m map[uint64]func(maintenance.Result, error)) []uint64 {
	var all []uint64
	for k := range m {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}

// persist puts a Ready on the disk and then into the memory that raft reads.
func (n *Node) persist(rd raft.Ready) error {
	var c WriteBatch
	if !raft.IsEmptyHardState(rd.HardState) {
		b, err := proto.Marshal(rd.HardState)
		if err != nil {
			return err
		}
		c.HardState = b
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		b, err := proto.Marshal(rd.Snapshot)
		if err != nil {
			return err
		}
		c.Snapshot, c.CompactTo = b, rd.Snapshot.GetMetadata().GetIndex()
		c.TruncateFrom = c.CompactTo + 1
	}
	for _, e := range rd.Entries {
		b, err := proto.Marshal(e)
		if err != nil {
			return err
		}
		c.Entries = append(c.Entries, Entry{e.GetIndex(), b})
	}
	if len(c.Entries) > 0 {
		c.TruncateFrom = c.Entries[0].Index
	}
	if c.HardState != nil || c.Snapshot != nil || len(c.Entries) > 0 {
		if err := n.storage.Write(c); err != nil {
			return err
		}
	}
	if c.Snapshot != nil {
		if err := n.memory.ApplySnapshot(rd.Snapshot); err != nil {
			return err
		}
	}
	if c.HardState != nil {
		if err := n.memory.SetHardState(rd.HardState); err != nil {
			return err
		}
	}
	return n.memory.Append(rd.Entries)
}

// apply applies a snapshot and what is committed.
func (n *Node) apply(rd raft.Ready) error {
	if !raft.IsEmptySnap(rd.Snapshot) {
		s, err := maintenance.Restore(rd.Snapshot.GetData())
		if err != nil {
			return err
		}
		n.state, n.compactedAt = s, rd.Snapshot.GetMetadata().GetIndex()
	}
	if rd.SoftState != nil && rd.SoftState.RaftState != raft.StateLeader {
		n.leaderSince = 0
		n.abortPending()
	}
	for _, e := range rd.CommittedEntries {
		if len(e.GetData()) == 0 { // a new leader's first entry
			n.state.Apply(maintenance.Epoch(e.GetIndex()), maintenance.Command{})
			continue
		}
		by, term, seq, b, err := unwrapProposal(e.GetData())
		if err != nil {
			return err
		}
		c, err := maintenance.Decode(b)
		if err != nil {
			return err // to go on without it would part this steward's state from the others'
		}
		r, err := n.state.Apply(maintenance.Epoch(e.GetIndex()), c)
		if done := n.pending[seq]; done != nil && by == uint64(n.id) && term == n.term {
			delete(n.pending, seq)
			done(r, err)
		}
	}
	return nil
}

// updateLeadership begins this steward's lead once all commands of earlier ones are applied: it must know what was granted before it lets
// time pass for it.
func (n *Node) updateLeadership() {
	st := n.raw.BasicStatus()
	if st.RaftState != raft.StateLeader {
		n.leaderSince = 0
		return
	}
	if n.leaderSince > 0 && n.term == st.GetTerm() {
		return
	}
	if t, err := n.memory.Term(uint64(n.state.Applied)); err == nil && t == st.GetTerm() {
		n.leaderSince, n.term, n.clockOffset = uint64(n.state.Applied), st.GetTerm(), n.state.Now-n.clock
	}
}

// compact compacts the log: what is applied stands in the snapshot.
func (n *Node) compact() error {
	at := uint64(n.state.Applied)
	if at < n.compactedAt+n.compactAfter {
		return nil
	}
	data, err := n.state.Snapshot()
	if err != nil {
		return err
	}
	snap, err := n.memory.CreateSnapshot(at, n.confState, data)
	if err != nil {
		return err
	}
	b, err := proto.Marshal(snap)
	if err != nil {
		return err
	}
	// Some commands stay, so that a steward a little behind is sent these and not the whole state.
	keep := at - min(n.compactAfter/4, at-1)
	if first, err := n.memory.FirstIndex(); err == nil && keep < first {
		keep = first
	}
	if err := n.storage.Write(WriteBatch{Snapshot: b, CompactTo: at}); err != nil {
		return err
	}
	n.compactedAt = at
	return n.memory.Compact(keep)
}
