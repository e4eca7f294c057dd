package main

import (
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// firstStart: every process of the core is killed at once during the very first start, when files exist on two of them, and returns
// within a second. The system must come up.
func firstStart(rec *record, trouble bool) int {
	c, err := newCluster(rec, 3, 2)
	if err != nil {
		return failed
	}
	defer c.stop()
	j := &journal{}
	for range 2 {
		s := c.newServer("one", j, 5*time.Millisecond)
		if err := s.start(); err != nil {
			rec.logf("%v", err)
			return failed
		}
		defer s.stop()
	}
	began := time.Now()
	var starts sync.WaitGroup
	for _, p := range c.all() {
		starts.Go(func() { p.start() })
	}
	starts.Wait()
	if trouble {
		for time.Since(began) < 300*time.Millisecond {
			files := 0
			for _, p := range c.controllers {
				if _, err := os.Stat(filepath.Join(p.dataDir(), "hive.db")); err == nil {
					files++
				}
			}
			if files >= 2 {
				break
			}
		}
		for _, p := range c.controllers {
			p.signal(syscall.SIGKILL)
		}
		at := time.Now()
		for _, p := range c.controllers {
			<-p.exited
			info, err := os.Stat(filepath.Join(p.dataDir(), "hive.db"))
			size := int64(-1)
			if err == nil {
				size = info.Size()
			}
			rec.logf("%s killed %.1f ms after the first start began; its file has %d bytes", p.name, float64(at.Sub(began).Microseconds())/1000, size)
		}
		time.Sleep(500 * time.Millisecond)
	}
	c.firstStart = false
	if trouble {
		for _, p := range c.controllers {
			p.start()
		}
		rec.logf("all started again, with their disks and first_start = false")
	}
	status := 0
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end) && status != 200; {
		status, _ = c.configure(1, 0, simpleConfig(1, "retryable"))
	}
	served := 0
	if status == 200 {
		c.waitReady(10 * time.Second)
		time.Sleep(time.Second)
	}
	for range 20 {
		for _, g := range c.gateways {
			t := one(g, "GET", "a.example", "/one/x", time.Second, "", nil)
			rec.logTry(t, j, "")
			if t.status == 200 {
				served++
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	rec.logf("first configuration: %d; %d of 40 requests served, %.0f s after the start", status, served, time.Since(began).Seconds())
	if status != 200 && served == 0 {
		rec.logf("BROKEN: no request is served")
		return broken
	}
	return held
}
