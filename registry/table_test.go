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

// testID returns the id of a test server, which is also its address.
func testID(i int) InstanceID { return InstanceID(fmt.Sprint("i-", i)) }

func testRecord(id InstanceID, sequence Sequence, at time.Duration) Record {
	return Record{Instance: id, Service: "s", Address: string(id), Sequence: sequence, HeartbeatAt: at}
}

// newFilledTable returns a table of n servers, i-0 to i-(n-1), that have sent one heartbeat each.
func newFilledTable(n int) *Table {
	t := NewTable(testHeartbeatInterval)
	for i := range n {
		t.Merge(testRecord(testID(i), 1, 1), "")
	}
	return t
}

func everySource(string) bool { return true }

// Tables that received different heartbeats of the same servers, in any order and with duplicates, are equal once they have
// exchanged all records, and hold the highest state received for each server.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := make([]*Table, rapid.IntRange(2, 4).Draw(t, "tables"))
		for i := range tables {
			tables[i] = NewTable(testHeartbeatInterval)
		}
		highestStates := map[InstanceID]State{}
		for k := range rapid.IntRange(1, 40).Draw(t, "heartbeats") {
			id := testID(rapid.IntRange(0, 5).Draw(t, "id"))
			sequence := Sequence(rapid.IntRange(1, 9).Draw(t, "sequence"))
			in := testRecord(id, sequence, time.Duration(k)*time.Millisecond)
			in.State = rapid.SampledFrom([]State{Ready, Ready, Ready, Draining, Deregistered}).Draw(t, "state")
			highestStates[id] = max(highestStates[id], in.State)
			tables[rapid.IntRange(0, len(tables)-1).Draw(t, "table")].Merge(in, "")
		}
		for range tables {
			exchangeAll(tables)
		}
		for i, table := range tables[1:] {
			if table.Digests() != tables[0].Digests() {
				t.Fatalf("tables 0 and %d differ after the exchange of all records", i+1)
			}
		}
		for id, state := range highestStates {
			if got := tables[0].Get(id).State; got != state {
				t.Fatalf("the state of %s is %s, but %s was received", id, got, state)
			}
		}
	})
}

// exchangeAll sends all records of each table to all others.
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
		t.Fatal("a server is unresponsive although no heartbeat of any server arrives")
	}
	for i := range 8 {
		table.Merge(testRecord(testID(i), 2, now), "")
	}
	if !table.Expire(now) || table.Get("i-0").Unresponsive || !table.Get("i-9").Unresponsive {
		t.Fatal("after heartbeats of eight of ten servers: want i-0 responsive and i-9 unresponsive")
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
		t.Fatal("want the earlier incarnation at the address unresponsive and the new one responsive")
	}
	// If the superseding heartbeat was a late one of an older incarnation, the next heartbeat of the running incarnation clears
	// the flag.
	table.Merge(testRecord("i-1", 2, 12), "")
	if table.Get("i-1").Unresponsive {
		t.Fatal("a server that sends a heartbeat stays unresponsive")
	}
}

// Records of ended servers expire, regardless of the number of incarnations.
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
		t.Fatalf("%d records after %d incarnations of one server, want at most 200", table.Len(), incarnations)
	}
}

// A heartbeat-only record updates only the sequence number and the heartbeat time, and is dropped if the server is unknown.
func TestHeartbeatOnlyRecordChangesOnlyLiveness(t *testing.T) {
	table := newFilledTable(1)
	before := table.Cursor()
	table.Merge(Record{Instance: "i-0", HeartbeatOnly: true, Sequence: 5, HeartbeatAt: 7}, "b")
	table.Merge(Record{Instance: "i-9", HeartbeatOnly: true, Sequence: 5, HeartbeatAt: 7}, "b")
	r := table.Get("i-0")
	if r.Sequence != 5 || r.HeartbeatAt != 7 || r.Address != "i-0" {
		t.Errorf("record of the known server: %+v", r)
	}
	if changes := table.ChangesAfter(before); len(changes) != 0 {
		t.Errorf("%d changes, want none", len(changes))
	}
	if r := table.Get("i-9"); r != nil {
		t.Errorf("record of the unknown server: %+v, want none", r)
	}
}

// When heartbeats of all servers stop at once, the servers miss heartbeats one by one, a few at each call of Expire, because
// each sent its last heartbeat at a different time. None of them may stay unresponsive.
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
			t.Fatalf("server %d is unresponsive during an outage of all heartbeats", i)
		}
	}
}

