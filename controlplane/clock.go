package controlplane

import "time"

// monotonicClock measures the time since the process started. It is owned by the event loop.
type monotonicClock struct{ startedAt time.Time }

func newMonotonicClock() *monotonicClock { return &monotonicClock{startedAt: time.Now()} }

func (c *monotonicClock) now() time.Duration { return time.Since(c.startedAt) }

// setBack sets the clock back by a duration, which simulates a machine that was suspended. For tests.
func (c *monotonicClock) setBack(d time.Duration) { c.startedAt = c.startedAt.Add(d) }
