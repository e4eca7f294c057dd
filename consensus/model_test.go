package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// The model: machines with disks, rounds, and messages that are lost, doubled and reordered; machines crash and lose what
// they had not stored; disks are wiped, as many as may be lost; wiped ones come back as strangers and take seats. After each
// step: no two values are decided at one turn, and each follows the one before it.

// fault is a fault planted in the model's own part of the work, to see that the checks find it.
type fault int

const (
	noFault                     fault = iota
	replyBeforeStore                  // an answer is sent before it is on the disk
	wipedDiskKeepsIdentity            // an emptied disk votes under its old identity
	ballotsReused                     // a proposer that starts again uses the ballots of its life before
	promiseForgotten                  // an acceptor votes for ballots below what it promised
	prepareReplyOmitsAccepted         // a promise does not tell the vote that was cast
	membersWithoutPriorMajority       // a set changes without a majority of the one before
	twoMembersAtOnce                  // two members are exchanged in one turn, with no majority of the one before
	acceptTakenAsDecided              // a vote that was cast is taken for decided
	prepareTakenAsDecided             // what a majority promised is taken for decided without votes
	replyFromOtherDisk                // an answer of another disk counts as that of the one asked
	lowerBallotWins                   // of two votes the one with the lower ballot is taken for the newest
	conflictBeforeHistory             // a call sent again is held against the version in place before its fate is looked for
	revisionsDropped                  // a new configuration drops what is known of those before
	rejectBeforeDecision              // a call is refused beside a value that may yet lose
	rejectBelowHorizon                // a call older than all that the value remembers is refused
	rejectAboveNewest                 // a call on a version that is not there yet is refused, and a copy of it is still on its way
	rejectMissingFromHistory          // a call older than all that the value remembers is refused where the ledger does not hold it
	historyFromAccepts                // the ledger is filled from votes
	historyIgnoresDigest              // the ledger is asked for the version without the digest
	valueIgnoresDigest                // the value is asked for the version without the digest
	compatibilityBeforeOutcome        // a note is held against the configuration that the machine knows before its fate is looked for
)

// testRequest is an operator's, as it knows it.
type testRequest struct {
	ChangeRequest
	document            *DocumentChangeRequest // nil = it is a configuration
	committed, rejected bool                   // answered so, for good
}

// revisionKey is a version of the configuration, or of a note, that was agreed.
type revisionKey struct {
	document string
	revision Revision
}

func (c *testRequest) key() revisionKey {
	if c.document != nil {
		return revisionKey{c.document.Name, c.document.revision()}
	}
	return revisionKey{revision: c.revision()}
}

type node struct {
	address     string
	disk        AcceptorState // what is stored
	state       AcceptorState // what it acts on
	up          bool
	known       *Value
	incarnation ProposerID
	number      uint64
	proposals   []*activeProposal
	history     History
}

// learn has a machine know a value, and in a world of orders its ledger hold it.
func (w *model) learn(m *node, v *Value) {
	if m.known = v; w.requestsOnly {
		m.history.Learn(v)
	}
}

type activeProposal struct {
	node     *node
	proposal *Proposal
	request  *testRequest // nil = it carries none
	outcome  Outcome
}

type message struct {
	to           *node
	prepare      *Prepare
	accept       *Accept
	proposal     *activeProposal
	prepareReply *PrepareReply
	acceptReply  *AcceptReply
}

type model struct {
	t              *testing.T
	r              *rand.Rand
	injected       fault
	nodes          []*node
	genesis        *Value
	messages       []message
	decided        map[Slot]*Value
	newest         *Value
	incarnations   uint64
	version        Version
	requests       []*testRequest
	committed      map[revisionKey]bool
	requestsOnly   bool // many calls, many sent again; values remember little
	foundInHistory int  // calls that a ledger knew and the value did not
	unclear        int  // calls that neither knew
	violation      string
}

// retainedInModel is how many versions a value remembers besides its own, in a world of orders.
const retainedInModel = 1

