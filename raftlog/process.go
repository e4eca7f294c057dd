package raftlog

import (
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"oxbowspan/maintenance"
)

// Process writes what must be durable, applies the committed entries and returns the messages to send. It must be
// called after each Tick, Step and Propose, or after a series of them.
func (n *Node) Process() []*pb.Message {
	var messages []*pb.Message
	for n.err == nil && n.raw.HasReady() {
		ready := n.raw.Ready()
		if err := n.persist(ready); err != nil {
			n.fail(fmt.Errorf("%w: %w", ErrStorage, err))
			return nil // none of these messages may be sent, as they depend on data that was not stored
		}
		messages = append(messages, ready.Messages...)
		for _, m := range ready.Messages {
			if m.GetType() == pb.MsgSnap {
				n.snapshotSentAt[m.GetTo()] = n.ticks
			}
		}
		if err := n.apply(ready); err != nil {
			n.fail(err)
			return messages
		}
		n.raw.Advance(ready)
	}
	if n.err == nil {
		n.updateLeadership()
		if err := n.compact(); err != nil {
			n.fail(fmt.Errorf("%w: %w", ErrStorage, err))
		}
	}
	return messages
}

// persist writes a Ready to the storage and then adds it to the in-memory log from which the Raft library reads.
func (n *Node) persist(ready raft.Ready) error {
	batch, err := newWriteBatch(ready)
	if err != nil {
		return err
	}
	if batch.HardState != nil || batch.Snapshot != nil || len(batch.Entries) > 0 {
		if err := n.storage.Write(batch); err != nil {
			return err
		}
	}
	if batch.Snapshot != nil {
		if err := n.memoryLog.ApplySnapshot(ready.Snapshot); err != nil {
			return err
		}
	}
	if batch.HardState != nil {
		if err := n.memoryLog.SetHardState(ready.HardState); err != nil {
			return err
		}
	}
	return n.memoryLog.Append(ready.Entries)
}

// newWriteBatch encodes the parts of a Ready that must be stored.
func newWriteBatch(ready raft.Ready) (batch WriteBatch, err error) {
	if !raft.IsEmptyHardState(ready.HardState) {
		if batch.HardState, err = proto.Marshal(ready.HardState); err != nil {
			return batch, err
		}
	}
	if !raft.IsEmptySnap(ready.Snapshot) {
		if batch.Snapshot, err = proto.Marshal(ready.Snapshot); err != nil {
			return batch, err
		}
		// A snapshot of another voter replaces the whole log.
		batch.CompactTo = ready.Snapshot.GetMetadata().GetIndex()
		batch.TruncateFrom = batch.CompactTo + 1
	}
	for _, e := range ready.Entries {
		data, err := proto.Marshal(e)
		if err != nil {
			return batch, err
		}
		batch.Entries = append(batch.Entries, Entry{e.GetIndex(), data})
	}
	if len(batch.Entries) > 0 {
		batch.TruncateFrom = batch.Entries[0].Index
	}
	return batch, nil
}

// apply applies a snapshot and the committed entries to the state machine.
func (n *Node) apply(ready raft.Ready) error {
	if !raft.IsEmptySnap(ready.Snapshot) {
		state, err := maintenance.Restore(ready.Snapshot.GetData())
		if err != nil {
			return err
		}
		n.state, n.compactedAt = state, ready.Snapshot.GetMetadata().GetIndex()
	}
	if ready.SoftState != nil && ready.SoftState.RaftState != raft.StateLeader {
		n.leadershipIndex = 0
		n.abortPending()
	}
	for _, e := range ready.CommittedEntries {
		if err := n.applyEntry(e); err != nil {
			return err // if this voter skipped the entry, its state would differ from that of the other voters
		}
	}
	return nil
}

// applyEntry applies a committed entry, and passes the result to the proposer if this node proposed it.
func (n *Node) applyEntry(e *pb.Entry) error {
	index := maintenance.Epoch(e.GetIndex())
	if len(e.GetData()) == 0 { // the empty first entry of a new leader
		n.state.Apply(index, maintenance.Command{})
		return nil
	}
	id, encoded, err := unwrapProposal(e.GetData())
	if err != nil {
		return fmt.Errorf("entry %d: %w", index, err)
	}
	command, err := maintenance.Decode(encoded)
	if err != nil {
		return fmt.Errorf("entry %d: %w", index, err)
	}
	result, err := n.state.Apply(index, command)
	if done := n.pending[id.sequence]; done != nil && id.proposer == n.id && id.term == n.term {
		delete(n.pending, id.sequence)
		done(result, err)
	}
	return nil
}

// updateLeadership makes this voter act as leader after it has applied all commands of earlier leaders. It must have
// applied all permits that they granted before it advances the time of the state.
func (n *Node) updateLeadership() {
	status := n.raw.BasicStatus()
	if status.RaftState != raft.StateLeader {
		n.leadershipIndex = 0
		return
	}
	if n.leadershipIndex > 0 && n.term == status.GetTerm() {
		return
	}
	applied := uint64(n.state.Applied)
	if term, err := n.memoryLog.Term(applied); err == nil && term == status.GetTerm() {
		n.leadershipIndex, n.term, n.clockOffset = applied, term, n.state.Now-n.clock
	}
}

// compact replaces the applied part of the log by a snapshot if at least compactAfter entries were applied since the last one.
func (n *Node) compact() error {
	applied := uint64(n.state.Applied)
	if applied < n.compactedAt+n.compactAfter {
		return nil
	}
	data, err := n.state.Snapshot()
	if err != nil {
		return err
	}
	snapshot, err := n.memoryLog.CreateSnapshot(applied, n.confState, data)
	if err != nil {
		return err
	}
	encoded, err := proto.Marshal(snapshot)
	if err != nil {
		return err
	}
	// Some entries remain in memory, so that a voter that is slightly behind is sent these instead of the complete state.
	keepFrom := applied - min(n.compactAfter/4, applied-1)
	if first, err := n.memoryLog.FirstIndex(); err == nil && keepFrom < first {
		keepFrom = first
	}
	if err := n.storage.Write(WriteBatch{Snapshot: encoded, CompactTo: applied}); err != nil {
		return err
	}
	n.compactedAt = applied
	return n.memoryLog.Compact(keepFrom)
}
