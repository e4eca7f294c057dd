package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"oxbowspan/config"
	"oxbowspan/internal/network"
	"oxbowspan/internal/settings"
	"oxbowspan/internal/testing/simcluster"
	"oxbowspan/rpc"
)

func init() {
	Register(Experiment{Name: "hollow", Short: "What the control machines cost by number of servers, gatherers, control machines and routes",
		Long: `hollow starts built control machines on loopback and surrounds them with hollow gatherers and servers: many in this one
process, which speak the real protocol (questions for news, heartbeats) and do nothing else. For each size it records what a
control machine spends (processor, memory, bytes in and out), what control costs a gatherer in bytes, how long an
acknowledgement of a heartbeat takes, and how long a changed configuration, a draining and a silence take to reach every
gatherer. One real gatherer runs beside them: its memory and processor, calm and while servers restart. Each size is played for a bounded time. The programs are those beside the gatherer. Sizes of one's own are written as
control/servers/gatherers/routes, with commas between.`, Run: runHollow})
}

// hollowSize is one size that is played.
type hollowSize struct{ controllers, servers, gateways, routes int }

func (s hollowSize) String() string {
	return fmt.Sprintf("%d control, %d servers, %d gatherers, %d routes", s.controllers, s.servers, s.gateways, s.routes)
}

// The sizes: one number grows at a time.
var (
	hollowQuick = []hollowSize{{3, 300, 30, 50}, {3, 1000, 30, 50}, {3, 300, 100, 50}}
	hollowFull  = []hollowSize{
		{3, 300, 30, 50}, {3, 1000, 30, 50}, {3, 3000, 30, 50}, {3, 6000, 30, 50}, {3, 10000, 30, 50},
		{3, 1000, 100, 50}, {3, 1000, 300, 50}, {3, 1000, 1000, 50},
		{5, 3000, 30, 50}, {9, 3000, 30, 50}, {15, 3000, 30, 50},
		{3, 300, 30, 500}, {3, 300, 30, 5000},
	}
)

// Times and counts of one size.
const (
	hollowMaxConnections     = 6000 // connections of servers at most: descriptors are bounded
	hollowChanges            = 4    // of each kind
	hollowPropagationTimeout = 20 * time.Second
	hollowSettleIntervals    = 3 // between heartbeats, until all is known
	hollowReplaceAttempts    = 20
	hollowGatewayReplacement = 3 * time.Second        // until a gatherer that took another's place is known to all
	hollowStartSpacing       = 20 * time.Millisecond  // between two gatherers that start
	hollowSizeTimeout        = 100 * time.Second      // for one size: what is not measured then counts as not acknowledged or never come
	hollowRestarts           = 24                     // of servers,
	hollowRestartSpacing     = 250 * time.Millisecond // one in so long: each is news of its own
)

func runHollow(ctx context.Context, e *Env) error {
	sizes := hollowFull
	if e.Quick {
		sizes = hollowQuick
	}
	if e.Sizes != "" {
		var err error
		if sizes, err = parseSizes(e.Sizes); err != nil {
			return err
		}
	}
	e.Progress("sizes", len(sizes))
	for i, size := range sizes {
		m, err := e.measureHollow(ctx, fmt.Sprint("hollow-", i), size)
		if err != nil {
			return fmt.Errorf("%v: %w", size, err)
		}
		m.record(e.Record, size)
		e.Step()
	}
	return nil
}

// parseSizes reads sizes of one's own: control/servers/gatherers/routes, with commas between.
func parseSizes(text string) (out []hollowSize, err error) {
	for _, word := range strings.Split(text, ",") {
		var s hollowSize
		if _, err := fmt.Sscanf(word, "%d/%d/%d/%d", &s.controllers, &s.servers, &s.gateways, &s.routes); err != nil {
			return nil, fmt.Errorf("the size %q is not control/servers/gatherers/routes", word)
		}
		out = append(out, s)
	}
	return out, nil
}

