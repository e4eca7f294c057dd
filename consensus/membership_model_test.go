package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The model of members that come and go. Machines are lost, with or without their disks, as many at once as are borne;
// they return and are granted a calm time, after which the next are lost at once; machines are replaced, in a planned way
// (the successor comes first, then the old one is told to end) or after a loss; all lose power between any two steps. What
// a machine decides (whose copy lacks, who may leave, which round follows) is the package's own code. After each step: no
// two values at a turn; nothing that was acknowledged is lost; while no more are lost than are borne, a majority can still
// agree; a copy held for proven is on the disk; after a calm time all members hold the newest value.

// membershipFault is a fault planted in the model's own part of the work, to see that the checks find it.
type membershipFault int

const (
	noMembershipFault        membershipFault = iota
	knowledgeCountsAsReplica                 // a machine tells what it knows for what its disk holds
	slotCountsAsReplica                      // a vote of the turn proves a copy, whatever its ballot
	newMemberCountsAsReplica                 // a member that said nothing of its disk yet counts as one that holds the value
	leaveImmediately                         // a member that is told to end goes at once
	leaveUnconfirmed                         // it goes as soon as its place is given, before that is confirmed
	leaveOnKnowledge                         // it goes as soon as those who stay know the value
	acceptWithoutPrepare                     // copies are completed by an Accept with a ballot that nobody promised
	catchUpAtPromisedBallot                  // a late Accept is taken at the ballot that the acceptor promised last
	replicasNeverRepaired                    // copies are completed by the next change alone
	lostDiskKeepsIdentity                    // a machine whose disk was lost says that its copy is the one before
	confirmUndecidedMembers                  // a change of members that was found in votes is confirmed as if it were decided
)

type member struct {
	address      string
	disk         AcceptorState
	up, cut      bool
	leaving      bool
	gone         bool
	known        *Value
	decidedKnown bool                   // known is decided
	decision     Decision               // known, and at which ballots
	replicas     map[AcceptorID]Replica // that others told of late
	incarnation  ProposerID
	number       uint64
	current      *proposalAttempt
}

// proposalAttempt is a round of a replica's present life, repeated until its change has had its way.
type proposalAttempt struct {
	member      *member
	incarnation ProposerID
	proposal    *Proposal
	change      ChangeFunc
	config      string // digest of the configuration that it carries; "" = none
	ended       *Value // what was decided with the change asked
}

type packet struct {
	from, to    *member
	incarnation ProposerID // of the receiver when it was sent
	deliver     func()
}

type membershipModel struct {
	r                  *rand.Rand
	injected           membershipFault
	members            []*member
	lost               map[*member]bool
	tolerated          int
	genesis            *Value
	packets            []packet
	decided            map[Slot]*Value
	newest             *Value
	acknowledged       []string
	incarnations       uint64
	configs            int
	violation          string
	simultaneousLosses int // losses right after a calm time or a leave
	leaves             int // planned leaves that came to their end in time
}

func newMembershipModel(seed uint64, planted membershipFault) *membershipModel {
	c := &membershipModel{r: rand.New(rand.NewPCG(seed, 77)), injected: planted, lost: map[*member]bool{}, decided: map[Slot]*Value{}}
	c.tolerated = 1 + int(seed%2)
	var members []Member
	for i := range 2*c.tolerated + 1 {
		m := Member{AcceptorID(i + 1), fmt.Sprint("m", i)}
		members = append(members, m)
		c.members = append(c.members, &member{address: m.Address, disk: AcceptorState{ID: m.ID}})
	}
	c.genesis = Genesis(members)
	c.newest = c.genesis
	for _, n := range c.members {
		c.start(n)
	}
	return c
}

func (c *membershipModel) fail(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, args...)
	}
}

func (c *membershipModel) start(n *member) {
	c.incarnations++
	n.up, n.known, n.decidedKnown, n.replicas, n.current = true, c.genesis, false, map[AcceptorID]Replica{}, nil
	if n.disk.Value != nil {
		n.known = RecoveryBase(n.disk.Value)
	}
	n.incarnation, n.number = ProposerID(c.incarnations), n.disk.Promised.Number
	n.decision = Decision{Value: n.known}
}