func newModel(seed uint64, n int, planted fault) *model {
	w := &model{r: rand.New(rand.NewPCG(seed, uint64(n))), injected: planted, decided: map[Slot]*Value{}, committed: map[revisionKey]bool{}}
	var members []Member
	for i := range n {
		a := fmt.Sprint("m", i)
		members = append(members, Member{AcceptorID(i + 1), a})
		w.nodes = append(w.nodes, &node{address: a, disk: AcceptorState{ID: AcceptorID(i + 1)}})
	}
	w.genesis = Genesis(members)
	w.newest = w.genesis
	for _, m := range w.nodes {
		w.start(m)
	}
	return w
}

func (w *model) start(m *node) {
	m.state, m.up, m.known, m.proposals, m.history = m.disk, true, w.genesis, nil, History{}
	if v := m.disk.Value; v != nil && v.Slot > 0 {
		m.known = RecoveryBase(v)
	}
	if w.injected != ballotsReused {
		w.incarnations++
		m.incarnation, m.number = ProposerID(w.incarnations), m.disk.Promised.Number
	} else {
		m.incarnation, m.number = ProposerID(len(m.address)+int(m.address[1])), 0
	}
}

func (w *model) at(address string) *node {
	for _, m := range w.nodes {
		if m.address == address {
			return m
		}
	}
	return nil
}

// mayLoseDisk tells whether another disk may be lost now.
func (w *model) mayLoseDisk() bool {
	return w.newest.Confirmed() && !slices.ContainsFunc(w.newest.Members, func(m Member) bool {
		return w.at(m.Address).disk.ID != m.ID
	})
}

func (w *model) step() {
	m := w.nodes[w.r.IntN(len(w.nodes))]
	switch k := w.r.IntN(100); {
	case k < 6 && m.up:
		w.begin(m)
	case w.requestsOnly && k < 12 && m.up && len(m.proposals) < 4:
		w.begin(m)
	case w.requestsOnly && k < 14 && w.r.IntN(8) > 0:
	case k < 8 || k < 24 && w.injected == ballotsReused: // it crashes and starts again
		w.start(m)
	case k < 9 && w.mayLoseDisk(): // its disk is emptied
		id := m.disk.ID
		if w.injected != wipedDiskKeepsIdentity {
			id = AcceptorID(1000 + w.r.IntN(1<<30))
		}
		m.disk = AcceptorState{ID: id}
		w.start(m)
		m.known = w.newest // strangers learn from those that know
	case k < 14 && len(w.messages) > 0: // a message is lost
		w.messages = slices.Delete(w.messages, 0, 1)
	default:
		if len(w.messages) == 0 {
			return
		}
		i := w.r.IntN(min(len(w.messages), 12))
		n := w.messages[i]
		if w.r.IntN(20) > 0 { // else it comes twice
			w.messages = slices.Delete(w.messages, i, i+1)
		}
		w.deliver(n)
	}
}

func (w *model) begin(m *node) {
	change := ChangeFunc(func(v *Value) *Value { return v })
	run := &activeProposal{node: m}
	self := Member{m.disk.ID, m.address}
	kind := w.r.IntN(3)
	if w.requestsOnly {
		kind = 3 + w.r.IntN(4)/3
	}
	switch kind {
	case 3, 4:
		run.request = w.nextRequest(m, kind == 4)
		change = func(v *Value) *Value {
			next := w.evaluate(run, v)
			if w.injected == rejectBeforeDecision && run.outcome == OutcomeConflict {
				w.acknowledge(run)
			}
			return next
		}
	case 0:
		// A new call on top of what this machine knows, or one that had no clear answer, sent again here.
		if open := slices.DeleteFunc(slices.Clone(w.requests), func(c *testRequest) bool { return c.rejected }); len(open) > 0 && w.r.IntN(4) == 0 {
			run.request = open[len(open)-1-w.r.IntN(min(len(open), 2))]
		} else {
			w.version++
			version := w.version * 10
			if w.r.IntN(12) == 0 {
				version = m.known.Version // not above
			}
			run.request = &testRequest{ChangeRequest: ChangeRequest{Version: version, BasedOn: m.known.Version, Digest: fmt.Sprint("d", w.version)}}
			w.requests = append(w.requests, run.request)
		}
		change = func(v *Value) (next *Value) {
			if next, run.outcome = run.request.Evaluate(v); w.injected == conflictBeforeHistory && v.Version != run.request.BasedOn {
				next, run.outcome = v, OutcomeConflict
			}
			if w.injected == revisionsDropped && next != v {
				next.PriorRevisions = nil
			}
			if w.injected == rejectBeforeDecision && run.outcome == OutcomeConflict {
				w.acknowledge(run)
			}
			return next
		}
	case 1:
		change = func(v *Value) *Value {
			if Contains(v.Members, self.ID) {
				return v
			}
			members := slices.Clone(v.Members)
			for i := range members {
				if members[i].Address == self.Address {
					members[i] = self
				}
			}
			next := v.WithMembers(members)
			if w.injected == membersWithoutPriorMajority {
				next.PriorMembers = members
			}
			return next
		}
	case 2:
		if w.injected == twoMembersAtOnce {
			change = func(v *Value) *Value {
				next := v.WithMembers(v.Members[:1])
				next.PriorMembers = next.Members
				return next
			}
		}
	}
	m.proposals = slices.DeleteFunc(m.proposals, func(o *activeProposal) bool { _, lost := o.proposal.Preempted(); return w.requestsOnly && lost })
	if w.injected == acceptTakenAsDecided && m.state.Value != nil && m.state.Value.Slot > m.known.Slot {
		m.known = m.state.Value
		w.decide(m.known)
	}
	m.number++
	run.proposal = NewProposal(Ballot{m.number, m.incarnation}, m.known, change)
	m.proposals = append(m.proposals, run)
	w.sendPrepares(run)
}

