package controlplane

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"oxbowspan/consensus"
	"oxbowspan/internal/settings"
	"oxbowspan/internal/testing/simnet"
	"oxbowspan/rpc"
)

// A reply described the ballots of the slot that was known before the message, and named the slot that was learned from it. Its receiver then
// took a value of the newer slot for the decided one that had been accepted at an earlier ballot and had lost.
func TestGossipReplyDescribesOneSlot(t *testing.T) {
	c := newTestMember(t)
	c.learner.decision = consensus.Decision{Value: c.learner.value}
	c.learner.observeBallot(4, consensus.Ballot{Number: 11, Proposer: 2})
	m := gossipFrom("b", c.self.incarnation)
	next := *c.learner.value
	next.Slot = 5
	m.Slot, m.Value = 5, rpc.ValueToProto(&next)
	m.From.LowestDecidedBallot = rpc.BallotToProto(consensus.Ballot{Number: 17, Proposer: 2})
	reply := c.gossip.receive(m)
	if reply.Slot != 5 || reply.From.LowestDecidedBallot.GetNumber() != 17 || reply.From.HighestDecidedBallot != nil {
		t.Errorf("reply on slot %d with the ballots %v and %v, want slot 5 and ballot 17 only",
			reply.Slot, reply.From.LowestDecidedBallot, reply.From.HighestDecidedBallot)
	}
}

// gossipModel exchanges messages of controllers that have not been started, with delays, and records the ballots at which each slot was decided.
type gossipModel struct {
	random      *rand.Rand
	controllers []*Controller
	decided     map[consensus.Slot][]consensus.Ballot // in ascending order
	newest      *consensus.Value
	lastBallot  uint64
	inFlight    []func() // deliveries
}

// newGossipModel returns a model of three members that know the value of slot 1.
func newGossipModel(t *testing.T, seed uint64) *gossipModel {
	m := &gossipModel{random: rand.New(rand.NewPCG(seed, 1)), decided: map[consensus.Slot][]consensus.Ballot{}}
	var members []consensus.Member
	for i := range 3 {
		ip := fmt.Sprintf("10.0.%d.1", i+1)
		s := &settings.Settings{IPAddress: ip, InternalPorts: []int{7100, 7109}, SeedAddresses: []string{"10.0.1.1:8700"}, FirstStart: true,
			DataDirectory: t.TempDir(), HeartbeatIntervalMS: 1000}
		s.Listen.Control = ip + ":8700"
		c, err := New(t.Context(), s, simnet.New(nil).Host(ip), zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.loop.stop(); c.store.Close() })
		m.controllers = append(m.controllers, c)
		members = append(members, consensus.Member{ID: c.self.id, Address: c.self.address})
	}
	m.newest = &consensus.Value{Slot: 1, Members: members, PriorMembers: members}
	for _, c := range m.controllers {
		for _, other := range m.controllers {
			if other != c {
				c.peers.byAddress[other.self.address] = &peer{address: other.self.address, wake: make(chan struct{}, 1), lastSeenAges: map[string]time.Duration{}}
			}
		}
		c.learner.learn(m.newest)
	}
	return m
}

// decide decides the next slot, or the newest one again, at a higher ballot. Only one controller learns it at first.
func (m *gossipModel) decide() {
	next := m.newest
	if m.random.IntN(3) > 0 {
		successor := *m.newest
		successor.Slot++
		next = &successor
	}
	proposer := m.controllers[m.random.IntN(len(m.controllers))]
	m.lastBallot++
	ballot := consensus.Ballot{Number: m.lastBallot, Proposer: consensus.ProposerID(proposer.self.id)}
	m.decided[next.Slot] = append(m.decided[next.Slot], ballot)
	m.newest = next
	proposer.proposer.learn(next, ballot)
}

// exchange lets a controller send a message to another. The message and its reply arrive later.
func (m *gossipModel) exchange() {
	order := m.random.Perm(len(m.controllers))
	from, to := m.controllers[order[0]], m.controllers[order[1]]
	p := from.peers.byAddress[to.self.address]
	sent := from.gossip.build(p)
	m.inFlight = append(m.inFlight, func() {
		reply := to.gossip.receive(sent.message)
		m.inFlight = append(m.inFlight, func() { from.gossip.receiveReply(p, reply, sent) })
	})
}

// deliver delivers one of the messages in flight.
func (m *gossipModel) deliver() {
	if len(m.inFlight) == 0 {
		return
	}
	i := m.random.IntN(len(m.inFlight))
	next := m.inFlight[i]
	m.inFlight = append(m.inFlight[:i:i], m.inFlight[i+1:]...)
	next()
	for _, c := range m.controllers {
		for range len(c.loop.commands) {
			(<-c.loop.commands)()
		}
	}
}

// check checks that no controller knows ballots of the slot that it knows outside of those at which the slot was decided.
func (m *gossipModel) check(t *testing.T) {
	t.Helper()
	for i, c := range m.controllers {
		known, ballots := c.learner.decision, m.decided[c.learner.value.Slot]
		if known.First == (consensus.Ballot{}) {
			continue
		}
		if len(ballots) == 0 || known.First.Compare(ballots[0]) < 0 || known.Last.Compare(ballots[len(ballots)-1]) > 0 {
			t.Fatalf("controller %d takes slot %d for decided at ballots %v to %v, it was decided at %v",
				i, c.learner.value.Slot, known.First, known.Last, ballots)
		}
	}
}

// The messages of slots that are decided one after the other overtake each other. No controller may take a ballot of one slot for that of
// another one.
func TestModelOfGossipKeepsBallotsOfSlotsApart(t *testing.T) {
	const seeds, steps = 20, 400
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			m := newGossipModel(t, seed)
			for range steps {
				switch m.random.IntN(10) {
				case 0:
					m.decide()
				case 1, 2, 3:
					m.exchange()
				default:
					m.deliver()
				}
				m.check(t)
			}
		})
	}
}
