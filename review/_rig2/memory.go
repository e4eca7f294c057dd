package main

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// rssMB returns the resident memory of a process in MB; 0 = it does not run.
func (p *process) rssMB() int {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for line := range strings.SplitSeq(string(b), "\n") {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb := 0
			fmt.Sscan(text, &kb)
			return kb >> 10
		}
	}
	return 0
}

// memoryLimit: clients send requests with bodies, and one of two gateways is killed for some seconds, then the other one, and so
// on. The one that is left gets the whole traffic; it may not exceed memory_mb while servers answer within milliseconds.
func memoryLimit(rec *record, trouble bool) int {
	const (
		limitMB  = 284
		rate     = 165     // requests a second, over both gateways
		bodySize = 262_144 // body_bytes
		calm     = 8 * time.Second
		gap      = 13 * time.Second
		kills    = 6
		away     = 2 * time.Second
		restart  = 500 * time.Millisecond
	)
	c, err := newCluster(rec, 3, 2)
	if err != nil {
		return failed
	}
	defer c.stop()
	if err := c.start(); err != nil {
		rec.logf("%v", err)
		return failed
	}
	j := &journal{}
	for range 6 {
		s := c.newServer("one", j, 10*time.Millisecond)
		if err := s.start(); err != nil {
			rec.logf("%v", err)
			return failed
		}
		defer s.stop()
	}
	config := strings.NewReplacer(`"timeout_ms":2000`, `"timeout_ms":6000`, `"target_ms":200`, `"target_ms":600`).Replace(simpleConfig(1, "retryable"))
	if status, _ := c.configure(1, 0, config); status != 200 || !c.waitReady(10*time.Second) {
		rec.logf("no start")
		return failed
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	p := &platform{misses: map[*process]int{}, zones: [][]*process{c.gateways}}
	p.watch(stop)
	body := bytes.Repeat([]byte("b"), bodySize)
	var open atomic.Int64
	var mu sync.Mutex
	outcomes := map[int]int{}
	var clients sync.WaitGroup
	clients.Go(func() {
		ticker := time.NewTicker(time.Second / rate)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			clients.Go(func() {
				status := 0
				for n := 0; n < 3 && status != 200; n++ { // a client's further tries are new ones, on new connections
					if n > 0 {
						time.Sleep(time.Duration(100*n) * time.Millisecond)
					}
					open.Add(1)
					status = one(p.pick(newID(), 0), "POST", "a.example", "/one/x", 5*time.Second, "", body).status
					open.Add(-1)
				}
				mu.Lock()
				outcomes[status]++
				mu.Unlock()
			})
		}
	})
	ends := map[string]int{}
	peak := map[string]int{}
	began := time.Now()
	killed := 0
	backAt := map[*process]time.Time{}
	troubledTo := map[*process]time.Time{} // ends up to a second after trouble on the machine are not its own
	for tick := 0; time.Since(began) < 90*time.Second; tick++ {
		time.Sleep(50 * time.Millisecond)
		if trouble && killed < kills && time.Since(began) > calm+time.Duration(killed)*gap {
			g := c.gateways[killed%2]
			killed++
			g.kill()
			backAt[g] = time.Now().Add(away)
			troubledTo[g] = backAt[g].Add(time.Second)
			rec.logf("trouble %d: %s killed for %v", killed, g.name, away)
		}
		line := ""
		for _, g := range c.gateways {
			if !g.running() {
				if at, ok := backAt[g]; ok && time.Now().After(at) {
					g.start()
					delete(backAt, g)
					rec.logf("%s started again", g.name)
				}
				continue
			}
			rss := g.rssMB()
			peak[g.name] = max(peak[g.name], rss)
			line += fmt.Sprintf(" %s %d MB,", g.name, rss)
			if rss > limitMB {
				if time.Now().After(troubledTo[g]) {
					ends[g.name]++
				}
				rec.logf("BROKEN: %s has %d MB, more than memory_mb = %d: killed by the platform (%d requests of clients open in all)", g.name, rss, limitMB, open.Load())
				g.kill()
				backAt[g] = time.Now().Add(restart)
			}
		}
		if tick%20 == 0 {
			mu.Lock()
			rec.logf("memory:%s requests open %d, ended by status %v", line, open.Load(), outcomes)
			mu.Unlock()
		}
	}
	close(stop)
	clients.Wait()
	machines := 0
	for _, n := range ends {
		if n >= 3 {
			machines++
		}
	}
	rec.logf("requests ended by status %v; peak memory %v MB; ends over the limit by machine %v", outcomes, peak, ends)
	if machines >= 2 {
		return broken
	}
	return held
}
