package colony

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"oxbowspan/config"
)

// settle has the first version agreed and everywhere.
func settle(t *testing.T, c *Colony) {
	t.Helper()
	if got := agree(c, 0, Example(1, FirstCut), 30); got != http.StatusOK {
		t.Fatalf("the first configuration: %d", got)
	}
	await(t, c, 1, 3*time.Second)
}

func (c *Colony) running() (out []*HiveMachine) {
	for _, m := range c.Hives {
		if m.Now != nil {
			out = append(out, m)
		}
	}
	return out
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// next has another version agreed by the hives that run, on top of the one before.
func next(t *testing.T, c *Colony, version uint64) {
	t.Helper()
	status := 0
	for i := range 20 {
		up := c.running()
		if status = c.Replace(up[i%len(up)], version-1, Example(version, FirstCut)); status == http.StatusOK {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	t.Fatalf("version %d gets %d", version, status)
}

// Every machine of the core is lost for good, one after the other, each replaced by an empty one at another address; the
// seeds turn over with them. In the end nobody is left who was there at first, and gatherers still hear news.
func TestTheCoreIsReplacedOneByOne(t *testing.T) {
	for _, n := range []int{3, 5} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			play(t, 11, n, 2, func(c *Colony) {
				settle(t, c)
				time.Sleep(3 * time.Second) // five: the two that are no seeds take their seats
				first := slices.Clone(c.Hives)
				for i, old := range first {
					old.Kill(true)
					time.Sleep(time.Second)
					up := c.running()
					c.Seeds(up[:min(3, len(up))]...)
					must(t, c.AddHive().Start())
					time.Sleep(4 * time.Second) // what the platform grants
					next(t, c, uint64(i+2))
				}
				await(t, c, uint64(n+1), 3*time.Second)
				for _, m := range c.running() {
					if got := c.ReadConfig(m); !bytes.Equal(got, Example(uint64(n+1), FirstCut)) {
						t.Errorf("%s reads %.40s", m.IP, got)
					}
				}
			})
		})
	}
}

// Five, two of them lost for good at once: the three that are left decide; one of the new ones and they bear another loss.
func TestFiveWithTwoGone(t *testing.T) {
	play(t, 12, 5, 2, func(c *Colony) {
		settle(t, c)
		time.Sleep(4 * time.Second)
		c.Hives[0].Kill(true)
		c.Hives[1].Kill(true)
		next(t, c, 2)
		c.Seeds(c.Hives[2], c.Hives[3], c.Hives[4])
		must(t, c.AddHive().Start())
		must(t, c.AddHive().Start())
		time.Sleep(6 * time.Second)
		c.Hives[2].Kill(true)
		c.Hives[3].Kill(true)
		next(t, c, 3)
		await(t, c, 3, 3*time.Second)
	})
}

// A version is acknowledged; at once one disk is lost and all others lose power. The emptied machine is back first.
func TestAWipedDiskReturnsBeforeTheRest(t *testing.T) {
	for lost := range 3 {
		play(t, 13+uint64(lost), 3, 1, func(c *Colony) {
			settle(t, c)
			if got := c.Replace(c.Hives[lost], 1, Example(2, SecondCut)); got != http.StatusOK {
				t.Fatalf("the second version: %d", got)
			}
			for _, m := range c.Hives {
				m.Kill(true)
			}
			for _, f := range c.Gather {
				f.Kill(true)
			}
			c.Hives[lost].Wipe()
			must(t, c.Hives[lost].Start())
			time.Sleep(2 * time.Second)
			for i, m := range c.Hives {
				if i != lost {
					must(t, m.Start())
				}
			}
			c.Gather[0].Start()
			time.Sleep(4 * time.Second)
			for _, m := range c.Hives {
				if got := c.ReadConfig(m); !bytes.Equal(got, Example(2, SecondCut)) {
					t.Errorf("LOST: %s reads %.40s", m.IP, got)
				}
			}
			await(t, c, 2, 3*time.Second)
		})
	}
}

