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
	// ErrNotLeading says that another steward has to be asked; Node.Leader may know which.
	ErrNotLeading = errors.New("this steward does not lead")
	// ErrUnsure says that a command may or may not come into force: asked again it does no harm.
	ErrUnsure = errors.New("no majority of the stewards has said whether it is in force")
	// ErrEmpty says that a steward has no log where it should have one. Without it, it might vote twice in one term, and forget
	// what it had acknowledged.
	ErrEmpty = errors.New("there is no log of this steward, and only the founding of a fleet begins without one")
	// ErrDisk says that the log could not be kept: this steward has stopped and says nothing more.
	ErrDisk = errors.New("the log could not be kept")
)

// Change is what must be kept before any message of the same Turn leaves. All of it comes into force together or not at all.
type Change struct {
	Hard     []byte     // the vote, the term and what is committed; nil = as before
	Snapshot []byte     // in place of the one before; nil = as before
	Put      []Numbered // entries, rising; those of a number that is there are replaced
	From     uint64     // entries from here on that Put does not name are dropped; 0 = none are
	UpTo     uint64     // entries up to here are dropped; 0 = none are
}

// Numbered is an entry of the log and its number.
type Numbered struct {
	No    uint64
	Bytes []byte
}

// Kept is what a Disk holds.
type Kept struct {
	Hard, Snapshot []byte
	Entries        []Numbered // rising, without gaps
}

// Disk keeps a log. An error of Keep leaves in doubt what was kept.
type Disk interface {
	Load() (Kept, error)
	Keep(Change) error
}

// Setup is how a Node is made.
type Setup struct {
	ID       ID
	Stewards []ID // all of them, this one too
	Limits   maintenance.Limits
	Disk     Disk
	Found    bool // the fleet is founded: an empty disk is in order
	Compact  int  // commands after which the log is cut; 0 = 1000
	// Ticks: an election begins after so many of them without a word of a leader; a leader speaks at every one. 0 = 10.
	Ticks int
}

// Node is one steward.
type Node struct {
	id       ID
	raw      *raft.RawNode
	mem      *raft.MemoryStorage
	disk     Disk
	state    *maintenance.State
	conf     *pb.ConfState
	compact  uint64
	cutAt    uint64
	began    uint64 // the first command number of this steward's lead that it has applied; 0 = it does not lead, or not yet
	term     uint64
	now      maintenance.Time // own clock
	base     maintenance.Time // the machine's time when this lead began, less the own clock then
	seq      uint64
	waiting  map[uint64]func(maintenance.Result, error)
	ticks    int            // so many since the start
	patience int            // ticks until a snapshot that was sent is taken for lost
	snaps    map[uint64]int // when a snapshot was last sent to each steward; emptied when it is taken for lost
	dead     error
}

// New makes a steward from what its disk holds.
func New(s Setup) (*Node, error) {
	if s.ID == 0 || !slices.Contains(s.Stewards, s.ID) {
		return nil, fmt.Errorf("steward %d is not among the stewards %v", s.ID, s.Stewards)
	}
	kept, err := s.Disk.Load()
	if err != nil {
		return nil, err
	}
	n := &Node{id: s.ID, mem: raft.NewMemoryStorage(), disk: s.Disk, state: maintenance.New(s.Limits), compact: uint64(s.Compact),
		waiting: map[uint64]func(maintenance.Result, error){}, snaps: map[uint64]int{}, conf: &pb.ConfState{}}
	if n.compact == 0 {
		n.compact = 1000
	}
	for _, id := range s.Stewards {
		n.conf.Voters = append(n.conf.Voters, uint64(id))
	}
	slices.Sort(n.conf.Voters)
	if kept.Snapshot == nil {
		if !s.Found || len(kept.Entries) > 0 {
			return nil, fmt.Errorf("steward %d: %w", s.ID, ErrEmpty)
		}
		if kept.Snapshot, err = n.found(); err != nil {
			return nil, err
		}
	}
	if err := n.load(kept); err != nil {
		return nil, err
	}
	ticks := s.Ticks
	if ticks == 0 {
		ticks = 10
	}
	n.patience = ticks
	n.raw, err = raft.NewRawNode(&raft.Config{ID: uint64(s.ID), ElectionTick: ticks, HeartbeatTick: 1, Storage: n.mem, Applied: uint64(n.state.Applied),
		MaxSizePerMsg: 64 << 10, MaxInflightMsgs: 64, CheckQuorum: true, PreVote: true, MaxUncommittedEntriesSize: 8 << 20,
		Logger: &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}})
	if err != nil {
		return nil, fmt.Errorf("steward %d: %w", s.ID, err)
	}
	return n, nil
}

