package controlplane

import "time"

// Each gateway is sent every version in full. One that has just been sent a version is sent the next one after a delay that grows
// with the length of the former; of those decided meanwhile it is sent only the newest. A version that follows no other closely
// is sent at once.
const (
	pacingBytesPerSecond = 20 << 10 // of versions, to one gateway
	pacingMaxFraction    = 6        // the delay is at most this part of the time in which a version must be in force
)

// pacingDelay is how long a gateway waits for the next version after one of a length in bytes. InForceWithin is the time in which
// a version must be in force everywhere.
func pacingDelay(length int, inForceWithin time.Duration) time.Duration {
	return min(time.Duration(length)*time.Second/pacingBytesPerSecond, inForceWithin/pacingMaxFraction)
}

// nextVersionAt is when the gateway may be sent the next version.
func (g *gatewayState) nextVersionAt(inForceWithin time.Duration) time.Duration {
	if g.sentAt == 0 {
		return 0
	}
	return g.sentAt + pacingDelay(g.sentBytes, inForceWithin)
}

// recordSent notes that the gateway was sent a version of a length in bytes.
func (g *gatewayState) recordSent(length int, now time.Duration) { g.sentBytes, g.sentAt = length, now }
