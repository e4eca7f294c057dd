package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"oxbowspan/config"
	"oxbowspan/internal/testing/simcluster"
)

func init() {
	Register(Experiment{
		Name:    "outlier-detection",
		Aliases: []string{"judgement"},
		Short:   "Outlier detection: a replica slowed tenfold, hung and killed, detected together and by each gateway alone",
		Long: `outlier-detection starts three controllers and many gateways, each with little traffic: look-ups, requests
over all shards and posts that must not be executed twice, over three shards of four servers. One server is slowed tenfold,
another accepts requests and answers none, another is killed; each recovers. During the second fault a gateway is killed and
another suspended. It runs with gateways that exchange their observations and with gateways that use only their own. It
records how many look-ups exceeded a latency bound during each fault, how many requests reached the faulty server, and the
time until the server received its share of the traffic again. It ends with a finding if an id was executed twice, or if more
look-ups exceed the bound with the exchange than without.`,
		Run: runOutlierDetection,
	})
}

const (
	outlierControllers       = 3
	outlierServers           = 4 // of each service
	outlierServerConcurrency = 4
	outlierServiceTime       = 15 * time.Millisecond
	outlierLatencyBound      = 50 * time.Millisecond
	outlierTimeout           = 3 * time.Second
	outlierSettleTime        = 5 * time.Second
	outlierWarmUpTime        = 3 * time.Second
	// outlierDetectionTime is the time after the start of a fault in which requests to the faulty server are not counted.
	outlierDetectionTime = time.Second
	// A server has recovered when it receives outlierRecoveredShare of its share of the look-ups' traffic in one interval.
	outlierMaxRecovery      = 12 * time.Second
	outlierRecoveryInterval = 500 * time.Millisecond
	outlierLookupRate       = 125 // requests per second to the look-ups' service
	outlierRecoveredShare   = 0.5
)

// Services and paths of the experiment's routes.
const (
	outlierLookupService = "a0"
	outlierPostService   = "a1"
	outlierLookupPath    = "/counter/"
	outlierGatherPath    = "/all/"
	outlierPostPath      = "/post/"
)

// outlierConfig returns the configuration.
func outlierConfig() []byte {
	c := exampleConfiguration(1)
	c.Routes = append(c.Routes,
		config.Route{Name: "counter", Hostname: exampleHost, PathPrefix: outlierLookupPath, RouteKind: config.Retryable, TimeoutMS: 3000,
			TargetMS: 100, Service: outlierLookupService, Attempts: 2},
		config.Route{Name: "post", Hostname: exampleHost, PathPrefix: outlierPostPath, RouteKind: config.NonRetryable, TimeoutMS: 3000,
			TargetMS: 400, Service: outlierPostService, Attempts: 2})
	return encodeDocument(c)
}

func runOutlierDetection(_ context.Context, e *Env) error {
	e.Progress("outlier detection", 2)
	alone, err := e.measureOutlierDetection(true)
	if err != nil {
		return err
	}
	e.Step()
	together, err := e.measureOutlierDetection(false)
	if err != nil {
		return err
	}
	e.Step()
	if together > alone+alone/4+5 {
		return fmt.Errorf("%d look-ups took longer than %v with detection together, %d with each gateway alone", together, outlierLatencyBound, alone)
	}
	return nil
}

// outlierRun is the state of one variant.
type outlierRun struct {
	env      *Env
	variant  string
	gateways int
	cluster  *localCluster
	servers  []*simcluster.Server // of look-ups; the faults are injected into one after another

	avoidedGateway atomic.Int64 // index of the gateway that clients avoid, or noGateway
	fault          atomic.Pointer[outlierFault]
	requests       atomic.Int64
	posts          atomic.Int64
	executedTwice  atomic.Int64 // posts
	running        sync.WaitGroup
	done           chan struct{} // closed when clients must stop
}

// noGateway is the value of outlierRun.avoidedGateway if clients avoid no gateway.
const noGateway = -1

