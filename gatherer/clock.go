package gatherer

import (
	"time"

	"oxbowspan/balancer"
)

// tick is one unit of balancer.Time as a time.Duration.
const tick = time.Millisecond / time.Duration(balancer.Millisecond)

// clock is a monotonic clock: the Unix time at its creation plus the monotonic time elapsed since then. It never goes
// backwards, and its readings can be compared with the start times in the server list.
type clock struct {
	start time.Time
	unix  balancer.Time // Unix time at start
}

func newClock() clock {
	now := time.Now()
	return clock{now, balancer.Time(now.UnixNano() / int64(tick))}
}

func (c clock) now() balancer.Time { return c.unix + balancer.Time(time.Since(c.start)/tick) }

// duration converts a balancer.Time to a time.Duration.
func duration(t balancer.Time) time.Duration { return time.Duration(t) * tick }
