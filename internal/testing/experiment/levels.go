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
	Register(Experiment{Name: "levels", Short: "Reduced service: a quarter of the servers dies under load, and comes back cold",
		Long: `levels plays account look-ups and reports on servers that do one part at a time, at a load that all of them bear and
three quarters do not; a quarter then hangs for a while, comes back, and goes once more, and the load swings. It plays that
without levels (the decisions alone), with plain thresholds (no dwell, no band), and with levels, and records look-ups and
reports answered and shed by phase, and changes of level. It ends with a finding if with levels look-ups are answered less
than promised while a quarter is dead, if there are more changes than stated, or if a search gets no final answer.`, Run: runLevels})
}

// serialServer is a shard server that does one part after another, each in so long, and can be hung.
type serialServer struct {
	mu          sync.Mutex
	hung        atomic.Bool
	serviceTime time.Duration
}

func (o *serialServer) handle(c *standin.ShardConn, p standin.ShardCall) {
	if o.hung.Load() {
		return // no word
	}
	go func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		time.Sleep(o.serviceTime)
		c.Respond(p.ID, "served", "x")
	}()
}

// levelsConfig is the operator's file: the same levels with bands and dwell times, or with plain thresholds.
func levelsConfig(plain bool) string {
	times, exits := "smooth = 500ms\nenter_for = 300ms\nexit_for = 1s\nswing = 10s\nramp = 1s\n", [2]string{"lost 0.05 load 0.6 late 0.05", "late 0.1 load 0.7"}
	if plain {
		times = "smooth = 0s\nenter_for = 0s\nexit_for = 100ms\nramp = 0s\nups = 60\nlongest = 1\n"
		exits = [2]string{"lost 0.1499 load 0.8499 late 0.1499", "late 0.2999 load 1.0999"}
	}
	return "[levels]\n" + times +
		"[level trimmed]\nenter = lost 0.15 load 0.85 late 0.15\nexit = " + exits[0] + "\nshare = report 0.3\nretry_after = 500ms\n" +
		"[level essential]\nenter = late 0.3 load 1.1\nexit = " + exits[1] + "\nshare = report 0\nretry_after = 1s\n"
}

// levelsPhase is what became of the searches of one phase.
type levelsPhase struct {
	sent, answered, shed, timedOut [2]atomic.Int64 // look-ups, reports
}

func runLevels(ctx context.Context, e *Env) error {
	// All three at the same time: each waits far more than it works, and the machine is the same for all.
	ways := []string{"no levels", "plain thresholds", "levels"}
	errs := make([]error, len(ways))
	e.Progress("levels", 6*len(ways))
	var all sync.WaitGroup
	for i, way := range ways {
		all.Add(1)
		go func() {
			defer all.Done()
			if err := e.measureLevels(ctx, way); err != nil {
				errs[i] = fmt.Errorf("%s: %w", way, err)
			}
		}()
	}
	all.Wait()
	return errors.Join(errs...)
}

