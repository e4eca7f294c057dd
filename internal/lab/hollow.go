package lab

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
type hollowSize struct{ control, servers, gatherers, routes int }

func (s hollowSize) String() string {
	return fmt.Sprintf("%d control, %d servers, %d gatherers, %d routes", s.control, s.servers, s.gatherers, s.routes)
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
	hollowLanes     = 6000 // connections of servers at most: descriptors are bounded
	hollowChanges   = 4    // of each kind
	hollowReach     = 20 * time.Second
	hollowIntervals = 3 // between heartbeats, until all is known
	hollowTries     = 20
	hollowReplace   = 3 * time.Second        // until a gatherer that took another's place is known to all
	hollowArrive    = 20 * time.Millisecond  // between two gatherers that start
	hollowLimit     = 100 * time.Second      // for one size: what is not measured then counts as not acknowledged or never come
	hollowRestarts  = 24                     // of servers,
	hollowRestartAt = 250 * time.Millisecond // one in so long: each is news of its own
)

func runHollow(ctx context.Context, e *Env) error {
	sizes := hollowFull
	if e.Quick {
		sizes = hollowQuick
	}
	if e.Sizes != "" {
		var err error
		if sizes, err = readSizes(e.Sizes); err != nil {
			return err
		}
	}
	e.Progress("sizes", len(sizes))
	for i, size := range sizes {
		m, err := e.hollowOf(ctx, fmt.Sprint("hollow-", i), size)
		if err != nil {
			return fmt.Errorf("%v: %w", size, err)
		}
		m.keep(e.Record, size)
		e.Step()
	}
	return nil
}

// readSizes reads sizes of one's own: control/servers/gatherers/routes, with commas between.
func readSizes(text string) (out []hollowSize, err error) {
	for _, word := range strings.Split(text, ",") {
		var s hollowSize
		if _, err := fmt.Sscanf(word, "%d/%d/%d/%d", &s.control, &s.servers, &s.gatherers, &s.routes); err != nil {
			return nil, fmt.Errorf("the size %q is not control/servers/gatherers/routes", word)
		}
		out = append(out, s)
	}
	return out, nil
}

// hollowMeasure is what one size showed. Rates are a second's, of one process in the mean.
type hollowMeasure struct {
	processor, mostProcessor float64 // cores
	in, out, wakes           float64
	memory, peak             int64   // bytes, of the process that has most
	calmIn, calmOut          float64 // of one gatherer, while nothing changes
	replacedIn               float64 // bytes that one gatherer is sent when another is replaced
	serverIn                 float64 // bytes that one gatherer is sent when a server drains
	configIn                 float64 // bytes that one gatherer is sent when the configuration changes
	configBytes              int     // of the configuration's text
	listBytes, listLength    int64
	crowdBytes               int64
	change, drain, silence   reach
	acks                     LatencyRow
	acked, unacked           int64
	abandoned                int64
	load                     float64 // of the whole machine, as the system tells it
	real                     realGatherer
	perRestart               float64 // processor seconds of a control machine for one server's restart
	brokenOff                bool    // the size took longer than it may
}

// realGatherer is what a real gatherer without clients spends.
type realGatherer struct {
	processor  float64 // cores, while nothing changes
	perRestart float64 // processor seconds for one server's restart
	memory     int64
	peak       int64
}

// reach is how long news took to the gatherers, in milliseconds.
type reach struct {
	half, all float64
	missing   int // gatherers that it did not come to in time, of all changes
	failed    int // changes that were not acknowledged
}

func (r reach) String() string {
	text := fmt.Sprintf("%.0f, %.0f", r.half, r.all)
	if r.missing > 0 {
		text += fmt.Sprintf(" (%d never)", r.missing)
	}
	if r.failed > 0 {
		text += fmt.Sprintf(" (%d not acknowledged)", r.failed)
	}
	return text
}

