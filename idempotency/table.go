package idempotency

import "oxbowspan/internal/deadlineheap"

// Time is a point in Unix time or a duration, in milliseconds.
type Time int64

// Key identifies a request and its repeats: it is derived from the customer, the query type and the client's idempotency key.
type Key string

// Digest is a digest of a request's contents; two requests with the same key must have the same digest.
type Digest uint64

// Verdict is what is to be done with a request that has arrived.
type Verdict uint8

const (
	// WriteIntent means that the key is new. The intent must be written; the request may be dispatched after ConfirmIntent.
	WriteIntent Verdict = iota
	// Replay means that the request was answered before; the stored answer is given again.
	Replay
	// InProgress means that an earlier request with the key is still running. This one fails at once.
	InProgress
	// OutcomeUnknown means that an earlier request with the key may have run. This one fails at once.
	OutcomeUnknown
	// KeyReused means that the key belongs to a request with another digest: this one is invalid.
	KeyReused
	// TableFull means that the table is at Config.MaxRequests. The request is shed; nothing of it was dispatched.
	TableFull
)

// Config sets the limits of a table.
type Config struct {
	Retention      Time // how long an entry is kept beyond the request's own timeout
	MaxRequests    int  // entries; 0 = no limit
	MaxAnswerBytes int  // bytes of all stored answers; 0 = no limit
}

// Change is a write to the store: a value for a key, or its removal.
type Change struct {
	Key   Key
	Value []byte // nil = remove the key
}

type stage uint8

// The stages; their numbers are stored.
const (
	stageIntended stage = iota + 1
	stageOpen
	stageAnswered
	stageUnknown
)

// describe returns what a stored stage means, for operators.
func (s stage) describe() string {
	switch s {
	case stageAnswered:
		return "answered"
	case stageUnknown:
		return "ended, may have run"
	}
	return "intended, may have run"
}

// inProgress reports whether a request in this stage is still running in this process.
func (s stage) inProgress() bool { return s == stageIntended || s == stageOpen }

type entry struct {
	key       Key
	stage     stage
	digest    Digest
	arrivedAt Time
	expiresAt Time
	answer    []byte // nil = none, or evicted

	deadlineheap.Position // in Table.byExpiry
}

// Table holds an entry for each request whose key is in use. Entries expire Config.Retention after the request's timeout.
type Table struct {
	config      Config
	now         Time // the latest time seen: a clock that steps back does not make anything younger
	entries     map[Key]*entry
	byExpiry    deadlineheap.Indexed[*entry]
	answerBytes int
}

// New returns an empty table.
func New(config Config) *Table { return &Table{config: config, entries: map[Key]*entry{}} }

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.entries) }

// Bytes returns the size of all stored answers.
func (t *Table) Bytes() int { return t.answerBytes }

// advanceClock moves the table's time forward. A clock that went back between two runs stands still here until it has caught up.
func (t *Table) advanceClock(now Time) Time {
	t.now = max(t.now, now)
	return t.now
}

// Restore adds an entry that an earlier process wrote. A request that was in progress then has an unknown outcome now. An error
// says that the value is malformed; the key's outcome is then unknown for the full retention.
func (t *Table) Restore(key Key, value []byte) error {
	e, err := decode(key, value)
	if err != nil {
		e = &entry{key: key, stage: stageUnknown, expiresAt: t.now + t.config.Retention}
	}
	if e.stage.inProgress() {
		e.stage = stageUnknown
	}
	t.advanceClock(e.arrivedAt)
	t.add(e)
	return err
}

// Arrive decides about a request that has arrived with a timeout. answer is set for Replay. changes are to be written in any case;
// for WriteIntent the last one is the intent.
func (t *Table) Arrive(now Time, key Key, digest Digest, timeout Time) (v Verdict, answer []byte, changes []Change) {
	now = t.advanceClock(now)
	changes = t.expire(now)
	if e := t.entries[key]; e != nil {
		v, answer = e.verdict(digest)
		return v, answer, changes
	}
	if t.config.MaxRequests > 0 && len(t.entries) >= t.config.MaxRequests {
		return TableFull, nil, changes
	}
	e := &entry{key: key, stage: stageIntended, digest: digest, arrivedAt: now, expiresAt: now + timeout + t.config.Retention}
	t.add(e)
	return WriteIntent, nil, append(changes, Change{key, e.encode()})
}

