package registry

import (
	"fmt"
	"slices"
	"time"
)

// sentRecord is a record in a gossip message, with the age of its newest heartbeat.
type sentRecord struct {
	record    Record
	age       time.Duration
	timeOfDay time.Duration // of the newest heartbeat by the sender's wall clock; only for ageByWallClock
}

// gossip sends one replica's updates, and its records of the ranges that differ, to another replica.
func (m *model) gossip(from, to *replica) {
	if m.cutLinks[link{from.index, to.index}] || m.cutLinks[link{to.index, from.index}] {
		return
	}
	peer := &from.peers[to.index]
	if peer.incarnation != to.incarnation && m.injected != cursorsSurviveRestart {
		peer.incarnation = to.incarnation
		peer.cursor = 0
	}
	records := m.recordsFor(from, to)
	upTo, digests := from.table.Cursor(), from.table.Digests()
	sender, receiver := from.incarnation, to.incarnation
	m.send(modelStep, func() {
		if to.incarnation != receiver || m.cutLinks[link{from.index, to.index}] {
			return
		}
		m.receiveRecords(to, records, fmt.Sprint(from.index))
		differing := m.differingRanges(to, digests)
		if m.cutLinks[link{to.index, from.index}] {
			return
		}
		m.send(modelStep, func() {
			if from.incarnation != sender || to.incarnation != receiver {
				return
			}
			from.peers[to.index] = peerState{
				incarnation:     receiver,
				cursor:          max(from.peers[to.index].cursor, upTo),
				differingRanges: differing,
			}
		})
	})
}

// recordsFor returns the records that one replica sends to another: complete records where they changed or their range
// differs, heartbeat-only records otherwise.
func (m *model) recordsFor(from, to *replica) (sent []sentRecord) {
	peer := &from.peers[to.index]
	unreachable := func(source string) bool { return m.unreachable(to, source) }
	updates := from.table.UpdatesFor(peer.cursor, fmt.Sprint(to.index), unreachable)
	changes := from.table.ChangesAfter(peer.cursor)
	var repairs []*Record
	for _, number := range peer.differingRanges {
		repairs = append(repairs, from.table.RecordsInRange(number)...)
	}
	peer.differingRanges = nil
	for _, r := range append(updates, repairs...) {
		record := *r
		if !slices.Contains(changes, r) && !slices.Contains(repairs, r) {
			record = Record{Instance: r.Instance, Sequence: r.Sequence, HeartbeatOnly: true}
		}
		age := m.clock(from) - r.HeartbeatAt
		sent = append(sent, sentRecord{record: record, age: age, timeOfDay: m.now + from.wallOffset - age})
	}
	return sent
}

func (m *model) receiveRecords(to *replica, records []sentRecord, source string) {
	for _, sent := range records {
		in := sent.record
		switch m.injected {
		case ageByWallClock:
			in.HeartbeatAt = m.clock(to) - (m.now + to.wallOffset - sent.timeOfDay)
		case agesIgnored:
			in.HeartbeatAt = m.clock(to)
		default:
			in.HeartbeatAt = m.clock(to) - sent.age
		}
		m.merge(to, in, source)
	}
}

// differingRanges returns the ranges in which a replica's digests differ from the received ones.
func (m *model) differingRanges(to *replica, digests [DigestRangeCount]uint64) (differing []int) {
	if m.injected == cursorsSurviveRestart {
		return nil
	}
	for number, digest := range to.table.Digests() {
		if digest != digests[number] {
			differing = append(differing, number)
		}
	}
	return differing
}

// unreachable reports whether a link between a replica and the source of a record is cut, in either direction.
func (m *model) unreachable(to *replica, source string) bool {
	for _, r := range m.replicas {
		if fmt.Sprint(r.index) == source {
			return m.cutLinks[link{r.index, to.index}] || m.cutLinks[link{to.index, r.index}]
		}
	}
	return true
}
