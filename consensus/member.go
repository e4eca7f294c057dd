package consensus

import "slices"

// Member is an acceptor with the address at which it was last reached.
//
// The JSON names are part of the output of the controller command that inspects stored state.
type Member struct {
	ID      AcceptorID `json:"ID"`
	Address string     `json:"Address"`
}

// Contains reports whether members contains the acceptor with the given ID.
func Contains(members []Member, id AcceptorID) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.ID == id })
}

// HasMajority reports whether more than half of the members satisfy the predicate. An empty set has no majority.
func HasMajority(members []Member, satisfies func(AcceptorID) bool) bool {
	count := 0
	for _, m := range members {
		if satisfies(m.ID) {
			count++
		}
	}
	return 2*count > len(members)
}

// sameMembers reports whether two lists contain the same acceptors, regardless of order and addresses.
func sameMembers(a, b []Member) bool {
	if len(a) != len(b) {
		return false
	}
	return !slices.ContainsFunc(a, func(m Member) bool { return !Contains(b, m.ID) })
}

// hasQuorum reports whether the acceptors that satisfy the predicate are enough to decide a value: a majority of its members
// and a majority of its prior members. Both majorities are needed because the value may be a change from one set to the
// other.
func hasQuorum(v *Value, satisfies func(AcceptorID) bool) bool {
	return HasMajority(v.Members, satisfies) && HasMajority(v.PriorMembers, satisfies)
}
