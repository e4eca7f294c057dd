package idempotency

// DiskGuard decides whether requests that need an intent on disk are accepted while the disk is slow. Without it every such
// request would wait for a hanging disk until after its client's timeout, and together they would hold memory and
// descriptors. Requests that need no intent are not affected.
type DiskGuard struct {
	// WriteTimeout is the duration after which a pending write is late: its request stops waiting, and no new request is
	// accepted until the write has ended; 0 = never.
	WriteTimeout Time
	startedAt    []Time // of writes, in order; the first ones have ended
	ended        int    // number of ended writes at the start of startedAt
}

// compactAfter is the number of ended writes that startedAt must exceed before it is compacted.
const compactAfter = 64

// Begin records that the write of an intent has begun. Writes must end in the order in which they begin.
func (d *DiskGuard) Begin(now Time) { d.startedAt = append(d.startedAt, now) }

// End records that the oldest pending write has ended, successfully or not.
func (d *DiskGuard) End() {
	if d.ended < len(d.startedAt) {
		d.ended++
	}
	if d.ended == len(d.startedAt) {
		d.startedAt, d.ended = d.startedAt[:0], 0
	} else if d.ended > compactAfter && d.ended*2 > len(d.startedAt) {
		d.startedAt = append(d.startedAt[:0], d.startedAt[d.ended:]...)
		d.ended = 0
	}
}

// Timeout returns how long a request may wait for its intent, given the time remaining until its client's timeout. It is at
// most half of that, so that enough time is left to respond to the client.
func (d *DiskGuard) Timeout(remaining Time) Time {
	if d.WriteTimeout <= 0 {
		return remaining / 2
	}
	return min(remaining/2, d.WriteTimeout)
}

// Pending returns the number of writes that have not ended.
func (d *DiskGuard) Pending() int { return len(d.startedAt) - d.ended }

// Available reports whether another write may begin, which is the case unless the oldest pending write is late.
func (d *DiskGuard) Available(now Time) bool {
	return d.Pending() == 0 || d.WriteTimeout <= 0 || now-d.startedAt[d.ended] < d.WriteTimeout
}
