package dataplane

import (
	"time"

	"oxbowspan/balancer"
)

// balancerTick is the unit of balancer.Time.
const balancerTick = 100 * time.Microsecond

// duration converts the balancer's time to a time.Duration.
func duration(t balancer.Time) time.Duration { return time.Duration(t) * balancerTick }

// ticks converts a duration to the balancer's time.
func ticks(d time.Duration) balancer.Time { return balancer.Time(d / balancerTick) }

// ticksFromMillis converts milliseconds, as the configuration states them, to the balancer's time.
func ticksFromMillis(ms float64) balancer.Time {
	return balancer.Time(ms * float64(balancer.Millisecond))
}

// fromMillis converts milliseconds, as the configuration states them, to a duration.
func fromMillis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