// measureOutlierDetection runs one variant and returns how many look-ups took longer than the bound.
func (e *Env) measureOutlierDetection(alone bool) (overBound int64, err error) {
	r := &outlierRun{env: e, variant: "together", gateways: e.Scale(40, 60), done: make(chan struct{})}
	if alone {
		r.variant = "each alone"
	}
	r.avoidedGateway.Store(noGateway)
	r.cluster, err = e.startCluster(localClusterOptions{
		name:                  fmt.Sprint("outlier-", alone),
		controllers:           outlierControllers,
		gateways:              r.gateways,
		localOutlierDetection: alone,
		configuration:         outlierConfig(),
		addServers:            addServers(simcluster.ExampleSharding, outlierServers, r.addServer),
	})
	if err != nil {
		return 0, err
	}
	defer r.cluster.stop()
	time.Sleep(outlierSettleTime)
	r.startClients()
	time.Sleep(outlierWarmUpTime)
	for i, fault := range r.faults() {
		r.inject(i, fault)
		overBound += fault.overBound.Load()
		r.record(i, fault)
		time.Sleep(time.Second)
	}
	close(r.done)
	r.running.Wait()
	e.Record.SetMetric(r.variant+": posts", float64(r.posts.Load()))
	e.Record.SetMetric(r.variant+": ids executed twice", float64(r.executedTwice.Load()))
	if n := r.executedTwice.Load(); n > 0 {
		return overBound, fmt.Errorf("%d posts were executed twice", n)
	}
	return overBound, nil
}

func (r *outlierRun) addServer(c *simcluster.Cluster, service string) {
	server := c.AddServer(service, outlierServiceTime)
	server.Concurrency = outlierServerConcurrency
	if service == outlierLookupService {
		r.servers = append(r.servers, server)
	}
}

// outlierFault is a fault of a server and its effects.
type outlierFault struct {
	name          string
	begin, end    func(server *simcluster.Server)
	whileFaulty   func()       // nil = nothing
	sent          atomic.Int64 // look-ups during the fault
	overBound     atomic.Int64 // of these, those that failed or exceeded outlierLatencyBound
	failed        atomic.Int64 // of these
	reachedFaulty atomic.Int64 // requests to the server during the fault, after outlierDetectionTime
	recoveryTime  time.Duration
	startedAt     time.Time
	ended         atomic.Bool
}

// faults returns the faults in the order of the servers that they are injected into.
func (r *outlierRun) faults() []*outlierFault {
	return []*outlierFault{
		{
			name:  "slowed tenfold",
			begin: func(server *simcluster.Server) { server.SetServiceTime(10 * outlierServiceTime) },
			end:   func(server *simcluster.Server) { server.SetServiceTime(outlierServiceTime) },
		},
		{
			name:        "hung",
			begin:       func(server *simcluster.Server) { server.SetHung(true) },
			end:         func(server *simcluster.Server) { server.SetHung(false) },
			whileFaulty: r.injectGatewayFaults,
		},
		{
			name:  "killed",
			begin: func(server *simcluster.Server) { server.Crash(false) },
			end:   func(server *simcluster.Server) { server.Start() },
		},
	}
}

// injectGatewayFaults kills a gateway and restarts it, then suspends another one. Clients avoid these gateways meanwhile.
func (r *outlierRun) injectGatewayFaults() {
	const killed, suspended = 3, 5
	r.avoidedGateway.Store(killed)
	r.cluster.killGateway(killed)
	r.cluster.restartGateway(killed)
	time.Sleep(2 * time.Second)
	r.avoidedGateway.Store(suspended)
	suspend(r.cluster.gateways[suspended], time.Second)
	time.Sleep(1500 * time.Millisecond)
	r.avoidedGateway.Store(noGateway)
}

