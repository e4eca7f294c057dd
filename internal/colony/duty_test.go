package colony

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// Servers whose calls do not reach the core, while they serve as before, stay in service: one gatherer looks after each and
// tells the core. It is one gatherer, and another after it has died; what is heard is not probed.
func TestServersThatTheCoreDoesNotHearServeOn(t *testing.T) {
	play(t, 71, 3, 6, func(c *Colony) {
		settle(t, c)
		time.Sleep(4 * time.Second)
		var unheard []*Server
		for _, s := range c.Servers {
			if s.Service != "one" {
				continue
			}
			unheard = append(unheard, s)
			for _, m := range c.Hives {
				c.Meadow.SetPartitioned(s.IP, m.IP, true)
				c.Meadow.SetPartitioned(m.IP, s.IP, true)
			}
		}
		serve := func(when string, least int) {
			t.Helper()
			served := 0
			for i := range 30 {
				if a := c.Ask(c.Gather[i%len(c.Gather)], "GET", "h.example", "/one/x", fmt.Sprint(when, i), time.Second); a.Status == http.StatusOK {
					served++
				}
			}
			if served < least {
				t.Errorf("%s %d of 30 requests to servers that the core does not hear are served", when, served)
			}
		}
		time.Sleep(9 * time.Second) // unheard, a lease, a probe
		serve("at first", 30)
		probes := func(of ...*Server) (n int) {
			for _, s := range of {
				s.mu.Lock()
				n += s.Probed
				s.mu.Unlock()
			}
			return n
		}
		probed := probes(unheard...)
		time.Sleep(20 * time.Second)
		serve("later", 30)
		if n := probes(unheard...) - probed; n < 3*10 || n > 3*22 {
			t.Errorf("%d probes of 3 servers in 20 s: not those of one holder each", n)
		}
		c.Gather[0].Kill(true) // whoever holds what: two of six die
		c.Gather[1].Kill(true)
		c.Gather = c.Gather[2:]
		for range 12 {
			time.Sleep(time.Second)
			serve("while duties change hands", 30)
		}
		unheard[0].Crash(false)
		time.Sleep(12 * time.Second)
		serve("with one crashed", 28)
		for _, s := range c.Servers {
			if s.Service != "one" && probes(s) > 0 {
				t.Errorf("%s of %s is heard and was probed %d times", s.Instance, s.Service, probes(s))
			}
		}
	})
}
