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

// mistake is a fault planted in the use of Contact, to see that the checks find it.
type mistake int

const (
	none          mistake = iota
	heard                 // a word of an acceptor's own counts as contact
	readTime              // an answer counts from when it was read
	livesMixed            // what an acceptor answered before it started anew counts on
	oldMembers            // the majority is that of the first members
	turnsIgnored          // an acceptor vouches, whatever it has voted for
	ownVoteForgot         // the asker vouches for itself, whatever it has voted for
	voteToldLate          // an acceptor's vote counts before its answers tell of it
)

// bound is after how long contact is lost.
const bound = 2 * time.Second

type acceptor struct {
	id          consensus.AcceptorID
	life        uint64
	voted, last consensus.Slot // of the vote, and of the one before it
}

type decision struct {
	turn    consensus.Slot
	members []consensus.Member
	at      time.Duration
}

// message is a question, an answer to one, or a word of an acceptor's own.
type message struct {
	question, answer bool
	of               *acceptor
	life             uint64
	turn             consensus.Slot
	sentAt           time.Duration // of the question
}

type model struct {
	r         *rand.Rand
	planted   mistake
	now       time.Duration
	acceptors []*acceptor // the first is the asker
	decided   []decision
	known     int // of decided, by the asker
	flying    []message
	came      []message // and were not read
	wakes     time.Duration
	contact   *Contact
	lastHeard map[consensus.AcceptorID]uint64
	answered  map[consensus.AcceptorID]map[uint64]time.Duration // when the newest question was sent that a life answered
	touched   int
}

func newModel(seed uint64, planted mistake) *model {
	m := &model{r: rand.New(rand.NewPCG(seed, 3)), planted: planted, contact: NewContact(), lastHeard: map[consensus.AcceptorID]uint64{},
		answered: map[consensus.AcceptorID]map[uint64]time.Duration{}}
	var first []consensus.Member
	for i := range 5 {
		a := &acceptor{id: consensus.AcceptorID(i + 1), life: 1}
		m.acceptors, m.answered[a.id] = append(m.acceptors, a), map[uint64]time.Duration{}
		if i < 3 {
			first = append(first, consensus.Member{ID: a.id})
		}
	}
	m.decided = []decision{{members: first}}
	return m
}

func (m *model) step() {
	m.now += time.Duration(1+m.r.IntN(60)) * time.Millisecond
	a := m.acceptors[1+m.r.IntN(4)]
	awake := m.now >= m.wakes
	switch k := m.r.IntN(100); {
	case k < 18 && awake:
		m.flying = append(m.flying, message{question: true, of: a, sentAt: m.now})
	case k < 62 && len(m.flying) > 0:
		m.arrive()
	case k < 78 && awake && len(m.came) > 0:
		m.read()
	case k < 83:
		m.flying = append(m.flying, message{of: a, life: a.life, turn: m.told(a)})
	case k < 84:
		m.decide()
	case k < 85: // votes that decide nothing
		m.vote(a, m.decided[len(m.decided)-1].turn+1)
	case k < 86 && m.r.IntN(3) == 0:
		a.life++
	case k < 87 && m.r.IntN(8) == 0:
		m.wakes = m.now + time.Duration(m.r.IntN(20000))*time.Millisecond
	case k < 95 && awake: // the asker hears of what is decided
		m.known = max(m.known, len(m.decided)-1-m.r.IntN(2))
	case len(m.flying) > 0 && m.r.IntN(4) == 0: // a message is lost
		i := m.r.IntN(len(m.flying))
		m.flying = slices.Delete(m.flying, i, i+1)
	}
}

func (m *model) told(a *acceptor) consensus.Slot {
	if m.planted == voteToldLate {
		return a.last
	}
	return a.voted
}

func (m *model) vote(a *acceptor, turn consensus.Slot) {
	if turn != a.voted {
		a.last, a.voted = a.voted, turn
	}
}

// arrive has a message come, in no order.
func (m *model) arrive() {
	i := m.r.IntN(len(m.flying))
	f := m.flying[i]
	m.flying = slices.Delete(m.flying, i, i+1)
	if f.question {
		m.flying = append(m.flying, message{answer: true, of: f.of, life: f.of.life, turn: m.told(f.of), sentAt: f.sentAt})
		return
	}
	m.came = append(m.came, f)
}

func (m *model) read() {
	f := m.came[0]
	m.came = m.came[1:]
	known, id := m.decided[m.known].turn, f.of.id
	a := Answer{Life: f.life, SentAt: f.sentAt, Turn: f.turn}
	if m.planted == readTime || m.planted == heard && !f.answer {
		a.SentAt = m.now
	}
	if m.planted == turnsIgnored {
		a.Turn = 0
	}
	if m.planted == livesMixed {
		a.Life = 0
	} else {
		m.contact.Began(id, f.life)
	}
	if f.answer || m.planted == heard {
		m.contact.Answered(id, a, known)
	}
	m.lastHeard[id] = f.life
	if f.answer {
		m.answered[id][f.life] = max(m.answered[id][f.life], f.sentAt)
	}
}

