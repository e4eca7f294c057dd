package connadmission

// MinRate is the least rate at which a client must send its request, or read its answer. Without it a client that trickles a
// byte a second holds a goroutine, buffers and a place for as long as the longest limit allows, and a few hundred such
// clients hold all there are.
//
// It says by when a client that does nothing more is too slow, so that nobody has to look at it before: what is due is set
// once and moved on with each byte. A client gets Grace at the beginning, and never more than twice that ahead, whatever it
// sent in one go before.
type MinRate struct {
	BytesPerSecond int64 // bytes a second; 0 = no least rate
	Grace          Millis
}

// Enabled tells whether there is a least rate.
func (p MinRate) Enabled() bool { return p.BytesPerSecond > 0 }

// FirstDeadline is by when the first byte of a phase that begins now must have moved.
func (p MinRate) FirstDeadline(now Millis) Millis { return now + p.Grace }

// NextDeadline is by when the next byte must move, after n bytes have.
func (p MinRate) NextDeadline(due, now Millis, n int) Millis {
	if p.BytesPerSecond <= 0 {
		return due
	}
	return min(due+Millis(int64(n)*1000/p.BytesPerSecond), now+2*p.Grace)
}

// Exceeded tells whether a client is too slow.
func (p MinRate) Exceeded(due, now Millis) bool { return p.BytesPerSecond > 0 && now >= due }
