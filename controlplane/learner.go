package controlplane

import (
	"strings"
	"time"

	"github.com/rs/zerolog"

	"oxbowspan/consensus"
	"oxbowspan/rpc"
)

// learnListener is notified by a learner. Its methods are called on the event loop.
type learnListener interface {
	// valueLearned is called with each newly decided value.
	valueLearned(v *consensus.Value)
	// decisionObserved is called with the newest decision when a ballot at which it was decided becomes known.
	decisionObserved(d consensus.Decision)
}

// learner holds the newest value that this controller knows to be decided. It is owned by the event loop.
type learner struct {
	value         *consensus.Value // the newest decided value, or, while confirmed is false, the base for a proposal
	confirmed     bool             // value is known to be decided
	decision      consensus.Decision
	history       consensus.History
	documentTimes map[string]documentTime // for the documents in value, by name
	clock         *monotonicClock
	events        *eventLog
	log           zerolog.Logger
	listener      learnListener
}

// documentTime is the time at which this controller learned a version of a document.
type documentTime struct {
	version consensus.Version
	since   time.Duration
}

// newLearner returns a learner without a decided value. base is the value from which proposals may start.
func newLearner(base *consensus.Value, clock *monotonicClock, events *eventLog, listener learnListener, log zerolog.Logger) *learner {
	return &learner{value: base, decision: consensus.Decision{Value: base}, documentTimes: map[string]documentTime{},
		clock: clock, events: events, listener: listener, log: log}
}

// decided returns the newest value known to be decided, or nil if there is none.
func (l *learner) decided() *consensus.Value {
	if !l.confirmed {
		return nil
	}
	return l.value
}

// isMember reports whether an acceptor is a member in the newest value.
func (l *learner) isMember(id consensus.AcceptorID) bool {
	return consensus.Contains(l.value.Members, id)
}

// isMemberAddress reports whether the newest value has a member at an address.
func (l *learner) isMemberAddress(address string) bool {
	for _, m := range l.value.Members {
		if m.Address == address {
			return true
		}
	}
	return false
}

// learn records a decided value, unless it is nil or this controller already knows it or a newer one.
func (l *learner) learn(v *consensus.Value) {
	if v == nil || l.confirmed && v.Slot <= l.value.Slot || v.Slot < l.value.Slot {
		return
	}
	previous := l.value
	l.value, l.confirmed, l.decision = v, true, consensus.Decision{Value: v}
	l.history.Learn(v)
	l.recordDocuments(v)
	if v.Version != previous.Version {
		l.log.Info().Uint64("slot", uint64(v.Slot)).Uint64("version", uint64(v.Version)).Msg("config: version decided")
		l.events.add(eventConfiguration, "version "+formatVersion(v.Version)+" is decided, based on "+formatVersion(v.BasedOn))
	}
	if len(v.Members) != len(previous.Members) || !v.Confirmed() {
		l.recordMembers(v)
	}
	l.listener.valueLearned(v)
}

func (l *learner) recordDocuments(v *consensus.Value) {
	for _, d := range v.Documents {
		if l.documentTimes[d.Name].version == d.Version {
			continue
		}
		l.documentTimes[d.Name] = documentTime{d.Version, l.clock.now()}
		l.events.add(eventConfiguration, "version "+formatVersion(d.Version)+" of the "+d.Name+" is decided")
	}
}

func (l *learner) recordMembers(v *consensus.Value) {
	l.log.Info().Uint64("slot", uint64(v.Slot)).Interface("members", v.Members).Msg("consensus: members decided")
	addresses := []string{}
	for _, m := range v.Members {
		addresses = append(addresses, m.Address)
	}
	l.events.add(eventMembership, "the members are at "+strings.Join(addresses, ", "))
}

// observeBallot records a ballot at which a slot was decided.
func (l *learner) observeBallot(slot consensus.Slot, ballot consensus.Ballot) {
	if l.confirmed && slot == l.value.Slot {
		l.decision = l.decision.WithBallot(ballot)
		l.listener.decisionObserved(l.decision)
	}
}

// learnMessage learns a value that another controller sent. Omitted bodies are restored from the learned and the accepted value of
// this controller. missing is true if one of them couldn't be restored, so that the value was not learned.
func (l *learner) learnMessage(m *rpc.Value, accepted *consensus.Value) (missing bool) {
	if m == nil || l.confirmed && m.Slot <= uint64(l.value.Slot) {
		return false
	}
	v := rpc.ValueFromProto(m, l.value, accepted)
	l.learn(v)
	return v == nil
}