func (c *membershipModel) at(id AcceptorID) *member {
	for _, n := range c.members {
		if n.disk.ID == id && !n.gone {
			return n
		}
	}
	return nil
}

func (n *member) reachable() bool { return n.up && !n.cut && !n.gone }

func (c *membershipModel) send(from, to *member, deliver func()) {
	if to != nil && (from == to || from.reachable() && to.reachable()) {
		c.packets = append(c.packets, packet{from, to, to.incarnation, deliver})
	}
}

func (c *membershipModel) deliver(i int) {
	p := c.packets[i]
	c.packets[i] = c.packets[len(c.packets)-1]
	c.packets = c.packets[:len(c.packets)-1]
	if p.to.up && p.to.incarnation == p.incarnation && (p.from == p.to || p.to.reachable() && p.from.reachable()) {
		p.deliver()
	}
}

func (c *membershipModel) drain() {
	for len(c.packets) > 0 {
		c.deliver(c.r.IntN(len(c.packets)))
	}
}

// begin starts a round of a replica, in place of the one before.
func (c *membershipModel) begin(n *member, change ChangeFunc, config string) *proposalAttempt {
	a := &proposalAttempt{member: n, incarnation: n.incarnation, change: change, config: config}
	c.propose(a)
	return a
}

func (c *membershipModel) propose(a *proposalAttempt) {
	n := a.member
	n.number++
	a.proposal = NewProposal(Ballot{n.number, n.incarnation}, n.known, a.change)
	n.current = a
	c.prepare(a)
}

func (c *membershipModel) prepare(a *proposalAttempt) {
	round := a.proposal
	for _, m := range a.proposal.NextPrepares() {
		to := c.at(m.ID)
		c.send(a.member, to, func() {
			next, back := to.disk.HandlePrepare(Prepare{m.ID, round.Ballot()})
			to.disk = next
			c.send(to, a.member, func() { c.handlePrepareReply(a, round, back) })
		})
	}
}

func (c *membershipModel) handlePrepareReply(a *proposalAttempt, of *Proposal, p PrepareReply) {
	if a.member.current != a || a.proposal != of {
		return
	}
	to := a.proposal.HandlePrepareReply(p)
	if to == nil {
		c.prepare(a)
	}
	for _, m := range to {
		c.accept(a, m, a.proposal.Ballot(), a.proposal.Value())
	}
	c.recordPreemption(a)
}

func (c *membershipModel) accept(a *proposalAttempt, m Member, ballot Ballot, v *Value) {
	to, round := c.at(m.ID), a.proposal
	c.send(a.member, to, func() {
		next, back := to.disk.HandleAccept(Accept{m.ID, ballot, v})
		to.disk = next
		c.send(to, a.member, func() { c.handleAcceptReply(a, round, back) })
	})
}

func (c *membershipModel) handleAcceptReply(a *proposalAttempt, of *Proposal, back AcceptReply) {
	if a.member.current != a || a.proposal != of {
		return
	}
	if !a.proposal.HandleAcceptReply(back) {
		c.recordPreemption(a)
		return
	}
	v, n := a.proposal.Value(), a.member
	c.decide(v)
	n.learn(v, a.proposal.Ballot())
	if n.current = nil; !a.proposal.IncludesChange() || !v.Confirmed() {
		c.propose(a) // what stands before the change is decided first
		return
	}
	a.ended = v
	if a.config != "" && v.Digest == a.config {
		c.acknowledged = append(c.acknowledged, a.config)
	}
}

func (c *membershipModel) recordPreemption(a *proposalAttempt) {
	if by, lost := a.proposal.Preempted(); lost {
		a.member.number = max(a.member.number, by.Number)
		a.member.current = nil
	}
}

func (n *member) learn(v *Value, at ...Ballot) {
	if v.Slot < n.known.Slot {
		return
	}
	if !n.decidedKnown || v.Slot > n.known.Slot {
		n.known, n.decidedKnown, n.decision = v, true, Decision{Value: v}
	}
	for _, b := range at {
		n.decision = n.decision.WithBallot(b)
	}
}

