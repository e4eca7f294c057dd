package gatherer

import (
	"time"

	"oxbowspan/balancer"
)

// tick is the time.Duration of one balancer.Time.
const tick = time.Millisecond / time.Duration(balancer.Millisecond)

// clock returns Unix time as it was at the start plus the monotonic time since then, so that it never goes back and can
// be compared with the start times in the server list.
type clock struct {
	start time.Time
	unix  balancer.Time // at the start
}

func newClock() clock {
	now := time.Now()
	return clock{now, balancer.Time(now.UnixNano() / int64(tick))}
}

func (c clock) now() balancer.Time { return c.unix + balancer.Time(time.Since(c.start)/tick) }

// duration converts a balancer.Time to a time.Duration.
func duration(t balancer.Time) time.Duration { return time.Duration(t) * tick }
