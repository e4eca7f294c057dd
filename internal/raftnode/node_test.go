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

func testRing(t *testing.T, digit string) *keyring.Ring {
	k, err := keyring.Parse("k1 " + strings.Repeat(digit, 64))
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// startVoters starts a fleet's stewards in this process and waits until one leads.
func startVoters(t *testing.T) (all []*Node, f Options) {
	dir := t.TempDir()
	f = Options{Keys: testRing(t, "a"), Limits: maintenance.Limits{MaxGatherers: 1, LeaseDuration: 6000}}
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		f.Voters = append(f.Voters, Voter{fmt.Sprintf("n%d", i), l.Addr().String()})
		l.Close()
	}
	for i, a := range f.Voters {
		own := f
		own.Name, own.Listen, own.Path = a.Name, a.Addr, filepath.Join(dir, fmt.Sprint(i))
		s, err := Start(own, true)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		all = append(all, s)
	}
	c := NewClient("test", f)
	defer c.Close()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
		if _, leader, err := c.State(context.Background()); err == nil && leader != "" {
			return all, f
		}
	}
	t.Fatal("nobody leads")
	return nil, f
}

func TestUnauthenticatedAndReplayedRequestsAreRejected(t *testing.T) {
	_, f := startVoters(t)
	ctx, body := context.Background(), []byte(`{"state":true}`)
	for _, a := range f.Voters {
		if _, err := post(ctx, http.DefaultClient, testRing(t, "b"), a.Addr, pathCommand, "x", uint64(time.Now().UnixNano()), body); err == nil {
			t.Errorf("%s answers somebody without the fleet's keys", a.Name)
		}
		no := uint64(time.Now().UnixNano())
		if _, err := post(ctx, http.DefaultClient, f.Keys, a.Addr, pathCommand, "x", no, body); err != nil {
			t.Fatal(err)
		}
		got, err := post(ctx, http.DefaultClient, f.Keys, a.Addr, pathCommand, "x", no, body)
		var said response
		if err != nil || json.Unmarshal(got, &said) != nil || said.State != nil || said.MinSequence != no {
			t.Errorf("%s took a word twice: %s %v", a.Name, got, err)
		}
	}
}

// A speaker whose clock is an hour behind is told what its numbers must be above, and a steward that does not lead names the one that does.
func TestClientClockBehindAndFollowerRedirect(t *testing.T) {
	all, f := startVoters(t)
	for i := range all {
		c := NewClient("late", f)
		c.next = i
		c.sequence.last.Store(uint64(time.Now().Add(-time.Hour).UnixNano()))
		if _, err := c.Do(context.Background(), maintenance.Command{Join: &maintenance.Join{Name: maintenance.MemberName(fmt.Sprint("m", i)), Zone: "a", Version: "v", Incarnation: 1}}); err != nil {
			t.Errorf("asked of steward %d first: %v", i, err)
		}
		s, leader, err := c.State(context.Background())
		if err != nil || leader == "" || s.Members[maintenance.MemberName(fmt.Sprint("m", i))] == nil {
			t.Errorf("state asked after it: %v, leader %q", err, leader)
		}
		c.Close()
	}
}

func TestThreeHundredMembersJoinAndRenew(t *testing.T) {
	_, f := startVoters(t)
	began := time.Now()
	var wg sync.WaitGroup
	for i := range 300 {
		wg.Go(func() {
			n := maintenance.MemberName(fmt.Sprintf("m%03d", i))
			c := NewClient(string(n), f)
			defer c.Close()
			for _, command := range []maintenance.Command{{Join: &maintenance.Join{Name: n, Zone: "a", Version: "v", Incarnation: 1}},
				{Renew: &maintenance.Renew{Name: n, Incarnation: 1, Status: maintenance.Ready}}} {
				var err error
				for range 20 { // as an agent does, which asks again until it is heard
					if _, err = c.Do(context.Background(), command); err == nil {
						break
					}
				}
				if err != nil {
					t.Errorf("%s: %v", n, err)
				}
			}
		})
	}
	wg.Wait()
	t.Logf("300 joined and renewed in %s", time.Since(began))
	c := NewClient("test", f)
	defer c.Close()
	s, _, err := c.State(context.Background())
	if err != nil || len(s.Members) != 300 {
		t.Errorf("%d members, %v", len(s.Members), err)
	}
}

// What was granted is on the disk of whoever leads next: the steward that granted it is gone before it could tell, and asked again the
// fleet gives the same permit, and no second one.
func TestPermitSurvivesLeaderLoss(t *testing.T) {
	all, f := startVoters(t)
	c := NewClient("test", f)
	defer c.Close()
	ctx := context.Background()
	do := func(command maintenance.Command) (*maintenance.Permit, error) {
		var p *maintenance.Permit
		var err error
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
			if p, err = c.Do(ctx, command); !errors.Is(err, ErrNoLeader) && !strings.Contains(fmt.Sprint(err), raftlog.ErrOutcomeUnknown.Error()) {
				break
			}
		}
		return p, err
	}
	for _, n := range []maintenance.MemberName{"m1", "m2"} {
		if _, err := do(maintenance.Command{Join: &maintenance.Join{Name: n, Zone: "a", Version: "v", Incarnation: 1}}); err != nil {
			t.Fatal(err)
		}
		if _, err := do(maintenance.Command{Renew: &maintenance.Renew{Name: n, Incarnation: 1, Status: maintenance.Ready}}); err != nil {
			t.Fatal(err)
		}
	}
	first, err := do(maintenance.Command{RequestPermit: &maintenance.RequestPermit{Name: "m1", Incarnation: 1}})
	if err != nil {
		t.Fatal(err)
	}
	_, leader, _ := c.State(ctx)
	for _, s := range all {
		if s.options.Name == leader {
			s.server.Close() // nothing it says arrives any more
			s.cancel()
		}
	}
	again, err := do(maintenance.Command{RequestPermit: &maintenance.RequestPermit{Name: "m1", Incarnation: 1}})
	if err != nil || again.Epoch != first.Epoch {
		t.Errorf("asked again: %+v %v, first %+v", again, err, first)
	}
	if _, err := do(maintenance.Command{RequestPermit: &maintenance.RequestPermit{Name: "m2", Incarnation: 1}}); !errors.Is(err, maintenance.ErrRefused) {
		t.Errorf("a second one: %v", err)
	}
}
