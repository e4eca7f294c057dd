package hive

import (
	"time"

	"oxbowspan/dance"
	"oxbowspan/internal/boot"
)

// A version goes whole to each gatherer. One that has just been given a version is given the next one after a pause that grows with
// its length; of those that came meanwhile it gets the newest alone. The first one after a pause goes out at once.
const (
	paceBytes = 20 << 10 // of versions that a gatherer is given in a second
	paceShare = 6        // of the time in which a version must be in force, one part at most is spent waiting
)

// pause is how long a gatherer rests after a version of so many bytes.
func pause(length int, inForceWithin time.Duration) time.Duration {
	return min(time.Duration(length)*time.Second/paceBytes, inForceWithin/paceShare)
}

// hasVersion tells whether a newer version than the asker's is known to be agreed.
func (h *Hive) hasVersion(a *dance.Ask) bool { return h.confirmed && uint64(h.known.Slot) > a.Turn }

// versionAt is when the asker may be given the next version.
func (h *Hive) versionAt(a *dance.Ask) time.Duration {
	if a.From == nil {
		return 0
	}
	f := h.foragers[a.From.Life]
	if f == nil || f.givenAt == 0 {
		return 0
	}
	return f.givenAt + pause(f.given, boot.Milliseconds(h.set.Bounds.ConfigApplyMS))
}

// gave notes that the asker was given a version.
func (h *Hive) gave(a *dance.Ask, length int, now time.Duration) {
	if a.From == nil {
		return
	}
	if f := h.foragers[a.From.Life]; f != nil {
		f.given, f.givenAt = length, now
	}
}

// rouse has the waiters looked at again when the first that rests may be given a version.
func (h *Hive) rouse(a *dance.Ask) {
	if !h.hasVersion(a) {
		return
	}
	if at := h.versionAt(a); h.newsAt == 0 || at < h.newsAt {
		h.newsAt = max(at, 1)
	}
}
