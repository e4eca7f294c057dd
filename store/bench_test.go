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

const benchmarkKeys = 10_000

var benchmarkValue = []byte("0123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890123456789")

// BenchmarkCommit compares durable commits of 100 bytes by concurrent callers in this store and in bbolt with its own group
// commit (Batch), on the disk of the temporary directory.
//
//	go test -run xxx -bench Commit -benchmem ./store
func BenchmarkCommit(b *testing.B) {
	for _, callers := range []int{1, 8, 64, 512} {
		b.Run(fmt.Sprintf("callers=%d/store", callers), func(b *testing.B) {
			s := openOnDisk(b, store.Options{})
			commitConcurrently(b, callers, func(key string) error {
				return s.Commit(store.Op{Table: 1, Key: key, Value: benchmarkValue})
			})
		})
		b.Run(fmt.Sprintf("callers=%d/bbolt", callers), func(b *testing.B) {
			bucket := []byte("t")
			db := openBbolt(b, bucket)
			db.MaxBatchDelay = time.Duration(min(callers-1, 1)) * time.Millisecond // a single caller gains nothing from waiting for others
			commitConcurrently(b, callers, func(key string) error {
				return db.Batch(func(tx *bbolt.Tx) error { return tx.Bucket(bucket).Put([]byte(key), benchmarkValue) })
			})
		})
	}
}

// commitConcurrently calls commit b.N times in total from a number of goroutines and reports commits per second.
func commitConcurrently(b *testing.B, callers int, commit func(key string) error) {
	b.Helper()
	var commits atomic.Int64
	var callersDone sync.WaitGroup
	b.ReportAllocs()
	b.ResetTimer()
	for range callers {
		callersDone.Add(1)
		go func() {
			defer callersDone.Done()
			for n := commits.Add(1); n <= int64(b.N); n = commits.Add(1) {
				if err := commit(benchmarkKey(int(n))); err != nil {
					b.Error(err)
				}
			}
		}()
	}
	callersDone.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
}

func benchmarkKey(n int) string { return fmt.Sprintf("key-%05d", n%benchmarkKeys) }

func openOnDisk(b *testing.B, o store.Options) *store.Store {
	b.Helper()
	disk, err := store.OpenDisk(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	s, _, err := store.Open(disk, o)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { s.Close() })
	return s
}

func openBbolt(b *testing.B, bucket []byte) *bbolt.DB {
	b.Helper()
	db, err := bbolt.Open(filepath.Join(b.TempDir(), "db"), 0o600, nil)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { db.Close() })
	err = db.Update(func(tx *bbolt.Tx) error {
		_, err := tx.CreateBucket(bucket)
		return err
	})
	if err != nil {
		b.Fatal(err)
	}
	return db
}

// BenchmarkRecovery measures the recovery of a store by its number of records; 10,000 keys are live.
func BenchmarkRecovery(b *testing.B) {
	for _, n := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			disk, err := store.OpenDisk(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			s, _, err := store.Open(disk, store.Options{CompactionThreshold: 1 << 40})
			if err != nil {
				b.Fatal(err)
			}
			var pending sync.WaitGroup
			for i := range n {
				pending.Add(1)
				s.CommitAsync(func(err error) {
					if err != nil {
						b.Error(err)
					}
					pending.Done()
				}, store.Op{Table: 1, Key: benchmarkKey(i), Value: benchmarkValue})
			}
			pending.Wait()
			b.ReportMetric(float64(s.Stats().MirrorBytes)/(1<<20), "MiB/mirror")
			s.Close()
			for b.Loop() {
				report, err := store.Check(disk)
				if err != nil || report.LastRecord != uint64(n) {
					b.Fatal(errors.Join(err, fmt.Errorf("%+v", report)))
				}
			}
		})
	}
}
