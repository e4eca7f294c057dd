package forager

import (
	"oxbowspan/admission"
	"oxbowspan/brain"
)

// offered is what a search's parts say of it: whether a connection has carried one, or may do so yet.
func (s *search) offered() (w admission.DispatchState) {
	for _, p := range s.parts {
		w.Dispatched = w.Dispatched || p.first != nil
		w.Pending = w.Pending || p.out > 0 || p.awaits != 0
	}
	return w
}

// watchUnoffered has a search looked at again when it has waited for its first offer for long enough.
func (f *Forager) watchUnoffered(s *search, now brain.Time) {
	if s.over || s.offered().Dispatched {
		return
	}
	limit, limited := admission.HoldLimit(millis(s.route.TargetMS))
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
	wait.WarmingUp = admission.WarmingUp(span(now), f.set.Beat())
	switch wait.Decide() {
	case admission.Recheck:
		f.watchUnoffered(s, now)
	case admission.Reject:
		f.handle(brain.SearchLeft{Search: s.id})
		f.giveUp(s.id, ticks(mostAdvice))
	case admission.AwaitResponse:
	}
}
