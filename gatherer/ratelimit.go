package gatherer

import (
	"time"

	"oxbowspan/connadmission"
)

// ioPhase is the kind of transfer in progress on a connection. Each phase may have a minimum rate at which the client
// must send or read.
type ioPhase uint8

const (
	noPhase ioPhase = iota
	readingHead
	readingBody
	writingAnswer
	phaseCount
)

// slowReasons are the end reasons of connections below the minimum rate, by phase.
var slowReasons = [phaseCount]endReason{
	readingHead: endSlowHead, readingBody: endSlowBody, writingAnswer: endSlowAnswer,
}

// enforcesMinRate reports whether any phase has a minimum rate.
func (l *listener) enforcesMinRate() bool {
	return l.minRates[readingHead].Enabled() || l.minRates[readingBody].Enabled() ||
		l.minRates[writingAnswer].Enabled()
}

// enterPhase begins a phase of a connection; noPhase ends the current one. During a phase the connection has one entry
// in the timer wheel, at the time when the client is too slow if it transfers nothing. Bytes transferred meanwhile do
// not move the entry: they are considered when it expires.
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
		c.remainingGrace = max(c.rateDeadline-now, 1)
	}
	c.phase = phase
	switch {
	case phase == writingAnswer && c.remainingGrace > 0:
		c.rateDeadline = now + c.remainingGrace
	case phase != noPhase:
		c.rateDeadline = l.minRates[phase].FirstDeadline(now)
	}
	rateDeadline := c.rateDeadline
	c.mu.Unlock()
	l.cancelTimeout(c.id)
	if phase != noPhase {
		l.scheduleRateCheck(c.id, rateDeadline-now)
	}
}

// scheduleRateCheck adds an entry for a connection to the timer wheel.
func (l *listener) scheduleRateCheck(id connadmission.ID, after connadmission.Millis) {
	l.conns[id].timeout = l.wheel.Add(l.tick(time.Duration(after)*time.Millisecond), uint32(id))
	l.resetTimer()
}

// recordProgress extends the deadline by the bytes that were transferred in the current phase. The caller holds c.mu.
func (c *clientConn) recordProgress(bytes int) {
	if c.phase != noPhase {
		c.rateDeadline = c.listener.minRates[c.phase].NextDeadline(c.rateDeadline, c.listener.now(), bytes)
	}
}

// isTooSlow reports whether a connection is below its minimum rate and must be closed. If it is not, it is checked
// again at its deadline, and if its request head is still incomplete, it is evicted before others from now on. The
// caller holds l.mu.
func (l *listener) isTooSlow(c *clientConn) bool {
	now := l.now()
	c.mu.Lock()
	phase, rateDeadline := c.phase, c.rateDeadline
	slow := phase != noPhase && l.minRates[phase].Exceeded(rateDeadline, now)
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
	l.scheduleRateCheck(c.id, rateDeadline-now)
	return false
}
