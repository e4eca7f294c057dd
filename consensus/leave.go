package consensus

import (
	"fmt"
	"slices"
)

// LeaveStatus reports whether a member may leave permanently, and if not, the reason.
type LeaveStatus uint8

// LeaveAllowed, and the reasons why a member must not leave yet.
const (
	LeaveAllowed       LeaveStatus = iota
	UnresolvedAccept               // the member accepted a value whose outcome it does not know
	UnconfirmedMembers             // a membership change is not confirmed: a majority of the prior members is still needed
	IncompleteReplicas             // a remaining member is not known to store the decided value
)

// String returns a description of the status.
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

// CheckLeave reports whether a member may shut down permanently, possibly discarding its disk. If the status is
// IncompleteReplicas, it also returns the members whose replicas are missing. The own replica is that of the leaving
// member's disk; replicas contains the recent reports of the other members.
//
// When the member may leave, every remaining member stores the decided value or a successor of it. So the disk of the leaving
// member is not needed to find that value, and a majority of the prior members is not needed to decide the next one.
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
