package quorum

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"oxbowspan/consensus"
)

// The model: one machine asks the acceptors, among whom it may be, while they decide on turns and exchange members with or
// without it. Questions, answers and the acceptors' own words are lost, late and reordered; acceptors start anew; the asker is
// frozen for up to 20 s and finds what came meanwhile when it wakes. After each step what Contact tells is held against what
// was decided, and against what was answered in truth.

// injectedFault is a fault planted in the use of Contact, to see that the checks find it.
type injectedFault int

const (
	noFault           injectedFault = iota
	acceptUnsolicited               // a word of an acceptor's own counts as contact
	useReceiveTime                  // an answer counts from when it was read
	mixIncarnations                 // what an acceptor answered before it started anew counts on
	useFirstMembers                 // the majority is that of the first members
	ignoreSlots                     // an acceptor vouches, whatever it has voted for
	ignoreOwnAccept                 // the asker vouches for itself, whatever it has voted for
	reportAcceptLate                // an acceptor's vote counts before its answers tell of it
)

// contactLifetime is after how long contact is lost.
const contactLifetime = 2 * time.Second

type acceptor struct {
	id                 consensus.AcceptorID
	incarnation        uint64
	accepted, previous consensus.Slot // of the vote, and of the one before it
}

type decision struct {
	slot    consensus.Slot
	members []consensus.Member
	at      time.Duration
}

// message is a question, an answer to one, or a word of an acceptor's own.
type message struct {
	isRequest, isReply bool
	acceptor           *acceptor
	incarnation        uint64
	slot               consensus.Slot
	sentAt             time.Duration // of the question
}

type model struct {
	random          *rand.Rand
	fault           injectedFault
	now             time.Duration
	acceptors       []*acceptor // the first is the asker
	decided         []decision
	known           int // of decided, by the asker
	inFlight        []message
	received        []message // and were not read
	wakesAt         time.Duration
	tracker         *ContactTracker
	lastIncarnation map[consensus.AcceptorID]uint64
	repliedAt       map[consensus.AcceptorID]map[uint64]time.Duration // when the newest question was sent that a life answered
	inContact       int
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
	case k < 85: // votes that decide nothing
		m.accept(a, m.decided[len(m.decided)-1].slot+1)
	case k < 86 && m.random.IntN(3) == 0:
		a.incarnation++
	case k < 87 && m.random.IntN(8) == 0:
		m.wakesAt = m.now + time.Duration(m.random.IntN(20000))*time.Millisecond
	case k < 95 && awake: // the asker hears of what is decided
		m.known = max(m.known, len(m.decided)-1-m.random.IntN(2))
	case len(m.inFlight) > 0 && m.random.IntN(4) == 0: // a message is lost
		i := m.random.IntN(len(m.inFlight))
		m.inFlight = slices.Delete(m.inFlight, i, i+1)
	}
}

func (m *model) reportedSlot(a *acceptor) consensus.Slot {
	if m.fault == reportAcceptLate {
		return a.previous
	}
	return a.accepted
}

func (m *model) accept(a *acceptor, turn consensus.Slot) {
	if turn != a.accepted {
		a.previous, a.accepted = a.accepted, turn
	}
}

// deliver has a message come, in no order.
func (m *model) deliver() {
	i := m.random.IntN(len(m.inFlight))
	f := m.inFlight[i]
	m.inFlight = slices.Delete(m.inFlight, i, i+1)
	if f.isRequest {
		m.inFlight = append(m.inFlight, message{isReply: true, acceptor: f.acceptor, incarnation: f.acceptor.incarnation, slot: m.reportedSlot(f.acceptor), sentAt: f.sentAt})
		return
	}
	m.received = append(m.received, f)
}

func (m *model) process() {
	f := m.received[0]
	m.received = m.received[1:]
	known, id := m.decided[m.known].slot, f.acceptor.id
	a := Reply{Incarnation: f.incarnation, SentAt: f.sentAt, Slot: f.slot}
	if m.fault == useReceiveTime || m.fault == acceptUnsolicited && !f.isReply {
		a.SentAt = m.now
	}
	if m.fault == ignoreSlots {
		a.Slot = 0
	}
	if m.fault == mixIncarnations {
		a.Incarnation = 0
	} else {
		m.tracker.ObserveIncarnation(id, f.incarnation)
	}
	if f.isReply || m.fault == acceptUnsolicited {
		m.tracker.ObserveReply(id, a, known)
	}
	m.lastIncarnation[id] = f.incarnation
	if f.isReply {
		m.repliedAt[id][f.incarnation] = max(m.repliedAt[id][f.incarnation], f.sentAt)
	}
}

