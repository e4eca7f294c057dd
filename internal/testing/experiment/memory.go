package experiment

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"oxbowspan/internal/testing/standin"
)

func init() {
	Register(Experiment{
		Name:  "memory",
		Short: "Memory budget: waves of requests that each need more memory than the gatherer may use",
		Long: `memory sends waves of requests to a gatherer of 48 MiB, each of which needs several times that: long bodies sent slowly, long
values from many servers at once, clients that do not read long responses, and idle connections that all become active at once;
then all together. Background look-ups are sent throughout. It ends with a finding if the process ever uses more than its memory,
if nothing is refused, if a request gets no final response, or if too few background look-ups are answered. The same waves are
run without a section [memory] for comparison, and only recorded.`,
		Run: runMemory,
	})
}

const (
	memoryMB              = 48
	memoryIdleConnections = 700
	// memoryMinAnswered is the minimum share of background look-ups that must be answered.
	memoryMinAnswered = 0.5
	// backgroundInterval is the time between two background look-ups.
	backgroundInterval = 10 * time.Millisecond

	memoryConnections = "[connections]\ncrowd = off\nawake = 400\nhead_rate = 200\nbody_rate = 500\nanswer_rate = 4000\nsend_buffer = 16KiB\n"
	memoryBudget      = "[memory]\nreport = 250ms\n"
)

// Variants of the experiment.
const (
	memoryCounted = "counted only"
	memoryLimited = "limited"
)

// Statements of the experiment's requests. The shard servers respond to longStatement with a longValue.
const (
	longStatement       = "long"
	shortStatement      = "short"
	backgroundStatement = "background"
)

// longValue is the value of a call in waves of long responses. A response has room for four of them.
var longValue = strings.Repeat("v", 15<<10)

// longResponseDelay is the service time of shard servers for a longValue.
const longResponseDelay = 50 * time.Millisecond

func runMemory(ctx context.Context, e *Env) error {
	for _, variant := range []string{memoryCounted, memoryLimited} {
		if err := e.measureMemory(ctx, variant); err != nil {
			return fmt.Errorf("%s: %w", variant, err)
		}
	}
	return nil
}

// handleMemoryCall handles a call at a shard server.
func handleMemoryCall(conn *standin.ShardConn, call standin.ShardCall) {
	if string(call.Query) == longStatement {
		time.AfterFunc(longResponseDelay, func() { conn.Respond(call.ID, standin.OutcomeServed, longValue) })
		return
	}
	conn.Respond(call.ID, standin.OutcomeServed, "x")
}

// measureMemory runs one variant.
func (e *Env) measureMemory(ctx context.Context, variant string) error {
	operatorConfig := memoryConnections
	if variant == memoryLimited {
		operatorConfig += memoryBudget
	}
	s := &memoryScenario{env: e, variant: variant, statusCounts: map[string]map[int]int{}}
	var err error
	s.deployment, err = e.StartDeployment(DeploymentOptions{
		Name:           "memory " + variant,
		Servers:        4,
		Segments:       4,
		MemoryMB:       memoryMB,
		MaxDescriptors: 4000,
		OperatorConfig: operatorConfig,
		Types:          []QueryType{lookupType},
		Handle:         handleMemoryCall,
		OnLogLine:      s.metrics.observeLine,
	})
	if err != nil {
		return err
	}
	defer s.deployment.Stop()
	atRest, err := ReadUsage(s.deployment.Gatherer.PID())
	if err != nil {
		return err
	}
	stopBackground := s.startBackground()
	s.runWaves()
	answered, sent := stopBackground()
	after, err := ReadUsage(s.deployment.Gatherer.PID())
	if err != nil {
		return fmt.Errorf("the gatherer has exited: %w", err)
	}
	last := runtimeReport{}
	if variant == memoryLimited {
		last = s.metrics.next(ctx)
	}
	unanswered := s.recordWaves()
	e.Record.AddRow("Memory",
		[]string{"variant", "memory MiB", "at rest MiB", "peak resident MiB", "peak accounted MiB", "limit MiB", "forced over it MiB",
			"refused", "background answered"},
		variant, fmt.Sprint(memoryMB), formatMiB(atRest.RSS), formatMiB(after.Peak), formatMiB(last.peak), formatMiB(last.limit),
		formatMiB(last.forced), fmt.Sprint(last.refused), fmt.Sprintf("%d of %d", answered, sent))
	if variant != memoryLimited {
		return nil
	}
	switch {
	case after.Peak > memoryMB<<20:
		return fmt.Errorf("the gatherer held %s MiB, its limit is %d", formatMiB(after.Peak), memoryMB)
	case last.refused == 0:
		return errors.New("nothing was refused: the waves needed too little memory")
	case unanswered > 0:
		return fmt.Errorf("%d requests got no final response", unanswered)
	case float64(answered) < memoryMinAnswered*float64(sent):
		return fmt.Errorf("%d of %d background look-ups were answered", answered, sent)
	}
	return nil
}

// startBackground sends look-ups at a steady rate over one connection until stop is called, which returns the number of
// answered and sent ones.
func (s *memoryScenario) startBackground() (stop func() (answered, sent int64)) {
	done := make(chan struct{})
	var answeredCount, sentCount atomic.Int64
	var running sync.WaitGroup
	running.Go(func() {
		conn := &clientConn{closed: true, dial: s.dial}
		tick := time.NewTicker(backgroundInterval)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
			}
			header, body := s.request(backgroundStatement)
			sentCount.Add(1)
			if conn.send([]byte(header+body)) == http.StatusOK {
				answeredCount.Add(1)
			}
		}
	})
	return func() (answered, sent int64) {
		close(done)
		running.Wait()
		return answeredCount.Load(), sentCount.Load()
	}
}
