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
	// WriteIntent means that nothing is known of it. Its intent must be stored; once Durable was called for it, it may be sent.
	WriteIntent Verdict = iota
	// Replay means that it was answered; the same answer is given again.
	Replay
	// InProgress means that the first one is still in progress. This one fails at once.
	InProgress
	// OutcomeUnknown means that it may have run. This one fails at once.
	OutcomeUnknown
	// KeyReused means that the key belongs to a different search: the request is invalid.
	KeyReused
	// TableFull means that the table is at its limit. The search is shed; nothing of it was sent.
	TableFull
)

// Config are what a table goes by.
type Config struct {
	Retention      Time // how long what became of a search is kept, beyond its client timeout
	MaxRequests    int  // searches held
	MaxAnswerBytes int  // bytes of answers held
}

// Change is what is to be written: a value for a key, or nothing.
type Change struct {
	Key   Key
	Value []byte // nil = taken out
}

type stage uint8

const (
	stageIntended stage = iota + 1
	stageOpen
	stageAnswered
	stageUnknown
)

type entry struct {
	key       Key
	stage     stage
	digest    Digest
	arrivedAt Time // when it came
	expiresAt Time // when it is forgotten
	answer    []byte
	heapIndex int // in the heap
}

// Table holds what is known.
type Table struct {
	config      Config
	now         Time // the latest moment heard of: a clock that goes back does not make anything younger
	entries     map[Key]*entry
	byExpiry    expiryHeap
	answerBytes int // of answers
}

// New makes an empty table.
func New(f Config) *Table { return &Table{config: f, entries: map[Key]*entry{}} }

// Len is how many searches are held, Bytes how many bytes of answers.
func (t *Table) Len() int { return len(t.entries) }

// Bytes is how many bytes of answers are held.
func (t *Table) Bytes() int { return t.answerBytes }

// advanceClock takes a moment in. A clock that went back between two runs stands still here until it has caught up.
func (t *Table) advanceClock(now Time) Time {
	t.now = max(t.now, now)
	return t.now
}

// Restore takes in what was written in an earlier run. What was open is doubtful from now on. Its error says that a value is none
// of this table's; such a search is doubtful too, for as long as may be.
func (t *Table) Restore(key Key, value []byte) error {
	e, err := decode(key, value)
	if err != nil {
		e = &entry{key: key, stage: stageUnknown, expiresAt: t.now + t.config.Retention}
	}
	if e.stage == stageIntended || e.stage == stageOpen {
		e.stage = stageUnknown
	}
	t.advanceClock(e.arrivedAt)
	t.add(e)
	return err
}

// Arrive says what is to be done with a search that comes, and with Write what is to be written.
func (t *Table) Arrive(now Time, key Key, d Digest, patience Time) (v Verdict, answer []byte, changes []Change) {
	now = t.advanceClock(now)
	changes = t.expire(now)
	if e := t.entries[key]; e != nil {
		switch {
		case e.digest != d && e.digest != 0:
			return KeyReused, nil, changes
		case e.stage == stageAnswered && e.answer != nil:
			return Replay, e.answer, changes
		case e.stage == stageIntended || e.stage == stageOpen:
			return InProgress, nil, changes
		}
		return OutcomeUnknown, nil, changes // also one whose answer is not held any more
	}
	if t.config.MaxRequests > 0 && len(t.entries) >= t.config.MaxRequests {
		return TableFull, nil, changes
	}
	e := &entry{key: key, stage: stageIntended, digest: d, arrivedAt: now, expiresAt: now + patience + t.config.Retention}
	t.add(e)
	return WriteIntent, nil, append(changes, Change{key, e.encode()})
}

// ConfirmIntent says that a search's intent is on the disk: it may be sent from now on. false = it is not expected any more.
func (t *Table) ConfirmIntent(key Key) bool {
	e := t.entries[key]
	if e == nil || e.stage != stageIntended {
		return false
	}
	e.stage = stageOpen
	return true
}

// RecordAnswer says what a search's final answer is, before it is given.
func (t *Table) RecordAnswer(key Key, answer []byte) []Change {
	e := t.entries[key]
	if e == nil || e.stage != stageOpen {
		return nil
	}
	e.stage = stageAnswered
	changes := []Change(nil)
	for _, old := range t.evictAnswers(len(answer)) {
		changes = append(changes, Change{old.key, old.encode()})
	}
	if t.config.MaxAnswerBytes <= 0 || t.answerBytes+len(answer) <= t.config.MaxAnswerBytes {
		e.answer = answer
		t.answerBytes += len(answer)
	}
	return append(changes, Change{key, e.encode()})
}

