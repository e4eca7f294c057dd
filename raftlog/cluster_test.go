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
	id          ID
	node        *Node // nil = crashed
	storage     *memoryStorage
	suspended   bool
	clockOffset maintenance.Time // of its clock from the time of the cluster
}

// message is an encoded message in transit, which is delivered at a given tick.
type message struct {
	at   int
	to   ID
	from ID
	data []byte
}

// testCluster simulates a few voters on a network that loses, duplicates and delays messages and has partitions, also
// in one direction only. It records the commands that were acknowledged.
type testCluster struct {
	t            interface{ Fatalf(string, ...any) }
	rand         *rand.Rand
	tick         int // simulated time in ticks of 100 ms
	nodes        []*simNode
	ids          []ID
	messages     []message
	partitioned  map[[2]ID]bool // messages are lost from the first to the second
	loss         float64        // probability that a message is lost, and that it is sent twice
	proposals    int
	acknowledged []maintenance.MemberName
	stateAt      map[maintenance.Epoch][]byte // state after each command, from the first voter that applied it
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
func (c *testCluster) start(s *simNode, bootstrap bool) {
	s.storage.failure = noFailure
	node, err := New(Config{ID: s.id, Voters: c.ids, Limits: testLimits, Storage: s.storage, Bootstrap: bootstrap, CompactAfter: 6})
	if err != nil {
		c.t.Fatalf("start voter %d: %v", s.id, err)
	}
	// The clock has another offset after each start: a new leader must nevertheless continue from the time of the state.
	s.node, s.suspended, s.clockOffset = node, false, maintenance.Time(c.rand.IntN(864_000_000))
}

// awaitLeader advances time until there is a leader other than excluded. The library draws the timeouts after which it
// repeats a split election from its own random source, so the number of elections does not depend on the seed.
func (c *testCluster) awaitLeader(excluded *simNode) *simNode {
	for range 100 {
		c.advance(10)
		for _, s := range c.nodes {
			if s != excluded && s.node != nil && s.node.IsLeader() {
				return s
			}
		}
	}
	c.t.Fatalf("no leader was elected within 1000 ticks")
	return nil
}

// advance delivers due messages and advances the clocks of the voters, tick by tick.
func (c *testCluster) advance(ticks int) {
	for range ticks {
		c.tick++
		var due []message
		c.messages = slices.DeleteFunc(c.messages, func(m message) bool {
			if m.at <= c.tick {
				due = append(due, m)
			}
			return m.at <= c.tick
		})
		c.rand.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
		for _, l := range due {
			if s := c.nodes[l.to-1]; s.node != nil && !s.suspended && !c.partitioned[[2]ID{l.from, l.to}] {
				m := &pb.Message{}
				if err := proto.Unmarshal(l.data, m); err != nil {
					c.t.Fatalf("message: %v", err)
				}
				_ = s.node.Step(m) // the error of a message from an earlier term is expected
				c.process(s)
			}
		}
		for _, s := range c.nodes {
			if s.node != nil && !s.suspended {
				s.node.Tick(maintenance.Time(100*c.tick) + s.clockOffset)
				c.process(s)
			}
		}
	}
}

// process calls Process on a voter, sends its messages, and checks its storage, its time and its state.
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
	state := s.node.State()
	if limit := maintenance.Time(100 * c.tick); state.Now > limit {
		c.t.Fatalf("the state of voter %d has the time %d ms, but only %d ms have passed", s.id, state.Now, limit)
	}
	b, err := state.Snapshot()
	if err != nil {
		c.t.Fatalf("snapshot: %v", err)
	}
	if recorded, known := c.stateAt[state.Applied]; !known {
		c.stateAt[state.Applied] = b
	} else if !bytes.Equal(recorded, b) {
		c.t.Fatalf("after command %d the state of voter %d differs from that of the first voter that applied it:\n%s\n%s",
			state.Applied, s.id, b, recorded)
	}
}

// checkStorage compares the storage with the in-memory log from which the Raft library reads. An extra stored entry
// would be a command that was never committed.
func (c *testCluster) checkStorage(s *simNode) {
	last, err := s.node.memoryLog.LastIndex()
	if err != nil {
		c.t.Fatalf("last index: %v", err)
	}
	first, err := s.node.memoryLog.FirstIndex()
	if err != nil {
		c.t.Fatalf("first index: %v", err)
	}
	for index, b := range s.storage.entries {
		if index > last {
			c.t.Fatalf("voter %d stores entry %d, but its log ends at %d", s.id, index, last)
		}
		if index < first {
			continue
		}
		e, err := s.node.memoryLog.Entries(index, index+1, 1<<30)
		if err != nil {
			c.t.Fatalf("entry %d: %v", index, err)
		}
		if want, err := proto.Marshal(e[0]); err != nil || !bytes.Equal(want, b) {
			c.t.Fatalf("voter %d: stored entry %d differs from that in its log", s.id, index)
		}
	}
}

// propose proposes the join of a new member to every voter that considers itself the leader, and records the acknowledged ones.
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

// describe returns a description of the Raft state of each voter, for failure messages.
func (c *testCluster) describe() (out string) {
	for _, s := range c.nodes {
		if s.node == nil {
			out += fmt.Sprintf(" %d crashed;", s.id)
			continue
		}
		status := s.node.raw.BasicStatus()
		out += fmt.Sprintf(" %d: %v term %d leader %d commit %d applied %d compacted at %d, %v;", s.id,
			status.RaftState, status.GetTerm(), status.Lead, status.GetCommit(), s.node.State().Applied, s.node.compactedAt, s.node.Err())
	}
	return out
}

// countLeaders returns the number of running voters that are leader.
func (c *testCluster) countLeaders() (n int) {
	for _, s := range c.nodes {
		if s.node != nil && !s.suspended && s.node.IsLeader() {
			n++
		}
	}
	return n
}

// fault is a kind of fault that a test injects.
type fault int

// The kinds of faults. Crashes and restarts have several values each so that they are drawn more often. The values
// below faultKinds without a name are proposals.
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

// inject injects a fault at voter i. j is the receiver for a one-way partition, and selects the kind of failure for
// failed writes.
func (c *testCluster) inject(kind fault, i, j int) {
	s := c.nodes[i%len(c.nodes)]
	other := c.ids[j%len(c.ids)]
	switch kind {
	case crash, crashAgain:
		s.node = nil // the results of its proposals are lost
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
