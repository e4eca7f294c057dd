package consensus

// Replica describes the value stored on an acceptor's disk: the slot of the value that the acceptor accepted last, and the
// ballot at which it accepted it. An acceptor reports a Replica only after the value is stored. A decided value that a
// process knows but has not accepted and stored is not a replica.
type Replica struct {
	Slot   Slot
	Ballot Ballot
}

// Decision is a value that is known to be decided, with the lowest (First) and the highest (Last) ballot at which it is known
// to have been decided: a proposal of the same value at a higher ballot decides it again. Zero ballots mean that no such
// ballot is known.
type Decision struct {
	Value       *Value
	First, Last Ballot
}

// WithBallot returns the decision extended by a ballot at which its value was decided. The zero Ballot is ignored.
func (d Decision) WithBallot(b Ballot) Decision {
	if b == (Ballot{}) {
		return d
	}
	if d.First == (Ballot{}) || b.Compare(d.First) < 0 {
		d.First = b
	}
	if b.Compare(d.Last) > 0 {
		d.Last = b
	}
	return d
}

// Resolves reports whether the decision determines the outcome of the value that an acceptor accepted last: either it is
// decided, or it can no longer be. A value of a later slot can no longer be decided once a proposal at a higher ballot has
// decided the earlier slot again: if the later value had been decided, that proposal would have found it.
func (d Decision) Resolves(own Replica) bool {
	return own.Slot <= d.Value.Slot || own.Ballot.Compare(d.Last) < 0
}

// ReplicatedBy reports whether a disk with the given replica stores the decided value or a successor of it.
//
// The slot alone is not sufficient. A value of the same slot at a lower ballot may be a different value, or may lose to one.
// Nor is a value of a later slot that was not decided and can no longer be: its acceptor would keep reporting a slot that
// was never decided.
func (d Decision) ReplicatedBy(r Replica) bool {
	switch {
	case d.Value.Slot == 0:
		return true // nothing has been decided yet
	case r.Slot > d.Value.Slot:
		return d.Last != (Ballot{}) && r.Ballot.Compare(d.Last) >= 0
	}
	return d.First != (Ballot{}) && r.Slot == d.Value.Slot && r.Ballot.Compare(d.First) >= 0
}

// Unreplicated returns the members that are not known to store the decided value. The replicas are those that members
// reported; a member without a report counts as storing nothing.
func (d Decision) Unreplicated(replicas map[AcceptorID]Replica) []Member {
	if d.Value.Slot == 0 {
		return nil
	}
	var missing []Member
	for _, m := range d.Value.Members {
		if r, reported := replicas[m.ID]; !reported || !d.ReplicatedBy(r) {
			missing = append(missing, m)
		}
	}
	return missing
}

// CatchUpAccept returns the Accept that decided the value, for an acceptor that has not received it. At a ballot at which the
// value is known to have been decided, no other value can have been proposed, so this message is identical to one that may
// still be in flight. It returns ok = false if no such ballot is known, or if the acceptor is not one of the value's
// acceptors.
func (d Decision) CatchUpAccept(to AcceptorID) (a Accept, ok bool) {
	if d.Last == (Ballot{}) || !Contains(d.Value.Acceptors(), to) {
		return Accept{}, false
	}
	return Accept{To: to, Ballot: d.Last, Value: d.Value}, true
}