// decide has a majority of the members vote for the next turn, which may exchange one of them: then also one of the new set.
func (m *model) decide() {
	old := m.decided[len(m.decided)-1]
	next := decision{old.slot + 1, slices.Clone(old.members), m.now}
	if stranger := m.acceptors[m.random.IntN(5)]; m.random.IntN(3) == 0 && !consensus.Contains(next.members, stranger.id) {
		next.members[m.random.IntN(len(next.members))] = consensus.Member{ID: stranger.id}
	}
	for _, set := range [][]consensus.Member{old.members, next.members} {
		for _, i := range m.random.Perm(len(set))[:len(set)/2+1] {
			m.accept(m.acceptors[set[i].ID-1], next.slot)
		}
	}
	m.decided = append(m.decided, next)
}

// check returns what is wrong with what Contact tells now.
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
			return fmt.Sprintf("at %v contact since %v at turn %d; turn %d was decided at %v", m.now, since, known.slot, d.slot, d.at)
		}
	}
	if !consensus.HasMajority(known.members, func(id consensus.AcceptorID) bool {
		return id == self.id || m.repliedAt[id][m.lastIncarnation[id]] >= since && m.lastIncarnation[id] > 0
	}) {
		return fmt.Sprintf("at %v contact since %v, of which a majority as it runs now answered nothing", m.now, since)
	}
	return ""
}

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

func TestNoUnknownDecisionBeforeContact(t *testing.T) {
	contactSteps := 0
	const runs, steps = 1000, 600
	for seed := range uint64(runs) {
		violation, n := runModel(seed, steps, noFault)
		if violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
		contactSteps += n
	}
	if contactSteps < runs*steps/5 {
		t.Errorf("in contact after %d of %d steps: too few to tell", contactSteps, runs*steps)
	}
}

func TestModelDetectsInjectedFaults(t *testing.T) {
	for name, fault := range map[string]injectedFault{"words count as contact": acceptUnsolicited, "answers count from when they are read": useReceiveTime,
		"answers of an ended process count": mixIncarnations, "a majority of the first members": useFirstMembers, "votes are not asked for": ignoreSlots,
		"its own vote is forgotten": ignoreOwnAccept, "a vote is told late": reportAcceptLate} {
		found := false
		for seed := uint64(0); seed < 3000 && !found; seed++ {
			if violation, _ := runModel(seed, 600, fault); violation != "" {
				found = true
				t.Logf("%s: seed %d: %s", name, seed, violation)
			}
		}
		if !found {
			t.Errorf("%s: no check finds it", name)
		}
	}
}

// An answer that is older than one that was taken changes nothing, whoever's it is; what is forgotten is gone.
func TestStaleRepliesAreIgnored(t *testing.T) {
	c, members := NewContactTracker(), []consensus.Member{{ID: 1}}
	since := func(want time.Duration, ok bool) {
		t.Helper()
		if got, is := c.Since(members, 5); got != want || is != ok {
			t.Errorf("contact since %v, %v; want %v, %v", got, is, want, ok)
		}
	}
	since(0, false)
	c.ObserveReply(1, Reply{1, 10, 5}, 5)
	c.ObserveReply(1, Reply{1, 5, 4}, 5)
	c.ObserveReply(1, Reply{2, 5, 4}, 5)
	since(10, true)
	c.ObserveReply(1, Reply{1, 20, 6}, 5) // it voted for what is not known here: what it said before holds
	c.ObserveReply(1, Reply{1, 30, 6}, 5)
	since(10, true)
	c.ObserveIncarnation(1, 1)
	since(10, true)
	c.Prune(30)
	since(10, true)
	c.Prune(31)
	since(0, false)
	c.ObserveReply(1, Reply{1, 40, 5}, 5)
	c.ObserveIncarnation(1, 2)
	since(0, false)
	if _, ok := c.Since(nil, 5); ok {
		t.Error("no members are a majority")
	}
}
