// Package memorybudget accounts for the memory that a gatherer's work holds, in one sum: connections, requests' bodies, open
// searches, merges, answers and servers' connections. It decides who may hold more. It owns its figures alone, does no I/O,
// reads no clock, starts no goroutine, and may be used from several goroutines.
//
// Each account has a floor, which the others leave free, and a ceiling. What lies between the floors is for whoever asks
// first. So merges of wide lists, or desks that all wake, cannot take the last bytes that plain look-ups need.
//
// Figures are estimates of what work holds, not of what the runtime has mapped: see Figures.Most.
package memorybudget

import (
	"fmt"
	"sync"
)

// Bytes are bytes of memory.
type Bytes int64

// Account is what memory is held for.
type Account uint8

// The accounts.
const (
	ActiveConns  Account = iota // clients' connections with a goroutine: stacks, buffers, head
	ParkedConns                 // clients' connections that wait without one: table entries
	Bodies                      // requests' bodies
	Requests                    // open searches, their parts, and the values that are in
	Merges                      // rows of open merges
	Answers                     // final answers that are being written
	ServerConns                 // connections to shard servers, and frames on them that are not whole
	AccountCount                // how many there are
)

var accountNames = [AccountCount]string{"awake", "parked", "bodies", "searches", "merges", "answers", "servers"}

// String is the account's name in log lines.
func (a Account) String() string {
	if a >= AccountCount {
		return fmt.Sprintf("account(%d)", uint8(a))
	}
	return accountNames[a]
}

// Limit is what an account is granted.
type Limit struct {
	Reserved Bytes // kept free for it by the others
	Max      Bytes // that it may hold; 0 = no limit of its own
}

// Options are what a ledger goes by.
type Options struct {
	// MaxTotal is what all accounts together may hold; 0 = no limit in sum. It has to lie under the machine's memory by what
	// the runtime itself, garbage and the program's text need.
	MaxTotal Bytes
	Limits   [AccountCount]Limit
}

// Pressure is how full a ledger is.
type Pressure uint8

// The pressures. A ledger is entered into a higher one and left for a lower one at different marks, so that work which
// hovers at a mark does not change it with each search.
const (
	PressureNone     Pressure = iota
	PressureHigh              // from 85% on, until under 70%: who can do with less should
	PressureCritical          // from 97% on, until under 90%: what is not in hand is turned away
)

// String is the pressure's name in log lines.
func (p Pressure) String() string {
	return [...]string{"calm", "tight", "full"}[min(p, PressureCritical)]
}

// Marks of pressure, in hundredths of Figures.Most.
const (
	highEnterPercent, highExitPercent         = 85, 70
	criticalEnterPercent, criticalExitPercent = 97, 90
)

// Snapshot is what a ledger holds at a moment.
type Snapshot struct {
	Used          [AccountCount]Bytes
	Peak          Bytes               // the most that was held in sum
	Rejections    [AccountCount]int64 // how often a Take was refused
	MaxOvercommit Bytes               // the most that Force brought it over Figures.Most
	Total         Bytes
	MaxTotal      Bytes
	Pressure      Pressure
}

// Budget is what is held.
type Budget struct {
	onPressureChange func(from, to Pressure, s Snapshot)

	mu             sync.Mutex
	options        Options
	usage          Snapshot
	pendingChanges []pressureChange // changes not told yet; emptied by whoever tells them
	notifying      bool             // somebody tells them
}

type pressureChange struct {
	from, to Pressure
	usage    Snapshot
}

// New makes a ledger that holds nothing. told, if not nil, is told of each change of pressure, in order, after the call that
// caused it, in some caller's goroutine, with no lock held.
func New(f Options, told func(from, to Pressure, s Snapshot)) *Budget {
	l := &Budget{onPressureChange: told}
	l.SetOptions(f)
	return l
}

// SetOptions puts other figures in force. What is held stays held.
func (l *Budget) SetOptions(f Options) {
	l.mu.Lock()
	l.options, l.usage.MaxTotal = f, f.MaxTotal
	l.updatePressure()
	l.notifyAndUnlock()
}

