package idempotency

// Disk decides whether searches that need the disk are taken at all while it is slow. Without it each of them would wait for a
// disk that hangs, past its client's timeout, and all of them together would hold memory and descriptors; look-ups, which do not
// need it, go on either way.
type Disk struct {
	Slow    Time // an intent that takes longer is given up, and while one does nothing new is taken
	waiting []Time
	done    int // how many of the first in waiting are over
}

// Begins notes that an intent is being written. Intents end in the order in which they begin.
func (d *Disk) Begins(now Time) { d.waiting = append(d.waiting, now) }

// Ends notes that the first intent under way has been written, or not.
func (d *Disk) Ends() {
	if d.done < len(d.waiting) {
		d.done++
	}
	if d.done == len(d.waiting) {
		d.waiting, d.done = d.waiting[:0], 0
	} else if d.done > 64 && d.done*2 > len(d.waiting) {
		d.waiting = append(d.waiting[:0], d.waiting[d.done:]...)
		d.done = 0
	}
}

// Wait is how long a search waits for its intent, of what its client still waits: never so long that it could not be told.
func (d *Disk) Wait(patience Time) Time {
	if d.Slow <= 0 {
		return patience / 2
	}
	return min(patience/2, d.Slow)
}

// Waiting is how many intents are under way.
func (d *Disk) Waiting() int { return len(d.waiting) - d.done }

// Takes tells whether another intent may be written: the oldest one under way is not late.
func (d *Disk) Takes(now Time) bool {
	return d.Waiting() == 0 || d.Slow <= 0 || now-d.waiting[d.done] < d.Slow
}
