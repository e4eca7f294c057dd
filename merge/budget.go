package merge

import (
	"errors"
	"sync/atomic"
)

// Budget limits the memory, rows and number of all open merges together. Before SetLimits is called all limits are 0. It is
// safe for concurrent use. Without it the process could run out of memory: a thousand long lists that wait for one slow
// segment would all be in memory at once.
type Budget struct {
	maxBytes, maxRows, maxOpen atomic.Int64
	bytes, rows, open          atomic.Int64
	parent                     ParentBudget
}

// ParentBudget is a memory budget that merges share with other uses. Implementations must be safe for concurrent use.
type ParentBudget interface {
	// Reserve reserves memory, or returns false and reserves nothing.
	Reserve(bytes int64) bool
	// Release releases reserved memory.
	Release(bytes int64)
}

// SetParent sets the budget from which this one reserves its memory in addition to its own limits. It must be called before
// the first merge is opened.
func (b *Budget) SetParent(parent ParentBudget) { b.parent = parent }

// ErrBudgetExceeded means that a merge would exceed the limits of its budget.
var ErrBudgetExceeded = errors.New("merges hold as much as they may")

// SetLimits sets the limits of bytes, rows and open merges for later reservations. Existing reservations are not affected.
func (b *Budget) SetLimits(bytes, rows, open int64) {
	b.maxBytes.Store(bytes)
	b.maxRows.Store(rows)
	b.maxOpen.Store(open)
}

// Usage returns the reserved bytes and rows and the number of open merges.
func (b *Budget) Usage() (bytes, rows, open int64) {
	return b.bytes.Load(), b.rows.Load(), b.open.Load()
}

// openMerge increments the number of open merges, or returns false if the limit is reached.
func (b *Budget) openMerge() bool {
	if b.open.Add(1) > b.maxOpen.Load() {
		b.open.Add(-1)
		return false
	}
	return true
}

// reserve reserves bytes and rows, or returns false and reserves nothing.
func (b *Budget) reserve(bytes, rows int64) bool {
	totalBytes, totalRows := b.bytes.Add(bytes), b.rows.Add(rows)
	if totalBytes > b.maxBytes.Load() || totalRows > b.maxRows.Load() || b.parent != nil && !b.parent.Reserve(bytes) {
		b.bytes.Add(-bytes)
		b.rows.Add(-rows)
		return false
	}
	return true
}

// release releases reserved bytes and rows.
func (b *Budget) release(bytes, rows int64) {
	b.bytes.Add(-bytes)
	b.rows.Add(-rows)
	if b.parent != nil {
		b.parent.Release(bytes)
	}
}
