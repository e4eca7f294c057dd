// Package simcluster plays a whole system in one process: hives and foragers as they are, servers, an operator and clients of
// our own model, on a simulated network. It is what the tests of the system stand on, and the base of its emulator. It
// checks what came back against what it knows must come back; the rules' names are those of the operators' page.
package simcluster

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/rs/zerolog"

	"oxbowspan/internal/network"
	"oxbowspan/internal/settings"
	"oxbowspan/internal/testing/simnet"
)

// Cluster is one system and its surroundings.
type Cluster struct {
	Network               *simnet.Network // nil = the machine's own network
	Dir                   string          // holds the hives' disks
	Log                   zerolog.Logger
	HeartbeatInterval     time.Duration
	Controllers           []*ControllerNode
	Gateways              []*GatewayNode
	Servers               []*Server
	RequestLog            *RequestLog
	random                *rand.Rand
	seedAddresses         []string
	LocalOutlierDetection bool       // told to the foragers
	fileDescriptors       int        // of each process; 0 = no limit is told
	mu                    sync.Mutex // over the list of hives, which grows
	firstStart            bool
	toleratedFailures     int
	firstOctet, firstZone int // the first byte of all addresses, and the first zone's second
}

const (
	controlPort   = 8700
	publicPort    = 8720
	readinessPort = 8721
	internalPort  = 7100
	serverPort    = 8000
)

// New makes a colony with so many hives and foragers, spread over three zones. Nothing runs yet.
func New(dir string, seed uint64, controllers, gateways int) *Cluster {
	cluster := &Cluster{Dir: dir, Log: zerolog.Nop(), HeartbeatInterval: 1200 * time.Millisecond, random: rand.New(rand.NewPCG(seed, 1)), firstStart: true,
		RequestLog: newRequestLog(), toleratedFailures: (controllers - 1) / 2}
	cluster.firstOctet = 10
	cluster.Network = simnet.New(func(from, to string) time.Duration {
		if zoneOf(from) == zoneOf(to) {
			return 100 * time.Microsecond
		}
		return time.Millisecond
	})
	cluster.addNodes(controllers, gateways)
	return cluster
}

// NewLocal makes a colony whose processes are started by somebody else, on loopback: machines are addresses of 127/8.
func NewLocal(dir string, controllers, gateways int) *Cluster {
	cluster := &Cluster{Dir: dir, Log: zerolog.Nop(), HeartbeatInterval: 1200 * time.Millisecond, random: rand.New(rand.NewPCG(rand.Uint64(), 1)), firstStart: true,
		RequestLog: newRequestLog(), toleratedFailures: (controllers - 1) / 2, firstOctet: 127, firstZone: 1 + 3*(os.Getpid()%80)} // so that two may run at once
	cluster.addNodes(controllers, gateways)
	return cluster
}

func (c *Cluster) addNodes(controllers, gateways int) {
	for i := range controllers {
		c.Controllers = append(c.Controllers, &ControllerNode{cluster: c, IP: fmt.Sprintf("%d.%d.1.%d", c.firstOctet, c.firstZone+i%3, i+1)})
	}
	for i := range gateways {
		c.Gateways = append(c.Gateways, &GatewayNode{cluster: c, IP: fmt.Sprintf("%d.%d.%d.%d", c.firstOctet, c.firstZone+i%3, 100+i/200, i%200+1)})
	}
	for _, h := range c.Controllers[:min(3, controllers)] {
		c.seedAddresses = append(c.seedAddresses, h.ControlAddress())
	}
}

// networkOf is the network as a machine sees it.
func (c *Cluster) networkOf(ip string) network.Network {
	if c.Network == nil {
		return network.TCP{}
	}
	return c.Network.Host(ip)
}

// WriteSettings writes the settings files of all machines into the colony's folder and returns their names, hives first.
func (c *Cluster) WriteSettings() (controllers, gateways []string, err error) {
	write := func(name string, s *settings.Settings) (string, error) {
		path := filepath.Join(c.Dir, name+".toml")
		var text bytes.Buffer
		if err := toml.NewEncoder(&text).Encode(s); err != nil {
			return "", err
		}
		return path, os.WriteFile(path, text.Bytes(), 0o644)
	}
	for i, m := range c.Controllers {
		path, err := write(fmt.Sprint("hive-", i+1), m.settings())
		if err != nil {
			return nil, nil, err
		}
		controllers = append(controllers, path)
	}
	for i, m := range c.Gateways {
		path, err := write(fmt.Sprint("forager-", i+1), m.settings())
		if err != nil {
			return nil, nil, err
		}
		gateways = append(gateways, path)
	}
	return controllers, gateways, nil
}

func zoneOf(ip string) string { return "zone-" + strings.Split(ip, ".")[1] }

func (c *Cluster) settings(ip string) *settings.Settings {
	s := &settings.Settings{NodeName: ip, IPAddress: ip, Zone: zoneOf(ip), Region: "r", InternalPorts: []int{internalPort, internalPort + 9},
		SeedAddresses: c.seedAddresses, FirstStart: c.firstStart, HeartbeatIntervalMS: float64(c.HeartbeatInterval / time.Millisecond),
		Zones: map[string]string{}}
	for i := range 3 {
		s.Zones[fmt.Sprint("zone-", c.firstZone+i)] = "r"
	}
	s.LocalDetectionOnly = c.LocalOutlierDetection
	s.ToleratedLosses.Machines, s.Limits.FileDescriptors = c.toleratedFailures, c.fileDescriptors
	s.Bounds.GracePeriodS, s.Bounds.BudgetWindowS, s.Bounds.BudgetExtraTries, s.Bounds.RetryBudgetRatio = 6, 10, 54, 0.2
	s.Bounds.ConfigApplyMS = 3000
	s.Bounds.HasRetryBudget = true
	return s
}

// Start starts everything there is for the first time.
func (c *Cluster) Start() error {
	for _, h := range c.Controllers {
		if err := h.Start(); err != nil {
			return err
		}
	}
	for _, gateway := range c.Gateways {
		gateway.Start()
	}
	c.firstStart = false
	return nil
}

// Stop ends everything.
func (c *Cluster) Stop() {
	for _, s := range c.Servers {
		s.Crash(false)
	}
	for _, gateway := range c.Gateways {
		gateway.Kill(false)
	}
	for _, h := range c.Controllers {
		h.Kill(false)
	}
}