// The core is cut in two, one way and both ways, with an operator on each side, on the same base: one wins, on the side that
// has a majority, and nothing of the other is ever in force.
func TestTwoOperatorsThroughACut(t *testing.T) {
	for oneWay := range 2 {
		play(t, 16, 3, 3, func(c *Colony) {
			settle(t, c)
			alone := c.Hives[0]
			for _, o := range c.Hives[1:] {
				c.Meadow.SetPartitioned(alone.IP, o.IP, true)
				if oneWay == 0 {
					c.Meadow.SetPartitioned(o.IP, alone.IP, true)
				}
			}
			var wg sync.WaitGroup
			lonely, many := 0, 0
			wg.Go(func() {
				for range 5 {
					if lonely = c.Replace(alone, 1, Example(2, FirstCut)); lonely/100 != 5 {
						return
					}
				}
			})
			wg.Go(func() { many = c.Replace(c.Hives[1], 1, Example(3, SecondCut)) })
			wg.Wait()
			if lonely == http.StatusOK && many == http.StatusOK {
				t.Fatal("CONFIG: both were acknowledged on one base")
			}
			if many != http.StatusOK {
				t.Fatalf("the side with a majority answers %d", many)
			}
			await(t, c, 3, 3*time.Second)
			c.Meadow.Heal()
			time.Sleep(3 * time.Second)
			if got := c.Replace(alone, 1, Example(2, FirstCut)); got != http.StatusPreconditionFailed {
				t.Errorf("what lost is answered %d when it is sent again", got)
			}
			for _, f := range c.Gather {
				if f.Now.ActiveVersion() != 3 {
					t.Errorf("CONFIG: %s follows %d", f.IP, f.Now.ActiveVersion())
				}
			}
		})
	}
}

// A hive that was cut off for long, with gatherers that know no other near, wakes with old news: nobody goes back, and who is
// in touch with the rest has what is new.
func TestAHiveThatLagsIsLeft(t *testing.T) {
	play(t, 17, 3, 3, func(c *Colony) {
		settle(t, c)
		for _, o := range c.Hives[1:] {
			c.Meadow.SetPartitioned(c.Hives[0].IP, o.IP, true)
			c.Meadow.SetPartitioned(o.IP, c.Hives[0].IP, true)
		}
		time.Sleep(3 * time.Second)
		if got := c.Replace(c.Hives[1], 1, Example(2, SecondCut)); got != http.StatusOK {
			t.Fatal(got)
		}
		await(t, c, 2, 3*time.Second)
		c.Gather[0].Kill(false)
		c.Gather[0].Start() // beside the hive that lags
		time.Sleep(2 * time.Second)
		if v := c.Gather[0].Now.ActiveVersion(); v != 2 {
			t.Errorf("CONFIG: a gatherer that started beside a hive that lags follows %d", v)
		}
	})
}

// A disk stalls for seconds at one hive, at the moment of a change: the others decide without it.
func TestAStalledDiskHoldsNobody(t *testing.T) {
	play(t, 18, 3, 1, func(c *Colony) {
		settle(t, c)
		for i, m := range c.Hives {
			m.Now.StallDisk(3 * time.Second)
			began := time.Now()
			for _, by := range []*HiveMachine{c.Hives[(i+1)%3], m} { // by another, and by itself
				version := uint64(2 + 2*i)
				if by == m {
					version++
				}
				if got := c.Replace(by, version-1, Example(version, FirstCut)); got != http.StatusOK {
					t.Errorf("version %d beside a stalled disk: %d", version, got)
				}
			}
			if took := time.Since(began); took > time.Second {
				t.Errorf("two versions beside a stalled disk took %v", took)
			}
			time.Sleep(4 * time.Second)
		}
	})
}

