package experiment

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	idleSegments = 4
	// backgroundClients is the number of clients that send a look-up at each backgroundClientTick: about 1,000 per second in
	// total, a moderate load rather than the maximum.
	backgroundClients    = 4
	backgroundClientTick = 4 * time.Millisecond
	// backgroundFirstID separates the ids of background look-ups from those of connection holders.
	backgroundFirstID = 1 << 60
	// sourcesPerSubnet is the number of loopback addresses used in each /24 network, and firstSource the last byte of the first
	// one.
	sourcesPerSubnet = 200
	firstSource      = 10
)

// idleScenario is a gatherer with connection holders and background clients.
type idleScenario struct {
	env        *Env
	ctx        context.Context
	name       string
	deployment *Deployment
	metrics    runtimeMetrics
	client     *http.Client
	lastID     atomic.Uint64
	holders    []*connectionHolder
}

// startIdleScenario starts a gatherer with a section of connection settings.
func (e *Env) startIdleScenario(ctx context.Context, name, connections string) (*idleScenario, error) {
	s := &idleScenario{env: e, ctx: ctx, name: name, client: newHTTPClient(8, 8*time.Second)}
	s.lastID.Store(backgroundFirstID)
	var err error
	s.deployment, err = e.StartDeployment(DeploymentOptions{
		Name:           strings.ReplaceAll(name, " ", "-"),
		Servers:        idleSegments,
		Segments:       idleSegments,
		MemoryMB:       2048,
		MaxDescriptors: 20_000,
		OperatorConfig: connections + memoryBudget,
		Types:          []QueryType{lookupType},
		OnLogLine:      s.metrics.observeLine,
	})
	return s, err
}

func (s *idleScenario) stop() {
	for _, holder := range s.holders {
		holder.stop()
	}
	s.deployment.Stop()
}

func (s *idleScenario) pid() int { return s.deployment.Gatherer.PID() }

// lookUp sends a look-up and returns the response's status, or noResponse.
func (s *idleScenario) lookUp(latency *LatencyRecorder) int {
	id := s.lastID.Add(1)
	response, err := newLookup(id, int((id-backgroundFirstID)%idleSegments)).Send(s.ctx, s.client, s.deployment.Gatherer.Addr)
	if err != nil {
		return noResponse
	}
	latency.Add(response.Elapsed)
	return response.Status
}

// backgroundLoad is the result of background look-ups.
type backgroundLoad struct {
	answered, sent int
	latency        *LatencyRecorder
}

func (l backgroundLoad) String() string { return fmt.Sprintf("%d of %d", l.answered, l.sent) }

// startBackgroundLoad sends look-ups from a few clients until stop is called, which records their latency and returns
// the result.
func (s *idleScenario) startBackgroundLoad(label string) (stop func() backgroundLoad) {
	latency := NewLatencyRecorder()
	done := make(chan struct{})
	var clients sync.WaitGroup
	var answered, sent atomic.Int64
	for range backgroundClients {
		clients.Go(func() {
			tick := time.NewTicker(backgroundClientTick)
			defer tick.Stop()
			for {
				select {
				case <-done:
					return
				case <-tick.C:
				}
				sent.Add(1)
				if status := s.lookUp(latency); status == http.StatusOK {
					answered.Add(1)
				} else {
					s.env.Record.AddToMetric(fmt.Sprintf("%s, %s: background look-ups with status %d", s.name, label, status), 1)
				}
			}
		})
	}
	return func() backgroundLoad {
		close(done)
		clients.Wait()
		s.env.Record.AddLatency(s.name+", "+label, latency)
		return backgroundLoad{answered: int(answered.Load()), sent: int(sent.Load()), latency: latency}
	}
}

// runBackgroundLoad sends background look-ups for a duration.
func (s *idleScenario) runBackgroundLoad(label string, duration time.Duration) backgroundLoad {
	stop := s.startBackgroundLoad(label)
	sleep(s.ctx, duration)
	return stop()
}

// openConnections starts holders at different addresses, which open the idle connections concurrently. The holders are numbered
// from first.
func (s *idleScenario) openConnections(count, first int) error {
	var opening sync.WaitGroup
	errs := make(chan error, count/connectionsPerHolder+1)
	for remaining, number := count, first; remaining > 0; remaining, number = remaining-connectionsPerHolder, number+1 {
		source := fmt.Sprintf("127.0.%d.%d", number/sourcesPerSubnet, firstSource+number%sourcesPerSubnet)
		holder, err := s.env.startConnectionHolder(s.deployment.Gatherer.Addr, source, number)
		if err != nil {
			return err
		}
		s.holders = append(s.holders, holder)
		opening.Go(func() {
			if result, err := holder.do(holdCommand, min(remaining, connectionsPerHolder)); err != nil {
				errs <- err
			} else if result.failed > 0 {
				errs <- fmt.Errorf("%d of %d connections could not be opened", result.failed, count)
			}
		})
	}
	opening.Wait()
	close(errs)
	return <-errs
}

// runWave sends a command to all holders at once under background load. The load continues for a short time after the wave, to
// include the effects of the wave.
func (s *idleScenario) runWave(label, command string, args ...int) (holderResult, backgroundLoad, error) {
	stop := s.startBackgroundLoad(label)
	sum, err := commandHolders(s.holders, command, args...)
	sleep(s.ctx, s.env.scaleMillis(400, 1000))
	return sum, stop(), err
}

// commandHolders sends a command to holders concurrently and adds up their results.
func commandHolders(holders []*connectionHolder, command string, args ...int) (sum holderResult, err error) {
	var mu sync.Mutex
	runConcurrently(len(holders), func(i int) {
		result, holderErr := holders[i].do(command, args...)
		mu.Lock()
		defer mu.Unlock()
		if holderErr != nil {
			err = holderErr
		}
		sum.add(result)
	})
	return sum, err
}
