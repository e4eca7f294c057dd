package colony

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"oxbowspan/consensus"
	"oxbowspan/controlplane"
)

// granted is what the platform grants a machine that is back, or new, before others may be lost (catch_up_s).
const granted = 4 * time.Second

// isolate cuts a machine of the core off from all others of the core.
func isolate(c *Colony, m *HiveMachine) {
	for _, o := range c.Hives {
		if o != m {
			c.Meadow.SetPartitioned(m.IP, o.IP, true)
			c.Meadow.SetPartitioned(o.IP, m.IP, true)
		}
	}
}

// rejoin ends what isolate did.
func rejoin(c *Colony, m *HiveMachine) {
	for _, o := range c.Hives {
		if o != m {
			c.Meadow.SetPartitioned(m.IP, o.IP, false)
			c.Meadow.SetPartitioned(o.IP, m.IP, false)
		}
	}
}

// voters are the acceptors of the newest value that any running machine of the core knows, and the turn.
func voters(c *Colony) (members []consensus.Member, turn consensus.Slot) {
	for _, m := range c.running() {
		if v := m.Now.CommittedValue(); v != nil && v.Slot >= turn {
			members, turn = v.Members, v.Slot
		}
	}
	return members, turn
}

// incomplete names the members whose disks do not hold the newest agreed version, "" = none.
func incomplete(c *Colony, version uint64) string {
	members, turn := voters(c)
	lacking := ""
	for _, m := range members {
		held := false
		for _, h := range c.running() {
			s, ok := h.Now.StoredState()
			held = held || ok && s.ID == m.ID && s.Value != nil && s.Value.Slot >= turn && uint64(s.Value.Version) == version
		}
		if !held {
			lacking += " " + m.Address
		}
	}
	return lacking
}

