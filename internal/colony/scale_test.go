package colony

import (
	"net/http"
	"slices"
	"testing"
	"time"
)

// Ninety gatherers and five hives: news reaches all, also after every hive was killed at once, and nobody crowds one hive.
func TestNewsReachesNinety(t *testing.T) {
	play(t, 30, 5, 90, func(c *Colony) {
		settle(t, c)
		time.Sleep(4 * time.Second)
		for version := uint64(2); version < 6; version++ {
			if got := agree(c, version-1, Example(version, FirstCut), 5); got != http.StatusOK {
				t.Fatalf("version %d: %d", version, got)
			}
			began := time.Now()
			var took []time.Duration
			for len(took) < len(c.Gather) && time.Since(began) < 3*time.Second {
				took = took[:0]
				for _, f := range c.Gather {
					if f.Now.InForce() >= version {
						took = append(took, time.Since(began))
					}
				}
				time.Sleep(time.Millisecond)
			}
			if len(took) < len(c.Gather) {
				t.Fatalf("CONFIG: %d of %d follow version %d after 3 s", len(took), len(c.Gather), version)
			}
			t.Logf("version %d is in force on all after %v", version, slices.Max(took))
			if version == 3 {
				for _, m := range c.Hives {
					m.Kill(false)
				}
				for _, m := range c.Hives {
					must(t, m.Start())
				}
				time.Sleep(2 * time.Second)
			}
		}
	})
}
