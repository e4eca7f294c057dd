package experiment

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

// localCluster is a built system on loopback: hives and foragers as processes, servers and clients of this one.
type localCluster struct {
	cluster       *simcluster.Cluster
	controllers   []*exec.Cmd
	gateways      []*exec.Cmd
	settingsPaths map[*exec.Cmd]string
	startProgram  func(boot, name string) (*exec.Cmd, error)
}

// startCluster starts the programs beside the gatherer, adds servers by fill, and has a configuration agreed on.
func (e *Env) startCluster(name string, hives, foragers int, alone bool, conf []byte, fill func(c *simcluster.Cluster)) (*localCluster, error) {
	dir := filepath.Join(e.Dir, name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	s := &localCluster{cluster: simcluster.NewLocal(dir, hives, foragers), settingsPaths: map[*exec.Cmd]string{}}
	s.cluster.LocalOutlierDetection = alone
	atHive, atForager, err := s.cluster.WriteSettings()
	if err != nil {
		return nil, err
	}
	s.startProgram = func(boot, name string) (*exec.Cmd, error) {
		p := exec.Command(filepath.Join(filepath.Dir(e.GathererPath), name), "--boot", boot, "--log-level", "warn", "serve")
		p.Stderr = e.Out
		if err := p.Start(); err != nil {
			return nil, fmt.Errorf("%s can't be started: %w", name, err)
		}
		s.settingsPaths[p] = boot
		return p, nil
	}
	for _, path := range atHive {
		p, err := s.startProgram(path, "oxbowspan-control")
		if err != nil {
			s.stop()
			return nil, err
		}
		s.controllers = append(s.controllers, p)
	}
	for _, path := range atForager {
		p, err := s.startProgram(path, "oxbowspan-gateway")
		if err != nil {
			s.stop()
			return nil, err
		}
		s.gateways = append(s.gateways, p)
	}
	fill(s.cluster)
	for _, srv := range s.cluster.Servers {
		if err := srv.Start(); err != nil {
			s.stop()
			return nil, err
		}
	}
	for until := time.Now().Add(10 * time.Second); s.cluster.ReplaceConfiguration(s.cluster.Controllers[0], 0, conf) != http.StatusOK; {
		if time.Now().After(until) {
			s.stop()
			return nil, fmt.Errorf("no configuration is agreed on")
		}
		time.Sleep(100 * time.Millisecond)
	}
	return s, nil
}

// stop kills what this system started.
func (s *localCluster) stop() {
	for _, p := range append(s.controllers, s.gateways...) {
		p.Process.Signal(syscall.SIGKILL)
		p.Wait()
	}
	for _, srv := range s.cluster.Servers {
		srv.Crash(false)
	}
}

// killGateway kills a forager, begin starts it anew.
func (s *localCluster) killGateway(i int) {
	s.gateways[i].Process.Signal(syscall.SIGKILL)
	s.gateways[i].Wait()
}

func (s *localCluster) restartGateway(i int) error {
	p, err := s.startProgram(s.settingsPaths[s.gateways[i]], "oxbowspan-gateway")
	if err == nil {
		s.gateways[i] = p
	}
	return err
}

// suspend stops a process for a time.
func suspend(p *exec.Cmd, d time.Duration) {
	p.Process.Signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() { p.Process.Signal(syscall.SIGCONT) })
}

// addExampleServers adds the example's servers.
func addExampleServers(work time.Duration) func(c *simcluster.Cluster) {
	return func(c *simcluster.Cluster) {
		for _, service := range simcluster.ExampleServices {
			for range 3 {
				c.AddServer(service, work)
			}
		}
	}
}