// inject injects a fault into a server, ends it after a while and waits until the server has recovered.
func (r *outlierRun) inject(index int, fault *outlierFault) {
	server := r.servers[index]
	var received atomic.Int64
	fault.startedAt = time.Now()
	server.SetOnRequest(func(at time.Time) {
		received.Add(1)
		if !fault.ended.Load() && at.Sub(fault.startedAt) > outlierDetectionTime {
			fault.reachedFaulty.Add(1)
		}
	})
	r.fault.Store(fault)
	fault.begin(server)
	if fault.whileFaulty != nil {
		fault.whileFaulty()
	}
	time.Sleep(r.env.scaleSeconds(4, 8))
	r.fault.Store(nil)
	fault.ended.Store(true)
	end := time.Now()
	fault.end(server)
	recovered := outlierRecoveryInterval.Seconds() * outlierRecoveredShare * outlierLookupRate / outlierServers
	for time.Since(end) < outlierMaxRecovery {
		before := received.Load()
		time.Sleep(outlierRecoveryInterval)
		if float64(received.Load()-before) > recovered {
			break
		}
	}
	fault.recoveryTime = time.Since(end)
	server.SetOnRequest(nil)
}

func (r *outlierRun) record(index int, fault *outlierFault) {
	r.env.Record.AddRow("A faulty replica",
		[]string{"replica", "detection", "look-ups", "over " + outlierLatencyBound.String(), "failed", "requests that reached it after the first second",
			"recovery, s"},
		fault.name, r.variant, fmt.Sprint(fault.sent.Load()), fmt.Sprint(fault.overBound.Load()), fmt.Sprint(fault.failed.Load()),
		fmt.Sprint(fault.reachedFaulty.Load()), formatCell(fault.recoveryTime.Seconds(), 1))
	r.env.Record.AddPoint("look-ups over the bound", "1 slowed, 2 hung, 3 killed", "look-ups", r.variant, float64(index+1), float64(fault.overBound.Load()))
}

// outlierRequests describes one kind of requests.
type outlierRequests struct {
	method   string
	path     string
	interval time.Duration // between two requests, on average
	observe  func(id string, fault *outlierFault, response simcluster.Response)
}

// startClients starts sending all kinds of requests.
func (r *outlierRun) startClients() {
	for _, kind := range []outlierRequests{
		{http.MethodGet, outlierLookupPath, 10 * time.Millisecond, r.observeLookup},
		{http.MethodGet, outlierGatherPath, 40 * time.Millisecond, nil},
		{http.MethodPost, outlierPostPath, 50 * time.Millisecond, r.observePost},
	} {
		r.running.Go(func() { r.sendRequests(kind) })
	}
}

// sendRequests sends requests of a kind at random intervals until the clients must stop.
func (r *outlierRun) sendRequests(kind outlierRequests) {
	for {
		interval := kind.interval/2 + time.Duration(rand.Int64N(int64(kind.interval)))
		select {
		case <-r.done:
			return
		case <-time.After(interval):
		}
		r.running.Go(func() { r.sendRequest(kind) })
	}
}

func (r *outlierRun) sendRequest(kind outlierRequests) {
	gateway := rand.IntN(r.gateways)
	for int64(gateway) == r.avoidedGateway.Load() {
		gateway = rand.IntN(r.gateways)
	}
	id := fmt.Sprint(kind.path, r.requests.Add(1))
	fault := r.fault.Load()
	c := r.cluster.cluster
	response := c.SendRequest(c.Gateways[gateway], kind.method, exampleHost, kind.path+"x", id, outlierTimeout)
	avoided := int64(gateway) == r.avoidedGateway.Load() && response.Status != http.StatusOK
	if kind.observe != nil && !avoided {
		kind.observe(id, fault, response)
	}
}

// observeLookup counts a look-up that was sent during a fault.
func (r *outlierRun) observeLookup(_ string, fault *outlierFault, response simcluster.Response) {
	if fault == nil {
		return
	}
	fault.sent.Add(1)
	failed := response.Status != http.StatusOK
	if failed {
		fault.failed.Add(1)
	}
	if failed || response.Elapsed > outlierLatencyBound {
		fault.overBound.Add(1)
	}
}

// observePost counts a post and checks that it was not executed twice.
func (r *outlierRun) observePost(id string, _ *outlierFault, _ simcluster.Response) {
	r.posts.Add(1)
	if r.cluster.cluster.RequestLog.Executions(outlierPostService, id) > 1 {
		r.executedTwice.Add(1)
	}
}
