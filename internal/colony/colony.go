// Package colony plays a whole system in one process: hives and foragers as they are, servers, an operator and clients of
// our own model, on a simulated network. It is what the tests of the system stand on, and the base of its emulator. It
// checks what came back against what it knows must come back; the rules' names are those of the operators' page.
package colony

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

// Colony is one system and its surroundings.
type Colony struct {
	Meadow      *simnet.Network // nil = the machine's own network
	Dir         string          // holds the hives' disks
	Log         zerolog.Logger
	Beat        time.Duration
	Hives       []*HiveMachine
	Gather      []*ForagerMachine
	Servers     []*Server
	Ledger      *Ledger
	rand        *rand.Rand
	seeds       []string
	JudgeAlone  bool       // told to the foragers
	descriptors int        // of each process; 0 = no limit is told
	mu          sync.Mutex // over the list of hives, which grows
	first       bool
	counted     int
	net, base   int // the first byte of all addresses, and the first zone's second
}

const (
	controlPort = 8700
	frontPort   = 8720
	readyPort   = 8721
	innerPort   = 7100
	serverPort  = 8000
)

// New makes a colony with so many hives and foragers, spread over three zones. Nothing runs yet.
func New(dir string, seed uint64, hives, foragers int) *Colony {
	c := &Colony{Dir: dir, Log: zerolog.Nop(), Beat: 1200 * time.Millisecond, rand: rand.New(rand.NewPCG(seed, 1)), first: true,
		Ledger: newLedger(), counted: (hives - 1) / 2}
	c.net = 10
	c.Meadow = simnet.New(func(from, to string) time.Duration {
		if zoneOf(from) == zoneOf(to) {
			return 100 * time.Microsecond
		}
		return time.Millisecond
	})
	c.lay(hives, foragers)
	return c
}

// Local makes a colony whose processes are started by somebody else, on loopback: machines are addresses of 127/8.
func Local(dir string, hives, foragers int) *Colony {
	c := &Colony{Dir: dir, Log: zerolog.Nop(), Beat: 1200 * time.Millisecond, rand: rand.New(rand.NewPCG(rand.Uint64(), 1)), first: true,
		Ledger: newLedger(), counted: (hives - 1) / 2, net: 127, base: 1 + 3*(os.Getpid()%80)} // so that two may run at once
	c.lay(hives, foragers)
	return c
}

func (c *Colony) lay(hives, foragers int) {
	for i := range hives {
		c.Hives = append(c.Hives, &HiveMachine{c: c, IP: fmt.Sprintf("%d.%d.1.%d", c.net, c.base+i%3, i+1)})
	}
	for i := range foragers {
		c.Gather = append(c.Gather, &ForagerMachine{c: c, IP: fmt.Sprintf("%d.%d.%d.%d", c.net, c.base+i%3, 100+i/200, i%200+1)})
	}
	for _, h := range c.Hives[:min(3, hives)] {
		c.seeds = append(c.seeds, h.Control())
	}
}

// at is the network as a machine sees it.
func (c *Colony) at(ip string) network.Network {
	if c.Meadow == nil {
		return network.TCP{}
	}
	return c.Meadow.Host(ip)
}

// WriteBoot writes the settings files of all machines into the colony's folder and returns their names, hives first.
func (c *Colony) WriteBoot() (hives, foragers []string, err error) {
	write := func(name string, s *settings.Settings) (string, error) {
		path := filepath.Join(c.Dir, name+".toml")
		var text bytes.Buffer
		if err := toml.NewEncoder(&text).Encode(s); err != nil {
			return "", err
		}
		return path, os.WriteFile(path, text.Bytes(), 0o644)
	}
	for i, m := range c.Hives {
		path, err := write(fmt.Sprint("hive-", i+1), m.settings())
		if err != nil {
			return nil, nil, err
		}
		hives = append(hives, path)
	}
	for i, m := range c.Gather {
		path, err := write(fmt.Sprint("forager-", i+1), m.settings())
		if err != nil {
			return nil, nil, err
		}
		foragers = append(foragers, path)
	}
	return hives, foragers, nil
}

func zoneOf(ip string) string { return "zone-" + strings.Split(ip, ".")[1] }

func (c *Colony) settings(ip string) *settings.Settings {
	s := &settings.Settings{NodeName: ip, IPAddress: ip, Zone: zoneOf(ip), Region: "r", InternalPorts: []int{innerPort, innerPort + 9},
		SeedAddresses: c.seeds, FirstStart: c.first, HeartbeatIntervalMS: float64(c.Beat / time.Millisecond),
		Zones: map[string]string{}}
	for i := range 3 {
		s.Zones[fmt.Sprint("zone-", c.base+i)] = "r"
	}
	s.LocalDetectionOnly = c.JudgeAlone
	s.ToleratedLosses.Machines, s.Limits.FileDescriptors = c.counted, c.descriptors
	s.Bounds.GracePeriodS, s.Bounds.BudgetWindowS, s.Bounds.BudgetExtraTries, s.Bounds.RetryBudgetRatio = 6, 10, 54, 0.2
	s.Bounds.ConfigApplyMS = 3000
	s.Bounds.HasRetryBudget = true
	return s
}

// Start starts everything there is for the first time.
func (c *Colony) Start() error {
	for _, h := range c.Hives {
		if err := h.Start(); err != nil {
			return err
		}
	}
	for _, f := range c.Gather {
		f.Start()
	}
	c.first = false
	return nil
}

// Stop ends everything.
func (c *Colony) Stop() {
	for _, s := range c.Servers {
		s.Crash(false)
	}
	for _, f := range c.Gather {
		f.Kill(false)
	}
	for _, h := range c.Hives {
		h.Kill(false)
	}
}