func (r *reach) add(took []time.Duration, missing int) {
	r.missing += missing
	if len(took) == 0 {
		return
	}
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	r.half = max(r.half, ms(took[len(took)/2]))
	r.all = max(r.all, ms(took[len(took)-1]))
}

// hollowOf plays one size.
func (e *Env) hollowOf(ctx context.Context, name string, size hollowSize) (*hollowMeasure, error) {
	conf := hollowConfig(1, size.routes)
	sys, err := e.startSystem(name, size.control, 1, false, conf, func(*simcluster.Cluster) {})
	if err != nil {
		return nil, err
	}
	defer sys.stop()
	var control, inner []string
	var pids []int
	for _, p := range sys.hives {
		s, err := settings.Read(sys.boot[p])
		if err != nil {
			return nil, err
		}
		control, inner = append(control, s.Listen.Control), append(inner, s.InternalAddress(settings.ControllerPort))
		pids = append(pids, p.Process.Pid)
	}
	bounded, cancel := context.WithTimeout(ctx, hollowLimit)
	defer cancel()
	f := newHollowFleet(bounded, network.TCP{}, control, inner, sys.c.HeartbeatInterval)
	defer f.end()
	m := &hollowMeasure{configBytes: len(conf)}
	f.addServers(size.servers, hollowLanes)
	f.pause(hollowIntervals * f.beat)
	arrive := hollowArrive * time.Duration(size.gatherers)
	f.addGatherers(size.gatherers, arrive)
	f.pause(hollowIntervals*f.beat + arrive)
	real := sys.gather[0].Process.Pid
	if err := m.calm(f, pids, real, time.Duration(e.Scale(4, 10))*time.Second); err != nil {
		return nil, err
	}
	if err := m.restarts(f, pids, real); err != nil {
		return nil, err
	}
	order := func(version uint64) bool { // by any control machine, as an operator does
		body := hollowConfig(version, size.routes)
		for i := range hollowTries {
			if bounded.Err() != nil {
				return false
			}
			if sys.c.ReplaceConfiguration(sys.c.Controllers[(int(version)+i)%size.control], version-1, body) == 200 {
				return true
			}
			f.pause(100 * time.Millisecond)
		}
		return false
	}
	m.changes(f, order)
	m.brokenOff = bounded.Err() != nil
	return m, ctx.Err()
}

