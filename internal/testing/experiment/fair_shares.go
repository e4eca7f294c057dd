package experiment

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"oxbowspan/config"
	"oxbowspan/internal/testing/simcluster"
)

func init() {
	Register(Experiment{
		Name:  "fair-shares",
		Short: "Connections shared among tenants: a full batch run beside interactive requests and posts",
		Long: `fair-shares starts three controllers and five gateways, with servers that limit their total number of connections and
count the ids that they execute. It sends interactive requests of two tenants and posts that must not be executed
twice, alone; then a full batch run (requests over all shards) alone; then both: without shares, with strict limits, and with
shares; the last once more while a gateway is killed and restarted, another is suspended, and a controller is suspended. It
records the latency of interactive requests and the number of batch requests. It ends with a finding if with shares p50 or p99 of
interactive requests exceeds 1.25 times that without the batch run, if the batch run completes less than 0.9 of what it does
alone, less the capacity that the others take, or if an id was executed twice.`,
		Run: runFairShares,
	})
}

const (
	fairSharesControllers     = 3
	fairSharesGateways        = 5
	fairSharesServers         = 3                     // of each service
	fairSharesConnectionLimit = 40                    // of a server
	fairSharesServiceTime     = 80 * time.Millisecond // of any request
	fairSharesConcurrency     = 1000                  // of a server: the connections are the bottleneck
	// fairSharesSettleTime is the time for the cluster to start.
	fairSharesSettleTime = 4 * time.Second
	// tenantsSettleTime is the time for a document of tenants to reach all gateways.
	tenantsSettleTime = 3 * time.Second
	// faultyPhaseExtra is the additional duration of the phase with faults.
	faultyPhaseExtra = 4 * time.Second
	// latencyRatioLimit is the maximum ratio of the latency of interactive requests during the batch run to that without it.
	latencyRatioLimit = 1.25
	// batchShareLimit is the minimum share of the remaining capacity that the batch run must use.
	batchShareLimit = 0.9
)

// exampleHost is the host of the experiments' routes.
const exampleHost = "h.example"

// Path prefixes of the experiment's routes.
const (
	batchPath       = "/batch/"
	interactivePath = "/interactive/"
	finderPath      = "/finder/"
	postPath        = "/post/"
)

// postService is the service that executes posts.
const postService = "a2"

// fairSharesConfig returns the configuration.
func fairSharesConfig() []byte {
	c := exampleConfiguration(1)
	for i := range c.Services {
		c.Services[i].ConnectionLimit = fairSharesConnectionLimit
	}
	batch := config.Route{Name: "batch", PathPrefix: batchPath, RouteKind: config.Retryable, TimeoutMS: 6000, TargetMS: 3000,
		GatheredServices: simcluster.ExampleSharding, Attempts: 1, TopRecords: 30, MinimumShare: 1}
	interactive := config.Route{Name: "interactive", PathPrefix: interactivePath, RouteKind: config.Retryable, TimeoutMS: 3000, TargetMS: 300,
		Service: "a0", Attempts: 2}
	finder := config.Route{Name: "finder", PathPrefix: finderPath, RouteKind: config.Retryable, TimeoutMS: 3000, TargetMS: 300,
		Service: "a1", Attempts: 2}
	post := config.Route{Name: "post", PathPrefix: postPath, RouteKind: config.NonRetryable, TimeoutMS: 3000, TargetMS: 600,
		Service: postService, Attempts: 2}
	c.Routes = []config.Route{batch, interactive, finder, post}
	for i := range c.Routes {
		c.Routes[i].Hostname = exampleHost
	}
	return encodeDocument(c)
}

// fairSharesTenants returns the document of tenants: with shares, or with strict limits of half the connections each.
func fairSharesTenants(strict bool) []byte {
	routes := func(paths ...string) (routes []config.TenantRoute) {
		for _, path := range paths {
			routes = append(routes, config.TenantRoute{Hostname: exampleHost, PathPrefix: path})
		}
		return routes
	}
	document := config.TenantDocument{Tenants: []config.Tenant{
		{Name: "batch", Weight: 1, Routes: routes(batchPath)},
		{Name: "interactive", Weight: 2, Routes: routes(interactivePath, postPath)},
		{Name: "finder", Weight: 2, Routes: routes(finderPath)},
	}}
	if strict {
		none := 0
		for i := range document.Tenants {
			document.Tenants[i].Weight = 1
			document.Tenants[i].MaxConnections = fairSharesConnectionLimit / 2
			document.Tenants[i].MaxBorrowed = &none
		}
	}
	return encodeDocument(document)
}

// fairSharesRun is the state of the experiment.
type fairSharesRun struct {
	env      *Env
	cluster  *localCluster
	duration time.Duration // of a phase
	version  uint64        // of the document of tenants
	avoided  avoidedGateways
	phases   []*fairSharesPhase
}

func runFairShares(_ context.Context, e *Env) error {
	addLimited := func(c *simcluster.Cluster, service string) {
		server := c.AddServer(service, fairSharesServiceTime)
		server.Concurrency, server.ConnectionLimit = fairSharesConcurrency, fairSharesConnectionLimit
	}
	cluster, err := e.startCluster(localClusterOptions{
		name:          "fair",
		controllers:   fairSharesControllers,
		gateways:      fairSharesGateways,
		configuration: fairSharesConfig(),
		addServers:    addServers(simcluster.ExampleSharding, fairSharesServers, addLimited),
	})
	if err != nil {
		return err
	}
	defer cluster.stop()
	time.Sleep(fairSharesSettleTime)
	r := &fairSharesRun{env: e, cluster: cluster, duration: e.scaleSeconds(5, 15)}
	e.Progress("fair shares", 6)
	interactiveAlone, batchAlone, shared, withFaults, err := r.runPhases()
	if err != nil {
		return err
	}
	r.record(interactiveAlone)
	return r.check(interactiveAlone, batchAlone, shared, withFaults)
}

