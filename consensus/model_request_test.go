package consensus

import (
	"fmt"
	"slices"
	"testing"
)

// requestModel is the part of the model that concerns operators' requests to change the configuration or a document: what
// was answered to them is compared with what is committed.
type requestModel struct {
	requestsOnly   bool // many requests, many sent again; values list few revisions
	version        Version
	requests       []*testRequest
	committed      map[revisionKey]bool
	foundInHistory int // requests that a history contained and the value did not list
	unknown        int // requests that neither had
}

// retainedInModel is the number of earlier revisions that a value lists where requestsOnly is set.
const retainedInModel = 1

// testRequest is a request, as its operator knows it.
type testRequest struct {
	ChangeRequest
	document  *DocumentChangeRequest // nil = it is for the configuration
	committed bool                   // reported as such
	rejected  bool                   // reported as such, for good
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

// newOrRepeatedRequest returns a request based on the version that a node knows, or one that had no clear answer, to be sent
// again to this node.
func (m *model) newOrRepeatedRequest(n *node) *testRequest {
	open := slices.DeleteFunc(slices.Clone(m.requests), func(r *testRequest) bool { return r.rejected })
	if len(open) > 0 && m.random.IntN(4) == 0 {
		return open[len(open)-1-m.random.IntN(min(len(open), 2))]
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

// randomRequest returns a new request of one of two operators, or one of any age again: one without a clear answer that is
// repeated, or a copy of any request that was in flight for long.
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
		if m.random.IntN(8) == 0 { // on top of one whose answer is still to come
			r.BasedOn = r.Version
			r.Version += 10
		}
	}
	m.requests = append(m.requests, r)
	return r
}

// evaluateWithFaults evaluates a request of newOrRepeatedRequest.
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

// evaluate evaluates a request of randomRequest.
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

// setOutcome records a request's outcome. It is reported only once the proposal is decided, but for rejectBeforeDecision.
func (m *model) setOutcome(p *activeProposal, outcome Outcome) {
	p.outcome = outcome
	if m.injected == rejectBeforeDecision && outcome == OutcomeConflict {
		m.acknowledge(p)
	}
}

// lookUpHistory asks a node's history for a request whose outcome the value does not tell.
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
	case OutcomeIncompatible: // not for good: a configuration that it fits may follow
		if m.committed[r.key()] {
			m.violate("version %d of the document is committed and was rejected", r.key().revision.Version)
		}
	default:
		r.rejected = true
	}
	m.checkOutcome(r)
	m.checkSingleSuccessor(r)
}

// checkOutcome compares what was reported of a request with what is committed.
func (m *model) checkOutcome(r *testRequest) {
	committed := m.committed[r.key()]
	switch {
	case r.rejected && committed:
		m.violate("version %d was rejected and is committed", r.key().revision.Version)
	case r.committed && !committed:
		m.violate("version %d was acknowledged and is not committed", r.key().revision.Version)
	}
}

// checkSingleSuccessor checks that no other request on the same base was acknowledged.
func (m *model) checkSingleSuccessor(r *testRequest) {
	for _, o := range m.requests {
		sameKind := (o.document == nil) == (r.document == nil)
		if o != r && o.committed && r.committed && sameKind && o.key().revision.BasedOn == r.key().revision.BasedOn {
			m.violate("two changes of version %d are both acknowledged", r.key().revision.BasedOn)
		}
	}
}

// recordCommitted records the revisions that a decided value lists, and checks every request against them.
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

// runRequestModel runs a model of requests and returns it as it ended, or as it was at the first violation.
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

// Requests of two operators, many with one version and many on one base, are sent to all nodes at once and sent again at any
// age, with copies that were in flight for long. Each is committed once or never, acknowledged only if it is committed, and
// rejected only if it never is; of those on one base one at most is acknowledged.
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

// contestedVersions counts the versions that more than one request asked for, on the same base.
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