// complete waits until the disks of all members hold a version, and tells how long that took.
func complete(t *testing.T, c *Colony, version uint64, within time.Duration) time.Duration {
	t.Helper()
	began := time.Now()
	for {
		lacking := incomplete(c, version)
		if lacking == "" {
			return time.Since(began)
		}
		if time.Since(began) > within {
			t.Errorf("COPIES: %v later version %d is not on the disks of%s", within, version, lacking)
			return within
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// readBack holds what all running machines read against what was acknowledged.
func readBack(t *testing.T, c *Colony, want []byte) {
	t.Helper()
	for _, m := range c.running() {
		var got []byte
		for range 10 {
			if got = c.ReadConfig(m); got != nil {
				break
			}
			time.Sleep(300 * time.Millisecond)
		}
		if !bytes.Equal(got, want) {
			t.Errorf("LOST: %s reads %.60q", m.IP, got)
		}
	}
}

// powerOff has all machines of the core that run lose power, and start again.
func powerOff(t *testing.T, c *Colony) {
	t.Helper()
	up := c.running()
	for _, m := range up {
		m.Kill(true)
	}
	for _, m := range up {
		must(t, m.Start())
	}
}

// (a) Two of five are away while a version is agreed, so that it lies on a bare majority. They return, by a cut that heals or
// by a start, and are granted their time: their disks hold it then. At once two of the others lose their disks, and the rest
// lose power.
func TestThoseWhoWereAwayAreWrittenAnew(t *testing.T) {
	for _, killed := range []bool{false, true} {
		t.Run(fmt.Sprint("killed=", killed), func(t *testing.T) {
			play(t, 101, 5, 1, func(c *Colony) {
				settle(t, c)
				time.Sleep(granted)
				away := c.Hives[3:5]
				for _, m := range away {
					if isolate(c, m); killed {
						m.Kill(true)
					}
				}
				if got := c.Replace(c.Hives[0], 1, Example(2, SecondCut)); got != http.StatusOK {
					t.Fatalf("version 2 by a bare majority: %d", got)
				}
				c.Meadow.Heal()
				if killed {
					for _, m := range away {
						must(t, m.Start())
					}
				}
				t.Logf("all copies are complete after %v", complete(t, c, 2, granted))
				time.Sleep(granted)
				for _, m := range c.Hives[:2] {
					m.Kill(true)
					m.Wipe()
				}
				powerOff(t, c)
				time.Sleep(3 * time.Second)
				readBack(t, c, Example(2, SecondCut))
			})
		})
	}
}

// (b) A newcomer's disk is full when it gets its place: its place is agreed without its vote, and it holds no copy. Once there
// is room its copy comes, without another change. Then a second one is lost, with its disk, and all others lose power.
func TestANewcomerGetsItsCopy(t *testing.T) {
	play(t, 102, 3, 1, func(c *Colony) {
		settle(t, c)
		c.Hives[0].Kill(true)
		newcomer := c.AddHive()
		must(t, newcomer.Start())
		room := fill(t, newcomer)
		time.Sleep(granted)
		members, _ := voters(c)
		if !slices.ContainsFunc(members, newcomer.at) {
			t.Fatal("the newcomer has no place")
		}
		if incomplete(c, 1) == "" {
			t.Fatal("the newcomer has its copy though its disk is full")
		}
		if got := bears(t, c, c.Hives[1]); got != 0 {
			t.Errorf("%d disks may be lost, says a view, though a member holds no copy", got)
		}
		room()
		t.Logf("all copies are complete %v after there is room", complete(t, c, 1, 2*consensus.MaxRepairBackoff))
		time.Sleep(granted)
		if got := bears(t, c, c.Hives[1]); got != 1 {
			t.Errorf("%d disks may be lost, says a view, with all copies complete", got)
		}
		c.Hives[1].Kill(true)
		c.Hives[1].Wipe()
		powerOff(t, c)
		if got := agreeAmong(c, 1, Example(2, SecondCut), 10); got != http.StatusOK {
			t.Errorf("with another lost a change gets %d", got)
		}
		readBack(t, c, Example(2, SecondCut))
	})
}

// bears is how many disks may be lost, as a machine of the core tells operators.
func bears(t *testing.T, c *Colony, m *HiveMachine) int {
	t.Helper()
	var view controlplane.MembershipStatus
	must(t, json.Unmarshal(c.Read(m, "/-/members/read"), &view))
	return view.TolerableLosses
}

// at tells whether a member is this machine.
func (m *HiveMachine) at(o consensus.Member) bool {
	return o.Address == m.settings().InternalAddress(0)
}

// (c, d) A planned replacement: the new machine comes and is granted its time, then the old one is told to end and is gone
// with its disk. As many others as are borne are lost at that moment: what is left agrees, and holds what was acknowledged.
// All may lose power between any two steps.
func TestAPlannedReplacementAndALossAtOnce(t *testing.T) {
	for k := range 8 {
		n, power := 3+2*(k%2), k/4
		t.Run(fmt.Sprint(n, " ", k), func(t *testing.T) {
			play(t, 110+uint64(k), n, 1, func(c *Colony) {
				settle(t, c)
				time.Sleep(granted)
				must(t, c.AddHive().Start())
				time.Sleep(granted)
				old := c.Hives[k%n]
				if got := agree(c, 1, Example(2, SecondCut), 5); got != http.StatusOK {
					t.Fatalf("version 2: %d", got)
				}
				began := time.Now()
				old.Leave()
				took := time.Since(began)
				old.Wipe()
				others := c.running()
				for i := range c.counted {
					others[(k/2+i)%len(others)].Kill(true)
				}
				if power == 1 {
					powerOff(t, c)
				}
				if got := agreeAmong(c, 2, Example(3, FirstCut), 8); got != http.StatusOK {
					t.Errorf("with %d lost right after a planned replacement a change gets %d", c.counted, got)
				}
				t.Logf("it left after %v", took)
				time.Sleep(2 * time.Second)
				readBack(t, c, Example(3, FirstCut))
			})
		})
	}
}

// agreeAmong sends a configuration to the machines that run until it has a clear answer.
func agreeAmong(c *Colony, basedOn uint64, body []byte, tries int) (status int) {
	for i := range tries {
		up := c.running()
		if status = c.Replace(up[i%len(up)], basedOn, body); status == http.StatusOK || status/100 == 4 {
			return status
		}
		time.Sleep(300 * time.Millisecond)
	}
	return status
}

// (c, d) A planned replacement while disks stall for longer than a hand-over takes: as many of those who stay as may be lost,
// and the successor's. The old machine stays until its place is handed over, confirmed and proven; then those whose disks
// stalled are lost.
func TestAPlannedReplacementBesideStalledDisks(t *testing.T) {
	for _, n := range []int{3, 5} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			play(t, 125, n, 1, func(c *Colony) {
				settle(t, c)
				time.Sleep(granted)
				successor := c.AddHive()
				must(t, successor.Start())
				time.Sleep(granted)
				successor.Now.StallDisk(3 * time.Second)
				stalled := c.Hives[1 : 1+c.counted]
				for _, m := range stalled {
					m.Now.StallDisk(3 * time.Second)
				}
				began := time.Now()
				c.Hives[0].Leave()
				t.Logf("it left after %v", time.Since(began))
				c.Hives[0].Wipe()
				for _, m := range stalled {
					m.Kill(true)
				}
				powerOff(t, c)
				if got := agreeAmong(c, 1, Example(2, FirstCut), 10); got != http.StatusOK {
					t.Errorf("with %d lost right after a planned replacement a change gets %d", c.counted, got)
				}
				readBack(t, c, Example(2, FirstCut))
			})
		})
	}
}

