package raftlog

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"oxbowspan/maintenance"
)

func TestMain(m *testing.M) {
	flag.Parse()
	err := errors.Join(flag.Set("rapid.seed", "20261201"), flag.Set("rapid.checks", "60"), flag.Set("rapid.nofailfile", "true"))
	if err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// memoryStorage is one in memory that fails when told to; a failing Keep may have kept or not.
type memoryStorage struct {
	hardState, snapshot []byte
	entries             map[uint64][]byte
	failure             int // 1 = keeps and says it did not, 2 = does not keep
}

func (d *memoryStorage) Load() (StoredLog, error) {
	k := StoredLog{HardState: d.hardState, Snapshot: d.snapshot}
	for _, no := range slices.Sorted(maps.Keys(d.entries)) {
		k.Entries = append(k.Entries, Entry{no, d.entries[no]})
	}
	return k, nil
}

func (d *memoryStorage) Write(c WriteBatch) error {
	if d.failure == 2 {
		return errors.New("the disk is gone")
	}
	if c.HardState != nil {
		d.hardState = c.HardState
	}
	if c.Snapshot != nil {
		d.snapshot = c.Snapshot
	}
	if c.TruncateFrom > 0 {
		maps.DeleteFunc(d.entries, func(no uint64, _ []byte) bool { return no >= c.TruncateFrom })
	}
	maps.DeleteFunc(d.entries, func(no uint64, _ []byte) bool { return no <= c.CompactTo })
	for _, e := range c.Entries {
		d.entries[e.Index] = e.Data
	}
	if d.failure == 1 {
		return errors.New("the disk did not say that it kept this")
	}
	return nil
}

type simNode struct {
	id      ID
	node    *Node // nil = dead
	storage *memoryStorage
	frozen  bool
	clock   maintenance.Time // its own is so much ahead
}

type message struct {
	at   int
	to   ID
	from ID
	data []byte
}

// world is a few stewards, a network that loses, repeats, delays and cuts, one way too, and what they acknowledged.
type world struct {
	t            interface{ Fatalf(string, ...any) }
	rand         *rand.Rand
	tick         int
	nodes        []*simNode
	ids          []ID
	messages     []message
	partitioned  map[[2]ID]bool
	loss         float64
	proposals    int
	acknowledged []maintenance.MemberName
	stateAt      map[maintenance.Epoch][]byte // the state after each command, as the first steward to be seen there had it
}

var limits = maintenance.Limits{MaxGatherers: 1, LeaseDuration: 3000}

func newWorld(t interface{ Fatalf(string, ...any) }, seed uint64, n int, loss float64) *world {
	w := &world{t: t, rand: rand.New(rand.NewPCG(seed, 3)), partitioned: map[[2]ID]bool{}, loss: loss, stateAt: map[maintenance.Epoch][]byte{}}
	for i := range n {
		w.ids = append(w.ids, ID(i+1))
	}
	for _, id := range w.ids {
		s := &simNode{id: id, storage: &memoryStorage{entries: map[uint64][]byte{}}}
		w.nodes = append(w.nodes, s)
		w.start(s, true)
	}
	return w
}

func (w *world) start(s *simNode, found bool) {
	s.storage.failure = 0
	node, err := New(Config{ID: s.id, Voters: w.ids, Limits: limits, Storage: s.storage, Bootstrap: found, CompactAfter: 6})
	if err != nil {
		w.t.Fatalf("steward %d does not start: %v", s.id, err)
	}
	// Each run has a clock of its own: a new leader carries the machine's time on from where it stood.
	s.node, s.frozen, s.clock = node, false, maintenance.Time(w.rand.IntN(864_000_000))
}

// awaitLeader passes time until one leads that is not the one left out. Elections that split are held again, at waits that the library
// draws from a source of its own: how many it takes is not the seed's to say.
func (w *world) awaitLeader(not *simNode) *simNode {
	for range 100 {
		w.pass(10)
		for _, s := range w.nodes {
			if s != not && s.node != nil && s.node.IsLeader() {
				return s
			}
		}
	}
	w.t.Fatalf("nobody leads after 1000 ticks")
	return nil
}

func (w *world) pass(ticks int) {
	for range ticks {
		w.tick++
		var due []message
		w.messages = slices.DeleteFunc(w.messages, func(l message) bool {
			if l.at <= w.tick {
				due = append(due, l)
			}
			return l.at <= w.tick
		})
		w.rand.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
		for _, l := range due {
			if s := w.nodes[l.to-1]; s.node != nil && !s.frozen && !w.partitioned[[2]ID{l.from, l.to}] {
				m := &pb.Message{}
				if err := proto.Unmarshal(l.data, m); err != nil {
					w.t.Fatalf("message: %v", err)
				}
				_ = s.node.Step(m) // an old term's word is turned away
				w.process(s)
			}
		}
		for _, s := range w.nodes {
			if s.node != nil && !s.frozen {
				s.node.Tick(maintenance.Time(100*w.tick) + s.clock)
				w.process(s)
			}
		}
	}
}

func (w *world) process(s *simNode) {
	for _, m := range s.node.Process() {
		b, err := proto.Marshal(m)
		if err != nil {
			w.t.Fatalf("message: %v", err)
		}
		for range 2 {
			if w.rand.Float64() >= w.loss {
				w.messages = append(w.messages, message{w.tick + w.rand.IntN(3), ID(m.GetTo()), s.id, b})
			}
			if w.rand.Float64() >= w.loss {
				break
			}
		}
	}
	if s.node.Err() == nil {
		w.checkStorage(s)
	}
	st := s.node.State()
	if limit := maintenance.Time(100 * w.tick); st.Now > limit {
		w.t.Fatalf("steward %d holds it for %d, %d have passed", s.id, st.Now, limit)
	}
	b, err := st.Snapshot()
	if err != nil {
		w.t.Fatalf("snapshot: %v", err)
	}
	if seen, there := w.stateAt[st.Applied]; !there {
		w.stateAt[st.Applied] = b
	} else if !bytes.Equal(seen, b) {
		w.t.Fatalf("after command %d steward %d has another state than one before:\n%s\n%s", st.Applied, s.id, b, seen)
	}
}

// checkStorage holds the disk against the log that the core reads: an entry too many would be a command that was never in force.
func (w *world) checkStorage(s *simNode) {
	last, err := s.node.memory.LastIndex()
	if err != nil {
		w.t.Fatalf("last index: %v", err)
	}
	first, err := s.node.memory.FirstIndex()
	if err != nil {
		w.t.Fatalf("first index: %v", err)
	}
	for no, b := range s.storage.entries {
		if no > last {
			w.t.Fatalf("steward %d keeps command %d, its log ends at %d", s.id, no, last)
		}
		if no < first {
			continue
		}
		e, err := s.node.memory.Entries(no, no+1, 1<<30)
		if err != nil {
			w.t.Fatalf("entry %d: %v", no, err)
		}
		if want, err := proto.Marshal(e[0]); err != nil || !bytes.Equal(want, b) {
			w.t.Fatalf("steward %d keeps another command %d than its log has", s.id, no)
		}
	}
}

// propose asks whoever holds itself for the leader to take a new member, and notes what was acknowledged.
func (w *world) propose() {
	for _, s := range w.nodes {
		if s.node == nil || s.frozen || !s.node.IsLeader() {
			continue
		}
		w.proposals++
		n := maintenance.MemberName(fmt.Sprintf("m%04d", w.proposals))
		s.node.Propose(maintenance.Command{Join: &maintenance.Join{Name: n, Zone: "a", Version: "v1", Incarnation: 1}}, func(_ maintenance.Result, err error) {
			if err == nil {
				w.acknowledged = append(w.acknowledged, n)
			}
		})
		w.process(s)
	}
}

// describe tells how far each steward is.
func (w *world) describe() (out string) {
	for _, s := range w.nodes {
		if s.node == nil {
			out += fmt.Sprintf(" %d dead;", s.id)
			continue
		}
		st := s.node.raw.BasicStatus()
		out += fmt.Sprintf(" %d: %v term %d lead %d commit %d applied %d cut at %d, %v;", s.id, st.RaftState, st.GetTerm(), st.Lead,
			st.GetCommit(), s.node.State().Applied, s.node.compactedAt, s.node.Err())
	}
	return out
}

func (w *world) leaders() (n int) {
	for _, s := range w.nodes {
		if s.node != nil && !s.frozen && s.node.IsLeader() {
			n++
		}
	}
	return n
}

func (w *world) fault(kind, i, j int) {
	s := w.nodes[i%len(w.nodes)]
	other := w.ids[j%len(w.ids)]
	switch kind {
	case 0, 1:
		s.node = nil // killed; what it had proposed is told to nobody
	case 2, 3, 4:
		if s.node == nil || s.node.Err() != nil {
			w.start(s, false)
		}
	case 5:
		s.frozen = !s.frozen
	case 6:
		w.partitioned[[2]ID{s.id, other}] = !w.partitioned[[2]ID{s.id, other}]
	case 7:
		for _, id := range w.ids {
			w.partitioned[[2]ID{s.id, id}], w.partitioned[[2]ID{id, s.id}] = true, true
		}
	case 8:
		clear(w.partitioned)
	case 9:
		s.storage.failure = 1 + j%2
	default:
		w.propose()
	}
}

func TestAcknowledgedCommandsAreKept(t *testing.T) {
	acked := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "stewards"),
			rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss"))
		w.pass(60)
		for range rapid.IntRange(1, 30).Draw(t, "faults") {
			w.fault(rapid.IntRange(0, 14).Draw(t, "fault"), rapid.IntRange(0, 4).Draw(t, "whom"), rapid.IntRange(0, 4).Draw(t, "and"))
			w.propose()
			w.pass(rapid.SampledFrom([]int{0, 1, 5, 40}).Draw(t, "ticks"))
		}
		clear(w.partitioned)
		w.loss = 0
		for _, s := range w.nodes {
			s.storage.failure = 0
			if s.frozen = false; s.node == nil || s.node.Err() != nil {
				w.start(s, false)
			}
		}
		w.pass(80)
		w.awaitLeader(nil)
		if n := w.leaders(); n != 1 {
			t.Fatalf("%d stewards lead once all is well", n)
		}
		w.propose()
		w.pass(20)
		for _, s := range w.nodes {
			for _, n := range w.acknowledged {
				if s.node.State().Members[n] == nil {
					t.Fatalf("steward %d does not know of %s, which was acknowledged: %s", s.id, n, w.describe())
				}
			}
			if s.node.State().Applied != w.nodes[0].node.State().Applied {
				t.Fatalf("stewards stand at %d and %d", s.node.State().Applied, w.nodes[0].node.State().Applied)
			}
			if s.node.Err() != nil {
				t.Fatalf("steward %d stopped: %v", s.id, s.node.Err())
			}
		}
		acked += len(w.acknowledged)
	})
	if acked < 200 {
		t.Errorf("only %d commands were acknowledged: the faults leave nothing to check", acked)
	}
	t.Logf("%d commands acknowledged", acked)
}

