package forager

import (
	"bufio"
	"net"
	"net/http"
	"time"

	"oxbowspan/brain"
	"oxbowspan/registry"
	"oxbowspan/rendezvous"
	"oxbowspan/rpc"
)

// Looking after a server that the core does not hear. Its calls may not come through while it serves as before: one gatherer,
// the holder of that server's duty, asks for its health and tells the core under its claim. Servers that are heard are never
// probed: their calls and the traffic tell more.
const (
	probeLimit = 400 * time.Millisecond  // for the whole probe
	firstProbe = 1000 * time.Millisecond // between two probes of a server that is well,
	lastProbe  = 8000 * time.Millisecond // doubling up to this between those of one that is not
	witnessFor = 2 * time.Second         // what was seen is told so long
)

// lookAfter probes the servers whose duty this gatherer holds.
func (f *Forager) lookAfter(now brain.Time) {
	if f.draining.Load() {
		return // what it begins must end with it
	}
	for _, s := range f.flowers {
		if !s.unheard {
			s.probePause = 0
			continue
		}
		if s.state != registry.Ready || s.replaced || now < s.probeAt || !f.duties.Holds(rendezvous.Name(s.instance), span(now)) {
			continue
		}
		if s.probePause == 0 {
			s.probePause = ticks(firstProbe)
		}
		s.probeAt = now + s.probePause
		s.probePause = min(2*s.probePause, ticks(lastProbe))
		path, address, instance := f.healthPath(s.service), s.address, s.instance
		f.wg.Go(func() {
			well := f.healthy(address, instance, path)
			f.do(func() { f.looked(instance, well) })
		})
	}
}

// looked takes the end of a probe. The duty may have changed hands since.
func (f *Forager) looked(instance string, well bool) {
	s := f.flowers[instance]
	now := f.now()
	if s == nil || !well || !f.duties.Holds(rendezvous.Name(instance), span(now)) {
		return
	}
	if s.claim = s.claim.Acquire(f.life); s.seenAt == 0 || s.silent {
		f.log.Info().Str("instance", instance).Uint64("fence", s.claim.FencingToken).Msg("duties: the core does not hear a server that is well")
	}
	s.seenAt, s.probeAt, s.probePause = now, now+ticks(firstProbe), ticks(firstProbe)
}

// owed is what a question to the hives tells the core.
type owed struct {
	known   []*rpc.ServerReport
	figures *rpc.GatewayStats
}

// fill puts into a question what the core is to be told: servers that it does not hear, and what operators ask for. The
// owner's answer travels through a channel, so that a caller that the stop releases shares no variable with the owner.
func (f *Forager) fill(a *rpc.Poll) {
	answers := make(chan owed, 1)
	if !f.do(func() { answers <- f.owes(f.now()) }) {
		return
	}
	select {
	case o := <-answers:
		a.HealthChecks, a.Stats = o.known, o.figures
	case <-f.stopped:
	}
}

// owes gathers what the core is to be told. It is the owner's.
func (f *Forager) owes(now brain.Time) owed {
	o := owed{figures: f.figures(now)}
	for _, s := range f.flowers {
		if s.seenAt > 0 && now-s.seenAt < ticks(witnessFor) && s.claim.Holder == f.life && s.unheard {
			o.known = append(o.known, &rpc.ServerReport{Instance: s.instance, HealthCheckAgeMs: uint32(span(now-s.seenAt) / time.Millisecond),
				FencingToken: s.claim.FencingToken, LeaseHolder: s.claim.Holder})
		}
	}
	return o
}

func (f *Forager) healthPath(service string) string {
	if f.config != nil {
		for _, s := range f.config.Services {
			if s.Name == service && s.HealthPath != "" {
				return s.HealthPath
			}
		}
	}
	return "/health"
}

// healthy asks a server for its health. Another server at its address, or one that is leaving, is not it.
func (f *Forager) healthy(address, instance, path string) bool {
	c, err := f.net.Dial(address, probeLimit)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(probeLimit))
	host, _, _ := net.SplitHostPort(address)
	if _, err := c.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\nConnection: close\r\n\r\n")); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 1024), nil)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK && resp.Header.Get("X-Instance-Id") == instance
}
