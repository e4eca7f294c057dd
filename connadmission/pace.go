package connadmission

// Pace is the least rate at which a client must send its request, or read its answer. Without it a client that trickles a
// byte a second holds a goroutine, buffers and a place for as long as the longest limit allows, and a few hundred such
// clients hold all there are.
//
// It says by when a client that does nothing more is too slow, so that nobody has to look at it before: what is due is set
// once and moved on with each byte. A client gets Grace at the beginning, and never more than twice that ahead, whatever it
// sent in one go before.
type Pace struct {
	Rate  int64 // bytes a second; 0 = no least rate
	Grace Time
}

// On tells whether there is a least rate.
func (p Pace) On() bool { return p.Rate > 0 }

// Begin is by when the first byte of a phase that begins now must have moved.
func (p Pace) Begin(now Time) Time { return now + p.Grace }

// Moved is by when the next byte must move, after n bytes have.
func (p Pace) Moved(due, now Time, n int) Time {
	if p.Rate <= 0 {
		return due
	}
	return min(due+Time(int64(n)*1000/p.Rate), now+2*p.Grace)
}

// Slow tells whether a client is too slow.
func (p Pace) Slow(due, now Time) bool { return p.Rate > 0 && now >= due }