// verdict decides about a request whose key has an entry. The digest of a malformed entry is 0 and matches any.
func (e *entry) verdict(digest Digest) (v Verdict, answer []byte) {
	switch {
	case e.digest != digest && e.digest != 0:
		return KeyReused, nil
	case e.stage == stageAnswered && e.answer != nil:
		return Replay, e.answer
	case e.stage.inProgress():
		return InProgress, nil
	}
	return OutcomeUnknown, nil // also for an answer that was evicted
}

// ConfirmIntent records that a request's intent is on disk: it may be dispatched from now on. It returns false where the table does
// not wait for the intent.
func (t *Table) ConfirmIntent(key Key) bool {
	e := t.entries[key]
	if e == nil || e.stage != stageIntended {
		return false
	}
	e.stage = stageOpen
	return true
}

// RecordAnswer stores a request's final answer; it must be called before the answer is sent.
func (t *Table) RecordAnswer(key Key, answer []byte) (changes []Change) {
	e := t.entries[key]
	if e == nil || e.stage != stageOpen {
		return nil
	}
	e.stage = stageAnswered
	for _, evicted := range t.evictAnswers(len(answer)) {
		changes = append(changes, Change{evicted.key, evicted.encode()})
	}
	if t.config.MaxAnswerBytes <= 0 || t.answerBytes+len(answer) <= t.config.MaxAnswerBytes {
		e.answer = answer
		t.answerBytes += len(answer)
	}
	return append(changes, Change{key, e.encode()})
}

// RecordUnknown records that a request ended without a known outcome: it may or may not have run.
func (t *Table) RecordUnknown(key Key) []Change {
	e := t.entries[key]
	if e == nil || e.stage != stageOpen {
		return nil
	}
	e.stage = stageUnknown
	return []Change{{key, e.encode()}}
}

// Discard removes a request of which nothing has run or will run: its intent could not be written, or all its shard calls are known
// not to have run and none will follow. Its key may be used again.
func (t *Table) Discard(key Key) []Change {
	e := t.entries[key]
	if e == nil || !e.stage.inProgress() {
		return nil
	}
	t.remove(e)
	return []Change{{key, nil}}
}

// evictAnswers drops old answers until n more bytes fit, and returns the entries changed. That the requests were answered stays
// known.
func (t *Table) evictAnswers(n int) (evicted []*entry) {
	if t.config.MaxAnswerBytes <= 0 || n > t.config.MaxAnswerBytes {
		return nil
	}
	for e := range t.byExpiry.All() { // in heap order: the first ones are among the oldest
		if t.answerBytes+n <= t.config.MaxAnswerBytes {
			break
		}
		if e.answer != nil {
			t.answerBytes -= len(e.answer)
			e.answer = nil
			evicted = append(evicted, e)
		}
	}
	return evicted
}

// maxExpiredPerArrival bounds the work that one arrival does on expired entries.
const maxExpiredPerArrival = 16

// expire removes expired entries. One that is in progress in this process is kept.
func (t *Table) expire(now Time) (changes []Change) {
	for range maxExpiredPerArrival {
		e, ok := t.byExpiry.First()
		if !ok || e.expiresAt > now {
			break
		}
		if e.stage.inProgress() {
			e.expiresAt = now + t.config.Retention + 1
			t.byExpiry.Reschedule(int64(e.expiresAt), e)
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
	t.byExpiry.Push(int64(e.expiresAt), e)
}

func (t *Table) remove(e *entry) {
	delete(t.entries, e.key)
	t.answerBytes -= len(e.answer)
	t.byExpiry.Remove(e)
}
