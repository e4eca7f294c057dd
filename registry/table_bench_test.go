package registry

import (
	"fmt"
	"testing"
	"time"
)

// Benchmarks of a controller's table operations by the number of servers, for docs/CAPACITY.md:
//
//	go test -run xxx -bench Table -benchmem ./registry

const benchHeartbeatInterval = 1200 * time.Millisecond

var benchSizes = []int{1000, 10_000, 30_000, 96_000}

// benchTable returns a table of servers that have all just sent a heartbeat, their records and the current time. It does not
// use Merge, as filling a table with it takes time quadratic in the number of servers.
func benchTable(servers int) (*Table, []Record, time.Duration) {
	const now = time.Hour
	t, records := NewTable(benchHeartbeatInterval), make([]Record, servers)
	for i := range records {
		records[i] = Record{
			Instance:    InstanceID(fmt.Sprintf("i-%08x", i)),
			Service:     ServiceID(fmt.Sprint("service-", i/8)),
			Address:     fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255),
			Zone:        "zone-1",
			Version:     "v1",
			Slots:       3,
			Sequence:    1,
			HeartbeatAt: now,
		}
		r := records[i]
		t.records[r.Instance] = &r
		t.markChanged(&r, "")
	}
	t.lastHeartbeat = now
	return t, records, now
}

func BenchmarkTable(b *testing.B) {
	for _, servers := range benchSizes {
		t, records, now := benchTable(servers)
		next := 0
		heartbeat := func() {
			i := next % servers
			next++
			records[i].Sequence++
			t.Merge(records[i], "")
		}
		run := func(name string, operation func()) {
			b.Run(fmt.Sprintf("%s/servers=%d", name, servers), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					operation()
				}
			})
		}
		run("heartbeat", heartbeat)
		run("heartbeat and its changes", func() { // as on receipt of a heartbeat; ChangesAfter scans all records
			before := t.Cursor()
			heartbeat()
			t.ChangesAfter(before)
		})
		run("changes since the last heartbeat", func() { t.ChangesAfter(t.Cursor() - 1) })
		run("updates of a hundredth of the servers", func() {
			after := t.Cursor()
			for range servers / 100 {
				heartbeat()
			}
			t.UpdatesFor(after, "other", func(string) bool { return false })
		})
		run("all records", func() { t.ChangesAfter(0) })
		run("expire", func() { t.Expire(now) })
		run("digests", func() { t.Digests() })
		run("range", func() { t.RecordsInRange(3) })
		run("new server", func() { // supersedeAddress scans all records for the same address
			r := records[0]
			r.Instance, r.Address = InstanceID(fmt.Sprint("new-", next)), fmt.Sprint("new-", next)
			next++
			t.Merge(r, "")
			delete(t.records, r.Instance)
		})
	}
}

// BenchmarkTableFill merges all records into an empty table, as a controller does after a restart.
func BenchmarkTableFill(b *testing.B) {
	for _, servers := range []int{300, 1000, 3000, 10_000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			_, records, _ := benchTable(servers)
			b.ReportAllocs()
			for b.Loop() {
				t := NewTable(benchHeartbeatInterval)
				for i := range records {
					t.Merge(records[i], "other")
				}
			}
		})
	}
}