func TestNoCommitWithoutQuorum(t *testing.T) {
	w := newWorld(t, 1, 3, 0)
	w.awaitLeader(nil)
	for _, s := range w.nodes {
		if !s.node.IsLeader() {
			s.node = nil
		}
	}
	var got error
	lead := w.nodes[slices.IndexFunc(w.nodes, func(s *simNode) bool { return s.node != nil })]
	lead.node.Propose(maintenance.Command{AdvanceTime: &maintenance.AdvanceTime{}}, func(_ maintenance.Result, err error) { got = err })
	w.pass(60)
	if !errors.Is(got, ErrOutcomeUnknown) || lead.node.IsLeader() {
		t.Errorf("without a majority: %v, leads %v", got, lead.node.IsLeader())
	}
	lead.node.Propose(maintenance.Command{AdvanceTime: &maintenance.AdvanceTime{}}, func(_ maintenance.Result, err error) { got = err })
	if !errors.Is(got, ErrNotLeader) {
		t.Errorf("asked again: %v", got)
	}
}

func TestNodeWithoutLogIsRejected(t *testing.T) {
	w := newWorld(t, 1, 3, 0)
	w.awaitLeader(nil)
	_, err := New(Config{ID: 1, Voters: w.ids, Limits: limits, Storage: &memoryStorage{entries: map[uint64][]byte{}}})
	if !errors.Is(err, ErrNoLog) {
		t.Errorf("a steward without a log: %v", err)
	}
	if _, err := New(Config{ID: 9, Voters: w.ids, Limits: limits, Storage: w.nodes[0].storage}); err == nil {
		t.Error("a steward that is none starts")
	}
	d := w.nodes[0].storage
	w.propose()
	w.pass(10)
	if len(d.entries) < 2 {
		t.Fatalf("%d entries kept", len(d.entries))
	}
	delete(d.entries, slices.Min(slices.Collect(maps.Keys(d.entries)))) // a hole is told, not stepped over
	if _, err := New(Config{ID: 1, Voters: w.ids, Limits: limits, Storage: d}); err == nil {
		t.Error("a log with a hole is taken")
	}
}

