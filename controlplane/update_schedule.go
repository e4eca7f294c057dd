package controlplane

import "time"

// updateDelay is how long changes that are not urgent are collected before they are sent to gateways.
const updateDelay = 60 * time.Millisecond

// updateSchedule holds the time at which the pending polls are checked for updates. It is owned by the event loop.
type updateSchedule struct {
	clock *monotonicClock
	at    time.Duration // 0 = no check is scheduled
}

func newUpdateSchedule(clock *monotonicClock) *updateSchedule { return &updateSchedule{clock: clock} }

// request schedules sending updates to the gateways, immediately if they are urgent, otherwise after updateDelay.
func (s *updateSchedule) request(urgent bool) {
	at := s.clock.now()
	if !urgent {
		at += updateDelay
	}
	s.requestAt(at)
}

// requestAt schedules sending updates to the gateways at a time, unless an earlier time is already scheduled.
func (s *updateSchedule) requestAt(at time.Duration) {
	if s.at == 0 || at < s.at {
		s.at = max(at, 1)
	}
}

// due reports whether the scheduled time has been reached, and clears it. Otherwise next is the scheduled time; 0 = none.
func (s *updateSchedule) due(now time.Duration) (due bool, next time.Duration) {
	if s.at == 0 || now < s.at {
		return false, s.at
	}
	s.at = 0
	return true, 0
}
