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
		Short: "Concurrent rollouts of good and bad versions of four services, with kills and suspensions",
		Long: `rollout starts three controllers, gateways, and servers of four services. New versions of all services are
rolled out concurrently: one is good, one fails three requests in ten, one is eight times slower, and one fails from the
fourth second on. In later rounds a gateway is killed and restarted, a controller is suspended, or a controller is killed. It
records the final state of each rollout and its duration, the number of requests that reached the new version, and the number
of bad responses up to the end of the rollout. It ends with a finding if a bad version is not reverted or receives too many
requests, if a good version is not completed in a round without a disturbance, or if a request reaches an old server after the
rollout was completed.`,
		Run: runRollouts,
	})
}

const (
	rolloutControllers   = 3
	rolloutServers       = 3 // of each version of each service
	rolloutServiceTime   = 8 * time.Millisecond
	rolloutDuration      = 12 * time.Second     // of each rollout
	rolloutInterval      = 5 * time.Millisecond // between two gathered requests, and between two of the single service
	rolloutSettleTime    = 3 * time.Second
	rolloutVersion       = "v2"
	rolloutSingleService = "one"
	rolloutSinglePath    = "/one/x"
	rolloutGatherPath    = "/all/x"
	// A bad version may receive this share of the service's requests, plus a constant number.
	rolloutMaxExposure   = 0.1
	rolloutExposureSlack = 50
)

// versionKind describes the behavior of a new version.
type versionKind struct {
	name         string
	service      string
	bad          bool
	serviceTime  time.Duration                             // service time; 0 = rolloutServiceTime
	failureShare func(since time.Duration) (share float64) // share of failing responses by the time since the servers' start; nil = none
}

var versionKinds = []versionKind{
	{name: "good", service: "a0"},
	{name: "3 in 10 fail", service: "a1", bad: true, failureShare: func(time.Duration) float64 { return 0.3 }},
	{name: "8 times slower", service: "a2", bad: true, serviceTime: 8 * rolloutServiceTime},
	{name: "4 in 10 fail, late", service: rolloutSingleService, bad: true, failureShare: func(since time.Duration) float64 {
		if since < 3*time.Second {
			return 0
		}
		return 0.4
	}},
}

// rolloutDisturbances are the faults that are injected 2 s after the rollouts were ordered, one in each round.
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
	env       *Env
	number    int
	cluster   *localCluster
	client    *controlclient.Client
	startedAt time.Time
	done      chan struct{} // closed when clients must stop
	running   sync.WaitGroup
}

// versionTraffic counts the requests that reach the servers of a service, and the bad responses of the new version.
type versionTraffic struct {
	kind                        versionKind
	oldRequests, targetRequests atomic.Int64
	badResponses                atomic.Int64
	completed                   atomic.Bool
	afterCompletion             atomic.Int64 // requests that reached an old server after the rollout was completed
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
		addresses = append([]string{controller.ControlAddress()}, addresses...) // reversed, as disturbances affect the first one
	}
	r.client = controlclient.New(addresses)
	time.Sleep(rolloutSettleTime)
	r.startClients()
	defer func() {
		close(r.done)
		r.running.Wait()
	}()
	time.Sleep(rolloutSettleTime)
	return r.rollOut(ctx)
}

