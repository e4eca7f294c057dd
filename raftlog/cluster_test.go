package raftlog

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"oxbowspan/maintenance"
)

// simNode is a voter of a testCluster.
type simNode struct {
	id        ID
	node      *Node // nil = crashed
	storage   *memoryStorage
	suspended bool
	clock     maintenance.Time // offset of its clock
}

// message is an encoded message in transit, to be delivered at a tick.
type message struct {
	at   int
	to   ID
	from ID
	data []byte
}

// testCluster is a few voters on a network that loses, duplicates, delays and partitions, also in one direction, and what they have
// acknowledged.
type testCluster struct {
	t            interface{ Fatalf(string, ...any) }
	rand         *rand.Rand
	tick         int // of 100 ms
	nodes        []*simNode
	ids          []ID
	messages     []message
	partitioned  map[[2]ID]bool // by sender and receiver
	loss         float64        // share of messages that are lost, and of those that are duplicated
	proposals    int
	acknowledged []maintenance.MemberName
	stateAt      map[maintenance.Epoch][]byte // the state after each command, as the first voter that got there had it
}

var testLimits = maintenance.Limits{MaxGatherers: 1, LeaseDuration: 3000}

func newTestCluster(t interface{ Fatalf(string, ...any) }, seed uint64, n int, loss float64) *testCluster {
	c := &testCluster{t: t, rand: rand.New(rand.NewPCG(seed, 3)), loss: loss,
		partitioned: map[[2]ID]bool{}, stateAt: map[maintenance.Epoch][]byte{}}
	for i := range n {
		c.ids = append(c.ids, ID(i+1))
	}
	for _, id := range c.ids {
		s := &simNode{id: id, storage: &memoryStorage{entries: map[uint64][]byte{}}}
		c.nodes = append(c.nodes, s)
		c.start(s, true)
	}
	return c
}

// start starts a crashed or new voter.
func (c *testCluster) start(s *simNode, found bool) {
	s.storage.failure = noFailure
	node, err := New(Config{ID: s.id, Voters: c.ids, Limits: testLimits, Storage: s.storage, Bootstrap: found, CompactAfter: 6})
	if err != nil {
		c.t.Fatalf("voter %d does not start: %v", s.id, err)
	}
	// Each run has a clock of its own: a new leader continues the state's time from where it stood.
	s.node, s.suspended, s.clock = node, false, maintenance.Time(c.rand.IntN(864_000_000))
}

// awaitLeader advances time until there is a leader other than not. Split elections are repeated after time-outs that the library draws
// from a source of its own, so their number does not depend on the seed.
func (c *testCluster) awaitLeader(not *simNode) *simNode {
	for range 100 {
		c.advance(10)
		for _, s := range c.nodes {
			if s != not && s.node != nil && s.node.IsLeader() {
				return s
			}
		}
	}
	c.t.Fatalf("no leader after 1000 ticks")
	return nil
}

func (c *testCluster) advance(ticks int) {
	for range ticks {
		c.tick++
		var due []message
		c.messages = slices.DeleteFunc(c.messages, func(l message) bool {
			if l.at <= c.tick {
				due = append(due, l)
			}
			return l.at <= c.tick
		})
		c.rand.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
		for _, l := range due {
			if s := c.nodes[l.to-1]; s.node != nil && !s.suspended && !c.partitioned[[2]ID{l.from, l.to}] {
				m := &pb.Message{}
				if err := proto.Unmarshal(l.data, m); err != nil {
					c.t.Fatalf("message: %v", err)
				}
				_ = s.node.Step(m) // messages of an old term are rejected
				c.process(s)
			}
		}
		for _, s := range c.nodes {
			if s.node != nil && !s.suspended {
				s.node.Tick(maintenance.Time(100*c.tick) + s.clock)
				c.process(s)
			}
		}
	}
}