// RecordUnknown says that a search ended without anybody knowing whether it ran.
func (t *Table) RecordUnknown(key Key) []Change {
	e := t.entries[key]
	if e == nil || e.stage != stageOpen {
		return nil
	}
	e.stage = stageUnknown
	return []Change{{key, e.encode()}}
}

// Discard says that nothing of a search has run or will: its intent could not be written, or all its sub-requests are known not
// to have run and none will follow. Its key is free again.
func (t *Table) Discard(key Key) []Change {
	e := t.entries[key]
	if e == nil || e.stage != stageOpen && e.stage != stageIntended {
		return nil
	}
	t.remove(e)
	return []Change{{key, nil}}
}

// evictAnswers lets the oldest answers go until so many bytes fit. That they were given stays known.
func (t *Table) evictAnswers(n int) (changed []*entry) {
	if t.config.MaxAnswerBytes <= 0 || n > t.config.MaxAnswerBytes {
		return nil
	}
	for _, e := range t.byExpiry { // in the order of a heap: the first are among the oldest
		if t.answerBytes+n <= t.config.MaxAnswerBytes {
			break
		}
		if e.answer != nil {
			t.answerBytes -= len(e.answer)
			e.answer = nil
			changed = append(changed, e)
		}
	}
	return changed
}

// maxExpiredPerArrival bounds what one arrival takes out.
const maxExpiredPerArrival = 16

// expire forgets what is past its time. What is under way in this run is never forgotten.
func (t *Table) expire(now Time) (changes []Change) {
	for range maxExpiredPerArrival {
		if len(t.byExpiry) == 0 || t.byExpiry[0].expiresAt > now {
			break
		}
		e := t.byExpiry[0]
		if e.stage == stageIntended || e.stage == stageOpen {
			e.expiresAt = now + t.config.Retention + 1
			heap.Fix(&t.byExpiry, 0)
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
	t.answerBytes += len(e.answer)
	heap.Push(&t.byExpiry, e)
}

func (t *Table) remove(e *entry) {
	delete(t.entries, e.key)
	t.answerBytes -= len(e.answer)
	heap.Remove(&t.byExpiry, e.heapIndex)
}

// An entry as it is written: its stage, digest, moments, and the answer. An intent is written as open: on the disk it may have
// been sent.
func (e *entry) encode() []byte {
	s := e.stage
	if s == stageIntended {
		s = stageOpen
	}
	b := []byte{byte(s)}
	if e.stage == stageAnswered && e.answer != nil {
		b[0] |= flagAnswer
	}
	b = binary.BigEndian.AppendUint64(b, uint64(e.digest))
	b = binary.AppendVarint(b, int64(e.arrivedAt))
	b = binary.AppendVarint(b, int64(e.expiresAt))
	return append(b, e.answer...)
}

const flagAnswer = 0x80

func decode(key Key, b []byte) (*entry, error) {
	bad := fmt.Errorf("what is kept of search %.40q is not of this form", string(key))
	if len(b) < 9 {
		return nil, bad
	}
	e := &entry{key: key, stage: stage(b[0] &^ flagAnswer), digest: Digest(binary.BigEndian.Uint64(b[1:]))}
	if e.stage < stageOpen || e.stage > stageUnknown {
		return nil, bad
	}
	held := b[0]&flagAnswer != 0
	b = b[9:]
	for _, at := range []*Time{&e.arrivedAt, &e.expiresAt} {
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
	what := map[stage]string{stageOpen: "intended, may have run", stageAnswered: "answered", stageUnknown: "ended, may have run"}[e.stage]
	if e.stage == stageAnswered && e.answer == nil {
		what += ", its answer is not held any more"
	}
	return fmt.Sprintf("%s; came %d, kept until %d; %d bytes of answer", what, e.arrivedAt, e.expiresAt, len(e.answer)), nil
}

// expiryHeap orders entries by when they are forgotten.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiresAt < h[j].expiresAt }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}
func (h *expiryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
