package controlplane

import "time"

// Each gateway receives every version in full. After a version was sent, the next one is delayed in proportion to the length of
// the version sent before; of the versions decided during the delay only the newest is sent. A version that doesn't closely follow
// another one is sent without delay.
const (
	pacingBytesPerSecond = 20 << 10 // rate at which versions are sent to one gateway
	pacingDelayDivisor   = 6        // the delay is at most the configuration apply limit divided by this
)

// pacingDelay returns the minimum time between sending a gateway a version of the given length in bytes and the next version.
// configApplyLimit is the time within which a version must be active at all gateways.
func pacingDelay(length int, configApplyLimit time.Duration) time.Duration {
	return min(time.Duration(length)*time.Second/pacingBytesPerSecond, configApplyLimit/pacingDelayDivisor)
}

// nextVersionAt returns the earliest time at which the next version may be sent to the gateway.
func (g *gatewayState) nextVersionAt(configApplyLimit time.Duration) time.Duration {
	if g.sentAt == 0 {
		return 0
	}
	return g.sentAt + pacingDelay(g.sentBytes, configApplyLimit)
}

// recordSent records that a version of the given length in bytes was sent to the gateway.
func (g *gatewayState) recordSent(length int, now time.Duration) { g.sentBytes, g.sentAt = length, now }