func (c *membershipModel) decide(v *Value) {
	if old := c.decided[v.Slot]; old != nil {
		if !old.Equal(v) {
			c.fail("turn %d: two values are decided", v.Slot)
		}
		return
	}
	if before := c.decided[v.Slot-1]; before != nil && !sameMembers(v.PriorMembers, before.Members) {
		c.fail("turn %d follows another set than that of the turn before", v.Slot)
	}
	c.decided[v.Slot] = v
	if v.Slot > c.newest.Slot {
		c.newest = v
	}
}

// heartbeat tells all others what a replica knows and what its disk holds.
func (c *membershipModel) heartbeat(n *member) {
	id, copied, known, sure, d := n.disk.ID, n.disk.Replica(), n.known, n.decidedKnown, n.decision
	if c.injected == knowledgeCountsAsReplica && sure {
		copied = Replica{known.Slot, d.Last}
	}
	for _, o := range c.members {
		if o == n {
			continue
		}
		c.send(n, o, func() {
			if o.replicas[id].Ballot.Compare(copied.Ballot) <= 0 {
				o.replicas[id] = copied
			}
			if sure {
				o.learn(known, d.First, d.Last)
			}
		})
	}
}

// view is what a replica holds of the newest value that it knows to be decided, and of its copies.
func (c *membershipModel) view(n *member) (Decision, map[AcceptorID]Replica) {
	for id := range n.replicas { // who is not heard is forgotten
		if o := c.at(id); o == nil || !o.reachable() || !n.reachable() {
			delete(n.replicas, id)
		}
	}
	copies := map[AcceptorID]Replica{n.disk.ID: n.disk.Replica()}
	for id, copied := range n.replicas {
		copies[id] = copied
	}
	d := n.decision
	for _, m := range n.known.Members {
		if _, told := copies[m.ID]; !told && c.injected == newMemberCountsAsReplica && c.at(m.ID) != nil {
			copies[m.ID] = Replica{n.known.Slot, d.Last}
		}
		if copied := copies[m.ID]; c.injected == slotCountsAsReplica && copied.Slot >= n.known.Slot {
			copies[m.ID] = Replica{copied.Slot, Ballot{1 << 60, 1}}
		}
	}
	return d, copies
}

// unreplicated are the members in touch whose copies a replica does not hold for proven. What it holds for proven must be there.
func (c *membershipModel) unreplicated(n *member) []Member {
	d, copies := c.view(n)
	lacking := d.Unreplicated(copies)
	for _, m := range d.Value.Members {
		o := c.at(m.ID)
		if o == nil || Contains(lacking, m.ID) || d.Value.Slot == 0 {
			continue
		}
		if v := o.disk.Value; v == nil || v.Slot < d.Value.Slot || v.Slot == d.Value.Slot && !v.Equal(d.Value) {
			c.fail("turn %d: the copy of %s is held for proven and is not on its disk", d.Value.Slot, m.Address)
		}
	}
	return slices.DeleteFunc(lacking, func(m Member) bool {
		o := c.at(m.ID)
		return o == nil || !o.reachable()
	})
}

// tick has a replica begin the round that it owes, if it owes one.
func (c *membershipModel) tick(n *member) (owed bool) {
	if !n.reachable() {
		return false
	}
	identity := func(v *Value) *Value { return v }
	self := Member{n.disk.ID, n.address}
	switch member := Contains(n.known.Members, self.ID); {
	case n.decidedKnown && n.known.Confirmed() && !member && !n.leaving && c.replaceUnreachable(self)(n.known) != n.known:
		c.begin(n, c.replaceUnreachable(self), "")
	case !n.decision.Resolves(n.disk.Replica()), !n.decidedKnown && n.disk.Value != nil, n.decidedKnown && !n.known.Confirmed():
		c.begin(n, identity, "")
	case !n.decidedKnown:
		return false
	case member && n.leaving && c.spare(n) != nil:
		c.begin(n, c.handOver(self, c.spare(n)), "")
	default:
		lacking := c.unreplicated(n)
		if len(lacking) == 0 || c.injected == replicasNeverRepaired {
			return false
		}
		if c.injected == acceptWithoutPrepare {
			n.number++
			for _, m := range lacking {
				c.accept(&proposalAttempt{member: n}, m, Ballot{n.number, n.incarnation}, n.known)
			}
			return true
		}
		if a, ok := n.decision.CatchUpAccept(self.ID); ok && Contains(lacking, self.ID) && c.r.IntN(4) > 0 {
			if c.injected == catchUpAtPromisedBallot && n.disk.Promised.Compare(a.Ballot) > 0 {
				a.Ballot = n.disk.Promised
			}
			next, back := n.disk.HandleAccept(a)
			if n.disk = next; back.OK {
				return true
			}
		}
		c.begin(n, identity, "")
	}
	return true
}

