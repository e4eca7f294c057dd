package gatherer

import (
	"log/slog"
	"runtime/metrics"
	"time"

	"oxbowspan/memorybudget"
)

// logPressure logs a change of pressure.
func logPressure(from, to memorybudget.Pressure, s memorybudget.State) {
	level := slog.LevelInfo
	if to == memorybudget.Full {
		level = slog.LevelWarn
	}
	slog.Log(nil, level, "memory_pressure", append([]any{"from", from.String(), "to", to.String()}, memoryFields(s)...)...)
}

// memoryFields are a ledger's figures, in bytes.
func memoryFields(s memorybudget.State) []any {
	out := []any{"held", int64(s.Sum), "most", int64(s.Most), "peak", int64(s.Peak)}
	for a := range memorybudget.Accounts {
		out = append(out, a.String(), int64(s.Held[a]))
	}
	refused := int64(0)
	for _, n := range s.Refused {
		refused += n
	}
	return append(out, "refused", refused, "forced", int64(s.Forced))
}

// reportMemory logs what is held until done, so often.
func reportMemory(l *memorybudget.Ledger, every time.Duration, done <-chan struct{}) {
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
		s := l.State()
		slog.Info("memory", append([]any{"pressure", s.Pressure.String(), "heap", v(0), "stacks", v(1), "mapped", v(2) - v(3),
			"goroutines", v(4)}, memoryFields(s)...)...)
	}
}

// memoryAccount hands one account of a ledger to what knows no ledger: merges and servers' connections.
type memoryAccount struct {
	ledger  *memorybudget.Ledger
	account memorybudget.Account
}

func (x memoryAccount) Take(n int64) bool    { return x.ledger.Take(x.account, memorybudget.Bytes(n)) }
func (x memoryAccount) ForceAcquire(n int64) { x.ledger.Force(x.account, memorybudget.Bytes(n)) }
func (x memoryAccount) Release(n int64)      { x.ledger.Give(x.account, memorybudget.Bytes(n)) }
