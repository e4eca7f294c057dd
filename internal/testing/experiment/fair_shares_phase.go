package experiment

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"oxbowspan/internal/testing/simcluster"
)

const (
	// batchClients is the number of clients of the batch run per gateway.
	batchClients       = 45
	batchTimeout       = 6 * time.Second
	batchRetryPause    = 50 * time.Millisecond
	interactiveTimeout = 3 * time.Second
	// Interactive requests are sent at random intervals of 4 to 11 ms.
	interactiveMinInterval = 4
	interactiveIntervals   = 8
)

// avoidedGateways marks the gateways that clients avoid because they are killed or suspended. Its methods may be called
// concurrently.
type avoidedGateways [fairSharesGateways]atomic.Bool

func (a *avoidedGateways) set(index int, avoided bool) { a[index].Store(avoided) }

func (a *avoidedGateways) contains(index int) bool { return a[index].Load() }

// fairSharesPhase holds the results of one phase.
type fairSharesPhase struct {
	name          string
	duration      time.Duration
	batch         atomic.Int64 // batch requests completed
	failed        atomic.Int64 // interactive requests
	interrupted   atomic.Int64 // posts without a response from gateways that are not avoided
	executedTwice atomic.Int64 // posts executed more than once
	interactive   *LatencyRecorder

	mu        sync.Mutex
	latencies []time.Duration // of interactive requests
}

func (p *fairSharesPhase) addLatency(d time.Duration) {
	p.interactive.Add(d)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latencies = append(p.latencies, d)
}

// quantile returns a quantile of the interactive requests' latency in milliseconds; 0 if there were none. It must not be called
// during the phase.
func (p *fairSharesPhase) quantile(q float64) float64 {
	if len(p.latencies) == 0 {
		return 0
	}
	slices.Sort(p.latencies)
	index := min(int(q*float64(len(p.latencies))), len(p.latencies)-1)
	return milliseconds(p.latencies[index])
}

// countAbove counts the interactive requests that took longer than a bound in milliseconds.
func (p *fairSharesPhase) countAbove(bound float64) (count int) {
	for _, latency := range p.latencies {
		if milliseconds(latency) > bound {
			count++
		}
	}
	return count
}

// warmUp runs a phase that is not recorded. Its name must be unique, as the names of phases are part of the request ids.
func (r *fairSharesRun) warmUp(name string, duration time.Duration) {
	r.send(name, true, true, duration)
}

// run runs a phase with or without the batch run and interactive requests.
func (r *fairSharesRun) run(name string, batch, interactive bool, duration time.Duration) *fairSharesPhase {
	p := r.send(name, batch, interactive, duration)
	r.env.Record.AddLatency(name+": interactive requests", p.interactive)
	r.phases = append(r.phases, p)
	r.env.Step()
	return p
}

func (r *fairSharesRun) send(name string, batch, interactive bool, duration time.Duration) *fairSharesPhase {
	p := &fairSharesPhase{name: name, duration: duration, interactive: NewLatencyRecorder()}
	deadline := time.Now().Add(duration)
	var running sync.WaitGroup
	if batch {
		for client := range batchClients * fairSharesGateways { // all at once
			running.Go(func() { r.sendBatch(p, client, deadline) })
		}
	}
	for n := 0; interactive && time.Now().Before(deadline); n++ {
		time.Sleep(time.Duration(interactiveMinInterval+rand.IntN(interactiveIntervals)) * time.Millisecond)
		running.Go(func() { r.sendInteractive(p, n) })
	}
	running.Wait()
	return p
}

// request sends a request to a gateway.
func (r *fairSharesRun) request(gateway int, method, path, id string, timeout time.Duration) simcluster.Response {
	c := r.cluster.cluster
	return c.SendRequest(c.Gateways[gateway], method, exampleHost, path+"x", id, timeout)
}

// sendBatch sends batch requests as one client until the deadline, to the gateways in turn.
func (r *fairSharesRun) sendBatch(p *fairSharesPhase, client int, deadline time.Time) {
	for n := 0; time.Now().Before(deadline); n++ {
		gateway := (client + n) % fairSharesGateways
		if r.avoided.contains(gateway) {
			continue
		}
		id := fmt.Sprint(p.name, "b", client, "-", n)
		if r.request(gateway, http.MethodGet, batchPath, id, batchTimeout).Status == http.StatusOK {
			p.batch.Add(1)
		} else {
			time.Sleep(batchRetryPause)
		}
	}
}

// sendInteractive sends interactive request number n: of five requests one is a post and two go to the finder route.
func (r *fairSharesRun) sendInteractive(p *fairSharesPhase, n int) {
	gateway := n % fairSharesGateways
	for r.avoided.contains(gateway) {
		gateway = (gateway + 1) % fairSharesGateways
	}
	id := fmt.Sprint(p.name, "i", n)
	start := time.Now()
	var response simcluster.Response
	switch n % 5 {
	case 0:
		response = r.request(gateway, http.MethodPost, postPath, id, interactiveTimeout)
		if r.cluster.cluster.RequestLog.Executions(postService, id) > 1 {
			p.executedTwice.Add(1)
		}
		if response.Status == noResponse && !r.avoided.contains(gateway) {
			p.interrupted.Add(1)
		}
	case 1, 2:
		response = r.request(gateway, http.MethodGet, finderPath, id, interactiveTimeout)
	default:
		response = r.request(gateway, http.MethodGet, interactivePath, id, interactiveTimeout)
	}
	elapsed := time.Since(start)
	if r.avoided.contains(gateway) && response.Status != http.StatusOK {
		return // the gateway was killed or suspended meanwhile: a client would retry at another one
	}
	if response.Status != http.StatusOK {
		p.failed.Add(1)
	}
	p.addLatency(elapsed)
}