// hollowResult is what one size showed. Rates are a second's, of one process in the mean.
type hollowResult struct {
	cpu, maxCPU                       float64 // cores
	in, out, wakeups                  float64
	memory, peakMemory                int64   // bytes, of the process that has most
	steadyIn, steadyOut               float64 // of one gatherer, while nothing changes
	gatewayReplacedIn                 float64 // bytes that one gatherer is sent when another is replaced
	drainIn                           float64 // bytes that one gatherer is sent when a server drains
	configIn                          float64 // bytes that one gatherer is sent when the configuration changes
	configBytes                       int     // of the configuration's text
	serverListBytes, serverListLength int64
	gatewayListBytes                  int64
	configChange, drain, unresponsive propagation
	acks                              LatencySummary
	acknowledged, unacknowledged      int64
	pollsTimedOut                     int64
	load                              float64 // of the whole machine, as the system tells it
	realGateway                       gatewayCost
	perRestart                        float64 // processor seconds of a control machine for one server's restart
	timedOut                          bool    // the size took longer than it may
}

// gatewayCost is what a real gatherer without clients spends.
type gatewayCost struct {
	cpu        float64 // cores, while nothing changes
	perRestart float64 // processor seconds for one server's restart
	memory     int64
	peakMemory int64
}

// propagation is how long news took to the gatherers, in milliseconds.
type propagation struct {
	half, all float64
	missing   int // gatherers that it did not come to in time, of all changes
	failed    int // changes that were not acknowledged
}

func (r propagation) String() string {
	text := fmt.Sprintf("%.0f, %.0f", r.half, r.all)
	if r.missing > 0 {
		text += fmt.Sprintf(" (%d never)", r.missing)
	}
	if r.failed > 0 {
		text += fmt.Sprintf(" (%d not acknowledged)", r.failed)
	}
	return text
}

func (r *propagation) add(took []time.Duration, missing int) {
	r.missing += missing
	if len(took) == 0 {
		return
	}
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	r.half = max(r.half, ms(took[len(took)/2]))
	r.all = max(r.all, ms(took[len(took)-1]))
}

// measureHollow plays one size.
func (e *Env) measureHollow(ctx context.Context, name string, size hollowSize) (*hollowResult, error) {
	conf := hollowConfig(1, size.routes)
	sys, err := e.startCluster(name, size.controllers, 1, false, conf, func(*simcluster.Cluster) {})
	if err != nil {
		return nil, err
	}
	defer sys.stop()
	var control, inner []string
	var pids []int
	for _, p := range sys.controllers {
		s, err := settings.Read(sys.settingsPaths[p])
		if err != nil {
			return nil, err
		}
		control, inner = append(control, s.Listen.Control), append(inner, s.InternalAddress(settings.ControllerPort))
		pids = append(pids, p.Process.Pid)
	}
	bounded, cancel := context.WithTimeout(ctx, hollowSizeTimeout)
	defer cancel()
	f := newHollowFleet(bounded, network.TCP{}, control, inner, sys.cluster.HeartbeatInterval)
	defer f.close()
	m := &hollowResult{configBytes: len(conf)}
	f.addServers(size.servers, hollowMaxConnections)
	f.sleep(hollowSettleIntervals * f.heartbeatInterval)
	arrive := hollowStartSpacing * time.Duration(size.gateways)
	f.addGateways(size.gateways, arrive)
	f.sleep(hollowSettleIntervals*f.heartbeatInterval + arrive)
	real := sys.gateways[0].Process.Pid
	if err := m.measureSteadyState(f, pids, real, time.Duration(e.Scale(4, 10))*time.Second); err != nil {
		return nil, err
	}
	if err := m.measureRestarts(f, pids, real); err != nil {
		return nil, err
	}
	order := func(version uint64) bool { // by any control machine, as an operator does
		body := hollowConfig(version, size.routes)
		for i := range hollowReplaceAttempts {
			if bounded.Err() != nil {
				return false
			}
			if sys.cluster.ReplaceConfiguration(sys.cluster.Controllers[(int(version)+i)%size.controllers], version-1, body) == 200 {
				return true
			}
			f.sleep(100 * time.Millisecond)
		}
		return false
	}
	m.measurePropagation(f, order)
	m.timedOut = bounded.Err() != nil
	return m, ctx.Err()
}

