package raftnode

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"oxbowspan/internal/keyring"
	"oxbowspan/maintenance"
	"oxbowspan/raftlog"
)

// electionTimeout is the maximum time that a test waits for a leader.
const electionTimeout = 20 * time.Second

// testRing returns a key ring with one key, k1, which consists of a repeated hex digit.
func testRing(t *testing.T, digit string) *keyring.Ring {
	t.Helper()
	ring, err := keyring.Parse("k1 " + strings.Repeat(digit, 64))
	if err != nil {
		t.Fatal(err)
	}
	return ring
}

// testVoters holds the voters of a fleet, which all run in the test process.
type testVoters struct {
	nodes  []*Node
	voters []Voter
	keys   *keyring.Ring
}

func (v *testVoters) newClient(t *testing.T, sender string) *Client {
	t.Helper()
	c := NewClient(sender, v.voters, v.keys)
	t.Cleanup(c.Close)
	return c
}

// startVoters starts three voters and waits until one of them is the leader.
func startVoters(t *testing.T) *testVoters {
	t.Helper()
	dir := t.TempDir()
	v := &testVoters{keys: testRing(t, "a")}
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		v.voters = append(v.voters, Voter{fmt.Sprintf("n%d", i), l.Addr().String()})
		l.Close()
	}
	for i, voter := range v.voters {
		n, err := Start(Options{Name: voter.Name, Listen: voter.Addr, Voters: v.voters, Keys: v.keys, LogDir: filepath.Join(dir, fmt.Sprint(i)),
			Limits: maintenance.Limits{MaxGatherers: 1, LeaseDuration: 6000}, Bootstrap: true})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Close)
		v.nodes = append(v.nodes, n)
	}
	c := v.newClient(t, "test")
	for deadline := time.Now().Add(electionTimeout); time.Now().Before(deadline); {
		if _, leader, err := c.State(context.Background()); err == nil && leader != "" {
			return v
		}
	}
	t.Fatalf("no leader was elected within %s", electionTimeout)
	return nil
}

func join(name maintenance.MemberName) maintenance.Command {
	return maintenance.Command{Join: &maintenance.Join{Name: name, Zone: "a", Version: "v", Incarnation: 1}}
}

func renew(name maintenance.MemberName) maintenance.Command {
	return maintenance.Command{Renew: &maintenance.Renew{Name: name, Incarnation: 1, Status: maintenance.Ready}}
}

func requestPermit(name maintenance.MemberName) maintenance.Command {
	return maintenance.Command{RequestPermit: &maintenance.RequestPermit{Name: name, Incarnation: 1}}
}

func TestUnauthenticatedAndReplayedRequestsAreRejected(t *testing.T) {
	v := startVoters(t)
	ctx, body := context.Background(), []byte(`{"state":true}`)
	for _, voter := range v.voters {
		e := envelope{pathCommand, "x", uint64(time.Now().UnixNano())}
		if _, err := post(ctx, http.DefaultClient, testRing(t, "b"), voter.Addr, e, body); err == nil {
			t.Errorf("%s responded to a request that is not signed with the fleet's keys", voter.Name)
		}
		e.sequence = uint64(time.Now().UnixNano())
		if _, err := post(ctx, http.DefaultClient, v.keys, voter.Addr, e, body); err != nil {
			t.Fatal(err)
		}
		raw, err := post(ctx, http.DefaultClient, v.keys, voter.Addr, e, body)
		var res response
		if err != nil || json.Unmarshal(raw, &res) != nil || res.State != nil || res.MinSequence != e.sequence {
			t.Errorf("%s accepted a replay: %s %v", voter.Name, raw, err)
		}
	}
}

// A client whose clock is an hour behind gets the number that its sequence numbers must exceed, and a follower
// redirects it to the leader.
func TestClientClockBehindAndFollowerRedirect(t *testing.T) {
	v := startVoters(t)
	for i, voter := range v.voters {
		t.Run("first voter "+voter.Name, func(t *testing.T) {
			c := v.newClient(t, "late")
			c.preferredVoter = i
			c.sequence.last.Store(uint64(time.Now().Add(-time.Hour).UnixNano()))
			member := maintenance.MemberName(fmt.Sprint("m", i))
			if _, err := c.Do(context.Background(), join(member)); err != nil {
				t.Error(err)
			}
			s, leader, err := c.State(context.Background())
			if err != nil || leader == "" || s.Members[member] == nil {
				t.Errorf("state afterwards: %v, leader %q", err, leader)
			}
		})
	}
}

func TestThreeHundredMembersJoinAndRenew(t *testing.T) {
	const (
		members  = 300
		attempts = 20 // an agent also repeats a command until it succeeds
	)
	v := startVoters(t)
	start := time.Now()
	var wg sync.WaitGroup
	for i := range members {
		wg.Go(func() {
			name := maintenance.MemberName(fmt.Sprintf("m%03d", i))
			c := NewClient(string(name), v.voters, v.keys)
			defer c.Close()
			for _, command := range []maintenance.Command{join(name), renew(name)} {
				var err error
				for range attempts {
					if _, err = c.Do(context.Background(), command); err == nil {
						break
					}
				}
				if err != nil {
					t.Errorf("%s: %v", name, err)
				}
			}
		})
	}
	wg.Wait()
	t.Logf("%d members joined and renewed within %s", members, time.Since(start))
	s, _, err := v.newClient(t, "test").State(context.Background())
	if err != nil || len(s.Members) != members {
		t.Errorf("%d members, want %d; error %v", len(s.Members), members, err)
	}
}

// mustDo repeats a command until there is a leader and the outcome of the command is known, for at most electionTimeout.
func mustDo(c *Client, command maintenance.Command) (p *maintenance.Permit, err error) {
	for deadline := time.Now().Add(electionTimeout); time.Now().Before(deadline); {
		p, err = c.Do(context.Background(), command)
		if !errors.Is(err, ErrNoLeader) && !errors.Is(err, raftlog.ErrOutcomeUnknown) {
			break
		}
	}
	return p, err
}

// A permit must survive the loss of the leader that granted it: the next leader returns the same permit to a repeated
// request and grants no second one.
func TestPermitSurvivesLeaderLoss(t *testing.T) {
	v := startVoters(t)
	c := v.newClient(t, "test")
	for _, name := range []maintenance.MemberName{"m1", "m2"} {
		for _, command := range []maintenance.Command{join(name), renew(name)} {
			if _, err := mustDo(c, command); err != nil {
				t.Fatal(err)
			}
		}
	}
	first, err := mustDo(c, requestPermit("m1"))
	if err != nil {
		t.Fatal(err)
	}
	_, leader, err := c.State(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range v.nodes {
		if n.options.Name == leader {
			n.server.Close() // no message reaches it from now on
			n.cancel()
		}
	}
	again, err := mustDo(c, requestPermit("m1"))
	if err != nil || again.Epoch != first.Epoch {
		t.Errorf("repeated request: %+v %v, first %+v", again, err, first)
	}
	if _, err := mustDo(c, requestPermit("m2")); !errors.Is(err, maintenance.ErrRefused) {
		t.Errorf("second permit: %v, want ErrRefused", err)
	}
}
