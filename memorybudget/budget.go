// Package memorybudget accounts for the memory that a gatherer uses for connections, request bodies, open searches, merges,
// responses and connections to shard servers, and decides which of them may use more. It does no I/O, reads no clock and
// starts no goroutine. A Budget is safe for concurrent use.
//
// Each account has a reservation, which other accounts must leave free, and a limit. Memory that is not reserved is allocated
// in the order of requests. Thus neither merges of long lists nor many clients that become active at once can use up the
// memory that plain look-ups need.
//
// Amounts are estimates of the memory in use, not of the memory that the runtime has mapped: see Options.MaxTotal.
package memorybudget

import (
	"fmt"
	"sync"
)

// Bytes is an amount of memory.
type Bytes int64

// Account is a purpose for which memory is used.
type Account uint8

// The accounts.
const (
	ActiveConns  Account = iota // client connections with a goroutine: stacks, buffers, headers
	ParkedConns                 // parked client connections: table entries
	Bodies                      // request bodies
	Requests                    // open searches, their shard calls and the values received
	Merges                      // rows of open merges
	Answers                     // responses being written
	ServerConns                 // connections to shard servers, with incomplete frames
	AccountCount                // number of accounts
)

var accountNames = [AccountCount]string{"awake", "parked", "bodies", "searches", "merges", "answers", "servers"}

// String returns the account's name in log lines.
func (a Account) String() string {
	if a >= AccountCount {
		return fmt.Sprintf("account(%d)", uint8(a))
	}
	return accountNames[a]
}

// Limit sets the reservation and the limit of an account.
type Limit struct {
	Reserved Bytes // memory that other accounts must leave free
	Max      Bytes // maximum use; 0 = only Options.MaxTotal applies
}

// Options configures a Budget.
type Options struct {
	// MaxTotal is the maximum memory that all accounts together may use; 0 = no limit. The rest of the machine's memory must
	// suffice for the runtime, garbage and the program itself: see TotalFor.
	MaxTotal Bytes
	Limits   [AccountCount]Limit
}

// Pressure is the memory pressure: how close the total use is to Options.MaxTotal.
type Pressure uint8

// The degrees of pressure. They have different thresholds for entry and exit, so that the pressure does not change with each
// search while the use is near a threshold.
const (
	PressureNone     Pressure = iota
	PressureHigh              // entered at 85%, left below 70%: optional use of memory should be avoided
	PressureCritical          // entered at 97%, left below 90%: new work should be rejected
)

// String returns the pressure's name in log lines.
func (p Pressure) String() string {
	return [...]string{"calm", "tight", "full"}[min(p, PressureCritical)]
}

// Thresholds of pressure, in percent of Options.MaxTotal.
const (
	highEnterPercent, highExitPercent         = 85, 70
	criticalEnterPercent, criticalExitPercent = 97, 90
)

// Snapshot is the state of a budget at a point in time.
type Snapshot struct {
	Used          [AccountCount]Bytes
	Peak          Bytes               // maximum of Total so far
	Rejections    [AccountCount]int64 // calls of Reserve that returned false
	MaxOvercommit Bytes               // maximum excess over MaxTotal after a call of ForceReserve
	Total         Bytes               // sum of Used
	MaxTotal      Bytes               // Options.MaxTotal
	Pressure      Pressure
}

// Budget accounts for memory. It is safe for concurrent use.
type Budget struct {
	onPressureChange func(from, to Pressure, s Snapshot)

	mu             sync.Mutex
	options        Options
	usage          Snapshot
	pendingChanges []pressureChange // changes not yet passed to onPressureChange
	notifying      bool             // a caller is passing pending changes to onPressureChange
}

// pressureChange holds the arguments of a call of onPressureChange.
type pressureChange struct {
	from, to Pressure
	usage    Snapshot
}

// New returns an empty budget. If onPressureChange is not nil, it is called after each change of pressure, in the order of the
// changes, in a goroutine that called a method of the budget and without holding a lock.
func New(o Options, onPressureChange func(from, to Pressure, s Snapshot)) *Budget {
	b := &Budget{onPressureChange: onPressureChange}
	b.SetOptions(o)
	return b
}

// SetOptions replaces the options. Memory already in use stays accounted for, even if it exceeds the new limits.
func (b *Budget) SetOptions(o Options) {
	b.mu.Lock()
	b.options, b.usage.MaxTotal = o, o.MaxTotal
	b.updatePressure()
	b.notifyAndUnlock()
}

