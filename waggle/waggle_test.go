package waggle

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oxbowspan/kin"
)

const beat = time.Second

// Holders that heard different calls of the same servers, in whatever order and however often, come to the same, once each
// has told the others; draining and gone never go back.
func TestReportsMergeToTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 4).Draw(t, "holders")
		tables := make([]*Table, n)
		for i := range tables {
			tables[i] = NewTable(beat)
		}
		worst := map[InstanceID]State{}
		for k := range rapid.IntRange(1, 40).Draw(t, "calls") {
			id := InstanceID(fmt.Sprint("i-", rapid.IntRange(0, 5).Draw(t, "id")))
			state := State(rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "state"))
			worst[id] = max(worst[id], state)
			in := Report{Instance: id, Service: "s", Address: string(id), State: state, Sequence: Sequence(rapid.IntRange(1, 9).Draw(t, "seq")),
				HeardAt: time.Duration(k) * time.Millisecond}
			tables[rapid.IntRange(0, n-1).Draw(t, "at")].Take(in, "")
		}
		for range n {
			for i, from := range tables {
				for j, to := range tables {
					if i == j {
						continue
					}
					for _, r := range from.Heard(0, "", func(string) bool { return true }) {
						to.Take(*r, fmt.Sprint(i))
					}
				}
			}
		}
		for _, o := range tables[1:] {
			if o.Digests() != tables[0].Digests() {
				t.Fatalf("two holders differ after they told each other everything")
			}
		}
		for id, state := range worst {
			if got := tables[0].Get(id).State; got != state {
				t.Fatalf("%s is %d, and was %d once", id, got, state)
			}
		}
	})
}

func fill(n int) *Table {
	t := NewTable(beat)
	for i := range n {
		id := InstanceID(fmt.Sprint("i-", i))
		t.Take(Report{Instance: id, Service: "s", Address: string(id), Sequence: 1, HeardAt: 1}, "")
	}
	return t
}

func TestSilenceIsToldFromACutOffCore(t *testing.T) {
	table := fill(10)
	now := 10 * beat
	if table.Tidy(now) || table.Get("i-0").Silent {
		t.Fatal("all servers became silent at once: it is the core that hears nobody")
	}
	for i := range 8 {
		table.Take(Report{Instance: InstanceID(fmt.Sprint("i-", i)), Service: "s", Address: fmt.Sprint("i-", i), Sequence: 2, HeardAt: now}, "")
	}
	if !table.Tidy(now) || table.Get("i-0").Silent || !table.Get("i-9").Silent {
		t.Fatal("two of ten that do not call are not found silent")
	}
	table.Take(Report{Instance: "i-9", Service: "s", Address: "i-9", Sequence: 2, HeardAt: now}, "")
	if table.Get("i-9").Silent {
		t.Fatal("a call does not end silence")
	}
}

func TestALateCallDoesNotUndoASignOff(t *testing.T) {
	table := fill(2)
	table.SignOff("i-0", 2)
	table.Take(Report{Instance: "i-0", Service: "s", Address: "i-0", Sequence: 9, HeardAt: 3}, "")
	if table.Get("i-0").State != Gone {
		t.Fatal("a call that came late brought back a server that signed off")
	}
	// One that nobody knew: its calls come behind its sign-off.
	table.SignOff("i-7", 2)
	table.Take(Report{Instance: "i-7", Service: "s", Address: "x", Sequence: 3, HeardAt: 3}, "")
	if table.Get("i-7").State != Gone {
		t.Fatal("a call behind a sign-off made a server ready")
	}
}

func TestAnAddressTakenOverSilencesTheLifeBefore(t *testing.T) {
	table := fill(3)
	table.Take(Report{Instance: "i-new", Service: "other", Address: "i-1", Sequence: 1, HeardAt: 9}, "")
	if !table.Get("i-1").Silent || table.Get("i-new").Silent {
		t.Fatal("the life before at an address is still asked")
	}
	// Was that the late word of an older life, the present one's next call brings it back.
	table.Take(Report{Instance: "i-1", Service: "s", Address: "i-1", Sequence: 2, HeardAt: 12}, "")
	if table.Get("i-1").Silent {
		t.Fatal("a server that calls stays silent")
	}
}