// calm measures what the control machines and gatherers spend while nothing changes.
func (m *hollowMeasure) calm(f *hollowFleet, pids []int, real int, last time.Duration) error {
	type spent struct{ cpu, wakes, in, out float64 }
	read := func() ([]spent, error) {
		all := make([]spent, len(pids))
		for i, pid := range pids {
			s, err := spentBy(pid)
			if err != nil {
				return nil, err
			}
			u, err := ReadUsage(pid)
			if err != nil {
				return nil, err
			}
			m.memory, m.peak = max(m.memory, u.RSS), max(m.peak, u.Peak)
			all[i] = spent{s.cpu, s.wakes, procField(pid, "io", "rchar"), procField(pid, "io", "wchar")}
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
	in, out := f.gathererBytes()
	acked, unacked, abandoned := f.acked.Load(), f.unacked.Load(), f.abandoned.Load()
	f.acks.reset()
	began := time.Now()
	f.pause(last)
	took := time.Since(began).Seconds()
	after, err := read()
	if err != nil {
		return err
	}
	realAfter, err := ReadUsage(real)
	if err != nil {
		return err
	}
	m.real = realGatherer{processor: (realAfter.CPU - realBefore.CPU).Seconds() / took, memory: realAfter.RSS, peak: realAfter.Peak}
	m.load = loadAverage()
	for i := range pids {
		cpu := (after[i].cpu - before[i].cpu) / took
		m.processor += cpu / float64(len(pids))
		m.mostProcessor = max(m.mostProcessor, cpu)
		m.wakes += (after[i].wakes - before[i].wakes) / took / float64(len(pids))
		m.in += (after[i].in - before[i].in) / took / float64(len(pids))
		m.out += (after[i].out - before[i].out) / took / float64(len(pids))
	}
	inNow, outNow := f.gathererBytes()
	m.calmIn, m.calmOut = (inNow-in)/took, (outNow-out)/took
	m.acks = f.acks.row("acknowledgement of a heartbeat")
	m.acked, m.unacked, m.abandoned = f.acked.Load()-acked, f.unacked.Load()-unacked, f.abandoned.Load()-abandoned
	return nil
}

// restarts measures what the restart of a server costs a control machine and a real gatherer, beyond what they spend at rest.
func (m *hollowMeasure) restarts(f *hollowFleet, pids []int, real int) error {
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
		f.pause(hollowRestartAt)
	}
	took := time.Since(began).Seconds()
	controlNow, gathererNow, err := cpu()
	if err != nil {
		return err
	}
	m.perRestart = (controlNow - control - took*m.processor) / float64(max(n, 1))
	m.real.perRestart = (gathererNow - gatherer - took*m.real.processor) / float64(max(n, 1))
	u, err := ReadUsage(real)
	m.real.memory, m.real.peak = max(m.real.memory, u.RSS), u.Peak
	return err
}

// changes measures how long each kind of news takes to all gatherers, and its bytes.
func (m *hollowMeasure) changes(f *hollowFleet, order func(version uint64) bool) {
	for i := range hollowChanges {
		version := uint64(i + 2)
		m.configIn = max(m.configIn, f.sentFor(func() {
			a := f.await(func(n *rpc.Update) bool { return n.Version >= version })
			if !order(version) {
				m.change.failed++
				return
			}
			at := time.Now()
			f.reached(a, hollowReach)
			m.change.add(a.since(at))
		}))
	}
	for i := range min(hollowChanges, len(f.servers)/2) {
		s := f.servers[i]
		m.serverIn = max(m.serverIn, f.sentFor(func() {
			a := f.await(func(n *rpc.Update) bool { return tells(n, s.id, func(r *rpc.ServerReport) bool { return r.State > 0 }) })
			at, ok := s.drain()
			if !ok {
				m.drain.failed++
				return
			}
			f.reached(a, hollowReach)
			m.drain.add(a.since(at))
		}))
	}
	for i := range min(hollowChanges, len(f.servers)/2) / 2 {
		s := f.servers[len(f.servers)-1-i]
		a := f.await(func(n *rpc.Update) bool { return tells(n, s.id, func(r *rpc.ServerReport) bool { return r.Overdue }) })
		at := s.fallSilent()
		f.reached(a, hollowReach)
		m.silence.add(a.since(at))
	}
	for range hollowChanges {
		m.replacedIn = max(m.replacedIn, f.sentFor(func() {
			select {
			case f.gatherers[0].replace <- struct{}{}:
			case <-f.ctx.Done():
			}
			f.pause(hollowReplace)
		}))
	}
	m.listBytes, m.listLength, m.crowdBytes = f.listBytes.Load(), f.listLength.Load(), f.crowdBytes.Load()
	f.awaited.Store(nil)
}

func tells(n *rpc.Update, instance string, is func(*rpc.ServerReport) bool) bool {
	for _, r := range n.Reports {
		if r.Instance == instance && is(r) {
			return true
		}
	}
	return false
}

// reached waits until news is everywhere, a while at most.
func (f *hollowFleet) reached(a *arrival, limit time.Duration) {
	select {
	case <-a.done:
	case <-time.After(limit):
	case <-f.ctx.Done():
	}
}

// gathererBytes are those of one gatherer so far, in the mean.
func (f *hollowFleet) gathererBytes() (in, out float64) {
	for _, g := range f.gatherers {
		in, out = in+float64(g.counter.in.Load()), out+float64(g.counter.out.Load())
	}
	n := float64(max(len(f.gatherers), 1))
	return in / n, out / n
}

// sentFor is how many bytes a gatherer is sent, in the mean of all but the first, while something happens.
func (f *hollowFleet) sentFor(what func()) float64 {
	sum := func() (n float64) {
		for _, g := range f.gatherers[1:] {
			n += float64(g.counter.in.Load())
		}
		return n
	}
	if len(f.gatherers) < 2 {
		what()
		return 0
	}
	before := sum()
	what()
	return (sum() - before) / float64(len(f.gatherers)-1)
}

// keep puts what was measured into the record.
func (m *hollowMeasure) keep(r *Record, size hollowSize) {
	text := func(v float64, digits int) string { return strconv.FormatFloat(v, 'f', digits, 64) }
	head := []string{"control", "servers", "gatherers", "routes"}
	row := []string{strconv.Itoa(size.control), strconv.Itoa(size.servers), strconv.Itoa(size.gatherers), strconv.Itoa(size.routes)}
	r.Row("A control machine, while nothing changes", append(head, "cores: mean", "most", "wake-ups a second", "kB/s in", "kB/s out", "MB held", "at its peak",
		"load of the machine"), append(row, text(m.processor, 3), text(m.mostProcessor, 3), text(m.wakes, 0), text(m.in/1000, 1), text(m.out/1000, 1),
		text(float64(m.memory)/1e6, 0), text(float64(m.peak)/1e6, 0), text(m.load, 1))...)
	r.Row("Heartbeats, while nothing changes", append(head, "acknowledged", "not", "ms: half", "99 of 100", "most"), append(row, strconv.FormatInt(m.acked, 10),
		strconv.FormatInt(m.unacked, 10), text(m.acks.P50, 2), text(m.acks.P99, 2), text(m.acks.Max, 1))...)
	r.Row("Bytes to a gatherer", append(head, "a second in", "a second out", "for a change", "of the configuration's", "for a draining", "for another gatherer replaced",
		"list of servers", "of so many", "list of gatherers", "questions given up"), append(row, text(m.calmIn, 0), text(m.calmOut, 0), text(m.configIn, 0),
		strconv.Itoa(m.configBytes), text(m.serverIn, 0), text(m.replacedIn, 0), strconv.FormatInt(m.listBytes, 10), strconv.FormatInt(m.listLength, 10),
		strconv.FormatInt(m.crowdBytes, 10), strconv.FormatInt(m.abandoned, 10))...)
	r.Row("Milliseconds to half and to all gatherers, the worst of a few", append(head, "change acknowledged", "draining acknowledged", "last heartbeat of one that fell silent", "broken off"),
		append(row, m.change.String(), m.drain.String(), m.silence.String(), map[bool]string{true: "yes", false: "no"}[m.brokenOff])...)
	r.Row("A real gatherer without clients, and the restart of a server", append(head, "gatherer: cores", "MB held", "at its peak", "ms of processor a restart",
		"control machine: ms of processor a restart"), append(row, text(m.real.processor, 4), text(float64(m.real.memory)/1e6, 0), text(float64(m.real.peak)/1e6, 0),
		text(1000*m.real.perRestart, 1), text(1000*m.perRestart, 1))...)
	r.Figure(size.String()+": cores of a control machine", m.processor)
	r.Figure(size.String()+": bytes in and out of a control machine a second", m.in+m.out)
	r.Figure(size.String()+": bytes held by a control machine", float64(m.memory))
	r.Figure(size.String()+": bytes a second of a gatherer", m.calmIn+m.calmOut)
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

// procField is a number from a file of /proc/PID; 0 where there is none.
func procField(pid int, file, name string) float64 {
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

// loadAverage is the machine's load of the last minute; 0 where it can't be read.
func loadAverage() float64 {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(text), " ")
	v, _ := strconv.ParseFloat(first, 64)
	return v
}
