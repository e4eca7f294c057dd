package brain

import (
	"maps"
	"slices"
)

// list applies what the list says. Where it must be asked for, a failed call is followed by another after a
// pause that doubles, with some chance in it, so that gatherers do not flood a list service already late.
func (g *Gatherer) list(e ServerList) {
	if e.Kind == ListFailed {
		if g.onRequest && !g.asking {
			g.asking = true
			g.do(Wake{g.now + g.nextAsk/2 + Time(g.rand.below(int(g.nextAsk))), listTimer})
			g.nextAsk = min(2*g.nextAsk, g.listPause)
		}
		return
	}
	g.nextAsk = firstPause
	if e.Kind == ListCached && g.onRequest {
		g.do(Subscribe{})
	}
	if e.Kind != ListChanges {
		for _, s := range slices.Clone(g.ready) {
			g.seat(s, Gone)
		}
	}
	for _, entry := range e.Servers {
		s := g.servers[entry.ID]
		if s == nil {
			s = &server{id: entry.ID, upSince: -1, sent: newTally(g.fallWithin)}
			g.servers[entry.ID] = s
		}
		g.seat(s, Gone)
		s.near = g.nears && entry.Zone == g.near
		s.cell, s.most = entry.Cell, entry.Most
		if s.zone = g.zones[entry.Zone]; s.zone == nil {
			s.zone = &zone{}
			g.zones[entry.Zone] = s.zone
		}
		g.seat(s, entry.State)
		if entry.UpSince != s.upSince {
			// Started anew: nothing learned of it holds any more.
			s.upSince, s.pause = entry.UpSince, g.pause
			s.rate, s.toldAt, s.failing, s.outUntil, s.trial = 0, 0, 0, 0, false
		}
	}
	if len(g.servers) > 2*len(g.ready) {
		maps.DeleteFunc(g.servers, func(_ ServerID, s *server) bool {
			return s.state == Gone && len(s.out) == 0 && s.sent.most(g.now) == 0
		})
	}
}
