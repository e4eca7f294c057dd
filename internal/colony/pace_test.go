package colony

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"oxbowspan/config"
)

// A storm of long versions: each gatherer is given far fewer than were agreed, has the newest within the bound after each
// acknowledgement, hears of a server that leaves at once all the same, and a single version after a rest goes out at once.
func TestAStormOfLongVersionsIsPaced(t *testing.T) {
	play(t, 95, 3, 3, func(c *Colony) {
		settle(t, c)
		long := func(version uint64) []byte {
			var conf config.Configuration
			must(t, json.Unmarshal(Example(version, FirstCut), &conf))
			for i := range 1000 {
				r := conf.Routes[1]
				r.Name, r.PathPrefix = fmt.Sprint("r", i), fmt.Sprintf("/more-%d/", i)
				conf.Routes = append(conf.Routes, r)
			}
			text, _ := json.Marshal(conf)
			return text
		}
		time.Sleep(5 * time.Second)
		const versions, apply = 60, 3 * time.Second
		given := map[string]map[uint64]bool{}
		for v := uint64(2); v < 2+versions; v++ {
			if got := agree(c, v-1, long(v), 5); got != http.StatusOK {
				t.Fatalf("version %d: %d", v, got)
			}
			for range 5 {
				time.Sleep(20 * time.Millisecond)
				for _, f := range c.Gather {
					if given[f.IP] == nil {
						given[f.IP] = map[uint64]bool{}
					}
					given[f.IP][f.Now.ActiveVersion()] = true
				}
			}
			if v == 30 {
				leaving := c.Servers[15]
				acked, late := leaving.Drain(), 0
				leaving.Watch(func(at time.Time) {
					if at.Sub(acked) > time.Second {
						late++
					}
				})
				defer func() {
					if late > 0 || acked.IsZero() {
						t.Errorf("DRAIN: %d requests came over a second after a draining amid versions (%v)", late, acked)
					}
				}()
			}
			c.Ask(c.Gather[v%3], "GET", "h.example", "/one/x", fmt.Sprint("s", v), time.Second)
		}
		await(t, c, 1+versions, apply/2)
		for ip, versionsHad := range given {
			if n := len(versionsHad); n > 20 {
				t.Errorf("%s was given %d of %d versions", ip, n, versions)
			}
		}
		time.Sleep(5 * time.Second)
		if got := agree(c, 1+versions, long(2+versions), 5); got != http.StatusOK {
			t.Fatal(got)
		}
		await(t, c, 2+versions, 200*time.Millisecond)
	})
}
