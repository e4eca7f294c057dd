package controlplane

import "oxbowspan/consensus"

// reportSync determines whether this controller has, since it started, received all server reports that a majority of the members had.
// Before that its list of servers is that of its own disk and may lack departures that were acknowledged while it was away, so that
// gateways must not take it for current. It is owned by the event loop.
type reportSync struct {
	self     identity
	learner  *learner
	received map[consensus.AcceptorID]bool // peers that have sent all their reports
	synced   bool                          // a majority had sent theirs; never reset
}

func newReportSync(self identity, learner *learner) *reportSync {
	return &reportSync{self: self, learner: learner, received: map[consensus.AcceptorID]bool{}}
}

// observe records that a peer has sent all its reports. It reports whether that completed the majority.
func (s *reportSync) observe(id consensus.AcceptorID) (completed bool) {
	if s.synced {
		return false
	}
	s.received[id] = true
	return s.complete()
}

// complete reports whether a majority of the members, to which this controller may belong, have sent all their reports.
func (s *reportSync) complete() bool {
	if s.synced || !s.learner.confirmed {
		return s.synced
	}
	s.synced = consensus.HasMajority(s.learner.value.Members, func(id consensus.AcceptorID) bool { return id == s.self.id || s.received[id] })
	return s.synced
}
