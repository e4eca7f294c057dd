package consensus

import (
	"fmt"
	"testing"
)

// documentRegister commits documents and configurations in successive values.
type documentRegister struct {
	t     *testing.T
	value *Value
}

// commit makes next the newest value. It must be a confirmed value of the next slot.
func (r *documentRegister) commit(next *Value) {
	r.t.Helper()
	if !next.Confirmed() || next.Slot != r.value.Slot+1 {
		r.t.Fatalf("slot %d (confirmed: %v) was proposed after slot %d", next.Slot, next.Confirmed(), r.value.Slot)
	}
	r.value = next
}

// request evaluates a document change request, checks its version and outcome, and commits the resulting value if it is new.
func (r *documentRegister) request(name string, basedOn Version, body string, wantVersion Version, wantOutcome Outcome) {
	r.t.Helper()
	request := DocumentChangeRequest{Name: name, BasedOn: basedOn, Digest: "digest of " + body, Body: []byte(body)}
	next, version, outcome := request.Evaluate(r.value)
	if version != wantVersion || outcome != wantOutcome {
		r.t.Errorf("document %s based on version %d: version %d, %s; want version %d, %s",
			name, basedOn, version, outcome, wantVersion, wantOutcome)
	}
	if next != r.value {
		r.commit(next)
	}
}

// Documents and the configuration have independent versions: changes of the configuration or of the members must not alter
// documents, and vice versa. A repeated request is recognized as long as its revision is listed, and two requests based on
// the same version are distinguished.
func TestDocumentsAreIndependentOfConfiguration(t *testing.T) {
	r := &documentRegister{t: t, value: Genesis([]Member{{1, "a"}, {2, "b"}, {3, "c"}})}
	r.request("x", 0, "one", 1, OutcomeCommitted)
	r.commit(r.value.WithConfiguration(7, 0, "c7", []byte("config")))
	r.request("x", 0, "other", 1, OutcomeConflict)
	r.request("y", 0, "one", 1, OutcomeCommitted)
	for i := range RetainedDocumentRevisions {
		r.request("x", Version(i+1), fmt.Sprint("later", i), Version(i+2), OutcomeCommitted)
	}
	r.request("x", 0, "one", 1, OutcomeCommitted) // again

	v := r.value
	if v.Version != 7 || string(v.Body) != "config" || string(v.Document("y").Body) != "one" || v.Document("z").Version != 0 {
		t.Errorf("configuration version %d, want 7; document y %q, want \"one\"", v.Version, v.Document("y").Body)
	}
	if v.Equal(v.WithDocument("y", "d", nil)) {
		t.Error("two values with different documents are equal")
	}
	changed := v.WithMembers([]Member{{1, "a"}, {2, "b"}, {4, "d"}})
	if changed.Confirmed() || !changed.Confirm().Equal(changed.Confirm()) || len(changed.Confirm().Documents) != 2 {
		t.Error("a membership change is confirmed at once, or its confirmation drops documents")
	}
}

// A repeated request for a committed document must not be checked against a later configuration; a new revision must be.
func TestDocumentCompatibilityCheckedOnlyForNewVersions(t *testing.T) {
	compatible := func(v *Value) bool { return v.Version < 2 }
	first := DocumentChangeRequest{Name: "x", Digest: "d", Compatible: compatible}
	second := DocumentChangeRequest{Name: "x", BasedOn: 1, Digest: "e", Compatible: compatible}

	v := Genesis([]Member{{1, "a"}}).WithConfiguration(1, 0, "c1", nil)
	v, version, outcome := first.Evaluate(v)
	if version != 1 || outcome != OutcomeCommitted {
		t.Fatalf("a compatible document: version %d, %s", version, outcome)
	}
	v = v.WithConfiguration(2, 1, "c2", nil)
	if next, version, outcome := first.Evaluate(v); next != v || version != 1 || outcome != OutcomeCommitted {
		t.Errorf("the same document again, with a later configuration: version %d, %s", version, outcome)
	}
	if next, _, outcome := second.Evaluate(v); next != v || outcome != OutcomeIncompatible {
		t.Errorf("an incompatible document: %s", outcome)
	}
}
