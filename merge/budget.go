package merge

import (
	"errors"
	"sync/atomic"
)

// Budget is what all open merges together may hold; nothing until Limit says so. It may be used from several
// goroutines. It guards the process: a thousand wide lists that wait for one late segment would else be a thousand
// times a list in memory.
type Budget struct {
	maxBytes, maxRows, maxOpen atomic.Int64
	bytes, rows, open          atomic.Int64
	parent                     ParentBudget
}

// ParentBudget is a wider budget, of which merges are a part. It may be used from several goroutines.
type ParentBudget interface {
	Reserve(bytes int64) bool
	Release(bytes int64)
}

// SetParent puts a budget under a wider one. It is called before the first merge.
func (b *Budget) SetParent(s ParentBudget) { b.parent = s }

// ErrBudgetExceeded says that a merge would hold more than all open ones may.
var ErrBudgetExceeded = errors.New("merges hold as much as they may")

// SetLimits sets what may be held from now on: bytes, rows, and merges open at once. What is held already stays.
func (b *Budget) SetLimits(bytes, rows, open int64) {
	b.maxBytes.Store(bytes)
	b.maxRows.Store(rows)
	b.maxOpen.Store(open)
}

// Usage tells what is held: bytes, rows and open merges.
func (b *Budget) Usage() (bytes, rows, open int64) {
	return b.bytes.Load(), b.rows.Load(), b.open.Load()
}

// openMerge opens a merge, unless too many are.
func (b *Budget) openMerge() bool {
	if b.open.Add(1) > b.maxOpen.Load() {
		b.open.Add(-1)
		return false
	}
	return true
}

// reserve takes so much, or nothing.
func (b *Budget) reserve(bytes, rows int64) bool {
	held, count := b.bytes.Add(bytes), b.rows.Add(rows)
	if held > b.maxBytes.Load() || count > b.maxRows.Load() || b.parent != nil && !b.parent.Reserve(bytes) {
		b.bytes.Add(-bytes)
		b.rows.Add(-rows)
		return false
	}
	return true
}

func (b *Budget) release(bytes, rows int64) {
	b.bytes.Add(-bytes)
	b.rows.Add(-rows)
	if b.parent != nil {
		b.parent.Release(bytes)
	}
}
