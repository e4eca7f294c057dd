package gatherer

import (
	"time"

	"oxbowspan/connadmission"
	"oxbowspan/internal/timerwheel"
)

// wheelTick is the resolution of idle timeouts and of the checks of minimum rates.
const wheelTick = 100 * time.Millisecond

// startWheel creates the timer wheel unless it exists.
func (l *listener) startWheel() {
	if l.wheel == nil {
		l.wheel = timerwheel.New(0)
		l.timer = time.AfterFunc(time.Hour, l.advanceWheel)
	}
}

// tick returns the first tick of the wheel that begins after a duration from now.
func (l *listener) tick(after time.Duration) int64 {
	return int64((time.Since(l.startedAt)+after)/wheelTick) + 1
}

// advanceWheel closes the parked connections whose timeout has expired and the connections below the minimum rate. It
// is called by the timer.
func (l *listener) advanceWheel() {
	l.mu.Lock()
	slow := l.expireUntil(int64(time.Since(l.startedAt) / wheelTick))
	l.mu.Unlock()
	for _, c := range slow {
		c.Close()
	}
}

// expireUntil processes the entries of the wheel up to a tick. It closes parked connections itself, and returns the
// connections below the minimum rate for the caller to close. The caller holds l.mu.
func (l *listener) expireUntil(tick int64) (slow []*clientConn) {
	l.wheel.Advance(tick, func(value uint32) {
		slot := &l.conns[value]
		slot.timeout = 0
		switch {
		case slot.conn != nil:
			if l.isTooSlow(slot.conn) {
				slow = append(slow, slot.conn)
			}
		case slot.requests == 0: // the client expects a close if it has not sent its first request in time
			l.closeUnlessReadable(connadmission.ID(value), endReadLimit)
		default:
			l.closeUnlessReadable(connadmission.ID(value), endIdleLimit)
		}
	})
	l.resetTimer()
	return slow
}

// resetTimer sets the timer to the next entry of the wheel.
func (l *listener) resetTimer() {
	if next, ok := l.wheel.Next(); ok && !l.closed {
		l.timer.Reset(max(time.Until(l.startedAt.Add(time.Duration(next)*wheelTick)), 0))
	}
}

// cancelTimeout removes the entry of a connection from the wheel, if there is one.
func (l *listener) cancelTimeout(id connadmission.ID) {
	if slot := &l.conns[id]; slot.timeout != 0 {
		l.wheel.Cancel(slot.timeout)
		slot.timeout = 0
	}
}
