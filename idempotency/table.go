package idempotency

import "oxbowspan/internal/deadlineheap"

// Time is a point in Unix time or a duration, in milliseconds.
type Time int64

// Key identifies a request and its retries: it is derived from the customer, the query type and the client's idempotency key.
type Key string

// Digest is a digest of a request's contents. Requests with the same key must have the same digest.
type Digest uint64

// Verdict is the decision on how to handle a request that has arrived.
type Verdict uint8

const (
	// WriteIntent means that the key is new. The intent must be written; after ConfirmIntent the request may be dispatched.
	WriteIntent Verdict = iota
	// Replay means that the request was answered before. The stored answer must be sent again.
	Replay
	// InProgress means that an earlier request with the key is still in progress. This one must fail at once.
	InProgress
	// OutcomeUnknown means that an earlier request with the key may have run. This one must fail at once.
	OutcomeUnknown
	// KeyReused means that the key belongs to a request with another digest. This request is invalid.
	KeyReused
	// TableFull means that the table holds Config.MaxRequests entries. The request must be shed; nothing of it was dispatched.
	TableFull
)

// Config sets the limits of a table.
type Config struct {
	Retention      Time // how long an entry is kept after the request's timeout
	MaxRequests    int  // maximum number of entries; 0 = no limit
	MaxAnswerBytes int  // maximum total size of the stored answers in bytes; 0 = no limit
}

// Change is a write to the store: the new value of a key, or the key's removal.
type Change struct {
	Key   Key
	Value []byte // nil = remove the key
}

// stage is the stage of a request; the package documentation describes the stages.
type stage uint8

// The stages. Their numbers are part of the stored form.
const (
	stageIntended stage = iota + 1
	stageOpen
	stageAnswered
	stageUnknown
)

// describe returns the meaning of a stored stage, for operators.
func (s stage) describe() string {
	switch s {
	case stageAnswered:
		return "answered"
	case stageUnknown:
		return "ended, may have run"
	}
	return "intended, may have run"
}

// inProgress reports whether a request in this stage is still in progress in this process.
func (s stage) inProgress() bool { return s == stageIntended || s == stageOpen }

// entry is the state of one request.
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
	now         Time // latest time passed in: a clock that steps back does not extend the retention of entries
	entries     map[Key]*entry
	byExpiry    deadlineheap.Indexed[*entry]
	answerBytes int // total size of the stored answers
}

// New returns an empty table.
func New(config Config) *Table { return &Table{config: config, entries: map[Key]*entry{}} }

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.entries) }

// Bytes returns the total size of the stored answers.
func (t *Table) Bytes() int { return t.answerBytes }

// advanceClock advances the table's time to now and returns it. If the clock was set back, even between two runs of the
// process, the table's time does not advance until the clock has caught up.
func (t *Table) advanceClock(now Time) Time {
	t.now = max(t.now, now)
	return t.now
}

// Restore adds an entry that an earlier process wrote. The outcome of a request that was in progress then is unknown. If the
// value is malformed, Restore returns an error that wraps ErrMalformed, and the outcome of the key is unknown for
// Config.Retention, counted from the latest arrival that the table has recorded or restored so far.
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

// Admit decides how to handle a request that has arrived. timeout is the request's own timeout. answer is set for Replay. The
// caller must write changes whatever the verdict; for WriteIntent the last one is the intent.
func (t *Table) Admit(now Time, key Key, digest Digest, timeout Time) (v Verdict, answer []byte, changes []Change) {
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

// verdict decides how to handle a request whose key has an entry. The digest of a malformed entry is 0 and matches every
// digest.
func (e *entry) verdict(digest Digest) (v Verdict, answer []byte) {
	switch {
	case e.digest != digest && e.digest != 0:
		return KeyReused, nil
	case e.stage == stageAnswered && e.answer != nil:
		return Replay, e.answer
	case e.stage.inProgress():
		return InProgress, nil
	}
	return OutcomeUnknown, nil // also if the answer was evicted
}

// ConfirmIntent records that a request's intent is on disk, so that the request may be dispatched. It returns false if the
// table is not waiting for that intent.
func (t *Table) ConfirmIntent(key Key) bool {
	e := t.entries[key]
	if e == nil || e.stage != stageIntended {
		return false
	}
	e.stage = stageOpen
	return true
}

// RecordAnswer stores a request's final answer. It must be called before the answer is sent. An answer that exceeds
// Config.MaxAnswerBytes is not stored, but the request still counts as answered.
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

// Discard removes a request that has not run and will not run: its intent could not be written, or all its shard calls are
// known not to have run and no others will follow. Its key may be used again.
func (t *Table) Discard(key Key) []Change {
	e := t.entries[key]
	if e == nil || !e.stage.inProgress() {
		return nil
	}
	t.remove(e)
	return []Change{{key, nil}}
}

// evictAnswers drops old answers until n more bytes fit, and returns the changed entries. Their requests remain in the stage
// answered.
func (t *Table) evictAnswers(n int) (evicted []*entry) {
	if t.config.MaxAnswerBytes <= 0 || n > t.config.MaxAnswerBytes {
		return nil
	}
	for e := range t.byExpiry.All() { // in heap order, so the first entries are among the oldest
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

// maxExpiredPerArrival limits the number of expired entries that one arrival removes.
const maxExpiredPerArrival = 16

// expire removes up to maxExpiredPerArrival expired entries and returns the changes. The expiry of a request that is in
// progress in this process is postponed.
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

// add adds an entry and replaces that of the same key, if there is one.
func (t *Table) add(e *entry) {
	if old := t.entries[e.key]; old != nil {
		t.remove(old)
	}
	t.entries[e.key] = e
	t.answerBytes += len(e.answer)
	t.byExpiry.Push(int64(e.expiresAt), e)
}

// remove removes an entry.
func (t *Table) remove(e *entry) {
	delete(t.entries, e.key)
	t.answerBytes -= len(e.answer)
	t.byExpiry.Remove(e)
}
