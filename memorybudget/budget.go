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
	Awake    Account = iota // clients' connections with a goroutine: stacks, buffers, head
	Parked                  // clients' connections that wait without one: table entries
	Bodies                  // requests' bodies
	Searches                // open searches, their parts, and the values that are in
	Merges                  // rows of open merges
	Answers                 // final answers that are being written
	Servers                 // connections to shard servers, and frames on them that are not whole
	Accounts                // how many there are
)

var names = [Accounts]string{"awake", "parked", "bodies", "searches", "merges", "answers", "servers"}

// String is the account's name in log lines.
func (a Account) String() string {
	if a >= Accounts {
		return fmt.Sprintf("account(%d)", uint8(a))
	}
	return names[a]
}

// Share is what an account is granted.
type Share struct {
	Least Bytes // kept free for it by the others
	Most  Bytes // that it may hold; 0 = no limit of its own
}

// Figures are what a ledger goes by.
type Figures struct {
	// Most is what all accounts together may hold; 0 = no limit in sum. It has to lie under the machine's memory by what
	// the runtime itself, garbage and the program's text need.
	Most   Bytes
	Shares [Accounts]Share
}

// Pressure is how full a ledger is.
type Pressure uint8

// The pressures. A ledger is entered into a higher one and left for a lower one at different marks, so that work which
// hovers at a mark does not change it with each search.
const (
	Calm  Pressure = iota
	Tight          // from 85% on, until under 70%: who can do with less should
	Full           // from 97% on, until under 90%: what is not in hand is turned away
)

// String is the pressure's name in log lines.
func (p Pressure) String() string { return [...]string{"calm", "tight", "full"}[min(p, Full)] }

// Marks of pressure, in hundredths of Figures.Most.
const (
	tightOn, tightOff = 85, 70
	fullOn, fullOff   = 97, 90
)

// State is what a ledger holds at a moment.
type State struct {
	Held     [Accounts]Bytes
	Peak     Bytes           // the most that was held in sum
	Refused  [Accounts]int64 // how often a Take was refused
	Forced   Bytes           // the most that Force brought it over Figures.Most
	Sum      Bytes
	Most     Bytes
	Pressure Pressure
}

// Ledger is what is held.
type Ledger struct {
	told func(from, to Pressure, s State)

	mu    sync.Mutex
	f     Figures
	s     State
	queue []turn // changes not told yet; emptied by whoever tells them
	busy  bool   // somebody tells them
}

type turn struct {
	from, to Pressure
	s        State
}

// New makes a ledger that holds nothing. told, if not nil, is told of each change of pressure, in order, after the call that
// caused it, in some caller's goroutine, with no lock held.
func New(f Figures, told func(from, to Pressure, s State)) *Ledger {
	l := &Ledger{told: told}
	l.Limit(f)
	return l
}

// Limit puts other figures in force. What is held stays held.
func (l *Ledger) Limit(f Figures) {
	l.mu.Lock()
	l.f, l.s.Most = f, f.Most
	l.weigh()
	l.tell()
}

// Take holds so much more in an account, or nothing: false = the account's ceiling, or the sum less the floors of the others,
// would be passed. What is refused is to be turned away at once.
func (l *Ledger) Take(a Account, n Bytes) bool {
	l.mu.Lock()
	if !l.fits(a, n) {
		l.s.Refused[a]++
		l.mu.Unlock()
		return false
	}
	l.add(a, n)
	l.tell()
	return true
}

// Force holds so much more whatever the limits say. It is for what cannot be refused any more: an answer on its way, a value
// that has come for a search which may not be shed. It pushes out what comes after it.
func (l *Ledger) Force(a Account, n Bytes) {
	l.mu.Lock()
	l.add(a, n)
	if over := l.s.Sum - l.f.Most; l.f.Most > 0 && over > l.s.Forced {
		l.s.Forced = over
	}
	l.tell()
}

// Give gives back what Take or Force held.
func (l *Ledger) Give(a Account, n Bytes) {
	l.mu.Lock()
	l.add(a, -n)
	l.tell()
}

// Move hands what one account holds to another, so that it is never counted twice nor, for a moment, by nobody.
func (l *Ledger) Move(from, to Account, n Bytes) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.s.Held[from] -= n
	l.s.Held[to] += n
}

// State tells what is held.
func (l *Ledger) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.s
}

// Pressure tells how full the ledger is.
func (l *Ledger) Pressure() Pressure {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.s.Pressure
}

// fits tells whether an account may hold so much more.
func (l *Ledger) fits(a Account, n Bytes) bool {
	held := l.s.Held[a] + n
	if most := l.f.Shares[a].Most; most > 0 && held > most {
		return false
	}
	if l.f.Most <= 0 {
		return true
	}
	if l.s.Sum+n > l.f.Most {
		return false
	}
	if held <= l.f.Shares[a].Least {
		return true // it was kept free for this, unless what was forced has used it up
	}
	free := l.f.Most - l.s.Sum - n
	for b := range Accounts {
		if b != a {
			free -= max(l.f.Shares[b].Least-l.s.Held[b], 0)
		}
	}
	return free >= 0
}

func (l *Ledger) add(a Account, n Bytes) {
	l.s.Held[a] += n
	l.s.Sum += n
	l.s.Peak = max(l.s.Peak, l.s.Sum)
	l.weigh()
}

// weigh finds the pressure, and notes a change.
func (l *Ledger) weigh() {
	was, now := l.s.Pressure, Calm
	if l.f.Most > 0 {
		at := l.s.Sum * 100
		switch {
		case at >= fullOn*l.f.Most, was == Full && at >= fullOff*l.f.Most:
			now = Full
		case at >= tightOn*l.f.Most, was >= Tight && at >= tightOff*l.f.Most:
			now = Tight
		}
	}
	if l.s.Pressure = now; now != was && l.told != nil {
		l.queue = append(l.queue, turn{was, now, l.s})
	}
}

// tell gives the lock back and tells what changed. One caller at a time does so, so that changes are told in order; none
// waits for another.
func (l *Ledger) tell() {
	if l.busy {
		l.mu.Unlock()
		return
	}
	l.busy = true
	for len(l.queue) > 0 {
		queue := l.queue
		l.queue = nil
		l.mu.Unlock()
		for _, t := range queue {
			l.told(t.from, t.to, t.s)
		}
		l.mu.Lock()
	}
	l.busy = false
	l.mu.Unlock()
}
