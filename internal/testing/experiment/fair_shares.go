package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"oxbowspan/config"
	"oxbowspan/internal/testing/simcluster"
)

func init() {
	Register(Experiment{Name: "fair-shares", Short: "Connections shared among tenants: a full letter run beside counter look-ups, the finder and posts",
		Long: `fair-shares starts three hives and five foragers, with servers that take so many connections from all together and count the
ids that they run. It plays counter look-ups, the place-name finder and posts that must not run twice on a quiet morning, then a
full letter run (gathers over all shards) alone, then both: without shares as before, with strict halves, and with shares; the last
once more with a gatherer killed and begun anew, another frozen, and a hive frozen in the middle. It records the short requests'
times and how many letters were sent. It ends with a finding if with shares p50 or p99 of short requests is over 1.25 of the quiet
morning's, the run sends less than 0.9 of what it sends alone with the rest's traffic taken off, or an id ran twice.`, Run: runFairShares})
}

const (
	fairSharesConnectionLimit = 40                    // connections that each server takes
	fairSharesServiceTime     = 80 * time.Millisecond // of any request
)

func fairSharesConfig() []byte {
	var c config.Configuration
	json.Unmarshal(simcluster.ExampleConfiguration(1, simcluster.FirstSharding), &c)
	for i := range c.Services {
		c.Services[i].ConnectionLimit = fairSharesConnectionLimit
	}
	c.Routes = []config.Route{
		{Name: "letters", Hostname: "h.example", PathPrefix: "/letters/", RouteKind: config.Retryable, TimeoutMS: 6000, TargetMS: 3000, GatheredServices: simcluster.FirstSharding, Attempts: 1, TopRecords: 30, MinimumShare: 1},
		{Name: "counter", Hostname: "h.example", PathPrefix: "/counter/", RouteKind: config.Retryable, TimeoutMS: 3000, TargetMS: 300, Service: "a0", Attempts: 2},
		{Name: "finder", Hostname: "h.example", PathPrefix: "/finder/", RouteKind: config.Retryable, TimeoutMS: 3000, TargetMS: 300, Service: "a1", Attempts: 2},
		{Name: "post", Hostname: "h.example", PathPrefix: "/post/", RouteKind: config.NonRetryable, TimeoutMS: 3000, TargetMS: 600, Service: "a2", Attempts: 2}}
	text, _ := json.Marshal(c)
	return text
}

func fairSharesTenants(strict bool) []byte {
	route := func(paths ...string) (out []config.TenantRoute) {
		for _, p := range paths {
			out = append(out, config.TenantRoute{Hostname: "h.example", PathPrefix: p})
		}
		return out
	}
	doc := config.TenantDocument{Tenants: []config.Tenant{{Name: "letters", Weight: 1, Routes: route("/letters/")},
		{Name: "counter", Weight: 2, Routes: route("/counter/", "/post/")}, {Name: "finder", Weight: 2, Routes: route("/finder/")}}}
	if strict {
		none := 0
		for i := range doc.Tenants {
			doc.Tenants[i].Weight, doc.Tenants[i].MaxConnections, doc.Tenants[i].MaxBorrowed = 1, fairSharesConnectionLimit/2, &none
		}
	}
	text, _ := json.Marshal(doc)
	return text
}

// phaseResult is what came of one phase.
type phaseResult struct {
	batch, failed, interrupted, executedTwice atomic.Int64
	interactive                               *LatencyRecorder
	latencies                                 []time.Duration
	mu                                        sync.Mutex
}

func (m *phaseResult) quantile(q float64) float64 {
	slices.Sort(m.latencies)
	if len(m.latencies) == 0 {
		return 0
	}
	return float64(m.latencies[min(int(q*float64(len(m.latencies))), len(m.latencies)-1)]) / float64(time.Millisecond)
}

