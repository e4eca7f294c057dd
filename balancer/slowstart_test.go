package balancer

import (
	"testing"
)

func TestColdClusterRecovers(t *testing.T) {
	b := newHarness(2, nil)
	b.answer(40, 500)
	b.clock += 20000
	b.handle(ServerList{ListComplete, []Server{{ID: 1, State: Ready, StartedAt: b.clock - 40000}, {ID: 2, State: Ready, StartedAt: b.clock - 40000}}})
	got := len(b.arrive(4)) + len(b.arrive(4))
	failIf(t, got < 5, "%d of 8 calls sent to a cluster at half its capacity", got)
}

func TestManyInstancesDoNotOverloadColdServer(t *testing.T) {
	var all []*harness
	for i := range uint64(90) {
		all = append(all, newHarness(2, func(c *Config) { c.Seed, c.Instances = (i+1)*0x9e3779b97f4a7c15, 90 }))
	}
	sent := make([]int, 400) // calls sent to the cold server, by tenths of the window
	chance := newMWC(5)
	for step := range Time(2000) { // one request per instance in about five windows, 18 per window in all
		b := all[chance.intN(90)]
		b.clock = 1000000 + step*555
		if b.clock > 1800000 && b.servers[1].state == Ready {
			b.handle(ServerList{ListComplete, []Server{{ID: 2, State: Ready, StartedAt: 1800000}}})
		}
		for _, s := range b.arrive(1) {
			if b.servers[1].state != Ready {
				sent[(b.clock-1800000)/1000]++
			}
			b.finish(s, 300, Answered)
		}
	}
	window, most, sum := 0, 0, 0
	for i := range 20 {
		window += sent[i] - append(make([]int, 10), sent...)[i]
		most, sum = max(most, window), sum+sent[i]
	}
	// The limit of 7 is twice a fifth of the 18 calls that a warm server may be sent.
	failIf(t, most > 7 || sum == 0, "the cold server was sent up to %d calls in one window, %d in two", most, sum)
}
