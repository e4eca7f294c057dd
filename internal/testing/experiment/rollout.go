package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"oxbowspan/internal/controlclient"
	"oxbowspan/internal/testing/simcluster"
	"oxbowspan/rollout"
)

func init() {
	Register(Experiment{
		Name:  "rollout",
		Short: "Rollouts: good and bad versions of four services at once, beside kills and suspensions",
		Long: `rollout starts three controllers and gateways, and servers of four services. A new version of each is rolled out at once: one is
good, one fails three requests in ten, one is eight times slower, one fails from the fourth second on. In later rounds a gateway is killed
and restarted, a controller suspended, a controller killed. It records how each rollout ends and when, how many requests reached
the new version, and how many bad answers it gave by the time it was reverted. It ends with a finding if a bad version is completed or
reaches more requests than it may, if a good one is not completed though nothing was disturbed, or if a request reaches an old
server after its rollout was completed.`,
		Run: runRollouts,
	})
}

const (
	rolloutControllers   = 3
	rolloutServers       = 3 // of each version of each service
	rolloutServiceTime   = 8 * time.Millisecond
	rolloutDuration      = 12 * time.Second
	rolloutInterval      = 5 * time.Millisecond // between two gathered requests, and between two of the single service
	rolloutSettle        = 3 * time.Second
	rolloutVersion       = "v2"
	rolloutSingleService = "one"
	rolloutSinglePath    = "/one/x"
	rolloutGatherPath    = "/all/x"
	// The bounds of exposure: a share of the requests of the duration, and so many more.
	rolloutExposure      = 0.1
	rolloutExposureSlack = 50
)

// rolloutKind is how a new version behaves.
type rolloutKind struct {
	name    string
	service string
	bad     bool
	slow    time.Duration                             // service time, 0 = the usual one
	fails   func(since time.Duration) (share float64) // of its answers, by the time since its servers' start; nil = none
}

var rolloutKinds = []rolloutKind{
	{name: "good", service: "a0"},
	{name: "3 in 10 fail", service: "a1", bad: true, fails: func(time.Duration) float64 { return 0.3 }},
	{name: "8 times slower", service: "a2", bad: true, slow: 8 * rolloutServiceTime},
	{name: "4 in 10 fail, late", service: rolloutSingleService, bad: true, fails: func(since time.Duration) float64 {
		if since < 3*time.Second {
			return 0
		}
		return 0.4
	}},
}

// rolloutDisturbances are what happens 2 s after the orders, one each round.
var rolloutDisturbances = []struct {
	name    string
	disturb func(c *localCluster) error
}{
	{"none", func(*localCluster) error { return nil }},
	{"a gateway killed", func(c *localCluster) error {
		c.killGateway(1)
		return c.restartGateway(1)
	}},
	{"a controller suspended for 3 s", func(c *localCluster) error {
		suspend(c.controllers[0], 3*time.Second)
		return nil
	}},
	{"a controller killed", func(c *localCluster) error {
		c.controllers[0].Process.Kill()
		_, err := c.controllers[0].Process.Wait()
		return err
	}},
}

func runRollouts(ctx context.Context, e *Env) error {
	rounds := e.Scale(1, 2*len(rolloutDisturbances))
	e.Progress("rollouts", rounds)
	for round := range rounds {
		if err := e.runRolloutRound(ctx, round); err != nil {
			return fmt.Errorf("round %d: %w", round, err)
		}
		e.Step()
	}
	return nil
}

// rolloutRound is the state of one round.
type rolloutRound struct {
	env     *Env
	number  int
	cluster *localCluster
	client  *controlclient.Client
	begun   time.Time
	done    chan struct{} // closed when clients must stop
	pending sync.WaitGroup
}

// versionTraffic counts the requests that reach the servers of a service.
type versionTraffic struct {
	kind        rolloutKind
	old, target atomic.Int64
	bad         atomic.Int64
	completed   atomic.Bool
	afterwards  atomic.Int64 // requests that reached an old server once the rollout was completed
}

func (e *Env) runRolloutRound(ctx context.Context, number int) (err error) {
	r := &rolloutRound{env: e, number: number, done: make(chan struct{})}
	r.cluster, err = e.startCluster(localClusterOptions{
		name:          fmt.Sprint("rollout-", number),
		controllers:   rolloutControllers,
		gateways:      e.Scale(6, 12),
		configuration: encodeDocument(exampleConfiguration(1)),
		addServers: addServers([]string{"a0", "a1", "a2", rolloutSingleService}, rolloutServers, func(c *simcluster.Cluster, service string) {
			c.AddServer(service, rolloutServiceTime).Concurrency = 8
		}),
	})
	if err != nil {
		return err
	}
	defer r.cluster.stop()
	var addresses []string
	for _, controller := range r.cluster.cluster.Controllers {
		addresses = append([]string{controller.ControlAddress()}, addresses...) // the first one is disturbed, and asked last
	}
	r.client = controlclient.New(addresses)
	time.Sleep(rolloutSettle)
	r.startClients()
	defer func() {
		close(r.done)
		r.pending.Wait()
	}()
	time.Sleep(rolloutSettle)
	return r.rollOut(ctx)
}