// Reserve holds so much more in an account, or nothing: false = the account's ceiling, or the sum less the floors of the others,
// would be passed. What is refused is to be turned away at once.
func (l *Budget) Reserve(a Account, n Bytes) bool {
	l.mu.Lock()
	if !l.canReserve(a, n) {
		l.usage.Rejections[a]++
		l.mu.Unlock()
		return false
	}
	l.add(a, n)
	l.notifyAndUnlock()
	return true
}

// ForceReserve holds so much more whatever the limits say. It is for what cannot be refused any more: an answer on its way, a value
// that has come for a search which may not be shed. It pushes out what comes after it.
func (l *Budget) ForceReserve(a Account, n Bytes) {
	l.mu.Lock()
	l.add(a, n)
	if over := l.usage.Total - l.options.MaxTotal; l.options.MaxTotal > 0 && over > l.usage.MaxOvercommit {
		l.usage.MaxOvercommit = over
	}
	l.notifyAndUnlock()
}

// Release gives back what Take or Force held.
func (l *Budget) Release(a Account, n Bytes) {
	l.mu.Lock()
	l.add(a, -n)
	l.notifyAndUnlock()
}

// Transfer hands what one account holds to another, so that it is never counted twice nor, for a moment, by nobody.
func (l *Budget) Transfer(from, to Account, n Bytes) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.usage.Used[from] -= n
	l.usage.Used[to] += n
}

// Snapshot tells what is held.
func (l *Budget) Snapshot() Snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usage
}

// Pressure tells how full the ledger is.
func (l *Budget) Pressure() Pressure {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usage.Pressure
}

// canReserve tells whether an account may hold so much more.
func (l *Budget) canReserve(a Account, n Bytes) bool {
	held := l.usage.Used[a] + n
	if most := l.options.Limits[a].Max; most > 0 && held > most {
		return false
	}
	if l.options.MaxTotal <= 0 {
		return true
	}
	if l.usage.Total+n > l.options.MaxTotal {
		return false
	}
	if held <= l.options.Limits[a].Reserved {
		return true // it was kept free for this, unless what was forced has used it up
	}
	free := l.options.MaxTotal - l.usage.Total - n
	for b := range AccountCount {
		if b != a {
			free -= max(l.options.Limits[b].Reserved-l.usage.Used[b], 0)
		}
	}
	return free >= 0
}

func (l *Budget) add(a Account, n Bytes) {
	l.usage.Used[a] += n
	l.usage.Total += n
	l.usage.Peak = max(l.usage.Peak, l.usage.Total)
	l.updatePressure()
}

// updatePressure finds the pressure, and notes a change.
func (l *Budget) updatePressure() {
	was, now := l.usage.Pressure, PressureNone
	if l.options.MaxTotal > 0 {
		at := l.usage.Total * 100
		switch {
		case at >= criticalEnterPercent*l.options.MaxTotal, was == PressureCritical && at >= criticalExitPercent*l.options.MaxTotal:
			now = PressureCritical
		case at >= highEnterPercent*l.options.MaxTotal, was >= PressureHigh && at >= highExitPercent*l.options.MaxTotal:
			now = PressureHigh
		}
	}
	if l.usage.Pressure = now; now != was && l.onPressureChange != nil {
		l.pendingChanges = append(l.pendingChanges, pressureChange{was, now, l.usage})
	}
}

// notifyAndUnlock gives the lock back and tells what changed. One caller at a time does so, so that changes are told in order; none
// waits for another.
func (l *Budget) notifyAndUnlock() {
	if l.notifying {
		l.mu.Unlock()
		return
	}
	l.notifying = true
	for len(l.pendingChanges) > 0 {
		queue := l.pendingChanges
		l.pendingChanges = nil
		l.mu.Unlock()
		for _, t := range queue {
			l.onPressureChange(t.from, t.to, t.usage)
		}
		l.mu.Lock()
	}
	l.notifying = false
	l.mu.Unlock()
}