// runPhases runs all phases and returns the phases that are checked: interactive requests alone, the batch run alone, both with
// shares, and both with shares and faults.
func (r *fairSharesRun) runPhases() (interactiveAlone, batchAlone, shared, withFaults *fairSharesPhase, err error) {
	r.warmUp("warm-up", 2*time.Second)
	time.Sleep(time.Second)
	interactiveAlone = r.run("interactive alone", false, true, r.duration)
	batchAlone = r.run("batch alone", true, false, r.duration)
	r.run("both, no shares", true, true, r.duration)
	if err := r.replaceTenants(true); err != nil {
		return nil, nil, nil, nil, err
	}
	r.run("both, strict halves", true, true, r.duration)
	if err := r.replaceTenants(false); err != nil {
		return nil, nil, nil, nil, err
	}
	r.warmUp("second warm-up", time.Second)
	shared = r.run("both, shares", true, true, r.duration)
	go r.injectFaults()
	withFaults = r.run("the same, kill and suspensions", true, true, r.duration+faultyPhaseExtra)
	return interactiveAlone, batchAlone, shared, withFaults, nil
}

// replaceTenants commits a document of tenants and waits for it to reach the gateways.
func (r *fairSharesRun) replaceTenants(strict bool) error {
	controller := r.cluster.cluster.Controllers[1]
	status := r.cluster.cluster.ReplaceDocument(controller, config.TenantsDocumentName, r.version, fairSharesTenants(strict))
	if status != http.StatusOK {
		return fmt.Errorf("a document of tenants was not committed: status %d", status)
	}
	r.version++
	time.Sleep(tenantsSettleTime)
	return nil
}

// injectFaults kills a gateway and restarts it, then suspends another one and a controller. Clients avoid these gateways.
func (r *fairSharesRun) injectFaults() {
	const killed, suspended = 2, 3
	time.Sleep(r.duration / 4)
	r.avoided.set(killed, true)
	r.cluster.killGateway(killed)
	time.Sleep(300 * time.Millisecond)
	r.cluster.restartGateway(killed)
	time.Sleep(1500 * time.Millisecond)
	r.avoided.set(killed, false)
	r.avoided.set(suspended, true)
	suspend(r.cluster.gateways[suspended], 1500*time.Millisecond)
	suspend(r.cluster.controllers[0], 2*time.Second)
	time.Sleep(2 * time.Second)
	r.avoided.set(suspended, false)
}

// record records a row for each phase.
func (r *fairSharesRun) record(interactiveAlone *fairSharesPhase) {
	bound := latencyRatioLimit * interactiveAlone.quantile(0.99)
	for i, p := range r.phases {
		r.env.Record.AddRow("Interactive requests and the batch run",
			[]string{"phase", "p50 ms", "p99 ms", "over 1.25 of p99 alone", "of", "failed", "batch requests per second", "ids executed twice",
				"posts interrupted"},
			p.name, formatCell(p.quantile(0.5), 1), formatCell(p.quantile(0.99), 1), fmt.Sprint(p.countAbove(bound)), fmt.Sprint(len(p.latencies)),
			fmt.Sprint(p.failed.Load()), formatCell(float64(p.batch.Load())/p.duration.Seconds(), 0), fmt.Sprint(p.executedTwice.Load()),
			fmt.Sprint(p.interrupted.Load()))
		r.env.Record.AddPoint("p99", "phase", "p99 of interactive requests, ms", "p99", float64(i+1), p.quantile(0.99))
	}
}

// check returns the finding, if any.
func (r *fairSharesRun) check(interactiveAlone, batchAlone, shared, withFaults *fairSharesPhase) error {
	// Each interactive request uses one connection for as long as a shard call of the batch run does.
	servers := float64(len(simcluster.ExampleSharding) * fairSharesServers)
	capacity := servers * batchShareLimit * fairSharesConnectionLimit
	interactiveShare := float64(len(shared.latencies)) / r.duration.Seconds() * fairSharesServiceTime.Seconds() / capacity
	wantBatch := batchShareLimit * (1 - interactiveShare) * float64(batchAlone.batch.Load())
	r.env.Record.SetMetric("batch requests beside the others, of those alone", float64(shared.batch.Load())/max(float64(batchAlone.batch.Load()), 1))
	r.env.Record.SetMetric("connections that interactive requests take, of all", interactiveShare)
	for _, p := range r.phases {
		if n := p.executedTwice.Load(); n > 0 {
			return fmt.Errorf("%d posts were executed twice", n)
		}
	}
	if n := withFaults.interrupted.Load() + shared.interrupted.Load(); n > 0 {
		return fmt.Errorf("%d posts were interrupted at healthy gateways", n)
	}
	p50, p99 := shared.quantile(0.5), shared.quantile(0.99)
	if p50 > latencyRatioLimit*interactiveAlone.quantile(0.5) || p99 > latencyRatioLimit*interactiveAlone.quantile(0.99) {
		return fmt.Errorf("interactive requests take %.1f ms (p50) and %.1f ms (p99) beside the batch run, %.1f and %.1f alone",
			p50, p99, interactiveAlone.quantile(0.5), interactiveAlone.quantile(0.99))
	}
	if float64(shared.batch.Load()) < wantBatch {
		return fmt.Errorf("the batch run completes %d requests, want %.0f", shared.batch.Load(), wantBatch)
	}
	return nil
}
