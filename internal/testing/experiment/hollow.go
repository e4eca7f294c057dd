package experiment

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"oxbowspan/internal/network"
	"oxbowspan/internal/settings"
)

func init() {
	Register(Experiment{
		Name:  "hollow",
		Short: "Cost of the controllers by number of servers, gateways, controllers and routes",
		Long: `hollow starts built controllers on loopback and connects many hollow gateways and servers to them. These run
in one process, speak the real protocol (polls for updates, heartbeats) and do nothing else. For each size it records the
resources that a controller uses (processor time, memory, bytes in and out), the control traffic of a gateway in bytes, the
latency of heartbeat acknowledgements, and the time until a changed configuration, a drain and the loss of a server reach
every gateway. One real gateway runs beside them: its memory and processor time are recorded at rest and while servers
restart. Each size runs for a bounded time. The programs are those beside the gatherer. Sizes given by the user have the form
controllers/servers/gateways/routes, separated by commas.`,
		Run: runHollow,
	})
}

// hollowSize is one size of the experiment.
type hollowSize struct{ controllers, servers, gateways, routes int }

func (s hollowSize) String() string {
	return fmt.Sprintf("%d controllers, %d servers, %d gateways, %d routes", s.controllers, s.servers, s.gateways, s.routes)
}

// The default sizes. Each group varies one number.
var (
	hollowQuickSizes = []hollowSize{{3, 300, 30, 50}, {3, 1000, 30, 50}, {3, 300, 100, 50}}
	hollowFullSizes  = []hollowSize{
		{3, 300, 30, 50}, {3, 1000, 30, 50}, {3, 3000, 30, 50}, {3, 6000, 30, 50}, {3, 10000, 30, 50},
		{3, 1000, 100, 50}, {3, 1000, 300, 50}, {3, 1000, 1000, 50},
		{5, 3000, 30, 50}, {9, 3000, 30, 50}, {15, 3000, 30, 50},
		{3, 300, 30, 500}, {3, 300, 30, 5000},
	}
)

const (
	// hollowMaxConnections is the maximum number of connections of hollow servers, because file descriptors are limited.
	hollowMaxConnections = 6000
	// hollowChanges is the number of changes of each kind.
	hollowChanges = 4
	// hollowPropagationTimeout is the maximum time for a change to reach all gateways.
	hollowPropagationTimeout = 20 * time.Second
	// hollowSettleIntervals is the number of heartbeat intervals until the controllers have registered all servers.
	hollowSettleIntervals = 3
	// hollowReplaceAttempts is the number of attempts to submit a change of the configuration, with hollowReplacePause after
	// each.
	hollowReplaceAttempts = 20
	hollowReplacePause    = 100 * time.Millisecond
	// hollowGatewayReplacement is the time to wait until all gateways have received the replacement of one of them.
	hollowGatewayReplacement = 3 * time.Second
	// hollowStartSpacing is the time between the starts of two gateways.
	hollowStartSpacing = 20 * time.Millisecond
	// hollowSizeTimeout is the maximum duration of one size. Changes after it count as not acknowledged or not received.
	hollowSizeTimeout = 100 * time.Second
	// hollowRestarts is the number of server restarts. They are hollowRestartSpacing apart, so that each causes a separate
	// update.
	hollowRestarts       = 24
	hollowRestartSpacing = 250 * time.Millisecond
)

func runHollow(ctx context.Context, e *Env) error {
	sizes := hollowFullSizes
	if e.Quick {
		sizes = hollowQuickSizes
	}
	if e.Sizes != "" {
		var err error
		if sizes, err = parseSizes(e.Sizes); err != nil {
			return err
		}
	}
	e.Progress("sizes", len(sizes))
	for i, size := range sizes {
		result, err := e.measureHollow(ctx, fmt.Sprint("hollow-", i), size)
		if err != nil {
			return fmt.Errorf("%v: %w", size, err)
		}
		result.record(e.Record, size)
		e.Step()
	}
	return nil
}

