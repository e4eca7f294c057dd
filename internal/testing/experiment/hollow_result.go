package experiment

import (
	"fmt"
	"strconv"
	"time"

	"oxbowspan/rpc"
)

// hollowResult is the result of one size. Rates are averages per second and process.
type hollowResult struct {
	cpu, maxCPU        float64 // cores, of a controller
	in, out, wakeups   float64
	memory, peakMemory int64   // bytes, maximum of all controllers
	load               float64 // load average of the machine

	steadyIn, steadyOut float64 // bytes of one gateway while nothing changes
	gatewayReplacedIn   float64 // bytes that one gateway receives when another is replaced
	drainIn             float64 // bytes that one gateway receives when a server drains
	configIn            float64 // bytes that one gateway receives when the configuration changes
	configBytes         int     // size of the encoded configuration
	serverListBytes     int64
	serverListLength    int64
	gatewayListBytes    int64

	configChange, drain, unresponsive propagation

	acks                         LatencySummary
	acknowledged, unacknowledged int64 // heartbeats
	pollsTimedOut                int64
	realGateway                  gatewayCost
	perRestart                   float64 // processor seconds of a controller for the restart of one server
	timedOut                     bool    // the size exceeded hollowSizeTimeout
}

// gatewayCost is the resource usage of a real gateway without clients.
type gatewayCost struct {
	cpu        float64 // cores, while nothing changes
	perRestart float64 // processor seconds for the restart of one server
	memory     int64   // bytes
	peakMemory int64   // bytes
}

// propagation is the time until updates reached the gateways, in milliseconds: half and all of them, the maximum of all
// changes.
type propagation struct {
	half, all float64
	missing   int // gateways that an update did not reach in time, summed over all changes
	failed    int // changes that were not acknowledged
}

func (p propagation) String() string {
	text := fmt.Sprintf("%.0f, %.0f", p.half, p.all)
	if p.missing > 0 {
		text += fmt.Sprintf(" (%d never)", p.missing)
	}
	if p.failed > 0 {
		text += fmt.Sprintf(" (%d not acknowledged)", p.failed)
	}
	return text
}

// add adds a change that reached gateways after the elapsed times, in ascending order, and did not reach the missing ones.
func (p *propagation) add(elapsed []time.Duration, missing int) {
	p.missing += missing
	if len(elapsed) == 0 {
		return
	}
	p.half = max(p.half, milliseconds(elapsed[len(elapsed)/2]))
	p.all = max(p.all, milliseconds(elapsed[len(elapsed)-1]))
}

// measureSteadyState measures the resource usage of controllers and gateways while nothing changes.
func (r *hollowResult) measureSteadyState(fleet *hollowFleet, programs hollowPrograms, duration time.Duration) error {
	before, err := r.readControllers(programs.controllers)
	if err != nil {
		return err
	}
	gatewayBefore, err := ReadUsage(programs.gateway)
	if err != nil {
		return err
	}
	in, out := fleet.gatewayBytes()
	acknowledged, unacknowledged, timedOut := fleet.acknowledged.Load(), fleet.unacknowledged.Load(), fleet.pollsTimedOut.Load()
	fleet.ackLatency.reset()
	start := time.Now()
	fleet.sleep(duration)
	seconds := time.Since(start).Seconds()
	after, err := r.readControllers(programs.controllers)
	if err != nil {
		return err
	}
	gatewayAfter, err := ReadUsage(programs.gateway)
	if err != nil {
		return err
	}
	r.realGateway = gatewayCost{
		cpu:        (gatewayAfter.CPU - gatewayBefore.CPU).Seconds() / seconds,
		memory:     gatewayAfter.RSS,
		peakMemory: gatewayAfter.Peak,
	}
	r.load = readLoadAverage()
	for i := range after {
		r.addController(after[i].since(before[i]).times(1/seconds), len(after))
	}
	inAfter, outAfter := fleet.gatewayBytes()
	r.steadyIn, r.steadyOut = (inAfter-in)/seconds, (outAfter-out)/seconds
	r.acks = fleet.ackLatency.summary("acknowledgement of a heartbeat")
	r.acknowledged = fleet.acknowledged.Load() - acknowledged
	r.unacknowledged = fleet.unacknowledged.Load() - unacknowledged
	r.pollsTimedOut = fleet.pollsTimedOut.Load() - timedOut
	return nil
}

