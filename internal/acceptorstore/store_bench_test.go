package acceptorstore

import (
	"fmt"
	"os"
	"testing"

	"oxbowspan/consensus"
)

// BenchmarkStore measures the time and the bytes written for a promise, for accepting the same version again and for
// accepting a new version, by the size of the body. The file is in memory if possible, so that the times are CPU times.
func BenchmarkStore(b *testing.B) {
	for _, size := range []int{2 << 10, 170 << 10, 1700 << 10} {
		for name, step := range map[string]func(n uint64) StepFunc{
			"promise": func(n uint64) StepFunc { return prepareStep(n) },
			"accept again": func(n uint64) StepFunc {
				return acceptBodyStep(n, 1, size)
			},
			"accept new": func(n uint64) StepFunc {
				return acceptBodyStep(n, consensus.Version(n), size)
			},
		} {
			b.Run(fmt.Sprintf("%s/body=%d", name, size), func(b *testing.B) {
				dir, err := os.MkdirTemp("/dev/shm", "acceptorstore")
				if err != nil {
					dir = b.TempDir()
				}
				defer os.RemoveAll(dir)
				s, _, err := Open(dir, 1)
				if err != nil {
					b.Fatal(err)
				}
				defer s.Close()
				store := func(n uint64) {
					done := make(chan error, 1)
					if s.Update(step(n), func(_ consensus.AcceptorState, err error) { done <- err }) != nil || <-done != nil {
						b.Fatal("not stored")
					}
				}
				first := make(chan error, 1)
				s.Update(acceptBodyStep(1, 1, size), func(_ consensus.AcceptorState, err error) { first <- err })
				if err := <-first; err != nil {
					b.Fatal(err)
				}
				before := s.db.Stats()
				b.ResetTimer()
				for i := range b.N {
					store(uint64(i + 2))
				}
				b.StopTimer()
				after := s.db.Stats()
				b.ReportMetric(float64(after.TxStats.GetPageAlloc()-before.TxStats.GetPageAlloc())/float64(b.N), "written-B/op")
			})
		}
	}
}
