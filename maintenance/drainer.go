package maintenance

// Drainer is the side of the one who may be out: it decides when a gatherer that is to end may begin to drain. Time is its own
// monotonic clock's. It holds one permit at most.
type Drainer struct {
	timeout     Duration // the longest that an end waits for a permit
	requested   bool
	requestedAt Time // when the end was wanted
	permit      *Permit
	returned    Epoch // permits up to this one were given back: their answers may still be on the way
	draining    bool
	nextRequest Time
	backoff     Duration
}

// DrainAction is what a Holder wants done now.
type DrainAction struct {
	RequestPermit bool // ask a steward for a permit
	Drain         bool // begin to drain; once
	// Permitted tells of a Drain whether a permit was had. One that was not is to be logged.
	Permitted bool
	PollAt    Time // look again then; 0 = nothing to wait for
}

// initialBackoff is the pause after a first refusal or a lost answer; it doubles up to an eighth of the wait.
const initialBackoff Duration = 50

// NewDrainer is for a gatherer that waits for a permit for at most so long once it is told to end.
func NewDrainer(wait Duration) *Drainer { return &Drainer{timeout: wait, backoff: initialBackoff} }

// Begin says that the gatherer was told to end: it asks first, and ends in any case.
func (h *Drainer) Begin(now Time) DrainAction {
	if !h.requested {
		h.requested, h.requestedAt, h.nextRequest = true, now, now
	}
	return h.Poll(now)
}

// HandleReply takes the answer to an Ask; nil is a refusal, or that no steward could say.
func (h *Drainer) HandleReply(now Time, p *Permit) DrainAction {
	// A permit that was given back already is out of its time: the answer was late, and the machine may have let another go since.
	if p != nil && p.Epoch > h.returned && h.requested {
		h.permit = p
	}
	return h.Poll(now)
}

// Poll tells what to do as time passes.
func (h *Drainer) Poll(now Time) DrainAction {
	switch {
	case !h.requested || h.draining:
		return DrainAction{}
	case h.permit != nil:
		h.draining = true
		return DrainAction{Drain: true, Permitted: true}
	case now-h.requestedAt >= Time(h.timeout):
		h.draining = true // an end is never refused: the platform ends it a moment later anyway
		return DrainAction{Drain: true}
	case now >= h.nextRequest:
		h.nextRequest = now + Time(h.backoff)
		h.backoff = min(2*h.backoff, max(h.timeout/8, initialBackoff))
		return DrainAction{RequestPermit: true, PollAt: min(h.nextRequest, h.requestedAt+Time(h.timeout))}
	}
	return DrainAction{PollAt: min(h.nextRequest, h.requestedAt+Time(h.timeout))}
}

// Cancel says that the end is called off before the drain began. It returns the permit to be given back, if one was had.
func (h *Drainer) Cancel() *Permit {
	if h.draining {
		return nil
	}
	p := h.permit
	if p != nil {
		h.returned = p.Epoch
	}
	h.requested, h.permit, h.backoff = false, nil, initialBackoff
	return p
}