// replaceUnreachable gives a place: that of the disk that was at the address before, or one of a machine that nobody hears.
func (c *membershipModel) replaceUnreachable(self Member) ChangeFunc {
	return func(v *Value) *Value {
		if Contains(v.Members, self.ID) {
			return v
		}
		free := func(m Member) bool { return m.Address == self.Address }
		if !slices.ContainsFunc(v.Members, free) {
			free = func(m Member) bool { o := c.at(m.ID); return o == nil || !o.reachable() }
		}
		i := slices.IndexFunc(v.Members, free)
		if i < 0 {
			return v
		}
		members := slices.Clone(v.Members)
		members[i] = self
		return v.WithMembers(members)
	}
}

// spare is a machine in touch that has no place and stays.
func (c *membershipModel) spare(n *member) *member {
	for _, o := range c.members {
		if o.reachable() && !o.leaving && !Contains(n.known.Members, o.disk.ID) {
			return o
		}
	}
	return nil
}

func (c *membershipModel) handOver(self Member, to *member) ChangeFunc {
	id := to.disk.ID
	return func(v *Value) *Value {
		i := slices.IndexFunc(v.Members, func(m Member) bool { return m.ID == self.ID })
		if i < 0 || Contains(v.Members, id) {
			return v
		}
		members := slices.Clone(v.Members)
		members[i] = Member{id, to.address}
		return v.WithMembers(members)
	}
}

// canLeave tells whether a replica that was told to end goes now.
func (c *membershipModel) canLeave(n *member) bool {
	given := n.decidedKnown && !Contains(n.known.Members, n.disk.ID)
	if c.injected == leaveImmediately || c.injected == leaveUnconfirmed && given {
		return true
	}
	if !given {
		return false // its successor is there: its place is given first
	}
	d, copies := c.view(n)
	if c.injected == leaveOnKnowledge {
		for _, m := range d.Value.Members {
			if o := c.at(m.ID); o != nil && o.decidedKnown && o.known.Slot >= d.Value.Slot {
				copies[m.ID] = Replica{d.Value.Slot, d.Last}
			}
		}
	}
	why, _ := d.CheckLeave(n.disk.ID, n.disk.Replica(), copies)
	if why == LeaveAllowed {
		for _, m := range d.Value.Members {
			if v := c.at(m.ID).disk.Value; v == nil || v.Slot < d.Value.Slot {
				c.fail("turn %d: %s leaves though %s does not hold what it held", d.Value.Slot, n.address, m.Address)
			}
		}
	}
	return why == LeaveAllowed
}

// randomSteps does a few random steps.
func (c *membershipModel) randomSteps(steps int) {
	for range steps {
		n := c.members[c.r.IntN(len(c.members))]
		switch k := c.r.IntN(40); {
		case k < 3:
			c.heartbeat(n)
		case k < 5 && n.up && n.current == nil:
			c.tick(n)
		case k < 6 && len(c.packets) > 0: // one is lost with its connection
			i := c.r.IntN(len(c.packets))
			c.packets = slices.Delete(c.packets, i, i+1)
		case len(c.packets) > 0:
			c.deliver(c.r.IntN(len(c.packets)))
		}
	}
}