func (c *testCluster) process(s *simNode) {
	for _, m := range s.node.Process() {
		b, err := proto.Marshal(m)
		if err != nil {
			c.t.Fatalf("message: %v", err)
		}
		for range 2 {
			if c.rand.Float64() >= c.loss {
				c.messages = append(c.messages, message{c.tick + c.rand.IntN(3), ID(m.GetTo()), s.id, b})
			}
			if c.rand.Float64() >= c.loss {
				break
			}
		}
	}
	if s.node.Err() == nil {
		c.checkStorage(s)
	}
	st := s.node.State()
	if limit := maintenance.Time(100 * c.tick); st.Now > limit {
		c.t.Fatalf("the time of voter %d is %d, but only %d have passed", s.id, st.Now, limit)
	}
	b, err := st.Snapshot()
	if err != nil {
		c.t.Fatalf("snapshot: %v", err)
	}
	if seen, there := c.stateAt[st.Applied]; !there {
		c.stateAt[st.Applied] = b
	} else if !bytes.Equal(seen, b) {
		c.t.Fatalf("after command %d voter %d has another state than one before it:\n%s\n%s", st.Applied, s.id, b, seen)
	}
}

// checkStorage compares the storage with the log from which the core reads: an extra entry would be a command that was never committed.
func (c *testCluster) checkStorage(s *simNode) {
	last, err := s.node.memory.LastIndex()
	if err != nil {
		c.t.Fatalf("last index: %v", err)
	}
	first, err := s.node.memory.FirstIndex()
	if err != nil {
		c.t.Fatalf("first index: %v", err)
	}
	for no, b := range s.storage.entries {
		if no > last {
			c.t.Fatalf("voter %d stores entry %d, its log ends at %d", s.id, no, last)
		}
		if no < first {
			continue
		}
		e, err := s.node.memory.Entries(no, no+1, 1<<30)
		if err != nil {
			c.t.Fatalf("entry %d: %v", no, err)
		}
		if want, err := proto.Marshal(e[0]); err != nil || !bytes.Equal(want, b) {
			c.t.Fatalf("voter %d stores another entry %d than its log has", s.id, no)
		}
	}
}

// propose proposes a new member to every voter that takes itself for the leader, and records what is acknowledged.
func (c *testCluster) propose() {
	for _, s := range c.nodes {
		if s.node == nil || s.suspended || !s.node.IsLeader() {
			continue
		}
		c.proposals++
		n := maintenance.MemberName(fmt.Sprintf("m%04d", c.proposals))
		join := &maintenance.Join{Name: n, Zone: "a", Version: "v1", Incarnation: 1}
		s.node.Propose(maintenance.Command{Join: join}, func(_ maintenance.Result, err error) {
			if err == nil {
				c.acknowledged = append(c.acknowledged, n)
			}
		})
		c.process(s)
	}
}

// describe returns the Raft state of each voter.
func (c *testCluster) describe() (out string) {
	for _, s := range c.nodes {
		if s.node == nil {
			out += fmt.Sprintf(" %d crashed;", s.id)
			continue
		}
		st := s.node.raw.BasicStatus()
		out += fmt.Sprintf(" %d: %v term %d leader %d commit %d applied %d compacted at %d, %v;", s.id, st.RaftState, st.GetTerm(), st.Lead,
			st.GetCommit(), s.node.State().Applied, s.node.compactedAt, s.node.Err())
	}
	return out
}

func (c *testCluster) leaders() (n int) {
	for _, s := range c.nodes {
		if s.node != nil && !s.suspended && s.node.IsLeader() {
			n++
		}
	}
	return n
}

// fault is a kind of fault.
type fault int

// The faults, and for the rest of the numbers drawn a proposal.
const (
	crash fault = iota
	crashAgain
	restart
	restartAgain
	restartOnceMore
	suspendOrResume
	partitionOrHealOneWay
	isolate
	healAll
	failWrites
	faultKinds = 15
)

// inject injects a fault at voter i, and of a one-way partition towards voter j.
func (c *testCluster) inject(kind fault, i, j int) {
	s := c.nodes[i%len(c.nodes)]
	other := c.ids[j%len(c.ids)]
	switch kind {
	case crash, crashAgain:
		s.node = nil // nobody learns the results of its proposals
	case restart, restartAgain, restartOnceMore:
		if s.node == nil || s.node.Err() != nil {
			c.start(s, false)
		}
	case suspendOrResume:
		s.suspended = !s.suspended
	case partitionOrHealOneWay:
		c.partitioned[[2]ID{s.id, other}] = !c.partitioned[[2]ID{s.id, other}]
	case isolate:
		for _, id := range c.ids {
			c.partitioned[[2]ID{s.id, id}], c.partitioned[[2]ID{id, s.id}] = true, true
		}
	case healAll:
		clear(c.partitioned)
	case failWrites:
		s.storage.failure = failsStored + storageFailure(j%2)
	default:
		c.propose()
	}
}
