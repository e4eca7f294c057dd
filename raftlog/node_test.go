package raftlog

import (
	"errors"
	"flag"
	"maps"
	"os"
	"slices"
	"testing"

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

// Every acknowledged command must survive random crashes, suspensions, partitions, message losses and failed writes,
// and all voters must end in the same state.
func TestAcknowledgedCommandsAreDurable(t *testing.T) {
	acknowledged := 0
	rapid.Check(t, func(t *rapid.T) {
		c := newTestCluster(t, rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "voters"),
			rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss"))
		c.advance(60)
		for range rapid.IntRange(1, 30).Draw(t, "faults") {
			kind := fault(rapid.IntRange(0, faultKinds-1).Draw(t, "fault"))
			c.inject(kind, rapid.IntRange(0, 4).Draw(t, "voter"), rapid.IntRange(0, 4).Draw(t, "other"))
			c.propose()
			c.advance(rapid.SampledFrom([]int{0, 1, 5, 40}).Draw(t, "ticks"))
		}
		clear(c.partitioned)
		c.loss = 0
		for _, s := range c.nodes {
			s.storage.failure = noFailure
			if s.suspended = false; s.node == nil || s.node.Err() != nil {
				c.start(s, false)
			}
		}
		c.advance(80)
		c.awaitLeader(nil)
		if n := c.countLeaders(); n != 1 {
			t.Fatalf("%d leaders after all faults have ended", n)
		}
		c.propose()
		c.advance(20)
		for _, s := range c.nodes {
			for _, n := range c.acknowledged {
				if s.node.State().Members[n] == nil {
					t.Fatalf("voter %d lacks member %s, whose join was acknowledged: %s", s.id, n, c.describe())
				}
			}
			if s.node.State().Applied != c.nodes[0].node.State().Applied {
				t.Fatalf("voters have applied %d and %d commands", s.node.State().Applied, c.nodes[0].node.State().Applied)
			}
			if s.node.Err() != nil {
				t.Fatalf("voter %d has stopped: %v", s.id, s.node.Err())
			}
		}
		acknowledged += len(c.acknowledged)
	})
	if acknowledged < 200 {
		t.Errorf("only %d commands were acknowledged, want at least 200 for the checks to be meaningful", acknowledged)
	}
	t.Logf("%d commands acknowledged", acknowledged)
}

func TestNoCommitWithoutQuorum(t *testing.T) {
	c := newTestCluster(t, 1, 3, 0)
	c.awaitLeader(nil)
	for _, s := range c.nodes {
		if !s.node.IsLeader() {
			s.node = nil
		}
	}
	var got error
	leader := c.nodes[slices.IndexFunc(c.nodes, func(s *simNode) bool { return s.node != nil })]
	leader.node.Propose(maintenance.Command{AdvanceTime: &maintenance.AdvanceTime{}}, func(_ maintenance.Result, err error) { got = err })
	c.advance(60)
	if !errors.Is(got, ErrOutcomeUnknown) || leader.node.IsLeader() {
		t.Errorf("without a quorum: %v, leader %v", got, leader.node.IsLeader())
	}
	leader.node.Propose(maintenance.Command{AdvanceTime: &maintenance.AdvanceTime{}}, func(_ maintenance.Result, err error) { got = err })
	if !errors.Is(got, ErrNotLeader) {
		t.Errorf("proposed again: %v", got)
	}
}

func TestMissingOrIncompleteLogIsRejected(t *testing.T) {
	c := newTestCluster(t, 1, 3, 0)
	c.awaitLeader(nil)
	_, err := New(Config{ID: 1, Voters: c.ids, Limits: testLimits, Storage: &memoryStorage{entries: map[uint64][]byte{}}})
	if !errors.Is(err, ErrNoLog) {
		t.Errorf("a voter without a log: got %v, want ErrNoLog", err)
	}
	if _, err := New(Config{ID: 9, Voters: c.ids, Limits: testLimits, Storage: c.nodes[0].storage}); err == nil {
		t.Error("a node that is not among the voters was started")
	}
	storage := c.nodes[0].storage
	c.propose()
	c.advance(10)
	if len(storage.entries) < 2 {
		t.Fatalf("%d entries stored, want at least 2", len(storage.entries))
	}
	delete(storage.entries, slices.Min(slices.Collect(maps.Keys(storage.entries)))) // creates a gap, which must be an error
	if _, err := New(Config{ID: 1, Voters: c.ids, Limits: testLimits, Storage: storage}); err == nil {
		t.Error("a log with a gap was accepted")
	}
}

// Both sides of a partition receive a request for the only permit. The minority cannot commit it and the majority
// grants it; after the partition has healed all voters have the permit of the majority only.
func TestPartitionCommitsOnMajoritySideOnly(t *testing.T) {
	c := newTestCluster(t, 5, 3, 0)
	leader := c.awaitLeader(nil)
	propose := func(s *simNode, command maintenance.Command) (err error) {
		err = errors.New("no result yet")
		s.node.Propose(command, func(_ maintenance.Result, e error) { err = e })
		c.process(s)
		c.advance(40)
		return err
	}
	for _, n := range []maintenance.MemberName{"m1", "m2"} {
		for _, command := range []maintenance.Command{{Join: &maintenance.Join{Name: n, Zone: "a", Version: "v", Incarnation: 1}},
			{Renew: &maintenance.Renew{Name: n, Incarnation: 1, Status: maintenance.Ready}}} {
			if err := propose(leader, command); err != nil {
				t.Fatal(err)
			}
		}
	}
	c.inject(isolate, int(leader.id)-1, 0)
	request := func(name maintenance.MemberName) maintenance.Command {
		return maintenance.Command{RequestPermit: &maintenance.RequestPermit{Name: name, Incarnation: 1}}
	}
	if err := propose(leader, request("m1")); !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("result of the minority: %v, want ErrOutcomeUnknown", err)
	}
	next := c.awaitLeader(leader)
	// The leases have expired in the meantime, so both members renew in the tick in which m2 requests the permit.
	for _, name := range []maintenance.MemberName{"m2", "m1"} {
		renew := &maintenance.Renew{Name: name, Incarnation: 1, Status: maintenance.Ready}
		next.node.Propose(maintenance.Command{Renew: renew}, func(maintenance.Result, error) {})
	}
	if err := propose(next, request("m2")); err != nil {
		t.Errorf("result of the majority: %v", err)
	}
	clear(c.partitioned)
	c.advance(60)
	for _, s := range c.nodes {
		m := s.node.State().Members
		if m["m1"].Permit != nil || m["m2"].Permit == nil {
			t.Errorf("voter %d: permits %v and %v", s.id, m["m1"].Permit, m["m2"].Permit)
		}
	}
}
