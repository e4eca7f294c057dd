package connadmission

// MinRate is the lowest rate at which a client must send its request or read its response. Without it a client that sends a byte
// a second holds a goroutine, buffers and a connection for as long as the longest timeout allows.
//
// It yields the deadline by which the next byte must be transferred, so that connections need not be polled: the deadline is
// set once and extended with each byte. A client is granted Grace at first, and is never ahead by more than twice that.
type MinRate struct {
	BytesPerSecond int64 // 0 = no lowest rate
	Grace          Millis
}

// Enabled reports whether there is a lowest rate.
func (r MinRate) Enabled() bool { return r.BytesPerSecond > 0 }

// FirstDeadline returns the deadline of the first byte of a phase that begins now.
func (r MinRate) FirstDeadline(now Millis) Millis { return now + r.Grace }

// NextDeadline returns the deadline of the next byte after n bytes have been transferred.
func (r MinRate) NextDeadline(deadline, now Millis, n int) Millis {
	if r.BytesPerSecond <= 0 {
		return deadline
	}
	return min(deadline+Millis(int64(n)*1000/r.BytesPerSecond), now+2*r.Grace)
}

// Exceeded reports whether a deadline has passed.
func (r MinRate) Exceeded(deadline, now Millis) bool { return r.BytesPerSecond > 0 && now >= deadline }
