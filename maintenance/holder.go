package maintenance

// Holder is the side of the one who may be out: it decides when a gatherer that is to end may begin to drain. Time is its own
// monotonic clock's. It holds one permit at most.
type Holder struct {
	wait     Span // the longest that an end waits for a permit
	wanted   bool
	since    Moment // when the end was wanted
	permit   *Permit
	returned Epoch // permits up to this one were given back: their answers may still be on the way
	draining bool
	nextAsk  Moment
	pause    Span
}

// Holding is what a Holder wants done now.
type Holding struct {
	Ask   bool // ask a steward for a permit
	Drain bool // begin to drain; once
	// Agreed tells of a Drain whether a permit was had. One that was not is to be logged.
	Agreed bool
	At     Moment // look again then; 0 = nothing to wait for
}

// firstAsk is the pause after a first refusal or a lost answer; it doubles up to an eighth of the wait.
const firstAsk Span = 50

// NewHolder is for a gatherer that waits for a permit for at most so long once it is told to end.
func NewHolder(wait Span) *Holder { return &Holder{wait: wait, pause: firstAsk} }

// End says that the gatherer was told to end: it asks first, and ends in any case.
func (h *Holder) End(now Moment) Holding {
	if !h.wanted {
		h.wanted, h.since, h.nextAsk = true, now, now
	}
	return h.Look(now)
}

// Answered takes the answer to an Ask; nil is a refusal, or that no steward could say.
func (h *Holder) Answered(now Moment, p *Permit) Holding {
	// A permit that was given back already is out of its time: the answer was late, and the machine may have let another go since.
	if p != nil && p.Epoch > h.returned && h.wanted {
		h.permit = p
	}
	return h.Look(now)
}

// Look tells what to do as time passes.
func (h *Holder) Look(now Moment) Holding {
	switch {
	case !h.wanted || h.draining:
		return Holding{}
	case h.permit != nil:
		h.draining = true
		return Holding{Drain: true, Agreed: true}
	case now-h.since >= Moment(h.wait):
		h.draining = true // an end is never refused: the platform ends it a moment later anyway
		return Holding{Drain: true}
	case now >= h.nextAsk:
		h.nextAsk = now + Moment(h.pause)
		h.pause = min(2*h.pause, max(h.wait/8, firstAsk))
		return Holding{Ask: true, At: min(h.nextAsk, h.since+Moment(h.wait))}
	}
	return Holding{At: min(h.nextAsk, h.since+Moment(h.wait))}
}

// Stay says that the end is called off before the drain began. It returns the permit to be given back, if one was had.
func (h *Holder) Stay() *Permit {
	if h.draining {
		return nil
	}
	p := h.permit
	if p != nil {
		h.returned = p.Epoch
	}
	h.wanted, h.permit, h.pause = false, nil, firstAsk
	return p
}