// measureSteadyState measures what the control machines and gatherers spend while nothing changes.
func (m *hollowResult) measureSteadyState(f *hollowFleet, pids []int, real int, last time.Duration) error {
	type spent struct{ cpu, wakes, in, out float64 }
	read := func() ([]spent, error) {
		all := make([]spent, len(pids))
		for i, pid := range pids {
			s, err := readProcessCost(pid)
			if err != nil {
				return nil, err
			}
			u, err := ReadUsage(pid)
			if err != nil {
				return nil, err
			}
			m.memory, m.peakMemory = max(m.memory, u.RSS), max(m.peakMemory, u.Peak)
			all[i] = spent{s.cpu, s.wakeups, readProcField(pid, "io", "rchar"), readProcField(pid, "io", "wchar")}
		}
		return all, nil
	}
	before, err := read()
	if err != nil {
		return err
	}
	realBefore, err := ReadUsage(real)
	if err != nil {
		return err
	}
	in, out := f.gatewayBytes()
	acked, unacked, abandoned := f.acknowledged.Load(), f.unacknowledged.Load(), f.pollsTimedOut.Load()
	f.ackLatency.reset()
	began := time.Now()
	f.sleep(last)
	took := time.Since(began).Seconds()
	after, err := read()
	if err != nil {
		return err
	}
	realAfter, err := ReadUsage(real)
	if err != nil {
		return err
	}
	m.realGateway = gatewayCost{cpu: (realAfter.CPU - realBefore.CPU).Seconds() / took, memory: realAfter.RSS, peakMemory: realAfter.Peak}
	m.load = readLoadAverage()
	for i := range pids {
		cpu := (after[i].cpu - before[i].cpu) / took
		m.cpu += cpu / float64(len(pids))
		m.maxCPU = max(m.maxCPU, cpu)
		m.wakeups += (after[i].wakes - before[i].wakes) / took / float64(len(pids))
		m.in += (after[i].in - before[i].in) / took / float64(len(pids))
		m.out += (after[i].out - before[i].out) / took / float64(len(pids))
	}
	inNow, outNow := f.gatewayBytes()
	m.steadyIn, m.steadyOut = (inNow-in)/took, (outNow-out)/took
	m.acks = f.ackLatency.summary("acknowledgement of a heartbeat")
	m.acknowledged, m.unacknowledged, m.pollsTimedOut = f.acknowledged.Load()-acked, f.unacknowledged.Load()-unacked, f.pollsTimedOut.Load()-abandoned
	return nil
}

// measureRestarts measures what the restart of a server costs a control machine and a real gatherer, beyond what they spend at rest.
func (m *hollowResult) measureRestarts(f *hollowFleet, pids []int, real int) error {
	cpu := func() (control, gatherer float64, err error) {
		for _, pid := range pids {
			u, err := ReadUsage(pid)
			if err != nil {
				return 0, 0, err
			}
			control += u.CPU.Seconds() / float64(len(pids))
		}
		u, err := ReadUsage(real)
		return control, u.CPU.Seconds(), err
	}
	control, gatherer, err := cpu()
	if err != nil {
		return err
	}
	began, n := time.Now(), 0
	for i := range hollowRestarts {
		if f.ctx.Err() != nil {
			break
		}
		if f.servers[(7*i+3)%len(f.servers)].restart() {
			n++
		}
		f.sleep(hollowRestartSpacing)
	}
	took := time.Since(began).Seconds()
	controlNow, gathererNow, err := cpu()
	if err != nil {
		return err
	}
	m.perRestart = (controlNow - control - took*m.cpu) / float64(max(n, 1))
	m.realGateway.perRestart = (gathererNow - gatherer - took*m.realGateway.cpu) / float64(max(n, 1))
	u, err := ReadUsage(real)
	m.realGateway.memory, m.realGateway.peakMemory = max(m.realGateway.memory, u.RSS), u.Peak
	return err
}

