package idempotency

// DiskGuard decides whether searches that need the disk are taken at all while it is slow. Without it each of them would wait for a
// disk that hangs, past its client's timeout, and all of them together would hold memory and descriptors; look-ups, which do not
// need it, go on either way.
type DiskGuard struct {
	SlowAfter Time // an intent that takes longer is given up, and while one does nothing new is taken
	startedAt []Time
	finished  int // how many of the first in waiting are over
}

// Begin notes that an intent is being written. Intents end in the order in which they begin.
func (d *DiskGuard) Begin(now Time) { d.startedAt = append(d.startedAt, now) }

// End notes that the first intent under way has been written, or not.
func (d *DiskGuard) End() {
	if d.finished < len(d.startedAt) {
		d.finished++
	}
	if d.finished == len(d.startedAt) {
		d.startedAt, d.finished = d.startedAt[:0], 0
	} else if d.finished > 64 && d.finished*2 > len(d.startedAt) {
		d.startedAt = append(d.startedAt[:0], d.startedAt[d.finished:]...)
		d.finished = 0
	}
}

// Timeout is how long a search waits for its intent, of what its client still waits: never so long that it could not be told.
func (d *DiskGuard) Timeout(patience Time) Time {
	if d.SlowAfter <= 0 {
		return patience / 2
	}
	return min(patience/2, d.SlowAfter)
}

// Pending is how many intents are under way.
func (d *DiskGuard) Pending() int { return len(d.startedAt) - d.finished }

// Available tells whether another intent may be written: the oldest one under way is not late.
func (d *DiskGuard) Available(now Time) bool {
	return d.Pending() == 0 || d.SlowAfter <= 0 || now-d.startedAt[d.finished] < d.SlowAfter
}
