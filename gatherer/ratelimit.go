package gatherer

import (
	"time"

	"oxbowspan/connadmission"
)

// ioPhase is what a client is held to a least rate in.
type ioPhase uint8

const (
	noPhase ioPhase = iota
	readingHead
	readingBody
	writingAnswer
	phaseCount
)

// slowReasons is why a client that is too slow in a phase is closed.
var slowReasons = [phaseCount]string{readingHead: endSlowHead, readingBody: endSlowBody, writingAnswer: endSlowAnswer}

// enforcesMinRate tells whether clients are held to any least rate.
func (l *listener) enforcesMinRate() bool {
	return l.minRates[readingHead].Enabled() || l.minRates[readingBody].Enabled() || l.minRates[writingAnswer].Enabled()
}

// enterPhase begins a phase of a connection, or ends the present one with noPhase. One entry of the wheel stands for it, at the
// moment when the client is too slow if it does nothing: bytes that move later are looked at then, and not before.
func (l *listener) enterPhase(c *clientConn, p ioPhase) {
	if !l.enforcesMinRate() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if int(c.id) >= len(l.conns) || l.conns[c.id].conn != c || p != noPhase && !l.minRates[p].Enabled() {
		return
	}
	now := l.now()
	c.mu.Lock()
	if c.phase == writingAnswer {
		c.graceLeft = max(c.slowAt-now, 1)
	}
	c.phase = p
	switch {
	case p == writingAnswer && c.graceLeft > 0:
		c.slowAt = now + c.graceLeft
	case p != noPhase:
		c.slowAt = l.minRates[p].FirstDeadline(now)
	}
	due := c.slowAt
	c.mu.Unlock()
	l.cancelTimeout(c.id)
	if p != noPhase {
		l.scheduleCheck(c.id, due-now)
	}
}

// scheduleCheck sets a connection's entry in the wheel.
func (l *listener) scheduleCheck(id connadmission.ID, after connadmission.Millis) {
	l.conns[id].timeout = l.wheel.Add(l.tick(time.Duration(after)*time.Millisecond), uint32(id))
	l.resetTimer()
}

// recordProgress notes bytes that came or went in the present phase. Its lock is held.
func (c *clientConn) recordProgress(n int) {
	if c.phase != noPhase {
		c.slowAt = c.listener.minRates[c.phase].NextDeadline(c.slowAt, c.listener.now(), n)
	}
}

// isTooSlow looks at a connection whose entry came up: whether it is too slow and to be closed. If not it is looked at again when
// it may be. One that is slow with its head is the first to make room from now on. The listener's lock is held.
func (l *listener) isTooSlow(c *clientConn) bool {
	now := l.now()
	c.mu.Lock()
	p, due := c.phase, c.slowAt
	slow := p != noPhase && l.minRates[p].Exceeded(due, now)
	if slow && c.endReason == "" {
		c.endReason = slowReasons[p]
	}
	c.mu.Unlock()
	if p == noPhase || slow {
		return slow
	}
	if p == readingHead {
		l.admission.MarkSlowHeader(c.id, now)
	}
	l.scheduleCheck(c.id, due-now)
	return false
}
