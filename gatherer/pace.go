package gatherer

import (
	"time"

	"oxbowspan/connadmission"
)

// phase is what a client is held to a least rate in.
type phase uint8

const (
	noPhase phase = iota
	readsHead
	readsBody
	writes
	phases
)

// slowIn is why a client that is too slow in a phase is closed.
var slowIn = [phases]string{readsHead: endSlowHead, readsBody: endSlowBody, writes: endSlowAnswer}

// paces tells whether clients are held to any least rate.
func (l *listener) paces() bool {
	return l.pace[readsHead].On() || l.pace[readsBody].On() || l.pace[writes].On()
}

// enter begins a phase of a connection, or ends the present one with noPhase. One entry of the wheel stands for it, at the
// moment when the client is too slow if it does nothing: bytes that move later are looked at then, and not before.
func (l *listener) enter(c *clientConn, p phase) {
	if !l.paces() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if int(c.id) >= len(l.conns) || l.conns[c.id].c != c || p != noPhase && !l.pace[p].On() {
		return
	}
	now := l.now()
	c.mu.Lock()
	if c.phase == writes {
		c.left = max(c.due-now, 1)
	}
	c.phase = p
	switch {
	case p == writes && c.left > 0:
		c.due = now + c.left
	case p != noPhase:
		c.due = l.pace[p].Begin(now)
	}
	due := c.due
	c.mu.Unlock()
	l.unlimit(c.id)
	if p != noPhase {
		l.watch(c.id, due-now)
	}
}

// watch sets a connection's entry in the wheel.
func (l *listener) watch(id connadmission.ID, after connadmission.Time) {
	l.conns[id].limit = l.limits.Add(l.tick(time.Duration(after)*time.Millisecond), uint32(id))
	l.await()
}

// moved notes bytes that came or went in the present phase. Its lock is held.
func (c *clientConn) moved(n int) {
	if c.phase != noPhase {
		c.due = c.l.pace[c.phase].Moved(c.due, c.l.now(), n)
	}
}

// late looks at a connection whose entry came up: whether it is too slow and to be closed. If not it is looked at again when
// it may be. One that is slow with its head is the first to make room from now on. The listener's lock is held.
func (l *listener) late(c *clientConn) bool {
	now := l.now()
	c.mu.Lock()
	p, due := c.phase, c.due
	slow := p != noPhase && l.pace[p].Slow(due, now)
	if slow && c.why == "" {
		c.why = slowIn[p]
	}
	c.mu.Unlock()
	if p == noPhase || slow {
		return slow
	}
	if p == readsHead {
		l.who.Trickles(c.id, now)
	}
	l.watch(c.id, due-now)
	return false
}
