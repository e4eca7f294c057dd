package quorum

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"oxbowspan/consensus"
)

// The model: one process, the observer, sends requests to the acceptors, of which it may be one, while they decide slots and replace
// members with or without it. Requests, replies and unsolicited messages are lost, delayed and reordered; acceptors restart; the
// observer is frozen for up to 20 s and reads what arrived meanwhile when it wakes. After each step the tracker's result is checked
// against what was decided and what was replied.

// injectedFault is an error in the use of the tracker, to see that the checks detect it.
type injectedFault int

const (
	noFault           injectedFault = iota
	acceptUnsolicited               // a message that is no reply counts as contact
	useReceiveTime                  // a reply counts from when it was read
	mixIncarnations                 // replies of before an acceptor's restart count
	useFirstMembers                 // the majority is one of the first members
	ignoreSlots                     // an acceptor confirms whatever it has accepted
	ignoreOwnAccept                 // the observer confirms whatever it has accepted itself
	reportAcceptLate                // an accepted value counts before replies report it
)

// contactLifetime is how long contact lasts.
const contactLifetime = 2 * time.Second

type acceptor struct {
	id                 consensus.AcceptorID
	incarnation        uint64
	accepted, previous consensus.Slot // of the accepted value, and of the one before it
}

type decision struct {
	slot    consensus.Slot
	members []consensus.Member
	at      time.Duration
}

// message is a request, a reply or an unsolicited message of an acceptor.
type message struct {
	isRequest, isReply bool
	acceptor           *acceptor
	incarnation        uint64
	slot               consensus.Slot
	sentAt             time.Duration // of the request
}

type model struct {
	random          *rand.Rand
	fault           injectedFault
	now             time.Duration
	acceptors       []*acceptor // the first is the observer
	decided         []decision
	known           int // index of the newest of decided that the observer knows
	inFlight        []message
	received        []message // by the observer, and not read yet
	wakesAt         time.Duration
	tracker         *ContactTracker
	lastIncarnation map[consensus.AcceptorID]uint64
	repliedAt       map[consensus.AcceptorID]map[uint64]time.Duration // when the newest request was sent to which an incarnation replied
	inContact       int                                               // steps
}

func newModel(seed uint64, fault injectedFault) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 3)), fault: fault, tracker: NewContactTracker(), lastIncarnation: map[consensus.AcceptorID]uint64{},
		repliedAt: map[consensus.AcceptorID]map[uint64]time.Duration{}}
	var first []consensus.Member
	for i := range 5 {
		a := &acceptor{id: consensus.AcceptorID(i + 1), incarnation: 1}
		m.acceptors, m.repliedAt[a.id] = append(m.acceptors, a), map[uint64]time.Duration{}
		if i < 3 {
			first = append(first, consensus.Member{ID: a.id})
		}
	}
	m.decided = []decision{{members: first}}
	return m
}

// step has one random thing happen.
func (m *model) step() {
	m.now += time.Duration(1+m.random.IntN(60)) * time.Millisecond
	a := m.acceptors[1+m.random.IntN(4)]
	awake := m.now >= m.wakesAt
	switch k := m.random.IntN(100); {
	case k < 18 && awake:
		m.inFlight = append(m.inFlight, message{isRequest: true, acceptor: a, sentAt: m.now})
	case k < 62 && len(m.inFlight) > 0:
		m.deliver()
	case k < 78 && awake && len(m.received) > 0:
		m.process()
	case k < 83:
		m.inFlight = append(m.inFlight, message{acceptor: a, incarnation: a.incarnation, slot: m.reportedSlot(a)})
	case k < 84:
		m.decide()
	case k < 85: // accepted but not decided
		m.accept(a, m.decided[len(m.decided)-1].slot+1)
	case k < 86 && m.random.IntN(3) == 0:
		a.incarnation++
	case k < 87 && m.random.IntN(8) == 0:
		m.wakesAt = m.now + time.Duration(m.random.IntN(20000))*time.Millisecond
	case k < 95 && awake: // the observer learns what is decided
		m.known = max(m.known, len(m.decided)-1-m.random.IntN(2))
	case len(m.inFlight) > 0 && m.random.IntN(4) == 0: // a message is lost
		i := m.random.IntN(len(m.inFlight))
		m.inFlight = slices.Delete(m.inFlight, i, i+1)
	}
}

