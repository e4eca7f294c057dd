package lab

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"oxbowspan/internal/testing/simcluster"
)

// system is a built system on loopback: hives and foragers as processes, servers and clients of this one.
type system struct {
	c       *simcluster.Cluster
	hives   []*exec.Cmd
	gather  []*exec.Cmd
	boot    map[*exec.Cmd]string
	program func(boot, name string) (*exec.Cmd, error)
}

// startSystem starts the programs beside the gatherer, adds servers by fill, and has a configuration agreed on.
func (e *Env) startSystem(name string, hives, foragers int, alone bool, conf []byte, fill func(c *simcluster.Cluster)) (*system, error) {
	dir := filepath.Join(e.Dir, name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	s := &system{c: simcluster.NewLocal(dir, hives, foragers), boot: map[*exec.Cmd]string{}}
	s.c.LocalOutlierDetection = alone
	atHive, atForager, err := s.c.WriteSettings()
	if err != nil {
		return nil, err
	}
	s.program = func(boot, name string) (*exec.Cmd, error) {
		p := exec.Command(filepath.Join(filepath.Dir(e.Program), name), "--boot", boot, "--log-level", "warn", "serve")
		p.Stderr = e.Out
		if err := p.Start(); err != nil {
			return nil, fmt.Errorf("%s can't be started: %w", name, err)
		}
		s.boot[p] = boot
		return p, nil
	}
	for _, path := range atHive {
		p, err := s.program(path, "hive")
		if err != nil {
			s.stop()
			return nil, err
		}
		s.hives = append(s.hives, p)
	}
	for _, path := range atForager {
		p, err := s.program(path, "forager")
		if err != nil {
			s.stop()
			return nil, err
		}
		s.gather = append(s.gather, p)
	}
	fill(s.c)
	for _, srv := range s.c.Servers {
		if err := srv.Start(); err != nil {
			s.stop()
			return nil, err
		}
	}
	for until := time.Now().Add(10 * time.Second); s.c.ReplaceConfiguration(s.c.Controllers[0], 0, conf) != http.StatusOK; {
		if time.Now().After(until) {
			s.stop()
			return nil, fmt.Errorf("no configuration is agreed on")
		}
		time.Sleep(100 * time.Millisecond)
	}
	return s, nil
}

// stop kills what this system started.
func (s *system) stop() {
	for _, p := range append(s.hives, s.gather...) {
		p.Process.Signal(syscall.SIGKILL)
		p.Wait()
	}
	for _, srv := range s.c.Servers {
		srv.Crash(false)
	}
}

// kill kills a forager, begin starts it anew.
func (s *system) kill(i int) {
	s.gather[i].Process.Signal(syscall.SIGKILL)
	s.gather[i].Wait()
}

func (s *system) begin(i int) error {
	p, err := s.program(s.boot[s.gather[i]], "forager")
	if err == nil {
		s.gather[i] = p
	}
	return err
}

// freeze stops a process for a time.
func freeze(p *exec.Cmd, d time.Duration) {
	p.Process.Signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() { p.Process.Signal(syscall.SIGCONT) })
}

// standard adds the example's servers.
func standard(work time.Duration) func(c *simcluster.Cluster) {
	return func(c *simcluster.Cluster) {
		for _, service := range simcluster.ExampleServices {
			for range 3 {
				c.AddServer(service, work)
			}
		}
	}
}
