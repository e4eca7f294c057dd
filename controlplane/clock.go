package controlplane

import "time"

// steadyClock returns the time since the process started. It belongs to the event loop.
type steadyClock struct{ startedAt time.Time }

func newSteadyClock() *steadyClock { return &steadyClock{startedAt: time.Now()} }

func (c *steadyClock) now() time.Duration { return time.Since(c.startedAt) }

// setBack sets the clock back, as on a machine that was suspended. For tests.
func (c *steadyClock) setBack(d time.Duration) { c.startedAt = c.startedAt.Add(d) }
