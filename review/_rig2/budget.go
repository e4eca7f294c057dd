package main

import (
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// ownEnds: the settings files change to budget_extra_tries = 0, and the gateways are stopped and started in turn, so that they
// read it. Processes may not end by themselves again and again.
func ownEnds(rec *record, trouble bool) int {
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
	for range 3 {
		s := c.newServer("one", j, 5*time.Millisecond)
		if err := s.start(); err != nil {
			rec.logf("%v", err)
			return failed
		}
		defer s.stop()
	}
	if status, _ := c.configure(1, 0, simpleConfig(1, "retryable")); status != 200 || !c.waitReady(10*time.Second) {
		rec.logf("no start")
		return failed
	}
	c.extraTries = "0"
	for _, p := range c.all() {
		if err := os.WriteFile(filepath.Join(c.dir, p.name+".toml"), []byte(p.settings()), 0o644); err != nil {
			return failed
		}
	}
	rec.logf("all settings files now have budget_extra_tries = 0")

	// The platform starts a process again after it has ended, a short delay later.
	stop := make(chan struct{})
	var mu sync.Mutex
	planned, ends := map[*process]bool{}, map[string]int{}
	var watchers sync.WaitGroup
	for _, g := range c.gateways {
		watchers.Go(func() {
			for {
				select {
				case <-g.exited:
				case <-stop:
					return
				}
				mu.Lock()
				if planned[g] {
					planned[g] = false
					rec.logf("%s has stopped, as planned: %v", g.name, g.cmd.ProcessState)
				} else {
					ends[g.name]++
					rec.logf("BROKEN: %s ended by itself: %v; %s", g.name, g.cmd.ProcessState, g.lastPanic())
				}
				mu.Unlock()
				time.Sleep(300 * time.Millisecond)
				if err := g.start(); err != nil {
					rec.logf("%v", err)
					return
				}
			}
		})
	}
	if trouble {
		watchers.Go(func() {
			for _, g := range c.gateways {
				time.Sleep(3 * time.Second)
				mu.Lock()
				planned[g] = true
				mu.Unlock()
				rec.logf("SIGTERM to %s", g.name)
				g.signal(15)
			}
		})
	}
	p := &platform{misses: map[*process]int{}, zones: [][]*process{c.gateways}}
	p.watch(stop)
	var tries []*try
	var clients sync.WaitGroup
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for start := time.Now(); time.Since(start) < 30*time.Second; {
		<-ticker.C
		g := p.pick(newID(), 0)
		clients.Go(func() {
			t := one(g, "GET", "a.example", "/one/x", time.Second, "", nil)
			mu.Lock()
			tries = append(tries, t)
			mu.Unlock()
		})
	}
	clients.Wait()
	close(stop)
	watchers.Wait()
	served, last := 0, 0
	for i, t := range tries {
		rec.logTry(t, j, "")
		if t.status == 200 {
			served++
			if i >= 2*len(tries)/3 {
				last++
			}
		}
	}
	machines := 0
	for _, n := range ends {
		if n >= 3 {
			machines++
		}
	}
	rec.logf("%d tries, %d served, %d of these in the last 10 s; own ends by machine %v", len(tries), served, last, ends)
	if machines >= 2 {
		return broken
	}
	return held
}

// lastPanic returns the last panic in a process's log.
func (p *process) lastPanic() string {
	b, _ := os.ReadFile(filepath.Join(p.c.dir, p.name+".log"))
	text := string(b)
	i := strings.LastIndex(text, "panic: ")
	if i < 0 {
		return "no panic in its log"
	}
	line, rest, _ := strings.Cut(text[i:], "\n")
	if k := strings.Index(rest, "oxbowspan/balancer."); k >= 0 {
		at, _, _ := strings.Cut(rest[k:], "(0x")
		line += " in " + at
	}
	return line
}