// parseSizes parses sizes of the form controllers/servers/gateways/routes, separated by commas.
func parseSizes(text string) ([]hollowSize, error) {
	var sizes []hollowSize
	for _, part := range strings.Split(text, ",") {
		var s hollowSize
		if _, err := fmt.Sscanf(part, "%d/%d/%d/%d", &s.controllers, &s.servers, &s.gateways, &s.routes); err != nil {
			return nil, fmt.Errorf("size %q does not have the form controllers/servers/gateways/routes: %w", part, err)
		}
		sizes = append(sizes, s)
	}
	return sizes, nil
}

// measureHollow runs one size.
func (e *Env) measureHollow(ctx context.Context, name string, size hollowSize) (*hollowResult, error) {
	configuration := hollowConfig(1, size.routes)
	cluster, err := e.startCluster(localClusterOptions{
		name:          name,
		controllers:   size.controllers,
		gateways:      1,
		configuration: configuration,
	})
	if err != nil {
		return nil, err
	}
	defer cluster.stop()
	controlAddresses, internalAddresses, err := cluster.controllerAddresses()
	if err != nil {
		return nil, err
	}
	bounded, cancel := context.WithTimeout(ctx, hollowSizeTimeout)
	defer cancel()
	fleet := newHollowFleet(bounded, network.TCP{}, controlAddresses, internalAddresses, cluster.cluster.HeartbeatInterval)
	defer fleet.close()
	fleet.addServers(size.servers, hollowMaxConnections)
	fleet.sleep(hollowSettleIntervals * fleet.heartbeatInterval)
	startTime := hollowStartSpacing * time.Duration(size.gateways)
	fleet.addGateways(size.gateways, startTime)
	fleet.sleep(hollowSettleIntervals*fleet.heartbeatInterval + startTime)
	result := &hollowResult{configBytes: len(configuration)}
	programs := hollowPrograms{controllers: pids(cluster.controllers), gateway: pids(cluster.gateways)[0]}
	if err := result.measureSteadyState(fleet, programs, e.scaleSeconds(4, 10)); err != nil {
		return nil, err
	}
	if err := result.measureRestarts(fleet, programs); err != nil {
		return nil, err
	}
	result.measurePropagation(fleet, func(version uint64) bool {
		return cluster.replaceHollowConfig(fleet, version, size.routes)
	})
	result.timedOut = bounded.Err() != nil
	return result, ctx.Err()
}

// hollowPrograms are the process ids of the built programs.
type hollowPrograms struct {
	controllers []int
	gateway     int
}

// controllerAddresses returns the controllers' addresses for servers and operators, and those for gateways.
func (c *localCluster) controllerAddresses() (control, internal []string, err error) {
	for _, process := range c.controllers {
		s, err := settings.Read(c.settingsPath(process))
		if err != nil {
			return nil, nil, err
		}
		control = append(control, s.Listen.Control)
		internal = append(internal, s.InternalAddress(settings.ControllerPort))
	}
	return control, internal, nil
}

// replaceHollowConfig submits a version of the configuration to one controller after another, as an operator does, until one
// acknowledges it or the fleet ends.
func (c *localCluster) replaceHollowConfig(fleet *hollowFleet, version uint64, routes int) bool {
	body := hollowConfig(version, routes)
	controllers := c.cluster.Controllers
	for attempt := range hollowReplaceAttempts {
		if fleet.ctx.Err() != nil {
			return false
		}
		controller := controllers[(int(version)+attempt)%len(controllers)]
		if c.cluster.ReplaceConfiguration(controller, version-1, body) == http.StatusOK {
			return true
		}
		fleet.sleep(hollowReplacePause)
	}
	return false
}

// hollowConfig returns the example configuration with more routes.
func hollowConfig(version uint64, routes int) []byte {
	c := exampleConfiguration(version)
	template := c.Routes[1]
	for i := len(c.Routes); i < routes; i++ {
		route := template
		route.Name = "route-" + strconv.Itoa(i)
		route.PathPrefix = fmt.Sprintf("/more-%d/", i)
		c.Routes = append(c.Routes, route)
	}
	return encodeDocument(c)
}
