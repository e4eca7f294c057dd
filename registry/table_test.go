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

// testID returns the id, and the address, of a test's server.
func testID(i int) InstanceID { return InstanceID(fmt.Sprint("i-", i)) }

func testRecord(id InstanceID, sequence Sequence, at time.Duration) Record {
	return Record{Instance: id, Service: "s", Address: string(id), Sequence: sequence, HeartbeatAt: at}
}

// newFilledTable returns a table with n servers, i-0 and so on, that sent one heartbeat.
func newFilledTable(n int) *Table {
	t := NewTable(testHeartbeatInterval)
	for i := range n {
		t.Merge(testRecord(testID(i), 1, 1), "")
	}
	return t
}

func everySource(string) bool { return true }

// Tables that received different heartbeats of the same servers, in whatever order and however often, are equal once each has
// sent the others its records. States never go back.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := make([]*Table, rapid.IntRange(2, 4).Draw(t, "tables"))
		for i := range tables {
			tables[i] = NewTable(testHeartbeatInterval)
		}
		furthest := map[InstanceID]State{}
		for k := range rapid.IntRange(1, 40).Draw(t, "heartbeats") {
			id := testID(rapid.IntRange(0, 5).Draw(t, "id"))
			sequence := Sequence(rapid.IntRange(1, 9).Draw(t, "sequence"))
			in := testRecord(id, sequence, time.Duration(k)*time.Millisecond)
			in.State = rapid.SampledFrom([]State{Ready, Ready, Ready, Draining, Deregistered}).Draw(t, "state")
			furthest[id] = max(furthest[id], in.State)
			tables[rapid.IntRange(0, len(tables)-1).Draw(t, "table")].Merge(in, "")
		}
		for range tables {
			exchangeAll(tables)
		}
		for i, table := range tables[1:] {
			if table.Digests() != tables[0].Digests() {
				t.Fatalf("tables 0 and %d differ after they exchanged all records", i+1)
			}
		}
		for id, state := range furthest {
			if got := tables[0].Get(id).State; got != state {
				t.Fatalf("%s is %s, and was %s once", id, got, state)
			}
		}
	})
}

// exchangeAll has each table send the others all its records.
func exchangeAll(tables []*Table) {
	for i, from := range tables {
		for j, to := range tables {
			if i == j {
				continue
			}
			for _, r := range from.UpdatesFor(0, "", everySource) {
				to.Merge(*r, fmt.Sprint(i))
			}
		}
	}
}

func TestExpireDistinguishesOutageFromUnresponsiveServers(t *testing.T) {
	const now = 10 * testHeartbeatInterval
	table := newFilledTable(10)
	if table.Expire(now) || table.Get("i-0").Unresponsive {
		t.Fatal("all servers became unresponsive at once: it is the controller that receives nothing")
	}
	for i := range 8 {
		table.Merge(testRecord(testID(i), 2, now), "")
	}
	if !table.Expire(now) || table.Get("i-0").Unresponsive || !table.Get("i-9").Unresponsive {
		t.Fatal("two of ten without heartbeats are not unresponsive")
	}
	table.Merge(testRecord("i-9", 2, now), "")
	if table.Get("i-9").Unresponsive {
		t.Fatal("a server that sends a heartbeat stays unresponsive")
	}
}

func TestLateHeartbeatDoesNotUndoDeregistration(t *testing.T) {
	table := newFilledTable(2)
	for name, id := range map[string]InstanceID{"known server": "i-0", "unknown server": "i-7"} {
		t.Run(name, func(t *testing.T) {
			table.Deregister(id, 2)
			table.Merge(testRecord(id, 9, 3), "")
			if got := table.Get(id).State; got != Deregistered {
				t.Fatalf("after a late heartbeat its state is %s", got)
			}
		})
	}
}

func TestNewInstanceSupersedesAddress(t *testing.T) {
	table := newFilledTable(3)
	table.Merge(Record{Instance: "i-new", Service: "other", Address: "i-1", Sequence: 1, HeartbeatAt: 9}, "")
	if !table.Get("i-1").Unresponsive || table.Get("i-new").Unresponsive {
		t.Fatal("the earlier incarnation at the address is still in use")
	}
	// Had that been the late heartbeat of an older incarnation, the next one of the present incarnation would show it.
	table.Merge(testRecord("i-1", 2, 12), "")
	if table.Get("i-1").Unresponsive {
		t.Fatal("a server that sends a heartbeat stays unresponsive")
	}
}

// Servers that are over are forgotten, however many incarnations there were.
func TestTableSizeIsBounded(t *testing.T) {
	const running, incarnations = 4, 2000
	table := newFilledTable(running)
	now := time.Duration(0)
	for i := range incarnations {
		now += testHeartbeatInterval
		id := InstanceID(fmt.Sprint("incarnation-", i))
		table.Merge(Record{Instance: id, Service: "s", Address: "a", Sequence: 1, HeartbeatAt: now}, "")
		for k := range running {
			table.Merge(testRecord(testID(k), Sequence(i+2), now), "")
		}
		if i%3 == 0 {
			table.Deregister(id, now)
		}
		table.Expire(now)
	}
	if table.Len() > 200 {
		t.Fatalf("%d records after %d incarnations of one server", table.Len(), incarnations)
	}
}