// found writes the first snapshot: the stewards and an empty fleet.
func (n *Node) found() ([]byte, error) {
	n.state.Applied = 1
	data, err := n.state.Snapshot()
	if err != nil {
		return nil, err
	}
	snap, err := proto.Marshal(&pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{ConfState: n.conf, Index: proto.Uint64(1), Term: proto.Uint64(1)}})
	if err != nil {
		return nil, err
	}
	hard, err := proto.Marshal(&pb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1), Vote: proto.Uint64(0)})
	if err != nil {
		return nil, err
	}
	if err := n.disk.Keep(Change{Hard: hard, Snapshot: snap}); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDisk, err)
	}
	return snap, nil
}

func (n *Node) load(kept Kept) error {
	snap, hard := &pb.Snapshot{}, &pb.HardState{}
	if err := proto.Unmarshal(kept.Snapshot, snap); err != nil {
		return fmt.Errorf("the kept snapshot cannot be read: %w", err)
	}
	if err := proto.Unmarshal(kept.Hard, hard); err != nil {
		return fmt.Errorf("the kept vote cannot be read: %w", err)
	}
	var err error
	if n.state, err = maintenance.Restore(snap.GetData()); err != nil {
		return err
	}
	if err := n.mem.ApplySnapshot(snap); err != nil {
		return err
	}
	n.cutAt = snap.GetMetadata().GetIndex()
	if hard.GetCommit() < n.cutAt {
		hard.Commit = proto.Uint64(n.cutAt) // the snapshot was kept, and with it what it holds
		hard.Term = proto.Uint64(max(hard.GetTerm(), snap.GetMetadata().GetTerm()))
	}
	if err := n.mem.SetHardState(hard); err != nil {
		return err
	}
	var entries []*pb.Entry
	for _, e := range kept.Entries {
		if e.No <= n.cutAt {
			continue
		}
		entry := &pb.Entry{}
		if err := proto.Unmarshal(e.Bytes, entry); err != nil {
			return fmt.Errorf("the kept command %d cannot be read: %w", e.No, err)
		}
		if want := n.cutAt + uint64(len(entries)) + 1; entry.GetIndex() != want {
			return fmt.Errorf("the kept log has command %d where %d should be", entry.GetIndex(), want)
		}
		entries = append(entries, entry)
	}
	return n.mem.Append(entries)
}

// State is the machine as far as this steward knows it; only to be read.
func (n *Node) State() *maintenance.State { return n.state }

// Leader is who leads as far as this steward knows; 0 = nobody.
func (n *Node) Leader() ID { return ID(n.raw.BasicStatus().Lead) }

// Leads tells whether this steward leads and has applied all that came before.
func (n *Node) Leads() bool { return n.began > 0 && n.dead == nil }

// Dead is why this steward has stopped; nil = it has not.
func (n *Node) Dead() error { return n.dead }

// Tick lets time pass, by the steward's own monotonic clock.
func (n *Node) Tick(now maintenance.Time) {
	if n.dead != nil {
		return
	}
	n.now = max(n.now, now)
	n.ticks++
	n.raw.Tick()
	for to, at := range n.snaps {
		if n.ticks-at > n.patience {
			// The core sends a steward nothing more until it hears what became of a snapshot, and one lost on the way says nothing.
			n.raw.ReportSnapshot(to, raft.SnapshotFailure)
			delete(n.snaps, to)
		}
	}
}

// Step takes a message of another steward.
func (n *Node) Step(m *pb.Message) error {
	if n.dead != nil {
		return n.dead
	}
	return n.raw.Step(m)
}

// Propose puts a command into the log, where this steward leads. done is told its result from a later Turn, or ErrUnsure.
func (n *Node) Propose(c maintenance.Command, done func(maintenance.Result, error)) {
	if n.dead != nil {
		done(maintenance.Result{}, n.dead)
		return
	}
	if !n.Leads() {
		done(maintenance.Result{}, ErrNotLeading)
		return
	}
	c.At = n.base + n.now
	b, err := c.Encode()
	if err != nil {
		done(maintenance.Result{}, err)
		return
	}
	n.seq++
	if err := n.raw.Propose(seal(uint64(n.id), n.term, n.seq, b)); err != nil {
		done(maintenance.Result{}, fmt.Errorf("%w: %w", ErrNotLeading, err))
		return
	}
	n.waiting[n.seq] = done
}

// Turn keeps what must be kept, applies what is committed and gives the messages to send now. It is called after any of the others.
func (n *Node) Turn() []*pb.Message {
	var out []*pb.Message
	for n.dead == nil && n.raw.HasReady() {
		rd := n.raw.Ready()
		if err := n.keep(rd); err != nil {
			n.stop(fmt.Errorf("%w: %w", ErrDisk, err))
			return nil // nothing of this Turn may be said: it rests on what was not kept
		}
		out = append(out, rd.Messages...)
		for _, m := range rd.Messages {
			if m.GetType() == pb.MsgSnap {
				n.snaps[m.GetTo()] = n.ticks
			}
		}
		if err := n.take(rd); err != nil {
			n.stop(err)
			return out
		}
		n.raw.Advance(rd)
	}
	if n.dead == nil {
		n.lead()
		if err := n.cut(); err != nil {
			n.stop(fmt.Errorf("%w: %w", ErrDisk, err))
		}
	}
	return out
}

