package controlplane

import "time"

// updateDelay is how long changes that are not urgent are gathered before gateways are sent them.
const updateDelay = 60 * time.Millisecond

// updateSchedule holds the time at which the waiting gateways are to be checked for updates. It belongs to the event loop.
type updateSchedule struct {
	clock *steadyClock
	at    time.Duration // 0 = nothing is new
}

func newUpdateSchedule(clock *steadyClock) *updateSchedule { return &updateSchedule{clock: clock} }

// request has the gateways sent what is new, at once if it is urgent, else after updateDelay.
func (s *updateSchedule) request(urgent bool) {
	at := s.clock.now()
	if !urgent {
		at += updateDelay
	}
	s.requestAt(at)
}

// requestAt has the gateways sent what is new at a time, unless they are before it.
func (s *updateSchedule) requestAt(at time.Duration) {
	if s.at == 0 || at < s.at {
		s.at = max(at, 1)
	}
}

// due reports whether the time has come, and clears it; else next is when it will come, 0 = never.
func (s *updateSchedule) due(now time.Duration) (due bool, next time.Duration) {
	if s.at == 0 || now < s.at {
		return false, s.at
	}
	s.at = 0
	return true, 0
}