// (c) All lose power at any moment of a planned replacement, also the one that leaves; it is told to end again, and once it is
// gone as many others as are borne are lost.
func TestPowerLostInTheMiddleOfAReplacement(t *testing.T) {
	for k := range 10 {
		n := 3 + 2*(k%2)
		t.Run(fmt.Sprint(n, " ", k), func(t *testing.T) {
			play(t, 170+uint64(k), n, 1, func(c *Colony) {
				settle(t, c)
				time.Sleep(granted)
				must(t, c.AddHive().Start())
				time.Sleep(granted)
				old := c.Hives[0]
				go old.stop() // the process is told to end
				time.Sleep(time.Duration(k) * 3 * time.Millisecond)
				powerOff(t, c)
				time.Sleep(time.Duration(k%3) * 100 * time.Millisecond)
				old.Leave()
				old.Wipe()
				for _, m := range c.running()[:c.counted] {
					m.Kill(true)
				}
				if got := agreeAmong(c, 1, Example(2, FirstCut), 10); got != http.StatusOK {
					t.Errorf("with %d lost right after a planned replacement a change gets %d", c.counted, got)
				}
				readBack(t, c, Example(2, FirstCut))
			})
		})
	}
}

// (d) One of a bare majority is told to end just as those who were away are back: it goes only when they hold what it held.
func TestAMemberOfABareMajorityLeaves(t *testing.T) {
	for _, n := range []int{3, 5} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			play(t, 120, n, 1, func(c *Colony) {
				settle(t, c)
				time.Sleep(granted)
				away := c.Hives[n/2+1:]
				for _, m := range away {
					m.Kill(true)
				}
				if got := c.Replace(c.Hives[0], 1, Example(2, SecondCut)); got != http.StatusOK {
					t.Fatalf("version 2 by a bare majority: %d", got)
				}
				for _, m := range away {
					must(t, m.Start())
				}
				time.Sleep(50 * time.Millisecond)
				began := time.Now()
				c.Hives[0].Leave()
				t.Logf("it left after %v", time.Since(began))
				if took := time.Since(began); took > granted {
					t.Errorf("it left after %v", took)
				}
				c.Hives[0].Wipe()
				for i, m := range c.Hives[1:] {
					if s, ok := m.Now.StoredState(); !ok || s.Value == nil || s.Value.Version != 2 {
						t.Errorf("COPIES: machine %d stays and does not hold what the one that left held", i+1)
					}
				}
				// Beyond what is borne: of the majority that voted no disk is left.
				for _, m := range c.Hives[1 : n/2+1] {
					m.Kill(true)
					m.Wipe()
				}
				powerOff(t, c)
				time.Sleep(3 * time.Second)
				for _, m := range away {
					if s, ok := m.Now.StoredState(); !ok || s.Value == nil || s.Value.Version != 2 {
						t.Errorf("LOST: %s does not hold version 2", m.IP)
					}
				}
			})
		})
	}
}

// (d) One is told to end while another is down for good and there is nobody to take its place: it stays as long as its grace
// lasts and takes calls and votes meanwhile, then it goes. A kill while it stays ends it at once.
func TestAMemberStaysNoLongerThanItsGrace(t *testing.T) {
	play(t, 180, 3, 1, func(c *Colony) {
		settle(t, c)
		time.Sleep(granted)
		c.Hives[2].Kill(true)
		next(t, c, 2)
		began, left := time.Now(), make(chan time.Duration, 1)
		go func() {
			c.Hives[0].end()
			left <- time.Since(began)
		}()
		time.Sleep(time.Second)
		if got := c.Replace(c.Hives[0], 2, Example(3, FirstCut)); got != http.StatusOK {
			t.Errorf("a member that is needed and leaving answers a change with %d", got)
		}
		if took := <-left; took < 3*time.Second || took > 6*time.Second {
			t.Errorf("it left after %v", took)
		}
		c.Hives[0].Now = nil
		must(t, c.Hives[0].Start())
		time.Sleep(2 * time.Second)
		began = time.Now()
		go func() {
			time.Sleep(time.Second)
			c.Hives[0].Now.Kill()
		}()
		c.Hives[0].end()
		if took := time.Since(began); took > 1100*time.Millisecond {
			t.Errorf("killed after a second of its stay, it ends after %v", took)
		}
		c.Hives[0].Now = nil
		must(t, c.Hives[0].Start())
		must(t, c.Hives[2].Start())
		t.Logf("all copies are complete after %v", complete(t, c, 3, granted))
		readBack(t, c, Example(3, FirstCut))
	})
}

