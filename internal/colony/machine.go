package colony

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

// life is one run of a machine's process, if there is one.
type life struct {
	stop context.CancelFunc
	done chan struct{}
}

func (l *life) begin(run func(context.Context) error) {
	ctx, stop := context.WithCancel(context.Background())
	l.stop, l.done = stop, make(chan struct{})
	go func(done chan struct{}) { run(ctx); close(done) }(l.done)
}

func (l *life) end() {
	l.stop()
	<-l.done
}

// HiveMachine is a machine of the core.
type HiveMachine struct {
	c   *Colony
	IP  string
	Now *controlplane.Controller // nil = it does not run
	life
}

// Control is where servers and the operator call it.
func (m *HiveMachine) Control() string { return net.JoinHostPort(m.IP, strconv.Itoa(controlPort)) }

func (m *HiveMachine) disk() string { return filepath.Join(m.c.Dir, m.IP) }

func (m *HiveMachine) settings() *settings.Settings {
	s := m.c.settings(m.IP)
	s.Listen.Control, s.DataDirectory = m.Control(), m.disk()
	return s
}

// Start starts the process.
func (m *HiveMachine) Start() error {
	m.c.Meadow.PowerOn(m.IP)
	h, err := controlplane.New(m.settings(), m.c.Meadow.Host(m.IP), m.c.Log.With().Str("node", m.IP).Logger())
	if err != nil {
		return err
	}
	m.Now = h
	m.begin(h.Run)
	return nil
}

// AddHive adds a machine of the core, at an address of its own. Later ones name the seeds that are there then.
func (c *Colony) AddHive() *HiveMachine {
	m := &HiveMachine{c: c, IP: fmt.Sprintf("%d.%d.1.%d", c.net, c.base+len(c.Hives)%3, len(c.Hives)+1)}
	c.mu.Lock()
	c.Hives = append(c.Hives, m)
	c.mu.Unlock()
	return m
}

// Seeds turns over the seeds that later starts are told.
func (c *Colony) Seeds(of ...*HiveMachine) {
	c.seeds = nil
	for _, m := range of {
		c.seeds = append(c.seeds, m.Control())
	}
}

// Wipe empties the disk of a machine that does not run.
func (m *HiveMachine) Wipe() { os.RemoveAll(m.disk()) }

// ForagerMachine is a machine that takes clients.
type ForagerMachine struct {
	c   *Colony
	IP  string
	Now *dataplane.Gateway
	life
}

// Front is where clients reach it.
func (m *ForagerMachine) Front() string { return net.JoinHostPort(m.IP, strconv.Itoa(frontPort)) }

func (m *ForagerMachine) settings() *settings.Settings {
	s := m.c.settings(m.IP)
	s.Listen.Front, s.Listen.Readiness = m.Front(), net.JoinHostPort(m.IP, strconv.Itoa(readyPort))
	return s
}

// Start starts the process.
func (m *ForagerMachine) Start() {
	m.c.Meadow.PowerOn(m.IP)
	f := dataplane.New(m.settings(), m.c.Meadow.Host(m.IP), m.c.Log.With().Str("node", m.IP).Logger())
	m.Now = f
	m.begin(f.Run)
}

// Kill kills the process; with power, the machine goes dark. A disk stays.
func (m *HiveMachine) Kill(power bool) {
	if m.Now != nil {
		m.c.Meadow.Kill(m.IP, power)
		m.Now.Kill()
		<-m.done // before its end in order is asked for: a kill has none
		m.Leave()
	}
}

// Leave ends the process in order.
func (m *HiveMachine) Leave() {
	if m.Now != nil {
		m.end()
		m.Now = nil
	}
}

// Kill kills the process; with power, the machine goes dark. A disk stays.
func (m *ForagerMachine) Kill(power bool) {
	if m.Now != nil {
		m.c.Meadow.Kill(m.IP, power)
		m.Now.Kill()
		<-m.done // before its end in order is asked for: a kill has none
		m.Leave()
	}
}

// Leave ends the process in order.
func (m *ForagerMachine) Leave() {
	if m.Now != nil {
		m.end()
		m.Now = nil
	}
}
