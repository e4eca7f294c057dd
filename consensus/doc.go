// Package consensus decides the values of a replicated register by Paxos, with acceptors that keep their state on disk and
// any process as a proposer. It has no leader, no I/O, no clock and no goroutines: callers store the state that an acceptor
// returns before they send its reply, and carry the messages.
//
// # The register
//
// The register has slots 1, 2, 3, ... The value of each slot holds the whole configuration, the documents beside it and the
// members, that is, the acceptors. A value names the members of its own slot and those of the slot before it. A proposal
// first learns the newest value that may have been decided, then proposes that value again or one that follows it, for the
// next slot. All slots share one promise and one accepted value for each acceptor, so that only the newest slot is stored.
//
// # Invariants
//
//   - At most one value is decided for each slot. A value is decided once it is accepted at one ballot by a majority of its
//     members and by a majority of the members before them (hasQuorum). A proposal that follows must collect prepare replies
//     from majorities that intersect these (Proposal.hasPrepareQuorum), so that it learns of the value.
//   - A value follows only a value that is confirmed, that is, whose members are those of the slot before it. So members
//     change one decided step at a time, and a change is confirmed by a slot of its own before the next value.
//   - An acceptor never accepts below the ballot that it promised (AcceptorState). Its identity is that of its disk: an
//     acceptor whose disk was lost comes back under a new identity and must be made a member again.
//
// The argument why no two values are decided for a slot is in docs/design/system.md. The model tests of this package run
// the protocol against lost, duplicated and reordered messages, crashes and lost disks, and check that injected faults are
// detected.
package consensus