// Machines are told to end and start again in turn, with a change sent in between. With all copies complete each goes at once.
func TestRolledRestartsGoQuickly(t *testing.T) {
	play(t, 130, 5, 1, func(c *Colony) {
		settle(t, c)
		time.Sleep(granted)
		complete(t, c, 1, granted)
		for i, m := range c.Hives {
			version := uint64(i + 2)
			var sent sync.WaitGroup
			sent.Go(func() {
				time.Sleep(time.Duration(i) * 5 * time.Millisecond)
				if got := agree(c, version-1, Example(version, FirstCut), 10); got != http.StatusOK {
					t.Errorf("version %d while a machine restarts: %d", version, got)
				}
			})
			began := time.Now()
			m.Leave()
			if took := time.Since(began); took > 1500*time.Millisecond {
				t.Errorf("machine %d took %v to leave, with all copies complete", i, took)
			}
			time.Sleep(500 * time.Millisecond)
			must(t, m.Start())
			sent.Wait()
			t.Logf("all copies are complete after %v", complete(t, c, version, granted))
			time.Sleep(granted / 2)
		}
		if members, _ := voters(c); len(members) != 5 {
			t.Errorf("%d members after the restarts", len(members))
		}
		readBack(t, c, Example(6, FirstCut))
	})
}

// (e) A machine is cut off for 20 s and loses its place to a spare. Meanwhile another is lost: with the spare in its place the
// rest still agree. The one that returns goes back on nothing and takes a place again when there is one.
func TestALongCutAndASecondLoss(t *testing.T) {
	play(t, 140, 3, 1, func(c *Colony) {
		must(t, c.AddHive().Start())
		settle(t, c)
		time.Sleep(granted)
		isolate(c, c.Hives[0])
		time.Sleep(granted + 2*time.Second)
		c.Hives[1].Kill(true)
		if got := agreeAmong(c, 1, Example(2, SecondCut), 10); got != http.StatusOK {
			t.Errorf("one cut off and replaced by a spare, one lost: a change gets %d", got)
		}
		time.Sleep(10 * time.Second)
		c.Meadow.Heal()
		time.Sleep(granted)
		t.Logf("all copies are complete after %v", complete(t, c, 2, granted))
		powerOff(t, c)
		time.Sleep(3 * time.Second)
		readBack(t, c, Example(2, SecondCut))
	})
}

// Five machines, three named. Two are lost in turn, in every way, and return or are replaced; all may lose power between any
// two steps; after each step what was acknowledged is read back, and after the time granted every copy is complete.
func TestTwoOfFiveLostInTurn(t *testing.T) {
	for k := range 6 {
		t.Run(fmt.Sprint(k), func(t *testing.T) {
			play(t, 150+uint64(k), 5, 1, func(c *Colony) {
				settle(t, c)
				time.Sleep(granted)
				version := uint64(1)
				change := func() {
					version++
					if got := agreeAmong(c, version-1, Example(version, FirstCut), 15); got != http.StatusOK {
						t.Fatalf("version %d: %d", version, got)
					}
				}
				step := func(no int) {
					if (k+no)%3 == 0 {
						powerOff(t, c)
						time.Sleep(2 * time.Second)
					}
					if text := c.ReadConfig(c.running()[0]); text != nil && !bytes.Equal(text, Example(version, FirstCut)) {
						t.Errorf("LOST: after step %d version %d is not read back", no, version)
					}
				}
				for turn := range 3 {
					first, second := c.running()[(k+turn)%5], c.running()[(k+turn+1+k%3)%5]
					first.Kill(true)
					change()
					step(4 * turn)
					second.Kill(k%2 == 0)
					change()
					step(4*turn + 1)
					for i, m := range []*HiveMachine{first, second} {
						switch (k + turn + i) % 3 {
						case 0: // back with its disk
							must(t, m.Start())
						case 1: // back without
							m.Wipe()
							must(t, m.Start())
						case 2: // another comes in its place
							must(t, c.AddHive().Start())
						}
						time.Sleep(granted)
						if lacking := incomplete(c, version); lacking != "" && i == 1 {
							t.Errorf("COPIES: turn %d: with all back version %d is not on the disks of%s", turn, version, lacking)
						}
						step(4*turn + 2 + i)
					}
				}
				time.Sleep(granted)
				readBack(t, c, Example(version, FirstCut))
			})
		})
	}
}

// Where all copies are complete nothing is written and no round runs.
func TestNothingIsWrittenAtRest(t *testing.T) {
	play(t, 160, 5, 1, func(c *Colony) {
		settle(t, c)
		time.Sleep(granted)
		complete(t, c, 1, granted)
		time.Sleep(2 * time.Second)
		before := map[string]consensus.AcceptorState{}
		for _, m := range c.Hives {
			before[m.IP], _ = m.Now.StoredState()
		}
		time.Sleep(2 * time.Minute)
		for _, m := range c.Hives {
			if s, ok := m.Now.StoredState(); !ok || s.DiffersFrom(before[m.IP]) {
				t.Errorf("REST: %s wrote: promised %v, was %v", m.IP, s.Promised, before[m.IP].Promised)
			}
		}
	})
}