// readControllers reads the controllers' costs and updates the maximum memory.
func (r *hollowResult) readControllers(pids []int) ([]processCost, error) {
	costs := make([]processCost, len(pids))
	for i, pid := range pids {
		var err error
		if costs[i], err = readProcessCost(pid); err != nil {
			return nil, err
		}
		usage, err := ReadUsage(pid)
		if err != nil {
			return nil, err
		}
		r.memory, r.peakMemory = max(r.memory, usage.RSS), max(r.peakMemory, usage.Peak)
	}
	return costs, nil
}

// addController adds the cost per second of one controller, of the given number of controllers, to the averages and maxima.
func (r *hollowResult) addController(perSecond processCost, controllers int) {
	mean := perSecond.times(1 / float64(controllers))
	r.cpu += mean.cpu
	r.maxCPU = max(r.maxCPU, perSecond.cpu)
	r.wakeups += mean.wakeups
	r.in += mean.in
	r.out += mean.out
}

// measureRestarts measures the processor time of a controller and a real gateway for the restart of a server, less their usage
// at rest.
func (r *hollowResult) measureRestarts(fleet *hollowFleet, programs hollowPrograms) error {
	controllerBefore, gatewayBefore, err := programs.cpuSeconds()
	if err != nil {
		return err
	}
	start := time.Now()
	acknowledged := 0
	for i := range hollowRestarts {
		if fleet.ctx.Err() != nil {
			break
		}
		if fleet.servers[(7*i+3)%len(fleet.servers)].restart() {
			acknowledged++
		}
		fleet.sleep(hollowRestartSpacing)
	}
	seconds := time.Since(start).Seconds()
	controllerAfter, gatewayAfter, err := programs.cpuSeconds()
	if err != nil {
		return err
	}
	restarts := float64(max(acknowledged, 1))
	r.perRestart = (controllerAfter - controllerBefore - seconds*r.cpu) / restarts
	r.realGateway.perRestart = (gatewayAfter - gatewayBefore - seconds*r.realGateway.cpu) / restarts
	usage, err := ReadUsage(programs.gateway)
	r.realGateway.memory, r.realGateway.peakMemory = max(r.realGateway.memory, usage.RSS), usage.Peak
	return err
}

// cpuSeconds returns the average processor time of a controller and that of the gateway.
func (p hollowPrograms) cpuSeconds() (controller, gateway float64, err error) {
	for _, pid := range p.controllers {
		usage, err := ReadUsage(pid)
		if err != nil {
			return 0, 0, err
		}
		controller += usage.CPU.Seconds() / float64(len(p.controllers))
	}
	usage, err := ReadUsage(p.gateway)
	return controller, usage.CPU.Seconds(), err
}

// measurePropagation measures the time until each kind of change reaches all gateways, and its bytes. The function replace
// submits a version of the configuration and reports whether it was acknowledged.
func (r *hollowResult) measurePropagation(fleet *hollowFleet, replace func(version uint64) bool) {
	for i := range hollowChanges {
		version := uint64(i + 2) // version 1 is in force
		r.configIn = max(r.configIn, fleet.bytesDuring(func() { r.changeConfig(fleet, version, replace) }))
	}
	pairs := min(hollowChanges, len(fleet.servers)/2)
	for i := range pairs {
		r.drainIn = max(r.drainIn, fleet.bytesDuring(func() { r.drainServer(fleet, fleet.servers[i]) }))
	}
	for i := range pairs / 2 {
		r.loseServer(fleet, fleet.servers[len(fleet.servers)-1-i])
	}
	for range hollowChanges {
		r.gatewayReplacedIn = max(r.gatewayReplacedIn, fleet.bytesDuring(fleet.replaceFirstGateway))
	}
	r.serverListBytes, r.serverListLength = fleet.serverListBytes.Load(), fleet.serverListLength.Load()
	r.gatewayListBytes = fleet.gatewayListBytes.Load()
	fleet.expectedUpdate.Store(nil)
}

func (r *hollowResult) changeConfig(fleet *hollowFleet, version uint64, replace func(version uint64) bool) {
	waiter := fleet.expectUpdate(func(u *rpc.Update) bool { return u.Version >= version })
	if !replace(version) {
		r.configChange.failed++
		return
	}
	acknowledgedAt := time.Now()
	fleet.waitForUpdate(waiter, hollowPropagationTimeout)
	r.configChange.add(waiter.since(acknowledgedAt))
}