// reportedSlot is the slot that an acceptor's messages report.
func (m *model) reportedSlot(a *acceptor) consensus.Slot {
	if m.fault == reportAcceptLate {
		return a.previous
	}
	return a.accepted
}

func (m *model) accept(a *acceptor, slot consensus.Slot) {
	if slot != a.accepted {
		a.previous, a.accepted = a.accepted, slot
	}
}

// deliver delivers one message, in random order.
func (m *model) deliver() {
	i := m.random.IntN(len(m.inFlight))
	next := m.inFlight[i]
	m.inFlight = slices.Delete(m.inFlight, i, i+1)
	if next.isRequest {
		m.inFlight = append(m.inFlight, message{isReply: true, acceptor: next.acceptor, incarnation: next.acceptor.incarnation,
			slot: m.reportedSlot(next.acceptor), sentAt: next.sentAt})
		return
	}
	m.received = append(m.received, next)
}

// process has the observer read a message.
func (m *model) process() {
	next := m.received[0]
	m.received = m.received[1:]
	known, id := m.decided[m.known].slot, next.acceptor.id
	reply := Reply{Incarnation: next.incarnation, SentAt: next.sentAt, Slot: next.slot}
	if m.fault == useReceiveTime || m.fault == acceptUnsolicited && !next.isReply {
		reply.SentAt = m.now
	}
	if m.fault == ignoreSlots {
		reply.Slot = 0
	}
	if m.fault == mixIncarnations {
		reply.Incarnation = 0
	} else {
		m.tracker.ObserveIncarnation(id, next.incarnation)
	}
	if next.isReply || m.fault == acceptUnsolicited {
		m.tracker.ObserveReply(id, reply, known)
	}
	m.lastIncarnation[id] = next.incarnation
	if next.isReply {
		m.repliedAt[id][next.incarnation] = max(m.repliedAt[id][next.incarnation], next.sentAt)
	}
}

// decide has a majority of the members accept a value in the next slot. That may replace one of them: then a majority of the new
// members accepts it as well.
func (m *model) decide() {
	old := m.decided[len(m.decided)-1]
	next := decision{old.slot + 1, slices.Clone(old.members), m.now}
	if other := m.acceptors[m.random.IntN(5)]; m.random.IntN(3) == 0 && !consensus.Contains(next.members, other.id) {
		next.members[m.random.IntN(len(next.members))] = consensus.Member{ID: other.id}
	}
	for _, set := range [][]consensus.Member{old.members, next.members} {
		for _, i := range m.random.Perm(len(set))[:len(set)/2+1] {
			m.accept(m.acceptors[set[i].ID-1], next.slot)
		}
	}
	m.decided = append(m.decided, next)
}

// check returns what is wrong with the tracker's result; "" = nothing.
func (m *model) check() string {
	if m.now < m.wakesAt {
		return ""
	}
	known, self := m.decided[m.known], m.acceptors[0]
	own := Reply{Incarnation: self.incarnation, SentAt: m.now, Slot: self.accepted}
	if m.fault == ignoreOwnAccept {
		own.Slot = 0
	}
	m.tracker.ObserveReply(self.id, own, known.slot)
	members := known.members
	if m.fault == useFirstMembers {
		members = m.decided[0].members
	}
	since, ok := m.tracker.Since(members, known.slot)
	if !ok {
		return ""
	}
	if m.now-since < contactLifetime {
		m.inContact++
	}
	if m.known+1 < len(m.decided) {
		if d := m.decided[m.known+1]; d.at < since {
			return fmt.Sprintf("at %v contact since %v at slot %d; slot %d was decided at %v", m.now, since, known.slot, d.slot, d.at)
		}
	}
	if !consensus.HasMajority(known.members, func(id consensus.AcceptorID) bool {
		return id == self.id || m.repliedAt[id][m.lastIncarnation[id]] >= since && m.lastIncarnation[id] > 0
	}) {
		return fmt.Sprintf("at %v contact since %v, but no majority of the processes that run now has replied since", m.now, since)
	}
	return ""
}

// runModel runs a number of steps, until the first violation.
func runModel(seed uint64, steps int, fault injectedFault) (violation string, contactSteps int) {
	m := newModel(seed, fault)
	for range steps {
		m.step()
		if violation = m.check(); violation != "" {
			break
		}
	}
	return violation, m.inContact
}