// recover is the time that the platform grants: nothing new befalls, messages arrive, owed rounds run.
func (c *membershipModel) recover() {
	for range 40 {
		for _, n := range c.members {
			c.heartbeat(n)
		}
		c.drain()
		owed := false
		for _, i := range c.r.Perm(len(c.members)) {
			n := c.members[i]
			if n.current = nil; c.tick(n) {
				owed = true
				c.randomSteps(c.r.IntN(12))
			}
		}
		c.drain()
		if !owed {
			break
		}
	}
	if len(c.lost) > c.tolerated || c.violation != "" {
		return
	}
	for _, m := range c.newest.Members {
		o := c.at(m.ID)
		if o == nil || !o.reachable() || c.newest.Slot == 0 {
			continue
		}
		if v := o.disk.Value; v == nil || v.Slot < c.newest.Slot || v.Slot == c.newest.Slot && !v.Equal(c.newest) {
			c.fail("turn %d: after a calm time %s does not hold the newest value", c.newest.Slot, m.Address)
		}
	}
}

// powerCycle has all machines lose power at once; those that were there come back with their disks.
func (c *membershipModel) powerCycle() {
	c.packets = nil
	for _, n := range c.members {
		if n.up && !n.gone {
			c.start(n)
		}
	}
}

// loseOne has a machine go that is not lost yet, if one more is borne.
func (c *membershipModel) loseOne() {
	n := c.members[c.r.IntN(len(c.members))]
	if len(c.lost) >= c.tolerated || c.lost[n] || n.gone || n.leaving {
		return
	}
	c.lost[n] = true
	switch c.r.IntN(3) {
	case 0:
		n.cut = true
	case 1:
		n.up, n.current = false, nil
	case 2:
		n.up, n.current = false, nil
		id := AcceptorID(1000 + c.r.IntN(1<<40))
		if c.injected == lostDiskKeepsIdentity {
			id = n.disk.ID
		}
		n.disk = AcceptorState{ID: id}
	}
}

// restoreOne has a lost machine return, or a successor come in its place, and be granted its time.
func (c *membershipModel) restoreOne() {
	for n := range c.lost {
		switch {
		case n.cut:
			n.cut = false
		case c.r.IntN(3) == 0:
			n.gone = true
			c.add()
		default:
			c.start(n)
		}
		c.randomSteps(c.r.IntN(60))
		if c.r.IntN(4) == 0 {
			c.powerCycle()
		}
		c.recover()
		delete(c.lost, n)
		return
	}
}

func (c *membershipModel) add() {
	n := &member{address: fmt.Sprint("m", len(c.members)), disk: AcceptorState{ID: AcceptorID(1000 + c.r.IntN(1<<40))}}
	c.members = append(c.members, n)
	c.start(n)
}

// replace brings a successor, grants it its time, and tells a member to end. The one that goes stops counting at once.
func (c *membershipModel) replace() {
	n := c.members[c.r.IntN(len(c.members))]
	if !n.reachable() || !Contains(c.newest.Members, n.disk.ID) || len(c.lost) > 0 {
		return
	}
	c.add()
	c.recover()
	n.leaving = true
	for range 400 {
		if c.randomSteps(1); c.r.IntN(150) == 0 {
			c.powerCycle()
		}
		if c.r.IntN(30) == 0 {
			c.change()
		}
		if c.canLeave(n) {
			break
		}
	}
	for range 60 {
		if c.canLeave(n) {
			break
		}
		for _, o := range c.members {
			c.heartbeat(o)
			if c.drain(); o.current == nil || c.r.IntN(4) == 0 {
				c.tick(o)
			}
		}
		c.drain()
	}
	if !c.canLeave(n) {
		c.fail("turn %d: %s can't leave within its grace", c.newest.Slot, n.address)
	}
	n.up, n.gone, n.leaving, n.current = false, true, false, nil
	c.leaves++
}

func (c *membershipModel) change() {
	n := c.members[c.r.IntN(len(c.members))]
	if !n.up || n.gone || !n.decidedKnown && c.configs > 0 {
		return
	}
	c.configs++
	digest := fmt.Sprint("d", c.configs)
	version := Version(10 * c.configs)
	c.begin(n, func(v *Value) *Value {
		if slices.ContainsFunc(v.PriorRevisions, func(p Revision) bool { return p.Digest == digest }) || v.Digest == digest {
			return v
		}
		return v.WithConfiguration(version, v.Version, digest, nil)
	}, digest)
}

