package consensus

import (
	"fmt"
	"slices"
)

// LeaveStatus says whether a member may leave for good, or why not yet.
type LeaveStatus uint8

// The reasons why a member must not leave yet, after LeaveAllowed.
const (
	LeaveAllowed       LeaveStatus = iota
	UnresolvedAccept               // it accepted a value whose outcome it does not know
	UnconfirmedMembers             // a change of the members is not confirmed: a majority of the members before is still needed
	IncompleteReplicas             // a member that stays is not known to hold what this one holds
)

// String returns the status in words.
func (s LeaveStatus) String() string {
	switch s {
	case LeaveAllowed:
		return "allowed to leave"
	case UnresolvedAccept:
		return "the outcome of an accepted value is not known"
	case UnconfirmedMembers:
		return "a change of the members is not confirmed"
	case IncompleteReplicas:
		return "not all remaining members are known to hold the decided value"
	}
	return fmt.Sprintf("leave status %d", uint8(s))
}

// CheckLeave reports whether a member may end for good, perhaps with its disk, and if replicas are incomplete, of which
// members. Own is what its disk holds; replicas are what the others reported of theirs lately.
//
// Once it may leave, every remaining member holds the decided value or one that follows it. So the member's disk is not
// needed to find that value, and a majority of the members before it is not needed to decide the next.
func (d Decision) CheckLeave(self AcceptorID, own Replica, replicas map[AcceptorID]Replica) (LeaveStatus, []Member) {
	if !d.Resolves(own) {
		return UnresolvedAccept, nil
	}
	if !d.Value.Confirmed() {
		return UnconfirmedMembers, nil
	}
	missing := slices.DeleteFunc(d.Unreplicated(replicas), func(m Member) bool { return m.ID == self })
	if len(missing) > 0 {
		return IncompleteReplicas, missing
	}
	return LeaveAllowed, nil
}
