package controlplane

import (
	"time"

	"oxbowspan/registry"
	"oxbowspan/rpc"
)

// warmHeartbeats is the number of heartbeat intervals after which a controller has received a heartbeat from every server.
const warmHeartbeats = 3

// pollWaiter is a gateway's long poll that has not been answered yet.
type pollWaiter struct {
	conn      *rpc.Conn
	id        uint64 // of the frame
	poll      *rpc.Poll
	deadline  time.Duration
	verifying bool // until a majority has replied to messages sent after the poll arrived, and this controller has the server reports
	replied   bool // a majority has replied to these messages
}

// pollService answers the long polls of gateways. It is owned by the event loop.
type pollService struct {
	pollDependencies
	waiters map[*pollWaiter]bool
}

// pollDependencies are the components and settings that a pollService uses.
type pollDependencies struct {
	self              identity
	heartbeatInterval time.Duration // of servers
	configApplyLimit  time.Duration // time within which a version must be active at all gateways
	clock             *monotonicClock
	learner           *learner
	contact           *contactMonitor
	verifier          *contactVerifier
	reports           *reportSync
	peers             *peerSet
	gateways          *gatewayDirectory
	table             *registry.Table
	updates           *updateSchedule
}

func newPollService(d pollDependencies) *pollService {
	return &pollService{pollDependencies: d, waiters: map[*pollWaiter]bool{}}
}

// receive handles a poll. The poll is answered immediately if there is an update or the gateway doesn't want to wait. The first poll
// of a gateway to this incarnation is answered once a majority has confirmed that this controller's state is current, and has sent it
// the server reports.
func (s *pollService) receive(conn *rpc.Conn, id uint64, poll *rpc.Poll) {
	now := s.clock.now()
	s.observeSender(poll, now)
	for _, check := range poll.HealthChecks {
		in := decodeReport(check, now)
		if s.table.ConfirmHealthy(in.Instance, in.Lease, in.HealthyAt) {
			s.updates.request(false)
		}
	}
	w := &pollWaiter{conn: conn, id: id, poll: poll, deadline: now + duration(poll.WaitMs)}
	s.waiters[w] = true
	switch {
	case poll.ControllerIncarnation != s.self.incarnation && s.contact.isCurrent(now):
		s.verify(w, now)
	case s.hasUpdate(poll, now) || poll.WaitMs == 0:
		s.respond(w, now)
	default:
		s.requestPacedUpdate(poll)
	}
}

// observeSender records that the sender of a poll is alive, and what it reports about itself.
func (s *pollService) observeSender(poll *rpc.Poll, now time.Duration) {
	from := poll.From
	if from == nil || from.Incarnation == 0 {
		return
	}
	s.gateways.observe(from, now, true)
	if g := s.gateways.byIncarnation[from.Incarnation]; g != nil {
		g.stats, g.slot, g.polledAt = poll.Stats, poll.Slot, now
		s.gateways.receiveRollouts(poll.Rollouts, now)
	}
}

// verify answers a poll once a majority has confirmed this controller's state and it has the server reports, or once the verification
// has timed out.
func (s *pollService) verify(w *pollWaiter, now time.Duration) {
	w.verifying, w.deadline = true, now+2*verifyTimeout
	s.verifier.verify(now, func(verified bool) {
		switch {
		case !s.waiters[w]:
		case verified && !s.reports.complete():
			w.replied, w.deadline = true, now+verifyTimeout // reportsReceived answers it before, or expire without a quorum
		default:
			w.verifying = !verified
			s.respond(w, s.clock.now())
		}
	})
}

// reportsReceived answers the polls that waited only for the server reports.
func (s *pollService) reportsReceived(now time.Duration) {
	for w := range s.waiters {
		if w.replied {
			w.verifying = false
			s.respond(w, now)
		}
	}
}

// notify answers the polls whose gateway may be sent an update.
func (s *pollService) notify(now time.Duration) {
	for w := range s.waiters {
		switch {
		case w.verifying:
		case s.hasUpdate(w.poll, now):
			s.respond(w, now)
		default:
			s.requestPacedUpdate(w.poll)
		}
	}
}

// respondAll answers all polls, whether there is an update or not.
func (s *pollService) respondAll(now time.Duration) {
	for w := range s.waiters {
		s.respond(w, now)
	}
}

// expire answers the polls whose deadline has passed, and returns the next deadline, or limit if that is earlier.
func (s *pollService) expire(now, limit time.Duration) (next time.Duration) {
	next = limit
	for w := range s.waiters {
		if now >= w.deadline {
			s.respond(w, now)
		} else {
			next = min(next, w.deadline)
		}
	}
	return next
}

// drop removes the polls of a connection that was closed.
func (s *pollService) drop(conn *rpc.Conn) {
	for w := range s.waiters {
		if w.conn == conn {
			delete(s.waiters, w)
		}
	}
}

