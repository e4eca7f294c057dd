package store_test

import (
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"oxbowspan/store"
)

var value = []byte("0123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890123456789")

// BenchmarkCommit is one commit of 100 bytes that outlives a crash, by so many callers at once, on a real disk: this store, and
// bbolt with its own group commit (Batch). Both keep 10,000 keys.
//
//	go test -run xxx -bench Commit -benchmem ./store
func BenchmarkCommit(b *testing.B) {
	for _, callers := range []int{1, 8, 64, 512} {
		each := func(b *testing.B, commit func(key string) error) {
			var next atomic.Int64
			var all sync.WaitGroup
			b.ReportAllocs()
			b.ResetTimer()
			for range callers {
				all.Add(1)
				go func() {
					defer all.Done()
					for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
						if err := commit(fmt.Sprintf("key-%05d", n%10_000)); err != nil {
							b.Error(err)
						}
					}
				}()
			}
			all.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
		}
		b.Run(fmt.Sprintf("callers=%d/store", callers), func(b *testing.B) {
			d, err := store.OpenDisk(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			s, _, err := store.Open(d, store.Options{})
			if err != nil {
				b.Fatal(err)
			}
			defer s.Close()
			each(b, func(key string) error { return s.Commit(store.Op{Table: 1, Key: key, Value: value}) })
		})
		b.Run(fmt.Sprintf("callers=%d/bbolt", callers), func(b *testing.B) {
			db, err := bbolt.Open(filepath.Join(b.TempDir(), "db"), 0o600, nil)
			if err != nil {
				b.Fatal(err)
			}
			defer db.Close()
			db.Update(func(tx *bbolt.Tx) error { _, err := tx.CreateBucket([]byte("t")); return err })
			db.MaxBatchDelay = time.Duration(min(callers-1, 1)) * time.Millisecond // alone it need not wait for others
			each(b, func(key string) error {
				return db.Batch(func(tx *bbolt.Tx) error { return tx.Bucket([]byte("t")).Put([]byte(key), value) })
			})
		})
	}
}

// BenchmarkRecovery opens a store after so many records, of which 10,000 keys live.
func BenchmarkRecovery(b *testing.B) {
	for _, n := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			d, err := store.OpenDisk(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			o := store.Options{CompactionThreshold: 1 << 40}
			s, _, err := store.Open(d, o)
			if err != nil {
				b.Fatal(err)
			}
			var last sync.WaitGroup
			for i := range n {
				last.Add(1)
				s.CommitAsync(func(err error) {
					if err != nil {
						b.Error(err)
					}
					last.Done()
				}, store.Op{Table: 1, Key: fmt.Sprintf("key-%05d", i%10_000), Value: value})
			}
			last.Wait()
			b.ReportMetric(float64(s.Stats().MirrorBytes)/(1<<20), "MiB-a-lane")
			s.Close()
			for b.Loop() {
				r, err := store.Check(d)
				if err != nil || r.LastRecord != uint64(n) {
					b.Fatal(errors.Join(err, fmt.Errorf("%+v", r)))
				}
			}
		})
	}
}
