package experiment

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"oxbowspan/config"
	"oxbowspan/internal/testing/simcluster"
)

const (
	// firstConfigurationTimeout is the maximum time until a new cluster commits its first configuration.
	firstConfigurationTimeout = 10 * time.Second
	// firstConfigurationInterval is the time between two attempts.
	firstConfigurationInterval = 100 * time.Millisecond
	// exampleServersPerService is the number of servers of each service of the example configuration.
	exampleServersPerService = 3
)

// errNoConfiguration is returned for a cluster that does not commit its first configuration.
var errNoConfiguration = errors.New("no configuration was committed")

// localCluster is a cluster of built programs on loopback. Controllers and gateways are separate processes; servers and clients
// run in this one.
type localCluster struct {
	cluster     *simcluster.Cluster
	controllers []*exec.Cmd
	gateways    []*exec.Cmd

	env *Env

	mu            sync.Mutex           // guards settingsPaths
	settingsPaths map[*exec.Cmd]string // by process
}

// localClusterOptions describe a localCluster.
type localClusterOptions struct {
	name                  string // of its directory
	controllers, gateways int
	localOutlierDetection bool                        // gateways do not exchange observations
	zeroBudget            bool                        // gateways have no retries beyond a share of the requests
	configuration         []byte                      // the first one
	addServers            func(c *simcluster.Cluster) // nil = no servers
}

// startCluster starts the programs and servers of a cluster and commits its first configuration.
func (e *Env) startCluster(options localClusterOptions) (*localCluster, error) {
	dir := filepath.Join(e.Dir, options.name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	c := &localCluster{
		cluster:       simcluster.NewLocal(dir, options.controllers, options.gateways),
		env:           e,
		settingsPaths: map[*exec.Cmd]string{},
	}
	c.cluster.LocalDetectionOnly = options.localOutlierDetection
	c.cluster.ZeroRetryAllowance = options.zeroBudget
	if err := c.start(options); err != nil {
		c.stop()
		return nil, err
	}
	return c, nil
}

func (c *localCluster) start(options localClusterOptions) error {
	controllerSettings, gatewaySettings, err := c.cluster.WriteSettings()
	if err != nil {
		return err
	}
	for _, path := range controllerSettings {
		process, err := c.startProgram(controllerProgram, path)
		if err != nil {
			return err
		}
		c.controllers = append(c.controllers, process)
	}
	for _, path := range gatewaySettings {
		process, err := c.startProgram(gatewayProgram, path)
		if err != nil {
			return err
		}
		c.gateways = append(c.gateways, process)
	}
	if options.addServers != nil {
		options.addServers(c.cluster)
	}
	for _, server := range c.cluster.Servers {
		if err := server.Start(); err != nil {
			return err
		}
	}
	return c.commitFirst(options.configuration)
}

// commitFirst submits the first configuration repeatedly until it is committed.
func (c *localCluster) commitFirst(configuration []byte) error {
	deadline := time.Now().Add(firstConfigurationTimeout)
	for c.cluster.ReplaceConfiguration(c.cluster.Controllers[0], 0, configuration) != http.StatusOK {
		if time.Now().After(deadline) {
			return errNoConfiguration
		}
		time.Sleep(firstConfigurationInterval)
	}
	return nil
}

func (c *localCluster) startProgram(name, settingsPath string) (*exec.Cmd, error) {
	process := exec.Command(c.env.programPath(name), "--boot", settingsPath, "--log-level", "warn", "serve")
	process.Stderr = c.env.Out
	if err := process.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settingsPaths[process] = settingsPath
	return process, nil
}

// settingsPath returns the path of the settings file of a process.
func (c *localCluster) settingsPath(process *exec.Cmd) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.settingsPaths[process]
}

// stop kills the cluster's processes and stops its servers.
func (c *localCluster) stop() {
	for _, process := range append(c.controllers, c.gateways...) {
		process.Process.Signal(syscall.SIGKILL)
		process.Wait()
	}
	for _, server := range c.cluster.Servers {
		server.Crash(false)
	}
}

// killGateway kills the process of a gateway.
func (c *localCluster) killGateway(index int) {
	c.gateways[index].Process.Signal(syscall.SIGKILL)
	c.gateways[index].Wait()
}

// restartGateway starts a gateway that was killed.
func (c *localCluster) restartGateway(index int) error {
	process, err := c.startProgram(gatewayProgram, c.settingsPath(c.gateways[index]))
	if err != nil {
		return err
	}
	c.gateways[index] = process
	return nil
}

// pids returns the ids of processes.
func pids(processes []*exec.Cmd) []int {
	var ids []int
	for _, process := range processes {
		ids = append(ids, process.Process.Pid)
	}
	return ids
}

// suspend stops a process and resumes it after a duration, without waiting for that.
func suspend(process *exec.Cmd, d time.Duration) {
	process.Process.Signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() { process.Process.Signal(syscall.SIGCONT) })
}

// addExampleServers returns a function that adds the servers of the example configuration.
func addExampleServers(serviceTime time.Duration) func(c *simcluster.Cluster) {
	return addServers(simcluster.ExampleServices, exampleServersPerService, func(c *simcluster.Cluster, service string) {
		c.AddServer(service, serviceTime)
	})
}

// addServers returns a function that calls add count times for each service.
func addServers(services []string, count int, add func(c *simcluster.Cluster, service string)) func(c *simcluster.Cluster) {
	return func(c *simcluster.Cluster) {
		for _, service := range services {
			for range count {
				add(c, service)
			}
		}
	}
}

// exampleConfiguration returns the example configuration of a version.
func exampleConfiguration(version uint64) config.Configuration {
	var c config.Configuration
	if err := json.Unmarshal(simcluster.ExampleConfiguration(version, simcluster.ExampleSharding), &c); err != nil {
		panic(err) // the example is part of the program
	}
	return c
}

// encodeDocument encodes a configuration or another document that controllers commit.
func encodeDocument(document any) []byte {
	text, err := json.Marshal(document)
	if err != nil {
		panic(err) // documents consist of plain values
	}
	return text
}
