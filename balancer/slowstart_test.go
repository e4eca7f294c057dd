package balancer

import (
	"testing"
)

func TestColdClusterRecovers(t *testing.T) {
	b := newHarness(2, nil)
	b.answer(40, 500)
	b.at += 20000
	b.do(ServerList{ListComplete, []Server{{ID: 1, State: Ready, StartedAt: b.at - 40000}, {ID: 2, State: Ready, StartedAt: b.at - 40000}}})
	got := len(b.arrive(4)) + len(b.arrive(4))
	failIf(t, got < 5, "%d of 8 calls sent to a cluster at half its capacity", got)
}

func TestManyInstancesDoNotOverloadColdServer(t *testing.T) {
	var all []*harness
	for i := range uint64(90) {
		all = append(all, newHarness(2, func(c *Config) { c.Seed, c.Instances = (i+1)*0x9e3779b97f4a7c15, 90 }))
	}
	sent := make([]int, 400) // to the cold server, by tenths of the window
	chance := newMWC(5)
	for step := range Time(2000) { // an instance gets a request in about five windows; together they get 18 a window
		b := all[chance.intN(90)]
		b.at = 1000000 + step*555
		if b.at > 1800000 && b.servers[1].state == Ready {
			b.do(ServerList{ListComplete, []Server{{ID: 2, State: Ready, StartedAt: 1800000}}})
		}
		for _, s := range b.arrive(1) {
			if b.servers[1].state != Ready {
				sent[(b.at-1800000)/1000]++
			}
			b.finish(s, 300, Answered)
		}
	}
	window, most, sum := 0, 0, 0
	for i := range 20 {
		window += sent[i] - append(make([]int, 10), sent...)[i]
		most, sum = max(most, window), sum+sent[i]
	}
	// Seven is twice a fifth of the 18 that a warm server can be sent.
	failIf(t, most > 7 || sum == 0, "%d calls in one window, %d in two", most, sum)
}
