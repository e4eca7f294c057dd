package maintenance

// Drainer decides when a gatherer that is to shut down may begin to drain: once it has a permit, or after a time-out. Times are of the
// gatherer's own monotonic clock. It holds at most one permit.
type Drainer struct {
	timeout     Duration // the longest wait for a permit
	requested   bool
	requestedAt Time // when the shutdown was requested
	permit      *Permit
	returned    Epoch // permits up to this epoch were returned; late replies may still bring them
	draining    bool
	nextRequest Time
	backoff     Duration
}

// DrainAction is what is to be done now.
type DrainAction struct {
	RequestPermit bool // request a permit, and pass the reply to HandleReply
	Drain         bool // begin to drain; set once
	Permitted     bool // with Drain: a permit was granted. Draining without one is to be logged
	PollAt        Time // call Poll then; 0 = nothing to wait for
}

// initialBackoff is the delay after the first refusal or lost reply. It doubles up to an eighth of the time-out.
const initialBackoff Duration = 50

// NewDrainer returns a drainer that waits for a permit for at most timeout.
func NewDrainer(timeout Duration) *Drainer {
	return &Drainer{timeout: timeout, backoff: initialBackoff}
}

// Begin requests the shutdown. Repeated calls are harmless.
func (d *Drainer) Begin(now Time) DrainAction {
	if !d.requested {
		d.requested, d.requestedAt, d.nextRequest = true, now, now
	}
	return d.Poll(now)
}

// HandleReply takes the reply to a request for a permit; nil is a refusal or a lost reply.
func (d *Drainer) HandleReply(now Time, p *Permit) DrainAction {
	// A permit that was returned already is void: its reply was late, and another member may have been granted one since.
	if p != nil && p.Epoch > d.returned && d.requested {
		d.permit = p
	}
	return d.Poll(now)
}

// Poll returns what is to be done at a point in time.
func (d *Drainer) Poll(now Time) DrainAction {
	deadline := d.requestedAt + Time(d.timeout)
	switch {
	case !d.requested || d.draining:
		return DrainAction{}
	case d.permit != nil:
		d.draining = true
		return DrainAction{Drain: true, Permitted: true}
	case now >= deadline:
		d.draining = true // a shutdown is never refused: the platform would kill the process soon anyway
		return DrainAction{Drain: true}
	case now >= d.nextRequest:
		d.nextRequest = now + Time(d.backoff)
		d.backoff = min(2*d.backoff, max(d.timeout/8, initialBackoff))
		return DrainAction{RequestPermit: true, PollAt: min(d.nextRequest, deadline)}
	}
	return DrainAction{PollAt: min(d.nextRequest, deadline)}
}

// Cancel calls the shutdown off, unless draining has begun. It returns the permit that is to be returned, if there is one.
func (d *Drainer) Cancel() *Permit {
	if d.draining {
		return nil
	}
	p := d.permit
	if p != nil {
		d.returned = p.Epoch
	}
	d.requested, d.permit, d.backoff = false, nil, initialBackoff
	return p
}
