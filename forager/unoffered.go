package forager

import (
	"oxbowspan/brain"
	"oxbowspan/offer"
)

// offered is what a search's parts say of it: whether a connection has carried one, or may do so yet.
func (s *search) offered() (w offer.Wait) {
	for _, p := range s.parts {
		w.Offered = w.Offered || p.first != nil
		w.Pending = w.Pending || p.out > 0 || p.awaits != 0
	}
	return w
}

// watchUnoffered has a search looked at again when it has waited for its first offer for long enough.
func (f *Forager) watchUnoffered(s *search, now brain.Time) {
	if s.over || s.offered().Offered {
		return
	}
	limit, limited := offer.HoldLimit(millis(s.route.TargetMS))
	if !limited {
		return
	}
	f.timers.Push(int64(now+ticks(limit)), due{unoffered: s})
}

// unoffered gives up a search that nobody could be offered: no server can be asked, and brain waits for one to come back.
func (f *Forager) unoffered(s *search, now brain.Time) {
	if s.over {
		return
	}
	wait := s.offered()
	wait.Fresh = offer.Fresh(span(now), f.set.Beat())
	switch wait.Judge() {
	case offer.LookAgain:
		f.watchUnoffered(s, now)
	case offer.GiveUp:
		f.handle(brain.SearchLeft{Search: s.id})
		f.giveUp(s.id, ticks(mostAdvice))
	case offer.Served:
	}
}
