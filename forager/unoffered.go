package forager

import (
	"time"

	"oxbowspan/brain"
)

// A request that was never offered to a server is not held for longer than this share of its target: its client is told that it has
// not run, and when to come back, while there is time for another try.
const (
	unofferedShare = 0.25
	clientTravel   = 8 * time.Millisecond // of the share, for the ways from and to the client
	leastUnoffered = 5 * time.Millisecond
)

// unofferedAfter is how long a request to a route may wait for its first offer.
func unofferedAfter(r *route) brain.Time {
	return ticks(max(millis(r.TargetMS*unofferedShare)-clientTravel, leastUnoffered))
}

// offered tells whether a connection has carried any part of a search, or may do so yet: one is being made, or its part waits for one
// of its tenant's.
func (s *search) offered() (was, mayBe bool) {
	for _, p := range s.parts {
		was = was || p.first != nil
		mayBe = mayBe || p.out > 0 || p.awaits != 0
	}
	return was, mayBe
}

// watchUnoffered has a search looked at again when it has waited for its first offer for long enough.
func (f *Forager) watchUnoffered(s *search, now brain.Time) {
	if was, _ := s.offered(); was || s.over {
		return
	}
	f.timers.Push(int64(now+unofferedAfter(s.route)), due{unoffered: s})
}

// unoffered gives up a search that nobody could be offered: no server can be asked, and brain waits for one to come back.
func (f *Forager) unoffered(s *search, now brain.Time) {
	was, mayBe := s.offered()
	switch {
	case s.over || was:
	case mayBe:
		f.watchUnoffered(s, now)
	default:
		f.handle(brain.SearchLeft{Search: s.id})
		f.giveUp(s.id, ticks(mostAdvice))
	}
}
