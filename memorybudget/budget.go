// Package memorybudget accounts for the memory that a gatherer's work uses: connections, request bodies, open searches, merges,
// responses and connections to shard servers. It decides who may use more. It does no I/O, reads no clock, starts no goroutine,
// and may be used concurrently.
//
// Each account has a reservation, which the others leave free, and a limit. Memory beyond the reservations is for whoever
// requests it first. So merges of long lists, or many clients that become active at once, cannot use up the memory of plain
// look-ups.
//
// Amounts are estimates of what work uses, not of what the runtime has mapped: see Options.MaxTotal.
package memorybudget

import (
	"fmt"
	"sync"
)

// Bytes is an amount of memory.
type Bytes int64

// Account is what memory is used for.
type Account uint8

// The accounts.
const (
	ActiveConns  Account = iota // client connections with a goroutine: stacks, buffers, headers
	ParkedConns                 // parked client connections: table entries
	Bodies                      // request bodies
	Requests                    // open searches, their shard calls, and the values received
	Merges                      // rows of open merges
	Answers                     // responses being written
	ServerConns                 // connections to shard servers, and incomplete frames on them
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

// Limit bounds what an account may use.
type Limit struct {
	Reserved Bytes // left free by the others
	Max      Bytes // 0 = no limit of its own
}

// Options configure a Budget.
type Options struct {
	// MaxTotal is what all accounts together may use; 0 = no limit. It must leave room in the machine's memory for the runtime,
	// garbage and the program itself: see TotalFor.
	MaxTotal Bytes
	Limits   [AccountCount]Limit
}

// Pressure is the degree to which a budget is used.
type Pressure uint8

// Degrees of pressure. They are entered and left at different thresholds, so that work near a threshold does not change the
// pressure with each search.
const (
	PressureNone     Pressure = iota
	PressureHigh              // from 85% until below 70%: optional memory should be avoided
	PressureCritical          // from 97% until below 90%: new work should be rejected
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

// Snapshot is the state of a budget at one time.
type Snapshot struct {
	Used          [AccountCount]Bytes
	Peak          Bytes               // greatest Total so far
	Rejections    [AccountCount]int64 // failed calls of Reserve
	MaxOvercommit Bytes               // the most by which ForceReserve has exceeded MaxTotal
	Total         Bytes
	MaxTotal      Bytes
	Pressure      Pressure
}

// Budget accounts for memory. It may be used concurrently.
type Budget struct {
	onPressureChange func(from, to Pressure, s Snapshot)

	mu             sync.Mutex
	options        Options
	usage          Snapshot
	pendingChanges []pressureChange // changes not yet passed to onPressureChange
	notifying      bool             // a caller is passing them
}

// pressureChange is a call of onPressureChange.
type pressureChange struct {
	from, to Pressure
	usage    Snapshot
}

// New returns an unused budget. onPressureChange, if not nil, is called after each change of pressure, in order, in the goroutine
// of some caller and without a lock held.
func New(o Options, onPressureChange func(from, to Pressure, s Snapshot)) *Budget {
	b := &Budget{onPressureChange: onPressureChange}
	b.SetOptions(o)
	return b
}

// SetOptions changes the options. Memory in use is not affected.
func (b *Budget) SetOptions(o Options) {
	b.mu.Lock()
	b.options, b.usage.MaxTotal = o, o.MaxTotal
	b.updatePressure()
	b.notifyAndUnlock()
}

// Reserve adds n bytes to an account. It returns false and adds nothing if that would exceed the account's limit, or the total
// less the unused reservations of the others; the work should then be rejected at once.
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

// ForceReserve adds n bytes to an account whatever the limits are, for work that can no longer be rejected: a response in
// progress, a value received for a search that may not be shed. Later work is rejected instead.
func (b *Budget) ForceReserve(a Account, n Bytes) {
	b.mu.Lock()
	b.add(a, n)
	if over := b.usage.Total - b.options.MaxTotal; b.options.MaxTotal > 0 && over > b.usage.MaxOvercommit {
		b.usage.MaxOvercommit = over
	}
	b.notifyAndUnlock()
}

// Release subtracts what Reserve or ForceReserve added.
func (b *Budget) Release(a Account, n Bytes) {
	b.mu.Lock()
	b.add(a, -n)
	b.notifyAndUnlock()
}

// Transfer moves n bytes from one account to another, so that they are neither counted twice nor missing in between.
func (b *Budget) Transfer(from, to Account, n Bytes) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usage.Used[from] -= n
	b.usage.Used[to] += n
}

// Snapshot returns the present state.
func (b *Budget) Snapshot() Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usage
}

// Pressure returns the present pressure.
func (b *Budget) Pressure() Pressure {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usage.Pressure
}

// canReserve reports whether an account may use n bytes more. The caller holds mu.
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
		return true // within its reservation
	}
	free := b.options.MaxTotal - b.usage.Total - n
	for other := range AccountCount {
		if other != a {
			free -= max(b.options.Limits[other].Reserved-b.usage.Used[other], 0)
		}
	}
	return free >= 0
}

func (b *Budget) add(a Account, n Bytes) {
	b.usage.Used[a] += n
	b.usage.Total += n
	b.usage.Peak = max(b.usage.Peak, b.usage.Total)
	b.updatePressure()
}

// updatePressure recomputes the pressure and records a change. The caller holds mu.
func (b *Budget) updatePressure() {
	was, now := b.usage.Pressure, PressureNone
	if b.options.MaxTotal > 0 {
		at := b.usage.Total * 100
		switch {
		case at >= criticalEnterPercent*b.options.MaxTotal, was == PressureCritical && at >= criticalExitPercent*b.options.MaxTotal:
			now = PressureCritical
		case at >= highEnterPercent*b.options.MaxTotal, was >= PressureHigh && at >= highExitPercent*b.options.MaxTotal:
			now = PressureHigh
		}
	}
	if b.usage.Pressure = now; now != was && b.onPressureChange != nil {
		b.pendingChanges = append(b.pendingChanges, pressureChange{was, now, b.usage})
	}
}

// notifyAndUnlock unlocks mu and passes on recorded changes of pressure. One caller at a time does so, which keeps their order;
// the others do not wait for it.
func (b *Budget) notifyAndUnlock() {
	if b.notifying {
		b.mu.Unlock()
		return
	}
	b.notifying = true
	for len(b.pendingChanges) > 0 {
		queue := b.pendingChanges
		b.pendingChanges = nil
		b.mu.Unlock()
		for _, t := range queue {
			b.onPressureChange(t.from, t.to, t.usage)
		}
		b.mu.Lock()
	}
	b.notifying = false
	b.mu.Unlock()
}
