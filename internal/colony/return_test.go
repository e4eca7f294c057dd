package colony

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"oxbowspan/rpc"
)

// changesWhileAway is how many changes a machine misses. The race detector makes each several times as dear.
func changesWhileAway() uint64 {
	if raceDetector {
		return 250
	}
	return 1000
}

// changeQuickly has versions agreed one after the other by the machines that run, and returns the newest body.
func changeQuickly(t *testing.T, c *Colony, from, to uint64) (body []byte) {
	t.Helper()
	up := c.running()[:2]
	for v := from; v <= to; v++ {
		body = Example(v, FirstCut)
		status := 0
		for i := 0; i < 20 && status != http.StatusOK; i++ {
			if status = c.Replace(up[(int(v)+i)%len(up)], v-1, body); status != http.StatusOK {
				time.Sleep(50 * time.Millisecond)
			}
		}
		if status != http.StatusOK {
			t.Fatalf("version %d: %d", v, status)
		}
	}
	return body
}

// askNews asks a control machine as a gatherer does that has nothing yet; nil = no answer.
func askNews(c *Colony, to *HiveMachine) *rpc.Update {
	call := &rpc.Client{Address: to.settings().InternalAddress(0), Network: c.Meadow.Host("10.0.9.5")}
	defer call.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	back, err := call.Call(ctx, &rpc.Frame{Body: &rpc.Frame_Poll{Poll: &rpc.Poll{From: &rpc.Gateway{}}}})
	if err != nil {
		return nil
	}
	return back.GetUpdate()
}

// A machine is away while a thousand changes are agreed: dark, its disk kept or emptied, or running and cut off. It comes back,
// for its first second still cut off from the others: then it reads nothing and hands out nothing as new. It is current within four seconds of hearing them, and never
// reads, hands out or acknowledges what is old.
func TestAMachineReturnsAfterAThousandChanges(t *testing.T) {
	const within = 4 * time.Second // the least catch_up_s of the sites
	const withItsDisk, withAnEmptyDisk, runningOn = "with its disk", "with an empty disk", "running on"
	for _, how := range []string{withItsDisk, withAnEmptyDisk, runningOn} {
		t.Run(how, func(t *testing.T) {
			playCore(t, 970, 3, func(c *Colony) {
				if got := agree(c, 0, Example(1, FirstCut), 30); got != http.StatusOK {
					t.Fatalf("the first configuration: %d", got)
				}
				changeQuickly(t, c, 2, 5)
				away := c.Hives[2]
				cutOff := func() {
					for _, o := range c.Hives[:2] {
						c.Meadow.SetPartitioned(o.IP, away.IP, true)
						c.Meadow.SetPartitioned(away.IP, o.IP, true)
					}
				}
				if how == runningOn {
					cutOff()
				} else {
					away.Kill(true)
				}
				newest := 5 + changesWhileAway()
				body := changeQuickly(t, c, 6, newest)
				if how == withAnEmptyDisk {
					away.Wipe()
				}
				if how != runningOn {
					cutOff()
					must(t, away.Start())
				}
				for began := time.Now(); time.Since(began) < time.Second; time.Sleep(20 * time.Millisecond) {
					if read := c.ReadConfig(away); read != nil {
						t.Errorf("CONFIG: cut off, it reads %.20q", read)
					}
					if n := askNews(c, away); n == nil || n.HasConfig && how != runningOn || n.HasQuorum {
						t.Errorf("CONFIG: cut off, it hands out %v", n)
					}
				}
				c.Meadow.Heal()
				began := time.Now()
				currentAt := time.Duration(0)
				reads, empty := 0, 0
				var all sync.WaitGroup
				all.Go(func() { // an order on a version that it had before
					for time.Since(began) < within {
						if got := c.Replace(away, 5, Example(6, SecondCut)); got == http.StatusOK {
							t.Errorf("CONFIG: another change on version 5 is acknowledged after %v", time.Since(began))
						}
						time.Sleep(100 * time.Millisecond)
					}
				})
				for time.Since(began) < within {
					if read := c.ReadConfig(away); read == nil {
						empty++
					} else if reads++; !bytes.Equal(read, body) {
						t.Errorf("CONFIG: after %v it reads %.20q", time.Since(began), read)
					}
					if n := askNews(c, away); n != nil && n.HasConfig && n.Version != newest && (n.HasQuorum || how != runningOn) {
						t.Errorf("CONFIG: after %v it hands out version %d", time.Since(began), n.Version)
					} else if n != nil && n.Version == newest && currentAt == 0 {
						currentAt = time.Since(began)
					}
					time.Sleep(20 * time.Millisecond)
				}
				all.Wait()
				t.Logf("it hands out the newest version after %v; %d reads answered, %d not", currentAt, reads, empty)
				if currentAt == 0 || reads == 0 {
					t.Fatal("it is not current after four seconds")
				}
				body = changeQuickly(t, c, newest+1, newest+3) // it takes part again
				for _, m := range c.Hives {
					if !bytes.Equal(c.ReadConfig(m), body) {
						t.Errorf("%s does not read what was agreed last", m.IP)
					}
				}
			})
		})
	}
}
