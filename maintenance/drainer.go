package maintenance

// Drainer decides when a gatherer whose shutdown was requested may begin to drain: when it is granted a permit, or
// after a timeout. All times are read from the gatherer's own monotonic clock. A Drainer holds at most one permit.
type Drainer struct {
	timeout       Duration // maximum wait for a permit
	requested     bool
	requestedAt   Time // when the shutdown was requested
	permit        *Permit
	lastReturned  Epoch // permits up to this epoch were returned; delayed replies may still carry them
	draining      bool
	nextRequestAt Time
	backoff       Duration
}

// DrainAction lists what the caller must do now.
type DrainAction struct {
	RequestPermit bool // request a permit, and pass the reply to HandleReply
	Drain         bool // begin to drain; set in one action only
	Permitted     bool // with Drain: a permit was granted. The caller must log a drain without one
	PollAt        Time // when to call Poll next; 0 = not at all
}

// initialBackoff is the delay, in milliseconds, before the first retry of a permit request that was refused or whose
// reply was lost. Each retry doubles the delay, up to an eighth of the timeout.
const initialBackoff Duration = 50

// NewDrainer returns a drainer that waits for a permit for at most timeout.
func NewDrainer(timeout Duration) *Drainer {
	return &Drainer{timeout: timeout, backoff: initialBackoff}
}

// Begin starts the shutdown. If it was already started, Begin is the same as Poll.
func (d *Drainer) Begin(now Time) DrainAction {
	if !d.requested {
		d.requested, d.requestedAt, d.nextRequestAt = true, now, now
	}
	return d.Poll(now)
}

// HandleReply processes the reply to a permit request. p is nil if the request was refused or the reply was lost.
func (d *Drainer) HandleReply(now Time, p *Permit) DrainAction {
	// This excludes a delayed reply with a permit that was already returned: another member may have been granted one since.
	if p != nil && p.Epoch > d.lastReturned && d.requested {
		d.permit = p
	}
	return d.Poll(now)
}

// Poll returns the action that is due at the time now.
func (d *Drainer) Poll(now Time) DrainAction {
	deadline := d.requestedAt + Time(d.timeout)
	switch {
	case !d.requested || d.draining:
		return DrainAction{}
	case d.permit != nil:
		d.draining = true
		return DrainAction{Drain: true, Permitted: true}
	case now >= deadline:
		d.draining = true // a shutdown is never refused: the platform would soon kill the process anyway
		return DrainAction{Drain: true}
	case now >= d.nextRequestAt:
		d.nextRequestAt = now + Time(d.backoff)
		d.backoff = min(2*d.backoff, max(d.timeout/8, initialBackoff))
		return DrainAction{RequestPermit: true, PollAt: min(d.nextRequestAt, deadline)}
	}
	return DrainAction{PollAt: min(d.nextRequestAt, deadline)}
}

// Cancel cancels the shutdown unless draining has begun. It returns the permit that the caller must return to the
// fleet; nil = none.
func (d *Drainer) Cancel() *Permit {
	if d.draining {
		return nil
	}
	p := d.permit
	if p != nil {
		d.lastReturned = p.Epoch
	}
	d.requested, d.permit, d.backoff = false, nil, initialBackoff
	return p
}