// rollOut begins all rollouts, injects the round's disturbance, waits until the rollouts have ended and checks them.
func (r *rolloutRound) rollOut(ctx context.Context) error {
	r.startedAt = time.Now()
	traffic := map[string]*versionTraffic{}
	for _, kind := range versionKinds {
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
	outcomes, err := r.waitForOutcomes(ctx, traffic)
	if err != nil {
		return err
	}
	time.Sleep(max(0, rolloutDuration-time.Since(r.startedAt)) + time.Second)
	for _, kind := range versionKinds {
		if err := r.check(traffic[kind.service], outcomes[kind.service], disturbance.name); err != nil {
			return err
		}
	}
	return nil
}

// startVersion starts servers of the new version and counts the requests to the servers of both versions.
func (r *rolloutRound) startVersion(t *versionTraffic) error {
	started := time.Now()
	for _, server := range r.cluster.cluster.Servers {
		if server.Service == t.kind.service {
			server.SetOnRequest(func(time.Time) {
				t.oldRequests.Add(1)
				if t.completed.Load() {
					t.afterCompletion.Add(1)
				}
			})
		}
	}
	for range rolloutServers {
		server := r.cluster.cluster.AddServer(t.kind.service, max(rolloutServiceTime, t.kind.serviceTime))
		server.Version, server.Concurrency = rolloutVersion, 8
		if err := server.Start(); err != nil {
			return err
		}
		server.SetOnRequest(func(time.Time) { t.targetRequests.Add(1) })
		server.SetResponseFailures(func() bool {
			failing := t.kind.failureShare != nil && rand.Float64() < t.kind.failureShare(time.Since(started))
			if failing || t.kind.serviceTime > 0 {
				t.badResponses.Add(1)
			}
			return failing
		})
	}
	return nil
}

// rolloutOutcome is the final state of a rollout.
type rolloutOutcome struct {
	state, reason                string
	elapsed                      time.Duration
	badResponses, targetRequests int64 // of the new version, up to the end of the rollout
}

// waitForOutcomes waits until all rollouts have ended.
func (r *rolloutRound) waitForOutcomes(ctx context.Context, traffic map[string]*versionTraffic) (map[string]rolloutOutcome, error) {
	outcomes := map[string]rolloutOutcome{}
	for len(outcomes) < len(traffic) {
		if time.Since(r.startedAt) > rolloutDuration+5*time.Second {
			return nil, fmt.Errorf("%d of %d rollouts are over after %v", len(outcomes), len(traffic), time.Since(r.startedAt))
		}
		rollouts, err := r.client.Rollouts(ctx)
		if err != nil {
			continue
		}
		for _, status := range rollouts {
			t := traffic[status.Service]
			if _, known := outcomes[status.Service]; known || status.State == string(rollout.Running) {
				continue
			}
			t.completed.Store(status.State == string(rollout.Completed))
			outcomes[status.Service] = rolloutOutcome{state: status.State, reason: status.Reason, elapsed: time.Since(r.startedAt), badResponses: t.badResponses.Load(), targetRequests: t.targetRequests.Load()}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return outcomes, nil
}

func (r *rolloutRound) check(t *versionTraffic, outcome rolloutOutcome, disturbance string) error {
	oldRequests, targetRequests := t.oldRequests.Load(), t.targetRequests.Load()
	r.env.Record.AddRow("Rollouts", []string{"version", "disturbance", "state", "after, s", "bad answers by then", "requests to the new version", "to both"},
		t.kind.name, disturbance, outcome.state, formatCell(outcome.elapsed.Seconds(), 1), fmt.Sprint(outcome.badResponses), fmt.Sprint(targetRequests), fmt.Sprint(oldRequests+targetRequests))
	r.env.Record.AddPoint("time until a rollout is over", "round", "seconds", t.kind.name, float64(r.number+1), outcome.elapsed.Seconds())
	allowed := rolloutMaxExposure*float64(oldRequests+targetRequests) + rolloutExposureSlack
	switch {
	case t.kind.bad && outcome.state != string(rollout.Reverted):
		return fmt.Errorf("%q is %s", t.kind.name, outcome.state)
	case t.kind.bad && float64(targetRequests) > allowed:
		return fmt.Errorf("%q reached %d of %d requests", t.kind.name, targetRequests, oldRequests+targetRequests)
	case !t.kind.bad && disturbance == "none" && outcome.state != string(rollout.Completed):
		return fmt.Errorf("%q is %s: %s", t.kind.name, outcome.state, outcome.reason)
	case t.afterCompletion.Load() > 0:
		return fmt.Errorf("%d requests reached an old server of %q after it was completed", t.afterCompletion.Load(), t.kind.name)
	}
	return nil
}

// startClients starts sending requests over all shards and to a single service, to the gateways in turn.
func (r *rolloutRound) startClients() {
	for _, path := range []string{rolloutGatherPath, rolloutSinglePath} {
		r.running.Go(func() {
			c := r.cluster.cluster
			for n := 0; ; n++ {
				select {
				case <-r.done:
					return
				case <-time.After(rolloutInterval):
				}
				r.running.Go(func() {
					c.SendRequest(c.Gateways[n%len(c.Gateways)], http.MethodGet, exampleHost, path, fmt.Sprint(path, n), time.Second)
				})
			}
		})
	}
}