func (n *Node) stop(why error) {
	n.dead, n.began = why, 0
	n.fail()
}

// fail ends what was proposed here and has not been applied: another leader may or may not hold it.
func (n *Node) fail() {
	for _, seq := range sorted(n.waiting) {
		done := n.waiting[seq]
		delete(n.waiting, seq)
		done(maintenance.Result{}, ErrUnsure)
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

// keep puts a Ready on the disk and then into the memory that raft reads.
func (n *Node) keep(rd raft.Ready) error {
	var c Change
	if !raft.IsEmptyHardState(rd.HardState) {
		b, err := proto.Marshal(rd.HardState)
		if err != nil {
			return err
		}
		c.Hard = b
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		b, err := proto.Marshal(rd.Snapshot)
		if err != nil {
			return err
		}
		c.Snapshot, c.UpTo = b, rd.Snapshot.GetMetadata().GetIndex()
		c.From = c.UpTo + 1
	}
	for _, e := range rd.Entries {
		b, err := proto.Marshal(e)
		if err != nil {
			return err
		}
		c.Put = append(c.Put, Numbered{e.GetIndex(), b})
	}
	if len(c.Put) > 0 {
		c.From = c.Put[0].No
	}
	if c.Hard != nil || c.Snapshot != nil || len(c.Put) > 0 {
		if err := n.disk.Keep(c); err != nil {
			return err
		}
	}
	if c.Snapshot != nil {
		if err := n.mem.ApplySnapshot(rd.Snapshot); err != nil {
			return err
		}
	}
	if c.Hard != nil {
		if err := n.mem.SetHardState(rd.HardState); err != nil {
			return err
		}
	}
	return n.mem.Append(rd.Entries)
}

// take applies a snapshot and what is committed.
func (n *Node) take(rd raft.Ready) error {
	if !raft.IsEmptySnap(rd.Snapshot) {
		s, err := maintenance.Restore(rd.Snapshot.GetData())
		if err != nil {
			return err
		}
		n.state, n.cutAt = s, rd.Snapshot.GetMetadata().GetIndex()
	}
	if rd.SoftState != nil && rd.SoftState.RaftState != raft.StateLeader {
		n.began = 0
		n.fail()
	}
	for _, e := range rd.CommittedEntries {
		if len(e.GetData()) == 0 { // a new leader's first entry
			n.state.Apply(maintenance.Epoch(e.GetIndex()), maintenance.Command{})
			continue
		}
		by, term, seq, b, err := unseal(e.GetData())
		if err != nil {
			return err
		}
		c, err := maintenance.Decode(b)
		if err != nil {
			return err // to go on without it would part this steward's state from the others'
		}
		r, err := n.state.Apply(maintenance.Epoch(e.GetIndex()), c)
		if done := n.waiting[seq]; done != nil && by == uint64(n.id) && term == n.term {
			delete(n.waiting, seq)
			done(r, err)
		}
	}
	return nil
}

// lead begins this steward's lead once all commands of earlier ones are applied: it must know what was granted before it lets
// time pass for it.
func (n *Node) lead() {
	st := n.raw.BasicStatus()
	if st.RaftState != raft.StateLeader {
		n.began = 0
		return
	}
	if n.began > 0 && n.term == st.GetTerm() {
		return
	}
	if t, err := n.mem.Term(uint64(n.state.Applied)); err == nil && t == st.GetTerm() {
		n.began, n.term, n.base = uint64(n.state.Applied), st.GetTerm(), n.state.Now-n.now
	}
}

// cut compacts the log: what is applied stands in the snapshot.
func (n *Node) cut() error {
	at := uint64(n.state.Applied)
	if at < n.cutAt+n.compact {
		return nil
	}
	data, err := n.state.Snapshot()
	if err != nil {
		return err
	}
	snap, err := n.mem.CreateSnapshot(at, n.conf, data)
	if err != nil {
		return err
	}
	b, err := proto.Marshal(snap)
	if err != nil {
		return err
	}
	// Some commands stay, so that a steward a little behind is sent these and not the whole state.
	keep := at - min(n.compact/4, at-1)
	if first, err := n.mem.FirstIndex(); err == nil && keep < first {
		keep = first
	}
	if err := n.disk.Keep(Change{Snapshot: b, UpTo: at}); err != nil {
		return err
	}
	n.cutAt = at
	return n.mem.Compact(keep)
}
