// Package idempotency decides what a gatherer may do with searches that must not run twice, across crashes and restarts: whether
// one that comes may be sent, must be answered from what is known of an earlier one with the same key, or must be answered that
// nobody knows. It owns the table of these searches, does no I/O, reads no clock, starts no goroutine, and is one goroutine's at
// a time. What must be written down first is told to its caller, who writes it.
//
// The life of such a search:
//
//	intended   its intent is being written; nothing of it has left            a crash: as if it had never come, or doubtful
//	open       its intent is on the disk; its parts may be sent               a crash: doubtful
//	answered   its answer is known                                            repeats get the same answer
//	doubtful   it may have run and nobody knows the outcome                   repeats are errored at once, never sent, never shed
//	(gone)     it is known not to have run                                    repeats are new searches
//
// The one rule behind all: a state is on the disk before what it permits is done. Only an intent permits anything, so only an
// intent is waited for; a later state that is lost in a crash leaves the search doubtful, which is always honest.
package idempotency

import (
	"container/heap"
	"encoding/binary"
	"errors"
	"fmt"
)

// Time is a moment in Unix milliseconds, or a span.
type Time int64

// Key names a search for whoever asks it again: derived from its customer, query type, and the client's own key.
type Key string

// Digest tells whether two searches of one key are the same.
type Digest uint64

// Verdict is what is to be done with a search that came.
type Verdict uint8

const (
	// Write means that nothing is known of it. Its intent must be stored; once Durable was called for it, it may be sent.
	Write Verdict = iota
	// Replay means that it was answered; the same answer is given again.
	Replay
	// Open means that the first one is still in progress. This one fails at once.
	Open
	// Doubtful means that it may have run. This one fails at once.
	Doubtful
	// Other means that the key belongs to a different search: the request is invalid.
	Other
	// Full means that the table is at its limit. The search is shed; nothing of it was sent.
	Full
)

// Figures are what a table goes by.
type Figures struct {
	Keep      Time // how long what became of a search is kept, beyond its client timeout
	Most      int  // searches held
	MostBytes int  // bytes of answers held
}

// Change is what is to be written: a value for a key, or nothing.
type Change struct {
	Key   Key
	Value []byte // nil = taken out
}

type stage uint8

const (
	intended stage = iota + 1
	open
	answered
	doubtful
)

type entry struct {
	key    Key
	stage  stage
	digest Digest
	at     Time // when it came
	until  Time // when it is forgotten
	answer []byte
	place  int // in the heap
}

// Table holds what is known.
type Table struct {
	f       Figures
	now     Time // the latest moment heard of: a clock that goes back does not make anything younger
	entries map[Key]*entry
	order   byUntil
	bytes   int // of answers
}

// New makes an empty table.
func New(f Figures) *Table { return &Table{f: f, entries: map[Key]*entry{}} }

// Len is how many searches are held, Bytes how many bytes of answers.
func (t *Table) Len() int { return len(t.entries) }

// Bytes is how many bytes of answers are held.
func (t *Table) Bytes() int { return t.bytes }

// tick takes a moment in. A clock that went back between two runs stands still here until it has caught up.
func (t *Table) tick(now Time) Time {
	t.now = max(t.now, now)
	return t.now
}

// Load takes in what was written in an earlier run. What was open is doubtful from now on. Its error says that a value is none
// of this table's; such a search is doubtful too, for as long as may be.
func (t *Table) Load(key Key, value []byte) error {
	e, err := decode(key, value)
	if err != nil {
		e = &entry{key: key, stage: doubtful, until: t.now + t.f.Keep}
	}
	if e.stage == intended || e.stage == open {
		e.stage = doubtful
	}
	t.tick(e.at)
	t.add(e)
	return err
}

// Arrive says what is to be done with a search that comes, and with Write what is to be written.
func (t *Table) Arrive(now Time, key Key, d Digest, patience Time) (v Verdict, answer []byte, changes []Change) {
	now = t.tick(now)
	changes = t.expire(now)
	if e := t.entries[key]; e != nil {
		switch {
		case e.digest != d && e.digest != 0:
			return Other, nil, changes
		case e.stage == answered && e.answer != nil:
			return Replay, e.answer, changes
		case e.stage == intended || e.stage == open:
			return Open, nil, changes
		}
		return Doubtful, nil, changes // also one whose answer is not held any more
	}
	if t.f.Most > 0 && len(t.entries) >= t.f.Most {
		return Full, nil, changes
	}
	e := &entry{key: key, stage: intended, digest: d, at: now, until: now + patience + t.f.Keep}
	t.add(e)
	return Write, nil, append(changes, Change{key, e.encode()})
}

// Durable says that a search's intent is on the disk: it may be sent from now on. false = it is not expected any more.
func (t *Table) Durable(key Key) bool {
	e := t.entries[key]
	if e == nil || e.stage != intended {
		return false
	}
	e.stage = open
	return true
}

