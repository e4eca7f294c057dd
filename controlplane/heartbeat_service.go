package controlplane

import (
	"time"

	"oxbowspan/registry"
)

// replicationTimeout limits how long a server's report may wait until a majority has stored it. Servers time out their call after one
// second.
const replicationTimeout = 800 * time.Millisecond

// heartbeatService processes the reports that servers send about themselves. It is owned by the event loop.
type heartbeatService struct {
	clock      *monotonicClock
	table      *registry.Table
	learner    *learner
	contact    *contactMonitor
	peers      *peerSet
	departures *departureLog
	updates    *updateSchedule
	waits      []*replicationWait
}

// replicationWait waits until a majority of the members have the departures up to a cursor on their disks.
type replicationWait struct {
	cursor   registry.Cursor
	done     chan struct{} // closed when they have them
	deadline time.Duration
}

// reportOutcome is the result of applying a server's report.
type reportOutcome struct {
	wait     *replicationWait // to wait for before the report is acknowledged; nil = acknowledge it now
	isolated bool             // this controller is not in contact with a majority
}

func newHeartbeatService(clock *monotonicClock, table *registry.Table, learner *learner, contact *contactMonitor, peers *peerSet,
	departures *departureLog, updates *updateSchedule) *heartbeatService {
	return &heartbeatService{clock: clock, table: table, learner: learner, contact: contact, peers: peers, departures: departures, updates: updates}
}

// apply applies a server's report by calling update, which enters it into the table. A report that takes the server out of service
// may be acknowledged only when the disks of a majority hold it, so that it isn't lost even if all controllers are killed.
func (s *heartbeatService) apply(id registry.InstanceID, update func(now time.Duration)) reportOutcome {
	now, before := s.clock.now(), s.table.Cursor()
	outcome := reportOutcome{isolated: now > peerLivenessTimeout && !s.contact.hasQuorum(now)}
	update(now)
	changed := s.table.ChangesAfter(before)
	cursor, outOfService := s.outOfServiceCursor(id, changed)
	if len(changed) > 0 {
		s.updates.request(outOfService)
	}
	if outOfService && len(changed) > 0 {
		s.departures.record()
	}
	if outOfService && !s.isReplicated(cursor) {
		outcome.wait = &replicationWait{cursor: cursor, done: make(chan struct{}), deadline: now + replicationTimeout}
		s.waits = append(s.waits, outcome.wait)
		s.peers.gossipNow()
	}
	return outcome
}

// outOfServiceCursor reports whether a server is out of service after a report that caused the given changes, and returns the cursor
// that covers this state. A report that was sent again causes no change, but the first copy may not have reached a majority yet.
func (s *heartbeatService) outOfServiceCursor(id registry.InstanceID, changed []*registry.Record) (cursor registry.Cursor, outOfService bool) {
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
	return s.peers.replicated(s.learner.value.Members, cursor, s.departures.isStored(cursor))
}

// completeWaits completes the waits for departures that a majority has stored.
func (s *heartbeatService) completeWaits() {
	s.filterWaits(func(w *replicationWait) bool {
		if s.isReplicated(w.cursor) {
			close(w.done)
			return false
		}
		return true
	})
}

// expireWaits removes the waits that have timed out. Their callers use their own timers.
func (s *heartbeatService) expireWaits(now time.Duration) {
	s.filterWaits(func(w *replicationWait) bool { return now < w.deadline })
}

// filterWaits removes the waits for which retain returns false.
func (s *heartbeatService) filterWaits(retain func(*replicationWait) bool) {
	retained := s.waits[:0]
	for _, w := range s.waits {
		if retain(w) {
			retained = append(retained, w)
		}
	}
	s.waits = retained
}