// What is over is forgotten, however many lives there were.
func TestTheTableStaysBounded(t *testing.T) {
	table := fill(4)
	now := time.Duration(0)
	for i := range 2000 {
		now += beat
		id := InstanceID(fmt.Sprint("life-", i))
		table.Take(Report{Instance: id, Service: "s", Address: "a", Sequence: 1, HeardAt: now}, "")
		for k := range 4 {
			name := InstanceID(fmt.Sprint("i-", k))
			table.Take(Report{Instance: name, Service: "s", Address: string(name), Sequence: Sequence(i + 2), HeardAt: now}, "")
		}
		if i%3 == 0 {
			table.SignOff(id, now)
		}
		table.Tidy(now)
	}
	if table.Len() > 200 {
		t.Fatalf("%d servers are held after 2000 lives of one", table.Len())
	}
}

// A refresh tells of nothing but life; of a server that is not known it is dropped.
func TestARefreshChangesNothingElse(t *testing.T) {
	table := fill(1)
	at := table.Cursor()
	table.Take(Report{Instance: "i-0", Refresh: true, Sequence: 5, HeardAt: 7}, "b")
	table.Take(Report{Instance: "i-9", Refresh: true, Sequence: 5, HeardAt: 7}, "b")
	r := table.Get("i-0")
	if r.Sequence != 5 || r.HeardAt != 7 || r.Address != "i-0" || len(table.Changed(at)) != 0 || table.Get("i-9") != nil {
		t.Fatalf("a refresh made %+v, and of an unknown one %v", r, table.Get("i-9"))
	}
}

// No call reaches the core any more: as each server called at its own time, they fall unheard one by one, a few at each look.
func TestThoseCutOffFallUnheardOneByOne(t *testing.T) {
	table := NewTable(beat)
	for i := range 12 {
		id := InstanceID(fmt.Sprint("i-", i))
		table.Take(Report{Instance: id, Service: "s", Address: string(id), Sequence: 1, HeardAt: time.Duration(i) * beat / 12}, "")
	}
	for now := beat; now < 20*beat; now += beat / 3 {
		table.Tidy(now)
	}
	for i := range 12 {
		if table.Get(InstanceID(fmt.Sprint("i-", i))).Silent {
			t.Fatalf("server %d is held for silent, though nobody can call", i)
		}
	}
}

// What a duty's holder sees keeps an unheard server in service for a while, under the newest claim only; it undoes neither a
// draining nor a sign-off, and says nothing of servers that call.
func TestTheWordOfADutysHolder(t *testing.T) {
	table := fill(8)
	old, new := kin.Claim{Fence: 1, Holder: 9}, kin.Claim{Fence: 2, Holder: 3}
	calls := func(now time.Duration, but ...InstanceID) {
		for i := range 8 {
			if id := InstanceID(fmt.Sprint("i-", i)); !slices.Contains(but, id) {
				table.Take(Report{Instance: id, Service: "s", Address: string(id), Sequence: Sequence(now/beat) + 2, HeardAt: now}, "")
			}
		}
		table.Tidy(now)
	}
	calls(10*beat, "i-0", "i-1")
	table.Take(Report{Instance: "i-2", State: Draining, Service: "s", Address: "i-2", Sequence: 99, HeardAt: 10 * beat}, "")
	if !table.Get("i-0").Silent || !table.Get("i-0").Unheard {
		t.Fatal("a server that does not call is not silent")
	}
	if !table.Witness("i-0", new, 10*beat) || table.Get("i-0").Silent || !table.Get("i-0").Unheard {
		t.Fatal("a server seen well by the holder of its duty stays out")
	}
	if table.Witness("i-0", old, 11*beat) || table.Witness("i-2", new, 11*beat) || table.Witness("i-9", new, 11*beat) {
		t.Fatal("an older claim, or the word of one that leaves or is not known, was taken")
	}
	calls(14*beat, "i-0", "i-1")
	if table.Get("i-0").Silent || !table.Get("i-1").Silent {
		t.Fatal("what was seen does not last, or lasts for others")
	}
	calls(20*beat, "i-0", "i-1")
	if !table.Get("i-0").Silent {
		t.Fatal("what was seen lasts for ever")
	}
	calls(21 * beat)
	if r := table.Get("i-0"); r.Silent || r.Unheard {
		t.Fatal("a server that calls again is not heard")
	}
	// Another holder of the reports comes to the same.
	other := NewTable(beat)
	for _, r := range table.Heard(0, "", func(string) bool { return true }) {
		other.Take(*r, "a")
	}
	if other.Get("i-0").Claim != new {
		t.Fatal("the claim is not told on")
	}
}
