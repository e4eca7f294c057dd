package experiment

import (
	"context"
	"fmt"
	"time"

	"oxbowspan/internal/testing/simcluster"
)

func init() {
	Register(Experiment{
		Name:  "rest",
		Short: "Cost of a cluster at rest: processor time, wake-ups, system calls and bytes, by number of gateways",
		Long: `rest starts built controllers and gateways on loopback, with servers that send heartbeats and a configuration
in force, and no clients. For each number of gateways it records the resource usage of a controller and a gateway per second:
processor time, wake-ups (voluntary context switches of all threads), reads and writes, and bytes, including those of the
disk. The programs are those beside the gatherer.`,
		Run: runRest,
	})
}

const (
	restControllers = 3
	restServiceTime = 10 * time.Millisecond
	// restSettleTime is the time for the programs to discover each other.
	restSettleTime = 4 * time.Second
)

func runRest(ctx context.Context, e *Env) error {
	sizes := []int{2, 8, 30}
	if !e.Quick {
		sizes = []int{2, 8, 30, 60, 90}
	}
	duration := e.scaleSeconds(6, 20)
	e.Progress("gateways", len(sizes))
	for _, gateways := range sizes {
		costs, err := e.measureAtRest(ctx, gateways, duration)
		if err != nil {
			return fmt.Errorf("%d gateways: %w", gateways, err)
		}
		for _, c := range costs {
			c.record(e.Record, gateways)
		}
		e.Step()
	}
	return nil
}

// programCost is the average cost per second of a program's processes.
type programCost struct {
	program string
	processCost
}

func (c programCost) record(r *Record, gateways int) {
	for name, value := range map[string]float64{
		"processor, thousandths of a core":  1000 * c.cpu,
		"wake-ups per second":               c.wakeups,
		"reads and writes per second":       c.calls,
		"bytes read and written per second": c.in + c.out,
	} {
		r.SetMetric(fmt.Sprintf("%s, %d gateways: %s", c.program, gateways, name), value)
	}
	r.AddPoint("wake-ups", "gateways", "wake-ups per second", c.program, float64(gateways), c.wakeups)
}

// measureAtRest measures a cluster with a number of gateways and returns the costs of its programs.
func (e *Env) measureAtRest(ctx context.Context, gateways int, duration time.Duration) ([]programCost, error) {
	cluster, err := e.startCluster(localClusterOptions{
		name:          fmt.Sprint("rest-", gateways),
		controllers:   restControllers,
		gateways:      gateways,
		configuration: simcluster.ExampleConfiguration(1, simcluster.ExampleSharding),
		addServers:    addExampleServers(restServiceTime),
	})
	if err != nil {
		return nil, err
	}
	defer cluster.stop()
	sleep(ctx, restSettleTime)
	before := map[int]processCost{}
	programs := map[string][]int{"controller": pids(cluster.controllers), "gateway": pids(cluster.gateways)}
	start := time.Now()
	for _, pids := range programs {
		for _, pid := range pids {
			if before[pid], err = readProcessCost(pid); err != nil {
				return nil, err
			}
		}
	}
	sleep(ctx, duration)
	elapsed := time.Since(start).Seconds()
	var costs []programCost
	for program, pids := range programs {
		var sum processCost
		for _, pid := range pids {
			now, err := readProcessCost(pid)
			if err != nil {
				return nil, err
			}
			sum = sum.plus(now.since(before[pid]))
		}
		costs = append(costs, programCost{program, sum.times(1 / (elapsed * float64(len(pids))))})
	}
	return costs, nil
}
