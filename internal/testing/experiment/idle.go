package experiment

import (
	"context"
	"fmt"
	"net/http"
)

func init() {
	Register(Experiment{
		Name:  "idle",
		Short: "Many idle connections: their cost, and the latency of look-ups while they become active",
		Long: `idle holds N connections that have sent one request, from several processes and loopback addresses, on a
gatherer that keeps a goroutine for each (park = no) and on one that parks them (park = yes). It records memory per
connection, processor time while they are idle, responses by status, and the latency of background look-ups: before, while a
tenth of the connections sends a request, while all send one at once, and beside connections that are short-lived, send slowly
or never send anything. At full scale it also holds 100,000 connections over eight gatherers. It ends with a finding if
parking exceeds its limits: memory, processor time, a final response to every request, and responses to background look-ups.`,
		Run: runIdle,
	})
}

// idleLimits are the limits for a gatherer that parks connections.
type idleLimits struct {
	memoryRatio   float64 // minimum ratio of resident memory per connection with goroutines to that with parking
	heapBytes     float64 // maximum of heap and stacks per connection, plus heapSlackBytes in total
	holdingCPU    float64 // maximum number of cores used while connections are idle
	answeredShare float64 // minimum share of answered background look-ups while connections wake, send slowly or send nothing
	p99Ratio      float64 // maximum ratio of the p99 of background look-ups while a tenth wakes to that of the empty gatherer
}

const (
	// heapSlackBytes allows for garbage that is in the heap when it is measured.
	heapSlackBytes = 2 << 20
	// manyConnections is the number of connections from which on the required memory ratio is manyMemoryRatio. With fewer, the
	// runtime's slack exceeds the memory of the connections.
	manyConnections = 10_000
	manyMemoryRatio = 40
	// minimumCPUPoint is the minimum processor time in the chart, whose axis is logarithmic.
	minimumCPUPoint = 1e-5
	// connectionsPerHolder is the number of connections of one process.
	connectionsPerHolder = 3200
)

// Variants of the experiment, with the value of the gatherer's setting park.
const (
	idleKept   = "kept"
	idleParked = "parked"
)

var parkSettings = map[string]string{idleKept: "no", idleParked: "yes"}

func runIdle(ctx context.Context, e *Env) error {
	sizes := []int{1000, 5000, 10_000, 12_800}
	if e.Quick {
		sizes = []int{3000}
	}
	limits := idleLimits{memoryRatio: 8, heapBytes: 512, holdingCPU: 0.01, answeredShare: 0.95, p99Ratio: 2}
	for _, connections := range sizes {
		if connections >= manyConnections {
			limits.memoryRatio = manyMemoryRatio
		}
		if err := e.compareIdle(ctx, connections, limits); err != nil {
			return fmt.Errorf("%d connections: %w", connections, err)
		}
	}
	if !e.Quick {
		return e.measureIdleOverGatherers(ctx, 8, 12_500)
	}
	return nil
}

// compareIdle measures both variants with a number of connections.
func (e *Env) compareIdle(ctx context.Context, connections int, limits idleLimits) error {
	residentBytes := map[string]float64{}
	for _, variant := range []string{idleKept, idleParked} {
		m := &idleMeasurement{variant: variant, connections: connections, limits: limits}
		if err := m.run(ctx, e); err != nil {
			return fmt.Errorf("%s: %w", variant, err)
		}
		m.recordPoints(e.Record)
		residentBytes[variant] = m.residentBytes
	}
	kept, parked := residentBytes[idleKept], residentBytes[idleParked]
	if parked*limits.memoryRatio > kept {
		return fmt.Errorf("%.0f bytes per connection parked and %.0f kept, want a ratio of %.0f at least", parked, kept, limits.memoryRatio)
	}
	return nil
}

// idleMeasurement is the measurement of one variant with a number of connections.
type idleMeasurement struct {
	variant     string
	connections int
	limits      idleLimits
	scenario    *idleScenario

	empty         *LatencyRecorder // of background look-ups before the connections are opened
	before        Usage            // without the connections
	beforeReport  runtimeReport
	during        Usage // while the connections are idle
	duringReport  runtimeReport
	residentBytes float64 // per connection
	heapBytes     float64 // of heap and stacks, per connection
	cpu           float64 // cores while the connections are idle
}

