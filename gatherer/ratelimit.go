package gatherer

import (
	"time"

	"oxbowspan/connadmission"
)

// ioPhase is what a connection is doing. Each phase has a minimum rate at which the client must send or read.
type ioPhase uint8

const (
	noPhase ioPhase = iota
	readingHead
	readingBody
	writingAnswer
	phaseCount
)

// slowReasons are the reasons of closing a client below the minimum rate, by phase.
var slowReasons = [phaseCount]endReason{
	readingHead: endSlowHead, readingBody: endSlowBody, writingAnswer: endSlowAnswer,
}

// enforcesMinRate reports whether any phase has a minimum rate.
func (l *listener) enforcesMinRate() bool {
	return l.minRates[readingHead].Enabled() || l.minRates[readingBody].Enabled() ||
		l.minRates[writingAnswer].Enabled()
}

// enterPhase begins a phase of a connection; noPhase ends the present one. The connection has one entry in the wheel, at
// the moment when the client is too slow if it transfers nothing. Transferred bytes are considered only then.
func (l *listener) enterPhase(c *clientConn, phase ioPhase) {
	if !l.enforcesMinRate() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.tracks(c) || phase != noPhase && !l.minRates[phase].Enabled() {
		return
	}
	now := l.now()
	c.mu.Lock()
	if c.phase == writingAnswer {
		c.graceLeft = max(c.slowAt-now, 1)
	}
	c.phase = phase
	switch {
	case phase == writingAnswer && c.graceLeft > 0:
		c.slowAt = now + c.graceLeft
	case phase != noPhase:
		c.slowAt = l.minRates[phase].FirstDeadline(now)
	}
	slowAt := c.slowAt
	c.mu.Unlock()
	l.cancelTimeout(c.id)
	if phase != noPhase {
		l.scheduleCheck(c.id, slowAt-now)
	}
}

// scheduleCheck sets the entry of a connection in the wheel.
func (l *listener) scheduleCheck(id connadmission.ID, after connadmission.Millis) {
	l.conns[id].timeout = l.wheel.Add(l.tick(time.Duration(after)*time.Millisecond), uint32(id))
	l.resetTimer()
}

// recordProgress records bytes that were transferred in the present phase. The connection's lock is held.
func (c *clientConn) recordProgress(bytes int) {
	if c.phase != noPhase {
		c.slowAt = c.listener.minRates[c.phase].NextDeadline(c.slowAt, c.listener.now(), bytes)
	}
}

// isTooSlow reports whether a connection is below its minimum rate and must be closed. If not it is checked again when it
// may be. One with an incomplete head is the first to be evicted from now on. The listener's lock is held.
func (l *listener) isTooSlow(c *clientConn) bool {
	now := l.now()
	c.mu.Lock()
	phase, slowAt := c.phase, c.slowAt
	slow := phase != noPhase && l.minRates[phase].Exceeded(slowAt, now)
	if slow && c.endReason == "" {
		c.endReason = slowReasons[phase]
	}
	c.mu.Unlock()
	if phase == noPhase || slow {
		return slow
	}
	if phase == readingHead {
		l.admission.MarkSlowHeader(c.id, now)
	}
	l.scheduleCheck(c.id, slowAt-now)
	return false
}
