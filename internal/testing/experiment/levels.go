package experiment

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"oxbowspan/internal/testing/standin"
)

func init() {
	Register(Experiment{
		Name:  "levels",
		Short: "Degradation: a quarter of the servers hangs under load and returns with a slow start",
		Long: `levels sends look-ups and reports to servers that handle one call at a time, at a load below the capacity of all servers and
above that of three quarters of them. A quarter then hangs for a while, recovers, and hangs once more, and the load oscillates.
This runs without degradation levels (admission control alone), with plain thresholds (no dwell time, no hysteresis), and with
levels. It records look-ups and reports answered and shed by phase, and changes of level. It ends with a finding if with levels
too few look-ups are answered while a quarter hangs, if the level never changes or changes more often than the configuration
allows, or if a request gets no final response.`,
		Run: runLevels,
	})
}

const (
	levelsServers     = 8
	levelsServiceTime = 8 * time.Millisecond // of a call: 125 calls per second and server, 1,000 in all
	levelsMemoryMB    = 128
	levelsTimeout     = 550 * time.Millisecond // of a client
	// levelsTick is the interval at which due requests are sent.
	levelsTick = 2 * time.Millisecond
	// levelsMaxChanges is the maximum number of changes of level per minute in the configuration.
	levelsMaxChanges = 2*4 + 2
	// levelsMinAnswered is the share of look-ups that must be answered while a quarter of the servers hangs.
	levelsMinAnswered = 0.95
	// levelChangeEvent and levelScope identify the gatherer's log lines about changes of the level of all segments.
	levelChangeEvent = "event=level "
	levelScope       = "scope=all"
)

// levelsHung are the servers that hang: a quarter.
var levelsHung = []int{1, 5}

// Variants of the experiment.
const (
	levelsNone  = "no levels"
	levelsPlain = "plain thresholds"
	levelsFull  = "levels"
)

// levelsConfig returns the operator's configuration of a variant.
func levelsConfig(variant string) string {
	if variant == levelsNone {
		return ""
	}
	times := "smooth = 500ms\nenter_for = 300ms\nexit_for = 1s\nswing = 10s\nramp = 1s\n"
	exits := [2]string{"lost 0.05 load 0.6 late 0.05", "late 0.1 load 0.7"}
	if variant == levelsPlain {
		times = "smooth = 0s\nenter_for = 0s\nexit_for = 100ms\nramp = 0s\nups = 60\nlongest = 1\n"
		exits = [2]string{"lost 0.1499 load 0.8499 late 0.1499", "late 0.2999 load 1.0999"}
	}
	return "[levels]\n" + times +
		"[level trimmed]\nenter = lost 0.15 load 0.85 late 0.15\nexit = " + exits[0] + "\nshare = report 0.3\nretry_after = 500ms\n" +
		"[level essential]\nenter = late 0.3 load 1.1\nexit = " + exits[1] + "\nshare = report 0\nretry_after = 1s\n"
}

// runLevels runs all variants concurrently: they wait far more than they compute, and so all have the same conditions.
func runLevels(ctx context.Context, e *Env) error {
	variants := []string{levelsNone, levelsPlain, levelsFull}
	errs := make([]error, len(variants))
	e.Progress("levels", 6*len(variants))
	runConcurrently(len(variants), func(i int) {
		if err := e.measureLevels(ctx, variants[i]); err != nil {
			errs[i] = fmt.Errorf("%s: %w", variants[i], err)
		}
	})
	return errors.Join(errs...)
}

// serialServer is a shard server that handles one call after another and can be hung.
type serialServer struct {
	mu   sync.Mutex
	hung atomic.Bool
}

func (s *serialServer) handle(conn *standin.ShardConn, call standin.ShardCall) {
	if s.hung.Load() {
		return
	}
	go func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		time.Sleep(levelsServiceTime)
		conn.Respond(call.ID, standin.OutcomeServed, "x")
	}()
}

// levelsRequest is one of the two kinds of requests.
type levelsRequest int

const (
	levelsLookup levelsRequest = iota
	levelsReport
	levelsRequests // number of kinds
)