// measurePropagation measures how long each kind of news takes to all gatherers, and its bytes.
func (m *hollowResult) measurePropagation(f *hollowFleet, order func(version uint64) bool) {
	for i := range hollowChanges {
		version := uint64(i + 2)
		m.configIn = max(m.configIn, f.bytesDuring(func() {
			a := f.expectUpdate(func(n *rpc.Update) bool { return n.Version >= version })
			if !order(version) {
				m.configChange.failed++
				return
			}
			at := time.Now()
			f.waitForUpdate(a, hollowPropagationTimeout)
			m.configChange.add(a.since(at))
		}))
	}
	for i := range min(hollowChanges, len(f.servers)/2) {
		s := f.servers[i]
		m.drainIn = max(m.drainIn, f.bytesDuring(func() {
			a := f.expectUpdate(func(n *rpc.Update) bool {
				return reportMatches(n, s.id, func(r *rpc.ServerReport) bool { return r.State > 0 })
			})
			at, ok := s.drain()
			if !ok {
				m.drain.failed++
				return
			}
			f.waitForUpdate(a, hollowPropagationTimeout)
			m.drain.add(a.since(at))
		}))
	}
	for i := range min(hollowChanges, len(f.servers)/2) / 2 {
		s := f.servers[len(f.servers)-1-i]
		a := f.expectUpdate(func(n *rpc.Update) bool {
			return reportMatches(n, s.id, func(r *rpc.ServerReport) bool { return r.Unresponsive })
		})
		at := s.stopHeartbeats()
		f.waitForUpdate(a, hollowPropagationTimeout)
		m.unresponsive.add(a.since(at))
	}
	for range hollowChanges {
		m.gatewayReplacedIn = max(m.gatewayReplacedIn, f.bytesDuring(func() {
			select {
			case f.gateways[0].replace <- struct{}{}:
			case <-f.ctx.Done():
			}
			f.sleep(hollowGatewayReplacement)
		}))
	}
	m.serverListBytes, m.serverListLength, m.gatewayListBytes = f.serverListBytes.Load(), f.serverListLength.Load(), f.gatewayListBytes.Load()
	f.awaited.Store(nil)
}

func reportMatches(n *rpc.Update, instance string, is func(*rpc.ServerReport) bool) bool {
	for _, r := range n.Reports {
		if r.Instance == instance && is(r) {
			return true
		}
	}
	return false
}

// waitForUpdate waits until news is everywhere, a while at most.
func (f *hollowFleet) waitForUpdate(a *updateWaiter, limit time.Duration) {
	select {
	case <-a.done:
	case <-time.After(limit):
	case <-f.ctx.Done():
	}
}

// gatewayBytes are those of one gatherer so far, in the mean.
func (f *hollowFleet) gatewayBytes() (in, out float64) {
	for _, g := range f.gateways {
		in, out = in+float64(g.counter.in.Load()), out+float64(g.counter.out.Load())
	}
	n := float64(max(len(f.gateways), 1))
	return in / n, out / n
}

// bytesDuring is how many bytes a gatherer is sent, in the mean of all but the first, while something happens.
func (f *hollowFleet) bytesDuring(what func()) float64 {
	sum := func() (n float64) {
		for _, g := range f.gateways[1:] {
			n += float64(g.counter.in.Load())
		}
		return n
	}
	if len(f.gateways) < 2 {
		what()
		return 0
	}
	before := sum()
	what()
	return (sum() - before) / float64(len(f.gateways)-1)
}

