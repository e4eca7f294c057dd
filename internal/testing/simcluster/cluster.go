// Package simcluster runs a complete system in one process: real controllers and gateways, and simulated servers, operators
// and clients, on a simulated network. The system tests and the experiments of oxbowlab use it. The responses of simulated
// servers depend on the request only, so that each response of a gateway can be compared with the expected one.
package simcluster

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"oxbowspan/internal/network"
	"oxbowspan/internal/testing/simnet"
)

const (
	zoneCount         = 3
	maxSeeds          = 3
	nodesPerSubnet    = 200 // gateways or servers that share the first three bytes of their addresses
	heartbeatInterval = 1200 * time.Millisecond
	sameZoneLatency   = 100 * time.Microsecond
	crossZoneLatency  = time.Millisecond

	// A local cluster's second address bytes in 127/8 belong to a group that its process has reserved, so that several processes can run
	// local clusters at the same time.
	localZoneGroups = 80
)

// The first byte of all addresses of a cluster.
const (
	simulatedNetwork = 10
	loopbackNetwork  = 127
)

// The third byte of the addresses of each kind of machine; the second byte identifies the zone.
const (
	controllerSubnet = 1
	serverSubnet     = 3
	gatewaySubnet    = 100
)

// Source addresses of operators and clients. No machine of the cluster has them.
const (
	operatorIP = "10.0.9.9"
	clientIP   = "10.0.9.8"
)

// Ports of the machines.
const (
	controlPort   = 8700
	publicPort    = 8720
	readinessPort = 8721
	internalPort  = 7100 // the first of internalPorts consecutive ports
	internalPorts = 10
	serverPort    = 8000
)

// Cluster is a system of controllers and gateways with its servers, operators and clients.
type Cluster struct {
	Network            *simnet.Network // nil: the loopback network of the operating system
	Dir                string          // parent of the controllers' data directories
	Log                zerolog.Logger
	HeartbeatInterval  time.Duration
	LocalDetectionOnly bool // setting of the gateways: they ignore the outlier observations of other gateways
	ZeroRetryAllowance bool // setting of the gateways: no retries beyond a share of the requests
	Controllers        []*ControllerNode
	Gateways           []*GatewayNode
	Servers            []*Server
	RequestLog         *RequestLog

	random            *rand.Rand
	seedAddresses     []string
	fileDescriptors   int // limit of each process; 0: not set
	firstStart        bool
	toleratedFailures int // controllers that may be lost at the same time
	toleratedZones    int // zones that may be lost at the same time
	toleratedRegions  int // regions that may be lost at the same time; if above 0, each zone is a region of its own
	firstOctet        int // the first byte of all addresses
	firstZone         int // the second byte of the addresses in the first zone

	mu sync.Mutex // guards Controllers, which AddController extends while servers read it
}

// New returns a cluster on a simulated network whose machines are spread over three zones. Nothing runs yet. The data
// directories of the controllers are created below dir; the seed determines the instance ids of the servers.
func New(dir string, seed uint64, controllers, gateways int) *Cluster {
	cluster := newCluster(dir, seed, controllers)
	cluster.firstOctet = simulatedNetwork
	cluster.Network = simnet.New(func(from, to string) time.Duration {
		if zoneOf(from) == zoneOf(to) {
			return sameZoneLatency
		}
		return crossZoneLatency
	})
	cluster.addNodes(controllers, gateways)
	return cluster
}

// NewLocal returns a cluster on the loopback network. The caller starts its controllers and gateways as separate processes
// with the settings files of WriteSettings.
func NewLocal(dir string, controllers, gateways int) *Cluster {
	cluster := newCluster(dir, rand.Uint64(), controllers)
	cluster.firstOctet = loopbackNetwork
	cluster.firstZone, _ = localZones()
	cluster.addNodes(controllers, gateways)
	return cluster
}

func newCluster(dir string, seed uint64, controllers int) *Cluster {
	return &Cluster{
		Dir:               dir,
		Log:               zerolog.Nop(),
		HeartbeatInterval: heartbeatInterval,
		RequestLog:        newRequestLog(),
		random:            rand.New(rand.NewPCG(seed, 1)),
		firstStart:        true,
		toleratedFailures: (controllers - 1) / 2,
	}
}

func (c *Cluster) addNodes(controllers, gateways int) {
	for i := range controllers {
		ip := c.address(i, controllerSubnet, i+1)
		c.Controllers = append(c.Controllers, &ControllerNode{cluster: c, IP: ip})
	}
	for i := range gateways {
		ip := c.address(i, gatewaySubnet+i/nodesPerSubnet, i%nodesPerSubnet+1)
		c.Gateways = append(c.Gateways, &GatewayNode{cluster: c, IP: ip})
	}
	c.SetSeeds(c.Controllers[:min(maxSeeds, controllers)]...)
}

// address returns the IP address of the i-th machine of its kind; machines are assigned to the zones round-robin.
func (c *Cluster) address(i, subnet, host int) string {
	return fmt.Sprintf("%d.%d.%d.%d", c.firstOctet, c.firstZone+i%zoneCount, subnet, host)
}

// zoneOf returns the name of the zone of an IP address.
func zoneOf(ip string) string { return zoneName(strings.Split(ip, ".")[1]) }

func zoneName(secondOctet string) string { return "zone-" + secondOctet }

// networkOf returns the network interface of the machine with an IP address.
func (c *Cluster) networkOf(ip string) network.Network {
	if c.Network == nil {
		return network.TCP{}
	}
	return c.Network.Host(ip)
}

// SetSeeds sets the seed addresses in the settings of processes that are started from now on.
func (c *Cluster) SetSeeds(controllers ...*ControllerNode) {
	c.seedAddresses = nil
	for _, controller := range controllers {
		c.seedAddresses = append(c.seedAddresses, controller.ControlAddress())
	}
}

// AddController adds a controller on a new machine with an unused address. It does not run yet.
func (c *Cluster) AddController() *ControllerNode {
	i := len(c.Controllers)
	controller := &ControllerNode{cluster: c, IP: c.address(i, controllerSubnet, i+1)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Controllers = append(c.Controllers, controller)
	return controller
}

// Start starts all controllers and gateways with the setting for the first start of a new system. Later starts do not have it.
func (c *Cluster) Start() error {
	for _, controller := range c.Controllers {
		if err := controller.Start(); err != nil {
			return fmt.Errorf("start controller %s: %w", controller.IP, err)
		}
	}
	for _, gateway := range c.Gateways {
		gateway.Start()
	}
	c.firstStart = false
	return nil
}

// Stop kills all processes.
func (c *Cluster) Stop() {
	for _, server := range c.Servers {
		server.Crash(false)
	}
	for _, gateway := range c.Gateways {
		gateway.Kill(false)
	}
	for _, controller := range c.Controllers {
		controller.Kill(false)
	}
}