// Reserve adds n bytes to an account. It returns false and adds nothing if the account's limit, MaxTotal, or, beyond the
// account's own reservation, MaxTotal less the unused reservations of the other accounts would be exceeded; the caller should
// then reject the work at once.
func (b *Budget) Reserve(a Account, n Bytes) bool {
	b.mu.Lock()
	if !b.canReserve(a, n) {
		b.usage.Rejections[a]++
		b.mu.Unlock()
		return false
	}
	b.add(a, n)
	b.notifyAndUnlock()
	return true
}

// ForceReserve adds n bytes to an account regardless of the limits, for work that can no longer be rejected, such as a
// response in progress or a value received for a search that must not be shed. Later work is rejected instead.
func (b *Budget) ForceReserve(a Account, n Bytes) {
	b.mu.Lock()
	b.add(a, n)
	if over := b.usage.Total - b.options.MaxTotal; b.options.MaxTotal > 0 && over > b.usage.MaxOvercommit {
		b.usage.MaxOvercommit = over
	}
	b.notifyAndUnlock()
}

// Release subtracts n bytes that Reserve or ForceReserve added to an account.
func (b *Budget) Release(a Account, n Bytes) {
	b.mu.Lock()
	b.add(a, -n)
	b.notifyAndUnlock()
}

// Transfer moves n bytes from one account to another in one step, so that they are at no time counted twice or not at all.
// Limits are not checked.
func (b *Budget) Transfer(from, to Account, n Bytes) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usage.Used[from] -= n
	b.usage.Used[to] += n
}

// Snapshot returns the current state.
func (b *Budget) Snapshot() Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usage
}

// Pressure returns the current pressure.
func (b *Budget) Pressure() Pressure {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usage.Pressure
}

// canReserve reports whether an account may use n more bytes. The caller must hold mu.
func (b *Budget) canReserve(a Account, n Bytes) bool {
	used := b.usage.Used[a] + n
	if limit := b.options.Limits[a].Max; limit > 0 && used > limit {
		return false
	}
	if b.options.MaxTotal <= 0 {
		return true
	}
	if b.usage.Total+n > b.options.MaxTotal {
		return false
	}
	if used <= b.options.Limits[a].Reserved {
		return true // within the account's own reservation
	}
	free := b.options.MaxTotal - b.usage.Total - n
	for other := range AccountCount {
		if other != a {
			free -= max(b.options.Limits[other].Reserved-b.usage.Used[other], 0)
		}
	}
	return free >= 0
}

// add adds n bytes, which may be negative, to an account. The caller must hold mu.
func (b *Budget) add(a Account, n Bytes) {
	b.usage.Used[a] += n
	b.usage.Total += n
	b.usage.Peak = max(b.usage.Peak, b.usage.Total)
	b.updatePressure()
}

// updatePressure recomputes the pressure and records a change in pendingChanges. The caller must hold mu.
func (b *Budget) updatePressure() {
	previous, next := b.usage.Pressure, PressureNone
	if b.options.MaxTotal > 0 {
		used := b.usage.Total * 100 // compared with percentages of MaxTotal
		switch {
		case used >= criticalEnterPercent*b.options.MaxTotal,
			previous == PressureCritical && used >= criticalExitPercent*b.options.MaxTotal:
			next = PressureCritical
		case used >= highEnterPercent*b.options.MaxTotal,
			previous >= PressureHigh && used >= highExitPercent*b.options.MaxTotal:
			next = PressureHigh
		}
	}
	if b.usage.Pressure = next; next != previous && b.onPressureChange != nil {
		b.pendingChanges = append(b.pendingChanges, pressureChange{previous, next, b.usage})
	}
}

// notifyAndUnlock unlocks mu and calls onPressureChange for each pending change. Only one caller at a time does so, which
// preserves their order; other callers return without waiting for it.
func (b *Budget) notifyAndUnlock() {
	if b.notifying {
		b.mu.Unlock()
		return
	}
	b.notifying = true
	for len(b.pendingChanges) > 0 {
		changes := b.pendingChanges
		b.pendingChanges = nil
		b.mu.Unlock()
		for _, change := range changes {
			b.onPressureChange(change.from, change.to, change.usage)
		}
		b.mu.Lock()
	}
	b.notifying = false
	b.mu.Unlock()
}
