package connadmission

// MinRate is the minimum rate at which a client must send its request or read its response. Without it a client that sends one
// byte a second holds a goroutine, buffers and a connection for as long as the longest timeout allows.
//
// It is enforced by a deadline for the transfer of the next byte, so that connections need not be polled: the deadline is set
// once per phase and extended with each byte transferred. The first deadline is Grace after the start of the phase, and no
// deadline is more than twice Grace in the future.
type MinRate struct {
	BytesPerSecond int64  // 0 = no minimum rate
	Grace          Millis // time allowed for the first byte
}

// Enabled reports whether there is a minimum rate.
func (r MinRate) Enabled() bool { return r.BytesPerSecond > 0 }

// FirstDeadline returns the deadline for the first byte of a phase that begins now.
func (r MinRate) FirstDeadline(now Millis) Millis { return now + r.Grace }

// NextDeadline returns the deadline for the next byte after n more bytes have been transferred.
func (r MinRate) NextDeadline(deadline, now Millis, n int) Millis {
	if r.BytesPerSecond <= 0 {
		return deadline
	}
	return min(deadline+Millis(int64(n)*1000/r.BytesPerSecond), now+2*r.Grace)
}

// Exceeded reports whether a deadline has passed. Without a minimum rate it returns false.
func (r MinRate) Exceeded(deadline, now Millis) bool { return r.BytesPerSecond > 0 && now >= deadline }