// A record of a heartbeat alone changes nothing else, and is dropped where the server is not known.
func TestHeartbeatOnlyRecordChangesOnlyLiveness(t *testing.T) {
	table := newFilledTable(1)
	before := table.Cursor()
	table.Merge(Record{Instance: "i-0", HeartbeatOnly: true, Sequence: 5, HeartbeatAt: 7}, "b")
	table.Merge(Record{Instance: "i-9", HeartbeatOnly: true, Sequence: 5, HeartbeatAt: 7}, "b")
	r := table.Get("i-0")
	if r.Sequence != 5 || r.HeartbeatAt != 7 || r.Address != "i-0" {
		t.Errorf("the known server is %+v", r)
	}
	if changes := table.ChangesAfter(before); len(changes) != 0 {
		t.Errorf("%d changes", len(changes))
	}
	if r := table.Get("i-9"); r != nil {
		t.Errorf("the unknown server is %+v", r)
	}
}

// No heartbeat arrives any more. As each server sent its last at its own time, they are missed one by one, a few at each call
// of Expire.
func TestExpireDuringGradualOutage(t *testing.T) {
	const servers = 12
	table := NewTable(testHeartbeatInterval)
	for i := range servers {
		table.Merge(testRecord(testID(i), 1, time.Duration(i)*testHeartbeatInterval/servers), "")
	}
	for now := testHeartbeatInterval; now < 20*testHeartbeatInterval; now += testHeartbeatInterval / 3 {
		table.Expire(now)
	}
	for i := range servers {
		if table.Get(testID(i)).Unresponsive {
			t.Fatalf("server %d is unresponsive, though none can send heartbeats", i)
		}
	}
}

// heartbeatsExcept merges a heartbeat of each of a number of servers but some, and expires.
func heartbeatsExcept(table *Table, servers int, now time.Duration, except ...InstanceID) {
	for i := range servers {
		if id := testID(i); !slices.Contains(except, id) {
			table.Merge(testRecord(id, Sequence(now/testHeartbeatInterval)+2, now), "")
		}
	}
	table.Expire(now)
}

// What a lease holder sees keeps a server without heartbeats in service for a while, under the newest lease only. It undoes
// neither a draining nor a deregistration, and says nothing of servers that send heartbeats.
func TestConfirmHealthy(t *testing.T) {
	const servers, second = 8, testHeartbeatInterval
	table := newFilledTable(servers)
	older, newer := lease.Lease{FencingToken: 1, Holder: 9}, lease.Lease{FencingToken: 2, Holder: 3}

	heartbeatsExcept(table, servers, 10*second, "i-0", "i-1")
	table.Merge(Record{Instance: "i-2", State: Draining, Service: "s", Address: "i-2", Sequence: 99, HeartbeatAt: 10 * second}, "")
	if r := table.Get("i-0"); !r.Unresponsive || !r.HeartbeatMissed {
		t.Fatal("a server without heartbeats is not unresponsive")
	}
	if !table.ConfirmHealthy("i-0", newer, 10*second) {
		t.Fatal("the statement of the lease holder is not taken")
	}
	if r := table.Get("i-0"); r.Unresponsive || !r.HeartbeatMissed {
		t.Fatal("a server that the lease holder saw healthy stays out of service")
	}
	for name, id := range map[string]InstanceID{"draining server": "i-2", "unknown server": "i-9"} {
		if table.ConfirmHealthy(id, newer, 11*second) {
			t.Fatalf("a statement about a %s is taken", name)
		}
	}
	if table.ConfirmHealthy("i-0", older, 11*second) {
		t.Fatal("a statement under an older lease is taken")
	}

	heartbeatsExcept(table, servers, 14*second, "i-0", "i-1")
	if table.Get("i-0").Unresponsive || !table.Get("i-1").Unresponsive {
		t.Fatal("the statement does not last, or counts for another server")
	}
	heartbeatsExcept(table, servers, 20*second, "i-0", "i-1")
	if !table.Get("i-0").Unresponsive {
		t.Fatal("the statement does not expire")
	}
	heartbeatsExcept(table, servers, 21*second)
	if r := table.Get("i-0"); r.Unresponsive || r.HeartbeatMissed {
		t.Fatal("a server that sends heartbeats again is not in service")
	}

	other := NewTable(testHeartbeatInterval)
	for _, r := range table.UpdatesFor(0, "", everySource) {
		other.Merge(*r, "a")
	}
	if other.Get("i-0").Lease != newer {
		t.Fatal("the lease is not sent to other controllers")
	}
}