// countAbove counts what took longer than a bound.
func (m *phaseResult) countAbove(ms float64) (n int) {
	for _, t := range m.latencies {
		if float64(t)/float64(time.Millisecond) > ms {
			n++
		}
	}
	return n
}

// phase plays a time with or without the letter run and the short requests. Away tells which foragers clients do not go to now.
func (s *localCluster) phase(name string, letters, short bool, last time.Duration, away func(i int) bool) *phaseResult {
	m := &phaseResult{interactive: NewLatencyRecorder()}
	until := time.Now().Add(last)
	var all sync.WaitGroup
	if letters {
		for i := range 45 * len(s.cluster.Gateways) { // all in one tick
			all.Go(func() {
				for n := 0; time.Now().Before(until); n++ {
					at := (i + n) % len(s.cluster.Gateways)
					if away(at) {
						continue
					}
					a := s.cluster.SendRequest(s.cluster.Gateways[at], "GET", "h.example", "/letters/x", fmt.Sprint(name, "l", i, "-", n), 6*time.Second)
					if a.Status == http.StatusOK {
						m.batch.Add(1)
					} else {
						time.Sleep(50 * time.Millisecond)
					}
				}
			})
		}
	}
	for n := 0; short && time.Now().Before(until); n++ {
		time.Sleep(time.Duration(4+rand.IntN(8)) * time.Millisecond)
		all.Go(func() {
			at := n % len(s.cluster.Gateways)
			for away(at) {
				at = (at + 1) % len(s.cluster.Gateways)
			}
			id := fmt.Sprint(name, "s", n)
			began := time.Now()
			var a simcluster.Response
			switch n % 5 {
			case 0:
				a = s.cluster.SendRequest(s.cluster.Gateways[at], "POST", "h.example", "/post/x", id, 3*time.Second)
				if s.cluster.RequestLog.Executions("a2", id) > 1 {
					m.executedTwice.Add(1)
				}
				if a.Status == 0 && !away(at) {
					m.interrupted.Add(1)
				}
			case 1, 2:
				a = s.cluster.SendRequest(s.cluster.Gateways[at], "GET", "h.example", "/finder/x", id, 3*time.Second)
			default:
				a = s.cluster.SendRequest(s.cluster.Gateways[at], "GET", "h.example", "/counter/x", id, 3*time.Second)
			}
			took := time.Since(began)
			if away(at) && a.Status != http.StatusOK {
				return // it met a gatherer that went away meanwhile: its client goes elsewhere
			}
			if a.Status != http.StatusOK {
				m.failed.Add(1)
			}
			m.interactive.Add(took)
			m.mu.Lock()
			m.latencies = append(m.latencies, took)
			m.mu.Unlock()
		})
	}
	all.Wait()
	return m
}