// A version of 256 KiB and a storm of versions.
func TestLongAndManyVersions(t *testing.T) {
	play(t, 19, 3, 2, func(c *Colony) {
		settle(t, c)
		var conf config.Configuration
		must(t, json.Unmarshal(Example(2, FirstCut), &conf))
		for i := 0; len(conf.Routes) < 1700; i++ {
			r := conf.Routes[1]
			r.Name, r.PathPrefix = fmt.Sprint("r", i), fmt.Sprintf("/more-%d/", i)
			conf.Routes = append(conf.Routes, r)
		}
		long, _ := json.Marshal(conf)
		if len(long) < 256<<10 {
			t.Fatalf("only %d bytes", len(long))
		}
		if got := agree(c, 1, long, 5); got != http.StatusOK {
			t.Fatalf("a version of %d bytes: %d", len(long), got)
		}
		await(t, c, 2, 3*time.Second)
		if a := c.Ask(c.Gather[0], "GET", "h.example", "/more-1000/x", "long", time.Second); a.Status != http.StatusOK {
			t.Errorf("its last routes are not served: %d", a.Status)
		}
		for v := uint64(3); v < 40; v++ {
			if got := agree(c, v-1, Example(v, FirstCut), 5); got != http.StatusOK {
				t.Fatalf("version %d: %d", v, got)
			}
		}
		await(t, c, 39, 3*time.Second)
		if got := agree(c, 1, long, 3); got != http.StatusOK {
			t.Errorf("an old version sent again is answered %d", got)
		}
	})
}

// A draining that was acknowledged reaches every gatherer, though the hive that took it dies at once; and a hive that is cut
// off does not acknowledge one.
func TestADrainingIsNotLostWithItsHive(t *testing.T) {
	play(t, 20, 3, 3, func(c *Colony) {
		settle(t, c)
		time.Sleep(3 * time.Second)
		leaving := c.Servers[15] // of service "one"
		client := c.client("10.0.9.7")
		defer client.CloseIdleConnections()
		say := func(to *HiveMachine) int {
			text, _ := json.Marshal(config.Heartbeat{Service: leaving.Service, Address: leaving.Address(), Zone: "zone-0", State: config.StateDraining, Sequence: 1 << 20})
			return c.post(context.Background(), client, to.Control(), "/-/instances/"+leaving.Instance+"/heartbeat", string(text))
		}
		c.Meadow.SetPartitioned(c.Hives[0].IP, c.Hives[1].IP, true)
		c.Meadow.SetPartitioned(c.Hives[0].IP, c.Hives[2].IP, true)
		if got := say(c.Hives[0]); got == http.StatusOK {
			t.Fatal("DRAIN: a hive that nobody hears acknowledged a draining")
		}
		c.Meadow.Heal()
		time.Sleep(3 * time.Second)
		if got := say(c.Hives[1]); got != http.StatusOK {
			t.Fatalf("a draining is answered %d", got)
		}
		c.Hives[1].Kill(true)
		time.Sleep(2 * time.Second)
		for i := range 60 {
			id := fmt.Sprintf("d%d", i)
			a := c.Ask(c.Gather[i%3], "GET", "h.example", "/one/x", id, time.Second)
			if a.Status == http.StatusOK && a.Header.Get("X-Server-Seal") == leaving.Instance+".one."+id {
				t.Fatalf("DRAIN: request %s reached a server two seconds after its draining was acknowledged", id)
			}
		}
	})
}

// A gatherer that is cut off from the whole core takes news from the gatherers that it knows.
func TestNewsByWayOfAnotherGatherer(t *testing.T) {
	play(t, 21, 3, 3, func(c *Colony) {
		settle(t, c)
		time.Sleep(2 * time.Second)
		for _, m := range c.Hives {
			c.Meadow.SetPartitioned(m.IP, c.Gather[0].IP, true)
			c.Meadow.SetPartitioned(c.Gather[0].IP, m.IP, true)
		}
		if got := c.Replace(c.Hives[0], 1, Example(2, SecondCut)); got != http.StatusOK {
			t.Fatal(got)
		}
		await(t, c, 2, 8*time.Second)
		a := c.Ask(c.Gather[0], "GET", "h.example", "/all/x", "k", time.Second)
		if fault := CheckGathered(a, "k", [][]string{SecondCut}, ExampleRecords, exampleTop, exampleLeast); a.Status != http.StatusOK || fault != "" {
			t.Fatal(a.Status, fault)
		}
	})
}
