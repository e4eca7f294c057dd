package experiment

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"oxbowspan/internal/testing/standin"
)

func init() {
	Register(Experiment{
		Name:  "ordinary",
		Short: "Cost of an ordinary request: processor time, memory, latency",
		Long: `ordinary sends plain look-ups, whose results are not merged, through a built gatherer to fast stand-ins, and records
processor time per request, memory at rest and under load, and latency. Two versions of the program are compared by running
it twice with --program.`,
		Run: runOrdinary,
	})
}

// ordinaryServers is the number of shard servers, and of segments.
const ordinaryServers = 8

// ordinaryRun is the state of the experiment.
type ordinaryRun struct {
	env        *Env
	deployment *Deployment
	client     *http.Client
	lastID     atomic.Uint64
}

func runOrdinary(ctx context.Context, e *Env) error {
	deployment, err := e.StartDeployment(DeploymentOptions{
		Name:     "ordinary",
		Servers:  ordinaryServers,
		Segments: ordinaryServers,
		MemoryMB: 64,
		Types:    []QueryType{lookupType},
	})
	if err != nil {
		return err
	}
	defer deployment.Stop()
	atRest, err := ReadUsage(deployment.Gatherer.PID())
	if err != nil {
		return err
	}
	e.Record.SetMetric("at rest: MiB", toMiB(atRest.RSS))
	r := &ordinaryRun{env: e, deployment: deployment, client: newHTTPClient(concurrentClients, 20*time.Second)}
	if err := r.measure(ctx, "warming up", e.Scale(2000, 10_000)); err != nil {
		return err
	}
	for i := range e.Scale(3, 10) {
		if err := r.measure(ctx, fmt.Sprintf("round %d", i+1), e.Scale(8000, 40_000)); err != nil {
			return err
		}
	}
	return nil
}

// measure sends a number of look-ups and records their processor time and latency and the gatherer's memory.
func (r *ordinaryRun) measure(ctx context.Context, name string, times int) error {
	latency := NewLatencyRecorder()
	r.env.Progress(name, times)
	pid := r.deployment.Gatherer.PID()
	before, err := ReadUsage(pid)
	if err != nil {
		return err
	}
	start := time.Now()
	err = runClients(ctx, concurrentClients, times, func(ctx context.Context, _ int) error {
		defer r.env.Step()
		return r.lookUp(ctx, latency)
	})
	if err != nil {
		return err
	}
	after, err := ReadUsage(pid)
	if err != nil {
		return err
	}
	elapsed := time.Since(start)
	r.env.Record.AddLatency(name, latency)
	r.env.Record.SetMetric(name+": processor microseconds per request", float64((after.CPU-before.CPU).Microseconds())/float64(times))
	r.env.Record.SetMetric(name+": requests per second", float64(times)/elapsed.Seconds())
	r.env.Record.SetMetric(name+": peak MiB", toMiB(after.Peak))
	return nil
}

// lookUp sends one look-up in two segments and checks the response.
func (r *ordinaryRun) lookUp(ctx context.Context, latency *LatencyRecorder) error {
	id := r.lastID.Add(1)
	request := newLookup(id, int(id)%ordinaryServers, int(id+3)%ordinaryServers)
	response, err := request.Send(ctx, r.client, r.deployment.Gatherer.Addr)
	if err != nil {
		return err
	}
	if want := ordinaryBody(request); response.Status != http.StatusOK || string(response.Body) != want {
		return fmt.Errorf("a request got status %d and %.200s, want %s", response.Status, response.Body, want)
	}
	latency.Add(response.Elapsed)
	return nil
}

// ordinaryBody returns the body of the correct response to a look-up in two segments.
func ordinaryBody(r standin.Request) string {
	return fmt.Sprintf(`{"full":true,"pieces":[{"tablet":%d,"cell":"value of %s"},{"tablet":%d,"cell":"value of %s"}]}`,
		r.Shards[0], r.Statement, r.Shards[1], r.Statement)
}
