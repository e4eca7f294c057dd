package dataplane

import (
	"oxbowspan/admission"
	"oxbowspan/balancer"
)

// watchDispatch has a search looked at again when it has waited for its first offer for long enough.
func (f *Gateway) watchDispatch(s *request, now balancer.Time) {
	if s.finished || s.dispatchState().Dispatched {
		return
	}
	limit, limited := admission.HoldLimit(fromMillis(s.route.TargetMS))
	if !limited {
		return
	}
	f.loop.schedule(now+ticks(limit), timerEvent{undispatched: s})
}

// dispatchOverdue gives up a search that nobody could be offered: no server can be asked, and brain waits for one to come back.
func (f *Gateway) dispatchOverdue(s *request, now balancer.Time) {
	if s.finished {
		return
	}
	wait := s.dispatchState()
	wait.WarmingUp = admission.WarmingUp(duration(now), f.process.settings.HeartbeatInterval())
	switch wait.Decide() {
	case admission.Recheck:
		f.watchDispatch(s, now)
	case admission.Reject:
		f.handleEvent(balancer.RequestCancelled{Request: s.id})
		f.failRequest(s.id, ticks(maxRetryAfter))
	case admission.AwaitResponse:
	}
}
