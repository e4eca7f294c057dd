package experiment

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"oxbowspan/internal/testing/standin"
)

func init() {
	Register(Experiment{Name: "ordinary", Short: "What an ordinary search costs: processor time, memory, latency",
		Long: `ordinary plays plain account look-ups, which nothing is merged for, through a built gatherer over quick stand-ins, and
records processor time a search, memory at rest and under load, and latency. Two versions of the program are compared by
running it twice with --program.`, Run: runOrdinary})
}

func runOrdinary(ctx context.Context, e *Env) error {
	const cells = 8
	site, err := e.StartDeployment(DeploymentOptions{Name: "ordinary", Servers: cells, Segments: cells, MemoryMB: 64,
		Types: []QueryType{{"lookup", "free", time.Second, 2 * time.Second, 1, 1}}})
	if err != nil {
		return err
	}
	defer site.Stop()
	pid := site.Gatherer.PID()
	rest, err := ReadUsage(pid)
	if err != nil {
		return err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: concurrentClients}, Timeout: 20 * time.Second}
	var next atomic.Int64
	one := func(l *LatencyRecorder) error {
		n := next.Add(1)
		s := standin.Request{ID: fmt.Sprintf("%016x", n), QueryType: "lookup", Customer: "acme", Timeout: 1900 * time.Millisecond,
			Shards: []int{int(n) % cells, int(n+3) % cells}, Statement: "c41e77d0"}
		r, err := s.Send(ctx, client, site.Gatherer.Addr)
		if err != nil {
			return err
		}
		want := fmt.Sprintf(`{"full":true,"pieces":[{"tablet":%d,"cell":"value of c41e77d0"},{"tablet":%d,"cell":"value of c41e77d0"}]}`, s.Shards[0], s.Shards[1])
		if r.Status != http.StatusOK || string(r.Body) != want {
			return fmt.Errorf("a search was answered %d %.200s", r.Status, r.Body)
		}
		l.Add(r.Elapsed)
		return nil
	}
	play := func(name string, times int) error {
		l := NewLatencyRecorder()
		e.Progress(name, times)
		before, err := ReadUsage(pid)
		if err != nil {
			return err
		}
		began := time.Now()
		var all sync.WaitGroup
		var left atomic.Int64
		left.Store(int64(times))
		failed := make(chan error, concurrentClients)
		for range concurrentClients {
			all.Add(1)
			go func() {
				defer all.Done()
				for left.Add(-1) >= 0 && ctx.Err() == nil {
					if err := one(l); err != nil {
						failed <- err
						return
					}
					e.Step()
				}
			}()
		}
		all.Wait()
		select {
		case err := <-failed:
			return err
		default:
		}
		after, err := ReadUsage(pid)
		if err != nil {
			return err
		}
		took := time.Since(began)
		e.Record.AddLatency(name, l)
		e.Record.SetMetric(name+": processor microseconds a search", float64((after.CPU-before.CPU).Microseconds())/float64(times))
		e.Record.SetMetric(name+": searches a second", float64(times)/took.Seconds())
		e.Record.SetMetric(name+": MiB at most", float64(after.Peak)/(1<<20))
		return nil
	}
	e.Record.SetMetric("at rest: MiB", float64(rest.RSS)/(1<<20))
	if err := play("warming up", e.Scale(2000, 10_000)); err != nil {
		return err
	}
	for i := range e.Scale(3, 10) {
		if err := play(fmt.Sprintf("round %d", i+1), e.Scale(8000, 40_000)); err != nil {
			return err
		}
	}
	return nil
}