// queryType returns the name of the kind's query type.
func (k levelsRequest) queryType() string { return [levelsRequests]string{"lookup", "report"}[k] }

// levelsCount counts the responses of one kind of requests in a phase.
type levelsCount struct {
	sent, answered, shed, timedOut atomic.Int64
}

func (c *levelsCount) answeredShare() float64 { return share(&c.answered, &c.sent) }

// cells returns the cells of a table's row.
func (c *levelsCount) cells() []string {
	return []string{
		fmt.Sprint(c.sent.Load()),
		formatCell(share(&c.answered, &c.sent), 3),
		formatCell(share(&c.shed, &c.sent), 3),
		formatCell(share(&c.timedOut, &c.sent), 3),
	}
}

func share(part, all *atomic.Int64) float64 {
	return float64(part.Load()) / float64(max(all.Load(), 1))
}

// levelsPhase holds the counts of one phase by kind of request.
type levelsPhase [levelsRequests]levelsCount

// levelsRun is the state of one variant.
type levelsRun struct {
	env        *Env
	ctx        context.Context
	variant    string
	deployment *Deployment
	servers    map[string]*serialServer // by host
	client     *http.Client
	lastID     atomic.Int64
	inFlight   sync.WaitGroup

	mu      sync.Mutex
	changes int // of the level
}

func (e *Env) measureLevels(ctx context.Context, variant string) error {
	r := &levelsRun{env: e, ctx: ctx, variant: variant, servers: map[string]*serialServer{}, client: newHTTPClient(256, 3*time.Second)}
	for i := range levelsServers {
		r.servers[fmt.Sprintf("s-%d", i)] = &serialServer{}
	}
	lookup, report := lookupType, lookupType
	lookup.LatencyTarget, lookup.Timeout = 300*time.Millisecond, 600*time.Millisecond
	report.LatencyTarget, report.Timeout = lookup.LatencyTarget, lookup.Timeout
	report.Name = levelsReport.queryType()
	var err error
	r.deployment, err = e.StartDeployment(DeploymentOptions{
		Name:           "levels " + variant,
		Servers:        levelsServers,
		Segments:       levelsServers,
		MemoryMB:       levelsMemoryMB,
		OperatorConfig: levelsConfig(variant),
		Types:          []QueryType{lookup, report},
		Handle:         func(conn *standin.ShardConn, call standin.ShardCall) { r.servers[conn.Server.Host].handle(conn, call) },
		OnLogLine:      r.observeLine,
	})
	if err != nil {
		return err
	}
	defer r.deployment.Stop()
	start := time.Now()
	oneHung := r.runPhases()
	return r.check(oneHung, time.Since(start))
}

// observeLine counts changes of the level.
func (r *levelsRun) observeLine(line string) {
	if strings.Contains(line, levelChangeEvent) && strings.Contains(line, levelScope) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.changes++
	}
}

// runPhases runs the phases and returns the counts of the one in which a quarter hangs for the first time.
func (r *levelsRun) runPhases() *levelsPhase {
	span := r.env.scaleMillis(2000, 20_000)
	lookups, reports := steadyRate(400), steadyRate(120)
	phase := func(name string, duration time.Duration, reports requestRate) *levelsPhase {
		p := r.send(duration, lookups, reports)
		r.record(name, p)
		return p
	}
	r.send(span/2, steadyRate(300), steadyRate(80)) // warming up
	phase("all servers", span, reports)
	r.setHung(true)
	r.send(time.Second, lookups, reports) // the transition is not part of the phase
	hung := phase("a quarter hung", span, reports)
	r.setHung(false)
	phase("back", span, reports)
	phase("reports swing", 2*span, func(at time.Duration) float64 { // around the capacity of the servers
		return 80 + 160*float64(int(at/(700*time.Millisecond))%2)
	})
	r.setHung(true)
	phase("hung once more", span, reports)
	r.setHung(false)
	phase("back once more", span, reports)
	return hung
}

func (r *levelsRun) setHung(hung bool) {
	for _, i := range levelsHung {
		r.servers[fmt.Sprintf("s-%d", i)].hung.Store(hung)
	}
}

