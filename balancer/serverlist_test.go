package balancer

import (
	"slices"
	"testing"
)

func TestListRequestBackoff(t *testing.T) {
	b := newHarness(1, func(c *Config) { c.ListOnRequest = true })
	longest := Time(0)
	for range 12 {
		timer := b.handle(ServerList{Kind: ListFailed})[0].(SetTimer)
		failIf(t, len(b.handle(ServerList{Kind: ListFailed})) != 0, "actions after a second failure: %v, want none", b.lastActions)
		longest, b.clock = max(longest, timer.At-b.clock), timer.At
		failIf(t, !slices.Equal(b.handle(TimerFired{timer.Timer}), []Action{Subscribe{}}),
			"actions when the timer fires: %v, want Subscribe", b.lastActions)
	}
	failIf(t, longest < 20000 || longest > 100000, "longest backoff %d, want 20000 to 100000", longest)
}
