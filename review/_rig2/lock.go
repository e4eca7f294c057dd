package main

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// read asks a controller for the configuration.
func (p *process) read() (status int, body string) {
	resp, err := p.c.client.Get("http://" + p.control() + "/-/configuration/read")
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b)
}

// stalledDisk: one controller loses its disk right after it has acknowledged a version, and another one is killed while its disk
// stalls, and started again a short delay later. One disk is lost, as many as tolerated_losses allows: nothing that was
// acknowledged may be lost.
//
// A killed process whose thread waits for a stalled disk ends only once the disk answers, and holds its file's lock until then.
// No signal brings that about, so a stand-in holds the lock of the killed process's file for as long as the stall lasts.
func stalledDisk(rec *record, trouble bool) int {
	const (
		stall    = 3500 * time.Millisecond
		away     = 500 * time.Millisecond
		recovery = 12 * time.Second
	)
	c, err := newCluster(rec, 3, 1)
	if err != nil {
		return failed
	}
	defer c.stop()
	if err := c.start(); err != nil {
		rec.logf("%v", err)
		return failed
	}
	j := &journal{}
	for range 2 {
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
	time.Sleep(5 * time.Second)
	if status, _ := c.configure(2, 1, simpleConfig(2, "retryable")); status != 200 {
		return failed
	}
	acknowledged := time.Now()
	stalled, wiped := c.controllers[0], c.controllers[2]
	if trouble || os.Getenv("TROUBLE") == "nostall" {
		stalled.kill()
		wiped.kill()
		if err := os.RemoveAll(wiped.dataDir()); err != nil {
			return failed
		}
		rec.logf("%s killed; %s killed and its disk emptied", stalled.name, wiped.name)
		if os.Getenv("TROUBLE") != "nostall" {
			f, err := os.OpenFile(filepath.Join(stalled.dataDir(), "hive.db"), os.O_RDWR, 0)
			if err != nil {
				rec.logf("%v", err)
				return failed
			}
			if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
				rec.logf("%v", err)
				return failed
			}
			go func() {
				time.Sleep(stall)
				f.Close()
				rec.logf("the disk of %s answers again, and the killed process has ended: its lock is free", stalled.name)
			}()
		}
		time.Sleep(away)
		stalled.start()
		wiped.start()
		rec.logf("both started again, with first_start = false")
		time.Sleep(stall)
	}
	// After the stall and recovery_s the operator reads back, again and again for contact_ms and more.
	time.Sleep(recovery)
	last := ""
	for end := time.Now().Add(3 * contact); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, p := range c.controllers {
			if !p.running() {
				rec.logf("%s does not run", p.name)
				return failed
			}
			status, body := p.read()
			last = strings.TrimSpace(body)
			rec.logf("read at %s, %.1f s after the acknowledgement: %d %.60s", p.name, time.Since(acknowledged).Seconds(), status, last)
			if status == 200 {
				if strings.Contains(body, `"version":2`) {
					return held
				}
				rec.logf("BROKEN: an older version is read back")
				return broken
			}
		}
	}
	for _, p := range c.controllers {
		files, _ := os.ReadDir(p.dataDir())
		names := ""
		for _, f := range files {
			names += " " + f.Name()
		}
		rec.logf("files of %s:%s", p.name, names)
	}
	status, _, err := c.post(c.controllers[1], "/-/configuration/replace", map[string]string{"X-Based-On-Version": "2"}, simpleConfig(3, "retryable"))
	rec.logf("a further change: %d %v", status, err)
	rec.logf("BROKEN: version 2 was acknowledged and does not come, %.1f s after all machines are back", time.Since(acknowledged).Seconds()-stall.Seconds()-away.Seconds())
	return broken
}
