package idempotency

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"
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
		t.Error("answered before its intent was written")
	}
	if !x.ConfirmIntent("a") || x.ConfirmIntent("a") {
		t.Error("durable once")
	}
	arrive(t, x, 2, "a", 1, InProgress)
	if len(x.RecordAnswer("a", []byte("the answer"))) != 1 {
		t.Error("an answer is to be written")
	}
	if got := arrive(t, x, 3, "a", 1, Replay); string(got) != "the answer" {
		t.Errorf("replayed %q", got)
	}
	arrive(t, x, 3, "a", 2, KeyReused)
	if x.Discard("a") != nil || x.RecordUnknown("a") != nil {
		t.Error("an answered search changes no more")
	}
	arrive(t, x, 4, "b", 1, WriteIntent)
	x.ConfirmIntent("b")
	x.RecordUnknown("b")
	arrive(t, x, 5, "b", 1, OutcomeUnknown)
	arrive(t, x, 6, "c", 1, WriteIntent)
	arrive(t, x, 6, "d", 1, TableFull)
	if got := x.Discard("c"); len(got) != 1 || got[0].Value != nil {
		t.Errorf("never ran: %v", got)
	}
	arrive(t, x, 7, "c", 9, WriteIntent)
	// All but what is under way goes with time.
	arrive(t, x, 20_000, "e", 1, WriteIntent)
	if x.Len() != 2 {
		t.Errorf("%d are held", x.Len())
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
	arrive(t, y, 10, "a", 1, OutcomeUnknown) // the clock is 50 s back
	_, _, changes = y.Arrive(20, "b", 1, 100)
	e, err := decode("b", changes[len(changes)-1].Value)
	if err != nil || e.arrivedAt < 50_000 {
		t.Errorf("what comes then is noted at %d, %v", e.arrivedAt, err)
	}
	arrive(t, y, 51_050, "a", 1, OutcomeUnknown)
	arrive(t, y, 51_150, "a", 1, WriteIntent)
}

func TestUnreadableEntryIsOutcomeUnknown(t *testing.T) {
	x := New(Config{Retention: 1000})
	if x.Restore("a", []byte("nonsense")) == nil {
		t.Error("nonsense was read")
	}
	arrive(t, x, 1, "a", 7, OutcomeUnknown)
	if _, err := Describe([]byte{1}); err == nil {
		t.Error("described")
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
			t.Fatalf("%d bytes are held", x.Bytes())
		}
	}
	arrive(t, x, 60, "0", 1, OutcomeUnknown) // it ran: never sent again, though its answer is gone
	arrive(t, x, 60, "49", 1, Replay)
}

func TestEntryRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &entry{key: "k", stage: stage(rapid.IntRange(int(stageIntended), int(stageUnknown)).Draw(t, "stage")), digest: Digest(rapid.Uint64().Draw(t, "digest")),
			arrivedAt: Time(rapid.Int64().Draw(t, "at")), expiresAt: Time(rapid.Int64().Draw(t, "until"))}
		if e.stage == stageAnswered && rapid.Bool().Draw(t, "held") {
			e.answer = rapid.SliceOf(rapid.Byte()).Draw(t, "answer")
			if e.answer == nil {
				e.answer = []byte{}
			}
		}
		b := e.encode()
		got, err := decode("k", b)
		if err != nil {
			t.Fatal(err)
		}
		if e.stage == stageIntended {
			e.stage = stageOpen
		}
		if got.stage != e.stage || got.digest != e.digest || got.arrivedAt != e.arrivedAt || got.expiresAt != e.expiresAt || (got.answer == nil) != (e.answer == nil) || !bytes.Equal(got.answer, e.answer) {
			t.Fatalf("%+v, was %+v", got, e)
		}
		if _, err := Describe(b); err != nil {
			t.Fatal(err)
		}
	})
}

func TestDiskGuardRejectsWhileWritesAreLate(t *testing.T) {
	d := DiskGuard{SlowAfter: 100}
	for i := range Time(500) {
		d.Begin(i)
		if i%2 == 0 {
			d.End()
		}
	}
	if d.Pending() != 250 || d.Available(500) {
		t.Errorf("%d wait, the oldest for 250 ms: takes %t", d.Pending(), d.Available(500))
	}
	for range 200 {
		d.End()
	}
	if !d.Available(500) || d.Available(551) {
		t.Error("the oldest is of 450")
	}
	for range 60 {
		d.End()
	}
	if d.Pending() != 0 || !d.Available(10_000) {
		t.Error("nothing waits")
	}
}
