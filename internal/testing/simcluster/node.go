package simcluster

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"

	"oxbowspan/controlplane"
	"oxbowspan/dataplane"
	"oxbowspan/internal/settings"
)

// processRun is one run of a machine's process, if there is one.
type processRun struct {
	cancel context.CancelFunc
	done   chan struct{}
}

func (l *processRun) launch(run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel, l.done = cancel, make(chan struct{})
	go func(done chan struct{}) { run(ctx); close(done) }(l.done)
}

func (l *processRun) stopAndWait() {
	l.cancel()
	<-l.done
}

// ControllerNode is a machine of the core.
type ControllerNode struct {
	cluster    *Cluster
	IP         string
	Controller *controlplane.Controller // nil = it does not run
	processRun
}

// ControlAddress is where servers and the operator call it.
func (m *ControllerNode) ControlAddress() string {
	return net.JoinHostPort(m.IP, strconv.Itoa(controlPort))
}

func (m *ControllerNode) dataDir() string { return filepath.Join(m.cluster.Dir, m.IP) }

func (m *ControllerNode) settings() *settings.Settings {
	s := m.cluster.settings(m.IP)
	s.Listen.Control, s.DataDirectory = m.ControlAddress(), m.dataDir()
	return s
}

// Start starts the process.
func (m *ControllerNode) Start() error {
	m.cluster.Network.PowerOn(m.IP)
	controller, err := controlplane.New(m.settings(), m.cluster.Network.Host(m.IP), m.cluster.Log.With().Str("node", m.IP).Logger())
	if err != nil {
		return err
	}
	m.Controller = controller
	m.launch(controller.Run)
	return nil
}

// AddController adds a machine of the core, at an address of its own. Later ones name the seeds that are there then.
func (c *Cluster) AddController() *ControllerNode {
	m := &ControllerNode{cluster: c, IP: fmt.Sprintf("%d.%d.1.%d", c.firstOctet, c.firstZone+len(c.Controllers)%3, len(c.Controllers)+1)}
	c.mu.Lock()
	c.Controllers = append(c.Controllers, m)
	c.mu.Unlock()
	return m
}

// SetSeeds turns over the seeds that later starts are told.
func (c *Cluster) SetSeeds(controllers ...*ControllerNode) {
	c.seedAddresses = nil
	for _, m := range controllers {
		c.seedAddresses = append(c.seedAddresses, m.ControlAddress())
	}
}

// WipeDisk empties the disk of a machine that does not run.
func (m *ControllerNode) WipeDisk() { os.RemoveAll(m.dataDir()) }

// GatewayNode is a machine that takes clients.
type GatewayNode struct {
	cluster *Cluster
	IP      string
	Gateway *dataplane.Gateway
	processRun
}

// PublicAddress is where clients reach it.
func (m *GatewayNode) PublicAddress() string { return net.JoinHostPort(m.IP, strconv.Itoa(publicPort)) }

func (m *GatewayNode) settings() *settings.Settings {
	s := m.cluster.settings(m.IP)
	s.Listen.Front, s.Listen.Readiness = m.PublicAddress(), net.JoinHostPort(m.IP, strconv.Itoa(readinessPort))
	return s
}

// Start starts the process.
func (m *GatewayNode) Start() {
	m.cluster.Network.PowerOn(m.IP)
	gateway := dataplane.New(m.settings(), m.cluster.Network.Host(m.IP), m.cluster.Log.With().Str("node", m.IP).Logger())
	m.Gateway = gateway
	m.launch(gateway.Run)
}

// Kill kills the process; with power, the machine goes dark. A disk stays.
func (m *ControllerNode) Kill(powerLoss bool) {
	if m.Controller != nil {
		m.cluster.Network.Kill(m.IP, powerLoss)
		m.Controller.Kill()
		<-m.done // before its end in order is asked for: a kill has none
		m.Shutdown()
	}
}

// Shutdown ends the process in order.
func (m *ControllerNode) Shutdown() {
	if m.Controller != nil {
		m.stopAndWait()
		m.Controller = nil
	}
}

// Kill kills the process; with power, the machine goes dark. A disk stays.
func (m *GatewayNode) Kill(powerLoss bool) {
	if m.Gateway != nil {
		m.cluster.Network.Kill(m.IP, powerLoss)
		m.Gateway.Kill()
		<-m.done // before its end in order is asked for: a kill has none
		m.Shutdown()
	}
}

// Shutdown ends the process in order.
func (m *GatewayNode) Shutdown() {
	if m.Gateway != nil {
		m.stopAndWait()
		m.Gateway = nil
	}
}
