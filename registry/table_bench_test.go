package registry

import (
	"fmt"
	"testing"
	"time"
)

// What a holder of reports spends, by number of servers, for docs/CAPACITY.md:
//
//	go test -run xxx -bench Table -benchmem ./waggle

const benchHeartbeatInterval = 1200 * time.Millisecond

var benchSizes = []int{1000, 10_000, 30_000, 96_000}

// benchTable is a table of so many servers that were all heard a moment ago. It is filled without Take, whose cost grows with
// the square of their number.
func benchTable(servers int) (*Table, []Record, time.Duration) {
	t, all, now := NewTable(benchHeartbeatInterval), make([]Record, servers), time.Hour
	for i := range all {
		all[i] = Record{Instance: InstanceID(fmt.Sprintf("i-%08x", i)), Service: ServiceID(fmt.Sprint("service-", i/8)),
			Address: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255), Zone: "zone-1", Version: "v1", Slots: 3, Sequence: 1, HeartbeatAt: now}
		r := all[i]
		t.cursor++
		r.lastUpdate, r.lastChange = t.cursor, t.cursor
		t.records[r.Instance] = &r
	}
	t.lastHeartbeat = now
	return t, all, now
}

func BenchmarkTable(b *testing.B) {
	for _, servers := range benchSizes {
		t, all, now := benchTable(servers)
		next := 0
		heartbeat := func() {
			i := next % servers
			next++
			all[i].Sequence++
			t.Merge(all[i], "")
		}
		run := func(name string, what func()) {
			b.Run(fmt.Sprintf("%s/servers=%d", name, servers), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					what()
				}
			})
		}
		run("heartbeat", heartbeat)
		run("heartbeat and what it changed", func() { // as a control machine takes one: Changed looks at all
			before := t.Cursor()
			heartbeat()
			t.ChangesAfter(before)
		})
		run("what changed since the last heartbeat", func() { t.ChangesAfter(t.Cursor() - 1) })
		run("what a hundredth of the heartbeats told", func() {
			after := t.Cursor()
			for range servers / 100 {
				heartbeat()
			}
			t.UpdatesFor(after, "other", func(string) bool { return false })
		})
		run("whole list", func() { t.ChangesAfter(0) })
		run("tidy", func() { t.Expire(now) })
		run("digests", func() { t.Digests() })
		run("range", func() { t.Range(3) })
		run("first heard", func() { // succeeds looks at all for one at its address
			r := all[0]
			r.Instance, r.Address = InstanceID(fmt.Sprint("new-", next)), fmt.Sprint("new-", next)
			next++
			t.Merge(r, "")
			delete(t.records, r.Instance)
		})
	}
}

// BenchmarkTableFill takes all reports into an empty table, as a control machine that starts anew does.
func BenchmarkTableFill(b *testing.B) {
	for _, servers := range []int{300, 1000, 3000, 10_000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			_, all, _ := benchTable(servers)
			b.ReportAllocs()
			for b.Loop() {
				t := NewTable(benchHeartbeatInterval)
				for i := range all {
					t.Merge(all[i], "other")
				}
			}
		})
	}
}
