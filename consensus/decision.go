package consensus

// Replica describes what an acceptor's disk holds: the slot of the value that it accepted last, and the ballot at which it
// did. An acceptor reports it only once the value is stored. A decided value that a process merely knows is no replica.
type Replica struct {
	Slot   Slot
	Ballot Ballot
}

// Decision is a value that is known to be decided, with the lowest and the highest ballot at which it is known to have been:
// a proposal of the same value at a higher ballot decides it again. Zero ballots mean that none is known.
type Decision struct {
	Value       *Value
	First, Last Ballot
}

// WithBallot returns the decision with one more ballot at which its value was decided. The zero Ballot adds nothing.
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

// Resolves reports whether the outcome of an acceptor's newest value is known: the value is decided, or can't be any more. A
// value of a later slot is lost once a proposal at a higher ballot has decided the earlier slot again, as that proposal would
// have found the later value, had it been decided.
func (d Decision) Resolves(own Replica) bool {
	return own.Slot <= d.Value.Slot || own.Ballot.Compare(d.Last) < 0
}

// ReplicatedBy reports whether a disk with such a replica holds the decided value, or one that follows it.
//
// The slot alone does not prove it. A value of the same slot at a lower ballot may be another value, or lose against one. A
// value of a later slot that has lost proves nothing either: its holder would go on reporting a slot that was never decided.
func (d Decision) ReplicatedBy(r Replica) bool {
	switch {
	case d.Value.Slot == 0:
		return true // nothing was decided yet
	case r.Slot > d.Value.Slot:
		return d.Last != (Ballot{}) && r.Ballot.Compare(d.Last) >= 0
	}
	return d.First != (Ballot{}) && r.Slot == d.Value.Slot && r.Ballot.Compare(d.First) >= 0
}

// Unreplicated returns the members that are not known to hold the decided value. Replicas are what members reported of their
// disks; a member that reported nothing holds nothing.
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

// CatchUpAccept returns the Accept that decided the value, for an acceptor that it has not reached. At a ballot at which the
// value is known to have been decided, nothing else can have been proposed, so the message is one that may still be in
// flight. There is none where no such ballot is known, or where the acceptor does not count for the value.
func (d Decision) CatchUpAccept(to AcceptorID) (a Accept, ok bool) {
	if d.Last == (Ballot{}) || !Contains(d.Value.Acceptors(), to) {
		return Accept{}, false
	}
	return Accept{To: to, Ballot: d.Last, Value: d.Value}, true
}