func runFairShares(ctx context.Context, e *Env) error {
	s, err := e.startCluster("fair", 3, 5, false, fairSharesConfig(), func(c *simcluster.Cluster) {
		for _, service := range simcluster.FirstSharding {
			for range 3 {
				srv := c.AddServer(service, fairSharesServiceTime)
				srv.Concurrency, srv.ConnectionLimit = 1000, fairSharesConnectionLimit
			}
		}
	})
	if err != nil {
		return err
	}
	defer s.stop()
	time.Sleep(4 * time.Second)
	last := time.Duration(e.Scale(5, 15)) * time.Second
	here := func(int) bool { return false }
	version := uint64(0)
	set := func(strict bool) error {
		if got := s.cluster.ReplaceDocument(s.cluster.Controllers[1], config.TenantsDocumentName, version, fairSharesTenants(strict)); got != http.StatusOK {
			return fmt.Errorf("a document of tenants is not agreed on: %d", got)
		}
		version++
		time.Sleep(3 * time.Second)
		return nil
	}
	e.Progress("fair shares", 6)
	all := map[string]*phaseResult{}
	names := []string{"quiet morning", "letters alone", "both, no shares", "both, strict halves", "both, shares", "the same, kill and freezes"}
	play := func(name string, letters, short bool, last time.Duration, away func(int) bool) {
		all[name] = s.phase(name, letters, short, last, away)
		e.Record.AddLatency(name+": short requests", all[name].interactive)
		e.Step()
	}
	s.phase("warm", true, true, 2*time.Second, here)
	time.Sleep(time.Second)
	play(names[0], false, true, last, here)
	play(names[1], true, false, last, here)
	play(names[2], true, true, last, here)
	if err := set(true); err != nil {
		return err
	}
	play(names[3], true, true, last, here)
	if err := set(false); err != nil {
		return err
	}
	s.phase("warm again", true, true, time.Second, here)
	play(names[4], true, true, last, here)
	var gone atomic.Int64
	gone.Store(-1)
	var frozen atomic.Int64
	frozen.Store(-1)
	go func() {
		time.Sleep(last / 4)
		gone.Store(2)
		s.killGateway(2)
		time.Sleep(300 * time.Millisecond)
		s.restartGateway(2)
		time.Sleep(1500 * time.Millisecond)
		gone.Store(-1)
		frozen.Store(3)
		suspend(s.gateways[3], 1500*time.Millisecond)
		suspend(s.controllers[0], 2*time.Second)
		time.Sleep(2 * time.Second)
		frozen.Store(-1)
	}()
	play(names[5], true, true, last+4*time.Second, func(i int) bool { return int64(i) == gone.Load() || int64(i) == frozen.Load() })
	quiet, alone := all[names[0]], all[names[1]]
	bound := 1.25 * quiet.quantile(0.99)
	for i, name := range names {
		m := all[name]
		seconds := last.Seconds()
		if i == 5 {
			seconds += 4
		}
		e.Record.AddRow("short requests and letters", []string{"phase", "p50 ms", "p99 ms", "over 1.25 of quiet p99", "of", "lost", "letters a second", "ids twice", "posts cut off"},
			name, fmt.Sprintf("%.1f", m.quantile(0.5)), fmt.Sprintf("%.1f", m.quantile(0.99)), fmt.Sprint(m.countAbove(bound)), fmt.Sprint(len(m.latencies)), fmt.Sprint(m.failed.Load()),
			fmt.Sprintf("%.0f", float64(m.batch.Load())/seconds), fmt.Sprint(m.executedTwice.Load()), fmt.Sprint(m.interrupted.Load()))
		e.Record.AddPoint("p99", "phase", "p99 of short requests, ms", "p99", float64(i+1), m.quantile(0.99))
	}
	both := all[names[4]]
	// What the rest takes: each of its requests one connection for as long as a letter's part.
	rest := float64(len(both.latencies)) / last.Seconds() * fairSharesServiceTime.Seconds() / (9 * 0.9 * fairSharesConnectionLimit)
	want := 0.9 * (1 - rest) * float64(alone.batch.Load())
	e.Record.SetMetric("letters beside the rest, of those alone", float64(both.batch.Load())/max(float64(alone.batch.Load()), 1))
	e.Record.SetMetric("connections that the rest takes, of all", rest)
	for _, m := range all {
		if m.executedTwice.Load() > 0 {
			return fmt.Errorf("%d posts ran twice", m.executedTwice.Load())
		}
	}
	if n := all[names[5]].interrupted.Load() + both.interrupted.Load(); n > 0 {
		return fmt.Errorf("%d posts were cut off at gatherers that were well", n)
	}
	switch {
	case both.quantile(0.5) > 1.25*quiet.quantile(0.5) || both.quantile(0.99) > bound:
		return fmt.Errorf("short requests beside the run take %.1f and %.1f ms, on a quiet morning %.1f and %.1f", both.quantile(0.5), both.quantile(0.99),
			quiet.quantile(0.5), quiet.quantile(0.99))
	case float64(both.batch.Load()) < want:
		return fmt.Errorf("the run sends %d letters, at least %.0f are wanted", both.batch.Load(), want)
	}
	return nil
}
