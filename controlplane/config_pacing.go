package controlplane

import (
	"time"

	"oxbowspan/internal/settings"
	"oxbowspan/rpc"
)

// A version goes whole to each gatherer. One that has just been given a version is given the next one after a pause that grows with
// its length; of those that came meanwhile it gets the newest alone. The first one after a pause goes out at once.
const (
	pacingBytesPerSecond = 20 << 10 // of versions that a gatherer is given in a second
	pacingMaxFraction    = 6        // of the time in which a version must be in force, one part at most is spent waiting
)

// pacingDelay is how long a gatherer rests after a version of so many bytes.
func pacingDelay(length int, inForceWithin time.Duration) time.Duration {
	return min(time.Duration(length)*time.Second/pacingBytesPerSecond, inForceWithin/pacingMaxFraction)
}

// hasVersion tells whether a newer version than the asker's is known to be agreed.
func (h *Controller) hasVersion(a *rpc.Poll) bool {
	return h.learner.confirmed && uint64(h.learner.value.Slot) > a.Slot
}

// nextVersionAt is when the asker may be given the next version.
func (h *Controller) nextVersionAt(a *rpc.Poll) time.Duration {
	if a.From == nil {
		return 0
	}
	f := h.gateways[a.From.Incarnation]
	if f == nil || f.sentAt == 0 {
		return 0
	}
	return f.sentAt + pacingDelay(f.sentBytes, settings.Milliseconds(h.settings.Bounds.ConfigApplyMS))
}

// recordVersionSent notes that the asker was given a version.
func (h *Controller) recordVersionSent(a *rpc.Poll, length int, now time.Duration) {
	if a.From == nil {
		return
	}
	if f := h.gateways[a.From.Incarnation]; f != nil {
		f.sentBytes, f.sentAt = length, now
	}
}

// scheduleVersion has the waiters looked at again when the first that rests may be given a version.
func (h *Controller) scheduleVersion(a *rpc.Poll) {
	if !h.hasVersion(a) {
		return
	}
	if at := h.nextVersionAt(a); h.updateAt == 0 || at < h.updateAt {
		h.updateAt = max(at, 1)
	}
}
