package merge

import (
	"errors"
	"sync/atomic"
)

// Budget bounds what all open merges together hold; nothing may be held before SetLimits. It may be used concurrently. It
// protects the process: a thousand long lists that wait for one late segment would otherwise be in memory at once.
type Budget struct {
	maxBytes, maxRows, maxOpen atomic.Int64
	bytes, rows, open          atomic.Int64
	parent                     ParentBudget
}

// ParentBudget is a wider budget, of which merges are one use. It must be safe for concurrent use.
type ParentBudget interface {
	Reserve(bytes int64) bool
	Release(bytes int64)
}

// SetParent makes the budget reserve its memory from a wider one. It must be called before the first merge.
func (b *Budget) SetParent(s ParentBudget) { b.parent = s }

// ErrBudgetExceeded means that a merge would exceed the limits of its budget.
var ErrBudgetExceeded = errors.New("merges hold as much as they may")

// SetLimits sets the limits from now on: bytes, rows, and open merges. What is held already is not affected.
func (b *Budget) SetLimits(bytes, rows, open int64) {
	b.maxBytes.Store(bytes)
	b.maxRows.Store(rows)
	b.maxOpen.Store(open)
}

// Usage returns what is held: bytes, rows, and open merges.
func (b *Budget) Usage() (bytes, rows, open int64) {
	return b.bytes.Load(), b.rows.Load(), b.open.Load()
}

// openMerge counts an open merge, or returns false if the limit is reached.
func (b *Budget) openMerge() bool {
	if b.open.Add(1) > b.maxOpen.Load() {
		b.open.Add(-1)
		return false
	}
	return true
}

// reserve reserves memory, or returns false and reserves nothing.
func (b *Budget) reserve(bytes, rows int64) bool {
	held, count := b.bytes.Add(bytes), b.rows.Add(rows)
	if held > b.maxBytes.Load() || count > b.maxRows.Load() || b.parent != nil && !b.parent.Reserve(bytes) {
		b.bytes.Add(-bytes)
		b.rows.Add(-rows)
		return false
	}
	return true
}

// release returns memory that has been reserved.
func (b *Budget) release(bytes, rows int64) {
	b.bytes.Add(-bytes)
	b.rows.Add(-rows)
	if b.parent != nil {
		b.parent.Release(bytes)
	}
}
