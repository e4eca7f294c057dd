package idempotency

import (
	"bytes"
	"fmt"
	"testing"
)

func arrive(t *testing.T, x *Table, now Time, key Key, d Digest, want Verdict) []byte {
	t.Helper()
	got, answer, _ := x.Arrive(now, key, d, 1000)
	if got != want {
		t.Fatalf("%s at %d: verdict %d, want %d", key, now, got, want)
	}
	return answer
}

func TestRequestLifecycle(t *testing.T) {
	x := New(Config{Retention: 10_000, MaxRequests: 3})
	arrive(t, x, 0, "a", 1, WriteIntent)
	arrive(t, x, 1, "a", 1, InProgress)
	if x.RecordAnswer("a", []byte("x")) != nil {
		t.Error("an answer is recorded before the intent is durable")
	}
	if !x.ConfirmIntent("a") || x.ConfirmIntent("a") {
		t.Error("an intent is confirmed exactly once")
	}
	arrive(t, x, 2, "a", 1, InProgress)
	if len(x.RecordAnswer("a", []byte("the answer"))) != 1 {
		t.Error("want one change for an answer")
	}
	if got := arrive(t, x, 3, "a", 1, Replay); string(got) != "the answer" {
		t.Errorf("replayed %q", got)
	}
	arrive(t, x, 3, "a", 2, KeyReused)
	if x.Discard("a") != nil || x.RecordUnknown("a") != nil {
		t.Error("an answered request changed")
	}
	arrive(t, x, 4, "b", 1, WriteIntent)
	x.ConfirmIntent("b")
	x.RecordUnknown("b")
	arrive(t, x, 5, "b", 1, OutcomeUnknown)
	arrive(t, x, 6, "c", 1, WriteIntent)
	arrive(t, x, 6, "d", 1, TableFull)
	if got := x.Discard("c"); len(got) != 1 || got[0].Value != nil {
		t.Errorf("changes of a discarded request: %v", got)
	}
	arrive(t, x, 7, "c", 9, WriteIntent)
	// Everything but requests in progress expires.
	arrive(t, x, 20_000, "e", 1, WriteIntent)
	if x.Len() != 2 {
		t.Errorf("%d entries, want 2", x.Len())
	}
	arrive(t, x, 20_000, "c", 9, InProgress)
	arrive(t, x, 20_000, "b", 1, WriteIntent)
}

func TestBackwardClockKeepsExpiry(t *testing.T) {
	x := New(Config{Retention: 1000})
	_, _, changes := x.Arrive(50_000, "a", 1, 100)
	y := New(Config{Retention: 1000})
	if err := y.Restore("a", changes[0].Value); err != nil {
		t.Fatal(err)
	}
	arrive(t, y, 10, "a", 1, OutcomeUnknown) // the clock was set back by 50 s
	_, _, changes = y.Arrive(20, "b", 1, 100)
	e, err := decode("b", changes[len(changes)-1].Value)
	if err != nil || e.arrivedAt < 50_000 {
		t.Errorf("arrival after the clock was set back: %d, %v", e.arrivedAt, err)
	}
	arrive(t, y, 51_050, "a", 1, OutcomeUnknown)
	arrive(t, y, 51_150, "a", 1, WriteIntent)
}

func TestUnreadableEntryIsOutcomeUnknown(t *testing.T) {
	x := New(Config{Retention: 1000})
	if x.Restore("a", []byte("nonsense")) == nil {
		t.Error("a malformed value was restored")
	}
	arrive(t, x, 1, "a", 7, OutcomeUnknown)
	if _, err := Describe([]byte{1}); err == nil {
		t.Error("a malformed value is described")
	}
}

func TestAnswersStayWithinMaxBytes(t *testing.T) {
	x := New(Config{Retention: 100_000, MaxAnswerBytes: 1000})
	for i := range 50 {
		key := Key(fmt.Sprint(i))
		arrive(t, x, Time(i), key, 1, WriteIntent)
		x.ConfirmIntent(key)
		x.RecordAnswer(key, bytes.Repeat([]byte("x"), 100))
		if x.Bytes() > 1000 {
			t.Fatalf("%d bytes of answers, at most 1000 are allowed", x.Bytes())
		}
	}
	arrive(t, x, 60, "0", 1, OutcomeUnknown) // it has run, though its answer was evicted
	arrive(t, x, 60, "49", 1, Replay)
}