func (w *model) sendPrepares(run *activeProposal) {
	for _, to := range run.proposal.NextPrepares() {
		w.messages = append(w.messages, message{to: w.at(to.Address), prepare: &Prepare{to.ID, run.proposal.Ballot()}, proposal: run})
	}
}

func (w *model) deliver(n message) {
	switch {
	case n.prepare != nil:
		p := *n.prepare
		if w.injected == replyFromOtherDisk {
			p.To = n.to.state.ID
		}
		next, back := n.to.state.HandlePrepare(p)
		if w.injected == replyFromOtherDisk {
			back.From = n.prepare.To
		}
		if w.injected == prepareReplyOmitsAccepted && back.OK {
			back.Value, back.Accepted = nil, Ballot{}
		}
		w.store(n.to, next)
		w.messages = append(w.messages, message{prepareReply: &back, proposal: n.proposal})
	case n.accept != nil:
		state := n.to.state
		if w.injected == promiseForgotten {
			state.Promised = Ballot{}
		}
		a := *n.accept
		if w.injected == replyFromOtherDisk {
			a.To = state.ID
		}
		next, back := state.HandleAccept(a)
		if w.injected == replyFromOtherDisk {
			back.From = n.accept.To
		}
		if back.OK {
			w.store(n.to, next)
		}
		if back.OK && w.injected == historyFromAccepts {
			n.to.history.Learn(a.Value)
		}
		w.messages = append(w.messages, message{acceptReply: &back, proposal: n.proposal})
	case !slices.Contains(n.proposal.node.proposals, n.proposal):
	case n.prepareReply != nil:
		p := *n.prepareReply
		if w.injected == lowerBallotWins && p.OK && p.Value != nil {
			p.Accepted = Ballot{1 << 40 >> min(p.Accepted.Number, 39), p.Accepted.By}
		}
		to := n.proposal.proposal.HandlePrepareReply(p)
		if to == nil {
			w.sendPrepares(n.proposal)
		}
		if w.injected == prepareTakenAsDecided && to != nil {
			w.decide(n.proposal.proposal.Value())
		}
		for _, m := range to {
			w.messages = append(w.messages, message{to: w.at(m.Address), accept: &Accept{m.ID, n.proposal.proposal.Ballot(), n.proposal.proposal.Value()}, proposal: n.proposal})
		}
		w.recordPreemption(n.proposal)
	default:
		if n.proposal.proposal.HandleAcceptReply(*n.acceptReply) {
			v := n.proposal.proposal.Value()
			w.decide(v)
			if v.Slot >= n.proposal.node.known.Slot {
				w.learn(n.proposal.node, v)
			}
			if n.proposal.proposal.IncludesChange() && v.Confirmed() {
				w.acknowledge(n.proposal)
			}
			for _, m := range w.nodes { // some are told
				if (m == n.proposal.node || w.r.IntN(2) == 0) && m.up && v.Slot >= m.known.Slot {
					w.learn(m, v)
				}
			}
			n.proposal.node.proposals = slices.DeleteFunc(n.proposal.node.proposals, func(o *activeProposal) bool { return o == n.proposal })
		}
		w.recordPreemption(n.proposal)
	}
}