// heartbeatsExcept merges a heartbeat of each server but the excepted ones, and calls Expire.
func heartbeatsExcept(table *Table, servers int, now time.Duration, except ...InstanceID) {
	for i := range servers {
		if id := testID(i); !slices.Contains(except, id) {
			table.Merge(testRecord(id, Sequence(now/testHeartbeatInterval)+2, now), "")
		}
	}
	table.Expire(now)
}

// A lease holder's confirmation keeps a server without heartbeats in use for confirmationTTL. It is accepted under the newest
// lease only, undoes neither a draining nor a deregistration, and does not affect servers that send heartbeats.
func TestConfirmHealthy(t *testing.T) {
	const servers, second = 8, testHeartbeatInterval
	table := newFilledTable(servers)
	older, newer := lease.Lease{FencingToken: 1, Holder: 9}, lease.Lease{FencingToken: 2, Holder: 3}

	heartbeatsExcept(table, servers, 10*second, "i-0", "i-1")
	table.Merge(Record{Instance: "i-2", State: Draining, Service: "s", Address: "i-2", Sequence: 99, HeartbeatAt: 10 * second}, "")
	if r := table.Get("i-0"); !r.Unresponsive || !r.HeartbeatMissed {
		t.Fatal("a server without heartbeats is not unresponsive or its heartbeats are not missed")
	}
	if !table.ConfirmHealthy("i-0", newer, 10*second) {
		t.Fatal("the confirmation of the lease holder is rejected")
	}
	if r := table.Get("i-0"); r.Unresponsive || !r.HeartbeatMissed {
		t.Fatal("a confirmed server is unresponsive or its heartbeats are not missed")
	}
	for name, id := range map[string]InstanceID{"draining server": "i-2", "unknown server": "i-9"} {
		if table.ConfirmHealthy(id, newer, 11*second) {
			t.Fatalf("a confirmation of a %s is accepted", name)
		}
	}
	if table.ConfirmHealthy("i-0", older, 11*second) {
		t.Fatal("a confirmation under an older lease is accepted")
	}

	heartbeatsExcept(table, servers, 14*second, "i-0", "i-1")
	if table.Get("i-0").Unresponsive || !table.Get("i-1").Unresponsive {
		t.Fatal("the confirmation expired too early, or applies to another server")
	}
	heartbeatsExcept(table, servers, 20*second, "i-0", "i-1")
	if !table.Get("i-0").Unresponsive {
		t.Fatal("the confirmation does not expire")
	}
	heartbeatsExcept(table, servers, 21*second)
	if r := table.Get("i-0"); r.Unresponsive || r.HeartbeatMissed {
		t.Fatal("a server that sends heartbeats again is unresponsive or its heartbeats are missed")
	}

	other := NewTable(testHeartbeatInterval)
	for _, r := range table.UpdatesFor(0, "", everySource) {
		other.Merge(*r, "a")
	}
	if other.Get("i-0").Lease != newer {
		t.Fatal("the lease is not part of the records for other controllers")
	}
}

// A replica that has restarted lacks also the records that it sent before. Without them it would take a late heartbeat of a server that
// signed off with it for that of a new server.
func TestRestartedReplicaIsSentItsOwnRecords(t *testing.T) {
	table := NewTable(testHeartbeatInterval)
	table.Merge(Record{Instance: "a", Service: "s", Address: "x", State: Deregistered, Sequence: 1}, "peer")
	table.Merge(Record{Instance: "b", Service: "s", Address: "y", Sequence: 1}, "other")
	none := func(string) bool { return false }
	if sent := table.UpdatesFor(0, "peer", none); len(sent) != 2 {
		t.Errorf("%d records are sent to a replica without any, want 2", len(sent))
	}
	if sent := table.UpdatesFor(1, "peer", none); len(sent) != 1 || sent[0].Instance != "b" {
		t.Errorf("%d records are sent to a replica that has its own, want that of another replica", len(sent))
	}
	table.Merge(Record{Instance: "a", State: Deregistered, Sequence: 2}, "peer")
	if sent := table.UpdatesFor(2, "peer", none); len(sent) != 0 {
		t.Errorf("%d records are sent back to the replica from which they came", len(sent))
	}
}
