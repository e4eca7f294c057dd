package dataplane

import (
	"time"

	"oxbowspan/balancer"
)

// balancerTick is the unit of balancer.Time as a time.Duration.
const balancerTick = 100 * time.Microsecond

// duration converts a balancer.Time to a time.Duration.
func duration(t balancer.Time) time.Duration { return time.Duration(t) * balancerTick }

// ticks converts a time.Duration to a balancer.Time, rounded toward zero.
func ticks(d time.Duration) balancer.Time { return balancer.Time(d / balancerTick) }

// ticksFromMillis converts milliseconds, the unit of the configuration, to a balancer.Time.
func ticksFromMillis(ms float64) balancer.Time {
	return balancer.Time(ms * float64(balancer.Millisecond))
}

// fromMillis converts milliseconds, the unit of the configuration, to a time.Duration.
func fromMillis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
