package experiment

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	// holdersPerGatherer is the number of holder numbers reserved for each gatherer; manyFirstHolder is the first holder
	// number.
	holdersPerGatherer = 10
	manyFirstHolder    = 100
	// manySettleTime is the time for a gatherer to release the resources that active connections use.
	manySettleTime = 3 * time.Second
	// manyHoldingTime is the duration over which processor time is measured.
	manyHoldingTime = 10 * time.Second
)

// idleGatherers is a set of gatherers that park many connections each.
type idleGatherers struct {
	env       *Env
	scenarios []*idleScenario

	residentBytes, heapBytes int64 // of all connections
}

// measureIdleOverGatherers measures connections held by several gatherers.
func (e *Env) measureIdleOverGatherers(ctx context.Context, gatherers, connectionsEach int) error {
	g := &idleGatherers{env: e}
	defer func() {
		for _, s := range g.scenarios {
			s.stop()
		}
	}()
	e.Progress(fmt.Sprintf("%d on %d", gatherers*connectionsEach, gatherers), gatherers+2)
	for i := range gatherers {
		name := fmt.Sprintf("gatherer %d of %d", i+1, gatherers)
		if err := g.add(ctx, name, connectionsEach, manyFirstHolder+holdersPerGatherer*i); err != nil {
			return err
		}
		e.Step()
	}
	cpu, err := g.measureCPU(ctx)
	if err != nil {
		return err
	}
	e.Step()
	return g.wakeTenth(gatherers*connectionsEach, cpu)
}

// add starts a gatherer, opens its connections and measures their memory.
func (g *idleGatherers) add(ctx context.Context, name string, connections, firstHolder int) error {
	s, err := g.env.startIdleScenario(ctx, name, "[connections]\nawake = 16\ncrowd = off\n")
	if err != nil {
		return err
	}
	g.scenarios = append(g.scenarios, s)
	s.runBackgroundLoad("warming up", time.Second)
	s.runBackgroundLoad("empty", time.Second)
	before, err := ReadUsage(s.pid())
	if err != nil {
		return err
	}
	beforeReport := s.metrics.next(ctx)
	if err := s.openConnections(connections, firstHolder); err != nil {
		return err
	}
	sleep(ctx, manySettleTime)
	during, err := ReadUsage(s.pid())
	if err != nil {
		return err
	}
	g.residentBytes += during.RSS - before.RSS
	g.heapBytes += s.metrics.next(ctx).used() - beforeReport.used()
	return nil
}

// measureCPU returns the number of cores that all gatherers together use while the connections are idle.
func (g *idleGatherers) measureCPU(ctx context.Context) (float64, error) {
	before, err := g.cpu()
	if err != nil {
		return 0, err
	}
	sleep(ctx, manyHoldingTime)
	after, err := g.cpu()
	return (after - before).Seconds() / manyHoldingTime.Seconds(), err
}

func (g *idleGatherers) cpu() (sum time.Duration, err error) {
	for _, s := range g.scenarios {
		usage, err := ReadUsage(s.pid())
		if err != nil {
			return 0, err
		}
		sum += usage.CPU
	}
	return sum, nil
}

// wakeTenth wakes a tenth of the connections on all gatherers at once, under background load on the first one.
func (g *idleGatherers) wakeTenth(connections int, cpu float64) error {
	first := g.scenarios[0]
	holding := first.runBackgroundLoad("holding", 2*time.Second)
	var holders []*connectionHolder
	for _, s := range g.scenarios {
		holders = append(holders, s.holders...)
	}
	stop := first.startBackgroundLoad("a tenth of all wakes")
	result, err := commandHolders(holders, wakeCommand, connectionsPerHolder/10, 2000)
	waking := stop()
	g.env.Step()
	if err != nil {
		return err
	}
	sent, ok, shed := result.sent(), result.statuses[http.StatusOK], result.statuses[http.StatusServiceUnavailable]
	g.env.Record.AddRow("Several gatherers",
		[]string{"gatherers", "connections", "bytes each, resident", "bytes each, heap and stacks", "cores, of all",
			"woken", "200", "503", "other", "background p99 ms holding", "while a tenth wakes", "background answered"},
		fmt.Sprint(len(g.scenarios)), fmt.Sprint(connections),
		formatCell(float64(g.residentBytes)/float64(connections), 0), formatCell(float64(g.heapBytes)/float64(connections), 0),
		formatCell(cpu, 4), fmt.Sprint(sent), fmt.Sprint(ok), fmt.Sprint(shed), fmt.Sprint(sent-ok-shed),
		formatCell(holding.latency.percentile(99), 2), formatCell(waking.latency.percentile(99), 2),
		holding.String()+", "+waking.String())
	if lost := result.statuses[noResponse]; lost > 0 {
		return fmt.Errorf("%d of %d requests got no final response", lost, sent)
	}
	return nil
}
