package idempotency

// DiskGuard decides whether requests that need an intent on disk are accepted while the disk is slow. Without it each of them would
// wait for a hanging disk past its client's timeout, and all of them together would hold memory and descriptors. Requests that need
// no intent are not affected.
type DiskGuard struct {
	SlowAfter Time // a write that takes longer is late: the request gives up, and no new one is accepted meanwhile; 0 = never
	startedAt []Time
	finished  int // writes at the head of startedAt that have ended
}

// compactAfter is how many finished writes are kept at least before startedAt is compacted.
const compactAfter = 64

// Begin records that the write of an intent has begun. Writes end in the order in which they begin.
func (d *DiskGuard) Begin(now Time) { d.startedAt = append(d.startedAt, now) }

// End records that the oldest pending write has ended, successfully or not.
func (d *DiskGuard) End() {
	if d.finished < len(d.startedAt) {
		d.finished++
	}
	if d.finished == len(d.startedAt) {
		d.startedAt, d.finished = d.startedAt[:0], 0
	} else if d.finished > compactAfter && d.finished*2 > len(d.startedAt) {
		d.startedAt = append(d.startedAt[:0], d.startedAt[d.finished:]...)
		d.finished = 0
	}
}

// Timeout returns how long a request may wait for its intent, given the time left until its client's timeout. It leaves enough of
// that to answer the client.
func (d *DiskGuard) Timeout(left Time) Time {
	if d.SlowAfter <= 0 {
		return left / 2
	}
	return min(left/2, d.SlowAfter)
}

// Pending returns the number of writes that have not ended.
func (d *DiskGuard) Pending() int { return len(d.startedAt) - d.finished }

// Available reports whether another write may begin: the oldest pending one is not late.
func (d *DiskGuard) Available(now Time) bool {
	return d.Pending() == 0 || d.SlowAfter <= 0 || now-d.startedAt[d.finished] < d.SlowAfter
}
