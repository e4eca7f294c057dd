package quorum

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"oxbowspan/consensus"
)

// In the model, one process, the observer, sends requests to the acceptors, of which it may be one, while these decide slots
// and replace members, with or without the observer's acceptor taking part. Requests, replies and unsolicited messages are
// lost, delayed and reordered; acceptors restart; the observer is frozen for up to 20 s and reads the messages received
// meanwhile when it resumes. After each step the result of the tracker is checked against the decisions and the replies.

// injectedFault is an incorrect use of the tracker that the checks must detect.
type injectedFault int

const (
	noFault           injectedFault = iota
	acceptUnsolicited               // a message that is not a reply counts as contact
	useReceiveTime                  // a reply counts from the time when it is read
	mixIncarnations                 // replies from before an acceptor's restart count
	useFirstMembers                 // the majority is determined over the initial members
	ignoreSlots                     // an acceptor counts as confirming, whatever slot it has accepted
	ignoreOwnAccept                 // the observer's own acceptor counts as confirming, whatever slot it has accepted
	reportAcceptLate                // an accepted value counts towards a decision before replies report it
)

// contactLifetime is how long contact remains valid.
const contactLifetime = 2 * time.Second

type acceptor struct {
	id                 consensus.AcceptorID
	incarnation        uint64
	accepted, previous consensus.Slot // slots of the accepted value and of the one accepted before it
}

// decision is a decided slot, its members and the time when it was decided.
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
	sentAt             time.Duration // when the request was sent
}

// model is the state of one run.
type model struct {
	random          *rand.Rand
	fault           injectedFault
	now             time.Duration
	acceptors       []*acceptor // the first belongs to the observer
	decided         []decision
	known           int // index in decided of the newest decision that the observer knows
	inFlight        []message
	received        []message // messages received by the observer but not read yet
	resumesAt       time.Duration
	tracker         *ContactTracker
	lastIncarnation map[consensus.AcceptorID]uint64
	repliedAt       map[consensus.AcceptorID]map[uint64]time.Duration // when the newest request was sent to which each incarnation replied
	contactSteps    int                                               // number of steps after which the observer was in contact
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

// step performs one random event.
func (m *model) step() {
	m.now += time.Duration(1+m.random.IntN(60)) * time.Millisecond
	a := m.acceptors[1+m.random.IntN(4)]
	running := m.now >= m.resumesAt
	switch k := m.random.IntN(100); {
	case k < 18 && running:
		m.inFlight = append(m.inFlight, message{isRequest: true, acceptor: a, sentAt: m.now})
	case k < 62 && len(m.inFlight) > 0:
		m.deliver()
	case k < 78 && running && len(m.received) > 0:
		m.process()
	case k < 83:
		m.inFlight = append(m.inFlight, message{acceptor: a, incarnation: a.incarnation, slot: m.reportedSlot(a)})
	case k < 84:
		m.decide()
	case k < 85: // a value is accepted but not decided
		m.accept(a, m.decided[len(m.decided)-1].slot+1)
	case k < 86 && m.random.IntN(3) == 0:
		a.incarnation++
	case k < 87 && m.random.IntN(8) == 0:
		m.resumesAt = m.now + time.Duration(m.random.IntN(20000))*time.Millisecond
	case k < 95 && running: // the observer learns of decisions
		m.known = max(m.known, len(m.decided)-1-m.random.IntN(2))
	case len(m.inFlight) > 0 && m.random.IntN(4) == 0: // a message is lost
		i := m.random.IntN(len(m.inFlight))
		m.inFlight = slices.Delete(m.inFlight, i, i+1)
	}
}

// reportedSlot returns the slot that an acceptor reports in its messages.
func (m *model) reportedSlot(a *acceptor) consensus.Slot {
	if m.fault == reportAcceptLate {
		return a.previous
	}
	return a.accepted
}

// accept sets the slot of the value that an acceptor accepted last.
func (m *model) accept(a *acceptor, slot consensus.Slot) {
	if slot != a.accepted {
		a.previous, a.accepted = a.accepted, slot
	}
}

// deliver delivers a random message in flight. If it is a request, the acceptor sends a reply.
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

// process makes the observer read the oldest received message.
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

// decide makes a majority of the members accept a value in the next slot. The value may replace one of the members; then a
// majority of the new members accepts it as well.
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

// check returns a description of the error in the tracker's result; "" = none.
func (m *model) check() string {
	if m.now < m.resumesAt {
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
	since, ok := m.tracker.ContactSince(members, known.slot)
	if !ok {
		return ""
	}
	if m.now-since < contactLifetime {
		m.contactSteps++
	}
	if m.known+1 < len(m.decided) {
		if d := m.decided[m.known+1]; d.at < since {
			return fmt.Sprintf("at %v contact since %v at slot %d; slot %d was decided at %v", m.now, since, known.slot, d.slot, d.at)
		}
	}
	if !consensus.HasMajority(known.members, func(id consensus.AcceptorID) bool {
		return id == self.id || m.repliedAt[id][m.lastIncarnation[id]] >= since && m.lastIncarnation[id] > 0
	}) {
		return fmt.Sprintf("at %v contact since %v, but no majority of the current incarnations has replied since then", m.now, since)
	}
	return ""
}

// runModel runs the given number of steps, or until the first violation. It returns the violation, "" if there was none, and
// the number of steps after which the observer was in contact.
func runModel(seed uint64, steps int, fault injectedFault) (violation string, contactSteps int) {
	m := newModel(seed, fault)
	for range steps {
		m.step()
		if violation = m.check(); violation != "" {
			break
		}
	}
	return violation, m.contactSteps
}
