package gatherer

import (
	"log/slog"
	"runtime/metrics"
	"time"

	"oxbowspan/memorybudget"
)

// logPressure logs a change of pressure.
func logPressure(from, to memorybudget.Pressure, s memorybudget.Snapshot) {
	level := slog.LevelInfo
	if to == memorybudget.PressureCritical {
		level = slog.LevelWarn
	}
	slog.Log(nil, level, "memory_pressure", append([]any{"from", from.String(), "to", to.String()}, memoryFields(s)...)...)
}

// memoryFields are a ledger's figures, in bytes.
func memoryFields(s memorybudget.Snapshot) []any {
	out := []any{"held", int64(s.Total), "most", int64(s.MaxTotal), "peak", int64(s.Peak)}
	for a := range memorybudget.AccountCount {
		out = append(out, a.String(), int64(s.Used[a]))
	}
	refused := int64(0)
	for _, n := range s.Rejections {
		refused += n
	}
	return append(out, "refused", refused, "forced", int64(s.MaxOvercommit))
}

// reportMemory logs what is held until done, so often.
func reportMemory(l *memorybudget.Budget, every time.Duration, done <-chan struct{}) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	samples := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}, {Name: "/memory/classes/heap/stacks:bytes"},
		{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}, {Name: "/sched/goroutines:goroutines"}}
	for {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		metrics.Read(samples)
		v := func(i int) int64 {
			if samples[i].Value.Kind() != metrics.KindUint64 {
				return 0
			}
			return int64(samples[i].Value.Uint64())
		}
		s := l.Snapshot()
		slog.Info("memory", append([]any{"pressure", s.Pressure.String(), "heap", v(0), "stacks", v(1), "mapped", v(2) - v(3),
			"goroutines", v(4)}, memoryFields(s)...)...)
	}
}

// memoryAccount hands one account of a ledger to what knows no ledger: merges and servers' connections.
type memoryAccount struct {
	ledger  *memorybudget.Budget
	account memorybudget.Account
}

func (x memoryAccount) Take(n int64) bool    { return x.ledger.Reserve(x.account, memorybudget.Bytes(n)) }
func (x memoryAccount) ForceAcquire(n int64) { x.ledger.ForceReserve(x.account, memorybudget.Bytes(n)) }
func (x memoryAccount) Release(n int64)      { x.ledger.Release(x.account, memorybudget.Bytes(n)) }
