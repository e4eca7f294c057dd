package raftlog

import (
	"fmt"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"oxbowspan/maintenance"
)

// firstIndex and firstTerm are the index and the term of the initial snapshot of a new fleet.
const (
	firstIndex = 1
	firstTerm  = 1
)

// bootstrap stores and returns the initial snapshot, which holds the voters and the state of an empty fleet.
func (n *Node) bootstrap() ([]byte, error) {
	n.state.Applied = firstIndex
	data, err := n.state.Snapshot()
	if err != nil {
		return nil, err
	}
	snapshot, err := proto.Marshal(&pb.Snapshot{Data: data,
		Metadata: &pb.SnapshotMetadata{ConfState: n.confState, Index: proto.Uint64(firstIndex), Term: proto.Uint64(firstTerm)}})
	if err != nil {
		return nil, err
	}
	hardState, err := proto.Marshal(&pb.HardState{Term: proto.Uint64(firstTerm), Commit: proto.Uint64(firstIndex), Vote: proto.Uint64(0)})
	if err != nil {
		return nil, err
	}
	if err := n.storage.Write(WriteBatch{HardState: hardState, Snapshot: snapshot}); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrStorage, err)
	}
	return snapshot, nil
}

// restore loads a stored log into the state machine and into the in-memory log from which the Raft library reads.
func (n *Node) restore(stored StoredLog) error {
	snapshot, hardState := &pb.Snapshot{}, &pb.HardState{}
	if err := proto.Unmarshal(stored.Snapshot, snapshot); err != nil {
		return fmt.Errorf("decode stored snapshot: %w", err)
	}
	if err := proto.Unmarshal(stored.HardState, hardState); err != nil {
		return fmt.Errorf("decode stored hard state: %w", err)
	}
	var err error
	if n.state, err = maintenance.Restore(snapshot.GetData()); err != nil {
		return err
	}
	if err := n.memoryLog.ApplySnapshot(snapshot); err != nil {
		return err
	}
	n.compactedAt = snapshot.GetMetadata().GetIndex()
	if hardState.GetCommit() < n.compactedAt {
		// The snapshot is durable and covers only committed entries, so everything up to its index is committed.
		hardState.Commit = proto.Uint64(n.compactedAt)
		hardState.Term = proto.Uint64(max(hardState.GetTerm(), snapshot.GetMetadata().GetTerm()))
	}
	if err := n.memoryLog.SetHardState(hardState); err != nil {
		return err
	}
	entries, err := decodeEntries(stored.Entries, n.compactedAt)
	if err != nil {
		return err
	}
	return n.memoryLog.Append(entries)
}

// decodeEntries decodes the entries with an index greater than after. A gap between them is an error.
func decodeEntries(stored []Entry, after uint64) (entries []*pb.Entry, err error) {
	for _, e := range stored {
		if e.Index <= after {
			continue
		}
		entry := &pb.Entry{}
		if err := proto.Unmarshal(e.Data, entry); err != nil {
			return nil, fmt.Errorf("decode stored entry %d: %w", e.Index, err)
		}
		if want := after + uint64(len(entries)) + 1; entry.GetIndex() != want {
			return nil, fmt.Errorf("stored log has a gap: found entry %d, expected entry %d", entry.GetIndex(), want)
		}
		entries = append(entries, entry)
	}
	return entries, nil
}