func (e *Env) measureLevels(ctx context.Context, way string) error {
	operator := map[string]string{"no levels": "", "plain thresholds": levelsConfig(true), "levels": levelsConfig(false)}[way]
	const servers = 8
	work := make([]*serialServer, servers)
	byHost := map[string]*serialServer{}
	for i := range work {
		work[i] = &serialServer{serviceTime: 8 * time.Millisecond} // 125 parts a second each, 1,000 in all
		byHost[fmt.Sprintf("s-%d", i)] = work[i]
	}
	var mu sync.Mutex
	var changes []string
	site, err := e.StartDeployment(DeploymentOptions{Name: "levels " + way, Servers: servers, Segments: servers, MemoryMB: 128, OperatorConfig: operator,
		Types:  []QueryType{{"lookup", "free", 300 * time.Millisecond, 600 * time.Millisecond, 1, 1}, {"report", "free", 300 * time.Millisecond, 600 * time.Millisecond, 1, 1}},
		Handle: func(c *standin.ShardConn, p standin.ShardCall) { byHost[c.Server.Host].handle(c, p) },
		OnLogLine: func(line string) {
			if strings.Contains(line, "event=level ") && strings.Contains(line, "scope=all") {
				mu.Lock()
				defer mu.Unlock()
				changes = append(changes, line)
			}
		}})
	if err != nil {
		return err
	}
	defer site.Stop()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}, Timeout: 3 * time.Second}
	var next atomic.Int64
	var open sync.WaitGroup
	one := func(r *levelsPhase, kind int) {
		defer open.Done()
		n := next.Add(1)
		s := standin.Request{ID: fmt.Sprintf("%016x", n), QueryType: []string{"lookup", "report"}[kind], Customer: "acme", Timeout: 550 * time.Millisecond,
			Shards: []int{int(n) % servers}, Statement: strconv.FormatInt(n, 16)}
		if kind == 1 { // a report asks three segments
			s.Shards = []int{int(n) % servers, int(n+3) % servers, int(n+5) % servers}
		}
		r.sent[kind].Add(1)
		a, err := s.Send(ctx, client, site.Gatherer.Addr)
		switch {
		case err == nil && a.Status == http.StatusOK:
			r.answered[kind].Add(1)
		case err == nil && a.Status == http.StatusServiceUnavailable:
			r.shed[kind].Add(1)
		case err == nil && a.Status == http.StatusGatewayTimeout:
			r.timedOut[kind].Add(1)
		default:
			e.Record.AddToMetric(way+": searches without a final answer", 1)
		}
	}
	// phase plays look-ups and reports a second for some time.
	phase := func(d time.Duration, lookups, reports func(at time.Duration) float64) *levelsPhase {
		r := &levelsPhase{}
		tick := time.NewTicker(2 * time.Millisecond)
		defer tick.Stop()
		due := [2]float64{}
		began := time.Now()
		last := began
		for now := range tick.C {
			if now.Sub(began) >= d || ctx.Err() != nil {
				break
			}
			for kind, rate := range []func(time.Duration) float64{lookups, reports} {
				for due[kind] += rate(now.Sub(began)) * now.Sub(last).Seconds(); due[kind] >= 1; due[kind]-- {
					open.Add(1)
					go one(r, kind)
				}
			}
			last = now
		}
		open.Wait()
		return r
	}
	steady := func(v float64) func(time.Duration) float64 { return func(time.Duration) float64 { return v } }
	hang := func(on bool) {
		work[1].hung.Store(on)
		work[5].hung.Store(on)
	}
	span := e.scaleMillis(2000, 20_000)
	began := time.Now()
	row := func(name string, r *levelsPhase) {
		part := func(n, of int64) string { return fmt.Sprintf("%.3f", float64(n)/float64(max(of, 1))) }
		e.Record.AddRow("Answered by phase", []string{"way", "phase", "look-ups", "answered", "shed", "errored", "reports", "answered", "shed", "errored"}, way, name,
			fmt.Sprint(r.sent[0].Load()), part(r.answered[0].Load(), r.sent[0].Load()), part(r.shed[0].Load(), r.sent[0].Load()), part(r.timedOut[0].Load(), r.sent[0].Load()),
			fmt.Sprint(r.sent[1].Load()), part(r.answered[1].Load(), r.sent[1].Load()), part(r.shed[1].Load(), r.sent[1].Load()), part(r.timedOut[1].Load(), r.sent[1].Load()))
		e.Step()
	}
	phase(span/2, steady(300), steady(80)) // warms up
	whole := phase(span, steady(400), steady(120))
	row("all servers", whole)
	hang(true)
	phase(time.Second, steady(400), steady(120)) // the moment of it is looked at apart
	dead := phase(span, steady(400), steady(120))
	row("a quarter dead", dead)
	hang(false)
	row("back", phase(span, steady(400), steady(120)))
	swing := phase(2*span, steady(400), func(at time.Duration) float64 { // reports swing over what is borne
		return 80 + 160*float64(int(at/(700*time.Millisecond))%2)
	})
	row("reports swing", swing)
	hang(true)
	row("dead once more", phase(span, steady(400), steady(120)))
	hang(false)
	row("back once more", phase(span, steady(400), steady(120)))
	mu.Lock()
	n := len(changes)
	mu.Unlock()
	minutes := time.Since(began).Minutes()
	e.Record.AddRow("Changes of level", []string{"way", "changes", "minutes"}, way, fmt.Sprint(n), fmt.Sprintf("%.1f", minutes))
	if way != "levels" {
		return nil
	}
	mostChanges := 2*4 + 2
	switch kept := float64(dead.answered[0].Load()) / float64(max(dead.sent[0].Load(), 1)); {
	case kept < 0.95:
		return fmt.Errorf("%.3f of the look-ups are answered while a quarter is dead", kept)
	case float64(n) > float64(mostChanges)*max(minutes, 1):
		return fmt.Errorf("%d changes in %.1f minutes, %d a minute are stated", n, minutes, mostChanges)
	case n == 0:
		return fmt.Errorf("no change of level, with a quarter dead")
	}
	if lost := e.Record.Metric(way + ": searches without a final answer"); lost > 0 {
		return fmt.Errorf("%.0f searches got no final answer", lost)
	}
	return nil
}
