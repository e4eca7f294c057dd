package consensus

import (
	"fmt"
	"testing"
)

// A note has versions of its own: configurations and changes of the acceptors leave it as it is, and it leaves them. A call sent
// again finds its fate as long as it is remembered; two on the same base are told apart.
func TestDocumentsAreIndependentOfConfiguration(t *testing.T) {
	v := Genesis([]Member{{1, "a"}, {2, "b"}, {3, "c"}})
	step := func(next *Value) {
		t.Helper()
		if !next.Confirmed() || next.Slot != v.Slot+1 {
			t.Fatalf("turn %d follows %d", next.Slot, v.Slot)
		}
		v = next
	}
	call := func(name string, basedOn Version, text string) (Version, Outcome) {
		next, at, fate := DocumentChangeRequest{Name: name, BasedOn: basedOn, Digest: "d" + text, Body: []byte(text)}.Evaluate(v)
		if next != v {
			step(next)
		}
		return at, fate
	}
	if at, fate := call("x", 0, "one"); at != 1 || fate != OutcomeCommitted {
		t.Fatalf("the first: version %d, fate %d", at, fate)
	}
	step(v.WithConfiguration(7, 0, "c7", []byte("config")))
	if at, fate := call("x", 0, "other"); at != 1 || fate != OutcomeConflict {
		t.Errorf("another on the same base: version %d, fate %d", at, fate)
	}
	if at, fate := call("y", 0, "one"); at != 1 || fate != OutcomeCommitted {
		t.Errorf("another name: version %d, fate %d", at, fate)
	}
	for i := range RetainedDocumentRevisions {
		if at, fate := call("x", Version(i+1), fmt.Sprint("later", i)); at != Version(i+2) || fate != OutcomeCommitted {
			t.Fatalf("version %d: %d, fate %d", i+2, at, fate)
		}
	}
	if at, fate := call("x", 0, "one"); at != 1 || fate != OutcomeCommitted {
		t.Errorf("the first, sent again: version %d, fate %d", at, fate)
	}
	moved := v.WithMembers([]Member{{1, "a"}, {2, "b"}, {4, "d"}})
	if moved.Confirmed() || !moved.Confirm().Equal(moved.Confirm()) || len(moved.Confirm().Documents) != 2 {
		t.Error("a change of the acceptors drops the notes")
	}
	if v.Version != 7 || string(v.Body) != "config" || string(v.Document("y").Body) != "one" || v.Document("z").Version != 0 {
		t.Errorf("version %d, note %q", v.Version, v.Document("y").Body)
	}
	if v.Equal(v.WithDocument("y", "d", nil)) {
		t.Error("two values with other notes are held for one")
	}
}
