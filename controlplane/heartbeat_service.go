package controlplane

import (
	"time"

	"oxbowspan/registry"
)

// replicationTimeout is how long a server's report may wait until a majority has it. Servers give up a call after a second.
const replicationTimeout = 800 * time.Millisecond

// heartbeatService takes what servers report of themselves. It belongs to the event loop.
type heartbeatService struct {
	clock   *steadyClock
	table   *registry.Table
	learner *learner
	contact *contactMonitor
	peers   *peerSet
	updates *updateSchedule
	waits   []*replicationWait
}

// replicationWait waits until a majority of the members have the reports up to a cursor.
type replicationWait struct {
	cursor   registry.Cursor
	done     chan struct{} // closed when they do
	deadline time.Duration
}

// reportOutcome is what became of a server's report.
type reportOutcome struct {
	wait     *replicationWait // before it may be acknowledged; nil = it may be now
	isolated bool             // this controller is not in contact with a majority
}

func newHeartbeatService(clock *steadyClock, table *registry.Table, learner *learner, contact *contactMonitor, peers *peerSet,
	updates *updateSchedule) *heartbeatService {
	return &heartbeatService{clock: clock, table: table, learner: learner, contact: contact, peers: peers, updates: updates}
}

// apply takes a server's report, which the function enters into the table. A report that takes the server out of service may be
// acknowledged only when a majority has it, so that it is not lost with this controller.
func (s *heartbeatService) apply(id registry.InstanceID, enter func(now time.Duration)) reportOutcome {
	now, before := s.clock.now(), s.table.Cursor()
	outcome := reportOutcome{isolated: now > peerLivenessTimeout && !s.contact.hasQuorum(now)}
	enter(now)
	changed := s.table.ChangesAfter(before)
	cursor, leaves := s.leaveCursor(id, changed)
	if len(changed) > 0 {
		s.updates.request(leaves)
	}
	if leaves && !s.isReplicated(cursor) {
		outcome.wait = &replicationWait{cursor: cursor, done: make(chan struct{}), deadline: now + replicationTimeout}
		s.waits = append(s.waits, outcome.wait)
		s.peers.gossipNow()
	}
	return outcome
}

// leaveCursor reports whether a server's report, which caused changes, leaves it out of service, and the cursor that covers it. A
// report that was sent again causes no change, but the first one may not have reached a majority.
func (s *heartbeatService) leaveCursor(id registry.InstanceID, changed []*registry.Record) (cursor registry.Cursor, leaves bool) {
	for _, r := range changed {
		if r.State != registry.Ready {
			return s.table.Cursor(), true
		}
	}
	if r := s.table.Get(id); r != nil && r.State != registry.Ready {
		return s.table.LastChange(id), true
	}
	return 0, false
}

func (s *heartbeatService) isReplicated(cursor registry.Cursor) bool {
	return s.peers.replicated(s.learner.value.Members, cursor)
}

// completeWaits ends the waits for reports that a majority has by now.
func (s *heartbeatService) completeWaits() {
	s.keepWaits(func(w *replicationWait) bool {
		if s.isReplicated(w.cursor) {
			close(w.done)
			return false
		}
		return true
	})
}

// expireWaits drops the waits whose time is over. Their callers have their own timers.
func (s *heartbeatService) expireWaits(now time.Duration) {
	s.keepWaits(func(w *replicationWait) bool { return now < w.deadline })
}

func (s *heartbeatService) keepWaits(keep func(*replicationWait) bool) {
	kept := s.waits[:0]
	for _, w := range s.waits {
		if keep(w) {
			kept = append(kept, w)
		}
	}
	s.waits = kept
}
