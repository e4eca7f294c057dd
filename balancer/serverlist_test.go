package balancer

import (
	"slices"
	"testing"
)

func TestListRequestBackoff(t *testing.T) {
	b := newHarness(1, func(c *Config) { c.ListOnRequest = true })
	longest := Time(0)
	for range 12 {
		timer := b.do(ServerList{Kind: ListFailed})[0].(SetTimer)
		failIf(t, len(b.do(ServerList{Kind: ListFailed})) != 0, "a second failure: %v", b.last)
		longest, b.at = max(longest, timer.At-b.at), timer.At
		failIf(t, !slices.Equal(b.do(TimerFired{timer.Timer}), []Action{Subscribe{}}), "when the timer fires: %v", b.last)
	}
	failIf(t, longest < 20000 || longest > 100000, "longest backoff %d", longest)
}