func (w *model) recordPreemption(run *activeProposal) {
	if by, lost := run.proposal.Preempted(); lost {
		run.node.number = max(run.node.number, by.Number)
	}
}

// store puts a state on a disk. With the planted mistake it does so only sometimes before the answer goes out.
func (w *model) store(m *node, next AcceptorState) {
	m.state = next
	if w.injected != replyBeforeStore || w.r.IntN(2) == 0 {
		m.disk = next
	}
}

// nextRequest is a new call of one of two operators, or one of any age that comes again: one without a clear answer that is sent
// again, or a copy of any call that was long on its way.
func (w *model) nextRequest(m *node, note bool) *testRequest {
	if len(w.requests) > 0 && w.r.IntN(2) == 0 {
		if w.r.IntN(2) == 0 {
			return w.requests[len(w.requests)-1-w.r.IntN(min(len(w.requests), 4))]
		}
		return w.requests[w.r.IntN(len(w.requests))]
	}
	w.version++
	digest := fmt.Sprint("d", w.version)
	c := &testRequest{}
	switch {
	case note:
		parity := w.version % 2
		c.document = &DocumentChangeRequest{Name: "note", BasedOn: m.known.Document("note").Version, Digest: digest,
			Compatible: func(v *Value) bool { return v.Version/10%2 == parity }}
	default:
		c.ChangeRequest = ChangeRequest{Version: m.known.Version + 10 + Version(w.r.IntN(3)), BasedOn: m.known.Version, Digest: digest}
		if w.r.IntN(8) == 0 { // on top of one whose answer is still to come
			c.BasedOn = c.Version
			c.Version += 10
		}
	}
	w.requests = append(w.requests, c)
	return c
}

// evaluate has a round's call meet the newest value, with what is planted.
func (w *model) evaluate(run *activeProposal, v *Value) (next *Value) {
	c := run.request
	if c.document == nil {
		next, run.outcome = c.Evaluate(v)
		belowHorizon := run.outcome == OutcomeUnknown && c.BasedOn < v.Version
		aboveNewest := run.outcome == OutcomeUnknown && c.BasedOn > v.Version
		sameVersion := slices.ContainsFunc(v.Revisions(), func(p Revision) bool { return p.Version == c.Version })
		switch {
		case w.injected == rejectBelowHorizon && belowHorizon, w.injected == rejectAboveNewest && aboveNewest:
			run.outcome = OutcomeConflict
		case w.injected == valueIgnoresDigest && sameVersion:
			next, run.outcome = v, OutcomeCommitted
		}
		if next != v {
			next.PriorRevisions = next.PriorRevisions[max(0, len(next.PriorRevisions)-retainedInModel):]
		}
		return next
	}
	if w.injected == compatibilityBeforeOutcome && run.node.known != w.genesis && !c.document.Compatible(run.node.known) {
		run.outcome = OutcomeIncompatible
		return v
	}
	next, _, run.outcome = c.document.Evaluate(v)
	if next != v {
		i := slices.IndexFunc(next.Documents, func(n Document) bool { return n.Name == c.document.Name })
		n := &next.Documents[i]
		n.PriorRevisions = n.PriorRevisions[max(0, len(n.PriorRevisions)-retainedInModel):]
	}
	return next
}

// lookUpHistory asks a machine's ledger for a call whose fate the value does not tell.
func (w *model) lookUpHistory(run *activeProposal) Outcome {
	c := run.request
	holds := func(c *testRequest) bool {
		if c.document != nil {
			return run.node.history.ContainsDocumentChange(*c.document)
		}
		return run.node.history.ContainsChange(c.ChangeRequest)
	}
	found := holds(c)
	if w.injected == historyIgnoresDigest && c.document == nil {
		found = slices.ContainsFunc(w.requests, func(o *testRequest) bool { return o.document == nil && o.Version == c.Version && holds(o) })
	}
	switch {
	case found:
		w.foundInHistory++
		return OutcomeCommitted
	case w.injected == rejectMissingFromHistory && c.document == nil && c.BasedOn < run.node.known.Version:
		return OutcomeConflict
	}
	w.unclear++
	return OutcomeUnknown
}