// requestRate returns the number of requests per second at a time after the start of a phase.
type requestRate func(at time.Duration) float64

func steadyRate(perSecond float64) requestRate {
	return func(time.Duration) float64 { return perSecond }
}

// send sends look-ups and reports at their rates for a duration and waits for the responses.
func (r *levelsRun) send(duration time.Duration, lookups, reports requestRate) *levelsPhase {
	p := &levelsPhase{}
	tick := time.NewTicker(levelsTick)
	defer tick.Stop()
	rates := [levelsRequests]requestRate{levelsLookup: lookups, levelsReport: reports}
	var due [levelsRequests]float64
	start := time.Now()
	last := start
	for now := range tick.C {
		if now.Sub(start) >= duration || r.ctx.Err() != nil {
			break
		}
		for kind, rate := range rates {
			due[kind] += rate(now.Sub(start)) * now.Sub(last).Seconds()
			for ; due[kind] >= 1; due[kind]-- {
				r.inFlight.Go(func() { r.sendOne(&p[kind], levelsRequest(kind)) })
			}
		}
		last = now
	}
	r.inFlight.Wait()
	return p
}

// sendOne sends one request, a look-up in one segment or a report over three segments, and counts the response.
func (r *levelsRun) sendOne(count *levelsCount, kind levelsRequest) {
	n := r.lastID.Add(1)
	request := standin.Request{
		ID:        formatID(uint64(n)),
		QueryType: kind.queryType(),
		Customer:  customer,
		Timeout:   levelsTimeout,
		Shards:    []int{int(n) % levelsServers},
		Statement: strconv.FormatInt(n, 16),
	}
	if kind == levelsReport {
		request.Shards = append(request.Shards, int(n+3)%levelsServers, int(n+5)%levelsServers)
	}
	count.sent.Add(1)
	response, err := request.Send(r.ctx, r.client, r.deployment.Gatherer.Addr)
	switch {
	case err == nil && response.Status == http.StatusOK:
		count.answered.Add(1)
	case err == nil && response.Status == http.StatusServiceUnavailable:
		count.shed.Add(1)
	case err == nil && response.Status == http.StatusGatewayTimeout:
		count.timedOut.Add(1)
	default:
		r.env.Record.AddToMetric(r.lostMetric(), 1)
	}
}

// lostMetric returns the name of the metric that counts requests without a final response.
func (r *levelsRun) lostMetric() string { return r.variant + ": requests without a final response" }

func (r *levelsRun) record(name string, p *levelsPhase) {
	row := append([]string{r.variant, name}, p[levelsLookup].cells()...)
	r.env.Record.AddRow("Answered by phase",
		[]string{"variant", "phase", "look-ups", "answered", "shed", "timed out", "reports", "answered", "shed", "timed out"},
		append(row, p[levelsReport].cells()...)...)
	r.env.Step()
}

// check records the changes of level and returns the finding, if any, of the variant with levels.
func (r *levelsRun) check(hung *levelsPhase, elapsed time.Duration) error {
	r.mu.Lock()
	changes := r.changes
	r.mu.Unlock()
	minutes := elapsed.Minutes()
	r.env.Record.AddRow("Changes of level", []string{"variant", "changes", "minutes"}, r.variant, fmt.Sprint(changes), formatCell(minutes, 1))
	if r.variant != levelsFull {
		return nil
	}
	lost := r.env.Record.Metric(r.lostMetric())
	switch answered := hung[levelsLookup].answeredShare(); {
	case answered < levelsMinAnswered:
		return fmt.Errorf("a share of %.3f of the look-ups is answered while a quarter of the servers hangs", answered)
	case float64(changes) > levelsMaxChanges*max(minutes, 1):
		return fmt.Errorf("%d changes of level in %.1f minutes, %d per minute are allowed", changes, minutes, levelsMaxChanges)
	case changes == 0:
		return errors.New("the level did not change while a quarter of the servers hung")
	case lost > 0:
		return fmt.Errorf("%.0f requests got no final response", lost)
	}
	return nil
}
