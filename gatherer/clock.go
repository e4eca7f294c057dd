package gatherer

import (
	"time"

	"oxbowspan/balancer"
)

// tick is a brain.Time of one.
const tick = time.Millisecond / time.Duration(balancer.Millisecond)

// clock is the program's one clock: Unix time as it was at the start, carried on monotonically, so that it
// never goes back and the moments that the list tells fit it.
type clock struct {
	start time.Time
	unix  balancer.Time
}

func newClock() clock {
	now := time.Now()
	return clock{now, balancer.Time(now.UnixNano() / int64(tick))}
}

func (c clock) now() balancer.Time { return c.unix + balancer.Time(time.Since(c.start)/tick) }

func duration(t balancer.Time) time.Duration { return time.Duration(t) * tick }
