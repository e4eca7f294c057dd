package registry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oxbowspan/lease"
)

const testHeartbeatInterval = time.Second

// Holders that heard different calls of the same servers, in whatever order and however often, come to the same, once each
// has told the others; draining and gone never go back.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 4).Draw(t, "holders")
		tables := make([]*Table, n)
		for i := range tables {
			tables[i] = NewTable(testHeartbeatInterval)
		}
		worst := map[InstanceID]State{}
		for k := range rapid.IntRange(1, 40).Draw(t, "calls") {
			id := InstanceID(fmt.Sprint("i-", rapid.IntRange(0, 5).Draw(t, "id")))
			state := State(rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "state"))
			worst[id] = max(worst[id], state)
			in := Record{Instance: id, Service: "s", Address: string(id), State: state, Sequence: Sequence(rapid.IntRange(1, 9).Draw(t, "seq")),
				HeartbeatAt: time.Duration(k) * time.Millisecond}
			tables[rapid.IntRange(0, n-1).Draw(t, "at")].Merge(in, "")
		}
		for range n {
			for i, from := range tables {
				for j, to := range tables {
					if i == j {
						continue
					}
					for _, r := range from.UpdatesFor(0, "", func(string) bool { return true }) {
						to.Merge(*r, fmt.Sprint(i))
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

func newFilledTable(n int) *Table {
	t := NewTable(testHeartbeatInterval)
	for i := range n {
		id := InstanceID(fmt.Sprint("i-", i))
		t.Merge(Record{Instance: id, Service: "s", Address: string(id), Sequence: 1, HeartbeatAt: 1}, "")
	}
	return t
}

func TestExpireDistinguishesOutageFromUnresponsiveServers(t *testing.T) {
	table := newFilledTable(10)
	now := 10 * testHeartbeatInterval
	if table.Expire(now) || table.Get("i-0").Unresponsive {
		t.Fatal("all servers became silent at once: it is the core that hears nobody")
	}
	for i := range 8 {
		table.Merge(Record{Instance: InstanceID(fmt.Sprint("i-", i)), Service: "s", Address: fmt.Sprint("i-", i), Sequence: 2, HeartbeatAt: now}, "")
	}
	if !table.Expire(now) || table.Get("i-0").Unresponsive || !table.Get("i-9").Unresponsive {
		t.Fatal("two of ten that do not call are not found silent")
	}
	table.Merge(Record{Instance: "i-9", Service: "s", Address: "i-9", Sequence: 2, HeartbeatAt: now}, "")
	if table.Get("i-9").Unresponsive {
		t.Fatal("a call does not end silence")
	}
}

func TestLateHeartbeatDoesNotUndoDeregistration(t *testing.T) {
	table := newFilledTable(2)
	table.Deregister("i-0", 2)
	table.Merge(Record{Instance: "i-0", Service: "s", Address: "i-0", Sequence: 9, HeartbeatAt: 3}, "")
	if table.Get("i-0").State != Deregistered {
		t.Fatal("a call that came late brought back a server that signed off")
	}
	// One that nobody knew: its calls come behind its sign-off.
	table.Deregister("i-7", 2)
	table.Merge(Record{Instance: "i-7", Service: "s", Address: "x", Sequence: 3, HeartbeatAt: 3}, "")
	if table.Get("i-7").State != Deregistered {
		t.Fatal("a call behind a sign-off made a server ready")
	}
}

func TestNewInstanceSupersedesAddress(t *testing.T) {
	table := newFilledTable(3)
	table.Merge(Record{Instance: "i-new", Service: "other", Address: "i-1", Sequence: 1, HeartbeatAt: 9}, "")
	if !table.Get("i-1").Unresponsive || table.Get("i-new").Unresponsive {
		t.Fatal("the life before at an address is still asked")
	}
	// Was that the late word of an older life, the present one's next call brings it back.
	table.Merge(Record{Instance: "i-1", Service: "s", Address: "i-1", Sequence: 2, HeartbeatAt: 12}, "")
	if table.Get("i-1").Unresponsive {
		t.Fatal("a server that calls stays silent")
	}
}

// What is over is forgotten, however many lives there were.
func TestTableSizeIsBounded(t *testing.T) {
	table := newFilledTable(4)
	now := time.Duration(0)
	for i := range 2000 {
		now += testHeartbeatInterval
		id := InstanceID(fmt.Sprint("life-", i))
		table.Merge(Record{Instance: id, Service: "s", Address: "a", Sequence: 1, HeartbeatAt: now}, "")
		for k := range 4 {
			name := InstanceID(fmt.Sprint("i-", k))
			table.Merge(Record{Instance: name, Service: "s", Address: string(name), Sequence: Sequence(i + 2), HeartbeatAt: now}, "")
		}
		if i%3 == 0 {
			table.Deregister(id, now)
		}
		table.Expire(now)
	}
	if table.Len() > 200 {
		t.Fatalf("%d servers are held after 2000 lives of one", table.Len())
	}
}

// A refresh tells of nothing but life; of a server that is not known it is dropped.
func TestHeartbeatOnlyRecordChangesOnlyLiveness(t *testing.T) {
	table := newFilledTable(1)
	at := table.Cursor()
	table.Merge(Record{Instance: "i-0", HeartbeatOnly: true, Sequence: 5, HeartbeatAt: 7}, "b")
	table.Merge(Record{Instance: "i-9", HeartbeatOnly: true, Sequence: 5, HeartbeatAt: 7}, "b")
	r := table.Get("i-0")
	if r.Sequence != 5 || r.HeartbeatAt != 7 || r.Address != "i-0" || len(table.ChangesAfter(at)) != 0 || table.Get("i-9") != nil {
		t.Fatalf("a refresh made %+v, and of an unknown one %v", r, table.Get("i-9"))
	}
}

// No call reaches the core any more: as each server called at its own time, they fall unheard one by one, a few at each look.
func TestExpireDuringGradualOutage(t *testing.T) {
	table := NewTable(testHeartbeatInterval)
	for i := range 12 {
		id := InstanceID(fmt.Sprint("i-", i))
		table.Merge(Record{Instance: id, Service: "s", Address: string(id), Sequence: 1, HeartbeatAt: time.Duration(i) * testHeartbeatInterval / 12}, "")
	}
	for now := testHeartbeatInterval; now < 20*testHeartbeatInterval; now += testHeartbeatInterval / 3 {
		table.Expire(now)
	}
	for i := range 12 {
		if table.Get(InstanceID(fmt.Sprint("i-", i))).Unresponsive {
			t.Fatalf("server %d is held for silent, though nobody can call", i)
		}
	}
}

// What a duty's holder sees keeps an unheard server in service for a while, under the newest claim only; it undoes neither a
// draining nor a sign-off, and says nothing of servers that call.
func TestConfirmHealthy(t *testing.T) {
	table := newFilledTable(8)
	old, new := lease.Lease{FencingToken: 1, Holder: 9}, lease.Lease{FencingToken: 2, Holder: 3}
	calls := func(now time.Duration, but ...InstanceID) {
		for i := range 8 {
			if id := InstanceID(fmt.Sprint("i-", i)); !slices.Contains(but, id) {
				table.Merge(Record{Instance: id, Service: "s", Address: string(id), Sequence: Sequence(now/testHeartbeatInterval) + 2, HeartbeatAt: now}, "")
			}
		}
		table.Expire(now)
	}
	calls(10*testHeartbeatInterval, "i-0", "i-1")
	table.Merge(Record{Instance: "i-2", State: Draining, Service: "s", Address: "i-2", Sequence: 99, HeartbeatAt: 10 * testHeartbeatInterval}, "")
	if !table.Get("i-0").Unresponsive || !table.Get("i-0").HeartbeatMissed {
		t.Fatal("a server that does not call is not silent")
	}
	if !table.ConfirmHealthy("i-0", new, 10*testHeartbeatInterval) || table.Get("i-0").Unresponsive || !table.Get("i-0").HeartbeatMissed {
		t.Fatal("a server seen well by the holder of its duty stays out")
	}
	if table.ConfirmHealthy("i-0", old, 11*testHeartbeatInterval) || table.ConfirmHealthy("i-2", new, 11*testHeartbeatInterval) || table.ConfirmHealthy("i-9", new, 11*testHeartbeatInterval) {
		t.Fatal("an older claim, or the word of one that leaves or is not known, was taken")
	}
	calls(14*testHeartbeatInterval, "i-0", "i-1")
	if table.Get("i-0").Unresponsive || !table.Get("i-1").Unresponsive {
		t.Fatal("what was seen does not last, or lasts for others")
	}
	calls(20*testHeartbeatInterval, "i-0", "i-1")
	if !table.Get("i-0").Unresponsive {
		t.Fatal("what was seen lasts for ever")
	}
	calls(21 * testHeartbeatInterval)
	if r := table.Get("i-0"); r.Unresponsive || r.HeartbeatMissed {
		t.Fatal("a server that calls again is not heard")
	}
	// Another holder of the reports comes to the same.
	other := NewTable(testHeartbeatInterval)
	for _, r := range table.UpdatesFor(0, "", func(string) bool { return true }) {
		other.Merge(*r, "a")
	}
	if other.Get("i-0").Lease != new {
		t.Fatal("the claim is not told on")
	}
}
