package merge

import (
	"errors"
	"sync/atomic"
)

// Budget is what all open merges together may hold; nothing until Limit says so. It may be used from several
// goroutines. It guards the process: a thousand wide lists that wait for one late segment would else be a thousand
// times a list in memory.
type Budget struct {
	mostBytes, mostRows, mostOpen atomic.Int64
	bytes, rows, open             atomic.Int64
	sum                           Sum
}

// Sum is a wider budget, of which merges are a part. It may be used from several goroutines.
type Sum interface {
	Take(bytes int64) bool
	Release(bytes int64)
}

// Under puts a budget under a wider one. It is called before the first merge.
func (b *Budget) Under(s Sum) { b.sum = s }

// ErrFull says that a merge would hold more than all open ones may.
var ErrFull = errors.New("merges hold as much as they may")

// Limit sets what may be held from now on: bytes, rows, and merges open at once. What is held already stays.
func (b *Budget) Limit(bytes, rows, open int64) {
	b.mostBytes.Store(bytes)
	b.mostRows.Store(rows)
	b.mostOpen.Store(open)
}

// Held tells what is held: bytes, rows and open merges.
func (b *Budget) Held() (bytes, rows, open int64) {
	return b.bytes.Load(), b.rows.Load(), b.open.Load()
}

// enter opens a merge, unless too many are.
func (b *Budget) enter() bool {
	if b.open.Add(1) > b.mostOpen.Load() {
		b.open.Add(-1)
		return false
	}
	return true
}

// take takes so much, or nothing.
func (b *Budget) take(bytes, rows int64) bool {
	held, count := b.bytes.Add(bytes), b.rows.Add(rows)
	if held > b.mostBytes.Load() || count > b.mostRows.Load() || b.sum != nil && !b.sum.Take(bytes) {
		b.bytes.Add(-bytes)
		b.rows.Add(-rows)
		return false
	}
	return true
}

func (b *Budget) give(bytes, rows int64) {
	b.bytes.Add(-bytes)
	b.rows.Add(-rows)
	if b.sum != nil {
		b.sum.Release(bytes)
	}
}
