// Package consensus implements a replicated register with Paxos. Acceptors store their state on disk, and any process can be
// a proposer. The package has no leader, performs no I/O, reads no clock and starts no goroutines: the caller stores the
// state that an acceptor returns before it sends the acceptor's reply, and transports the messages.
//
// # The register
//
// The register has slots 1, 2, 3, ... The value of a slot contains the complete configuration, the documents stored with it
// and the members, that is, the acceptors. A value lists the members of its own slot and those of the previous slot. A
// proposal first learns the newest value that may have been decided, then proposes either that value again or a successor
// of it for the next slot. Each acceptor has one promised ballot and one accepted value for all slots, so that only the
// newest slot is stored.
//
// # Invariants
//
//   - At most one value is decided for each slot. A value is decided once it is accepted at the same ballot by a majority of
//     its members and by a majority of its prior members (hasQuorum). A later proposal must collect prepare replies from
//     majorities that intersect these (Proposal.hasPrepareQuorum), so that it learns of the value.
//   - A value may succeed only a confirmed value, that is, one whose members equal its prior members. Membership therefore
//     changes one decided step at a time, and each change is confirmed in a slot of its own before the next value.
//   - An acceptor never accepts a value at a ballot below the one that it promised (AcceptorState). The identity of an
//     acceptor is bound to its disk: an acceptor whose disk was lost returns under a new identity and must be added as a
//     member again.
//
// docs/design/system.md contains the argument that no two values are decided for a slot. The model tests of this package
// run the protocol with lost, duplicated and reordered messages, crashes and lost disks, and check that injected faults are
// detected.
package consensus