// record puts what was measured into the record.
func (m *hollowResult) record(r *Record, size hollowSize) {
	text := func(v float64, digits int) string { return strconv.FormatFloat(v, 'f', digits, 64) }
	head := []string{"control", "servers", "gatherers", "routes"}
	row := []string{strconv.Itoa(size.controllers), strconv.Itoa(size.servers), strconv.Itoa(size.gateways), strconv.Itoa(size.routes)}
	r.AddRow("A control machine, while nothing changes", append(head, "cores: mean", "most", "wake-ups a second", "kB/s in", "kB/s out", "MB held", "at its peak",
		"load of the machine"), append(row, text(m.cpu, 3), text(m.maxCPU, 3), text(m.wakeups, 0), text(m.in/1000, 1), text(m.out/1000, 1),
		text(float64(m.memory)/1e6, 0), text(float64(m.peakMemory)/1e6, 0), text(m.load, 1))...)
	r.AddRow("Heartbeats, while nothing changes", append(head, "acknowledged", "not", "ms: half", "99 of 100", "most"), append(row, strconv.FormatInt(m.acknowledged, 10),
		strconv.FormatInt(m.unacknowledged, 10), text(m.acks.P50, 2), text(m.acks.P99, 2), text(m.acks.Max, 1))...)
	r.AddRow("Bytes to a gatherer", append(head, "a second in", "a second out", "for a change", "of the configuration's", "for a draining", "for another gatherer replaced",
		"list of servers", "of so many", "list of gatherers", "questions given up"), append(row, text(m.steadyIn, 0), text(m.steadyOut, 0), text(m.configIn, 0),
		strconv.Itoa(m.configBytes), text(m.drainIn, 0), text(m.gatewayReplacedIn, 0), strconv.FormatInt(m.serverListBytes, 10), strconv.FormatInt(m.serverListLength, 10),
		strconv.FormatInt(m.gatewayListBytes, 10), strconv.FormatInt(m.pollsTimedOut, 10))...)
	r.AddRow("Milliseconds to half and to all gatherers, the worst of a few", append(head, "change acknowledged", "draining acknowledged", "last heartbeat of one that fell silent", "broken off"),
		append(row, m.configChange.String(), m.drain.String(), m.unresponsive.String(), map[bool]string{true: "yes", false: "no"}[m.timedOut])...)
	r.AddRow("A real gatherer without clients, and the restart of a server", append(head, "gatherer: cores", "MB held", "at its peak", "ms of processor a restart",
		"control machine: ms of processor a restart"), append(row, text(m.realGateway.cpu, 4), text(float64(m.realGateway.memory)/1e6, 0), text(float64(m.realGateway.peakMemory)/1e6, 0),
		text(1000*m.realGateway.perRestart, 1), text(1000*m.perRestart, 1))...)
	r.SetMetric(size.String()+": cores of a control machine", m.cpu)
	r.SetMetric(size.String()+": bytes in and out of a control machine a second", m.in+m.out)
	r.SetMetric(size.String()+": bytes held by a control machine", float64(m.memory))
	r.SetMetric(size.String()+": bytes a second of a gatherer", m.steadyIn+m.steadyOut)
}

// hollowConfig is the example's configuration with more routes.
func hollowConfig(version uint64, routes int) []byte {
	var c config.Configuration
	if err := json.Unmarshal(simcluster.ExampleConfiguration(version, simcluster.FirstSharding), &c); err != nil {
		panic(err)
	}
	pattern := c.Routes[1]
	for i := len(c.Routes); i < routes; i++ {
		r := pattern
		r.Name, r.PathPrefix = "route-"+strconv.Itoa(i), fmt.Sprintf("/more-%d/", i)
		c.Routes = append(c.Routes, r)
	}
	text, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return text
}

// readProcField is a number from a file of /proc/PID; 0 where there is none.
func readProcField(pid int, file, name string) float64 {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), file))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, name+":"); ok {
			v, _ := strconv.ParseFloat(strings.TrimSpace(rest), 64)
			return v
		}
	}
	return 0
}

// readLoadAverage is the machine's load of the last minute; 0 where it can't be read.
func readLoadAverage() float64 {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(text), " ")
	v, _ := strconv.ParseFloat(first, 64)
	return v
}