// Both halves of a cut fleet are asked for the one permit there is: the side without a majority can't say, the other grants it, and once
// healed there is that one.
func TestPartitionCommitsOnMajoritySideOnly(t *testing.T) {
	w := newWorld(t, 5, 3, 0)
	lead := w.awaitLeader(nil)
	tell := func(s *simNode, c maintenance.Command) (err error) {
		err = errors.New("not told yet")
		s.node.Propose(c, func(_ maintenance.Result, e error) { err = e })
		w.process(s)
		w.pass(40)
		return err
	}
	for _, n := range []maintenance.MemberName{"m1", "m2"} {
		for _, c := range []maintenance.Command{{Join: &maintenance.Join{Name: n, Zone: "a", Version: "v", Incarnation: 1}},
			{Renew: &maintenance.Renew{Name: n, Incarnation: 1, Status: maintenance.Ready}}} {
			if err := tell(lead, c); err != nil {
				t.Fatal(err)
			}
		}
	}
	w.fault(7, int(lead.id)-1, 0) // it hears and is heard by nobody
	if err := tell(lead, maintenance.Command{RequestPermit: &maintenance.RequestPermit{Name: "m1", Incarnation: 1}}); !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("the side without a majority says %v", err)
	}
	next := w.awaitLeader(lead)
	// The leases ran out on the way: both renew in the tick in which m2 asks.
	next.node.Propose(maintenance.Command{Renew: &maintenance.Renew{Name: "m2", Incarnation: 1, Status: maintenance.Ready}}, func(maintenance.Result, error) {})
	next.node.Propose(maintenance.Command{Renew: &maintenance.Renew{Name: "m1", Incarnation: 1, Status: maintenance.Ready}}, func(maintenance.Result, error) {})
	if err := tell(next, maintenance.Command{RequestPermit: &maintenance.RequestPermit{Name: "m2", Incarnation: 1}}); err != nil {
		t.Errorf("the side with a majority says %v", err)
	}
	clear(w.partitioned)
	w.pass(60)
	for _, s := range w.nodes {
		m := s.node.State().Members
		if m["m1"].Permit != nil || m["m2"].Permit == nil {
			t.Errorf("steward %d: permits %v and %v", s.id, m["m1"].Permit, m["m2"].Permit)
		}
	}
}