// acknowledge has an operator hear what became of a call.
func (w *model) acknowledge(run *activeProposal) {
	c := run.request
	if c == nil {
		return
	}
	if run.outcome == OutcomeUnknown {
		run.outcome = w.lookUpHistory(run)
	}
	switch run.outcome {
	case OutcomeCommitted:
		c.committed = true
	case OutcomeUnknown:
	case OutcomeIncompatible: // for now: another configuration may come that it fits
		if w.committed[c.key()] && w.violation == "" {
			w.violation = fmt.Sprintf("version %d of the note was agreed and is refused", c.key().revision.Version)
		}
	default:
		c.rejected = true
	}
	w.checkOutcome(c)
	for _, o := range w.requests {
		if o != c && o.committed && c.committed && (o.document == nil) == (c.document == nil) && o.key().revision.BasedOn == c.key().revision.BasedOn && w.violation == "" {
			w.violation = fmt.Sprintf("two changes on version %d are both acknowledged", c.key().revision.BasedOn)
		}
	}
}

// checkOutcome holds a call's answers against what was decided.
func (w *model) checkOutcome(c *testRequest) {
	agreed := w.committed[c.key()]
	switch {
	case w.violation != "":
	case c.rejected && agreed:
		w.violation = fmt.Sprintf("version %d was refused and is agreed", c.key().revision.Version)
	case c.committed && !agreed:
		w.violation = fmt.Sprintf("version %d was acknowledged and is not agreed", c.key().revision.Version)
	}
}

func (w *model) decide(v *Value) {
	if old := w.decided[v.Slot]; old != nil {
		if !old.Equal(v) && w.violation == "" {
			w.violation = fmt.Sprintf("turn %d: version %d with %v and version %d with %v are both decided", v.Slot, old.Version, old.Members, v.Version, v.Members)
		}
		return
	}
	if before := w.decided[v.Slot-1]; v.Slot > 1 && before != nil && w.violation == "" {
		switch {
		case !sameMembers(v.PriorMembers, before.Members):
			w.violation = fmt.Sprintf("turn %d follows another set than that of the turn before", v.Slot)
		case v.Digest != before.Digest && v.BasedOn != before.Version:
			w.violation = fmt.Sprintf("turn %d: version %d is based on %d, %d was in place", v.Slot, v.Version, v.BasedOn, before.Version)
		case v.Digest != before.Digest && before.Digest != "" && !slices.Contains(v.Revisions(), ChangeRequest{before.Version, before.BasedOn, before.Digest, nil}.revision()):
			w.violation = fmt.Sprintf("turn %d has forgotten version %d", v.Slot, before.Version)
		}
	}
	w.decided[v.Slot] = v
	for _, p := range v.Revisions() {
		w.committed[revisionKey{revision: p}] = true
	}
	for _, n := range v.Documents {
		for _, p := range n.Revisions() {
			w.committed[revisionKey{n.Name, p}] = true
		}
	}
	for _, c := range w.requests {
		w.checkOutcome(c)
	}
	if v.Slot >= w.newest.Slot {
		w.newest = v
	}
}

// runModel plays a world and returns what broke, and how many turns were decided.
func runModel(seed uint64, n, steps int, planted fault) (string, Slot) {
	w := newModel(seed, n, planted)
	for range steps {
		if w.step(); w.violation != "" {
			return w.violation, w.newest.Slot
		}
	}
	return "", w.newest.Slot
}

func TestModelDecidesOneValuePerSlot(t *testing.T) {
	turns := Slot(0)
	for seed := range uint64(4000) {
		broken, at := runModel(seed, 3+2*int(seed%2), 500, noFault)
		if broken != "" {
			t.Fatalf("seed %d: %s", seed, broken)
		}
		turns += at
	}
	if turns < 6000 {
		t.Fatalf("4000 worlds decided %d values in all: too few to tell", turns)
	}
}