// respond answers a poll.
func (s *pollService) respond(w *pollWaiter, now time.Duration) {
	delete(s.waiters, w)
	update := s.update(w.poll, now)
	update.HasQuorum = !w.verifying && s.isCurrent(now)
	// The event loop must not wait for a gateway. One that doesn't read delays only its own answer, until its connection is closed.
	go w.conn.Respond(w.id, &rpc.Frame{Body: &rpc.Frame_Update{Update: update}})
}

// isCurrent reports whether a majority recently confirmed this controller's state, and it has the server reports.
func (s *pollService) isCurrent(now time.Duration) bool {
	return s.contact.isCurrent(now) && s.reports.complete()
}

// update returns the state that a gateway lacks. The caller sets HasQuorum.
func (s *pollService) update(poll *rpc.Poll, now time.Duration) *rpc.Update {
	update := &rpc.Update{
		ControllerIncarnation: s.self.incarnation,
		Cursor:                uint64(s.table.Cursor()),
		Slot:                  poll.Slot,
		Warm:                  now > warmHeartbeats*s.heartbeatInterval,
		MembershipEpoch:       s.gateways.epoch,
	}
	if s.mayReceiveVersion(poll, now) {
		s.addVersion(update, poll, now)
	}
	after := registry.Cursor(poll.Cursor)
	if poll.ControllerIncarnation != s.self.incarnation {
		update.Full, after = true, 0
	}
	for _, r := range s.table.ChangesAfter(after) {
		update.Reports = append(update.Reports, encodeReport(r, now))
	}
	if poll.MembershipEpoch != s.gateways.epoch || update.Full {
		s.addMembership(update, now)
	}
	return update
}

// addVersion adds the newest value with its documents, and records that it was sent.
func (s *pollService) addVersion(update *rpc.Update, poll *rpc.Poll, now time.Duration) {
	v := s.learner.value
	if g := s.sender(poll); g != nil {
		g.recordSent(len(v.Body), now)
	}
	update.Slot, update.Version = uint64(v.Slot), uint64(v.Version)
	update.HasConfig, update.Config = v.Digest != "", v.Body
	for _, d := range v.Documents {
		m := rpc.DocumentToProto(d)
		m.PriorRevisions, m.AgeMs = nil, milliseconds(now-s.learner.documentTimes[d.Name].since)
		update.Documents = append(update.Documents, m)
	}
}

// addMembership adds the list of gateways and controllers.
func (s *pollService) addMembership(update *rpc.Update, now time.Duration) {
	update.HasGateways = true
	update.Gateways = s.gateways.listed()
	update.Controllers = append(update.Controllers, s.self.describe(s.learner.isMember(s.self.id)))
	for _, p := range s.peers.byAddress {
		if p.alive(now) {
			update.Controllers = append(update.Controllers, p.describe(now, s.learner.isMemberAddress(p.address)))
		}
	}
}

// hasUpdate reports whether there is state that a gateway lacks and that may be sent now.
func (s *pollService) hasUpdate(poll *rpc.Poll, now time.Duration) bool {
	return s.mayReceiveVersion(poll, now) || poll.ControllerIncarnation != s.self.incarnation || poll.MembershipEpoch != s.gateways.epoch ||
		len(s.table.ChangesAfter(registry.Cursor(poll.Cursor))) > 0
}

// lacksVersion reports whether a newer value than the gateway's is known to be decided.
func (s *pollService) lacksVersion(poll *rpc.Poll) bool {
	return s.learner.confirmed && uint64(s.learner.value.Slot) > poll.Slot
}

// mayReceiveVersion reports whether a gateway lacks the newest value and may be sent it now.
func (s *pollService) mayReceiveVersion(poll *rpc.Poll, now time.Duration) bool {
	return s.lacksVersion(poll) && now >= s.nextVersionAt(poll)
}

// nextVersionAt returns the earliest time at which a gateway may be sent the next version; 0 if the gateway is unknown.
func (s *pollService) nextVersionAt(poll *rpc.Poll) time.Duration {
	if g := s.sender(poll); g != nil {
		return g.nextVersionAt(s.configApplyLimit)
	}
	return 0
}

// requestPacedUpdate schedules a check of all polls for when the gateway may be sent the version that it lacks.
func (s *pollService) requestPacedUpdate(poll *rpc.Poll) {
	if s.lacksVersion(poll) {
		s.updates.requestAt(s.nextVersionAt(poll))
	}
}

// sender returns the gateway that sent a poll, or nil if it isn't in the directory.
func (s *pollService) sender(poll *rpc.Poll) *gatewayState {
	if poll.From == nil {
		return nil
	}
	return s.gateways.byIncarnation[poll.From.Incarnation]
}
