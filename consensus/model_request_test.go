package consensus

import (
	"fmt"
	"slices"
	"testing"
)

// requestModel is the part of the model for operators' requests to change the configuration or a document. It compares the
// outcomes reported to operators with the committed revisions.
type requestModel struct {
	requestsOnly   bool // many requests, many of them repeated; values list few revisions
	version        Version
	requests       []*testRequest
	committed      map[revisionKey]bool
	foundInHistory int // requests that a history contained and the value did not list
	unknown        int // requests that neither contained
}

// retainedInModel is the maximum number of earlier revisions that a value lists if requestsOnly is set.
const retainedInModel = 1

// testRequest is a request with the outcomes reported to its operator.
type testRequest struct {
	ChangeRequest
	document  *DocumentChangeRequest // nil = the request is for the configuration
	committed bool                   // reported as committed
	rejected  bool                   // reported as finally rejected
}

// revisionKey is a revision of the configuration or of a document.
type revisionKey struct {
	document string // "" = the configuration
	revision Revision
}

func (r *testRequest) key() revisionKey {
	if r.document != nil {
		return revisionKey{document: r.document.Name, revision: r.document.revision()}
	}
	return revisionKey{revision: r.revision()}
}

// newOrRepeatedRequest returns a new request based on the version that a node knows, or an earlier request that was not
// rejected, to be sent again to this node.
func (m *model) newOrRepeatedRequest(n *node) *testRequest {
	repeatable := slices.DeleteFunc(slices.Clone(m.requests), func(r *testRequest) bool { return r.rejected })
	if len(repeatable) > 0 && m.random.IntN(4) == 0 {
		return repeatable[len(repeatable)-1-m.random.IntN(min(len(repeatable), 2))]
	}
	m.version++
	version := m.version * 10
	if m.random.IntN(12) == 0 {
		version = n.known.Version // too low
	}
	r := &testRequest{ChangeRequest: ChangeRequest{Version: version, BasedOn: n.known.Version, Digest: fmt.Sprint("d", m.version)}}
	m.requests = append(m.requests, r)
	return r
}

// randomRequest returns a new request of one of two operators, or an earlier one of any age: a request repeated after an
// unclear reply, or a copy of any request that was in flight for a long time.
func (m *model) randomRequest(n *node, document bool) *testRequest {
	if len(m.requests) > 0 && m.random.IntN(2) == 0 {
		if m.random.IntN(2) == 0 {
			return m.requests[len(m.requests)-1-m.random.IntN(min(len(m.requests), 4))]
		}
		return m.requests[m.random.IntN(len(m.requests))]
	}
	m.version++
	r := &testRequest{}
	digest := fmt.Sprint("d", m.version)
	if document {
		const name = "document"
		parity := m.version % 2
		r.document = &DocumentChangeRequest{
			Name:       name,
			BasedOn:    n.known.Document(name).Version,
			Digest:     digest,
			Compatible: func(v *Value) bool { return v.Version/10%2 == parity },
		}
	} else {
		version := n.known.Version + 10 + Version(m.random.IntN(3))
		r.ChangeRequest = ChangeRequest{Version: version, BasedOn: n.known.Version, Digest: digest}
		if m.random.IntN(8) == 0 { // based on a version whose own request may still be unanswered
			r.BasedOn = r.Version
			r.Version += 10
		}
	}
	m.requests = append(m.requests, r)
	return r
}

// evaluateWithFaults evaluates a request returned by newOrRepeatedRequest, with the injected faults of runModel.
func (m *model) evaluateWithFaults(p *activeProposal, v *Value) *Value {
	next, outcome := p.request.Evaluate(v)
	if m.injected == conflictBeforeHistory && v.Version != p.request.BasedOn {
		next, outcome = v, OutcomeConflict
	}
	if m.injected == revisionsDropped && next != v {
		next.PriorRevisions = nil
	}
	m.setOutcome(p, outcome)
	return next
}

// evaluate evaluates a request returned by randomRequest, with the injected faults of runRequestModel.
func (m *model) evaluate(p *activeProposal, v *Value) *Value {
	if p.request.document != nil {
		return m.evaluateDocument(p, v)
	}
	return m.evaluateConfiguration(p, v)
}

func (m *model) evaluateConfiguration(p *activeProposal, v *Value) *Value {
	r := p.request
	next, outcome := r.Evaluate(v)
	belowHorizon := outcome == OutcomeUnknown && r.BasedOn < v.Version
	aboveNewest := outcome == OutcomeUnknown && r.BasedOn > v.Version
	sameVersion := slices.ContainsFunc(v.Revisions(), func(o Revision) bool { return o.Version == r.Version })
	switch {
	case m.injected == rejectBelowHorizon && belowHorizon, m.injected == rejectAboveNewest && aboveNewest:
		outcome = OutcomeConflict
	case m.injected == valueIgnoresDigest && sameVersion:
		next, outcome = v, OutcomeCommitted
	}
	if next != v {
		next.PriorRevisions = newestRevisions(next.PriorRevisions, retainedInModel)
	}
	m.setOutcome(p, outcome)
	return next
}

func (m *model) evaluateDocument(p *activeProposal, v *Value) *Value {
	r := p.request.document
	if m.injected == compatibilityBeforeOutcome && p.node.known != m.genesis && !r.Compatible(p.node.known) {
		m.setOutcome(p, OutcomeIncompatible)
		return v
	}
	next, _, outcome := r.Evaluate(v)
	if next != v {
		i := slices.IndexFunc(next.Documents, func(d Document) bool { return d.Name == r.Name })
		changed := &next.Documents[i]
		changed.PriorRevisions = newestRevisions(changed.PriorRevisions, retainedInModel)
	}
	m.setOutcome(p, outcome)
	return next
}

