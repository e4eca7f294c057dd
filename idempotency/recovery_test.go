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

func TestTheLifeOfASearch(t *testing.T) {
	x := New(Figures{Keep: 10_000, Most: 3})
	arrive(t, x, 0, "a", 1, Write)
	arrive(t, x, 1, "a", 1, Open)
	if x.Answered("a", []byte("x")) != nil {
		t.Error("answered before its intent was written")
	}
	if !x.Durable("a") || x.Durable("a") {
		t.Error("durable once")
	}
	arrive(t, x, 2, "a", 1, Open)
	if len(x.Answered("a", []byte("the answer"))) != 1 {
		t.Error("an answer is to be written")
	}
	if got := arrive(t, x, 3, "a", 1, Replay); string(got) != "the answer" {
		t.Errorf("replayed %q", got)
	}
	arrive(t, x, 3, "a", 2, Other)
	if x.NeverRan("a") != nil || x.Unknown("a") != nil {
		t.Error("an answered search changes no more")
	}
	arrive(t, x, 4, "b", 1, Write)
	x.Durable("b")
	x.Unknown("b")
	arrive(t, x, 5, "b", 1, Doubtful)
	arrive(t, x, 6, "c", 1, Write)
	arrive(t, x, 6, "d", 1, Full)
	if got := x.NeverRan("c"); len(got) != 1 || got[0].Value != nil {
		t.Errorf("never ran: %v", got)
	}
	arrive(t, x, 7, "c", 9, Write)
	// All but what is under way goes with time.
	arrive(t, x, 20_000, "e", 1, Write)
	if x.Len() != 2 {
		t.Errorf("%d are held", x.Len())
	}
	arrive(t, x, 20_000, "c", 9, Open)
	arrive(t, x, 20_000, "b", 1, Write)
}

func TestAClockThatGoesBackMakesNothingYounger(t *testing.T) {
	x := New(Figures{Keep: 1000})
	_, _, changes := x.Arrive(50_000, "a", 1, 100)
	y := New(Figures{Keep: 1000})
	if err := y.Load("a", changes[0].Value); err != nil {
		t.Fatal(err)
	}
	arrive(t, y, 10, "a", 1, Doubtful) // the clock is 50 s back
	_, _, changes = y.Arrive(20, "b", 1, 100)
	e, err := decode("b", changes[len(changes)-1].Value)
	if err != nil || e.at < 50_000 {
		t.Errorf("what comes then is noted at %d, %v", e.at, err)
	}
	arrive(t, y, 51_050, "a", 1, Doubtful)
	arrive(t, y, 51_150, "a", 1, Write)
}

func TestWhatCannotBeReadIsDoubtful(t *testing.T) {
	x := New(Figures{Keep: 1000})
	if x.Load("a", []byte("nonsense")) == nil {
		t.Error("nonsense was read")
	}
	arrive(t, x, 1, "a", 7, Doubtful)
	if _, err := Describe([]byte{1}); err == nil {
		t.Error("described")
	}
}

func TestAnswersKeepToTheirBytes(t *testing.T) {
	x := New(Figures{Keep: 100_000, MostBytes: 1000})
	for i := range 50 {
		key := Key(fmt.Sprint(i))
		arrive(t, x, Time(i), key, 1, Write)
		x.Durable(key)
		x.Answered(key, bytes.Repeat([]byte("x"), 100))
		if x.Bytes() > 1000 {
			t.Fatalf("%d bytes are held", x.Bytes())
		}
	}
	arrive(t, x, 60, "0", 1, Doubtful) // it ran: never sent again, though its answer is gone
	arrive(t, x, 60, "49", 1, Replay)
}

func TestWhatIsWrittenIsReadAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &entry{key: "k", stage: stage(rapid.IntRange(int(intended), int(doubtful)).Draw(t, "stage")), digest: Digest(rapid.Uint64().Draw(t, "digest")),
			at: Time(rapid.Int64().Draw(t, "at")), until: Time(rapid.Int64().Draw(t, "until"))}
		if e.stage == answered && rapid.Bool().Draw(t, "held") {
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
		if e.stage == intended {
			e.stage = open
		}
		if got.stage != e.stage || got.digest != e.digest || got.at != e.at || got.until != e.until || (got.answer == nil) != (e.answer == nil) || !bytes.Equal(got.answer, e.answer) {
			t.Fatalf("%+v, was %+v", got, e)
		}
		if _, err := Describe(b); err != nil {
			t.Fatal(err)
		}
	})
}

func TestASlowDiskTakesNothingNewUntilItAnswers(t *testing.T) {
	d := Disk{Slow: 100}
	for i := range Time(500) {
		d.Begins(i)
		if i%2 == 0 {
			d.Ends()
		}
	}
	if d.Waiting() != 250 || d.Takes(500) {
		t.Errorf("%d wait, the oldest for 250 ms: takes %t", d.Waiting(), d.Takes(500))
	}
	for range 200 {
		d.Ends()
	}
	if !d.Takes(500) || d.Takes(551) {
		t.Error("the oldest is of 450")
	}
	for range 60 {
		d.Ends()
	}
	if d.Waiting() != 0 || !d.Takes(10_000) {
		t.Error("nothing waits")
	}
}
