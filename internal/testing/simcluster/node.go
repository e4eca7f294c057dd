package simcluster

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"strconv"

	"github.com/rs/zerolog"

	"oxbowspan/controlplane"
	"oxbowspan/dataplane"
	"oxbowspan/internal/settings"
)

// processRun is one run of a machine's process.
type processRun struct {
	cancel context.CancelFunc
	done   chan struct{}
}

func (p *processRun) launch(run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	p.cancel, p.done = cancel, done
	go func() {
		defer close(done)
		run(ctx)
	}()
}

// stopAndWait requests a graceful shutdown of the process and waits until it has exited.
func (p *processRun) stopAndWait() {
	p.cancel()
	<-p.done
}

// ControllerNode is a machine that runs a controller.
type ControllerNode struct {
	IP         string
	Controller *controlplane.Controller // nil while it does not run
	cluster    *Cluster
	processRun
}

// ControlAddress returns the "IP:port" of the API for servers and operators.
func (m *ControllerNode) ControlAddress() string {
	return net.JoinHostPort(m.IP, strconv.Itoa(controlPort))
}

func (m *ControllerNode) dataDir() string { return filepath.Join(m.cluster.Dir, m.IP) }

func (m *ControllerNode) settings() *settings.Settings {
	s := m.cluster.settings(m.IP)
	s.Listen.Control = m.ControlAddress()
	s.DataDirectory = m.dataDir()
	return s
}

// Start powers the machine on and starts the controller's process.
func (m *ControllerNode) Start() error {
	m.cluster.Network.PowerOn(m.IP)
	controller, err := controlplane.New(context.Background(), m.settings(), m.cluster.Network.Host(m.IP), m.cluster.nodeLog(m.IP))
	if err != nil {
		return err
	}
	m.Controller = controller
	m.launch(controller.Run)
	return nil
}

// Kill kills the process if it runs. With powerLoss the machine is off until the next Start. The disk keeps its content.
func (m *ControllerNode) Kill(powerLoss bool) {
	if m.Controller == nil {
		return
	}
	m.cluster.Network.Kill(m.IP, powerLoss)
	m.Controller.Kill()
	<-m.done // a killed process must not receive the request for a graceful shutdown
	m.Shutdown()
}

// Shutdown shuts the process down gracefully if it runs, and waits until it has exited.
func (m *ControllerNode) Shutdown() {
	if m.Controller == nil {
		return
	}
	m.stopAndWait()
	m.Controller = nil
}

// WipeDisk deletes all data on the machine's disk. The process must not run.
func (m *ControllerNode) WipeDisk() { os.RemoveAll(m.dataDir()) }

// GatewayNode is a machine that runs a gateway.
type GatewayNode struct {
	IP      string
	Gateway *dataplane.Gateway // nil while it does not run
	cluster *Cluster
	processRun
}

// PublicAddress returns the "IP:port" that clients call.
func (m *GatewayNode) PublicAddress() string {
	return net.JoinHostPort(m.IP, strconv.Itoa(publicPort))
}

// readinessAddress returns the "IP:port" of the readiness probe.
func (m *GatewayNode) readinessAddress() string {
	return net.JoinHostPort(m.IP, strconv.Itoa(readinessPort))
}

func (m *GatewayNode) settings() *settings.Settings {
	s := m.cluster.settings(m.IP)
	s.Listen.Front = m.PublicAddress()
	s.Listen.Readiness = m.readinessAddress()
	return s
}

// Start powers the machine on and starts the gateway's process.
func (m *GatewayNode) Start() {
	m.cluster.Network.PowerOn(m.IP)
	m.Gateway = dataplane.New(m.settings(), m.cluster.Network.Host(m.IP), m.cluster.nodeLog(m.IP))
	m.launch(m.Gateway.Run)
}

// Kill kills the process if it runs. With powerLoss the machine is off until the next Start.
func (m *GatewayNode) Kill(powerLoss bool) {
	if m.Gateway == nil {
		return
	}
	m.cluster.Network.Kill(m.IP, powerLoss)
	m.Gateway.Kill()
	<-m.done // a killed process must not receive the request for a graceful shutdown
	m.Shutdown()
}

// Shutdown shuts the process down gracefully if it runs, and waits until it has exited.
func (m *GatewayNode) Shutdown() {
	if m.Gateway == nil {
		return
	}
	m.stopAndWait()
	m.Gateway = nil
}

func (c *Cluster) nodeLog(ip string) zerolog.Logger { return c.Log.With().Str("node", ip).Logger() }