func (m *idleMeasurement) run(ctx context.Context, e *Env) error {
	connections := "[connections]\npark = " + parkSettings[m.variant] +
		"\nawake = 16\ncrowd = off\nhead_rate = 200\nbody_rate = 200\nanswer_rate = 200\n"
	var err error
	if m.scenario, err = e.startIdleScenario(ctx, fmt.Sprintf("%s %d", m.variant, m.connections), connections); err != nil {
		return err
	}
	defer m.scenario.stop()
	e.Progress(m.scenario.name, 9)
	if err := m.measureEmpty(); err != nil {
		return err
	}
	if err := m.measureHolding(); err != nil {
		return err
	}
	tenth, err := m.runWaves()
	if err != nil {
		return err
	}
	if err := m.runSilent(); err != nil {
		return err
	}
	return m.report(tenth)
}

// measureEmpty measures the gatherer without idle connections.
func (m *idleMeasurement) measureEmpty() error {
	s := m.scenario
	s.runBackgroundLoad("warming up", s.env.scaleMillis(500, 500))
	load := s.runBackgroundLoad("empty", s.env.scaleMillis(1500, 4000))
	m.empty = load.latency
	if load.answered < load.sent {
		return fmt.Errorf("%d of %d look-ups are answered by a gatherer without other connections", load.answered, load.sent)
	}
	s.env.Step()
	m.beforeReport = s.metrics.next(s.ctx)
	var err error
	m.before, err = ReadUsage(s.pid())
	return err
}

// measureHolding opens the connections and measures the gatherer while they are idle, after it has released the resources that
// active connections use.
func (m *idleMeasurement) measureHolding() error {
	s := m.scenario
	if err := s.openConnections(m.connections, 0); err != nil {
		return err
	}
	s.env.Step()
	sleep(s.ctx, s.env.scaleMillis(2500, 6000))
	m.duringReport = s.metrics.next(s.ctx)
	start, err := ReadUsage(s.pid())
	if err != nil {
		return err
	}
	duration := s.env.scaleMillis(2000, 10_000)
	sleep(s.ctx, duration)
	if m.during, err = ReadUsage(s.pid()); err != nil {
		return err
	}
	connections := float64(m.connections)
	m.residentBytes = float64(m.during.RSS-m.before.RSS) / connections
	m.heapBytes = float64(m.duringReport.used()-m.beforeReport.used()) / connections
	m.cpu = (m.during.CPU - start.CPU).Seconds() / duration.Seconds()
	s.env.Step()
	s.runBackgroundLoad("holding", s.env.scaleMillis(1000, 3000))
	s.env.Step()
	return nil
}

// idleWave is one wave of requests on idle connections.
type idleWave struct {
	name     string
	mayClose bool // requests may remain without a final response
	command  string
	args     []int // of each holder
}

// runWaves runs the waves and returns the background latency while a tenth of the connections wakes.
func (m *idleMeasurement) runWaves() (tenth *LatencyRecorder, err error) {
	for i, wave := range []idleWave{
		{"a tenth wakes in 1.5 s", false, wakeCommand, []int{connectionsPerHolder / 10, 1500}},
		{"all wake in 50 ms", false, wakeCommand, []int{connectionsPerHolder, 50}},
		{"others come, send one request and go", false, churnCommand, []int{1000, 100}},
		{"100 each send 50 bytes/s", true, trickleCommand, []int{100, 50, 3000}},
	} {
		latency, err := m.runWave(wave)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", wave.name, err)
		}
		if i == 0 {
			tenth = latency
		}
	}
	return tenth, nil
}

