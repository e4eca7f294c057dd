package main

import (
	"hash/fnv"
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
