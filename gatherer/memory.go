package gatherer

import (
	"context"
	"log/slog"
	"runtime/metrics"
	"time"

	"oxbowspan/memorybudget"
)

// logPressure logs a change of the memory pressure: as a warning if it becomes critical.
func logPressure(from, to memorybudget.Pressure, s memorybudget.Snapshot) {
	level := slog.LevelInfo
	if to == memorybudget.PressureCritical {
		level = slog.LevelWarn
	}
	fields := append([]any{"from", from.String(), "to", to.String()}, memoryFields(s)...)
	slog.Log(context.Background(), level, "memory_pressure", fields...)
}

// memoryFields returns the log attributes of a snapshot. Sizes are in bytes.
func memoryFields(s memorybudget.Snapshot) []any {
	fields := []any{"held", int64(s.Total), "most", int64(s.MaxTotal), "peak", int64(s.Peak)}
	for a := range memorybudget.AccountCount {
		fields = append(fields, a.String(), int64(s.Used[a]))
	}
	rejections := int64(0)
	for _, n := range s.Rejections {
		rejections += n
	}
	return append(fields, "refused", rejections, "forced", int64(s.MaxOvercommit))
}

// reportMemory logs the memory use of the budget and of the Go runtime at an interval until done is closed.
func reportMemory(budget *memorybudget.Budget, interval time.Duration, done <-chan struct{}) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	samples := []metrics.Sample{
		{Name: "/memory/classes/heap/objects:bytes"},
		{Name: "/memory/classes/heap/stacks:bytes"},
		{Name: "/memory/classes/total:bytes"},
		{Name: "/memory/classes/heap/released:bytes"},
		{Name: "/sched/goroutines:goroutines"},
	}
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		metrics.Read(samples)
		sample := func(i int) int64 {
			if samples[i].Value.Kind() != metrics.KindUint64 {
				return 0
			}
			return int64(samples[i].Value.Uint64())
		}
		s := budget.Snapshot()
		slog.Info("memory", append([]any{"pressure", s.Pressure.String(), "heap", sample(0), "stacks", sample(1),
			"mapped", sample(2) - sample(3), "goroutines", sample(4)}, memoryFields(s)...)...)
	}
}

// memoryAccount is a single account of a memory budget. It implements merge.ParentBudget and shardconn.MemoryAccount.
type memoryAccount struct {
	budget  *memorybudget.Budget
	account memorybudget.Account
}

// Reserve implements merge.ParentBudget.
func (a memoryAccount) Reserve(n int64) bool {
	return a.budget.Reserve(a.account, memorybudget.Bytes(n))
}

// ForceAcquire implements shardconn.MemoryAccount.
func (a memoryAccount) ForceAcquire(n int64) { a.budget.ForceReserve(a.account, memorybudget.Bytes(n)) }

// Release implements merge.ParentBudget and shardconn.MemoryAccount.
func (a memoryAccount) Release(n int64) { a.budget.Release(a.account, memorybudget.Bytes(n)) }
