package experiment

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"oxbowspan/internal/testing/simcluster"
)

func init() {
	Register(Experiment{Name: "rest", Short: "What the system costs at rest: processor, wake-ups, system calls and bytes, by number of gatherers",
		Long: `rest starts built hives and foragers on loopback, with servers that send heartbeats and a configuration in force, and no
client. For each number of foragers it records what a hive and a forager spend a second: processor time, wake-ups
(voluntary context switches of all threads), reads and writes, and bytes, the disk's among them. The programs are those
beside the gatherer.`, Run: runRest})
}

// processCost is what a process has spent, as the system counts it.
type processCost struct{ cpu, wakeups, calls, bytes float64 }

func (a processCost) minus(b processCost) processCost {
	return processCost{a.cpu - b.cpu, a.wakeups - b.wakeups, a.calls - b.calls, a.bytes - b.bytes}
}

func readProcessCost(pid int) (out processCost, err error) {
	u, err := ReadUsage(pid)
	if err != nil {
		return out, err
	}
	out.cpu = u.CPU.Seconds()
	field := func(path, name string) (n float64) {
		f, err := os.Open(path)
		if err != nil {
			return 0 // a thread that has ended
		}
		defer f.Close()
		for s := bufio.NewScanner(f); s.Scan(); {
			if rest, ok := strings.CutPrefix(s.Text(), name+":"); ok {
				n, _ = strconv.ParseFloat(strings.TrimSpace(rest), 64)
			}
		}
		return n
	}
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/status", pid))
	if err != nil {
		return out, err
	}
	for _, path := range threads {
		out.wakeups += field(path, "voluntary_ctxt_switches")
	}
	io := fmt.Sprintf("/proc/%d/io", pid)
	out.calls = field(io, "syscr") + field(io, "syscw")
	out.bytes = field(io, "rchar") + field(io, "wchar")
	return out, nil
}

func runRest(ctx context.Context, e *Env) error {
	sizes := []int{2, 8, 30}
	if !e.Quick {
		sizes = []int{2, 8, 30, 60, 90}
	}
	last := time.Duration(e.Scale(6, 20)) * time.Second
	series := map[string]*Series{}
	e.Progress("gatherers", len(sizes))
	for _, n := range sizes {
		means, err := e.measureAtRest(ctx, n, last)
		if err != nil {
			return fmt.Errorf("%d gatherers: %w", n, err)
		}
		for program, m := range means {
			for what, v := range map[string]float64{"processor, thousandths of a core": 1000 * m.cpu, "wake-ups a second": m.wakeups,
				"reads and writes a second": m.calls, "bytes read and written a second": m.bytes} {
				e.Record.SetMetric(fmt.Sprintf("%s, %d gatherers: %s", program, n, what), v)
				if what == "wake-ups a second" {
					if series[program] == nil {
						series[program] = &Series{Chart: "wake-ups", Name: program, X: "gatherers", Y: what}
					}
					series[program].Points = append(series[program].Points, [2]float64{float64(n), v})
				}
			}
		}
		e.Step()
	}
	for _, s := range series {
		e.Record.Series = append(e.Record.Series, *s)
	}
	return nil
}

// measureAtRest plays one number of gatherers and returns what a process of each program spends a second, in the mean.
func (e *Env) measureAtRest(ctx context.Context, n int, last time.Duration) (map[string]processCost, error) {
	sys, err := e.startCluster(fmt.Sprint("rest-", n), 3, n, false, simcluster.ExampleConfiguration(1, simcluster.FirstSharding), addExampleServers(10*time.Millisecond))
	if err != nil {
		return nil, err
	}
	defer sys.stop()
	pids := map[string][]int{}
	for _, p := range sys.controllers {
		pids["hive"] = append(pids["hive"], p.Process.Pid)
	}
	for _, p := range sys.gateways {
		pids["forager"] = append(pids["forager"], p.Process.Pid)
	}
	pause := func(d time.Duration) {
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
	}
	pause(4 * time.Second) // until all know each other
	before := map[int]processCost{}
	began := time.Now()
	for _, all := range pids {
		for _, pid := range all {
			if before[pid], err = readProcessCost(pid); err != nil {
				return nil, err
			}
		}
	}
	pause(last)
	took := time.Since(began).Seconds()
	means := map[string]processCost{}
	for name, all := range pids {
		var sum processCost
		for _, pid := range all {
			now, err := readProcessCost(pid)
			if err != nil {
				return nil, err
			}
			d := now.minus(before[pid])
			sum = processCost{sum.cpu + d.cpu, sum.wakeups + d.wakeups, sum.calls + d.calls, sum.bytes + d.bytes}
		}
		k := took * float64(len(all))
		means[name] = processCost{sum.cpu / k, sum.wakeups / k, sum.calls / k, sum.bytes / k}
	}
	return means, nil
}