func TestModelDetectsInjectedFaults(t *testing.T) {
	for name, m := range map[string]fault{"told before stored": replyBeforeStore, "wiped disk keeps its name": wipedDiskKeepsIdentity,
		"ballots used again": ballotsReused, "promises forgotten": promiseForgotten, "promises hide votes": prepareReplyOmitsAccepted,
		"a seat without the old majority": membersWithoutPriorMajority, "a set cut down at once": twoMembersAtOnce, "votes taken for decided": acceptTakenAsDecided,
		"promises taken for decided": prepareTakenAsDecided, "strangers answer for the lost": replyFromOtherDisk, "the lower vote wins": lowerBallotWins, "refused before its fate is looked for": conflictBeforeHistory, "fates forgotten": revisionsDropped} {
		found := 0
		for seed := range uint64(30000) {
			if broken, _ := runModel(seed, 3+2*int(seed%2), 800, m); broken != "" {
				found++
				t.Logf("%s: seed %d: %s", name, seed, broken)
				break
			}
		}
		if found == 0 {
			t.Errorf("%s: no check finds it", name)
		}
	}
}

// runRequestModel plays a world of orders.
func runRequestModel(seed uint64, steps int, planted fault) *model {
	w := newModel(seed, 3+2*int(seed%2), planted)
	w.requestsOnly = true
	for range steps {
		if w.step(); w.violation != "" {
			break
		}
	}
	return w
}

// Calls of two operators, many of them under one number and many on one base, sent to all machines at once, sent again at any
// age, with copies that were long on their way: each is agreed once or never, acknowledged only if it is agreed, refused only
// if it never is, and of two on one base one at most is acknowledged.
func TestModelChangeRequestOutcomes(t *testing.T) {
	versions, fromBook, unclear, both := 0, 0, 0, 0
	for seed := range uint64(500) {
		w := runRequestModel(seed, 2500, noFault)
		if w.violation != "" {
			t.Fatalf("seed %d: %s", seed, w.violation)
		}
		versions, fromBook, unclear = versions+len(w.committed), fromBook+w.foundInHistory, unclear+w.unclear
		bases := map[revisionKey]int{}
		for _, c := range w.requests {
			bases[revisionKey{c.key().document, Revision{Version: c.key().revision.Version, BasedOn: c.key().revision.BasedOn}}]++
		}
		for _, n := range bases {
			if n > 1 {
				both++
			}
		}
	}
	t.Logf("%d versions agreed, %d calls found in ledgers, %d unclear, %d numbers given twice", versions, fromBook, unclear, both)
	if versions < 2000 || fromBook < 20 || unclear < 400 || both < 2000 {
		t.Fatal("too few to tell")
	}
}

func TestModelDetectsInjectedRequestFaults(t *testing.T) {
	for name, m := range map[string]fault{"refused below the horizon": rejectBelowHorizon, "refused above the newest": rejectAboveNewest,
		"what the ledger lacks is refused": rejectMissingFromHistory, "a ledger filled from votes": historyFromAccepts, "a ledger without digests": historyIgnoresDigest,
		"a window without digests": valueIgnoresDigest, "whether it fits comes before its fate": compatibilityBeforeOutcome,
		"refused beside what is not decided": rejectBeforeDecision} {
		found := false
		for seed := range uint64(3000) {
			if w := runRequestModel(seed, 2500, m); w.violation != "" {
				t.Logf("%s: seed %d: %s", name, seed, w.violation)
				found = true
				break
			}
		}
		if !found {
			t.Errorf("%s: no check finds it", name)
		}
	}
}

// Rounds end: with no messages lost, each round decides or is ended by a higher ballot.
func TestUncontendedProposalDecides(t *testing.T) {
	w := newModel(1, 3, noFault)
	m := w.nodes[0]
	w.begin(m)
	for len(w.messages) > 0 {
		n := w.messages[0]
		w.messages = w.messages[1:]
		w.deliver(n)
	}
	if len(m.proposals) != 0 || w.decided[w.newest.Slot] == nil {
		t.Fatal("a round that is alone does not decide")
	}
}
