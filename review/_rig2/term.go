package main

import (
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"
)

// platform hands new connections to the gateways of the client's zone, as PROTOCOL.md says under "How clients arrive".
type platform struct {
	mu     sync.Mutex
	misses map[*process]int
	zones  [][]*process
}

// watch asks each gateway for readiness once a second until stop is closed.
func (p *platform) watch(stop <-chan struct{}) {
	for _, zone := range p.zones {
		for _, g := range zone {
			go func() {
				ticker := time.NewTicker(time.Second)
				defer ticker.Stop()
				for {
					ok := g.ready()
					p.mu.Lock()
					if ok {
						p.misses[g] = 0
					} else {
						p.misses[g]++
					}
					p.mu.Unlock()
					select {
					case <-ticker.C:
					case <-stop:
						return
					}
				}
			}()
		}
	}
}

// in returns the gateways of a zone that have not missed twice.
func (p *platform) in(zone int) (in []*process) {
	for _, g := range p.zones[zone] {
		if p.misses[g] < 2 {
			in = append(in, g)
		}
	}
	return in
}

// pick returns the gateway for a new connection of a client of a zone.
func (p *platform) pick(client string, zone int) *process {
	p.mu.Lock()
	defer p.mu.Unlock()
	in := p.in(zone)
	switch {
	case len(in) == 0:
		for other := range p.zones {
			in = append(in, p.in(other)...)
		}
	case 2*len(in) < len(p.zones[zone]):
		in = p.zones[zone]
	}
	if len(in) == 0 {
		in = p.zones[zone]
	}
	h := fnv.New32a()
	h.Write([]byte(client))
	return in[int(h.Sum32()%uint32(len(in)))]
}

// terminations: the gateways are stopped and started in turn, as planned work. No request that was read and passed on may end
// without an answer.
func terminations(rec *record, trouble bool) int {
	const (
		zones    = 3
		perZone  = 3
		requests = 200 // a second and zone
		gap      = time.Second
	)
	c, err := newCluster(rec, 3, zones*perZone)
	if err != nil {
		return failed
	}
	defer c.stop()
	p := &platform{misses: map[*process]int{}, zones: make([][]*process, zones)}
	for i, g := range c.gateways {
		g.zone = "z" + string(rune('a'+i/perZone))
		p.zones[i/perZone] = append(p.zones[i/perZone], g)
	}
	if err := c.start(); err != nil {
		rec.logf("%v", err)
		return failed
	}
	j := &journal{}
	for i := range 18 {
		s := c.newServer("one", j, 0)
		s.zone = "z" + string(rune('a'+i%3))
		s.work = func() time.Duration { return time.Duration(8+rand.IntN(14)) * time.Millisecond }
		if err := s.start(); err != nil {
			rec.logf("%v", err)
			return failed
		}
		defer s.stop()
	}
	if status, _ := c.configure(1, 0, simpleConfig(1, "retryable")); status != 200 || !c.waitReady(10*time.Second) {
		rec.logf("no start")
		return failed
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	p.watch(stop)

	var mu sync.Mutex
	var tries []*try
	var clients sync.WaitGroup
	for zone := range zones {
		clients.Go(func() {
			ticker := time.NewTicker(time.Second / requests)
			defer ticker.Stop()
			for {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				g := p.pick(newID(), zone)
				clients.Go(func() {
					t := one(g, "GET", "a.example", "/one/x", 2*time.Second, "", nil)
					mu.Lock()
					tries = append(tries, t)
					mu.Unlock()
				})
			}
		})
	}
	type termination struct {
		gateway string
		at      time.Time
	}
	var terms []termination
	var restarts sync.WaitGroup
	began := time.Now()
	for n := 0; time.Since(began) < 96*time.Second; n++ {
		time.Sleep(gap)
		g := c.gateways[n%len(c.gateways)]
		if !trouble || !g.running() {
			continue
		}
		terms = append(terms, termination{g.name, time.Now()})
		restarts.Go(func() {
			g.terminate()
			time.Sleep(200 * time.Millisecond)
			g.start()
		})
	}
	restarts.Wait()
	close(stop)
	clients.Wait()
	outcomes, lost := map[int]int{}, 0
	for _, t := range tries {
		outcomes[t.status]++
		runs := j.of(t.id)
		if t.status != 0 || !t.written || len(runs) == 0 {
			continue
		}
		excused := false
		for _, m := range terms {
			since := t.endedAt.Sub(m.at)
			if m.gateway != t.gateway || since < 0 || since > (graceS+1)*time.Second {
				continue
			}
			workEnd := runs[len(runs)-1].answered.Sub(m.at)
			rec.logf("request %s: %s got SIGTERM; sent %.4f s after it, at the server from %.4f to %.4f s, connection ended at %.4f s without a complete answer: %v",
				t.id, t.gateway, t.sentAt.Sub(m.at).Seconds(), runs[0].at.Sub(m.at).Seconds(), workEnd.Seconds(), since.Seconds(), t.err)
			excused = workEnd > graceS*time.Second/2
		}
		if !excused {
			lost++
		}
	}
	rec.logf("%d tries by status %v (0: no complete answer, most of them refused connections); %d terminations; %d requests lost", len(tries), outcomes, len(terms), lost)
	if outcomes[200] < len(tries)/2 {
		return failed
	}
	if lost > 0 {
		return broken
	}
	return held
}
