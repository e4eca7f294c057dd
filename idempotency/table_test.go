package idempotency

import (
	"bytes"
	"fmt"
	"testing"
)

// arrive passes a request to a table, expects a verdict and returns the answer.
func arrive(t *testing.T, table *Table, now Time, key Key, digest Digest, want Verdict) []byte {
	t.Helper()
	got, answer, _ := table.Admit(now, key, digest, 1000)
	if got != want {
		t.Fatalf("key %s at %d ms: verdict %d, want %d", key, now, got, want)
	}
	return answer
}

func TestRequestLifecycle(t *testing.T) {
	table := New(Config{Retention: 10_000, MaxRequests: 3})
	arrive(t, table, 0, "a", 1, WriteIntent)
	arrive(t, table, 1, "a", 1, InProgress)
	if table.RecordAnswer("a", []byte("x")) != nil {
		t.Error("an answer was recorded before the intent was durable")
	}
	if !table.ConfirmIntent("a") || table.ConfirmIntent("a") {
		t.Error("want the intent to be confirmed exactly once")
	}
	arrive(t, table, 2, "a", 1, InProgress)
	if len(table.RecordAnswer("a", []byte("the answer"))) != 1 {
		t.Error("want one change when an answer is recorded")
	}
	if got := arrive(t, table, 3, "a", 1, Replay); string(got) != "the answer" {
		t.Errorf("replayed %q, want the stored answer", got)
	}
	arrive(t, table, 3, "a", 2, KeyReused)
	if table.Discard("a") != nil || table.RecordUnknown("a") != nil {
		t.Error("an answered request was discarded or its outcome became unknown")
	}
	arrive(t, table, 4, "b", 1, WriteIntent)
	table.ConfirmIntent("b")
	table.RecordUnknown("b")
	arrive(t, table, 5, "b", 1, OutcomeUnknown)
	arrive(t, table, 6, "c", 1, WriteIntent)
	arrive(t, table, 6, "d", 1, TableFull)
	if got := table.Discard("c"); len(got) != 1 || got[0].Value != nil {
		t.Errorf("changes of a discarded request: %v, want one removal", got)
	}
	arrive(t, table, 7, "c", 9, WriteIntent)
	// All entries expire except those of requests in progress.
	arrive(t, table, 20_000, "e", 1, WriteIntent)
	if table.Len() != 2 {
		t.Errorf("%d entries, want 2", table.Len())
	}
	arrive(t, table, 20_000, "c", 9, InProgress)
	arrive(t, table, 20_000, "b", 1, WriteIntent)
}

func TestBackwardClockKeepsExpiry(t *testing.T) {
	table := New(Config{Retention: 1000})
	_, _, changes := table.Admit(50_000, "a", 1, 100)
	restored := New(Config{Retention: 1000})
	if err := restored.Restore("a", changes[0].Value); err != nil {
		t.Fatal(err)
	}
	arrive(t, restored, 10, "a", 1, OutcomeUnknown) // the clock was set back by 50 s
	_, _, changes = restored.Admit(20, "b", 1, 100)
	e, err := decode("b", changes[len(changes)-1].Value)
	if err != nil || e.arrivedAt < 50_000 {
		t.Errorf("arrival after the clock was set back: %d, error %v, want at least 50000", e.arrivedAt, err)
	}
	arrive(t, restored, 51_050, "a", 1, OutcomeUnknown)
	arrive(t, restored, 51_150, "a", 1, WriteIntent)
}

func TestMalformedEntryIsOutcomeUnknown(t *testing.T) {
	table := New(Config{Retention: 1000})
	if table.Restore("a", []byte("nonsense")) == nil {
		t.Error("want an error for a malformed value from Restore")
	}
	arrive(t, table, 1, "a", 7, OutcomeUnknown)
	if _, err := Describe([]byte{1}); err == nil {
		t.Error("want an error for a malformed value from Describe")
	}
}

func TestAnswersStayWithinMaxBytes(t *testing.T) {
	table := New(Config{Retention: 100_000, MaxAnswerBytes: 1000})
	for i := range 50 {
		key := Key(fmt.Sprint(i))
		arrive(t, table, Time(i), key, 1, WriteIntent)
		table.ConfirmIntent(key)
		table.RecordAnswer(key, bytes.Repeat([]byte("x"), 100))
		if table.Bytes() > 1000 {
			t.Fatalf("%d bytes of answers, want at most 1000", table.Bytes())
		}
	}
	arrive(t, table, 60, "0", 1, OutcomeUnknown) // it has run, but its answer was evicted
	arrive(t, table, 60, "49", 1, Replay)
}