// decide has a majority of the members vote for the next turn, which may exchange one of them: then also one of the new set.
func (m *model) decide() {
	old := m.decided[len(m.decided)-1]
	next := decision{old.turn + 1, slices.Clone(old.members), m.now}
	if stranger := m.acceptors[m.r.IntN(5)]; m.r.IntN(3) == 0 && !consensus.Contains(next.members, stranger.id) {
		next.members[m.r.IntN(len(next.members))] = consensus.Member{ID: stranger.id}
	}
	for _, set := range [][]consensus.Member{old.members, next.members} {
		for _, i := range m.r.Perm(len(set))[:len(set)/2+1] {
			m.vote(m.acceptors[set[i].ID-1], next.turn)
		}
	}
	m.decided = append(m.decided, next)
}

// check returns what is wrong with what Contact tells now.
func (m *model) check() string {
	if m.now < m.wakes {
		return ""
	}
	known, self := m.decided[m.known], m.acceptors[0]
	own := Answer{Life: self.life, SentAt: m.now, Turn: self.voted}
	if m.planted == ownVoteForgot {
		own.Turn = 0
	}
	m.contact.Answered(self.id, own, known.turn)
	members := known.members
	if m.planted == oldMembers {
		members = m.decided[0].members
	}
	since, ok := m.contact.Since(members, known.turn)
	if !ok {
		return ""
	}
	if m.now-since < bound {
		m.touched++
	}
	if m.known+1 < len(m.decided) {
		if d := m.decided[m.known+1]; d.at < since {
			return fmt.Sprintf("at %v contact since %v at turn %d; turn %d was decided at %v", m.now, since, known.turn, d.turn, d.at)
		}
	}
	if !consensus.HasMajority(known.members, func(id consensus.AcceptorID) bool {
		return id == self.id || m.answered[id][m.lastHeard[id]] >= since && m.lastHeard[id] > 0
	}) {
		return fmt.Sprintf("at %v contact since %v, of which a majority as it runs now answered nothing", m.now, since)
	}
	return ""
}

func play(seed uint64, steps int, planted mistake) (broken string, touched int) {
	m := newModel(seed, planted)
	for range steps {
		m.step()
		if broken = m.check(); broken != "" {
			break
		}
	}
	return broken, m.touched
}

func TestNothingWasDecidedBeforeTheLastContact(t *testing.T) {
	touched := 0
	const worlds, steps = 1000, 600
	for seed := range uint64(worlds) {
		broken, n := play(seed, steps, none)
		if broken != "" {
			t.Fatalf("seed %d: %s", seed, broken)
		}
		touched += n
	}
	if touched < worlds*steps/5 {
		t.Errorf("in contact after %d of %d steps: too few to tell", touched, worlds*steps)
	}
}

func TestPlantedMistakesAreFound(t *testing.T) {
	for name, planted := range map[string]mistake{"words count as contact": heard, "answers count from when they are read": readTime,
		"answers of an ended process count": livesMixed, "a majority of the first members": oldMembers, "votes are not asked for": turnsIgnored,
		"its own vote is forgotten": ownVoteForgot, "a vote is told late": voteToldLate} {
		found := false
		for seed := uint64(0); seed < 3000 && !found; seed++ {
			if broken, _ := play(seed, 600, planted); broken != "" {
				found = true
				t.Logf("%s: seed %d: %s", name, seed, broken)
			}
		}
		if !found {
			t.Errorf("%s: no check finds it", name)
		}
	}
}

// An answer that is older than one that was taken changes nothing, whoever's it is; what is forgotten is gone.
func TestOldAnswersChangeNothing(t *testing.T) {
	c, members := NewContact(), []consensus.Member{{ID: 1}}
	since := func(want time.Duration, ok bool) {
		t.Helper()
		if got, is := c.Since(members, 5); got != want || is != ok {
			t.Errorf("contact since %v, %v; want %v, %v", got, is, want, ok)
		}
	}
	since(0, false)
	c.Answered(1, Answer{1, 10, 5}, 5)
	c.Answered(1, Answer{1, 5, 4}, 5)
	c.Answered(1, Answer{2, 5, 4}, 5)
	since(10, true)
	c.Answered(1, Answer{1, 20, 6}, 5) // it voted for what is not known here: what it said before holds
	c.Answered(1, Answer{1, 30, 6}, 5)
	since(10, true)
	c.Began(1, 1)
	since(10, true)
	c.Forget(30)
	since(10, true)
	c.Forget(31)
	since(0, false)
	c.Answered(1, Answer{1, 40, 5}, 5)
	c.Began(1, 2)
	since(0, false)
	if _, ok := c.Since(nil, 5); ok {
		t.Error("no members are a majority")
	}
}