func (m *idleMeasurement) runWave(wave idleWave) (*LatencyRecorder, error) {
	result, load, err := m.scenario.runWave(wave.name, wave.command, wave.args...)
	if err != nil {
		return nil, err
	}
	m.scenario.env.Step()
	sent, ok, shed := result.sent(), result.statuses[http.StatusOK], result.statuses[http.StatusServiceUnavailable]
	m.scenario.env.Record.AddRow("Waves",
		[]string{"variant", "connections", "wave", "sent", "200", "503", "closed or other", "p99 ms", "max ms", "background answered"},
		m.variant, fmt.Sprint(m.connections), wave.name, fmt.Sprint(sent), fmt.Sprint(ok), fmt.Sprint(shed), fmt.Sprint(sent-ok-shed),
		formatCell(result.p99, 1), formatCell(result.max, 1), load.String())
	if lost := result.statuses[noResponse]; !wave.mayClose && lost > 0 {
		return nil, fmt.Errorf("%d of %d requests got no final response", lost, sent)
	}
	return load.latency, m.checkBackground(load)
}

// checkBackground checks the share of background look-ups answered by a gatherer that parks connections.
func (m *idleMeasurement) checkBackground(load backgroundLoad) error {
	if m.variant == idleParked && float64(load.answered) < m.limits.answeredShare*float64(load.sent) {
		return fmt.Errorf("%s background look-ups are answered", load)
	}
	return nil
}

// runSilent opens connections that never send anything.
func (m *idleMeasurement) runSilent() error {
	s := m.scenario
	stop := s.startBackgroundLoad("silent connections")
	result, err := s.holders[0].do(silentCommand, min(m.connections/2, 2000), 2600)
	if err != nil {
		return err
	}
	load := stop()
	s.env.Record.AddRow("Connections that never send anything",
		[]string{"variant", "connections", "opened", "closed within 2.6 s", "background answered"},
		m.variant, fmt.Sprint(m.connections), fmt.Sprint(result.opened), fmt.Sprint(result.closed), load.String())
	if err := m.checkBackground(load); err != nil {
		return fmt.Errorf("silent connections: %w", err)
	}
	return nil
}

// report records the costs and checks those of parking. The parameter tenth is the background latency while a tenth of the
// connections wakes.
func (m *idleMeasurement) report(tenth *LatencyRecorder) error {
	s := m.scenario
	after, err := ReadUsage(s.pid())
	if err != nil {
		return err
	}
	last := s.metrics.next(s.ctx)
	s.env.Record.AddRow("Holding",
		[]string{"variant", "connections", "empty MiB", "holding MiB", "bytes each, resident", "bytes each, heap and stacks", "additional goroutines",
			"descriptors", "cores", "threads", "peak MiB", "peak accounted MiB"},
		m.variant, fmt.Sprint(m.connections), formatMiB(m.before.RSS), formatMiB(m.during.RSS), formatCell(m.residentBytes, 0),
		formatCell(m.heapBytes, 0), fmt.Sprint(m.duringReport.goroutines-m.beforeReport.goroutines),
		fmt.Sprint(m.during.Descriptors), formatCell(m.cpu, 4), fmt.Sprint(m.during.Threads), formatMiB(after.Peak), formatMiB(last.peak))
	p99Ratio := tenth.percentile(99) / m.empty.percentile(99)
	s.env.Record.SetMetric(s.name+": p99 while a tenth wakes over that of the empty gatherer", p99Ratio)
	if m.variant != idleParked {
		return nil
	}
	connections := float64(m.connections)
	switch {
	case m.cpu > m.limits.holdingCPU:
		return fmt.Errorf("idle connections cost %.3f cores, the limit is %.3f", m.cpu, m.limits.holdingCPU)
	case m.heapBytes*connections > m.limits.heapBytes*connections+heapSlackBytes:
		return fmt.Errorf("a connection costs %.0f bytes of heap and stacks, the limit is %.0f", m.heapBytes, m.limits.heapBytes)
	case p99Ratio > m.limits.p99Ratio:
		return fmt.Errorf("p99 of look-ups is %.2f times that of the empty gatherer while a tenth wakes", p99Ratio)
	}
	return nil
}

func (m *idleMeasurement) recordPoints(r *Record) {
	const memoryChart, memoryAxis = "bytes per connection", "bytes of resident memory"
	x := float64(m.connections)
	r.AddPoint(memoryChart, "connections", memoryAxis, m.variant, x, m.residentBytes)
	r.AddPoint(memoryChart, "connections", memoryAxis, m.variant+", heap and stacks", x, m.heapBytes)
	r.AddPoint("processor time of idle connections", "connections", "cores", m.variant, x, max(m.cpu, minimumCPUPoint))
}