func (r *hollowResult) drainServer(fleet *hollowFleet, server *hollowServer) {
	waiter := fleet.expectUpdate(func(u *rpc.Update) bool {
		return reportMatches(u, server.id, func(report *rpc.ServerReport) bool { return report.State > 0 })
	})
	acknowledgedAt, ok := server.drain()
	if !ok {
		r.drain.failed++
		return
	}
	fleet.waitForUpdate(waiter, hollowPropagationTimeout)
	r.drain.add(waiter.since(acknowledgedAt))
}

func (r *hollowResult) loseServer(fleet *hollowFleet, server *hollowServer) {
	waiter := fleet.expectUpdate(func(u *rpc.Update) bool {
		return reportMatches(u, server.id, func(report *rpc.ServerReport) bool { return report.Unresponsive })
	})
	lastHeartbeat := server.stopHeartbeats()
	fleet.waitForUpdate(waiter, hollowPropagationTimeout)
	r.unresponsive.add(waiter.since(lastHeartbeat))
}

// reportMatches reports whether an update has a report about a server that matches.
func reportMatches(update *rpc.Update, instance string, matches func(*rpc.ServerReport) bool) bool {
	for _, report := range update.Reports {
		if report.Instance == instance && matches(report) {
			return true
		}
	}
	return false
}

// record adds the result to a record.
func (r *hollowResult) record(record *Record, size hollowSize) {
	row := func(table string, header []string, cells ...string) {
		sizeHeader := []string{"controllers", "servers", "gateways", "routes"}
		sizeCells := []string{strconv.Itoa(size.controllers), strconv.Itoa(size.servers), strconv.Itoa(size.gateways), strconv.Itoa(size.routes)}
		record.AddRow(table, append(sizeHeader, header...), append(sizeCells, cells...)...)
	}
	row("A controller, while nothing changes",
		[]string{"cores: mean", "max", "wake-ups per second", "kB/s in", "kB/s out", "MB held", "peak", "load of the machine"},
		formatCell(r.cpu, 3), formatCell(r.maxCPU, 3), formatCell(r.wakeups, 0), formatCell(r.in/1000, 1), formatCell(r.out/1000, 1),
		formatMB(r.memory), formatMB(r.peakMemory), formatCell(r.load, 1))
	row("Heartbeats, while nothing changes",
		[]string{"acknowledged", "not", "ms: p50", "p99", "max"},
		strconv.FormatInt(r.acknowledged, 10), strconv.FormatInt(r.unacknowledged, 10), formatCell(r.acks.P50, 2), formatCell(r.acks.P99, 2),
		formatCell(r.acks.Max, 1))
	row("Bytes to a gateway",
		[]string{"per second in", "per second out", "for a change", "of the configuration's", "for a drain", "for the replacement of another gateway",
			"list of servers", "number of servers", "list of gateways", "polls timed out"},
		formatCell(r.steadyIn, 0), formatCell(r.steadyOut, 0), formatCell(r.configIn, 0), strconv.Itoa(r.configBytes), formatCell(r.drainIn, 0),
		formatCell(r.gatewayReplacedIn, 0), strconv.FormatInt(r.serverListBytes, 10), strconv.FormatInt(r.serverListLength, 10),
		strconv.FormatInt(r.gatewayListBytes, 10), strconv.FormatInt(r.pollsTimedOut, 10))
	row("Milliseconds to half and to all gateways, the worst of a few",
		[]string{"from the acknowledgement of a change", "from that of a drain", "from the last heartbeat of a lost server", "timed out"},
		r.configChange.String(), r.drain.String(), r.unresponsive.String(), map[bool]string{true: "yes", false: "no"}[r.timedOut])
	row("A real gateway without clients, and the restart of a server",
		[]string{"gateway: cores", "MB held", "peak", "ms of processor per restart", "controller: ms of processor per restart"},
		formatCell(r.realGateway.cpu, 4), formatMB(r.realGateway.memory), formatMB(r.realGateway.peakMemory),
		formatCell(1000*r.realGateway.perRestart, 1), formatCell(1000*r.perRestart, 1))
	record.SetMetric(size.String()+": cores of a controller", r.cpu)
	record.SetMetric(size.String()+": bytes in and out of a controller per second", r.in+r.out)
	record.SetMetric(size.String()+": bytes held by a controller", float64(r.memory))
	record.SetMetric(size.String()+": bytes per second of a gateway", r.steadyIn+r.steadyOut)
}

// formatMB formats a number of bytes in MB.
func formatMB(bytes int64) string { return formatCell(float64(bytes)/1e6, 0) }