// rollOut begins all rollouts, waits for their ends and checks them.
func (r *rolloutRound) rollOut(ctx context.Context) error {
	r.begun = time.Now()
	traffic := map[string]*versionTraffic{}
	for _, kind := range rolloutKinds {
		order := rollout.Order{Service: kind.service, TargetVersion: rolloutVersion, DurationS: rolloutDuration.Seconds()}
		if err := r.client.BeginRollout(ctx, order); err != nil {
			return fmt.Errorf("begin %q: %w", kind.name, err)
		}
		traffic[kind.service] = &versionTraffic{kind: kind}
		if err := r.startVersion(traffic[kind.service]); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	disturbance := rolloutDisturbances[r.number%len(rolloutDisturbances)]
	if err := disturbance.disturb(r.cluster); err != nil {
		return fmt.Errorf("%s: %w", disturbance.name, err)
	}
	ends, err := r.awaitEnds(ctx, traffic)
	if err != nil {
		return err
	}
	time.Sleep(max(0, rolloutDuration-time.Since(r.begun)) + time.Second)
	for _, kind := range rolloutKinds {
		if err := r.check(traffic[kind.service], ends[kind.service], disturbance.name); err != nil {
			return err
		}
	}
	return nil
}

// startVersion starts servers of the new version, and counts what reaches those of both.
func (r *rolloutRound) startVersion(t *versionTraffic) error {
	started := time.Now()
	for _, server := range r.cluster.cluster.Servers {
		if server.Service == t.kind.service {
			server.SetOnRequest(func(time.Time) {
				t.old.Add(1)
				if t.completed.Load() {
					t.afterwards.Add(1)
				}
			})
		}
	}
	for range rolloutServers {
		server := r.cluster.cluster.AddServer(t.kind.service, max(rolloutServiceTime, t.kind.slow))
		server.Version, server.Concurrency = rolloutVersion, 8
		if err := server.Start(); err != nil {
			return err
		}
		server.SetOnRequest(func(time.Time) { t.target.Add(1) })
		server.SetFailing(func() bool {
			fails := t.kind.fails != nil && rand.Float64() < t.kind.fails(time.Since(started))
			if fails || t.kind.slow > 0 {
				t.bad.Add(1)
			}
			return fails
		})
	}
	return nil
}

// rolloutEnd is how a rollout ended.
type rolloutEnd struct {
	state, reason string
	took          time.Duration
	bad, target   int64 // answers and requests of the new version by then
}

// awaitEnds waits until all rollouts are over.
func (r *rolloutRound) awaitEnds(ctx context.Context, traffic map[string]*versionTraffic) (map[string]rolloutEnd, error) {
	ends := map[string]rolloutEnd{}
	for len(ends) < len(traffic) {
		if time.Since(r.begun) > rolloutDuration+5*time.Second {
			return nil, fmt.Errorf("%d of %d rollouts are over after %v", len(ends), len(traffic), time.Since(r.begun))
		}
		rollouts, err := r.client.Rollouts(ctx)
		if err != nil {
			continue
		}
		for _, found := range rollouts {
			t := traffic[found.Service]
			if _, known := ends[found.Service]; known || found.State == string(rollout.Running) {
				continue
			}
			t.completed.Store(found.State == string(rollout.Completed))
			ends[found.Service] = rolloutEnd{state: found.State, reason: found.Reason, took: time.Since(r.begun), bad: t.bad.Load(), target: t.target.Load()}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return ends, nil
}

func (r *rolloutRound) check(t *versionTraffic, end rolloutEnd, disturbance string) error {
	old, target := t.old.Load(), t.target.Load()
	r.env.Record.AddRow("Rollouts", []string{"version", "disturbance", "state", "after, s", "bad answers by then", "requests to the new version", "to both"},
		t.kind.name, disturbance, end.state, formatCell(end.took.Seconds(), 1), fmt.Sprint(end.bad), fmt.Sprint(target), fmt.Sprint(old+target))
	r.env.Record.AddPoint("time until a rollout is over", "round", "seconds", t.kind.name, float64(r.number+1), end.took.Seconds())
	allowed := rolloutExposure*float64(old+target) + rolloutExposureSlack
	switch {
	case t.kind.bad && end.state != string(rollout.Reverted):
		return fmt.Errorf("%q is %s", t.kind.name, end.state)
	case t.kind.bad && float64(target) > allowed:
		return fmt.Errorf("%q reached %d of %d requests", t.kind.name, target, old+target)
	case !t.kind.bad && disturbance == "none" && end.state != string(rollout.Completed):
		return fmt.Errorf("%q is %s: %s", t.kind.name, end.state, end.reason)
	case t.afterwards.Load() > 0:
		return fmt.Errorf("%d requests reached an old server of %q after it was completed", t.afterwards.Load(), t.kind.name)
	}
	return nil
}

// startClients sends gathered and single requests to the gateways in turn.
func (r *rolloutRound) startClients() {
	for _, path := range []string{rolloutGatherPath, rolloutSinglePath} {
		r.pending.Go(func() {
			c := r.cluster.cluster
			for n := 0; ; n++ {
				select {
				case <-r.done:
					return
				case <-time.After(rolloutInterval):
				}
				r.pending.Go(func() {
					c.SendRequest(c.Gateways[n%len(c.Gateways)], http.MethodGet, exampleHost, path, fmt.Sprint(path, n), time.Second)
				})
			}
		})
	}
}