// setOutcome records a request's outcome. The outcome is reported once the proposal is decided; rejectBeforeDecision reports
// conflicts at once.
func (m *model) setOutcome(p *activeProposal, outcome Outcome) {
	p.outcome = outcome
	if m.injected == rejectBeforeDecision && outcome == OutcomeConflict {
		m.acknowledge(p)
	}
}

// lookUpHistory looks up a request in a node's history when its outcome cannot be determined from the value.
func (m *model) lookUpHistory(p *activeProposal) Outcome {
	r := p.request
	contains := func(r *testRequest) bool {
		if r.document != nil {
			return p.node.history.ContainsDocumentChange(*r.document)
		}
		return p.node.history.ContainsChange(r.ChangeRequest)
	}
	found := contains(r)
	if m.injected == historyIgnoresDigest && r.document == nil {
		found = slices.ContainsFunc(m.requests, func(o *testRequest) bool {
			return o.document == nil && o.Version == r.Version && contains(o)
		})
	}
	switch {
	case found:
		m.foundInHistory++
		return OutcomeCommitted
	case m.injected == rejectMissingFromHistory && r.document == nil && r.BasedOn < p.node.known.Version:
		return OutcomeConflict
	}
	m.unknown++
	return OutcomeUnknown
}

// acknowledge reports a request's outcome to its operator.
func (m *model) acknowledge(p *activeProposal) {
	r := p.request
	if r == nil {
		return
	}
	if p.outcome == OutcomeUnknown {
		p.outcome = m.lookUpHistory(p)
	}
	switch p.outcome {
	case OutcomeCommitted:
		r.committed = true
	case OutcomeUnknown:
	case OutcomeIncompatible: // not final: the document may be compatible with a later configuration
		if m.committed[r.key()] {
			m.recordViolation("version %d of the document is committed and was rejected", r.key().revision.Version)
		}
	default:
		r.rejected = true
	}
	m.checkOutcome(r)
	m.checkSingleSuccessor(r)
}

// checkOutcome compares the reported outcome of a request with the committed revisions.
func (m *model) checkOutcome(r *testRequest) {
	committed := m.committed[r.key()]
	switch {
	case r.rejected && committed:
		m.recordViolation("version %d was rejected and is committed", r.key().revision.Version)
	case r.committed && !committed:
		m.recordViolation("version %d was acknowledged and is not committed", r.key().revision.Version)
	}
}

// checkSingleSuccessor checks that no other request based on the same version was acknowledged.
func (m *model) checkSingleSuccessor(r *testRequest) {
	for _, o := range m.requests {
		sameKind := (o.document == nil) == (r.document == nil)
		if o != r && o.committed && r.committed && sameKind && o.key().revision.BasedOn == r.key().revision.BasedOn {
			m.recordViolation("two changes of version %d are both acknowledged", r.key().revision.BasedOn)
		}
	}
}

// recordCommitted records the revisions that a decided value lists and checks every request against them.
func (m *model) recordCommitted(v *Value) {
	for _, r := range v.Revisions() {
		m.committed[revisionKey{revision: r}] = true
	}
	for _, d := range v.Documents {
		for _, r := range d.Revisions() {
			m.committed[revisionKey{document: d.Name, revision: r}] = true
		}
	}
	for _, r := range m.requests {
		m.checkOutcome(r)
	}
}

// runRequestModel runs the model with requestsOnly set, for the given number of steps or until the first violation, and
// returns the model.
func runRequestModel(seed uint64, steps int, injected fault) *model {
	m := newModel(seed, testNodeCount(seed), injected)
	m.requestsOnly = true
	for range steps {
		m.step()
		if m.violation != "" {
			break
		}
	}
	return m
}

// Requests of two operators, many for the same version and many based on the same version, are sent to all nodes at the same
// time and are repeated at any age, with copies that were in flight for a long time. Each must be committed at most once,
// acknowledged only if it is committed, and rejected only if it is never committed. At most one of the requests based on the
// same version is acknowledged.
func TestModelChangeRequestOutcomes(t *testing.T) {
	committed, foundInHistory, unknown, contested := 0, 0, 0, 0
	for seed := range uint64(500) {
		m := runRequestModel(seed, 2500, noFault)
		if m.violation != "" {
			t.Fatalf("seed %d: %s", seed, m.violation)
		}
		committed += len(m.committed)
		foundInHistory += m.foundInHistory
		unknown += m.unknown
		contested += contestedVersions(m.requests)
	}
	t.Logf("%d revisions committed, %d requests found in histories, %d unknown, %d versions requested twice",
		committed, foundInHistory, unknown, contested)
	if committed < 2000 || foundInHistory < 20 || unknown < 400 || contested < 2000 {
		t.Fatal("too few to be conclusive")
	}
}

// contestedVersions counts the versions that were requested by more than one request with the same base.
func contestedVersions(requests []*testRequest) (contested int) {
	counts := map[revisionKey]int{}
	for _, r := range requests {
		key := r.key()
		key.revision.Digest = ""
		counts[key]++
	}
	for _, n := range counts {
		if n > 1 {
			contested++
		}
	}
	return contested
}

func TestModelDetectsInjectedRequestFaults(t *testing.T) {
	for _, injected := range requestFaults {
		t.Run(injected.String(), func(t *testing.T) {
			requireDetected(t, 3000, func(seed uint64) string { return runRequestModel(seed, 2500, injected).violation })
		})
	}
}