// check reads what is agreed, with no more lost than is borne, before anything was mended.
func (c *membershipModel) check() {
	for range 40 {
		n := c.members[c.r.IntN(len(c.members))]
		if !n.reachable() {
			continue
		}
		for _, o := range c.members {
			c.heartbeat(o)
		}
		c.drain()
		a := c.begin(n, func(v *Value) *Value { return v }, "")
		c.drain()
		if a.ended == nil {
			continue
		}
		for _, digest := range c.acknowledged {
			if a.ended.Digest != digest && !slices.ContainsFunc(a.ended.PriorRevisions, func(p Revision) bool { return p.Digest == digest }) {
				c.fail("turn %d: %s was acknowledged and is lost", a.ended.Slot, digest)
			}
		}
		return
	}
	c.fail("turn %d: with %d lost of %d borne nothing can be agreed", c.newest.Slot, len(c.lost), c.tolerated)
}

// runMembershipModel plays some events and returns what broke.
func runMembershipModel(seed uint64, planted membershipFault) *membershipModel {
	c := newMembershipModel(seed, planted)
	c.change()
	c.recover()
	for range 12 {
		switch k := c.r.IntN(10); {
		case k < 3:
			c.change()
			c.randomSteps(c.r.IntN(80))
		case k < 5:
			c.loseOne()
			c.change()
			c.randomSteps(c.r.IntN(60))
		case k < 7:
			c.restoreOne()
			c.loseTolerated()
		case k < 9:
			c.replace()
			c.loseTolerated()
		default:
			c.powerCycle()
		}
		if c.violation == "" && c.r.IntN(3) == 0 {
			c.check()
		}
		if c.violation != "" {
			break
		}
	}
	return c
}

// loseTolerated has as many be lost at once as are borne, and perhaps all others lose power, before anything else is done.
func (c *membershipModel) loseTolerated() {
	if c.violation != "" || c.r.IntN(3) == 0 {
		return
	}
	for range 20 {
		c.loseOne()
	}
	c.simultaneousLosses++
	if c.r.IntN(2) == 0 {
		c.powerCycle()
	}
	c.check()
}

func TestMembershipModelKeepsAcknowledgedChanges(t *testing.T) {
	var turns Slot
	acked, second, left := 0, 0, 0
	for seed := range uint64(2500) {
		c := runMembershipModel(seed, noMembershipFault)
		if c.violation != "" {
			t.Fatalf("seed %d: %s", seed, c.violation)
		}
		turns, acked, second, left = turns+c.newest.Slot, acked+len(c.acknowledged), second+c.simultaneousLosses, left+c.leaves
	}
	t.Logf("%d turns, %d changes acknowledged, %d times as many lost at once as are borne, %d planned leaves", turns, acked, second, left)
	if acked < 5000 || second < 2500 || left < 1000 {
		t.Fatal("too few to tell")
	}
}

func TestMembershipModelDetectsInjectedFaults(t *testing.T) {
	for name, m := range map[string]membershipFault{"knowledge held for a copy": knowledgeCountsAsReplica, "a copy proven by its turn": slotCountsAsReplica,
		"a newcomer counted before its copy": newMemberCountsAsReplica, "leaves with the only copy": leaveImmediately,
		"leaves before the set is confirmed": leaveUnconfirmed, "leaves when those who stay only know": leaveOnKnowledge,
		"completed by an accept without a ballot": acceptWithoutPrepare, "a late accept at another ballot": catchUpAtPromisedBallot, "copies never completed": replicasNeverRepaired,
		"a lost disk's copy still counts": lostDiskKeepsIdentity} {
		began, found := time.Now(), false
		for seed := range uint64(30000) {
			if c := runMembershipModel(seed, m); c.violation != "" {
				t.Logf("%s: seed %d: %s (%v)", name, seed, c.violation, time.Since(began).Round(time.Millisecond))
				found = true
				break
			}
		}
		if !found {
			t.Errorf("%s: no check finds it", name)
		}
	}
}