// Answered says what a search's final answer is, before it is given.
func (t *Table) Answered(key Key, answer []byte) []Change {
	e := t.entries[key]
	if e == nil || e.stage != open {
		return nil
	}
	e.stage = answered
	changes := []Change(nil)
	for _, old := range t.roomFor(len(answer)) {
		changes = append(changes, Change{old.key, old.encode()})
	}
	if t.f.MostBytes <= 0 || t.bytes+len(answer) <= t.f.MostBytes {
		e.answer = answer
		t.bytes += len(answer)
	}
	return append(changes, Change{key, e.encode()})
}

// Unknown says that a search ended without anybody knowing whether it ran.
func (t *Table) Unknown(key Key) []Change {
	e := t.entries[key]
	if e == nil || e.stage != open {
		return nil
	}
	e.stage = doubtful
	return []Change{{key, e.encode()}}
}

// NeverRan says that nothing of a search has run or will: its intent could not be written, or all its sub-requests are known not
// to have run and none will follow. Its key is free again.
func (t *Table) NeverRan(key Key) []Change {
	e := t.entries[key]
	if e == nil || e.stage != open && e.stage != intended {
		return nil
	}
	t.remove(e)
	return []Change{{key, nil}}
}

// roomFor lets the oldest answers go until so many bytes fit. That they were given stays known.
func (t *Table) roomFor(n int) (changed []*entry) {
	if t.f.MostBytes <= 0 || n > t.f.MostBytes {
		return nil
	}
	for _, e := range t.order { // in the order of a heap: the first are among the oldest
		if t.bytes+n <= t.f.MostBytes {
			break
		}
		if e.answer != nil {
			t.bytes -= len(e.answer)
			e.answer = nil
			changed = append(changed, e)
		}
	}
	return changed
}

// mostExpired bounds what one arrival takes out.
const mostExpired = 16

// expire forgets what is past its time. What is under way in this run is never forgotten.
func (t *Table) expire(now Time) (changes []Change) {
	for range mostExpired {
		if len(t.order) == 0 || t.order[0].until > now {
			break
		}
		e := t.order[0]
		if e.stage == intended || e.stage == open {
			e.until = now + t.f.Keep + 1
			heap.Fix(&t.order, 0)
			continue
		}
		t.remove(e)
		changes = append(changes, Change{e.key, nil})
	}
	return changes
}

func (t *Table) add(e *entry) {
	if old := t.entries[e.key]; old != nil {
		t.remove(old)
	}
	t.entries[e.key] = e
	t.bytes += len(e.answer)
	heap.Push(&t.order, e)
}

func (t *Table) remove(e *entry) {
	delete(t.entries, e.key)
	t.bytes -= len(e.answer)
	heap.Remove(&t.order, e.place)
}

// An entry as it is written: its stage, digest, moments, and the answer. An intent is written as open: on the disk it may have
// been sent.
func (e *entry) encode() []byte {
	s := e.stage
	if s == intended {
		s = open
	}
	b := []byte{byte(s)}
	if e.stage == answered && e.answer != nil {
		b[0] |= withAnswer
	}
	b = binary.BigEndian.AppendUint64(b, uint64(e.digest))
	b = binary.AppendVarint(b, int64(e.at))
	b = binary.AppendVarint(b, int64(e.until))
	return append(b, e.answer...)
}

const withAnswer = 0x80

func decode(key Key, b []byte) (*entry, error) {
	bad := fmt.Errorf("what is kept of search %.40q is not of this form", string(key))
	if len(b) < 9 {
		return nil, bad
	}
	e := &entry{key: key, stage: stage(b[0] &^ withAnswer), digest: Digest(binary.BigEndian.Uint64(b[1:]))}
	if e.stage < open || e.stage > doubtful {
		return nil, bad
	}
	held := b[0]&withAnswer != 0
	b = b[9:]
	for _, at := range []*Time{&e.at, &e.until} {
		v, n := binary.Varint(b)
		if n <= 0 {
			return nil, bad
		}
		*at, b = Time(v), b[n:]
	}
	if held {
		e.answer = append([]byte{}, b...)
	} else if len(b) > 0 {
		return nil, bad
	}
	return e, nil
}

// Describe says in words what a written value is, for operators.
func Describe(value []byte) (string, error) {
	e, err := decode("", value)
	if err != nil {
		return "", errors.New("not of this form")
	}
	what := map[stage]string{open: "intended, may have run", answered: "answered", doubtful: "ended, may have run"}[e.stage]
	if e.stage == answered && e.answer == nil {
		what += ", its answer is not held any more"
	}
	return fmt.Sprintf("%s; came %d, kept until %d; %d bytes of answer", what, e.at, e.until, len(e.answer)), nil
}

// byUntil orders entries by when they are forgotten.
type byUntil []*entry

func (h byUntil) Len() int           { return len(h) }
func (h byUntil) Less(i, j int) bool { return h[i].until < h[j].until }
func (h byUntil) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}
func (h *byUntil) Push(x any) {
	e := x.(*entry)
	e.place = len(*h)
	*h = append(*h, e)
}
func (h *byUntil) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
