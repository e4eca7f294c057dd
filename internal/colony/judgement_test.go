package colony

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"oxbowspan/controlplane"
)

// A server that takes requests and answers none is left by all gatherers, tried by one, and taken back by all. A pin holds and ends.
func TestAHungServerIsLeftTogether(t *testing.T) {
	play(t, 41, 3, 12, func(c *Colony) {
		if got := agree(c, 0, Example(1, FirstCut), 30); got != http.StatusOK {
			t.Fatalf("the configuration: %d", got)
		}
		await(t, c, 1, 3*time.Second)
		var ill *Server
		for _, s := range c.Servers {
			if s.Service == "one" {
				ill = s
			}
		}
		var came, asked, served atomic.Int64
		ill.Watch(func(time.Time) { came.Add(1) })
		over := make(chan struct{})
		var all sync.WaitGroup
		all.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-over:
					return
				case <-time.After(10 * time.Millisecond):
				}
				all.Go(func() {
					asked.Add(1)
					if c.Ask(c.Gather[n%12], "GET", "h.example", "/one/x", fmt.Sprint("j", n), 2*time.Second).Status == http.StatusOK {
						served.Add(1)
					}
				})
			}
		})
		time.Sleep(8 * time.Second)
		ill.Hang(true)
		time.Sleep(2500 * time.Millisecond)
		left := came.Load()
		time.Sleep(4 * time.Second)
		met := came.Load() - left
		ill.Hang(false)
		var back time.Duration
		for began := time.Now(); time.Since(began) < 12*time.Second; {
			before := came.Load()
			time.Sleep(500 * time.Millisecond)
			if back = time.Since(began); came.Load()-before > 8 { // of some 17
				break
			}
		}
		pin := func(version uint64, text string) {
			if got := c.ReplaceNote(c.Hives[0], "pins", version, []byte(text)); got != http.StatusOK {
				t.Errorf("pins: %d", got)
			}
		}
		time.Sleep(3 * time.Second)
		pin(0, fmt.Sprintf(`{"pins":[{"instance":%q,"stance":"out","for_s":4,"why":"a test"}]}`, ill.Instance))
		time.Sleep(time.Second)
		before := came.Load()
		var nodes []controlplane.GatewayOutliers
		time.Sleep(1500 * time.Millisecond)
		pinned := came.Load() - before
		holds := 0
		for _, h := range c.Hives {
			must(t, json.Unmarshal(c.Read(h, "/-/judgement/explain"), &nodes))
			for _, n := range nodes {
				for _, s := range n.Servers {
					if s.Instance == ill.Instance && s.Pinned && s.State == "out" {
						holds++
					}
				}
			}
		}
		time.Sleep(4 * time.Second)
		before = came.Load()
		time.Sleep(time.Second)
		after := came.Load() - before
		close(over)
		all.Wait()
		t.Logf("hung: %d requests met it in 4 s after 2.5 s; back after %v; pinned out: %d in 1.5 s, told by %d of 12; after the pin's end %d in 1 s; %d of %d served",
			met, back, pinned, holds, after, served.Load(), asked.Load())
		if met > 24 || back > 9*time.Second || pinned > 0 || holds < 10 || after < 15 || 100*served.Load() < 99*asked.Load() {
			t.Error("that is not as it should be")
		}
	})
}
